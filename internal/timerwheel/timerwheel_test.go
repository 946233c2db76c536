package timerwheel

import (
	"container/heap"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// referenceHeap is the heap that the wheel is tested and benchmarked against.
type referenceHeap []entry[int]

func (h referenceHeap) Len() int           { return len(h) }
func (h referenceHeap) Less(i, j int) bool { return compare(h[i], h[j]) < 0 }
func (h referenceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *referenceHeap) Push(x any)        { *h = append(*h, x.(entry[int])) }
func (h *referenceHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// TestReturnsSameTimersAsHeap drives a wheel and a heap with the same steps: both must return the same items in the
// same order at the same calls.
func TestReturnsSameTimersAsHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 1000
		now := rapid.Int64Range(0, 1<<50).Draw(t, "start")
		w, h, seq := New[int](tick, now), &referenceHeap{}, uint64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "set") {
				far := []int64{5, tick, 300 * tick, 70_000 * tick, 1 << 35, 1 << 45}[rapid.IntRange(0, 5).Draw(t, "scale")]
				at := now + rapid.Int64Range(-far/4, far).Draw(t, "at")
				seq++
				w.Set(at, step)
				heap.Push(h, entry[int]{at, seq, step})
				continue
			}
			if next, ok := w.Next(); ok != (h.Len() > 0) || ok && next > max((*h)[0].at, now) {
				t.Fatalf("next %d, %v; the first timer is at %v", next, ok, (*h)[0].at)
			}
			now += rapid.Int64Range(0, []int64{10, 2 * tick, 400 * tick, 1 << 33, 1 << 44}[rapid.IntRange(0, 4).
				Draw(t, "pass")]).Draw(t, "by")
			for {
				item, ok := w.Pop(now)
				want := h.Len() > 0 && (*h)[0].at <= now
				if ok != want {
					t.Fatalf("popped %v, want %v", ok, want)
				}
				if !ok {
					break
				}
				if x := heap.Pop(h).(entry[int]); x.item != item {
					t.Fatalf("popped %d, want %d", item, x.item)
				}
			}
			if w.Len() != h.Len() {
				t.Fatalf("%d timers pending, want %d", w.Len(), h.Len())
			}
		}
	})
}

// TestNextIsExactWithinLowestLevel: within the lowest level Next returns the timer's own time, not that of its slot:
// the owner would wake up too early.
func TestNextIsExactWithinLowestLevel(t *testing.T) {
	w := New[int](1000, 0)
	w.Set(5432, 1)
	if at, ok := w.Next(); !ok || at != 5432 {
		t.Fatal(at, ok)
	}
	if _, ok := w.Pop(5431); ok {
		t.Fatal("timer popped before its time")
	}
	if _, ok := w.Pop(5432); !ok {
		t.Fatal("timer not popped at its time")
	}
}

// benchmark simulates the load of a front: timers of 1 to 4 s are set, two per request, while time passes and other
// timers fall due, with a constant number of pending timers.
func benchmark(b *testing.B, waiting int, set func(int64), pop func(int64) bool) {
	rng := rand.New(rand.NewSource(1))
	now := int64(1e15)
	for range waiting {
		set(now + 1e9 + rng.Int63n(3e9))
	}
	step := int64(2.5e9) / int64(waiting)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += step
		set(now + 1e9 + rng.Int63n(3e9))
		for pop(now) {
		}
	}
}

func BenchmarkWheel(b *testing.B) {
	for _, n := range []int{1000, 50_000} {
		b.Run(map[int]string{1000: "1k", 50_000: "50k"}[n], func(b *testing.B) {
			w := New[int](1e6, 1e15)
			benchmark(b, n, func(at int64) { w.Set(at, 1) }, func(now int64) bool { _, ok := w.Pop(now); return ok })
		})
	}
}

func BenchmarkHeap(b *testing.B) {
	for _, n := range []int{1000, 50_000} {
		b.Run(map[int]string{1000: "1k", 50_000: "50k"}[n], func(b *testing.B) {
			h, seq := &referenceHeap{}, uint64(0)
			benchmark(b, n, func(at int64) { seq++; heap.Push(h, entry[int]{at, seq, 1}) }, func(now int64) bool {
				if h.Len() == 0 || (*h)[0].at > now {
					return false
				}
				heap.Pop(h)
				return true
			})
		})
	}
}

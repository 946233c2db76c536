// Package wheel is a hierarchical timing wheel: timers in O(1), for fronts with tens of thousands of deadlines of
// which most never act. Four levels of 256 slots; a level's slot spans the whole level below it. Time is passed
// in, and what falls due comes in the order of time, then of setting, so that runs replay.
package wheel

import (
	"math/bits"
	"slices"
)

const (
	levels = 4
	slots  = 256
	shift  = 8
)

// entry is a timer.
type entry[T any] struct {
	at   int64
	seq  uint64
	item T
}

// Wheel holds timers for items. The zero value is not usable; see New.
type Wheel[T any] struct {
	tick  int64 // nanoseconds a slot of the lowest level spans
	now   int64 // ticks that are over
	seq   uint64
	n     int
	wheel [levels][slots][]entry[T]
	used  [levels][slots / 64]uint64
	far   []entry[T] // past the highest level
	due   []entry[T] // of the slot that is being worked on, sorted
	next  int
}

// New makes a wheel whose slots span tick nanoseconds, starting at a time.
func New[T any](tick, now int64) *Wheel[T] { return &Wheel[T]{tick: tick, now: now / tick} }

// Len tells how many timers wait.
func (w *Wheel[T]) Len() int { return w.n }

// Set sets a timer. One in the past is due at once.
func (w *Wheel[T]) Set(at int64, item T) {
	w.seq++
	w.n++
	w.put(entry[T]{at, w.seq, item})
}

func (w *Wheel[T]) put(e entry[T]) {
	t := e.at / w.tick
	d := t - w.now
	if d <= 0 { // its slot is being worked on, or over
		i, _ := slices.BinarySearchFunc(w.due[w.next:], e, compare[T])
		w.due = slices.Insert(w.due, w.next+i, e)
		return
	}
	for level := range levels {
		if d>>(shift*(level+1)) == 0 {
			w.into(level, int(t>>(shift*level))&(slots-1), e)
			return
		}
	}
	w.far = append(w.far, e)
}

func (w *Wheel[T]) into(level, slot int, e entry[T]) {
	w.wheel[level][slot] = append(w.wheel[level][slot], e)
	w.used[level][slot/64] |= 1 << (slot % 64)
}

func compare[T any](a, b entry[T]) int {
	switch {
	case a.at < b.at || a.at == b.at && a.seq < b.seq:
		return -1
	case a.at == b.at && a.seq == b.seq:
		return 0
	}
	return 1
}

// Pop takes the first timer that is due at a time, if any.
func (w *Wheel[T]) Pop(now int64) (item T, ok bool) {
	for {
		if w.next < len(w.due) {
			e := w.due[w.next]
			if e.at > now {
				return item, false
			}
			w.due[w.next] = entry[T]{}
			if w.next++; w.next == len(w.due) {
				w.due, w.next = w.due[:0], 0
			}
			w.n--
			return e.item, true
		}
		if w.n == 0 {
			w.now = max(w.now, now/w.tick)
			return item, false
		}
		if w.now >= now/w.tick {
			return item, false
		}
		w.advance(now / w.tick)
	}
}

// Next gives a time at which Pop should be called: that of the first timer, or earlier.
func (w *Wheel[T]) Next() (at int64, ok bool) {
	if w.next < len(w.due) {
		return w.due[w.next].at, true
	}
	if w.n == 0 {
		return 0, false
	}
	best := int64(-1)
	for level := range levels {
		if t, found := w.first(level); found && (best < 0 || t < best) {
			best = t
		}
	}
	if best < 0 {
		best = w.far[0].at / w.tick
		for _, e := range w.far {
			best = min(best, e.at/w.tick)
		}
		best = max(w.now+1, best)
	}
	if best == w.now+1 || w.used[0] != [slots / 64]uint64{} {
		// Within the lowest level the exact time is known.
		if t, found := w.first(0); found && t == best {
			at := int64(1<<63 - 1)
			for _, e := range w.wheel[0][int(t)&(slots-1)] {
				at = min(at, e.at)
			}
			return at, true
		}
	}
	return best * w.tick, true
}

// first gives the tick at which the first used slot of a level begins.
func (w *Wheel[T]) first(level int) (tick int64, found bool) {
	base := w.now >> (shift * level)
	from := int(base+1) & (slots - 1)
	for k := 0; k < slots; {
		slot := (from + k) & (slots - 1)
		if word := w.used[level][slot/64] >> (slot % 64); word != 0 {
			k += bits.TrailingZeros64(word)
			if k >= slots {
				break
			}
			return (base + 1 + int64(k)) << (shift * level), true
		}
		k += 64 - slot%64
	}
	return 0, false
}

// advance goes to the next slot with timers, or to a tick if there is none before it, and takes that slot out.
func (w *Wheel[T]) advance(to int64) {
	t := to
	for level := range levels {
		if x, found := w.first(level); found {
			t = min(t, x)
		}
	}
	// Far timers are looked at whenever the highest level turns.
	if turn := (w.now>>(shift*levels) + 1) << (shift * levels); len(w.far) > 0 && turn <= t {
		t = turn
	}
	was := w.now
	w.now = t
	if len(w.far) > 0 && was>>(shift*levels) != t>>(shift*levels) {
		far := w.far
		w.far = nil
		for _, e := range far {
			w.put(e)
		}
	}
	for level := levels - 1; level >= 0; level-- { // higher slots that begin here come down
		if t&(1<<(shift*level)-1) != 0 {
			continue
		}
		slot := int(t>>(shift*level)) & (slots - 1)
		list := w.wheel[level][slot]
		if len(list) == 0 {
			continue
		}
		w.wheel[level][slot] = nil
		w.used[level][slot/64] &^= 1 << (slot % 64)
		if level == 0 {
			slices.SortFunc(list, compare[T])
			if w.next == len(w.due) {
				w.due, w.next = append(w.due[:0], list...), 0
				w.wheel[0][slot] = list[:0]
				continue
			}
		}
		for _, e := range list {
			w.put(e)
		}
	}
}

// Waiting is a timer that waits.
type Waiting[T any] struct {
	At   int64
	Item T
}

// All gives the timers that wait, in the order in which they will come: what a wheel is, whatever its slots.
func (w *Wheel[T]) All() (out []Waiting[T]) {
	list := append([]entry[T](nil), w.due[w.next:]...)
	list = append(list, w.far...)
	for level := range w.wheel {
		for word, used := range w.used[level] {
			for ; used != 0; used &= used - 1 {
				list = append(list, w.wheel[level][word*64+bits.TrailingZeros64(used)]...)
			}
		}
	}
	slices.SortFunc(list, compare[T])
	for _, e := range list {
		out = append(out, Waiting[T]{e.at, e.item})
	}
	return out
}

package catalogue

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/btree"
)

// titleIndex is a data structure for titles that change while they are read.
type titleIndex interface {
	get(name string) *Title
	update(list []*Title)
}

type trie struct{ c *Catalogue }

func (k trie) get(name string) *Title { t, _ := k.c.Current().Get(name); return t }
func (k trie) update(list []*Title) {
	v := k.c.Current()
	next := &Version{VersionID: VersionID{Number: v.Number + 1}, tree: v.tree}
	for _, t := range list {
		next.tree, _ = next.tree.with(t)
	}
	k.c.current.Store(next)
}

type lockedMap struct {
	mu sync.RWMutex
	m  map[string]*Title
}

func (k *lockedMap) get(name string) *Title { k.mu.RLock(); defer k.mu.RUnlock(); return k.m[name] }
func (k *lockedMap) update(list []*Title) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range list {
		k.m[t.Name] = t
	}
}

type copiedMap struct {
	m atomic.Pointer[map[string]*Title]
}

func (k *copiedMap) get(name string) *Title { return (*k.m.Load())[name] }
func (k *copiedMap) update(list []*Title) {
	m := maps.Clone(*k.m.Load())
	for _, t := range list {
		m[t.Name] = t
	}
	k.m.Store(&m)
}

type btreeIndex struct {
	t atomic.Pointer[btree.BTreeG[*Title]]
}

func (k *btreeIndex) get(name string) *Title { t, _ := k.t.Load().Get(&Title{Name: name}); return t }
func (k *btreeIndex) update(list []*Title) {
	t := k.t.Load().Copy()
	for _, x := range list {
		t.Set(x)
	}
	k.t.Store(t)
}

// BenchmarkCatalogue compares the data structures at several sizes: bytes per title of the structure alone, the time of
// an update of 100 titles, and lookups (p50, p99 and maximum, in ns) while there is such an update every 10 ms.
func BenchmarkCatalogue(b *testing.B) {
	for _, size := range []int{1_000, 100_000, 3_000_000} {
		names := make([]*Title, size)
		for i := range names {
			names[i] = title(i, 1, 2)
		}
		for _, kind := range []string{"trie", "locked", "copied", "btree"} {
			b.Run(fmt.Sprintf("%s/%d", kind, size), func(b *testing.B) {
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				var titles titleIndex
				switch kind {
				case "trie":
					v := tree{}
					for _, t := range names {
						v, _ = v.with(t)
					}
					titles = trie{New(&Version{tree: v})}
				case "locked":
					l := &lockedMap{m: map[string]*Title{}}
					l.update(names)
					titles = l
				case "copied":
					m := map[string]*Title{}
					for _, t := range names {
						m[t.Name] = t
					}
					c := &copiedMap{}
					c.m.Store(&m)
					titles = c
				default:
					t := btree.NewBTreeGOptions(func(a, b *Title) bool { return a.Name < b.Name },
						btree.Options{NoLocks: true})
					for _, x := range names {
						t.Set(x)
					}
					o := &btreeIndex{}
					o.t.Store(t)
					titles = o
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				var stop atomic.Bool
				var wg sync.WaitGroup
				var changes, spent int64
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := 0; !stop.Load(); i++ {
						startedAt := time.Now()
						titles.update(names[i*100%(size-100) : i*100%(size-100)+100])
						spent += int64(time.Since(startedAt))
						changes++
						time.Sleep(10 * time.Millisecond)
					}
				}()
				durations := make([]int64, 0, 200_000)
				for i := 0; i < 200_000; i++ {
					name := names[i*7919%size].Name
					startedAt := time.Now()
					titles.get(name)
					durations = append(durations, int64(time.Since(startedAt)))
				}
				time.Sleep(50 * time.Millisecond)
				stop.Store(true)
				wg.Wait()
				slices.Sort(durations)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/title")
				b.ReportMetric(float64(spent)/float64(changes)/1000, "us/change")
				b.ReportMetric(float64(durations[len(durations)/2]), "p50-ns")
				b.ReportMetric(float64(durations[len(durations)*99/100]), "p99-ns")
				b.ReportMetric(float64(durations[len(durations)-1]), "max-ns")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(titles)
			})
		}
	}
}

// BenchmarkLoad reads 3 million titles with two holders each from a file, as a front does when it starts.
func BenchmarkLoad(b *testing.B) {
	v, err := Build(1, func(yield func(*Title) bool) {
		for i := range 3_000_000 {
			if !yield(title(i, 1, 2)) {
				return
			}
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	dir := Dir{Path: b.TempDir()}
	if err := dir.Deliver("full.cat", v.Write); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		if got, err := dir.Load(); err != nil || got.VersionID != v.VersionID {
			b.Fatal(err)
		}
	}
}

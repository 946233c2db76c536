// Package timerwheel implements a hierarchical timing wheel. Setting a timer takes O(1), for fronts with tens of
// thousands of deadlines, most of which have no effect when they pass. It has 4 levels of 256 slots; a slot of one
// level spans the whole level below it. The caller passes the time in, and due timers are returned in the order of
// their times, then of their setting, so that runs can be replayed.
package timerwheel

import (
	"math/bits"
	"slices"
)

const (
	levels   = 4
	slots    = 256
	slotBits = 8
)

// entry is a timer with its place in the order of setting.
type entry[T any] struct {
	at   int64
	seq  uint64
	item T
}

// Wheel holds timers for items. The zero value is not usable; see New.
type Wheel[T any] struct {
	tick        int64 // width of a slot of the lowest level in nanoseconds
	currentTick int64 // last tick that was processed
	seq         uint64
	count       int
	buckets     [levels][slots][]entry[T]
	occupied    [levels][slots / 64]uint64
	overflow    []entry[T] // timers beyond the highest level
	due         []entry[T] // timers of the current tick or earlier, sorted
	nextDue     int
}

// New returns a wheel that starts at the time now, with slots of tick nanoseconds.
func New[T any](tick, now int64) *Wheel[T] { return &Wheel[T]{tick: tick, currentTick: now / tick} }

// Len returns the number of pending timers.
func (w *Wheel[T]) Len() int { return w.count }

// Set adds a timer. A timer in the past is due at once.
func (w *Wheel[T]) Set(at int64, item T) {
	w.seq++
	w.count++
	w.place(entry[T]{at, w.seq, item})
}

func (w *Wheel[T]) place(e entry[T]) {
	tick := e.at / w.tick
	delta := tick - w.currentTick
	if delta <= 0 { // its tick was processed already
		i, _ := slices.BinarySearchFunc(w.due[w.nextDue:], e, compare[T])
		w.due = slices.Insert(w.due, w.nextDue+i, e)
		return
	}
	for level := range levels {
		if delta>>(slotBits*(level+1)) == 0 {
			w.insert(level, int(tick>>(slotBits*level))&(slots-1), e)
			return
		}
	}
	w.overflow = append(w.overflow, e)
}

func (w *Wheel[T]) insert(level, slot int, e entry[T]) {
	w.buckets[level][slot] = append(w.buckets[level][slot], e)
	w.occupied[level][slot/64] |= 1 << (slot % 64)
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

// Pop removes and returns the first timer that is due at the time now, if any.
func (w *Wheel[T]) Pop(now int64) (item T, ok bool) {
	for {
		if w.nextDue < len(w.due) {
			e := w.due[w.nextDue]
			if e.at > now {
				return item, false
			}
			w.due[w.nextDue] = entry[T]{}
			if w.nextDue++; w.nextDue == len(w.due) {
				w.due, w.nextDue = w.due[:0], 0
			}
			w.count--
			return e.item, true
		}
		if w.count == 0 {
			w.currentTick = max(w.currentTick, now/w.tick)
			return item, false
		}
		if w.currentTick >= now/w.tick {
			return item, false
		}
		w.advance(now / w.tick)
	}
}

// Next returns the time at which Pop should be called: that of the first timer, or earlier.
func (w *Wheel[T]) Next() (at int64, ok bool) {
	if w.nextDue < len(w.due) {
		return w.due[w.nextDue].at, true
	}
	if w.count == 0 {
		return 0, false
	}
	earliest := int64(-1)
	for level := range levels {
		if t, found := w.firstOccupied(level); found && (earliest < 0 || t < earliest) {
			earliest = t
		}
	}
	if earliest < 0 {
		earliest = w.overflow[0].at / w.tick
		for _, e := range w.overflow {
			earliest = min(earliest, e.at/w.tick)
		}
		earliest = max(w.currentTick+1, earliest)
	}
	if earliest == w.currentTick+1 || w.occupied[0] != [slots / 64]uint64{} {
		// The exact time is known within the lowest level.
		if t, found := w.firstOccupied(0); found && t == earliest {
			at := int64(1<<63 - 1)
			for _, e := range w.buckets[0][int(t)&(slots-1)] {
				at = min(at, e.at)
			}
			return at, true
		}
	}
	return earliest * w.tick, true
}

// firstOccupied returns the tick at which the first occupied slot of a level begins.
func (w *Wheel[T]) firstOccupied(level int) (tick int64, found bool) {
	base := w.currentTick >> (slotBits * level)
	from := int(base+1) & (slots - 1)
	for k := 0; k < slots; {
		slot := (from + k) & (slots - 1)
		if word := w.occupied[level][slot/64] >> (slot % 64); word != 0 {
			k += bits.TrailingZeros64(word)
			if k >= slots {
				break
			}
			return (base + 1 + int64(k)) << (slotBits * level), true
		}
		k += 64 - slot%64
	}
	return 0, false
}

// advance moves to the tick of the next occupied slot, at most to the tick to, and empties the slots that begin there.
func (w *Wheel[T]) advance(to int64) {
	t := to
	for level := range levels {
		if x, found := w.firstOccupied(level); found {
			t = min(t, x)
		}
	}
	// Timers in overflow are placed again whenever the highest level wraps around.
	if wrap := (w.currentTick>>(slotBits*levels) + 1) << (slotBits * levels); len(w.overflow) > 0 && wrap <= t {
		t = wrap
	}
	previous := w.currentTick
	w.currentTick = t
	if len(w.overflow) > 0 && previous>>(slotBits*levels) != t>>(slotBits*levels) {
		overflow := w.overflow
		w.overflow = nil
		for _, e := range overflow {
			w.place(e)
		}
	}
	for level := levels - 1; level >= 0; level-- { // timers in slots that begin here move down a level
		if t&(1<<(slotBits*level)-1) != 0 {
			continue
		}
		slot := int(t>>(slotBits*level)) & (slots - 1)
		list := w.buckets[level][slot]
		if len(list) == 0 {
			continue
		}
		w.buckets[level][slot] = nil
		w.occupied[level][slot/64] &^= 1 << (slot % 64)
		if level == 0 {
			slices.SortFunc(list, compare[T])
			if w.nextDue == len(w.due) {
				w.due, w.nextDue = append(w.due[:0], list...), 0
				w.buckets[0][slot] = list[:0]
				continue
			}
		}
		for _, e := range list {
			w.place(e)
		}
	}
}

// PendingTimer is a timer that is not due yet.
type PendingTimer[T any] struct {
	At   int64
	Item T
}

// All returns the pending timers in the order in which Pop will return them. It does not depend on their distribution
// over the slots, so equal results mean equal wheels.
func (w *Wheel[T]) All() (out []PendingTimer[T]) {
	list := append([]entry[T](nil), w.due[w.nextDue:]...)
	list = append(list, w.overflow...)
	for level := range w.buckets {
		for word, used := range w.occupied[level] {
			for ; used != 0; used &= used - 1 {
				list = append(list, w.buckets[level][word*64+bits.TrailingZeros64(used)]...)
			}
		}
	}
	slices.SortFunc(list, compare[T])
	for _, e := range list {
		out = append(out, PendingTimer[T]{e.at, e.item})
	}
	return out
}

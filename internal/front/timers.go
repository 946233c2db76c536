package front

import "container/heap"

// timerKind tells what a timer is for.
type timerKind uint8

const (
	timerModule   timerKind = iota // the module's own; token
	timerAttempt                   // an attempt's time is up
	timerLastLine                  // a request must have its answer now
)

type timer struct {
	at      Time
	seq     uint64 // order among equal times, so that runs replay
	kind    timerKind
	token   uint32
	session uint64
	attempt int
}

// timers is a heap by time, then by order of setting.
type timers struct {
	list []timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := &t.list[i], &t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(x any)    { t.list = append(t.list, x.(timer)) }
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list = t.list[:len(t.list)-1]
	return last
}

func (t *timers) set(x timer) {
	t.seq++
	x.seq = t.seq
	heap.Push(t, x)
}

// due takes the first timer that is due, if any.
func (t *timers) due(now Time) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// Next gives the time at which Advance is to be called; ok is false if nothing waits.
func (c *Core) Next() (at Time, ok bool) {
	if len(c.timers.list) == 0 {
		return 0, false
	}
	return c.timers.list[0].at, true
}

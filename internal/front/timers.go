package front

import "tealledge/internal/wheel"

// timerKind tells what a timer is for.
type timerKind uint8

const (
	timerModule   timerKind = iota // the module's own; token
	timerAttempt                   // an attempt's time is up
	timerLastLine                  // a request must have its answer now
	timerDetached                  // a session whose player is gone was not resumed
)

type timer struct {
	at      Time
	kind    timerKind
	token   uint32
	session uint64
	attempt int
}

// wheelTick is what a slot of the timing wheel spans; timers keep their exact times.
const wheelTick = Time(1e6)

// timers is a wheel that starts with the first event.
type timers struct{ w *wheel.Wheel[timer] }

func (t *timers) begin(now Time) {
	if t.w == nil {
		t.w = wheel.New[timer](wheelTick, now)
	}
}

func (t *timers) set(x timer) { t.w.Set(x.at, x) }

// due takes the first timer that is due, if any.
func (t *timers) due(now Time) (timer, bool) { return t.w.Pop(now) }

// Next gives the time at which Advance is to be called; ok is false if nothing waits.
func (c *Core) Next() (at Time, ok bool) {
	if c.timers.w == nil {
		return 0, false
	}
	return c.timers.w.Next()
}

// Essence gives all that decides how the core goes on, to compare two states: sessions, what is known of servers and
// tokens, the module, and the timers that wait. Counters are left out.
func (c *Core) Essence() any {
	var waiting []wheel.Waiting[timer]
	if c.timers.w != nil {
		waiting = c.timers.w.All()
	}
	return struct {
		Sessions map[uint64]*session
		Open     int
		Ready    map[uint32]bool
		Tokens   tokens
		Alone    map[uint64]uint64
		Closing  bool
		Next     uint64
		Waiting  []wheel.Waiting[timer]
		Module   Module
	}{c.sessions, c.open, c.ready, c.tokens, c.alone, c.closing, c.nextID, waiting, c.cfg.Module}
}

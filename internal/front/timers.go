package front

import (
	"tealledge/decide/shutdown"
	"tealledge/internal/timerwheel"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerModule   timerKind = iota // set by the module; carries its token
	timerAttempt                   // an attempt timed out
	timerFailsafe                  // a request is still unanswered shortly before its deadline
	timerResume                    // a detached session was not resumed in time
	timerShutdown                  // all open requests are to be answered
)

type timer struct {
	at      Time
	kind    timerKind
	token   uint32
	session uint64
	attempt int
}

// wheelTick is the width of a timing wheel slot, 1 ms; timers keep their exact times.
const wheelTick = Time(1e6)

// timers is a timing wheel that starts with the first event.
type timers struct{ queue *timerwheel.Wheel[timer] }

func (t *timers) start(now Time) {
	if t.queue == nil {
		t.queue = timerwheel.New[timer](wheelTick, now)
	}
}

func (t *timers) set(x timer) { t.queue.Set(x.at, x) }

// popDue removes and returns the first timer that is due, if any.
func (t *timers) popDue(now Time) (timer, bool) { return t.queue.Pop(now) }

// Next returns the time at which Advance should be called; ok is false if no timer is set.
func (c *Core) Next() (at Time, ok bool) {
	if c.timers.queue == nil {
		return 0, false
	}
	return c.timers.queue.Next()
}

// ComparisonState returns all state that affects the core's future behaviour, so that two states can be compared:
// sessions, readiness of servers, tokens, the module and the pending timers. Counters are left out.
func (c *Core) ComparisonState() any {
	var pending []timerwheel.PendingTimer[timer]
	if c.timers.queue != nil {
		pending = c.timers.queue.All()
	}
	return struct {
		Sessions map[uint64]*session
		Requests int
		Ready    map[uint32]bool
		Tokens   moveTokens
		Detached map[uint64]uint64
		Closing  bool
		Shutdown *shutdown.Plan
		NextID   uint64
		Timers   []timerwheel.PendingTimer[timer]
		Module   Module
	}{c.sessions, c.openRequests, c.readyServers, c.moveTokens, c.detached, c.closing, c.shutdown, c.nextID, pending,
		c.cfg.Module}
}

// NextSessionTimer returns the time of the core's own next timer: for an attempt in flight, an unanswered request or a
// detached session. The module's timers and timers that no longer have an effect on their session do not count.
func (c *Core) NextSessionTimer() (at Time, ok bool) {
	if c.timers.queue == nil {
		return 0, false
	}
	for _, t := range c.timers.queue.All() {
		s := c.sessions[t.Item.session]
		if s == nil {
			continue
		}
		matters := false
		switch t.Item.kind {
		case timerAttempt:
			matters = s.inFlight && !s.abandoned && s.attempts-1 == t.Item.attempt
		case timerFailsafe:
			matters = !s.answered && !s.closed
		case timerResume:
			matters = s.detached && s.detachCount == t.Item.attempt
		}
		if matters && (!ok || t.At < at) {
			at, ok = t.At, true
		}
	}
	return at, ok
}

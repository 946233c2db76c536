package front

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"tealledge/decide/fate"
	"tealledge/policy"
)

// feed hands an event to the module and carries out what it decides. Events that arise meanwhile wait their turn:
// the module is never entered twice.
func (c *Core) feed(e policy.Event) {
	c.pending = append(c.pending, e)
	if c.feeding {
		return
	}
	c.feeding = true
	for i := 0; i < len(c.pending); i++ {
		for _, a := range c.cfg.Module.Handle(c.now, c.pending[i]) {
			c.carry(a)
		}
	}
	c.pending, c.feeding = c.pending[:0], false
}

func (c *Core) carry(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		c.send(a)
	case policy.Refuse:
		if s := c.owed(a.ID, "refuse"); s != nil {
			if c.paid(s) && (s.mayRun || s.out) {
				c.fault("refusal of a paid session that may have run: %d", s.id)
				c.fail(s)
				return
			}
			c.refuse(s, a.After)
		}
	case policy.Fail:
		if s := c.owed(a.ID, "fail"); s != nil {
			c.fail(s)
		}
	case policy.Cancel:
		if s := c.sessions[a.ID]; s != nil && s.out && !s.dropped && s.attempts-1 == a.Attempt {
			c.abandon(s, fate.Withdrawn)
		}
	case policy.Move:
		c.move(c.sessions[a.ID])
	case policy.Rate:
		c.rate(c.sessions[a.ID], a.Rung)
	case policy.Timer:
		c.timers.set(timer{at: c.now + max(a.After, 0), kind: timerModule, token: a.Token})
	case policy.Probe:
		c.stats.Probes++
		c.do(Probe{a.Server})
	case policy.Follow:
		c.do(Follow{})
	case policy.Log:
		c.do(Log{a.Text})
	}
}

// send starts an attempt, if no rule forbids it. What the last line holds back counts as never run.
func (c *Core) send(a policy.Send) {
	s := c.sessions[a.ID]
	var wrong string
	switch {
	case s == nil || s.answered || s.left:
		c.fault("set-up for a request that is over: %d", a.ID)
		return
	case s.out || s.playing:
		c.fault("second attempt while one is out: %d", a.ID)
		return
	case !c.ready[a.Server]:
		wrong = "set-up for a server that is not ready"
	case c.paid(s) && s.mayRun:
		wrong = "paid set-up again that may have run"
	case c.cfg.Settings.MaxAttempts > 0 && s.attempts >= c.cfg.Settings.MaxAttempts:
		wrong = "more attempts than allowed"
	}
	s.attempts++
	s.server = a.Server
	if wrong != "" {
		c.fault("%s: session %d, server %d", wrong, s.id, a.Server)
		c.feed(policy.Outcome{ID: s.id, Attempt: s.attempts - 1, Server: a.Server, Status: policy.Moot})
		return
	}
	c.stats.Attempts++
	c.stats.Further += count(s.attempts > 1)
	s.out = true
	timeout := a.Timeout
	if left := s.deadline - c.now; timeout <= 0 || timeout > left {
		timeout = left
	}
	c.timers.set(timer{at: c.now + timeout, kind: timerAttempt, session: s.id, attempt: s.attempts - 1})
	c.do(Setup{s.id, s.attempts - 1, a.Server, s.ask.Title, s.ask.Class, s.ask.Viewer, s.rung, s.ask.Name, s.ask.Text, timeout})
}

func (c *Core) abandon(s *session, cause fate.Cause) {
	s.dropped = true
	c.do(Abandon{s.id, s.attempts - 1, s.server, cause})
}

func (c *Core) rate(s *session, rung int) {
	if s == nil {
		return
	}
	if rung < 0 || rung >= len(c.cfg.Settings.RungKB) || rung < c.cfg.Settings.Classes[s.ask.Class].Floor {
		c.fault("rung %d for session %d of class %d", rung, s.id, s.ask.Class)
		return
	}
	s.rung = rung
	if s.playing {
		c.do(SetRung{s.id, s.attempts - 1, s.server, rung})
		c.do(RungTold{s.ask.Player, s.id, rung})
	}
}

// move takes a playing session off its server; its player comes again with a token.
func (c *Core) move(s *session) {
	if s == nil || !s.playing || s.left {
		return
	}
	c.stats.Moves++
	token := s.ask.Viewer
	if !c.cfg.KnownViewers {
		token = c.cfg.Token()
	}
	c.tokens.put(token, s.ask.Viewer, c.now)
	s.left = true
	c.do(Stop{s.id, s.attempts - 1, s.server, true})
	c.do(Moved{s.ask.Player, s.id, token})
	c.finish(s, policy.CancelledSt, nil)
}

// ---- Answers ----

// owed gives the session if its answer is still owed and may be given now.
func (c *Core) owed(id uint64, what string) *session {
	s := c.sessions[id]
	if s == nil || s.answered || s.left {
		if s == nil || !s.left {
			c.fault("%s for a request that is over: %d", what, id)
		}
		return nil
	}
	return s
}

// answer marks the request answered. It gives false if it was already: no second answer leaves this core.
func (c *Core) answer(s *session) bool {
	if s.answered {
		c.fault("second answer for session %d", s.id)
		return false
	}
	c.settle(s)
	return true
}

// settle books that no answer is owed any more.
func (c *Core) settle(s *session) {
	if !s.answered {
		s.answered = true
		c.open--
	}
}

func (c *Core) refuse(s *session, after Time) {
	if c.answer(s) {
		c.stats.Refused++
		c.do(Refused{s.ask.Player, s.id, after})
		c.close(s)
	}
}

func (c *Core) fail(s *session) {
	if c.answer(s) {
		c.stats.Failed++
		c.do(Failed{s.ask.Player, s.id})
		c.close(s)
	}
}

// close forgets a request that was answered with no. An attempt still out is abandoned first.
func (c *Core) close(s *session) {
	s.left = true
	if !s.out {
		delete(c.sessions, s.id)
		return
	}
	if !s.dropped {
		c.abandon(s, fate.Withdrawn)
	}
}

// lastLine fails a request that the module left without an answer for too long. Danger: a fault in the module or
// here would leave a player waiting for ever. It never acts while both work.
func (c *Core) lastLine(s *session) {
	if s == nil || s.answered || s.left {
		return
	}
	c.fault("no answer from the module in time: session %d", s.id)
	c.feed(policy.Gone{ID: s.id})
	c.fail(s)
}

func (c *Core) fault(format string, args ...any) {
	c.stats.Faults++
	c.do(Fault{fmt.Sprintf(format, args...)})
}

func (c *Core) paid(s *session) bool {
	return s.ask.Class >= 0 && s.ask.Class < len(c.cfg.Settings.Classes) && c.cfg.Settings.Classes[s.ask.Class].Paid
}

// ---- Tokens of moved players ----

type moved struct {
	viewer uint64
	until  Time
}

// tokens remembers the newest few players that were told to come again.
type tokens struct {
	byToken map[uint64]moved
	order   []uint64
	most    int
	lasts   Time
}

func (t *tokens) put(token, viewer uint64, now Time) {
	t.byToken[token] = moved{viewer, now + t.lasts}
	t.order = append(t.order, token)
	for len(t.order) > t.most {
		delete(t.byToken, t.order[0])
		t.order = t.order[1:]
	}
}

// redeem takes a token once, for the viewer that it was given to.
func (t *tokens) redeem(token, viewer uint64, now Time) bool {
	m, ok := t.byToken[token]
	if !ok || m.viewer != viewer || now > m.until {
		return false
	}
	delete(t.byToken, token)
	return true
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func count(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

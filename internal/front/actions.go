package front

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"tealledge/decide/outcome"
	"tealledge/policy"
)

// feed passes an event to the module and executes the actions that it returns. Events that arise meanwhile are queued:
// the module is never entered recursively.
func (c *Core) feed(e policy.Event) {
	c.pendingEvents = append(c.pendingEvents, e)
	if c.feeding {
		return
	}
	c.feeding = true
	for i := 0; i < len(c.pendingEvents); i++ {
		for _, a := range c.cfg.Module.Handle(c.now, c.pendingEvents[i]) {
			c.execute(a)
		}
	}
	c.pendingEvents, c.feeding = c.pendingEvents[:0], false
}

func (c *Core) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		c.startAttempt(a)
	case policy.Refuse:
		if s := c.unanswered(a.ID, "refuse"); s != nil {
			if c.paid(s) && (s.mayHaveRun || s.inFlight) {
				c.fault("refusal of a paid session that may have run: %d", s.id)
				c.fail(s, ReasonMayHaveRun)
				return
			}
			c.refuse(s, a.After, ReasonModule)
		}
	case policy.Fail:
		if s := c.unanswered(a.ID, "fail"); s != nil {
			c.fail(s, ReasonModule)
		}
	case policy.Cancel:
		if s := c.sessions[a.ID]; s != nil && s.inFlight && !s.abandoned && s.attempts-1 == a.Attempt {
			c.abandon(s, outcome.Cancelled)
		}
	case policy.Move:
		c.move(c.sessions[a.ID])
	case policy.Rate:
		c.setRung(c.sessions[a.ID], a.Rung)
	case policy.Timer:
		c.timers.set(timer{at: c.now + max(a.After, 0), kind: timerModule, token: a.Token})
	case policy.Probe:
		c.stats.Probes++
		c.emit(Probe{a.Server})
	case policy.Subscribe:
		c.emit(Subscribe{})
	case policy.Log:
		c.emit(Log{a.Text})
	}
}

// startAttempt starts an attempt if no safety rule forbids it. The module gets a forbidden attempt as one that never
// ran.
func (c *Core) startAttempt(a policy.Send) {
	s := c.sessions[a.ID]
	var violation string
	switch {
	case s == nil || s.answered || s.closed:
		c.fault("set-up for a request that is over: %d", a.ID)
		return
	case s.inFlight || s.playing:
		c.fault("second attempt while one is out: %d", a.ID)
		return
	case !c.readyServers[a.Server]:
		violation = "set-up for a server that is not ready"
	case c.paid(s) && s.mayHaveRun:
		violation = "paid set-up again that may have run"
	case c.cfg.Settings.MaxAttempts > 0 && s.attempts >= c.cfg.Settings.MaxAttempts:
		violation = "more attempts than allowed"
	}
	s.attempts++
	s.server = a.Server
	if violation != "" {
		c.fault("%s: session %d, server %d", violation, s.id, a.Server)
		c.feed(policy.Outcome{ID: s.id, Attempt: s.attempts - 1, Server: a.Server, Status: policy.NotSent})
		return
	}
	c.stats.Attempts++
	c.stats.Further += countIf(s.attempts > 1)
	s.inFlight = true
	timeout := a.Timeout
	if remaining := s.deadline - c.now; timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	c.timers.set(timer{at: c.now + timeout, kind: timerAttempt, session: s.id, attempt: s.attempts - 1})
	c.emit(Setup{s.id, s.attempts - 1, a.Server, s.request.Title, s.request.Class, s.request.Viewer, s.rung,
		s.request.Name, s.request.Text, timeout})
}

func (c *Core) abandon(s *session, cause outcome.Cause) {
	s.abandoned = true
	c.justAbandoned = append(c.justAbandoned, s.id)
	c.emit(Abandon{s.id, s.attempts - 1, s.server, cause})
}

func (c *Core) setRung(s *session, rung int) {
	if s == nil {
		return
	}
	if rung < 0 || rung >= len(c.cfg.Settings.RungKB) || rung < c.cfg.Settings.Classes[s.request.Class].Floor {
		c.fault("rung %d for session %d of class %d", rung, s.id, s.request.Class)
		return
	}
	s.rung = rung
	if s.playing {
		c.emit(SetRung{s.id, s.attempts - 1, s.server, rung})
		c.emit(RungChanged{s.request.Player, s.id, rung})
	}
}

// move stops a playing session at its server and gives its player a token for a new request.
func (c *Core) move(s *session) {
	if s == nil || !s.playing || s.closed {
		return
	}
	c.stats.Moves++
	token := s.request.Viewer
	if !c.cfg.TrustViewerIDs {
		token = c.cfg.NewToken()
	}
	c.moveTokens.put(token, s.request.Viewer, c.now)
	s.closed = true
	c.emit(Stop{s.id, s.attempts - 1, s.server, true})
	c.emit(Moved{s.request.Player, s.id, token})
	c.finish(s, policy.Cancelled, nil)
}

// Answers.

// unanswered returns the session if it has no answer yet, and nil otherwise.
func (c *Core) unanswered(id uint64, action string) *session {
	s := c.sessions[id]
	if s == nil || s.answered || s.closed {
		if s == nil || !s.closed {
			c.fault("%s for a request that is over: %d", action, id)
		}
		return nil
	}
	return s
}

// answer marks the request answered. It returns false if it was answered before: the core never sends a second answer.
func (c *Core) answer(s *session) bool {
	if s.answered {
		c.fault("second answer for session %d", s.id)
		return false
	}
	c.markAnswered(s)
	return true
}

// markAnswered records that the request needs no further answer.
func (c *Core) markAnswered(s *session) {
	if !s.answered {
		s.answered = true
		c.openRequests--
	}
}

func (c *Core) refuse(s *session, retryAfter Time, reason AnswerReason) {
	if c.answer(s) {
		c.stats.Refused++
		c.emit(Refused{s.request.Player, s.id, retryAfter, reason})
		c.close(s)
	}
}

func (c *Core) fail(s *session, reason AnswerReason) {
	if c.answer(s) {
		c.stats.Failed++
		c.emit(Failed{s.request.Player, s.id, reason})
		c.close(s)
	}
}

// close removes a request that was refused or failed. An attempt in flight is abandoned first.
func (c *Core) close(s *session) {
	s.closed = true
	if !s.inFlight {
		delete(c.sessions, s.id)
		return
	}
	if !s.abandoned {
		c.abandon(s, outcome.Cancelled)
	}
}

// failUnanswered fails a request that the module did not answer in time. It guards against a bug in the module or the
// core that would leave a player waiting forever. Without one, it acts only on an attempt that timed out in the same
// call of Advance, as the owner of the core is late: the module gets the end of that attempt after this.
func (c *Core) failUnanswered(s *session) {
	if s == nil || s.answered || s.closed {
		return
	}
	if slices.Contains(c.justAbandoned, s.id) {
		c.feed(policy.ViewerLeft{ID: s.id})
		c.fail(s, ReasonPastDeadline)
		return
	}
	c.fault("no answer from the module in time: session %d", s.id)
	c.feed(policy.ViewerLeft{ID: s.id})
	c.fail(s, ReasonNoDecision)
}

func (c *Core) fault(format string, args ...any) {
	c.stats.Faults++
	c.emit(Fault{fmt.Sprintf(format, args...)})
}

func (c *Core) paid(s *session) bool {
	return s.request.Class >= 0 && s.request.Class < len(c.cfg.Settings.Classes) &&
		c.cfg.Settings.Classes[s.request.Class].Paid
}

// moveToken is the token of a moved player.
type moveToken struct {
	viewer    uint64
	expiresAt Time
}

// moveTokens holds the tokens of the most recently moved players, up to maxTokens.
type moveTokens struct {
	byToken   map[uint64]moveToken
	order     []uint64
	maxTokens int
	ttl       Time
}

func (t *moveTokens) put(token, viewer uint64, now Time) {
	t.byToken[token] = moveToken{viewer, now + t.ttl}
	t.order = append(t.order, token)
	for len(t.order) > t.maxTokens {
		delete(t.byToken, t.order[0])
		t.order = t.order[1:]
	}
}

// redeem consumes a token, once and only for the viewer that it was issued to.
func (t *moveTokens) redeem(token, viewer uint64, now Time) bool {
	m, ok := t.byToken[token]
	if !ok || m.viewer != viewer || now > m.expiresAt {
		return false
	}
	delete(t.byToken, token)
	return true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func countIf(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

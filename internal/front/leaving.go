package front

import (
	"tealledge/decide/shutdown"
	"tealledge/policy"
)

// The end of a front: requests are answered before it, by a plan or all at once.

// closeAll ends all requests and sessions at once.
func (c *Core) closeAll() {
	c.closing = true
	for _, id := range sortedKeys(c.sessions) {
		s := c.sessions[id]
		if s == nil || s.closed {
			continue
		}
		if !s.answered {
			c.turnAway(s)
		}
		if s.playing {
			c.emit(SessionEnded{s.request.Player, s.id, EndReasonFrontLeaving})
		}
		c.leave(s)
	}
}

// beginShutdown limits the deadlines of all requests by a plan.
func (c *Core) beginShutdown(plan shutdown.Plan) {
	c.shutdown = &plan
	c.timers.set(timer{at: plan.AnswerBy, kind: timerShutdown})
}

// answerAll answers all open requests: their clients would otherwise wait beyond the end of the front.
func (c *Core) answerAll() {
	if c.shutdown == nil || c.now < c.shutdown.AnswerBy {
		return
	}
	for _, id := range sortedKeys(c.sessions) {
		s := c.sessions[id]
		if s == nil || s.answered || s.closed {
			continue
		}
		c.feed(policy.ViewerLeft{ID: s.id})
		c.turnAway(s)
	}
}

// turnAway answers a request of a front that ends: it is refused, unless it is paid and may have run.
func (c *Core) turnAway(s *session) {
	if c.paid(s) && (s.mayHaveRun || s.inFlight) {
		c.fail(s, ReasonFrontLeaving)
		return
	}
	c.refuse(s, c.cfg.Settings.MaxRetryAfter, ReasonFrontLeaving)
}

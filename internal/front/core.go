package front

import (
	"tealledge/decide/admission"
	"tealledge/decide/outcome"
	"tealledge/decide/shutdown"
	"tealledge/policy"
)

// Core is the state machine of one front. It is not safe for concurrent use: one goroutine owns it.
type Core struct {
	cfg          Config
	now          Time
	nextID       uint64
	sessions     map[uint64]*session
	openRequests int // requests without an answer
	readyServers map[uint32]bool
	moveTokens   moveTokens
	timers       timers
	stats        Stats

	effects       []Effect
	justAbandoned []uint64       // sessions whose attempt was abandoned in this call of Step or Advance
	pendingEvents []policy.Event // for the module, in order of arrival
	feeding       bool
	closing       bool              // CloseAll was received
	shutdown      *shutdown.Plan    // nil: the front is not shutting down
	detached      map[uint64]uint64 // sessions that wait to be resumed, by viewer
}

// session is a request from its arrival until nothing of it remains here or at a server.
type session struct {
	id          uint64
	request     Request
	deadline    Time // of the player
	answered    bool
	closed      bool // the player left or was moved, or the request was refused or failed
	rung        int
	attempts    int    // sent so far; the one in flight or playing is attempts-1
	server      uint32 // of the latest attempt
	inFlight    bool   // an attempt has no outcome yet
	abandoned   bool   // the attempt in flight was abandoned; its AttemptEnded is pending
	playing     bool
	mayHaveRun  bool // an earlier attempt may have run
	token       uint64
	detached    bool // it plays, and its player's connection is lost
	detachCount int  // how often the player's connection was lost
}

// New returns a core without servers; the server list arrives as an event.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, nextID: cfg.FirstID,
		sessions: map[uint64]*session{}, readyServers: map[uint32]bool{}, detached: map[uint64]uint64{},
		moveTokens: moveTokens{byToken: map[uint64]moveToken{}, maxTokens: cfg.MaxMoveTokens, ttl: cfg.MoveTokenTTL}}
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// OpenRequests returns the number of requests without an answer.
func (c *Core) OpenRequests() int { return c.openRequests }

// SessionCount returns the number of sessions held, including open requests and attempts that are being torn down.
func (c *Core) SessionCount() int { return len(c.sessions) }

// Step handles an event and returns the resulting effects in order. The slice is valid until the next call. Timers fire
// in Advance only: after a pause of the process, a reply that arrived in time is handled before the timeout that it
// raced, unless the player's own deadline has passed too.
func (c *Core) Step(now Time, event Event) []Effect {
	c.setTime(now)
	c.dispatch(event)
	return c.effects
}

// Advance moves the time forward and returns the effects of the timers that are due.
func (c *Core) Advance(now Time) []Effect {
	c.setTime(now)
	c.runTimers()
	return c.effects
}

func (c *Core) setTime(now Time) {
	c.now = max(now, c.now, 1) // the time never goes back, even if the clock does
	c.timers.start(c.now)
	c.effects, c.justAbandoned = c.effects[:0], c.justAbandoned[:0]
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) runTimers() {
	for {
		t, ok := c.timers.popDue(c.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerModule:
			c.feed(policy.TimerFired{Token: t.token})
		case timerAttempt:
			if s := c.sessions[t.session]; s != nil && s.inFlight && !s.abandoned && s.attempts-1 == t.attempt {
				c.abandon(s, outcome.Expired)
			}
		case timerFailsafe:
			c.failUnanswered(c.sessions[t.session])
		case timerShutdown:
			c.answerAll()
		case timerResume:
			c.expireDetached(t)
		}
	}
}

func (c *Core) dispatch(event Event) {
	switch e := event.(type) {
	case Request:
		c.handleRequest(e)
	case Leave:
		c.leave(c.sessions[e.Session])
	case Detach:
		c.detach(c.sessions[e.Session])
	case Resume:
		c.resume(e)
	case Restore:
		c.restore(e)
	case AttemptStarted:
		c.attemptStarted(e)
	case AttemptEnded:
		c.attemptEnded(e)
	case Note:
		if s := c.sessions[e.Session]; s != nil && s.playing && s.attempts-1 == e.Attempt {
			c.feed(policy.Note{ID: s.id, Attempt: e.Attempt, Server: s.server, Kind: e.Kind, Value: e.Value})
		}
	case Probed:
		c.feed(policy.Probed{Server: e.Server, Status: e.Status, Took: e.Took, Report: e.Report})
	case Listed:
		c.updateServers(e.List)
	case Vacate:
		c.feed(e.Vacate)
	case CloseAll:
		c.closeAll()
	case Shutdown:
		c.beginShutdown(e.Plan)
	}
}

// handleRequest opens a session for a request. From here on the request gets exactly one answer, unless its player
// leaves.
func (c *Core) handleRequest(request Request) {
	c.supersede(request.Viewer)
	c.nextID++
	timeout := request.Timeout
	if request.Class >= 0 && request.Class < len(c.cfg.Settings.Classes) {
		// For a class without a deadline the player's own timeout applies.
		if limit := c.cfg.Settings.Classes[request.Class].Deadline; timeout <= 0 || limit > 0 && timeout > limit {
			timeout = limit
		}
	}
	id := c.nextID
	if request.ID != 0 {
		if id = request.ID; c.IDInUse(id) { // the records of both sessions would mix
			c.fault("request with the ID of another session: %d", id)
			return
		}
	}
	if c.cfg.TrustViewerIDs {
		request.Token = request.Viewer
	}
	s := &session{id: id, request: request, deadline: request.ReadAt + timeout}
	if s.request.Class >= 0 && s.request.Class < len(c.cfg.Settings.Classes) {
		s.rung = c.cfg.Settings.Classes[request.Class].Floor
	}
	c.sessions[s.id] = s
	c.stats.Taken++
	c.openRequests++
	if request.Draining {
		c.refuse(s, c.cfg.Settings.MaxRetryAfter, ReasonDraining)
		return
	}
	if admission.PastDeadline(c.now, s.deadline) {
		c.fail(s, ReasonPastDeadline)
		return
	}
	if c.shutdown != nil {
		if !c.shutdown.Admits(c.now, s.deadline) {
			c.refuse(s, c.cfg.Settings.MaxRetryAfter, ReasonFrontLeaving)
			return
		}
		s.deadline = c.shutdown.LimitDeadline(s.deadline)
	}
	c.timers.set(timer{at: s.deadline - c.cfg.FailsafeMargin, kind: timerFailsafe, session: s.id})
	spec := policy.SessionSpec{ID: s.id, Title: request.Title, Viewer: request.Viewer, Class: request.Class,
		Tenant: request.Tenant, Home: request.Home, Copies: request.Copies, Top: request.Top,
		Deadline: s.deadline - c.cfg.AnswerMargin, Length: request.Length, Hinted: request.Hinted,
		Again: request.Again, Holders: request.Holders}
	if request.Token != 0 && c.moveTokens.redeem(request.Token, request.Viewer, c.now) {
		spec.Moved, spec.Again = true, true
	}
	c.feed(policy.Request{SessionSpec: spec})
}

func (c *Core) leave(s *session) {
	if s == nil || s.closed {
		return
	}
	s.closed = true
	c.markAttached(s)
	switch {
	case s.playing:
		c.emit(Stop{s.id, s.attempts - 1, s.server, false})
		c.finish(s, policy.OK, nil)
	case s.inFlight:
		c.markAnswered(s)
		c.stats.Left++
		c.feed(policy.ViewerLeft{ID: s.id})
		if !s.abandoned {
			c.abandon(s, outcome.Cancelled)
		}
	default:
		c.markAnswered(s)
		c.stats.Left++
		c.feed(policy.ViewerLeft{ID: s.id})
		delete(c.sessions, s.id)
	}
}

func (c *Core) attemptStarted(e AttemptStarted) {
	s := c.sessions[e.Session]
	if s == nil || !s.inFlight || s.abandoned || s.closed || s.attempts-1 != e.Attempt {
		return // the shell tears down abandoned attempts and reports their AttemptEnded
	}
	if c.now >= s.deadline { // the player has given up
		c.abandon(s, outcome.Expired)
		return
	}
	s.inFlight, s.playing = false, true
	if !c.answer(s) {
		c.emit(Stop{s.id, e.Attempt, s.server, false})
		c.finish(s, policy.Cancelled, e.Report)
		return
	}
	c.stats.Plays++
	if s.request.Text = ""; !c.cfg.TrustViewerIDs {
		s.token = c.cfg.NewToken()
	}
	c.emit(Plays{s.request.Player, s.id, s.server, s.rung, s.token, e.Text})
	c.feed(policy.Playing{ID: s.id, Attempt: e.Attempt, Server: s.server, Took: e.Took})
	if c.cfg.Settings.InlineReports {
		c.feedReport(s, e.Report)
	}
}

// feedReport passes the report in a set-up's reply to the module as notes on the new stream.
func (c *Core) feedReport(s *session, report []float64) {
	for i, f := range c.cfg.Settings.Fields[:min(len(c.cfg.Settings.Fields), len(report))] {
		kind := policy.NoteLink
		switch f {
		case policy.FieldUplink:
			kind = policy.NoteUplink
		case policy.FieldLink, policy.FieldUtil:
		default:
			continue
		}
		c.feed(policy.Note{ID: s.id, Attempt: s.attempts - 1, Server: s.server, Kind: kind, Value: report[i]})
	}
}

func (c *Core) attemptEnded(e AttemptEnded) {
	s := c.sessions[e.Session]
	if s == nil || s.attempts-1 != e.Attempt || !s.inFlight && !s.playing {
		return
	}
	if s.playing {
		c.stats.Lost += countIf(e.Status != policy.OK)
		reason := EndReasonLost
		switch e.Status {
		case policy.OK:
			reason = EndReasonFinished
		case policy.Cancelled: // the player ended it at the server
			reason = EndReasonPlayerLeft
		}
		c.emit(SessionEnded{s.request.Player, s.id, reason})
		c.finish(s, e.Status, e.Report)
		return
	}
	s.inFlight, s.abandoned = false, false
	s.mayHaveRun = s.mayHaveRun || !outcome.NeverRan(e.Status)
	c.feed(policy.Outcome{ID: s.id, Attempt: e.Attempt, Server: s.server, Status: e.Status, Took: e.Took,
		Final: s.closed, Report: e.Report})
	if s.closed && !s.inFlight {
		delete(c.sessions, s.id)
	}
}

// finish ends a playing session.
func (c *Core) finish(s *session, status policy.Status, report []float64) {
	s.playing = false
	c.markAttached(s)
	delete(c.sessions, s.id)
	c.feed(policy.Outcome{ID: s.id, Attempt: s.attempts - 1, Server: s.server, Status: status, Final: true,
		Report: report})
}

// updateServers passes the server list to the module. Set-ups that wait for a connection to a server that is no longer
// ready are withdrawn first: sent once the connection is up, they would reach the server after the drain grace.
func (c *Core) updateServers(list policy.List) {
	if list.Kind != policy.ListFailed {
		previous := c.readyServers
		if list.Kind != policy.ListDelta {
			c.readyServers = make(map[uint32]bool, len(list.Entries))
		}
		for _, e := range list.Entries {
			wasReady := previous[e.Server]
			if c.readyServers[e.Server] = e.Health == policy.Ready; e.Health == policy.Removed {
				delete(c.readyServers, e.Server) // keeps the map bounded while servers come and go
			}
			if e.Health != policy.Ready && wasReady {
				c.emit(Withdraw{e.Server})
			}
		}
		if list.Kind != policy.ListDelta {
			for _, id := range sortedKeys(previous) {
				if _, still := c.readyServers[id]; !still && previous[id] {
					c.emit(Withdraw{id})
				}
			}
		}
	}
	c.feed(list)
}

// Sessions calls fn for each session held, in the order of IDs.
func (c *Core) Sessions(fn func(id, player uint64, playing bool)) {
	for _, id := range sortedKeys(c.sessions) {
		s := c.sessions[id]
		fn(id, s.request.Player, s.playing)
	}
}

// ActiveSessions calls fn with the server, class and rung of each session that plays or is being set up.
func (c *Core) ActiveSessions(fn func(server uint32, class, rung int)) {
	for _, s := range c.sessions {
		if s.playing || s.inFlight {
			fn(s.server, s.request.Class, s.rung)
		}
	}
}

// IDInUse reports whether an ID belongs to a session or to a set-up that is still being cancelled.
func (c *Core) IDInUse(id uint64) bool { return c.sessions[id] != nil }

// LastID returns the highest session ID that the core assigned or restored.
func (c *Core) LastID() uint64 { return c.nextID }

// ReadyServers returns the number of servers listed as ready.
func (c *Core) ReadyServers() (n int) {
	for _, ready := range c.readyServers {
		n += int(countIf(ready))
	}
	return n
}

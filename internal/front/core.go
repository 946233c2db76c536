package front

import (
	"tealledge/decide/admit"
	"tealledge/decide/fate"
	"tealledge/policy"
)

// Core is one front. It is not safe for use by several goroutines: one owner drives it.
type Core struct {
	cfg      Config
	now      Time
	nextID   uint64
	sessions map[uint64]*session
	open     int // requests that wait for their answer
	ready    map[uint32]bool
	tokens   tokens
	timers   timers
	stats    Stats

	out     []Effect
	pending []policy.Event // for the module, in order
	feeding bool
	closing bool              // CloseAll came
	alone   map[uint64]uint64 // by viewer: a session that waits to be resumed
}

// session is a request from its arrival until nothing of it is left here or at a server.
type session struct {
	id       uint64
	ask      Ask
	deadline Time // the player's
	answered bool
	left     bool // the player is gone, or the request was ended by the last line
	rung     int
	attempts int    // sent so far; the one out, or playing, is attempts-1
	server   uint32 // of that one
	out      bool   // an attempt is out
	dropped  bool   // it was abandoned; its Ended is still to come
	playing  bool
	mayRun   bool // an earlier attempt may have run
	token    uint64
	alone    bool // it plays, and its player's connection is lost
	detached int  // how often that happened
}

// New makes a core. The list comes as an event.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, nextID: cfg.FirstID,
		sessions: map[uint64]*session{}, ready: map[uint32]bool{}, alone: map[uint64]uint64{},
		tokens: tokens{byToken: map[uint64]moved{}, most: cfg.MovedMost, lasts: cfg.MovedFor}}
}

// Stats gives the counters.
func (c *Core) Stats() Stats { return c.stats }

// Open tells how many requests wait for their answer, and Held how many sessions are held in all.
func (c *Core) Open() int { return c.open }

// Held tells how many sessions are held, open requests and attempts being torn down included.
func (c *Core) Held() int { return len(c.sessions) }

// Step takes an event and gives the effects that follow, in order. The slice is good until the next call. Timers
// wait for Advance: after a standstill a reply that was there in time is taken before the time-out that it raced,
// unless the player's own deadline has passed too.
func (c *Core) Step(now Time, event Event) []Effect {
	c.begin(now)
	c.take(event)
	return c.out
}

// Advance lets time pass and gives the effects of what fell due.
func (c *Core) Advance(now Time) []Effect {
	c.begin(now)
	c.runTimers()
	return c.out
}

func (c *Core) begin(now Time) {
	c.now = max(now, c.now, 1) // a clock that steps back stands still here
	c.timers.begin(c.now)
	c.out = c.out[:0]
}

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) runTimers() {
	for {
		t, ok := c.timers.due(c.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerModule:
			c.feed(policy.Alarm{Token: t.token})
		case timerAttempt:
			if s := c.sessions[t.session]; s != nil && s.out && !s.dropped && s.attempts-1 == t.attempt {
				c.abandon(s, fate.Expired)
			}
		case timerLastLine:
			c.lastLine(c.sessions[t.session])
		case timerDetached:
			c.detachedOut(t)
		}
	}
}

func (c *Core) take(event Event) {
	switch e := event.(type) {
	case Ask:
		c.asked(e)
	case Leave:
		c.leave(c.sessions[e.Session])
	case Detach:
		c.detach(c.sessions[e.Session])
	case Resume:
		c.resume(e)
	case Adopt:
		c.adopt(e)
	case Began:
		c.began(e)
	case Ended:
		c.ended(e)
	case Note:
		if s := c.sessions[e.Session]; s != nil && s.playing && s.attempts-1 == e.Attempt {
			c.feed(policy.Note{ID: s.id, Attempt: e.Attempt, Server: s.server, Kind: e.Kind, Value: e.Value})
		}
	case Probed:
		c.feed(policy.Probed{Server: e.Server, Status: e.Status, Took: e.Took, Report: e.Report})
	case Listed:
		c.listed(e.List)
	case Vacate:
		c.feed(e.Vacate)
	case CloseAll:
		c.closeAll()
	}
}

// asked takes a request. From here on it owes exactly one answer, unless its player leaves.
func (c *Core) asked(a Ask) {
	c.supersede(a.Viewer)
	c.nextID++
	wait := a.Wait
	if a.Class >= 0 && a.Class < len(c.cfg.Settings.Classes) {
		// A class without a deadline waits as long as its player says.
		if most := c.cfg.Settings.Classes[a.Class].Deadline; wait <= 0 || most > 0 && wait > most {
			wait = most
		}
	}
	id := c.nextID
	if a.ID != 0 {
		if id = a.ID; c.Known(id) { // its records would mix with the other's
			c.fault("a request under the id of another: %d", id)
			return
		}
	}
	if c.cfg.KnownViewers {
		a.Token = a.Viewer
	}
	s := &session{id: id, ask: a, deadline: a.Read + wait}
	if s.ask.Class >= 0 && s.ask.Class < len(c.cfg.Settings.Classes) {
		s.rung = c.cfg.Settings.Classes[a.Class].Floor
	}
	c.sessions[s.id] = s
	c.stats.Taken++
	c.open++
	if a.Draining {
		c.refuse(s, c.cfg.Settings.MaxRetry)
		return
	}
	if admit.Late(c.now, s.deadline) {
		c.fail(s)
		return
	}
	c.timers.set(timer{at: s.deadline - c.cfg.LastLine, kind: timerLastLine, session: s.id})
	p := policy.Ask{ID: s.id, Title: a.Title, Viewer: a.Viewer, Class: a.Class, Tenant: a.Tenant, Home: a.Home,
		Copies: a.Copies, Top: a.Top, Deadline: s.deadline - c.cfg.AnswerMargin, Length: a.Length, Hinted: a.Hinted,
		Again: a.Again, Holders: a.Holders}
	if a.Token != 0 && c.tokens.redeem(a.Token, a.Viewer, c.now) {
		p.Moved, p.Again = true, true
	}
	c.feed(policy.Request{Ask: p})
}

func (c *Core) leave(s *session) {
	if s == nil || s.left {
		return
	}
	s.left = true
	c.accompany(s)
	switch {
	case s.playing:
		c.do(Stop{s.id, s.attempts - 1, s.server, false})
		c.finish(s, policy.OK, nil)
	case s.out:
		c.settle(s)
		c.stats.Left++
		c.feed(policy.Gone{ID: s.id})
		if !s.dropped {
			c.abandon(s, fate.Withdrawn)
		}
	default:
		c.settle(s)
		c.stats.Left++
		c.feed(policy.Gone{ID: s.id})
		delete(c.sessions, s.id)
	}
}

func (c *Core) began(e Began) {
	s := c.sessions[e.Session]
	if s == nil || !s.out || s.dropped || s.left || s.attempts-1 != e.Attempt {
		return // the shell tears down what was abandoned; its Ended comes or came
	}
	if c.now >= s.deadline { // too late to be of use: its player has given up
		c.abandon(s, fate.Expired)
		return
	}
	s.out, s.playing = false, true
	if !c.answer(s) {
		c.do(Stop{s.id, e.Attempt, s.server, false})
		c.finish(s, policy.CancelledSt, e.Report)
		return
	}
	c.stats.Plays++
	if s.ask.Text = ""; !c.cfg.KnownViewers {
		s.token = c.cfg.Token()
	}
	c.do(Plays{s.ask.Player, s.id, s.server, s.rung, s.token, e.Text})
	c.feed(policy.Playing{ID: s.id, Attempt: e.Attempt, Server: s.server, Took: e.Took})
	if c.cfg.Settings.Inline {
		c.reported(s, e.Report)
	}
}

// reported books the report that came with a set-up's answer as notes on the new stream.
func (c *Core) reported(s *session, report []float64) {
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

func (c *Core) ended(e Ended) {
	s := c.sessions[e.Session]
	if s == nil || s.attempts-1 != e.Attempt || !s.out && !s.playing {
		return
	}
	if s.playing {
		c.stats.Lost += count(e.Status != policy.OK)
		why := WhyLost
		switch e.Status {
		case policy.OK:
			why = WhyEnd
		case policy.CancelledSt: // at its server, by its player
			why = WhyLeft
		}
		c.do(Over{s.ask.Player, s.id, why})
		c.finish(s, e.Status, e.Report)
		return
	}
	s.out, s.dropped = false, false
	s.mayRun = s.mayRun || !fate.NeverRan(e.Status)
	c.feed(policy.Outcome{ID: s.id, Attempt: e.Attempt, Server: s.server, Status: e.Status, Took: e.Took,
		Final: s.left, Report: e.Report})
	if s.left && !s.out {
		delete(c.sessions, s.id)
	}
}

// finish ends a session that played.
func (c *Core) finish(s *session, status policy.Status, report []float64) {
	s.playing = false
	c.accompany(s)
	delete(c.sessions, s.id)
	c.feed(policy.Outcome{ID: s.id, Attempt: s.attempts - 1, Server: s.server, Status: status, Final: true,
		Report: report})
}

// listed passes the list on. Set-ups that wait for a connection to a server that is no longer ready are taken
// back first: sent when the connection stands, they would reach it after the grace.
func (c *Core) listed(l policy.List) {
	if l.Kind != policy.ListFailed {
		was := c.ready
		if l.Kind != policy.ListDelta {
			c.ready = make(map[uint32]bool, len(l.Entries))
		}
		for _, e := range l.Entries {
			wasReady := was[e.Server]
			if c.ready[e.Server] = e.Health == policy.Ready; e.Health == policy.Removed {
				delete(c.ready, e.Server) // servers come and go for as long as a front lives
			}
			if e.Health != policy.Ready && wasReady {
				c.do(Withdraw{e.Server})
			}
		}
		if l.Kind != policy.ListDelta {
			for _, id := range sorted(was) {
				if _, still := c.ready[id]; !still && was[id] {
					c.do(Withdraw{id})
				}
			}
		}
	}
	c.feed(l)
}

func (c *Core) closeAll() {
	c.closing = true
	for _, id := range sorted(c.sessions) {
		s := c.sessions[id]
		if s == nil || s.left {
			continue
		}
		if !s.answered {
			if !s.mayRun && !s.out || !c.paid(s) {
				c.refuse(s, c.cfg.Settings.MaxRetry)
			} else {
				c.fail(s)
			}
		}
		if s.playing {
			c.do(Over{s.ask.Player, s.id, WhyLeaving})
		}
		c.leave(s)
	}
}

// Sessions calls fn for each session held, in the order of ids.
func (c *Core) Sessions(fn func(id, player uint64, playing bool)) {
	for _, id := range sorted(c.sessions) {
		s := c.sessions[id]
		fn(id, s.ask.Player, s.playing)
	}
}

// Standing calls fn for each session that plays or is being set up, with what it is served.
func (c *Core) Standing(fn func(server uint32, class, rung int)) {
	for _, s := range c.sessions {
		if s.playing || s.out {
			fn(s.server, s.ask.Class, s.rung)
		}
	}
}

// Known tells whether an id is in use: by a session, or by a set-up that is still being taken back.
func (c *Core) Known(id uint64) bool { return c.sessions[id] != nil }

// LastID gives the id of the request taken last.
func (c *Core) LastID() uint64 { return c.nextID }

// Ready tells how many servers are listed ready.
func (c *Core) Ready() (n int) {
	for _, ready := range c.ready {
		n += int(count(ready))
	}
	return n
}

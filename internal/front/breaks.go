package front

// Sessions across breaks: a player whose connection is lost may come back within Config.ResumeFor and take up its
// session, by the token that came with its answer. Nothing is set up again and nothing is answered again: the
// stream plays on, and the module sees no change.
//
// A request that has no answer yet is not kept: nobody could be told what came of it, and a player that asks
// again is a new request. Danger of keeping streams: a player that is truly gone holds places and seats until then.

// Detach tells that the player's connection is lost.
type Detach struct{ Session uint64 }

// Resume takes up a session from a new connection. Exactly one Resumed or Unknown follows.
type Resume struct {
	Session uint64
	Token   uint64
	Player  uint64 // the shell's handle for the new connection's request
}

// Resumed answers a Resume: the session is this player's again. Old is the handle that it had.
type Resumed struct {
	Player, Old uint64
	Session     uint64
	Server      uint32
	Rung        int
}

// Unknown answers a Resume: there is no such session here, any more or for this token. Nothing was begun.
type Unknown struct{ Player uint64 }

func (c *Core) detach(s *session) {
	switch {
	case s == nil || s.left:
	case !s.playing || c.cfg.ResumeFor <= 0 || c.closing:
		c.leave(s)
	default:
		s.detached++
		s.alone = true
		c.alone[s.ask.Viewer] = s.id
		c.timers.set(timer{at: c.now + c.cfg.ResumeFor, kind: timerDetached, session: s.id, attempt: s.detached})
	}
}

// detachedOut ends a session that was not resumed since a break; a later break has its own time.
func (c *Core) detachedOut(t timer) {
	if s := c.sessions[t.session]; s != nil && s.alone && s.detached == t.attempt {
		c.giveAway(s)
	}
}

// giveAway ends a session that nobody takes up.
func (c *Core) giveAway(s *session) {
	c.do(Over{s.ask.Player, s.id, WhyLeft})
	c.leave(s)
}

// supersede ends the viewer's session that waits to be resumed when it asks anew: it would hold two seats.
func (c *Core) supersede(viewer uint64) {
	if id, ok := c.alone[viewer]; ok {
		c.giveAway(c.sessions[id])
	}
}

// accompany notes that a session waits for nobody any more.
func (c *Core) accompany(s *session) {
	s.alone = false
	if c.alone[s.ask.Viewer] == s.id {
		delete(c.alone, s.ask.Viewer)
	}
}

// Holds tells whether a session is held for its player.
func (c *Core) Holds(id uint64) bool {
	s := c.sessions[id]
	return s != nil && !s.left
}

func (c *Core) resume(e Resume) {
	s := c.sessions[e.Session]
	if s == nil || !s.playing || s.left || s.token != e.Token || e.Token == 0 || c.closing {
		c.do(Unknown{e.Player})
		return
	}
	// A connection that still seems to stand may be dead without a word: the token decides, not the socket.
	old := s.ask.Player
	s.ask.Player = e.Player
	c.accompany(s)
	c.stats.Resumed++
	c.do(Resumed{e.Player, old, s.id, s.server, s.rung})
}

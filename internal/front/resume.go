package front

// A player whose connection is lost may reconnect within Config.ResumeWindow and resume its session with the token from
// its answer. No set-up and no answer is repeated: the stream keeps playing, and the module sees no change.
//
// A request that has no answer yet ends with its connection: its answer could not be delivered, and a player that asks
// again makes a new request. Keeping streams has a cost: a player that never returns occupies its place and seat until
// the window ends.

// Detach reports that the player's connection is lost.
type Detach struct{ Session uint64 }

// Resume continues a session on a new connection. Exactly one Resumed or Unknown follows.
type Resume struct {
	Session uint64
	Token   uint64
	Player  uint64 // the shell's handle for the new connection's request
}

// Resumed answers a Resume: the session belongs to this player again. OldPlayer is its previous handle.
type Resumed struct {
	Player, OldPlayer uint64
	Session           uint64
	Server            uint32
	Rung              int
}

// Unknown answers a Resume: no such session exists here, it has ended, or the token does not match. Nothing changed.
type Unknown struct{ Player uint64 }

func (c *Core) detach(s *session) {
	switch {
	case s == nil || s.closed:
	case !s.playing || c.cfg.ResumeWindow <= 0 || c.closing:
		c.leave(s)
	default:
		s.detachCount++
		s.detached = true
		c.detached[s.request.Viewer] = s.id
		c.timers.set(timer{at: c.now + c.cfg.ResumeWindow, kind: timerResume, session: s.id, attempt: s.detachCount})
	}
}

// expireDetached ends a session that was not resumed after its connection was lost; a later loss has its own timer.
func (c *Core) expireDetached(t timer) {
	if s := c.sessions[t.session]; s != nil && s.detached && s.detachCount == t.attempt {
		c.endDetached(s)
	}
}

// endDetached ends a session that its player did not resume.
func (c *Core) endDetached(s *session) {
	c.emit(SessionEnded{s.request.Player, s.id, EndReasonPlayerLeft})
	c.leave(s)
}

// supersede ends the viewer's session that waits to be resumed when the viewer makes a new request: the viewer would
// otherwise occupy two seats.
func (c *Core) supersede(viewer uint64) {
	if id, ok := c.detached[viewer]; ok {
		c.endDetached(c.sessions[id])
	}
}

// markAttached records that a session no longer waits to be resumed.
func (c *Core) markAttached(s *session) {
	s.detached = false
	if c.detached[s.request.Viewer] == s.id {
		delete(c.detached, s.request.Viewer)
	}
}

// HoldsSession reports whether a session is held for its player.
func (c *Core) HoldsSession(id uint64) bool {
	s := c.sessions[id]
	return s != nil && !s.closed
}

func (c *Core) resume(e Resume) {
	s := c.sessions[e.Session]
	if s == nil || !s.playing || s.closed || s.token != e.Token || e.Token == 0 || c.closing {
		c.emit(Unknown{e.Player})
		return
	}
	// The token decides, not the old connection's state: a connection may have failed without being reported closed.
	old := s.request.Player
	s.request.Player = e.Player
	c.markAttached(s)
	c.stats.Resumed++
	c.emit(Resumed{e.Player, old, s.id, s.server, s.rung})
}

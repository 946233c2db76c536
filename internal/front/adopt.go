package front

import "tealledge/policy"

// Sessions handed over: a front that restarts takes over those that its earlier life left playing, so that their
// viewers resume and do not come again. Whether they still play the desk finds out from their servers. What is taken
// over and for how long is decide/recovery's choice.

// Adopt takes over a session that plays at a server for all that is known. No answer is owed for it. It waits to be
// resumed by its token until Until, and ends then.
type Adopt struct {
	Ask     // as it was asked
	ID      uint64
	Server  uint32
	Attempt int
	Rung    int
	Until   Time
	// Ghost is a paid set-up that may have run and that nobody can ask about: nobody can resume it, its seat counts
	// until Until, and it is never sent again.
	Ghost bool
	// Held tells that its player holds it here already: nobody has to resume it, and Until means nothing.
	Held bool
}

func (c *Core) adopt(e Adopt) {
	if c.sessions[e.ID] != nil || c.closing || e.ID == 0 || !e.Held && e.Until <= c.now ||
		e.Class < 0 || e.Class >= len(c.cfg.Settings.Classes) {
		return
	}
	c.nextID = max(c.nextID, e.ID)
	s := &session{id: e.ID, ask: e.Ask, deadline: c.now, answered: true, attempts: e.Attempt + 1, server: e.Server, playing: true,
		alone: true, detached: 1, rung: max(e.Rung, c.cfg.Settings.Classes[e.Class].Floor)}
	c.sessions[e.ID] = s
	if e.Held {
		s.alone, s.detached, s.ask.Text = false, 0, ""
	} else {
		s.ask.Player = 0
	}
	if !e.Ghost && !e.Held {
		s.token = e.Token
		c.alone[e.Viewer] = e.ID
	}
	c.stats.Adopted++
	if !e.Held {
		c.timers.set(timer{at: e.Until, kind: timerDetached, session: s.id, attempt: s.detached})
	}
	c.feed(policy.Handed{Ask: policy.Ask{ID: s.id, Title: e.Title, Viewer: e.Viewer, Class: e.Class, Tenant: e.Tenant, Home: e.Home,
		Copies: e.Copies, Holders: e.Holders, Top: e.Top, Length: e.Length, Hinted: e.Hinted}, Server: e.Server})
	c.feed(policy.Note{ID: s.id, Attempt: e.Attempt, Server: e.Server, Kind: policy.NoteRung, Value: float64(s.rung)})
}

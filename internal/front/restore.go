package front

import "tealledge/policy"

// After a restart a front restores the sessions that were playing when its previous process ended, so that their
// viewers resume instead of requesting new sessions. The protocol layer queries the servers whether the streams still
// play. decide/recovery chooses which sessions are restored and for how long.

// Restore takes over a session that plays at a server as far as is known. It needs no answer. It waits until ExpiresAt
// to be resumed by its token, and ends then.
type Restore struct {
	Request   // the original request
	ID        uint64
	Server    uint32
	Attempt   int
	Rung      int
	ExpiresAt Time
	// Unconfirmed marks a paid set-up that may have run and whose outcome can't be queried: it can't be resumed, it
	// occupies its seat until ExpiresAt, and it is never sent again.
	Unconfirmed bool
	// HeldByPlayer marks a session whose player is connected here already: it needs no resume, ExpiresAt is ignored.
	HeldByPlayer bool
}

func (c *Core) restore(e Restore) {
	if c.sessions[e.ID] != nil || c.closing || e.ID == 0 || !e.HeldByPlayer && e.ExpiresAt <= c.now ||
		e.Class < 0 || e.Class >= len(c.cfg.Settings.Classes) {
		return
	}
	c.nextID = max(c.nextID, e.ID)
	s := &session{id: e.ID, request: e.Request, deadline: c.now, answered: true, attempts: e.Attempt + 1,
		server: e.Server, playing: true, detached: true, detachCount: 1,
		rung: max(e.Rung, c.cfg.Settings.Classes[e.Class].Floor)}
	c.sessions[e.ID] = s
	if e.HeldByPlayer {
		s.detached, s.detachCount, s.request.Text = false, 0, ""
	} else {
		s.request.Player = 0
	}
	if !e.Unconfirmed && !e.HeldByPlayer {
		s.token = e.Token
		c.detached[e.Viewer] = e.ID
	}
	c.stats.Adopted++
	if !e.HeldByPlayer {
		c.timers.set(timer{at: e.ExpiresAt, kind: timerResume, session: s.id, attempt: s.detachCount})
	}
	c.feed(policy.Restored{SessionSpec: policy.SessionSpec{ID: s.id, Title: e.Title, Viewer: e.Viewer, Class: e.Class,
		Tenant: e.Tenant, Home: e.Home, Copies: e.Copies, Holders: e.Holders, Top: e.Top,
		Length: e.Length, Hinted: e.Hinted},
		Server: e.Server})
	c.feed(policy.Note{ID: s.id, Attempt: e.Attempt, Server: e.Server, Kind: policy.NoteRung, Value: float64(s.rung)})
}

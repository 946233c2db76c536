package attempts

import (
	"tealledge/decide/recovery"
	"tealledge/internal/front"
	"tealledge/policy"
)

// This file models a front's session store over a restart: its content when the front died, and what the next one
// restores from it. decide/recovery decides, and core and protocol carry it out in the same way as in internal/serve.

// storedSessions returns the records in the store: paid set-ups, which are stored before they are sent, and playing
// sessions.
func (w *world) storedSessions() (list []recovery.Session) {
	if !w.cfg.Recover {
		return nil
	}
	for i := range w.players {
		p := &w.players[i]
		class := w.cfg.classOf(i)
		s := recovery.Session{Ask: policy.SessionSpec{ID: p.session, Title: 1, Copies: 1, Class: class,
			Viewer: uint64(i) + 1, Top: 1}, Server: w.protocol.Server(p.session),
			Attempt: w.protocol.Attempt(p.session), Rung: w.settings.Classes[class].Floor, At: w.now}
		switch {
		case !p.requested || p.left || s.Server == 0:
		case p.playing:
			s.Stage, s.Token, s.Stream = recovery.Playing, token(), w.protocol.Stream(p.session)
			list = append(list, s)
		case p.answer == "" && w.settings.Classes[class].Paid && w.wasSent(p.session):
			list = append(list, s)
		}
	}
	for i := range w.unconfirmed { // their records stay until they expire
		if w.unconfirmed[i].expiresAt > w.now {
			list = append(list, w.unconfirmed[i].record)
		}
	}
	w.unconfirmed = nil
	return list
}

// unconfirmedSession is a paid set-up sent before a restart, which may still hold a seat.
type unconfirmedSession struct {
	record    recovery.Session
	expiresAt policy.Time
}

// wasSent reports whether a set-up of a session was written to a server.
func (w *world) wasSent(session uint64) bool {
	for i := range w.history.Attempts {
		if r := &w.history.Attempts[i]; r.Session == session && r.InFlight {
			return true
		}
	}
	return false
}

// restoreSessions has a restarted front process the stored records.
func (w *world) restoreSessions(list []recovery.Session) {
	for i := range list {
		stored := &list[i]
		decision, expiresAt := recovery.DecideSession(w.now, w.now, resumeWindow, *stored)
		restore := front.Restore{Request: front.Request{Title: 1, Copies: 1, Class: stored.Ask.Class,
			Viewer: stored.Ask.Viewer, Top: 1, Token: stored.Token}, ID: stored.Ask.ID,
			Server: stored.Server, Attempt: stored.Attempt, Rung: stored.Rung, ExpiresAt: expiresAt}
		setup := front.Setup{Session: stored.Ask.ID, Attempt: stored.Attempt, Server: stored.Server, Title: 1,
			Class: stored.Ask.Class, Viewer: stored.Ask.Viewer, Rung: stored.Rung}
		switch decision {
		case recovery.Restore:
			effects := append([]front.Effect(nil), w.core.Step(w.now, restore)...)
			w.protocol.Restore(w.now, setup, stored.Stream)
			w.reclaimStreams(stored.Ask.ID)
			w.applyCoreEffects(effects)
			w.runProtocol()
		case recovery.TearDown:
			w.protocol.TearDownOrphan(w.now, stored.Server, stored.Stream)
			w.reclaimStreams(stored.Ask.ID)
			w.runProtocol()
		case recovery.CountSeat:
			w.unconfirmed = append(w.unconfirmed, unconfirmedSession{*stored, expiresAt})
			if w.cfg.Mutate != ForgetsSeats {
				restore.Unconfirmed = true
				w.stepCore(restore)
			}
		}
	}
}

// reclaimStreams makes the front responsible again for the streams of a session.
func (w *world) reclaimStreams(session uint64) {
	for i := range w.servers {
		for id, x := range w.servers[i].streams {
			if x.session == session {
				x.orphaned = false
				w.servers[i].streams[id] = x
			}
		}
	}
}

// unconfirmedSeats counts the seats that paid set-ups sent before a restart may still hold.
func (w *world) unconfirmedSeats() (n int) {
	for i := range w.unconfirmed {
		if expiresAt := w.unconfirmed[i].expiresAt; expiresAt > w.now || expiresAt == w.now && w.timersDue {
			n++
		}
	}
	return n
}

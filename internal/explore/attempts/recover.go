package attempts

import (
	"tealledge/decide/recovery"
	"tealledge/internal/front"
	"tealledge/policy"
)

// What a front's store held when it died, and what the next one makes of it: decide/recovery's choice, carried out by
// core and desk as internal/serve's keeper has them do.

// stored gives the records: paid set-ups that were written before they were sent, and sessions that play.
func (w *world) stored() (list []recovery.Session) {
	if !w.cfg.Recover {
		return nil
	}
	for i := range w.players {
		p := &w.players[i]
		class := w.cfg.class(i)
		s := recovery.Session{Ask: policy.SessionSpec{ID: p.id, Title: 1, Copies: 1, Class: class, Viewer: uint64(i) + 1, Top: 1}, Server: w.desk.Server(p.id),
			Attempt: w.desk.Attempt(p.id), Rung: w.set.Classes[class].Floor, At: w.now}
		switch {
		case !p.asked || p.left || s.Server == 0:
		case p.playing:
			s.Stage, s.Token, s.Stream = recovery.Playing, token(), w.desk.Stream(p.id)
			list = append(list, s)
		case p.answer == "" && w.set.Classes[class].Paid && w.sent(p.id):
			list = append(list, s)
		}
	}
	for i := range w.ghosts { // their records stay until their time is over
		if w.ghosts[i].until > w.now {
			list = append(list, w.ghosts[i].record)
		}
	}
	w.ghosts = nil
	return list
}

// ghost is a paid set-up of an earlier life that may hold a seat.
type ghost struct {
	record recovery.Session
	until  policy.Time
}

// sent tells whether a set-up of a session crossed to a server.
func (w *world) sent(session uint64) bool {
	for i := range w.watch.Attempts {
		if r := &w.watch.Attempts[i]; r.Session == session && r.Out {
			return true
		}
	}
	return false
}

func (w *world) takeUp(list []recovery.Session) {
	for i := range list {
		x := &list[i]
		what, until := recovery.DecideSession(w.now, w.now, resumeFor, *x)
		a := front.Restore{Request: front.Request{Title: 1, Copies: 1, Class: x.Ask.Class, Viewer: x.Ask.Viewer, Top: 1, Token: x.Token}, ID: x.Ask.ID,
			Server: x.Server, Attempt: x.Attempt, Rung: x.Rung, ExpiresAt: until}
		setup := front.Setup{Session: x.Ask.ID, Attempt: x.Attempt, Server: x.Server, Title: 1, Class: x.Ask.Class, Viewer: x.Ask.Viewer, Rung: x.Rung}
		switch what {
		case recovery.Restore:
			effects := append([]front.Effect(nil), w.core.Step(w.now, a)...)
			w.desk.Restore(w.now, setup, x.Stream)
			w.unorphan(x.Ask.ID)
			w.carry(effects)
			w.settle()
		case recovery.TearDown:
			w.desk.TearDownOrphan(w.now, x.Server, x.Stream)
			w.unorphan(x.Ask.ID)
			w.settle()
		case recovery.CountSeat:
			w.ghosts = append(w.ghosts, ghost{*x, until})
			if w.cfg.Mutate != NoGhosts {
				a.Unconfirmed = true
				w.step(a)
			}
		}
	}
}

// unorphan makes streams of a session the front's duty again.
func (w *world) unorphan(session uint64) {
	for i := range w.servers {
		for id, x := range w.servers[i].streams {
			if x.session == session {
				x.lone = false
				w.servers[i].streams[id] = x
			}
		}
	}
}

// haunted counts the seats that paid set-ups of an earlier life may still hold.
func (w *world) haunted() (n int) {
	for i := range w.ghosts {
		if until := w.ghosts[i].until; until > w.now || until == w.now && w.due {
			n++
		}
	}
	return n
}

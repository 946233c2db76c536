package servers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// Sessions that stand: taken over, moved, lowered and raised, released at their server, now or when it can be reached.

// release ends a session at its server, now or when a connection stands again.
func (d *Desk) release(l *line, session uint64) {
	if l == nil {
		return
	}
	if l.cur != nil {
		d.push(l, l.cur, (&wire.Message{Type: wire.Release, Session: session}).AddCause(wire.CauseGivenUp))
		return
	}
	if len(l.doomed) < doomedMost {
		l.doomed[session] = d.now + doomedFor
	}
	d.wanted(l)
}

func (d *Desk) stop(e front.Stop) {
	a := d.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	l := d.lines[a.setup.Server]
	d.forget(a)
	if e.Moved { // the word to its viewer ends it there too: a release would cut it first
		l.leaving[e.Session] = d.now + leaveBy
		return
	}
	d.release(l, e.Session)
}

func (d *Desk) rung(e front.SetRung) {
	a := d.attempts[e.Session]
	if a == nil || !a.playing || a.setup.Attempt != e.Attempt {
		return
	}
	a.setup.Rung, a.rungDue = e.Rung, true
	if l := d.lines[a.setup.Server]; l.cur != nil {
		d.level(l, a)
	}
}

func (d *Desk) level(l *line, a *attempt) {
	a.rungDue = false
	d.push(l, l.cur, (&wire.Message{Type: wire.Level, Session: a.setup.Session}).Add(wire.ParamRung, strconv.Itoa(a.setup.Rung)))
}

// Adopt takes over a session that plays at a server already.
func (d *Desk) Adopt(now Time, e front.Setup) bool {
	d.now = now
	l := d.lines[e.Server]
	if l == nil || d.attempts[e.Session] != nil {
		return false
	}
	if len(l.live) == 0 {
		l.heardAt = now
	}
	a := &attempt{setup: e, at: now, playing: true}
	d.attempts[e.Session], l.live[e.Session] = a, a
	d.wanted(l)
	return true
}

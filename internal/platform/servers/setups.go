package servers

import (
	"slices"
	"strconv"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// What becomes of a set-up: written, waiting for a connection, given up on; one that provably never left is told apart.

func (d *Desk) setup(e front.Setup) {
	a := &attempt{setup: e, at: d.now}
	l := d.lines[e.Server]
	if l == nil {
		d.end(a, policy.NoConnect, nil)
		return
	}
	d.attempts[e.Session] = a
	if l.cur != nil {
		d.write(l, a)
		return
	}
	l.waiting = append(l.waiting, a)
	d.dial(l, true)
}

// write sends a set-up on the connection that carries what is new. What forbids it is looked at here, where its bytes go
// out: whatever was true when its server was chosen may have changed while it waited.
func (d *Desk) write(l *line, a *attempt) {
	e := &a.setup
	switch {
	case l.drains || l.gone || d.displaced(l):
		// Danger: sent after the grace, it would be new work for a server that leaves, or reach another at its address.
		d.end(a, fate.Of(fate.Unsent, fate.Withdrawn, 0), nil)
		return
	case d.cfg.Waits != nil && !d.cfg.Waits(e.Session):
		// Danger: its client has gone, and the word of that is still behind others in the owner's queue, or unread: a server
		// would play for nobody, and the operators count it. The core hears that the client left before it hears of the attempt.
		d.Stats.Left++
		d.news = append(d.news, front.Leave{Session: e.Session})
		d.end(a, fate.Of(fate.Unsent, fate.Withdrawn, 0), nil)
		return
	case l.cur == nil: // another that waited with it has found out that the connection has ended
		l.waiting = append(l.waiting, a)
		d.dial(l, true)
		return
	case !a.again && d.cfg.Ended != nil && d.cfg.Ended(l.cur.conn):
		// Danger: written to a connection that its server has ended, it could not be told from one that ran, and a paid one
		// would fail. It waits once for the next; the end of this one is read as it comes.
		d.Stats.Again++
		a.again = true
		l.waiting = append(l.waiting, a)
		d.retire(l, l.cur)
		return
	}
	m := &wire.Message{Type: wire.SetUp, Session: e.Session}
	if e.Class >= 0 && e.Class < len(d.cfg.Classes) {
		m.Add(wire.ParamClass, d.cfg.Classes[e.Class])
	}
	within := max((e.Within-(d.now-a.at))/policy.Millisecond, 1)
	m.Add(wire.ParamWithin, strconv.FormatInt(within, 10)).Add(wire.ParamTitle, e.Name).
		Add(wire.ParamRung, strconv.Itoa(e.Rung)).Add(wire.ParamText, e.Text)
	k := l.cur
	if !d.push(l, k, m) {
		d.end(a, policy.Moot, nil)
		return
	}
	a.link, a.end = k, k.sent
	k.out[e.Session] = a
}

// end gives an attempt's Ended, once, and forgets it.
func (d *Desk) end(a *attempt, status policy.Status, report []float64) {
	if a.over {
		return
	}
	d.forget(a)
	d.news = append(d.news, front.Ended{Session: a.setup.Session, Attempt: a.setup.Attempt, Status: status,
		Took: d.now - a.at, Report: report})
}

func (d *Desk) forget(a *attempt) {
	a.over = true
	id := a.setup.Session
	if d.attempts[id] == a {
		delete(d.attempts, id)
	}
	if a.link != nil && a.link.out[id] == a {
		delete(a.link.out, id)
	}
	if l := d.lines[a.setup.Server]; l != nil {
		if l.live[id] == a {
			delete(l.live, id)
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(o *attempt) bool { return o == a })
	}
}

func (d *Desk) abandon(e front.Abandon) {
	a := d.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	l := d.lines[a.setup.Server]
	if a.link == nil {
		d.end(a, fate.Of(fate.Unsent, e.Cause, 0), nil)
		return
	}
	k := a.link
	if a.playing {
		d.release(l, e.Session)
	} else {
		d.push(l, k, (&wire.Message{Type: wire.Release, Session: e.Session}).AddCause(wire.CauseGivenUp))
		l.given[e.Session] = d.now + rememberIt
		// Danger: an answer that never comes may have taken its connection with it, and every set-up written there would
		// wait out its time too. Harm: a server that is only slow gets one connection more.
		if e.Cause == fate.Expired && k.readAt <= a.at {
			d.retire(l, k)
		}
	}
	d.end(a, fate.Of(fate.Written, e.Cause, 0), nil)
}

// fail ends the set-ups that were not sent.
func (d *Desk) fail(l *line, cause fate.Cause) {
	waiting := l.waiting
	l.waiting = nil
	for _, a := range waiting {
		d.end(a, fate.Of(fate.Unsent, cause, 0), nil)
	}
}

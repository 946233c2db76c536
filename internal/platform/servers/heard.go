package servers

import (
	"unicode/utf8"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// What servers say.

// Received takes bytes of a connection.
func (d *Desk) Received(now Time, server uint32, conn uint64, b []byte) {
	d.now = now
	l := d.lines[server]
	if l == nil {
		return
	}
	k := l.links[conn]
	if k == nil {
		return
	}
	k.readAt = now
	k.dec.Feed(b)
	for l.links[conn] == k {
		m, err := k.dec.Next()
		if err == nil && m != nil {
			err = d.heard(l, k, m)
		}
		if err != nil { // what follows can't be told apart: the connection is of no more use
			d.Stats.Spoilt++
			d.drop(l, k, k.sent)
			return
		}
		if m == nil {
			break
		}
	}
	switch {
	case !k.dec.Partial():
		k.partialAt = 0
	case k.partialAt == 0:
		k.partialAt = now
	}
}

type unreadable string

func (e unreadable) Error() string { return string(e) }

func (d *Desk) heard(l *line, k *link, m *wire.Message) error {
	switch m.Type {
	case wire.Ready:
		return d.answered(l, k, m)
	case wire.Release:
		d.released(l, k, m)
	case wire.Note:
		d.note(l, m)
	case wire.Tested:
		at, ok := k.tests[m.Session]
		if !ok {
			return nil
		}
		delete(k.tests, m.Session)
		status := policy.Errored
		if cause, _ := m.Cause(); cause == 1 {
			status = policy.OK
		}
		d.news = append(d.news, front.Probed{Server: l.server, Status: status, Took: d.now - at, Report: d.report(m)})
	case wire.Trying, wire.Released:
	default:
		return unreadable("a server sent what only fronts send")
	}
	return nil
}

func (d *Desk) report(m *wire.Message) []float64 {
	v, _ := m.Get(wire.ParamReport)
	report := wire.Report(string(v), d.cfg.Fields)
	if report != nil {
		d.Stats.Reports++
	}
	return report
}

func (d *Desk) answered(l *line, k *link, m *wire.Message) error {
	a := d.attempts[m.Session]
	if a == nil || a.link != k || a.playing {
		if _, late := l.given[m.Session]; late && a == nil { // it crossed the word that it was given up
			d.Stats.Late++
			d.release(l, m.Session)
		}
		return nil // nobody's, or a second copy
	}
	text, ok := m.Get(wire.ParamText)
	if !ok || !utf8.Valid(text) {
		return unreadable("an answer without a description")
	}
	delete(k.out, m.Session)
	if !carried(m.Session, string(text)) {
		// Danger: taken for a session that stands, it fails its viewer and speaks for its server: the next goes there too.
		d.release(l, m.Session)
		d.end(a, policy.Errored, d.report(m))
		return nil
	}
	a.playing = true
	l.live[m.Session] = a
	a.setup.Text = ""
	d.news = append(d.news, front.Began{Session: m.Session, Attempt: a.setup.Attempt, Took: d.now - a.at,
		Report: d.report(m), Text: string(text)})
	return nil
}

// carried tells whether a line to a viewer can carry a description.
func carried(sid uint64, text string) bool {
	const grows = 8 // bytes of a line for one of a description, at most
	if len(text) < wire.MaxMessage/grows {
		return true
	}
	_, err := (&wire.Line{Msg: wire.LineReady, Sid: sid, Text: text}).Append(nil)
	return err == nil
}

func (d *Desk) released(l *line, k *link, m *wire.Message) {
	delete(l.leaving, m.Session)
	delete(l.doomed, m.Session)
	cause, _ := m.Cause()
	a := d.attempts[m.Session]
	if a == nil || a.setup.Server != l.server || !a.playing && a.link != k {
		return
	}
	if on := k; a.playing {
		if k.endingAt != 0 {
			on = l.cur
		}
		if on != nil {
			d.push(l, on, &wire.Message{Type: wire.Released, Session: m.Session})
		}
	}
	status := policy.ResetConn
	switch {
	case a.playing && cause == wire.CauseGivenUp:
		status = policy.OK
	case a.playing && cause == wire.CauseCancelled:
		status = policy.CancelledSt
	case a.playing:
	case cause == wire.CauseFull:
		status = policy.Full
	case cause == wire.CauseError:
		status = policy.Errored
	case cause == wire.CauseMoot:
		status = policy.Moot
	}
	d.end(a, status, d.report(m))
}

var notes = map[string]policy.NoteKind{"quality": policy.NoteShare, "profile": policy.NoteRung, "nic": policy.NoteLink,
	"tor": policy.NoteUplink}

func (d *Desk) note(l *line, m *wire.Message) {
	a := d.attempts[m.Session]
	if a == nil || !a.playing || a.setup.Server != l.server {
		return
	}
	name, _ := m.Get(wire.ParamNote)
	figure, _ := m.Get(wire.ParamFigure)
	kind, ok := notes[string(name)]
	value, fine := wire.Figure(string(figure))
	if ok && fine {
		if kind == policy.NoteShare {
			d.Stats.Shorts++
		}
		d.news = append(d.news, front.Note{Session: m.Session, Attempt: a.setup.Attempt, Kind: kind, Value: value})
	}
}

package exchange

import (
	"fmt"
	"slices"
	"strconv"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// Set-ups at media servers: written, ended, given up on, torn down.

func (d *Desk) setup(e front.Setup) {
	a := &attempt{setup: e, at: d.now}
	d.played[e.Session] = a
	l := d.lines[e.Server]
	switch {
	case l == nil || len(l.set.Paths) == 0:
		d.end(a, policy.NoConnect, nil) // listed with no address at all
	case l.state == up:
		d.write(l, a)
	default:
		l.waiting = append(l.waiting, a)
		d.dial(l)
	}
}

func (d *Desk) uri(l *line, s *front.Setup) string {
	name := s.Name
	if name == "" {
		name = d.cfg.TitleName(s.Title)
	}
	return "rtsp://" + l.addr + "/" + name
}

// write puts SETUP and PLAY on the connection.
func (d *Desk) write(l *line, a *attempt) {
	d.pipes++
	l.usedAt = d.now
	a.pipe, a.sentOn = d.pipes, l.conn
	pipe, uri := strconv.FormatUint(a.pipe, 10), d.uri(l, &a.setup)
	m := rtsp.Message{Method: rtsp.Setup, URI: uri, Headers: []rtsp.Header{
		{Name: "Pipelined-Requests", Value: pipe}, {Name: "Transport", Value: "RTP/AVP/TCP;unicast"},
		{Name: HeaderAttempt, Value: fmt.Sprintf("%s/%d/%d", d.cfg.Front, a.setup.Session, a.setup.Attempt)},
		{Name: HeaderClass, Value: strconv.Itoa(a.setup.Class)},
		{Name: HeaderRung, Value: strconv.Itoa(a.setup.Rung)},
		{Name: HeaderViewer, Value: strconv.FormatUint(a.setup.Viewer, 10)}}}
	b := d.request(l, &m, call{kind: callSetup, a: a}, nil)
	a.setupEnd = l.sent + uint64(len(b))
	play := rtsp.Message{Method: rtsp.Play, URI: uri, Headers: []rtsp.Header{{Name: "Pipelined-Requests", Value: pipe}}}
	d.push(l, d.request(l, &play, call{kind: callPlay, a: a}, b))
}

// request numbers a request, books it as unanswered and appends it to b.
func (d *Desk) request(l *line, m *rtsp.Message, c call, b []byte) []byte {
	l.seq++
	m.CSeq = l.seq
	c.at = d.now
	if len(l.calls) == 0 {
		l.callAt = d.now
	}
	l.calls[l.seq] = &c
	l.seqs = append(l.seqs, l.seq)
	return m.Append(b)
}

func (d *Desk) push(l *line, b []byte) {
	l.sent += uint64(len(b))
	d.acts = append(d.acts, Act{Server: l.server, Conn: l.conn, Bytes: b})
}

// end gives an attempt's Ended, once, and forgets it.
func (d *Desk) end(a *attempt, status policy.Status, report []float64) {
	if a.over {
		return
	}
	a.over = true
	d.forget(a)
	d.news = append(d.news, front.Ended{Session: a.setup.Session, Attempt: a.setup.Attempt, Status: status,
		Took: d.now - a.at, Report: report})
}

func (d *Desk) forget(a *attempt) {
	if d.played[a.setup.Session] == a {
		delete(d.played, a.setup.Session)
	}
	if l := d.lines[a.setup.Server]; l != nil {
		l.live = slices.DeleteFunc(l.live, func(o *attempt) bool { return o == a })
	}
}

// abandon gives up on an attempt that is out.
func (d *Desk) abandon(e front.Abandon) {
	a := d.played[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt || a.over {
		return
	}
	l := d.lines[a.setup.Server]
	if a.sentOn == 0 {
		l.waiting = slices.DeleteFunc(l.waiting, func(o *attempt) bool { return o == a })
		d.end(a, fate.Of(fate.Unsent, e.Cause, 0), nil)
		return
	}
	at := fate.Written
	if a.accepted != "" {
		at = fate.Accepted
	}
	d.teardown(l, a)
	a.over = false
	d.end(a, fate.Of(at, e.Cause, 0), nil)
}

// teardown tells the server to end a stream, or a set-up that it has not answered yet, on the connection that it
// was sent on: a TEARDOWN on another one could overtake it.
func (d *Desk) teardown(l *line, a *attempt) {
	a.over = true
	d.forget(a)
	if l == nil || l.state != up || a.sentOn != l.conn && a.accepted == "" {
		d.doom(l, a) // what was set up on a lost connection and never answered, the server drops itself
		return
	}
	m := rtsp.Message{Method: rtsp.Teardown, URI: d.uri(l, &a.setup)}
	if a.accepted != "" {
		m.Set("Session", a.accepted)
	} else {
		m.Set("Pipelined-Requests", strconv.FormatUint(a.pipe, 10))
	}
	d.push(l, d.request(l, &m, call{kind: callTeardown, a: a}, nil))
}

// doom remembers a stream that the server may still play though its connection is lost.
func (d *Desk) doom(l *line, a *attempt) {
	if l != nil && a.accepted != "" && len(l.doomed) < doomedMost {
		l.doomed = append(l.doomed, a.accepted)
		l.doomGap, l.doomEnd = doomedGap, d.now+doomedFor
		l.doomAt = d.now + l.doomGap
		d.dial(l)
	}
}

package servers

import (
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Tests of servers, each answered within its time or failed.

func (d *Desk) probe(server uint32) {
	l := d.lines[server]
	if l == nil {
		d.news = append(d.news, front.Probed{Server: server, Status: policy.NoConnect})
		return
	}
	if l.cur == nil {
		l.probing, l.probeAt = true, d.now
		d.dial(l, true)
		return
	}
	d.test(l)
}

func (d *Desk) test(l *line) {
	d.Stats.Tests++
	l.cur.tests[d.Stats.Tests] = d.now
	d.push(l, l.cur, (&wire.Message{Type: wire.Test, Session: d.Stats.Tests}).AddCause(wire.CauseReport))
}

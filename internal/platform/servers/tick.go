package servers

import (
	"maps"

	"tealledge/internal/front"
	"tealledge/policy"
)

// What time does: tests and half messages run out, connections of no more use are closed, quiet machines are asked for.

// Tick lets time pass; it is to be called several times a second.
func (d *Desk) Tick(now Time) {
	d.now = now
	if d.order == nil {
		d.order = sorted(d.lines)
	}
	for _, id := range d.order {
		// Most of hundreds of servers have nothing going on: they cost a look each.
		if l := d.lines[id]; l != nil && (l.gone || l.probing || len(l.links)+len(l.live)+len(l.leaving)+len(l.given)+len(l.doomed)+
			len(l.waiting) > 0) {
			d.tick(l)
		}
	}
}

func (d *Desk) tick(l *line) {
	// Danger: the end of a process is not always heard of on a connection that stood (its reset may be lost, or nobody is left to
	// send one), and its viewers would hold sessions that are over. Off the list and refusing, it has ended; so it has when
	// another is at its address, once what was under way is read.
	if l.gone && len(l.live) > 0 && (l.refused >= refusals || d.quiet(l) && d.taken(l)) {
		d.dead(l)
	}
	if l.probing && d.now-l.probeAt >= d.cfg.ProbeWait {
		l.probing = false
		d.news = append(d.news, front.Probed{Server: l.server, Status: policy.NoConnect, Took: d.now - l.probeAt})
	}
	if len(l.links) > 0 {
		l.heardAt = d.now
	}
	for k := range l.each {
		for _, t := range sorted(k.tests) {
			if at := k.tests[t]; d.now-at >= d.cfg.ProbeWait {
				delete(k.tests, t)
				d.news = append(d.news, front.Probed{Server: l.server, Status: policy.TimedOut, Took: d.now - at})
				if k.readAt <= at {
					d.retire(l, k)
				}
			}
		}
		switch {
		case k.checkAt != 0 && k.readAt > k.checkAt: // it is at its limit, or drains
			k.checkAt, l.refused = 0, 0
		case k.checkAt != 0 && d.now-k.checkAt >= checkFor && l.refused >= refusals:
			d.dead(l)
			return
		}
		switch {
		case k.partialAt != 0 && d.now-k.partialAt >= stuckFor:
			d.Stats.Stuck++
			d.drop(l, k, k.sent)
		case k.endingAt != 0 && d.now-k.endingAt >= finishBy:
			d.drop(l, k, k.sent)
		case k.endingAt == 0 && k.stale && len(k.out) == 0 && len(k.tests) == 0 && l.cur != nil:
			d.finish(l, k)
		}
	}
	for _, id := range sorted(l.leaving) {
		if d.now >= l.leaving[id] {
			delete(l.leaving, id)
			d.release(l, id)
		}
	}
	maps.DeleteFunc(l.given, func(_ uint64, until Time) bool { return d.now >= until })
	maps.DeleteFunc(l.doomed, func(_ uint64, until Time) bool { return d.now >= until })
	d.wanted(l)
	// Danger: a machine that vanished leaves its connections open and silent, and its viewers with nothing. Harm: a
	// connect for each few seconds that a server has nothing to say.
	if len(l.live) > 0 && l.cur != nil && d.now-l.cur.readAt >= quietFor {
		d.dial(l, false)
	}
	if l.gone && len(l.live) == 0 { // nothing is to be released at a process that has left
		clear(l.doomed)
	}
	if l.gone && len(l.live) == 0 && len(l.waiting) == 0 && len(l.doomed) == 0 && len(l.leaving) == 0 && l.dialing == 0 && !l.probing {
		open := 0
		for _, k := range l.links {
			open += len(k.out)
		}
		if open == 0 {
			for k := range l.each {
				d.drop(l, k, k.sent)
			}
			delete(d.lines, l.server)
			d.order = nil
		}
	}
}

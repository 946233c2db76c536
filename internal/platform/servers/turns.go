package servers

import "tealledge/policy"

// Turns: where sessions stand at more servers than this front may hold connections, each server is heard in turn.

const (
	deafMost  = 2 * policy.Second        // a server with sessions is without any connection for so long
	turnLeast = 250 * policy.Millisecond // a connection that was given in turn stands for so long
)

// yield ends, by halves, the connection that has stood longest, for a server that has sessions here and had no connection to
// speak on for a while. Danger: nobody would ever hear that its sessions have ended, and their viewers would hold them for ever.
// Harm: a connection each time, and the servers that are not heard meanwhile are heard up to some seconds late.
func (d *Desk) yield(to *line) {
	if len(to.live) == 0 || len(to.links) > 0 || d.now-to.heardAt < deafMost {
		return
	}
	var longest *link
	var of *line
	for _, l := range d.lines {
		k := l.cur
		if k == nil || l.dialing != 0 || len(l.waiting)+len(k.out)+len(k.tests) > 0 || d.now-k.stoodAt < turnLeast {
			continue
		}
		if longest == nil || k.stoodAt < longest.stoodAt || k.stoodAt == longest.stoodAt && k.conn < longest.conn {
			longest, of = k, l
		}
	}
	if longest == nil {
		return
	}
	longest.stale, of.cur = true, nil
	of.dialAt = max(of.dialAt, d.now+deafMost) // the room is for the others
	d.finish(of, longest)
}

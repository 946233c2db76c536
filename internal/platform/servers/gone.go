package servers

import (
	"tealledge/policy"
)

// Which processes and machines have ended, by the list, by their address and by what connects prove, and what that ends.

// Listed books entries of the list: what is new or has changed.
func (d *Desk) Listed(now Time, list []Server) {
	d.now = now
	for _, s := range list {
		l := d.lines[s.ID]
		if l == nil {
			if s.Gone {
				continue
			}
			l = &line{server: s.ID, addr: s.Addr, started: s.Started, links: map[uint64]*link{}, live: map[uint64]*attempt{},
				leaving: map[uint64]Time{}, given: map[uint64]Time{}, doomed: map[uint64]Time{}}
			d.lines[s.ID] = l
			d.order = nil
			d.byAddr[s.Addr] = s.ID
		}
		l.drains, l.gone = s.Drains, s.Gone
		if s.Gone && d.byAddr[l.addr] == s.ID {
			delete(d.byAddr, l.addr)
		}
		if s.Started > l.started { // another process: what the old one played is over
			l.started = s.Started
			for _, id := range sorted(l.live) {
				if a := l.live[id]; a.at < s.Started {
					d.end(a, policy.ResetConn, nil)
				}
			}
			for k := range l.each {
				if k.stoodAt < s.Started {
					d.drop(l, k, k.sent)
				}
			}
			l.refused, l.silent = 0, 0
		}
		if s.Addr != "" && s.Addr != l.addr {
			if d.byAddr[l.addr] == s.ID {
				delete(d.byAddr, l.addr)
			}
			l.addr = s.Addr
			if !s.Gone {
				d.byAddr[l.addr] = s.ID
			}
			for k := range l.each {
				k.stale = true
			}
			// Danger: a connect to the old address that is under way may end at another server's process, and what waits would be
			// written there. Its connection is closed as it comes; another connect is made.
			l.cur, l.dialing = nil, 0
			l.refused, l.silent, l.dialAt = 0, 0, 0
			d.wanted(l)
		}
	}
}

// quiet tells that nothing was read from a server for a while.
func (d *Desk) quiet(l *line) bool {
	for _, k := range l.links {
		if d.now-k.readAt < checkFor {
			return false
		}
	}
	return true
}

// taken tells whether a server that left the list has lost its address to another.
func (d *Desk) taken(l *line) bool {
	if !l.gone {
		return false
	}
	for _, o := range d.lines {
		if o != l && !o.gone && o.addr == l.addr {
			return true
		}
	}
	return false
}

// displaced tells whether a server that is still listed has lost its address to one that was listed later: the word that it left
// is late, and who answers there now is the other.
func (d *Desk) displaced(l *line) bool {
	id, ok := d.byAddr[l.addr]
	return ok && id != l.server
}

// dead ends what a server played: its process is gone, or its machine. Should it play on after all, for nobody, it is
// told to end that as soon as a connection stands.
func (d *Desk) dead(l *line) {
	for _, id := range sorted(l.live) {
		d.end(l.live[id], policy.ResetConn, nil)
		if len(l.doomed) < doomedMost {
			l.doomed[id] = d.now + doomedFor
		}
	}
	for k := range l.each {
		d.drop(l, k, k.sent)
	}
}

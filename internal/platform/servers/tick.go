package servers

import (
	"maps"

	"tealledge/internal/front"
	"tealledge/policy"
)

// Timers: probes and incomplete messages time out, retired connections are closed, silent machines are checked by a
// connect.

// Tick advances the clock; it is called several times a second.
func (p *Desk) Tick(now Time) {
	p.now = now
	if p.peerIDs == nil {
		p.peerIDs = sorted(p.peers)
	}
	for _, id := range p.peerIDs {
		// Most of the hundreds of servers are idle: they cost one check each.
		if peer := p.peers[id]; peer != nil && (peer.removed || peer.probePending ||
			len(peer.conns)+len(peer.sessions)+len(peer.moving)+len(peer.abandoned)+len(peer.pendingReleases)+
				len(peer.unsent) > 0) {
			p.tickPeer(peer)
		}
	}
}

func (p *Desk) tickPeer(peer *peer) {
	// The end of a process does not always show on its open connections (its reset may be lost, or nothing is left to
	// send one), and its viewers would keep sessions that have ended. A server off the list that refuses connects has
	// ended; so has one whose address another server has, once what was in flight is read.
	if peer.removed && len(peer.sessions) > 0 && (peer.refusedDials >= maxRefusedDials ||
		p.isSilent(peer) && p.addressReused(peer)) {
		p.endSessions(peer)
	}
	if peer.probePending && p.now-peer.probeRequestedAt >= p.cfg.ProbeWait {
		peer.probePending = false
		p.events = append(p.events, front.Probed{Server: peer.server, Status: policy.NoConnect,
			Took: p.now - peer.probeRequestedAt})
	}
	if len(peer.conns) > 0 {
		peer.lastConnectedAt = p.now
	}
	for c := range peer.eachConn {
		for _, t := range sorted(c.probes) {
			if at := c.probes[t]; p.now-at >= p.cfg.ProbeWait {
				delete(c.probes, t)
				p.events = append(p.events, front.Probed{Server: peer.server, Status: policy.TimedOut,
					Took: p.now - at})
				if c.lastReadAt <= at {
					p.retire(peer, c)
				}
			}
		}
		switch {
		case c.checkSentAt != 0 && c.lastReadAt > c.checkSentAt: // it lives: it is at its limit, or drains
			c.checkSentAt, peer.refusedDials = 0, 0
		case c.checkSentAt != 0 && p.now-c.checkSentAt >= checkTimeout && peer.refusedDials >= maxRefusedDials:
			p.endSessions(peer)
			return
		}
		switch {
		case c.partialSince != 0 && p.now-c.partialSince >= partialMessageTimeout:
			p.Stats.Stuck++
			p.dropConn(peer, c, c.sentBytes)
		case c.writeClosedAt != 0 && p.now-c.writeClosedAt >= halfCloseTimeout:
			p.dropConn(peer, c, c.sentBytes)
		case c.writeClosedAt == 0 && c.retired && len(c.inFlight) == 0 && len(c.probes) == 0 && peer.current != nil:
			p.closeWrite(peer, c)
		}
	}
	for _, id := range sorted(peer.moving) {
		if p.now >= peer.moving[id] {
			delete(peer.moving, id)
			p.release(peer, id)
		}
	}
	maps.DeleteFunc(peer.abandoned, func(_ uint64, until Time) bool { return p.now >= until })
	maps.DeleteFunc(peer.pendingReleases, func(_ uint64, until Time) bool { return p.now >= until })
	p.ensureConn(peer)
	// A machine that went down leaves its connections open and silent, and its viewers without a stream. The cost: one
	// connect for each silenceTimeout (a few seconds) in which a server sends nothing.
	if len(peer.sessions) > 0 && peer.current != nil && p.now-peer.current.lastReadAt >= silenceTimeout {
		p.dial(peer, false)
	}
	if peer.removed && len(peer.sessions) == 0 { // a removed process holds nothing to release
		clear(peer.pendingReleases)
	}
	if peer.removed && len(peer.sessions) == 0 && len(peer.unsent) == 0 && len(peer.pendingReleases) == 0 &&
		len(peer.moving) == 0 && peer.dialing == 0 && !peer.probePending {
		inFlight := 0
		for _, c := range peer.conns {
			inFlight += len(c.inFlight)
		}
		if inFlight == 0 {
			for c := range peer.eachConn {
				p.dropConn(peer, c, c.sentBytes)
			}
			delete(p.peers, peer.server)
			p.peerIDs = nil
		}
	}
}

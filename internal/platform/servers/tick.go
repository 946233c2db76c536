package servers

import (
	"maps"

	"tealledge/internal/front"
	"tealledge/policy"
)

// Timers: probes and incomplete messages time out, retired connections are closed, silent machines are checked by a
// connect.

// Tick advances the clock; it is called several times a second.
func (p *Protocol) Tick(now Time) {
	p.now = now
	p.sent.expire(now)
	if p.peerIDs == nil {
		p.peerIDs = sorted(p.peers)
	}
	for _, id := range p.peerIDs {
		// Most of the hundreds of servers are idle: they cost one check each.
		if remote := p.peers[id]; remote != nil && (remote.removed || remote.probePending ||
			len(remote.conns)+len(remote.sessions)+len(remote.moving)+len(remote.abandoned)+len(remote.pendingReleases)+
				len(remote.sentReleases)+len(remote.unsent) > 0) {
			p.tickPeer(remote)
		}
	}
}

// tickPeer applies the timeouts of one server.
func (p *Protocol) tickPeer(remote *peer) {
	// The end of a process does not always show on its open connections (its reset may be lost, or nothing is left to
	// send one), and its viewers would keep sessions that have ended. A server off the list that refuses connects has
	// ended; so has one whose address another server has, once what was in flight is read.
	if remote.removed && len(remote.sessions) > 0 && (remote.refusedDials >= maxRefusedDials ||
		p.isSilent(remote) && p.addressReused(remote)) {
		p.endSessions(remote)
	}
	p.checkDisplaced(remote)
	if remote.probePending && p.now-remote.probeRequestedAt >= p.cfg.ProbeTimeout {
		remote.probePending = false
		p.events = append(p.events, front.Probed{Server: remote.server, Status: policy.NoConnect,
			Took: p.now - remote.probeRequestedAt})
	}
	if len(remote.conns) > 0 {
		remote.lastConnectedAt = p.now
	}
	for c := range remote.eachConn {
		for _, t := range sorted(c.probes) {
			if at := c.probes[t]; p.now-at >= p.cfg.ProbeTimeout {
				delete(c.probes, t)
				p.events = append(p.events, front.Probed{Server: remote.server, Status: policy.TimedOut,
					Took: p.now - at})
				if c.lastReadAt <= at {
					p.retire(remote, c)
				}
			}
		}
		switch {
		case c.checkSentAt != 0 && c.lastReadAt > c.checkSentAt: // it lives: it is at its limit, or drains
			c.checkSentAt, remote.refusedDials = 0, 0
		case c.checkSentAt != 0 && p.now-c.checkSentAt >= checkTimeout &&
			(remote.refusedDials >= maxRefusedDials || p.displaced(remote)):
			p.endSessions(remote)
			return
		}
		switch {
		case c.partialSince != 0 && p.now-c.partialSince >= partialMessageTimeout:
			p.Stats.Stuck++
			p.dropConn(remote, c, c.sentBytes, CloseStuck)
		case c.writeClosedAt != 0 && p.now-c.writeClosedAt >= halfCloseTimeout:
			p.dropConn(remote, c, c.sentBytes, CloseReplaced)
		case c.writeClosedAt == 0 && c.retired && len(c.inFlight) == 0 && len(c.probes) == 0 && remote.current != nil:
			p.closeWrite(remote, c)
		}
	}
	for _, id := range sorted(remote.moving) {
		if p.now >= remote.moving[id] {
			delete(remote.moving, id)
			p.release(remote, id)
		}
	}
	maps.DeleteFunc(remote.abandoned, func(_ uint64, until Time) bool { return p.now >= until })
	maps.DeleteFunc(remote.pendingReleases, func(_ uint64, until Time) bool { return p.now >= until })
	maps.DeleteFunc(remote.sentReleases, func(_ uint64, sent sentRelease) bool { return p.now >= sent.until })
	p.ensureConn(remote)
	// A machine that went down leaves its connections open and silent, and its viewers without a stream. The cost: one
	// connect for each silenceTimeout (a few seconds) in which a server sends nothing.
	if len(remote.sessions) > 0 && remote.current != nil && p.now-remote.current.lastReadAt >= silenceTimeout {
		p.dial(remote, false)
	}
	if remote.removed && len(remote.sessions) == 0 { // a removed process holds nothing to release
		clear(remote.pendingReleases)
		clear(remote.sentReleases)
	}
	if remote.removed && len(remote.sessions) == 0 && len(remote.unsent) == 0 && len(remote.pendingReleases) == 0 &&
		len(remote.moving) == 0 && remote.dialing == 0 && !remote.probePending {
		inFlight := 0
		for _, c := range remote.conns {
			inFlight += len(c.inFlight)
		}
		if inFlight == 0 {
			for c := range remote.eachConn {
				p.dropConn(remote, c, c.sentBytes, CloseGone)
			}
			delete(p.peers, remote.server)
			p.peerIDs = nil
		}
	}
}

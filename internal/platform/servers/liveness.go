package servers

import (
	"tealledge/policy"
)

// Liveness of servers, judged by the list, by their address and by the results of connects, and the end of their
// sessions.

// Listed applies new and changed entries of the server list.
func (p *Protocol) Listed(now Time, list []Server) {
	p.now = now
	for _, s := range list {
		remote := p.peers[s.ID]
		if remote == nil {
			if s.Removed {
				continue
			}
			remote = &peer{server: s.ID, addr: s.Addr, started: s.Started,
				conns: map[uint64]*conn{}, sessions: map[uint64]*attempt{}, moving: map[uint64]Time{},
				abandoned: map[uint64]Time{}, pendingReleases: map[uint64]Time{},
				sentReleases: map[uint64]sentRelease{}}
			p.peers[s.ID] = remote
			p.peerIDs = nil
			p.takeAddress(remote)
		}
		remote.draining, remote.removed = s.Draining, s.Removed
		if s.Removed && p.byAddr[remote.addr] == s.ID {
			delete(p.byAddr, remote.addr)
		}
		if s.Started > remote.started { // the process restarted: sessions of the old process have ended
			remote.started = s.Started
			for _, id := range sorted(remote.sessions) {
				if a := remote.sessions[id]; a.startedAt < s.Started {
					p.end(a, policy.ConnReset, nil)
				}
			}
			for c := range remote.eachConn {
				if c.connectedAt < s.Started {
					p.dropConn(remote, c, c.sentBytes, CloseRestarted)
				}
			}
			remote.refusedDials, remote.timedOutDials = 0, 0
		}
		if s.Addr != "" && s.Addr != remote.addr {
			if p.byAddr[remote.addr] == s.ID {
				delete(p.byAddr, remote.addr)
			}
			remote.addr = s.Addr
			if !s.Removed {
				p.byAddr[remote.addr] = s.ID
			}
			for c := range remote.eachConn {
				c.retired = true
			}
			// A connect in progress to the old address may reach another server's process, and unsent set-ups would be
			// written there. Its connection is closed when it opens; a new connect is started.
			remote.current, remote.dialing = nil, 0
			remote.refusedDials, remote.timedOutDials, remote.redialAt = 0, 0, 0
			p.ensureConn(remote)
		}
	}
}

// takeAddress records that a new server is now the one listed at its address.
func (p *Protocol) takeAddress(remote *peer) {
	previous, taken := p.byAddr[remote.addr]
	p.byAddr[remote.addr] = remote.server
	if displaced := p.peers[previous]; taken && displaced != nil && displaced != remote {
		p.displace(displaced, remote)
	}
}

// isSilent reports whether nothing was read from a server for checkTimeout.
func (p *Protocol) isSilent(remote *peer) bool {
	for _, c := range remote.conns {
		if p.now-c.lastReadAt < checkTimeout {
			return false
		}
	}
	return true
}

// addressReused reports whether a server removed from the list has lost its address to another one.
func (p *Protocol) addressReused(remote *peer) bool {
	if !remote.removed {
		return false
	}
	for _, other := range p.peers {
		if other != remote && !other.removed && other.addr == remote.addr {
			return true
		}
	}
	return false
}

// successor returns the server that is listed at the address of another one since later, or nil. The other one is still
// listed if its removal is not received yet, but its successor answers at the address.
func (p *Protocol) successor(remote *peer) *peer {
	id, ok := p.byAddr[remote.addr]
	if !ok || id == remote.server {
		return nil
	}
	return p.peers[id]
}

// displaced reports whether a server has lost its address to a successor.
func (p *Protocol) displaced(remote *peer) bool { return p.successor(remote) != nil }

// displace handles the listing of a successor at a server's address. A connect in progress there, and connections opened
// since the successor started, lead to the successor: they must not be taken for the server's own.
func (p *Protocol) displace(remote, successor *peer) {
	remote.dialing = 0
	p.failWaiting(remote)
	for c := range remote.eachConn {
		if successor.started > 0 && c.connectedAt >= successor.started {
			p.dropConn(remote, c, c.sentBytes, CloseDisplaced)
		}
	}
}

// checkDisplaced ends the sessions of a server that has lost its address and is silent: it has gone, though its removal
// is not received yet. If a connection is open, a probe is sent there first.
func (p *Protocol) checkDisplaced(remote *peer) {
	if len(remote.sessions) == 0 || !p.displaced(remote) || !p.isSilent(remote) {
		return
	}
	var open *conn
	for c := range remote.eachConn {
		if c.checkSentAt != 0 {
			return // the answer is awaited
		}
		if c.writeClosedAt == 0 {
			open = c
		}
	}
	if open == nil {
		p.endSessions(remote)
		return
	}
	open.checkSentAt = p.now
	p.sendProbeOn(remote, open)
}

// endSessions ends the sessions of a server whose process or machine is considered down. In case the server still plays
// them, for no viewer, their release is sent as soon as a connection opens.
func (p *Protocol) endSessions(remote *peer) {
	for _, id := range sorted(remote.sessions) {
		p.end(remote.sessions[id], policy.ConnReset, nil)
		p.queueRelease(remote, id)
	}
	for c := range remote.eachConn {
		p.dropConn(remote, c, c.sentBytes, CloseDown)
	}
}

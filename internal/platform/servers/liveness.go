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
			p.byAddr[s.Addr] = s.ID
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

// displaced reports whether a server that is still listed has lost its address to one listed later: its removal is not
// received yet, and the other one answers at the address.
func (p *Protocol) displaced(remote *peer) bool {
	id, ok := p.byAddr[remote.addr]
	return ok && id != remote.server
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

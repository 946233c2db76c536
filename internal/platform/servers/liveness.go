package servers

import (
	"tealledge/policy"
)

// Liveness of servers, judged by the list, by their address and by the results of connects, and the end of their
// sessions.

// Listed applies new and changed entries of the server list.
func (p *Desk) Listed(now Time, list []Server) {
	p.now = now
	for _, s := range list {
		known := p.peers[s.ID]
		if known == nil {
			if s.Gone {
				continue
			}
			known = &peer{server: s.ID, addr: s.Addr, started: s.Started, conns: map[uint64]*conn{},
				sessions: map[uint64]*attempt{},
				moving:   map[uint64]Time{}, abandoned: map[uint64]Time{}, pendingReleases: map[uint64]Time{}}
			p.peers[s.ID] = known
			p.peerIDs = nil
			p.byAddr[s.Addr] = s.ID
		}
		known.draining, known.removed = s.Drains, s.Gone
		if s.Gone && p.byAddr[known.addr] == s.ID {
			delete(p.byAddr, known.addr)
		}
		if s.Started > known.started { // the process restarted: sessions of the old process have ended
			known.started = s.Started
			for _, id := range sorted(known.sessions) {
				if a := known.sessions[id]; a.startedAt < s.Started {
					p.end(a, policy.ResetConn, nil)
				}
			}
			for c := range known.eachConn {
				if c.connectedAt < s.Started {
					p.dropConn(known, c, c.sentBytes)
				}
			}
			known.refusedDials, known.timedOutDials = 0, 0
		}
		if s.Addr != "" && s.Addr != known.addr {
			if p.byAddr[known.addr] == s.ID {
				delete(p.byAddr, known.addr)
			}
			known.addr = s.Addr
			if !s.Gone {
				p.byAddr[known.addr] = s.ID
			}
			for c := range known.eachConn {
				c.retired = true
			}
			// A connect in progress to the old address may reach another server's process, and unsent set-ups would be
			// written there. Its connection is closed when it opens; a new connect is started.
			known.current, known.dialing = nil, 0
			known.refusedDials, known.timedOutDials, known.redialAt = 0, 0, 0
			p.ensureConn(known)
		}
	}
}

// isSilent reports whether nothing was read from a server for checkTimeout.
func (p *Desk) isSilent(peer *peer) bool {
	for _, c := range peer.conns {
		if p.now-c.lastReadAt < checkTimeout {
			return false
		}
	}
	return true
}

// addressReused reports whether a server removed from the list has lost its address to another one.
func (p *Desk) addressReused(peer *peer) bool {
	if !peer.removed {
		return false
	}
	for _, other := range p.peers {
		if other != peer && !other.removed && other.addr == peer.addr {
			return true
		}
	}
	return false
}

// displaced reports whether a server that is still listed has lost its address to one listed later: its removal is not
// received yet, and the other one answers at the address.
func (p *Desk) displaced(peer *peer) bool {
	id, ok := p.byAddr[peer.addr]
	return ok && id != peer.server
}

// endSessions ends the sessions of a server whose process or machine is considered down. In case the server still plays
// them, for no viewer, their release is sent as soon as a connection opens.
func (p *Desk) endSessions(peer *peer) {
	for _, id := range sorted(peer.sessions) {
		p.end(peer.sessions[id], policy.ResetConn, nil)
		if len(peer.pendingReleases) < maxPendingReleases {
			peer.pendingReleases[id] = p.now + pendingReleaseTTL
		}
	}
	for c := range peer.eachConn {
		p.dropConn(peer, c, c.sentBytes)
	}
}

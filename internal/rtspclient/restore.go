package rtspclient

import "tealledge/internal/front"

// Restore takes over a stream from before a restart of this front. The stream is verified on a new connection by its
// RTSP session ID (GET_PARAMETER, RFC 7826 section 13.7); if its server no longer knows it, the core gets its
// AttemptEnded. Restore returns false and holds nothing if the server is unknown.
func (p *Protocol) Restore(now Time, s front.Setup, stream string) bool {
	p.now = now
	peer := p.peers[s.Server]
	if peer == nil || stream == "" || p.attempts[s.Session] != nil {
		return false
	}
	a := &attempt{setup: s, startedAt: now, sessionID: stream, playing: true, unverified: true}
	p.attempts[s.Session] = a
	peer.streams = append(peer.streams, a)
	if peer.connState == connected {
		p.verify(peer, a)
	} else {
		p.dial(peer)
	}
	return true
}

// TearDownOrphan tears down a stream from before a restart of this front once its server is connected.
func (p *Protocol) TearDownOrphan(now Time, server uint32, stream string) {
	p.now = now
	p.queueTeardown(p.peers[server], &attempt{sessionID: stream})
}

// Stream returns the RTSP session ID of a session's stream, "" if it has none yet.
func (p *Protocol) Stream(session uint64) string {
	if a := p.attempts[session]; a != nil {
		return a.sessionID
	}
	return ""
}

// Attempt returns the number of the session's attempt held here, 0 if none is.
func (p *Protocol) Attempt(session uint64) int {
	if a := p.attempts[session]; a != nil {
		return a.setup.Attempt
	}
	return 0
}

// Server returns the server of the session's attempt, 0 if none is held here.
func (p *Protocol) Server(session uint64) uint32 {
	if a := p.attempts[session]; a != nil {
		return a.setup.Server
	}
	return 0
}

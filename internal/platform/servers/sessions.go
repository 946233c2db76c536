package servers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// Established sessions: restored, moved, set to another rung, and released at their server, now or on the next
// connection.

// release ends a session at its server, now or on the next connection.
func (p *Desk) release(peer *peer, session uint64) {
	if peer == nil {
		return
	}
	if peer.current != nil {
		p.send(peer, peer.current, (&wire.Message{Type: wire.Release, Session: session}).AddCause(wire.CauseGivenUp))
		return
	}
	if len(peer.pendingReleases) < maxPendingReleases {
		peer.pendingReleases[session] = p.now + pendingReleaseTTL
	}
	p.ensureConn(peer)
}

func (p *Desk) stop(e front.Stop) {
	a := p.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	peer := p.peers[a.setup.Server]
	p.forget(a)
	if e.Moved { // its viewer ends it at the server; a release would end it too early
		peer.moving[e.Session] = p.now + moveTimeout
		return
	}
	p.release(peer, e.Session)
}

func (p *Desk) setRung(e front.SetRung) {
	a := p.attempts[e.Session]
	if a == nil || !a.playing || a.setup.Attempt != e.Attempt {
		return
	}
	a.setup.Rung, a.rungPending = e.Rung, true
	if peer := p.peers[a.setup.Server]; peer.current != nil {
		p.sendRung(peer, a)
	}
}

func (p *Desk) sendRung(peer *peer, a *attempt) {
	a.rungPending = false
	p.send(peer, peer.current, (&wire.Message{Type: wire.Level, Session: a.setup.Session}).Add(wire.ParamRung,
		strconv.Itoa(a.setup.Rung)))
}

// Restore takes over a session that already plays at a server.
func (p *Desk) Adopt(now Time, e front.Setup) bool {
	p.now = now
	peer := p.peers[e.Server]
	if peer == nil || p.attempts[e.Session] != nil {
		return false
	}
	if len(peer.sessions) == 0 {
		peer.lastConnectedAt = now
	}
	a := &attempt{setup: e, startedAt: now, playing: true}
	p.attempts[e.Session], peer.sessions[e.Session] = a, a
	p.ensureConn(peer)
	return true
}

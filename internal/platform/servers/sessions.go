package servers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// Established sessions: restored, moved, and set to another rung, now or on the next connection.

// stop ends a session that the core has ended or moved.
func (p *Protocol) stop(e front.Stop) {
	a := p.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	remote := p.peers[a.setup.Server]
	p.forget(a)
	if e.Moved { // its viewer ends it at the server; a release would end it too early
		remote.moving[e.Session] = p.now + moveTimeout
		return
	}
	p.release(remote, e.Session)
}

// setRung sends a session's new rung, now or on the next connection.
func (p *Protocol) setRung(e front.SetRung) {
	a := p.attempts[e.Session]
	if a == nil || !a.playing || a.setup.Attempt != e.Attempt {
		return
	}
	a.setup.Rung, a.rungPending = e.Rung, true
	if remote := p.peers[a.setup.Server]; remote.current != nil {
		p.sendRung(remote, a)
	}
}

// sendRung sends the rung of a session on the current connection.
func (p *Protocol) sendRung(remote *peer, a *attempt) {
	a.rungPending = false
	p.send(remote, remote.current, (&wire.Message{Type: wire.Level, Session: a.setup.Session}).Add(wire.ParamRung,
		strconv.Itoa(a.setup.Rung)))
}

// Restore takes over a session that already plays at a server.
func (p *Protocol) Restore(now Time, e front.Setup) bool {
	p.now = now
	remote := p.peers[e.Server]
	if remote == nil || p.attempts[e.Session] != nil {
		return false
	}
	if len(remote.sessions) == 0 {
		remote.lastConnectedAt = now
	}
	remote.forgetReleases(e.Session)
	a := &attempt{setup: e, startedAt: now, playing: true}
	p.attempts[e.Session], remote.sessions[e.Session] = a, a
	p.ensureConn(remote)
	return true
}

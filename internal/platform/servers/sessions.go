package servers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
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
	a.rungPending, a.rungConn, a.rungSentAt = false, remote.current, p.now
	p.send(remote, remote.current, (&wire.Message{Type: wire.Level, Session: a.setup.Session}).Add(wire.ParamRung,
		strconv.Itoa(a.setup.Rung)))
}

// rungArrivalTime is the time after which a server must have received a rung on a connection that is still open.
const rungArrivalTime = policy.Second

// repeatRungs lets rungs be sent again that a server may not have received before a connection ended.
func (p *Protocol) repeatRungs(remote *peer, ended *conn) {
	for _, id := range sorted(remote.sessions) {
		a := remote.sessions[id]
		if a.rungConn != ended {
			continue
		}
		a.rungConn = nil
		if p.now-a.rungSentAt >= rungArrivalTime {
			continue
		}
		p.Stats.RungsRepeated++
		a.rungPending = true
		if remote.current != nil {
			p.sendRung(remote, a)
		}
	}
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

package servers

import (
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Probes of servers, each answered in time or failed.

// probe sends a probe to a server, now or on its next connection.
func (p *Protocol) probe(server uint32) {
	remote := p.peers[server]
	if remote == nil {
		p.events = append(p.events, front.Probed{Server: server, Status: policy.NoConnect})
		return
	}
	if remote.current == nil {
		remote.probePending, remote.probeRequestedAt = true, p.now
		p.dial(remote, true)
		return
	}
	p.sendProbe(remote)
}

// sendProbe sends a probe on the current connection.
func (p *Protocol) sendProbe(remote *peer) { p.sendProbeOn(remote, remote.current) }

// sendProbeOn sends a probe on an open connection.
func (p *Protocol) sendProbeOn(remote *peer, c *conn) {
	p.Stats.Tests++
	c.probes[p.Stats.Tests] = p.now
	p.send(remote, c, (&wire.Message{Type: wire.Test, Session: p.Stats.Tests}).AddCause(wire.CauseReport))
}

package servers

import (
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Probes of servers, each answered in time or failed.

func (p *Desk) probe(server uint32) {
	peer := p.peers[server]
	if peer == nil {
		p.events = append(p.events, front.Probed{Server: server, Status: policy.NoConnect})
		return
	}
	if peer.current == nil {
		peer.probePending, peer.probeRequestedAt = true, p.now
		p.dial(peer, true)
		return
	}
	p.sendProbe(peer)
}

func (p *Desk) sendProbe(peer *peer) {
	p.Stats.Tests++
	peer.current.probes[p.Stats.Tests] = p.now
	p.send(peer, peer.current, (&wire.Message{Type: wire.Test, Session: p.Stats.Tests}).AddCause(wire.CauseReport))
}

package servers

import "tealledge/policy"

// Rotation: if more servers hold sessions than this front may hold connections, the connections rotate among the
// servers.

const (
	maxDisconnectedTime = 2 * policy.Second        // time that a server with sessions is left without a connection
	minTurnTime         = 250 * policy.Millisecond // time that a connection stays open before its turn may end
)

// giveTurn half-closes the connection that has been open for longest, in favour of a server that has sessions of this
// front, or releases to get, and no connection for maxDisconnectedTime. Otherwise the end of those sessions would never
// be received, their viewers would keep them for ever, and the server what is to be released. The cost: one connection each time, and messages of servers without a
// connection arrive up to some seconds late.
func (p *Protocol) giveTurn(target *peer) {
	if len(target.sessions)+len(target.pendingReleases) == 0 || len(target.conns) > 0 || p.now-target.lastConnectedAt < maxDisconnectedTime {
		return
	}
	var oldest *conn
	var owner *peer
	for _, remote := range p.peers {
		c := remote.current
		if c == nil || remote.dialing != 0 || len(remote.unsent)+len(c.inFlight)+len(c.probes) > 0 ||
			p.now-c.connectedAt < minTurnTime {
			continue
		}
		if oldest == nil || c.connectedAt < oldest.connectedAt ||
			c.connectedAt == oldest.connectedAt && c.id < oldest.id {
			oldest, owner = c, remote
		}
	}
	if oldest == nil {
		return
	}
	oldest.retired, owner.current = true, nil
	owner.redialAt = max(owner.redialAt, p.now+maxDisconnectedTime) // leaves the descriptor to the other servers
	p.closeWrite(owner, oldest)
}

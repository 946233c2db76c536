package viewers

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"tealledge/internal/front"
	"tealledge/policy"
)

// Connections of viewers: accepted, and closed when they are unused or too many.

// SetMaxConns sets the limit on connections; excess ones are closed, a few at each tick and as others are accepted.
func (p *Protocol) SetMaxConns(conns int) { p.maxConns = conns }

// MaxConns returns the limit set by SetMaxConns.
func (p *Protocol) MaxConns() int { return p.maxConns }

// maxEvictionsPerTick bounds how many excess connections are closed in one tick after the limit was lowered: closed
// ones still count until the shell reports their end.
const maxEvictionsPerTick = 4

// maxEvictionCandidates bounds how many connections are checked for pending input when one is to be closed.
const maxEvictionCandidates = 8

// HasPartialLine reports whether a line is incomplete on any connection.
func (p *Protocol) HasPartialLine() bool {
	for _, c := range p.conns {
		if c.partialSince != 0 && !c.closed {
			return true
		}
	}
	return false
}

// Accepted handles a new connection from the address host. Past the limit, the least useful connection is closed.
func (p *Protocol) Accepted(now Time, conn uint64, host netip.Addr) {
	p.now = now
	p.Stats.Accepted++
	c := &client{id: conn, connectedAt: now, lastReceivedAt: now, openRequests: map[uint64]bool{}}
	p.conns[conn] = c
	p.join(c, host)
	if len(p.conns) > p.maxConns {
		p.evict(conn)
	}
}

// evictionRank orders connections by how little is lost if they are closed at the limit on connections. A connection with
// an open request is never closed, one of rankSilent or less only while none of its input is pending.
type evictionRank int

const (
	rankOpenRequest evictionRank = iota
	rankNewcomer
	rankSessions   // its client has established sessions
	rankHadSession // it had one
	rankValidLine  // it sent a valid line
	rankSilent     // it sent nothing
	rankBad        // it sent invalid lines only
)

// rank returns the rank of a connection. newcomer is the connection for which another one is to be closed.
func (c *client) rank(newcomer uint64) evictionRank {
	switch {
	case len(c.openRequests) > 0:
		return rankOpenRequest
	case c.id == newcomer:
		return rankNewcomer
	case c.servesSessions():
		return rankSessions
	case c.hadSession:
		return rankHadSession
	case c.validLines > 0:
		return rankValidLine
	case c.badLines > 0:
		return rankBad
	}
	return rankSilent
}

// evict closes the connection with the highest rank, among equals the one silent for longest; as a last resort the
// newcomer. Otherwise hundreds of clients that connect and send nothing would use up all descriptors. The cost: a viewer
// that is slow to send its first line is disconnected.
func (p *Protocol) evict(newcomer uint64) {
	victim := p.evictionVictim(newcomer)
	if victim == nil {
		return
	}
	p.Stats.Evicted++
	if !p.noPendingInput(victim) {
		p.Stats.EvictedUnread++
	}
	p.closeConn(victim, nil, CloseEvicted)
}

// evictionVictim returns the connection that evict closes, or nil if there is none.
func (p *Protocol) evictionVictim(newcomer uint64) *client {
	candidates := p.evictionCandidates(newcomer)
	if c := p.firstWithoutPendingInput(candidates, firstRequestTime); c != nil {
		return c
	}
	if c := p.floodAmong(candidates, minFloodBytes); c != nil {
		return c
	}
	if c := p.firstWithoutPendingInput(candidates, 0); c != nil {
		return c
	}
	if c := p.floodAmong(candidates, 1); c != nil {
		return c
	}
	return p.conns[newcomer]
}

// evictionCandidates returns the connections that evict should close first, in order, maxEvictionCandidates at most.
func (p *Protocol) evictionCandidates(newcomer uint64) []*client {
	list := make([]*client, 0, maxEvictionCandidates+1)
	for _, c := range p.conns {
		if c.closed || c.rank(newcomer) <= rankNewcomer {
			continue
		}
		i, _ := slices.BinarySearchFunc(list, c, func(listed, c *client) int { return listed.compareEviction(c, newcomer) })
		if i < maxEvictionCandidates {
			list = slices.Insert(list, i, c)
			list = list[:min(len(list), maxEvictionCandidates)]
		}
	}
	return list
}

// compareEviction orders connections: a negative result means that this one is closed before another one.
func (c *client) compareEviction(other *client, newcomer uint64) int {
	return cmp.Or(cmp.Compare(other.rank(newcomer), c.rank(newcomer)),
		cmp.Compare(c.lastReceivedAt, other.lastReceivedAt), cmp.Compare(c.id, other.id))
}

// Limits on connections that evict spares at first: new ones, whose first request may be on its way, and those with less
// pending input than a flood has.
const (
	firstRequestTime = 250 * policy.Millisecond
	minFloodBytes    = 4 << 10
)

// firstWithoutPendingInput returns the first of the connections without pending input that have sent nothing for a time, or
// of those that sent invalid lines only; nil if there is none.
func (p *Protocol) firstWithoutPendingInput(list []*client, silence Time) *client {
	for _, c := range list {
		if c.rank(0) == rankBad || p.now-c.lastReceivedAt >= silence && p.noPendingInput(c) {
			return c
		}
	}
	return nil
}

// floodAmong returns the connection with the most pending input, of those that never had a session: a flood has more of it
// than the newcomer, whose request may be unread too. It returns nil if none has minBytes, or if that is not known.
func (p *Protocol) floodAmong(list []*client, minBytes int) (flood *client) {
	if p.cfg.PendingBytes == nil {
		return nil
	}
	most := minBytes - 1
	for _, c := range list {
		if c.rank(0) < rankValidLine {
			continue
		}
		if bytes := p.cfg.PendingBytes(c.id); bytes > most {
			flood, most = c, bytes
		}
	}
	return flood
}

// noPendingInput reports whether a connection may be closed as unused. A request that was read, or lies in the socket,
// while the owner was busy would be lost with its connection, and its client never answered.
func (p *Protocol) noPendingInput(c *client) bool {
	return p.cfg.NoPendingInput == nil || p.cfg.NoPendingInput(c.id)
}

// closeConn closes a connection after a last reply. Its open requests can't be answered any more and are abandoned.
func (p *Protocol) closeConn(c *client, reply []byte, reason CloseReason) {
	if !c.closed {
		c.closed = true
		p.setPartialBytes(c, 0)
		p.effects = append(p.effects, Effect{Conn: c.id, Bytes: reply, Close: true, Reason: reason,
			GivenUp: len(c.openRequests)})
		p.connEnded(c)
		p.giveUpRequests(c)
	}
}

// abandonRequests abandons the open requests of a connection.
func (p *Protocol) abandonRequests(c *client) {
	for _, sid := range slices.Sorted(maps.Keys(c.openRequests)) {
		p.forget(sid)
		p.events = append(p.events, front.Leave{Session: sid})
	}
}

// CloseQuiet closes the connections of a front that leaves on which nothing is pending and nothing was received for
// quietTime. Established sessions are not bound to their connection.
func (p *Protocol) CloseQuiet(now, quietTime Time) {
	p.now = now
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		c := p.conns[id]
		if len(c.openRequests) == 0 && c.partialSince == 0 && now-c.lastReceivedAt >= quietTime && p.noPendingInput(c) {
			p.closeConn(c, nil, CloseLeaving)
		}
	}
}

// CloseUnanswering closes the connections of a front that leaves, except for those on which a request waits for its
// answer.
func (p *Protocol) CloseUnanswering(now Time) {
	p.now = now
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		if c := p.conns[id]; len(c.openRequests) == 0 {
			p.closeConn(c, nil, CloseLeaving)
		}
	}
}

// CloseUnread handles a connection that the shell has closed because its output was not read. It returns how many requests
// were given up by that. Lost must follow.
func (p *Protocol) CloseUnread(now Time, conn uint64) (givenUp int) {
	p.now = now
	c := p.conns[conn]
	if c == nil {
		return 0
	}
	c.closed = true
	p.connEnded(c)
	givenUp = len(c.openRequests)
	p.giveUpRequests(c)
	return givenUp
}

// giveUpRequests abandons the open requests of a connection that this front closes.
func (p *Protocol) giveUpRequests(c *client) {
	p.Stats.GivenUp += uint64(len(c.openRequests))
	p.abandonRequests(c)
}

// Lost handles the end of a connection: its open requests are abandoned; established sessions are not bound to it.
func (p *Protocol) Lost(now Time, conn uint64) {
	p.now = now
	c := p.conns[conn]
	if c == nil {
		return
	}
	p.Stats.Departed += uint64(len(c.openRequests))
	p.setPartialBytes(c, 0)
	p.abandonRequests(c)
	delete(p.conns, conn)
	p.connEnded(c)
}

// Tick advances the clock; it is called several times a second.
func (p *Protocol) Tick(now Time) {
	p.now = now
	p.confirmEnds()
	open := 0
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		c := p.conns[id]
		if !c.closed {
			open++
		}
		switch {
		case c.closed:
		case c.validLines == 0 && now-c.connectedAt >= p.cfg.SilentTimeout && p.noPendingInput(c):
			p.Stats.Silent++
			p.closeConn(c, nil, CloseSilent)
		case c.partialSince != 0 && now-c.partialSince >= p.cfg.PartialLineTimeout &&
			len(c.openRequests) == 0 && p.noPendingInput(c):
			// Without a reply: a line that is completed while a reply waits to be read would be lost.
			p.Stats.BadLines++
			p.Stats.LastBad = string(CloseEndless)
			p.closeConn(c, nil, CloseEndless)
		case c.validLines > 0 && len(c.openRequests) == 0 && !c.servesSessions() &&
			now-c.lastReceivedAt >= p.cfg.IdleTimeout && p.noPendingInput(c):
			p.Stats.Idle++
			p.closeConn(c, nil, CloseIdle)
		}
	}
	for _, sid := range slices.Sorted(maps.Keys(p.pendingRestores)) {
		p.tryRestore(sid)
	}
	p.deliverPendingEnds()
	for len(p.recentOrder) > 0 && p.recent[p.recentOrder[0]] <= now {
		delete(p.recent, p.recentOrder[0])
		p.recentOrder = p.recentOrder[1:]
	}
	for n := 0; open-n > p.maxConns && n < maxEvictionsPerTick; n++ {
		p.evict(0)
	}
}

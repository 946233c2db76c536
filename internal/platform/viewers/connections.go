package viewers

import (
	"errors"
	"maps"
	"slices"

	"tealledge/internal/front"
)

// Connections of viewers: taken, and closed when they are of no use or too many.

// Limit sets how many connections are held; those past it are closed, a few at each tick and as others come.
func (p *Desk) Limit(conns int) { p.maxConns = conns }

// Limits gives what Limit has set.
func (p *Desk) Limits() int { return p.maxConns }

// evictAtOnce bounds how many connections past a limit that has come down are closed in one tick: those closed still count until
// the shell tells that they ended.
const maxEvictionsPerTick = 4

// evictTries bounds how many connections are looked at for unheard words when one is to be closed.
const maxEvictionCandidates = 4

// Halves tells whether a line has begun on any connection and not ended.
func (p *Desk) Halves() bool {
	for _, c := range p.conns {
		if c.partialSince != 0 && !c.closed {
			return true
		}
	}
	return false
}

// Accepted tells of a new connection. If there are too many, one that is least missed makes room.
func (p *Desk) Accepted(now Time, conn uint64) {
	p.now = now
	p.Stats.Accepted++
	p.conns[conn] = &client{id: conn, connectedAt: now, lastReceivedAt: now, openRequests: map[uint64]bool{}}
	if len(p.conns) > p.maxConns {
		p.evict(conn)
	}
}

// evict closes the connection that is least missed: one that never said anything, then one without sessions, then one
// without an open request, each the longest quiet; in the end the newcomer. Danger: hundreds that connect and say
// nothing would take all descriptors. Harm: a viewer that is slow to speak is closed on.
func (p *Desk) evict(newcomer uint64) {
	var victim *client
	rank := func(c *client) int {
		switch {
		case len(c.openRequests) > 0:
			return 0
		case c.id == newcomer:
			return 1
		case c.sessionCount > 0:
			return 2
		case c.sentValidLine:
			return 3
		}
		return 4
	}
	excluded := map[*client]bool{} // found with words that were not heard yet
	for range maxEvictionCandidates {
		victim = nil
		for _, c := range p.conns {
			if c.closed || excluded[c] {
				continue
			}
			if victim == nil || rank(c) > rank(victim) || rank(c) == rank(victim) && (c.lastReceivedAt < victim.lastReceivedAt || c.lastReceivedAt == victim.lastReceivedAt && c.id < victim.id) {
				victim = c
			}
		}
		if victim == nil || rank(victim) <= 1 || p.noPendingInput(victim) {
			break
		}
		excluded[victim], victim = true, nil
	}
	if victim == nil || rank(victim) == 0 {
		victim = p.conns[newcomer]
	}
	if victim == nil {
		return
	}
	p.Stats.Evicted++
	p.closeConn(victim, nil)
}

// quiet tells whether a connection may be closed for want of use. Danger: a request that was read, or lies in the socket, while the
// owner was busy with others would be closed on, and its client never answered.
func (p *Desk) noPendingInput(c *client) bool { return p.cfg.Quiet == nil || p.cfg.Quiet(c.id) }

// shut closes a connection after some last bytes. What it had open can't be answered any more and is given up.
func (p *Desk) closeConn(c *client, reply []byte) {
	if !c.closed {
		c.closed = true
		p.effects = append(p.effects, Effect{Conn: c.id, Bytes: reply, Close: true})
		p.abandonRequests(c)
	}
}

func (p *Desk) abandonRequests(c *client) {
	for _, sid := range slices.Sorted(maps.Keys(c.openRequests)) {
		p.forget(sid)
		p.events = append(p.events, front.Leave{Session: sid})
	}
}

// Lost tells that a connection ended: its open requests are given up; sessions that stand don't belong to it.
func (p *Desk) Lost(now Time, conn uint64) {
	p.now = now
	c := p.conns[conn]
	if c == nil {
		return
	}
	p.abandonRequests(c)
	delete(p.conns, conn)
}

// Tick lets time pass; it is to be called several times a second.
func (p *Desk) Tick(now Time) {
	p.now = now
	var carrier *client
	open := 0
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		c := p.conns[id]
		if !c.closed {
			open++
		}
		switch {
		case c.closed:
		case !c.sentValidLine && now-c.connectedAt >= p.cfg.Silent && p.noPendingInput(c):
			p.Stats.Silent++
			p.closeConn(c, nil)
		case c.partialSince != 0 && now-c.partialSince >= p.cfg.Half:
			p.reject(c, 0, errors.New("a line that does not end"))
		case c.sentValidLine && len(c.openRequests) == 0 && c.sessionCount == 0 && now-c.lastReceivedAt >= p.cfg.Idle && p.noPendingInput(c):
			p.Stats.Idle++
			p.closeConn(c, nil)
		case c.sessionCount > 0 && carrier == nil:
			carrier = c
		}
	}
	for _, sid := range slices.Sorted(maps.Keys(p.pendingRestores)) {
		p.tryRestore(sid)
	}
	for _, sid := range slices.Sorted(maps.Keys(p.pendingReleases)) {
		if carrier != nil {
			p.send(carrier, p.pendingReleases[sid].bytes)
		}
		if carrier != nil || now >= p.pendingReleases[sid].expiresAt {
			delete(p.pendingReleases, sid)
		}
	}
	for len(p.recentOrder) > 0 && p.recent[p.recentOrder[0]] <= now {
		delete(p.recent, p.recentOrder[0])
		p.recentOrder = p.recentOrder[1:]
	}
	for n := 0; open-n > p.maxConns && n < maxEvictionsPerTick; n++ {
		p.evict(0)
	}
}

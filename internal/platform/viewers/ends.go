package viewers

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Ends of sessions: sent to the client of the session, again if its connection is lost before it can have read them.

// maxEndCopies is the limit on connections on which an end is sent while it is not known which one is its client's.
const maxEndCopies = 8

// maxConfirmable is the number of ends on a connection that its client can confirm.
const maxConfirmable = 64

// maxRepeatedElsewhere is the number of unread ends of a lost connection up to which they are sent to other clients, if its
// own does not connect again: a client that leaves hundreds unread must not fill the connections of others.
const maxRepeatedElsewhere = 64

// Durations of sending ends.
const (
	pendingEndTTL = 8 * policy.Second // how long an end is sent again, or waits for a connection
	// confirmTime is how long a connection must stay open after an end has arrived at the client's machine.
	confirmTime = 250 * policy.Millisecond
	// arrivalTimeout is the time after which an end that has not arrived at the client's machine is sent elsewhere, if
	// nothing comes from there either.
	arrivalTimeout = 500 * policy.Millisecond
	// replacementTime is how long a lost connection's replacement is waited for before an end is sent elsewhere.
	replacementTime = 250 * policy.Millisecond
)

// pendingEnd is the encoded end of a session, waiting for a connection of its client until it expires.
type pendingEnd struct {
	bytes     []byte
	group     *group
	lostConn  uint64 // the connection that its client has lost: only a newer one replaces it
	expiresAt Time
	sentOn    []uint64 // connections on which it was sent, which may not be its client's
	blocked   []uint64 // connections on which it was sent and not read
	ownOnly   bool     // it is sent on the connections of its group only
}

// sentEnd is an end that was sent, but may not have been read yet.
type sentEnd struct {
	sid       uint64
	end       *pendingEnd
	sentAt    Time
	arrivedAt Time // when it was found to have arrived at the client's machine; 0: not yet
	elsewhere bool // its connection is none of its group
}

// sendEnd sends the end of an established session to its client: on the connection of the session, else on those that may
// have replaced it. If there is none, the end is sent on another connection, and again on the client's next one.
func (p *Protocol) sendEnd(sid uint64, line wire.Line) {
	s := p.sessions[sid]
	if s == nil {
		return
	}
	end := &pendingEnd{bytes: p.format(&line), group: s.group.current(), lostConn: s.conn, expiresAt: p.now + pendingEndTTL}
	if p.isOpen(s.conn) {
		p.forget(sid)
		p.writeEnd(p.conns[s.conn], sid, end, false)
		return
	}
	p.addPendingEnd(sid, end)
	p.forget(sid)
	for _, conn := range s.claims {
		if p.isOpen(conn) {
			p.writeEnd(p.conns[conn], sid, end, true)
		}
	}
	p.deliverEnd(sid, end, p.replacements(end.group), p.otherConn)
}

// addPendingEnd adds an end that waits for a connection.
func (p *Protocol) addPendingEnd(sid uint64, end *pendingEnd) {
	if len(p.pendingEnds) >= maxRecent {
		p.Stats.EndsDropped++
		return
	}
	p.pendingEnds[sid] = end
	p.addStanding(end.group)
}

// removePendingEnd removes an end that has reached its client, or that nobody waits for any more.
func (p *Protocol) removePendingEnd(sid uint64) {
	if end := p.pendingEnds[sid]; end != nil {
		delete(p.pendingEnds, sid)
		p.removeStanding(end.group)
	}
}

// deliverPendingEnds sends ends that wait for a connection, and drops those that have expired.
func (p *Protocol) deliverPendingEnds() {
	if len(p.pendingEnds) == 0 {
		return
	}
	others := map[netip.Addr]*client{}
	otherConn := func(end *pendingEnd) *client {
		c, searched := others[end.group.host]
		if !searched || c != nil && end.blockedOn(c) {
			c = p.otherConn(end)
			others[end.group.host] = c
		}
		return c
	}
	replacements := map[*group][]*client{}
	for _, sid := range slices.Sorted(maps.Keys(p.pendingEnds)) {
		end := p.pendingEnds[sid]
		if p.now >= end.expiresAt {
			if len(end.sentOn) == 0 {
				p.Stats.EndsDropped++
			}
			p.removePendingEnd(sid)
			continue
		}
		end.group = end.group.current()
		list, known := replacements[end.group]
		if !known {
			list = p.replacements(end.group)
			replacements[end.group] = list
		}
		p.deliverEnd(sid, end, list, otherConn)
	}
}

// deliverEnd sends an end that waits for a connection on the connections that may have replaced its client's. It goes on
// waiting while none is known to have. If there is none for a time, the end is sent on otherConn in the meantime.
func (p *Protocol) deliverEnd(sid uint64, end *pendingEnd, replacements []*client, otherConn func(*pendingEnd) *client) {
	replaced := false
	for _, c := range replacements {
		if c.id <= end.lostConn || end.blockedOn(c) {
			continue
		}
		replaced = replaced || c.validLines > 0
		if !slices.Contains(end.sentOn, c.id) && len(end.sentOn) < maxEndCopies {
			p.writeEnd(c, sid, end, false)
		}
	}
	if replaced && !end.group.incomplete(p.now) {
		p.removePendingEnd(sid)
		return
	}
	if len(end.sentOn) == 0 && !end.ownOnly && p.now-end.group.lostAt >= replacementTime {
		if c := otherConn(end); c != nil {
			p.writeEnd(c, sid, end, true)
		}
	}
}

// replacements returns the connections of a group, the likeliest replacements of a lost one first: those that were used,
// then those without invalid lines, then the oldest.
func (p *Protocol) replacements(g *group) []*client {
	list := slices.Clone(g.conns)
	slices.SortFunc(list, func(a, b *client) int {
		return cmp.Or(cmp.Compare(min(b.validLines, 1), min(a.validLines, 1)),
			cmp.Compare(min(a.badLines, 1), min(b.badLines, 1)), cmp.Compare(a.id, b.id))
	})
	return list
}

// blockedOn reports whether the end was sent on a connection and did not arrive.
func (e *pendingEnd) blockedOn(c *client) bool { return slices.Contains(e.blocked, c.id) }

// notReadOn records that what was sent on a connection has not been read.
func (e *pendingEnd) notReadOn(c *client) {
	e.sentOn = slices.DeleteFunc(e.sentOn, func(id uint64) bool { return id == c.id })
	e.blocked = append(e.blocked, c.id)
}

// otherConn returns the connection on which a client without a connection is most likely to read an end: one that was
// used, preferably from its host, the one used last.
func (p *Protocol) otherConn(end *pendingEnd) (best *client) {
	for _, c := range p.conns {
		if !c.closed && !end.blockedOn(c) && c.rank(0) < rankBad && (best == nil || c.likelierThan(best, end.group.host)) {
			best = c
		}
	}
	return best
}

// likelierThan reports whether a client of a host is likelier to be found on a connection than on another one.
func (c *client) likelierThan(other *client, host netip.Addr) bool {
	sameHost, otherSameHost := c.group.host == host, other.group.host == host
	used, otherUsed := c.validLines > 0, other.validLines > 0
	switch {
	case used != otherUsed:
		return used
	case sameHost != otherSameHost:
		return sameHost
	case c.lastReceivedAt != other.lastReceivedAt:
		return c.lastReceivedAt > other.lastReceivedAt
	}
	return c.id < other.id
}

// writeEnd sends an end on a connection, and keeps it until it must have been read. elsewhere: the connection is none of
// its group.
func (p *Protocol) writeEnd(c *client, sid uint64, end *pendingEnd, elsewhere bool) {
	p.send(c, end.bytes)
	end.sentOn = append(end.sentOn, c.id)
	if p.unconfirmedEnds >= maxRecent || len(end.bytes) == 0 {
		return
	}
	p.unconfirmedEnds++
	p.unconfirmed[c.id] = c
	c.unconfirmed = append(c.unconfirmed, sentEnd{sid: sid, end: end, sentAt: p.now, elsewhere: elsewhere})
}

// confirmEnds forgets ends that have reached their clients, and sends those elsewhere that do not arrive.
func (p *Protocol) confirmEnds() {
	for _, id := range slices.Sorted(maps.Keys(p.unconfirmed)) {
		c := p.unconfirmed[id]
		arrived := p.cfg.OutputArrived == nil || p.cfg.OutputArrived(id)
		waiting := c.unconfirmed[:0]
		for _, sent := range c.unconfirmed {
			if arrived && sent.arrivedAt == 0 {
				sent.arrivedAt = p.now
			}
			switch {
			case sent.arrivedAt != 0 && p.now-sent.arrivedAt >= confirmTime:
			case sent.arrivedAt == 0 && p.now-sent.sentAt >= arrivalTimeout && c.lastReceivedAt <= sent.sentAt:
				p.repeatEnd(c, sent)
			default:
				waiting = append(waiting, sent)
			}
		}
		p.unconfirmedEnds -= len(c.unconfirmed) - len(waiting)
		clear(c.unconfirmed[len(waiting):])
		if c.unconfirmed = waiting; len(waiting) == 0 {
			c.unconfirmed = nil
			delete(p.unconfirmed, id)
		}
	}
}

// confirmEnd handles a client's confirmation that it has received the end of a session. Only the oldest ends of its
// connection are searched: the confirmation is voluntary. Other clients' confirmations are ignored.
func (p *Protocol) confirmEnd(c *client, sid uint64) {
	if end := p.pendingEnds[sid]; end != nil && slices.Contains(end.sentOn, c.id) && end.group.current() == c.group {
		p.removePendingEnd(sid)
	}
	oldest := c.unconfirmed[:min(len(c.unconfirmed), maxConfirmable)]
	if i := slices.IndexFunc(oldest, func(sent sentEnd) bool { return sent.sid == sid }); i >= 0 {
		c.unconfirmed = slices.Delete(c.unconfirmed, i, i+1)
		p.unconfirmedEnds--
	}
}

// repeatUnconfirmed sends the ends again that a connection's client may not have read when the connection ended.
func (p *Protocol) repeatUnconfirmed(c *client) {
	flood := len(c.unconfirmed) > maxRepeatedElsewhere
	for _, sent := range c.unconfirmed {
		sent.end.ownOnly = sent.end.ownOnly || flood
		p.repeatEnd(c, sent)
	}
	p.unconfirmedEnds -= len(c.unconfirmed)
	c.unconfirmed = nil
	delete(p.unconfirmed, c.id)
}

// repeatEnd lets an end be sent again, on another connection than before.
func (p *Protocol) repeatEnd(c *client, sent sentEnd) {
	end := sent.end
	pending := p.pendingEnds[sent.sid] != nil
	if !pending && sent.elsewhere { // it was sent on its client's connection since
		return
	}
	if p.now >= end.expiresAt {
		p.Stats.EndsDropped++
		return
	}
	p.Stats.EndsRepeated++
	end.notReadOn(c)
	if !pending {
		end.group, end.lostConn = c.group, c.id
		p.addPendingEnd(sent.sid, end)
	}
}

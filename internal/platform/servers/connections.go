package servers

import (
	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/policy"
)

// Connections: opened on demand, replaced, and evicted when descriptors run out.

// retire marks a connection so that it takes nothing new.
func (p *Protocol) retire(remote *peer, c *conn) {
	c.retired = true
	if remote.current == c {
		remote.current = nil
	}
	p.ensureConn(remote)
}

// ensureConn opens a connection if there is anything to send or receive.
func (p *Protocol) ensureConn(remote *peer) {
	if remote.current == nil && (len(remote.unsent) > 0 || len(remote.sessions) > 0 ||
		len(remote.pendingReleases) > 0 ||
		remote.probePending) {
		p.dial(remote, len(remote.unsent) > 0 || remote.probePending)
	}
}

// dial opens a connection, unless one is being opened. With immediate set it skips the delay after a failure.
func (p *Protocol) dial(remote *peer, immediate bool) {
	if remote.dialing != 0 || !immediate && p.now < remote.redialAt {
		return
	}
	if p.displaced(remote) { // the connect would reach its successor
		p.failWaiting(remote)
		return
	}
	for p.openConns >= p.maxConns {
		if p.evictConn(remote, immediate) {
			continue
		}
		// A connect without a descriptor would look like an unreachable server. Unsent set-ups are reported as never
		// sent.
		p.Stats.Crowded++
		p.giveTurn(remote)
		remote.redialAt = p.now + minRedialDelay
		p.failWaiting(remote)
		return
	}
	p.openConns++
	p.Stats.Dialed++
	remote.dialing = p.Stats.Dialed
	p.effects = append(p.effects, Effect{Server: remote.server, Conn: remote.dialing, Dial: remote.addr,
		Timeout: p.cfg.ConnectTimeout})
}

// failWaiting reports the set-ups and the probe that wait for a connection as never sent.
func (p *Protocol) failWaiting(remote *peer) {
	p.failUnsent(remote, outcome.Cancelled)
	if remote.probePending {
		remote.probePending = false
		p.events = append(p.events, front.Probed{Server: remote.server, Status: policy.NotSent})
	}
}

// evictConn closes the least useful connection: one with nothing open on it and without sessions or, if the request is
// urgent, with the fewest sessions; among equals the one silent for longest. It opens none: the descriptor is for the
// caller. The cost: messages of the evicted server about its sessions wait for its next connection.
func (p *Protocol) evictConn(except *peer, urgent bool) bool {
	var victim *conn
	var owner *peer
	for _, remote := range p.peers { // half-closed ones go first: at once if urgent, else after a short wait
		for _, c := range remote.conns {
			if c.writeClosedAt != 0 && (urgent || p.now-c.writeClosedAt >= minRedialDelay) &&
				(victim == nil || c.writeClosedAt < victim.writeClosedAt ||
					c.writeClosedAt == victim.writeClosedAt && c.id < victim.id) {
				victim, owner = c, remote
			}
		}
	}
	if victim != nil {
		p.removeConn(owner, victim, victim.sentBytes, CloseReplaced)
		return true
	}
	for _, remote := range p.peers {
		if remote == except || remote.dialing != 0 || len(remote.unsent) > 0 || len(remote.sessions) > 0 && !urgent {
			continue
		}
		for _, c := range remote.conns {
			if len(c.inFlight)+len(c.probes) > 0 {
				continue
			}
			if victim == nil || len(remote.sessions) < len(owner.sessions) ||
				len(remote.sessions) == len(owner.sessions) && (c.lastReadAt < victim.lastReadAt ||
					c.lastReadAt == victim.lastReadAt && c.id < victim.id) {
				victim, owner = c, remote
			}
		}
	}
	if victim == nil {
		return false
	}
	owner.redialAt = max(owner.redialAt, p.now+minRedialDelay)
	p.removeConn(owner, victim, victim.sentBytes, CloseEvicted)
	return true
}

// Connected handles the opening of a connection.
func (p *Protocol) Connected(now Time, server uint32, connID uint64) {
	p.now = now
	remote := p.peers[server]
	if remote == nil || remote.dialing != connID {
		p.effects = append(p.effects, Effect{Server: server, Conn: connID, Close: true, Reason: CloseUnwanted})
		p.openConns-- // its server was removed, or dials another connection
		return
	}
	remote.dialing, remote.refusedDials, remote.timedOutDials = 0, 0, 0
	previous := remote.current
	c := &conn{id: connID, inFlight: map[uint64]*attempt{}, probes: map[uint64]Time{}, connectedAt: now,
		lastReadAt: now}
	remote.conns[connID], remote.current = c, c
	if previous != nil {
		previous.retired = true
	}
	p.writePendingReleases(remote)
	for _, id := range sorted(remote.sessions) {
		if a := remote.sessions[id]; a.rungPending {
			p.sendRung(remote, a)
		}
	}
	waiting := remote.unsent
	remote.unsent = nil
	for _, a := range waiting {
		p.sendSetup(remote, a)
	}
	if remote.probePending && remote.current != nil {
		remote.probePending = false
		p.sendProbe(remote)
	}
}

// Failure is the reason why a connect failed.
type Failure uint8

// Reasons of failed connects.
const (
	TimedOut     Failure = iota
	Refused              // the machine answered: no process listens there, or it accepts no more connections
	OtherFailure         // any other failure, also a connection that ended at once: it proves nothing
)

// DialFailed handles a failed connect.
func (p *Protocol) DialFailed(now Time, server uint32, connID uint64, failure Failure) {
	p.now = now
	remote := p.peers[server]
	p.openConns--
	if remote == nil || remote.dialing != connID {
		return
	}
	remote.dialing = 0
	switch failure {
	case Refused:
		p.Stats.Refused++
		remote.refusedDials, remote.timedOutDials = remote.refusedDials+1, 0
	case TimedOut:
		p.Stats.Unanswered++
		remote.timedOutDials, remote.refusedDials = remote.timedOutDials+1, 0
	case OtherFailure:
		p.Stats.Broke++
	}
	remote.redialAt = now + min(minRedialDelay<<min(max(remote.refusedDials, remote.timedOutDials,
		maxTimedOutDials)-maxTimedOutDials, 8), maxRedialDelay)
	p.failUnsent(remote, outcome.DialFailed)
	if remote.probePending {
		remote.probePending = false
		p.events = append(p.events, front.Probed{Server: server, Status: policy.NoConnect,
			Took: now - remote.probeRequestedAt})
	}
	// A server also refuses connects at its limit and while it drains: if it is listed and still has a connection, a
	// probe is sent there. An open connection alone does not prove that the process runs.
	switch {
	case remote.timedOutDials >= maxTimedOutDials, remote.refusedDials >= maxRefusedDials &&
		(remote.removed || len(remote.conns) == 0):
		p.endSessions(remote)
	case remote.refusedDials >= maxRefusedDials && remote.current != nil && remote.current.checkSentAt == 0:
		remote.current.checkSentAt = now
		p.sendProbe(remote)
	}
}

// Lost handles the end of a connection. submitted is an upper bound of the bytes handed to the kernel.
func (p *Protocol) Lost(now Time, server uint32, connID uint64, submitted uint64) {
	p.now = now
	remote := p.peers[server]
	if remote == nil {
		return
	}
	if c := remote.conns[connID]; c != nil {
		p.Stats.Lost++
		p.dropConn(remote, c, submitted, CloseEnded)
	}
}

// closeWrite closes the writing side of a connection on which nothing is open; reading goes on until the server
// closes its side. A full close would lose messages that the server is just sending there, and only there, about
// established sessions; their viewers would never be notified. The cost: the descriptor is held for up to
// halfCloseTimeout.
func (p *Protocol) closeWrite(remote *peer, c *conn) {
	c.writeClosedAt = p.now
	p.effects = append(p.effects, Effect{Server: remote.server, Conn: c.id, CloseWrite: true})
}

// eachConn iterates over the connections in order of their numbers. The loop body may close connections of the same
// server that are still to come; these are skipped.
func (p *peer) eachConn(yield func(*conn) bool) {
	for _, id := range sorted(p.conns) {
		if c := p.conns[id]; c != nil && !yield(c) {
			return
		}
	}
}

// dropConn closes a connection, ends what was open on it, and opens another if one is needed.
func (p *Protocol) dropConn(remote *peer, c *conn, submitted uint64, reason CloseReason) {
	p.removeConn(remote, c, submitted, reason)
	p.ensureConn(remote)
}

// removeConn closes a connection and ends what was open on it.
func (p *Protocol) removeConn(remote *peer, c *conn, submitted uint64, reason CloseReason) {
	delete(remote.conns, c.id)
	p.openConns--
	if remote.current == c {
		remote.current = nil
	}
	p.effects = append(p.effects, Effect{Server: remote.server, Conn: c.id, Close: true, Reason: reason})
	uncertain := false
	for _, id := range sorted(c.inFlight) {
		a := c.inFlight[id]
		switch {
		case submitted < a.endOffset && !a.retried && !remote.draining && !remote.removed:
			// A server runs only complete set-ups: this one was not sent whole, and waits for the next connection,
			// once.
			p.Stats.Again++
			delete(c.inFlight, id)
			a.retried, a.conn = true, nil
			remote.unsent = append(remote.unsent, a)
		case submitted < a.endOffset:
			p.end(a, outcome.StatusOf(outcome.PartlyWritten, outcome.ConnectionLost, 0), nil)
		default:
			uncertain = true
			p.Stats.Uncertain++
			p.queueRelease(remote, id)
			p.end(a, outcome.StatusOf(outcome.Written, outcome.ConnectionLost, 0), nil)
		}
	}
	p.requeueReleases(remote, c)
	p.repeatRungs(remote, c)
	for _, id := range sorted(c.probes) {
		p.events = append(p.events, front.Probed{Server: remote.server, Status: policy.ConnReset,
			Took: p.now - c.probes[id]})
	}
	clear(c.probes)
	if p.now-c.connectedAt < policy.Second { // prevents a reconnect loop when connections end at once
		remote.redialAt = max(remote.redialAt, p.now+minRedialDelay)
	}
	if uncertain { // the next attempt may be sent elsewhere at once: this server has to get its release as soon
		remote.redialAt = p.now
	}
	if len(remote.sessions) > 0 && p.addressReused(remote) { // the server at its address now does not know them
		for _, id := range sorted(remote.sessions) {
			p.end(remote.sessions[id], policy.ConnReset, nil)
		}
	}
}

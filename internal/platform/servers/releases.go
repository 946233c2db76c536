package servers

import "tealledge/internal/platform/wire"

// Releases: whatever may still be at a server without a viewer is released there. That includes set-ups whose
// connection ended before their answer: the server may have answered, and then the session stands without a connection.
// A release counts as received once the server confirms it; if its connection ends before, it is written again.

// sentRelease is a release that its server has not confirmed.
type sentRelease struct {
	conn  *conn // the connection that it was written to
	until Time  // it is not written again after this time
}

// release ends a session at its server, now or on the next connection.
func (p *Protocol) release(remote *peer, session uint64) {
	if remote == nil {
		return
	}
	if remote.current != nil {
		p.writeRelease(remote, remote.current, session)
		return
	}
	p.queueRelease(remote, session)
	p.ensureConn(remote)
}

// releaseAnswered ends a session at its server on the connection of its answer, though that may take no new set-ups:
// the core may send the next attempt elsewhere right after this.
func (p *Protocol) releaseAnswered(remote *peer, c *conn, session uint64) {
	if c.writeClosedAt != 0 {
		p.release(remote, session)
		return
	}
	p.writeRelease(remote, c, session)
}

// queueRelease keeps a release for the next connection. If the server has lost its address, that is one to its successor:
// the session may have been set up there, by a connection that was opened before the successor was listed.
func (p *Protocol) queueRelease(remote *peer, session uint64) {
	if successor := p.successor(remote); successor != nil {
		if a := p.attempts[session]; a == nil || a.setup.Server != successor.server {
			p.release(successor, session)
		}
		return
	}
	if len(remote.pendingReleases) < maxPendingReleases {
		remote.pendingReleases[session] = p.now + pendingReleaseTTL
	}
}

// PendingReleases returns the number of releases that wait for a connection.
func (p *Protocol) PendingReleases() (n int) {
	for _, remote := range p.peers {
		n += len(remote.pendingReleases)
	}
	return n
}

// requeueReleases keeps the unconfirmed releases of a connection that has ended for another one. If there is one, it
// gets all releases at once: the core may send the next attempt of a session right after this.
func (p *Protocol) requeueReleases(remote *peer, ended *conn) {
	for _, session := range sorted(remote.sentReleases) {
		if remote.sentReleases[session].conn == ended {
			p.Stats.Repeated++
			delete(remote.sentReleases, session)
			p.queueRelease(remote, session)
		}
	}
	if remote.current != nil {
		p.writePendingReleases(remote)
	}
}

// writePendingReleases writes the releases that wait for a connection to the current one.
func (p *Protocol) writePendingReleases(remote *peer) {
	for _, session := range sorted(remote.pendingReleases) {
		p.writeRelease(remote, remote.current, session)
	}
	clear(remote.pendingReleases)
}

// writeRelease writes a release to a connection.
func (p *Protocol) writeRelease(remote *peer, c *conn, session uint64) {
	if p.heldByAddressSuccessor(remote, session) {
		return
	}
	p.Stats.Releases++
	p.send(remote, c, (&wire.Message{Type: wire.Release, Session: session}).AddCause(wire.CauseEnded))
	if _, known := remote.sentReleases[session]; known || len(remote.sentReleases) < maxPendingReleases {
		remote.sentReleases[session] = sentRelease{c, p.now + sentReleaseTTL}
	}
}

// heldByAddressSuccessor reports whether a session is now at another server that is listed at the same address. That
// server may be the one that receives what is sent there, and a release would cut the session.
func (p *Protocol) heldByAddressSuccessor(remote *peer, session uint64) bool {
	a := p.attempts[session]
	if a == nil || a.setup.Server == remote.server {
		return false
	}
	holder := p.peers[a.setup.Server]
	return holder != nil && holder.addr == remote.addr
}

// forgetReleases drops the releases of a session that is over at the server, or of which a later attempt is sent there.
func (p *peer) forgetReleases(session uint64) {
	delete(p.pendingReleases, session)
	delete(p.sentReleases, session)
}

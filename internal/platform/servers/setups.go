package servers

import (
	"slices"
	"strconv"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Set-ups: written, waiting for a connection, abandoned. Those that were provably never sent get a status of their own.

// setup starts an attempt: it is sent now, or waits for a connection.
func (p *Protocol) setup(e front.Setup) {
	a := &attempt{setup: e, startedAt: p.now}
	remote := p.peers[e.Server]
	if remote == nil {
		p.end(a, policy.NoConnect, nil)
		return
	}
	p.attempts[e.Session] = a
	if remote.current != nil {
		p.sendSetup(remote, a)
		return
	}
	remote.unsent = append(remote.unsent, a)
	p.dial(remote, true)
}

// sendSetup sends a set-up on the current connection. The conditions that forbid it are checked here, just before the
// write: they may have changed since the server was chosen.
func (p *Protocol) sendSetup(remote *peer, a *attempt) {
	e := &a.setup
	switch {
	case remote.draining || remote.removed || p.displaced(remote):
		// Sent after the drain grace, it would be new work for a server that is leaving, or reach another server at its
		// address.
		p.end(a, outcome.StatusOf(outcome.Unsent, outcome.Cancelled, 0), nil)
		return
	case p.cfg.ClientWaiting != nil && !p.cfg.ClientWaiting(e.Session):
		// The client has left, but that event is still queued or unread at the owner: the server would play for no
		// viewer, which the operators count. The core gets the client's leave before the end of the attempt.
		p.Stats.Left++
		p.events = append(p.events, front.Leave{Session: e.Session})
		p.end(a, outcome.StatusOf(outcome.Unsent, outcome.Cancelled, 0), nil)
		return
	case remote.current == nil: // an earlier unsent set-up found that the connection has ended
		remote.unsent = append(remote.unsent, a)
		p.dial(remote, true)
		return
	case !a.retried && p.cfg.ConnEnded != nil && p.cfg.ConnEnded(remote.current.id):
		// Written to a connection that its server has ended, it could not be distinguished from one that ran, and a
		// paid request would fail. It waits once for the next connection; the end of this one is read in its turn.
		p.Stats.Again++
		a.retried = true
		remote.unsent = append(remote.unsent, a)
		p.retire(remote, remote.current)
		return
	}
	if sent, ok := remote.sentReleases[e.Session]; ok && sent.conn != remote.current {
		// An earlier attempt of this session at this server may still be there if that connection is dead.
		p.writeRelease(remote, remote.current, e.Session)
	}
	m := &wire.Message{Type: wire.SetUp, Session: e.Session}
	if e.Class >= 0 && e.Class < len(p.cfg.Classes) {
		m.Add(wire.ParamClass, p.cfg.Classes[e.Class])
	}
	within := max((e.Timeout-(p.now-a.startedAt))/policy.Millisecond, 1)
	m.Add(wire.ParamTimeout, strconv.FormatInt(within, 10)).Add(wire.ParamTitle, e.Name).
		Add(wire.ParamRung, strconv.Itoa(e.Rung)).Add(wire.ParamText, e.Text)
	c := remote.current
	if !p.send(remote, c, m) {
		p.end(a, policy.NotSent, nil)
		return
	}
	remote.forgetReleases(e.Session)
	p.sent.add(p.now, e.Session)
	a.conn, a.endOffset = c, c.sentBytes
	c.inFlight[e.Session] = a
}

// end reports the end of an attempt, once, and forgets it.
func (p *Protocol) end(a *attempt, status policy.Status, report []float64) {
	if a.ended {
		return
	}
	p.forget(a)
	p.events = append(p.events, front.AttemptEnded{Session: a.setup.Session, Attempt: a.setup.Attempt, Status: status,
		Took: p.now - a.startedAt, Report: report})
}

// forget removes an attempt from all state.
func (p *Protocol) forget(a *attempt) {
	a.ended = true
	id := a.setup.Session
	if p.attempts[id] == a {
		delete(p.attempts, id)
	}
	if a.conn != nil && a.conn.inFlight[id] == a {
		delete(a.conn.inFlight, id)
	}
	if remote := p.peers[a.setup.Server]; remote != nil {
		if remote.sessions[id] == a {
			delete(remote.sessions, id)
		}
		remote.unsent = slices.DeleteFunc(remote.unsent, func(o *attempt) bool { return o == a })
	}
}

// abandon ends an attempt that the core no longer waits for, and releases it at its server.
func (p *Protocol) abandon(e front.Abandon) {
	a := p.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	remote := p.peers[a.setup.Server]
	if a.conn == nil {
		p.end(a, outcome.StatusOf(outcome.Unsent, e.Cause, 0), nil)
		return
	}
	c := a.conn
	if a.playing {
		p.release(remote, e.Session)
	} else {
		p.writeRelease(remote, c, e.Session)
		remote.abandoned[e.Session] = p.now + abandonedTTL
		// If an answer never comes, the connection itself may be dead, and every set-up written there would time out
		// too. The cost: a server that is only slow gets one connection more.
		if e.Cause == outcome.Expired && c.lastReadAt <= a.startedAt {
			p.retire(remote, c)
		}
	}
	p.end(a, outcome.StatusOf(outcome.Written, e.Cause, 0), nil)
}

// failUnsent ends the set-ups that were not sent.
func (p *Protocol) failUnsent(remote *peer, cause outcome.Cause) {
	waiting := remote.unsent
	remote.unsent = nil
	for _, a := range waiting {
		p.end(a, outcome.StatusOf(outcome.Unsent, cause, 0), nil)
	}
}

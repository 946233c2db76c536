package servers

import (
	"unicode/utf8"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Messages received from servers.

// Received handles bytes read from a connection.
func (p *Protocol) Received(now Time, server uint32, connID uint64, b []byte) {
	p.now = now
	remote := p.peers[server]
	if remote == nil {
		return
	}
	c := remote.conns[connID]
	if c == nil {
		return
	}
	c.lastReadAt = now
	c.decoder.Feed(b)
	for remote.conns[connID] == c {
		m, err := c.decoder.Next()
		if err == nil && m != nil {
			err = p.handle(remote, c, m)
		}
		if err != nil { // later messages can't be delimited any more: the connection is unusable
			p.Stats.Spoilt++
			p.dropConn(remote, c, c.sentBytes, CloseUnreadable)
			return
		}
		if m == nil {
			break
		}
	}
	switch {
	case !c.decoder.Partial():
		c.partialSince = 0
	case c.partialSince == 0:
		c.partialSince = now
	}
}

// protocolError is the reason why a server's message is invalid.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// handle handles a message. After an error the connection is unusable.
func (p *Protocol) handle(remote *peer, c *conn, m *wire.Message) error {
	switch m.Type {
	case wire.Ready:
		return p.handleReady(remote, c, m)
	case wire.Release:
		p.handleRelease(remote, c, m)
	case wire.Note:
		p.handleNote(remote, m)
	case wire.Tested:
		at, ok := c.probes[m.Session]
		if !ok {
			return nil
		}
		delete(c.probes, m.Session)
		status := policy.Errored
		if cause, _ := m.Cause(); cause == 1 {
			status = policy.OK
		}
		p.events = append(p.events, front.Probed{Server: remote.server, Status: status, Took: p.now - at,
			Report: p.report(m)})
	case wire.Released:
		delete(remote.sentReleases, m.Session)
	case wire.Trying:
	default:
		return protocolError("server sent a message type reserved for fronts")
	}
	return nil
}

// report returns the load report that a message carries, or nil.
func (p *Protocol) report(m *wire.Message) []float64 {
	v, _ := m.Get(wire.ParamReport)
	report := wire.ParseReport(string(v), p.cfg.Fields)
	if report != nil {
		p.Stats.Reports++
	}
	return report
}

// handleReady handles the answer to a set-up.
func (p *Protocol) handleReady(remote *peer, c *conn, m *wire.Message) error {
	a := p.attempts[m.Session]
	if a == nil || a.conn != c || a.playing {
		if _, late := remote.abandoned[m.Session]; late && a == nil { // the answer crossed the release
			p.Stats.Late++
			p.releaseAnswered(remote, c, m.Session)
		}
		return nil // of an unknown session, or a duplicate
	}
	text, ok := m.Get(wire.ParamText)
	if !ok || !utf8.Valid(text) {
		return protocolError("ready message without a description")
	}
	delete(c.inFlight, m.Session)
	if !fitsLine(m.Session, string(text)) {
		// Counted as established, it would fail its viewer and still count in the server's favour: the next set-up
		// would go there too.
		p.releaseAnswered(remote, c, m.Session)
		p.end(a, policy.Errored, p.report(m))
		return nil
	}
	a.playing = true
	remote.sessions[m.Session] = a
	a.setup.Text = ""
	p.events = append(p.events, front.AttemptStarted{Session: m.Session, Attempt: a.setup.Attempt,
		Took: p.now - a.startedAt, Report: p.report(m), Text: string(text)})
	return nil
}

// fitsLine reports whether a line to a viewer can hold a description.
func fitsLine(session uint64, text string) bool {
	const maxGrowth = 8 // maximum number of bytes in the line per byte of the description
	if len(text) < wire.MaxMessage/maxGrowth {
		return true
	}
	_, err := (&wire.Line{Msg: wire.LineReady, Sid: session, Text: text}).Append(nil)
	return err == nil
}

// handleRelease handles a refusal or the end of a session.
func (p *Protocol) handleRelease(remote *peer, c *conn, m *wire.Message) {
	delete(remote.moving, m.Session)
	remote.forgetReleases(m.Session)
	cause, _ := m.Cause()
	a := p.attempts[m.Session]
	if a == nil || a.setup.Server != remote.server || !a.playing && a.conn != c {
		return
	}
	if target := c; a.playing {
		if c.writeClosedAt != 0 {
			target = remote.current
		}
		if target != nil {
			p.send(remote, target, &wire.Message{Type: wire.Released, Session: m.Session})
		}
	}
	status := policy.ConnReset
	switch {
	case a.playing && cause == wire.CauseEnded:
		status = policy.OK
	case a.playing && cause == wire.CauseCancelled:
		status = policy.Cancelled
	case a.playing:
	case cause == wire.CauseFull:
		status = policy.Full
	case cause == wire.CauseError:
		status = policy.Errored
	case cause == wire.CauseNotRun:
		status = policy.NotSent
	}
	p.end(a, status, p.report(m))
}

// noteKinds maps the names of notes to their kinds.
var noteKinds = map[string]policy.NoteKind{"quality": policy.NoteShare, "profile": policy.NoteRung,
	"nic": policy.NoteLink, "tor": policy.NoteUplink}

// handleNote passes a note on an established session to the core.
func (p *Protocol) handleNote(remote *peer, m *wire.Message) {
	a := p.attempts[m.Session]
	if a == nil || !a.playing || a.setup.Server != remote.server {
		return
	}
	name, _ := m.Get(wire.ParamNote)
	valueText, _ := m.Get(wire.ParamNoteValue)
	kind, ok := noteKinds[string(name)]
	value, valueOK := wire.ParseNumber(string(valueText))
	if ok && valueOK {
		if kind == policy.NoteShare {
			p.Stats.Shorts++
		}
		p.events = append(p.events, front.Note{Session: m.Session, Attempt: a.setup.Attempt, Kind: kind, Value: value})
	}
}

package viewers

import (
	"errors"
	"fmt"
	"strings"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Input from viewers: every line is validated before any of it is passed on.

// Input is a line that was read, or the error in reading it.
type Input struct {
	Line wire.Line
	Err  error
}

// Received handles lines that were read together at readAt. readErr is the error after which the stream can't be read
// any further, partialBytes the length of the incomplete line that follows them, and inUse whether the core still uses a
// session's id.
func (p *Protocol) Received(now, readAt Time, conn uint64, inputs []Input, readErr error, partialBytes int,
	inUse func(uint64) bool) {
	p.now = now
	c := p.conns[conn]
	if c == nil || c.closed {
		return
	}
	c.lastReceivedAt = now
	if partialBytes == 0 {
		c.partialSince = 0
	} else if c.partialSince == 0 || len(inputs) > 0 {
		c.partialSince = now
	}
	p.setPartialBytes(c, partialBytes)
	cancelled := cancelledRequests(inputs)
	for _, in := range inputs {
		if c.closed {
			return
		}
		if in.Err != nil {
			p.reject(c, in.Line.Sid, in.Err)
			continue
		}
		p.handleLine(c, readAt, in.Line, cancelled, inUse)
	}
	if readErr != nil && !c.closed {
		p.reject(c, 0, readErr)
	}
	p.limitPartialLines()
}

// setPartialBytes records the length of a connection's incomplete line.
func (p *Protocol) setPartialBytes(c *client, length int) {
	p.partialBytes += length - c.partialBytes
	c.partialBytes = length
}

// limitPartialLines closes connections with incomplete lines while those of all connections are too long together.
// It closes them at once, without a reply: a line that is completed while a reply waits to be read would be lost.
func (p *Protocol) limitPartialLines() {
	for p.partialBytes > p.cfg.MaxPartialBytes {
		var victim *client
		for _, c := range p.conns {
			if c.partialBytes > 0 && (victim == nil || p.closesBefore(c, victim)) {
				victim = c
			}
		}
		p.Stats.Partial++
		p.closeConn(victim, nil, CloseLarge)
	}
}

// stalledAfter is how long a client that writes a line slowly may pause before it counts as stalled.
const stalledAfter = 500 * policy.Millisecond

// closesBefore reports whether limitPartialLines closes a connection with an incomplete line before another one: those
// with open requests last, as these would be lost; then by rank, stalled ones first, and the one with the longer line.
func (p *Protocol) closesBefore(c, other *client) bool {
	rank, otherRank := c.rank(0), other.rank(0)
	stalled, otherStalled := p.now-c.lastReceivedAt >= stalledAfter, p.now-other.lastReceivedAt >= stalledAfter
	switch {
	case rank != otherRank:
		return rank > otherRank
	case stalled != otherStalled:
		return stalled
	case c.partialBytes != other.partialBytes:
		return c.partialBytes > other.partialBytes
	}
	return c.id < other.id
}

// cancelledRequests finds the requests that are cancelled in the same batch of lines. Otherwise hundreds of them would
// each be set up at a server and ended again. A session that is handed over plays already, and is ended at its server.
func cancelledRequests(list []Input) map[uint64]bool {
	var requested, cancelled map[uint64]bool
	for _, in := range list {
		switch {
		case in.Err != nil || in.Line.Sid == 0:
		case in.Line.Msg == wire.LineOpen && !handsOver(in.Line):
			if requested == nil {
				requested = map[uint64]bool{}
			}
			requested[in.Line.Sid] = true
		case in.Line.Msg == wire.LineClose && requested[in.Line.Sid]:
			if cancelled == nil {
				cancelled = map[uint64]bool{}
			}
			cancelled[in.Line.Sid] = true
		}
	}
	return cancelled
}

// handsOver reports whether a request hands over a session that plays already.
func handsOver(line wire.Line) bool {
	extras := line.Attrs["extras"]
	return strings.HasPrefix(extras, "at:") || strings.Contains(extras, ";at:")
}

// reject answers invalid input. Without an id the client can't match the answer to a request: the connection is closed.
func (p *Protocol) reject(c *client, sid uint64, err error) {
	c.badLines++
	p.Stats.BadLines++
	p.Stats.LastBad = truncated(err)
	reply := p.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseMalformed,
		Attrs: map[string]string{"error": truncated(err)}})
	if sid == 0 {
		p.closeConn(c, reply, CloseInvalid)
		return
	}
	p.send(c, reply)
}

// truncated returns the first 100 bytes of the error's text.
func truncated(err error) string {
	text := err.Error()
	return text[:min(len(text), 100)]
}

// handleLine handles a line that could be parsed.
func (p *Protocol) handleLine(c *client, readAt Time, line wire.Line, cancelled map[uint64]bool,
	inUse func(uint64) bool) {
	switch line.Msg {
	case wire.LineOpen:
		if cancelled[line.Sid] {
			p.Stats.TakenBack++ // its id is not remembered: floods of them would displace the others
			return
		}
		p.handleOpen(c, readAt, line, inUse)
	case wire.LineClose:
		s := p.sessions[line.Sid]
		_, recently := p.recent[line.Sid]
		// An established session may be ended on any connection; a request may be cancelled only on its own.
		// Otherwise one client could cancel the request of another that still waits for its answer.
		if s == nil && !recently && !cancelled[line.Sid] || s != nil && !s.established && s.conn != c.id {
			p.reject(c, line.Sid, errors.New("no such session"))
			return
		}
		p.handleValidLine(c)
		if s != nil {
			p.forget(line.Sid)
			p.events = append(p.events, front.Leave{Session: line.Sid})
		}
		p.send(c, p.format(&wire.Line{Msg: wire.LineClosed, Sid: line.Sid}))
	case wire.LineProbe:
		p.handleValidLine(c)
		p.send(c, p.format(&wire.Line{Msg: wire.LineProbed, Sid: line.Sid, Code: 1}))
	case wire.LineClosed:
		p.handleValidLine(c)
		p.confirmEnd(c, line.Sid)
	default:
		p.reject(c, line.Sid, fmt.Errorf("no message of viewers: %.16q", line.Msg))
	}
}

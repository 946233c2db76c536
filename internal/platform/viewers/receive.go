package viewers

import (
	"errors"
	"fmt"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// What viewers say: every line is checked before anything of it goes further.

// In is one line that was read, or why it could not be.
type In struct {
	Line wire.Line
	Err  error
}

// Received takes the lines that came together. broken tells why the stream can't be read any further, and partial
// whether a line has begun behind them. busy tells of a session's id whether the core still has a use for it.
func (p *Desk) Received(now, read Time, conn uint64, inputs []In, broken error, partial bool, inUse func(uint64) bool) {
	p.now = now
	c := p.conns[conn]
	if c == nil || c.closed {
		return
	}
	c.lastReceivedAt = now
	if !partial {
		c.partialSince = 0
	} else if c.partialSince == 0 || len(inputs) > 0 {
		c.partialSince = now
	}
	cancelled := cancelledRequests(inputs)
	for _, in := range inputs {
		if c.closed {
			return
		}
		if in.Err != nil {
			p.reject(c, in.Line.Sid, in.Err)
			continue
		}
		p.handleLine(c, read, in.Line, cancelled, inUse)
	}
	if broken != nil && !c.closed {
		p.reject(c, 0, broken)
	}
}

// takenBack finds the requests that were taken back in the same breath. Danger: hundreds of them would each be set up
// at a server and cut again.
func cancelledRequests(list []In) map[uint64]bool {
	var requested, cancelled map[uint64]bool
	for _, in := range list {
		switch {
		case in.Err != nil || in.Line.Sid == 0:
		case in.Line.Msg == wire.LineOpen:
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

// bad answers what can't be used. Without an id nobody could tell which request the answer is to: the connection goes.
func (p *Desk) reject(c *client, sid uint64, err error) {
	p.Stats.BadLines++
	p.Stats.LastBad = truncated(err)
	reply := p.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseMalformed, Attrs: map[string]string{"error": truncated(err)}})
	if sid == 0 {
		p.closeConn(c, reply)
		return
	}
	p.send(c, reply)
}

func truncated(err error) string {
	text := err.Error()
	return text[:min(len(text), 100)]
}

func (p *Desk) handleLine(c *client, read Time, line wire.Line, cancelled map[uint64]bool, inUse func(uint64) bool) {
	switch line.Msg {
	case wire.LineOpen:
		if cancelled[line.Sid] {
			p.Stats.TakenBack++
			p.remember(line.Sid)
			return
		}
		p.handleOpen(c, read, line, inUse)
	case wire.LineClose:
		s := p.sessions[line.Sid]
		_, recently := p.recent[line.Sid]
		// A session that stands is ended on any connection; a request is given up where it came. Danger: somebody else's
		// word would take a request from a viewer that still waits for its answer.
		if s == nil && !recently || s != nil && !s.established && s.conn != c.id {
			p.reject(c, line.Sid, errors.New("no such session"))
			return
		}
		c.sentValidLine = true
		if s != nil {
			p.forget(line.Sid)
			p.events = append(p.events, front.Leave{Session: line.Sid})
		}
		p.send(c, p.format(&wire.Line{Msg: wire.LineClosed, Sid: line.Sid}))
	case wire.LineProbe:
		c.sentValidLine = true
		p.send(c, p.format(&wire.Line{Msg: wire.LineProbed, Sid: line.Sid, Code: 1}))
	case wire.LineClosed:
		c.sentValidLine = true
	default:
		p.reject(c, line.Sid, fmt.Errorf("no message of viewers: %.16q", line.Msg))
	}
}

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
func (d *Desk) Received(now, read Time, conn uint64, list []In, broken error, partial bool, busy func(uint64) bool) {
	d.now = now
	c := d.conns[conn]
	if c == nil || c.closed {
		return
	}
	c.heardAt = now
	if !partial {
		c.partialAt = 0
	} else if c.partialAt == 0 || len(list) > 0 {
		c.partialAt = now
	}
	back := takenBack(list)
	for _, in := range list {
		if c.closed {
			return
		}
		if in.Err != nil {
			d.bad(c, in.Line.Sid, in.Err)
			continue
		}
		d.line(c, read, in.Line, back, busy)
	}
	if broken != nil && !c.closed {
		d.bad(c, 0, broken)
	}
}

// takenBack finds the requests that were taken back in the same breath. Danger: hundreds of them would each be set up
// at a server and cut again.
func takenBack(list []In) map[uint64]bool {
	var asked, back map[uint64]bool
	for _, in := range list {
		switch {
		case in.Err != nil || in.Line.Sid == 0:
		case in.Line.Msg == wire.LineOpen:
			if asked == nil {
				asked = map[uint64]bool{}
			}
			asked[in.Line.Sid] = true
		case in.Line.Msg == wire.LineClose && asked[in.Line.Sid]:
			if back == nil {
				back = map[uint64]bool{}
			}
			back[in.Line.Sid] = true
		}
	}
	return back
}

// bad answers what can't be used. Without an id nobody could tell which request the answer is to: the connection goes.
func (d *Desk) bad(c *client, sid uint64, err error) {
	d.Stats.BadLines++
	d.Stats.LastBad = short(err)
	line := d.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseBadForm, Attrs: map[string]string{"error": short(err)}})
	if sid == 0 {
		d.shut(c, line)
		return
	}
	d.write(c, line)
}

func short(err error) string {
	text := err.Error()
	return text[:min(len(text), 100)]
}

func (d *Desk) line(c *client, read Time, l wire.Line, back map[uint64]bool, busy func(uint64) bool) {
	switch l.Msg {
	case wire.LineOpen:
		if back[l.Sid] {
			d.Stats.TakenBack++
			d.remember(l.Sid)
			return
		}
		d.open(c, read, l, busy)
	case wire.LineClose:
		s := d.sessions[l.Sid]
		_, recently := d.recent[l.Sid]
		// A session that stands is ended on any connection; a request is given up where it came. Danger: somebody else's
		// word would take a request from a viewer that still waits for its answer.
		if s == nil && !recently || s != nil && !s.standing && s.conn != c.id {
			d.bad(c, l.Sid, errors.New("no such session"))
			return
		}
		c.said = true
		if s != nil {
			d.over(l.Sid)
			d.news = append(d.news, front.Leave{Session: l.Sid})
		}
		d.write(c, d.format(&wire.Line{Msg: wire.LineClosed, Sid: l.Sid}))
	case wire.LineProbe:
		c.said = true
		d.write(c, d.format(&wire.Line{Msg: wire.LineProbed, Sid: l.Sid, Code: 1}))
	case wire.LineClosed:
		c.said = true
	default:
		d.bad(c, l.Sid, fmt.Errorf("no message of viewers: %.16q", l.Msg))
	}
}

package viewers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// What viewers are told: answers, and the ends of sessions.

// releaseBy is how long a session that is over waits for a connection on which that can be told.
const releaseBy = 8 * policy.Second

func (d *Desk) format(l *wire.Line) []byte {
	b, err := l.Append(nil)
	if err != nil { // none of the front's own lines has no form, but for a description
		return nil
	}
	return b
}

func (d *Desk) write(c *client, b []byte) {
	if len(b) > 0 && !c.closed {
		d.acts = append(d.acts, Act{Conn: c.id, Bytes: b})
	}
}

// Do carries out an effect of the core. Others than those about viewers are ignored. It gives false if the answer
// could not be passed on, for a description that no line can carry: the session is to be ended.
func (d *Desk) Do(now Time, effect front.Effect) bool {
	d.now = now
	switch e := effect.(type) {
	case front.Plays:
		s := d.sessions[e.Session]
		if s == nil {
			return false
		}
		c := d.conns[s.conn]
		b := d.format(&wire.Line{Msg: wire.LineReady, Sid: e.Session, Text: e.Text})
		if c == nil || b == nil {
			if c != nil {
				d.write(c, d.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
			}
			d.over(e.Session)
			return false
		}
		delete(c.open, e.Session)
		s.standing = true
		c.standing++
		d.write(c, b)
	case front.Refused:
		if c := d.closing(e.Session); c != nil {
			d.refuse(c, e.Session, e.After)
		}
	case front.Failed:
		if c := d.closing(e.Session); c != nil {
			d.write(c, d.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
		}
	case front.Moved:
		d.tell(e.Session, wire.Line{Msg: wire.LineRelocate, Sid: e.Session})
	case front.Over:
		switch e.Why {
		case front.WhyLeft: // at its server, by its viewer, who is owed no word
			d.over(e.Session)
		case front.WhyEnd:
			d.tell(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseGivenUp})
		default:
			d.tell(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseReset})
		}
	}
	return true
}

// closing forgets a request that is answered with no, and gives its connection.
func (d *Desk) closing(sid uint64) *client {
	s := d.sessions[sid]
	if s == nil {
		return nil
	}
	d.over(sid)
	return d.conns[s.conn]
}

func (d *Desk) refuse(c *client, sid uint64, after Time) {
	l := wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseRefused}
	if after > 0 && d.cfg.Settings.RetryAfter {
		l.Attrs = map[string]string{"wait": strconv.FormatInt((after+policy.Millisecond-1)/policy.Millisecond, 10)}
	}
	d.write(c, d.format(&l))
}

// tell ends a session that stood towards its viewer: on the connection of its set-up, or else on another on which
// sessions stand, or else on the next that shows itself a viewer's.
func (d *Desk) tell(sid uint64, l wire.Line) {
	s := d.sessions[sid]
	if s == nil {
		return
	}
	d.over(sid)
	b := d.format(&l)
	c := d.conns[s.conn]
	if c == nil || c.closed {
		c = nil
		for _, o := range d.conns {
			if !o.closed && o.standing > 0 && (c == nil || o.heardAt > c.heardAt || o.heardAt == c.heardAt && o.id < c.id) {
				c = o
			}
		}
	}
	if c == nil {
		if len(d.owed) < recentMost {
			d.owed[sid] = owed{b, d.now + releaseBy}
		}
		return
	}
	d.write(c, b)
}

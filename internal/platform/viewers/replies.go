package viewers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// What viewers are told: answers, and the ends of sessions.

// releaseBy is how long a session that is over waits for a connection on which that can be told.
const releaseTimeout = 8 * policy.Second

func (p *Desk) format(line *wire.Line) []byte {
	b, err := line.Append(nil)
	if err != nil { // none of the front's own lines has no form, but for a description
		return nil
	}
	return b
}

func (p *Desk) send(c *client, b []byte) {
	if len(b) > 0 && !c.closed {
		p.effects = append(p.effects, Effect{Conn: c.id, Bytes: b})
	}
}

// Do carries out an effect of the core. Others than those about viewers are ignored. It gives false if the answer
// could not be passed on, for a description that no line can carry: the session is to be ended.
func (p *Desk) Do(now Time, effect front.Effect) bool {
	p.now = now
	switch e := effect.(type) {
	case front.Plays:
		s := p.sessions[e.Session]
		if s == nil {
			return false
		}
		c := p.conns[s.conn]
		b := p.format(&wire.Line{Msg: wire.LineReady, Sid: e.Session, Text: e.Text})
		if c == nil || b == nil {
			if c != nil {
				p.send(c, p.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
			}
			p.forget(e.Session)
			return false
		}
		delete(c.openRequests, e.Session)
		s.established = true
		c.sessionCount++
		p.send(c, b)
	case front.Refused:
		if c := p.closeRequest(e.Session); c != nil {
			p.refuse(c, e.Session, e.After)
		}
	case front.Failed:
		if c := p.closeRequest(e.Session); c != nil {
			p.send(c, p.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
		}
	case front.Moved:
		p.sendEnd(e.Session, wire.Line{Msg: wire.LineRelocate, Sid: e.Session})
	case front.Over:
		switch e.Why {
		case front.WhyLeft: // at its server, by its viewer, who is owed no word
			p.forget(e.Session)
		case front.WhyEnd:
			p.sendEnd(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseGivenUp})
		default:
			p.sendEnd(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseReset})
		}
	}
	return true
}

// closing forgets a request that is answered with no, and gives its connection.
func (p *Desk) closeRequest(sid uint64) *client {
	s := p.sessions[sid]
	if s == nil {
		return nil
	}
	p.forget(sid)
	return p.conns[s.conn]
}

func (p *Desk) refuse(c *client, sid uint64, after Time) {
	line := wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseRefused}
	if after > 0 && p.cfg.Settings.RetryAfter {
		line.Attrs = map[string]string{"wait": strconv.FormatInt((after+policy.Millisecond-1)/policy.Millisecond, 10)}
	}
	p.send(c, p.format(&line))
}

// tell ends a session that stood towards its viewer: on the connection of its set-up, or else on another on which
// sessions stand, or else on the next that shows itself a viewer's.
func (p *Desk) sendEnd(sid uint64, line wire.Line) {
	s := p.sessions[sid]
	if s == nil {
		return
	}
	p.forget(sid)
	b := p.format(&line)
	c := p.conns[s.conn]
	if c == nil || c.closed {
		c = nil
		for _, other := range p.conns {
			if !other.closed && other.sessionCount > 0 && (c == nil || other.lastReceivedAt > c.lastReceivedAt || other.lastReceivedAt == c.lastReceivedAt && other.id < c.id) {
				c = other
			}
		}
	}
	if c == nil {
		if len(p.pendingReleases) < maxRecent {
			p.pendingReleases[sid] = pendingRelease{b, p.now + releaseTimeout}
		}
		return
	}
	p.send(c, b)
}

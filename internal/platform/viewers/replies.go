package viewers

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Messages to viewers: answers to requests, and the ends of sessions.

// format encodes a line; it returns nil for one that can't be encoded.
func (p *Protocol) format(line *wire.Line) []byte {
	b, err := line.Append(nil)
	if err != nil { // only a line with an invalid description can't be encoded
		return nil
	}
	return b
}

// send writes bytes to a connection, unless it is closed.
func (p *Protocol) send(c *client, b []byte) {
	if len(b) > 0 && !c.closed {
		p.effects = append(p.effects, Effect{Conn: c.id, Bytes: b})
	}
}

// Apply carries out an effect of the core. Effects that do not concern viewers are ignored. It returns false if an
// answer could not be sent, as for a description that does not fit a line: the session must be ended.
func (p *Protocol) Apply(now Time, effect front.Effect) bool {
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
		p.countLate(s)
		p.releaseText(s)
		p.establish(s, c)
		c.hadSession = true
		p.send(c, b)
	case front.Refused:
		if c := p.closeRequest(e.Session); c != nil {
			p.refuse(c, e.Session, e.RetryAfter)
		}
	case front.Failed:
		if c := p.closeRequest(e.Session); c != nil {
			p.send(c, p.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
		}
	case front.Moved:
		p.sendEnd(e.Session, wire.Line{Msg: wire.LineRelocate, Sid: e.Session})
	case front.SessionEnded:
		switch e.Reason {
		case front.EndReasonPlayerLeft: // its viewer ended it at the server and needs no message
			p.forget(e.Session)
		case front.EndReasonFinished:
			p.sendEnd(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseEnded})
		default:
			p.sendEnd(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseReset})
		}
	}
	return true
}

// closeRequest forgets a request that is refused or has failed, and returns its connection.
func (p *Protocol) closeRequest(sid uint64) *client {
	s := p.sessions[sid]
	if s == nil {
		return nil
	}
	p.forget(sid)
	p.countLate(s)
	return p.conns[s.conn]
}

// countLate counts an answer that comes after its client's time.
func (p *Protocol) countLate(s *session) {
	if s.answerBy != 0 && p.now > s.answerBy {
		p.Stats.Late++
	}
}

// refuse sends a refusal, with the time after which the client may retry if that is configured.
func (p *Protocol) refuse(c *client, sid uint64, after Time) {
	line := wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseRefused}
	if after > 0 && p.cfg.Settings.RetryAfter {
		line.Attrs = map[string]string{"wait": strconv.FormatInt((after+policy.Millisecond-1)/policy.Millisecond, 10)}
	}
	p.send(c, p.format(&line))
}

package viewers

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Requests: parsed completely, or answered with an error.

// handleOpen handles a request for a session.
func (p *Protocol) handleOpen(c *client, readAt Time, line wire.Line, inUse func(uint64) bool) {
	request, server, err := p.parseRequest(line)
	s := p.sessions[line.Sid]
	_, used := p.recent[line.Sid]
	if err == nil && server != "" && (s != nil && s.established || used) {
		p.restoreAgain(c, line.Sid, s)
		return
	}
	if s != nil || used || inUse(line.Sid) || server == "" && p.wasSent(line.Sid) {
		// Two requests with the same id can't be distinguished on this connection, so both end. A request on another
		// connection continues. An id that was in use may still be in use at a server, or would run there twice.
		p.Stats.BadAsks++
		if s != nil && s.conn == c.id && c.openRequests[line.Sid] {
			p.forget(line.Sid)
			p.events = append(p.events, front.Leave{Session: line.Sid})
		}
		p.reject(c, line.Sid, errors.New("this id is in use"))
		return
	}
	if err != nil {
		p.Stats.BadAsks++
		p.reject(c, line.Sid, err)
		return
	}
	p.handleValidLine(c)
	if server != "" {
		s = &session{conn: c.id}
		p.sessions[line.Sid] = s
		p.establish(s, c)
		p.restored.add(c.id, line.Sid)
		if !p.makeRoomForSession(c.id) {
			p.Stats.Unrestored++
			p.sendEnd(line.Sid, wire.Line{Msg: wire.LineClose, Sid: line.Sid, Code: wire.CauseReset})
			return
		}
		c.hadSession = true
		p.pendingRestores[line.Sid] = pendingRestore{request, server, p.now + restoreTimeout}
		p.tryRestore(line.Sid)
		return
	}
	if len(c.openRequests) >= p.cfg.MaxOpenRequests || p.textsExceedLimit(len(request.Text)) || p.backlogged(c) {
		// Otherwise one connection could use up the whole capacity of the front, or a few its memory, or a client that has
		// left long ago would have set-ups sent. The request was never started: a retry is harmless.
		p.Stats.Crowded++
		p.refuse(c, line.Sid, p.cfg.Settings.MaxRetryAfter)
		p.remember(line.Sid)
		return
	}
	p.sessions[line.Sid] = &session{conn: c.id, openBytes: len(request.Text), answerBy: readAt + request.Timeout}
	p.openBytes += len(request.Text)
	c.openRequests[line.Sid] = true
	request.Player, request.ReadAt, request.ID = c.id, readAt, line.Sid
	p.events = append(p.events, request)
}

// wasSent reports whether a request of this id was sent to a server before.
func (p *Protocol) wasSent(sid uint64) bool { return p.cfg.WasSent != nil && p.cfg.WasSent(sid) }

// backlogged reports whether the end of a connection may be behind much unread input.
func (p *Protocol) backlogged(c *client) bool {
	return p.cfg.Backlogged != nil && p.cfg.Backlogged(c.id)
}

// smallText is the length up to which a description may exceed MaxOpenBytes, up to twice that limit: large ones must not
// displace all others.
const smallText = 1 << 10

// textsExceedLimit reports whether there is no memory for a description of a length.
func (p *Protocol) textsExceedLimit(length int) bool {
	used := p.openBytes + length
	if length <= smallText {
		used /= 2
	}
	return used > p.cfg.MaxOpenBytes
}

// restoreTimeout is how long a session to restore waits for its server to be listed: the list that a front gets at
// its start may be older than the session.
const restoreTimeout = 1500 * policy.Millisecond

// pendingRestore is a session to restore whose server is not listed yet.
type pendingRestore struct {
	request  front.Request
	server   string
	deadline Time
}

// tryRestore restores a session once its server is listed. If it were not kept until then, its client would be notified
// that the session has ended while it still plays, or would never be notified of its end.
func (p *Protocol) tryRestore(sid uint64) {
	e := p.pendingRestores[sid]
	server, ok := p.cfg.ServerID(e.server)
	switch {
	case ok:
		delete(p.pendingRestores, sid)
		p.events = append(p.events, front.Restore{Request: e.request, ID: sid, Server: server, HeldByPlayer: true})
	case p.now >= e.deadline || len(p.pendingRestores) > maxRecent:
		p.sendEnd(sid, wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
	}
}

// restoreAgain handles a request to restore a session that is already held. Its end is sent on the connection of the
// request too if the session's own is lost, but the session is not moved there: the request may be another client's. If
// the session has ended, the reply says so. Treated as a second request with the same id, an established session would be
// reported as ended.
func (p *Protocol) restoreAgain(c *client, sid uint64, s *session) {
	p.handleValidLine(c)
	if s != nil {
		p.addClaim(s, c)
		return
	}
	reply := p.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
	if end := p.pendingEnds[sid]; end != nil && !slices.Contains(end.sentOn, c.id) {
		reply = end.bytes
		end.sentOn = append(end.sentOn, c.id)
	}
	p.send(c, reply)
}

// maxClaims bounds the connections on which a session was handed over again.
const maxClaims = 4

// addClaim records that a session was handed over again on a connection. Of many, the oldest open ones count.
func (p *Protocol) addClaim(s *session, c *client) {
	if c.id == s.conn || slices.Contains(s.claims, c.id) {
		return
	}
	s.claims = slices.DeleteFunc(s.claims, func(conn uint64) bool { return !p.isOpen(conn) })
	if len(s.claims) < maxClaims {
		s.claims = append(s.claims, c.id)
	}
}

// isOpen reports whether a connection is open.
func (p *Protocol) isOpen(conn uint64) bool {
	c := p.conns[conn]
	return c != nil && !c.closed
}

// Limits on the numbers in a request; larger ones are invalid on this platform.
const (
	maxWaitMs = 3_600_000 // ms
	maxHintMs = 1e10      // ms
	maxNumber = 10_000
	maxExtras = 64 // items in the field "extras", known or not
)

// parseRequest parses and validates a request. server is the name of the server of a session to restore, or empty.
func (p *Protocol) parseRequest(line wire.Line) (request front.Request, server string, err error) {
	class, ok := p.classes[line.Attrs["class"]]
	if !ok {
		return request, "", fmt.Errorf("no class %.32q", line.Attrs["class"])
	}
	request.Class = class
	title, err := strconv.ParseUint(line.Attrs["key"], 16, 64)
	if err != nil || len(line.Attrs["key"]) != 16 {
		return request, "", fmt.Errorf("no title %.32q", line.Attrs["key"])
	}
	request.Title, request.Name = title, line.Attrs["key"]
	waitMs, waitOK := wire.ParseNumber(line.Attrs["left"])
	if hint, given := line.Attrs["hint"]; given {
		number, ok := wire.ParseNumber(hint)
		if !ok || number < 0 || number > maxHintMs {
			return request, "", fmt.Errorf("hint %.32q", hint)
		}
		request.Length, request.Hinted = Time(number*float64(policy.Millisecond)), true
	}
	if retry, given := line.Attrs["retry"]; given {
		number, ok := wire.ParseNumber(retry)
		if !ok || number < 0 || number > maxNumber {
			return request, "", fmt.Errorf("retry %.32q", retry)
		}
		request.Again = number > 0
	}
	request.Home, request.Top = -1, -1
	extras := strings.SplitN(line.Attrs["extras"], ";", maxExtras+1)
	if len(extras) > maxExtras {
		return request, "", fmt.Errorf("more than %d extras", maxExtras)
	}
	for _, item := range extras {
		key, value, _ := strings.Cut(item, ":")
		n, parseErr := strconv.ParseUint(value, 10, 64)
		count := int(min(n, maxNumber))
		var wrong bool
		switch key {
		case "home":
			request.Home, wrong = count, parseErr != nil || count >= max(p.cfg.Settings.Cells, 1)
		case "copies":
			request.Copies, wrong = count, parseErr != nil || count < 1 || count >= maxNumber
		case "top":
			request.Top, wrong = count, parseErr != nil || count >= maxNumber
		case "again":
			request.Again, wrong = request.Again || n > 0, parseErr != nil
		case "viewer":
			request.Viewer, parseErr = strconv.ParseUint(value, 16, 64)
			wrong = parseErr != nil || len(value) != 16
		case "at":
			server, wrong = value, value == "" || len(value) > 256
		}
		if wrong {
			return request, "", fmt.Errorf("extras %.32q", item)
		}
	}
	if server == "" && (!waitOK || waitMs <= 0 || waitMs > maxWaitMs) { // a playing session has no waiting time
		return request, "", fmt.Errorf("left %.32q", line.Attrs["left"])
	}
	request.Timeout = Time(max(waitMs, 0) * float64(policy.Millisecond))
	if request.Home < 0 || request.Copies < 1 || request.Top < 0 || line.Text == "" {
		return request, "", errors.New("a set-up without all of its figures, or without a description")
	}
	if server == "" { // a playing session needs it no more
		request.Text = line.Text
	}
	return request, server, nil
}

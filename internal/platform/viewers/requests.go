package viewers

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Set-ups: read whole, or answered with why not.

// open takes a set-up.
func (p *Desk) handleOpen(c *client, read Time, line wire.Line, inUse func(uint64) bool) {
	ask, server, err := p.parseRequest(line)
	s := p.sessions[line.Sid]
	_, used := p.recent[line.Sid]
	if err == nil && server != "" && (s != nil && s.established || used) {
		p.restoreAgain(c, line.Sid, s)
		return
	}
	if s != nil || used || inUse(line.Sid) {
		// Two requests under one id: neither can be told from the other on this connection. Elsewhere the first stays.
		// An id that was in use a moment ago may still be at a server.
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
	c.sentValidLine = true
	if server != "" {
		p.sessions[line.Sid] = &session{conn: c.id, established: true}
		c.sessionCount++
		p.pendingRestores[line.Sid] = pendingRestore{ask, server, p.now + restoreTimeout}
		p.tryRestore(line.Sid)
		return
	}
	if len(c.openRequests) >= p.cfg.OpenMost {
		// Danger: one connection takes all that the front can hold. It was never begun: trying again is harmless.
		p.Stats.Crowded++
		p.refuse(c, line.Sid, p.cfg.Settings.MaxRetry)
		p.remember(line.Sid)
		return
	}
	p.sessions[line.Sid] = &session{conn: c.id}
	c.openRequests[line.Sid] = true
	ask.Player, ask.Read, ask.ID = c.id, read, line.Sid
	p.events = append(p.events, ask)
}

// listedBy is how long a session that is handed over waits for its server to be on the list: at a start the list that a front was
// given may be older than the session.
const restoreTimeout = 1500 * policy.Millisecond

// early is a session handed over at a server that is not listed yet.
type pendingRestore struct {
	ask      front.Ask
	server   string
	deadline Time
}

// adopt takes a session over once its server is listed. Danger: one whose server is not listed yet would be told over, or nobody
// would ever hear of its end.
func (p *Desk) tryRestore(sid uint64) {
	e := p.pendingRestores[sid]
	server, ok := p.cfg.Host(e.server)
	switch {
	case ok:
		delete(p.pendingRestores, sid)
		p.events = append(p.events, front.Adopt{Ask: e.ask, ID: sid, Server: server, Held: true})
	case p.now >= e.deadline || len(p.pendingRestores) > maxRecent:
		p.sendEnd(sid, wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
	}
}

// handedAgain takes a session that is held here already, which moves to the connection that it was named on; of one that is over
// its client hears just that. Danger: taken for a second request under one id, a session that stands would be told over.
func (p *Desk) restoreAgain(c *client, sid uint64, s *session) {
	c.sentValidLine = true
	if s == nil {
		reply := p.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
		if pending, found := p.pendingReleases[sid]; found { // this is the connection that its end waited for
			reply = pending.bytes
			delete(p.pendingReleases, sid)
		}
		p.send(c, reply)
		return
	}
	if old := p.conns[s.conn]; old != nil {
		old.sessionCount--
	}
	s.conn = c.id
	c.sessionCount++
}

// limits on the figures of a set-up; past them they are no figures of this platform.
const (
	maxWaitMs = 3_600_000 // ms
	maxHintMs = 1e10      // ms
	maxNumber = 10_000
)

// read checks a set-up whole.
func (p *Desk) parseRequest(line wire.Line) (ask front.Ask, server string, err error) {
	class, ok := p.classes[line.Attrs["class"]]
	if !ok {
		return ask, "", fmt.Errorf("no class %.32q", line.Attrs["class"])
	}
	ask.Class = class
	title, err := strconv.ParseUint(line.Attrs["key"], 16, 64)
	if err != nil || len(line.Attrs["key"]) != 16 {
		return ask, "", fmt.Errorf("no title %.32q", line.Attrs["key"])
	}
	ask.Title, ask.Name = title, line.Attrs["key"]
	waitMs, waitOK := wire.ParseNumber(line.Attrs["left"])
	if hint, given := line.Attrs["hint"]; given {
		number, ok := wire.ParseNumber(hint)
		if !ok || number < 0 || number > maxHintMs {
			return ask, "", fmt.Errorf("hint %.32q", hint)
		}
		ask.Length, ask.Hinted = Time(number*float64(policy.Millisecond)), true
	}
	if retry, given := line.Attrs["retry"]; given {
		number, ok := wire.ParseNumber(retry)
		if !ok || number < 0 || number > maxNumber {
			return ask, "", fmt.Errorf("retry %.32q", retry)
		}
		ask.Again = number > 0
	}
	ask.Home, ask.Top = -1, -1
	for _, item := range strings.Split(line.Attrs["extras"], ";") {
		key, value, _ := strings.Cut(item, ":")
		n, parseErr := strconv.ParseUint(value, 10, 64)
		count := int(min(n, maxNumber))
		var wrong bool
		switch key {
		case "home":
			ask.Home, wrong = count, parseErr != nil || count >= max(p.cfg.Settings.Cells, 1)
		case "copies":
			ask.Copies, wrong = count, parseErr != nil || count < 1 || count >= maxNumber
		case "top":
			ask.Top, wrong = count, parseErr != nil || count >= maxNumber
		case "again":
			ask.Again, wrong = ask.Again || n > 0, parseErr != nil
		case "viewer":
			ask.Viewer, parseErr = strconv.ParseUint(value, 16, 64)
			wrong = parseErr != nil || len(value) != 16
		case "at":
			server, wrong = value, value == "" || len(value) > 256
		}
		if wrong {
			return ask, "", fmt.Errorf("extras %.32q", item)
		}
	}
	if server == "" && (!waitOK || waitMs <= 0 || waitMs > maxWaitMs) { // what plays already waits for nothing
		return ask, "", fmt.Errorf("left %.32q", line.Attrs["left"])
	}
	ask.Wait = Time(max(waitMs, 0) * float64(policy.Millisecond))
	if ask.Home < 0 || ask.Copies < 1 || ask.Top < 0 || line.Text == "" {
		return ask, "", errors.New("a set-up without all of its figures, or without a description")
	}
	ask.Text = line.Text
	return ask, server, nil
}

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
func (d *Desk) open(c *client, read Time, l wire.Line, busy func(uint64) bool) {
	ask, at, err := d.read(l)
	s := d.sessions[l.Sid]
	_, used := d.recent[l.Sid]
	if err == nil && at != "" && (s != nil && s.standing || used) {
		d.handedAgain(c, l.Sid, s)
		return
	}
	if s != nil || used || busy(l.Sid) {
		// Two requests under one id: neither can be told from the other on this connection. Elsewhere the first stays.
		// An id that was in use a moment ago may still be at a server.
		d.Stats.BadAsks++
		if s != nil && s.conn == c.id && c.open[l.Sid] {
			d.over(l.Sid)
			d.news = append(d.news, front.Leave{Session: l.Sid})
		}
		d.bad(c, l.Sid, errors.New("this id is in use"))
		return
	}
	if err != nil {
		d.Stats.BadAsks++
		d.bad(c, l.Sid, err)
		return
	}
	c.said = true
	if at != "" {
		d.sessions[l.Sid] = &session{conn: c.id, standing: true}
		c.standing++
		d.early[l.Sid] = early{ask, at, d.now + listedBy}
		d.adopt(l.Sid)
		return
	}
	if len(c.open) >= d.cfg.OpenMost {
		// Danger: one connection takes all that the front can hold. It was never begun: trying again is harmless.
		d.Stats.Crowded++
		d.refuse(c, l.Sid, d.cfg.Settings.MaxRetry)
		d.remember(l.Sid)
		return
	}
	d.sessions[l.Sid] = &session{conn: c.id}
	c.open[l.Sid] = true
	ask.Player, ask.Read, ask.ID = c.id, read, l.Sid
	d.news = append(d.news, ask)
}

// listedBy is how long a session that is handed over waits for its server to be on the list: at a start the list that a front was
// given may be older than the session.
const listedBy = 1500 * policy.Millisecond

// early is a session handed over at a server that is not listed yet.
type early struct {
	ask   front.Ask
	at    string
	until Time
}

// adopt takes a session over once its server is listed. Danger: one whose server is not listed yet would be told over, or nobody
// would ever hear of its end.
func (d *Desk) adopt(sid uint64) {
	e := d.early[sid]
	server, ok := d.cfg.Host(e.at)
	switch {
	case ok:
		delete(d.early, sid)
		d.news = append(d.news, front.Adopt{Ask: e.ask, ID: sid, Server: server, Held: true})
	case d.now >= e.until || len(d.early) > recentMost:
		d.tell(sid, wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
	}
}

// handedAgain takes a session that is held here already, which moves to the connection that it was named on; of one that is over
// its client hears just that. Danger: taken for a second request under one id, a session that stands would be told over.
func (d *Desk) handedAgain(c *client, sid uint64, s *session) {
	c.said = true
	if s == nil {
		word := d.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
		if o, due := d.owed[sid]; due { // this is the connection that its end waited for
			word = o.bytes
			delete(d.owed, sid)
		}
		d.write(c, word)
		return
	}
	if old := d.conns[s.conn]; old != nil {
		old.standing--
	}
	s.conn = c.id
	c.standing++
}

// limits on the figures of a set-up; past them they are no figures of this platform.
const (
	mostLeft   = 3_600_000 // ms
	mostHint   = 1e10      // ms
	mostFigure = 10_000
)

// read checks a set-up whole.
func (d *Desk) read(l wire.Line) (a front.Ask, at string, err error) {
	class, ok := d.classes[l.Attrs["class"]]
	if !ok {
		return a, "", fmt.Errorf("no class %.32q", l.Attrs["class"])
	}
	a.Class = class
	title, err := strconv.ParseUint(l.Attrs["key"], 16, 64)
	if err != nil || len(l.Attrs["key"]) != 16 {
		return a, "", fmt.Errorf("no title %.32q", l.Attrs["key"])
	}
	a.Title, a.Name = title, l.Attrs["key"]
	waits, waitOK := wire.Figure(l.Attrs["left"])
	if hint, given := l.Attrs["hint"]; given {
		f, ok := wire.Figure(hint)
		if !ok || f < 0 || f > mostHint {
			return a, "", fmt.Errorf("hint %.32q", hint)
		}
		a.Length, a.Hinted = Time(f*float64(policy.Millisecond)), true
	}
	if retry, given := l.Attrs["retry"]; given {
		f, ok := wire.Figure(retry)
		if !ok || f < 0 || f > mostFigure {
			return a, "", fmt.Errorf("retry %.32q", retry)
		}
		a.Again = f > 0
	}
	a.Home, a.Top = -1, -1
	for _, item := range strings.Split(l.Attrs["extras"], ";") {
		k, v, _ := strings.Cut(item, ":")
		n, bad := strconv.ParseUint(v, 10, 64)
		count := int(min(n, mostFigure))
		var wrong bool
		switch k {
		case "home":
			a.Home, wrong = count, bad != nil || count >= max(d.cfg.Settings.Cells, 1)
		case "copies":
			a.Copies, wrong = count, bad != nil || count < 1 || count >= mostFigure
		case "top":
			a.Top, wrong = count, bad != nil || count >= mostFigure
		case "again":
			a.Again, wrong = a.Again || n > 0, bad != nil
		case "viewer":
			a.Viewer, bad = strconv.ParseUint(v, 16, 64)
			wrong = bad != nil || len(v) != 16
		case "at":
			at, wrong = v, v == "" || len(v) > 256
		}
		if wrong {
			return a, "", fmt.Errorf("extras %.32q", item)
		}
	}
	if at == "" && (!waitOK || waits <= 0 || waits > mostLeft) { // what plays already waits for nothing
		return a, "", fmt.Errorf("left %.32q", l.Attrs["left"])
	}
	a.Wait = Time(max(waits, 0) * float64(policy.Millisecond))
	if a.Home < 0 || a.Copies < 1 || a.Top < 0 || l.Text == "" {
		return a, "", errors.New("a set-up without all of its figures, or without a description")
	}
	a.Text = l.Text
	return a, at, nil
}

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
	s := d.sessions[l.Sid]
	if _, used := d.recent[l.Sid]; s != nil || used || busy(l.Sid) {
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
	ask, at, err := d.read(l)
	if err != nil {
		d.Stats.BadAsks++
		d.bad(c, l.Sid, err)
		return
	}
	c.said = true
	if at != "" {
		server, ok := d.cfg.Host(at)
		if !ok {
			d.bad(c, l.Sid, fmt.Errorf("no server %.32q", at))
			return
		}
		d.sessions[l.Sid] = &session{conn: c.id, standing: true}
		c.standing++
		d.news = append(d.news, front.Adopt{Ask: ask, ID: l.Sid, Server: server, Held: true})
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

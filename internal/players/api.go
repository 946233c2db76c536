package players

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gobwas/ws"

	"tealledge/decide/overload"
	"tealledge/internal/front"
	"tealledge/internal/jsonrpc"
	"tealledge/internal/wsock"
	"tealledge/policy"
)

// OpenParams are the parameters of session.open.
type OpenParams struct {
	Title      string  `json:"title"`
	Class      string  `json:"class"`
	Tenant     string  `json:"tenant"`
	Viewer     string  `json:"viewer"`
	Top        *int    `json:"top"`
	Length     float64 `json:"length"` // seconds
	DeadlineMs int64   `json:"deadlineMs"`
	Again      bool    `json:"again"`
	Token      string  `json:"token"`
}

// PlaysResult is the result of a session.open that plays.
type PlaysResult struct {
	Status  string  `json:"status"` // "plays"
	Session string  `json:"session"`
	Server  string  `json:"server"` // HOST:PORT of the media server
	URI     string  `json:"uri"`
	Rung    int     `json:"rung"`
	Rate    float64 `json:"rate"`            // kB a second
	Token   string  `json:"token,omitempty"` // for session.resume
	HTTP    string  `json:"-"`               // HOST:PORT at which the server delivers segments
}

// NoData comes with the errors refused and failed.
type NoData struct {
	Session      string `json:"session,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// maxName bounds names that players send.
const maxName = 200

// message takes one text message of a player.
func (c *Conn) message(now front.Time, text []byte) {
	if c.hub.owner.Limited() && c.turnedAway(text) {
		return
	}
	list, isBatch, bad := jsonrpc.Parse(text)
	if bad != nil {
		c.send(jsonrpc.Failure(nil, bad))
		return
	}
	var b *batch
	if isBatch {
		b = &batch{}
		for _, r := range list {
			if r.ID != nil {
				b.left++
			}
		}
		b.list = make([][]byte, b.left)
	}
	slot := 0
	for _, r := range list {
		if r.ID == nil { // a notification: nobody could be told what came of it, so nothing is begun
			continue
		}
		call := &Call{Conn: c, id: bytes.Clone(r.ID), batch: b, slot: slot}
		slot++
		if r.Bad != nil {
			call.Fail(r.Bad.Code, r.Bad.Message, nil)
			continue
		}
		switch r.Method {
		case "session.open":
			c.openSession(now, call, r.Params)
		case "session.close":
			c.closeSession(call, r.Params)
		case "session.resume":
			c.resumeSession(call, r.Params)
		default:
			call.Fail(jsonrpc.MethodNotFound, fmt.Sprintf("no method %.40q", r.Method), nil)
		}
	}
}

func decode(params json.RawMessage, into any) error {
	if len(params) == 0 || params[0] != '{' {
		return fmt.Errorf("params must be an object")
	}
	d := json.NewDecoder(bytes.NewReader(params))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("params: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}

func (c *Conn) openSession(now front.Time, call *Call, params json.RawMessage) {
	var p OpenParams
	if err := decode(params, &p); err != nil {
		call.Fail(jsonrpc.InvalidParams, err.Error(), nil)
		return
	}
	ask, err := c.hub.ask(now, &p)
	if err != nil {
		call.Fail(jsonrpc.InvalidParams, err.Error(), nil)
		return
	}
	at, ok := c.hub.cfg.Place(p.Title, ask.Class)
	if !ok {
		call.Fail(CodeUnknownTitle, fmt.Sprintf("no title %.60q", p.Title), nil)
		return
	}
	ask.Title, ask.Home, ask.Copies, ask.Holders, ask.Name = at.Number, at.Home, at.Copies, at.Holders, at.Name
	if !c.hub.owner.Limited() { // else the gate was asked before
		if after, ok := c.hub.owner.Admit(ask.Class, ask.Tenant); !ok {
			c.hub.Stats.Busy.Add(1)
			call.Fail(CodeRefused, "refused: busy", NoData{RetryAfterMs: after / policy.Millisecond})
			return
		}
	}
	switch full := call.takeRoom(ask.Tenant); full {
	case overload.NotFull:
		c.hub.owner.Open(call, ask)
	case overload.ConnectionFull:
		call.Fail(CodeTooManyOpen, fmt.Sprintf("%d requests at most may be open on a connection", c.hub.cfg.Front.OpenPerConnection), nil)
	default:
		c.hub.Stats.Busy.Add(1)
		call.Fail(CodeRefused, "refused: busy ("+string(full)+")", NoData{RetryAfterMs: c.hub.cfg.Service.MaxRetryAfter / policy.Millisecond})
	}
}

// turnedAway asks the gate about a request while requests are being turned away, before it is decoded. It gives
// true if the request was answered so.
func (c *Conn) turnedAway(text []byte) bool {
	method, id, class, tenant, ok := jsonrpc.Peek(text, "class", "tenant")
	if !ok || string(method) != "session.open" {
		return false
	}
	k, t := index(c.hub.cfg.Classes, string(class)), max(index(c.hub.cfg.Tenants, string(tenant)), 0)
	if k < 0 {
		return false // its parameters are refused
	}
	after, ok := c.hub.owner.Admit(k, t)
	if ok {
		return false
	}
	c.hub.Stats.Busy.Add(1)
	b := fmt.Appendf(make([]byte, 0, 160), `{"jsonrpc":"2.0","error":{"code":%d,"message":"refused: busy","data":{"retryAfterMs":%d}},"id":%s}`,
		CodeRefused, after/policy.Millisecond, id)
	c.sock.Out = wsock.Frame(c.sock.Out, ws.OpText, b)
	return true
}

func (c *Conn) resumeSession(call *Call, params json.RawMessage) {
	var p struct {
		Session string `json:"session"`
		Token   string `json:"token"`
	}
	if err := decode(params, &p); err != nil {
		call.Fail(jsonrpc.InvalidParams, err.Error(), nil)
		return
	}
	id, ok := c.hub.sessionID(p.Session)
	token, err := strconv.ParseUint(p.Token, 16, 64)
	if !ok || err != nil {
		call.Fail(CodeUnknownSession, "no such session here: open it anew", nil)
		return
	}
	c.hub.owner.Resume(call, id, token)
}

// sessionID gives the number of a session of this front.
func (h *Hub) sessionID(text string) (uint64, bool) {
	name, id, ok := cutLast(text, "-")
	n, err := strconv.ParseUint(id, 10, 64)
	return n, ok && err == nil && name == h.cfg.Front.Name
}

// ask checks parameters and turns names into numbers.
func (h *Hub) ask(now front.Time, p *OpenParams) (a front.Request, err error) {
	for _, s := range []string{p.Title, p.Class, p.Tenant, p.Viewer, p.Token} {
		if len(s) > maxName {
			return a, fmt.Errorf("names hold %d bytes at most", maxName)
		}
	}
	if p.Title == "" || p.Viewer == "" {
		return a, fmt.Errorf("title and viewer are needed")
	}
	a.Class = index(h.cfg.Classes, p.Class)
	if a.Class < 0 {
		return a, fmt.Errorf("no class %.60q", p.Class)
	}
	if a.Tenant = index(h.cfg.Tenants, p.Tenant); a.Tenant < 0 {
		if p.Tenant != "" || len(h.cfg.Tenants) > 0 {
			return a, fmt.Errorf("no tenant %.60q", p.Tenant)
		}
		a.Tenant = 0
	}
	a.Top = len(h.cfg.Service.RungKB) - 1
	if p.Top != nil {
		if *p.Top < 0 || *p.Top > a.Top {
			return a, fmt.Errorf("top must be from 0 to %d", a.Top)
		}
		a.Top = *p.Top
	}
	if p.Length < 0 || p.Length > 86400 || p.DeadlineMs < 0 || p.DeadlineMs > 3_600_000 {
		return a, fmt.Errorf("length must be 0 to 86400 s, deadlineMs 0 to 3600000")
	}
	a.Length, a.Hinted = front.Time(p.Length*float64(policy.Second)), p.Length > 0
	a.Timeout, a.ReadAt, a.Again = p.DeadlineMs*policy.Millisecond, now, p.Again
	a.Viewer = xxhash.Sum64String(p.Viewer)
	if p.Token != "" {
		if a.Token, err = strconv.ParseUint(p.Token, 16, 64); err != nil {
			return a, fmt.Errorf("token is not one that a front gave")
		}
	}
	return a, nil
}

func (c *Conn) closeSession(call *Call, params json.RawMessage) {
	var p struct {
		Session string `json:"session"`
	}
	if err := decode(params, &p); err != nil {
		call.Fail(jsonrpc.InvalidParams, err.Error(), nil)
		return
	}
	n, ok := c.hub.sessionID(p.Session)
	if !ok {
		call.Fail(CodeUnknownSession, "no such session here", nil)
		return
	}
	c.hub.owner.Close(call, n)
}

// SessionName is a session's id as players know it: unique over fronts.
func SessionName(front string, id uint64) string { return front + "-" + strconv.FormatUint(id, 10) }

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

func index(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

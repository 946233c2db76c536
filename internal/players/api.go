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

// PlaysResult is the result of a session.open whose session plays.
type PlaysResult struct {
	Status  string  `json:"status"` // "plays"
	Session string  `json:"session"`
	Server  string  `json:"server"` // HOST:PORT of the media server
	URI     string  `json:"uri"`
	Rung    int     `json:"rung"`
	Rate    float64 `json:"rate"`            // kB a second
	Token   string  `json:"token,omitempty"` // for session.resume
	HTTP    string  `json:"-"`               // HOST:PORT at which the server serves segments
}

// ErrorData is the data of the errors "refused" and "failed".
type ErrorData struct {
	Session      string `json:"session,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// maxNameBytes limits the names sent by players.
const maxNameBytes = 200

// handleMessage handles one text message from a player.
func (c *Conn) handleMessage(now front.Time, text []byte) {
	if c.hub.owner.Limited() && c.refuseEarly(text) {
		return
	}
	requests, isBatch, parseErr := jsonrpc.Parse(text)
	if parseErr != nil {
		c.send(jsonrpc.Failure(nil, parseErr))
		return
	}
	var answers *batch
	if isBatch {
		answers = &batch{}
		for _, r := range requests {
			if r.ID != nil {
				answers.pending++
			}
		}
		answers.answers = make([][]byte, answers.pending)
	}
	slot := 0
	for _, r := range requests {
		if r.ID == nil { // a notification has no response to report the result in, so it is ignored
			continue
		}
		call := &Call{Conn: c, id: bytes.Clone(r.ID), batch: answers, slot: slot}
		slot++
		if r.Err != nil {
			call.Fail(r.Err.Code, r.Err.Message, nil)
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
	request, err := c.hub.parseOpen(now, &p)
	if err != nil {
		call.Fail(jsonrpc.InvalidParams, err.Error(), nil)
		return
	}
	placement, ok := c.hub.cfg.Locate(p.Title, request.Class)
	if !ok {
		call.Fail(CodeUnknownTitle, fmt.Sprintf("no title %.60q", p.Title), nil)
		return
	}
	request.Title, request.Home, request.Copies, request.Holders, request.Name =
		placement.Number, placement.Home, placement.Copies, placement.Holders, placement.Name
	if !c.hub.owner.Limited() { // otherwise refuseEarly has already asked the rate limiter
		if retryAfter, ok := c.hub.owner.Admit(request.Class, request.Tenant); !ok {
			c.hub.Stats.Busy.Add(1)
			call.Fail(CodeRefused, "refused: busy", ErrorData{RetryAfterMs: retryAfter / policy.Millisecond})
			return
		}
	}
	switch exceeded := call.reserve(request.Tenant); exceeded {
	case overload.NotFull:
		c.hub.owner.Open(call, request)
	case overload.ConnectionFull:
		call.Fail(CodeTooManyOpen, fmt.Sprintf("%d requests at most may be open on a connection",
			c.hub.cfg.Front.MaxOpenPerConnection), nil)
	default:
		c.hub.Stats.Busy.Add(1)
		call.Fail(CodeRefused, "refused: busy ("+string(exceeded)+")",
			ErrorData{RetryAfterMs: c.hub.cfg.Service.MaxRetryAfter / policy.Millisecond})
	}
}

// refuseEarly asks the rate limiter about a request before it is decoded, while requests are being refused. It returns
// true if it has refused the request.
func (c *Conn) refuseEarly(text []byte) bool {
	method, id, class, tenant, ok := jsonrpc.Peek(text, "class", "tenant")
	if !ok || string(method) != "session.open" {
		return false
	}
	classIndex, tenantIndex :=
		indexOf(c.hub.cfg.Classes, string(class)), max(indexOf(c.hub.cfg.Tenants, string(tenant)), 0)
	if classIndex < 0 {
		return false // handleMessage answers with an error for the invalid class
	}
	retryAfter, ok := c.hub.owner.Admit(classIndex, tenantIndex)
	if ok {
		return false
	}
	c.hub.Stats.Busy.Add(1)
	reply := fmt.Appendf(make([]byte, 0, 160),
		`{"jsonrpc":"2.0","error":{"code":%d,"message":"refused: busy","data":{"retryAfterMs":%d}},"id":%s}`,
		CodeRefused, retryAfter/policy.Millisecond, id)
	c.sock.Out = wsock.AppendFrame(c.sock.Out, ws.OpText, reply)
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

// sessionID returns the number of a session of this front.
func (h *Hub) sessionID(text string) (uint64, bool) {
	name, id, ok := cutLast(text, "-")
	n, err := strconv.ParseUint(id, 10, 64)
	return n, ok && err == nil && name == h.cfg.Front.Name
}

// parseOpen checks the parameters and maps names to numbers.
func (h *Hub) parseOpen(now front.Time, p *OpenParams) (request front.Request, err error) {
	for _, text := range []string{p.Title, p.Class, p.Tenant, p.Viewer, p.Token} {
		if len(text) > maxNameBytes {
			return request, fmt.Errorf("names hold %d bytes at most", maxNameBytes)
		}
	}
	if p.Title == "" || p.Viewer == "" {
		return request, fmt.Errorf("title and viewer are needed")
	}
	request.Class = indexOf(h.cfg.Classes, p.Class)
	if request.Class < 0 {
		return request, fmt.Errorf("no class %.60q", p.Class)
	}
	if request.Tenant = indexOf(h.cfg.Tenants, p.Tenant); request.Tenant < 0 {
		if p.Tenant != "" || len(h.cfg.Tenants) > 0 {
			return request, fmt.Errorf("no tenant %.60q", p.Tenant)
		}
		request.Tenant = 0
	}
	request.Top = len(h.cfg.Service.RungKB) - 1
	if p.Top != nil {
		if *p.Top < 0 || *p.Top > request.Top {
			return request, fmt.Errorf("top must be from 0 to %d", request.Top)
		}
		request.Top = *p.Top
	}
	if p.Length < 0 || p.Length > 86400 || p.DeadlineMs < 0 || p.DeadlineMs > 3_600_000 {
		return request, fmt.Errorf("length must be 0 to 86400 s, deadlineMs 0 to 3600000")
	}
	request.Length, request.Hinted = front.Time(p.Length*float64(policy.Second)), p.Length > 0
	request.Timeout, request.ReadAt, request.Again = p.DeadlineMs*policy.Millisecond, now, p.Again
	request.Viewer = xxhash.Sum64String(p.Viewer)
	if p.Token != "" {
		if request.Token, err = strconv.ParseUint(p.Token, 16, 64); err != nil {
			return request, fmt.Errorf("token is not one that a front gave")
		}
	}
	return request, nil
}

func (c *Conn) closeSession(call *Call, params json.RawMessage) {
	var p struct {
		Session string `json:"session"`
	}
	if err := decode(params, &p); err != nil {
		call.Fail(jsonrpc.InvalidParams, err.Error(), nil)
		return
	}
	id, ok := c.hub.sessionID(p.Session)
	if !ok {
		call.Fail(CodeUnknownSession, "no such session here", nil)
		return
	}
	c.hub.owner.Close(call, id)
}

// SessionName returns the session id used by players, which is unique across fronts.
func SessionName(front string, id uint64) string { return front + "-" + strconv.FormatUint(id, 10) }

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

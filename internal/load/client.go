// Package load is an open-loop load generator for the session API: requests are sent without waiting for earlier
// replies, and the latency of each reply is measured from the time its request was due, so that a front that stalls
// cannot hide the delay. It also runs closed loops, to find the maximum rate of a front.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gobwas/ws"
	"github.com/gobwas/ws/wsutil"

	"tealledge/internal/record"
	"tealledge/internal/standin/playersim"
)

// request is one session.open that waits for its reply.
type request struct {
	due   time.Time
	event record.Event
	done  func(kind, session string) // called once, on the reply or when the connection is lost
}

// client is one player connection. It reconnects when the connection is lost.
type client struct {
	runner  *Runner
	index   int
	front   string // name of the front
	mu      sync.Mutex
	nc      net.Conn
	seq     int
	pending map[string]*request
	playing map[string]struct{}
}

// dial connects the n-th client.
func (r *Runner) dial(ctx context.Context, n int) (*client, error) {
	c := &client{runner: r, index: n, pending: map[string]*request{}, playing: map[string]struct{}{}}
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	return c, nil
}

// connect opens the client's connection and starts to read from it.
func (c *client) connect(ctx context.Context) error {
	front, addr := c.runner.plan.Front(c.index)
	nc, err := playersim.Dial(ctx, addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.nc, c.front = nc, front
	c.mu.Unlock()
	c.runner.readers.Add(1)
	go c.read(nc)
	return nil
}

// send writes a request. It returns false if there is no connection.
func (c *client) send(req *request, params string) bool {
	c.mu.Lock()
	if c.nc == nil {
		c.mu.Unlock()
		return false
	}
	c.seq++
	id := fmt.Sprintf("c%d-%d", c.index, c.seq)
	req.event.Kind, req.event.Source, req.event.Ref, req.event.Front, req.event.At =
		record.RequestSent, "player", id, c.front, time.Now().UnixNano()
	c.pending[id] = req
	nc := c.nc
	c.runner.rec.Add(req.event)
	text := fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"session.open","params":%s,"id":%q}`, params, id)
	err := writeText(nc, text)
	c.mu.Unlock()
	if err != nil {
		nc.Close() // the reader then ends the pending requests
	}
	return true
}

// writeText writes a masked text frame.
func writeText(nc net.Conn, text []byte) error {
	nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := nc.Write(ws.MustCompileFrame(ws.MaskFrameInPlace(ws.NewTextFrame(text))))
	return err
}

// closeSession closes a session that plays on this connection.
func (c *client) closeSession(session string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, playing := c.playing[session]; !playing || c.nc == nil {
		return
	}
	delete(c.playing, session)
	writeText(c.nc, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"session.close","params":{"session":%q},"id":"x"}`,
		session))
}

// message holds the parts of a front's messages that are used here.
type message struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params struct {
		Session string `json:"session"`
	} `json:"params"`
	Result struct {
		Status  string `json:"status"`
		Session string `json:"session"`
	} `json:"result"`
	Error struct {
		Code int `json:"code"`
		Data struct {
			Session string `json:"session"`
		} `json:"data"`
	} `json:"error"`
}

// read handles messages until the connection is lost.
func (c *client) read(nc net.Conn) {
	defer c.runner.readers.Done()
	for {
		text, err := wsutil.ReadServerText(nc)
		if err != nil {
			c.connectionLost(nc)
			return
		}
		var m message
		if json.Unmarshal(text, &m) != nil {
			continue
		}
		if c.runner.plan.PeerEchoes && m.Method == "session.open" {
			id, _ := strconv.Unquote(string(m.ID))
			m.Result.Status, m.Result.Session = "plays", "echo-"+id
			c.handleReply(id, &m)
			continue
		}
		if m.Method != "" {
			if m.Method != "session.rung" {
				c.mu.Lock()
				delete(c.playing, m.Params.Session)
				c.mu.Unlock()
			}
			continue
		}
		id, err := strconv.Unquote(string(m.ID))
		if err != nil || bytes.Equal(m.ID, []byte(`"x"`)) {
			continue
		}
		c.handleReply(id, &m)
	}
}

// handleReply records a reply and ends its request.
func (c *client) handleReply(id string, m *message) {
	kind, session := m.Result.Status, m.Result.Session
	if kind == "" {
		session = m.Error.Data.Session
		switch m.Error.Code {
		case -32001:
			kind = "refused"
		case -32002:
			kind = "failed"
		default:
			kind = "error"
		}
	}
	c.mu.Lock()
	req := c.pending[id]
	delete(c.pending, id)
	if req != nil && kind == "plays" {
		c.playing[session] = struct{}{}
	}
	c.mu.Unlock()
	e := record.Event{Source: "player", Kind: record.ReplyReceived, Front: c.front, Ref: id, Text: kind,
		Session: sessionNumber(session)}
	if req != nil {
		e.Class, e.Viewer, e.Title = req.event.Class, req.event.Viewer, req.event.Title
	}
	c.runner.rec.Add(e) // a second reply to the same request is recorded too
	if req != nil {
		req.done(kind, session)
	}
}

// sessionNumber returns the part of a session name after the last "-".
func sessionNumber(session string) string {
	for i := len(session) - 1; i >= 0; i-- {
		if session[i] == '-' {
			return session[i+1:]
		}
	}
	return ""
}

// connectionLost ends the requests that were pending on a connection as broken, and reconnects after ReconnectDelay.
func (c *client) connectionLost(nc net.Conn) {
	nc.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.playing = map[string]*request{}, map[string]struct{}{}
	c.nc = nil
	c.mu.Unlock()
	for _, req := range pending {
		e := req.event
		e.At, e.Kind = 0, record.PlayerConnLost
		c.runner.rec.Add(e)
		req.done("broken", "")
	}
	if c.runner.ctx.Err() != nil {
		return
	}
	c.runner.readers.Add(1)
	go func() {
		defer c.runner.readers.Done()
		for c.runner.ctx.Err() == nil {
			select {
			case <-c.runner.ctx.Done():
				return
			case <-time.After(c.runner.plan.ReconnectDelay):
			}
			if c.connect(c.runner.ctx) == nil {
				return
			}
		}
	}()
}

// close closes the connection.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nc != nil {
		c.nc.Close()
	}
}

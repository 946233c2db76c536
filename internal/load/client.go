// Package load is an open-loop load generator for the session API: arrivals do not wait for answers, and each
// answer's time is counted from when its request was due, so that a front that stalls can't hide it. It also runs
// closed loops, to find what a front carries at most.
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

// request is one session.open that waits for its answer.
type request struct {
	due   time.Time
	ask   record.Event
	hold  time.Duration
	done  func(kind, session string) // called once, by the reader or when the connection is lost
	tries int
}

// client is one player connection. It connects again when it is lost.
type client struct {
	r       *Runner
	n       int
	name    string // of the front
	mu      sync.Mutex
	nc      net.Conn
	seq     int
	pending map[string]*request
	playing map[string]struct{}
}

func (r *Runner) dial(ctx context.Context, n int) (*client, error) {
	c := &client{r: r, n: n, pending: map[string]*request{}, playing: map[string]struct{}{}}
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *client) connect(ctx context.Context) error {
	name, addr := c.r.plan.Front(c.n)
	nc, err := playersim.Dial(ctx, addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.nc, c.name = nc, name
	c.mu.Unlock()
	c.r.readers.Add(1)
	go c.read(nc)
	return nil
}

// send writes a request. Without a connection it counts as not sent.
func (c *client) send(q *request, params string) bool {
	c.mu.Lock()
	if c.nc == nil {
		c.mu.Unlock()
		return false
	}
	c.seq++
	id := fmt.Sprintf("c%d-%d", c.n, c.seq)
	q.ask.Kind, q.ask.Source, q.ask.Ref, q.ask.Front, q.ask.At = record.RequestSent, "player", id, c.name, time.Now().UnixNano()
	c.pending[id] = q
	nc := c.nc
	c.r.rec.Add(q.ask)
	text := fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"session.open","params":%s,"id":%q}`, params, id)
	err := write(nc, text)
	c.mu.Unlock()
	if err != nil {
		nc.Close() // the reader books what was pending
	}
	return true
}

func write(nc net.Conn, text []byte) error {
	nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := nc.Write(ws.MustCompileFrame(ws.MaskFrameInPlace(ws.NewTextFrame(text))))
	return err
}

// end closes a session.
func (c *client) end(session string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, mine := c.playing[session]; !mine || c.nc == nil {
		return
	}
	delete(c.playing, session)
	write(c.nc, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"session.close","params":{"session":%q},"id":"x"}`, session))
}

// message is what a front sends, as far as it matters here.
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

func (c *client) read(nc net.Conn) {
	defer c.r.readers.Done()
	for {
		text, err := wsutil.ReadServerText(nc)
		if err != nil {
			c.lost(nc)
			return
		}
		var m message
		if json.Unmarshal(text, &m) != nil {
			continue
		}
		if c.r.plan.Echo && m.Method == "session.open" {
			id, _ := strconv.Unquote(string(m.ID))
			m.Result.Status, m.Result.Session = "plays", "echo-"+id
			c.answered(id, &m)
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
		c.answered(id, &m)
	}
}

func (c *client) answered(id string, m *message) {
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
	q := c.pending[id]
	delete(c.pending, id)
	if q != nil && kind == "plays" {
		c.playing[session] = struct{}{}
	}
	c.mu.Unlock()
	e := record.Event{Source: "player", Kind: record.ReplyReceived, Front: c.name, Ref: id, Text: kind, Session: number(session)}
	if q != nil {
		e.Class, e.Viewer, e.Title = q.ask.Class, q.ask.Viewer, q.ask.Title
	}
	c.r.rec.Add(e) // a second answer is written down too
	if q != nil {
		q.done(kind, session)
	}
}

func number(session string) string {
	for i := len(session) - 1; i >= 0; i-- {
		if session[i] == '-' {
			return session[i+1:]
		}
	}
	return ""
}

// lost books what was pending on a connection and connects again after a moment.
func (c *client) lost(nc net.Conn) {
	nc.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.playing = map[string]*request{}, map[string]struct{}{}
	c.nc = nil
	c.mu.Unlock()
	for _, q := range pending {
		e := q.ask
		e.At, e.Kind = 0, record.PlayerConnLost
		c.r.rec.Add(e)
		q.done("broken", "")
	}
	if c.r.ctx.Err() != nil {
		return
	}
	c.r.readers.Add(1)
	go func() {
		defer c.r.readers.Done()
		for c.r.ctx.Err() == nil {
			select {
			case <-c.r.ctx.Done():
				return
			case <-time.After(c.r.plan.Reconnect):
			}
			if c.connect(c.r.ctx) == nil {
				return
			}
		}
	}()
}

// close ends the connection for good.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nc != nil {
		c.nc.Close()
	}
}

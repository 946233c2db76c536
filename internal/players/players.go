// Package players carries the players' side of a front: WebSocket connections on netpoll, and the session API on
// them (JSON-RPC 2.0; docs/api/sessions.md). It checks what comes in and hands it to the front's owner; what is
// decided about a session is not its matter.
package players

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"

	"tealledge/decide/overload"
	"tealledge/internal/config"
	"tealledge/internal/front"
	"tealledge/internal/jsonrpc"
	"tealledge/internal/transport"
	"tealledge/internal/wsock"
	"tealledge/policy"
)

// Path is where the session API is served.
const Path = "/v1/sessions"

// Error codes of the session API, besides those of JSON-RPC.
const (
	CodeRefused        = -32001 // turned away; data.retryAfterMs may tell when to come again
	CodeFailed         = -32002 // no word on what ran
	CodeUnknownSession = -32003
	CodeTooManyOpen    = -32004 // more requests open on this connection than allowed
	CodeUnknownTitle   = -32005
)

// Owner takes what players ask. Its methods are called from many goroutines and must not wait for sockets.
type Owner interface {
	Now() front.Time
	Open(call *Call, ask front.Request)
	Close(call *Call, session uint64)
	Resume(call *Call, session, token uint64)
	Gone(conn *Conn)
	// Admit decides, before work is spent, whether a request of a class and tenant is let in; if not, after tells
	// when to come again. Limited tells whether requests are being turned away at all.
	Admit(class, tenant int) (after front.Time, ok bool)
	Limited() bool
}

// Hub holds the players' connections.
type Hub struct {
	cfg   *config.Config
	owner Owner
	loop  netpoll.EventLoop
	ln    netpoll.Listener
	mu    sync.Mutex
	conns map[*Conn]struct{}
	stop  chan struct{}
	done  sync.WaitGroup
	door  overload.HandshakeLimiter // guarded by mu
	open  atomic.Int32              // requests that wait for their answer, in all
	byTen []atomic.Int32
	Stats Stats
}

// Stats counts what crossed the players' sockets.
type Stats struct {
	Accepted, TurnedAway, Messages, Broken, Waited, Busy atomic.Uint64
}

// Conn is one player connection. Sessions is the owner's: the sessions that end with it.
type Conn struct {
	hub      *Hub
	pipe     *transport.Writer
	mu       sync.Mutex // of what follows: the connection's reader, or the door that lets it in
	sock     *wsock.Conn
	held     []byte // of a handshake that is not whole yet, or waits at the door
	state    doorState
	read     atomic.Int64
	pinged   atomic.Int64
	open     atomic.Int32 // requests that wait for their answer
	gone     atomic.Bool
	Sessions map[uint64]struct{}
}

// doorState is how far a connection came at the door.
type doorState uint8

const (
	outside doorState = iota // its handshake is not whole yet
	inLine
	inside
)

type connKey struct{}

// New makes a hub that listens at the configured address.
func New(cfg *config.Config, owner Owner) (*Hub, error) {
	h := &Hub{cfg: cfg, owner: owner, conns: map[*Conn]struct{}{}, stop: make(chan struct{}),
		byTen: make([]atomic.Int32, max(len(cfg.Tenants), 1)),
		door:  overload.HandshakeLimiter{PerSecond: float64(cfg.Front.Handshakes), Burst: float64(cfg.Front.Handshakes) / 4, MaxDelay: policy.Time(cfg.Front.HandshakeLine)}}
	ln, err := transport.Listen(cfg.Front.Listen)
	if err != nil {
		return nil, fmt.Errorf("players: %w", err)
	}
	h.ln = ln
	h.loop, err = netpoll.NewEventLoop(h.request, netpoll.WithOnConnect(h.connect))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("players: %w", err)
	}
	return h, nil
}

// Addr is where the hub listens.
func (h *Hub) Addr() net.Addr { return h.ln.Addr() }

// Serve takes connections until Shutdown.
func (h *Hub) Serve() error {
	h.done.Add(1)
	go h.sweep()
	return h.loop.Serve(h.ln)
}

// Shutdown closes the listener and all connections, with code 1001, after what waits on them is written.
func (h *Hub) Shutdown(ctx context.Context) {
	close(h.stop)
	h.mu.Lock()
	var all []*Conn
	for c := range h.conns {
		all = append(all, c)
	}
	h.mu.Unlock()
	for _, c := range all {
		c.pipe.Send(wsock.AppendClose(nil, wsock.CloseGoingAway, "leaving service"))
		c.pipe.CloseAfterFlush()
	}
	h.loop.Shutdown(ctx)
	h.done.Wait()
}

func (h *Hub) connect(ctx context.Context, nc netpoll.Connection) context.Context {
	c := &Conn{hub: h, sock: wsock.New(Path, h.cfg.Front.Message), Sessions: map[uint64]struct{}{},
		pipe: transport.NewWriter(nc, h.cfg.Front.WriteBuffer, h.cfg.Front.WriteWait)}
	c.read.Store(int64(h.owner.Now()))
	transport.OnClose(nc, c.leave)
	h.mu.Lock()
	full := len(h.conns) >= h.cfg.Front.Connections
	if !full {
		h.conns[c] = struct{}{}
	}
	h.mu.Unlock()
	if full {
		h.Stats.TurnedAway.Add(1)
		c.pipe.Send([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"))
		c.pipe.CloseAfterFlush()
		return context.WithValue(ctx, connKey{}, c)
	}
	h.Stats.Accepted.Add(1)
	return context.WithValue(ctx, connKey{}, c)
}

// leave tells the owner once that the connection is gone.
func (c *Conn) leave() {
	if c.gone.Swap(true) {
		return
	}
	c.pipe.Stop()
	c.hub.mu.Lock()
	delete(c.hub.conns, c)
	c.hub.mu.Unlock()
	c.hub.owner.Gone(c)
}

func (h *Hub) request(ctx context.Context, nc netpoll.Connection) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	b, err := nc.Reader().Next(nc.Reader().Len())
	if err != nil || c == nil {
		nc.Close()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.Store(int64(h.owner.Now()))
	if c.state == inside {
		c.feed(b)
		return nc.Reader().Release()
	}
	c.held = append(c.held, b...)
	nc.Reader().Release()
	switch {
	case c.state == inLine && len(c.held) > 2*wsock.MaxHandshake: // a client waits for its handshake's answer
		nc.Close()
	case c.state == outside && (bytes.Contains(c.held, []byte("\r\n\r\n")) || len(c.held) > wsock.MaxHandshake):
		c.knock()
	}
	return nil
}

// knock asks the door for a connection whose handshake is whole.
func (c *Conn) knock() {
	h := c.hub
	h.mu.Lock()
	verdict, wait := h.door.Admit(h.owner.Now())
	h.mu.Unlock()
	switch verdict {
	case overload.Accept:
		c.enter()
	case overload.Delay:
		h.Stats.Waited.Add(1)
		c.state = inLine
		time.AfterFunc(time.Duration(wait), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.enter()
		})
	case overload.Reject:
		h.Stats.TurnedAway.Add(1)
		c.held = nil
		c.pipe.Send(fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", wait/policy.Second+1))
		c.pipe.CloseAfterFlush()
	}
}

func (c *Conn) enter() {
	b := c.held
	c.held, c.state = nil, inside
	c.feed(b)
}

// feed reads what came on a connection that is in.
func (c *Conn) feed(b []byte) {
	h, now := c.hub, c.hub.owner.Now()
	for _, in := range c.sock.Feed(b) {
		if in.Kind == wsock.Text {
			h.Stats.Messages.Add(1)
			c.message(now, in.Data)
		}
	}
	if len(c.sock.Out) > 0 {
		c.pipe.SendInline(c.sock.Out)
		c.sock.Out = nil
	}
	if c.sock.Closed() {
		h.Stats.Broken.Add(1)
		c.pipe.CloseAfterFlush()
	}
}

// sweep pings connections that are quiet and closes those that stay so.
func (h *Hub) sweep() {
	defer h.done.Done()
	tick := time.NewTicker(max(h.cfg.Front.Ping/4, 25*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-tick.C:
		}
		now := int64(h.owner.Now())
		var idle, quiet []*Conn
		h.mu.Lock()
		for c := range h.conns {
			switch age := now - c.read.Load(); {
			case age >= int64(h.cfg.Front.Idle):
				idle = append(idle, c)
			case age >= int64(h.cfg.Front.Ping) && c.pinged.Load() <= c.read.Load():
				quiet = append(quiet, c)
			}
		}
		h.mu.Unlock()
		for _, c := range idle {
			c.pipe.Send(wsock.AppendClose(nil, wsock.CloseGoingAway, "idle"))
			c.pipe.CloseAfterFlush()
		}
		for _, c := range quiet {
			c.pinged.Store(now)
			c.pipe.Send(wsock.Frame(nil, ws.OpPing, nil))
		}
	}
}

// send writes a text message.
func (c *Conn) send(text []byte) {
	c.pipe.Send(wsock.Frame(make([]byte, 0, len(text)+10), ws.OpText, text))
}

// Notify sends a notification.
func (c *Conn) Notify(method string, params any) { c.send(jsonrpc.Notify(method, params)) }

// Call is a request that waits for its answer.
type Call struct {
	Conn   *Conn
	handle uint64 // the owner's
	id     json.RawMessage
	batch  *batch
	slot   int
	opens  bool // it counts among the open requests
	ten    int  // of this tenant
	done   atomic.Bool
}

// batch gathers the answers to a batch; they are sent together (JSON-RPC 2.0 section 6).
type batch struct {
	mu   sync.Mutex
	left int
	list [][]byte
}

// Result answers with a result; Fail with an error. The first answer counts, any other is dropped and tells so.
func (c *Call) Result(v any) bool { return c.answer(jsonrpc.Result(c.id, v)) }

// Fail answers with an error.
func (c *Call) Fail(code int, message string, data any) bool {
	return c.answer(jsonrpc.Failure(c.id, &jsonrpc.Error{Code: code, Message: message, Data: data}))
}

func (c *Call) answer(text []byte) bool {
	if c.done.Swap(true) {
		return false
	}
	if c.opens {
		c.leaveRoom()
	}
	if c.batch == nil {
		c.Conn.send(text)
		return true
	}
	b := c.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list[c.slot] = text
	if b.left--; b.left == 0 {
		c.Conn.send(jsonrpc.Join(b.list))
	}
	return true
}

// Left tells whether the connection is gone.
func (c *Conn) Left() bool { return c.gone.Load() }

// takeRoom counts a request among those that wait, if the limits leave room for it.
func (c *Call) takeRoom(tenant int) overload.Full {
	h := c.Conn.hub
	full := overload.Limits{Front: h.cfg.Front.Open, Connection: h.cfg.Front.OpenPerConnection, Tenant: h.cfg.Front.OpenPerTenant}.
		Check(int(h.open.Load()), int(c.Conn.open.Load()), int(h.byTen[tenant].Load()), len(h.byTen))
	if full == overload.NotFull {
		c.opens, c.ten = true, tenant
		h.open.Add(1)
		c.Conn.open.Add(1)
		h.byTen[tenant].Add(1)
	}
	return full
}

func (c *Call) leaveRoom() {
	h := c.Conn.hub
	h.open.Add(-1)
	c.Conn.open.Add(-1)
	h.byTen[c.ten].Add(-1)
}

// Drop ends a call whose connection is gone: nobody is told, and its room is free again.
func (c *Call) Drop() {
	if !c.done.Swap(true) && c.opens {
		c.leaveRoom()
	}
}

// Connections tells how many players are connected.
func (h *Hub) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Notify, Left, Held and Ref are what the owner needs of a call: see serve.Caller.
func (c *Call) Notify(method string, params any) { c.Conn.Notify(method, params) }

// Left tells whether the player's connection is gone.
func (c *Call) Left() bool { return c.Conn.Left() }

// Held gives the sessions that end with the connection.
func (c *Call) Held() map[uint64]struct{} { return c.Conn.Sessions }

// Ref gives the owner's handle.
func (c *Call) Ref() *uint64 { return &c.handle }

// Package players implements the players' side of a front: WebSocket connections on netpoll, and the session API on
// them (JSON-RPC 2.0; docs/api/sessions.md). It validates requests and passes them to the front's owner, which makes
// all decisions about sessions.
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

// Path is the URL path of the session API.
const Path = "/v1/sessions"

// Error codes of the session API, besides those of JSON-RPC.
const (
	CodeRefused        = -32001 // refused; data.retryAfterMs may hold the retry delay
	CodeFailed         = -32002 // it is unknown whether the set-up ran
	CodeUnknownSession = -32003
	CodeTooManyOpen    = -32004 // more requests open on this connection than allowed
	CodeUnknownTitle   = -32005
)

// Owner receives the requests of players. Its methods are called from many goroutines and must not wait for sockets.
type Owner interface {
	Now() front.Time
	Open(call *Call, request front.Request)
	Close(call *Call, session uint64)
	Resume(call *Call, session, token uint64)
	Disconnected(conn *Conn)
	// Admit decides, before any work is spent, whether a request of a class and tenant is admitted; if not, retryAfter
	// is the retry delay. Limited reports whether any requests are being refused.
	Admit(class, tenant int) (retryAfter front.Time, ok bool)
	Limited() bool
}

// Hub holds the players' connections.
type Hub struct {
	cfg          *config.Config
	owner        Owner
	loop         netpoll.EventLoop
	listener     netpoll.Listener
	mu           sync.Mutex
	conns        map[*Conn]struct{}
	stop         chan struct{}
	wg           sync.WaitGroup
	handshakes   overload.HandshakeLimiter // guarded by mu
	openRequests atomic.Int32              // unanswered requests of all connections
	openByTenant []atomic.Int32
	Stats        Stats
}

// Stats counts connections, messages and refused requests.
type Stats struct {
	Accepted, Rejected, Messages, Closed, Delayed, Busy atomic.Uint64
}

// Conn is one player connection. Sessions, used by the owner only, holds the sessions that end with the connection.
type Conn struct {
	hub          *Hub
	writer       *transport.Writer
	mu           sync.Mutex // guards sock, handshake and state: the reader and a delayed handshake use them
	sock         *wsock.Conn
	handshake    []byte // bytes received before the handshake is accepted
	state        handshakeState
	lastReadAt   atomic.Int64
	lastPingAt   atomic.Int64
	openRequests atomic.Int32 // unanswered requests
	closed       atomic.Bool
	Sessions     map[uint64]struct{}
}

// handshakeState is the progress of a connection's handshake.
type handshakeState uint8

const (
	handshakeIncomplete handshakeState = iota // not received completely
	handshakeDelayed
	handshakeAccepted
)

type connKey struct{}

// New returns a hub that listens at the configured address.
func New(cfg *config.Config, owner Owner) (*Hub, error) {
	h := &Hub{cfg: cfg, owner: owner, conns: map[*Conn]struct{}{}, stop: make(chan struct{}),
		openByTenant: make([]atomic.Int32, max(len(cfg.Tenants), 1)),
		handshakes: overload.HandshakeLimiter{PerSecond: float64(cfg.Front.HandshakesPerSecond),
			Burst: float64(cfg.Front.HandshakesPerSecond) / 4, MaxDelay: policy.Time(cfg.Front.MaxHandshakeDelay)}}
	ln, err := transport.Listen(cfg.Front.Listen)
	if err != nil {
		return nil, fmt.Errorf("players: %w", err)
	}
	h.listener = ln
	h.loop, err = netpoll.NewEventLoop(h.onReadable, netpoll.WithOnConnect(h.onConnect))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("players: %w", err)
	}
	return h, nil
}

// Addr returns the address the hub listens at.
func (h *Hub) Addr() net.Addr { return h.listener.Addr() }

// Serve accepts connections until Shutdown.
func (h *Hub) Serve() error {
	h.wg.Add(1)
	go h.pingIdleConns()
	return h.loop.Serve(h.listener)
}

// Shutdown closes the listener and, after their queued bytes are written, all connections with code 1001.
func (h *Hub) Shutdown(ctx context.Context) {
	close(h.stop)
	h.mu.Lock()
	var all []*Conn
	for c := range h.conns {
		all = append(all, c)
	}
	h.mu.Unlock()
	for _, c := range all {
		c.writer.Send(wsock.AppendClose(nil, wsock.CloseGoingAway, "leaving service"))
		c.writer.CloseAfterFlush()
	}
	h.loop.Shutdown(ctx)
	h.wg.Wait()
}

func (h *Hub) onConnect(ctx context.Context, nc netpoll.Connection) context.Context {
	c := &Conn{hub: h, sock: wsock.New(Path, h.cfg.Front.MaxMessageBytes), Sessions: map[uint64]struct{}{},
		writer: transport.NewWriter(nc, h.cfg.Front.MaxWriteBufferBytes, h.cfg.Front.WriteTimeout)}
	c.lastReadAt.Store(int64(h.owner.Now()))
	transport.OnClose(nc, c.onClose)
	h.mu.Lock()
	full := len(h.conns) >= h.cfg.Front.MaxConnections
	if !full {
		h.conns[c] = struct{}{}
	}
	h.mu.Unlock()
	if full {
		h.Stats.Rejected.Add(1)
		c.writer.Send([]byte(
			"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"))
		c.writer.CloseAfterFlush()
		return context.WithValue(ctx, connKey{}, c)
	}
	h.Stats.Accepted.Add(1)
	return context.WithValue(ctx, connKey{}, c)
}

// onClose reports the closed connection to the owner once.
func (c *Conn) onClose() {
	if c.closed.Swap(true) {
		return
	}
	c.writer.Stop()
	c.hub.mu.Lock()
	delete(c.hub.conns, c)
	c.hub.mu.Unlock()
	c.hub.owner.Disconnected(c)
}

func (h *Hub) onReadable(ctx context.Context, nc netpoll.Connection) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	b, err := nc.Reader().Next(nc.Reader().Len())
	if err != nil || c == nil {
		nc.Close()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReadAt.Store(int64(h.owner.Now()))
	if c.state == handshakeAccepted {
		c.handleInput(b)
		return nc.Reader().Release()
	}
	c.handshake = append(c.handshake, b...)
	nc.Reader().Release()
	switch {
	case c.state == handshakeDelayed && len(c.handshake) > 2*wsock.MaxHandshakeBytes:
		// A client must await the handshake response before it sends more.
		nc.Close()
	case c.state == handshakeIncomplete &&
		(bytes.Contains(c.handshake, []byte("\r\n\r\n")) || len(c.handshake) > wsock.MaxHandshakeBytes):
		c.admitHandshake()
	}
	return nil
}

// admitHandshake accepts, delays or rejects a complete handshake, as the handshake limiter decides.
func (c *Conn) admitHandshake() {
	h := c.hub
	h.mu.Lock()
	verdict, delay := h.handshakes.Admit(h.owner.Now())
	h.mu.Unlock()
	switch verdict {
	case overload.Accept:
		c.acceptHandshake()
	case overload.Delay:
		h.Stats.Delayed.Add(1)
		c.state = handshakeDelayed
		time.AfterFunc(time.Duration(delay), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.acceptHandshake()
		})
	case overload.Reject:
		h.Stats.Rejected.Add(1)
		c.handshake = nil
		c.writer.Send(fmt.Appendf(nil,
			"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n",
			delay/policy.Second+1))
		c.writer.CloseAfterFlush()
	}
}

func (c *Conn) acceptHandshake() {
	buffered := c.handshake
	c.handshake, c.state = nil, handshakeAccepted
	c.handleInput(buffered)
}

// handleInput handles bytes received after the handshake was accepted.
func (c *Conn) handleInput(b []byte) {
	h, now := c.hub, c.hub.owner.Now()
	for _, message := range c.sock.Feed(b) {
		if message.Kind == wsock.Text {
			h.Stats.Messages.Add(1)
			c.handleMessage(now, message.Data)
		}
	}
	if len(c.sock.Out) > 0 {
		c.writer.SendInline(c.sock.Out)
		c.sock.Out = nil
	}
	if c.sock.Closed() {
		h.Stats.Closed.Add(1)
		c.writer.CloseAfterFlush()
	}
}

// pingIdleConns pings idle connections and closes those that stay idle.
func (h *Hub) pingIdleConns() {
	defer h.wg.Done()
	ticker := time.NewTicker(max(h.cfg.Front.PingInterval/4, 25*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
		}
		now := int64(h.owner.Now())
		var expired, unpinged []*Conn
		h.mu.Lock()
		for c := range h.conns {
			switch age := now - c.lastReadAt.Load(); {
			case age >= int64(h.cfg.Front.IdleTimeout):
				expired = append(expired, c)
			case age >= int64(h.cfg.Front.PingInterval) && c.lastPingAt.Load() <= c.lastReadAt.Load():
				unpinged = append(unpinged, c)
			}
		}
		h.mu.Unlock()
		for _, c := range expired {
			c.writer.Send(wsock.AppendClose(nil, wsock.CloseGoingAway, "idle"))
			c.writer.CloseAfterFlush()
		}
		for _, c := range unpinged {
			c.lastPingAt.Store(now)
			c.writer.Send(wsock.AppendFrame(nil, ws.OpPing, nil))
		}
	}
}

// send writes a text message.
func (c *Conn) send(text []byte) {
	c.writer.Send(wsock.AppendFrame(make([]byte, 0, len(text)+10), ws.OpText, text))
}

// Notify sends a notification.
func (c *Conn) Notify(method string, params any) { c.send(jsonrpc.Notify(method, params)) }

// Call is a request, which is answered once.
type Call struct {
	Conn         *Conn
	handle       uint64 // used by the owner only
	id           json.RawMessage
	batch        *batch
	slot         int
	countsAsOpen bool // counted as an open request of tenant
	tenant       int
	answered     atomic.Bool
}

// batch collects the responses to a batch, which are sent together (JSON-RPC 2.0 section 6).
type batch struct {
	mu      sync.Mutex
	pending int
	answers [][]byte
}

// Result answers with a result. Only the first answer of a call is sent; for any other, Result and Fail return false.
func (c *Call) Result(v any) bool { return c.answer(jsonrpc.Result(c.id, v)) }

// Fail answers with an error.
func (c *Call) Fail(code int, message string, data any) bool {
	return c.answer(jsonrpc.Failure(c.id, &jsonrpc.Error{Code: code, Message: message, Data: data}))
}

func (c *Call) answer(text []byte) bool {
	if c.answered.Swap(true) {
		return false
	}
	if c.countsAsOpen {
		c.release()
	}
	if c.batch == nil {
		c.Conn.send(text)
		return true
	}
	b := c.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[c.slot] = text
	if b.pending--; b.pending == 0 {
		c.Conn.send(jsonrpc.Join(b.answers))
	}
	return true
}

// Closed reports whether the connection has closed.
func (c *Conn) Closed() bool { return c.closed.Load() }

// reserve counts the request as open, unless that would exceed a limit; it returns the exceeded limit.
func (c *Call) reserve(tenant int) overload.Full {
	h := c.Conn.hub
	exceeded := overload.Limits{Front: h.cfg.Front.MaxOpen, Connection: h.cfg.Front.MaxOpenPerConnection,
		Tenant: h.cfg.Front.MaxOpenPerTenant}.
		Check(int(h.openRequests.Load()), int(c.Conn.openRequests.Load()), int(h.openByTenant[tenant].Load()),
			len(h.openByTenant))
	if exceeded == overload.NotFull {
		c.countsAsOpen, c.tenant = true, tenant
		h.openRequests.Add(1)
		c.Conn.openRequests.Add(1)
		h.openByTenant[tenant].Add(1)
	}
	return exceeded
}

// release removes the request from the count of open requests.
func (c *Call) release() {
	h := c.Conn.hub
	h.openRequests.Add(-1)
	c.Conn.openRequests.Add(-1)
	h.openByTenant[c.tenant].Add(-1)
}

// Drop ends a call whose connection has closed: no answer is sent, and the request no longer counts as open.
func (c *Call) Drop() {
	if !c.answered.Swap(true) && c.countsAsOpen {
		c.release()
	}
}

// Connections returns the number of player connections.
func (h *Hub) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Notify sends a notification on the call's connection.
func (c *Call) Notify(method string, params any) { c.Conn.Notify(method, params) }

// Disconnected reports whether the player's connection has closed.
func (c *Call) Disconnected() bool { return c.Conn.Closed() }

// Sessions returns the sessions that end with the connection.
func (c *Call) Sessions() map[uint64]struct{} { return c.Conn.Sessions }

// Handle returns a pointer to the handle that the owner has given the call.
func (c *Call) Handle() *uint64 { return &c.handle }

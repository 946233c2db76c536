package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"tealledge/internal/pipe"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
)

// clients holds the connections of viewers.
type clients struct {
	events clientEvents
	loop   netpoll.EventLoop
	ln     netpoll.Listener
	mu     sync.Mutex
	conns  map[uint64]*client
	last   atomic.Uint64
}

// clientEvents takes what viewers' connections bring; called from many goroutines.
type clientEvents interface {
	accepted(conn uint64)
	said(conn uint64, list []viewers.In, broken error, partial bool)
	left(conn uint64)
}

type client struct {
	id   uint64
	pipe *pipe.Pipe
	deaf atomic.Bool // it is being closed: what it still sends is read and dropped
	mu   sync.Mutex
	cut  *wire.Splitter
	torn bool // its stream can't be read any further
}

type clientKey struct{}

const (
	clientBytes = 128 << 10              // that may wait on one connection
	clientWrite = 2 * time.Second        // a viewer that takes nothing for so long loses its connection
	lingers     = 150 * time.Millisecond // from the last bytes to the close: closed at once, unread input would destroy them
)

func listen(addr string, events clientEvents) (*clients, error) {
	c := &clients{events: events, conns: map[uint64]*client{}}
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.ln = ln
	if c.loop, err = netpoll.NewEventLoop(c.request, netpoll.WithOnConnect(c.connect)); err != nil {
		ln.Close()
		return nil, err
	}
	return c, nil
}

func (c *clients) connect(ctx context.Context, nc netpoll.Connection) context.Context {
	pipe.Tune(nc)
	k := &client{id: c.last.Add(1), pipe: pipe.New(nc, clientBytes, clientWrite), cut: wire.NewSplitter(wire.MaxMessage)}
	c.mu.Lock()
	c.conns[k.id] = k
	c.mu.Unlock()
	c.events.accepted(k.id) // before any left
	pipe.OnEnd(nc, func() { c.leave(k) })
	return context.WithValue(ctx, clientKey{}, k)
}

func (c *clients) leave(k *client) {
	k.pipe.Stop()
	c.mu.Lock()
	delete(c.conns, k.id)
	c.mu.Unlock()
	c.events.left(k.id)
}

func (c *clients) request(ctx context.Context, nc netpoll.Connection) error {
	k, _ := ctx.Value(clientKey{}).(*client)
	r := nc.Reader()
	n := r.Len()
	if k == nil || k.deaf.Load() {
		r.Skip(n)
		return r.Release()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.torn {
		r.Skip(n)
		return r.Release()
	}
	b, err := r.Next(n)
	if err != nil {
		return err
	}
	k.cut.Feed(b)
	r.Release()
	var list []viewers.In
	var broken error
	for {
		line, err := k.cut.Next()
		if err != nil {
			broken, k.torn = err, true
			break
		}
		if line == nil {
			break
		}
		var in viewers.In
		in.Line, in.Err = wire.ParseLine(line)
		list = append(list, in)
	}
	c.events.said(k.id, list, broken, k.cut.Partial())
	return nil
}

// send writes without holding the owner up; a viewer that reads too slowly loses its connection.
func (c *clients) send(conn uint64, b []byte) {
	c.mu.Lock()
	k := c.conns[conn]
	c.mu.Unlock()
	if k != nil {
		k.pipe.Send(b)
	}
}

// shut closes a connection once its last bytes could be read.
func (c *clients) shut(conn uint64, last []byte) {
	c.mu.Lock()
	k := c.conns[conn]
	c.mu.Unlock()
	if k == nil || k.deaf.Swap(true) {
		return
	}
	if len(last) == 0 {
		k.pipe.Finish()
		return
	}
	k.pipe.Send(last)
	time.AfterFunc(lingers, k.pipe.Finish)
}

// idle tells whether nothing waits to be written to anybody.
func (c *clients) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.conns {
		if !k.pipe.Idle() {
			return false
		}
	}
	return true
}

func (c *clients) close(ctx context.Context) {
	c.mu.Lock()
	all := make([]*client, 0, len(c.conns))
	for _, k := range c.conns {
		all = append(all, k)
	}
	c.mu.Unlock()
	for _, k := range all {
		k.pipe.Finish()
	}
	c.loop.Shutdown(ctx)
}

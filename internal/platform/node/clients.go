package node

import (
	"context"
	"errors"
	"maps"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
	held   atomic.Int64 // connections that have a descriptor
	most   atomic.Int64 // of these; 0: any number
	shed   atomic.Uint64
	room   chan struct{} // a connection has ended since the gate last looked
	holds  time.Duration // how long the gate holds a newcomer for room
	peeked []byte        // the owner's
}

// clientEvents takes what viewers' connections bring; called from many goroutines.
type clientEvents interface {
	accepted(conn uint64)
	said(k *client, list []viewers.In, broken error, partial bool)
	left(conn uint64)
}

type client struct {
	id      uint64
	conn    netpoll.Connection
	pipe    *pipe.Pipe
	deaf    atomic.Bool  // it is being closed: what it still sends is read and dropped
	unheard atomic.Int32 // what was read of it and the owner has not taken yet
	mu      sync.Mutex
	cut     *wire.Splitter
	torn    bool            // its stream can't be read any further
	back    map[uint64]bool // sessions that it took back or ended, by words that the owner has not taken yet
}

type clientKey struct{}

const (
	clientBytes = 128 << 10              // that may wait on one connection
	clientWrite = 2 * time.Second        // a viewer that takes nothing for so long loses its connection
	lingers     = 150 * time.Millisecond // from the last bytes to the close: closed at once, unread input would destroy them
	readerTurns = 20                     // that a connection's reader is given before a set-up is sent for it
	gateHolds   = 20 * time.Millisecond  // the owner makes room within, unless none can be made or it has no core
	addrWait    = 3 * time.Second        // for an address that is in use at the start
	addrPause   = 10 * time.Millisecond
	gateRests   = 5 // times that, after room was waited for in vain, it is not waited for again
)

func listen(addr string, events clientEvents) (*clients, error) {
	c := &clients{events: events, conns: map[uint64]*client{}, room: make(chan struct{}, 1), holds: gateHolds}
	ln, err := listenAt(addr)
	if err != nil {
		return nil, err
	}
	c.ln = &gate{Listener: ln, c: c, born: time.Now()}
	if c.loop, err = netpoll.NewEventLoop(c.request, netpoll.WithOnPrepare(c.prepare), netpoll.WithOnConnect(c.connect)); err != nil {
		ln.Close()
		return nil, err
	}
	return c, nil
}

// listenAt listens at an address. Danger: a front that is started again as the process of before still ends finds its address in
// use, and ends itself. Harm: one whose address is another's says so only after addrWait.
func listenAt(addr string) (ln netpoll.Listener, err error) {
	for began := time.Now(); ; time.Sleep(addrPause) {
		if ln, err = pipe.Listen(addr); !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) >= addrWait {
			return ln, err
		}
	}
}

// gate lets connections in up to the limit. Those past it wait in the system's queue for room; those for whom none is made in time
// are closed.
type gate struct {
	netpoll.Listener
	c     *clients
	born  time.Time
	vain  atomic.Int64 // since born: room is not waited for before
	waits atomic.Int64 // how often room was waited for
}

// Accept gives a connection, or none. Danger: the owner closes those past its own limit, but it may be busy; a flood would
// meanwhile take what is reserved for servers and the list. Closed at once, a usual viewer that comes in the flood would get no
// answer, though most of those in its way say nothing and the owner would close them for it. Harm: while room is waited for nobody
// is read; in a flood of viewers that all have requests open, one is closed on.
func (g *gate) Accept() (net.Conn, error) {
	if g.full() && int64(time.Since(g.born)) >= g.vain.Load() {
		g.wait()
	}
	conn, err := g.Listener.Accept()
	if conn == nil || err != nil {
		return conn, err
	}
	if g.full() {
		g.c.shed.Add(1)
		conn.Close()
		return nil, nil // none for now: the next look at the listener comes at once
	}
	g.c.held.Add(1)
	return conn, nil
}

func (g *gate) full() bool {
	most := g.c.most.Load()
	return most > 0 && g.c.held.Load() >= most
}

// wait gives the owner time to make room.
func (g *gate) wait() {
	g.waits.Add(1)
	late := time.NewTimer(g.c.holds)
	defer late.Stop()
	for g.full() {
		select {
		case <-g.c.room:
		case <-late.C:
			g.vain.Store(int64(time.Since(g.born) + gateRests*g.c.holds))
			return
		}
	}
}

// prepare comes before anything else is done with a connection that was let in.
func (c *clients) prepare(nc netpoll.Connection) context.Context {
	pipe.OnEnd(nc, func() {
		c.held.Add(-1)
		select {
		case c.room <- struct{}{}:
		default:
		}
	})
	return context.Background()
}

func (c *clients) connect(ctx context.Context, nc netpoll.Connection) context.Context {
	pipe.Tune(nc)
	k := &client{id: c.last.Add(1), conn: nc, pipe: pipe.New(nc, clientBytes, clientWrite), cut: wire.NewSplitter(wire.MaxMessage)}
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
	b, err := r.Next(n)
	if err != nil {
		return err
	}
	list, broken, partial, ok := k.parse(b)
	r.Release()
	if ok {
		c.events.said(k, list, broken, partial)
	}
	return nil
}

// parse cuts what was read into lines. What takes something back is noted at once, for the owner may be behind.
func (k *client) parse(b []byte) (list []viewers.In, broken error, partial, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.torn {
		return nil, nil, false, false
	}
	k.unheard.Add(1)
	k.cut.Feed(b)
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
		if in.Line.Msg == wire.LineClose && in.Line.Sid != 0 {
			if k.back == nil {
				k.back = map[uint64]bool{}
			}
			k.back[in.Line.Sid] = true
		}
		list = append(list, in)
	}
	return list, broken, k.cut.Partial(), true
}

// heard tells that the owner has taken what parse gave.
func (k *client) heard(list []viewers.In) {
	k.unheard.Add(-1)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, in := range list { // a later word about a session named here may wait still
		if in.Line.Msg == wire.LineClose {
			delete(k.back, in.Line.Sid)
		}
	}
	if len(k.back) == 0 {
		k.back = nil
	}
}

func (c *clients) get(conn uint64) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn]
}

// quiet tells whether nothing that came on a connection waits to be read or handed on.
func (c *clients) quiet(conn uint64) bool {
	k := c.get(conn)
	if k == nil {
		return true
	}
	if k.unheard.Load() != 0 || k.conn.Reader().Len() != 0 {
		return false
	}
	_, unread := k.look()
	return !unread
}

func (k *client) look() (ended, unread bool) {
	c, ok := k.conn.(netpoll.Conn)
	if !ok {
		return false, false
	}
	ended, unread = pipe.Look(c.Fd())
	return ended || !k.conn.IsActive(), unread // asked last: while it stands its descriptor is nobody else's
}

// waits tells whether the client that sent a request is still there and has not taken it back, by all that has reached this
// machine: what the readers know and the owner has not heard of, and what still lies in the socket.
func (c *clients) waits(conn, session uint64) bool {
	k := c.get(conn)
	if k == nil || k.deaf.Load() {
		return false
	}
	for i := 0; i < readerTurns && k.conn.Reader().Len() != 0; i++ {
		runtime.Gosched() // its reader has bytes that it could not look at yet
	}
	ended, unread := k.look()
	if ended {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.back[session] {
		return false
	}
	if !unread {
		return true
	}
	if c.peeked == nil {
		c.peeked = make([]byte, wire.MaxMessage)
	}
	n := pipe.Peek(k.conn.(netpoll.Conn).Fd(), c.peeked)
	return !k.cut.TakesBack(c.peeked[:n], session)
}

// send writes without holding the owner up; a viewer that reads too slowly loses its connection.
func (c *clients) send(conn uint64, b []byte) {
	if k := c.get(conn); k != nil {
		k.pipe.Send(b)
	}
}

// shut closes a connection once its last bytes could be read.
func (c *clients) shut(conn uint64, last []byte) {
	k := c.get(conn)
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

// drained tells whether nothing waits to be written to anybody or to be read of anybody, and nobody to be let in.
func (c *clients) drained() bool {
	c.mu.Lock()
	all := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	for _, conn := range all {
		if k := c.get(conn); k != nil && (!k.pipe.Idle() || !c.quiet(conn)) {
			return false
		}
	}
	_, waiting := pipe.Look(c.ln.Fd())
	return !waiting
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

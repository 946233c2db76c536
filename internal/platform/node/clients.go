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

	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/transport"
)

// clients holds the connections from viewers.
type clients struct {
	events      clientEvents
	loop        netpoll.EventLoop
	listener    netpoll.Listener
	mu          sync.Mutex
	conns       map[uint64]*client
	lastID      atomic.Uint64
	openConns   atomic.Int64 // accepted connections whose descriptor is open
	maxConns    atomic.Int64 // limit of openConns; 0: no limit
	rejected    atomic.Uint64
	slotFreed   chan struct{} // holds an item if a connection has closed since the last receive
	slotTimeout time.Duration // how long Accept waits for a connection to close
	peekBuffer  []byte        // used by the owner goroutine only
}

// clientEvents receives the events of viewers' connections. Its methods are called from many goroutines.
type clientEvents interface {
	accepted(conn uint64)
	received(k *client, list []viewers.Input, readErr error, partial bool)
	closed(conn uint64)
}

// client is the connection of one viewer.
type client struct {
	id          uint64
	conn        netpoll.Connection
	writer      *transport.Writer
	closing     atomic.Bool  // being closed: further input is read and dropped
	unprocessed atomic.Int32 // reads that the owner goroutine has not processed yet
	mu          sync.Mutex
	splitter    *wire.Splitter
	unreadable  bool            // the splitter has failed: further input is dropped
	withdrawn   map[uint64]bool // sessions that it withdrew or ended in lines not processed yet
}

// clientKey is the context key of a connection's client.
type clientKey struct{}

// Limits and durations of viewers' connections.
const (
	maxClientQueueBytes = 128 << 10       // unwritten bytes on one connection
	clientWriteTimeout  = 2 * time.Second // the connection of a viewer that reads nothing for this long is closed
	// closeDelay is the time from the last bytes to the close: a close at once, with unread input, would discard them.
	closeDelay      = 150 * time.Millisecond
	maxReaderYields = 20 // yields to a connection's reader before a set-up is sent for its client
	// slotWaitTimeout is enough for the owner to close a connection, unless none can be closed or the owner gets no
	// core.
	slotWaitTimeout     = 20 * time.Millisecond
	listenTimeout       = 3 * time.Second // for an address that is in use at start
	listenRetryInterval = 10 * time.Millisecond
	slotBackoffFactor   = 5 // after a wait that timed out, Accept does not wait for this many times slotTimeout
)

// listen creates a listener and an event loop for viewers' connections.
func listen(addr string, events clientEvents) (*clients, error) {
	c := &clients{events: events, conns: map[uint64]*client{}, slotFreed: make(chan struct{}, 1),
		slotTimeout: slotWaitTimeout}
	ln, err := listenWithRetry(addr)
	if err != nil {
		return nil, err
	}
	c.listener = &limitListener{Listener: ln, clients: c, createdAt: time.Now()}
	if c.loop, err = netpoll.NewEventLoop(c.onRequest, netpoll.WithOnPrepare(c.onPrepare),
		netpoll.WithOnConnect(c.onConnect)); err != nil {
		ln.Close()
		return nil, err
	}
	return c, nil
}

// listenWithRetry listens at an address and retries while the address is in use: a front that restarts while its
// previous process is still exiting would otherwise fail to start. If another program holds the address, the error is
// returned only after listenTimeout.
func listenWithRetry(addr string) (ln netpoll.Listener, err error) {
	for startedAt := time.Now(); ; time.Sleep(listenRetryInterval) {
		if ln, err = transport.Listen(addr); !errors.Is(err, syscall.EADDRINUSE) ||
			time.Since(startedAt) >= listenTimeout {
			return ln, err
		}
	}
}

// limitListener accepts connections up to a limit. Connections past the limit wait in the kernel's accept queue until
// another connection closes; if none does in time, they are accepted and closed.
type limitListener struct {
	netpoll.Listener
	clients     *clients
	createdAt   time.Time
	noWaitUntil atomic.Int64 // time since createdAt before which Accept does not wait for a slot
	slotWaits   atomic.Int64 // number of waits for a slot
}

// Accept returns a connection or nil. The owner goroutine closes connections past its own limit, but it may be busy,
// and a flood would meanwhile use the descriptors reserved for servers and the list. Accept waits before it closes a
// connection past the limit: otherwise a regular viewer that connects during the flood would get no answer, though
// most of the other connections are silent and the owner would close them in its favour. While Accept waits, no
// connection is read; in a flood of viewers that all have open requests, a new connection is closed.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.full() && int64(time.Since(l.createdAt)) >= l.noWaitUntil.Load() {
		l.waitForSlot()
	}
	conn, err := l.Listener.Accept()
	if conn == nil || err != nil {
		return conn, err
	}
	if l.full() {
		l.clients.rejected.Add(1)
		conn.Close()
		return nil, nil // no connection for now: the event loop polls the listener again at once
	}
	l.clients.openConns.Add(1)
	return conn, nil
}

// full reports whether the limit is reached.
func (l *limitListener) full() bool {
	maxConns := l.clients.maxConns.Load()
	return maxConns > 0 && l.clients.openConns.Load() >= maxConns
}

// waitForSlot waits until the owner goroutine has closed a connection, at most slotTimeout.
func (l *limitListener) waitForSlot() {
	l.slotWaits.Add(1)
	timer := time.NewTimer(l.clients.slotTimeout)
	defer timer.Stop()
	for l.full() {
		select {
		case <-l.clients.slotFreed:
		case <-timer.C:
			l.noWaitUntil.Store(int64(time.Since(l.createdAt) + slotBackoffFactor*l.clients.slotTimeout))
			return
		}
	}
}

// onPrepare is called by the event loop before any other callback of an accepted connection.
func (c *clients) onPrepare(nc netpoll.Connection) context.Context {
	transport.OnClose(nc, func() {
		c.openConns.Add(-1)
		select {
		case c.slotFreed <- struct{}{}:
		default:
		}
	})
	return context.Background()
}

// onConnect registers a new connection.
func (c *clients) onConnect(ctx context.Context, nc netpoll.Connection) context.Context {
	transport.SetTCPOptions(nc)
	k := &client{id: c.lastID.Add(1), conn: nc,
		writer:   transport.NewWriter(nc, maxClientQueueBytes, clientWriteTimeout),
		splitter: wire.NewSplitter(wire.MaxMessage)}
	c.mu.Lock()
	c.conns[k.id] = k
	c.mu.Unlock()
	c.events.accepted(k.id) // before its closed event
	transport.OnClose(nc, func() { c.onClose(k) })
	return context.WithValue(ctx, clientKey{}, k)
}

// onClose removes a closed connection.
func (c *clients) onClose(k *client) {
	k.writer.Stop()
	c.mu.Lock()
	delete(c.conns, k.id)
	c.mu.Unlock()
	c.events.closed(k.id)
}

// onRequest reads the input of a connection and passes its lines on.
func (c *clients) onRequest(ctx context.Context, nc netpoll.Connection) error {
	k, _ := ctx.Value(clientKey{}).(*client)
	r := nc.Reader()
	n := r.Len()
	if k == nil || k.closing.Load() {
		r.Skip(n)
		return r.Release()
	}
	b, err := r.Next(n)
	if err != nil {
		return err
	}
	list, partial, ok, readErr := k.parse(b)
	r.Release()
	if ok {
		c.events.received(k, list, readErr, partial)
	}
	return nil
}

// parse splits input into lines. It records withdrawn sessions at once, because the owner goroutine may be behind.
func (k *client) parse(b []byte) (list []viewers.Input, partial, ok bool, readErr error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unreadable {
		return nil, false, false, nil
	}
	k.unprocessed.Add(1)
	k.splitter.Feed(b)
	for {
		line, err := k.splitter.Next()
		if err != nil {
			readErr, k.unreadable = err, true
			break
		}
		if line == nil {
			break
		}
		var in viewers.Input
		in.Line, in.Err = wire.ParseLine(line)
		if in.Line.Msg == wire.LineClose && in.Line.Sid != 0 {
			if k.withdrawn == nil {
				k.withdrawn = map[uint64]bool{}
			}
			k.withdrawn[in.Line.Sid] = true
		}
		list = append(list, in)
	}
	return list, k.splitter.Partial(), true, readErr
}

// processed records that the owner goroutine has handled a result of parse.
func (k *client) processed(list []viewers.Input) {
	k.unprocessed.Add(-1)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, in := range list { // a later line about a session of this list may still be unprocessed
		if in.Line.Msg == wire.LineClose {
			delete(k.withdrawn, in.Line.Sid)
		}
	}
	if len(k.withdrawn) == 0 {
		k.withdrawn = nil
	}
}

// get returns an open connection, or nil.
func (c *clients) get(conn uint64) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn]
}

// inputDrained reports whether all input of a connection has been read and processed.
func (c *clients) inputDrained(conn uint64) bool {
	k := c.get(conn)
	if k == nil {
		return true
	}
	if k.unprocessed.Load() != 0 || k.conn.Reader().Len() != 0 {
		return false
	}
	_, unread := k.poll()
	return !unread
}

// poll reports the kernel's state of a connection, see transport.Poll.
func (k *client) poll() (closed, unread bool) {
	c, ok := k.conn.(netpoll.Conn)
	if !ok {
		return false, false
	}
	closed, unread = transport.Poll(c.Fd())
	// IsActive is called last: the descriptor can't have been reused while the connection is active.
	return closed || !k.conn.IsActive(), unread
}

// clientWaiting reports whether the client of a request is still connected and has not withdrawn it. It considers all
// input that has reached this machine: lines that were read but not processed by the owner goroutine, and unread
// bytes in the socket.
func (c *clients) clientWaiting(conn, session uint64) bool {
	k := c.get(conn)
	if k == nil || k.closing.Load() {
		return false
	}
	for i := 0; i < maxReaderYields && k.conn.Reader().Len() != 0; i++ {
		runtime.Gosched() // let the reader parse the bytes that it has
	}
	closed, unread := k.poll()
	if closed {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.withdrawn[session] {
		return false
	}
	if !unread {
		return true
	}
	if c.peekBuffer == nil {
		c.peekBuffer = make([]byte, wire.MaxMessage)
	}
	n := transport.Peek(k.conn.(netpoll.Conn).Fd(), c.peekBuffer)
	return !k.splitter.ContainsClose(c.peekBuffer[:n], session)
}

// send queues bytes without blocking the owner goroutine. The connection of a viewer that reads too slowly is closed.
func (c *clients) send(conn uint64, b []byte) {
	if k := c.get(conn); k != nil {
		k.writer.Send(b)
	}
}

// closeAfter sends the last bytes and closes the connection after a delay in which the viewer can read them.
func (c *clients) closeAfter(conn uint64, last []byte) {
	k := c.get(conn)
	if k == nil || k.closing.Swap(true) {
		return
	}
	if len(last) == 0 {
		k.writer.CloseAfterFlush()
		return
	}
	k.writer.Send(last)
	time.AfterFunc(closeDelay, k.writer.CloseAfterFlush)
}

// drained reports whether all output is written, all input is processed and no connection is waiting to be accepted.
func (c *clients) drained() bool {
	c.mu.Lock()
	all := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	for _, conn := range all {
		if k := c.get(conn); k != nil && (!k.writer.Idle() || !c.inputDrained(conn)) {
			return false
		}
	}
	_, pendingAccept := transport.Poll(c.listener.Fd())
	return !pendingAccept
}

// close closes all connections once their output is written and stops the event loop.
func (c *clients) close(ctx context.Context) {
	c.mu.Lock()
	all := make([]*client, 0, len(c.conns))
	for _, k := range c.conns {
		all = append(all, k)
	}
	c.mu.Unlock()
	for _, k := range all {
		k.writer.CloseAfterFlush()
	}
	c.loop.Shutdown(ctx)
}

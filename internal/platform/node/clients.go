package node

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tealledge/internal/transport"
)

// clients holds the connections from viewers.
type clients struct {
	events   clientEvents
	listener *net.TCPListener
	readers  sync.WaitGroup
	gate     *inputGate
	output   *transport.QueueBudget
	// maxQueuedBytes is the limit on unwritten bytes of all connections, and so of one.
	maxQueuedBytes int

	mu          sync.Mutex
	conns       map[uint64]*client
	closed      bool // no more connections are added
	lastID      atomic.Uint64
	openConns   atomic.Int64 // accepted connections whose descriptor is open
	maxConns    atomic.Int64 // limit of openConns; 0: no limit
	rejected    atomic.Uint64
	slotFreed   chan struct{} // holds an item if a connection has closed since the last receive
	slotTimeout time.Duration // how long a connection past the limit waits for another one to close
	slotWaits   atomic.Int64  // number of waits for a slot
	peekBuffer  []byte        // used by the owner goroutine only
}

// clientEvents receives the events of viewers' connections. Its methods are called from many goroutines.
type clientEvents interface {
	accepted(conn uint64, host netip.Addr)
	received(k *client, input clientInput)
	closed(conn uint64, cause transport.CloseCause)
}

// Limits and durations of writing to viewers.
const (
	// fairQueueBytes is the number of unwritten bytes for which no connection is closed while those of all are over their
	// limit.
	fairQueueBytes = 4 << 10
	// clientWriteTimeout: the connection of a viewer that reads nothing for this long is closed. By then nobody waits for
	// the answers in it; the system gives such connections up as well (see transport.DialTCP).
	clientWriteTimeout = 5 * time.Second
	// closeDelay is the time from the last bytes to the close: a close at once, with unread input, would discard them.
	closeDelay = 150 * time.Millisecond
)

// get returns an open connection, or nil.
func (c *clients) get(conn uint64) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn]
}

// all returns the open connections.
func (c *clients) all() []*client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.conns))
}

// inputDrained reports whether all input of a connection has been read and processed.
func (c *clients) inputDrained(conn uint64) bool {
	k := c.get(conn)
	return k == nil || k.inputDrained()
}

// outputArrived reports whether all output of a connection has been written and has arrived at the client's machine, as far
// as is known.
func (c *clients) outputArrived(conn uint64) bool {
	k := c.get(conn)
	return k == nil || k.writer.Idle() && k.unsentBytes() == 0
}

// backlogBytes is the length of unread input past which the peer's system may hold back the rest, and the end of the
// connection behind it.
const backlogBytes = 32 << 10

// backlogged reports whether a connection has so much unread input that its end may not have arrived here, while it is
// read slowly because others wait.
func (c *clients) backlogged(conn uint64) bool {
	return c.gate.contended() && c.pendingBytes(conn) >= backlogBytes
}

// pendingBytes returns the number of bytes of a connection that have arrived and are not processed.
func (c *clients) pendingBytes(conn uint64) int {
	k := c.get(conn)
	if k == nil {
		return 0
	}
	unread := 0
	k.raw.Control(func(fd uintptr) { unread, _ = transport.UnreadBytes(int(fd)) })
	return k.window.Unprocessed() + unread
}

// clientWaiting reports whether the client of a request is still connected and has not withdrawn it. It considers all
// input that has reached this machine: lines that were read but not processed by the owner goroutine, and unread
// bytes in the socket.
func (c *clients) clientWaiting(conn, session uint64) bool {
	k := c.get(conn)
	if k == nil || k.closing.Load() {
		return false
	}
	if c.peekBuffer == nil {
		c.peekBuffer = make([]byte, maxPeekBytes)
	}
	return k.waitsFor(session, c.peekBuffer)
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
	if k == nil || !k.dropInput() {
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
	for _, k := range c.all() {
		if !k.writer.Idle() || !k.inputDrained() {
			return false
		}
	}
	return !c.acceptPending()
}

// stopListening closes the listener. Connections that were accepted stay open.
func (c *clients) stopListening() { c.listener.Close() }

// close closes the listener, and all connections once their output is written or ctx has ended.
func (c *clients) close(ctx context.Context) {
	c.stopListening()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, k := range c.all() {
		k.dropInput()
		k.writer.CloseAfterFlush()
	}
	ended := make(chan struct{})
	go func() {
		c.readers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	for _, k := range c.all() {
		k.writer.Close()
	}
	<-ended
}

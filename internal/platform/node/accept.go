package node

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"tealledge/decide/intake"
	"tealledge/internal/platform/wire"
	"tealledge/internal/transport"
)

// Connections from viewers: accepted up to a limit.

// Durations of listening and accepting.
const (
	// slotWaitTimeout is enough for the owner to close a connection, unless none can be closed or the owner gets no
	// core.
	slotWaitTimeout     = 20 * time.Millisecond
	slotBackoffFactor   = 5               // after a wait that timed out, none is started for this many times slotTimeout
	listenTimeout       = 3 * time.Second // for an address that is in use at start
	listenRetryInterval = 10 * time.Millisecond
	acceptRetryInterval = 10 * time.Millisecond // after a failure, such as a lack of descriptors
)

// listen creates a listener for viewers' connections, which queue at most maxQueuedBytes together. They are accepted once
// serve is called.
func listen(addr string, maxQueuedBytes int, events clientEvents) (*clients, error) {
	ln, err := listenWithRetry(addr)
	if err != nil {
		return nil, err
	}
	return &clients{events: events, listener: ln.(*net.TCPListener), conns: map[uint64]*client{},
		gate: newInputGate(), maxQueuedBytes: maxQueuedBytes,
		output:    transport.NewQueueBudget(maxQueuedBytes, fairQueueBytes),
		slotFreed: make(chan struct{}, 1), slotTimeout: slotWaitTimeout}, nil
}

// listenWithRetry listens at an address and retries while the address is in use: a front that restarts while its
// previous process is still exiting would otherwise fail to start. If another program holds the address, the error is
// returned only after listenTimeout.
func listenWithRetry(addr string) (ln net.Listener, err error) {
	for startedAt := time.Now(); ; time.Sleep(listenRetryInterval) {
		if ln, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) ||
			time.Since(startedAt) >= listenTimeout {
			return ln, err
		}
	}
}

// serve accepts connections until the listener is closed.
func (c *clients) serve() error {
	var noWaitUntil time.Time
	for {
		conn, err := c.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if c.full() && !time.Now().Before(noWaitUntil) && !c.waitForSlot() {
			noWaitUntil = time.Now().Add(slotBackoffFactor * c.slotTimeout)
		}
		if c.full() {
			c.rejected.Add(1)
			conn.Close()
			continue
		}
		c.open(conn)
	}
}

// full reports whether the limit is reached.
func (c *clients) full() bool {
	maxConns := c.maxConns.Load()
	return maxConns > 0 && c.openConns.Load() >= maxConns
}

// waitForSlot waits until the owner goroutine has closed a connection, and reports whether it did within slotTimeout.
//
// The owner closes connections past its own limit, but it may be busy, and a flood would meanwhile use the descriptors
// reserved for servers and the list. Without the wait, a regular viewer that connects during the flood would get no
// answer, though most of the other connections are silent and the owner would close them in its favour. In a flood of
// viewers that all have open requests, a new connection is closed.
func (c *clients) waitForSlot() bool {
	c.slotWaits.Add(1)
	timer := time.NewTimer(c.slotTimeout)
	defer timer.Stop()
	for c.full() {
		select {
		case <-c.slotFreed:
		case <-timer.C:
			return false
		}
	}
	return true
}

// open registers a connection and starts its reader.
func (c *clients) open(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return
	}
	transport.SetTCPOptions(raw)
	k := &client{id: c.lastID.Add(1), conn: conn, raw: raw,
		writer: transport.NewWriter(conn, c.maxQueuedBytes, clientWriteTimeout),
		window: transport.NewWindow(maxBurstBytes), gate: c.gate, dropping: make(chan struct{}),
		splitter: wire.NewSplitter(wire.MaxMessage)}
	k.standing.Store(uint32(intake.Unknown))
	k.writer.ShareBudget(c.output)
	if !c.add(k) {
		conn.Close()
		return
	}
	c.events.accepted(k.id, hostOf(conn)) // before its closed event
	go func() {
		defer c.readers.Done()
		c.readAll(k)
		c.remove(k)
	}()
}

// hostOf returns the address of the client's host.
func hostOf(conn *net.TCPConn) netip.Addr {
	if addr, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return addr.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// add adds a connection, whose reader is about to start. It returns false if all connections are being closed.
func (c *clients) add(k *client) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.conns[k.id] = k
	c.openConns.Add(1)
	c.readers.Add(1)
	return true
}

// remove closes a connection that its reader has read to the end.
func (c *clients) remove(k *client) {
	k.writer.Stop()
	k.conn.Close()
	c.mu.Lock()
	delete(c.conns, k.id)
	c.mu.Unlock()
	c.events.closed(k.id, k.writer.CloseCause())
	c.openConns.Add(-1)
	select {
	case c.slotFreed <- struct{}{}:
	default:
	}
}

// acceptPending reports whether a connection waits to be accepted.
func (c *clients) acceptPending() bool {
	raw, err := c.listener.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	raw.Control(func(fd uintptr) { _, pending = transport.Poll(int(fd)) })
	return pending
}

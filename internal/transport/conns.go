package transport

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Conns holds the connections that this side dials, by numbers chosen by the caller.
type Conns struct {
	maxQueuedBytes      int
	writeTimeout        time.Duration
	maxUnprocessedBytes int // 0: no limit
	mu                  sync.Mutex
	writers             map[uint64]*Writer
	windows             map[uint64]*Window // empty without maxUnprocessedBytes
	closed              bool
	running             sync.WaitGroup
}

// Handler receives the events of a connection: either Failed alone, or Connected, then Read any number of times, then
// Closed once. Its functions are called from other goroutines, one at a time, and may block.
type Handler struct {
	Connected func()
	Failed    func(error)
	Read      func(b []byte)         // b is valid until Read returns
	Closed    func(submitted uint64) // submitted: see Writer.Stop
}

// NewConns returns an empty set. Each connection queues at most maxQueuedBytes and is closed if its peer accepts
// nothing for writeTimeout.
func NewConns(maxQueuedBytes int, writeTimeout time.Duration) *Conns {
	return &Conns{maxQueuedBytes: maxQueuedBytes, writeTimeout: writeTimeout, writers: map[uint64]*Writer{},
		windows: map[uint64]*Window{}}
}

// LimitUnprocessed lets each connection be read only while at most maxBytes of it were given to Handler.Read and not
// yet to Processed. It is called before the first Dial.
func (s *Conns) LimitUnprocessed(maxBytes int) { s.maxUnprocessedBytes = maxBytes }

// Processed counts bytes of a connection as processed, see LimitUnprocessed.
func (s *Conns) Processed(conn uint64, bytes int) {
	s.mu.Lock()
	w := s.windows[conn]
	s.mu.Unlock()
	if w != nil {
		w.Done(bytes)
	}
}

// Dial opens a connection in its own goroutine.
func (s *Conns) Dial(conn uint64, connect func() (net.Conn, error), h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.running.Add(1)
		go s.run(conn, connect, h)
	}
}

// run opens a connection and reads it until it closes.
func (s *Conns) run(conn uint64, connect func() (net.Conn, error), h Handler) {
	defer s.running.Done()
	c, err := connect()
	if err != nil {
		h.Failed(err)
		return
	}
	w := NewWriter(c, s.maxQueuedBytes, s.writeTimeout)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		w.Close()
		return
	}
	s.writers[conn] = w
	var window *Window
	if s.maxUnprocessedBytes > 0 {
		window = NewWindow(s.maxUnprocessedBytes)
		s.windows[conn] = window
	}
	s.mu.Unlock()
	h.Connected() // before any other event
	readAll(c, window, h.Read)
	s.mu.Lock()
	delete(s.writers, conn)
	delete(s.windows, conn)
	s.mu.Unlock()
	submitted := w.Stop()
	c.Close()
	h.Closed(submitted)
}

// readAll reads a connection until it ends, while its window, if it has one, has room.
func readAll(c net.Conn, window *Window, received func(b []byte)) {
	b := make([]byte, readBufferBytes)
	for {
		if window != nil {
			window.Wait(len(b))
		}
		n, err := c.Read(b)
		if n > 0 {
			if window != nil {
				window.Add(n)
			}
			received(b[:n])
		}
		if err != nil {
			return
		}
	}
}

// readBufferBytes is the size of the read buffer that each open connection keeps.
const readBufferBytes = 4 << 10

// OnClose calls closed when a connection has closed, by either side and after all its input was read. netpoll's
// OnDisconnect is called before that: the last messages of a player would arrive after the event that it has left.
func OnClose(c netpoll.Connection, closed func()) {
	c.AddCloseCallback(func(netpoll.Connection) error {
		closed()
		return nil
	})
}

// writer returns the writer of an open connection, or nil.
func (s *Conns) writer(conn uint64) *Writer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writers[conn]
}

// Send queues bytes, see Writer.Send. Bytes for a closed connection are dropped.
func (s *Conns) Send(conn uint64, b []byte) {
	if w := s.writer(conn); w != nil {
		w.Send(b)
	}
}

// SendInline writes on the calling goroutine, see Writer.SendInline: bytes for one peer have left before the next
// peer is sent any.
func (s *Conns) SendInline(conn uint64, b []byte) {
	if w := s.writer(conn); w != nil {
		w.SendInline(b)
	}
}

// CloseWriteAfterFlush closes the write side, see Writer.CloseWriteAfterFlush: bytes on their way here are still read.
func (s *Conns) CloseWriteAfterFlush(conn uint64) {
	if w := s.writer(conn); w != nil {
		w.CloseWriteAfterFlush()
	}
}

// CloseConn closes one connection at once.
func (s *Conns) CloseConn(conn uint64) {
	s.mu.Lock()
	w, window := s.writers[conn], s.windows[conn]
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
	if window != nil {
		window.Close()
	}
}

// Close closes each connection once its queue is written. It waits until all have closed and no dial is in progress.
func (s *Conns) Close() {
	s.mu.Lock()
	s.closed = true
	all := make([]*Writer, 0, len(s.writers))
	for _, w := range s.writers {
		all = append(all, w)
	}
	for _, window := range s.windows {
		window.Close()
	}
	s.mu.Unlock()
	for _, w := range all {
		w.CloseAfterFlush()
	}
	s.running.Wait()
}

// DialTCP opens a TCP connection with a single connect and returns the system's error, because a refused connect and
// an unanswered one prove different things. An established connection is never dropped unread, however soon the peer
// closes it: the peer may send pending messages on the next connection that it accepts. netpoll's dial closes a
// connection unread if it has closed by the time netpoll checks it, and does not tell these errors apart.
func DialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { setTCPOptions(int(fd)) })
	}}
	return d.Dial("tcp", addr)
}

// userTimeout bounds how long written bytes may stay unacknowledged (TCP_USER_TIMEOUT). Without it, a peer that
// vanished without closing is noticed only after many minutes of retransmission. A longer network outage therefore
// closes the connection, and its streams are verified on a new one.
const userTimeout = 5 * time.Second

// Settings of the kernel's TCP keep-alive probes, for connections on which neither side sends.
const (
	keepAliveIdleSeconds     = 20
	keepAliveIntervalSeconds = 5
	keepAliveProbes          = 3
)

// SetTCPOptions sets the socket options of a TCP connection for small messages that a peer waits for: none is delayed
// to be joined with the next (TCP_NODELAY), and dead peers are detected.
func SetTCPOptions(conn syscall.RawConn) {
	conn.Control(func(fd uintptr) { setTCPOptions(int(fd)) })
}

func setTCPOptions(fd int) {
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepAliveIdleSeconds)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepAliveIntervalSeconds)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveProbes)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
}

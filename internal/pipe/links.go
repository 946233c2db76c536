package pipe

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Links holds connections that this side opens, by numbers that the caller gives.
type Links struct {
	most   int
	wait   time.Duration
	mu     sync.Mutex
	pipes  map[uint64]*Pipe
	closed bool
	dials  sync.WaitGroup
}

// Handler takes what a connection brings: Failed alone, or Connected, then Read any number of times, then Lost once.
// They are called from other goroutines, one at a time, and may wait.
type Handler struct {
	Connected func()
	Failed    func(error)
	Read      func(b []byte) // good until it returns
	Lost      func(begun uint64)
}

// NewLinks makes an empty set: most bytes may wait on a connection, and a peer may take nothing for wait.
func NewLinks(most int, wait time.Duration) *Links {
	return &Links{most: most, wait: wait, pipes: map[uint64]*Pipe{}}
}

// Dial opens a connection without holding anyone up.
func (l *Links) Dial(conn uint64, connect func() (net.Conn, error), h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.dials.Add(1)
		go l.carry(conn, connect, h)
	}
}

// carry opens a connection and reads it to its end.
func (l *Links) carry(conn uint64, connect func() (net.Conn, error), h Handler) {
	defer l.dials.Done()
	c, err := connect()
	if err != nil {
		h.Failed(err)
		return
	}
	p := New(c, l.most, l.wait)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.Close()
		return
	}
	l.pipes[conn] = p
	l.mu.Unlock()
	h.Connected() // before anything else
	b := make([]byte, readMost)
	for err == nil {
		var n int
		if n, err = c.Read(b); n > 0 {
			h.Read(b[:n])
		}
	}
	l.mu.Lock()
	delete(l.pipes, conn)
	l.mu.Unlock()
	begun := p.Stop()
	c.Close()
	h.Lost(begun)
}

// readMost is what is read of a connection at a time; each that stands keeps room for it.
const readMost = 4 << 10

// OnEnd has gone called at the end of a connection, whichever side ends it and after all that came on it was read.
// netpoll's OnDisconnect comes before that: a player's last words would follow the word that it is gone.
func OnEnd(c netpoll.Connection, gone func()) {
	c.AddCloseCallback(func(netpoll.Connection) error {
		gone()
		return nil
	})
}

func (l *Links) pipe(conn uint64) *Pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pipes[conn]
}

// Send queues bytes, see Pipe.Send. To a connection that is gone they are dropped.
func (l *Links) Send(conn uint64, b []byte) {
	if p := l.pipe(conn); p != nil {
		p.Send(b)
	}
}

// SendHere writes here and now, see Pipe.SendHere: what is told to one peer has left before another is told the next.
func (l *Links) SendHere(conn uint64, b []byte) {
	if p := l.pipe(conn); p != nil {
		p.SendHere(b)
	}
}

// EndWrites ends this side's writing, see Pipe.EndWrites: what is on its way here is read.
func (l *Links) EndWrites(conn uint64) {
	if p := l.pipe(conn); p != nil {
		p.EndWrites()
	}
}

// Shut closes a connection at once.
func (l *Links) Shut(conn uint64) {
	if p := l.pipe(conn); p != nil {
		p.Close()
	}
}

// Close closes all connections, once what waits on them is written, and waits for their ends and for dials under way.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	all := make([]*Pipe, 0, len(l.pipes))
	for _, p := range l.pipes {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		p.Finish()
	}
	l.dials.Wait()
}

// DialTCP opens a TCP connection, by one connect whose error is the system's: a refused connect and one that nobody
// answers prove different things. Danger: a peer may have words for the next connection that it is given, and says them
// there; one that stands is therefore never thrown away, however soon it ends (netpoll's dial closes one that has ended
// by the time it looks, unread, and tells nothing apart).
func DialTCP(addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { tune(int(fd)) })
	}}
	return d.Dial("tcp", addr)
}

// userTimeout bounds how long written bytes may stay unacknowledged (TCP_USER_TIMEOUT): without it a peer that vanished
// without a word is noticed after many minutes of retransmission. Harm: a network away for longer costs the connection;
// its streams are looked for on a new one.
const userTimeout = 5 * time.Second

// keep-alive probes of the kernel, for connections on which neither side says anything.
const (
	probeIdle  = 20 // seconds
	probeEvery = 5
	probeCount = 3
)

// Tune sets a TCP connection up for small messages, each waited for: never held back to be joined with the next
// (TCP_NODELAY). Other connections stay as they are.
func Tune(conn netpoll.Connection) {
	if c, ok := conn.(netpoll.Conn); ok {
		tune(c.Fd())
	}
}

func tune(fd int) {
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, probeIdle)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, probeEvery)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, probeCount)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
}

package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"tealledge/internal/pipe"
)

// links holds the connections that this front opens: to servers, and to the journal service.
type links struct {
	events linkEvents
	write  time.Duration
	mu     sync.Mutex
	pipes  map[uint64]*pipe.Pipe
	dials  sync.WaitGroup
	closed bool
}

// linkEvents takes what connections bring. Its methods are called from many goroutines; they may wait.
type linkEvents interface {
	connected(conn uint64)
	dialFailed(conn uint64, refused bool)
	received(conn uint64, b []byte)
	lost(conn uint64, begun uint64)
}

const (
	linkBytes   = 256 << 10              // that may wait on one connection
	linkWrite   = 100 * time.Millisecond // a peer that takes nothing for so long loses its connection
	userTimeout = 4000                   // ms that written bytes may stay unacknowledged (TCP_USER_TIMEOUT)
)

func newLinks(events linkEvents) *links {
	return &links{events: events, write: linkWrite, pipes: map[uint64]*pipe.Pipe{}}
}

// dial opens a connection without holding anyone up.
func (l *links) dial(conn uint64, addr string, within time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.dials.Add(1)
	go l.open(conn, addr, within)
}

func (l *links) open(conn uint64, addr string, within time.Duration) {
	defer l.dials.Done()
	c, err := netpoll.DialConnection("tcp", addr, within)
	if err != nil {
		l.events.dialFailed(conn, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	tune(c)
	p := pipe.New(c, linkBytes, l.write)
	read := func(c netpoll.Connection) error {
		b, err := c.Reader().Next(c.Reader().Len())
		if err != nil {
			return err
		}
		out := append([]byte(nil), b...)
		c.Reader().Release()
		l.events.received(conn, out)
		return nil
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.Close()
		return
	}
	l.pipes[conn] = p
	l.mu.Unlock()
	l.events.connected(conn) // before any lost, and any received
	gone := sync.OnceFunc(func() {
		l.mu.Lock()
		delete(l.pipes, conn)
		l.mu.Unlock()
		l.events.lost(conn, p.Stop())
	})
	c.AddCloseCallback(func(c netpoll.Connection) error {
		// Danger: what came together with the end of the connection is left unread: an answer, or the word that a set-up
		// never ran. Nothing else reads now: netpoll calls this after the reader.
		if c.Reader().Len() > 0 {
			read(c)
		}
		gone()
		return nil
	})
	c.SetOnRequest(func(_ context.Context, c netpoll.Connection) error { return read(c) })
	if !c.IsActive() { // it closed before the callback was set
		gone()
	}
}

// tune sets a connection up for small messages, each waited for.
func tune(c netpoll.Connection) {
	nc, ok := c.(netpoll.Conn)
	if !ok {
		return
	}
	fd := nc.Fd()
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
}

// send writes here and now: what is told to one server must have left before another is told the next.
func (l *links) send(conn uint64, b []byte) {
	l.mu.Lock()
	p := l.pipes[conn]
	l.mu.Unlock()
	if p != nil {
		p.SendHere(b)
	}
}

func (l *links) shut(conn uint64) {
	l.mu.Lock()
	p := l.pipes[conn]
	l.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	all := make([]*pipe.Pipe, 0, len(l.pipes))
	for _, p := range l.pipes {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		p.Close()
	}
	l.dials.Wait()
}

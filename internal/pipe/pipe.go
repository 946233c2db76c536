// Package pipe writes to a connection without ever holding up the caller. Bytes wait in a bounded buffer;
// a goroutine lives only while there is something to write. It keeps an upper bound of what was handed to the
// kernel, which tells a set-up that provably never left this machine from one that may have run.
package pipe

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection of the standard library, or netpoll's.
type Conn interface {
	io.Writer
	io.Closer
}

// Pipe is the way out of one connection.
type Pipe struct {
	conn   Conn
	raw    syscall.RawConn // of a connection of the standard library; nil: of netpoll's
	wait   time.Duration   // for a write that the system does not take at once
	most   int
	begun  atomic.Uint64
	mu     sync.Mutex
	buf    []byte
	spare  []byte
	active bool // a goroutine writes
	last   bool // close when all is written
	half   bool // end the writing side when all is written
	dead   bool
}

// New makes a pipe that holds at most so many bytes; a write that the peer does not take within wait closes the
// connection.
func New(conn Conn, most int, wait time.Duration) *Pipe {
	p := &Pipe{conn: conn, most: most, wait: wait}
	switch c := conn.(type) {
	case interface{ SetWriteTimeout(time.Duration) error }:
		c.SetWriteTimeout(wait)
	case syscall.Conn:
		p.raw, _ = c.SyscallConn()
	}
	return p
}

// Send queues bytes. It gives false, and closes the connection, if more wait than the pipe holds: the peer reads
// too slowly, or not at all.
func (p *Pipe) Send(b []byte) bool {
	start, ok := p.queue(b)
	if start {
		go p.write()
	}
	return ok
}

// SendHere is Send by the connection's own reader, which may be held up: it writes itself if nobody else does.
func (p *Pipe) SendHere(b []byte) bool {
	start, ok := p.queue(b)
	if start {
		p.write()
	}
	return ok
}

// queue adds bytes to what waits; start tells that the caller is to have it written.
func (p *Pipe) queue(b []byte) (start, ok bool) {
	p.mu.Lock()
	if p.dead || p.last || p.half {
		p.mu.Unlock()
		return false, false
	}
	if len(p.buf)+len(b) > p.most {
		p.dead, p.buf = true, nil
		p.mu.Unlock()
		p.conn.Close()
		return false, false
	}
	p.buf = append(p.buf, b...)
	start = !p.active
	p.active = true
	p.mu.Unlock()
	return start, true
}

// Finish closes the connection when all that waits is written.
func (p *Pipe) Finish() {
	p.mu.Lock()
	p.last = true
	idle := !p.active && !p.dead
	p.mu.Unlock()
	if idle {
		p.conn.Close()
	}
}

// EndWrites ends the writing side when all that waits is written; what the peer says is read until it ends its own.
func (p *Pipe) EndWrites() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.half && !p.active && !p.dead {
		p.shutdown()
	}
	p.half = true
}

// shutdown ends the writing side. An error tells of a connection that has ended: its reader hears of it.
func (p *Pipe) shutdown() {
	if c, ok := p.conn.(interface{ CloseWrite() error }); ok {
		c.CloseWrite()
	}
}

// Close closes the connection at once.
func (p *Pipe) Close() {
	p.mu.Lock()
	p.dead, p.buf = true, nil
	p.mu.Unlock()
	p.conn.Close()
}

// Idle tells whether all that was to be sent is in the system's hands, or lost.
func (p *Pipe) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead || !p.active && len(p.buf) == 0
}

// Begun gives an upper bound of the bytes handed to the kernel: what lies past it never left.
func (p *Pipe) Begun() uint64 { return p.begun.Load() }

// spareMost is the largest buffer that an idle pipe keeps.
const spareMost = 4 << 10

func (p *Pipe) write() {
	for {
		p.mu.Lock()
		if p.dead || len(p.buf) == 0 {
			p.active = false
			finish := p.last && !p.dead
			if p.half && !p.dead {
				p.shutdown()
			}
			p.dead = p.dead || p.last
			p.mu.Unlock()
			if finish {
				p.conn.Close()
			}
			return
		}
		b := p.buf
		p.buf, p.spare = p.spare[:0], nil
		p.begun.Add(uint64(len(b))) // under the lock: nothing is written that Begun does not count
		p.mu.Unlock()
		err := p.put(b)
		p.mu.Lock()
		if cap(b) <= spareMost {
			p.spare = b
		}
		p.mu.Unlock()
		if err != nil {
			p.Close()
		}
	}
}

// put writes bytes, waiting for the peer only if the system takes no more of them. Danger: a deadline set before a write may
// be over by the time that it begins, on a core that stands still for a moment; it then fails untried, and the connection is
// lost with all that is open on it.
func (p *Pipe) put(b []byte) error {
	if p.raw == nil { // netpoll's writes so itself; unlike its Writer, Write may race with the connection's end
		_, err := p.conn.Write(b)
		return err
	}
	var n int
	var err error
	if gone := p.raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true
	}); gone != nil {
		return gone
	}
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		n = 0
	case err != nil:
		return err
	case n == len(b):
		return nil
	}
	c := p.conn.(net.Conn)
	c.SetWriteDeadline(time.Now().Add(p.wait))
	defer c.SetWriteDeadline(time.Time{})
	_, err = c.Write(b[n:])
	return err
}

// Stop ends the pipe, without closing the connection, and gives the final Begun: nothing is handed over after it.
func (p *Pipe) Stop() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead, p.buf = true, nil
	return p.begun.Load()
}

// Package pipe writes to a connection without ever holding up the caller. Bytes wait in a bounded buffer;
// a goroutine lives only while there is something to write. It keeps an upper bound of what was handed to the
// kernel, which tells a set-up that provably never left this machine from one that may have run.
package pipe

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
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
	wait   time.Duration // for a write; 0: the connection keeps it itself
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
	p := &Pipe{conn: conn, most: most}
	if c, ok := conn.(interface{ SetWriteTimeout(time.Duration) error }); ok { // netpoll's, where deadlines of writes have no form
		c.SetWriteTimeout(wait)
	} else {
		p.wait = wait
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
		if c, ok := p.conn.(net.Conn); ok && p.wait > 0 {
			c.SetWriteDeadline(time.Now().Add(p.wait))
		}
		_, err := p.conn.Write(b) // unlike its Writer, it may race with the connection's end
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

// Stop ends the pipe, without closing the connection, and gives the final Begun: nothing is handed over after it.
func (p *Pipe) Stop() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead, p.buf = true, nil
	return p.begun.Load()
}

// Package pipe writes to a netpoll connection without ever holding up the caller. Bytes wait in a bounded buffer;
// a goroutine lives only while there is something to write. It keeps an upper bound of what was handed to the
// kernel, which tells a set-up that provably never left this machine from one that may have run.
package pipe

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
)

// Pipe is the way out of one connection.
type Pipe struct {
	conn   netpoll.Connection
	most   int
	begun  atomic.Uint64
	mu     sync.Mutex
	buf    []byte
	spare  []byte
	active bool // a goroutine writes
	last   bool // close when all is written
	dead   bool
}

// New makes a pipe that holds at most so many bytes; a write that the peer does not take within wait closes the
// connection.
func New(conn netpoll.Connection, most int, wait time.Duration) *Pipe {
	conn.SetWriteTimeout(wait)
	return &Pipe{conn: conn, most: most}
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
	if p.dead || p.last {
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

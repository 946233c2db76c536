// Package media carries the connections to the media servers on netpoll: it dials, reads whole RTSP messages and
// writes without holding anyone up. What is said on them is internal/exchange's matter.
package media

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"tealledge/internal/exchange"
	"tealledge/internal/pipe"
	"tealledge/internal/rtsp"
)

// Sink takes what the connections bring. Its methods are called from many goroutines; they may wait.
type Sink interface {
	Connected(server uint32, conn uint64)
	DialFailed(server uint32, conn uint64, err error)
	Received(server uint32, conn uint64, list []*rtsp.Message)
	Lost(server uint32, conn uint64, begun uint64)
}

// Links holds the connections.
type Links struct {
	sink             Sink
	wait, writeWait  time.Duration
	most             int
	mu               sync.Mutex
	links            map[uint64]*pipe.Pipe
	closed           bool
	dials            sync.WaitGroup
	Dialed, Failures int // guarded by mu
}

// New makes an empty set: a dial may take wait, a write writeWait, and most bytes may wait on one connection.
func New(sink Sink, wait, writeWait time.Duration, most int) *Links {
	return &Links{sink: sink, wait: wait, writeWait: writeWait, most: most, links: map[uint64]*pipe.Pipe{}}
}

// Do carries out an act of the desk. It never waits.
func (l *Links) Do(a exchange.Act) {
	if a.Dial != "" {
		l.mu.Lock()
		if !l.closed {
			l.Dialed++
			l.dials.Add(1)
			go l.dial(a)
		}
		l.mu.Unlock()
		return
	}
	l.mu.Lock()
	p := l.links[a.Conn]
	l.mu.Unlock()
	switch {
	case p == nil:
	case a.Close:
		p.Close()
	default:
		p.Send(a.Bytes)
	}
}

func (l *Links) dial(a exchange.Act) {
	defer l.dials.Done()
	conn, err := connect(a.Dial, min(l.wait, time.Duration(a.Within)))
	if err != nil {
		l.mu.Lock()
		l.Failures++
		l.mu.Unlock()
		l.sink.DialFailed(a.Server, a.Conn, err)
		return
	}
	p := pipe.New(conn, l.most, l.writeWait)
	var d rtsp.Decoder
	conn.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
		b, err := c.Reader().Next(c.Reader().Len())
		if err != nil {
			return err
		}
		d.Feed(b)
		c.Reader().Release()
		var list []*rtsp.Message
		for {
			m, err := d.Next()
			if err != nil { // what follows can't be told apart: the connection is of no more use
				p.Close()
				break
			}
			if m == nil {
				break
			}
			list = append(list, m)
		}
		if len(list) > 0 {
			l.sink.Received(a.Server, a.Conn, list)
		}
		return nil
	})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.Close()
		return
	}
	l.links[a.Conn] = p
	l.mu.Unlock()
	l.sink.Connected(a.Server, a.Conn) // before any Lost
	conn.AddCloseCallback(func(netpoll.Connection) error {
		l.mu.Lock()
		delete(l.links, a.Conn)
		l.mu.Unlock()
		l.sink.Lost(a.Server, a.Conn, p.Stop())
		return nil
	})
	if !conn.IsActive() { // it closed before the callback was set; a second Lost is ignored
		l.mu.Lock()
		delete(l.links, a.Conn)
		l.mu.Unlock()
		l.sink.Lost(a.Server, a.Conn, p.Stop())
	}
}

// Dials tells how many connections were tried.
func (l *Links) Dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Dialed
}

// Close closes all connections, once what waits on them is written, and waits for dials under way.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	var all []*pipe.Pipe
	for _, p := range l.links {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		p.Finish()
	}
	l.dials.Wait()
}

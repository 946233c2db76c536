package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/standin/platformsim"
)

// dialer returns a function that dials an address with a timeout of a second.
func dialer(addr string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return DialTCP(addr, time.Second) }
}

// A peer may write and close at once, as a server does that sends its pending messages on the next connection it
// accepts and nowhere else. All its bytes are read before the close is reported, and the close is reported once.
func TestReadsAllBytesBeforeReportingClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent := bytes.Repeat([]byte("last bytes"), 100)
	var acceptedConns atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			acceptedConns.Add(1)
			c.Write(sent)
			c.Close()
		}
	}()
	conns := NewConns(1<<16, time.Second)
	defer conns.Close()
	for conn := range uint64(200) {
		var got []byte
		var closes atomic.Int32
		done := make(chan struct{})
		conns.Dial(conn, dialer(ln.Addr().String()), Handler{Connected: func() { time.Sleep(time.Millisecond) },
			Failed: func(err error) { t.Error(err); close(done) }, Read: func(b []byte) { got = append(got, b...) },
			Closed: func(uint64) {
				if closes.Add(1) == 1 {
					close(done)
				}
			}})
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("close not reported")
		}
		if !bytes.Equal(got, sent) || closes.Load() != 1 {
			t.Errorf("connection %d: read %d of %d bytes, close reported %d times", conn, len(got), len(sent),
				closes.Load())
		}
	}
	if acceptedConns.Load() != 200 {
		t.Errorf("%d connections accepted for 200 dials", acceptedConns.Load())
	}
}

// The connection of a peer that reads nothing is closed, whether bytes are sent queued or inline. A refused connect is
// reported as failed.
func TestClosesConnectionOfPeerThatReadsNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for name, send := range map[string]func(*Conns, uint64, []byte){"queued": (*Conns).Send,
		"inline": (*Conns).SendInline} {
		conns := NewConns(1<<16, 50*time.Millisecond)
		connected, closed, everQueued := make(chan struct{}), make(chan uint64, 1), false
		conns.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() { close(connected) },
			Failed: func(err error) { t.Error(err) },
			Read:   func([]byte) {}, Closed: func(submitted uint64) { closed <- submitted }})
		<-connected
		sent := uint64(0)
		w := conns.writer(1)
		if !w.Idle() {
			t.Errorf("%s: not idle before the first send", name)
		}
		for deadline := time.Now().Add(10 * time.Second); ; {
			send(conns, 1, make([]byte, 32<<10))
			everQueued = everQueued || !w.Idle()
			sent += 32 << 10
			select {
			case submitted := <-closed:
				if submitted > sent {
					t.Errorf("%s: %d bytes submitted of %d sent", name, submitted, sent)
				}
			default:
				if time.Now().Before(deadline) {
					continue
				}
				t.Errorf("%s: the connection stays open", name)
			}
			break
		}
		if !everQueued && name == "queued" {
			t.Error("idle although the peer accepts no bytes")
		}
		conns.Close()
	}
	addr := ln.Addr().String()
	ln.Close()
	conns := NewConns(1<<16, time.Second)
	failed := make(chan error, 1)
	conns.Dial(1, dialer(addr), Handler{Connected: func() { t.Error("connected") },
		Failed: func(err error) { failed <- err }})
	if err := <-failed; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("dial of a closed port:", err)
	}
	conns.Close()
}

// A connect that is not answered is reported as a timeout, unlike a refused one.
func TestDialTimeoutIsReportedAsTimeout(t *testing.T) {
	addr, done, err := platformsim.UnansweredListener()
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	startedAt := time.Now()
	_, err = DialTCP(addr, 100*time.Millisecond)
	var timeout net.Error
	if d := time.Since(startedAt); !errors.As(err, &timeout) || !timeout.Timeout() || d > 2*time.Second {
		t.Errorf("error %v after %v, want a timeout", err, d)
	}
}

// A half-close is sent after all queued bytes, and the peer's bytes are read until the peer closes too.
func TestHalfCloseFlushesAndReadsToTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const sentBytes, reply = 64 << 10, "sent after half-close"
	received := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := io.Copy(io.Discard, c) // until the other side closes its write side
		received <- int(n)
		c.Write([]byte(reply[:8]))
		time.Sleep(20 * time.Millisecond) // half of the reply is in flight
		c.Write([]byte(reply[8:]))
	}()
	conns := NewConns(1<<20, time.Second)
	var got []byte
	connected, closed := make(chan struct{}), make(chan uint64, 2)
	conns.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() { close(connected) },
		Failed: func(err error) { t.Error(err) },
		Read:   func(b []byte) { got = append(got, b...) }, Closed: func(submitted uint64) { closed <- submitted }})
	<-connected
	conns.Send(1, make([]byte, sentBytes))
	conns.CloseWriteAfterFlush(1)
	conns.CloseWriteAfterFlush(1)
	conns.Send(1, []byte("dropped"))
	select {
	case submitted := <-closed:
		if n := <-received; n != sentBytes || submitted != sentBytes || string(got) != reply {
			t.Errorf("the peer read %d of %d bytes, %d submitted; it replied %q", n, sentBytes, submitted, got)
		}
	case <-time.After(5 * time.Second):
		t.Error("close not reported")
	}
	conns.CloseWriteAfterFlush(1) // no effect on a closed connection
	conns.Close()
}

// Bytes that the kernel accepts at once are written even if the write timeout has passed: a process that stalled for
// longer than the timeout keeps its connections.
func TestWriteSucceedsAfterItsTimeoutPassed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan int, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			n, _ := io.Copy(io.Discard, c)
			c.Close()
			received <- int(n)
		}
	}()
	conns := NewConns(1<<16, time.Nanosecond) // over before any write starts
	connected := make(chan struct{})
	conns.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() { close(connected) },
		Failed: func(err error) { t.Error(err) },
		Read:   func([]byte) {}, Closed: func(uint64) {}})
	<-connected
	for range 20 {
		conns.SendInline(1, make([]byte, 100))
		conns.Send(1, make([]byte, 100))
	}
	conns.Close()
	if n := <-received; n != 4000 {
		t.Errorf("the peer read %d of 4000 bytes", n)
	}
}

// Guards against memory that a peer fills without limit: what is not processed bounds what is read, and the rest is
// read once there is room.
func TestReadsNoMoreThanUnprocessedLimit(t *testing.T) {
	const (
		limit = 16 << 10
		total = 8 << 20
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		if c, err := ln.Accept(); err == nil {
			c.Write(make([]byte, total))
			c.Close()
		}
	}()
	conns := NewConns(1<<16, time.Second)
	conns.LimitUnprocessed(limit)
	defer conns.Close()
	read, closed := make(chan int, total), make(chan struct{})
	conns.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() {}, Failed: func(err error) { t.Error(err) },
		Read: func(b []byte) { read <- len(b) }, Closed: func(uint64) { close(closed) }})
	sum := 0
	for quiet := false; !quiet; {
		select {
		case n := <-read:
			sum += n
		case <-time.After(200 * time.Millisecond):
			quiet = true
		}
	}
	if sum == 0 || sum > limit {
		t.Errorf("%d bytes were read with none processed, limit %d", sum, limit)
	}
	conns.Processed(1, sum)
	for sum < total {
		n := <-read
		sum += n
		conns.Processed(1, n)
	}
	<-closed
}

// Guards against a reader that waits forever for room on a connection that is closed.
func TestClosesConnectionWhoseLimitIsReached(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Write(make([]byte, 64<<10))
		}
	}()
	for name, end := range map[string]func(*Conns){
		"one": func(s *Conns) { s.CloseConn(1) }, "all": (*Conns).Close,
	} {
		conns := NewConns(1<<16, time.Second)
		conns.LimitUnprocessed(readBufferBytes)
		read, closed := make(chan struct{}, 64), make(chan struct{})
		conns.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() {}, Failed: func(err error) { t.Error(err) },
			Read: func([]byte) { read <- struct{}{} }, Closed: func(uint64) { close(closed) }})
		<-read
		go end(conns)
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the connection's end is not reported", name)
		}
	}
}

package pipe

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

func dialer(addr string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return DialTCP(addr, time.Second) }
}

// What a peer writes and closes behind is read whole, and the end is told after it, once; however soon it closes, for a peer
// says what it owes on the next connection that it is given, and nowhere else.
func TestLastWordsAreRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	words := bytes.Repeat([]byte("last words"), 100)
	var given atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			given.Add(1)
			c.Write(words)
			c.Close()
		}
	}()
	l := NewLinks(1<<16, time.Second)
	defer l.Close()
	for conn := range uint64(200) {
		var got []byte
		var ends atomic.Int32
		done := make(chan struct{})
		l.Dial(conn, dialer(ln.Addr().String()), Handler{Connected: func() { time.Sleep(time.Millisecond) },
			Failed: func(err error) { t.Error(err); close(done) }, Read: func(b []byte) { got = append(got, b...) },
			Lost: func(uint64) {
				if ends.Add(1) == 1 {
					close(done)
				}
			}})
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("no end")
		}
		if !bytes.Equal(got, words) || ends.Load() != 1 {
			t.Errorf("connection %d: read %d of %d, %d ends", conn, len(got), len(words), ends.Load())
		}
	}
	if given.Load() != 200 {
		t.Errorf("%d connections given for 200 connects", given.Load())
	}
}

// A peer that reads nothing loses its connection, by either way of writing; one that is not there is told as failed.
func TestPeersThatTakeNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for name, send := range map[string]func(*Links, uint64, []byte){"queued": (*Links).Send, "here": (*Links).SendHere} {
		l := NewLinks(1<<16, 50*time.Millisecond)
		stands, lost, waits := make(chan struct{}), make(chan uint64, 1), false
		l.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() { close(stands) }, Failed: func(err error) { t.Error(err) },
			Read: func([]byte) {}, Lost: func(begun uint64) { lost <- begun }})
		<-stands
		sent := uint64(0)
		p := l.pipe(1)
		if !p.Idle() {
			t.Errorf("%s: something waits before anything was sent", name)
		}
		for end := time.Now().Add(10 * time.Second); ; {
			send(l, 1, make([]byte, 32<<10))
			waits = waits || !p.Idle()
			sent += 32 << 10
			select {
			case begun := <-lost:
				if begun > sent {
					t.Errorf("%s: %d bytes begun of %d", name, begun, sent)
				}
			default:
				if time.Now().Before(end) {
					continue
				}
				t.Errorf("%s: it is kept", name)
			}
			break
		}
		if !waits && name == "queued" {
			t.Error("what the peer does not take is said to be written")
		}
		l.Close()
	}
	addr := ln.Addr().String()
	ln.Close()
	l := NewLinks(1<<16, time.Second)
	failed := make(chan error, 1)
	l.Dial(1, dialer(addr), Handler{Connected: func() { t.Error("connected") }, Failed: func(err error) { failed <- err }})
	if err := <-failed; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("refused:", err)
	}
	l.Close()
}

// A machine that answers no connect is told apart from one that refuses.
func TestConnectsThatNobodyAnswers(t *testing.T) {
	addr, done, err := platformsim.Unanswered()
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	began := time.Now()
	_, err = DialTCP(addr, 100*time.Millisecond)
	var timeout net.Error
	if d := time.Since(began); !errors.As(err, &timeout) || !timeout.Timeout() || d > 2*time.Second {
		t.Errorf("%v after %v", err, d)
	}
}

// A side that ends its writing has first written all that waits, and hears all that the peer says until it ends too.
func TestAConnectionEndedByHalves(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const asked, words = 64 << 10, "what was on its way"
	heard := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := io.Copy(io.Discard, c) // to the end of the other's side
		heard <- int(n)
		c.Write([]byte(words[:8]))
		time.Sleep(20 * time.Millisecond) // half of a message is under way
		c.Write([]byte(words[8:]))
	}()
	l := NewLinks(1<<20, time.Second)
	var got []byte
	stands, lost := make(chan struct{}), make(chan uint64, 2)
	l.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() { close(stands) }, Failed: func(err error) { t.Error(err) },
		Read: func(b []byte) { got = append(got, b...) }, Lost: func(begun uint64) { lost <- begun }})
	<-stands
	l.Send(1, make([]byte, asked))
	l.EndWrites(1)
	l.EndWrites(1)
	l.Send(1, []byte("not any more"))
	select {
	case begun := <-lost:
		if n := <-heard; n != asked || begun != asked || string(got) != words {
			t.Errorf("the peer read %d of %d bytes, %d begun; it said %q", n, asked, begun, got)
		}
	case <-time.After(5 * time.Second):
		t.Error("no end")
	}
	l.EndWrites(1) // of one that is gone
	l.Close()
}

// What the system takes at once is written however late: a side that stood still for longer than a write may take keeps its
// connections.
func TestAWriteThatComesLateIsWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	heard := make(chan int, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			n, _ := io.Copy(io.Discard, c)
			c.Close()
			heard <- int(n)
		}
	}()
	l := NewLinks(1<<16, time.Nanosecond) // over before any write begins
	stands := make(chan struct{})
	l.Dial(1, dialer(ln.Addr().String()), Handler{Connected: func() { close(stands) }, Failed: func(err error) { t.Error(err) },
		Read: func([]byte) {}, Lost: func(uint64) {}})
	<-stands
	for range 20 {
		l.SendHere(1, make([]byte, 100))
		l.Send(1, make([]byte, 100))
	}
	l.Close()
	if n := <-heard; n != 4000 {
		t.Errorf("the peer read %d of 4000 bytes", n)
	}
}

package pipe

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

func dialer(addr string) func() (netpoll.Connection, error) {
	return func() (netpoll.Connection, error) { return DialTCP(addr, time.Second) }
}

// What a peer writes and closes behind is read whole, and the end is told after it, once.
func TestLastWordsAreRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	words := bytes.Repeat([]byte("last words"), 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Write(words)
			c.Close()
		}
	}()
	l := NewLinks(1<<16, time.Second)
	defer l.Close()
	broke := 0
	for conn := range uint64(200) {
		var got []byte
		failed := false
		var ends atomic.Int32
		done := make(chan struct{})
		l.Dial(conn, dialer(ln.Addr().String()), Handler{Connected: func() { time.Sleep(time.Millisecond) },
			Failed: func(error) { failed = true; close(done) }, Read: func(b []byte) { got = append(got, b...) },
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
		if failed { // it ended while it was being opened
			broke++
			continue
		}
		if !bytes.Equal(got, words) || ends.Load() != 1 {
			t.Fatalf("connection %d: read %d of %d, %d ends", conn, len(got), len(words), ends.Load())
		}
	}
	if broke > 150 {
		t.Errorf("%d of 200 could not be opened", broke)
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
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(sa.(*syscall.SockaddrInet4).Port))
	for range 4 { // fills what the kernel keeps for it
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	began := time.Now()
	_, err = DialTCP(addr, 100*time.Millisecond)
	var timeout net.Error
	if d := time.Since(began); !errors.As(err, &timeout) || !timeout.Timeout() || d > 2*time.Second {
		t.Errorf("%v after %v", err, d)
	}
}

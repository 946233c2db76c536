package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// Closing a listener closes its own descriptor only, not one that another goroutine opens meanwhile.
func TestListenerCloseLeavesOtherDescriptorsOpen(t *testing.T) {
	const rounds, goroutines = 3000, 4
	stop, errs := make(chan struct{}), make(chan error, goroutines)
	var running sync.WaitGroup
	for range goroutines {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r, w, err := os.Pipe()
				if err == nil {
					_, err = w.Write([]byte("x"))
					err = errors.Join(err, w.Close(), r.Close())
				}
				if err != nil {
					errs <- err
					return
				}
			}
		})
	}
	for range rounds {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Error(err)
			break
		}
		if err := ln.Close(); err != nil {
			t.Error(err)
			break
		}
	}
	close(stop)
	running.Wait()
	select {
	case err := <-errs:
		t.Error("a pipe of another goroutine was closed:", err)
	default:
	}
}

// A closed listener accepts nothing and ignores a second close, even if its descriptor number has been reused.
func TestClosedListenerIgnoresReusedDescriptor(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	var listeners []netpoll.Listener // until one reuses the descriptor number
	defer func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}()
	for len(listeners) == 0 || listeners[len(listeners)-1].Fd() != old.Fd() {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if listeners = append(listeners, ln); len(listeners) > 200 {
			t.Fatal("the descriptor number is not reused")
		}
	}
	reuser := listeners[len(listeners)-1]
	c, err := net.Dial("tcp", reuser.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := old.Accept(); got != nil || !errors.Is(err, net.ErrClosed) {
		t.Errorf("the closed listener accepted %v, %v", got, err)
	}
	old.Close()
	got, err := reuser.Accept()
	if got == nil || err != nil {
		t.Fatalf("the listener that reuses the number accepted %v, %v", got, err)
	}
	if got.RemoteAddr().String() != c.LocalAddr().String() || got.LocalAddr().String() != c.RemoteAddr().String() {
		t.Errorf("from %v to %v, want %v to %v", got.RemoteAddr(), got.LocalAddr(), c.LocalAddr(), c.RemoteAddr())
	}
	if next, err := reuser.Accept(); next != nil || err != nil {
		t.Errorf("accepted %v, %v with no connection pending", next, err)
	}
	if got.Close() != nil || !errors.Is(got.Close(), net.ErrClosed) {
		t.Error("want a close and then net.ErrClosed")
	}
}

// A lack of descriptors is returned as the system's own error, so that the event loop pauses instead of spinning.
func TestAcceptReturnsEMFILEUnchanged(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 0
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	_, err = ln.Accept()
	if restoreErr := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); restoreErr != nil {
		t.Fatal(restoreErr)
	}
	if err != syscall.EMFILE {
		t.Errorf("error %T %v, want EMFILE", err, err)
	}
	if got, err := ln.Accept(); got == nil || err != nil {
		t.Errorf("accept after the limit was restored: %v, %v", got, err)
	}
}

// An event loop serves on the listener and closes it at shutdown.
func TestEventLoopServesOnListener(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:0", "[::1]:0"} {
		ln, err := Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		loop, err := netpoll.NewEventLoop(func(_ context.Context, c netpoll.Connection) error {
			b, _ := c.Reader().Next(c.Reader().Len())
			c.Write(b)
			return c.Reader().Release()
		})
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- loop.Serve(ln) }()
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		c.Write([]byte("bytes"))
		b := make([]byte, 5)
		if n, err := c.Read(b); string(b[:n]) != "bytes" || err != nil {
			t.Errorf("%q, %v", b[:n], err)
		}
		c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := loop.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			c.Close()
			t.Error("still listening after shutdown")
		}
	}
}

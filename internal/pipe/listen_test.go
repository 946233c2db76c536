package pipe

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

// A listener that closes takes its own descriptor and no other: descriptors that others open meanwhile stay theirs.
func TestAListenerClosesItsOwnDescriptorOnly(t *testing.T) {
	const closes, others = 3000, 4
	stop, bad := make(chan struct{}), make(chan error, others)
	var running sync.WaitGroup
	for range others {
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
					bad <- err
					return
				}
			}
		})
	}
	for range closes {
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
	case err := <-bad:
		t.Error("a descriptor that is another's:", err)
	default:
	}
}

// Of a listener that is closed nothing is accepted, and a second close changes nothing, whoever has its number by then.
func TestAClosedListenerLeavesItsNumberToOthers(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	var all []netpoll.Listener // until one has the number
	defer func() {
		for _, ln := range all {
			ln.Close()
		}
	}()
	for len(all) == 0 || all[len(all)-1].Fd() != old.Fd() {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if all = append(all, ln); len(all) > 200 {
			t.Fatal("the number is not used again")
		}
	}
	heir := all[len(all)-1]
	c, err := net.Dial("tcp", heir.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := old.Accept(); got != nil || !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepted %v, %v", got, err)
	}
	old.Close()
	got, err := heir.Accept()
	if got == nil || err != nil {
		t.Fatalf("its heir accepts %v, %v", got, err)
	}
	if got.RemoteAddr().String() != c.LocalAddr().String() || got.LocalAddr().String() != c.RemoteAddr().String() {
		t.Errorf("from %v to %v, want %v to %v", got.RemoteAddr(), got.LocalAddr(), c.LocalAddr(), c.RemoteAddr())
	}
	if next, err := heir.Accept(); next != nil || err != nil {
		t.Errorf("accepted %v, %v of nobody", next, err)
	}
	if got.Close() != nil || !errors.Is(got.Close(), net.ErrClosed) {
		t.Error("it is closed twice, or not at all")
	}
}

// Want of descriptors is told as the system words it: the loop then rests instead of spinning.
func TestWantOfDescriptorsIsTold(t *testing.T) {
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
	if back := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); back != nil {
		t.Fatal(back)
	}
	if err != syscall.EMFILE {
		t.Errorf("%T %v", err, err)
	}
	if got, err := ln.Accept(); got == nil || err != nil {
		t.Errorf("afterwards %v, %v", got, err)
	}
}

// A loop serves on it, and ends with it.
func TestALoopServesOnAListener(t *testing.T) {
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
		c.Write([]byte("words"))
		b := make([]byte, 5)
		if n, err := c.Read(b); string(b[:n]) != "words" || err != nil {
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
			t.Error("it listens still")
		}
	}
}

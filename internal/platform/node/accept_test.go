package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"tealledge/internal/transport"
)

// eventRecorder records the events of clients' connections in order.
type eventRecorder struct {
	mu          sync.Mutex
	acceptedIDs []uint64
	messages    map[uint64]int
}

func (r *eventRecorder) accepted(conn uint64, _ netip.Addr) {
	r.mu.Lock()
	r.acceptedIDs = append(r.acceptedIDs, conn)
	r.mu.Unlock()
}

func (r *eventRecorder) received(k *client, input clientInput) {
	k.processed(input)
	r.mu.Lock()
	r.messages[k.id] += len(input.list)
	r.mu.Unlock()
}

func (r *eventRecorder) closed(uint64, transport.CloseCause) {}

func (r *eventRecorder) count() (accepted, messages int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.messages {
		messages += n
	}
	return len(r.acceptedIDs), messages
}

func (r *eventRecorder) firstID() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptedIDs[0]
}

// limitFixture is a listener with a limit of three connections, all of them open.
type limitFixture struct {
	*testing.T
	*clients
	recorder *eventRecorder

	admitted []net.Conn
}

// newLimitFixture starts the listener and opens three connections.
func newLimitFixture(t *testing.T, slotTimeout time.Duration) *limitFixture {
	t.Helper()
	f := &limitFixture{T: t, recorder: &eventRecorder{messages: map[uint64]int{}}}
	var err error
	if f.clients, err = listen("127.0.0.1:0", 1<<20, f.recorder); err != nil {
		t.Fatal(err)
	}
	f.clients.slotTimeout = slotTimeout
	f.clients.maxConns.Store(3)
	served := make(chan error, 1)
	go func() { served <- f.clients.serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.clients.close(ctx)
		<-served
	})
	for range 3 {
		f.admitted = append(f.admitted, f.connect())
	}
	f.waitFor("three connections accepted", func() bool { accepted, _ := f.recorder.count(); return accepted == 3 })
	return f
}

// connect opens a connection and writes lines, if any.
func (f *limitFixture) connect(lines ...string) net.Conn {
	f.Helper()
	c, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { c.Close() })
	for _, line := range lines {
		c.Write([]byte(line + "\n"))
	}
	return c
}

// waitFor waits for a condition.
func (f *limitFixture) waitFor(what string, condition func() bool) {
	f.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatalf("never: %s", what)
		}
	}
}

// probeLine is a line that a viewer may send.
const probeLine = `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`

// A connection past the limit is accepted as soon as another has closed, and what it sent meanwhile is read.
func TestConnectionPastLimitWaitsForFreeSlot(t *testing.T) {
	f := newLimitFixture(t, time.Minute)
	f.connect(probeLine)
	f.waitFor("Accept waits for a slot", func() bool { return f.slotWaits.Load() == 1 })
	if accepted, messages := f.recorder.count(); accepted != 3 || messages != 0 || f.openConns.Load() != 3 {
		t.Fatalf("%d accepted, %d messages, %d open while all slots are taken", accepted, messages, f.openConns.Load())
	}
	f.closeAfter(f.recorder.firstID(), nil)
	f.waitFor("the waiting connection is read", func() bool { accepted, messages := f.recorder.count(); return accepted == 4 && messages == 1 })
	if n := f.rejected.Load(); n != 0 {
		t.Errorf("%d connections rejected", n)
	}
}

// If no slot becomes free, connections past the limit are closed and open connections are still read. Once a slot is
// free, the next connection is accepted.
func TestConnectionPastLimitIsClosedAfterTimeout(t *testing.T) {
	f := newLimitFixture(t, 5*time.Millisecond)
	for n := range 20 {
		c := f.connect(probeLine)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Fatalf("connection %d past the limit: %v, want a close", n, err)
		}
	}
	if accepted, messages := f.recorder.count(); accepted != 3 || messages != 0 || f.rejected.Load() != 20 {
		t.Errorf("%d accepted, %d messages, %d rejected", accepted, messages, f.rejected.Load())
	}
	f.admitted[1].Write([]byte(probeLine + "\n"))
	f.waitFor("an open connection is read", func() bool { _, messages := f.recorder.count(); return messages == 1 })
	if n := f.slotWaits.Load(); n == 0 || n > 20 {
		t.Errorf("%d waits for a slot for 20 connections", n)
	}
	f.closeAfter(f.recorder.firstID(), nil)
	f.waitFor("a free slot", func() bool { return f.openConns.Load() == 2 })
	f.connect(probeLine)
	f.waitFor("one more connection accepted", func() bool { accepted, messages := f.recorder.count(); return accepted == 4 && messages == 2 })
}

// isTimeout reports whether err is a timeout.
func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

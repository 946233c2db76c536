package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"tealledge/internal/platform/viewers"
)

// heard notes what clients' connections bring, in order.
type heard struct {
	mu    sync.Mutex
	in    []uint64
	words map[uint64]int
}

func (h *heard) accepted(conn uint64) {
	h.mu.Lock()
	h.in = append(h.in, conn)
	h.mu.Unlock()
}

func (h *heard) said(k *client, list []viewers.In, _ error, _ bool) {
	k.heard(list)
	h.mu.Lock()
	h.words[k.id] += len(list)
	h.mu.Unlock()
}

func (h *heard) left(uint64) {}

func (h *heard) count() (in, words int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.words {
		words += n
	}
	return len(h.in), words
}

func (h *heard) first() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.in[0]
}

// door is a gate that lets three in.
type door struct {
	*testing.T
	*clients
	heard *heard
	gate  *gate

	inside []net.Conn
}

func newDoor(t *testing.T, holds time.Duration) *door {
	t.Helper()
	d := &door{T: t, heard: &heard{words: map[uint64]int{}}}
	var err error
	if d.clients, err = listen("127.0.0.1:0", d.heard); err != nil {
		t.Fatal(err)
	}
	d.gate = d.clients.ln.(*gate)
	d.clients.holds = holds
	d.clients.most.Store(3)
	served := make(chan error, 1)
	go func() { served <- d.clients.loop.Serve(d.clients.ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		d.clients.close(ctx)
		<-served
	})
	for range 3 {
		d.inside = append(d.inside, d.comes())
	}
	d.until("three are in", func() bool { in, _ := d.heard.count(); return in == 3 })
	return d
}

// comes connects, and says something if it is to.
func (d *door) comes(words ...string) net.Conn {
	d.Helper()
	c, err := net.Dial("tcp", d.ln.Addr().String())
	if err != nil {
		d.Fatal(err)
	}
	d.Cleanup(func() { c.Close() })
	for _, w := range words {
		c.Write([]byte(w + "\n"))
	}
	return c
}

func (d *door) until(what string, is func() bool) {
	d.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.Fatalf("never: %s", what)
		}
	}
}

const probing = `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`

// One that comes when all room is taken is let in as soon as one has gone, and what it said is heard.
func TestANewcomerWaitsForRoom(t *testing.T) {
	d := newDoor(t, time.Minute)
	d.comes(probing)
	d.until("room is waited for", func() bool { return d.gate.waits.Load() == 1 })
	if in, words := d.heard.count(); in != 3 || words != 0 || d.held.Load() != 3 {
		t.Fatalf("%d in, %d words, %d held while there is no room", in, words, d.held.Load())
	}
	d.shut(d.heard.first(), nil)
	d.until("it is heard", func() bool { in, words := d.heard.count(); return in == 4 && words == 1 })
	if n := d.shed.Load(); n != 0 {
		t.Errorf("%d closed at the gate", n)
	}
}

// Where no room is made newcomers are closed, those that are in are read, and it does not end so.
func TestWhoeverHasNoRoomIsClosed(t *testing.T) {
	d := newDoor(t, 5*time.Millisecond)
	for n := range 20 {
		c := d.comes(probing)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Fatalf("newcomer %d: %v", n, err)
		}
	}
	if in, words := d.heard.count(); in != 3 || words != 0 || d.shed.Load() != 20 {
		t.Errorf("%d in, %d words, %d closed", in, words, d.shed.Load())
	}
	d.inside[1].Write([]byte(probing + "\n"))
	d.until("one that is in is heard", func() bool { _, words := d.heard.count(); return words == 1 })
	if n := d.gate.waits.Load(); n == 0 || n > 20 {
		t.Errorf("waited %d times for room for 20", n)
	}
	d.shut(d.heard.first(), nil)
	d.until("room", func() bool { return d.held.Load() == 2 })
	d.comes(probing)
	d.until("one more is in", func() bool { in, words := d.heard.count(); return in == 4 && words == 2 })
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

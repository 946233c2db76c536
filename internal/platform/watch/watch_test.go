package watch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tealledge/policy"
)

const (
	start = 1000 * policy.Second
	ms    = policy.Millisecond
)

// rig plays the service and the shell.
type rig struct {
	t        *testing.T
	f        *Follower
	now      Time
	received []uint64
	written  []string // lines written on the newest connection
	addr     string
	conn     uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: start, f: New("a:1", 3, func() float64 { return 0.5 })}
	r.f.Tick(r.now)
	r.take()
	return r
}

func (r *rig) take() {
	effects, events := r.f.Take()
	for _, a := range effects {
		switch {
		case a.Dial != "":
			r.addr, r.conn, r.written = a.Dial, a.Conn, nil
		case a.Bytes != nil:
			r.written = append(r.written, string(a.Bytes))
		}
	}
	for _, e := range events {
		r.received = append(r.received, e.Pos)
	}
}

func (r *rig) connect() {
	r.f.Connected(r.now, r.conn)
	r.take()
}

func (r *rig) serviceSends(list ...string) {
	for _, l := range list {
		r.f.Received(r.now, r.conn, [][]byte{[]byte(l)}, nil)
	}
	r.take()
}

func (r *rig) advance(d Time) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * ms
		r.f.Tick(r.now)
		r.take()
	}
}

func eventLine(pos int) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"seq":1,"whole":false,"hosts":[{"host":"s-1","dial":"x:1","health":"leaving"}]}}`, pos)
}

func (r *rig) checkEvents(want ...uint64) {
	r.t.Helper()
	if !slices.Equal(r.received, want) {
		r.t.Errorf("events %v, want %v", r.received, want)
	}
}

func (r *rig) checkRequest(from int) {
	r.t.Helper()
	if want := fmt.Sprintf("tail %d\n", from); strings.Join(r.written, "") != want {
		r.t.Errorf("wrote %q, want %q", r.written, want)
	}
}

func TestDeliversEventsOnceAndInOrder(t *testing.T) {
	r := newRig(t)
	r.connect()
	r.checkRequest(3)
	r.serviceSends(eventLine(4), eventLine(4), "4", eventLine(5), eventLine(4), `{"pos":5}`)
	r.checkEvents(4, 5)
	if r.f.Stats.Twice != 2 || r.f.Stats.Dials != 1 {
		t.Errorf("%+v", r.f.Stats)
	}
}

func TestResumesAfterBreakInsideEvent(t *testing.T) {
	r := newRig(t)
	r.connect()
	r.serviceSends(eventLine(4))
	r.f.Lost(r.now, r.conn) // event 5 was cut before its line feed
	first := r.conn
	r.advance(100 * ms)
	if r.conn == first {
		t.Fatal("no new connect")
	}
	r.connect()
	r.checkRequest(4)
	r.f.Received(r.now, first, [][]byte{[]byte(eventLine(9))}, nil) // late input of the old connection
	r.serviceSends(eventLine(5))
	r.checkEvents(4, 5)
}

func TestReconnectsOnSilenceAndUnreadableLines(t *testing.T) {
	r := newRig(t)
	r.connect()
	for range 5 { // numbers prevent the silence timeout
		r.advance(1000 * ms)
		r.serviceSends("3")
	}
	first := r.conn
	r.advance(silenceTimeout - 100*ms)
	if r.conn != first {
		t.Fatal("connection closed before the silence timeout")
	}
	r.advance(300 * ms)
	if r.conn == first {
		t.Fatal("silence was not detected")
	}
	r.connect()
	second := r.conn
	r.serviceSends(`{"pos":4,"ho`)
	r.advance(200 * ms)
	if r.conn == second {
		t.Fatal("an unreadable line was skipped")
	}
	r.connect()
	r.checkRequest(3)
}

func TestRequestsMissingEvents(t *testing.T) {
	for _, text := range []string{eventLine(6), "6", `{"pos":6}`} {
		r := newRig(t)
		r.connect()
		first := r.conn
		r.serviceSends(text)
		r.checkEvents()
		r.advance(200 * ms)
		if r.conn == first {
			t.Fatalf("%s: missing events not requested again", text)
		}
		r.connect()
		r.checkRequest(3)
		r.serviceSends(eventLine(4), eventLine(5), eventLine(6))
		r.checkEvents(4, 5, 6)
	}
	r := newRig(t) // the service no longer has the missing events: the later ones are accepted
	for range maxGapRetries + 1 {
		r.connect()
		r.serviceSends(eventLine(6))
		r.advance(policy.Second)
	}
	r.checkEvents(6)
}

func TestFollowsNewAddressFromLastEvent(t *testing.T) {
	r := newRig(t)
	r.connect()
	r.serviceSends(eventLine(4))
	old := r.conn
	r.f.AddressChanged(r.now, "b:2")
	r.take()
	if r.addr != "b:2" || r.conn == old {
		t.Fatal(r.addr)
	}
	r.f.Lost(r.now, old) // the end of the old connection is ignored
	r.connect()
	r.checkRequest(4)
	r.f.AddressChanged(r.now, "b:2")
	if effects, _ := r.f.Take(); len(effects) != 0 {
		t.Error("effects of a change to the same address:", effects)
	}
}

func TestBacksOffAfterFailedDials(t *testing.T) {
	r := newRig(t)
	for range 400 {
		r.f.Lost(r.now, r.conn)
		r.advance(25 * ms)
	}
	if n := r.f.Stats.Dials; n < 10 || n > 40 {
		t.Errorf("%d connects in 10 s", n)
	}
}

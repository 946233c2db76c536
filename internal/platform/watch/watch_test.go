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
	t    *testing.T
	f    *Watch
	now  Time
	got  []uint64
	said []string // lines written on the newest connection
	addr string
	conn uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: start, f: New("a:1", 3, func() float64 { return 0.5 })}
	r.f.Tick(r.now)
	r.take()
	return r
}

func (r *rig) take() {
	acts, events := r.f.Take()
	for _, a := range acts {
		switch {
		case a.Dial != "":
			r.addr, r.conn, r.said = a.Dial, a.Conn, nil
		case a.Bytes != nil:
			r.said = append(r.said, string(a.Bytes))
		}
	}
	for _, e := range events {
		r.got = append(r.got, e.Pos)
	}
}

func (r *rig) up() {
	r.f.Connected(r.now, r.conn)
	r.take()
}

func (r *rig) lines(list ...string) {
	for _, l := range list {
		r.f.Received(r.now, r.conn, [][]byte{[]byte(l)}, nil)
	}
	r.take()
}

func (r *rig) pass(d Time) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * ms
		r.f.Tick(r.now)
		r.take()
	}
}

func event(pos int) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"seq":1,"whole":false,"hosts":[{"host":"s-1","dial":"x:1","health":"leaving"}]}}`, pos)
}

func (r *rig) want(got ...uint64) {
	r.t.Helper()
	if !slices.Equal(r.got, got) {
		r.t.Errorf("events %v, want %v", r.got, got)
	}
}

func (r *rig) asks(from int) {
	r.t.Helper()
	if want := fmt.Sprintf("tail %d\n", from); strings.Join(r.said, "") != want {
		r.t.Errorf("wrote %q, want %q", r.said, want)
	}
}

func TestEventsComeOnceAndInOrder(t *testing.T) {
	r := newRig(t)
	r.up()
	r.asks(3)
	r.lines(event(4), event(4), "4", event(5), event(4), `{"pos":5}`)
	r.want(4, 5)
	if r.f.Stats.Twice != 2 || r.f.Stats.Dials != 1 {
		t.Errorf("%+v", r.f.Stats)
	}
}

func TestABreakInTheMiddleOfAnEvent(t *testing.T) {
	r := newRig(t)
	r.up()
	r.lines(event(4))
	r.f.Lost(r.now, r.conn) // half of event 5 never became a line
	first := r.conn
	r.pass(100 * ms)
	if r.conn == first {
		t.Fatal("not connected again")
	}
	r.up()
	r.asks(4)
	r.f.Received(r.now, first, [][]byte{[]byte(event(9))}, nil) // what the old one still brings
	r.lines(event(5))
	r.want(4, 5)
}

func TestSilenceAndWhatCannotBeRead(t *testing.T) {
	r := newRig(t)
	r.up()
	for range 5 { // numbers keep it alive
		r.pass(1000 * ms)
		r.lines("3")
	}
	first := r.conn
	r.pass(quietFor - 100*ms)
	if r.conn != first {
		t.Fatal("given up on too early")
	}
	r.pass(300 * ms)
	if r.conn == first {
		t.Fatal("silence was not noticed")
	}
	r.up()
	second := r.conn
	r.lines(`{"pos":4,"ho`)
	r.pass(200 * ms)
	if r.conn == second {
		t.Fatal("what can't be read was passed over")
	}
	r.up()
	r.asks(3)
}

func TestWhatWasLeftOutIsAskedForAgain(t *testing.T) {
	for _, line := range []string{event(6), "6", `{"pos":6}`} {
		r := newRig(t)
		r.up()
		first := r.conn
		r.lines(line)
		r.want()
		r.pass(200 * ms)
		if r.conn == first {
			t.Fatalf("%s: not asked again", line)
		}
		r.up()
		r.asks(3)
		r.lines(event(4), event(5), event(6))
		r.want(4, 5, 6)
	}
	r := newRig(t) // the service has lost them for good: better what there is than nothing
	for range gapsMost + 1 {
		r.up()
		r.lines(event(6))
		r.pass(policy.Second)
	}
	r.want(6)
}

func TestANewAddressIsFollowedAtOnceFromTheLastNumber(t *testing.T) {
	r := newRig(t)
	r.up()
	r.lines(event(4))
	old := r.conn
	r.f.Moved(r.now, "b:2")
	r.take()
	if r.addr != "b:2" || r.conn == old {
		t.Fatal(r.addr)
	}
	r.f.Lost(r.now, old) // its end is nobody's matter
	r.up()
	r.asks(4)
	r.f.Moved(r.now, "b:2")
	if acts, _ := r.f.Take(); len(acts) != 0 {
		t.Error("moved to where it is:", acts)
	}
}

func TestConnectsThatFailHavePauses(t *testing.T) {
	r := newRig(t)
	for range 400 {
		r.f.Lost(r.now, r.conn)
		r.pass(25 * ms)
	}
	if n := r.f.Stats.Dials; n < 10 || n > 40 {
		t.Errorf("%d connects in 10 s", n)
	}
}

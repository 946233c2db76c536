package servers

import (
	"reflect"
	"strconv"
	"testing"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestAConnectionWhereAnAnswerNeverCame(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	old := r.up()
	r.setup(6)
	r.now += 200 * ms
	r.do(front.Abandon{Session: 5, Server: 1, Cause: fate.Expired})
	r.setup(7)
	fresh := r.up()
	r.wroteTypes(fresh, wire.SetUp)
	if r.closed[old] {
		t.Fatal("closed on a set-up that is open")
	}
	r.do(front.Abandon{Session: 6, Server: 1, Cause: fate.Expired})
	r.pass(50 * ms)
	if !r.ending[old] || r.closed[old] || r.ending[fresh] {
		t.Error("the old connection stays:", r.ending)
	}
	r.pass(finishBy - 50*ms)
	if r.closed[old] {
		t.Error("its server had no time to say what it has to")
	}
	r.pass(100 * ms)
	if !r.closed[old] || r.closed[fresh] {
		t.Error("a server that does not end its side holds a descriptor:", r.closed)
	}
}

func TestSessionsOutliveTheirConnection(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	r.lost(conn, r.bytes[conn])
	r.do(front.SetRung{Session: 5, Server: 1, Rung: 1})
	next := r.up()
	r.wroteTypes(next, wire.Level)
	r.says(next, release(5, 16)) // its release comes on the next connection
	r.ended(5, policy.OK)
	r.empty()
}

func TestASessionEndedWhileNoConnectionStands(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	r.lost(conn, r.bytes[conn])
	r.do(front.Stop{Session: 5, Server: 1})
	r.wroteTypes(r.up(), wire.Release)
	r.empty()
}

func TestAServerThatIsOnlyQuiet(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	for range 5 {
		r.pass(quietFor + 50*ms)
		next := r.up() // the connect stands: it carries on
		r.pass(50 * ms)
		if !r.ending[conn] || r.closed[conn] {
			t.Fatal("two connections are kept, or what comes on the old one is lost")
		}
		r.lost(conn, r.bytes[conn])
		conn = next
	}
	if len(r.news) != 0 || len(r.d.attempts) != 1 {
		t.Errorf("%+v", r.news)
	}
}

func TestMovedSessionsAreReleasedAtTheirServerInTheEnd(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	r.do(front.Stop{Session: 5, Server: 1, Moved: true})
	r.pass(leaveBy - 100*ms)
	r.wroteTypes(conn, wire.SetUp) // a release would cut it before its viewer has left
	r.pass(200 * ms)
	r.wroteTypes(conn, wire.SetUp, wire.Release)
	r.plays2(6)
	r.do(front.Stop{Session: 6, Server: 1, Moved: true})
	r.says(conn, release(6, 31))
	r.pass(2 * policy.Second)
	if m := r.wrote[conn]; m[len(m)-1].Session == 6 && m[len(m)-1].Type == wire.Release {
		t.Error("released twice")
	}
}

func TestASessionHandedOver(t *testing.T) {
	r := newRig(t)
	if !r.d.Adopt(r.now, front.Setup{Session: 5, Server: 1}) || r.d.Adopt(r.now, front.Setup{Session: 6, Server: 9}) {
		t.Fatal("adopted")
	}
	r.take()
	conn := r.up() // its news come on any connection
	r.says(conn, (&wire.Message{Type: wire.Note, Session: 5}).Add(wire.ParamNote, "profile").Add(wire.ParamFigure, "3"))
	if want := []front.Event{front.Note{Session: 5, Kind: policy.NoteRung, Value: 3}}; !reflect.DeepEqual(r.news, want) {
		t.Fatalf("%+v", r.news)
	}
	r.news = nil
	r.says(conn, release(5, 31))
	r.ended(5, policy.CancelledSt)
}

// More servers than descriptors: a set-up gets a connection by closing one that is less missed, none fails for want of one, and
// a connection with a set-up open is never closed for another.
func TestMoreServersThanDescriptors(t *testing.T) {
	r := newRig(t)
	var list []Server
	for id := range uint32(1200) {
		list = append(list, Server{ID: id + 1, Addr: "a:" + strconv.Itoa(int(id))})
	}
	r.d.Listed(r.now, list)
	r.d.Limit(20)
	open, most := map[uint64]bool{}, 0
	for id := range uint32(1200) {
		r.do(front.Setup{Session: uint64(id) + 1, Server: id + 1, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms})
		conn := r.up()
		open[conn] = true
		for c := range r.closed {
			delete(open, c)
		}
		most = max(most, len(open))
		if id%2 == 0 { // some stay and play: those connections go last
			b, _ := (&wire.Message{Type: wire.Ready, Session: uint64(id) + 1}).Add(wire.ParamText, "here").Append(nil)
			r.d.Received(r.now, id+1, conn, b)
		} else {
			b, _ := (&wire.Message{Type: wire.Release, Session: uint64(id) + 1}).AddCause(wire.CauseFull).Append(nil)
			r.d.Received(r.now, id+1, conn, b)
		}
		r.take()
	}
	if most > 20 || r.d.Stats.Crowded != 0 {
		t.Errorf("%d connections at a time, %d set-ups without", most, r.d.Stats.Crowded)
	}
	r = newRig(t) // all are in use: the next set-up provably never left
	r.d.Limit(1)
	r.setup(1)
	conn := r.up()
	r.do(front.Setup{Session: 2, Server: 2, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms})
	r.ended(2, policy.Moot)
	r.do(front.Probe{Server: 2}) // nor does a test: the server is not held to have failed it
	if p, ok := r.news[len(r.news)-1].(front.Probed); !ok || p.Server != 2 || p.Status != policy.Moot || r.d.Stats.Crowded != 2 {
		t.Errorf("%+v, %d times without", r.news, r.d.Stats.Crowded)
	}
	if r.closed[conn] || len(r.dials) != 0 {
		t.Error("a set-up lost its connection")
	}
	r = newRig(t) // one that only hears its server out goes first
	r.d.Limit(2)
	old := r.plays(5)
	r.pass(quietFor)
	next := r.up()
	r.pass(50 * ms)
	r.says(old, &wire.Message{Type: wire.Trying, Session: 5}) // though it was heard last
	r.do(front.Setup{Session: 6, Server: 2, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms})
	if !r.ending[old] || !r.closed[old] || r.closed[next] || len(r.dials) != 1 {
		t.Errorf("closed %v, ending %v, dials %v", r.closed, r.ending, r.dials)
	}
}

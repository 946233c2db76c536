package servers

import (
	"reflect"
	"strconv"
	"testing"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestReplacesConnectionAfterUnansweredSetUp(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	old := r.connect()
	r.setup(6)
	r.now += 200 * ms
	r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Expired})
	r.setup(7)
	fresh := r.connect()
	r.checkWritten(fresh, wire.SetUp)
	if r.closed[old] {
		t.Fatal("connection closed while a set-up is open on it")
	}
	r.do(front.Abandon{Session: 6, Server: 1, Cause: outcome.Expired})
	r.advance(50 * ms)
	if !r.halfClosed[old] || r.closed[old] || r.halfClosed[fresh] {
		t.Error("the old connection is not half-closed:", r.halfClosed)
	}
	r.advance(halfCloseTimeout - 50*ms)
	if r.closed[old] {
		t.Error("closed before its server had time to send pending messages")
	}
	r.advance(100 * ms)
	if !r.closed[old] || r.closed[fresh] {
		t.Error("a connection whose server does not close its side is kept open:", r.closed)
	}
}

func TestSessionsSurviveConnectionLoss(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	r.loseConn(conn, r.bytes[conn])
	r.do(front.SetRung{Session: 5, Server: 1, Rung: 1})
	next := r.connect()
	r.checkWritten(next, wire.Level)
	r.serverSends(next, release(5, 16)) // its release arrives on the next connection
	r.checkEnded(5, policy.OK)
	r.checkEmpty()
}

// Guards against a session that goes on at another rate than the front counts with: its new rung was sent on a connection
// that was reset at once, and the server never had it. Once it must have arrived it is not sent again.
func TestSendsRungAgainIfItsConnectionIsLostAtOnce(t *testing.T) {
	for _, c := range []struct {
		lostAfter Time
		want      []wire.Type
	}{{rungArrivalTime / 2, []wire.Type{wire.Level}}, {rungArrivalTime + 50*ms, nil}} {
		r := newRig(t)
		conn := r.startSession(5)
		r.do(front.SetRung{Session: 5, Server: 1, Rung: 1})
		r.checkWritten(conn, wire.SetUp, wire.Level)
		r.advance(c.lostAfter)
		r.loseConn(conn, r.bytes[conn])
		next := r.connect()
		r.checkWritten(next, c.want...)
		r.loseConn(next, r.bytes[next])
	}
}

func TestReleasesSessionOnNextConnection(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	r.loseConn(conn, r.bytes[conn])
	r.do(front.Stop{Session: 5, Server: 1})
	r.checkWritten(r.connect(), wire.Release)
	r.checkEmpty()
}

func TestKeepsSessionsOfSilentServerThatAcceptsConnects(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	for range 5 {
		r.advance(silenceTimeout + 50*ms)
		next := r.connect() // the connect succeeds: the sessions continue
		r.advance(50 * ms)
		if !r.halfClosed[conn] || r.closed[conn] {
			t.Fatal("the old connection is not half-closed, or is closed before its input is read")
		}
		r.loseConn(conn, r.bytes[conn])
		conn = next
	}
	if len(r.events) != 0 || len(r.p.attempts) != 1 {
		t.Errorf("events %+v, want none and one attempt held", r.events)
	}
}

func TestReleasesMovedSessionAfterTimeout(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	r.do(front.Stop{Session: 5, Server: 1, Moved: true})
	r.advance(moveTimeout - 100*ms)
	r.checkWritten(conn, wire.SetUp) // a release would end it before its viewer has left
	r.advance(200 * ms)
	r.checkWritten(conn, wire.SetUp, wire.Release)
	r.addSession(6)
	r.do(front.Stop{Session: 6, Server: 1, Moved: true})
	r.serverSends(conn, release(6, 31))
	r.advance(2 * policy.Second)
	if m := r.written[conn]; m[len(m)-1].Session == 6 && m[len(m)-1].Type == wire.Release {
		t.Error("released twice")
	}
}

func TestRestoresSession(t *testing.T) {
	r := newRig(t)
	if !r.p.Restore(r.now, front.Setup{Session: 5, Server: 1}) ||
		r.p.Restore(r.now, front.Setup{Session: 6, Server: 9}) {
		t.Fatal("want the session restored at the listed server, and refused at the unknown one")
	}
	r.take()
	conn := r.connect() // its messages arrive on any connection
	r.serverSends(conn, (&wire.Message{Type: wire.Note, Session: 5}).Add(wire.ParamNote,
		"profile").Add(wire.ParamNoteValue, "3"))
	if want := []front.Event{front.Note{Session: 5, Kind: policy.NoteRung, Value: 3}}; !reflect.DeepEqual(r.events,
		want) {
		t.Fatalf("%+v", r.events)
	}
	r.events = nil
	r.serverSends(conn, release(5, 31))
	r.checkEnded(5, policy.Cancelled)
}

// With more servers than descriptors a set-up gets a connection by closing a less useful one: no set-up fails for
// lack of a descriptor, and a connection with an open set-up is never closed for another.
func TestEvictsConnectionsAtLimit(t *testing.T) {
	r := newRig(t)
	var list []Server
	for id := range uint32(1200) {
		list = append(list, Server{ID: id + 1, Addr: "a:" + strconv.Itoa(int(id))})
	}
	r.p.Listed(r.now, list)
	r.p.SetMaxConns(20)
	open, maxOpen := map[uint64]bool{}, 0
	for id := range uint32(1200) {
		r.do(front.Setup{Session: uint64(id) + 1, Server: id + 1, Name: "7f3a9c21e0b4d655", Text: "who",
			Timeout: 900 * ms})
		conn := r.connect()
		open[conn] = true
		for c := range r.closed {
			delete(open, c)
		}
		maxOpen = max(maxOpen, len(open))
		if id%2 == 0 { // half of the sessions are established: their connections are evicted last
			b, _ := (&wire.Message{Type: wire.Ready, Session: uint64(id) + 1}).Add(wire.ParamText, "here").Append(nil)
			r.p.Received(r.now, id+1, conn, b)
		} else {
			b, _ := (&wire.Message{Type: wire.Release, Session: uint64(id) + 1}).AddCause(wire.CauseFull).Append(nil)
			r.p.Received(r.now, id+1, conn, b)
		}
		r.take()
	}
	if maxOpen > 20 || r.p.Stats.Crowded != 0 {
		t.Errorf("%d connections at a time, %d set-ups without a connection", maxOpen, r.p.Stats.Crowded)
	}
	r = newRig(t) // all connections are in use: the next set-up is reported as never run
	r.p.SetMaxConns(1)
	r.setup(1)
	conn := r.connect()
	r.do(front.Setup{Session: 2, Server: 2, Name: "7f3a9c21e0b4d655", Text: "who", Timeout: 900 * ms})
	r.checkEnded(2, policy.NotSent)
	r.do(front.Probe{Server: 2}) // nor is a probe sent; it does not count as failed by the server
	if p, ok := r.events[len(r.events)-1].(front.Probed); !ok || p.Server != 2 || p.Status != policy.NotSent ||
		r.p.Stats.Crowded != 2 {
		t.Errorf("events %+v; %d times without a connection, want 2", r.events, r.p.Stats.Crowded)
	}
	if r.closed[conn] || len(r.dials) != 0 {
		t.Error("the connection of an open set-up was closed, or another connect was started")
	}
	r = newRig(t) // a half-closed connection is evicted first
	r.p.SetMaxConns(2)
	old := r.startSession(5)
	r.advance(silenceTimeout)
	next := r.connect()
	r.advance(50 * ms)
	r.serverSends(old, &wire.Message{Type: wire.Trying, Session: 5}) // although data arrived there last
	r.do(front.Setup{Session: 6, Server: 2, Name: "7f3a9c21e0b4d655", Text: "who", Timeout: 900 * ms})
	if !r.halfClosed[old] || !r.closed[old] || r.closed[next] || len(r.dials) != 1 {
		t.Errorf("closed %v, half-closed %v, dials %v", r.closed, r.halfClosed, r.dials)
	}
}

package servers

import (
	"strings"
	"testing"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// checkReleased checks that the messages written to a connection are releases of these sessions, in order.
func (r *rig) checkReleased(conn uint64, sessions ...uint64) {
	r.t.Helper()
	var got []uint64
	for _, m := range r.written[conn] {
		if m.Type != wire.Release {
			r.t.Fatalf("wrote message of type %d for session %d", m.Type, m.Session)
		}
		got = append(got, m.Session)
	}
	if len(got) != len(sessions) {
		r.t.Fatalf("released %v, want %v", got, sessions)
	}
	for i, session := range sessions {
		if got[i] != session {
			r.t.Fatalf("released %v, want %v", got, sessions)
		}
	}
}

// Guards against a session that stands at two servers, or without a viewer: a connection ends with a set-up whose
// answer is lost, the core tries elsewhere, and the first server was never told.
func TestReleasesSetUpWhoseConnectionEndsBeforeItsAnswer(t *testing.T) {
	for name, end := range map[string]func(r *rig, conn uint64){
		"reset": func(r *rig, conn uint64) { r.loseConn(conn, r.bytes[conn]) },
		"noise": func(r *rig, conn uint64) { r.p.Received(r.now, 1, conn, []byte("noise noise")); r.take() },
		"half an answer": func(r *rig, conn uint64) {
			b, _ := ready(5).Append(nil)
			r.p.Received(r.now, 1, conn, b[:len(b)-1])
			r.advance(partialMessageTimeout + 50*ms)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.setup(5)
			end(r, r.connect())
			r.checkEnded(5, policy.ConnReset)
			if len(r.dials) != 1 || r.dials[0].Server != 1 { // at once: the next attempt may be sent elsewhere now
				t.Fatalf("connects %+v, want one to server 1", r.dials)
			}
			r.checkReleased(r.connect(), 5)
			r.checkEmpty()
		})
	}
}

// Guards against a release that comes too late: if another connection to the server is open, the release is written
// there before the core learns of the end and sends the next attempt.
func TestReleasesLostSetUpOnOpenConnectionFirst(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	first := r.connect()
	r.do(front.Probe{Server: 1})
	r.advance(300 * ms) // the probe is not answered: the connection takes nothing new
	r.do(front.Probe{Server: 1})
	second := r.connect()
	r.written[second] = nil
	r.p.Lost(r.now, 1, first, r.bytes[first])
	effects, events := r.p.Take()
	released := false
	for _, e := range effects {
		released = released || e.Conn == second && len(e.Bytes) > 0
	}
	if !released || len(events) == 0 {
		t.Errorf("effects %+v, events %+v, want a release on the open connection", effects, events)
	}
}

// Guards against sessions that stand for nobody because their release was written to a connection that then ended: an
// abandoned set-up, and a session whose viewer has left.
func TestWritesReleaseAgainWhenItsConnectionEnds(t *testing.T) {
	for name, leave := range map[string]func(r *rig) uint64{
		"abandoned set-up": func(r *rig) uint64 {
			r.setup(5)
			conn := r.connect()
			r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Cancelled})
			return conn
		},
		"stopped session": func(r *rig) uint64 {
			conn := r.startSession(5)
			r.do(front.Stop{Session: 5, Server: 1})
			return conn
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			conn := leave(r)
			r.loseConn(conn, r.bytes[conn])
			r.advance(minRedialDelay + 25*ms)
			next := r.connect()
			r.checkReleased(next, 5)
			r.serverSends(next, &wire.Message{Type: wire.Released, Session: 5})
			r.loseConn(next, r.bytes[next])
			r.advance(policy.Second)
			if len(r.dials) != 0 {
				t.Error("connects to write a confirmed release again")
			}
			r.checkEmpty()
		})
	}
}

// Guards against a repeated release that cuts a later attempt of the same session at the same server.
func TestDoesNotRepeatReleaseAfterNextSetUpAtSameServer(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.connect()
	r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Expired}) // nothing was read: the connection is retired
	r.do(front.Setup{Session: 5, Attempt: 1, Server: 1, Class: 0, Text: "who", Timeout: 900 * ms})
	next := r.connect()
	r.checkWritten(next, wire.Release, wire.SetUp) // the release on the dead connection may never arrive
	r.serverSends(next, ready(5))
	r.loseConn(conn, r.bytes[conn])
	r.advance(2 * policy.Second)
	r.checkWritten(next, wire.Release, wire.SetUp)
}

// Guards against a release that reaches the server that has the address now and plays the session.
func TestDoesNotReleaseSessionAtSuccessorOfAddress(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.connect()
	r.p.Listed(r.now, []Server{{ID: 3, Addr: "a:1"}}) // server 1 is gone, but not yet removed from the list
	r.loseConn(conn, r.bytes[conn])
	toFirst := r.dials[len(r.dials)-1]
	r.dials = nil
	r.do(front.Setup{Session: 5, Attempt: 1, Server: 3, Class: 0, Text: "who", Timeout: 900 * ms})
	r.p.Connected(r.now, 1, toFirst.Conn)
	r.take()
	if len(r.written[toFirst.Conn]) != 0 {
		t.Errorf("wrote %v to the address of the server that has the session", r.types(toFirst.Conn))
	}
}

// Guards against a release that is never sent because all connections are taken by servers with sessions.
func TestPendingReleaseGetsConnectionAtTheLimit(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(1)
	r.setup(5)
	conn := r.connect()
	r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Cancelled})
	r.loseConn(conn, r.bytes[conn])
	r.dials = nil
	r.do(front.Setup{Session: 6, Server: 2, Class: 0, Text: "who", Timeout: 900 * ms})
	other := r.connect()
	b, _ := ready(6).Append(nil)
	r.p.Received(r.now, 2, other, b)
	r.take()
	r.advance(maxDisconnectedTime + policy.Second)
	if !r.halfClosed[other] {
		t.Fatal("no connection makes room for the release")
	}
}

// Guards against two attempts out at the same time: an answer that fits no line to the viewer is an error, and the core
// tries elsewhere at once, but its release waited for a new connection if its own one took no new set-ups.
func TestReleasesUnusableAnswerOnItsOwnConnection(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.connect()
	r.setup(6)
	r.advance(100 * ms)
	r.do(front.Abandon{Session: 6, Server: 1, Cause: outcome.Expired}) // no answer: the connection takes no new set-ups
	huge := (&wire.Message{Type: wire.Ready, Session: 5}).Add(wire.ParamText, strings.Repeat("\x01", wire.MaxMessage/2))
	r.serverSends(conn, huge)
	r.checkEnded(5, policy.Errored)
	if m := r.lastWritten(conn); m.Type != wire.Release || m.Session != 5 {
		t.Errorf("last written: %+v, want the release of session 5; connects %+v", m, r.dials)
	}
}

// A front ended while the release of a lost set-up waited for a connection. The release must count as pending until it is
// written.
func TestPendingReleasesCountUntilWritten(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.connect()
	r.loseConn(conn, r.bytes[conn])
	if n := r.p.PendingReleases(); n != 1 {
		t.Errorf("%d pending releases after the connection ended, want 1", n)
	}
	r.connect()
	if n := r.p.PendingReleases(); n != 0 {
		t.Errorf("%d pending releases after the next connect, want 0", n)
	}
}

package node

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// endTimeout is the time in which the end of a session must be sent, and the 50 ms that the platform allows on sockets.
const endTimeout = 1050 * time.Millisecond

// endCauses are the events that end a session, and the message to its client.
var endCauses = map[string]struct {
	message string
	end     func(x *testFront, s *platformsim.Server, sid uint64)
}{
	"finished":      {"close", func(_ *testFront, s *platformsim.Server, sid uint64) { s.EndSession(sid, wire.CauseEnded) }},
	"cut":           {"close", func(_ *testFront, s *platformsim.Server, sid uint64) { s.EndSession(sid, wire.CauseReset) }},
	"server killed": {"close", func(_ *testFront, s *platformsim.Server, _ uint64) { s.Kill() }},
	"moved": {"relocate", func(x *testFront, s *platformsim.Server, sid uint64) {
		x.waitFor("the session is moved", func() bool {
			s.SendNote(sid, "quality", "0.02")
			time.Sleep(20 * time.Millisecond)
			return x.snapshot().Moves > 0
		})
	}},
}

// connectionLosses are the ways in which a client loses its connection. Each returns the client's new connection, or
// nil if it connects only after the session has ended.
var connectionLosses = map[string]func(x *testFront, v *platformsim.Viewer) *platformsim.Viewer{
	"reset, replaced at once": func(x *testFront, v *platformsim.Viewer) *platformsim.Viewer {
		v.Reset()
		return x.viewer()
	},
	"closed in order, replaced at once": func(x *testFront, v *platformsim.Viewer) *platformsim.Viewer {
		v.Close()
		return x.viewer()
	},
	"reset, replaced before": func(x *testFront, v *platformsim.Viewer) *platformsim.Viewer {
		replacement := x.viewer()
		x.waitFor("it is accepted", func() bool { return x.snapshot().Conns == 3 })
		v.Reset()
		return replacement
	},
	"reset, replaced seconds later": func(x *testFront, v *platformsim.Viewer) *platformsim.Viewer {
		v.Reset()
		return nil
	},
	"reset, replaced twice": func(x *testFront, v *platformsim.Viewer) *platformsim.Viewer {
		v.Reset()
		first := x.viewer()
		x.probe(first)
		x.waitFor("the loss is noticed", func() bool { return x.snapshot().Conns == 2 })
		first.Reset()
		return x.viewer()
	},
}

// Guards against ends and moves of sessions whose client's connection is gone that reach another client, or none: the
// review's case 9.
func TestEndsReachClientOnNewConnection(t *testing.T) {
	for lossName, lose := range connectionLosses {
		for causeName, cause := range endCauses {
			for _, handedOver := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/handed over %v", lossName, causeName, handedOver)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					x := newTestFront(t, 1024)
					checkEndReachesClient(x, lose, cause.end, cause.message, handedOver)
				})
			}
		}
	}
}

// probe sends a test and waits for its answer.
func (x *testFront) probe(v *platformsim.Viewer) {
	x.t.Helper()
	sid := x.newID()
	v.Probe(sid)
	x.lineFor(v, sid)
}

// checkEndReachesClient checks that a client which loses its connection is told of the end of its session, once, and
// another client of the same host is not.
func checkEndReachesClient(x *testFront, lose func(*testFront, *platformsim.Viewer) *platformsim.Viewer,
	end func(*testFront, *platformsim.Server, uint64), message string, handedOver bool) {
	x.t.Helper()
	v, other := x.viewer(), x.viewer()
	sid, answer := x.open(v, "paid")
	if answer.Msg != wire.LineReady {
		x.t.Fatalf("%+v", answer)
	}
	server := x.serverOf(sid)
	if _, answer := x.open(other, "safe"); answer.Msg != wire.LineReady {
		x.t.Fatalf("%+v", answer)
	}
	if handedOver { // by the client's next connection
		v.Reset()
		v = x.viewer()
		v.Write(platformsim.OpenLine(sid, "paid", time.Second, ";at:"+server.Name()))
		x.probe(v)
		x.waitFor("the old connection is gone", func() bool { return x.snapshot().Conns == 2 })
	}
	accepted := x.snapshot().Viewers.Accepted
	replacement := lose(x, v)
	x.waitFor("the loss is noticed", func() bool {
		s := x.snapshot()
		return s.Conns == 2 && s.Viewers.Accepted > accepted || replacement == nil && s.Conns == 1
	})
	end(x, server, sid)
	endedAt := time.Now()
	if replacement == nil {
		time.Sleep(2 * time.Second)
		replacement, endedAt = x.viewer(), time.Now()
	}
	if l := x.lineFor(replacement, sid); l.Msg != message || time.Since(endedAt) > endTimeout {
		x.t.Errorf("%+v after %v, want a %s within %v", l, time.Since(endedAt), message, endTimeout)
	}
	time.Sleep(300 * time.Millisecond)
	for len(replacement.Lines) > 0 {
		if l := <-replacement.Lines; l.Sid == sid {
			x.t.Errorf("told again: %+v", l)
		}
	}
	x.stopAll()
}

// Guards against a bad client that hands over the session of another one and is told of its end in that one's place, also
// if the other one loses its connection later.
func TestBadClientThatHandsOverAnotherSessionTakesNoEnd(t *testing.T) {
	for _, lost := range []bool{false, true} {
		x := newTestFront(t, 1024)
		v, bad := x.viewer(), x.viewer()
		x.probe(v)
		x.probe(bad)
		sid, _ := x.open(v, "paid")
		server := x.serverOf(sid)
		bad.Write(platformsim.OpenLine(sid, "paid", time.Second, ";at:"+server.Name()))
		x.probe(bad)
		if lost {
			time.Sleep(100 * time.Millisecond)
			v.Reset()
			x.waitFor("the loss is noticed", func() bool { return x.snapshot().Conns == 1 })
			v = x.viewer()
			x.probe(v)
		}
		server.EndSession(sid, wire.CauseEnded)
		endedAt := time.Now()
		if l := x.lineFor(v, sid); l.Msg != wire.LineClose || time.Since(endedAt) > endTimeout {
			t.Errorf("connection lost %v: %+v after %v", lost, l, time.Since(endedAt))
		}
		x.stopAll()
	}
}

// Guards against an end that is sent on a connection that no longer delivers: its client reads nothing, loses the
// connection and connects again.
func TestEndThatDidNotArriveIsSentOnNextConnection(t *testing.T) {
	x := newTestFront(t, 1024)
	for _, s := range x.servers {
		s.SetFaults(platformsim.Faults{TextBytes: 15_000})
	}
	conn := dialWithSmallBuffer(t, x.node.clients.listener.Addr().String())
	sid := x.newID()
	fmt.Fprint(conn, platformsim.OpenLine(sid, "paid", time.Second, ""))
	for range 20 { // their answers fill the buffers
		fmt.Fprint(conn, platformsim.OpenLine(x.newID(), "safe", time.Second, ""))
	}
	x.waitFor("all are answered", func() bool { return x.snapshot().Held == 21 })
	x.serverOf(sid).EndSession(sid, wire.CauseEnded)
	x.waitFor("the end is sent", func() bool { return x.snapshot().Held == 20 })
	conn.SetLinger(0)
	conn.Close()
	v := x.viewer()
	connectedAt := time.Now()
	if l := x.lineFor(v, sid); l.Msg != wire.LineClose || l.Code != wire.CauseEnded || time.Since(connectedAt) > endTimeout {
		t.Errorf("%+v after %v", l, time.Since(connectedAt))
	}
	x.stopAll()
}

// dialWithSmallBuffer connects a client whose system takes in a few KiB that are not read.
func dialWithSmallBuffer(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// Guards against an end that waits for its client to connect again although another connection of that client is open.
func TestEndIsSentOnAnotherConnectionOfLostClient(t *testing.T) {
	x := newTestFront(t, 1024)
	v, other := x.viewer(), x.viewer()
	sid, _ := x.open(v, "paid")
	server := x.serverOf(sid)
	if _, answer := x.open(other, "safe"); answer.Msg != wire.LineReady {
		t.Fatalf("%+v", answer)
	}
	v.Close()
	x.waitFor("the loss is noticed", func() bool { return x.snapshot().Conns == 1 })
	server.EndSession(sid, wire.CauseEnded)
	endedAt := time.Now()
	if l := x.lineFor(other, sid); l.Msg != wire.LineClose || time.Since(endedAt) > endTimeout {
		t.Errorf("%+v after %v", l, time.Since(endedAt))
	}
	x.stopAll()
}

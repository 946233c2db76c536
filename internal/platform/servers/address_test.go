package servers

import (
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// A server's address changes while a connect to the old one is in progress. The resulting connection must not be used:
// unsent set-ups would be written to whichever server has the old address now.
func TestAddressChangeDuringDial(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	old := r.dials[0]
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:9"}})
	r.take()
	if len(r.dials) != 2 || r.dials[1].Dial != "a:9" {
		t.Fatalf("dials %+v, want a second one to a:9", r.dials)
	}
	conn := r.connect()
	r.p.Connected(r.now, 1, old.Conn)
	r.take()
	r.checkWritten(old.Conn)
	r.checkWritten(conn, wire.SetUp)
	if !r.closed[old.Conn] {
		t.Error("the connection to the old address is kept")
	}
	if r.p.openConns != 1 {
		t.Errorf("%d connections counted, want 1", r.p.openConns)
	}
}

// A new server is listed at the address of one whose removal is not received yet. Set-ups for the old server must not
// reach the new one.
func TestRefusesSetUpForServerThatLostItsAddress(t *testing.T) {
	r := newRig(t)
	r.startSession(4)
	r.setup(5)
	r.p.Listed(r.now, []Server{{ID: 3, Addr: "a:1", Started: r.now}})
	r.setup(6)
	r.checkEnded(6, policy.NotSent)
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Draining: true, Removed: true}})
	r.take()
	r.events = nil
	r.do(front.Setup{Session: 7, Server: 3, Class: 1, Name: "7f3a9c21e0b4d655", Text: "who", Timeout: 900 * ms})
	r.checkWritten(r.connect(), wire.SetUp)
	r.p.Listed(r.now, []Server{{ID: 3, Removed: true, Draining: true}, {ID: 4, Addr: "a:1"}}) // once more
	r.do(front.Setup{Session: 8, Server: 4, Class: 1, Name: "7f3a9c21e0b4d655", Text: "who", Timeout: 900 * ms})
	r.checkWritten(r.connect(), wire.SetUp)
	r.p.Listed(r.now, []Server{{ID: 4, Removed: true, Draining: true}})
	if len(r.p.byAddr) != 1 { // that of server 2
		t.Errorf("addresses held: %v, want 1", r.p.byAddr)
	}
}

// The server ends a connection just before a set-up is written there. It must not be written: it could not be
// distinguished from one that ran.
func TestDoesNotWriteSetUpToEndedConnection(t *testing.T) {
	r := newRig(t)
	first := r.startSession(4)
	ended := map[uint64]bool{first: true}
	r.p.cfg.ConnEnded = func(conn uint64) bool { return ended[conn] }
	r.setup(5)
	r.checkWritten(first, wire.SetUp)
	second := r.connect()
	r.checkWritten(second, wire.SetUp)
	r.serverSends(second, ready(5))
	if _, ok := r.events[len(r.events)-1].(front.AttemptStarted); !ok {
		t.Errorf("%+v", r.events)
	}
	ended[second] = true // the set-up is retried once; after that the end of the connection is handled as usual
	r.setup(6)
	third := r.connect()
	ended[third] = true
	r.events = nil
	r.setup(7)
	fourth := r.connect()
	r.checkWritten(third, wire.SetUp)
	r.checkWritten(fourth, wire.SetUp)
}

// The server starts to drain after it was chosen, while the set-up waits for a connection.
func TestEndsUnsentSetUpOfDrainingServer(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Draining: true}})
	r.checkWritten(r.connect())
	r.checkEnded(5, policy.NotSent)
}

// Several set-ups and a probe wait for a connection that its server ends as it opens. After the first set-up has
// detected this, the others must wait for the next connection; a write to the nil connection would crash the front.
func TestAllUnsentSetUpsWaitForNextConnection(t *testing.T) {
	r := newRig(t)
	ended := map[uint64]bool{}
	r.p.cfg.ConnEnded = func(conn uint64) bool { return ended[conn] }
	r.setup(5)
	r.setup(6)
	r.do(front.Probe{Server: 1})
	ended[r.dials[0].Conn] = true
	first := r.connect()
	r.checkWritten(first)
	second := r.connect()
	r.checkWritten(second, wire.SetUp, wire.SetUp, wire.Test)
}

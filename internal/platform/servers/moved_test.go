package servers

import (
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// A server's address changes while a connect to the old one is under way: the connection was taken for its own, and set-ups that
// waited were written to whoever has the old address now.
func TestAnAddressThatChangesWhileItIsConnectedTo(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	old := r.dials[0]
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:9"}})
	r.take()
	if len(r.dials) != 2 || r.dials[1].Dial != "a:9" {
		t.Fatalf("connects: %+v", r.dials)
	}
	conn := r.up()
	r.d.Connected(r.now, 1, old.Conn)
	r.take()
	r.wroteTypes(old.Conn)
	r.wroteTypes(conn, wire.SetUp)
	if !r.closed[old.Conn] {
		t.Error("the connection to the old address is kept")
	}
	if r.d.open != 1 {
		t.Errorf("%d connections counted", r.d.open)
	}
}

// A new server is listed at the address of one whose end is not told yet: what is chosen for the old one would reach the new one.
func TestANewServerAtAUsedAddress(t *testing.T) {
	r := newRig(t)
	r.plays(4)
	r.setup(5)
	r.d.Listed(r.now, []Server{{ID: 3, Addr: "a:1", Started: r.now}})
	r.setup(6)
	r.ended(6, policy.Moot)
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Drains: true, Gone: true}})
	r.take()
	r.news = nil
	r.do(front.Setup{Session: 7, Server: 3, Class: 1, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms})
	r.wroteTypes(r.up(), wire.SetUp)
	r.d.Listed(r.now, []Server{{ID: 3, Gone: true, Drains: true}, {ID: 4, Addr: "a:1"}}) // and so on
	r.do(front.Setup{Session: 8, Server: 4, Class: 1, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms})
	r.wroteTypes(r.up(), wire.SetUp)
	r.d.Listed(r.now, []Server{{ID: 4, Gone: true, Drains: true}})
	if len(r.d.byAddr) != 1 { // server 2
		t.Errorf("addresses kept: %v", r.d.byAddr)
	}
}

// The server ends a connection as a set-up is about to be written there: written, it could not be told from one that ran.
func TestASetUpIsNotWrittenToAConnectionThatHasEnded(t *testing.T) {
	r := newRig(t)
	first := r.plays(4)
	ended := map[uint64]bool{first: true}
	r.d.cfg.Ended = func(conn uint64) bool { return ended[conn] }
	r.setup(5)
	r.wroteTypes(first, wire.SetUp)
	second := r.up()
	r.wroteTypes(second, wire.SetUp)
	r.says(second, ready(5))
	if _, ok := r.news[len(r.news)-1].(front.Began); !ok {
		t.Errorf("%+v", r.news)
	}
	ended[second] = true // of one that ends each connection at once it is told the usual way
	r.setup(6)
	third := r.up()
	ended[third] = true
	r.news = nil
	r.setup(7)
	fourth := r.up()
	r.wroteTypes(third, wire.SetUp)
	r.wroteTypes(fourth, wire.SetUp)
}

// A server drains between the choice and the write, while the set-up waits for its connection once more.
func TestASetUpThatWaitsForAServerThatDrains(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Drains: true}})
	r.wroteTypes(r.up())
	r.ended(5, policy.Moot)
}

// Several set-ups and a test wait for a connection that its server ends as it comes up: after the first had found that out, the
// second was written to no connection at all, and the front crashed.
func TestAllThatWaitedWaitsForTheNextConnection(t *testing.T) {
	r := newRig(t)
	ended := map[uint64]bool{}
	r.d.cfg.Ended = func(conn uint64) bool { return ended[conn] }
	r.setup(5)
	r.setup(6)
	r.do(front.Probe{Server: 1})
	ended[r.dials[0].Conn] = true
	first := r.up()
	r.wroteTypes(first)
	second := r.up()
	r.wroteTypes(second, wire.SetUp, wire.SetUp, wire.Test)
}

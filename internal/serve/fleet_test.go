package serve

import (
	"testing"

	"tealledge/internal/fleet/core"
)

// TestUnavailableServersGetNoSessions checks that servers which the fleet has taken out of service get no new sessions
// and lose those they have, whatever the server list says, and are used again once returned. A front whose own host is
// out refuses requests with a retry delay.
func TestUnavailableServersGetNoSessions(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	until := x.s.now() + 60e9
	x.s.queue.Force(unavailableChanged{core.Reservations{Servers: map[uint32]uint64{1: 7, 2: 8},
		Deadlines: map[uint32]core.Time{1: until, 2: until}}})
	x.waitFor("two of three servers out of service", func() bool { return x.snapshot().ReadyServers == 1 })
	for range 5 {
		a := p.open("safe", "a")
		if a.Result == nil || a.Result.Server != x.farm.Server(3).Addr() {
			t.Fatalf("%+v", a)
		}
	}
	x.list.Set(listEntry(x.farm.Server(1), "ready")) // the list must not override the fleet
	if a := p.open("safe", "a"); a.Result == nil || a.Result.Server != x.farm.Server(3).Addr() {
		t.Fatalf("after a list update: %+v", a)
	}
	x.s.queue.Force(unavailableChanged{core.Reservations{Servers: map[uint32]uint64{3: 9},
		Deadlines: map[uint32]core.Time{3: until}, Returned: map[uint32]core.Time{1: x.s.now()}}})
	x.waitFor("two servers ready and the sessions moved",
		func() bool { return x.snapshot().ReadyServers == 2 && x.farm.Server(3).StreamCount() == 0 })
	p = x.player() // the first player gets notifications of its moves
	x.s.queue.Force(unavailableChanged{core.Reservations{Fronts: map[string]uint64{"f": 10}}})
	x.waitFor("all servers ready", func() bool { return x.snapshot().ReadyServers == 3 })
	if a := p.open("safe", "a"); a.Error == nil || a.Error.Data.RetryAfterMs <= 0 {
		t.Fatalf("want a refusal with a retry delay while the front's host is out of service: %+v", a)
	}
	x.s.queue.Force(unavailableChanged{})
	if a := p.open("safe", "a"); a.Result == nil {
		t.Fatalf("want a session after the front's host has returned: %+v", a)
	}
}

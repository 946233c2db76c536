package serve

import (
	"testing"

	"tealledge/internal/fleet/core"
)

// What the fleet keeps free gets nothing new and loses its sessions, however often the list is told anew; given back, it is
// used again. A front whose own host is out refuses with a time to come back.
func TestTheFleetsWordIsKept(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	until := x.s.now() + 60e9
	x.s.queue.Force(keeps{core.Keeps{Servers: map[uint32]uint64{1: 7, 2: 8}, Until: map[uint32]core.Time{1: until, 2: until}}})
	x.until("two of three kept free", func() bool { return x.look().Ready == 1 })
	for range 5 {
		a := p.open("safe", "a")
		if a.Result == nil || a.Result.Server != x.farm.Server(3).Addr() {
			t.Fatalf("%+v", a)
		}
	}
	x.list.Set(listed(x.farm.Server(1), "ready")) // the list's word does not undo the fleet's
	if a := p.open("safe", "a"); a.Result == nil || a.Result.Server != x.farm.Server(3).Addr() {
		t.Fatalf("after a new list: %+v", a)
	}
	x.s.queue.Force(keeps{core.Keeps{Servers: map[uint32]uint64{3: 9}, Until: map[uint32]core.Time{3: until}, Returned: map[uint32]core.Time{1: x.s.now()}}})
	x.until("two ready, and the sessions moved", func() bool { return x.look().Ready == 2 && x.farm.Server(3).Streams() == 0 })
	p = x.player() // the first one is told of its moves
	x.s.queue.Force(keeps{core.Keeps{Fronts: map[string]uint64{"f": 10}}})
	x.until("all ready", func() bool { return x.look().Ready == 3 })
	if a := p.open("safe", "a"); a.Error == nil || a.Error.Data.RetryAfterMs <= 0 {
		t.Fatalf("its host is out: %+v", a)
	}
	x.s.queue.Force(keeps{})
	if a := p.open("safe", "a"); a.Result == nil {
		t.Fatalf("its host is back: %+v", a)
	}
}

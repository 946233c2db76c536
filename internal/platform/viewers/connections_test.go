package viewers

import (
	"maps"
	"slices"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestOneConnectionDoesNotTakeAll(t *testing.T) {
	r := newRig(t)
	for sid := uint64(5); sid < 9; sid++ {
		r.says(1, open(sid, usual))
	}
	if l := r.last(1); len(r.news) != 3 || l.Sid != 8 || l.Code != wire.CauseRefused || l.Attrs["wait"] != "1000" {
		t.Errorf("%d begun, %+v", len(r.news), l)
	}
	r.do(front.Refused{Session: 5})
	r.says(1, open(10, usual))
	if len(r.news) != 4 {
		t.Error("its room is not free again")
	}
}

func TestWhoGoesWhenConnectionsRunShort(t *testing.T) {
	r := newRig(t)
	r.says(1, open(5, usual)) // an open request
	r.accept(2)
	r.stands(2, 6) // a standing session
	r.accept(3)
	r.says(3, `{"msg":"probe","sid":"0000000000000001","code":0}`) // spoke
	r.accept(4)                                                    // never said anything
	for i, goes := range []uint64{4, 10, 11} {
		conn := uint64(10 + i)
		r.now += ms
		r.accept(conn)
		if !r.closed[goes] {
			t.Errorf("connection %d came: %v went, want %d", conn, slices.Sorted(maps.Keys(r.closed)), goes)
		}
		r.d.Lost(r.now, goes)
	}
	if r.closed[1] || r.closed[2] || r.closed[3] {
		t.Error("one in use went:", r.closed)
	}
}

func TestConnectionsOfNoUseAreClosed(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.says(2, open(5, usual))
	r.accept(3)
	r.stands(3, 6)
	r.accept(4)
	r.d.Received(r.now, r.now, 4, nil, nil, true, nil) // half a line
	r.pass(2100 * ms)
	if !r.closed[1] || !r.closed[4] || r.closed[2] || r.closed[3] {
		t.Fatal(r.closed)
	}
	r.do(front.Refused{Session: 5})
	r.pass(6 * policy.Second)
	if !r.closed[2] || r.closed[3] {
		t.Error(r.closed)
	}
}

func TestASetUpThatCrossesAClose(t *testing.T) {
	r := newRig(t)
	r.stands(1, 5)
	r.do(front.Over{Session: 5, Why: front.WhyEnd})
	r.pass(6100 * ms) // idle: closed
	if !r.closed[1] {
		t.Fatal("not closed")
	}
	r.says(1, open(6, usual)) // it was under way
	if len(r.news) != 0 {
		t.Fatal("begun on a connection that is closed:", r.news)
	}
	r.d.Lost(r.now, 1)
	r.accept(2)
	r.says(2, open(6, usual)) // sent again, once, on a new one
	if len(r.news) != 1 || len(r.wrote[2]) != 0 {
		t.Errorf("%+v %+v", r.news, r.wrote[2])
	}
}

// A release that is owed is not given to a connection that is closed in the same tick.
func TestAReleaseOwedIsToldBeforeItsCarrierIsClosed(t *testing.T) {
	r := newRig(t)
	r.stands(1, 5)
	r.d.Lost(r.now, 1)
	r.do(front.Over{Session: 5, Why: front.WhyEnd})
	r.accept(3)
	r.stands(3, 8)
	r.d.Limit(0)
	r.pass(50 * ms)
	if l := r.last(3); l.Msg != "close" || l.Sid != 5 || !r.closed[3] {
		t.Errorf("%+v, closed %v", l, r.closed[3])
	}
}

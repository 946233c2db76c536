package viewers

import (
	"maps"
	"slices"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestLimitsOpenRequestsPerConnection(t *testing.T) {
	r := newRig(t)
	for sid := uint64(5); sid < 9; sid++ {
		r.clientSends(1, openLine(sid, validAttrs))
	}
	if l := r.lastLine(1); len(r.events) != 3 || l.Sid != 8 || l.Code != wire.CauseRefused ||
		l.Attrs["wait"] != "1000" {
		t.Errorf("%d requests started, want 3; reply %+v", len(r.events), l)
	}
	r.do(front.Refused{Session: 5})
	r.clientSends(1, openLine(10, validAttrs))
	if len(r.events) != 4 {
		t.Error("an answered request still counts towards the limit")
	}
}

// Guards against set-ups for a client that has left: its end is behind much input that is read slowly.
func TestRefusesRequestsOfBackloggedConnection(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.p.cfg.Backlogged = func(conn uint64) bool { return conn == 1 }
	r.clientSends(1, openLine(5, validAttrs))
	r.clientSends(2, openLine(6, validAttrs))
	if l := r.lastLine(1); len(r.events) != 1 || l.Sid != 5 || l.Code != wire.CauseRefused {
		t.Errorf("%d requests started, want one; reply %+v", len(r.events), l)
	}
}

func TestEvictionOrder(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, openLine(5, validAttrs)) // an open request
	r.accept(2)
	r.establish(2, 6) // an established session
	r.accept(3)
	r.clientSends(3, `{"msg":"probe","sid":"0000000000000001","code":0}`) // a valid line
	r.accept(4)                                                           // no line at all
	for i, evicted := range []uint64{4, 10, 11} {
		conn := uint64(10 + i)
		r.now += ms
		r.accept(conn)
		if !r.closed[evicted] {
			t.Errorf("connection %d accepted: closed %v, want %d", conn, slices.Sorted(maps.Keys(r.closed)), evicted)
		}
		r.p.Lost(r.now, evicted)
	}
	if r.closed[1] || r.closed[2] || r.closed[3] {
		t.Error("a connection in use was closed:", r.closed)
	}
}

func TestClosesUnusedConnections(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.clientSends(2, openLine(5, validAttrs))
	r.accept(3)
	r.establish(3, 6)
	r.accept(4)
	r.p.Received(r.now, r.now, 4, nil, nil, 1, nil) // an incomplete line
	r.advance(2100 * ms)
	if !r.closed[1] || !r.closed[4] || r.closed[2] || r.closed[3] {
		t.Fatal(r.closed)
	}
	r.do(front.Refused{Session: 5})
	r.advance(6 * policy.Second)
	if !r.closed[2] || r.closed[3] {
		t.Error(r.closed)
	}
}

func TestRequestThatCrossesIdleClose(t *testing.T) {
	r := newRig(t)
	r.establish(1, 5)
	r.do(front.SessionEnded{Session: 5, Reason: front.EndReasonFinished})
	r.advance(6100 * ms) // past the idle timeout
	if !r.closed[1] {
		t.Fatal("idle connection not closed")
	}
	r.clientSends(1, openLine(6, validAttrs)) // it was in flight
	if len(r.events) != 0 {
		t.Fatal("request started on a closed connection:", r.events)
	}
	r.p.Lost(r.now, 1)
	r.accept(2)
	r.clientSends(2, openLine(6, validAttrs)) // the client repeats it on a new connection
	if len(r.events) != 1 || len(r.written[2]) != 0 {
		t.Errorf("events %+v, want one; written %+v, want nothing", r.events, r.written[2])
	}
}

// A pending end must not be lost on a connection that is closed in the same tick.
func TestSendsPendingEndBeforeClosingConnection(t *testing.T) {
	r := newRig(t)
	r.establish(1, 5)
	r.p.Lost(r.now, 1)
	r.do(front.SessionEnded{Session: 5, Reason: front.EndReasonFinished})
	r.accept(3)
	r.establish(3, 8)
	r.p.SetMaxConns(0)
	r.advance(50 * ms)
	if l := r.lastLine(3); l.Msg != "close" || l.Sid != 5 || !r.closed[3] {
		t.Errorf("last line %+v, closed %v", l, r.closed[3])
	}
}

// A connection that a leaving front closes must have nothing pending: a request that was read, or waits in the socket,
// would be lost with it.
func TestLeavingFrontClosesOnlyQuietConnections(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(10)
	unread := uint64(5)
	r.p.cfg.NoPendingInput = func(conn uint64) bool { return conn != unread }
	for conn := uint64(2); conn <= 6; conn++ {
		r.accept(conn)
	}
	r.clientSends(2, openLine(5, validAttrs))       // an open request
	r.establish(3, 6)                               // a session: it is not bound to its connection
	r.p.Received(r.now, r.now, 4, nil, nil, 1, nil) // an incomplete line
	r.advance(50 * ms)
	r.clientSends(6, `{"msg":"probe","sid":"0000000000000001","code":0}`)
	r.p.CloseQuiet(r.now, 40*ms)
	r.take()
	if got := slices.Sorted(maps.Keys(r.closed)); !slices.Equal(got, []uint64{1, 3}) {
		t.Errorf("closed %v, want 1 and 3", got)
	}
	r.p.CloseUnanswering(r.now)
	r.take()
	if got := slices.Sorted(maps.Keys(r.closed)); !slices.Equal(got, []uint64{1, 3, 4, 5, 6}) {
		t.Errorf("closed %v at last, want all but 2", got)
	}
}

// Guards against a new connection that is closed at the limit, with its first request unread or on its way, while floods
// that never had a session stay because their input is pending.
func TestEvictsFloodsBeforeNewConnections(t *testing.T) {
	r := newRig(t)
	pending := map[uint64]int{}
	r.p.cfg.NoPendingInput = func(conn uint64) bool { return pending[conn] == 0 }
	r.p.cfg.PendingBytes = func(conn uint64) int { return pending[conn] }
	r.establish(1, 5)
	pending[1] = 50 << 10 // its client had a session
	r.accept(2)
	pending[2] = minFloodBytes
	r.accept(3)
	pending[3] = 8 * minFloodBytes
	r.accept(4)
	pending[4] = 300 // one request
	r.now += firstRequestTime
	for i, evicted := range []uint64{3, 2, 10, 11} {
		conn := uint64(10 + i)
		r.now += ms
		r.accept(conn) // its request is on its way
		if !r.closed[evicted] || len(r.closed) != i+1 {
			t.Fatalf("connection %d accepted: closed %v, want %d", conn, slices.Sorted(maps.Keys(r.closed)), evicted)
		}
		r.p.Lost(r.now, evicted)
	}
	if r.p.Stats.EvictedUnread != 2 {
		t.Errorf("%d evicted with unread input, want 2", r.p.Stats.EvictedUnread)
	}
}

// Guards against a flood that pushes usual clients out: a connection that sent invalid lines only is closed first, even
// with pending input, and one that had sessions after those that never had one.
func TestEvictsConnectionsOfBadClientsFirst(t *testing.T) {
	r := newRig(t)
	r.p.cfg.NoPendingInput = func(conn uint64) bool { return conn != 2 && conn != 4 }
	r.establish(1, 5)
	r.do(front.SessionEnded{Session: 5, Reason: front.EndReasonFinished})
	r.now += ms
	r.accept(2)
	r.clientSends(2, `{"msg":"open","sid":"0000000000000006","attrs":{"class":"none"},"text":"x"}`)
	r.accept(3)
	r.clientSends(3, `{"msg":"probe","sid":"0000000000000001","code":0}`)
	r.accept(4) // silent, with unread input
	for i, evicted := range []uint64{2, 3, 1} {
		conn := uint64(10 + i)
		r.now += ms
		r.accept(conn)
		r.clientSends(conn, openLine(100+conn, validAttrs))
		if !r.closed[evicted] {
			t.Errorf("connection %d accepted: closed %v, want %d", conn, slices.Sorted(maps.Keys(r.closed)), evicted)
		}
		r.p.Lost(r.now, evicted)
	}
}

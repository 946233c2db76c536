package viewers

import (
	"reflect"
	"strings"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// restoreLine is a request to restore a session that already plays at a server.
func restoreLine(sid uint64, server string) string {
	return openLine(sid, strings.Replace(validAttrs, "again:1", "at:"+server, 1))
}

// Guards against a session that is handed over and ended in one read, and goes on playing at its server.
func TestEndsHandedOverSessionThatIsEndedInOneRead(t *testing.T) {
	r := newRig(t)
	attrs := strings.Replace(validAttrs, "again:1", "at:s-7", 1)
	r.clientSends(1, openLine(5, attrs), closeLine(5))
	if len(r.events) != 2 {
		t.Fatalf("%+v, want the session restored and ended", r.events)
	}
	_, restored := r.events[0].(front.Restore)
	_, left := r.events[1].(front.Leave)
	if !restored || !left {
		t.Errorf("%+v, want the session restored and ended", r.events)
	}
}

// A request to restore a session at a server that is never listed is refused, not at once but after restoreTimeout, and
// starts nothing.
func TestRestoreAtUnknownServerTimesOut(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, restoreLine(5, "s-9"))
	r.advance(restoreTimeout + 50*ms)
	if l := r.lastLine(1); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseReset || len(r.events) != 0 {
		t.Errorf("reply %+v, events %+v", l, r.events)
	}
	if _, n, _, _ := r.p.Counts(); n != 0 || len(r.p.pendingRestores) != 0 {
		t.Error("the session is still held")
	}
}

// The list that a front gets at its start may be older than the session. Its client must not be notified that the
// session has ended.
func TestRestoreWaitsForServerToBeListed(t *testing.T) {
	r := newRig(t)
	listed := false
	r.p.cfg.ServerID = func(string) (uint32, bool) { return 9, listed }
	r.clientSends(1, restoreLine(5, "s-9"), restoreLine(6, "s-9"))
	r.advance(500 * ms)
	r.clientSends(1, closeLine(6)) // its client ends it meanwhile
	r.events = nil
	listed = true
	r.advance(50 * ms)
	if len(r.events) != 1 || r.events[0].(front.Restore).ID != 5 || r.events[0].(front.Restore).Server != 9 {
		t.Fatalf("%+v", r.events)
	}
	r.events = nil
	r.advance(3 * policy.Second)
	if len(r.written[1]) != 1 || len(r.events) != 0 {
		t.Errorf("written %+v, want only the reply to the close; events %+v, want none", r.written[1], r.events)
	}
}

// A request may name a session that the front already holds. Its client must not be notified of the end of a session
// that still plays.
func TestRepeatedRestoreOfHeldSession(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.establish(1, 5)
	r.clientSends(2, restoreLine(5, "s-7"))
	if len(r.events) != 0 || len(r.written[2]) != 0 {
		t.Fatalf("written %+v, events %+v; want neither", r.written[2], r.events)
	}
	r.p.Lost(r.now, 1)
	r.do(front.SessionEnded{Session: 5, Reason: front.EndReasonFinished})
	if l := r.lastLine(2); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseEnded {
		t.Errorf("end of the session: %+v", l)
	}
	r.clientSends(2, restoreLine(5, "s-7")) // it crossed the end
	if l := r.lastLine(2); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseReset || len(r.events) != 0 {
		t.Errorf("reply %+v, events %+v", l, r.events)
	}
}

// A connection with input that the owner has not handled yet must not be closed as unused, nor evicted: its request
// would be lost.
func TestKeepsConnectionWithPendingInput(t *testing.T) {
	r := newRig(t)
	pending := map[uint64]bool{1: true}
	r.p.cfg.NoPendingInput = func(conn uint64) bool { return !pending[conn] }
	r.advance(10 * policy.Second)
	if r.closed[1] {
		t.Fatal("a connection with pending input was closed as silent")
	}
	for conn := uint64(2); conn <= 5; conn++ { // one more than the limit
		r.accept(conn)
	}
	if r.closed[1] || !reflect.DeepEqual(r.closed, map[uint64]bool{2: true}) {
		t.Fatalf("evicted %v, want only connection 2", r.closed)
	}
	pending[1] = false
	r.advance(50 * ms)
	if !r.closed[1] {
		t.Error("the connection is not closed after its input was handled")
	}
	r.accept(6)
	r.establish(6, 5)
	pending[6] = true
	r.do(front.SessionEnded{Session: 5, Reason: front.EndReasonFinished})
	if r.advance(10 * policy.Second); r.closed[6] {
		t.Error("a connection with pending input was closed as idle")
	}
}

// A limit that is lowered, as when servers join, is enforced without a new connection.
func TestEvictsWhenLimitIsLowered(t *testing.T) {
	r := newRig(t)
	for conn := uint64(2); conn <= 4; conn++ {
		r.accept(conn)
	}
	r.p.SetMaxConns(2)
	r.advance(50 * ms)
	if !reflect.DeepEqual(r.closed, map[uint64]bool{1: true, 2: true}) {
		t.Errorf("closed %v, want 1 and 2", r.closed)
	}
}

package viewers

import (
	"reflect"
	"strings"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// handed is a set-up of a session that plays at a server already.
func restoreLine(sid uint64, server string) string {
	return openLine(sid, strings.Replace(usualAttrs, "again:1", "at:"+server, 1))
}

// One at a server that is on no list is answered in time, and begins nothing: before, at once; now as soon as the list had its
// time to come.
func TestRestoreAtUnknownServerTimesOut(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, restoreLine(5, "s-9"))
	r.advance(restoreTimeout + 50*ms)
	if l := r.lastLine(1); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseReset || len(r.events) != 0 {
		t.Errorf("answered %+v, begun %+v", l, r.events)
	}
	if _, n, _, _ := r.p.Counts(); n != 0 || len(r.p.pendingRestores) != 0 {
		t.Error("it is kept")
	}
}

// The list that a front was given at its start is older than the session: its client was told that it is over.
func TestRestoreWaitsForServerToBeListed(t *testing.T) {
	r := newRig(t)
	listed := false
	r.p.cfg.Host = func(string) (uint32, bool) { return 9, listed }
	r.clientSends(1, restoreLine(5, "s-9"), restoreLine(6, "s-9"))
	r.advance(500 * ms)
	r.clientSends(1, closeLine(6)) // it ends meanwhile
	r.events = nil
	listed = true
	r.advance(50 * ms)
	if len(r.events) != 1 || r.events[0].(front.Adopt).ID != 5 || r.events[0].(front.Adopt).Server != 9 {
		t.Fatalf("%+v", r.events)
	}
	r.events = nil
	r.advance(3 * policy.Second)
	if len(r.written[1]) != 1 || len(r.events) != 0 {
		t.Errorf("said %+v, begun %+v", r.written[1], r.events)
	}
}

// A set-up may name what the front already holds: its client was told that the session is over while it played on.
func TestRepeatedRestoreOfHeldSession(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.establish(1, 5)
	r.clientSends(2, restoreLine(5, "s-7"))
	if len(r.events) != 0 || len(r.written[2]) != 0 {
		t.Fatalf("said %+v, begun %+v", r.written[2], r.events)
	}
	r.p.Lost(r.now, 1)
	r.do(front.Over{Session: 5, Why: front.WhyEnd})
	if l := r.lastLine(2); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseGivenUp {
		t.Errorf("its end: %+v", l)
	}
	r.clientSends(2, restoreLine(5, "s-7")) // it crossed that word
	if l := r.lastLine(2); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseReset || len(r.events) != 0 {
		t.Errorf("%+v, begun %+v", l, r.events)
	}
}

// A connection with words that the owner has not heard is not closed for want of use, nor to make room: its request was closed on.
func TestKeepsConnectionWithPendingInput(t *testing.T) {
	r := newRig(t)
	pending := map[uint64]bool{1: true}
	r.p.cfg.Quiet = func(conn uint64) bool { return !pending[conn] }
	r.advance(10 * policy.Second)
	if r.closed[1] {
		t.Fatal("closed as silent")
	}
	for conn := uint64(2); conn <= 5; conn++ { // one more than are held
		r.accept(conn)
	}
	if r.closed[1] || !reflect.DeepEqual(r.closed, map[uint64]bool{2: true}) {
		t.Fatalf("closed to make room: %v", r.closed)
	}
	pending[1] = false
	r.advance(50 * ms)
	if !r.closed[1] {
		t.Error("it is kept for ever")
	}
	r.accept(6)
	r.establish(6, 5)
	pending[6] = true
	r.do(front.Over{Session: 5, Why: front.WhyEnd})
	if r.advance(10 * policy.Second); r.closed[6] {
		t.Error("closed as idle")
	}
}

// A limit that comes down, as servers join, is kept without a newcomer.
func TestEvictsWhenLimitIsLowered(t *testing.T) {
	r := newRig(t)
	for conn := uint64(2); conn <= 4; conn++ {
		r.accept(conn)
	}
	r.p.Limit(2)
	r.advance(50 * ms)
	if !reflect.DeepEqual(r.closed, map[uint64]bool{1: true, 2: true}) {
		t.Errorf("closed %v", r.closed)
	}
}

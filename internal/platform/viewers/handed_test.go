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
func handed(sid uint64, server string) string {
	return open(sid, strings.Replace(usual, "again:1", "at:"+server, 1))
}

// One at a server that is on no list is answered in time, and begins nothing: before, at once; now as soon as the list had its
// time to come.
func TestHandedOverAtAServerThatNobodyKnows(t *testing.T) {
	r := newRig(t)
	r.says(1, handed(5, "s-9"))
	r.pass(listedBy + 50*ms)
	if l := r.last(1); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseReset || len(r.news) != 0 {
		t.Errorf("answered %+v, begun %+v", l, r.news)
	}
	if _, n, _, _ := r.d.Counts(); n != 0 || len(r.d.early) != 0 {
		t.Error("it is kept")
	}
}

// The list that a front was given at its start is older than the session: its client was told that it is over.
func TestHandedOverBeforeItsServerIsListed(t *testing.T) {
	r := newRig(t)
	known := false
	r.d.cfg.Host = func(string) (uint32, bool) { return 9, known }
	r.says(1, handed(5, "s-9"), handed(6, "s-9"))
	r.pass(500 * ms)
	r.says(1, shut(6)) // it ends meanwhile
	r.news = nil
	known = true
	r.pass(50 * ms)
	if len(r.news) != 1 || r.news[0].(front.Adopt).ID != 5 || r.news[0].(front.Adopt).Server != 9 {
		t.Fatalf("%+v", r.news)
	}
	r.news = nil
	r.pass(3 * policy.Second)
	if len(r.wrote[1]) != 1 || len(r.news) != 0 {
		t.Errorf("said %+v, begun %+v", r.wrote[1], r.news)
	}
}

// A set-up may name what the front already holds: its client was told that the session is over while it played on.
func TestHandedOverAgain(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.stands(1, 5)
	r.says(2, handed(5, "s-7"))
	if len(r.news) != 0 || len(r.wrote[2]) != 0 {
		t.Fatalf("said %+v, begun %+v", r.wrote[2], r.news)
	}
	r.d.Lost(r.now, 1)
	r.do(front.Over{Session: 5, Why: front.WhyEnd})
	if l := r.last(2); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseGivenUp {
		t.Errorf("its end: %+v", l)
	}
	r.says(2, handed(5, "s-7")) // it crossed that word
	if l := r.last(2); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseReset || len(r.news) != 0 {
		t.Errorf("%+v, begun %+v", l, r.news)
	}
}

// A connection with words that the owner has not heard is not closed for want of use, nor to make room: its request was closed on.
func TestAConnectionWithUnheardWordsIsKept(t *testing.T) {
	r := newRig(t)
	unheard := map[uint64]bool{1: true}
	r.d.cfg.Quiet = func(conn uint64) bool { return !unheard[conn] }
	r.pass(10 * policy.Second)
	if r.closed[1] {
		t.Fatal("closed as silent")
	}
	for conn := uint64(2); conn <= 5; conn++ { // one more than are held
		r.accept(conn)
	}
	if r.closed[1] || !reflect.DeepEqual(r.closed, map[uint64]bool{2: true}) {
		t.Fatalf("closed to make room: %v", r.closed)
	}
	unheard[1] = false
	r.pass(50 * ms)
	if !r.closed[1] {
		t.Error("it is kept for ever")
	}
	r.accept(6)
	r.stands(6, 5)
	unheard[6] = true
	r.do(front.Over{Session: 5, Why: front.WhyEnd})
	if r.pass(10 * policy.Second); r.closed[6] {
		t.Error("closed as idle")
	}
}

// A limit that comes down, as servers join, is kept without a newcomer.
func TestALimitThatComesDown(t *testing.T) {
	r := newRig(t)
	for conn := uint64(2); conn <= 4; conn++ {
		r.accept(conn)
	}
	r.d.Limit(2)
	r.pass(50 * ms)
	if !reflect.DeepEqual(r.closed, map[uint64]bool{1: true, 2: true}) {
		t.Errorf("closed %v", r.closed)
	}
}

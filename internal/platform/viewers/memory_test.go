package viewers

import (
	"strings"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// Guards against incomplete lines that fill the memory together: hundreds of clients that stop within a large request
// brought a front over its limit. Clients with short incomplete lines are not affected.
func TestClosesConnectionsWithLongestIncompleteLines(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(10)
	r.p.cfg.MaxPartialBytes = 1000
	receive := func(conn uint64, bytes int) {
		r.p.Received(r.now, r.now, conn, nil, nil, bytes, nil)
		r.take()
	}
	for conn := uint64(2); conn <= 4; conn++ {
		r.accept(conn)
	}
	receive(1, 100)
	receive(2, 500)
	receive(3, 400)
	if len(r.closed) > 0 {
		t.Fatal("closed within the limit:", r.closed)
	}
	receive(4, 50)
	if l := r.lastLine(2); !r.closed[2] || len(r.closed) != 1 || l.Msg != "" {
		t.Errorf("closed %v, want 2 at once, and not after its last line %+v", r.closed, l)
	}
	receive(1, 0) // its line is complete
	r.p.Lost(r.now, 3)
	if r.p.partialBytes != 50 {
		t.Errorf("%d bytes counted, want 50", r.p.partialBytes)
	}
}

// Guards against a limit on incomplete lines that costs a client its open requests while others could be closed.
func TestLimitOnIncompleteLinesSparesOpenRequests(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(10)
	r.p.cfg.MaxPartialBytes = 1000
	incomplete := func(conn uint64, bytes int) {
		r.p.Received(r.now, r.now, conn, nil, nil, bytes, nil)
		r.take()
	}
	for conn := uint64(2); conn <= 5; conn++ {
		r.accept(conn)
	}
	r.clientSends(1, openLine(7, validAttrs))
	r.establish(2, 8)
	incomplete(1, 700) // a request is open
	incomplete(2, 100) // it has a session
	incomplete(3, 150)
	r.advance(stalledAfter)
	incomplete(4, 200)
	if !r.closed[3] || len(r.closed) != 1 {
		t.Fatalf("closed %v, want 3, which has stalled", r.closed)
	}
	incomplete(5, 101)
	if !r.closed[4] || len(r.closed) != 2 {
		t.Fatalf("closed %v, want 4, whose line is longer", r.closed)
	}
	incomplete(5, 301)
	if !r.closed[5] || len(r.closed) != 3 {
		t.Fatalf("closed %v, want 5, which never had a session", r.closed)
	}
	incomplete(2, 400)
	if !r.closed[2] || len(r.closed) != 4 || len(r.p.conns[1].openRequests) != 1 {
		t.Errorf("closed %v, want 2, on which no request is open", r.closed)
	}
}

// Guards against a line that is written slowly and ends the requests that are open on its connection.
func TestIncompleteLineKeepsConnectionWithOpenRequest(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, openLine(7, validAttrs))
	r.p.Received(r.now, r.now, 1, nil, nil, 100, nil)
	r.advance(r.p.cfg.PartialLineTimeout + 100*ms)
	if r.closed[1] {
		t.Fatal("closed with an open request")
	}
	r.do(front.Refused{Session: 7})
	pending := true
	r.p.cfg.NoPendingInput = func(uint64) bool { return !pending }
	r.advance(100 * ms)
	if r.closed[1] {
		t.Fatal("closed while the rest of the line may be unread")
	}
	pending = false
	r.advance(100 * ms)
	if !r.closed[1] {
		t.Error("still open without a request, with a line that does not end")
	}
}

// Guards against descriptions of waiting requests that fill the memory together. Small ones are admitted for longer.
func TestRefusesLargeRequestsPastMemoryLimit(t *testing.T) {
	r := newRig(t)
	r.p.cfg.MaxOpenBytes = 5000
	open := func(sid uint64, length int) {
		r.clientSends(1, strings.Replace(openLine(sid, validAttrs), `who\r\n`, strings.Repeat("w", length), 1))
	}
	open(5, 4000)
	open(6, 2000)
	if l := r.lastLine(1); l.Sid != 6 || l.Code != wire.CauseRefused || len(r.events) != 1 {
		t.Fatalf("last line %+v, %d requests started; want 6 refused", l, len(r.events))
	}
	open(7, 1000)
	if len(r.events) != 2 {
		t.Error("a small request was refused because of large ones")
	}
	r.do(front.Plays{Session: 5, Text: "mine"})
	r.do(front.Refused{Session: 7})
	if r.p.openBytes != 0 {
		t.Errorf("%d bytes counted without an open request", r.p.openBytes)
	}
}

// Guards against sessions handed over without end, which were all held. Past the limit their client is told that they
// are over.
// Guards against sessions of a client that are reported as over because another one handed over thousands.
func TestSessionsPastLimitEndWhereMostWereHandedOver(t *testing.T) {
	r := newRig(t)
	r.p.cfg.MaxSessions = 10
	attrs := strings.Replace(validAttrs, "again:1", "at:s-7", 1)
	for sid := uint64(100); sid < 110; sid++ {
		r.clientSends(1, openLine(sid, attrs))
	}
	r.accept(2)
	r.events = nil
	for sid := uint64(5); sid < 10; sid++ {
		r.clientSends(2, openLine(sid, attrs))
	}
	left := 0
	for _, e := range r.events {
		if _, ok := e.(front.Leave); ok {
			left++
		}
	}
	if len(r.written[2]) > 0 || len(r.written[1]) != left || left < 5 || len(r.p.sessions) > 10 {
		t.Errorf("told on 2: %v; %d ends on 1, %d left; %d sessions, want none, the same and at least 5, 10 at most",
			r.written[2], len(r.written[1]), left, len(r.p.sessions))
	}
	for sid := uint64(20); sid < 30; sid++ {
		r.clientSends(2, openLine(sid, attrs)) // no more than on 1
	}
	if len(r.p.sessions) > 10 || len(r.written[2]) == 0 {
		t.Errorf("%d sessions, and none of 2 was reported as over", len(r.p.sessions))
	}
}

func TestRestoresNoSessionPastLimit(t *testing.T) {
	r := newRig(t)
	r.p.cfg.MaxSessions = 2
	attrs := strings.Replace(validAttrs, "again:1", "at:s-7", 1)
	for sid := uint64(5); sid <= 7; sid++ {
		r.clientSends(1, openLine(sid, attrs))
	}
	if l := r.lastLine(1); l.Sid != 7 || l.Code != wire.CauseReset || len(r.events) != 2 {
		t.Errorf("last line %+v, %d events; want the end of 7, and two sessions restored", l, len(r.events))
	}
	if restored := r.events[0].(front.Restore); restored.Text != "" {
		t.Errorf("the description %q of a session that plays is held", restored.Text)
	}
}

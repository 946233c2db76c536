package viewers

import (
	"net/netip"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func probeLine() string { return `{"msg":"probe","sid":"0000000000000999","attrs":{},"code":0}` }

// endSession lets the core end a session.
func (r *rig) endSession(sid uint64) {
	r.do(front.SessionEnded{Session: sid, Reason: front.EndReasonFinished})
}

// endsOn returns how often the end of a session was sent on a connection.
func (r *rig) endsOn(conn, sid uint64) (n int) {
	for _, l := range r.written[conn] {
		if l.Sid == sid && l.Msg == wire.LineClose {
			n++
		}
	}
	return n
}

// lose reports the end of a connection.
func (r *rig) lose(conn uint64) { r.p.Lost(r.now, conn); r.take() }

// Guards against an end that nobody hears: the connection that it is sent on ends before its client can have read it.
// Once it has been read it is not sent again.
func TestEndIsSentAgainIfItsConnectionIsLostAtOnce(t *testing.T) {
	for _, c := range []struct {
		lostAfter Time
		ends      int
	}{{confirmTime / 2, 1}, {2 * confirmTime, 0}} {
		r := newRig(t)
		r.establish(1, 5)
		r.endSession(5)
		r.advance(c.lostAfter)
		r.lose(1)
		r.accept(2)
		r.clientSends(2, probeLine())
		r.advance(policy.Second)
		if r.endsOn(1, 5) != 1 || r.endsOn(2, 5) != c.ends || r.p.Stats.EndsRepeated != uint64(c.ends) {
			t.Errorf("lost after %v ms: sent %d times on 1, %d on 2, want 1 and %d", c.lostAfter/ms, r.endsOn(1, 5),
				r.endsOn(2, 5), c.ends)
		}
	}
}

// Guards against an end that stays in the front's system as the network to its client is cut: it is sent on the client's
// next connection though the first is not lost yet.
func TestEndThatDoesNotArriveIsSentOnAnotherConnection(t *testing.T) {
	r := newRig(t)
	r.p.cfg.OutputArrived = func(conn uint64) bool { return conn != 1 }
	r.establish(1, 5)
	r.accept(2)
	r.clientSends(2, probeLine())
	r.endSession(5)
	r.advance(arrivalTimeout - 50*ms)
	if r.endsOn(2, 5) != 0 {
		t.Error("sent elsewhere before the timeout")
	}
	r.advance(100 * ms)
	if r.endsOn(1, 5) != 1 || r.endsOn(2, 5) != 1 {
		t.Errorf("sent %d times on 1, %d on 2, want once each", r.endsOn(1, 5), r.endsOn(2, 5))
	}
	r.lose(1)
	r.accept(3)
	r.clientSends(3, probeLine())
	r.advance(50 * ms)
	if r.endsOn(3, 5) != 1 {
		t.Error("not sent on the connection that replaced the lost one")
	}
}

// Guards against the end of a session that is sent to one of two clients of a host which lost their connections together,
// and not to its own.
func TestEndsReachEachOfClientsLostTogether(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(10)
	r.accept(2)
	r.accept(3)
	r.establish(1, 5)
	r.establish(2, 6)
	r.establish(3, 7) // another client, which stays
	r.advance(policy.Second)
	r.lose(1)
	r.lose(2)
	r.accept(4) // its client is that of 2
	r.clientSends(4, probeLine())
	r.endSession(5)
	r.accept(5)
	r.clientSends(5, probeLine())
	r.endSession(6)
	r.advance(50 * ms)
	if r.endsOn(5, 5) != 1 || r.endsOn(4, 6) != 1 || r.endsOn(3, 5)+r.endsOn(3, 6) != 0 {
		t.Errorf("session 5 on 5: %d, 6 on 4: %d, both on 3: %d; want 1, 1, 0", r.endsOn(5, 5), r.endsOn(4, 6),
			r.endsOn(3, 5)+r.endsOn(3, 6))
	}
}

// Guards against idle connections that keep the ends of sessions from the client which connects after them.
func TestIdleConnectionsReplaceNone(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(20)
	r.establish(1, 5)
	r.advance(policy.Second)
	r.lose(1)
	for conn := uint64(2); conn < 15; conn++ {
		r.accept(conn)
	}
	r.accept(15)
	r.clientSends(15, probeLine())
	r.endSession(5)
	r.advance(50 * ms)
	if r.endsOn(15, 5) != 1 {
		t.Error("its client was not told")
	}
}

// An end goes to the host of its client if it can, and waits for the client's next connection a moment before that.
func TestEndOfLostClientIsSentToItsHostFirst(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.p.Accepted(r.now, 3, netip.MustParseAddr("192.0.2.9"))
	for conn := uint64(2); conn <= 3; conn++ {
		r.clientSends(conn, probeLine())
	}
	r.establish(1, 5)
	r.advance(policy.Second)
	r.clientSends(3, probeLine())
	r.lose(1)
	r.endSession(5)
	r.advance(replacementTime - 50*ms)
	if r.endsOn(2, 5)+r.endsOn(3, 5) != 0 {
		t.Error("sent elsewhere at once")
	}
	r.advance(100 * ms)
	if r.endsOn(2, 5) != 1 || r.endsOn(3, 5) != 0 {
		t.Errorf("sent %d times on 2, %d on 3, want once on 2", r.endsOn(2, 5), r.endsOn(3, 5))
	}
	r.advance(policy.Second)
	r.accept(4)
	r.advance(50 * ms)
	if r.endsOn(4, 5) != 1 {
		t.Error("not sent on the client's next connection")
	}
}

// An end that its client has confirmed is not sent again, and one that expires is dropped.
func TestPendingEndIsConfirmedOrExpires(t *testing.T) {
	r := newRig(t)
	r.establish(1, 5)
	r.establish(1, 6)
	r.lose(1)
	r.accept(2)
	r.endSession(5)
	r.clientSends(2, `{"msg":"closed","sid":"0000000000000005","attrs":{}}`)
	r.lose(2)
	r.endSession(6)
	r.accept(3)
	r.advance(50 * ms)
	if r.endsOn(3, 5) != 0 || r.endsOn(3, 6) != 1 {
		t.Errorf("session 5 sent %d times on 3, 6 %d times; want 0 and 1", r.endsOn(3, 5), r.endsOn(3, 6))
	}
	r.lose(3)
	r.advance(pendingEndTTL + 50*ms)
	if _, _, _, pending := r.p.Counts(); pending != 0 || len(r.p.lost) != 0 || r.p.unconfirmedEnds != 0 {
		t.Errorf("%d ends pending, %d groups, %d unconfirmed", pending, len(r.p.lost), r.p.unconfirmedEnds)
	}
}

// Guards against the end of a session that is sent only to another client, which has handed over the same session again.
func TestEndIsNotTakenByClientThatHandsOverTheSameSession(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(10)
	r.clientSends(1, restoreLine(5, "s-7"), restoreLine(6, "s-7"))
	r.advance(policy.Second)
	for conn := uint64(2); conn < 8; conn++ {
		r.accept(conn)
		r.clientSends(conn, restoreLine(5, "s-7"), restoreLine(6, "s-7"))
	}
	r.endSession(5)
	if r.endsOn(1, 5) != 1 {
		t.Error("its own client was not told")
	}
	r.advance(policy.Second)
	r.lose(1)
	r.clientSends(2, restoreLine(6, "s-7"))
	r.accept(9)
	r.clientSends(9, probeLine())
	r.endSession(6)
	if r.endsOn(9, 6) != 1 || r.endsOn(2, 6) != 1 {
		t.Errorf("sent %d times on its client's new connection, %d on one that handed it over again, want once each",
			r.endsOn(9, 6), r.endsOn(2, 6))
	}
	for conn := uint64(3); conn < 8; conn++ {
		r.clientSends(conn, `{"msg":"closed","sid":"0000000000000006","attrs":{}}`)
	}
	r.lose(9)
	r.accept(10)
	r.clientSends(10, probeLine())
	r.advance(50 * ms)
	if r.endsOn(10, 6) != 1 {
		t.Error("not sent again after a confirmation of another client")
	}
}

// Guards against a session that is handed over again after its end, before its client could be told: it was taken for a new
// one, reported as over, and held for ever.
func TestSessionHandedOverAfterItsEndIsNotHeldAgain(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, restoreLine(5, "s-7"))
	r.lose(1)
	r.endSession(5)
	r.events = nil
	r.advance(pendingEndTTL - 500*ms)
	r.accept(2)
	r.clientSends(2, restoreLine(5, "s-7"))
	r.advance(policy.Second)
	if _, held, _, _ := r.p.Counts(); held != 0 || len(r.events) != 0 || r.endsOn(2, 5) != 1 {
		t.Errorf("%d sessions held, events %+v, told %d times; want none and once", held, r.events, r.endsOn(2, 5))
	}
}

// Guards against a client that leaves its output unread while it sends on, or goes with hundreds of ends unread: they
// filled the connections of other clients.
func TestUnreadEndsOfFloodAreNotSentToOthers(t *testing.T) {
	r := newRig(t)
	r.p.SetMaxConns(10)
	r.accept(2)
	r.clientSends(2, probeLine())
	r.p.cfg.OutputArrived = func(conn uint64) bool { return conn != 1 }
	const sessions = maxRepeatedElsewhere + 1
	for sid := uint64(100); sid < 100+sessions; sid++ {
		r.clientSends(1, restoreLine(sid, "s-7"))
		r.endSession(sid)
	}
	for range 10 {
		r.advance(arrivalTimeout / 2)
		r.clientSends(1, probeLine())
	}
	r.advance(policy.Second)
	r.lose(1)
	r.advance(policy.Second)
	told := 0
	for _, l := range r.written[2] {
		if l.Msg == wire.LineClose {
			told++
		}
	}
	if told != 0 {
		t.Errorf("another client was told of %d ends, want none", told)
	}
}

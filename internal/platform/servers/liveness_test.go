package servers

import (
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestEndsSessionsOfDeadServer(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	r.loseConn(conn, r.bytes[conn])
	r.failDial(Refused)
	if len(r.events) != 0 {
		t.Error("sessions ended at the first refused connect")
	}
	r.advance(minRedialDelay + 50*ms)
	r.failDial(Refused)
	r.checkEnded(5, policy.ConnReset)
	r.advance(policy.Second)
	r.checkWritten(r.connect(), wire.Release) // in case the server was only at its connection limit
	r.checkEmpty()

	r = newRig(t) // connects that end at once prove nothing
	conn = r.startSession(5)
	r.loseConn(conn, r.bytes[conn])
	for range 6 {
		r.failDial(OtherFailure)
		r.advance(minRedialDelay + 50*ms)
	}
	if len(r.events) != 0 {
		t.Errorf("server considered down: %+v", r.events)
	}
	r = newRig(t) // it refuses connects at its limit, and a connection to it is open
	conn = r.startSession(5)
	for range 4 {
		r.advance(silenceTimeout + 50*ms)
		r.failDial(Refused)
		if r.advance(25 * ms); len(r.dials) == 0 { // a probe was sent instead of a connect
			r.serverSends(conn, (&wire.Message{Type: wire.Tested,
				Session: r.lastWritten(conn).Session}).AddCause(wire.CauseReport))
		}
	}
	if r.p.Stats.Tests == 0 || len(r.p.attempts) != 1 || r.closed[conn] {
		t.Errorf("server considered down after %d probes: %+v", r.p.Stats.Tests, r.events)
	}

	r = newRig(t)
	conn = r.startSession(5)
	began := r.now
	for len(r.events) == 0 && r.now < began+7*policy.Second { // silent, and no connect is answered
		r.advance(25 * ms)
		if len(r.dials) > 0 {
			r.now += 250 * ms
			r.failDial(TimedOut)
		}
	}
	r.checkEnded(5, policy.ConnReset)
	if !r.closed[conn] || r.now-began > 7*policy.Second { // its viewer is to be notified within 8 s
		t.Error("connection not closed, or the end detected too late: after", (r.now-began)/ms, "ms")
	}
	r.checkEmpty()
}

// The end of a process does not always show on its open connections. Its sessions have ended nevertheless, and their
// viewers must be notified within 8 s.
func TestDetectsProcessEndWithoutReset(t *testing.T) {
	removed := []Server{{ID: 1, Addr: "a:1", Draining: true, Removed: true}}
	for name, c := range map[string]struct {
		listed []Server
		at     Time // when the list reports the removal
		dials  Failure
	}{
		"removed from the list first": {removed, 100 * ms, Refused},
		"refusing connects first":     {removed, 3500 * ms, Refused},
		"never removed from the list": {nil, 0, Refused},
		"address reused by another": {[]Server{{ID: 1, Addr: "a:1", Draining: true, Removed: true},
			{ID: 3, Addr: "a:1", Started: start}},
			100 * ms, OtherFailure},
	} {
		r := newRig(t)
		conn := r.startSession(5)
		began := r.now
		for len(r.p.attempts) > 0 && r.now < began+8*policy.Second {
			r.advance(25 * ms)
			if c.listed != nil && r.now >= began+c.at {
				r.p.Listed(r.now, c.listed)
				r.take()
				c.listed = nil
			}
			if len(r.dials) > 0 {
				r.failDial(c.dials)
			}
		}
		r.checkEnded(5, policy.ConnReset)
		if r.now-began > 7*policy.Second || !r.closed[conn] {
			t.Errorf("%s: detected after %d ms, want at most 7000 ms; connection closed: %v", name, (r.now-began)/ms,
				r.closed[conn])
		}
	}
}

func TestEndsSessionsWhenAddressIsReused(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Draining: true, Removed: true}, {ID: 3, Addr: "a:1"}})
	if len(r.events) != 0 {
		t.Error("session ended before its connection:", r.events)
	}
	r.loseConn(conn, r.bytes[conn])
	r.checkEnded(5, policy.ConnReset)
	r.advance(policy.Second)
	if _, peers, _ := r.p.Counts(); peers != 2 || len(r.dials) != 0 {
		t.Error("the old server is still held or dialled:", peers, r.dials)
	}
	r = newRig(t) // the same server with a restarted process
	r.startSession(5)
	r.now += policy.Second
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Started: r.now - ms}})
	r.take()
	r.checkEnded(5, policy.ConnReset)
}

func TestForgetsRemovedServer(t *testing.T) {
	r := newRig(t)
	conn := r.startSession(5)
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Draining: true, Removed: true}})
	r.advance(500 * ms)
	if _, peers, _ := r.p.Counts(); peers != 2 {
		t.Fatal("server forgotten while a session is established")
	}
	r.serverSends(conn, release(5, 41))
	r.advance(policy.Second)
	if _, peers, conns := r.p.Counts(); peers != 1 || conns != 0 {
		t.Error(peers, conns)
	}
	r.do(front.Setup{Session: 8, Server: 1})
	r.checkEnded(8, policy.NoConnect)
}

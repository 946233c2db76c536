package servers

import (
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestAProcessThatDiedAndAMachineThatVanished(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	r.lost(conn, r.bytes[conn])
	r.fails(Refused)
	if len(r.news) != 0 {
		t.Error("given up on at the first refusal")
	}
	r.pass(redialGap + 50*ms)
	r.fails(Refused)
	r.ended(5, policy.ResetConn)
	r.pass(policy.Second)
	r.wroteTypes(r.up(), wire.Release) // it was only full of connections: it does not play on for nobody
	r.empty()

	r = newRig(t) // connects that end at once prove nothing
	conn = r.plays(5)
	r.lost(conn, r.bytes[conn])
	for range 6 {
		r.fails(Broke)
		r.pass(redialGap + 50*ms)
	}
	if len(r.news) != 0 {
		t.Errorf("taken for gone: %+v", r.news)
	}
	r = newRig(t) // it refuses at its limit, and a connection to it stands
	conn = r.plays(5)
	for range 4 {
		r.pass(quietFor + 50*ms)
		r.fails(Refused)
		if r.pass(25 * ms); len(r.dials) == 0 { // it was asked for a word
			r.says(conn, (&wire.Message{Type: wire.Tested, Session: r.last(conn).Session}).AddCause(wire.CauseReport))
		}
	}
	if r.d.Stats.Tests == 0 || len(r.d.attempts) != 1 || r.closed[conn] {
		t.Errorf("taken for dead after %d tests: %+v", r.d.Stats.Tests, r.news)
	}

	r = newRig(t)
	conn = r.plays(5)
	began := r.now
	for len(r.news) == 0 && r.now < began+7*policy.Second { // silent; no connect comes up
		r.pass(25 * ms)
		if len(r.dials) > 0 {
			r.now += 250 * ms
			r.fails(Unanswered)
		}
	}
	r.ended(5, policy.ResetConn)
	if !r.closed[conn] || r.now-began > 7*policy.Second { // its viewer is told within 8 s
		t.Error("noticed after", (r.now-began)/ms, "ms")
	}
	r.empty()
}

// The end of a process is not always heard of on the connections that stood. Its sessions are over all the same, and that must
// be told within 8 s.
func TestAProcessWhoseEndNobodyTold(t *testing.T) {
	gone := []Server{{ID: 1, Addr: "a:1", Drains: true, Gone: true}}
	for name, c := range map[string]struct {
		listed []Server
		at     Time // when the list tells
		dials  Failure
	}{
		"off the list first":  {gone, 100 * ms, Refused},
		"refusing first":      {gone, 3500 * ms, Refused},
		"the list never says": {nil, 0, Refused},
		"another at its address": {[]Server{{ID: 1, Addr: "a:1", Drains: true, Gone: true}, {ID: 3, Addr: "a:1", Started: start}},
			100 * ms, Broke},
	} {
		r := newRig(t)
		conn := r.plays(5)
		began := r.now
		for len(r.d.attempts) > 0 && r.now < began+8*policy.Second {
			r.pass(25 * ms)
			if c.listed != nil && r.now >= began+c.at {
				r.d.Listed(r.now, c.listed)
				r.take()
				c.listed = nil
			}
			if len(r.dials) > 0 {
				r.fails(c.dials)
			}
		}
		r.ended(5, policy.ResetConn)
		if r.now-began > 7*policy.Second || !r.closed[conn] {
			t.Errorf("%s: noticed after %d ms, closed %v", name, (r.now-began)/ms, r.closed[conn])
		}
	}
}

func TestAnotherServerAtTheAddress(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Drains: true, Gone: true}, {ID: 3, Addr: "a:1"}})
	if len(r.news) != 0 {
		t.Error("over before its connection is:", r.news)
	}
	r.lost(conn, r.bytes[conn])
	r.ended(5, policy.ResetConn)
	r.pass(policy.Second)
	if _, lines, _ := r.d.Counts(); lines != 2 || len(r.dials) != 0 {
		t.Error("the old server is kept or dialled:", lines, r.dials)
	}
	r = newRig(t) // the same server, a newer process
	r.plays(5)
	r.now += policy.Second
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Started: r.now - ms}})
	r.take()
	r.ended(5, policy.ResetConn)
}

func TestAServerThatLeavesIsForgotten(t *testing.T) {
	r := newRig(t)
	conn := r.plays(5)
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Drains: true, Gone: true}})
	r.pass(500 * ms)
	if _, lines, _ := r.d.Counts(); lines != 2 {
		t.Fatal("forgotten while a session stands")
	}
	r.says(conn, release(5, 41))
	r.pass(policy.Second)
	if _, lines, links := r.d.Counts(); lines != 1 || links != 0 {
		t.Error(lines, links)
	}
	r.do(front.Setup{Session: 8, Server: 1})
	r.ended(8, policy.NoConnect)
}

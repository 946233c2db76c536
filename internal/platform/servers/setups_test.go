package servers

import (
	"reflect"
	"testing"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestSessionLifecycle(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	if a := r.dials[0]; a.Dial != "a:1" || a.Timeout != 250*ms {
		t.Fatalf("%+v", a)
	}
	r.now += 100 * ms
	conn := r.connect()
	m := r.written[conn][0]
	for code, want := range map[uint8]string{wire.ParamClass: "paid", wire.ParamTitle: "7f3a9c21e0b4d655",
		wire.ParamRung: "2", wire.ParamText: "who", wire.ParamTimeout: "800"} {
		if v, _ := m.Get(code); string(v) != want {
			t.Errorf("parameter %d is %q, want %q", code, v, want)
		}
	}
	r.now += 30 * ms
	// Provisional; of an unknown session; of this session; a duplicate.
	r.serverSends(conn, &wire.Message{Type: wire.Trying, Session: 5}, ready(99), ready(5), ready(5))
	if want := []front.Event{front.AttemptStarted{Session: 5, Took: 130 * ms, Text: "mine"}}; !reflect.DeepEqual(r.events,
		want) {
		t.Fatalf("%+v", r.events)
	}
	r.events = nil
	r.do(front.SetRung{Session: 5, Server: 1, Rung: 1})
	r.serverSends(conn, (&wire.Message{Type: wire.Note, Session: 5}).Add(wire.ParamNote,
		"quality").Add(wire.ParamNoteValue, "0.5"))
	if want := []front.Event{front.Note{Session: 5, Kind: policy.NoteShare, Value: 0.5}}; !reflect.DeepEqual(r.events,
		want) {
		t.Fatalf("%+v", r.events)
	}
	r.events = nil
	r.serverSends(conn, release(5, 16).Add(wire.ParamReport, "x0:1;x1:2"))
	if e, _ := r.events[0].(front.AttemptEnded); !reflect.DeepEqual(e.Report, []float64{1, 2}) {
		t.Errorf("%+v", r.events)
	}
	r.checkEnded(5, policy.OK)
	r.checkWritten(conn, wire.SetUp, wire.Level, wire.Released)
	r.checkEmpty()
}

func TestStatusOfEachEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(r *rig, conn uint64)
		status policy.Status
	}{
		{"full", func(r *rig, conn uint64) { r.serverSends(conn, release(5, 34)) }, policy.Full},
		{"error", func(r *rig, conn uint64) { r.serverSends(conn, release(5, 47)) }, policy.Errored},
		{"moot", func(r *rig, conn uint64) { r.serverSends(conn, release(5, 102)) }, policy.NotSent},
		{"reset", func(r *rig, conn uint64) { r.serverSends(conn, release(5, 41)) }, policy.ConnReset},
		{"another cause", func(r *rig, conn uint64) { r.serverSends(conn, release(5, 77)) }, policy.ConnReset},
		{"no cause", func(r *rig, conn uint64) { r.serverSends(conn, &wire.Message{Type: wire.Release, Session: 5}) },
			policy.ConnReset},
		{"written, then reset", func(r *rig, conn uint64) { r.loseConn(conn, r.bytes[conn]) }, policy.ConnReset},
		{"noise", func(r *rig, conn uint64) { r.p.Received(r.now, 1, conn, []byte("noise noise")); r.take() },
			policy.ConnReset},
		{"an answer without a description", func(r *rig, conn uint64) {
			r.serverSends(conn, &wire.Message{Type: wire.Ready, Session: 5})
		}, policy.ConnReset},
		{"half an answer", func(r *rig, conn uint64) {
			b, _ := ready(5).Append(nil)
			r.p.Received(r.now, 1, conn, b[:len(b)-1])
			r.advance(partialMessageTimeout + 50*ms)
		}, policy.ConnReset},
		{"expired", func(r *rig, conn uint64) { r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Expired}) },
			policy.TimedOut},
		{"withdrawn", func(r *rig, conn uint64) { r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Cancelled}) },
			policy.Cancelled},
	} {
		r := newRig(t)
		r.setup(5)
		conn := r.connect()
		c.do(r, conn)
		t.Log(c.name)
		r.checkEnded(5, c.status)
	}
}

func TestUnsentSetUps(t *testing.T) {
	for _, refused := range []Failure{Refused, TimedOut, OtherFailure} {
		r := newRig(t)
		r.setup(5)
		r.failDial(refused)
		r.checkEnded(5, policy.NoConnect)
	}
	r := newRig(t)
	r.setup(5)
	r.do(front.Withdraw{Server: 1}) // the server drains: unsent set-ups must not be sent later
	r.checkEnded(5, policy.NotSent)
	if conn := r.connect(); len(r.written[conn]) != 0 {
		t.Error("a withdrawn set-up was written")
	}
	r.setup(6)
	r.setup(7)
	first := r.p.peers[1].current.id
	setUpBytes := r.bytes[first] / 2
	r.loseConn(first, setUpBytes+3) // the second set-up was cut in the middle: a server runs only complete ones
	r.checkEnded(6, policy.ConnReset)
	next := r.connect()
	r.checkWritten(next, wire.Release, wire.SetUp) // of the set-up that may have run, and of the unsent one
	if r.written[next][0].Session != 6 || r.written[next][1].Session != 7 {
		t.Fatal("unsent set-up was not sent on the next connection")
	}
	r.loseConn(next, 3)
	r.checkEnded(7, policy.NoConnect) // it is retried once only
	r.setup(8)
	r.do(front.Abandon{Session: 8, Server: 1, Cause: outcome.Expired})
	r.checkEnded(8, policy.NoConnect)
}

func TestDoesNotRetrySetUpAtDrainingServer(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.connect()
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Draining: true}})
	r.loseConn(conn, 3)
	r.checkEnded(5, policy.NoConnect)
}

func TestReleasesSessionWhenAnswerCrossesAbandon(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.connect()
	r.do(front.Abandon{Session: 5, Server: 1, Cause: outcome.Cancelled})
	r.serverSends(conn, ready(5))
	r.checkEnded(5, policy.Cancelled)
	r.checkWritten(conn, wire.SetUp, wire.Release, wire.Release)
	r.setup(6) // answer and timeout in one turn: the core abandons a session that has just begun
	r.serverSends(conn, ready(6))
	r.do(front.Abandon{Session: 6, Server: 1, Cause: outcome.Expired})
	r.events = r.events[1:]
	r.checkEnded(6, policy.TimedOut)
	if m := r.written[conn]; m[len(m)-1].Type != wire.Release || m[len(m)-1].Session != 6 {
		t.Error("the abandoned session was not released at its server")
	}
	r.checkEmpty()
}

func TestProbes(t *testing.T) {
	r := newRig(t)
	r.do(front.Probe{Server: 1})
	conn := r.connect()
	m := r.written[conn][0]
	if cause, ok := m.Cause(); m.Type != wire.Test || !ok || cause != wire.CauseReport { // 0 would get no report
		t.Fatalf("%+v", m)
	}
	r.now += 20 * ms
	r.serverSends(conn, (&wire.Message{Type: wire.Tested, Session: m.Session}).AddCause(1).Add(wire.ParamReport,
		"x0:0.5;x1:0.25"))
	if want := []front.Event{front.Probed{Server: 1, Took: 20 * ms,
		Report: []float64{0.5, 0.25}}}; !reflect.DeepEqual(r.events, want) {
		t.Fatalf("%+v", r.events)
	}
	for name, c := range map[string]struct {
		do   func()
		want policy.Status
	}{
		"failed": {func() { r.serverSends(conn, (&wire.Message{Type: wire.Tested, Session: 2}).AddCause(0)) },
			policy.Errored},
		"unanswered": {func() { r.advance(300 * ms) }, policy.TimedOut},
	} {
		r = newRig(t)
		r.do(front.Probe{Server: 1})
		conn = r.connect()
		r.do(front.Probe{Server: 1})
		r.events = nil
		c.do()
		found := false
		for _, n := range r.events {
			p, ok := n.(front.Probed)
			found = found || ok && p.Status == c.want
		}
		if !found {
			t.Errorf("%s: %+v", name, r.events)
		}
	}
	r = newRig(t)
	r.do(front.Probe{Server: 1})
	r.failDial(Refused)
	if p := r.events[0].(front.Probed); p.Status != policy.NoConnect {
		t.Errorf("%+v", p)
	}
}

package servers

import (
	"reflect"
	"testing"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

func TestASetUpFromItsSendToItsEnd(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	if a := r.dials[0]; a.Dial != "a:1" || a.Within != 250*ms {
		t.Fatalf("%+v", a)
	}
	r.now += 100 * ms
	conn := r.up()
	m := r.wrote[conn][0]
	for code, want := range map[uint8]string{wire.ParamClass: "paid", wire.ParamTitle: "7f3a9c21e0b4d655", wire.ParamRung: "2",
		wire.ParamText: "who", wire.ParamWithin: "800"} {
		if v, _ := m.Get(code); string(v) != want {
			t.Errorf("parameter %d is %q, want %q", code, v, want)
		}
	}
	r.now += 30 * ms
	r.says(conn, &wire.Message{Type: wire.Trying, Session: 5}, ready(99), ready(5), ready(5)) // free, nobody's, ours, a copy
	if want := []front.Event{front.Began{Session: 5, Took: 130 * ms, Text: "mine"}}; !reflect.DeepEqual(r.news, want) {
		t.Fatalf("%+v", r.news)
	}
	r.news = nil
	r.do(front.SetRung{Session: 5, Server: 1, Rung: 1})
	r.says(conn, (&wire.Message{Type: wire.Note, Session: 5}).Add(wire.ParamNote, "quality").Add(wire.ParamFigure, "0.5"))
	if want := []front.Event{front.Note{Session: 5, Kind: policy.NoteShare, Value: 0.5}}; !reflect.DeepEqual(r.news, want) {
		t.Fatalf("%+v", r.news)
	}
	r.news = nil
	r.says(conn, release(5, 16).Add(wire.ParamReport, "x0:1;x1:2"))
	if e, _ := r.news[0].(front.Ended); !reflect.DeepEqual(e.Report, []float64{1, 2}) {
		t.Errorf("%+v", r.news)
	}
	r.ended(5, policy.OK)
	r.wroteTypes(conn, wire.SetUp, wire.Level, wire.Released)
	r.empty()
}

func TestWhatEachEndProves(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(r *rig, conn uint64)
		status policy.Status
	}{
		{"full", func(r *rig, conn uint64) { r.says(conn, release(5, 34)) }, policy.Full},
		{"error", func(r *rig, conn uint64) { r.says(conn, release(5, 47)) }, policy.Errored},
		{"moot", func(r *rig, conn uint64) { r.says(conn, release(5, 102)) }, policy.Moot},
		{"broke on its way", func(r *rig, conn uint64) { r.says(conn, release(5, 41)) }, policy.ResetConn},
		{"another cause", func(r *rig, conn uint64) { r.says(conn, release(5, 77)) }, policy.ResetConn},
		{"no cause", func(r *rig, conn uint64) { r.says(conn, &wire.Message{Type: wire.Release, Session: 5}) }, policy.ResetConn},
		{"written, then reset", func(r *rig, conn uint64) { r.lost(conn, r.bytes[conn]) }, policy.ResetConn},
		{"noise", func(r *rig, conn uint64) { r.d.Received(r.now, 1, conn, []byte("noise noise")); r.take() }, policy.ResetConn},
		{"an answer without a description", func(r *rig, conn uint64) {
			r.says(conn, &wire.Message{Type: wire.Ready, Session: 5})
		}, policy.ResetConn},
		{"half an answer", func(r *rig, conn uint64) {
			b, _ := ready(5).Append(nil)
			r.d.Received(r.now, 1, conn, b[:len(b)-1])
			r.pass(stuckFor + 50*ms)
		}, policy.ResetConn},
		{"its time is up", func(r *rig, conn uint64) { r.do(front.Abandon{Session: 5, Server: 1, Cause: fate.Expired}) }, policy.TimedOut},
		{"withdrawn", func(r *rig, conn uint64) { r.do(front.Abandon{Session: 5, Server: 1, Cause: fate.Withdrawn}) }, policy.CancelledSt},
	} {
		r := newRig(t)
		r.setup(5)
		conn := r.up()
		c.do(r, conn)
		t.Log(c.name)
		r.ended(5, c.status)
	}
}

func TestASetUpThatNeverLeft(t *testing.T) {
	for _, refused := range []Failure{Refused, Unanswered, Broke} {
		r := newRig(t)
		r.setup(5)
		r.fails(refused)
		r.ended(5, policy.NoConnect)
	}
	r := newRig(t)
	r.setup(5)
	r.do(front.Withdraw{Server: 1}) // it drains: what waits must not go out late
	r.ended(5, policy.Moot)
	if conn := r.up(); len(r.wrote[conn]) != 0 {
		t.Error("written after all")
	}
	r.setup(6)
	r.setup(7)
	k := r.d.lines[1].cur.conn
	one := r.bytes[k] / 2
	r.lost(k, one+3) // the second was cut in the middle: a server runs whole set-ups only
	r.ended(6, policy.ResetConn)
	if next := r.up(); len(r.wrote[next]) != 1 || r.wrote[next][0].Session != 7 {
		t.Fatal("not sent on the next connection")
	} else {
		r.lost(next, 3)
	}
	r.ended(7, policy.NoConnect) // once only
	r.setup(8)
	r.do(front.Abandon{Session: 8, Server: 1, Cause: fate.Expired})
	r.ended(8, policy.NoConnect)
}

func TestASetUpForADrainedServerDoesNotWaitForAnotherConnection(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.up()
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1", Drains: true}})
	r.lost(conn, 3)
	r.ended(5, policy.NoConnect)
}

func TestAGiveUpThatCrossesAnAnswer(t *testing.T) {
	r := newRig(t)
	r.setup(5)
	conn := r.up()
	r.do(front.Abandon{Session: 5, Server: 1, Cause: fate.Withdrawn})
	r.says(conn, ready(5))
	r.ended(5, policy.CancelledSt)
	r.wroteTypes(conn, wire.SetUp, wire.Release, wire.Release)
	r.setup(6) // the answer and the time-out in one turn: the core gives up on what has just begun
	r.says(conn, ready(6))
	r.do(front.Abandon{Session: 6, Server: 1, Cause: fate.Expired})
	r.news = r.news[1:]
	r.ended(6, policy.TimedOut)
	if m := r.wrote[conn]; m[len(m)-1].Type != wire.Release || m[len(m)-1].Session != 6 {
		t.Error("it plays on for nobody")
	}
	r.empty()
}

func TestTests(t *testing.T) {
	r := newRig(t)
	r.do(front.Probe{Server: 1})
	conn := r.up()
	m := r.wrote[conn][0]
	if cause, ok := m.Cause(); m.Type != wire.Test || !ok || cause != wire.CauseReport { // with 0 it brings no report
		t.Fatalf("%+v", m)
	}
	r.now += 20 * ms
	r.says(conn, (&wire.Message{Type: wire.Tested, Session: m.Session}).AddCause(1).Add(wire.ParamReport, "x0:0.5;x1:0.25"))
	if want := []front.Event{front.Probed{Server: 1, Took: 20 * ms, Report: []float64{0.5, 0.25}}}; !reflect.DeepEqual(r.news, want) {
		t.Fatalf("%+v", r.news)
	}
	for name, c := range map[string]struct {
		do   func()
		want policy.Status
	}{
		"failed":     {func() { r.says(conn, (&wire.Message{Type: wire.Tested, Session: 2}).AddCause(0)) }, policy.Errored},
		"unanswered": {func() { r.pass(300 * ms) }, policy.TimedOut},
	} {
		r = newRig(t)
		r.do(front.Probe{Server: 1})
		conn = r.up()
		r.do(front.Probe{Server: 1})
		r.news = nil
		c.do()
		found := false
		for _, n := range r.news {
			p, ok := n.(front.Probed)
			found = found || ok && p.Status == c.want
		}
		if !found {
			t.Errorf("%s: %+v", name, r.news)
		}
	}
	r = newRig(t)
	r.do(front.Probe{Server: 1})
	r.fails(Refused)
	if p := r.news[0].(front.Probed); p.Status != policy.NoConnect {
		t.Errorf("%+v", p)
	}
}

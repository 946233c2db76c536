package front

import (
	"reflect"
	"strings"
	"testing"

	"tealledge/decide/outcome"
	"tealledge/policy"
)

// TestRetriesOnlyWhatIsSafeToRepeat guards against retries of a paid set-up that may have run, and against failing a
// request that can be retried safely.
func TestRetriesOnlyWhatIsSafeToRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		status policy.Status
		want   Effect // type of the answer, or Setup for another attempt
	}{
		"safe, never ran":     {0, policy.NoConnect, Setup{}},
		"safe, may have run":  {0, policy.ConnReset, Setup{}},
		"safe, error":         {0, policy.Errored, Setup{}},
		"paid, never ran":     {1, policy.NoConnect, Setup{}},
		"paid, full":          {1, policy.Full, Setup{}},
		"paid, reset":         {1, policy.ConnReset, Failed{}},
		"paid, timed out":     {1, policy.TimedOut, Failed{}},
		"paid, error":         {1, policy.Errored, Failed{}},
		"paid, cancelled":     {1, policy.Cancelled, Failed{}},
		"floor, may have run": {2, policy.TimedOut, Setup{}},
	} {
		r := newHarness(t, nil)
		s := onlyEffect[Setup](t, r.request(c.class))
		out := r.step(AttemptEnded{Session: s.Session, Attempt: s.Attempt, Status: c.status})
		var got Effect
		for _, e := range out {
			if reflect.TypeOf(e) == reflect.TypeOf(c.want) {
				got = e
			}
		}
		if got == nil || answers(out)+len(effectsOf[Setup](out)) != 1 || r.core.Stats().Faults > 0 {
			t.Errorf("%s: %+v", name, out)
		}
		if next, ok := got.(Setup); ok && (next.Server == s.Server || next.Attempt != 1) {
			t.Errorf("%s: unexpected second attempt %+v", name, next)
		}
	}
}

func TestAbandonsTimedOutAttemptBeforeNextOne(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	var out []Effect
	for len(effectsOf[Abandon](out)) == 0 && r.now < start+policy.Second {
		out = r.advance(10 * ms)
	}
	a := onlyEffect[Abandon](t, out)
	if a.Cause != outcome.Expired || a.Server != s.Server || len(effectsOf[Setup](out)) > 0 {
		t.Fatalf("%+v", out)
	}
	// A late reply does not answer the request; the shell tears the stream down.
	if out := r.step(AttemptStarted{Session: s.Session, Attempt: s.Attempt}); answers(out) > 0 {
		t.Fatalf("%+v", out)
	}
	if next := onlyEffect[Setup](t, r.step(AttemptEnded{Session: s.Session,
		Status: policy.TimedOut})); next.Attempt != 1 {
		t.Fatal(next)
	}
}

func TestAcceptsReplyReadTogetherWithItsTimeout(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	r.now += 2 * policy.Second // the process paused past the attempt's timeout, not past the player's deadline
	if out := r.step(AttemptStarted{Session: s.Session}); len(effectsOf[Plays](out)) != 1 {
		t.Fatalf("%+v", out)
	}
	if out := r.core.Advance(r.now); answers(out) > 0 || len(effectsOf[Abandon](out)) > 0 {
		t.Fatalf("%+v", out)
	}
}

func TestAbandonsReplyAfterPlayerDeadline(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(1))
	r.now += 3 * policy.Second
	out := r.step(AttemptStarted{Session: s.Session})
	if answers(out) > 0 || len(effectsOf[Abandon](out)) != 1 {
		t.Fatalf("%+v", out)
	}
	out = r.step(AttemptEnded{Session: s.Session, Status: policy.TimedOut})
	onlyEffect[Failed](t, out)
	if r.core.OpenRequests() != 0 {
		t.Fatal("the request is still open")
	}
}

func TestFailsRequestThatModuleNeverAnswers(t *testing.T) {
	r := newHarness(t, silentModule{})
	r.request(0)
	if out := r.advance(3979 * ms); answers(out) > 0 {
		t.Fatalf("%+v", out)
	}
	out := r.advance(2 * ms)
	onlyEffect[Failed](t, out)
	onlyEffect[Fault](t, out)
	if r.core.SessionCount() != 0 || r.core.Stats().Faults != 1 {
		t.Fatal(r.core.SessionCount(), r.core.Stats())
	}
}

type silentModule struct{}

func (silentModule) Handle(Time, policy.Event) []policy.Action { return nil }

// scriptedModule returns scripted actions for each request and outcome, to violate the safety rules.
type scriptedModule struct {
	onRequest, onOutcome func(id uint64) []policy.Action
}

func (m scriptedModule) Handle(_ Time, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.Request:
		return m.onRequest(e.ID)
	case policy.Outcome:
		if m.onOutcome != nil && e.Status != policy.NotSent {
			return m.onOutcome(e.ID)
		}
	}
	return nil
}

func TestEnforcesSafetyRulesAgainstFaultyModule(t *testing.T) {
	send := func(id uint64, to uint32) policy.Action { return policy.Send{ID: id, Server: to} }
	for name, c := range map[string]struct {
		class   int
		m       scriptedModule
		outcome policy.Status
		setups  int
		answers int
	}{
		"two attempts at once": {0, scriptedModule{onRequest: func(id uint64) []policy.Action {
			return []policy.Action{send(id, 1), send(id, 2)}
		}}, 0, 1, 0},
		"two answers": {0, scriptedModule{onRequest: func(id uint64) []policy.Action {
			return []policy.Action{policy.Refuse{ID: id}, policy.Fail{ID: id}}
		}}, 0, 0, 1},
		"a server never listed": {0, scriptedModule{onRequest: func(id uint64) []policy.Action {
			return []policy.Action{send(id, 9)}
		}}, 0, 0, 0},
		"paid again": {1, scriptedModule{
			onRequest: func(id uint64) []policy.Action { return []policy.Action{send(id, 1)} },
			onOutcome: func(id uint64) []policy.Action { return []policy.Action{send(id, 2)} }}, policy.ConnReset, 1, 0},
		"paid refused": {1, scriptedModule{
			onRequest: func(id uint64) []policy.Action { return []policy.Action{send(id, 1)} },
			onOutcome: func(id uint64) []policy.Action { return []policy.Action{policy.Refuse{ID: id}} }},
			policy.TimedOut, 1, 1},
	} {
		r := newHarness(t, c.m)
		all := append([]Effect(nil), r.request(c.class)...)
		if s := effectsOf[Setup](all); len(s) > 0 && c.outcome != 0 {
			all = append(all, r.step(AttemptEnded{Session: s[0].Session, Status: c.outcome})...)
		}
		if len(effectsOf[Setup](all)) != c.setups || answers(all) != c.answers || r.core.Stats().Faults != 1 {
			t.Errorf("%s: %+v, faults %d", name, all, r.core.Stats().Faults)
		}
		if name == "paid refused" && len(effectsOf[Failed](all)) != 1 {
			t.Errorf("%s: %+v", name, all)
		}
		all = append(all, r.advance(5*policy.Second)...)
		for _, a := range effectsOf[Abandon](all) {
			all = append(all, r.step(AttemptEnded{Session: a.Session, Attempt: a.Attempt, Status: policy.TimedOut})...)
		}
		if answers(all) != 1 || r.core.OpenRequests() != 0 {
			t.Errorf("%s: %d answers in total, want 1", name, answers(all))
		}
	}
}

// TestReleasesSessionWhenPlayerLeaves guards against sessions that stay here or at their server after their player
// left.
func TestReleasesSessionWhenPlayerLeaves(t *testing.T) {
	// Before an attempt: the request waits because no server is listed.
	r := newHarness(t, nil)
	r.step(Listed{policy.List{Kind: policy.ListFull}})
	r.request(0)
	r.step(Leave{1})
	if r.core.SessionCount() != 0 || answers(r.advance(5*policy.Second)) > 0 {
		t.Fatal("the request is still held or was answered after its player left")
	}
	// While an attempt is in flight.
	r = newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	if a := onlyEffect[Abandon](t, r.step(Leave{s.Session})); a.Cause != outcome.Cancelled {
		t.Fatal(a)
	}
	if out := r.step(AttemptEnded{Session: s.Session,
		Status: policy.Cancelled}); answers(out)+len(effectsOf[Setup](out)) > 0 {
		t.Fatalf("%+v", out)
	}
	if r.core.SessionCount() != 0 {
		t.Fatal("still held")
	}
	// While the session plays.
	r = newHarness(t, nil)
	s = onlyEffect[Setup](t, r.request(0))
	r.step(AttemptStarted{Session: s.Session})
	onlyEffect[Stop](t, r.step(Leave{s.Session}))
	if r.core.SessionCount() != 0 {
		t.Fatal("still held")
	}
}

func TestWithdrawsUnsentSetupsWhenServerDrains(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	out := r.step(Listed{policy.List{Kind: policy.ListDelta, Entries: entries(policy.Draining, s.Server)}})
	if w := onlyEffect[Withdraw](t, out); w.Server != s.Server {
		t.Fatal(w)
	}
	next := onlyEffect[Setup](t, r.step(AttemptEnded{Session: s.Session, Status: policy.NotSent}))
	if next.Server == s.Server {
		t.Fatal("the next attempt went to a draining server")
	}
	var left []uint32
	for _, id := range []uint32{1, 2, 3} {
		if id != next.Server {
			left = append(left, id)
		}
	}
	out = r.step(Listed{policy.List{Kind: policy.ListFull, Entries: entries(policy.Ready, left...)}})
	if w := onlyEffect[Withdraw](t, out); w.Server != next.Server {
		t.Fatal("the withdrawal for a server missing from a full list went to another server:", w)
	}
}

func TestMoveTokenIsValidOnceForItsViewer(t *testing.T) {
	var requests []policy.Request
	sender := scriptedModule{onRequest: func(id uint64) []policy.Action {
		return []policy.Action{policy.Send{ID: id, Server: 1}}
	}}
	r := newHarness(t, requestRecorder{sender, &requests})
	s := onlyEffect[Setup](t, r.request(0))
	r.step(AttemptStarted{Session: s.Session})
	r.core.move(r.core.sessions[s.Session])
	token := r.core.moveTokens.order[0]
	moved := func(viewer, token uint64) bool {
		r.step(Request{Player: 1, ReadAt: r.now, Viewer: viewer, Token: token, Copies: 3})
		return requests[len(requests)-1].Moved
	}
	if moved(8, token) {
		t.Error("another viewer's token was accepted")
	}
	if !moved(9, token) || moved(9, token) {
		t.Error("a token must be accepted exactly once")
	}
	r.core.moveTokens.put(4, 9, r.now)
	r.now += 11 * policy.Second
	if moved(9, 4) {
		t.Error("an expired token was accepted")
	}
	for i := uint64(10); i < 13; i++ {
		r.core.moveTokens.put(i, 9, r.now)
	}
	if moved(9, 10) || !moved(9, 12) || len(r.core.moveTokens.byToken) > 2 {
		t.Error("the number of tokens is not bounded")
	}
}

type requestRecorder struct {
	Module
	requests *[]policy.Request
}

func (m requestRecorder) Handle(now Time, e policy.Event) []policy.Action {
	if q, ok := e.(policy.Request); ok {
		*m.requests = append(*m.requests, q)
	}
	return m.Module.Handle(now, e)
}

func TestFailsRequestReadPastDeadline(t *testing.T) {
	r := newHarness(t, nil)
	out := r.step(Request{Player: 1, ReadAt: r.now - 4*policy.Second, Copies: 3})
	onlyEffect[Failed](t, out)
	if len(effectsOf[Setup](out)) > 0 {
		t.Fatalf("%+v", out)
	}
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	run := func() (trace []string) {
		r := newHarness(t, nil)
		for i := 0; i < 40; i++ {
			for _, s := range effectsOf[Setup](r.request(i % 3)) {
				trace = append(trace, strings.Repeat("s", int(s.Server)))
				if i%4 == 0 {
					r.step(AttemptEnded{Session: s.Session, Attempt: s.Attempt, Status: policy.ConnReset})
				} else {
					r.step(AttemptStarted{Session: s.Session, Attempt: s.Attempt, Report: []float64{0.5, 0.2}})
				}
			}
			r.advance(37 * ms)
		}
		return trace
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal(a, b)
	}
}

// TestUnconfirmedPaidSetupKeepsItsSeat guards against a second use of a paid seat after a restart: a paid set-up from
// before it that may have run occupies its seat until no server can still hold it, can't be resumed and is not sent
// again.
func TestUnconfirmedPaidSetupKeepsItsSeat(t *testing.T) {
	set := settings()
	set.Classes[1].Seats = 1
	r := &harness{t: t, now: start, core: New(Config{Settings: set, Module: policy.New(set, 1),
		NewToken: func() uint64 { return 4 }, AnswerMargin: 50 * ms, FailsafeMargin: 20 * ms,
		ResumeWindow: 3 * policy.Second})}
	r.step(Listed{policy.List{Kind: policy.ListFull, Entries: entries(policy.Ready, 1, 2, 3)}})
	r.step(Restore{Request: Request{Title: 5, Copies: 3, Class: 1, Viewer: 9}, ID: 500, Server: 2,
		ExpiresAt: r.now + 20*policy.Second, Unconfirmed: true})
	onlyEffect[Unknown](t, r.step(Resume{Session: 500, Token: 0, Player: 1}))
	if all := append(r.request(1), r.advance(5*policy.Second)...); len(effectsOf[Setup](all)) > 0 {
		t.Fatalf("its seat was assigned to another session: %+v", all)
	}
	r.advance(20 * policy.Second)
	onlyEffect[Setup](t, r.request(1))
}

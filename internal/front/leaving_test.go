package front

import (
	"testing"

	"tealledge/decide/shutdown"
	"tealledge/policy"
)

// shutDown announces a shutdown with an earliest kill in a given time.
func (r *harness) shutDown(killIn Time) shutdown.Plan {
	plan := shutdown.NewPlan(r.now + killIn)
	r.step(Shutdown{plan})
	return plan
}

// advanceConfirming is advance for a shell that confirms each abandoned attempt as timed out, at once.
func (r *harness) advanceConfirming(d Time) (all []Effect) {
	for end := r.now + d; r.now < end; {
		out := r.advance(min(ms, end-r.now))
		all = append(all, out...)
		for _, a := range effectsOf[Abandon](out) {
			all = append(all, r.step(AttemptEnded{Session: a.Session, Attempt: a.Attempt, Status: policy.TimedOut})...)
		}
	}
	return all
}

// Requests whose deadline is later than the kill were left without an answer. Each must be answered by the plan: refused
// if that is harmless, and failed if it is paid and may have run. Its attempt must be abandoned.
func TestShutdownAnswersEachOpenRequestByItsPlan(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		during bool // the request comes during the shutdown
	}{
		"safe, before SIGTERM": {0, false},
		"paid, before SIGTERM": {1, false},
		"safe, after SIGTERM":  {0, true},
		"paid, after SIGTERM":  {1, true},
	} {
		r := newHarness(t, nil)
		if !c.during {
			r.request(c.class)
		}
		plan := r.shutDown(2 * policy.Second)
		if c.during {
			r.request(c.class)
		}
		out := r.advanceConfirming(plan.AnswerBy - r.now)
		if answers(out) != 1 || len(effectsOf[Plays](out)) != 0 || len(effectsOf[Fault](out)) != 0 {
			t.Errorf("%s: want one answer, got %+v", name, out)
		}
		if c.class == 1 && len(effectsOf[Refused](out)) != 0 {
			t.Errorf("%s: a paid request that may have run is refused", name)
		}
		if setups := r.core.stats.Attempts; len(effectsOf[Abandon](out)) != int(setups) {
			t.Errorf("%s: %d set-ups, %+v", name, setups, out)
		}
		if r.core.OpenRequests() != 0 {
			t.Errorf("%s: %d open requests", name, r.core.OpenRequests())
		}
	}
}

// A paid request that provably never ran must be refused and not failed: its client can try elsewhere.
func TestShutdownRefusesPaidRequestThatNeverRan(t *testing.T) {
	r := newHarness(t, idleModule{})
	r.request(1)
	plan := r.shutDown(2 * policy.Second)
	if out := r.advance(plan.AnswerBy - r.now); len(effectsOf[Refused](out)) != 1 || answers(out) != 1 {
		t.Errorf("%+v", out)
	}
}

// idleModule decides nothing.
type idleModule struct{}

func (idleModule) Handle(Time, policy.Event) []policy.Action { return nil }

// Late in a shutdown a request must be refused at once, without an attempt at a server.
func TestShutdownRefusesRequestsThatComeTooLate(t *testing.T) {
	r := newHarness(t, nil)
	plan := r.shutDown(2 * policy.Second)
	r.advance(plan.AnswerBy - 50*ms - r.now)
	for _, class := range []int{0, 1} {
		out := r.request(class)
		if refused := onlyEffect[Refused](t, out); refused.Reason != ReasonFrontLeaving || len(effectsOf[Setup](out)) != 0 {
			t.Errorf("class %d: %+v", class, out)
		}
	}
	r.advance(policy.Second)
	if refused := onlyEffect[Refused](t, r.request(0)); refused.RetryAfter != 2*policy.Second {
		t.Errorf("after the end of the plan: %+v", refused)
	}
}

// Playing sessions do not depend on the front's requests: a shutdown must not end them.
func TestShutdownKeepsPlayingSessions(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	r.step(AttemptStarted{Session: s.Session})
	r.shutDown(2 * policy.Second)
	if out := r.advance(3 * policy.Second); len(effectsOf[SessionEnded](out)) != 0 || len(effectsOf[Stop](out)) != 0 ||
		r.core.SessionCount() != 1 {
		t.Errorf("%+v", out)
	}
}

func TestLeavingFrontAnswersAllRequests(t *testing.T) {
	r := newHarness(t, nil)
	playing := onlyEffect[Setup](t, r.request(0))
	r.step(AttemptStarted{Session: playing.Session})
	r.request(0)
	r.request(1)
	out := r.step(Request{Player: 1, ReadAt: r.now, Copies: 3, Draining: true})
	onlyEffect[Refused](t, out)
	out = r.step(CloseAll{})
	if len(effectsOf[Refused](out)) != 1 || len(effectsOf[Failed](out)) != 1 || len(effectsOf[SessionEnded](out)) != 1 ||
		len(effectsOf[Stop](out)) != 1 {
		t.Fatalf("%+v", out)
	}
	for _, a := range effectsOf[Abandon](out) {
		r.step(AttemptEnded{Session: a.Session, Attempt: a.Attempt, Status: policy.Cancelled})
	}
	if r.core.SessionCount() != 0 || r.core.OpenRequests() != 0 {
		t.Fatal(r.core.SessionCount(), r.core.OpenRequests())
	}
}

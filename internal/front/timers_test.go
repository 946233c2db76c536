package front

import (
	"testing"

	"tealledge/policy"
)

// A late owner goroutine fires the timers of an attempt and of the unanswered request in one call. The request must be
// failed, once, without a fault: the module was not asked yet. A module that could answer and does not is a fault.
func TestLateOwnerFailsTimedOutRequestWithoutFault(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(1))
	r.now += 4 * policy.Second
	out := append([]Effect(nil), r.core.Advance(r.now)...)
	if len(effectsOf[Abandon](out)) != 1 || answers(out) != 1 || len(effectsOf[Fault](out)) != 0 {
		t.Errorf("%+v", out)
	}
	out = r.step(AttemptEnded{Session: s.Session, Attempt: s.Attempt, Status: policy.TimedOut})
	if answers(out)+len(effectsOf[Setup](out))+len(effectsOf[Fault](out)) != 0 || r.core.SessionCount() != 0 {
		t.Errorf("after the attempt has ended: %+v", out)
	}
	r = newHarness(t, idleModule{})
	r.request(1)
	r.now += 4 * policy.Second
	if out := r.core.Advance(r.now); len(effectsOf[Fault](out)) != 1 || answers(out) != 1 {
		t.Errorf("a module without decisions: %+v", out)
	}
}

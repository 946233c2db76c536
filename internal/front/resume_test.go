package front

import (
	"testing"

	"tealledge/policy"
)

func TestResumesSessionAfterLostConnection(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	p := onlyEffect[Plays](t, r.step(AttemptStarted{Session: s.Session}))
	if out := r.step(Detach{s.Session}); len(out) > 0 {
		t.Fatalf("%+v", out)
	}
	r.advance(2 * policy.Second)
	onlyEffect[Unknown](t, r.step(Resume{s.Session, p.Token + 1, 88}))
	got := onlyEffect[Resumed](t, r.step(Resume{s.Session, p.Token, 88}))
	if got.OldPlayer != 77 || got.Server != s.Server {
		t.Fatalf("%+v", got)
	}
	if out := r.advance(5 * policy.Second); len(effectsOf[Stop](out)) > 0 {
		t.Fatal("ended by the timer of a detachment that is over")
	}
	r.step(Detach{s.Session})
	out := r.advance(3100 * ms)
	onlyEffect[Stop](t, out)
	onlyEffect[Unknown](t, r.step(Resume{s.Session, p.Token, 89}))
	if r.core.SessionCount() != 0 || answers(out) > 0 || r.core.Stats().Attempts != 1 {
		t.Fatal(r.core.SessionCount(), out, r.core.Stats())
	}
}

func TestNewRequestEndsDetachedSession(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(0))
	r.step(AttemptStarted{Session: s.Session})
	r.step(Detach{s.Session})
	out := r.request(0)
	if stop := onlyEffect[Stop](t, out); stop.Session != s.Session ||
		onlyEffect[SessionEnded](t, out).Reason != EndReasonPlayerLeft ||
		onlyEffect[Setup](t, out).Session == s.Session {
		t.Fatalf("%+v", out)
	}
	if r.core.SessionCount() != 1 || len(r.core.detached) != 0 {
		t.Fatal(r.core.SessionCount(), r.core.detached)
	}
}

func TestLostConnectionBeforeAnswerEndsRequest(t *testing.T) {
	r := newHarness(t, nil)
	s := onlyEffect[Setup](t, r.request(1))
	onlyEffect[Abandon](t, r.step(Detach{s.Session}))
	onlyEffect[Unknown](t, r.step(Resume{s.Session, 0, 88})) // no token was issued
	if out := r.step(AttemptStarted{Session: s.Session}); answers(out) > 0 {
		t.Fatalf("%+v", out)
	}
}

// TestRestoredSessionIsResumedOrEnds guards against restored sessions that are set up or answered again, are resumed
// without their token, or stay forever when nobody resumes them. They count as held from the first.
func TestRestoredSessionIsResumedOrEnds(t *testing.T) {
	r := newHarness(t, nil)
	request := Request{Title: 5, Copies: 3, Class: 1, Viewer: 9, Top: 3, Token: 321}
	all := r.step(Restore{Request: request, ID: 500, Server: 2, Attempt: 1, Rung: 2, ExpiresAt: r.now + 3*policy.Second})
	if len(effectsOf[Setup](all))+answers(all) > 0 || r.core.SessionCount() != 1 || r.core.OpenRequests() != 0 {
		t.Fatalf("%+v", all)
	}
	onlyEffect[Unknown](t, r.step(Resume{Session: 500, Token: 322, Player: 1}))
	if got := onlyEffect[Resumed](t, r.step(Resume{Session: 500, Token: 321, Player: 2})); got.Server != 2 {
		t.Fatal(got)
	}
	if all := r.advance(5 * policy.Second); len(effectsOf[Stop](all)) > 0 {
		t.Fatal("ended although it was resumed")
	}
	if s := onlyEffect[Setup](t, r.request(0)); s.Session <= 500 {
		t.Error("a session ID was assigned twice:", s.Session)
	}
	r = newHarness(t, nil)
	r.step(Restore{Request: request, ID: 500, Server: 2, ExpiresAt: r.now + 3*policy.Second})
	onlyEffect[Stop](t, r.advance(4*policy.Second))
	onlyEffect[Unknown](t, r.step(Resume{Session: 500, Token: 321, Player: 2}))
	// The server no longer knows the stream.
	r = newHarness(t, nil)
	r.step(Restore{Request: request, ID: 500, Server: 2, ExpiresAt: r.now + 3*policy.Second})
	r.step(AttemptEnded{Session: 500, Status: policy.ConnReset})
	onlyEffect[Unknown](t, r.step(Resume{Session: 500, Token: 321, Player: 2}))
	if r.core.SessionCount() != 0 || r.core.Stats().Faults > 0 {
		t.Error(r.core.SessionCount(), r.core.Stats())
	}
}

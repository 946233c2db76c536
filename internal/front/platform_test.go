package front

import (
	"testing"

	"tealledge/policy"
)

// These tests cover what the operators' platform needs from the core: session IDs chosen by the viewers, viewers
// identified by their IDs alone, descriptions, and restored sessions whose viewers are still connected.

// newTrustingCore returns a core that takes the IDs of sessions and viewers from requests.
func newTrustingCore() *Core {
	set := settings()
	return New(Config{Settings: set, Module: policy.New(set, 1), AnswerMargin: 50 * ms, FailsafeMargin: 20 * ms,
		MoveTokenTTL: 10 * policy.Second, MaxMoveTokens: 2, TrustViewerIDs: true})
}

func newTrustingHarness(t *testing.T) *harness {
	r := &harness{t: t, now: start, core: newTrustingCore()}
	r.step(Listed{policy.List{Kind: policy.ListFull, Entries: entries(policy.Ready, 1, 2, 3)}})
	return r
}

func (r *harness) requestWithID(id, viewer uint64) []Effect {
	return r.step(Request{ID: id, Player: 77, ReadAt: r.now, Timeout: 900 * ms, Title: 5, Copies: 3, Class: 1, Viewer: viewer,
		Top: 3, Text: "who"})
}

func TestPassesIDsAndDescriptionsUnchanged(t *testing.T) {
	r := newTrustingHarness(t)
	const id = 0xfedcba9876543210
	s := onlyEffect[Setup](t, r.requestWithID(id, 9))
	if s.Session != id || s.Text != "who" || s.Timeout <= 0 || s.Timeout > 900*ms {
		t.Fatalf("%+v", s)
	}
	if !r.core.IDInUse(id) || r.core.IDInUse(id+1) {
		t.Error("IDInUse is wrong")
	}
	p := onlyEffect[Plays](t, r.step(AttemptStarted{Session: id, Text: "mine"}))
	if p.Session != id || p.Text != "mine" || p.Player != 77 {
		t.Errorf("%+v", p)
	}
	if r.core.sessions[id].request.Text != "" {
		t.Error("the description is kept while the session plays")
	}
	if out := r.requestWithID(id, 10); len(effectsOf[Setup](out)) != 0 || onlyEffect[Fault](t, out).Text == "" {
		t.Errorf("a second request with the same ID: %+v", out)
	}
	over := onlyEffect[SessionEnded](t, r.step(AttemptEnded{Session: id, Status: policy.Cancelled}))
	if over.Reason != EndReasonPlayerLeft || r.core.IDInUse(id) {
		t.Errorf("%+v", over)
	}
}

// movingModule moves a session at each note and records the requests.
type movingModule struct{ requests []policy.SessionSpec }

func (m *movingModule) Handle(now Time, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.Request:
		m.requests = append(m.requests, e.SessionSpec)
		return []policy.Action{policy.Send{ID: e.ID, Server: 1}}
	case policy.Note:
		return []policy.Action{policy.Move{ID: e.ID}}
	}
	return nil
}

func TestIdentifiesMovedViewerByID(t *testing.T) {
	r := newTrustingHarness(t)
	m := &movingModule{}
	r.core.cfg.Module = m
	r.requestWithID(1, 9)
	r.step(AttemptStarted{Session: 1})
	out := r.step(Note{Session: 1, Kind: policy.NoteShare, Value: 0.1})
	if !onlyEffect[Stop](t, out).Moved || len(effectsOf[Moved](out)) != 1 {
		t.Fatalf("%+v", out)
	}
	r.requestWithID(2, 9)  // the moved viewer
	r.requestWithID(3, 10) // another viewer
	r.requestWithID(4, 9)  // the move counts once only
	for i, want := range []bool{false, true, false, false} {
		if m.requests[i].Moved != want {
			t.Errorf("request %d: moved %v", i+1, m.requests[i].Moved)
		}
	}
}

// TestKeepsRestoredSessionWithConnectedViewer guards against the end of a restored session whose viewer is still
// connected and therefore never resumes it.
func TestKeepsRestoredSessionWithConnectedViewer(t *testing.T) {
	r := newTrustingHarness(t)
	r.step(Restore{ID: 5, Server: 1, HeldByPlayer: true,
		Request: Request{Player: 77, Title: 5, Copies: 3, Class: 1, Viewer: 9, Top: 3, Text: "who"}})
	r.advance(30 * policy.Second) // it needs no resume
	if !r.core.HoldsSession(5) {
		t.Fatal("the session ended")
	}
	r.requestWithID(6, 9) // another request of its viewer does not end it
	if !r.core.HoldsSession(5) {
		t.Fatal("the session was superseded")
	}
	if s := onlyEffect[Stop](t, r.step(Leave{Session: 5})); s.Session != 5 || s.Server != 1 || r.core.IDInUse(5) {
		t.Errorf("%+v", s)
	}
}

func TestRemovesServersThatLeftTheList(t *testing.T) {
	r := newTrustingHarness(t)
	for id := uint32(10); id < 60; id++ {
		r.step(Listed{policy.List{Kind: policy.ListDelta, Entries: entries(policy.Ready, id)}})
		r.step(Listed{policy.List{Kind: policy.ListDelta, Entries: entries(policy.Removed, id)}})
	}
	if len(r.core.readyServers) != 3 {
		t.Errorf("%d servers kept, want 3", len(r.core.readyServers))
	}
}

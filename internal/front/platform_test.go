package front

import (
	"testing"

	"tealledge/policy"
)

// What the operators' platform needs of the core: ids that viewers give, viewers known by their numbers, descriptions,
// sessions handed over that their viewers hold.

func knownRig(t *testing.T) *rig {
	set := settings()
	r := &rig{t: t, now: start, c: New(Config{Settings: set, Module: policy.New(set, 1), AnswerMargin: 50 * ms, LastLine: 20 * ms,
		MovedFor: 10 * policy.Second, MovedMost: 2, KnownViewers: true})}
	r.step(Listed{policy.List{Kind: policy.ListFull, Entries: entries(policy.Ready, 1, 2, 3)}})
	return r
}

func (r *rig) named(id, viewer uint64) []Effect {
	return r.step(Ask{ID: id, Player: 77, Read: r.now, Wait: 900 * ms, Title: 5, Copies: 3, Class: 1, Viewer: viewer, Top: 3, Text: "who"})
}

func TestIdsAndDescriptionsPassUnchanged(t *testing.T) {
	r := knownRig(t)
	const id = 0xfedcba9876543210
	s := one[Setup](t, r.named(id, 9))
	if s.Session != id || s.Text != "who" || s.Within <= 0 || s.Within > 900*ms {
		t.Fatalf("%+v", s)
	}
	if !r.c.Known(id) || r.c.Known(id+1) {
		t.Error("known")
	}
	p := one[Plays](t, r.step(Began{Session: id, Text: "mine"}))
	if p.Session != id || p.Text != "mine" || p.Player != 77 {
		t.Errorf("%+v", p)
	}
	if r.c.sessions[id].ask.Text != "" {
		t.Error("a description is kept while it plays")
	}
	if out := r.named(id, 10); len(of[Setup](out)) != 0 || one[Fault](t, out).Text == "" {
		t.Errorf("two under one id: %+v", out)
	}
	over := one[Over](t, r.step(Ended{Session: id, Status: policy.CancelledSt}))
	if over.Why != WhyLeft || r.c.Known(id) {
		t.Errorf("%+v", over)
	}
}

// mover asks for a move at the first note, and remembers what requests it saw.
type mover struct{ seen []policy.Ask }

func (m *mover) Handle(now Time, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.Request:
		m.seen = append(m.seen, e.Ask)
		return []policy.Action{policy.Send{ID: e.ID, Server: 1}}
	case policy.Note:
		return []policy.Action{policy.Move{ID: e.ID}}
	}
	return nil
}

func TestAMovedViewerIsKnownByItsNumber(t *testing.T) {
	r := knownRig(t)
	m := &mover{}
	r.c.cfg.Module = m
	r.named(1, 9)
	r.step(Began{Session: 1})
	out := r.step(Note{Session: 1, Kind: policy.NoteShare, Value: 0.1})
	if !one[Stop](t, out).Moved || len(of[Moved](out)) != 1 {
		t.Fatalf("%+v", out)
	}
	r.named(2, 9)  // the one that was moved
	r.named(3, 10) // another
	r.named(4, 9)  // once only
	for i, want := range []bool{false, true, false, false} {
		if m.seen[i].Moved != want {
			t.Errorf("request %d: moved %v", i+1, m.seen[i].Moved)
		}
	}
}

func TestASessionThatItsViewerHoldsAlready(t *testing.T) {
	r := knownRig(t)
	r.step(Adopt{ID: 5, Server: 1, Held: true, Ask: Ask{Player: 77, Title: 5, Copies: 3, Class: 1, Viewer: 9, Top: 3, Text: "who"}})
	r.pass(30 * policy.Second) // nobody has to resume it
	if !r.c.Holds(5) {
		t.Fatal("given away")
	}
	r.named(6, 9) // its viewer's next session does not end it
	if !r.c.Holds(5) {
		t.Fatal("superseded")
	}
	if s := one[Stop](t, r.step(Leave{Session: 5})); s.Session != 5 || s.Server != 1 || r.c.Known(5) {
		t.Errorf("%+v", s)
	}
}

func TestServersThatLeftAreForgotten(t *testing.T) {
	r := knownRig(t)
	for id := uint32(10); id < 60; id++ {
		r.step(Listed{policy.List{Kind: policy.ListDelta, Entries: entries(policy.Ready, id)}})
		r.step(Listed{policy.List{Kind: policy.ListDelta, Entries: entries(policy.Removed, id)}})
	}
	if len(r.c.ready) != 3 {
		t.Errorf("%d servers are kept", len(r.c.ready))
	}
}

package policy

import (
	"testing"
)

func TestTallyCountsInTheRanking(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.3)
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	next := one[Send](t, w.end(1, 0, s.Server, Full))
	if next.Server == s.Server {
		t.Fatal("the same holder was tried again")
	}
	w.end(1, 1, next.Server, Full)
	if got := w.place(9, 0); got == s.Server || got == next.Server {
		t.Fatalf("sent to %d, which has just refused", got)
	}
}

func TestListsFullDeltaCachedFailed(t *testing.T) {
	w := newWorld(t, settings())
	drained := entry(2)
	drained.Health = Draining
	w.do(List{Kind: ListDelta, Entries: []Entry{drained}})
	w.do(List{Kind: ListFull, Entries: []Entry{entry(1), drained}}) // 3 and 4 are gone
	for id := uint64(1); id <= 3; id++ {
		if got := w.place(id, 0); got != 1 {
			t.Fatalf("sent to %d, want 1", got)
		}
		w.end(id, 0, 1, OK)
	}
	ask := one[Timer](t, w.do(List{Kind: ListFailed}))
	if got := w.place(4, 0); got != 1 {
		t.Fatalf("after a failed list sent to %d, want 1", got)
	}
	w.now += ask.After
	one[Follow](t, w.do(Alarm{ask.Token}))
	removed := entry(1)
	removed.Health = Removed
	w.do(List{Kind: ListDelta, Entries: []Entry{removed}})
	none[Send](t, w.do(Request{w.ask(5, 0)}))
}

func TestAFrontThatMustAskForTheListDoes(t *testing.T) {
	set := settings()
	set.AskList = true
	w := &world{t: t, f: New(set, 1), now: start}
	one[Follow](t, w.do(List{Kind: ListCached}))
}

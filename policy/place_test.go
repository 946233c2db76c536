package policy

import (
	"testing"
)

func TestRecentFailuresLowerRanking(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.3)
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	next := onlyOne[Send](t, w.finish(1, 0, s.Server, Full))
	if next.Server == s.Server {
		t.Fatal("sent to the same holder again")
	}
	w.finish(1, 1, next.Server, Full)
	if got := w.start(9, 0); got == s.Server || got == next.Server {
		t.Fatalf("sent to %d, which has just refused a set-up", got)
	}
}

func TestServerListKinds(t *testing.T) {
	w := newWorld(t, settings())
	draining := entry(2)
	draining.Health = Draining
	w.handle(List{Kind: ListDelta, Entries: []Entry{draining}})
	w.handle(List{Kind: ListFull, Entries: []Entry{entry(1), draining}}) // 3 and 4 are no longer listed
	for id := uint64(1); id <= 3; id++ {
		if got := w.start(id, 0); got != 1 {
			t.Fatalf("sent to %d, want 1", got)
		}
		w.finish(id, 0, 1, OK)
	}
	retryTimer := onlyOne[Timer](t, w.handle(List{Kind: ListFailed}))
	if got := w.start(4, 0); got != 1 {
		t.Fatalf("after a failed list sent to %d, want 1", got)
	}
	w.now += retryTimer.After
	onlyOne[Subscribe](t, w.handle(TimerFired{retryTimer.Token}))
	removed := entry(1)
	removed.Health = Removed
	w.handle(List{Kind: ListDelta, Entries: []Entry{removed}})
	mustHaveNone[Send](t, w.handle(Request{w.newRequest(5, 0)}))
}

func TestFrontSubscribesToServerList(t *testing.T) {
	cfg := settings()
	cfg.SubscribeList = true
	w := &world{t: t, front: New(cfg, 1), now: startTime}
	onlyOne[Subscribe](t, w.handle(List{Kind: ListCached}))
}

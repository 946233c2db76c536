package policy

import "testing"

// A front that was restarted on a busy day took every server without a report for just started, though the list that it
// was given says when each started, and refused nine in ten of its first requests for that.
func TestANewFrontBelievesACompleteList(t *testing.T) {
	for _, c := range []struct {
		kind    ListKind
		started Time
		paced   bool
	}{{ListFull, 0, false}, {ListCached, 0, true}, {ListFull, start - Second, true}, {ListFull, start - 30*Second, false}} {
		set := settings()
		set.Fleet, set.ColdSpan, set.FallSpan, set.ColdFrom, set.ColdTimes = 300, 12*Second, 3*Second, 0.4, 3
		f := New(set, 1)
		e := entry(1)
		e.Started = c.started
		f.Handle(start, List{Kind: c.kind, Entries: []Entry{e, entry(2)}})
		if got := f.inSlowStart(f.fleet.get(1)); got != c.paced {
			t.Errorf("%+v: paced %v", c, got)
		}
		f.Handle(start+Second, List{Kind: ListDelta, Entries: []Entry{{Server: 3, Cell: 2, Size: 1, Started: start + Second/2}}})
		if !f.inSlowStart(f.fleet.get(3)) {
			t.Error("one that was told started is not paced")
		}
	}
}

// Settings that do not say what pushes a server over pace nothing: a server that had failed or started got no set-up for the
// whole of its warm-up.
func TestNothingIsPacedWhereNothingFalls(t *testing.T) {
	for _, drop := range []func(*Settings){func(s *Settings) { s.ColdTimes = 0 }, func(s *Settings) { s.FallSpan = 0 }} {
		set := cold()
		drop(&set)
		w := newWorld(t, set)
		w.now += 60 * Second
		told := entry(2)
		told.Started = w.now
		w.do(List{Kind: ListDelta, Entries: []Entry{told}})
		if n := w.sendsIn(Second, 2); n < 10 {
			t.Errorf("%d set-ups", n)
		}
	}
}

// A start that lies ahead, told by a clock that was set, is one of now: the server is paced for one warm-up, and no longer.
func TestAStartThatLiesAhead(t *testing.T) {
	set := cold()
	w := newWorld(t, set)
	w.now += 60 * Second
	told := entry(2)
	told.Started = w.now + 1000*Second
	w.do(List{Kind: ListDelta, Entries: []Entry{told}})
	if n := w.sendsIn(3*Second, 2); n == 0 || n > 8 {
		t.Errorf("%d set-ups to a server told started", n)
	}
	w.now += set.ColdSpan
	if n := w.sendsIn(3*Second, 2); n <= 8 {
		t.Errorf("only %d set-ups to a server that is warm", n)
	}
}

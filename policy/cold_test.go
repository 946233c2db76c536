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
		if got := f.paced(f.fleet.get(1)); got != c.paced {
			t.Errorf("%+v: paced %v", c, got)
		}
		f.Handle(start+Second, List{Kind: ListDelta, Entries: []Entry{{Server: 3, Cell: 2, Size: 1, Started: start + Second/2}}})
		if !f.paced(f.fleet.get(3)) {
			t.Error("one that was told started is not paced")
		}
	}
}

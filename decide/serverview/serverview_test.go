package serverview

import (
	"testing"

	"tealledge/policy"
)

func makeEntries(ids ...uint32) (out []policy.Entry) {
	for _, id := range ids {
		out = append(out, policy.Entry{Server: id, Size: 1, Started: policy.Second})
	}
	return out
}

func (v *View) mustApply(t *testing.T, now policy.Time, want Verdict, index uint64, ids ...uint32) []policy.Entry {
	t.Helper()
	list, got := v.Apply(now, Response{index, makeEntries(ids...)})
	if got != want {
		t.Fatalf("index %d, %v: verdict %d, want %d", index, ids, got, want)
	}
	return list
}

func TestEmptyListIsAcceptedOnlyAfterDelay(t *testing.T) {
	var v View
	now := 100 * policy.Second
	v.mustApply(t, now, Accepted, 5, 1, 2)
	v.mustApply(t, now, EmptyUnconfirmed, 6)
	v.mustApply(t, now+emptyListDelay-1, EmptyUnconfirmed, 7)
	if len(v.List()) != 2 || !v.EmptyPending() {
		t.Fatal("the old list was not kept")
	}
	v.mustApply(t, now+emptyListDelay, Accepted, 7)
	if len(v.List()) != 0 {
		t.Fatal("the empty list was not accepted after the delay")
	}
	v.mustApply(t, now+emptyListDelay, Accepted, 8, 1)
}

func TestNonEmptyListResetsEmptyDelay(t *testing.T) {
	var v View
	v.mustApply(t, 1, Accepted, 5, 1, 2)
	v.mustApply(t, 2, EmptyUnconfirmed, 6)
	v.mustApply(t, 3, Accepted, 7, 1, 2)
	v.mustApply(t, 3+emptyListDelay, EmptyUnconfirmed, 8)
}

func TestRemovalOfOneServerIsAcceptedAtOnce(t *testing.T) {
	var v View
	v.mustApply(t, 1, Accepted, 5, 1, 2)
	if list := v.mustApply(t, 2, Accepted, 6, 2); len(list) != 1 {
		t.Fatal(list)
	}
}

func TestIndexGoingBackKeepsOldList(t *testing.T) {
	var v View
	v.mustApply(t, 1, Accepted, 50, 1, 2)
	v.mustApply(t, 2, IndexWentBack, 3, 9)
	if v.Index() != 0 || len(v.List()) != 2 {
		t.Fatal(v.Index(), v.List())
	}
	v.mustApply(t, 3, Accepted, 3, 1)
	v.mustApply(t, 4, Unchanged, 3, 1)
}

func TestRedirectOutlastsStaleList(t *testing.T) {
	var v View
	v.mustApply(t, 1, Accepted, 5, 1, 2)
	now := 50 * policy.Second
	if e, ok := v.HandleRedirect(1, now); !ok || e.Health != policy.Draining {
		t.Fatal(e, ok)
	}
	if _, ok := v.HandleRedirect(1, now); ok {
		t.Fatal("a second REDIRECT was reported as a change")
	}
	if _, ok := v.HandleRedirect(9, now); ok {
		t.Fatal("accepted a REDIRECT of a server that is not listed")
	}
	if list := v.mustApply(t, now, Accepted, 6, 1, 2); list[0].Health != policy.Draining {
		t.Fatal("a stale list cleared the draining state")
	}
	list, _ := v.Apply(now, Response{7, []policy.Entry{{Server: 1, Started: now + 1}}})
	if list[0].Health != policy.Ready {
		t.Fatal("a new process of the server did not clear the draining state")
	}
}

func TestRefusesListOverMaxEntries(t *testing.T) {
	var v View
	if _, got := v.Apply(1, Response{1, make([]policy.Entry, maxEntries+1)}); got != TooLong {
		t.Fatal(got)
	}
}

package members

import (
	"testing"

	"tealledge/policy"
)

func entries(ids ...uint32) (out []policy.Entry) {
	for _, id := range ids {
		out = append(out, policy.Entry{Server: id, Size: 1, Started: policy.Second})
	}
	return out
}

func (v *View) must(t *testing.T, now policy.Time, want Verdict, index uint64, ids ...uint32) []policy.Entry {
	t.Helper()
	list, got := v.Take(now, Answer{index, entries(ids...)})
	if got != want {
		t.Fatalf("index %d, %v: verdict %d, want %d", index, ids, got, want)
	}
	return list
}

func TestAnEmptiedListIsNotBelievedAtOnce(t *testing.T) {
	var v View
	now := 100 * policy.Second
	v.must(t, now, Believed, 5, 1, 2)
	v.must(t, now, Emptied, 6)
	v.must(t, now+emptyWait-1, Emptied, 7)
	if len(v.All()) != 2 || !v.Doubted() {
		t.Fatal("the old list does not stand")
	}
	v.must(t, now+emptyWait, Believed, 7)
	if len(v.All()) != 0 {
		t.Fatal("never believed")
	}
	v.must(t, now+emptyWait, Believed, 8, 1)
}

func TestServersThatReappearEndTheDoubt(t *testing.T) {
	var v View
	v.must(t, 1, Believed, 5, 1, 2)
	v.must(t, 2, Emptied, 6)
	v.must(t, 3, Believed, 7, 1, 2)
	v.must(t, 3+emptyWait, Emptied, 8)
}

func TestOneMissingServerIsBelievedAtOnce(t *testing.T) {
	var v View
	v.must(t, 1, Believed, 5, 1, 2)
	if list := v.must(t, 2, Believed, 6, 2); len(list) != 1 {
		t.Fatal(list)
	}
}

func TestAnIndexThatGoesBackwardsKeepsTheOldList(t *testing.T) {
	var v View
	v.must(t, 1, Believed, 50, 1, 2)
	v.must(t, 2, Backward, 3, 9)
	if v.Index() != 0 || len(v.All()) != 2 {
		t.Fatal(v.Index(), v.All())
	}
	v.must(t, 3, Believed, 3, 1)
	v.must(t, 4, Same, 3, 1)
}

func TestAServersOwnWordHoldsAgainstALateList(t *testing.T) {
	var v View
	v.must(t, 1, Believed, 5, 1, 2)
	now := 50 * policy.Second
	if e, ok := v.Redirected(1, now); !ok || e.Health != policy.Draining {
		t.Fatal(e, ok)
	}
	if _, ok := v.Redirected(1, now); ok {
		t.Fatal("told twice")
	}
	if _, ok := v.Redirected(9, now); ok {
		t.Fatal("a server never listed")
	}
	if list := v.must(t, now, Believed, 6, 1, 2); list[0].Health != policy.Draining {
		t.Fatal("the late list took it back")
	}
	list, _ := v.Take(now, Answer{7, []policy.Entry{{Server: 1, Started: now + 1}}})
	if list[0].Health != policy.Ready {
		t.Fatal("a new process is not taken")
	}
}

func TestListsAreBounded(t *testing.T) {
	var v View
	if _, got := v.Take(1, Answer{1, make([]policy.Entry, mostNodes+1)}); got != TooLong {
		t.Fatal(got)
	}
}

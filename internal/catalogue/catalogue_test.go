package catalogue

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"tealledge/policy"
)

func title(n int, servers ...uint32) *Title {
	t := &Title{Name: fmt.Sprintf("title-%d", n)}
	for _, s := range servers {
		t.Holders = append(t.Holders, Holding{s, 0b111})
	}
	return t
}

func build(t testing.TB, number uint64, list ...*Title) *Version {
	t.Helper()
	v, err := Build(number, func(yield func(*Title) bool) {
		for _, x := range list {
			if !yield(x) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestTreeMatchesMapAndOldVersionsStay compares versions with plain maps through random insertions and removals; old
// versions must stay unchanged.
func TestTreeMatchesMapAndOldVersionsStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, want := tree{}, map[string]*Title{}
		type old struct {
			tree tree
			want map[string]*Title
		}
		var versions []old
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "name"))
			var previous *Title
			if rapid.Bool().Draw(t, "put") {
				x := &Title{Name: name}
				v, previous = v.with(x)
				if previous != want[name] {
					t.Fatal("with returned a wrong old title")
				}
				want[name] = x
			} else {
				v, previous = v.without(name)
				if previous != want[name] {
					t.Fatal("without returned a wrong title")
				}
				delete(want, name)
			}
			if len(versions) < 8 {
				copy := map[string]*Title{}
				for k, x := range want {
					copy[k] = x
				}
				versions = append(versions, old{v, copy})
			}
		}
		for _, o := range append(versions, old{v, want}) {
			n := 0
			o.tree.root.all(func(x *Title) bool {
				if n++; o.want[x.Name] != x || o.tree.get(x.Name) != x {
					t.Fatal("an old version has changed")
				}
				return true
			})
			if n != len(o.want) || o.tree.size != n {
				t.Fatal("wrong number of titles: visited, size, want", n, o.tree.size, len(o.want))
			}
		}
	})
}

// TestInPlaceBuildMatchesStepwiseBuild: every title is found in both, and a version built in place can be changed.
func TestInPlaceBuildMatchesStepwiseBuild(t *testing.T) {
	var list []*Title
	steps := tree{}
	for i := range 5000 {
		list = append(list, title(i, uint32(i+1)))
		steps, _ = steps.with(list[i])
	}
	v := build(t, 1, list...)
	for _, x := range list {
		if got, _ := v.Get(x.Name); got != x || steps.get(x.Name) != x {
			t.Fatal("title not found:", x.Name)
		}
	}
	var out *Title
	for i, x := range list {
		if v.tree, out = v.tree.without(x.Name); out != x || v.Len() != len(list)-1-i {
			t.Fatal("title not removed:", x.Name)
		}
	}
	if v.tree.root != nil {
		t.Error("an empty tree has nodes")
	}
}

// TestTitlesWithEqualHashStayDistinct: titles with equal hashes share a node at maxDepth and must not be confused.
func TestTitlesWithEqualHashStayDistinct(t *testing.T) {
	var n *node
	a, b := &Title{Name: "a"}, &Title{Name: "b"}
	n, _ = n.with(a, 7, maxDepth)
	n, _ = n.with(b, 7, maxDepth)
	c, previous := n.with(&Title{Name: "b"}, 7, maxDepth)
	if previous != b {
		t.Error("title not replaced")
	}
	left, previous := c.without("a", 7, maxDepth)
	if previous != a || left == nil {
		t.Error("title not removed")
	}
	if _, previous := left.without("a", 7, maxDepth); previous != nil {
		t.Error("title removed twice")
	}
	if none, _ := left.without("b", 7, maxDepth); none != nil {
		t.Error("an empty tree has nodes")
	}
}

// TestInvalidUpdatesLeaveVersionUnchanged: each invalid update returns an error, and no part of it becomes visible.
func TestInvalidUpdatesLeaveVersionUnchanged(t *testing.T) {
	v1 := build(t, 1, title(1, 1), title(2, 2))
	v2 := build(t, 2, title(1, 1, 3), title(3, 3))
	v3 := build(t, 3, title(3, 3))
	good := Diff(v1, v2)
	cut := *good
	cut.Put = good.Put[:len(good.Put)-1]
	flipped := *good
	flipped.Put = append([]*Title{title(1, 1, 4)}, good.Put[1:]...)
	wrongBase := *good
	wrongBase.From.Digest++
	missing := *good
	missing.Remove = append([]string{"title-9"}, good.Remove...)
	unordered := *good
	unordered.Put = append([]*Title{title(7, 5, 4)}, good.Put...)
	backwards := *good
	backwards.To.Number = 1
	for name, c := range map[string]struct {
		d    *Delta
		want error
	}{
		"incomplete":           {&cut, ErrResultMismatch},
		"corrupt":              {&flipped, ErrResultMismatch},
		"for another version":  {&wrongBase, ErrBaseMismatch},
		"removes unknown":      {&missing, ErrResultMismatch},
		"holders out of order": {&unordered, nil},
		"not a newer version":  {&backwards, ErrResultMismatch},
		"too early":            {Diff(v2, v3), ErrBaseMismatch},
	} {
		next, err := v1.Apply(c.d)
		if next != nil || err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	if x, _ := v1.Get("title-1"); v1.Len() != 2 || len(x.Holders) != 1 {
		t.Error("the old version has changed")
	}
	if next, err := v1.Apply(good); err != nil || next.VersionID != v2.VersionID {
		t.Error(err)
	}
	if _, err := Build(1, func(y func(*Title) bool) { _ = y(title(1, 1)) && y(title(1, 2)) }); err == nil {
		t.Error("a duplicate title was accepted")
	}
}

// TestReorderedDeltasReachNewestVersion: deltas in any order, repeated ones included, lead to the newest version; a gap
// is reported.
func TestReorderedDeltasReachNewestVersion(t *testing.T) {
	versions := []*Version{build(t, 1, title(0, 1))}
	var deltas []*Delta
	rng := rand.New(rand.NewSource(1))
	for n := uint64(2); n <= 20; n++ {
		var list []*Title
		for i := range 30 {
			if rng.Intn(2) == 0 {
				list = append(list, title(i, uint32(1+rng.Intn(4))))
			}
		}
		versions = append(versions, build(t, n, list...))
		deltas = append(deltas, Diff(versions[n-2], versions[n-1]))
	}
	newest := versions[len(versions)-1]
	for seed := range int64(50) {
		c := New(versions[0])
		rng := rand.New(rand.NewSource(seed))
		order := append(rng.Perm(len(deltas)), rng.Perm(len(deltas))...) // each delta arrives twice
		behind := false
		for _, i := range order {
			var err error
			if behind, err = c.ApplyDelta(deltas[i]); err != nil {
				t.Fatal(err)
			}
		}
		if c.Current().VersionID != newest.VersionID || behind || len(c.pending) > 0 {
			t.Fatalf("seed %d: at version %d, %d deltas pending", seed, c.Current().Number, len(c.pending))
		}
	}
	c := New(versions[0])
	if behind, err := c.ApplyDelta(deltas[5]); !behind || err != nil {
		t.Error("a gap is not reported", err)
	}
	if err := c.Replace(versions[5]); err != nil || c.Current().Number != 7 {
		t.Error("a delta pending for the full version was not applied", c.Current().Number, err)
	}
	if err := c.Replace(versions[0]); err == nil || c.Current().Number != 7 {
		t.Error("an older version replaced the newer one")
	}
}

func TestEligibleHoldersHoldAllRungsFromFloor(t *testing.T) {
	x := &Title{Name: "x", Holders: []Holding{{1, 0b1111}, {2, 0b0011}, {3, 0b1110}, {4, 0b1101}}}
	for floor, want := range map[int]string{0: "[{1 3} {2 1} {4 0}]", 1: "[{1 3} {2 1} {3 3}]",
		3: "[{1 3} {3 3} {4 3}]"} {
		if got := fmt.Sprint(x.EligibleHolders(floor)); got != want {
			t.Errorf("floor %d: got %s, want %s", floor, got, want)
		}
	}
	if got := (&Title{Name: "y", Holders: []Holding{{1, 1<<32 - 1}}}).EligibleHolders(0); got[0] !=
		(policy.Holder{Server: 1, Top: 31}) {
		t.Error(got)
	}
	if x := (&Title{Name: "z"}).EligibleHolders(0); x == nil || len(x) != 0 {
		t.Error("a title without holders must give an empty list, not nil")
	}
}

// TestConcurrentReadersSeeWholeVersions: while the catalogue changes, a reader must never see a mixture of two
// versions.
func TestConcurrentReadersSeeWholeVersions(t *testing.T) {
	version := func(n uint64) *Version {
		var list []*Title
		for i := range 200 {
			list = append(list, title(i, uint32(n)))
		}
		return build(t, n, list...)
	}
	c := New(version(1))
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				v := c.Current()
				for i := range 200 {
					if x, ok := v.Get(fmt.Sprintf("title-%d", i)); !ok || x.Holders[0].Server != uint32(v.Number) {
						t.Error("a reader saw a mixture of two versions")
						return
					}
				}
			}
		}()
	}
	for n := uint64(2); n < 60; n++ {
		if _, err := c.ApplyDelta(Diff(c.Current(), version(n))); err != nil {
			t.Error(err)
		}
	}
	stop.Store(true)
	wg.Wait()
}

package explore

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// jugs is the puzzle of two jugs of 3 and 5 litres: small enough to count its states by hand.
type jugs struct {
	a, b      int
	forbidden int // content of jug b that violates the property
}

func (j *jugs) Choices() int { return 6 }

func (j *jugs) Label(c int) string {
	return []string{"fill a", "fill b", "empty a", "empty b", "a to b", "b to a"}[c]
}

func (j *jugs) Take(c int) {
	switch c {
	case 0:
		j.a = 3
	case 1:
		j.b = 5
	case 2:
		j.a = 0
	case 3:
		j.b = 0
	case 4:
		n := min(j.a, 5-j.b)
		j.a, j.b = j.a-n, j.b+n
	case 5:
		n := min(j.b, 3-j.a)
		j.a, j.b = j.a+n, j.b-n
	}
}

func (j *jugs) Fingerprint() uint64 { return uint64(j.a)<<8 | uint64(j.b)<<16 | 1 }

func (j *jugs) Violation() string {
	if j.b == j.forbidden {
		return fmt.Sprintf("jug b holds %d", j.b)
	}
	return ""
}

func TestVisitsEveryStateOnce(t *testing.T) {
	for _, workers := range []int{1, 4} {
		r := Run(func() System { return &jugs{forbidden: -1} }, Limits{MaxDepth: 50, Workers: workers})
		if r.States != 16 || !r.Complete { // the states with a jug empty or full: 2*(4+6)-4
			t.Errorf("%d workers: %v", workers, r)
		}
	}
}

func TestMinimizesTraceOfViolation(t *testing.T) {
	newSystem := func() System { return &jugs{forbidden: 4} }
	r := Run(newSystem, Limits{MaxDepth: 50})
	if r.Violation != "jug b holds 4" || len(r.Trace) > 10 || r.Complete {
		t.Fatal(r)
	}
	if violation, ok := Replay(newSystem, r.Trace); !ok || violation != r.Violation {
		t.Fatal("the trace does not lead to the violation")
	}
	for i := range r.Trace { // no choice can be removed
		if violation, ok := Replay(newSystem, append(append([]string(nil), r.Trace[:i]...), r.Trace[i+1:]...)); ok &&
			violation == r.Violation {
			t.Errorf("choice %d of the trace is not needed", i)
		}
	}
	w := RandomWalk(context.Background(), newSystem, 100, 2, 10*time.Second, 1)
	if w.Violation != r.Violation {
		t.Error("the random walk did not find the violation:", w)
	}
}

func TestReportsReachedLimits(t *testing.T) {
	if r := Run(func() System { return &jugs{forbidden: -1} }, Limits{MaxDepth: 2}); r.CutRuns == 0 {
		t.Error("cut runs are not reported:", r)
	}
	if r := Run(func() System { return &jugs{forbidden: -1} }, Limits{MaxDepth: 50, MaxStates: 5}); r.Complete {
		t.Error("a search limited to five states reports itself complete:", r)
	}
}

func BenchmarkSet(b *testing.B) {
	rng := rand.New(rand.NewSource(1))
	s := &fingerprintSet{}
	b.ReportAllocs()
	for range b.N {
		s.add(rng.Uint64())
	}
}

func BenchmarkPlainMap(b *testing.B) {
	rng := rand.New(rand.NewSource(1))
	m := map[uint64]struct{}{}
	b.ReportAllocs()
	for range b.N {
		m[rng.Uint64()] = struct{}{}
	}
}

package background

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"tealledge/decide/schedule"
)

// TestStepsRunYieldAndEnd checks that a task's steps run until it is done, that no step runs while requests wait, and
// that the scheduler stops with its context.
func TestStepsRunYieldAndEnd(t *testing.T) {
	var underPressure atomic.Bool
	s := New(func() int64 { return time.Now().UnixNano() }, func() schedule.Pressure {
		if underPressure.Load() {
			return schedule.Pressure{Backlog: 1000}
		}
		return schedule.Pressure{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	waitFor := func(condition string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("timed out waiting for ", condition)
			}
		}
	}
	var steps atomic.Int64
	if !s.Add(schedule.Task{Name: "a", Interval: time.Hour.Nanoseconds()},
		func(context.Context, time.Duration) (int, bool) { return 10, steps.Add(1)%5 == 0 }) {
		t.Fatal("task not added")
	}
	waitFor("a run of five steps", func() bool { return s.Stats()["a"].Runs == 1 })
	if st := s.Stats()["a"]; st.Steps != 5 || st.Bytes != 50 {
		t.Errorf("%+v", st)
	}
	underPressure.Store(true)
	s.Wake("a")
	time.Sleep(100 * time.Millisecond)
	if steps.Load() != 5 {
		t.Error("a step ran while requests waited")
	}
	underPressure.Store(false)
	waitFor("a second run", func() bool { return s.Stats()["a"].Runs == 2 })
	if s.Add(schedule.Task{Name: "a"}, nil) {
		t.Error("a second task of the same name was added")
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the scheduler did not stop with its context")
	}
}

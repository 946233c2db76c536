package background

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"tealledge/decide/schedule"
)

// TestStepsRunYieldAndEnd: a task's steps run until it is done, not while requests wait, and the scheduler ends with its
// context.
func TestStepsRunYieldAndEnd(t *testing.T) {
	var pressed atomic.Bool
	s := New(func() int64 { return time.Now().UnixNano() }, func() schedule.Pressure {
		if pressed.Load() {
			return schedule.Pressure{Backlog: 1000}
		}
		return schedule.Pressure{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	until := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("never: ", what)
			}
		}
	}
	var steps atomic.Int64
	if !s.Add(schedule.Task{Name: "a", Interval: time.Hour.Nanoseconds()}, func(context.Context, time.Duration) (int, bool) { return 10, steps.Add(1)%5 == 0 }) {
		t.Fatal("not added")
	}
	until("a run of five steps", func() bool { return s.Stats()["a"].Runs == 1 })
	if st := s.Stats()["a"]; st.Steps != 5 || st.Bytes != 50 {
		t.Errorf("%+v", st)
	}
	pressed.Store(true)
	s.Wake("a")
	time.Sleep(100 * time.Millisecond)
	if steps.Load() != 5 {
		t.Error("it ran while requests wait")
	}
	pressed.Store(false)
	until("a second run", func() bool { return s.Stats()["a"].Runs == 2 })
	if s.Add(schedule.Task{Name: "a"}, nil) {
		t.Error("a name twice")
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

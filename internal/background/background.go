// Package background runs background work on one goroutine, a step at a time, as decide/schedule says. A task is told how long a
// step may last and gives back where it stands; what it does with disks and sockets is its own.
package background

import (
	"context"
	"sync"
	"time"

	"tealledge/decide/schedule"
)

// Step does a part of a task's work within about a budget. It tells the bytes that it moved and whether the run is done.
type Step func(ctx context.Context, budget time.Duration) (bytes int, done bool)

// Scheduler runs tasks. Make one with New.
type Scheduler struct {
	mu       sync.Mutex
	plan     schedule.Plan
	steps    map[string]Step
	pressure func() schedule.Pressure
	now      func() int64
	wake     chan struct{}
	stats    map[string]Stats
}

// Stats is what a task has had.
type Stats struct {
	Runs, Steps int
	Took        time.Duration
	Longest     time.Duration // step
	Bytes       int
}

// New makes a scheduler. pressure tells how the request path fares and is called often, from another goroutine.
func New(now func() int64, pressure func() schedule.Pressure) *Scheduler {
	return &Scheduler{steps: map[string]Step{}, pressure: pressure, now: now, wake: make(chan struct{}, 1), stats: map[string]Stats{}}
}

// Add adds a task; false if there are too many or one of its name.
func (s *Scheduler) Add(t schedule.Task, step Step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.plan.Add(s.now(), t) {
		return false
	}
	s.steps[t.Name] = step
	s.rouse()
	return true
}

// Wake makes a task due now.
func (s *Scheduler) Wake(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Wake(s.now(), name)
	s.rouse()
}

func (s *Scheduler) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run runs tasks until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		s.mu.Lock()
		now := s.now()
		name, budget, again := s.plan.Next(now, s.pressure())
		step := s.steps[name]
		s.mu.Unlock()
		if name == "" {
			timer.Reset(time.Duration(max(again-now, 1)))
			select {
			case <-ctx.Done():
			case <-s.wake:
			case <-timer.C:
			}
			continue
		}
		bytes, done := step(ctx, time.Duration(budget))
		s.mu.Lock()
		end := s.now()
		s.plan.RecordStep(end, name, end-now, bytes, done, s.pressure())
		st := s.stats[name]
		st.Steps++
		st.Took += time.Duration(end - now)
		st.Longest = max(st.Longest, time.Duration(end-now))
		st.Bytes += bytes
		if done {
			st.Runs++
		}
		s.stats[name] = st
		s.mu.Unlock()
	}
}

// Stats gives what each task has had.
func (s *Scheduler) Stats() map[string]Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Stats, len(s.stats))
	for k, v := range s.stats {
		out[k] = v
	}
	return out
}

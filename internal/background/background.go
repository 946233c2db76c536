// Package background runs background tasks on one goroutine, one step at a time. decide/schedule decides which step
// runs next and how long it may take. A task does its own disk and network I/O.
package background

import (
	"context"
	"sync"
	"time"

	"tealledge/decide/schedule"
)

// Step does a part of a task's work in about the given time. It returns the number of bytes moved and whether the run
// is done.
type Step func(ctx context.Context, budget time.Duration) (bytes int, done bool)

// Scheduler runs tasks. It is created by New.
type Scheduler struct {
	mu       sync.Mutex
	plan     schedule.Plan
	steps    map[string]Step
	pressure func() schedule.Pressure
	now      func() int64
	wake     chan struct{}
	stats    map[string]Stats
}

// Stats counts the work done for one task.
type Stats struct {
	Runs, Steps int
	TotalTime   time.Duration
	LongestStep time.Duration
	Bytes       int
}

// New returns a scheduler without tasks. pressure reports the load of the request path; it is called often, and from
// another goroutine.
func New(now func() int64, pressure func() schedule.Pressure) *Scheduler {
	return &Scheduler{steps: map[string]Step{}, pressure: pressure, now: now, wake: make(chan struct{}, 1),
		stats: map[string]Stats{}}
}

// Add adds a task. It returns false if there are too many tasks or one of that name exists.
func (s *Scheduler) Add(t schedule.Task, step Step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.plan.Add(s.now(), t) {
		return false
	}
	s.steps[t.Name] = step
	s.signalWake()
	return true
}

// Wake makes a task due immediately.
func (s *Scheduler) Wake(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Wake(s.now(), name)
	s.signalWake()
}

func (s *Scheduler) signalWake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run runs tasks until ctx is cancelled.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		s.mu.Lock()
		now := s.now()
		name, budget, retryAt := s.plan.Next(now, s.pressure())
		step := s.steps[name]
		s.mu.Unlock()
		if name == "" {
			timer.Reset(time.Duration(max(retryAt-now, 1)))
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
		taskStats := s.stats[name]
		taskStats.Steps++
		taskStats.TotalTime += time.Duration(end - now)
		taskStats.LongestStep = max(taskStats.LongestStep, time.Duration(end-now))
		taskStats.Bytes += bytes
		if done {
			taskStats.Runs++
		}
		s.stats[name] = taskStats
		s.mu.Unlock()
	}
}

// Stats returns the counters of each task by name.
func (s *Scheduler) Stats() map[string]Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]Stats, len(s.stats))
	for k, v := range s.stats {
		copied[k] = v
	}
	return copied
}

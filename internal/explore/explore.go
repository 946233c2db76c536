// Package explore is an explicit-state model checker: it searches the states of a system exhaustively. At each state it
// takes every enabled choice, depth first, and stops at states that were visited before. The system is the production
// code, not a model of it. A state is identified by its path, the list of choices from the initial state. Systems that
// can be copied are copied, so that backtracking needs no replay.
//
// This file holds the search, set.go the set of visited states, checkpoint.go saves and loads an unfinished search,
// trace.go builds the trace of a violation, walk.go takes random runs through systems too large for a complete search.
package explore

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// System is a system that can be explored. It must be deterministic: the same choices from the initial state lead to
// the same state.
type System interface {
	// Choices returns the number of choices enabled in this state, at most 255. 0 ends the run.
	Choices() int
	// Label returns the text of an enabled choice.
	Label(choice int) string
	// Take takes an enabled choice.
	Take(choice int)
	// Fingerprint returns a hash that is equal, in every process, for states that behave the same from here on.
	Fingerprint() uint64
	// Violation describes the property violated in this state; "" if there is none.
	Violation() string
}

// Copier is a System that can be copied, so that backtracking needs no replay.
type Copier interface {
	System
	Copy() System
}

// Limits bounds and configures a search.
type Limits struct {
	Context          context.Context // ends the search incomplete when it is done; nil: none
	MaxDepth         int             // maximum number of choices in a run
	MaxStates        int             // maximum number of states stored; beyond it the search ends incomplete; 0: none
	MaxDuration      time.Duration   // maximum duration, after which the search ends incomplete; 0: none
	Workers          int             // 0: one per core
	BreadthFirst     bool            // breadth first: reports the diameter, finds shortest traces, replays every path
	ReplayOnly       bool            // never copies a system, even if it can be copied
	Progress         func(Report)    // receives interim reports; nil: none
	ProgressInterval time.Duration   // between interim reports; 0: 10 s
	CheckpointFile   string          // file that an unfinished search is saved to and resumed from; "": none
	World            string          // identifies the system: a search saved for another one is not resumed
}

// Report is the result of a search, or its progress.
type Report struct {
	States        int
	Transitions   int64
	EndedRuns     int64 // runs that ended in a state without choices
	CutRuns       int64 // runs cut at the depth limit
	MaxDepth      int
	Diameter      int // choices to the state farthest from the initial one; set by breadth-first searches only
	Complete      bool
	Resumed       bool
	PendingPaths  int // paths not searched yet when the search ended early
	SetBytes      int64
	Violation     string
	Trace         []string // labels of the choices that lead to the violation, the shortest list found
	Elapsed       time.Duration
	CheckpointErr error // why the search could not be saved or resumed
}

// String returns the report as text.
func (r Report) String() string {
	text := fmt.Sprintf("%d states, %d transitions, %d runs ended, %d cut at the depth bound, deepest %d, %.1f s, complete %v",
		r.States, r.Transitions, r.EndedRuns, r.CutRuns, r.MaxDepth, r.Elapsed.Seconds(), r.Complete)
	if r.Diameter > 0 {
		text += fmt.Sprintf(", diameter %d", r.Diameter)
	}
	if r.States > 0 && r.Elapsed > 0 {
		text += fmt.Sprintf("; %.0f states/s, %.1f bytes a state", float64(r.States)/r.Elapsed.Seconds(),
			float64(r.SetBytes)/float64(r.States))
	}
	if r.PendingPaths > 0 {
		text += fmt.Sprintf("; %d paths left", r.PendingPaths)
	}
	if r.Violation != "" {
		text += "\nbroken: " + r.Violation + "\n  " + strings.Join(r.Trace, "\n  ")
	}
	return text
}

// search is a search in progress.
type search struct {
	newSystem   func() System
	limits      Limits
	seen        fingerprintSet
	mu          sync.Mutex
	stack       [][]uint8 // paths whose last state was not visited yet
	nextLevel   [][]uint8 // paths of the next level in a breadth-first search
	busyWorkers int
	idleWorkers atomic.Int32
	workChanged sync.Cond
	stopped     atomic.Bool
	report      Report
	deadline    time.Time
}

// Run explores a system. newSystem creates one in its initial state. The search ends at the first violation, whose
// trace is then minimized.
func Run(newSystem func() System, limits Limits) Report {
	if limits.Workers == 0 {
		limits.Workers = runtime.NumCPU()
	}
	if limits.ProgressInterval == 0 {
		limits.ProgressInterval = 10 * time.Second
	}
	s := &search{newSystem: newSystem, limits: limits, stack: [][]uint8{nil}}
	s.workChanged.L = &s.mu
	if limits.CheckpointFile != "" {
		s.report.CheckpointErr = s.loadCheckpoint()
	}
	startedAt := time.Now()
	if limits.MaxDuration > 0 {
		s.deadline = startedAt.Add(limits.MaxDuration)
	}
	done := make(chan struct{})
	go s.reportProgress(startedAt, done)
	if limits.Context != nil {
		defer context.AfterFunc(limits.Context, func() {
			s.stopped.Store(true)
			s.mu.Lock()
			s.workChanged.Broadcast()
			s.mu.Unlock()
		})()
	}
	for level := 0; ; level++ {
		var wg sync.WaitGroup
		for range limits.Workers {
			wg.Add(1)
			go func() { defer wg.Done(); s.runWorker() }()
		}
		wg.Wait()
		if s.stopped.Load() || len(s.nextLevel) == 0 {
			break
		}
		s.stack, s.nextLevel = s.nextLevel, nil
		s.report.Diameter = level + 1
	}
	close(done)
	report := s.currentReport(startedAt)
	if limits.BreadthFirst && report.Diameter > 0 && s.report.Violation == "" && !s.stopped.Load() {
		report.Diameter-- // the last level held no new state
	}
	report.Complete = !s.stopped.Load() && report.Violation == "" && report.CutRuns == 0
	if limits.CheckpointFile != "" && report.Violation == "" && report.CheckpointErr == nil {
		report.CheckpointErr = s.saveCheckpoint(report.Complete)
	}
	return report
}

// currentReport returns the report of the search so far.
func (s *search) currentReport(startedAt time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.States, r.Elapsed, r.SetBytes, r.PendingPaths = int(s.seen.total.Load()), time.Since(startedAt), s.seen.bytes(),
		len(s.stack)+len(s.nextLevel)
	return r
}

// reportProgress calls Limits.Progress at each interval until the search is done.
func (s *search) reportProgress(startedAt time.Time, done chan struct{}) {
	if s.limits.Progress == nil {
		return
	}
	ticker := time.NewTicker(s.limits.ProgressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.limits.Progress(s.currentReport(startedAt))
		}
	}
}

// runWorker searches paths from the stack until none is left and no other worker can add one, or the search is stopped.
func (s *search) runWorker() {
	for {
		s.mu.Lock()
		s.idleWorkers.Add(1)
		for len(s.stack) == 0 && s.busyWorkers > 0 && !s.stopped.Load() {
			s.workChanged.Wait()
		}
		s.idleWorkers.Add(-1)
		if len(s.stack) == 0 || s.stopped.Load() {
			s.workChanged.Broadcast()
			s.mu.Unlock()
			return
		}
		path := s.stack[len(s.stack)-1]
		s.stack = s.stack[:len(s.stack)-1]
		s.busyWorkers++
		s.mu.Unlock()
		sys := s.newSystem()
		for _, c := range path {
			sys.Take(int(c))
		}
		w := worker{search: s}
		w.descend(sys, path)
		s.mu.Lock()
		s.report.Transitions += w.transitions
		s.report.EndedRuns += w.endedRuns
		s.report.CutRuns += w.cutRuns
		s.report.MaxDepth = max(s.report.MaxDepth, w.maxDepth)
		s.busyWorkers--
		s.workChanged.Broadcast()
		s.mu.Unlock()
	}
}

// worker searches from one path and counts what it finds there.
type worker struct {
	*search
	transitions, endedRuns, cutRuns int64
	maxDepth                        int
}

// pushPath queues a path for any worker, with lastChoice appended if it is not negative.
func (s *search) pushPath(path []uint8, lastChoice int) {
	ownPath := make([]uint8, len(path), len(path)+1)
	copy(ownPath, path)
	if lastChoice >= 0 {
		ownPath = append(ownPath, uint8(lastChoice))
	}
	s.mu.Lock()
	if s.limits.BreadthFirst && lastChoice >= 0 {
		s.nextLevel = append(s.nextLevel, ownPath)
	} else {
		s.stack = append(s.stack, ownPath)
	}
	s.workChanged.Signal()
	s.mu.Unlock()
}

// descend visits a state and continues along its choices. sys is at that state and is used by this worker alone.
func (w *worker) descend(sys System, path []uint8) {
	for {
		if w.stopped.Load() {
			w.pushPath(path, -1)
			return
		}
		w.transitions++
		w.maxDepth = max(w.maxDepth, len(path))
		if violation := sys.Violation(); violation != "" {
			w.recordViolation(path, violation)
			return
		}
		if !w.seen.add(sys.Fingerprint()) {
			return
		}
		choices := sys.Choices()
		switch {
		case choices == 0:
			w.endedRuns++
			return
		case len(path) >= w.limits.MaxDepth:
			w.cutRuns++
			return
		}
		if w.limitReached() {
			w.stopped.Store(true)
		}
		firstChoice := 0
		if w.limits.BreadthFirst {
			firstChoice = -1
		}
		copier, _ := sys.(Copier)
		for choice := choices - 1; choice > firstChoice; choice-- {
			if copier == nil || w.limits.ReplayOnly || w.limits.BreadthFirst || w.stopped.Load() ||
				w.idleWorkers.Load() > 0 {
				w.pushPath(path, choice)
				continue
			}
			child := copier.Copy()
			child.Take(choice)
			w.descend(child, append(path[:len(path):len(path)], uint8(choice)))
		}
		if w.limits.BreadthFirst {
			return
		}
		path = append(path[:len(path):len(path)], 0)
		sys.Take(0)
	}
}

// limitReached reports whether a limit on states or time is reached.
func (w *worker) limitReached() bool {
	if w.limits.MaxStates > 0 && int(w.seen.total.Load()) >= w.limits.MaxStates {
		return true
	}
	return !w.deadline.IsZero() && w.transitions%64 == 0 && time.Now().After(w.deadline)
}

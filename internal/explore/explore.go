// Package explore searches the states of a system exhaustively: at each state it takes every choice that is enabled,
// depth first, and cuts where a state was seen before. The system is the running code, not a model of it; it is not
// cloned but replayed: a state is its list of choices from the start.
package explore

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// System is something that can be explored. The same choices from the start must lead to the same state.
type System interface {
	// Enabled names the choices that can be taken now; none ends the run.
	Enabled() []string
	// Take takes one of them.
	Take(choice int)
	// Fingerprint is equal for states that behave alike from here on.
	Fingerprint() uint64
	// Broken tells the property that is violated, "" if none is.
	Broken() string
}

// Limits bound a search.
type Limits struct {
	Depth   int           // choices in a run
	States  int           // states kept; past it the search ends incomplete
	Time    time.Duration // 0: none
	Workers int           // 0: one a core
}

// Report is what a search found.
type Report struct {
	States      int
	Transitions int64
	Runs        int64 // that ended by themselves
	Cut         int64 // at the depth bound
	Deepest     int
	Complete    bool // every state within the depth bound was reached
	Broken      string
	Story       []string // the choices that lead there, shortest found
	Took        time.Duration
}

// set is a set of fingerprints in shards of open addressing: 8 bytes a slot and no pointers.
type set struct {
	shards [64]shard
	total  atomic.Int64
}

type shard struct {
	mu   sync.Mutex
	slot []uint64
	n    int
}

// add gives true if the fingerprint is new.
func (s *set) add(fp uint64) bool {
	if fp == 0 {
		fp = 1
	}
	sh := &s.shards[fp>>58]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.slot == nil || sh.n*4 >= len(sh.slot)*3 {
		old := sh.slot
		sh.slot = make([]uint64, max(1024, 2*len(old)))
		for _, x := range old {
			if x != 0 {
				sh.put(x)
			}
		}
	}
	if !sh.put(fp) {
		return false
	}
	sh.n++
	s.total.Add(1)
	return true
}

func (sh *shard) put(fp uint64) bool {
	mask := uint64(len(sh.slot) - 1)
	for i := fp & mask; ; i = (i + 1) & mask {
		switch sh.slot[i] {
		case 0:
			sh.slot[i] = fp
			return true
		case fp:
			return false
		}
	}
}

// search is one exploration under way.
type search struct {
	fresh  func() System
	limits Limits
	seen   set
	mu     sync.Mutex
	stack  [][]uint8 // paths whose last choice was not taken yet
	busy   int
	wake   sync.Cond
	stop   atomic.Bool
	report Report
	until  time.Time
}

// Run explores a system. fresh makes one at its start. It ends at the first broken property, which is then shrunk.
func Run(fresh func() System, limits Limits) Report {
	if limits.Workers == 0 {
		limits.Workers = runtime.NumCPU()
	}
	s := &search{fresh: fresh, limits: limits, stack: [][]uint8{nil}}
	s.wake.L = &s.mu
	began := time.Now()
	if limits.Time > 0 {
		s.until = began.Add(limits.Time)
	}
	var wg sync.WaitGroup
	for range limits.Workers {
		wg.Add(1)
		go func() { defer wg.Done(); s.work() }()
	}
	wg.Wait()
	r := s.report
	r.States, r.Took = int(s.seen.total.Load()), time.Since(began)
	r.Complete = !s.stop.Load() && r.Broken == ""
	return r
}

func (s *search) work() {
	for {
		s.mu.Lock()
		for len(s.stack) == 0 && s.busy > 0 && !s.stop.Load() {
			s.wake.Wait()
		}
		if len(s.stack) == 0 || s.stop.Load() {
			s.wake.Broadcast()
			s.mu.Unlock()
			return
		}
		path := s.stack[len(s.stack)-1]
		s.stack = s.stack[:len(s.stack)-1]
		s.busy++
		s.mu.Unlock()
		s.follow(path)
		s.mu.Lock()
		s.busy--
		s.wake.Broadcast()
		s.mu.Unlock()
	}
}

// follow replays a path and goes on along first choices, leaving the others for later.
func (s *search) follow(path []uint8) {
	sys := s.fresh()
	for _, c := range path {
		sys.Take(int(c))
	}
	var local struct{ transitions, runs, cut int64 }
	defer func() {
		s.mu.Lock()
		s.report.Transitions += local.transitions
		s.report.Runs += local.runs
		s.report.Cut += local.cut
		s.report.Deepest = max(s.report.Deepest, len(path))
		s.mu.Unlock()
	}()
	for !s.stop.Load() {
		local.transitions++
		if why := sys.Broken(); why != "" {
			s.found(path, why)
			return
		}
		if !s.seen.add(sys.Fingerprint()) {
			return
		}
		if s.limits.States > 0 && int(s.seen.total.Load()) >= s.limits.States || !s.until.IsZero() && time.Now().After(s.until) {
			s.stop.Store(true)
			return
		}
		choices := len(sys.Enabled())
		switch {
		case choices == 0:
			local.runs++
			return
		case len(path) >= s.limits.Depth:
			local.cut++
			return
		}
		if choices > 1 {
			s.mu.Lock()
			for c := choices - 1; c > 0; c-- {
				s.stack = append(s.stack, append(append(make([]uint8, 0, len(path)+1), path...), uint8(c)))
			}
			s.wake.Broadcast()
			s.mu.Unlock()
		}
		path = append(path[:len(path):len(path)], 0)
		sys.Take(0)
	}
}

// found keeps a violation and shrinks it: choices are left out as long as the same property breaks.
func (s *search) found(path []uint8, why string) {
	s.stop.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Broken != "" {
		return
	}
	labels := story(s.fresh, path)
	for again := true; again; {
		again = false
		for i := range labels {
			shorter := append(append([]string(nil), labels[:i]...), labels[i+1:]...)
			if got, ok := Replay(s.fresh, shorter); ok && got == why {
				labels, again = shorter, true
				break
			}
		}
	}
	s.report.Broken, s.report.Story = why, labels
}

// story names the choices of a path.
func story(fresh func() System, path []uint8) (labels []string) {
	sys := fresh()
	for _, c := range path {
		labels = append(labels, sys.Enabled()[c])
		sys.Take(int(c))
	}
	return labels
}

// Replay takes choices by name and gives the property that breaks; ok is false if one of them is not enabled.
func Replay(fresh func() System, labels []string) (broken string, ok bool) {
	sys := fresh()
	for _, l := range labels {
		at := -1
		for i, e := range sys.Enabled() {
			if e == l {
				at = i
				break
			}
		}
		if at < 0 {
			return "", false
		}
		sys.Take(at)
		if why := sys.Broken(); why != "" {
			return why, true
		}
	}
	return "", true
}

// String tells a report as text.
func (r Report) String() string {
	out := fmt.Sprintf("%d states, %d transitions, %d runs ended, %d cut at the depth bound, deepest %d, %.1f s, complete %v",
		r.States, r.Transitions, r.Runs, r.Cut, r.Deepest, r.Took.Seconds(), r.Complete)
	if r.Broken != "" {
		out += "\nbroken: " + r.Broken + "\n  " + strings.Join(r.Story, "\n  ")
	}
	return out
}

// Walk takes choices at random, run after run, until the time is over or a property breaks: for worlds too large to be
// searched completely. The same source of randomness gives the same runs.
func Walk(ctx context.Context, fresh func() System, depth int, length time.Duration, rng *rand.Rand) (r Report) {
	began := time.Now()
	for time.Since(began) < length && ctx.Err() == nil {
		sys, path := fresh(), []uint8(nil)
		for len(path) < depth {
			n := len(sys.Enabled())
			if n == 0 {
				r.Runs++
				break
			}
			c := rng.Intn(n)
			path = append(path, uint8(c))
			sys.Take(c)
			r.Transitions++
			if why := sys.Broken(); why != "" {
				s := &search{fresh: fresh}
				s.found(path, why)
				r.Broken, r.Story, r.Took = s.report.Broken, s.report.Story, time.Since(began)
				return r
			}
		}
		r.Deepest = max(r.Deepest, len(path))
	}
	r.Took = time.Since(began)
	return r
}

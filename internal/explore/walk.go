package explore

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// RandomWalk takes random choices, run after run, until the time is over or a property is violated. It is for systems
// too large for a complete search. Each worker has its own random source; the same seed gives the same runs.
func RandomWalk(ctx context.Context, newSystem func() System, depth, workers int, duration time.Duration,
	seed int64) (r Report) {
	startedAt := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	for workerIndex := range max(workers, 1) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(seed + int64(workerIndex)<<32))
			for ctx.Err() == nil {
				path, violation, ended := randomRun(newSystem(), depth, rng)
				mu.Lock()
				r.Transitions += int64(len(path))
				r.MaxDepth = max(r.MaxDepth, len(path))
				if ended {
					r.EndedRuns++
				}
				if violation != "" && r.Violation == "" {
					stop()
					s := &search{newSystem: newSystem}
					s.recordViolation(path, violation)
					r.Violation, r.Trace = s.report.Violation, s.report.Trace
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	r.Elapsed = time.Since(startedAt)
	return r
}

// randomRun takes one random run. ended reports whether it ended before the depth limit.
func randomRun(sys System, depth int, rng *rand.Rand) (path []uint8, violation string, ended bool) {
	for len(path) < depth {
		choices := sys.Choices()
		if choices == 0 {
			return path, "", true
		}
		choice := rng.Intn(choices)
		path = append(path, uint8(choice))
		sys.Take(choice)
		if violation := sys.Violation(); violation != "" {
			return path, violation, true
		}
	}
	return path, "", false
}

package policy

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// rampSimulation runs many fronts in virtual time against one server that has just started. It counts the
// set-ups that they send together in every overload window, as the server does.
type rampSimulation struct {
	cfg         Settings
	fronts      []*Front
	informedAt  []Time // when each front learns of the start
	rng         *rand.Rand
	serverStart Time
	sentAt      []Time
	lastID      uint64
}

// rampSettings returns settings under which a server may get budget set-ups in a window right after its
// start.
func rampSettings(fronts int, budget float64) Settings {
	cfg := settings()
	cfg.Fronts, cfg.WarmupTime, cfg.OverloadWindow, cfg.ColdCapacity, cfg.OverloadFactor =
		fronts, 10*Second, 3*Second/2, 0.5, 2
	cfg.KindSlots, cfg.WeightKB, cfg.RackKB = []float64{budget / 0.15}, 1e12, 1e12
	return cfg
}

// budget is the number of set-ups that the server may get in a window.
func (r *rampSimulation) budget() float64 {
	return r.cfg.KindSlots[0] / float64(r.cfg.WarmupTime) *
		r.cfg.ColdCapacity * r.cfg.OverloadFactor * float64(r.cfg.OverloadWindow)
}

func newRamp(cfg Settings, seed int64) *rampSimulation {
	r := &rampSimulation{cfg: cfg, rng: rand.New(rand.NewSource(seed)), serverStart: startTime + Second}
	for i := range cfg.Fronts {
		r.fronts = append(r.fronts, nil)
		// Some fronts learn of the start late.
		r.informedAt = append(r.informedAt, r.serverStart+Time(r.rng.Int63n(int64(Second))))
		r.restart(i, startTime)
	}
	return r
}

// restart replaces a front by a new one with a complete list.
func (r *rampSimulation) restart(i int, now Time) {
	r.fronts[i] = New(r.cfg, r.rng.Uint64())
	list := []Entry{entry(2)} // a server without the title
	if now >= r.informedAt[i] {
		list = append(list, r.entry())
	}
	r.handle(i, now, List{Kind: ListFull, Entries: list})
}

func (r *rampSimulation) entry() Entry { e := entry(1); e.Started = r.serverStart; return e }

// handle passes an event to a front. What it sends plays and ends at once, so that only slow start limits
// it.
func (r *rampSimulation) handle(i int, now Time, e Event) {
	f := r.fronts[i]
	for _, a := range f.Handle(now, e) {
		if s, ok := a.(Send); ok {
			// The attempt waits for its connection.
			r.sentAt = append(r.sentAt, now+Time(r.rng.Int63n(int64(Second/4))))
			f.Handle(now, Playing{ID: s.ID, Server: 1})
			f.Handle(now, Outcome{ID: s.ID, Server: 1, Status: OK, Final: true})
		}
	}
}

// run simulates a duration. rate gives the requests a second of a front; each is called at every step.
func (r *rampSimulation) run(d Time, rate func(i int, now Time) float64, each func(now Time)) {
	const step = 20 * Millisecond
	for now := startTime; now < startTime+d; now += step {
		if each != nil {
			each(now)
		}
		for i := range r.fronts {
			if now >= r.informedAt[i] && now < r.informedAt[i]+step {
				r.handle(i, now, List{Kind: ListDelta, Entries: []Entry{r.entry()}})
			}
			if (now-startTime)%tickInterval == 0 {
				r.handle(i, now, TimerFired{tokenTick})
			}
			for n := rate(i, now) * float64(step) / float64(Second); n > 0 &&
				(n >= 1 || r.rng.Float64() < n); n-- {
				r.lastID++
				r.handle(i, now, Request{SessionSpec{ID: r.lastID, Title: 7, Viewer: r.lastID, Copies: 1,
					Deadline: now + 3*Second}})
			}
		}
	}
}

// maxInWindow gives the highest number of set-ups sent in any window.
func (r *rampSimulation) maxInWindow() (maximum int) {
	slices.Sort(r.sentAt)
	j := 0
	for i := range r.sentAt {
		for r.sentAt[i]-r.sentAt[j] > r.cfg.OverloadWindow {
			j++
		}
		maximum = max(maximum, i-j+1)
	}
	return maximum
}

// secondsUntil gives the seconds from the server's start until n set-ups had been sent; infinity: never.
func (r *rampSimulation) secondsUntil(n float64) float64 {
	if k := int(math.Ceil(n)); k <= len(r.sentAt) {
		return float64(r.sentAt[k-1]-r.serverStart) / float64(Second)
	}
	return math.Inf(1)
}

// rampScenarios are scenarios in which a server starts cold. Each gives the rate of requests of the fronts
// and a function to call at every step.
var rampScenarios = map[string]func(r *rampSimulation) (rate func(i int, now Time) float64,
	each func(now Time)){
	"steady": func(r *rampSimulation) (func(int, Time) float64, func(Time)) {
		return func(int, Time) float64 { return r.rateFor(3) }, nil
	},
	"burst after a quiet period": func(r *rampSimulation) (func(int, Time) float64, func(Time)) {
		return func(_ int, now Time) float64 {
			switch {
			case now < startTime+5*Second:
				return 0
			case now < startTime+11*Second/2:
				return r.rateFor(60) + 20
			}
			return r.rateFor(3)
		}, nil
	},
	"ten times the requests for a tenth": func(r *rampSimulation) (func(int, Time) float64, func(Time)) {
		return func(i int, _ Time) float64 {
			if i%10 == 0 {
				return r.rateFor(15)
			}
			return r.rateFor(1.5)
		}, nil
	},
	"a tenth restarts at a time": func(r *rampSimulation) (func(int, Time) float64, func(Time)) {
		return func(int, Time) float64 { return r.rateFor(3) }, func(now Time) {
			if at := now - startTime - 2*Second; at >= 0 && at%(Second/5) == 0 {
				tenth := int(at / (Second / 5) % 10)
				for i := tenth; i < len(r.fronts); i += 10 {
					r.restart(i, now)
				}
			}
		}
	},
	"seven in ten restart after sending": func(r *rampSimulation) (func(int, Time) float64, func(Time)) {
		return func(int, Time) float64 { return r.rateFor(6) + 5 }, func(now Time) {
			if at := now - startTime - 3*Second; at >= 0 && at%Second == 0 && at < 4*Second {
				for i := range r.fronts {
					if i%10 < 7 {
						r.restart(i, now)
					}
				}
			}
		}
	},
}

// rateFor is one front's part of the rate, per second, that sends the budget times over.
func (r *rampSimulation) rateFor(times float64) float64 {
	return times * r.budget() / (float64(r.cfg.OverloadWindow) / float64(Second)) / float64(r.cfg.Fronts)
}

// All fronts together send a cold server at most its budget of N set-ups in every window, plus what chance
// explains: twice the square root of N, and two. A rate limit in each front alone is not enough: saved
// tokens are used at the same time, and a front that restarts has a new token.
func TestSlowStartRampHoldsForAllFronts(t *testing.T) {
	for name, scenario := range rampScenarios {
		for _, fronts := range []int{1, 20, 30, 300} {
			seeds := int64(max(2, min(10, 180/fronts)))
			for _, budget := range []float64{4, 9, 30, 100, 300} {
				worst, sum, halfAfter, allAfter := 0, 0, 0.0, 0.0
				for seed := range seeds {
					r := newRamp(rampSettings(fronts, budget), seed)
					rate, each := scenario(r)
					r.run(9*Second, rate, each)
					worst, sum = max(worst, r.maxInWindow()), sum+len(r.sentAt)
					halfAfter, allAfter = halfAfter+r.secondsUntil(budget/2)/float64(seeds),
						allAfter+r.secondsUntil(budget)/float64(seeds)
				}
				if limit := budget + 2*math.Sqrt(budget) + 2; float64(worst) > limit {
					t.Errorf("%s, %d fronts: %d set-ups in a window, %.0f allowed and %.0f with chance",
						name, fronts, worst, budget, limit)
				}
				t.Logf("%s, %d fronts, N %.0f: at most %d, %.1f N in 8 s, N/2 after %.1f s, N after %.1f s",
					name, fronts, budget, worst, float64(sum)/float64(seeds)/budget, halfAfter, allAfter)
			}
		}
	}
}

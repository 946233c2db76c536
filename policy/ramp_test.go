package policy

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// ramp plays copies of the module in virtual time against one server that has just started, as a fleet of fronts does: what
// all of them send it together is counted in every window of the settings, as the server counts it.
type ramp struct {
	set    Settings
	fronts []*Front
	toldAt []Time // when each front hears of the start
	rng    *rand.Rand
	from   Time // the start
	sent   []Time
	id     uint64
}

// rampSettings have a server that may be sent budget set-ups in a window right after its start.
func rampSettings(fleet int, budget float64) Settings {
	set := settings()
	set.Fleet, set.ColdSpan, set.FallSpan, set.ColdFrom, set.ColdTimes = fleet, 10*Second, 3*Second/2, 0.5, 2
	set.KindSlots, set.WeightKB, set.RackKB = []float64{budget / 0.15}, 1e12, 1e12
	return set
}

func (r *ramp) budget() float64 {
	return r.set.KindSlots[0] / float64(r.set.ColdSpan) * r.set.ColdFrom * r.set.ColdTimes * float64(r.set.FallSpan)
}

func newRamp(set Settings, seed int64) *ramp {
	r := &ramp{set: set, rng: rand.New(rand.NewSource(seed)), from: start + Second}
	for i := range set.Fleet {
		r.fronts = append(r.fronts, nil)
		r.toldAt = append(r.toldAt, r.from+Time(r.rng.Int63n(int64(Second)))) // some hear of it late
		r.restart(i, start)
	}
	return r
}

// restart gives a front a new life, with a complete list.
func (r *ramp) restart(i int, now Time) {
	r.fronts[i] = New(r.set, r.rng.Uint64())
	list := []Entry{entry(2)} // it holds other titles
	if now >= r.toldAt[i] {
		list = append(list, r.entry())
	}
	r.do(i, now, List{Kind: ListFull, Entries: list})
}

func (r *ramp) entry() Entry { e := entry(1); e.Started = r.from; return e }

// do hands a front an event; what it sends plays and ends at once, so that nothing but the pace holds it back.
func (r *ramp) do(i int, now Time, e Event) {
	f := r.fronts[i]
	for _, a := range f.Handle(now, e) {
		if s, ok := a.(Send); ok {
			r.sent = append(r.sent, now+Time(r.rng.Int63n(int64(Second/4)))) // it waits for its connection
			f.Handle(now, Playing{ID: s.ID, Server: 1})
			f.Handle(now, Outcome{ID: s.ID, Server: 1, Status: OK, Final: true})
		}
	}
}

// play runs for a span; rate gives how many requests a second a front gets, each at that moment.
func (r *ramp) play(d Time, rate func(i int, now Time) float64, each func(now Time)) {
	const step = 20 * Millisecond
	for now := start; now < start+d; now += step {
		if each != nil {
			each(now)
		}
		for i := range r.fronts {
			if now >= r.toldAt[i] && now < r.toldAt[i]+step {
				r.do(i, now, List{Kind: ListDelta, Entries: []Entry{r.entry()}})
			}
			if (now-start)%tick == 0 {
				r.do(i, now, Alarm{tokenTick})
			}
			for n := rate(i, now) * float64(step) / float64(Second); n > 0 && (n >= 1 || r.rng.Float64() < n); n-- {
				r.id++
				r.do(i, now, Request{Ask{ID: r.id, Title: 7, Viewer: r.id, Copies: 1, Deadline: now + 3*Second}})
			}
		}
	}
}

// most gives the most that was sent in any window.
func (r *ramp) most() (most int) {
	slices.Sort(r.sent)
	j := 0
	for i := range r.sent {
		for r.sent[i]-r.sent[j] > r.set.FallSpan {
			j++
		}
		most = max(most, i-j+1)
	}
	return most
}

// by gives when so many had been sent, in seconds after the start; infinity: never.
func (r *ramp) by(n float64) float64 {
	if k := int(math.Ceil(n)); k <= len(r.sent) {
		return float64(r.sent[k-1]-r.from) / float64(Second)
	}
	return math.Inf(1)
}

// ramps are days on which a server starts cold; each gives the requests that fronts get, and what else happens.
var ramps = map[string]func(r *ramp) (rate func(i int, now Time) float64, each func(now Time)){
	"steady": func(r *ramp) (func(int, Time) float64, func(Time)) {
		return func(int, Time) float64 { return r.share(3) }, nil
	},
	"all at once after a quiet time": func(r *ramp) (func(int, Time) float64, func(Time)) {
		return func(_ int, now Time) float64 {
			switch {
			case now < start+5*Second:
				return 0
			case now < start+11*Second/2:
				return r.share(60) + 20
			}
			return r.share(3)
		}, nil
	},
	"a tenth sees ten times as much": func(r *ramp) (func(int, Time) float64, func(Time)) {
		return func(i int, _ Time) float64 {
			if i%10 == 0 {
				return r.share(15)
			}
			return r.share(1.5)
		}, nil
	},
	"restarted a tenth at a time": func(r *ramp) (func(int, Time) float64, func(Time)) {
		return func(int, Time) float64 { return r.share(3) }, func(now Time) {
			if at := now - start - 2*Second; at >= 0 && at%(Second/5) == 0 {
				tenth := int(at / (Second / 5) % 10)
				for i := tenth; i < len(r.fronts); i += 10 {
					r.restart(i, now)
				}
			}
		}
	},
	"seven in ten killed as all have sent": func(r *ramp) (func(int, Time) float64, func(Time)) {
		return func(int, Time) float64 { return r.share(6) + 5 }, func(now Time) {
			if at := now - start - 3*Second; at >= 0 && at%Second == 0 && at < 4*Second {
				for i := range r.fronts {
					if i%10 < 7 {
						r.restart(i, now)
					}
				}
			}
		}
	},
}

// share is a front's part of so many times the budget, a second.
func (r *ramp) share(times float64) float64 {
	return times * r.budget() / (float64(r.set.FallSpan) / float64(Second)) / float64(r.set.Fleet)
}

// What fronts together send a cold server stays within its budget of N in every window, but for what passes as chance: twice
// the root of N, and two. A pace that each front keeps alone is not enough: tokens saved up meet, and a front that restarts
// has a new one.
func TestTheRampHoldsForTheFleet(t *testing.T) {
	for name, day := range ramps {
		for _, fleet := range []int{1, 20, 30, 300} {
			seeds := int64(max(2, min(10, 180/fleet)))
			for _, budget := range []float64{4, 9, 30, 100, 300} {
				worst, sum, half, all := 0, 0, 0.0, 0.0
				for seed := range seeds {
					r := newRamp(rampSettings(fleet, budget), seed)
					rate, each := day(r)
					r.play(9*Second, rate, each)
					worst, sum = max(worst, r.most()), sum+len(r.sent)
					half, all = half+r.by(budget/2)/float64(seeds), all+r.by(budget)/float64(seeds)
				}
				if most := budget + 2*math.Sqrt(budget) + 2; float64(worst) > most {
					t.Errorf("%s, %d fronts: %d set-ups in a window, %.0f allowed and %.0f by chance", name, fleet, worst, budget, most)
				}
				t.Logf("%s, %d fronts, N %.0f: at most %d, %.1f N in 8 s, half of N after %.1f s, N after %.1f s", name, fleet, budget, worst,
					float64(sum)/float64(seeds)/budget, half, all)
			}
		}
	}
}

package fleetsim

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
)

// The fleet at the size that its operators run: not part of the check, but a measurement:
//
//	go test ./internal/fleet/fleetsim -run XXX -bench Scale -benchtime 1x -v    (6 minutes; Scale/work-0 alone: 2)

// big makes a fleet with 200 servers in 40 racks and 10 zones, sessions spread over the fronts.
func big(b *testing.B, fronts int, loss float64) *Fleet {
	f := New(Config{Fronts: fronts, Voters: 3, Seed: 9, Loss: loss, Lossy: 0.1, Suspect: 5 * Second,
		Times:  upkeep.Timeouts{AckTimeout: 10 * Second, DrainTimeout: 60 * Second, ReturnTimeout: 60 * Second, WarmUpTime: 12 * Second},
		Limits: upkeep.Limits{Rack: 1, Zone: 3, Whole: 20, Fronts: 5, Holders: 1, Margin: 0.2, Paid: 1000, Patience: 60 * Second}})
	var servers []core.Server
	for i := range 200 {
		servers = append(servers, core.Server{ID: uint32(i + 1), Rack: i / 5, Zone: i / 20, KB: 100_000, Ready: true})
	}
	f.Servers(servers, nil)
	for _, x := range f.Fronts {
		for range 10 {
			x.Mine[uint32(f.rng.Intn(200)+1)] = core.Standing{Sessions: 2, KB: 2000, Paid: 1}
		}
	}
	if !f.Until(60*Second, func() bool { return f.Leader() != nil }) {
		b.Fatal("no leader")
	}
	f.Run(20 * Second)
	return f
}

// traffic gives the bytes a second that fronts send, over a span: the mean, and the most of any.
func traffic(f *Fleet, d Time) (mean, most float64, of string) {
	was := map[*Front]uint64{}
	for _, x := range f.Fronts {
		was[x] = x.Sent
	}
	f.Run(d)
	for _, x := range f.Fronts {
		rate := float64(x.Sent-was[x]) / (float64(d) / float64(Second))
		mean += rate / float64(len(f.Fronts))
		if rate > most {
			most, of = rate, x.Name
		}
	}
	return mean, most, of
}

// knows gives how long after a grant was agreed on fronts knew of it.
func knows(f *Fleet, id uint64) (p50, p99 Time, n int) {
	first := Time(1 << 62)
	var list []Time
	for _, at := range f.Heard[id] {
		first = min(first, at)
	}
	for _, at := range f.Heard[id] {
		list = append(list, at-first)
	}
	slices.Sort(list)
	if len(list) == 0 {
		return 0, 0, 0
	}
	return list[len(list)/2], list[len(list)*99/100], len(list)
}

// through has all 200 servers worked on and gives how long that took; sessions move off what is kept.
func through(b *testing.B, f *Fleet, trouble func()) Time {
	b.Helper()
	began := f.Now
	for i := range 200 {
		e := ledger.Entry{Kind: ledger.KindAsk, Key: fmt.Sprint("w", i), Ask: &ledger.Ask{Names: []string{fmt.Sprint("server:", i+1)}, For: 30 * Second,
			Servers: []ledger.Place{{Server: uint32(i + 1), Rack: i / 5, Zone: i / 20}}}}
		f.Ask(f.Fronts[f.rng.Intn(3)], e)
		f.Run(20 * Millisecond)
	}
	for _, x := range f.Fronts { // sessions leave what is kept at once: the time of the order itself is measured
		x.Mine = map[uint32]core.Standing{}
	}
	reported := map[uint64]bool{}
	for f.Now-began < 3600*Second {
		lead := f.Leader()
		if lead == nil {
			f.Run(Second / 2)
			continue
		}
		open := 0
		for _, w := range lead.Core.State().Works {
			if !w.Phase.Ended() {
				open++
			}
			if w.Phase == ledger.Out && f.Now-w.Out >= 30*Second && !reported[w.ID] {
				reported[w.ID] = true
				f.Ask(lead, ledger.Entry{Kind: ledger.KindDone, Key: fmt.Sprint("d", w.ID), ID: w.ID})
			}
		}
		if open == 0 {
			break
		}
		if trouble != nil && f.Now-began > 60*Second {
			trouble()
			trouble = nil
		}
		f.Run(Second / 2)
	}
	return f.Now - began
}

func BenchmarkScale(b *testing.B) {
	b.Run("traffic", func(b *testing.B) {
		for _, fronts := range []int{300, 1024} {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := big(b, fronts, 0)
			runtime.GC()
			runtime.ReadMemStats(&after)
			mean, most, of := traffic(f, 60*Second)
			b.Logf("%d fronts: %.1f kB held a front (simulator included); idle %.2f kB/s a front sent, most %.1f (%s)", fronts,
				float64(after.HeapAlloc-before.HeapAlloc)/1000/float64(fronts), mean/1000, most/1000, of)
			if fronts > 300 {
				continue
			}
			for _, x := range f.Fronts[3:] { // a release: a tenth at a time
				f.Kill(x)
			}
			for i, x := range f.Fronts[3:] {
				f.At(Time(i)*100*Millisecond, func() { f.Start(x) })
			}
			mean, most, of = traffic(f, 30*Second)
			b.Logf("all but the voters restarted within 30 s: %.2f kB/s a front, most %.1f (%s)", mean/1000, most/1000, of)
		}
	})
	for _, loss := range []float64{0, 0.3} {
		b.Run(fmt.Sprintf("work-%.0f%%-lost", 100*loss), func(b *testing.B) {
			f := big(b, 300, loss)
			took := through(b, f, nil)
			var p50s, p99s []Time
			for id := range f.Heard {
				p50, p99, _ := knows(f, id)
				p50s, p99s = append(p50s, p50), append(p99s, p99)
			}
			slices.Sort(p50s)
			slices.Sort(p99s)
			// At best 20 are out at all times, each for its 30 s and its 12 s at a cold server's pace.
			best := 200 / 20 * (30 + 12) * Second
			b.Logf("loss %.0f %% on a tenth of the links: 200 machines in %d s, no schedule takes under %d s; a grant known p50 %d ms, p99 %d ms (medians over %d grants)", 100*loss,
				took/Second, best/Second, p50s[len(p50s)/2]/Millisecond, p99s[len(p99s)/2]/Millisecond, len(p50s))
		})
	}
	b.Run("dying", func(b *testing.B) {
		f := big(b, 300, 0.3)
		took := through(b, f, func() { // 46 % of the fronts, one voter among them
			for _, x := range f.Fronts[2:140] {
				f.Kill(x)
			}
		})
		b.Logf("46 %% of the fronts die at once, a voter among them: 200 machines in %d s", took/Second)
	})
}

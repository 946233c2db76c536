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

// Measurements of a fleet as large as operators run. They are run by hand and are not among the tests:
//
//	go test ./internal/fleet/fleetsim -run XXX -bench Scale -benchtime 1x -v    (6 minutes; Scale/work-0 alone: 2)

// newLargeFleet makes a fleet with 200 servers in 40 racks and 10 zones and sessions on all fronts.
func newLargeFleet(b *testing.B, fronts int, loss float64) *Fleet {
	f := New(Config{Fronts: fronts, Voters: 3, Seed: 9, LossRate: loss, LossyShare: 0.1, SuspectTimeout: 5 * Second,
		Timeouts: upkeep.Timeouts{AckTimeout: 10 * Second, DrainTimeout: 60 * Second,
			ReturnTimeout: 60 * Second, WarmUpTime: 12 * Second},
		Limits: upkeep.Limits{Rack: 1, Zone: 3, Whole: 20, Fronts: 5, Holders: 1, Margin: 0.2, Paid: 1000,
			Patience: 60 * Second}})
	var servers []core.Server
	for i := range 200 {
		servers = append(servers, core.Server{ID: uint32(i + 1), Rack: i / 5, Zone: i / 20, LinkKB: 100_000,
			Ready: true})
	}
	f.Servers(servers, nil)
	for _, x := range f.Fronts {
		for range 10 {
			x.Sessions[uint32(f.rng.Intn(200)+1)] = core.ServerLoad{Sessions: 2, KB: 2000, Paid: 1}
		}
	}
	if !f.RunUntil(60*Second, func() bool { return f.Leader() != nil }) {
		b.Fatal("no leader")
	}
	f.Run(20 * Second)
	return f
}

// sendRate returns the bytes per second that fronts send over a time d: the mean, and the highest with the front's
// name.
func sendRate(f *Fleet, d Time) (mean, highest float64, name string) {
	before := map[*Front]uint64{}
	for _, x := range f.Fronts {
		before[x] = x.Sent
	}
	f.Run(d)
	for _, x := range f.Fronts {
		rate := float64(x.Sent-before[x]) / (float64(d) / float64(Second))
		mean += rate / float64(len(f.Fronts))
		if rate > highest {
			highest, name = rate, x.Name
		}
	}
	return mean, highest, name
}

// grantDelays returns how long after the first front the others learned of a grant.
func grantDelays(f *Fleet, id uint64) (p50, p99 Time, n int) {
	first := Time(1 << 62)
	var list []Time
	for _, at := range f.GrantLearnedAt[id] {
		first = min(first, at)
	}
	for _, at := range f.GrantLearnedAt[id] {
		list = append(list, at-first)
	}
	slices.Sort(list)
	if len(list) == 0 {
		return 0, 0, 0
	}
	return list[len(list)/2], list[len(list)*99/100], len(list)
}

// runAllWorks has work done on all 200 servers and returns how long that took.
func runAllWorks(b *testing.B, f *Fleet, fault func()) Time {
	b.Helper()
	startedAt := f.Now
	for i := range 200 {
		e := ledger.Entry{Kind: ledger.KindRequest, Key: fmt.Sprint("w", i),
			Request: &ledger.Request{Names: []string{fmt.Sprint("server:", i+1)}, WorkDuration: 30 * Second,
				Servers: []ledger.Place{{Server: uint32(i + 1), Rack: i / 5, Zone: i / 20}}}}
		f.Command(f.Fronts[f.rng.Intn(3)], e)
		f.Run(20 * Millisecond)
	}
	for _, x := range f.Fronts { // no sessions remain, so that only the time of the upkeep itself is measured
		x.Sessions = map[uint32]core.ServerLoad{}
	}
	reported := map[uint64]bool{}
	for f.Now-startedAt < 3600*Second {
		leader := f.Leader()
		if leader == nil {
			f.Run(Second / 2)
			continue
		}
		open := 0
		for _, w := range leader.Core.State().Works {
			if !w.Phase.Ended() {
				open++
			}
			if w.Phase == ledger.Out && f.Now-w.OutAt >= 30*Second && !reported[w.ID] {
				reported[w.ID] = true
				f.Command(leader, ledger.Entry{Kind: ledger.KindDone, Key: fmt.Sprint("d", w.ID), ID: w.ID})
			}
		}
		if open == 0 {
			break
		}
		if fault != nil && f.Now-startedAt > 60*Second {
			fault()
			fault = nil
		}
		f.Run(Second / 2)
	}
	return f.Now - startedAt
}

// BenchmarkScale measures traffic and memory of a large fleet, and the time that work on all servers takes: without
// faults, with lossy paths, and with many fronts failing.
func BenchmarkScale(b *testing.B) {
	b.Run("traffic", func(b *testing.B) {
		for _, fronts := range []int{300, 1024} {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newLargeFleet(b, fronts, 0)
			runtime.GC()
			runtime.ReadMemStats(&after)
			mean, highest, name := sendRate(f, 60*Second)
			b.Logf("%d fronts: %.1f kB held per front (simulator included); idle %.2f kB/s sent per front, highest %.1f (%s)",
				fronts,
				float64(after.HeapAlloc-before.HeapAlloc)/1000/float64(fronts), mean/1000, highest/1000, name)
			if fronts > 300 {
				continue
			}
			for _, x := range f.Fronts[3:] { // a new release, one front every 100 ms
				f.Kill(x)
			}
			for i, x := range f.Fronts[3:] {
				f.Schedule(Time(i)*100*Millisecond, func() { f.Start(x) })
			}
			mean, highest, name = sendRate(f, 30*Second)
			b.Logf("all but the voters restarted within 30 s: %.2f kB/s per front, highest %.1f (%s)",
				mean/1000, highest/1000, name)
		}
	})
	for _, loss := range []float64{0, 0.3} {
		b.Run(fmt.Sprintf("work-%.0f%%-lost", 100*loss), func(b *testing.B) {
			f := newLargeFleet(b, 300, loss)
			took := runAllWorks(b, f, nil)
			var p50s, p99s []Time
			for id := range f.GrantLearnedAt {
				p50, p99, _ := grantDelays(f, id)
				p50s, p99s = append(p50s, p50), append(p99s, p99)
			}
			slices.Sort(p50s)
			slices.Sort(p99s)
			// At best 20 are out at all times, each for 30 s of work and 12 s of warm-up.
			best := 200 / 20 * (30 + 12) * Second
			b.Logf("loss %.0f %% on a tenth of the paths: 200 machines in %d s, any schedule takes at least %d s; delay of a grant p50 %d ms, p99 %d ms (medians over %d grants)",
				100*loss,
				took/Second, best/Second, p50s[len(p50s)/2]/Millisecond, p99s[len(p99s)/2]/Millisecond, len(p50s))
		})
	}
	b.Run("dying", func(b *testing.B) {
		f := newLargeFleet(b, 300, 0.3)
		took := runAllWorks(b, f, func() { // 46 % of the fronts, one voter among them
			for _, x := range f.Fronts[2:140] {
				f.Kill(x)
			}
		})
		b.Logf("46 %% of the fronts fail at once, a voter among them: 200 machines in %d s", took/Second)
	})
}

package rig

import (
	"context"
	"os"
	"testing"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/load"
)

// BenchmarkSetup measures what a fleet costs a set-up: the same load at fronts with and without a fleet, in turns, in
// one run. Run it by hand; it is not one of the tests:
//
//	go test ./internal/rig -run XXX -bench Setup -benchtime 1x -v
func BenchmarkSetup(b *testing.B) {
	ctx := context.Background()
	for range b.N {
		s, err := day.Parse("rig", DayScript)
		if err != nil {
			b.Fatal(err)
		}
		o := func() day.Options {
			return day.Options{Command: []string{os.Args[0], "-test.run=^$"}, Dir: b.TempDir(), Out: os.Stderr,
				Env: []string{"AS_FRONT=1"}, NoRecord: true}
		}
		off, err := day.Open(ctx, s, o())
		if err != nil {
			b.Fatal(err)
		}
		on, err := Open(ctx, s, o(), 3)
		if err != nil {
			b.Fatal(err)
		}
		if !on.WaitUntilHealthy(ctx, time.Minute) {
			b.Fatal("no healthy fleet within a minute")
		}
		var p50, p99 [2][]float64
		for range 6 {
			for i, front := range []func(int) (string, string){off.Front, on.Front} {
				r, err := load.Run(ctx, load.Plan{Front: front, Clients: 40, Rate: 300, Duration: 6 * time.Second,
					Shape: load.Poisson, Titles: on.TitleNames(),
					HoldTime: [2]time.Duration{100 * time.Millisecond, 500 * time.Millisecond},
					Classes:  []string{"safe"}, Seed: 1}, nil)
				if err != nil {
					b.Fatal(err)
				}
				p50[i], p99[i] = append(p50[i], r.Latency.P50), append(p99[i], r.Latency.P99)
			}
		}
		b.Logf("p50 ms without a fleet %.2f, with %.2f; p99 ms without %.2f, with %.2f (each turn of 6 s at 300 per second)",
			p50[0], p50[1], p99[0], p99[1])
		on.Close()
		off.Close()
	}
}

package node

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// BenchmarkMembership measures the membership traffic of each front, in bytes per second, on loopback in one process,
// for a fleet as large as operators run: idle, and while a tenth of the fronts at a time restarts. Run it by hand; it
// is not one of the tests:
//
//	go test ./internal/fleet/node -run XXX -bench Membership -benchtime 1x -v
func BenchmarkMembership(b *testing.B) {
	const fronts = 300
	key := bytes.Repeat([]byte{7}, 32)
	for range b.N {
		var all []*members
		start := func(i int, addr, seed string) *members {
			m, err := newMembers(Config{Name: fmt.Sprintf("f%03d", i), Cluster: "bench", Listen: addr,
				Join: []string{"f000=" + seed}, Keys: [][]byte{key}}, zerolog.Nop(),
				func(string, []byte) {}, func() {})
			if err != nil {
				b.Fatal(err)
			}
			return m
		}
		var addrs []string
		for range fronts {
			addrs = append(addrs, freeAddress(b))
		}
		for i := range fronts {
			all = append(all, start(i, addrs[i], addrs[0]))
		}
		for startedAt := time.Now(); len(all[fronts-1].all()) < fronts-1 ||
			len(all[0].all()) < fronts-1; time.Sleep(100 * time.Millisecond) {
			if time.Since(startedAt) > time.Minute {
				b.Fatal("not all members were present within a minute")
			}
		}
		rate := func(d time.Duration, during func()) (kb float64) {
			before := uint64(0)
			for _, m := range all {
				before += m.bytes.Load()
			}
			startedAt := time.Now()
			during()
			time.Sleep(d - time.Since(startedAt))
			after := uint64(0)
			for _, m := range all {
				after += m.bytes.Load()
			}
			return float64(after-before) / time.Since(startedAt).Seconds() / fronts / 1000
		}
		time.Sleep(10 * time.Second)
		b.Logf("%d fronts, idle: %.2f kB/s per front", fronts, rate(30*time.Second, func() {}))
		b.Logf("a tenth restarted every 3 s: %.2f kB/s per front", rate(30*time.Second, func() {
			for batch := range 9 {
				for i := 30 * (batch + 1); i < 30*(batch+2); i++ {
					previousBytes := all[i].bytes.Load()
					all[i].close()
					all[i] = start(i, addrs[i], addrs[0])
					all[i].bytes.Add(previousBytes)
				}
				time.Sleep(2 * time.Second)
			}
		}))
		for _, m := range all {
			m.close()
		}
	}
}

package node

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Membership at the size that operators run, on loopback in one process: what it costs a front in bytes a second, idle and
// while a tenth of the fronts at a time is restarted. A measurement, not part of the check:
//
//	go test ./internal/fleet/node -run XXX -bench Membership -benchtime 1x -v
func BenchmarkMembership(b *testing.B) {
	const fronts = 300
	key := bytes.Repeat([]byte{7}, 32)
	for range b.N {
		var all []*members
		start := func(i int, addr, seed string) *members {
			m, err := newMembers(Config{Name: fmt.Sprintf("f%03d", i), Cluster: "bench", Listen: addr, Join: []string{"f000=" + seed}, Keys: [][]byte{key}}, zerolog.Nop(),
				func(string, []byte) {}, func() {})
			if err != nil {
				b.Fatal(err)
			}
			return m
		}
		var addrs []string
		for range fronts {
			addrs = append(addrs, free(b))
		}
		for i := range fronts {
			all = append(all, start(i, addrs[i], addrs[0]))
		}
		for began := time.Now(); len(all[fronts-1].all()) < fronts-1 || len(all[0].all()) < fronts-1; time.Sleep(100 * time.Millisecond) {
			if time.Since(began) > time.Minute {
				b.Fatal("not all here within a minute")
			}
		}
		rate := func(d time.Duration, during func()) (kb float64) {
			was := uint64(0)
			for _, m := range all {
				was += m.bytes.Load()
			}
			began := time.Now()
			during()
			time.Sleep(d - time.Since(began))
			now := uint64(0)
			for _, m := range all {
				now += m.bytes.Load()
			}
			return float64(now-was) / time.Since(began).Seconds() / fronts / 1000
		}
		time.Sleep(10 * time.Second)
		b.Logf("%d fronts, idle: %.2f kB/s a front", fronts, rate(30*time.Second, func() {}))
		b.Logf("a tenth restarted every 3 s: %.2f kB/s a front", rate(30*time.Second, func() {
			for part := range 9 {
				for i := 30 * (part + 1); i < 30*(part+2); i++ {
					carried := all[i].bytes.Load()
					all[i].close()
					all[i] = start(i, addrs[i], addrs[0])
					all[i].bytes.Add(carried)
				}
				time.Sleep(2 * time.Second)
			}
		}))
		for _, m := range all {
			m.close()
		}
	}
}

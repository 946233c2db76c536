package store

import (
	"encoding/json"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/bbolt"
)

// BenchmarkEngines has 64 writers wait until a session's record is durable on a real disk, with this store and with
// bbolt and its own batches. The duration of a write is how long a paid set-up waits.
func BenchmarkEngines(b *testing.B) {
	const writers, each = 64, 40
	report := func(b *testing.B, write func(id uint64, done func())) {
		var mu sync.Mutex
		var durations []time.Duration
		var wg sync.WaitGroup
		for w := range writers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range each {
					startedAt, done := time.Now(), make(chan struct{})
					write(uint64(w*each+i), func() { close(done) })
					<-done
					mu.Lock()
					durations = append(durations, time.Since(startedAt))
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		slices.Sort(durations)
		for name, at := range map[string]int{"p50-us": len(durations) / 2, "p99-us": len(durations) * 99 / 100,
			"max-us": len(durations) - 1} {
			b.ReportMetric(float64(durations[at].Microseconds()), name)
		}
		b.ReportMetric(0, "ns/op")
	}
	b.Run("pebble", func(b *testing.B) {
		s, _, err := Open(filepath.Join(b.TempDir(), "d"), vfs.Default)
		if err != nil {
			b.Fatal(err)
		}
		report(b, func(id uint64, done func()) { s.PutSession(session(id, 0), func(time.Duration, error) { done() }) })
		s.Close()
		b.ReportMetric(float64(s.Syncs), "commits")
	})
	b.Run("bbolt", func(b *testing.B) {
		db, err := bbolt.Open(filepath.Join(b.TempDir(), "d"), 0o600, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		db.MaxBatchDelay = time.Millisecond
		report(b, func(id uint64, done func()) {
			body, _ := json.Marshal(session(id, 0))
			err := db.Batch(func(tx *bbolt.Tx) error {
				k, err := tx.CreateBucketIfNotExists([]byte("s"))
				if err != nil {
					return err
				}
				return k.Put(recordKey(keySession, id), addChecksum(body))
			})
			if err != nil {
				b.Error(err)
			}
			done()
		})
	})
}

// BenchmarkRestart opens a store with 50,000 sessions.
func BenchmarkRestart(b *testing.B) {
	dir := filepath.Join(b.TempDir(), "d")
	s, _, err := Open(dir, vfs.Default)
	if err != nil {
		b.Fatal(err)
	}
	for i := range 50_000 {
		s.PutSession(session(uint64(i+1), 3), nil)
	}
	s.Close()
	b.ResetTimer()
	for range b.N {
		s, st, err := Open(dir, vfs.Default)
		if err != nil || len(st.Sessions) != 50_000 {
			b.Fatal(err, len(st.Sessions))
		}
		b.StopTimer()
		s.Close()
		b.StartTimer()
	}
}

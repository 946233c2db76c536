package serve

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gobwas/ws/wsutil"

	"tealledge/internal/catalogue"
	"tealledge/internal/standin/playersim"
)

// BenchmarkBackground opens sessions from 20 clients, without background work and with a full catalogue of 200,000
// titles that is read four times a second and saved, and reports the latency of the answers.
func BenchmarkBackground(b *testing.B) {
	for _, heavy := range []bool{false, true} {
		b.Run(fmt.Sprintf("heavy=%v", heavy), func(b *testing.B) {
			dir := catalogue.Dir{Path: b.TempDir()}
			fullCatalogue := func(number uint64) string {
				v, err := catalogue.Build(number, func(yield func(*catalogue.Title) bool) {
					yield(&catalogue.Title{Name: "a", Holders: []catalogue.Holding{{Server: 1, Rungs: 7},
						{Server: 2, Rungs: 7}}})
					for i := range 200_000 {
						if !yield(&catalogue.Title{Name: fmt.Sprint("t", i),
							Holders: []catalogue.Holding{{Server: 1, Rungs: 7}}}) {
							return
						}
					}
				})
				if err != nil {
					b.Fatal(err)
				}
				var out strings.Builder
				v.Write(&out)
				return out.String()
			}
			versions := []string{fullCatalogue(1)}
			for number := uint64(2); heavy && number < 14; number++ {
				versions = append(versions, fullCatalogue(number))
			}
			if err := dir.Deliver("full.cat", func(w io.Writer) error {
				_, err := io.WriteString(w, versions[0])
				return err
			}); err != nil {
				b.Fatal(err)
			}
			site := newSite(b, fmt.Sprintf("(catalogue %q)", dir.Path))
			defer site.leave()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if heavy {
				go func() {
					for _, text := range versions[1:] {
						name := filepath.Join(dir.Path, ".next")
						os.WriteFile(name, []byte(text), 0o644)
						os.Rename(name, filepath.Join(dir.Path, "full.cat"))
						time.Sleep(250 * time.Millisecond)
					}
				}()
			}
			var mu sync.Mutex
			var latencies []time.Duration
			var wg sync.WaitGroup
			for i := range 20 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					nc, err := playersim.Dial(ctx, site.s.Addr())
					if err != nil {
						return
					}
					defer nc.Close()
					for number := 0; ctx.Err() == nil; number++ {
						startedAt := time.Now()
						wsutil.WriteClientText(nc, fmt.Appendf(nil,
							`{"jsonrpc":"2.0","method":"session.open","params":{"title":"a","class":"safe","viewer":"v%d"},"id":"%d"}`,
							i, number))
						for {
							text, err := wsutil.ReadServerText(nc)
							if err != nil {
								return
							}
							if strings.Contains(string(text), fmt.Sprintf(`"id":"%d"`, number)) {
								break
							}
						}
						mu.Lock()
						latencies = append(latencies, time.Since(startedAt))
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
					}
				}()
			}
			wg.Wait()
			slices.Sort(latencies)
			for name, at := range map[string]int{"p50-us": len(latencies) / 2, "p99-us": len(latencies) * 99 / 100,
				"max-us": len(latencies) - 1} {
				b.ReportMetric(float64(latencies[at].Microseconds()), name)
			}
			b.ReportMetric(float64(len(latencies)), "opens")
			b.ReportMetric(float64(site.s.cfg.Catalogue.Current().Number), "version")
			b.ReportMetric(0, "ns/op")
		})
	}
}

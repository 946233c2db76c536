package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HLSPlan holds sessions by HLS and reloads each at a steady pace.
type HLSPlan struct {
	Addr     string // of the front's manifests
	Titles   []string
	Class    string
	Sessions int
	Rate     float64       // sessions opened a second, until all are held
	Every    time.Duration // each session's reloads
	Length   time.Duration // of reloading with all held
	Workers  int
}

// HLSResult is what came of it.
type HLSResult struct {
	Held, Refused   int
	Reloads, Errors int
	PerSecond       float64
	Latency         Quantiles // of reloads, from when each was due
}

// HLS runs a plan. held is called when all sessions are held, before reloads are counted.
func HLS(ctx context.Context, p HLSPlan, held func()) (*HLSResult, error) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: p.Workers, MaxConnsPerHost: p.Workers}}
	defer client.CloseIdleConnections()
	get := func(path string) (int, string, error) {
		resp, err := client.Get("http://" + p.Addr + path)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), err
	}
	type due struct {
		n  int
		at time.Time
	}
	var mu sync.Mutex
	r := &HLSResult{}
	hist := hdrhistogram.New(1, 60_000_000, 3)
	variants := make([]string, p.Sessions)
	counting := false
	work := make(chan due, 4096)
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for d := range work {
				mu.Lock()
				path := variants[d.n]
				mu.Unlock()
				if path == "" {
					code, text, err := get(fmt.Sprintf("/hls/%s/master.m3u8?class=%s&viewer=h%d", p.Titles[d.n%len(p.Titles)], p.Class, d.n))
					mu.Lock()
					if err == nil && code == 200 {
						for _, l := range strings.Split(text, "\n") {
							if l != "" && l[0] != '#' {
								variants[d.n] = l
							}
						}
						r.Held++
					} else {
						r.Refused++
					}
					mu.Unlock()
					continue
				}
				code, _, err := get(path)
				took := time.Since(d.at).Microseconds()
				mu.Lock()
				if counting {
					r.Reloads++
					if err != nil || code != 200 {
						r.Errors++
					}
					hist.RecordValue(min(max(took, 1), 60_000_000))
				}
				mu.Unlock()
			}
		}()
	}
	// Session n is opened at n/Rate and asks again every Every from there, so that reloads are spread evenly.
	began := time.Now()
	opening := time.Duration(float64(p.Sessions) / p.Rate * float64(time.Second))
	until := opening + p.Every + p.Length
	var counted time.Time
	for tick := 0; ; tick++ {
		now := time.Since(began)
		if now > until || ctx.Err() != nil {
			break
		}
		if counted.IsZero() && now > opening+p.Every {
			counted = time.Now()
			if held != nil {
				held()
			}
			mu.Lock()
			counting = true
			mu.Unlock()
		}
		// A tick is 10 ms; the sessions whose phase lies in it are due.
		const step = 10 * time.Millisecond
		at := time.Duration(tick) * step
		rounds := int(p.Every / step)
		for n := tick % rounds; n < p.Sessions; n += rounds {
			// n's phase is its place among the ticks of a round.
			if started := time.Duration(float64(n) / p.Rate * float64(time.Second)); at >= started {
				work <- due{n, began.Add(at)}
			}
		}
		time.Sleep(time.Until(began.Add(at + step)))
	}
	close(work)
	wg.Wait()
	if !counted.IsZero() {
		r.PerSecond = float64(r.Reloads) / time.Since(counted).Seconds()
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.Latency = Quantiles{ms(hist.ValueAtQuantile(50)), ms(hist.ValueAtQuantile(90)), ms(hist.ValueAtQuantile(99)), ms(hist.ValueAtQuantile(99.9)), ms(hist.Max())}
	return r, nil
}

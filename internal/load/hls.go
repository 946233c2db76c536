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

// HLSPlan is a load of HLS sessions whose playlists are reloaded at a steady rate.
type HLSPlan struct {
	Addr           string // of the front's playlists
	Titles         []string
	Class          string
	Sessions       int
	Rate           float64       // sessions opened per second, until all are held
	ReloadInterval time.Duration // interval between the reloads of a session
	Duration       time.Duration // time of reloading while all sessions are held
	Workers        int
}

// HLSResult is the result of an HLSPlan.
type HLSResult struct {
	Held, Refused   int
	Reloads, Errors int
	PerSecond       float64
	Latency         Quantiles // of reloads, measured from the time each was due
}

// HLS runs a plan. onHeld is called when all sessions are held, before reloads are counted.
func HLS(ctx context.Context, plan HLSPlan, onHeld func()) (*HLSResult, error) {
	client := &http.Client{Timeout: 10 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: plan.Workers, MaxConnsPerHost: plan.Workers}}
	defer client.CloseIdleConnections()
	get := func(path string) (int, string, error) {
		resp, err := client.Get("http://" + plan.Addr + path)
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
	result := &HLSResult{}
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	variants := make([]string, plan.Sessions)
	counting := false
	work := make(chan due, 4096)
	var wg sync.WaitGroup
	for range plan.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for d := range work {
				mu.Lock()
				path := variants[d.n]
				mu.Unlock()
				if path == "" {
					code, text, err := get(fmt.Sprintf("/hls/%s/master.m3u8?class=%s&viewer=h%d",
						plan.Titles[d.n%len(plan.Titles)], plan.Class, d.n))
					mu.Lock()
					if err == nil && code == 200 {
						for _, line := range strings.Split(text, "\n") {
							if line != "" && line[0] != '#' {
								variants[d.n] = line
							}
						}
						result.Held++
					} else {
						result.Refused++
					}
					mu.Unlock()
					continue
				}
				code, _, err := get(path)
				elapsed := time.Since(d.at).Microseconds()
				mu.Lock()
				if counting {
					result.Reloads++
					if err != nil || code != 200 {
						result.Errors++
					}
					histogram.RecordValue(min(max(elapsed, 1), 60_000_000))
				}
				mu.Unlock()
			}
		}()
	}
	// Session n is opened at n/Rate and reloaded once per ReloadInterval from then on, so that reloads are spread
	// evenly.
	startedAt := time.Now()
	openingTime := time.Duration(float64(plan.Sessions) / plan.Rate * float64(time.Second))
	totalTime := openingTime + plan.ReloadInterval + plan.Duration
	var countingSince time.Time
	for tick := 0; ; tick++ {
		now := time.Since(startedAt)
		if now > totalTime || ctx.Err() != nil {
			break
		}
		if countingSince.IsZero() && now > openingTime+plan.ReloadInterval {
			countingSince = time.Now()
			if onHeld != nil {
				onHeld()
			}
			mu.Lock()
			counting = true
			mu.Unlock()
		}
		// A tick is 10 ms; the sessions whose phase falls into it are due.
		const step = 10 * time.Millisecond
		tickTime := time.Duration(tick) * step
		ticksPerInterval := int(plan.ReloadInterval / step)
		for n := tick % ticksPerInterval; n < plan.Sessions; n += ticksPerInterval {
			// The phase of session n is its tick within the reload interval.
			if opensAt := time.Duration(float64(n) / plan.Rate * float64(time.Second)); tickTime >= opensAt {
				work <- due{n, startedAt.Add(tickTime)}
			}
		}
		time.Sleep(time.Until(startedAt.Add(tickTime + step)))
	}
	close(work)
	wg.Wait()
	if !countingSince.IsZero() {
		result.PerSecond = float64(result.Reloads) / time.Since(countingSince).Seconds()
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	result.Latency = Quantiles{ms(histogram.ValueAtQuantile(50)), ms(histogram.ValueAtQuantile(90)),
		ms(histogram.ValueAtQuantile(99)), ms(histogram.ValueAtQuantile(99.9)), ms(histogram.Max())}
	return result, nil
}

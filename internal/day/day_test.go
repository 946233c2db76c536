package day

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tealledge/internal/config"
	"tealledge/internal/serve"
)

// TestMain runs as a front if AS_FRONT is set: a day starts its fronts as processes.
func TestMain(m *testing.M) {
	if os.Getenv("AS_FRONT") == "" {
		os.Exit(m.Run())
	}
	cfg, err := config.Load(os.Args[len(os.Args)-1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s, err := serve.New(cfg, zerolog.New(os.Stderr).Level(zerolog.WarnLevel))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if s.HLS() != "" {
		fmt.Printf("hls http://%s/hls/\n", s.HLS())
	}
	fmt.Printf("ready ws://%s/v1/sessions\n", s.Addr())
	if err := s.Run(ctx); err != nil {
		os.Exit(1)
	}
}

// shortDay is a day of a few seconds with faults in servers, fronts, the server list and players.
const shortDay = `
(day (seed 3) (length 5s) (fronts 2) (servers 8) (titles 12) (copies 4) (rate 14) (watch 500ms 1500ms) (bad 0.15) (hls 0.4)
  (media (slots 40) (link-kb 9000) (uplink-kb 40000) (setup 2ms) (keep 500ms))
  (at 500ms (hang (servers 1) (for 2s)))
  (at 800ms (lose (servers 1) (for 2s) (part 0.6)))
  (at 1s (kill-front (front 1) (for 500ms)))
  (at 1500ms (drain (servers 1) (notice 400ms) (for 1s)))
  (at 2s (list-empty (for 500ms)))
  (at 2500ms (half (servers 1) (for 1s)))
  (at 3s (stop-front (front 0) (for 500ms)))
  (at 3500ms (list-rewind)))
` + serviceText

const serviceText = `
(service
  (ladder (rung 200 0.25) (rung 400 0.6) (rung 800 1))
  (classes (class "safe" (aim 1s) (deadline 3s) (worth 2)) (class "paid" (aim 1s) (deadline 2s) (effect paid) (seats 6))
    (class "floored" (aim 1s) (deadline 3s) (floor 1)))
  (kinds (kind "std" (slots 40))) (zones "z") (zone "z")
  (cells 8) (racks 2) (weight-kb 9000) (rack-kb 40000) (fleet-kb 72000)
  (reports link uplink) (reports-inline yes) (may-probe yes) (notes-late 200ms) (tell-every 1s)
  (stall-cost 8) (change-cost 0.5) (max-attempts 4) (retry-after-most 500ms) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.02) (cold (span 2s) (from 0.4) (times 3) (over 1s)) (budget (spare 20) (ratio 0.5) (span 10s)))`

func TestShortDayWithFaultsKeepsAllRules(t *testing.T) {
	t.Setenv("AS_FRONT", "1")
	s, err := Parse("short", shortDay)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := Run(ctx, s, Options{Command: []string{os.Args[0], "-test.run=^$"}, Dir: t.TempDir(), Out: os.Stderr})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Asks < 40 || r.Replies["plays"] < r.Asks/3 || len(r.Troubles) != 8 {
		t.Errorf("%d requests, replies %v, %d faults", r.Asks, r.Replies, len(r.Troubles))
	}
	t.Log("\n" + r.Table())
}

func TestReportsMistakesInScripts(t *testing.T) {
	if _, err := BadDay(); err != nil {
		t.Fatal(err)
	}
	for from, want := range map[[2]string]string{
		{"(hang (servers 1)", "(hung (servers 1)"}:                       `unknown kind of fault "hung"`,
		{"(at 1s (kill-front (front 1)", "(at 1s (kill-front (front 7)"}: "names a front",
		{"(watch 500ms 1500ms)", "(watch 500ms)"}:                        "want (watch",
		{"(fronts 2)", "(fronts 99)"}:                                    "from 1 to 16",
		{"(copies 4)", "(copies 40)"}:                                    "do not fit 8 cells",
		{"(at 2s (list-empty", "(at (list-empty"}:                        "want (at TIME",
		{`(class "paid"`, `(klass "paid"`}:                               "want (class",
		{"(day (seed 3)", "(day (seed 3) (mix 0.5 0.5)"}:                 "mix has 2 parts for 3 classes",
	} {
		if _, err := Parse("short", strings.Replace(shortDay, from[0], from[1], 1)); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", from[1], err)
		}
	}
}

// TestArrivalsAreDeterministic checks that one seed always gives the same viewers, and that a hot title draws many.
func TestArrivalsAreDeterministic(t *testing.T) {
	s, _ := BadDay()
	a, b := s.arrivals(), s.arrivals()
	if len(a) < 200 || len(a) != len(b) || a[100] != b[100] {
		t.Fatal(len(a), len(b))
	}
	hot := 0
	for _, x := range a {
		if x.at >= 5*time.Second && x.at < 11*time.Second && x.title == s.Titles/2 {
			hot++
		}
	}
	if hot < 10 {
		t.Error("too few viewers for the hot title:", hot)
	}
}

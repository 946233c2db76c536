package day

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/load"
	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

// open starts a site whose first front is to be hurt.
func open(t *testing.T, fronts string) *World {
	t.Helper()
	t.Setenv("AS_FRONT", "1")
	s, err := Parse("t", `(day (seed 3) (fronts `+fronts+`) (servers 8) (titles 12) (copies 4) (media (slots 400) (link-kb 90000)
  (uplink-kb 400000) (setup 1ms) (keep 500ms)))`+serviceForm)
	if err != nil {
		t.Fatal(err)
	}
	s.Scale()
	w, err := Open(context.Background(), s, Options{Command: []string{os.Args[0], "-test.run=^$"}, Dir: t.TempDir(), Out: os.Stderr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func (w *world) fault(set func(f *mediasim.Faults)) {
	for _, m := range w.farm.Servers() {
		m.Fault(set)
	}
}

// load runs players in the background; what it gives waits for them.
func (w *world) load(t *testing.T, rate float64, length time.Duration, clients int) func() *load.Result {
	done := make(chan *load.Result, 1)
	go func() {
		r, err := load.Run(context.Background(), load.Plan{Front: w.Front, Clients: clients, Rate: rate, Length: length, Shape: load.Poisson,
			Hold: [2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond}, Titles: w.s.TitleNames(), Classes: []string{"safe"}, Seed: 1}, w.rec)
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	return func() *load.Result { return <-done }
}

func (w *world) keptAll(t *testing.T) {
	t.Helper()
	r, err := w.Judge(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
}

func TestAFrontKilledWithHundredsOfRequestsOpen(t *testing.T) {
	w := open(t, "1")
	w.fault(func(f *mediasim.Faults) { f.Stalled = true })
	wait := w.load(t, 500, 2500*time.Millisecond, 40)
	time.Sleep(800 * time.Millisecond)
	w.fronts[0].kill()
	w.fault(func(f *mediasim.Faults) { f.Stalled = false })
	if err := w.fronts[0].start(); err != nil {
		t.Fatal(err)
	}
	r := wait()
	if r.Kinds["broken"] < 150 || r.Kinds["plays"] < 100 {
		t.Errorf("%v: the front died with few requests open, or never served again", r.Kinds)
	}
	w.keptAll(t)
}

func TestAFrontThatStoodStillForTwoSeconds(t *testing.T) {
	w := open(t, "1")
	wait := w.load(t, 100, 3500*time.Millisecond, 40)
	time.Sleep(700 * time.Millisecond)
	w.fronts[0].signal(syscall.SIGSTOP, record.Stopped)
	time.Sleep(2 * time.Second)
	w.fronts[0].signal(syscall.SIGCONT, record.Resumed)
	r := wait()
	if r.Kinds["broken"] > 0 || r.Kinds["plays"] < 200 {
		t.Errorf("%v", r.Kinds)
	}
	w.keptAll(t)
}

func TestClassesOfThirtyOverTwoFronts(t *testing.T) {
	w := open(t, "2")
	r, err := load.Run(context.Background(), load.Plan{Front: w.Front, Clients: 60, Rate: 200, Length: 2 * time.Second, Shape: load.Classes, Bad: 0.1,
		Hold: [2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond}, Titles: w.s.TitleNames(), Classes: []string{"safe", "floored"}, Seed: 2}, w.rec)
	if err != nil {
		t.Fatal(err)
	}
	if r.Kinds["plays"]+r.Kinds["refused"] != r.Sent || r.Late > 0 {
		t.Errorf("%+v", r)
	}
	w.keptAll(t)
}

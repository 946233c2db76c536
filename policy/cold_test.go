package policy

import "testing"

// A front restarted under load treated every server without a report as just started, although the list
// gave their start times. It refused nine in ten of its first requests for that reason.
func TestNewFrontTrustsStartTimesOfCompleteList(t *testing.T) {
	for _, c := range []struct {
		kind    ListKind
		started Time
		slow    bool
	}{{ListFull, 0, false}, {ListCached, 0, true}, {ListFull, startTime - Second, true},
		{ListFull, startTime - 30*Second, false}} {
		cfg := settings()
		cfg.Fronts, cfg.WarmupTime, cfg.OverloadWindow, cfg.ColdCapacity, cfg.OverloadFactor =
			300, 12*Second, 3*Second, 0.4, 3
		f := New(cfg, 1)
		e := entry(1)
		e.Started = c.started
		f.Handle(startTime, List{Kind: c.kind, Entries: []Entry{e, entry(2)}})
		if got := f.inSlowStart(f.fleet.get(1)); got != c.slow {
			t.Errorf("%+v: in slow start: %v", c, got)
		}
		f.Handle(startTime+Second, List{Kind: ListDelta,
			Entries: []Entry{{Server: 3, Cell: 2, Size: 1, Started: startTime + Second/2}}})
		if !f.inSlowStart(f.fleet.get(3)) {
			t.Error("a server with a recent start time is not in slow start")
		}
	}
}

// Without settings for overload there is no slow start. A server that had failed or started got no set-ups
// for its whole warm-up.
func TestNoSlowStartWithoutOverloadSettings(t *testing.T) {
	for _, clearSetting := range []func(*Settings){
		func(s *Settings) { s.OverloadFactor = 0 }, func(s *Settings) { s.OverloadWindow = 0 }} {
		cfg := coldSettings()
		clearSetting(&cfg)
		w := newWorld(t, cfg)
		w.now += 60 * Second
		restarted := entry(2)
		restarted.Started = w.now
		w.handle(List{Kind: ListDelta, Entries: []Entry{restarted}})
		if n := w.sendsIn(Second, 2); n < 10 {
			t.Errorf("%d set-ups, want at least 10", n)
		}
	}
}

// A start time in the future, from a clock that was changed, counts as now: slow start lasts one warm-up
// and no longer.
func TestStartTimeInTheFutureCountsAsNow(t *testing.T) {
	cfg := coldSettings()
	w := newWorld(t, cfg)
	w.now += 60 * Second
	restarted := entry(2)
	restarted.Started = w.now + 1000*Second
	w.handle(List{Kind: ListDelta, Entries: []Entry{restarted}})
	if n := w.sendsIn(3*Second, 2); n == 0 || n > 8 {
		t.Errorf("%d set-ups to a server with a recent start", n)
	}
	w.now += cfg.WarmupTime
	if n := w.sendsIn(3*Second, 2); n <= 8 {
		t.Errorf("only %d set-ups to a warm server", n)
	}
}

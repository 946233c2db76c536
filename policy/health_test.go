package policy

import (
	"testing"
)

func TestSlowStartLimitsSetupsToColdServer(t *testing.T) {
	cfg := coldSettings()
	// 40 slots over 10 s, a cold capacity of 0.4, times 3: 4.8 a second from all fronts; two fronts share
	// that.
	const limit = 8
	w := newWorld(t, cfg)
	w.now += 60 * Second
	restarted := entry(2)
	restarted.Started = w.now - Second
	w.handle(List{Kind: ListDelta, Entries: []Entry{restarted}})
	if n := w.sendsIn(3*Second, 2); n == 0 || n > limit {
		t.Fatalf("%d set-ups to a server with a recent start, at most %d allowed", n, limit)
	}
	if n := w.sendsIn(3*Second, 1); n <= limit {
		t.Fatalf("only %d set-ups to a warm server", n)
	}
}

func TestSlowStartAfterServerFailure(t *testing.T) {
	w := newWorld(t, coldSettings())
	w.now += 60 * Second
	a := w.newRequest(1, 0)
	a.Home, a.Copies = 2, 1
	onlyOne[Send](t, w.handle(Request{a}))
	w.finish(1, 0, 3, NoConnect)
	w.now += 20 * Second
	if n := w.sendsIn(3*Second, 3); n == 0 || n > 8 {
		t.Fatalf("%d set-ups to a server that may have restarted", n)
	}
}

func TestRestartedFrontAppliesSlowStartToAllServers(t *testing.T) {
	w := newWorld(t, coldSettings())
	if n := w.sendsIn(3*Second, 2); n == 0 || n > 8 {
		t.Fatalf("%d set-ups from a front that can't know which servers are cold", n)
	}
}

// A restarted front refused viewers because of the slow start of servers that were clearly warm.
func TestServerWithOthersSessionsCountsAsWarm(t *testing.T) {
	w := newWorld(t, coldSettings())
	w.reportUse(2, 0.5, 0.3)
	if n := w.sendsIn(3*Second, 2); n <= 8 {
		t.Fatalf("only %d set-ups to a server that carries others' sessions", n)
	}
	restarted := entry(2)
	restarted.Started = w.now
	w.handle(List{Kind: ListDelta, Entries: []Entry{restarted}})
	w.reportUse(2, 0.5, 0.3)
	if n := w.sendsIn(3*Second, 2); n > 8 {
		t.Fatalf("%d set-ups to a server with a recent start", n)
	}
}

func TestHalfOpenBreakerAdmitsOneSafeSession(t *testing.T) {
	w := newWorld(t, settings())
	requestFor := func(id uint64, class int) SessionSpec {
		a := w.newRequest(id, class)
		a.Home, a.Copies = 1, 1
		return a
	}
	s := onlyOne[Send](t, w.handle(Request{requestFor(1, 0)}))
	w.finish(1, 0, s.Server, TimedOut)
	w.now += 20 * Second
	w.handle(Request{requestFor(2, 1)})
	mustHaveNone[Send](t, w.actions) // paid set-ups never go to a half-open server
	onlyOne[Send](t, w.handle(Request{requestFor(3, 0)}))
	mustHaveNone[Send](t, w.handle(Request{requestFor(4, 1)}))
	w.handle(Playing{ID: 3, Server: s.Server})
	onlyOne[Send](t, w.handle(Request{requestFor(5, 1)}))
}

func TestSingleErrorDoesNotOpenBreaker(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.2)
	v := w.start(1, 0)
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(2, 0)}))
	w.finish(2, 0, s.Server, Errored)
	if w.front.fleet.get(s.Server).failed {
		t.Fatal("breaker open after one error")
	}
	_ = v
}

func TestSafeRequestIsSentWhenAllBreakersAreOpen(t *testing.T) {
	w := newWorld(t, settings())
	for _, v := range w.front.fleet.servers {
		w.front.recordFailure(v, true)
	}
	onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	mustHaveNone[Send](t, w.handle(Request{w.newRequest(2, 1)}))
}

func TestHungServerGetsNoRequests(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.5)
	v := w.start(1, 0)
	w.handle(Note{ID: 1, Server: v, Kind: NoteShare, Value: 0.01})
	w.reportUse(v, 0.01, 0.3) // it reports low use
	for id := uint64(2); id < 6; id++ {
		if got := w.start(id, 0); got == v {
			t.Fatal("sent to a server that delivers nothing")
		}
	}
}

func TestMovesAreRateLimitedAndWorthTheirPrice(t *testing.T) {
	count := func(price float64) (n int) {
		cfg := settings()
		cfg.PriceMove = price
		w := newWorld(t, cfg)
		for id := uint64(1); id <= 9; id++ {
			w.handle(Restored{SessionSpec: w.newRequest(id, 0), Server: 1})
			w.handle(Note{ID: id, Server: 1, Kind: NoteRung, Value: 3})
		}
		w.start(20, 0) // sets the typical worth of a session
		w.reportUseAll(0.3)
		for i := 0; i < 4; i++ {
			w.now += Second
			n += len(actionsOf[Move](w.handle(Note{ID: 9, Server: 1, Kind: NoteShare, Value: 0.85})))
		}
		return n
	}
	if n := count(0); n == 0 || n > movesBurst+2 {
		t.Fatalf("%d moves in 4 s", n)
	}
	if n := count(5); n != 0 {
		t.Fatalf("%d moves that cost more than they gain", n)
	}
}

func TestSessionsMoveOffHungServer(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.4)
	for id := uint64(1); id <= 4; id++ {
		w.handle(Restored{SessionSpec: w.newRequest(id, 0), Server: 1})
		w.handle(Note{ID: id, Server: 1, Kind: NoteRung, Value: 3})
	}
	w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.05})
	w.now += Second
	moved := actionsOf[Move](w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.01}))
	if len(moved) < 2 {
		t.Fatalf("%d moved off a server that delivers nothing", len(moved))
	}
}

// Hundreds of fronts that learn of a new server at once, after a quiet time, must not overload it.
func TestSlowStartHoldsAcrossHundredsOfFronts(t *testing.T) {
	cfg := settings()
	cfg.Fronts, cfg.WarmupTime, cfg.OverloadWindow, cfg.ColdCapacity, cfg.OverloadFactor =
		200, 12*Second, 2*Second, 0.5, 2
	sends := 0
	for seed := uint64(1); seed <= 200; seed++ {
		w := &world{t: t, front: New(cfg, seed), now: startTime}
		e := entry(1)
		e.Started = startTime
		w.handle(List{Kind: ListCached, Entries: []Entry{e}})
		a := w.newRequest(1, 0)
		a.Copies = 1
		sends += len(actionsOf[Send](w.handle(Request{a})))
		w.run(9 * Second) // a quarter of the fronts or more have had a token by now
		a = w.newRequest(2, 0)
		a.Copies = 1
		sends += len(actionsOf[Send](w.handle(Request{a})))
	}
	if sends > 6 { // 40 slots in 12 s, half of the capacity, times 2, for 2 s
		t.Fatalf("%d set-ups at two points of time, at most 6 allowed", sends)
	}
}

// After a restart, one of hundreds of fronts refused thousands of requests: slow start allowed one set-up
// in minutes, and no probe was left. Probes of servers that may be cold need no earned probe.
func TestRestartedFrontProbesBeforeRefusing(t *testing.T) {
	cfg := settings()
	cfg.Fronts, cfg.MayProbe, cfg.WarmupTime, cfg.OverloadWindow, cfg.ColdCapacity, cfg.OverloadFactor =
		300, true, 12*Second, 3*Second, 0.4, 3
	w := newWorld(t, cfg)
	w.front.probeTokens = 0
	for _, v := range w.front.fleet.servers {
		v.slowStart = tokenBucket{tokens: 0, filledAt: w.now}
	}
	p := actionsOf[Probe](w.handle(Request{w.newRequest(1, 0)}))
	if len(p) != probesPerChoice {
		t.Fatalf("%d probes", len(p))
	}
	w.handle(Probed{Server: p[0].Server, Report: []float64{0.4, 0.4}}) // it carries other fronts' sessions
	if s := onlyOne[Send](t, w.run(tickInterval)); s.Server != p[0].Server {
		t.Fatalf("%v", s)
	}
}

// Under low load a restarted front treated servers with the use of all others as just started.
func TestHalfTheMeanUseCountsAsWarm(t *testing.T) {
	cfg := settings()
	cfg.Fronts, cfg.MayProbe, cfg.WarmupTime, cfg.OverloadWindow, cfg.ColdCapacity, cfg.OverloadFactor =
		300, true, 12*Second, 3*Second, 0.4, 3
	w := newWorld(t, cfg)
	v := w.front.fleet.get(1)
	w.front.meanUse = 0.3
	w.reportUse(1, 0.2, 0.2)
	if w.front.inSlowStart(v) {
		t.Fatal("in slow start at two thirds of the mean use")
	}
	w.front.meanUse = 0.8
	if !w.front.inSlowStart(v) {
		t.Fatal("not in slow start at a quarter of the mean use")
	}
}

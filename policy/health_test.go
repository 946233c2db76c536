package policy

import (
	"testing"
)

func TestColdServerIsPaced(t *testing.T) {
	set := cold()
	// 40 places over 10 s, 0.4 warm, times 3: 4.8 a second from all fronts; two fronts share that.
	const most = 8
	w := newWorld(t, set)
	w.now += 60 * Second
	told := entry(2)
	told.Started = w.now - Second
	w.do(List{Kind: ListDelta, Entries: []Entry{told}})
	if n := w.sendsIn(3*Second, 2); n == 0 || n > most {
		t.Fatalf("%d set-ups to a server told started, most %d", n, most)
	}
	if n := w.sendsIn(3*Second, 1); n <= most {
		t.Fatalf("only %d set-ups to a warm server", n)
	}
}

func TestServerSeenFailingIsPacedUntilWarm(t *testing.T) {
	w := newWorld(t, cold())
	w.now += 60 * Second
	a := w.ask(1, 0)
	a.Home, a.Copies = 2, 1
	one[Send](t, w.do(Request{a}))
	w.end(1, 0, 3, NoConnect)
	w.now += 20 * Second
	if n := w.sendsIn(3*Second, 3); n == 0 || n > 8 {
		t.Fatalf("%d set-ups to a server that may have restarted", n)
	}
}

func TestRestartedFrontPacesAllServers(t *testing.T) {
	w := newWorld(t, cold())
	if n := w.sendsIn(3*Second, 2); n == 0 || n > 8 {
		t.Fatalf("%d set-ups from a front that can't know which servers are cold", n)
	}
}

// A restarted front refused viewers over the pace of servers that were plainly long under way.
func TestRestartedFrontTrustsServersThatCarryOthersSessions(t *testing.T) {
	w := newWorld(t, cold())
	w.use(2, 0.5, 0.3)
	if n := w.sendsIn(3*Second, 2); n <= 8 {
		t.Fatalf("only %d set-ups to a server that carries others' sessions", n)
	}
	told := entry(2)
	told.Started = w.now
	w.do(List{Kind: ListDelta, Entries: []Entry{told}})
	w.use(2, 0.5, 0.3)
	if n := w.sendsIn(3*Second, 2); n > 8 {
		t.Fatalf("%d set-ups to a server told started", n)
	}
}

func TestBreakerOpensThenTriesOneSafeSession(t *testing.T) {
	w := newWorld(t, settings())
	fix := func(id uint64, class int) Ask {
		a := w.ask(id, class)
		a.Home, a.Copies = 1, 1
		return a
	}
	s := one[Send](t, w.do(Request{fix(1, 0)}))
	w.end(1, 0, s.Server, TimedOut)
	w.now += 20 * Second
	w.do(Request{fix(2, 1)})
	none[Send](t, w.got) // paid: not the one to try it
	one[Send](t, w.do(Request{fix(3, 0)}))
	none[Send](t, w.do(Request{fix(4, 1)}))
	w.do(Playing{ID: 3, Server: s.Server})
	one[Send](t, w.do(Request{fix(5, 1)}))
}

func TestASingleErrorDoesNotOpenTheBreaker(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.2)
	v := w.place(1, 0)
	s := one[Send](t, w.do(Request{w.ask(2, 0)}))
	w.end(2, 0, s.Server, Errored)
	if w.f.fleet.get(s.Server).failed {
		t.Fatal("open after one error")
	}
	_ = v
}

func TestAllHoldersOutStillTakeASafeRequest(t *testing.T) {
	w := newWorld(t, settings())
	for _, v := range w.f.fleet.order {
		w.f.failing(v, true)
	}
	one[Send](t, w.do(Request{w.ask(1, 0)}))
	none[Send](t, w.do(Request{w.ask(2, 1)}))
}

func TestHungServerIsLeftAlone(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.5)
	v := w.place(1, 0)
	w.do(Note{ID: 1, Server: v, Kind: NoteShare, Value: 0.01})
	w.use(v, 0.01, 0.3) // it reports low use
	for id := uint64(2); id < 6; id++ {
		if got := w.place(id, 0); got == v {
			t.Fatal("sent to a server that delivers nothing")
		}
	}
}

func TestMovesArePacedAndMustEarnTheirPrice(t *testing.T) {
	count := func(price float64) (n int) {
		set := settings()
		set.PriceMove = price
		w := newWorld(t, set)
		for id := uint64(1); id <= 9; id++ {
			w.do(Handed{Ask: w.ask(id, 0), Server: 1})
			w.do(Note{ID: id, Server: 1, Kind: NoteRung, Value: 3})
		}
		w.place(20, 0) // sets what a typical session is worth
		w.useAll(0.3)
		for i := 0; i < 4; i++ {
			w.now += Second
			n += len(of[Move](w.do(Note{ID: 9, Server: 1, Kind: NoteShare, Value: 0.85})))
		}
		return n
	}
	if n := count(0); n == 0 || n > movesBurst+2 {
		t.Fatalf("%d moves in 4 s", n)
	}
	if n := count(5); n != 0 {
		t.Fatalf("%d moves that cost more than they earn", n)
	}
}

func TestSessionsLeaveAServerThatStandsStill(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.4)
	for id := uint64(1); id <= 4; id++ {
		w.do(Handed{Ask: w.ask(id, 0), Server: 1})
		w.do(Note{ID: id, Server: 1, Kind: NoteRung, Value: 3})
	}
	w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.05})
	w.now += Second
	moved := of[Move](w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.01}))
	if len(moved) < 2 {
		t.Fatalf("%d moved off a server that delivers nothing", len(moved))
	}
}

// Hundreds of fronts that hear of a newcomer at once, and have waited for it, must not push it over.
func TestHundredsOfFrontsKeepTheColdPaceTogether(t *testing.T) {
	set := settings()
	set.Fleet, set.ColdSpan, set.FallSpan, set.ColdFrom, set.ColdTimes = 200, 12*Second, 2*Second, 0.5, 2
	sends := 0
	for seed := uint64(1); seed <= 200; seed++ {
		w := &world{t: t, f: New(set, seed), now: start}
		e := entry(1)
		e.Started = start
		w.do(List{Kind: ListCached, Entries: []Entry{e}})
		a := w.ask(1, 0)
		a.Copies = 1
		sends += len(of[Send](w.do(Request{a})))
		w.run(9 * Second) // a quarter of the fronts or more have had a token by now
		a = w.ask(2, 0)
		a.Copies = 1
		sends += len(of[Send](w.do(Request{a})))
	}
	if sends > 6 { // 40 places in 12 s, half warm, twice that, for 2 s
		t.Fatalf("%d set-ups at two moments", sends)
	}
}

// After a restart, one of hundreds of fronts refused thousands over a pace of one set-up in minutes, with no probe left.
func TestARestartedFrontLooksBeforeItRefuses(t *testing.T) {
	set := settings()
	set.Fleet, set.MayProbe, set.ColdSpan, set.FallSpan, set.ColdFrom, set.ColdTimes = 300, true, 12*Second, 3*Second, 0.4, 3
	w := newWorld(t, set)
	w.f.probes = 0
	for _, v := range w.f.fleet.order {
		v.slowStart = bucket{tokens: 0, at: w.now}
	}
	p := of[Probe](w.do(Request{w.ask(1, 0)}))
	if len(p) != lookAt {
		t.Fatalf("%d probes", len(p))
	}
	w.do(Probed{Server: p[0].Server, Report: []float64{0.4, 0.4}}) // it carries others' sessions
	if s := one[Send](t, w.run(tick)); s.Server != p[0].Server {
		t.Fatalf("%v", s)
	}
}

// On a quiet day a restarted front took servers that carry as much as all others do for just started.
func TestHalfTheMeanUsePassesForWarm(t *testing.T) {
	set := settings()
	set.Fleet, set.MayProbe, set.ColdSpan, set.FallSpan, set.ColdFrom, set.ColdTimes = 300, true, 12*Second, 3*Second, 0.4, 3
	w := newWorld(t, set)
	v := w.f.fleet.get(1)
	w.f.mean = 0.3
	w.use(1, 0.2, 0.2)
	if w.f.inSlowStart(v) {
		t.Fatal("paced at two thirds of the mean use")
	}
	w.f.mean = 0.8
	if !w.f.inSlowStart(v) {
		t.Fatal("not paced at a quarter of the mean use")
	}
}

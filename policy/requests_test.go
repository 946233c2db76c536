package policy

import (
	"testing"
)

func TestSendsOnlyToHolders(t *testing.T) {
	w := newWorld(t, settings())
	a := w.newRequest(1, 0)
	a.Home, a.Copies = 3, 2 // cells 3 and 0
	w.reportUse(4, 0.5, 0.2)
	w.reportUse(1, 0.6, 0.2)
	if s := onlyOne[Send](t, w.handle(Request{a})); s.Server != 4 {
		t.Fatalf("sent to %d, want 4", s.Server)
	}
}

func TestPaidSetupThatMayHaveRunIsNotRetried(t *testing.T) {
	for _, st := range []Status{TimedOut, Errored, ConnReset, Cancelled} {
		w := newWorld(t, settings())
		s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 1)}))
		if s.Timeout != 3*Second {
			t.Fatalf("a paid attempt has %d ns, want the time until the deadline", s.Timeout)
		}
		actions := w.finish(1, 0, s.Server, st)
		onlyOne[Fail](t, actions)
		mustHaveNone[Send](t, actions)
		mustHaveNone[Refuse](t, actions)
	}
}

func TestPaidSetupThatNeverRanIsRetried(t *testing.T) {
	for _, st := range []Status{Full, NoConnect} {
		w := newWorld(t, settings())
		s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 1)}))
		onlyOne[Send](t, w.finish(1, 0, s.Server, st))
	}
}

func TestSafeTimeoutRetriesWithinSetupTarget(t *testing.T) {
	w := newWorld(t, settings())
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	if 2*s.Timeout >= Second {
		t.Fatalf("two attempts of %d ns don't fit into the set-up target", s.Timeout)
	}
	w.now += s.Timeout
	if n := onlyOne[Send](t, w.finish(1, 0, s.Server, TimedOut)); n.Server == s.Server {
		t.Fatal("sent to the same server again")
	}
}

func TestRequestGetsExactlyOneReply(t *testing.T) {
	w := newWorld(t, settings())
	actions := w.handle(Request{w.newRequest(1, 0)})
	replies := 0
	for n := 0; len(actionsOf[Send](actions)) > 0; n++ {
		s := onlyOne[Send](t, actions)
		actions = w.finish(1, n, s.Server, Full)
		replies += len(actionsOf[Refuse](actions)) + len(actionsOf[Fail](actions))
	}
	actions = w.run(2 * Second)
	replies += len(actionsOf[Refuse](actions)) + len(actionsOf[Fail](actions))
	if replies != 1 {
		t.Fatalf("%d replies, want 1", replies)
	}
}

// A request that was held, sent and refused by the server must be held again or answered.
func TestRequestHeldTwiceIsStillAnswered(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.99)
	a := w.newRequest(1, 0)
	a.Copies = 1
	mustHaveNone[Send](t, w.handle(Request{a}))
	w.now += 100 * Millisecond
	w.reportUse(1, 0.1, 0.1)
	w.reportUse(1, 0.1, 0.1)
	w.reportUse(1, 0.1, 0.1)
	s := onlyOne[Send](t, w.handle(TimerFired{tokenTick}))
	actions := append(w.finish(1, 0, s.Server, Full), w.run(Second)...)
	onlyOne[Refuse](t, actions)
}

func TestNoCapacityHoldsThenRefusesWithRetryAfter(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.99)
	mustHaveNone[Refuse](t, w.handle(Request{w.newRequest(1, 0)}))
	r := onlyOne[Refuse](t, w.run(holdTimeout+tickInterval))
	if r.After < Second || r.After > 2*Second {
		t.Fatalf("retry delay %d", r.After)
	}
	cfg := settings()
	cfg.RetryAfter = false
	w = newWorld(t, cfg)
	w.reportUseAll(0.99)
	w.handle(Request{w.newRequest(1, 0)})
	if r := onlyOne[Refuse](t, w.run(holdTimeout+tickInterval)); r.After != 0 {
		t.Fatal("a retry delay although RetryAfter is off")
	}
}

func TestHoldEndsBeforeAnEarlyDeadline(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.99)
	a := w.newRequest(1, 0)
	a.Deadline = w.now + 50*Millisecond
	timer := actionsOf[Timer](w.handle(Request{a}))
	w.now += timer[len(timer)-1].After
	if w.now >= a.Deadline {
		t.Fatal("the hold outlasts the deadline")
	}
	onlyOne[Refuse](t, w.handle(TimerFired{timer[len(timer)-1].Token}))
}

func TestSeatsCountSetupsAndRestoredSessions(t *testing.T) {
	cfg := settings()
	cfg.Classes[1].Seats = 2
	w := newWorld(t, cfg)
	w.handle(Restored{SessionSpec: w.newRequest(1, 1), Server: 1})
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(2, 1)}))
	mustHaveNone[Send](t, w.handle(Request{w.newRequest(3, 1)}))
	w.handle(ViewerLeft{2}) // its attempt is in flight and keeps the seat
	mustHaveNone[Send](t, w.run(tickInterval))
	w.finish(2, 0, s.Server, Cancelled)
	onlyOne[Send](t, w.run(tickInterval))
	other := w.newRequest(4, 1)
	other.Title = 8
	onlyOne[Send](t, w.handle(Request{other}))
}

func TestRungNeverFallsBelowFloor(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Floor = 1
	w := newWorld(t, cfg)
	for id := uint64(1); id <= 40; id++ {
		for _, r := range actionsOf[Rate](w.handle(Request{w.newRequest(id, 0)})) {
			if r.Rung < 1 {
				t.Fatal("rung below the floor at set-up")
			}
		}
	}
	for n := 0; n < 8; n++ {
		w.now += 3 * Second
		for _, r := range actionsOf[Rate](w.handle(
			Note{ID: 1, Server: w.front.byID[1].server.Server, Kind: NoteShare, Value: 0.5})) {
			if r.Rung < 1 {
				t.Fatal("rung below the floor after a short note")
			}
		}
	}
}

func TestViewerLeftDuringAttemptGetsNoReply(t *testing.T) {
	w := newWorld(t, settings())
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	w.handle(ViewerLeft{1})
	actions := w.finish(1, 0, s.Server, TimedOut)
	mustHaveNone[Send](t, actions)
	mustHaveNone[Refuse](t, actions)
	mustHaveNone[Fail](t, actions)
	if own := w.front.fleet.get(s.Server).link.own; own != 0 {
		t.Fatalf("a rate of %.0f kB still counts for the link", own)
	}
}

func TestLateAndUnknownIDsAreIgnored(t *testing.T) {
	w := newWorld(t, settings())
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	for _, ev := range []Event{ViewerLeft{77}, Playing{ID: 77, Server: 1},
		Note{ID: 77, Server: 9, Kind: NoteShare},
		Outcome{ID: 77, Server: 99, Report: []float64{1, 2, 3}}, Probed{Server: 99}, TimerFired{12345},
		Outcome{ID: 1, Attempt: 5, Server: s.Server}, Playing{ID: 1, Attempt: 3, Server: s.Server},
		Restored{SessionSpec: w.newRequest(5, 0), Server: 99},
		Restored{SessionSpec: SessionSpec{ID: 6, Class: 44}, Server: 1}, "nonsense"} {
		if actions := w.handle(ev); len(actions) > 0 {
			t.Fatalf("%#v caused %v", ev, actions)
		}
	}
	onlyOne[Refuse](t, w.handle(Request{SessionSpec{ID: 8, Class: 44}}))
}

// Fronts without reports of the holders must not all choose the same one.
func TestFrontsSpreadOverEqualHolders(t *testing.T) {
	cfg := settings()
	cfg.Fronts = 100
	got := map[uint32]int{}
	for seed := uint64(1); seed <= 100; seed++ {
		w := &world{t: t, front: New(cfg, seed), now: startTime}
		w.handle(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2), entry(3), entry(4)}})
		got[onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)})).Server]++
	}
	for id := uint32(1); id <= 4; id++ {
		if got[id] < 10 {
			t.Fatalf("numbers of sends by server: %v", got)
		}
	}
}

// With hundreds of servers a request still goes only to listed holders of its title, and to none that is
// draining.
func TestLargeListSendsOnlyToListedHolders(t *testing.T) {
	w := newLargeWorld(t)
	draining := entry(300)
	draining.Health = Draining
	w.handle(List{Kind: ListDelta, Entries: []Entry{draining}})
	contacted := map[uint32]bool{}
	for id := uint64(1); id <= 40; id++ {
		a := w.newRequest(id, 0)
		a.Home, a.Copies, a.Title = 299, 3, id // cells 299, 0 and 1: servers 300, 1 and 2
		for _, s := range actionsOf[Send](append(w.handle(Request{a}), w.run(tickInterval)...)) {
			contacted[s.Server] = true
		}
	}
	if len(contacted) != 2 || !contacted[1] || !contacted[2] {
		t.Fatalf("sent to %v, want 1 and 2", contacted)
	}
	a := w.newRequest(99, 0)
	a.Copies = 300
	if s := onlyOne[Send](t, append(w.handle(Request{a}), w.run(tickInterval)...)); s.Server == 300 {
		t.Fatal("sent to a draining server")
	}
}

// After a stall a front receives all pending events at once, some of them about servers removed long ago.
func TestRulesHoldForBacklogOfEvents(t *testing.T) {
	w := newLargeWorld(t)
	w.handle(Restored{SessionSpec: w.newRequest(1000, 0), Server: 7})
	sent := map[uint64]int{}
	replies := map[uint64]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			switch x := a.(type) {
			case Send:
				sent[x.ID]++
				if x.Server == 7 {
					t.Fatal("sent to a removed server")
				}
			case Refuse:
				replies[x.ID]++
			case Fail:
				replies[x.ID]++
			}
		}
	}
	for id := uint64(1); id <= 20; id++ { // paid, set up before the stall
		a := w.newRequest(id, 1)
		a.Title, a.Home = id, 10
		count(append(w.handle(Request{a}), w.run(tickInterval)...))
	}
	w.now += 4 * Second
	removed := entry(7)
	removed.Health = Removed
	count(w.handle(List{Kind: ListDelta, Entries: []Entry{removed}}))
	count(w.handle(Note{ID: 1000, Server: 7, Kind: NoteShare, Value: 0.5}))
	count(w.handle(Outcome{ID: 1000, Server: 7, Status: ConnReset, Final: true}))
	count(w.handle(Probed{Server: 7, Report: []float64{0.1, 0.1}}))
	for id := uint64(1); id <= 20; id++ {
		for _, s := range w.front.byID {
			if s.ID == id && s.server != nil {
				count(w.handle(Outcome{ID: id, Server: s.server.Server, Status: TimedOut}))
				break
			}
		}
	}
	for id := uint64(21); id <= 60; id++ { // deadlines are near or past
		a := w.newRequest(id, 0)
		a.Deadline = w.now - 2*Second + Time(id)*50*Millisecond
		a.Home, a.Copies, a.Title = 4, 6, id // server 7 among the holders
		actions := w.handle(Request{a})
		if a.Deadline <= w.now {
			mustHaveNone[Send](t, actions)
		}
		count(actions)
	}
	count(w.run(4 * Second))
	if sent[1] != 1 {
		t.Fatal("the first paid request was not sent")
	}
	for id := uint64(1); id <= 60; id++ {
		if paid := id <= 20; paid && (sent[id] > 1 || replies[id] != 1) ||
			sent[id]+replies[id] < 1 || replies[id] > 1 {
			t.Fatalf("request %d: %d sends, %d replies", id, sent[id], replies[id])
		}
	}
}

// Where a request names its holders, only these are used, up to the rung that each holds. Holders not on
// the list yet are skipped.
func TestNamedHoldersOnly(t *testing.T) {
	cfg := Settings{Fronts: 1, Classes: []Class{
		{SetupTarget: Second, Deadline: 2 * Second, Worth: 1, Scale: 1, Top: 2},
		{SetupTarget: Second, Deadline: 2 * Second, Worth: 1, Scale: 1, Floor: 1, Top: 2}},
		RungKB: []float64{10, 20, 40}, RungWorth: []float64{0.3, 0.6, 1},
		FleetKB: 1e6, RackKB: 1e6, WeightKB: 1e5, Racks: 1, Cells: 4, KindSlots: []float64{100},
		StallCost: 8, ExtraViewerCost: 1, MaxAttempts: 3}
	place := func(class int, holders []Holder) (server uint32, rung int) {
		f := New(cfg, 1)
		var list []Entry
		for id := uint32(1); id <= 4; id++ {
			list = append(list, Entry{Server: id, Cell: int(id) - 1, Size: 1})
		}
		f.Handle(Second, List{Kind: ListFull, Entries: list})
		rung = cfg.Classes[class].Floor
		for _, a := range f.Handle(Second+1, Request{SessionSpec{ID: 1, Title: 1, Copies: 4, Class: class,
			Top: 2, Deadline: 3 * Second, Holders: holders}}) {
			switch a := a.(type) {
			case Send:
				server = a.Server
			case Rate:
				rung = a.Rung
			}
		}
		return server, rung
	}
	for name, c := range map[string]struct {
		class   int
		holders []Holder
		server  uint32
		rung    int
	}{
		"one holder":                   {0, []Holder{{3, 2}}, 3, 2},
		"up to a rung":                 {0, []Holder{{3, 1}}, 3, 1},
		"the lowest rung only":         {0, []Holder{{2, 0}}, 2, 0},
		"not listed yet":               {0, []Holder{{9, 2}}, 0, 0},
		"one not listed, one listed":   {0, []Holder{{9, 2}, {4, 2}}, 4, 2},
		"empty list":                   {0, []Holder{}, 0, 0},
		"below the floor is no holder": {1, []Holder{{2, 0}}, 0, 1},
		"the one that holds the floor": {1, []Holder{{2, 0}, {1, 1}}, 1, 1},
	} {
		if server, rung := place(c.class, c.holders); server != c.server || server != 0 && rung != c.rung {
			t.Errorf("%s: server %d at rung %d", name, server, rung)
		}
	}
	if server, _ := place(0, nil); server == 0 {
		t.Error("a request that names no holders is not placed by its cells")
	}
}

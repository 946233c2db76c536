package policy

import (
	"testing"
)

func TestOnlyHoldersAreSentTo(t *testing.T) {
	w := newWorld(t, settings())
	a := w.ask(1, 0)
	a.Home, a.Copies = 3, 2 // cells 3 and 0
	w.use(4, 0.5, 0.2)
	w.use(1, 0.6, 0.2)
	if s := one[Send](t, w.do(Request{a})); s.Server != 4 {
		t.Fatalf("sent to %d, want 4", s.Server)
	}
}

func TestPaidTimeOutFailsAndIsNotSentAgain(t *testing.T) {
	for _, st := range []Status{TimedOut, Errored, ResetConn, CancelledSt} {
		w := newWorld(t, settings())
		s := one[Send](t, w.do(Request{w.ask(1, 1)}))
		if s.Timeout != 3*Second {
			t.Fatalf("a paid attempt has %d ns, want all the time there is", s.Timeout)
		}
		acts := w.end(1, 0, s.Server, st)
		one[Fail](t, acts)
		none[Send](t, acts)
		none[Refuse](t, acts)
	}
}

func TestPaidThatNeverRanIsSentAgain(t *testing.T) {
	for _, st := range []Status{Full, NoConnect} {
		w := newWorld(t, settings())
		s := one[Send](t, w.do(Request{w.ask(1, 1)}))
		one[Send](t, w.end(1, 0, s.Server, st))
	}
}

func TestSafeTimeOutGoesToTheNextHolderInsideTheAim(t *testing.T) {
	w := newWorld(t, settings())
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	if 2*s.Timeout >= Second {
		t.Fatalf("two attempts of %d ns don't fit into the aim", s.Timeout)
	}
	w.now += s.Timeout
	if n := one[Send](t, w.end(1, 0, s.Server, TimedOut)); n.Server == s.Server {
		t.Fatal("the same server again")
	}
}

func TestAttemptsEndInOneAnswer(t *testing.T) {
	w := newWorld(t, settings())
	acts := w.do(Request{w.ask(1, 0)})
	answers := 0
	for n := 0; len(of[Send](acts)) > 0; n++ {
		s := one[Send](t, acts)
		acts = w.end(1, n, s.Server, Full)
		answers += len(of[Refuse](acts)) + len(of[Fail](acts))
	}
	acts = w.run(2 * Second)
	answers += len(of[Refuse](acts)) + len(of[Fail](acts))
	if answers != 1 {
		t.Fatalf("%d answers, want 1", answers)
	}
}

// A request that was held, sent and turned away has to be held, or answered, once more.
func TestHeldTwiceIsStillAnswered(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.99)
	a := w.ask(1, 0)
	a.Copies = 1
	none[Send](t, w.do(Request{a}))
	w.now += 100 * Millisecond
	w.use(1, 0.1, 0.1)
	w.use(1, 0.1, 0.1)
	w.use(1, 0.1, 0.1)
	s := one[Send](t, w.do(Alarm{tokenTick}))
	acts := append(w.end(1, 0, s.Server, Full), w.run(Second)...)
	one[Refuse](t, acts)
}

func TestNoRoomIsABriefHoldThenARefusalWithAComeBackTime(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.99)
	none[Refuse](t, w.do(Request{w.ask(1, 0)}))
	r := one[Refuse](t, w.run(holdSpan+tick))
	if r.After < Second || r.After > 2*Second {
		t.Fatalf("come-back time %d", r.After)
	}
	set := settings()
	set.RetryAfter = false
	w = newWorld(t, set)
	w.useAll(0.99)
	w.do(Request{w.ask(1, 0)})
	if r := one[Refuse](t, w.run(holdSpan+tick)); r.After != 0 {
		t.Fatal("a come-back time where none is allowed")
	}
}

func TestHoldEndsBeforeAnEarlyDeadline(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.99)
	a := w.ask(1, 0)
	a.Deadline = w.now + 50*Millisecond
	timer := of[Timer](w.do(Request{a}))
	w.now += timer[len(timer)-1].After
	if w.now >= a.Deadline {
		t.Fatal("the hold outlasts the deadline")
	}
	one[Refuse](t, w.do(Alarm{timer[len(timer)-1].Token}))
}

func TestSeatsCountSetUpsAndHandedSessions(t *testing.T) {
	set := settings()
	set.Classes[1].Seats = 2
	w := newWorld(t, set)
	w.do(Handed{Ask: w.ask(1, 1), Server: 1})
	s := one[Send](t, w.do(Request{w.ask(2, 1)}))
	none[Send](t, w.do(Request{w.ask(3, 1)}))
	w.do(Gone{2}) // its attempt is still out, and so is its seat
	none[Send](t, w.run(tick))
	w.end(2, 0, s.Server, CancelledSt)
	one[Send](t, w.run(tick))
	other := w.ask(4, 1)
	other.Title = 8
	one[Send](t, w.do(Request{other}))
}

func TestFloorIsKept(t *testing.T) {
	set := settings()
	set.Classes[0].Floor = 1
	w := newWorld(t, set)
	for id := uint64(1); id <= 40; id++ {
		for _, r := range of[Rate](w.do(Request{w.ask(id, 0)})) {
			if r.Rung < 1 {
				t.Fatal("under the floor at set-up")
			}
		}
	}
	for n := 0; n < 8; n++ {
		w.now += 3 * Second
		for _, r := range of[Rate](w.do(Note{ID: 1, Server: w.f.byID[1].at.Server, Kind: NoteShare, Value: 0.5})) {
			if r.Rung < 1 {
				t.Fatal("under the floor when short")
			}
		}
	}
}

func TestWithdrawnWhilePendingGetsNoAnswer(t *testing.T) {
	w := newWorld(t, settings())
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	w.do(Gone{1})
	acts := w.end(1, 0, s.Server, TimedOut)
	none[Send](t, acts)
	none[Refuse](t, acts)
	none[Fail](t, acts)
	if own := w.f.fleet.get(s.Server).link.own; own != 0 {
		t.Fatalf("%.0f kB still booked", own)
	}
}

func TestLateAndUnknownIdsAreIgnored(t *testing.T) {
	w := newWorld(t, settings())
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	for _, ev := range []Event{Gone{77}, Playing{ID: 77, Server: 1}, Note{ID: 77, Server: 9, Kind: NoteShare},
		Outcome{ID: 77, Server: 99, Report: []float64{1, 2, 3}}, Probed{Server: 99}, Alarm{12345},
		Outcome{ID: 1, Attempt: 5, Server: s.Server}, Playing{ID: 1, Attempt: 3, Server: s.Server},
		Handed{Ask: w.ask(5, 0), Server: 99}, Handed{Ask: Ask{ID: 6, Class: 44}, Server: 1}, "nonsense"} {
		if acts := w.do(ev); len(acts) > 0 {
			t.Fatalf("%#v led to %v", ev, acts)
		}
	}
	one[Refuse](t, w.do(Request{Ask{ID: 8, Class: 44}}))
}

// Fronts that know nothing of the holders don't all take the same one.
func TestFrontsSpreadOverHoldersAlike(t *testing.T) {
	set := settings()
	set.Fleet = 100
	got := map[uint32]int{}
	for seed := uint64(1); seed <= 100; seed++ {
		w := &world{t: t, f: New(set, seed), now: start}
		w.do(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2), entry(3), entry(4)}})
		got[one[Send](t, w.do(Request{w.ask(1, 0)})).Server]++
	}
	for id := uint32(1); id <= 4; id++ {
		if got[id] < 10 {
			t.Fatalf("sends %v", got)
		}
	}
}

// With hundreds of servers a request still goes to a listed holder of its title, and to none that drains.
func TestAListOfHundredsOfServersKeepsToTheHolders(t *testing.T) {
	w := hundreds(t)
	drain := entry(300)
	drain.Health = Draining
	w.do(List{Kind: ListDelta, Entries: []Entry{drain}})
	met := map[uint32]bool{}
	for id := uint64(1); id <= 40; id++ {
		a := w.ask(id, 0)
		a.Home, a.Copies, a.Title = 299, 3, id // cells 299, 0 and 1: servers 300, 1 and 2
		for _, s := range of[Send](append(w.do(Request{a}), w.run(tick)...)) {
			met[s.Server] = true
		}
	}
	if len(met) != 2 || !met[1] || !met[2] {
		t.Fatalf("sent to %v, want 1 and 2", met)
	}
	a := w.ask(99, 0)
	a.Copies = 300
	if s := one[Send](t, append(w.do(Request{a}), w.run(tick)...)); s.Server == 300 {
		t.Fatal("sent to a draining server")
	}
}

// A front that stood still finds all at once what came meanwhile, some of it about servers long gone.
func TestALatePileOfEventsChangesNoRule(t *testing.T) {
	w := hundreds(t)
	w.do(Handed{Ask: w.ask(1000, 0), Server: 7})
	sent := map[uint64]int{}
	answers := map[uint64]int{}
	count := func(acts []Action) {
		for _, a := range acts {
			switch x := a.(type) {
			case Send:
				sent[x.ID]++
				if x.Server == 7 {
					t.Fatal("sent to a server that is gone")
				}
			case Refuse:
				answers[x.ID]++
			case Fail:
				answers[x.ID]++
			}
		}
	}
	for id := uint64(1); id <= 20; id++ { // paid, and set up before the standstill
		a := w.ask(id, 1)
		a.Title, a.Home = id, 10
		count(append(w.do(Request{a}), w.run(tick)...))
	}
	w.now += 4 * Second
	gone := entry(7)
	gone.Health = Removed
	count(w.do(List{Kind: ListDelta, Entries: []Entry{gone}}))
	count(w.do(Note{ID: 1000, Server: 7, Kind: NoteShare, Value: 0.5}))
	count(w.do(Outcome{ID: 1000, Server: 7, Status: ResetConn, Final: true}))
	count(w.do(Probed{Server: 7, Report: []float64{0.1, 0.1}}))
	for id := uint64(1); id <= 20; id++ {
		for _, s := range w.f.byID {
			if s.ID == id && s.at != nil {
				count(w.do(Outcome{ID: id, Server: s.at.Server, Status: TimedOut}))
				break
			}
		}
	}
	for id := uint64(21); id <= 60; id++ { // their time is nearly up or past
		a := w.ask(id, 0)
		a.Deadline = w.now - 2*Second + Time(id)*50*Millisecond
		a.Home, a.Copies, a.Title = 4, 6, id // server 7 among the holders
		acts := w.do(Request{a})
		if a.Deadline <= w.now {
			none[Send](t, acts)
		}
		count(acts)
	}
	count(w.run(4 * Second))
	if sent[1] != 1 {
		t.Fatal("the first paid request was not sent")
	}
	for id := uint64(1); id <= 60; id++ {
		if paid := id <= 20; paid && (sent[id] > 1 || answers[id] != 1) || sent[id]+answers[id] < 1 || answers[id] > 1 {
			t.Fatalf("request %d: %d sends, %d answers", id, sent[id], answers[id])
		}
	}
}

// TestNamedHoldersAlone: where an ask names its holders, only they are used, no higher than each holds, and one that is
// not listed yet waits until it is.
func TestNamedHoldersAlone(t *testing.T) {
	set := Settings{Fleet: 1, Classes: []Class{{Aim: Second, Deadline: 2 * Second, Worth: 1, Scale: 1, Top: 2}, {Aim: Second, Deadline: 2 * Second,
		Worth: 1, Scale: 1, Floor: 1, Top: 2}}, RungKB: []float64{10, 20, 40}, RungWorth: []float64{0.3, 0.6, 1}, FleetKB: 1e6, RackKB: 1e6,
		WeightKB: 1e5, Racks: 1, Cells: 4, KindSlots: []float64{100}, StallCost: 8, Join: 1, MaxAttempts: 3}
	place := func(class int, holders []Holder) (server uint32, rung int) {
		f := New(set, 1)
		var list []Entry
		for id := uint32(1); id <= 4; id++ {
			list = append(list, Entry{Server: id, Cell: int(id) - 1, Size: 1})
		}
		f.Handle(Second, List{Kind: ListFull, Entries: list})
		rung = set.Classes[class].Floor
		for _, a := range f.Handle(Second+1, Request{Ask{ID: 1, Title: 1, Copies: 4, Class: class, Top: 2, Deadline: 3 * Second, Holders: holders}}) {
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
		"the lowest alone":             {0, []Holder{{2, 0}}, 2, 0},
		"not listed yet":               {0, []Holder{{9, 2}}, 0, 0},
		"one not listed, one listed":   {0, []Holder{{9, 2}, {4, 2}}, 4, 2},
		"none at all":                  {0, []Holder{}, 0, 0},
		"under the floor is no holder": {1, []Holder{{2, 0}}, 0, 1},
		"the one that holds the floor": {1, []Holder{{2, 0}, {1, 1}}, 1, 1},
	} {
		if server, rung := place(c.class, c.holders); server != c.server || server != 0 && rung != c.rung {
			t.Errorf("%s: server %d at rung %d", name, server, rung)
		}
	}
	if server, _ := place(0, nil); server == 0 {
		t.Error("an ask that names none is not placed by its cells")
	}
}

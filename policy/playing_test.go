package policy

import (
	"testing"
)

func TestPlacesOnLeastUsedHolderAtHighestRung(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUse(1, 0.9, 0.1) // over maxUse: not used
	w.reportUse(2, 0.5, 0.1)
	w.reportUse(3, 0.1, 0.1) // least used
	w.reportUse(4, 0.6, 0.1)
	actions := w.handle(Request{w.newRequest(1, 0)})
	if s := onlyOne[Send](t, actions); s.Server != 3 {
		t.Fatalf("sent to %d, want 3", s.Server)
	}
	if r := onlyOne[Rate](t, actions); r.Rung != 3 {
		t.Fatalf("rung %d, want 3", r.Rung)
	}
	// The other holder's link can take only 0.2 more below maxUse: a lower rung there.
	a := w.newRequest(2, 0)
	a.Home, a.Copies = 3, 1
	// Rung 2 would fit below maxUse, but leave no reserve.
	if r := onlyOne[Rate](t, w.handle(Request{a})); r.Rung != 1 {
		t.Fatalf("rung %d, want 1", r.Rung)
	}
}

func TestTwoShortNotesMoveSessionOnceToAnotherRack(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.3)
	v := w.start(1, 0)
	short := Note{ID: 1, Server: v, Kind: NoteShare, Value: 0.8}
	mustHaveNone[Move](t, w.handle(short))
	w.now += Second
	onlyOne[Move](t, w.handle(short))
	w.now += Second
	mustHaveNone[Move](t, w.handle(short))
	w.finish(1, 0, v, Cancelled)
	retry := w.newRequest(2, 0)
	retry.Viewer, retry.Moved, retry.Again = 1, true, true
	s := onlyOne[Send](t, w.handle(Request{retry}))
	if s.Server%2 == v%2 {
		t.Fatalf("sent to %d, in the rack that the session was moved off", s.Server)
	}
	w.handle(Playing{ID: 2, Server: s.Server})
	for n := 0; n < 5; n++ {
		w.now += 5 * Second
		mustHaveNone[Move](t, w.handle(Note{ID: 2, Server: s.Server, Kind: NoteShare, Value: 0.7}))
	}
}

// Hundreds of fronts moved sessions to holders without reports, and then moved them again.
func TestNoMoveToHolderWithoutReport(t *testing.T) {
	w := newWorld(t, settings())
	for id := uint64(1); id <= 9; id++ {
		w.handle(Restored{SessionSpec: w.newRequest(id, 0), Server: 1})
		w.handle(Note{ID: id, Server: 1, Kind: NoteRung, Value: 3})
	}
	for i := 0; i < 4; i++ {
		w.now += Second
		mustHaveNone[Move](t, w.handle(Note{ID: 9, Server: 1, Kind: NoteShare, Value: 0.85}))
	}
	w.reportUse(2, 0.3, 0.3)
	onlyOne[Move](t, w.handle(Note{ID: 9, Server: 1, Kind: NoteShare, Value: 0.85}))
}

func TestShortNoteLowersRungsByMissingRate(t *testing.T) {
	w := newWorld(t, settings())
	for id := uint64(1); id <= 5; id++ {
		w.handle(Restored{SessionSpec: w.newRequest(id, 0), Server: 1})
		w.handle(Note{ID: id, Server: 1, Kind: NoteRung, Value: 2})
	}
	if n := len(actionsOf[Rate](w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.99}))); n != 0 {
		t.Fatal("rungs lowered although the full rate is delivered")
	}
	w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})
	if own := w.front.fleet.get(1).link.own; own > 800 || own < 500 {
		t.Fatalf("own rate %.0f after lowering, want about 760 of 1000", own)
	}
	w.now += Second
	// The effect of the lowered rungs is not visible yet.
	mustHaveNone[Rate](t, w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8}))
}

// One server's short link was counted as a short uplink, and the whole rack got no requests.
func TestShortNotesCountForUplinkOnlyIfServersAreAlike(t *testing.T) {
	w := newWorld(t, settings())
	for id := uint32(1); id <= 3; id += 2 { // both in one rack
		w.handle(Restored{SessionSpec: w.newRequest(uint64(id), 0), Server: id})
		w.reportUse(id, 0.5, 0.8)
	}
	uplink := &w.front.racks[0].meter
	w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})
	if uplink.use > 1 || w.front.fleet.get(1).link.use < 1.2 {
		t.Fatalf("one short server: uplink %.2f, link %.2f", uplink.use, w.front.fleet.get(1).link.use)
	}
	w.now += 200 * Millisecond
	w.handle(Note{ID: 3, Server: 3, Kind: NoteShare, Value: 0.82})
	if uplink.use < 1.2 || w.front.fleet.get(3).link.use > 1 {
		t.Fatalf("two servers with similar shares: uplink %.2f, link %.2f",
			uplink.use, w.front.fleet.get(3).link.use)
	}
}

// Early sessions took the top rungs and left the floor, or nothing, for later ones.
func TestHigherRungsReserveCapacityForLaterSessions(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Top = 2
	w := newWorld(t, cfg)
	a := w.newRequest(1, 0)
	a.Copies, a.Hinted, a.Length = 1, true, 30*Second // not started: the hinted length remains
	w.reportUse(1, 0.7, 0.3)
	// One session at the floor: the highest rung that fits (2, of 200 kB) would leave no reserve.
	w.handle(Restored{SessionSpec: w.newRequest(9, 0), Server: 1})
	w.reportUse(1, 0.7, 0.3)
	onlyOne[Send](t, w.handle(Request{a}))
	if got := w.front.byID[1].rung; got != 1 {
		t.Fatalf("rung %d beside low rungs, want 1", got)
	}
	// Beside sessions at the top rung no larger reserve is needed than theirs.
	w = newWorld(t, cfg)
	w.handle(Restored{SessionSpec: w.newRequest(10, 0), Server: 1})
	w.handle(Note{ID: 10, Server: 1, Kind: NoteRung, Value: 3})
	w.now += Second
	w.reportUse(1, 0.7, 0.3)
	w.reportUse(1, 0.7, 0.3)
	onlyOne[Send](t, w.handle(Request{a}))
	if got := w.front.byID[1].rung; got != 2 {
		t.Fatalf("rung %d beside high rungs, want 2", got)
	}
}

func TestLastingSpareCapacityRaisesRung(t *testing.T) {
	w := newWorld(t, settings())
	w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
	w.now += 10 * Second
	w.reportUse(1, 0.2, 0.2)
	r := onlyOne[Rate](t, w.run(Second))
	if r.ID != 1 || r.Rung != 3 {
		t.Fatalf("%v", r)
	}
	w.reportUse(1, 0.2, 0.2)
	mustHaveNone[Rate](t, w.run(Second)) // at the top rung already
	w = newWorld(t, settings())
	w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
	w.reportUse(1, 0.85, 0.2)
	mustHaveNone[Rate](t, w.run(Second)) // no spare rate below maxUse
}

// The part of the spare rate of one of hundreds of fronts is too small for a whole rung; together they
// still use it.
func TestHundredsOfFrontsShareSpareCapacityForRaises(t *testing.T) {
	cfg := settings()
	cfg.Fronts = 200
	raised := 0.0
	const fronts = 400
	for seed := uint64(1); seed <= fronts; seed++ {
		w := &world{t: t, front: New(cfg, seed), now: startTime}
		w.handle(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2)}})
		w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
		w.handle(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 1})
		w.now += 10 * Second
		w.reportUse(1, 0.5, 0.25) // one of five such sessions on the link
		for _, r := range actionsOf[Rate](w.run(3 * Second)) {
			raised += cfg.RungKB[r.Rung] - 100
		}
	}
	// Five such fronts share a spare rate of 350 kB a second below maxUse.
	if five := raised / fronts * 5; five < 35 || five > 350 {
		t.Fatalf("five fronts raise by %.0f kB a second, want 35 to 350", five)
	}
}

// If a link is short by a tenth, all fronts together must lower their rate by a tenth, not each by a whole
// rung.
func TestHundredsOfFrontsLowerByMissingRate(t *testing.T) {
	cfg := settings()
	cfg.Fronts = 200
	lowered := 0
	const fronts = 400
	for seed := uint64(1); seed <= fronts; seed++ {
		w := &world{t: t, front: New(cfg, seed), now: startTime}
		w.handle(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2)}})
		w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
		w.handle(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 1})
		w.now += 10 * Second
		w.reportUse(1, 1.1, 0.5)
		lowered += len(actionsOf[Rate](w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.9})))
	}
	if part := float64(lowered) / fronts; part < 0.15 || part > 0.6 {
		t.Fatalf("a part of %.2f of the fronts lowers its session to half the rate, want about 0.3", part)
	}
}

// An uncertain use leaves a reserve: with a recent report of the same use the rung is higher.
func TestUncertainUseReservesCapacity(t *testing.T) {
	rung := func(reported bool) int {
		w := newWorld(t, settings())
		w.front.meanUse = 0.5
		for id := uint32(1); reported && id <= 4; id++ {
			w.reportUse(id, 0.5, 0.5)
		}
		onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
		return w.front.byID[1].rung
	}
	if without, with := rung(false), rung(true); without >= with || with < 1 {
		t.Fatalf("rung %d without a report, %d with one", without, with)
	}
}

// Raises spent the probes that choices needed. Where notes give the use, raises need no probe.
func TestRaisesLeaveProbesForChoices(t *testing.T) {
	probes := func(noteInterval Time, saved float64) int {
		cfg := settings()
		cfg.MayProbe, cfg.InlineReports, cfg.NoteInterval = true, noteInterval > 0, noteInterval
		w := newWorld(t, cfg)
		w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
		w.front.probeTokens = saved
		w.now += 10 * Second
		return len(actionsOf[Probe](w.run(2 * Second)))
	}
	if probes(0, probesPerChoice) != 0 || probes(3*Second, maxProbes) != 0 || probes(0, maxProbes) == 0 {
		t.Fatal(probes(0, probesPerChoice), probes(3*Second, maxProbes), probes(0, maxProbes))
	}
}

// Under high load short notes are the most recent values of servers without reports.
func TestShortNoteThatLowersRungsUpdatesMeanUse(t *testing.T) {
	w := newWorld(t, settings())
	w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
	w.handle(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 3})
	w.now += 10 * Second
	before := w.front.meanUse
	w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})
	once := w.front.meanUse
	w.handle(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8}) // the effect is not visible yet
	if once <= before || w.front.meanUse != once {
		t.Fatalf("mean %.3f, %.3f, %.3f", before, once, w.front.meanUse)
	}
}

// Responses may be lost although the set-up runs. A paid set-up is then never sent again nor refused, its
// server gets no requests for a while, and a safe set-up goes to the next holder.
func TestLostResponseFailsPaidAndRetriesSafe(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.2)
	paid := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 1)}))
	actions := w.finish(1, 0, paid.Server, TimedOut)
	onlyOne[Fail](t, actions)
	mustHaveNone[Refuse](t, actions)
	mustHaveNone[Send](t, append(actions, w.run(2*tickInterval)...))
	safe := onlyOne[Send](t, w.handle(Request{w.newRequest(2, 0)}))
	if safe.Server == paid.Server {
		t.Fatal("sent to a server whose response was just lost")
	}
	actions = w.finish(2, 0, safe.Server, TimedOut)
	if next := onlyOne[Send](t, actions); next.Server == safe.Server || next.Server == paid.Server {
		t.Fatalf("sent to %d again", next.Server)
	}
	w.handle(Probed{Server: safe.Server, Report: []float64{0.1, 0.1}}) // the server still answers probes
	for _, s := range actionsOf[Send](w.handle(Request{w.newRequest(3, 1)})) {
		if s.Server == safe.Server || s.Server == paid.Server {
			t.Fatalf("a paid set-up was sent to %d because of a probe result", s.Server)
		}
	}
}

// The sum of rungs kept for a server must match its sessions after every kind of event.
func TestRungSumsMatchSessions(t *testing.T) {
	w := newWorld(t, settings())
	check := func() {
		for _, v := range w.front.fleet.servers {
			sum := 0
			for _, s := range v.sessions {
				sum += s.rung
			}
			if sum != v.rungSum {
				t.Fatalf("server %d: kept sum %d, sum of its sessions %d", v.Server, v.rungSum, sum)
			}
		}
	}
	for id := uint64(1); id < 120; id++ {
		for _, s := range actionsOf[Send](w.handle(Request{w.newRequest(id, int(id%2))})) {
			switch id % 5 {
			case 0:
				w.handle(Outcome{ID: id, Server: s.Server, Status: ConnReset})
			case 1:
				w.handle(Playing{ID: id, Server: s.Server})
				w.handle(Note{ID: id, Server: s.Server, Kind: NoteRung, Value: 1})
			case 2:
				w.handle(Playing{ID: id, Server: s.Server})
				w.handle(Note{ID: id, Server: s.Server, Kind: NoteShare, Value: 0.6})
			case 3:
				w.handle(Playing{ID: id, Server: s.Server})
				w.handle(Outcome{ID: id, Server: s.Server, Status: OK, Final: true})
			default:
				w.handle(ViewerLeft{id})
			}
			check()
		}
		w.run(50 * Millisecond)
		check()
	}
}

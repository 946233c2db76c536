package policy

import (
	"testing"
)

func TestBestRankedHolderUnderTheMarkAtTheHighestRung(t *testing.T) {
	w := newWorld(t, settings())
	w.use(1, 0.9, 0.1) // over the mark: dropped
	w.use(2, 0.5, 0.1)
	w.use(3, 0.1, 0.1) // least used
	w.use(4, 0.6, 0.1)
	acts := w.do(Request{w.ask(1, 0)})
	if s := one[Send](t, acts); s.Server != 3 {
		t.Fatalf("sent to %d, want 3", s.Server)
	}
	if r := one[Rate](t, acts); r.Rung != 3 {
		t.Fatalf("rung %d, want 3", r.Rung)
	}
	// The next holder's link takes 0.2 more under the mark: a lower rung there.
	a := w.ask(2, 0)
	a.Home, a.Copies = 3, 1
	if r := one[Rate](t, w.do(Request{a})); r.Rung != 1 { // 2 would fit under the mark, but leave nothing
		t.Fatalf("rung %d, want 1", r.Rung)
	}
}

func TestMoveAfterTwoShortNotesToAnotherRackOnce(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.3)
	v := w.place(1, 0)
	short := Note{ID: 1, Server: v, Kind: NoteShare, Value: 0.8}
	none[Move](t, w.do(short))
	w.now += Second
	one[Move](t, w.do(short))
	w.now += Second
	none[Move](t, w.do(short))
	w.end(1, 0, v, CancelledSt)
	back := w.ask(2, 0)
	back.Viewer, back.Moved, back.Again = 1, true, true
	s := one[Send](t, w.do(Request{back}))
	if s.Server%2 == v%2 {
		t.Fatalf("back in the rack it was moved off: %d", s.Server)
	}
	w.do(Playing{ID: 2, Server: s.Server})
	for n := 0; n < 5; n++ {
		w.now += 5 * Second
		none[Move](t, w.do(Note{ID: 2, Server: s.Server, Kind: NoteShare, Value: 0.7}))
	}
}

// Hundreds of fronts moved sessions to holders that none had heard of, and on again from there.
func TestNoMoveToAHolderUnheardOf(t *testing.T) {
	w := newWorld(t, settings())
	for id := uint64(1); id <= 9; id++ {
		w.do(Handed{Ask: w.ask(id, 0), Server: 1})
		w.do(Note{ID: id, Server: 1, Kind: NoteRung, Value: 3})
	}
	for i := 0; i < 4; i++ {
		w.now += Second
		none[Move](t, w.do(Note{ID: 9, Server: 1, Kind: NoteShare, Value: 0.85}))
	}
	w.use(2, 0.3, 0.3)
	one[Move](t, w.do(Note{ID: 9, Server: 1, Kind: NoteShare, Value: 0.85}))
}

func TestShortNoteLowersRungsByWhatIsMissing(t *testing.T) {
	w := newWorld(t, settings())
	for id := uint64(1); id <= 5; id++ {
		w.do(Handed{Ask: w.ask(id, 0), Server: 1})
		w.do(Note{ID: id, Server: 1, Kind: NoteRung, Value: 2})
	}
	if n := len(of[Rate](w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.99}))); n != 0 {
		t.Fatal("lowered though all is delivered")
	}
	w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})
	if own := w.f.fleet.get(1).link.own; own > 800 || own < 500 {
		t.Fatalf("own rate %.0f after lowering, want about 760 of 1000", own)
	}
	w.now += Second
	none[Rate](t, w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})) // still the old news
}

// One server's short link was booked on its uplink, and the whole rack was kept out.
func TestShortNotesAreTheUplinksOnlyWhenServersAreShortAlike(t *testing.T) {
	w := newWorld(t, settings())
	for id := uint32(1); id <= 3; id += 2 { // both in one rack
		w.do(Handed{Ask: w.ask(uint64(id), 0), Server: id})
		w.use(id, 0.5, 0.8)
	}
	up := &w.f.racks[0].meter
	w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})
	if up.use > 1 || w.f.fleet.get(1).link.use < 1.2 {
		t.Fatalf("one short server: uplink %.2f, link %.2f", up.use, w.f.fleet.get(1).link.use)
	}
	w.now += 200 * Millisecond
	w.do(Note{ID: 3, Server: 3, Kind: NoteShare, Value: 0.82})
	if up.use < 1.2 || w.f.fleet.get(3).link.use > 1 {
		t.Fatalf("two short alike: uplink %.2f, link %.2f", up.use, w.f.fleet.get(3).link.use)
	}
}

// Early sessions took the top rungs and left the floor, or nothing, to those who came later.
func TestHigherRungsLeaveSpareForLaterSessions(t *testing.T) {
	set := settings()
	set.Classes[0].Top = 2
	w := newWorld(t, set)
	a := w.ask(1, 0)
	a.Copies, a.Hinted, a.Length = 1, true, 30*Second // not started: lasts its whole hint
	w.use(1, 0.7, 0.3)
	// One session at the floor: the highest rung that fits (2, of 200 kB) would leave nothing.
	w.do(Handed{Ask: w.ask(9, 0), Server: 1})
	w.use(1, 0.7, 0.3)
	one[Send](t, w.do(Request{a}))
	if got := w.f.byID[1].rung; got != 1 {
		t.Fatalf("rung %d among low ones, want 1", got)
	}
	// Among sessions at the top it need not leave more than they do.
	w = newWorld(t, set)
	w.do(Handed{Ask: w.ask(10, 0), Server: 1})
	w.do(Note{ID: 10, Server: 1, Kind: NoteRung, Value: 3})
	w.now += Second
	w.use(1, 0.7, 0.3)
	w.use(1, 0.7, 0.3)
	one[Send](t, w.do(Request{a}))
	if got := w.f.byID[1].rung; got != 2 {
		t.Fatalf("rung %d among high ones, want 2", got)
	}
}

func TestLastingSpareRaisesARung(t *testing.T) {
	w := newWorld(t, settings())
	w.do(Handed{Ask: w.ask(1, 0), Server: 1})
	w.now += 10 * Second
	w.use(1, 0.2, 0.2)
	r := one[Rate](t, w.run(Second))
	if r.ID != 1 || r.Rung != 3 {
		t.Fatalf("%v", r)
	}
	w.use(1, 0.2, 0.2)
	none[Rate](t, w.run(Second)) // at the top
	w = newWorld(t, settings())
	w.do(Handed{Ask: w.ask(1, 0), Server: 1})
	w.use(1, 0.85, 0.2)
	none[Rate](t, w.run(Second)) // no spare under the mark
}

// One of hundreds of fronts has too small a part of the spare for a whole rung; all together still take it.
func TestHundredsOfFrontsRaiseIntoTheSpareTogether(t *testing.T) {
	set := settings()
	set.Fleet = 200
	raised := 0.0
	const fronts = 400
	for seed := uint64(1); seed <= fronts; seed++ {
		w := &world{t: t, f: New(set, seed), now: start}
		w.do(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2)}})
		w.do(Handed{Ask: w.ask(1, 0), Server: 1})
		w.do(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 1})
		w.now += 10 * Second
		w.use(1, 0.5, 0.25) // one of five such sessions on the link
		for _, r := range of[Rate](w.run(3 * Second)) {
			raised += set.RungKB[r.Rung] - 100
		}
	}
	// Five such fronts, with 350 kB a second of spare between them under the mark.
	if five := raised / fronts * 5; five < 35 || five > 350 {
		t.Fatalf("five fronts raise by %.0f kB a second", five)
	}
}

// A link that is a tenth short wants a tenth less of each front, not a rung less of every front.
func TestHundredsOfFrontsLowerByWhatIsMissing(t *testing.T) {
	set := settings()
	set.Fleet = 200
	lowered := 0
	const fronts = 400
	for seed := uint64(1); seed <= fronts; seed++ {
		w := &world{t: t, f: New(set, seed), now: start}
		w.do(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2)}})
		w.do(Handed{Ask: w.ask(1, 0), Server: 1})
		w.do(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 1})
		w.now += 10 * Second
		w.use(1, 1.1, 0.5)
		lowered += len(of[Rate](w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.9})))
	}
	if part := float64(lowered) / fronts; part < 0.15 || part > 0.6 {
		t.Fatalf("%.2f of the fronts lower their session to the half, want about 0.3", part)
	}
}

// What rests on a guess leaves spare: the same holder, heard of a moment ago at the same use, gets more.
func TestAGuessLeavesSpare(t *testing.T) {
	rung := func(told bool) int {
		w := newWorld(t, settings())
		w.f.mean = 0.5
		for id := uint32(1); told && id <= 4; id++ {
			w.use(id, 0.5, 0.5)
		}
		one[Send](t, w.do(Request{w.ask(1, 0)}))
		return w.f.byID[1].rung
	}
	if guess, known := rung(false), rung(true); guess >= known || known < 1 {
		t.Fatalf("rung %d by a guess, %d by a report", guess, known)
	}
}

// Raises spent the probes that choices needed; where notes tell the use a raise needs none.
func TestRaisesLeaveProbesForChoices(t *testing.T) {
	probes := func(tell Time, saved float64) int {
		set := settings()
		set.MayProbe, set.Inline, set.TellEvery = true, tell > 0, tell
		w := newWorld(t, set)
		w.do(Handed{Ask: w.ask(1, 0), Server: 1})
		w.f.probes = saved
		w.now += 10 * Second
		return len(of[Probe](w.run(2 * Second)))
	}
	if probes(0, lookAt) != 0 || probes(3*Second, probesMost) != 0 || probes(0, probesMost) == 0 {
		t.Fatal(probes(0, lookAt), probes(3*Second, probesMost), probes(0, probesMost))
	}
}

// In a crowd short notes are the newest news of servers that no report has told of.
func TestAShortNoteThatLowersRungsCountsForTheMean(t *testing.T) {
	w := newWorld(t, settings())
	w.do(Handed{Ask: w.ask(1, 0), Server: 1})
	w.do(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 3})
	w.now += 10 * Second
	before := w.f.mean
	w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8})
	once := w.f.mean
	w.do(Note{ID: 1, Server: 1, Kind: NoteShare, Value: 0.8}) // still the old news
	if once <= before || w.f.mean != once {
		t.Fatalf("mean %.3f, %.3f, %.3f", before, once, w.f.mean)
	}
}

// Answers get lost while the work runs: a paid set-up is never sent again nor refused, its server is left to
// others for a while, and a safe one goes on to the next holder.
func TestALostAnswerFailsThePaidAndMovesOnTheSafe(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.2)
	paid := one[Send](t, w.do(Request{w.ask(1, 1)}))
	acts := w.end(1, 0, paid.Server, TimedOut)
	one[Fail](t, acts)
	none[Refuse](t, acts)
	none[Send](t, append(acts, w.run(2*tick)...))
	safe := one[Send](t, w.do(Request{w.ask(2, 0)}))
	if safe.Server == paid.Server {
		t.Fatal("sent where an answer was just lost")
	}
	acts = w.end(2, 0, safe.Server, TimedOut)
	if next := one[Send](t, acts); next.Server == safe.Server || next.Server == paid.Server {
		t.Fatalf("sent to %d again", next.Server)
	}
	w.do(Probed{Server: safe.Server, Report: []float64{0.1, 0.1}}) // probes are answered all the while
	for _, s := range of[Send](w.do(Request{w.ask(3, 1)})) {
		if s.Server == safe.Server || s.Server == paid.Server {
			t.Fatalf("a paid set-up went to %d on a probe's word", s.Server)
		}
	}
}

// The sums of rungs that a server keeps are those of its sessions, whatever became of them.
func TestKeptSumsOfRungsAreThoseOfTheSessions(t *testing.T) {
	w := newWorld(t, settings())
	check := func() {
		for _, v := range w.f.fleet.order {
			sum := 0
			for _, s := range v.held {
				sum += s.rung
			}
			if sum != v.rungs {
				t.Fatalf("server %d keeps %d, its sessions have %d", v.Server, v.rungs, sum)
			}
		}
	}
	for id := uint64(1); id < 120; id++ {
		for _, s := range of[Send](w.do(Request{w.ask(id, int(id%2))})) {
			switch id % 5 {
			case 0:
				w.do(Outcome{ID: id, Server: s.Server, Status: ResetConn})
			case 1:
				w.do(Playing{ID: id, Server: s.Server})
				w.do(Note{ID: id, Server: s.Server, Kind: NoteRung, Value: 1})
			case 2:
				w.do(Playing{ID: id, Server: s.Server})
				w.do(Note{ID: id, Server: s.Server, Kind: NoteShare, Value: 0.6})
			case 3:
				w.do(Playing{ID: id, Server: s.Server})
				w.do(Outcome{ID: id, Server: s.Server, Status: OK, Final: true})
			default:
				w.do(Gone{id})
			}
			check()
		}
		w.run(50 * Millisecond)
		check()
	}
}

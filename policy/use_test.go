package policy

import (
	"testing"
)

func TestUplinkNearFullKeepsItsRackOut(t *testing.T) {
	w := newWorld(t, settings())
	w.use(1, 0.1, 0.95) // rack of servers 1 and 3
	w.use(2, 0.5, 0.3)
	if s := one[Send](t, w.do(Request{w.ask(1, 0)})); s.Server != 2 && s.Server != 4 {
		t.Fatalf("sent to %d in a rack whose uplink is full", s.Server)
	}
}

func TestHeldRequestProbesWhatKeepsItWaiting(t *testing.T) {
	set := settings()
	set.MayProbe, set.Inline = true, false
	w := newWorld(t, set)
	w.useAll(0.99)
	w.now += 2 * Second
	if n := len(of[Probe](w.do(Request{w.ask(1, 0)}))); n == 0 {
		t.Fatal("old reports keep a request waiting and none is probed")
	}
	set.MayProbe = false
	w = newWorld(t, set)
	w.useAll(0.99)
	w.now += 2 * Second
	none[Probe](t, w.do(Request{w.ask(1, 0)}))
}

func TestUseIsScaledByFleetWithoutAReport(t *testing.T) {
	set := settings()
	set.Fleet = 3
	w := newWorld(t, set)
	w.do(Handed{Ask: w.ask(1, 0), Server: 1})
	w.do(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 2})
	if got := w.f.load(&w.f.fleet.get(1).link); got < 0.59 || got > 0.61 {
		t.Fatalf("use %.2f, want 0.6", got)
	}
}

// A restarted front took servers that it had not heard from for idle and gave out top rungs.
func TestUnheardServersCountAsTheFleetsAverage(t *testing.T) {
	set := settings()
	set.Fleet = 3
	w := newWorld(t, set)
	for n := 0; n < 20; n++ {
		w.use(1, 0.75, 0.3)
		w.use(3, 0.75, 0.3)
	}
	a := w.ask(1, 0)
	a.Home, a.Copies = 1, 1
	w.do(Request{a})
	if s := w.f.byID[1]; s.rung > 1 {
		t.Fatalf("rung %d on a server not heard from while the others are full", s.rung)
	}
}

func TestAnUplinkNotHeardOfCarriesItsServers(t *testing.T) {
	set := settings()
	set.Fields = []Field{FieldUtil}
	w := newWorld(t, set)
	for id := uint32(1); id <= 4; id++ {
		w.do(Probed{Server: id, Report: []float64{0.5}})
	}
	if got := w.f.load(&w.f.racks[0].meter); got < 0.49 || got > 0.51 {
		t.Fatalf("uplink use %.2f, want the 0.5 of its two servers", got)
	}
}

// Guesses of 1.2 on old reports refused viewers: the other fronts keep to the mark as this one does.
// With six fronts each filled the same room at once, and all uplinks ran short (incident i7c5a69).
func TestOwnAdditionsSinceAReportCountForTheOtherFrontsToo(t *testing.T) {
	room := func(fleet int) float64 {
		set := settings()
		set.Fleet = fleet
		w := newWorld(t, set)
		w.now += 10 * Second
		w.useAll(0.3)
		w.now += Second
		w.place(1, 0)
		return w.f.load(&w.f.byID[1].at.link)
	}
	if alone, six := room(1), room(6); six < alone+0.1 || six > mark+1e-9 {
		t.Fatalf("estimated use %.2f alone, %.2f beside five others", alone, six)
	}
}

// A choice among busy holders rested on reports of 5 to 20 s.
func TestAChoiceAmongBusyHoldersLooksFirst(t *testing.T) {
	set := settings()
	set.MayProbe, set.Inline = true, false
	w := newWorld(t, set)
	w.useAll(0.75)
	w.now += 4 * Second
	acts := w.do(Request{w.ask(1, 0)})
	none[Send](t, acts)
	looks := of[Probe](acts)
	if len(looks) != lookAt {
		t.Fatalf("%d looks", len(looks))
	}
	w.use(looks[0].Server, 0.2, 0.2)
	for _, l := range looks[1:] {
		w.use(l.Server, 0.8, 0.8)
	}
	if s := one[Send](t, w.run(tick)); s.Server != looks[0].Server {
		t.Fatalf("sent to %d, want the one that proved free", s.Server)
	}
	w = newWorld(t, set)
	w.useAll(0.1)
	w.now += 4 * Second
	one[Send](t, w.do(Request{w.ask(1, 0)})) // plenty of room: no look
	set.Inline = true
	w = newWorld(t, set)
	w.useAll(0.75)
	w.now += 4 * Second
	one[Send](t, w.do(Request{w.ask(1, 0)})) // reports come with answers: no look
}

// Sessions handed over at the floor stayed there beside idle links, as nothing was known of these.
func TestANewFrontLooksAtServersThatItsSessionsCouldRiseOn(t *testing.T) {
	set := settings()
	set.MayProbe, set.Inline = true, false
	w := newWorld(t, set)
	for id := uint32(1); id <= 4; id++ {
		w.do(Handed{Ask: w.ask(uint64(id), 0), Server: id})
	}
	w.now += 10 * Second
	if n := len(of[Probe](w.run(Second))); n != 4 {
		t.Fatalf("%d looks at 4 servers with sessions", n)
	}
}

// Where answers report, one of hundreds of fronts hears of most servers never: it looks before it chooses.
func TestUnheardHoldersAreLookedAtWhereAnswersReport(t *testing.T) {
	set := settings()
	set.Fleet, set.MayProbe = 200, true
	w := newWorld(t, set)
	w.f.mean = 0.7
	acts := w.do(Request{w.ask(1, 0)})
	none[Send](t, acts)
	looks := of[Probe](acts)
	if len(looks) != lookAt {
		t.Fatalf("%v", looks)
	}
	w.do(Probed{Server: looks[0].Server, Report: []float64{0.8, 0.1}})
	w.do(Probed{Server: looks[1].Server, Report: []float64{0.3, 0.1}})
	if s := one[Send](t, w.run(tick)); s.Server != looks[1].Server {
		t.Fatalf("%v, not the emptier of %v", s, looks)
	}
	// Holders heard of a moment ago need no look.
	w.useAll(0.7)
	none[Probe](t, w.do(Request{w.ask(2, 0)}))
}

// One session of its own, times hundreds of fronts, filled every server that a front used: it refused beside idle links.
func TestOneSessionOfHundredsOfFrontsFillsNoServer(t *testing.T) {
	use := func(fleet int, heard bool) float64 {
		set := settings()
		set.Fleet, set.WeightKB, set.RackKB = fleet, 20_000, 80_000
		w := newWorld(t, set)
		if heard {
			w.now += 10 * Second
			w.useAll(0.3)
			w.now += Second
		}
		w.do(Handed{Ask: w.ask(1, 0), Server: 1})
		w.do(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 3})
		return w.f.load(&w.f.fleet.get(1).link)
	}
	for _, heard := range []bool{true, false} {
		if few, many := use(6, heard), use(300, heard); many > mark-0.1 || many <= few {
			t.Errorf("heard %v: use %.2f of six fronts, %.2f of 300", heard, few, many)
		}
	}
}

// At eight times the price three hundred fronts paid a tenth of what they earned for looks.
func TestADearProbeIsEarnedMoreSeldom(t *testing.T) {
	set := settings()
	set.PriceProbe = 0.08
	w := newWorld(t, set)
	w.f.probes = 0
	for id := range uint64(20) {
		w.do(Request{w.ask(id+1, 0)})
	}
	if paid := w.f.probes / 20 * set.PriceProbe; paid > probeCost+1e-9 || paid < probeCost/2 {
		t.Fatalf("probes for %.3f of the result, %.3f at most", paid, probeCost)
	}
}

// Viewers who come again and again to a full fleet must not each pay for a look.
func TestOnlyFirstTriesEarnProbes(t *testing.T) {
	w := newWorld(t, settings())
	w.f.probes = 0
	a := w.ask(1, 0)
	a.Again = true
	w.do(Request{a})
	if w.f.probes != 0 {
		t.Fatalf("%v probes", w.f.probes)
	}
	w.do(Request{w.ask(2, 0)})
	if w.f.probes != probeEach {
		t.Fatalf("%v probes", w.f.probes)
	}
}

// Hundreds of fronts with twenty probes each at their start paid for more probes than there were sessions.
func TestSessionsHandedOverEarnTheProbesOfTheStart(t *testing.T) {
	w := newWorld(t, settings())
	if w.f.probes != probesStart {
		t.Fatalf("%v probes at the start", w.f.probes)
	}
	for id := uint64(1); id <= 30; id++ {
		w.do(Handed{Ask: w.ask(id, 0), Server: 1})
	}
	if w.f.probes != probesMost {
		t.Fatalf("%v probes after 30 sessions", w.f.probes)
	}
}

// Where uplinks are not reported, one of hundreds of fronts left spare for them beside its guesses of the servers.
func TestAnUnreportedUplinkIsAGuessAsFarAsItsServersAreHeardOf(t *testing.T) {
	set := settings()
	set.Fields = []Field{FieldUtil}
	w := newWorld(t, set)
	m := &w.f.fleet.get(1).rack.meter // of servers 1 and 3
	if g := w.f.guess(m); g != 0 {
		t.Fatalf("guess %.2f with no server heard of", g)
	}
	w.do(Probed{Server: 1, Report: []float64{0.5}})
	one := w.f.guess(m)
	w.do(Probed{Server: 3, Report: []float64{0.5}})
	if both := w.f.guess(m); one < 0.4 || one > 0.5 || both < 0.9 {
		t.Fatalf("guess %.2f and %.2f with one and both heard of", one, both)
	}
}

// Servers taken away in waves went on counting for an unreported uplink, beside their replacements.
func TestServersThatLeftTheListAskNothingOfTheirUplink(t *testing.T) {
	set := settings()
	set.Fields = []Field{FieldUtil}
	w := newWorld(t, set)
	for _, v := range w.f.fleet.order {
		w.do(Probed{Server: v.Server, Report: []float64{0.6}})
	}
	before := w.f.load(&w.f.racks[0].meter)
	gone, fresh := entry(1), entry(5)
	gone.Health, fresh.Cell = Removed, 0
	w.do(List{Kind: ListDelta, Entries: []Entry{gone}})
	if l := w.f.load(&w.f.racks[0].meter); l > before*0.6 {
		t.Fatalf("load %.2f after one of two left, %.2f before", l, before)
	}
	w.do(List{Kind: ListDelta, Entries: []Entry{fresh}})
	w.do(Probed{Server: 5, Report: []float64{0.6}})
	if l := w.f.load(&w.f.racks[0].meter); l < before*0.9 || l > before*1.1 {
		t.Fatalf("load %.2f with the replacement, %.2f before", l, before)
	}
}

// Uplinks are filled otherwise than links: one not heard of was taken for as empty as the links.
func TestAnUplinkNotHeardOfIsTakenForTheMeanOfUplinks(t *testing.T) {
	set := settings()
	set.Racks, set.Cells = 3, 6
	w := newWorld(t, set)
	last := entry(6) // the only one in its rack
	last.Cell = 5
	w.do(List{Kind: ListDelta, Entries: []Entry{last}})
	for i := 0; i < 30; i++ {
		w.use(1, 0.2, 0.9)
		w.use(2, 0.2, 0.9)
	}
	v := w.f.fleet.get(6)
	if link, up := w.f.load(&v.link), w.f.load(&v.rack.meter); link > 0.3 || up < 0.8 {
		t.Fatalf("link %.2f, uplink %.2f", link, up)
	}
}

package policy

import (
	"testing"
)

func TestFullUplinkExcludesItsRack(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUse(1, 0.1, 0.95) // rack of servers 1 and 3
	w.reportUse(2, 0.5, 0.3)
	if s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)})); s.Server != 2 && s.Server != 4 {
		t.Fatalf("sent to %d in a rack whose uplink is full", s.Server)
	}
}

func TestHeldRequestProbesServersWithOldReports(t *testing.T) {
	cfg := settings()
	cfg.MayProbe, cfg.InlineReports = true, false
	w := newWorld(t, cfg)
	w.reportUseAll(0.99)
	w.now += 2 * Second
	if n := len(actionsOf[Probe](w.handle(Request{w.newRequest(1, 0)}))); n == 0 {
		t.Fatal("old reports keep a request waiting and none is probed")
	}
	cfg.MayProbe = false
	w = newWorld(t, cfg)
	w.reportUseAll(0.99)
	w.now += 2 * Second
	mustHaveNone[Probe](t, w.handle(Request{w.newRequest(1, 0)}))
}

func TestUseIsScaledByFrontsWithoutReport(t *testing.T) {
	cfg := settings()
	cfg.Fronts = 3
	w := newWorld(t, cfg)
	w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
	w.handle(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 2})
	if got := w.front.estimatedUse(&w.front.fleet.get(1).link); got < 0.59 || got > 0.61 {
		t.Fatalf("use %.2f, want 0.6", got)
	}
}

// A restarted front treated servers without a report as idle and assigned top rungs.
func TestServersWithoutReportsCountAsMeanUse(t *testing.T) {
	cfg := settings()
	cfg.Fronts = 3
	w := newWorld(t, cfg)
	for n := 0; n < 20; n++ {
		w.reportUse(1, 0.75, 0.3)
		w.reportUse(3, 0.75, 0.3)
	}
	a := w.newRequest(1, 0)
	a.Home, a.Copies = 1, 1
	w.handle(Request{a})
	if s := w.front.byID[1]; s.rung > 1 {
		t.Fatalf("rung %d on a server without a report while the others are full", s.rung)
	}
}

func TestUnreportedUplinkCarriesItsServersUse(t *testing.T) {
	cfg := settings()
	cfg.Fields = []Field{FieldUtil}
	w := newWorld(t, cfg)
	for id := uint32(1); id <= 4; id++ {
		w.handle(Probed{Server: id, Report: []float64{0.5}})
	}
	if got := w.front.estimatedUse(&w.front.racks[0].meter); got < 0.49 || got > 0.51 {
		t.Fatalf("uplink use %.2f, want the 0.5 of its two servers", got)
	}
}

// With six fronts each filled the same spare capacity at once, and all uplinks ran short (incident
// i7c5a69). An estimate of 1.2 from old reports refused viewers instead: it is limited to maxUse, which the
// other fronts keep to as well.
func TestOwnAdditionsSinceReportCountForOtherFronts(t *testing.T) {
	estimate := func(fronts int) float64 {
		cfg := settings()
		cfg.Fronts = fronts
		w := newWorld(t, cfg)
		w.now += 10 * Second
		w.reportUseAll(0.3)
		w.now += Second
		w.start(1, 0)
		return w.front.estimatedUse(&w.front.byID[1].server.link)
	}
	if alone, six := estimate(1), estimate(6); six < alone+0.1 || six > maxUse+1e-9 {
		t.Fatalf("estimated use %.2f with one front, %.2f with six", alone, six)
	}
}

// A choice among busy holders used reports that were 5 to 20 s old.
func TestChoiceAmongBusyHoldersProbesFirst(t *testing.T) {
	cfg := settings()
	cfg.MayProbe, cfg.InlineReports = true, false
	w := newWorld(t, cfg)
	w.reportUseAll(0.75)
	w.now += 4 * Second
	actions := w.handle(Request{w.newRequest(1, 0)})
	mustHaveNone[Send](t, actions)
	probes := actionsOf[Probe](actions)
	if len(probes) != probesPerChoice {
		t.Fatalf("%d probes", len(probes))
	}
	w.reportUse(probes[0].Server, 0.2, 0.2)
	for _, l := range probes[1:] {
		w.reportUse(l.Server, 0.8, 0.8)
	}
	if s := onlyOne[Send](t, w.run(tickInterval)); s.Server != probes[0].Server {
		t.Fatalf("sent to %d, want the server that the probe showed to be free", s.Server)
	}
	w = newWorld(t, cfg)
	w.reportUseAll(0.1)
	w.now += 4 * Second
	onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)})) // enough spare capacity: no probe
	cfg.InlineReports = true
	w = newWorld(t, cfg)
	w.reportUseAll(0.75)
	w.now += 4 * Second
	onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)})) // outcomes carry reports: no probe
}

// Restored sessions at the floor were not raised although the links were idle, as there were no reports.
func TestNewFrontProbesServersForRaises(t *testing.T) {
	cfg := settings()
	cfg.MayProbe, cfg.InlineReports = true, false
	w := newWorld(t, cfg)
	for id := uint32(1); id <= 4; id++ {
		w.handle(Restored{SessionSpec: w.newRequest(uint64(id), 0), Server: id})
	}
	w.now += 10 * Second
	if n := len(actionsOf[Probe](w.run(Second))); n != 4 {
		t.Fatalf("%d probes of 4 servers with sessions", n)
	}
}

// If reports come only with outcomes, one of hundreds of fronts has none of most servers: it probes before
// a choice.
func TestHoldersWithoutReportsAreProbedWithInlineReports(t *testing.T) {
	cfg := settings()
	cfg.Fronts, cfg.MayProbe = 200, true
	w := newWorld(t, cfg)
	w.front.meanUse = 0.7
	actions := w.handle(Request{w.newRequest(1, 0)})
	mustHaveNone[Send](t, actions)
	probes := actionsOf[Probe](actions)
	if len(probes) != probesPerChoice {
		t.Fatalf("%v", probes)
	}
	w.handle(Probed{Server: probes[0].Server, Report: []float64{0.8, 0.1}})
	w.handle(Probed{Server: probes[1].Server, Report: []float64{0.3, 0.1}})
	if s := onlyOne[Send](t, w.run(tickInterval)); s.Server != probes[1].Server {
		t.Fatalf("%v, not the less used of %v", s, probes)
	}
	// Holders with recent reports need no probe.
	w.reportUseAll(0.7)
	mustHaveNone[Probe](t, w.handle(Request{w.newRequest(2, 0)}))
}

// One own session, multiplied by hundreds of fronts, made a server look full: the front refused requests
// although links were idle.
func TestOneSessionOfHundredsOfFrontsDoesNotFillServer(t *testing.T) {
	use := func(fronts int, reported bool) float64 {
		cfg := settings()
		cfg.Fronts, cfg.WeightKB, cfg.RackKB = fronts, 20_000, 80_000
		w := newWorld(t, cfg)
		if reported {
			w.now += 10 * Second
			w.reportUseAll(0.3)
			w.now += Second
		}
		w.handle(Restored{SessionSpec: w.newRequest(1, 0), Server: 1})
		w.handle(Note{ID: 1, Server: 1, Kind: NoteRung, Value: 3})
		return w.front.estimatedUse(&w.front.fleet.get(1).link)
	}
	for _, reported := range []bool{true, false} {
		if few, many := use(6, reported), use(300, reported); many > maxUse-0.1 || many <= few {
			t.Errorf("reported %v: use %.2f with six fronts, %.2f with 300", reported, few, many)
		}
	}
}

// At eight times the price, three hundred fronts paid a tenth of their earnings for probes.
func TestHigherProbePriceEarnsFewerProbes(t *testing.T) {
	cfg := settings()
	cfg.PriceProbe = 0.08
	w := newWorld(t, cfg)
	w.front.probeTokens = 0
	for id := range uint64(20) {
		w.handle(Request{w.newRequest(id+1, 0)})
	}
	if cost := w.front.probeTokens / 20 * cfg.PriceProbe; cost > maxProbeCost+1e-9 || cost < maxProbeCost/2 {
		t.Fatalf("probes cost %.3f of the result, at most %.3f allowed", cost, maxProbeCost)
	}
}

// Repeated requests to a full fleet must not earn probes.
func TestOnlyFirstTriesEarnProbes(t *testing.T) {
	w := newWorld(t, settings())
	w.front.probeTokens = 0
	a := w.newRequest(1, 0)
	a.Again = true
	w.handle(Request{a})
	if w.front.probeTokens != 0 {
		t.Fatalf("%v probes", w.front.probeTokens)
	}
	w.handle(Request{w.newRequest(2, 0)})
	if w.front.probeTokens != probesPerRequest {
		t.Fatalf("%v probes", w.front.probeTokens)
	}
}

// Hundreds of fronts that started with twenty probes each paid for more probes than there were sessions.
func TestRestoredSessionsEarnProbes(t *testing.T) {
	w := newWorld(t, settings())
	if w.front.probeTokens != initialProbes {
		t.Fatalf("%v probes at the start", w.front.probeTokens)
	}
	for id := uint64(1); id <= 30; id++ {
		w.handle(Restored{SessionSpec: w.newRequest(id, 0), Server: 1})
	}
	if w.front.probeTokens != maxProbes {
		t.Fatalf("%v probes after 30 sessions", w.front.probeTokens)
	}
}

// Without reports of uplinks, one of hundreds of fronts left a reserve for them besides the one for its
// servers.
func TestUnreportedUplinkUncertaintyFollowsItsServers(t *testing.T) {
	cfg := settings()
	cfg.Fields = []Field{FieldUtil}
	w := newWorld(t, cfg)
	m := &w.front.fleet.get(1).rack.meter // of servers 1 and 3
	if g := w.front.uncertainty(m); g != 0 {
		t.Fatalf("uncertainty %.2f with no report", g)
	}
	w.handle(Probed{Server: 1, Report: []float64{0.5}})
	oneReported := w.front.uncertainty(m)
	w.handle(Probed{Server: 3, Report: []float64{0.5}})
	if bothReported := w.front.uncertainty(m); oneReported < 0.4 || oneReported > 0.5 || bothReported < 0.9 {
		t.Fatalf("uncertainty %.2f and %.2f with one and both servers reported", oneReported, bothReported)
	}
}

// Servers removed in groups still counted for an unreported uplink, besides their replacements.
func TestRemovedServersDoNotLoadTheirUplink(t *testing.T) {
	cfg := settings()
	cfg.Fields = []Field{FieldUtil}
	w := newWorld(t, cfg)
	for _, v := range w.front.fleet.servers {
		w.handle(Probed{Server: v.Server, Report: []float64{0.6}})
	}
	before := w.front.estimatedUse(&w.front.racks[0].meter)
	removed, replacement := entry(1), entry(5)
	removed.Health, replacement.Cell = Removed, 0
	w.handle(List{Kind: ListDelta, Entries: []Entry{removed}})
	if l := w.front.estimatedUse(&w.front.racks[0].meter); l > before*0.6 {
		t.Fatalf("use %.2f after one of two servers was removed, %.2f before", l, before)
	}
	w.handle(List{Kind: ListDelta, Entries: []Entry{replacement}})
	w.handle(Probed{Server: 5, Report: []float64{0.6}})
	if l := w.front.estimatedUse(&w.front.racks[0].meter); l < before*0.9 || l > before*1.1 {
		t.Fatalf("use %.2f with the replacement, %.2f before", l, before)
	}
}

// Uplinks differ from links in use: an uplink without a report was estimated as low as the links.
func TestUplinkWithoutReportCountsAsMeanUplinkUse(t *testing.T) {
	cfg := settings()
	cfg.Racks, cfg.Cells = 3, 6
	w := newWorld(t, cfg)
	last := entry(6) // the only one in its rack
	last.Cell = 5
	w.handle(List{Kind: ListDelta, Entries: []Entry{last}})
	for i := 0; i < 30; i++ {
		w.reportUse(1, 0.2, 0.9)
		w.reportUse(2, 0.2, 0.9)
	}
	v := w.front.fleet.get(6)
	if link, uplink := w.front.estimatedUse(&v.link),
		w.front.estimatedUse(&v.rack.meter); link > 0.3 || uplink < 0.8 {
		t.Fatalf("link %.2f, uplink %.2f", link, uplink)
	}
}

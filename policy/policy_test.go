package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// world drives one front directly and keeps its latest actions.
type world struct {
	t       *testing.T
	front   *Front
	now     Time
	actions []Action
}

const startTime = 1000 * Second

// settings returns settings for 4 servers of 1000 kB a second in 4 cells and 2 racks, a ladder of 4 rungs,
// a safe and a paid class.
func settings() Settings {
	return Settings{Fronts: 1, Classes: []Class{
		{SetupTarget: Second, Deadline: 4 * Second, Worth: 1, Scale: 1, Top: 3},
		{SetupTarget: Second, Deadline: 3 * Second, Worth: 2, Scale: 1, Top: 3, Paid: true}},
		RungKB: []float64{50, 100, 200, 400}, RungWorth: []float64{0.2, 0.5, 0.8, 1},
		FleetKB: 4000, RackKB: 2000, WeightKB: 1000, Racks: 2, Cells: 4, KindSlots: []float64{40},
		NoteDelay: Second / 2, StallCost: 8, ChangeCost: 0.5, ExtraViewerCost: 1,
		Fields: []Field{FieldLink, FieldUplink}, InlineReports: true, MaxAttempts: 4, RetryAfter: true,
		MaxRetryAfter: 2 * Second, DrainGrace: Second / 4}
}

func entry(id uint32) Entry { return Entry{Server: id, Cell: int(id) - 1, Size: 1} }

// newWorld returns a world whose front has a list of 4 servers.
func newWorld(t *testing.T, cfg Settings) *world {
	w := &world{t: t, front: New(cfg, 1), now: startTime}
	w.handle(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2), entry(3), entry(4)}})
	return w
}

// handle passes an event to the front and returns its actions.
func (w *world) handle(ev Event) []Action {
	w.actions = w.front.Handle(w.now, ev)
	return w.actions
}

// run advances the time, with the timers of housekeeping and held requests, and returns all actions.
func (w *world) run(d Time) (all []Action) {
	for end := w.now + d; w.now < end; {
		w.now += tickInterval
		all = append(all, w.handle(TimerFired{tokenTick})...)
		all = append(all, w.handle(TimerFired{tokenHeld})...)
	}
	return all
}

func (w *world) newRequest(id uint64, class int) SessionSpec {
	return SessionSpec{ID: id, Title: 7, Viewer: id, Class: class, Home: 0, Copies: 4, Top: 3,
		Deadline: w.now + 3*Second}
}

// actionsOf returns the actions of a type.
func actionsOf[T any](actions []Action) (out []T) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// onlyOne returns the only action of a type; the test fails if there is none or more than one.
func onlyOne[T any](t *testing.T, actions []Action) T {
	t.Helper()
	matches := actionsOf[T](actions)
	if len(matches) != 1 {
		t.Fatalf("want one %T, got %v", *new(T), actions)
	}
	return matches[0]
}

// mustHaveNone fails the test if there is an action of a type.
func mustHaveNone[T any](t *testing.T, actions []Action) {
	t.Helper()
	if matches := actionsOf[T](actions); len(matches) > 0 {
		t.Fatalf("want no %T, got %v", *new(T), actions)
	}
}

// start places a request, starts its session and returns the server.
func (w *world) start(id uint64, class int) uint32 {
	w.t.Helper()
	s := onlyOne[Send](w.t, w.handle(Request{w.newRequest(id, class)}))
	w.handle(Playing{ID: id, Server: s.Server})
	return s.Server
}

// reportUse passes a load report of a server to the front.
func (w *world) reportUse(server uint32, link, uplink float64) {
	w.handle(Probed{Server: server, Report: []float64{link, uplink}})
}

// reportUseAll passes the same load report for all servers.
func (w *world) reportUseAll(link float64) {
	for id := uint32(1); id <= 4; id++ {
		w.reportUse(id, link, link)
	}
}

// finish ends an attempt or a session with a status.
func (w *world) finish(id uint64, attempt int, server uint32, st Status) []Action {
	return w.handle(Outcome{ID: id, Attempt: attempt, Server: server, Status: st})
}

// A server that refused all set-ups as full kept its low report and was tried first by every request.
func TestFullOutcomeCountsAsReport(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.3)
	w.now += 2 * Second
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	w.finish(1, 0, s.Server, Full)
	a := w.newRequest(2, 0)
	a.Home, a.Copies = int(s.Server)-1, 1
	mustHaveNone[Send](t, w.handle(Request{a}))
}

func TestRemovedServerWithSessions(t *testing.T) {
	w := newWorld(t, settings())
	v := w.start(1, 0)
	w.handle(List{Kind: ListDelta, Entries: []Entry{{Server: v, Cell: int(v) - 1, Size: 1, Health: Removed}}})
	actions := w.finish(1, 0, v, ConnReset)
	mustHaveNone[Send](t, actions)
	mustHaveNone[Refuse](t, actions)
	if got := w.start(2, 0); got == v {
		t.Fatal("sent to a removed server")
	}
}

// coldSettings adds slow start to settings.
func coldSettings() Settings {
	cfg := settings()
	cfg.WarmupTime, cfg.OverloadWindow, cfg.ColdCapacity, cfg.OverloadFactor, cfg.Fronts =
		10*Second, 3*Second, 0.4, 3, 2
	return cfg
}

// sendsIn counts the set-ups sent to one server in a duration; each session starts and ends at once.
func (w *world) sendsIn(d Time, server uint32) (n int) {
	for end, id := w.now+d, uint64(w.now); w.now < end; w.now += 50 * Millisecond {
		id++
		a := w.newRequest(id, 0)
		a.Home, a.Copies = int(server)-1, 1
		for _, s := range actionsOf[Send](w.handle(Request{a})) {
			n++
			w.handle(Playing{ID: s.ID, Server: s.Server})
			w.finish(s.ID, 0, s.Server, OK)
		}
	}
	return n
}

func TestSameSeedSameActions(t *testing.T) {
	play := func() string {
		w := newWorld(t, coldSettings())
		var log []Action
		for id := uint64(1); id <= 200; id++ {
			w.now += 37 * Millisecond
			actions := w.handle(Request{w.newRequest(id, int(id%2))})
			log = append(log, actions...)
			for n, s := range actionsOf[Send](actions) {
				if id%3 == 0 {
					log = append(log, w.finish(id, n, s.Server, TimedOut)...)
				}
			}
			log = append(log, w.run(tickInterval)...)
		}
		return fmt.Sprintf("%#v", log)
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two fronts with the same seed differ")
	}
}

// newLargeWorld returns a world with one of 300 fronts and 300 servers, one in each cell.
func newLargeWorld(t *testing.T) *world {
	cfg := settings()
	cfg.Fronts, cfg.Cells, cfg.Racks, cfg.MayProbe = 300, 300, 30, true
	w := &world{t: t, front: New(cfg, 1), now: startTime}
	var list []Entry
	for id := uint32(1); id <= 300; id++ {
		list = append(list, entry(id))
	}
	w.handle(List{Kind: ListCached, Entries: list})
	return w
}

// Faulty clients send hundreds of requests that every server answers with an error. The servers are not at
// fault.
func TestErrorsCausedByRequestsDoNotOpenBreakers(t *testing.T) {
	w := newWorld(t, settings())
	w.reportUseAll(0.1)
	for id := uint64(1); id <= 20; id++ {
		s := onlyOne[Send](t, w.handle(Request{w.newRequest(id, 0)}))
		for attempt := 0; attempt < w.front.cfg.MaxAttempts; attempt++ {
			if next := actionsOf[Send](w.finish(id, attempt, s.Server, Errored)); len(next) > 0 {
				s = next[0]
			}
		}
		w.now += 50 * Millisecond
	}
	for _, v := range w.front.fleet.servers {
		if v.failed || v.openUntil > w.now || v.failures.total(w.now, failureWindow) > 0 {
			t.Errorf("errors are counted against server %d: %+v", v.Server, v)
		}
	}
	// Another server serves two requests that got an error at the first one: the first one is at fault.
	faulty := uint32(0)
	for id := uint64(100); id < 130 && (faulty == 0 || !w.front.fleet.get(faulty).failed); id++ {
		s := onlyOne[Send](t, w.handle(Request{w.newRequest(id, 0)}))
		if faulty == 0 {
			faulty = s.Server
		}
		attempt := 0
		if s.Server == faulty {
			s = onlyOne[Send](t, w.finish(id, 0, faulty, Errored))
			attempt = 1
		}
		w.handle(Playing{ID: id, Attempt: attempt, Server: s.Server})
		w.now += 50 * Millisecond
	}
	if v := w.front.fleet.get(faulty); !v.failed || v.openUntil < w.now-Second {
		t.Errorf("the breaker of a faulty server is not open: %+v", v)
	}
}

func TestRemovedServersAreDeletedOnceUnused(t *testing.T) {
	w := newWorld(t, settings())
	server := w.start(1, 0)
	for id := uint32(10); id < 60; id++ {
		e := entry(id)
		w.handle(List{Kind: ListDelta, Entries: []Entry{e}})
		e.Health = Removed
		w.handle(List{Kind: ListDelta, Entries: []Entry{e}})
	}
	e := entry(server)
	e.Health = Removed
	w.handle(List{Kind: ListDelta, Entries: []Entry{e}})
	// The server with a session is kept.
	if n := len(w.front.fleet.servers); n != 4 || len(w.front.fleet.byID) != 4 {
		t.Errorf("%d servers are kept", n)
	}
	w.finish(1, 0, server, OK)
	w.handle(List{Kind: ListDelta})
	if n := len(w.front.fleet.servers); n != 3 || w.front.fleet.get(server) != nil {
		t.Errorf("%d servers are kept", n)
	}
	w.handle(List{Kind: ListFull, Entries: []Entry{entry(9)}}) // a full list removes servers by omission
	if n := len(w.front.fleet.servers); n != 1 {
		t.Errorf("%d servers are kept", n)
	}
}

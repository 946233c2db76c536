package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// world drives one front by hand and collects what it does.
type world struct {
	t   *testing.T
	f   *Front
	now Time
	got []Action
}

const start = 1000 * Second

// settings: 4 servers of 1000 kB in 4 cells and 2 racks, a ladder of 4 rungs, a safe and a paid class.
func settings() Settings {
	return Settings{Fleet: 1, Classes: []Class{
		{Aim: Second, Deadline: 4 * Second, Worth: 1, Scale: 1, Top: 3},
		{Aim: Second, Deadline: 3 * Second, Worth: 2, Scale: 1, Top: 3, Paid: true}},
		RungKB: []float64{50, 100, 200, 400}, RungWorth: []float64{0.2, 0.5, 0.8, 1},
		FleetKB: 4000, RackKB: 2000, WeightKB: 1000, Racks: 2, Cells: 4, KindSlots: []float64{40},
		SeeLate: Second / 2, StallCost: 8, ChangeCost: 0.5, Join: 1, Fields: []Field{FieldLink, FieldUplink},
		Inline: true, MaxAttempts: 4, RetryAfter: true, MaxRetry: 2 * Second, DrainGrace: Second / 4}
}

func entry(id uint32) Entry { return Entry{Server: id, Cell: int(id) - 1, Size: 1} }

func newWorld(t *testing.T, set Settings) *world {
	w := &world{t: t, f: New(set, 1), now: start}
	w.do(List{Kind: ListCached, Entries: []Entry{entry(1), entry(2), entry(3), entry(4)}})
	return w
}

func (w *world) do(ev Event) []Action {
	w.got = w.f.Handle(w.now, ev)
	return w.got
}

// run lets time pass, with the housekeeping timer's alarms, and gives all that was done.
func (w *world) run(d Time) (all []Action) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		all = append(all, w.do(Alarm{tokenTick})...)
		all = append(all, w.do(Alarm{tokenHeld})...)
	}
	return all
}

func (w *world) ask(id uint64, class int) Ask {
	return Ask{ID: id, Title: 7, Viewer: id, Class: class, Home: 0, Copies: 4, Top: 3, Deadline: w.now + 3*Second}
}

func of[T any](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func one[T any](t *testing.T, acts []Action) T {
	t.Helper()
	list := of[T](acts)
	if len(list) != 1 {
		t.Fatalf("want one %T, got %v", *new(T), acts)
	}
	return list[0]
}

func none[T any](t *testing.T, acts []Action) {
	t.Helper()
	if list := of[T](acts); len(list) > 0 {
		t.Fatalf("want no %T, got %v", *new(T), acts)
	}
}

// place sends a request and starts it; it gives the server.
func (w *world) place(id uint64, class int) uint32 {
	w.t.Helper()
	s := one[Send](w.t, w.do(Request{w.ask(id, class)}))
	w.do(Playing{ID: id, Server: s.Server})
	return s.Server
}

func (w *world) use(server uint32, link, uplink float64) {
	w.do(Probed{Server: server, Report: []float64{link, uplink}})
}

func (w *world) useAll(link float64) {
	for id := uint32(1); id <= 4; id++ {
		w.use(id, link, link)
	}
}

func (w *world) end(id uint64, attempt int, server uint32, st Status) []Action {
	return w.do(Outcome{ID: id, Attempt: attempt, Server: server, Status: st})
}

// A server that turned everything away as full kept its low report and was tried first by every request.
func TestTurnedAwayAsFullCountsAsAReport(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.3)
	w.now += 2 * Second
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	w.end(1, 0, s.Server, Full)
	a := w.ask(2, 0)
	a.Home, a.Copies = int(s.Server)-1, 1
	none[Send](t, w.do(Request{a}))
}

func TestServerGoneWithSessionsOnIt(t *testing.T) {
	w := newWorld(t, settings())
	v := w.place(1, 0)
	w.do(List{Kind: ListDelta, Entries: []Entry{{Server: v, Cell: int(v) - 1, Size: 1, Health: Removed}}})
	acts := w.end(1, 0, v, ResetConn)
	none[Send](t, acts)
	none[Refuse](t, acts)
	if got := w.place(2, 0); got == v {
		t.Fatal("sent to a server that is gone")
	}
}

func cold() Settings {
	set := settings()
	set.ColdSpan, set.FallSpan, set.ColdFrom, set.ColdTimes, set.Fleet = 10*Second, 3*Second, 0.4, 3, 2
	return set
}

// sendsIn counts set-ups to one server within a span, all of which start at once.
func (w *world) sendsIn(d Time, server uint32) (n int) {
	for end, id := w.now+d, uint64(w.now); w.now < end; w.now += 50 * Millisecond {
		id++
		a := w.ask(id, 0)
		a.Home, a.Copies = int(server)-1, 1
		for _, s := range of[Send](w.do(Request{a})) {
			n++
			w.do(Playing{ID: s.ID, Server: s.Server})
			w.end(s.ID, 0, s.Server, OK)
		}
	}
	return n
}

func TestSameSeedSameActions(t *testing.T) {
	play := func() string {
		w := newWorld(t, cold())
		var log []Action
		for id := uint64(1); id <= 200; id++ {
			w.now += 37 * Millisecond
			acts := w.do(Request{w.ask(id, int(id%2))})
			log = append(log, acts...)
			for n, s := range of[Send](acts) {
				if id%3 == 0 {
					log = append(log, w.end(id, n, s.Server, TimedOut)...)
				}
			}
			log = append(log, w.run(tick)...)
		}
		return fmt.Sprintf("%#v", log)
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two fronts with one seed differ")
	}
}

// hundreds makes a front that is one of 300 on 300 servers, one a cell.
func hundreds(t *testing.T) *world {
	set := settings()
	set.Fleet, set.Cells, set.Racks, set.MayProbe = 300, 300, 30, true
	w := &world{t: t, f: New(set, 1), now: start}
	var list []Entry
	for id := uint32(1); id <= 300; id++ {
		list = append(list, entry(id))
	}
	w.do(List{Kind: ListCached, Entries: list})
	return w
}

// Bad clients send by the hundred what every server answers with an error; that says nothing of the servers.
func TestErrorsThatFollowTheRequestAreNotTheServers(t *testing.T) {
	w := newWorld(t, settings())
	w.useAll(0.1)
	for id := uint64(1); id <= 20; id++ {
		s := one[Send](t, w.do(Request{w.ask(id, 0)}))
		for attempt := 0; attempt < w.f.set.MaxAttempts; attempt++ {
			if next := of[Send](w.end(id, attempt, s.Server, Errored)); len(next) > 0 {
				s = next[0]
			}
		}
		w.now += 50 * Millisecond
	}
	for _, v := range w.f.fleet.order {
		if v.failed || v.openUntil > w.now || v.bad.sum(w.now, tallyWindow) > 0 {
			t.Errorf("server %d is held guilty: %+v", v.Server, v)
		}
	}
	// Another server serves what two got an error for at the first: that one is at fault.
	bad := uint32(0)
	for id := uint64(100); id < 130 && (bad == 0 || !w.f.fleet.get(bad).failed); id++ {
		s := one[Send](t, w.do(Request{w.ask(id, 0)}))
		if bad == 0 {
			bad = s.Server
		}
		attempt := 0
		if s.Server == bad {
			s = one[Send](t, w.end(id, 0, bad, Errored))
			attempt = 1
		}
		w.do(Playing{ID: id, Attempt: attempt, Server: s.Server})
		w.now += 50 * Millisecond
	}
	if v := w.f.fleet.get(bad); !v.failed || v.openUntil < w.now-Second {
		t.Errorf("a server that errs is not found: %+v", v)
	}
}

func TestServersThatLeftAreForgottenOnceNothingPlaysThere(t *testing.T) {
	w := newWorld(t, settings())
	at := w.place(1, 0)
	for id := uint32(10); id < 60; id++ {
		e := entry(id)
		w.do(List{Kind: ListDelta, Entries: []Entry{e}})
		e.Health = Removed
		w.do(List{Kind: ListDelta, Entries: []Entry{e}})
	}
	e := entry(at)
	e.Health = Removed
	w.do(List{Kind: ListDelta, Entries: []Entry{e}})
	if n := len(w.f.fleet.order); n != 4 || len(w.f.fleet.byID) != 4 { // the one with a session is kept
		t.Errorf("%d servers are kept", n)
	}
	w.end(1, 0, at, OK)
	w.do(List{Kind: ListDelta})
	if n := len(w.f.fleet.order); n != 3 || w.f.fleet.get(at) != nil {
		t.Errorf("%d servers are kept", n)
	}
	w.do(List{Kind: ListFull, Entries: []Entry{entry(9)}}) // a full list says so by leaving them out
	if n := len(w.f.fleet.order); n != 1 {
		t.Errorf("%d servers are kept", n)
	}
}

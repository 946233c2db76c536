package policy

import (
	"reflect"
	"testing"
)

// newVacatingWorld returns a world with sessions on server 1, and the moves within d after that server was
// to be vacated.
func newVacatingWorld(t *testing.T, sessions int, prepare func(w *world), until Time,
	d Time) (w *world, moved []Move) {
	w = newWorld(t, settings())
	for i := range sessions {
		a := w.newRequest(uint64(i+1), 0)
		a.Length, a.Hinted = 10*Second, i%2 == 1
		w.handle(Restored{SessionSpec: a, Server: 1})
	}
	if prepare == nil {
		prepare = func(w *world) { w.reportUseAll(0.1) }
	}
	prepare(w)
	if until > 0 {
		w.handle(Vacate{Server: 1, Until: w.now + until})
	}
	return w, actionsOf[Move](w.run(d))
}

// Sessions move off a vacated server at the front's rate of moves. Sessions that end in time stay.
func TestVacateIsRateLimited(t *testing.T) {
	if _, moved := newVacatingWorld(t, 20, nil, 0, 5*Second); len(moved) != 0 {
		t.Fatalf("%d moved without a Vacate event", len(moved))
	}
	_, moved := newVacatingWorld(t, 40, nil, 60*Second, 3*Second)
	if n := len(moved); n < movesBurst || n > movesBurst+3*int(movesPerSecond)+1 {
		t.Errorf("%d moved in 3 s, the limit is %d at once and %v a second", n, movesBurst, movesPerSecond)
	}
	for _, m := range moved {
		if m.ID%2 == 0 {
			t.Errorf("session %d was moved although it ends in 10 s", m.ID)
		}
	}
	if _, moved = newVacatingWorld(t, 4, nil, 5*Second, 8*Second); len(moved) != 4 {
		t.Errorf("%d of 4 sessions that outlast the deadline were moved", len(moved))
	}
}

// Without spare capacity elsewhere a session stays. After a Vacate event is cancelled nothing is moved.
func TestVacateKeepsSessionsWithoutAlternative(t *testing.T) {
	full := func(w *world) {
		for id := uint32(2); id <= 4; id++ {
			w.reportUse(id, 1.2, 0.3)
		}
	}
	if _, moved := newVacatingWorld(t, 4, full, 60*Second, 2*Second); len(moved) != 0 {
		t.Errorf("%d moved to full servers", len(moved))
	}
	w, _ := newVacatingWorld(t, 40, nil, 60*Second, Second)
	w.handle(Vacate{Server: 1})
	if moved := actionsOf[Move](w.run(5 * Second)); len(moved) != 0 {
		t.Errorf("%d moved after the Vacate event was cancelled", len(moved))
	}
}

// Vacate events for servers without sessions must change no decision.
func TestVacateOfUnusedServerChangesNothing(t *testing.T) {
	run := func(vacate bool) (all []Action) {
		w := newWorld(t, settings())
		for i := range uint64(60) {
			if vacate && i%10 == 0 {
				w.handle(Vacate{Server: 99, Until: w.now + Second})
			}
			a := w.newRequest(i+1, int(i%2))
			for _, act := range w.handle(Request{a}) {
				all = append(all, act)
				if s, ok := act.(Send); ok {
					all = append(all, w.handle(Playing{ID: s.ID, Server: s.Server, Took: Second / 20})...)
				}
			}
			all = append(all, w.run(Second/2)...)
		}
		return all
	}
	if a, b := run(false), run(true); !reflect.DeepEqual(a, b) {
		t.Fatal("a Vacate event for an unknown server changed the actions")
	}
}

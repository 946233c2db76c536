package attempts

import "tealledge/policy"

// Time goes by instants that matter: when an attempt, a request or a player's absence runs out, when the next address
// of a server is tried or a race ends, when a drain's grace is over. The clock stops there before anything falls due, so
// that whatever is read at that very instant races it. On the way the module's own housekeeping falls due at its times;
// nothing is read in between, which is what this leaves out: a reading that lies strictly between two instants differs
// from one at the first of them by the housekeeping between.

// instant gives the next instant that matters, or one a while later if none is to come.
func (w *world) instant() (at policy.Time) {
	ok := false
	consider := func(t policy.Time) {
		if t > w.now && (!ok || t < at) {
			at, ok = t, true
		}
	}
	if t, some := w.core.NextSessionTimer(); some {
		consider(max(t, w.now+1))
	}
	if t, some := w.desk.NextTick(); some {
		consider(max(t, w.now+1))
	}
	for i := range w.servers {
		if s := &w.servers[i]; s.shut {
			consider(s.told + w.set.DrainGrace + 1)
		}
	}
	if !ok {
		return w.now + idle
	}
	return at
}

// idle is how long nothing may happen while nothing is to run out.
const idle = 1200 * policy.Millisecond

// pass lets time go to the next instant that matters.
func (w *world) pass() {
	end := w.instant()
	for {
		next := end
		if at, ok := w.core.Next(); ok {
			next = min(next, at)
		}
		if next >= end {
			break
		}
		w.now = max(next, w.now+1)
		w.tick()
		end = min(end, w.instant()) // something may have begun that runs out earlier
	}
	w.now, w.due = end, true
}

func (w *world) fallDue() {
	w.due = false
	w.tick()
	slow := w.slow
	w.slow = nil
	for _, e := range slow {
		w.desk.Apply(w.now, e)
	}
	w.settle()
}

// tick lets what is due fall due, in the shell's order.
func (w *world) tick() {
	w.carry(w.core.Advance(w.now))
	w.settle()
	w.desk.Tick(w.now)
	w.settle()
}

// closing ends a run: nothing more goes wrong, all that is written is answered, time goes on. Within so many rounds every
// request must be answered and nothing be left anywhere.
func (w *world) closing() {
	const rounds = 60
	w.left = Config{Faults: -1}
	for range rounds {
		w.deliver()
		if w.broken != "" || w.core.OpenRequests() == 0 && w.core.SessionCount() <= w.watching()+w.haunted() && !w.absent() && len(w.slow) == 0 && w.desk.PendingTeardowns() == 0 {
			break
		}
		w.pass()
		w.deliver()
		w.fallDue()
	}
	if w.broken == "" {
		w.closed()
	}
}

// deliver has all connections stand and all requests answered.
func (w *world) deliver() {
	for quiet := false; !quiet && w.broken == ""; {
		quiet = true
		for _, l := range append([]*link(nil), w.conns...) {
			switch {
			case w.conn(l.id) == nil:
			case l.dialing:
				quiet, l.dialing = false, false
				w.desk.Connected(w.now, l.server, l.id)
				w.settle()
			case len(l.waits) > 0:
				quiet = false
				w.answer(l, 200, 0.2)
			}
		}
	}
	w.settled()
}

// absent tells whether a session still waits for a player that is gone.
func (w *world) absent() bool {
	for i := range w.players {
		if p := &w.players[i]; p.alone && p.playing {
			return true
		}
	}
	return false
}

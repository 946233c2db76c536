package attempts

import "tealledge/policy"

// The clock moves from one deadline to the next: the time-out of an attempt, a request or a player's absence, the
// trial of a server's next address or the end of a connection race, the end of a drain's grace. It stops at a
// deadline before any timer expires, so that whatever is read at that instant races with the timers. On the way there
// the module's own periodic timers expire at their times, and nothing is read. This is a limit of the search: a read
// strictly between two deadlines differs from a read at the first of them by the periodic timers in between.

// nextDeadline returns the next deadline, or a time idleStep later if there is none.
func (w *world) nextDeadline() (at policy.Time) {
	ok := false
	consider := func(t policy.Time) {
		if t > w.now && (!ok || t < at) {
			at, ok = t, true
		}
	}
	if t, exists := w.core.NextSessionTimer(); exists {
		consider(max(t, w.now+1))
	}
	if t, exists := w.protocol.NextTick(); exists {
		consider(max(t, w.now+1))
	}
	for i := range w.servers {
		if s := &w.servers[i]; s.unavailable {
			consider(s.reportedAt + w.settings.DrainGrace + 1)
		}
	}
	if !ok {
		return w.now + idleStep
	}
	return at
}

// idleStep is how far the clock advances while no deadline is set.
const idleStep = 1200 * policy.Millisecond

// advanceClock moves the clock to the next deadline. Its timers have not expired yet.
func (w *world) advanceClock() {
	end := w.nextDeadline()
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
		end = min(end, w.nextDeadline()) // the tick may have set an earlier deadline
	}
	w.now, w.timersDue = end, true
}

// expireTimers lets the timers due now expire, then applies effects that a mutation delayed.
func (w *world) expireTimers() {
	w.timersDue = false
	w.tick()
	delayed := w.delayedEffects
	w.delayedEffects = nil
	for _, e := range delayed {
		w.protocol.Apply(w.now, e)
	}
	w.runProtocol()
}

// tick expires the timers of core and protocol, in the order of the production shell.
func (w *world) tick() {
	w.applyCoreEffects(w.core.Advance(w.now))
	w.runProtocol()
	w.protocol.Tick(w.now)
	w.runProtocol()
}

// finishRun ends a run without further faults: every request to a server is answered, and the clock advances. Within
// maxRounds rounds every player's request must be answered and no session, stream or tear-down be left.
func (w *world) finishRun() {
	const maxRounds = 60
	w.remaining = Config{Faults: -1}
	for range maxRounds {
		w.deliverAll()
		if w.violation != "" || w.core.OpenRequests() == 0 &&
			w.core.SessionCount() <= w.playingCount()+w.unconfirmedSeats() &&
			!w.hasAbsentPlayer() && len(w.delayedEffects) == 0 && w.protocol.PendingTeardowns() == 0 {
			break
		}
		w.advanceClock()
		w.deliverAll()
		w.expireTimers()
	}
	if w.violation == "" {
		w.checkEnd()
	}
}

// deliverAll establishes all connections and answers all requests to servers.
func (w *world) deliverAll() {
	for quiet := false; !quiet && w.violation == ""; {
		quiet = true
		for _, conn := range append([]*serverConn(nil), w.conns...) {
			switch {
			case w.connByID(conn.id) == nil:
			case conn.dialing:
				quiet, conn.dialing = false, false
				w.protocol.Connected(w.now, conn.server, conn.id)
				w.runProtocol()
			case len(conn.pending) > 0:
				quiet = false
				w.answerRequest(conn, 200, 0.2)
			}
		}
	}
	w.checkStep()
}

// hasAbsentPlayer reports whether a session still waits for a disconnected player.
func (w *world) hasAbsentPlayer() bool {
	for i := range w.players {
		if p := &w.players[i]; p.disconnected && p.playing {
			return true
		}
	}
	return false
}

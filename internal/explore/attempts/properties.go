package attempts

import (
	"fmt"
	"strconv"

	"tealledge/internal/rtsp"
	"tealledge/internal/rtspclient"
	"tealledge/policy"
)

// The properties:
//
//	one answer              a request gets exactly one answer, by its deadline, unless its player left
//	one attempt in flight   no SETUP is written for a session while another attempt of it is in flight or plays
//	paid once               a paid session is refused, or its SETUP is written again, only if every earlier attempt
//	                        provably never ran
//	drains kept             no SETUP is written to a server later than the grace period after the front learned that it
//	                        drains or was removed from the list
//	warm-up kept            fewer SETUPs than would overload it are written to a server that just started, within the
//	                        overload window
//	floors and seats        no rung is below the class's floor; no more paid sessions of the title than seats, set-ups
//	                        included
//	budget kept             no more retries than the budget allows are written within the retry window
//	nothing left            when no request is in flight on any connection, no server plays a stream whose session
//	                        ended, and the core holds no session without a player
//	liveness                once no more faults occur, every request is answered within a bounded number of steps

// checkWritten checks a message that the front wrote to a server. For a SETUP it returns the index of the attempt in
// the history, for other messages -1.
func (w *world) checkWritten(conn *serverConn, message *rtsp.Message) int {
	if message.Method != rtsp.Setup {
		return -1
	}
	current := attempt{Server: conn.server, At: w.now, InFlight: true}
	fmt.Sscanf(message.Get(rtspclient.HeaderAttempt), "f/%d/%d", &current.Session, &current.Attempt)
	current.Class, _ = strconv.Atoi(message.Get(rtspclient.HeaderClass))
	rung, _ := strconv.Atoi(message.Get(rtspclient.HeaderRung))
	class := w.settings.Classes[current.Class]
	for i := range w.history.Attempts {
		other := &w.history.Attempts[i]
		if other.Session != current.Session {
			continue
		}
		if other.InFlight && !w.attemptEnded(other) {
			w.fail("one attempt in flight: attempt %d of a session was written while attempt %d was in flight",
				current.Attempt, other.Attempt)
		}
		if class.Paid && !other.NeverRan {
			w.fail("paid once: attempt %d was written though attempt %d may have run", current.Attempt, other.Attempt)
		}
	}
	if s := &w.servers[conn.server-1]; s.unavailable && w.now > s.reportedAt+w.settings.DrainGrace {
		w.fail("drains kept: a set-up was written to server %d, %d ms after the front learned that it is not ready",
			conn.server, (w.now-s.reportedAt)/policy.Millisecond)
	}
	if rung < class.Floor {
		w.fail("floors and seats: rung %d is below the floor %d", rung, class.Floor)
	}
	if class.Seats > 0 && w.seatsTaken(current) >= class.Seats {
		w.fail("floors and seats: a set-up was written for a title whose seats were taken")
	}
	w.history.Attempts = append(w.history.Attempts, current)
	if count, limit := w.recentSetups(conn.server), w.maxWarmupSetups(conn.server); limit > 0 && count > limit {
		w.fail("warm-up kept: %d set-ups within %d ms at server %d, which %d overload",
			count, w.settings.OverloadWindow/policy.Millisecond, conn.server, limit+1)
	}
	if current.Attempt > 0 {
		w.history.Retries = append(w.history.Retries, w.now)
		if count, limit := w.recentRetries(); w.settings.RetriesLimited && float64(count) > limit {
			w.fail("budget kept: %d retries within %d ms", count, w.settings.RetryWindow/policy.Millisecond)
		}
	}
	return len(w.history.Attempts) - 1
}

// seatsTaken counts the seats of an attempt's class that other sessions hold: streams that are not orphaned, attempts
// in flight, and unconfirmed sessions from before a restart.
func (w *world) seatsTaken(r attempt) (n int) {
	if !w.settings.Classes[r.Class].Paid {
		return 0 // only the paid class has seats
	}
	counted := map[uint64]bool{r.Session: true}
	for i := range w.servers {
		for _, x := range w.servers[i].streams {
			if x.class == r.Class && !x.orphaned && !counted[x.session] && !w.isTornDown(x) {
				counted[x.session] = true
				n++
			}
		}
	}
	for i := range w.history.Attempts {
		if o := &w.history.Attempts[i]; o.Class == r.Class && o.InFlight && !counted[o.Session] &&
			w.protocol.HoldsAttempt(o.Session, o.Attempt) {
			counted[o.Session] = true
			n++
		}
	}
	return n + w.unconfirmedSeats()
}

// isTornDown reports whether the front has sent all it can to end a stream: it no longer holds the attempt.
func (w *world) isTornDown(x stream) bool { return !w.protocol.HoldsAttempt(x.session, x.attempt) }

// maxWarmupSetups returns how many set-ups within the overload window a starting server takes without overload; 0 if it
// has warmed up.
func (w *world) maxWarmupSetups(server uint32) int {
	s := &w.servers[server-1]
	if w.settings.WarmupTime <= 0 || s.startedAt == 0 || w.now-s.startedAt >= w.settings.WarmupTime {
		return 0
	}
	setupsPerSecond := w.settings.KindSlots[0] / (float64(w.settings.WarmupTime) / float64(policy.Second)) *
		w.settings.ColdCapacity
	return int(setupsPerSecond * w.settings.OverloadFactor * float64(w.settings.OverloadWindow) /
		float64(policy.Second))
}

// recentSetups counts the set-ups written to a server within the last overload window.
func (w *world) recentSetups(server uint32) (n int) {
	for i := range w.history.Attempts {
		if o := &w.history.Attempts[i]; o.Server == server && o.At > w.now-w.settings.OverloadWindow {
			n++
		}
	}
	return n
}

// recentRetries counts the retries within the last retry window and returns how many are allowed.
func (w *world) recentRetries() (n int, limit float64) {
	for _, at := range w.history.Retries {
		if at > w.now-w.settings.RetryWindow {
			n++
		}
	}
	for _, at := range w.history.Requests {
		if at > w.now-w.settings.RetryWindow {
			limit += w.settings.RetryRatio
		}
	}
	return n, limit + w.settings.SpareRetries
}

// attemptEnded reports whether the front has learned that an attempt ended: its session does not play, and the protocol
// no longer holds the attempt.
func (w *world) attemptEnded(r *attempt) bool {
	for i := range w.players {
		if p := &w.players[i]; p.session == r.Session && p.playing {
			return false
		}
	}
	return !w.protocol.HoldsAttempt(r.Session, r.Attempt)
}

// recordAnswer records the answer to a player's request and checks it.
func (w *world) recordAnswer(player, session uint64, answer string) {
	p := &w.players[player]
	if p.answer != "" || p.left {
		w.fail("one answer: %s after %q (left: %v)", answer, p.answer, p.left)
	}
	class := w.settings.Classes[w.cfg.classOf(int(player))]
	if w.now > p.requestedAt+class.Deadline {
		w.fail("one answer: %s %d ms after the deadline", answer,
			(w.now-p.requestedAt-class.Deadline)/policy.Millisecond)
	}
	p.answer, p.playing = answer, answer == "plays"
	if answer == "refused" && class.Paid {
		for _, r := range w.history.Attempts {
			if r.Session == session && !r.NeverRan {
				w.fail("paid once: refused though attempt %d may have run", r.Attempt)
			}
		}
	}
}

// checkStep checks the properties that hold after each choice.
func (w *world) checkStep() {
	w.history.prune(w)
	for i := range w.players {
		p := &w.players[i]
		if p.requested && !p.left && p.answer == "" &&
			w.now > p.requestedAt+w.settings.Classes[w.cfg.classOf(i)].Deadline {
			w.fail("one answer: player %d has no answer by its deadline", i)
		}
	}
	if w.isQuiet() {
		w.checkNothingLeft()
	}
}

// checkNothingLeft checks servers and core while no request is in flight on any connection.
func (w *world) checkNothingLeft() {
	for i := range w.servers {
		for _, x := range w.servers[i].streams {
			// While a tear-down is pending, it may be the stream's.
			if !x.orphaned && !w.isWanted(x.session) && w.protocol.PendingTeardowns() == 0 {
				w.fail("nothing left: server %d plays a stream of a session that ended", i+1)
			}
		}
	}
	if w.core.OpenRequests() == 0 && w.core.SessionCount() > w.playingCount()+w.unconfirmedSeats() {
		w.fail("nothing left: the core holds %d sessions, but %d are playing", w.core.SessionCount(), w.playingCount())
	}
}

// checkEnd checks the properties that hold at the end of a run.
func (w *world) checkEnd() {
	for i := range w.players {
		if p := &w.players[i]; p.requested && !p.left && p.answer == "" {
			w.fail("liveness: player %d has no answer though no more faults occur", i)
		}
	}
	if w.core.OpenRequests() > 0 {
		w.fail("liveness: %d requests have no answer from the core", w.core.OpenRequests())
	}
	if !w.isQuiet() {
		w.fail("liveness: requests stay in flight on connections")
	}
	if w.protocol.PendingTeardowns() > 0 {
		w.fail("liveness: tear-downs of streams stay pending")
	}
	w.checkNothingLeft()
}

// isQuiet reports whether no dial and no request is in flight on any connection.
func (w *world) isQuiet() bool {
	for _, conn := range w.conns {
		if conn.dialing || len(conn.pending) > 0 {
			return false
		}
	}
	return true
}

// isWanted reports whether the player of a session waits for its answer or plays.
func (w *world) isWanted(session uint64) bool {
	for i := range w.players {
		if p := &w.players[i]; p.session == session && !p.left && (p.playing || p.answer == "") {
			return true
		}
	}
	return false
}

// playingCount counts the players that play.
func (w *world) playingCount() (n int) {
	for i := range w.players {
		if w.players[i].playing {
			n++
		}
	}
	return n
}

// fail records a violation, unless an earlier one is recorded.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

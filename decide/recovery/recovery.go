// Package recovery decides which parts of its stored state a restarted front uses, and what it does about each
// session and server in it. It is pure; time is passed in.
//
// The state describes the time when it was written, not the present. Three things can be wrong with it: it is old, it
// was written by another clock, or the last records were lost in the crash. So stored state never lets a front do
// more than one that starts without any; it only lets it do less (count a seat, treat a server as cold) or query a
// server (does this stream still play?).
package recovery

import "tealledge/policy"

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Limits on the use of stored state.
const (
	// StreamTTL is how long a server may continue a stream, or an unanswered set-up, of a front that has stopped: by
	// RFC 7826 section 18.49 sessions end after 60 s without a keep-alive.
	StreamTTL = 60 * policy.Second
	// ListTTL is how long a stored server list is better than none.
	ListTTL = 24 * 3600 * policy.Second
	// maxBreakerPause bounds the pause of a restored circuit breaker: no outage pauses set-ups for longer (policy's
	// backoffMax).
	maxBreakerPause = 8 * policy.Second
	// FailureHalfLife is the half-life of the weight of a server's failures; below minFailureWeight it becomes 0.
	FailureHalfLife  = 5 * policy.Second
	minFailureWeight = 0.05
	// maxClockStepBack is how far the clock may appear to have stepped back between two starts.
	maxClockStepBack = 2 * policy.Second
)

// Stage is how far a session had got.
type Stage uint8

// Stages. InFlight is stored before a paid SETUP is sent; safe set-ups are stored once they play.
const (
	InFlight Stage = iota // a paid set-up may have been sent
	Playing               // its player was sent the reply that it plays
)

// Session is the stored record of a session.
type Session struct {
	Ask     policy.SessionSpec
	Name    string // of the title at its server; "": named by its number
	Server  uint32
	Attempt int
	Rung    int
	Stage   Stage
	Token   uint64 // by which its player may resume it
	Stream  string // RTSP session ID; "" before the server responded
	At      Time   // when this was written
}

// Action is what a restarted front does about a session.
type Action uint8

// Actions.
const (
	// Forget: no server can still hold anything of it.
	Forget Action = iota
	// Restore: query its server whether the stream plays, and hold it for its player meanwhile.
	Restore
	// TearDown: no player will resume it, but its server may still play it.
	TearDown
	// CountSeat: a paid set-up that may have run and can't be queried. It is never sent again; its seat is counted
	// until no server can still hold it.
	CountSeat
)

// DecideSession decides on a session. lastAliveAt is the last time that the front is known to have run, resumeWindow
// how long a player may be away. until is when a restored session that no player resumed, or a counted seat, is
// dropped.
func DecideSession(now, lastAliveAt, resumeWindow Time, s Session) (action Action, until Time) {
	if s.At > now+maxClockStepBack || lastAliveAt > now+maxClockStepBack {
		// The clock has changed, so the age of the record is unknown. A stream with a known ID can be torn down at
		// any age; a seat without one is counted for as long as it may last from now.
		if s.Stream != "" {
			return TearDown, 0
		}
		return CountSeat, now + StreamTTL
	}
	downtime := max(now-max(lastAliveAt, s.At), 0)
	switch {
	case downtime >= StreamTTL:
		return Forget, 0
	case s.Stage == InFlight && s.Stream == "":
		return CountSeat, max(s.At, lastAliveAt) + StreamTTL
	case s.Stage == InFlight:
		return TearDown, 0 // accepted, but its player was never sent the reply and will request again
	case s.Stream == "":
		return CountSeat, max(s.At, lastAliveAt) + StreamTTL
	case resumeWindow <= 0 || downtime >= resumeWindow:
		return TearDown, 0
	}
	return Restore, max(lastAliveAt, s.At) + resumeWindow
}

// Server is the stored record of a server.
type Server struct {
	ID        uint32
	Started   Time    // start of its process, as listed; 0: long ago
	Cold      Time    // the server may be cold until then
	OpenUntil Time    // end of the circuit breaker's pause
	Failures  float64 // weight of its failures when this was written
	At        Time
}

// ServerState is the initial state of a server in a restarted front.
type ServerState struct {
	Started   Time    // passed to the module, which paces servers that started recently
	OpenUntil Time    // no set-ups before then
	Failures  float64 // decayed to the present
}

// RestoreServer decides on the initial state of a server. listedStart is the start of its process by the current
// list, 0 if the list does not give it. A front that was down does not know whether the server restarted meanwhile,
// so without a listed start the server is treated as possibly cold: as started when the front was last alive.
func RestoreServer(now, lastAliveAt, coldWindow Time, s Server, listedStart Time) (state ServerState) {
	switch {
	case listedStart > 0 && listedStart != s.Started: // another process: the record of the old one does not apply
		return ServerState{Started: listedStart}
	case s.At > now+maxClockStepBack:
		return ServerState{Started: now}
	}
	state.Started = max(s.Started, listedStart)
	if listedStart == 0 && now-lastAliveAt >= coldWindow/2 {
		state.Started = max(state.Started, min(lastAliveAt, now))
	}
	if s.Cold > now { // it was overloaded or failed: as cold as one started coldWindow before s.Cold
		state.Started = max(state.Started, min(s.Cold, now+coldWindow)-coldWindow)
	}
	if s.OpenUntil > now {
		state.OpenUntil = min(s.OpenUntil, now+maxBreakerPause)
	}
	if state.Failures = Decayed(s.Failures, now-s.At); state.Failures < minFailureWeight {
		state.Failures = 0
	}
	return state
}

// Decayed returns a weight after the given age: half after each FailureHalfLife.
func Decayed(weight float64, age Time) float64 {
	for ; age >= FailureHalfLife && weight > 0; age -= FailureHalfLife {
		weight /= 2
		if weight < 1e-9 {
			return 0
		}
	}
	return weight
}

// ListUsable reports whether a stored list may be used until a current one is received.
func ListUsable(now, storedAt Time) bool {
	return storedAt <= now+maxClockStepBack && now-storedAt < ListTTL
}

// StoreHealth is the state of the front's own store, as seen by its writes.
type StoreHealth struct {
	failedAt   Time
	reported   bool
	slowWrites int
}

const (
	// WriteTimeout is how long a paid set-up waits for its record to be written. With a longer wait, a disk that
	// hangs would hold set-ups past their players' deadlines. The cost of going on without the record: after a crash
	// its seat is not counted.
	WriteTimeout  = 100 * policy.Millisecond
	maxSlowWrites = 3                  // consecutive writes that reached WriteTimeout
	retryInterval = 30 * policy.Second // after which a failed store is tried again
)

// RecordWrite records the result of a write. report is set if the failure is to be reported to the operators, once
// for each period of failure.
func (h *StoreHealth) RecordWrite(now, took Time, err error) (report bool) {
	switch {
	case err != nil:
		h.failedAt = now
	case took >= WriteTimeout:
		if h.slowWrites++; h.slowWrites >= maxSlowWrites {
			h.failedAt = now
		}
	default:
		h.slowWrites = 0
		if h.failedAt != 0 && now-h.failedAt >= retryInterval {
			h.failedAt, h.reported = 0, false
		}
	}
	if h.failedAt != 0 && !h.reported {
		h.reported = true
		return true
	}
	return false
}

// ShouldWait reports whether a paid set-up waits for its record: not if the store fails or hangs.
func (h *StoreHealth) ShouldWait(now Time) bool {
	return h.failedAt == 0 || now-h.failedAt >= retryInterval
}

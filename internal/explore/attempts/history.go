package attempts

import (
	"math/rand"
	"slices"

	"tealledge/policy"
)

// history holds past events that the properties refer to. It is part of the state, so entries that no property can
// refer to any more are removed.
type history struct {
	Attempts []attempt     // in the order in which they were written
	Retries  []policy.Time // when retries were written
	Requests []policy.Time // when requests were accepted, if the retry budget counts them
}

// attempt is a SETUP that the front wrote.
type attempt struct {
	Session  uint64
	Attempt  int
	Class    int
	Server   uint32
	At       policy.Time
	InFlight bool // written, and not answered, abandoned or lost with its connection yet
	NeverRan bool // provably never ran: cut off before its last byte, or refused because the server was full
}

// prune removes entries that are too old to matter, so that states that differ only in them are equal.
func (h *history) prune(w *world) {
	for i := range h.Attempts {
		r := &h.Attempts[i]
		if r.InFlight && !w.protocol.HoldsAttempt(r.Session, r.Attempt) {
			r.InFlight = false
		}
		if r.At != 0 && (w.settings.WarmupTime == 0 || r.At <= w.now-w.settings.OverloadWindow) {
			r.At = 0
		}
	}
	expired := func(at policy.Time) bool { return !w.settings.RetriesLimited || at <= w.now-w.settings.RetryWindow }
	h.Retries = slices.DeleteFunc(h.Retries, expired)
	h.Requests = slices.DeleteFunc(h.Requests, expired)
	// Entries of ended sessions keep their index while connections refer to it, but their content is cleared.
	for i := range h.Attempts {
		if r := &h.Attempts[i]; !r.InFlight && r.At == 0 && !w.awaitsAnswer(r.Session) {
			*r = attempt{}
		}
	}
	for n := len(h.Attempts); n > 0 && h.Attempts[n-1] == (attempt{}) && !w.isReferenced(n-1); n-- {
		h.Attempts = h.Attempts[:n-1]
	}
}

// awaitsAnswer reports whether the request of a session has no answer yet.
func (w *world) awaitsAnswer(session uint64) bool {
	for i := range w.players {
		if p := &w.players[i]; p.session == session && p.requested && !p.left && p.answer == "" {
			return true
		}
	}
	return false
}

// isReferenced reports whether a pending message refers to an attempt by its index.
func (w *world) isReferenced(attempt int) bool {
	for _, conn := range w.conns {
		for _, r := range conn.pending {
			if r.attempt == attempt {
				return true
			}
		}
	}
	return false
}

// nilRandom returns a nil pointer of the type of the module's random source.
func nilRandom() *rand.Rand { return nil }

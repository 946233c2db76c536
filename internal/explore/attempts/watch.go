package attempts

import (
	"math/rand"
	"slices"

	"tealledge/policy"
)

// watch is what the properties remember. It is part of the state; what no property can ask for again is forgotten.
type watch struct {
	Attempts []attempt     // in the order written
	Further  []policy.Time // when further attempts were written
	Taken    []policy.Time // when requests were taken, if a budget counts them
}

type attempt struct {
	Session uint64
	Attempt int
	Class   int
	Server  uint32
	At      policy.Time
	Out     bool // written, and neither answered, given up on, nor its connection lost
	Never   bool // provably never ran: cut before its last byte, or turned away as full
}

// forget drops what is too old to matter, so that states that differ in nothing else are one.
func (k *watch) forget(w *world) {
	for i := range k.Attempts {
		r := &k.Attempts[i]
		if r.Out && !w.desk.HoldsAttempt(r.Session, r.Attempt) {
			r.Out = false
		}
		if r.At != 0 && (w.set.WarmupTime == 0 || r.At <= w.now-w.set.OverloadWindow) {
			r.At = 0
		}
	}
	old := func(at policy.Time) bool { return !w.set.RetriesLimited || at <= w.now-w.set.RetryWindow }
	k.Further = slices.DeleteFunc(k.Further, old)
	k.Taken = slices.DeleteFunc(k.Taken, old)
	// Records of sessions that are over: their numbers stay as connections refer to them, what they hold does not.
	for i := range k.Attempts {
		if r := &k.Attempts[i]; !r.Out && r.At == 0 && !w.open(r.Session) {
			*r = attempt{}
		}
	}
	for n := len(k.Attempts); n > 0 && k.Attempts[n-1] == (attempt{}) && !w.refers(n-1); n-- {
		k.Attempts = k.Attempts[:n-1]
	}
}

// open tells whether a session's request still waits for its answer.
func (w *world) open(session uint64) bool {
	for i := range w.players {
		if p := &w.players[i]; p.id == session && p.asked && !p.left && p.answer == "" {
			return true
		}
	}
	return false
}

func (w *world) refers(n int) bool {
	for _, l := range w.conns {
		for _, r := range l.waits {
			if r.n == n {
				return true
			}
		}
	}
	return false
}

func newRandom() *rand.Rand { return nil }

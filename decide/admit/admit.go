// Package admit decides what enters a front's bounded event queue when it fills. It is pure: the shell tells it
// how full the queue is and does as told.
//
// The danger is a front that takes more than it can answer in time: every waiting request would then be late. New
// requests are turned away first, at once and with a come-back time, while news of requests already taken always
// gets in: losing an outcome would leave a session without its answer.
package admit

import "tealledge/policy"

// Kind is what wants to enter.
type Kind uint8

// What may want to enter.
const (
	Ask      Kind = iota // a player's new request
	News                 // what became of a request taken: outcomes, lost connections, players leaving
	Advisory             // notes and lists, which a newer one replaces
)

// Verdict is what is to be done with it.
type Verdict uint8

// What may be done.
const (
	Take   Verdict = iota
	Refuse         // an ask: answer "refused" at once; an advisory: drop it
	Wait           // hold the reader until there is room: its socket's own buffer holds the sender back
)

// Parts of the queue that each kind may fill.
const (
	askPart      = 0.5 // the rest stays free for news of what was taken
	advisoryPart = 0.75
)

// Enter decides on one item for a queue that holds n of at most most.
func Enter(k Kind, n, most int) Verdict {
	switch {
	case k == Ask && float64(n) >= askPart*float64(most):
		return Refuse
	case k == Advisory && float64(n) >= advisoryPart*float64(most):
		return Refuse
	case n >= most:
		return Wait
	}
	return Take
}

// Late tells whether an ask that waited in the queue is out of time before the module saw it: it is answered, not
// begun. read and deadline are module clock readings in nanoseconds.
func Late(now, deadline policy.Time) bool { return now >= deadline }

// ComeBack is the come-back time told to one turned away here: the settings' longest, less a part drawn by u
// (0 to 1), so that those turned away together do not come back together.
func ComeBack(longest policy.Time, u float64) policy.Time {
	return longest - policy.Time(float64(longest)*u/2)
}

// Values for a front that stood still.
const (
	stillFrom = 150 * policy.Millisecond // a gap in the owner's own rounds that no load explains
	readFirst = 15 * policy.Millisecond  // what the sockets' readers need to bring what came meanwhile
)

// Standstill decides what a front does first that finds that it stood still: its own timers are all due at once,
// while the answers that they wait for lie unread in the sockets. For so long it only reads. Also covers a machine
// that slept. Harm: time-outs that are truly due act that much later.
func Standstill(gap policy.Time) (readFor policy.Time) {
	if gap < stillFrom {
		return 0
	}
	return readFirst
}

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

// Package admission decides what enters a front's bounded event queue as it fills up. It is pure: the shell reports
// the length of the queue and carries out the verdict.
//
// It guards against a front that accepts more than it can answer in time, which would make every waiting request
// late. New requests are refused first, at once and with a retry delay. Outcomes of accepted requests always get in:
// losing one would leave a session without its reply.
package admission

import "tealledge/policy"

// Kind is the kind of a queue item.
type Kind uint8

// Kinds of queue items.
const (
	Request  Kind = iota // a player's new request
	Outcome              // a change to an accepted request: its result, a lost connection, a player leaving
	Advisory             // notes and server lists, which a newer one replaces
)

// Verdict is the decision on an item.
type Verdict uint8

// Verdicts.
const (
	Accept Verdict = iota
	Refuse         // a request: reply "refused" at once; an advisory: drop it
	Wait           // block the reader until there is room: the full socket buffer then slows down the sender
)

// Shares of the queue that a kind may fill.
const (
	requestShare  = 0.5 // the rest stays free for outcomes of accepted requests
	advisoryShare = 0.75
)

// Admit decides on one item for a queue that holds length items of at most capacity.
func Admit(kind Kind, length, capacity int) Verdict {
	switch {
	case kind == Request && float64(length) >= requestShare*float64(capacity):
		return Refuse
	case kind == Advisory && float64(length) >= advisoryShare*float64(capacity):
		return Refuse
	case length >= capacity:
		return Wait
	}
	return Accept
}

// PastDeadline reports whether a request has expired in the queue before the module saw it. Such a request is refused
// and not started. now and deadline are module clock readings in nanoseconds.
func PastDeadline(now, deadline policy.Time) bool { return now >= deadline }

// RetryAfter returns the retry delay for a refused request: maxDelay from the settings, less up to half of it in
// proportion to random (0 to 1), so that requests refused together are not retried together.
func RetryAfter(maxDelay policy.Time, random float64) policy.Time {
	return maxDelay - policy.Time(float64(maxDelay)*random/2)
}

// Limits for a front that was stalled.
const (
	stallThreshold = 150 * policy.Millisecond // a gap between the owner's rounds that load does not explain
	readWindow     = 15 * policy.Millisecond  // time for the socket readers to deliver what arrived meanwhile
)

// ReadWindowAfterStall returns how long a front only reads its sockets after its process was stalled. All its timers
// are then due at once, while the responses that they wait for are still unread in the sockets. This also covers a
// machine that was suspended. The cost: timeouts that are really due take effect that much later.
func ReadWindowAfterStall(gap policy.Time) (readFor policy.Time) {
	if gap < stallThreshold {
		return 0
	}
	return readWindow
}

// Package shutdown decides what a front may still do between SIGTERM and its end. It is pure: times are passed in.
//
// The platform kills a front at a time that follows from the settings. The front isn't told of it, and what it has not
// answered by then is lost. So the front limits the deadline of every request to a time before the earliest kill, and
// then ends by itself.
package shutdown

import "tealledge/policy"

// Terms of the operators' protocol page ("Figures"): SIGKILL comes no earlier than the longest deadline, counted as
// maxCountedDeadline at most, and killDelay more after SIGTERM.
const (
	maxCountedDeadline = 3 * policy.Second
	killDelay          = 700 * policy.Millisecond
)

// EarliestKill returns the earliest time at which a front that received SIGTERM at signalledAt may be killed. A class
// without a deadline counts with the longest one: its viewers may wait for any time.
func EarliestKill(signalledAt policy.Time, classes []policy.Class) policy.Time {
	longest := policy.Time(0)
	for _, class := range classes {
		if class.Deadline <= 0 {
			longest = maxCountedDeadline
		}
		longest = max(longest, class.Deadline)
	}
	return signalledAt + min(longest, maxCountedDeadline) + killDelay
}

// Times before the earliest kill. They leave room for a front that gets its part of a core late, and receives even
// SIGTERM late.
const (
	answerMargin = 300 * policy.Millisecond // every request is answered by then
	closeMargin  = 250 * policy.Millisecond // no connection is accepted any more, and quiet ones are closed
	forceMargin  = 150 * policy.Millisecond // all others are closed, except for those with unprocessed input
	endMargin    = 100 * policy.Millisecond // the process ends
)

// minAttemptTime is the least time for which a request is worth an attempt at a server. A request that the shutdown
// leaves less time, and less than half of its own, is refused at once: its client can try elsewhere.
const minAttemptTime = 300 * policy.Millisecond

// Plan has the times of a shutdown, in order.
type Plan struct {
	AnswerBy     policy.Time // every request is answered by then
	CloseAt      policy.Time // connections are closed from then on, as nothing is pending on them
	ForceCloseAt policy.Time // all connections are closed, except for those with unprocessed input
	EndBy        policy.Time // these are closed as well, and the process ends
}

// NewPlan returns the plan of a front that may be killed from earliestKill on.
func NewPlan(earliestKill policy.Time) Plan {
	return Plan{AnswerBy: earliestKill - answerMargin, CloseAt: earliestKill - closeMargin,
		ForceCloseAt: earliestKill - forceMargin, EndBy: earliestKill - endMargin}
}

// EndEarly returns the plan of a front that has nothing left to do and ends from now on.
func (p Plan) EndEarly(now policy.Time) Plan {
	p.AnswerBy, p.CloseAt = min(p.AnswerBy, now), min(p.CloseAt, now)
	return p
}

// LimitDeadline returns the time by which a request with the given deadline is answered.
func (p Plan) LimitDeadline(deadline policy.Time) policy.Time { return min(deadline, p.AnswerBy) }

// Admits reports whether a request with the given deadline is worth an attempt. Otherwise it is refused.
func (p Plan) Admits(now, deadline policy.Time) bool {
	return deadline <= p.AnswerBy || p.AnswerBy-now >= min(minAttemptTime, (deadline-now)/2)
}

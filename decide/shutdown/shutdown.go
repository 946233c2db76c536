// Package shutdown decides what a front may still do between SIGTERM and its end. It is pure: times are passed in.
//
// The platform kills a front at a time that follows from the settings. The front isn't told of it, and what it has not
// answered by then is lost.
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

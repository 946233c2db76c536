package upkeep

import (
	"fmt"
	"strings"
	"time"
)

// Granted work proceeds in steps: the fronts are notified, the machines are drained, out of service, and taken back.
// Every step has a timeout. The step that follows a timeout is such that no machine stays out for ever, and none goes
// out while it still carries sessions that could move.

// Step is how far granted work has got.
type Step uint8

// Steps, in order.
const (
	Granted  Step = iota // the fronts are being notified
	Draining             // all fronts have acknowledged; sessions move away or end
	Out                  // the machines are at the requester's disposal
	Back                 // taken back into service, at a cold server's pace
	Done
)

// Timeouts bound the steps.
type Timeouts struct {
	AckTimeout    Time // from a grant until fronts that have not acknowledged it are no longer waited for
	DrainTimeout  Time // from then until the machines go out with the sessions that are still on them
	ReturnTimeout Time // beyond the requested duration, until machines not reported back are taken back
	WarmUpTime    Time // at a cold server's pace; the machines still count as out
}

// Progress is the known state of granted work.
type Progress struct {
	Step              Step
	Since             Time
	WorkDuration      Time
	Unacknowledged    []string // present fronts that have not acknowledged the grant
	Unreported        []string // present fronts that have not reported the sessions on the machines since
	RemainingSessions int      // known sessions on the machines
}

// Next returns the step that the work enters now, if any, until when that step may last, and why.
func (t Timeouts) Next(now Time, progress Progress) (next Step, until Time, why string, ok bool) {
	elapsed := now - progress.Since
	switch progress.Step {
	case Granted:
		switch {
		case len(progress.Unacknowledged) == 0:
			return Draining, now + t.DrainTimeout, "every front here has heard", true
		case elapsed >= t.AckTimeout:
			return Draining, now + t.DrainTimeout,
				fmt.Sprintf("not heard within %v by %s", time.Duration(t.AckTimeout),
					joinNames(progress.Unacknowledged)), true
		}
	case Draining:
		switch {
		case progress.RemainingSessions == 0 && len(progress.Unreported) == 0:
			return Out, now + progress.WorkDuration + t.ReturnTimeout, "nothing stands there any more", true
		case elapsed >= t.DrainTimeout && len(progress.Unreported) > 0:
			return Out, now + progress.WorkDuration + t.ReturnTimeout,
				fmt.Sprintf("%d sessions stand there after %v, and nothing is known from %s",
					progress.RemainingSessions, time.Duration(t.DrainTimeout), joinNames(progress.Unreported)), true
		case elapsed >= t.DrainTimeout:
			return Out, now + progress.WorkDuration + t.ReturnTimeout,
				fmt.Sprintf("%d sessions stand there after %v", progress.RemainingSessions,
					time.Duration(t.DrainTimeout)), true
		}
	case Out:
		if elapsed >= progress.WorkDuration+t.ReturnTimeout {
			return Back, now + t.WarmUpTime,
				fmt.Sprintf("nobody said that it is done, %v after its time", time.Duration(t.ReturnTimeout)), true
		}
	case Back:
		if elapsed >= t.WarmUpTime {
			return Done, 0, "as warm as the others", true
		}
	}
	return progress.Step, 0, "", false
}

// MaxDuration is an upper bound of the time from a grant to its end: granted work is over by then, whatever fails,
// while the fronts have a quorum. Together with the order of requests it bounds how long any request waits.
func (t Timeouts) MaxDuration(work Time) Time {
	return t.AckTimeout + t.DrainTimeout + work + t.ReturnTimeout + t.WarmUpTime
}

func joinNames(list []string) string {
	const maxNames = 5
	if len(list) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:maxNames], ", "), len(list)-maxNames)
	}
	return strings.Join(list, ", ")
}

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
type Times struct {
	Hear  Time // from a grant until fronts that have not acknowledged it are no longer waited for
	Drain Time // from then until the machines go out with the sessions that are still on them
	Late  Time // beyond the requested duration, until machines not reported back are taken back
	Back  Time // at a cold server's pace; the machines still count as out
}

// Progress is the known state of granted work.
type Course struct {
	Step     Step
	Since    Time
	For      Time
	Unheard  []string // present fronts that have not acknowledged the grant
	Unsaid   []string // present fronts that have not reported the sessions on the machines since
	Standing int      // known sessions on the machines
}

// Next returns the step that the work enters now, if any, until when that step may last, and why.
func (t Times) Next(now Time, progress Course) (next Step, until Time, why string, ok bool) {
	elapsed := now - progress.Since
	switch progress.Step {
	case Granted:
		switch {
		case len(progress.Unheard) == 0:
			return Draining, now + t.Drain, "every front here has heard", true
		case elapsed >= t.Hear:
			return Draining, now + t.Drain,
				fmt.Sprintf("not heard within %v by %s", time.Duration(t.Hear), joinNames(progress.Unheard)), true
		}
	case Draining:
		switch {
		case progress.Standing == 0 && len(progress.Unsaid) == 0:
			return Out, now + progress.For + t.Late, "nothing stands there any more", true
		case elapsed >= t.Drain && len(progress.Unsaid) > 0:
			return Out, now + progress.For + t.Late,
				fmt.Sprintf("%d sessions stand there after %v, and nothing is known from %s", progress.Standing,
					time.Duration(t.Drain), joinNames(progress.Unsaid)), true
		case elapsed >= t.Drain:
			return Out, now + progress.For + t.Late,
				fmt.Sprintf("%d sessions stand there after %v", progress.Standing, time.Duration(t.Drain)), true
		}
	case Out:
		if elapsed >= progress.For+t.Late {
			return Back, now + t.Back,
				fmt.Sprintf("nobody said that it is done, %v after its time", time.Duration(t.Late)), true
		}
	case Back:
		if elapsed >= t.Back {
			return Done, 0, "as warm as the others", true
		}
	}
	return progress.Step, 0, "", false
}

// MaxDuration is an upper bound of the time from a grant to its end: granted work is over by then, whatever fails,
// while the fronts have a quorum. Together with the order of requests it bounds how long any request waits.
func (t Times) Longest(work Time) Time { return t.Hear + t.Drain + work + t.Late + t.Back }

func joinNames(list []string) string {
	const maxNames = 5
	if len(list) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:maxNames], ", "), len(list)-maxNames)
	}
	return strings.Join(list, ", ")
}

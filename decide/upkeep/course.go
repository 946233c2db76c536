package upkeep

import (
	"fmt"
	"strings"
	"time"
)

// The course of work that was let go: told to the fronts, emptied, out, taken back. Every step has a time-out, and what
// follows on it is chosen so that nothing stays out for ever and nothing is taken down that still carries what could move.

// Step is how far work has come.
type Step uint8

// The steps, in order.
const (
	Granted  Step = iota // the fronts are being told
	Draining             // all have heard; sessions move away or end
	Out                  // the machines are whoever asked's
	Back                 // taken in again, at a cold server's pace
	Done
)

// Times bound the steps.
type Times struct {
	Hear  Time // from a grant until fronts that have not said that they heard are not waited for
	Drain Time // from then until the machines go out with what still stands on them
	Late  Time // beyond what was asked for, until machines that nobody reported back are taken in again
	Back  Time // at a cold server's pace, counted as out
}

// Course is work that was let go, and what is known of it.
type Course struct {
	Step     Step
	Since    Time
	For      Time
	Unheard  []string // fronts that are here and have not said that they know of the grant
	Unsaid   []string // fronts that are here and have not told since what stands on the machines
	Standing int      // sessions that stand on the machines for all that is known
}

// Next tells the step that work is to take now, if any, until when that may last, and why.
func (t Times) Next(now Time, c Course) (to Step, until Time, why string, ok bool) {
	passed := now - c.Since
	switch c.Step {
	case Granted:
		switch {
		case len(c.Unheard) == 0:
			return Draining, now + t.Drain, "every front here has heard", true
		case passed >= t.Hear:
			return Draining, now + t.Drain, fmt.Sprintf("not heard within %v by %s", time.Duration(t.Hear), names(c.Unheard)), true
		}
	case Draining:
		switch {
		case c.Standing == 0 && len(c.Unsaid) == 0:
			return Out, now + c.For + t.Late, "nothing stands there any more", true
		case passed >= t.Drain && len(c.Unsaid) > 0:
			return Out, now + c.For + t.Late, fmt.Sprintf("%d sessions stand there after %v, and nothing is known from %s", c.Standing,
				time.Duration(t.Drain), names(c.Unsaid)), true
		case passed >= t.Drain:
			return Out, now + c.For + t.Late, fmt.Sprintf("%d sessions stand there after %v", c.Standing, time.Duration(t.Drain)), true
		}
	case Out:
		if passed >= c.For+t.Late {
			return Back, now + t.Back, fmt.Sprintf("nobody said that it is done, %v after its time", time.Duration(t.Late)), true
		}
	case Back:
		if passed >= t.Back {
			return Done, 0, "as warm as the others", true
		}
	}
	return c.Step, 0, "", false
}

// Longest is an upper bound from a grant to its end: what is granted is over by then, whatever fails, while the fronts
// have a majority. With the order of asks it bounds how long any ask waits.
func (t Times) Longest(work Time) Time { return t.Hear + t.Drain + work + t.Late + t.Back }

func names(list []string) string {
	const most = 5
	if len(list) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:most], ", "), len(list)-most)
	}
	return strings.Join(list, ", ")
}

package audit

import (
	"testing"

	"tealledge/internal/record"
)

// Two attempts that arrive almost together: that at server 2 was sent first, its connection ended, and its receiver was
// late. Reported as two in flight, it failed a run that kept the rules. Attempts farther apart, one that does not end,
// and attempts numbered by their front must still be reported.
func TestOrderOfAttemptsNumberedOnArrival(t *testing.T) {
	for name, c := range map[string]struct {
		onArrival       bool
		secondAt, endAt int64 // of the attempt at server 2; 0: it does not end
		violations      int
	}{
		"recorded in the wrong order": {true, 701, 702, 0},
		"the second does not end":     {true, 701, 0, 1},
		"the second ends too late":    {true, 701, 760, 1},
		"too far apart":               {true, 740, 741, 1},
		"numbered by the front":       {false, 701, 702, 1},
	} {
		rules := testRules()
		rules.NumberedOnArrival = c.onArrival
		events := []record.Event{rules.Event(), mediaEvent(700, record.SetupReceived, "9", 0, 3, nil),
			mediaEvent(c.secondAt, record.SetupReceived, "9", 1, 2, nil)}
		if c.endAt != 0 {
			events = append(events, mediaEvent(c.endAt, record.ServerConnEnded, "", 0, 2, nil))
		}
		events = append(events, mediaEvent(2000, record.TeardownReceived, "9", 0, 3, nil))
		report, err := Judge(events)
		if err != nil {
			t.Fatal(err)
		}
		if n := report.Count(RuleOnce); n != c.violations {
			t.Errorf("%s: %d violations, want %d: %v", name, n, c.violations, report.Violations)
		}
	}
}

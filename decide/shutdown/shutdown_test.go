package shutdown

import (
	"testing"

	"tealledge/policy"
)

const ms = policy.Millisecond

// The kill time must follow from the longest deadline of the settings, counted as 3 s at most.
func TestEarliestKillFollowsLongestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		deadlines []policy.Time
		after     policy.Time
	}{
		"longest of several":      {[]policy.Time{700 * ms, 1200 * ms, 900 * ms}, 1900 * ms},
		"longer than counted":     {[]policy.Time{700 * ms, 5000 * ms}, 3700 * ms},
		"a class without one":     {[]policy.Time{0, 700 * ms}, 3700 * ms},
		"exactly the longest one": {[]policy.Time{3000 * ms}, 3700 * ms},
	} {
		var classes []policy.Class
		for _, d := range c.deadlines {
			classes = append(classes, policy.Class{Deadline: d})
		}
		if at := EarliestKill(1000*ms, classes); at != 1000*ms+c.after {
			t.Errorf("%s: %d ms after SIGTERM, want %d", name, (at-1000*ms)/ms, c.after/ms)
		}
	}
}

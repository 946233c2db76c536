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

// A request must be refused only if the shutdown takes most of its time, and no admitted one may be answered after
// AnswerBy, which has to come before the earliest kill, as all that follows.
func TestPlanAdmitsOnlyWhatItCanAnswer(t *testing.T) {
	plan := NewPlan(3700 * ms)
	if !(plan.AnswerBy < plan.CloseAt && plan.CloseAt < plan.ForceCloseAt && plan.ForceCloseAt < plan.EndBy &&
		plan.EndBy < 3700*ms) {
		t.Errorf("the times are not in order: %+v", plan)
	}
	for name, c := range map[string]struct {
		now, deadline policy.Time
		admitted      bool
	}{
		"long before the end":             {100 * ms, 3100 * ms, true},
		"deadline after the end":          {2000 * ms, 7000 * ms, true},
		"too little time left":            {plan.AnswerBy - minAttemptTime + 1, 7000 * ms, false},
		"little time, but it asks little": {plan.AnswerBy - 100*ms, plan.AnswerBy, true},
		"at least half of its time":       {plan.AnswerBy - 100*ms, plan.AnswerBy + 100*ms, true},
		"after the end":                   {plan.AnswerBy + 1, plan.AnswerBy + 20*ms, false},
	} {
		if got := plan.Admits(c.now, c.deadline); got != c.admitted {
			t.Errorf("%s: admitted %v", name, got)
		}
		if by := plan.LimitDeadline(c.deadline); by > plan.AnswerBy || by > c.deadline {
			t.Errorf("%s: answered by %d ms", name, by/ms)
		}
	}
	early := plan.EndEarly(1500 * ms)
	if early.Admits(1500*ms, 1600*ms) || early.CloseAt != 1500*ms || early.EndBy != plan.EndBy {
		t.Errorf("ended early: %+v", early)
	}
}

package rig

import (
	"testing"
	"time"

	"tealledge/internal/fleet/ledger"
)

// TestLinearizableRefusesImpossibleHistories: a history that no order of the commands explains is refused, and one
// with a lost reply is not.
func TestLinearizableRefusesImpossibleHistories(t *testing.T) {
	ask := func(key string, from, to int64, id uint64) Call {
		return Call{Kind: "ask", Key: key, StartedAt: from, EndedAt: to, Result: ledger.CommandResult{ID: id},
			Unknown: id == 0}
	}
	done := func(key string, from, to int64, id uint64) Call {
		return Call{Kind: "done", Key: key, ID: id, StartedAt: from, EndedAt: to, Result: ledger.CommandResult{ID: id}}
	}
	for name, c := range map[string]struct {
		calls        []Call
		linearizable bool
	}{
		"in order":                       {[]Call{ask("a", 1, 2, 3), ask("b", 3, 4, 5)}, true},
		"at the same time, either order": {[]Call{ask("a", 1, 9, 5), ask("b", 2, 8, 3)}, true},
		"later request, lower number":    {[]Call{ask("a", 1, 2, 5), ask("b", 3, 4, 3)}, false},
		"one key, two works":             {[]Call{ask("a", 1, 2, 3), ask("a", 3, 4, 5)}, false},
		"lost reply, known later":        {[]Call{ask("a", 1, 2, 0), ask("b", 3, 4, 5), ask("a", 5, 6, 3)}, true},
		"a work ended twice":             {[]Call{ask("a", 1, 2, 3), done("x", 3, 4, 3), done("y", 5, 6, 3)}, false},
	} {
		if got := Linearizable(c.calls, 5*time.Second); got != c.linearizable {
			t.Errorf("%s: Linearizable = %v", name, got)
		}
	}
}

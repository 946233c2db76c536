package audit

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/record"
)

// TestDetectsViolationOfEachUpkeepRule checks that each rule on machines that are out for work is reported for a record
// that breaks it, and not for a similar record that keeps it.
func TestDetectsViolationOfEachUpkeepRule(t *testing.T) {
	u := UpkeepLimits{MaxPerRack: 1, MaxPerZone: 2, MaxTotal: 2, Cells: 12, Racks: 6, Zones: 3,
		Grace: 250 * time.Millisecond}
	at := func(ms int64, what string, e record.Event) record.Event {
		e.At, e.Kind = ms*1e6, what
		return e
	}
	out := func(ms int64, server uint32) record.Event {
		return at(ms, record.ServerTakenOut, record.Event{Server: server, Ref: "3"})
	}
	for name, c := range map[string]struct {
		events []record.Event
		rule   string // "": none
	}{
		"two of one rack":                {[]record.Event{out(0, 1), out(10, 7)}, RuleMaxOut},
		"one of a rack after the other":  {[]record.Event{out(0, 1), at(5, record.ServerReturned, record.Event{Server: 1}), out(10, 7)}, ""},
		"three in all":                   {[]record.Event{out(0, 1), out(1, 2), out(2, 3)}, RuleMaxOut},
		"with one that failed earlier":   {[]record.Event{at(0, record.ServerDied, record.Event{Server: 7}), out(3000, 1)}, RuleMaxOut},
		"with one that has just failed":  {[]record.Event{at(0, record.ServerDied, record.Event{Server: 7}), out(1000, 1)}, ""},
		"set-up at a server that is out": {[]record.Event{out(20_000, 1), at(20_300, record.SetupReceived, record.Event{Server: 1, Front: "f"})}, RuleNoNewSetup},
		"set-up from an isolated front":  {[]record.Event{at(0, record.FrontIsolated, record.Event{Front: "f"}), out(20_000, 1), at(20_300, record.SetupReceived, record.Event{Server: 1, Front: "f"})}, ""},
		"stream ended by the work":       {[]record.Event{out(20_000, 1), at(20_300, record.StreamEnded, record.Event{Server: 1, Front: "f", Text: "killed"})}, RuleNoLostSession},
		"request that did not end":       {[]record.Event{at(0, record.WorkRequested, record.Event{Ref: "k"}), at(9, record.FleetSettled, record.Event{})}, RuleRequestEnds},
		"requested twice, ended once": {[]record.Event{at(0, record.WorkRequested, record.Event{Ref: "k"}), at(1, record.WorkRequested, record.Event{Ref: "k"}),
			at(8, record.WorkEnded, record.Event{Ref: "3", Text: "done: warm"}), at(9, record.FleetSettled, record.Event{})}, ""},
		"refused without a reason": {[]record.Event{at(8, record.WorkEnded, record.Event{Ref: "3", Text: "refused:"})}, RuleRequestEnds},
	} {
		broken, _ := JudgeUpkeep(c.events, u)
		if c.rule == "" && len(broken) > 0 ||
			c.rule != "" && (len(broken) != 1 || !strings.HasPrefix(broken[0].Rule, c.rule)) {
			t.Errorf("%s: %v", name, broken)
		}
	}
}

package audit

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/record"
)

// Every rule on machines out for work is broken by a record that breaks it, and by none that only looks like it.
func TestUpkeepRulesCanBreak(t *testing.T) {
	u := Upkeep{Rack: 1, Zone: 2, Whole: 2, Cells: 12, Racks: 6, Zones: 3, Grace: 250 * time.Millisecond}
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
		"two of a rack":                 {[]record.Event{out(0, 1), out(10, 7)}, RuleOut},
		"one of a rack after the other": {[]record.Event{out(0, 1), at(5, record.ServerReturned, record.Event{Server: 1}), out(10, 7)}, ""},
		"three in all":                  {[]record.Event{out(0, 1), out(1, 2), out(2, 3)}, RuleOut},
		"beside one that failed":        {[]record.Event{at(0, record.ServerDied, record.Event{Server: 7}), out(3000, 1)}, RuleOut},
		"beside one that just failed":   {[]record.Event{at(0, record.ServerDied, record.Event{Server: 7}), out(1000, 1)}, ""},
		"a set-up at one that is out":   {[]record.Event{out(20_000, 1), at(20_300, record.SetupReceived, record.Event{Server: 1, Front: "f"})}, RuleFree},
		"a set-up from a deaf front":    {[]record.Event{at(0, record.FrontIsolated, record.Event{Front: "f"}), out(20_000, 1), at(20_300, record.SetupReceived, record.Event{Server: 1, Front: "f"})}, ""},
		"a stream cut by the work":      {[]record.Event{out(20_000, 1), at(20_300, record.StreamEnded, record.Event{Server: 1, Front: "f", Text: "killed"})}, RuleLost},
		"an ask left open":              {[]record.Event{at(0, record.WorkRequested, record.Event{Ref: "k"}), at(9, record.FleetSettled, record.Event{})}, RuleEnded},
		"asked twice, ended once": {[]record.Event{at(0, record.WorkRequested, record.Event{Ref: "k"}), at(1, record.WorkRequested, record.Event{Ref: "k"}),
			at(8, record.WorkEnded, record.Event{Ref: "3", Text: "done: warm"}), at(9, record.FleetSettled, record.Event{})}, ""},
		"an end without a reason": {[]record.Event{at(8, record.WorkEnded, record.Event{Ref: "3", Text: "refused:"})}, RuleEnded},
	} {
		broken, _ := JudgeUpkeep(c.events, u)
		if c.rule == "" && len(broken) > 0 || c.rule != "" && (len(broken) != 1 || !strings.HasPrefix(broken[0].Rule, c.rule)) {
			t.Errorf("%s: %v", name, broken)
		}
	}
}

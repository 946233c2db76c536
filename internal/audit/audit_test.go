package audit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tealledge/internal/record"
)

const ms = int64(time.Millisecond)

func rules() Rules {
	return Rules{Classes: []Class{{Name: "safe", Deadline: 4 * time.Second, Aim: time.Second},
		{Name: "paid", Paid: true, Seats: 1, Deadline: 3 * time.Second, Aim: time.Second},
		{Name: "floored", Floor: 1, Deadline: 3 * time.Second, Aim: time.Second}},
		AnswerGrace: 40 * time.Millisecond, DrainGrace: 250 * time.Millisecond, Skew: 30 * time.Millisecond,
		ColdSpan: 10 * time.Second, ColdFrom: 0.5, FallTimes: 2, FallSpan: time.Second, Budgeted: true, Spare: 3, Ratio: 0.1,
		BudgetSpan: 10 * time.Second, RungWorth: []float64{0.5, 1}, StallCost: 5}
}

// at makes an event of front f1 at a time in milliseconds.
func at(t int64, what string, set func(*record.Event)) record.Event {
	e := record.Event{At: 1_000_000*ms + t*ms, Kind: what, Front: "f1", Source: "x"}
	if set != nil {
		set(&e)
	}
	return e
}

func ask(t int64, call string, class int) record.Event {
	return at(t, record.RequestSent, func(e *record.Event) { e.Ref, e.Class = call, class })
}

func reply(t int64, call, text, session string, class int) record.Event {
	return at(t, record.ReplyReceived, func(e *record.Event) { e.Ref, e.Text, e.Session, e.Class = call, text, session, class })
}

func media(t int64, what, session string, attempt int, server uint32, set func(*record.Event)) record.Event {
	return at(t, what, func(e *record.Event) {
		e.Session, e.Attempt, e.Server, e.Title = session, attempt, server, "t"
		if set != nil {
			set(e)
		}
	})
}

func class(n int) func(*record.Event)  { return func(e *record.Event) { e.Class = n } }
func other(e *record.Event)            { e.Class, e.Title = 1, "other" }
func status(n int) func(*record.Event) { return func(e *record.Event) { e.Status = n } }

// good is a run that keeps every rule and exercises each: a session that plays, one tried twice, a paid one turned
// away by a full server and set up at the next, a drain notice, a cold server.
func good() []record.Event {
	return []record.Event{rules().Event(),
		at(0, record.ServerListed, func(e *record.Event) { e.Server, e.Health = 1, "ready" }),
		ask(10, "a", 0), media(11, record.SetupReceived, "1", 0, 1, nil), media(13, record.SetupAnswered, "1", 0, 1, status(200)),
		media(13, record.StreamStarted, "1", 0, 1, nil), reply(14, "a", "plays", "1", 0),
		ask(20, "b", 0), media(21, record.SetupReceived, "2", 0, 1, nil), media(400, record.TeardownReceived, "2", 0, 1, nil),
		media(401, record.SetupReceived, "2", 1, 2, nil), media(403, record.SetupAnswered, "2", 1, 2, status(200)),
		media(403, record.StreamStarted, "2", 1, 2, nil), reply(404, "b", "plays", "2", 0),
		ask(500, "c", 1), media(501, record.SetupReceived, "3", 0, 1, class(1)), media(502, record.SetupAnswered, "3", 0, 1, status(453)),
		at(503, record.ServerListed, func(e *record.Event) { e.Server, e.Health = 1, "draining" }),
		at(504, record.ServerStarted, func(e *record.Event) { e.Server, e.Cold, e.Slots = 3, true, 20 }),
		media(505, record.SetupReceived, "3", 1, 3, class(1)), media(506, record.SetupAnswered, "3", 1, 3, status(200)), media(506, record.StreamStarted, "3", 1, 3, class(1)),
		reply(507, "c", "plays", "3", 1),
		at(20, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 7, 1 }),
		at(21, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 8, 1 }),
		media(22, record.SegmentRequested, "", 0, 1, nil),
		at(600, record.RequestSent, func(e *record.Event) { e.Ref = "gone" }),
		at(601, record.PlayerLeft, func(e *record.Event) { e.Ref = "gone" }),
		media(900, record.StreamEnded, "1", 0, 1, nil), media(900, record.StreamEnded, "2", 1, 2, nil), media(900, record.StreamEnded, "3", 1, 3, class(1)),
		at(2000, record.DayFinished, nil)}
}

func without(drop func(record.Event) bool) []record.Event {
	var out []record.Event
	for _, e := range good() {
		if !drop(e) {
			out = append(out, e)
		}
	}
	return out
}

func with(more ...record.Event) []record.Event {
	all := append(good(), more...)
	// In the order of time, as a record is read.
	for i := range all {
		for k := i; k > 0 && all[k].At < all[k-1].At && all[k].At > 0 && all[k-1].Kind != record.AuditRules; k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
	}
	return all
}

func TestAGoodRunBreaksNothing(t *testing.T) {
	r, err := Judge(good())
	if err != nil || len(r.Violations) > 0 {
		t.Fatal(err, r.Violations)
	}
	for _, rule := range RuleNames {
		if r.Checked[rule] == 0 {
			t.Errorf("rule %s was not checked", rule)
		}
	}
}

// TestEachRuleIsCaught feeds, for each rule, records doctored in each way that breaks it.
func TestEachRuleIsCaught(t *testing.T) {
	late := func(call string, t int64) []record.Event {
		list := without(func(e record.Event) bool { return e.Kind == record.ReplyReceived && e.Ref == call })
		return append(list, reply(t, call, "plays", "1", 0))
	}
	for name, c := range map[string]struct {
		rule   string
		events []record.Event
	}{
		"no answer":                 {RuleAnswer, append(without(func(e record.Event) bool { return e.Kind == record.ReplyReceived && e.Ref == "a" }), at(9000, "end", nil))},
		"late answer":               {RuleAnswer, late("a", 4100)},
		"second answer":             {RuleAnswer, with(reply(700, "a", "refused", "1", 0))},
		"closed without an answer":  {RuleAnswer, with(ask(650, "d", 0), at(660, record.PlayerConnLost, func(e *record.Event) { e.Ref = "d" }))},
		"two attempts out":          {RuleOnce, without(func(e record.Event) bool { return e.Kind == record.TeardownReceived })},
		"one attempt twice":         {RuleOnce, with(media(890, record.SetupReceived, "9", 0, 2, nil), media(891, record.SetupAnswered, "9", 0, 2, status(453)), media(892, record.SetupReceived, "9", 0, 2, nil), media(893, record.SetupAnswered, "9", 0, 2, status(453)))},
		"paid again on a guess":     {RuleOnce, without(func(e record.Event) bool { return e.Kind == record.SetupAnswered && e.Status == 453 })},
		"paid refused on a guess":   {RuleOnce, with(ask(700, "d", 1), media(701, record.SetupReceived, "4", 0, 2, other), media(702, record.ServerConnEnded, "", 0, 2, nil), reply(703, "d", "refused", "4", 1))},
		"paid again, answer lost":   {RuleOnce, with(ask(700, "d", 1), media(701, record.SetupReceived, "4", 0, 2, other), media(702, record.SetupAnswered, "4", 0, 2, func(e *record.Event) { e.Status, e.Lost = 453, true }), media(703, record.TeardownReceived, "4", 0, 2, nil), media(704, record.SetupReceived, "4", 1, 3, other), media(705, record.SetupAnswered, "4", 1, 3, status(453)))},
		"after a drain notice":      {RuleDrain, with(media(800, record.SetupReceived, "9", 0, 1, nil), media(801, record.SetupAnswered, "9", 0, 1, status(453)))},
		"pushed over":               {RuleCold, with(at(950, record.ServerDied, func(e *record.Event) { e.Server, e.Text = 3, "pushed over while cold" }))},
		"under the floor":           {RuleTerms, with(media(700, record.SetupReceived, "9", 0, 2, class(2)), media(701, record.SetupAnswered, "9", 0, 2, status(453)))},
		"rung lowered under it":     {RuleTerms, with(media(700, record.RungSet, "9", 0, 2, class(2)))},
		"more than the seats":       {RuleTerms, with(media(700, record.SetupReceived, "9", 0, 2, class(1)), media(701, record.SetupAnswered, "9", 0, 2, status(453)))},
		"a stream nobody watches":   {RuleOrphans, without(func(e record.Event) bool { return e.Kind == record.StreamEnded && e.Session == "1" })},
		"no playlist":               {RuleList, with(at(700, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Text = "x/2", "truncated" }))},
		"a sequence goes back":      {RuleList, with(at(700, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 6, 1 }))},
		"a discontinuity goes back": {RuleList, with(at(700, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 9, 0 }))},
		"a segment of nobody":       {RuleList, with(media(700, record.SegmentRequested, "", 0, 2, func(e *record.Event) { e.Viewer = "other" }))},
		"a segment that is none":    {RuleList, with(media(700, record.SegmentRequested, "", 0, 1, status(404)))},
		"further attempts in a row": {RuleBudget, with(further(3)...)},
		"too fast at a cold server": {RuleCold, with(burst(12)...)},
	} {
		r, err := Judge(c.events)
		if err != nil {
			t.Fatal(err)
		}
		if r.Count(c.rule) == 0 {
			t.Errorf("%s: rule %s not caught; %v", name, c.rule, r.Violations)
		}
		for _, v := range r.Violations {
			if v.Rule != c.rule {
				t.Errorf("%s: also %v", name, v)
			}
		}
	}
}

func further(n int) (out []record.Event) {
	for i := range n {
		s := string(rune('p' + i))
		out = append(out, media(700+int64(i), record.SetupReceived, s, 1, 2, nil), media(701+int64(i), record.SetupAnswered, s, 1, 2, status(453)))
	}
	return out
}

func burst(n int) (out []record.Event) {
	for i := range n {
		s := string(rune('A' + i))
		out = append(out, media(700+int64(i), record.SetupReceived, s, 0, 3, nil), media(701+int64(i), record.SetupAnswered, s, 0, 3, status(453)))
	}
	return out
}

func TestWhatIsNotOwed(t *testing.T) {
	for name, more := range map[string][]record.Event{
		"the front was killed": {ask(700, "d", 0), at(705, record.FrontKilled, nil), at(706, record.PlayerConnLost, func(e *record.Event) { e.Ref = "d" })},
		"it was leaving":       {at(690, record.FrontDraining, nil), ask(700, "d", 0), at(706, record.PlayerConnLost, func(e *record.Event) { e.Ref = "d" })},
		"it stood still":       {ask(700, "d", 0), at(701, record.FrontPaused, nil), at(6000, record.FrontResumed, nil), reply(6001, "d", "failed", "7", 0)},
	} {
		events := with(more...)
		if r, _ := Judge(events); len(r.Violations) > 0 {
			t.Errorf("%s: %v", name, r.Violations)
		}
	}
}

func TestRecordsAreReadBack(t *testing.T) {
	dir := t.TempDir()
	for i, part := range [][]record.Event{good()[:9], good()[9:]} {
		l, err := record.Create(filepath.Join(dir, string(rune('a'+i))+".jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range part {
			l.Add(e)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	events, err := record.ReadDir(dir)
	if err != nil || len(events) != len(good()) {
		t.Fatal(len(events), err)
	}
	r, err := Judge(events)
	if err != nil || len(r.Violations) > 0 || !strings.Contains(r.Table(), RuleOnce) {
		t.Fatal(err, r)
	}
	os.WriteFile(filepath.Join(dir, "c.jsonl"), []byte("{\"t\":1}\n{nonsense\n"), 0o644)
	if _, err := record.ReadDir(dir); err == nil || !strings.Contains(err.Error(), "c.jsonl:2") {
		t.Fatal(err)
	}
	if _, err := Judge(nil); err == nil {
		t.Fatal("judged without rules")
	}
}

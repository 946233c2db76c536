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

func testRules() Rules {
	return Rules{Classes: []Class{{Name: "safe", Deadline: 4 * time.Second, Aim: time.Second},
		{Name: "paid", Paid: true, Seats: 1, Deadline: 3 * time.Second, Aim: time.Second},
		{Name: "floored", Floor: 1, Deadline: 3 * time.Second, Aim: time.Second}},
		AnswerGrace: 40 * time.Millisecond, DrainGrace: 250 * time.Millisecond, Skew: 30 * time.Millisecond,
		ColdSpan: 10 * time.Second, ColdFrom: 0.5, FallTimes: 2, FallSpan: time.Second, Budgeted: true,
		Spare: 3, Ratio: 0.1, BudgetSpan: 10 * time.Second, RungWorth: []float64{0.5, 1}, StallCost: 5}
}

// eventAt returns an event of front f1 at a time in milliseconds.
func eventAt(t int64, kind string, set func(*record.Event)) record.Event {
	e := record.Event{At: 1_000_000*ms + t*ms, Kind: kind, Front: "f1", Source: "x"}
	if set != nil {
		set(&e)
	}
	return e
}

func requestEvent(t int64, ref string, class int) record.Event {
	return eventAt(t, record.RequestSent, func(e *record.Event) { e.Ref, e.Class = ref, class })
}

func replyEvent(t int64, ref, text, session string, class int) record.Event {
	return eventAt(t, record.ReplyReceived, func(e *record.Event) {
		e.Ref, e.Text, e.Session, e.Class = ref, text, session, class
	})
}

func mediaEvent(t int64, kind, session string, attempt int, server uint32, set func(*record.Event)) record.Event {
	return eventAt(t, kind, func(e *record.Event) {
		e.Session, e.Attempt, e.Server, e.Title = session, attempt, server, "t"
		if set != nil {
			set(e)
		}
	})
}

func withClass(n int) func(*record.Event)  { return func(e *record.Event) { e.Class = n } }
func withOtherTitle(e *record.Event)       { e.Class, e.Title = 1, "other" }
func withStatus(n int) func(*record.Event) { return func(e *record.Event) { e.Status = n } }

// goodRun is a run that keeps every rule and exercises each: a session that plays, one that is attempted twice, a paid
// one that a full server refuses and the next one accepts, a drain notice, and a cold server.
func goodRun() []record.Event {
	return []record.Event{testRules().Event(),
		eventAt(0, record.ServerListed, func(e *record.Event) { e.Server, e.Health = 1, "ready" }),
		requestEvent(10, "a", 0), mediaEvent(11, record.SetupReceived, "1", 0, 1, nil), mediaEvent(13, record.SetupAnswered, "1", 0, 1, withStatus(200)),
		mediaEvent(13, record.StreamStarted, "1", 0, 1, nil), replyEvent(14, "a", "plays", "1", 0),
		requestEvent(20, "b", 0), mediaEvent(21, record.SetupReceived, "2", 0, 1, nil), mediaEvent(400, record.TeardownReceived, "2", 0, 1, nil),
		mediaEvent(401, record.SetupReceived, "2", 1, 2, nil), mediaEvent(403, record.SetupAnswered, "2", 1, 2, withStatus(200)),
		mediaEvent(403, record.StreamStarted, "2", 1, 2, nil), replyEvent(404, "b", "plays", "2", 0),
		requestEvent(500, "c", 1), mediaEvent(501, record.SetupReceived, "3", 0, 1, withClass(1)), mediaEvent(502, record.SetupAnswered, "3", 0, 1, withStatus(453)),
		eventAt(503, record.ServerListed, func(e *record.Event) { e.Server, e.Health = 1, "draining" }),
		eventAt(504, record.ServerStarted, func(e *record.Event) { e.Server, e.Cold, e.Slots = 3, true, 20 }),
		mediaEvent(505, record.SetupReceived, "3", 1, 3, withClass(1)), mediaEvent(506, record.SetupAnswered, "3", 1, 3, withStatus(200)), mediaEvent(506, record.StreamStarted, "3", 1, 3, withClass(1)),
		replyEvent(507, "c", "plays", "3", 1),
		eventAt(20, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 7, 1 }),
		eventAt(21, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 8, 1 }),
		mediaEvent(22, record.SegmentRequested, "", 0, 1, nil),
		eventAt(600, record.RequestSent, func(e *record.Event) { e.Ref = "gone" }),
		eventAt(601, record.PlayerLeft, func(e *record.Event) { e.Ref = "gone" }),
		mediaEvent(900, record.StreamEnded, "1", 0, 1, nil), mediaEvent(900, record.StreamEnded, "2", 1, 2, nil), mediaEvent(900, record.StreamEnded, "3", 1, 3, withClass(1)),
		eventAt(2000, record.DayFinished, nil)}
}

func goodRunWithout(drop func(record.Event) bool) []record.Event {
	var out []record.Event
	for _, e := range goodRun() {
		if !drop(e) {
			out = append(out, e)
		}
	}
	return out
}

func goodRunWith(more ...record.Event) []record.Event {
	all := append(goodRun(), more...)
	// Sort by time: Judge expects ordered events.
	for i := range all {
		for k := i; k > 0 && all[k].At < all[k-1].At && all[k].At > 0 && all[k-1].Kind != record.AuditRules; k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
	}
	return all
}

func TestAcceptsRunThatKeepsAllRules(t *testing.T) {
	r, err := Judge(goodRun())
	if err != nil || len(r.Violations) > 0 {
		t.Fatal(err, r.Violations)
	}
	for _, rule := range RuleNames {
		if r.Checked[rule] == 0 {
			t.Errorf("rule %s was not checked", rule)
		}
	}
}

// TestDetectsViolationOfEachRule checks that each way to break a rule is reported, as a violation of that rule only.
func TestDetectsViolationOfEachRule(t *testing.T) {
	late := func(call string, t int64) []record.Event {
		list := goodRunWithout(func(e record.Event) bool { return e.Kind == record.ReplyReceived && e.Ref == call })
		return append(list, replyEvent(t, call, "plays", "1", 0))
	}
	for name, c := range map[string]struct {
		rule   string
		events []record.Event
	}{
		"no answer":                {RuleAnswer, append(goodRunWithout(func(e record.Event) bool { return e.Kind == record.ReplyReceived && e.Ref == "a" }), eventAt(9000, "end", nil))},
		"late answer":              {RuleAnswer, late("a", 4100)},
		"second answer":            {RuleAnswer, goodRunWith(replyEvent(700, "a", "refused", "1", 0))},
		"closed without an answer": {RuleAnswer, goodRunWith(requestEvent(650, "d", 0), eventAt(660, record.PlayerConnLost, func(e *record.Event) { e.Ref = "d" }))},
		"two attempts in flight":   {RuleOnce, goodRunWithout(func(e record.Event) bool { return e.Kind == record.TeardownReceived })},
		"same attempt twice":       {RuleOnce, goodRunWith(mediaEvent(890, record.SetupReceived, "9", 0, 2, nil), mediaEvent(891, record.SetupAnswered, "9", 0, 2, withStatus(453)), mediaEvent(892, record.SetupReceived, "9", 0, 2, nil), mediaEvent(893, record.SetupAnswered, "9", 0, 2, withStatus(453)))},
		"paid session set up again, earlier attempt unknown": {RuleOnce, goodRunWithout(func(e record.Event) bool { return e.Kind == record.SetupAnswered && e.Status == 453 })},
		"paid session refused, earlier attempt unknown":      {RuleOnce, goodRunWith(requestEvent(700, "d", 1), mediaEvent(701, record.SetupReceived, "4", 0, 2, withOtherTitle), mediaEvent(702, record.ServerConnEnded, "", 0, 2, nil), replyEvent(703, "d", "refused", "4", 1))},
		"paid session set up again, answer lost":             {RuleOnce, goodRunWith(requestEvent(700, "d", 1), mediaEvent(701, record.SetupReceived, "4", 0, 2, withOtherTitle), mediaEvent(702, record.SetupAnswered, "4", 0, 2, func(e *record.Event) { e.Status, e.Lost = 453, true }), mediaEvent(703, record.TeardownReceived, "4", 0, 2, nil), mediaEvent(704, record.SetupReceived, "4", 1, 3, withOtherTitle), mediaEvent(705, record.SetupAnswered, "4", 1, 3, withStatus(453)))},
		"set-up after a drain notice":                        {RuleDrain, goodRunWith(mediaEvent(800, record.SetupReceived, "9", 0, 1, nil), mediaEvent(801, record.SetupAnswered, "9", 0, 1, withStatus(453)))},
		"cold server overloaded":                             {RuleCold, goodRunWith(eventAt(950, record.ServerDied, func(e *record.Event) { e.Server, e.Text = 3, "pushed over while cold" }))},
		"set-up below the floor":                             {RuleFloorsAndSeats, goodRunWith(mediaEvent(700, record.SetupReceived, "9", 0, 2, withClass(2)), mediaEvent(701, record.SetupAnswered, "9", 0, 2, withStatus(453)))},
		"rung lowered below the floor":                       {RuleFloorsAndSeats, goodRunWith(mediaEvent(700, record.RungSet, "9", 0, 2, withClass(2)))},
		"more sessions than seats":                           {RuleFloorsAndSeats, goodRunWith(mediaEvent(700, record.SetupReceived, "9", 0, 2, withClass(1)), mediaEvent(701, record.SetupAnswered, "9", 0, 2, withStatus(453)))},
		"stream that nobody watches":                         {RuleOrphans, goodRunWithout(func(e record.Event) bool { return e.Kind == record.StreamEnded && e.Session == "1" })},
		"invalid playlist":                                   {RulePlaylists, goodRunWith(eventAt(700, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Text = "x/2", "truncated" }))},
		"sequence decreases":                                 {RulePlaylists, goodRunWith(eventAt(700, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 6, 1 }))},
		"discontinuity decreases":                            {RulePlaylists, goodRunWith(eventAt(700, record.PlaylistRead, func(e *record.Event) { e.Ref, e.Value, e.Length = "x/1", 9, 0 }))},
		"segment without a session":                          {RulePlaylists, goodRunWith(mediaEvent(700, record.SegmentRequested, "", 0, 2, func(e *record.Event) { e.Viewer = "other" }))},
		"segment that does not exist":                        {RulePlaylists, goodRunWith(mediaEvent(700, record.SegmentRequested, "", 0, 1, withStatus(404)))},
		"too many further attempts":                          {RuleBudget, goodRunWith(furtherAttempts(3)...)},
		"too many set-ups at a cold server":                  {RuleCold, goodRunWith(setupBurst(12)...)},
	} {
		r, err := Judge(c.events)
		if err != nil {
			t.Fatal(err)
		}
		if r.Count(c.rule) == 0 {
			t.Errorf("%s: rule %s not reported as broken; %v", name, c.rule, r.Violations)
		}
		for _, v := range r.Violations {
			if v.Rule != c.rule {
				t.Errorf("%s: unexpected violation %v", name, v)
			}
		}
	}
}

func furtherAttempts(n int) (out []record.Event) {
	for i := range n {
		s := string(rune('p' + i))
		out = append(out, mediaEvent(700+int64(i), record.SetupReceived, s, 1, 2, nil), mediaEvent(701+int64(i), record.SetupAnswered, s, 1, 2, withStatus(453)))
	}
	return out
}

func setupBurst(n int) (out []record.Event) {
	for i := range n {
		s := string(rune('A' + i))
		out = append(out, mediaEvent(700+int64(i), record.SetupReceived, s, 0, 3, nil), mediaEvent(701+int64(i), record.SetupAnswered, s, 0, 3, withStatus(453)))
	}
	return out
}

// TestMissingAnswerExcused checks that no answer, or a late one, is no violation if the front was killed, draining or
// paused.
func TestMissingAnswerExcused(t *testing.T) {
	for name, more := range map[string][]record.Event{
		"the front was killed":   {requestEvent(700, "d", 0), eventAt(705, record.FrontKilled, nil), eventAt(706, record.PlayerConnLost, func(e *record.Event) { e.Ref = "d" })},
		"the front was draining": {eventAt(690, record.FrontDraining, nil), requestEvent(700, "d", 0), eventAt(706, record.PlayerConnLost, func(e *record.Event) { e.Ref = "d" })},
		"the front was paused":   {requestEvent(700, "d", 0), eventAt(701, record.FrontPaused, nil), eventAt(6000, record.FrontResumed, nil), replyEvent(6001, "d", "failed", "7", 0)},
	} {
		events := goodRunWith(more...)
		if r, _ := Judge(events); len(r.Violations) > 0 {
			t.Errorf("%s: %v", name, r.Violations)
		}
	}
}

func TestJudgesRecordsReadFromDirectory(t *testing.T) {
	dir := t.TempDir()
	for i, part := range [][]record.Event{goodRun()[:9], goodRun()[9:]} {
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
	if err != nil || len(events) != len(goodRun()) {
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
		t.Fatal("a record without rules was accepted")
	}
}

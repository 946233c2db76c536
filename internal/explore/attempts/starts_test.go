package attempts

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/explore"
	"tealledge/internal/record"
)

// TestScriptOfTraceIsValid: the day script of a trace can be parsed and has the faults of the trace in their order.
func TestScriptOfTraceIsValid(t *testing.T) {
	c := seeded[string(AssumesUnwritten)]
	r := explore.Run(func() explore.System { return New(c.cfg) }, explore.Limits{MaxDepth: 60, Workers: 1,
		BreadthFirst: true})
	text := Script(c.cfg, r)
	s, err := day.Parse("story", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if len(s.Faults) != 6 || s.Faults[0].Kind != "half" {
		t.Errorf("%+v", s.Faults)
	}
	for k, form := range dayFaults {
		if _, err := day.Parse("x", strings.Replace(text, "(at ", "(at 1s "+form+")\n(at ", 1)); err != nil {
			t.Errorf("kind %d: %v", k, err)
		}
	}
}

// TestRecordGivesInitialState: sessions are at the stage that the record shows, and a search can start there.
func TestRecordGivesInitialState(t *testing.T) {
	sec := func(s float64) int64 { return 1e18 + int64(s*1e9) }
	events := []record.Event{
		{At: sec(0), Kind: record.ServerListed, Server: 2, Health: "draining"},
		{At: sec(0.1), Kind: record.SetupReceived, Front: "f1", Session: "1", Class: 0},
		{At: sec(0.2), Kind: record.SetupAnswered, Front: "f1", Session: "1", Status: 200},
		{At: sec(0.3), Kind: record.StreamStarted, Front: "f1", Session: "1"},
		{At: sec(0.4), Kind: record.SetupReceived, Front: "f1", Session: "2", Class: 2},
		{At: sec(0.5), Kind: record.SetupReceived, Front: "f2", Session: "9", Class: 1},
		{At: sec(2.0), Kind: record.TeardownReceived, Front: "f1", Session: "1"},
	}
	cfg, labels, err := FromRecord(events, time.Second, Config{Servers: 2, Drains: 1, Losses: 1, Waits: 1})
	if err != nil {
		t.Fatal(err)
	}
	w := NewWithChoices(cfg, labels)().(*world)
	plays, inFlight := 0, 0
	for i, p := range w.players {
		if p.answer == "plays" && cfg.Classes[i] == 0 {
			plays++
		}
		if p.requested && p.answer == "" && cfg.Classes[i] == 2 {
			inFlight++
		}
	}
	if plays != 1 || inFlight != 1 || !w.servers[0].draining && !w.servers[1].draining {
		t.Errorf("%v\n%+v", labels, w.players)
	}
	if r := explore.Run(NewWithChoices(cfg, labels), explore.Limits{MaxDepth: 60}); r.Violation != "" ||
		!r.Complete || r.States < 100 {
		t.Error(r)
	}
	if _, _, err := FromRecord(events, time.Millisecond, cfg); err == nil {
		t.Error("a time without sessions gave an initial state")
	}
}

package attempts

import (
	"math/rand"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tealledge/internal/explore"
)

// run searches a world and logs the report.
func run(t *testing.T, cfg Config, limits explore.Limits) explore.Report {
	t.Helper()
	r := explore.Run(func() explore.System { return New(cfg) }, limits)
	t.Log(r)
	return r
}

// TestPropertiesHoldInSmallWorlds searches small worlds in every order of events. Each search is complete and finds no
// violation.
func TestPropertiesHoldInSmallWorlds(t *testing.T) {
	for name, cfg := range map[string]Config{
		"answers and leaves": {Sessions: 1, Servers: 2, Denials: 1, Errors: 1, Leaves: 1, Waits: 3},
		"losses":             {Sessions: 1, Servers: 2, Faults: 2, Losses: 2, Refusals: 1, Waits: 1},
		"drains":             {Sessions: 1, Servers: 2, Drains: 1, Refusals: 1, Waits: 3},
		"the list":           {Sessions: 1, Servers: 2, Faults: 2, Drains: 1, Lists: 2, Waits: 1},
		"a restart":          {Sessions: 2, Servers: 1, Restarts: 1, Waits: 2},
		"recovery":           {Sessions: 2, Servers: 1, Recover: true, Restarts: 1, Waits: 2},
		"recovered seats":    {Classes: []int{0, 0}, Servers: 1, Recover: true, Restarts: 1, Leaves: 1, Waits: 1},
		"recovery, losses":   {Classes: []int{0}, Servers: 2, Recover: true, Restarts: 2, Losses: 1, Refusals: 1, Faults: 3, Waits: 1},
		"two addresses":      {Sessions: 1, Servers: 1, Ways: 2, Refusals: 1, Waits: 3},
		"two sessions":       {Sessions: 2, Servers: 2, Faults: 1, Denials: 1, Leaves: 1, Losses: 1, Waits: 1},
		"breaks and resumes": {Sessions: 1, Servers: 1, Breaks: 2, Waits: 4},
		"notes":              {Sessions: 1, Servers: 2, Notes: 2, Leaves: 1, Waits: 3},
		"probes":             {Sessions: 1, Servers: 2, Probes: true, Denials: 1, Waits: 2},
		"cold servers":       {Classes: []int{2, 2, 2}, Servers: 1, Cold: true, Restarts: 1, Waits: 1},
		"a budget":           {Classes: []int{1, 2}, Servers: 2, Budget: true, Errors: 2, Waits: 1},
		"seats":              {Classes: []int{0, 0}, Servers: 2, Faults: 1, Leaves: 1, Losses: 1, Waits: 1},
		"time alone":         {Sessions: 1, Servers: 1, Waits: 8},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, cfg, explore.Limits{MaxDepth: 100, MaxDuration: 2 * time.Minute})
			if r.Violation != "" || !r.Complete || r.EndedRuns == 0 {
				t.Error("a property is violated, or the search is incomplete")
			}
		})
	}
}

// seeded lists the seeded faults, each with a world in which it is visible and a part of the violation expected.
var seeded = map[string]struct {
	cfg  Config
	want string
}{
	string(NoTeardown):       {Config{Sessions: 1, Servers: 1, Leaves: 1, Mutate: NoTeardown}, ""},
	string(NoStop):           {Config{Sessions: 1, Servers: 1, Leaves: 1, Mutate: NoStop}, "nothing left"},
	string(NoWithdraw):       {Config{Sessions: 1, Servers: 1, Drains: 1, Waits: 2, Mutate: NoWithdraw}, "drains kept"},
	string(LateWithdraw):     {Config{Sessions: 1, Servers: 1, Drains: 1, Waits: 2, Mutate: LateWithdraw}, "drains kept"},
	string(WrongRung):        {Config{Sessions: 2, Servers: 1, Mutate: WrongRung}, "floors and seats"},
	string(AssumesNeverRan):  {Config{Sessions: 1, Servers: 2, Errors: 1, Mutate: AssumesNeverRan}, "paid once"},
	string(AssumesUnwritten): {Config{Sessions: 1, Servers: 2, Losses: 1, Mutate: AssumesUnwritten}, "paid once"},
	string(DuplicateOutcome): {Config{Classes: []int{2}, Servers: 2, Waits: 3, Mutate: DuplicateOutcome}, ""},
	string(ForgetsSeats):     {Config{Classes: []int{0, 0}, Servers: 1, Recover: true, Restarts: 1, Mutate: ForgetsSeats}, "floors and seats"},
	string(NotCleared):       {Config{Sessions: 1, Servers: 1, Leaves: 1, Waits: 3, Mutate: NotCleared}, "nothing left"},
	string(SendsTwice):       {Config{Sessions: 1, Servers: 2, Module: WithFault(SendsTwice)}, "second attempt while one is out"},
	string(AnswersTwice):     {Config{Classes: []int{2}, Servers: 1, Denials: 1, Waits: 2, Module: WithFault(AnswersTwice)}, "request that is over"},
	string(PaidAgain):        {Config{Sessions: 1, Servers: 2, Errors: 1, Module: WithFault(PaidAgain)}, "paid set-up again"},
	string(PaidRefused):      {Config{Sessions: 1, Servers: 1, Errors: 1, Module: WithFault(PaidRefused)}, "refusal of a paid session"},
	string(Forgets):          {Config{Sessions: 1, Servers: 1, Denials: 1, Waits: 8, Module: WithFault(Forgets)}, "no answer from the module"},
	string(SendsDrained):     {Config{Sessions: 1, Servers: 1, Drains: 1, Module: WithFault(SendsDrained)}, "not ready"},
	string(SeatFreed):        {Config{Classes: []int{0, 0}, Servers: 1, Module: WithFault(SeatFreed)}, "floors and seats"},
	string(ForgetsCold): {Config{Classes: []int{2, 2, 2}, Servers: 1, Cold: true, Restarts: 1, Waits: 2, Module: WithFault(ForgetsCold)},
		"warm-up kept"},
	string(BudgetEdge): {Config{Classes: []int{1, 2}, Servers: 2, Budget: true, Errors: 2, Waits: 1, Module: WithFault(BudgetEdge)},
		"budget kept"},
	string(UnderFloor): {Config{Classes: []int{1}, Servers: 1, Module: WithFault(UnderFloor)}, "rung 0"},
}

// TestFindsSeededFaults seeds one fault at a time. Each must be found, with a short trace that reproduces the
// violation.
func TestFindsSeededFaults(t *testing.T) {
	for name, c := range seeded {
		t.Run(name, func(t *testing.T) {
			r := run(t, c.cfg, explore.Limits{MaxDepth: 60, MaxDuration: time.Minute, BreadthFirst: true, Workers: 1})
			if r.Violation == "" || !strings.Contains(r.Violation, c.want) || len(r.Trace) > 30 {
				t.Errorf("fault not found, or its trace is too long: %s", r)
			}
			if got, ok := explore.Replay(func() explore.System { return New(c.cfg) }, r.Trace); !ok ||
				got != r.Violation {
				t.Errorf("the trace does not reproduce the violation: %q", got)
			}
		})
	}
}

// TestCopyBehavesLikeOriginal guards against state shared by copies: copied at any step, a world and its copy have
// the same choices and fingerprints from there on, whatever is done to the other one meanwhile.
func TestCopyBehavesLikeOriginal(t *testing.T) {
	cfg := Config{Sessions: 3, Servers: 2, Ways: 2, Losses: 1, Refusals: 1, Denials: 1, Errors: 1, Leaves: 1, Breaks: 1,
		Drains: 1, Lists: 1, Restarts: 1, Notes: 1, Probes: true, Waits: 6}
	for seed := range int64(60) {
		rng := rand.New(rand.NewSource(seed))
		w := New(cfg).(*world)
		for range 12 {
			if choices := w.Choices(); choices > 0 {
				w.Take(rng.Intn(choices))
			}
		}
		copied := w.Copy().(*world)
		if w.Fingerprint() != copied.Fingerprint() {
			t.Fatal("the copy has another fingerprint")
		}
		before := copied.Fingerprint()
		var path []int
		for range 40 {
			choices := w.Choices()
			if choices == 0 {
				break
			}
			path = append(path, rng.Intn(choices))
			w.Take(path[len(path)-1])
		}
		if copied.Fingerprint() != before {
			t.Fatal("the copy changed with the original")
		}
		for _, choice := range path {
			if choice >= copied.Choices() {
				t.Fatal("the copy has fewer choices")
			}
			copied.Take(choice)
		}
		if w.Fingerprint() != copied.Fingerprint() || w.Violation() != copied.Violation() {
			t.Fatalf("seed %d: the copy ends in another state: violations %q, %q", seed, w.Violation(),
				copied.Violation())
		}
	}
}

// TestSearchModesAgree: copying, replaying, breadth-first, one worker, and a search saved and resumed several times
// find the same states.
func TestSearchModesAgree(t *testing.T) {
	cfg := Config{Sessions: 1, Servers: 2, Faults: 2, Losses: 1, Denials: 1, Leaves: 1, Waits: 1}
	newSystem := func() explore.System { return New(cfg) }
	want := explore.Run(newSystem, explore.Limits{MaxDepth: 100})
	for name, l := range map[string]explore.Limits{"by replays": {ReplayOnly: true}, "by breadth": {BreadthFirst: true},
		"one worker": {Workers: 1}} {
		l.MaxDepth = 100
		r := explore.Run(newSystem, l)
		t.Log(name, r)
		if r.States != want.States || !r.Complete {
			t.Errorf("%s: %d states, want %d", name, r.States, want.States)
		}
	}
	checkpointFile := filepath.Join(t.TempDir(), "search")
	for n := 1; ; n++ {
		r := explore.Run(newSystem, explore.Limits{MaxDepth: 100, MaxStates: n * want.States / 5,
			CheckpointFile: checkpointFile, World: "w"})
		if r.CheckpointErr != nil || r.Resumed != (n > 1) {
			t.Fatal(r.CheckpointErr, r.Resumed)
		}
		if r.Complete {
			if r.States != want.States || n < 3 {
				t.Errorf("resumed %d times: %d states, want %d", n-1, r.States, want.States)
			}
			break
		}
	}
	r := explore.Run(newSystem, explore.Limits{MaxDepth: 100, MaxStates: 100, CheckpointFile: checkpointFile,
		World: "w"})
	if r.CheckpointErr != nil {
		t.Fatal(r.CheckpointErr)
	}
	if r := explore.Run(newSystem, explore.Limits{MaxDepth: 100, CheckpointFile: checkpointFile,
		World: "another"}); r.CheckpointErr == nil || r.States != want.States {
		t.Error("a search of another world was resumed:", r.CheckpointErr)
	}
}

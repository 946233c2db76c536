package attempts

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/explore"
	"tealledge/internal/front"
	"tealledge/policy"
)

func run(t *testing.T, cfg Config, limits explore.Limits) explore.Report {
	t.Helper()
	r := explore.Run(func() explore.System { return New(cfg) }, limits)
	t.Log(r)
	return r
}

// TestSmallWorldsHoldCompletely explores worlds of one session in every order of events; each is complete.
func TestSmallWorldsHoldCompletely(t *testing.T) {
	for name, cfg := range map[string]Config{
		"answers and leaves": {Sessions: 1, Servers: 2, Denials: 1, Errors: 1, Leaves: 1, Waits: 2},
		"losses":             {Sessions: 1, Servers: 2, Losses: 1, Refusals: 1, Waits: 2},
		"drains":             {Sessions: 1, Servers: 2, Drains: 1, Refusals: 1, Waits: 1, Moments: 2},
		"a restart":          {Sessions: 2, Servers: 1, Restarts: 1, Waits: 1},
		"two addresses":      {Sessions: 1, Servers: 1, Ways: 2, Refusals: 1, Moments: 2},
		"two sessions":       {Sessions: 2, Servers: 2, Denials: 1, Leaves: 1},
		"time alone":         {Sessions: 1, Servers: 1, Waits: 6},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, cfg, explore.Limits{Depth: 60, Time: 2 * time.Minute})
			if r.Broken != "" || !r.Complete || r.Cut > 0 || r.Runs == 0 {
				t.Error("not held, or not complete")
			}
		})
	}
}

// rogue changes what the module decides.
type rogue struct {
	front.Module
	change func(e policy.Event, acts []policy.Action) []policy.Action
}

func (r rogue) Handle(now policy.Time, e policy.Event) []policy.Action {
	return r.change(e, r.Module.Handle(now, e))
}

func module(change func(policy.Event, []policy.Action) []policy.Action) func(policy.Settings) front.Module {
	return func(set policy.Settings) front.Module { return rogue{policy.New(set, 1), change} }
}

// TestSeededFaultsAreFound puts faults in, one at a time: each is found, with a short story.
func TestSeededFaultsAreFound(t *testing.T) {
	onOutcome := func(do func(e policy.Outcome) policy.Action) func(policy.Settings) front.Module {
		return module(func(e policy.Event, acts []policy.Action) []policy.Action {
			if o, ok := e.(policy.Outcome); ok && !o.Final && o.Status != policy.OK {
				return append([]policy.Action{do(o)}, acts...)
			}
			return acts
		})
	}
	for name, c := range map[string]struct {
		cfg  Config
		want string
	}{
		"an attempt given up on is not torn down": {Config{Sessions: 1, Servers: 1, Leaves: 1, Mutate: NoTeardown}, ""},
		"a stream is not torn down":               {Config{Sessions: 1, Servers: 1, Leaves: 1, Mutate: NoStop}, "nothing left"},
		"a drain notice takes nothing back":       {Config{Sessions: 1, Servers: 1, Drains: 1, Moments: 1, Mutate: NoWithdraw}, "drains kept"},
		"the module sends twice at once": {Config{Sessions: 1, Servers: 2, Module: module(func(_ policy.Event, acts []policy.Action) []policy.Action {
			for _, a := range acts {
				if s, ok := a.(policy.Send); ok {
					return append(acts, policy.Send{ID: s.ID, Server: 3 - s.Server})
				}
			}
			return acts
		})}, "second attempt while one is out"},
		"the module answers twice": {Config{Sessions: 1, Servers: 1, Denials: 1, Waits: 2, Module: onOutcome(func(o policy.Outcome) policy.Action { return policy.Refuse{ID: o.ID} })},
			"request that is over"},
		"paid again on a guess": {Config{Sessions: 1, Servers: 2, Errors: 1, Module: onOutcome(func(o policy.Outcome) policy.Action {
			return policy.Send{ID: o.ID, Server: 3 - o.Server}
		})}, "paid set-up again"},
		"paid refused on a guess": {Config{Sessions: 1, Servers: 1, Errors: 1, Module: onOutcome(func(o policy.Outcome) policy.Action { return policy.Refuse{ID: o.ID} })},
			"refusal of a paid session"},
		"a request is forgotten": {Config{Sessions: 1, Servers: 1, Denials: 1, Waits: 8, Module: module(func(e policy.Event, acts []policy.Action) []policy.Action {
			if _, ok := e.(policy.Outcome); ok {
				return nil
			}
			return acts
		})}, ""},
		"a drained server is sent to": {Config{Sessions: 1, Servers: 1, Drains: 1, Module: module(func(e policy.Event, acts []policy.Action) []policy.Action {
			if r, ok := e.(policy.Request); ok {
				return []policy.Action{policy.Send{ID: r.ID, Server: 1}}
			}
			return acts
		})}, "not ready"},
		"a rung under the floor": {Config{Sessions: 2, Servers: 1, Mutate: WrongRung}, "floors and seats"},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, c.cfg, explore.Limits{Depth: 40, Time: 30 * time.Second})
			if r.Broken == "" || !strings.Contains(r.Broken, c.want) || len(r.Story) > 30 {
				t.Errorf("not found: %s", r)
			}
			if got, ok := explore.Replay(func() explore.System { return New(c.cfg) }, r.Story); !ok || got != r.Broken {
				t.Errorf("the story does not lead there: %q", got)
			}
		})
	}
}

package attempts

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"tealledge/internal/explore"
	"tealledge/internal/record"
)

// SmallConfig returns the small world: a paid session, one with a floor and a safe one, two servers with two
// addresses each, two restarts, players that leave, disconnect and resume, notes, probes, odd lists, and every kind
// of fault. faults is the maximum number of faults in one run.
//
// A world with two fronts is not needed. Fronts share only servers and the list service, and here a server may give
// any possible answer, and the list any content, at any step. Whatever another front does to a server is visible to
// this one as such an answer. Every run of two fronts is thus a run of each alone, and each property is about one
// front's sessions.
func SmallConfig(faults int) Config {
	return Config{Sessions: 3, Servers: 2, Ways: 2, Faults: faults, Losses: 2, Refusals: 2, Denials: 2, Errors: 2,
		Leaves: 2, Breaks: 2, Drains: 2, Lists: 2, Restarts: 2, Notes: 2, Waits: 1, Probes: true, Recover: true}
}

// InjectFault seeds the fault with the given text.
func (c *Config) InjectFault(fault string) error {
	mutations := []Mutation{NoTeardown, NoWithdraw, LateWithdraw, NoStop, WrongRung, AssumesNeverRan, AssumesUnwritten,
		DuplicateOutcome, NotCleared, ForgetsSeats}
	faults := []Fault{SendsTwice, AnswersTwice, PaidAgain, PaidRefused, Forgets, SendsDrained, SeatFreed, ForgetsCold,
		BudgetEdge, UnderFloor}
	var known []string
	for _, m := range mutations {
		if known = append(known, string(m)); string(m) == fault {
			c.Mutate = m
			return nil
		}
	}
	for _, m := range faults {
		if known = append(known, string(m)); string(m) == fault {
			c.Module = WithFault(m)
			return nil
		}
	}
	return fmt.Errorf("no fault %q; there are:\n  %s", fault, strings.Join(known, "\n  "))
}

// dayFaults maps each choice to the day-script form that has the same effect on real sockets. Choices of players need
// none: the day's own viewers leave, disconnect and come back.
var dayFaults = map[choiceKind]string{
	dialRefused:         "(crash (servers 1) (for 600ms))",
	serverAnswersFull:   "(take-link (servers 1) (part 0.95) (for 600ms))",
	serverAnswersError:  "(errors (servers 1) (part 1) (for 300ms))",
	serverAnswersLoaded: "(take-link (servers 1) (part 0.6) (for 600ms))",
	noteReceived:        "(sag (rack 1) (part 0.5) (for 1s))",
	connectionBreaks:    "(half (servers 1) (part 1) (for 300ms))",
	serverDrains:        "(drain (servers 1) (notice 1s) (for 2s))",
	listPartial:         "(list-lag (lag 500ms) (for 1s))",
	listEmpty:           "(list-empty (for 1s))",
	listRollback:        "(list-rewind)",
	frontRestarts:       "(kill-front (front 1) (for 500ms))",
	clockAdvances:       "(hang (servers 1) (for 500ms))",
}

// Script converts a trace to a day script: the same faults occur in the same order on real sockets, repeatedly, with
// viewers of the same classes. It does not control single answers, so a day may need several runs to reproduce the
// violation.
func Script(cfg Config, r explore.Report) string {
	const rounds, gap, first = 6, 60 * time.Millisecond, 2 * time.Second
	var b strings.Builder
	fmt.Fprintf(&b, "; %s\n; The story, as found:\n", r.Violation)
	for _, label := range r.Trace {
		fmt.Fprintf(&b, ";   %s\n", label)
	}
	length := first + rounds*3*time.Second
	fmt.Fprintf(&b, "(day\n  (seed 1) (length %v) (fronts 2) (servers %d) (titles 4) (copies %d) (rate 40) (watch 1s 3s) (bad 0.3)\n  (mix 0.34 0.33 0.33)\n",
		length, max(cfg.Servers, 2), max(cfg.Servers, 2))
	b.WriteString("  (media (slots 60) (link-kb 20000) (uplink-kb 60000) (setup 4ms) (report 300ms) (keep 1s))")
	for round := range rounds {
		w := New(cfg)
		for n, label := range r.Trace {
			index := explore.FindChoice(w, label)
			if index < 0 {
				break
			}
			c := w.(*world).enabledChoices()[index]
			if fault, ok := dayFaults[c.kind]; ok {
				at := first + time.Duration(round)*3*time.Second + time.Duration(w.(*world).now-startTime) +
					time.Duration(n)*gap
				if at < length {
					fmt.Fprintf(&b, "\n  (at %v %s)", at.Round(time.Millisecond), fault)
				}
			}
			w.Take(index)
		}
	}
	b.WriteString(")\n" + daySettings)
	return b.String()
}

// daySettings is the world's settings in the form of a day script.
const daySettings = `(service
  (ladder (rung 100 0.5) (rung 200 1))
  (classes
    (class "paid" (aim 1s) (deadline 2s) (worth 2) (effect paid) (seats 30))
    (class "floor" (aim 1s) (deadline 2s) (worth 1) (floor 1))
    (class "safe" (aim 1s) (deadline 2s) (worth 1)))
  (kinds (kind "std" (slots 60))) (zones "centro") (zone "centro")
  (cells 2) (racks 2) (weight-kb 20000) (rack-kb 60000) (fleet-kb 40000)
  (reports link uplink) (reports-inline yes) (may-probe yes)
  (notes-late 600ms) (tell-every 2s) (stall-cost 8) (change-cost 0.5)
  (max-attempts 3) (retry-after-most 1s) (connect-wait 250ms) (drain-grace 100ms)
  (price-move 0.04) (price-probe 0.01) (late-fail 0.04)
  (cold (span 5s) (from 0.4) (times 3) (over 2s)))
`

// FromRecord derives an initial state from a recorded day at a given time: up to three of the busiest front's newest
// sessions, each at the stage it had reached (requested, set-up in flight or playing), and the draining servers.
// Servers are renumbered, and the module, not the record, places the sessions.
func FromRecord(events []record.Event, at time.Duration, cfg Config) (Config, []string, error) {
	if len(events) == 0 {
		return cfg, nil, fmt.Errorf("the record is empty")
	}
	until := events[0].At + int64(at)
	type session struct {
		key   string
		class int
		stage int   // 0 set-up in flight, 1 set-up answered, 2 playing
		since int64 // when its set-up was received
	}
	fronts := map[string]map[string]*session{}
	draining := map[uint32]bool{}
	for _, e := range events {
		if e.At > until {
			break
		}
		list := fronts[e.Front]
		if list == nil {
			list = map[string]*session{}
			fronts[e.Front] = list
		}
		switch e.Kind {
		case record.SetupReceived:
			list[e.Session] = &session{e.AttemptKey(), e.Class, 0, e.At}
		case record.SetupAnswered:
			if s := list[e.Session]; s != nil && e.Status == 200 {
				s.stage = 1
			} else if s != nil {
				delete(list, e.Session)
			}
		case record.StreamStarted:
			if s := list[e.Session]; s != nil {
				s.stage = 2
			}
		case record.TeardownReceived, record.StreamEnded:
			delete(list, e.Session)
		case record.ServerListed:
			draining[e.Server] = e.Health == "draining"
		}
	}
	var busiest []*session
	var names []string
	for name := range fronts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		var list []*session
		for _, s := range fronts[name] {
			list = append(list, s)
		}
		if len(list) > len(busiest) {
			busiest = list
		}
	}
	if len(busiest) == 0 {
		return cfg, nil, fmt.Errorf("no session is active %v into the record", at)
	}
	sort.Slice(busiest, func(i, j int) bool {
		return busiest[i].since > busiest[j].since ||
			busiest[i].since == busiest[j].since && busiest[i].key < busiest[j].key
	})
	busiest = busiest[:min(len(busiest), 3)]
	cfg.Classes = nil
	for _, s := range busiest {
		cfg.Classes = append(cfg.Classes, s.class%3)
	}
	return cfg, prelude(cfg, func(i int) int { return busiest[i].stage }, draining), nil
}

// prelude returns the choices that bring a world's players to their stages and then drain a server if any was draining.
func prelude(cfg Config, stage func(int) int, draining map[uint32]bool) (labels []string) {
	w := New(cfg).(*world)
	take := func(matches func(choice) bool) bool {
		for n, c := range w.enabledChoices() {
			if matches(c) {
				labels = append(labels, w.Label(n))
				w.Take(n)
				return true
			}
		}
		return false
	}
	var order []int
	for i := range w.players {
		order = append(order, i)
	}
	// Playing sessions come first.
	sort.SliceStable(order, func(a, b int) bool { return stage(order[a]) > stage(order[b]) })
	for _, i := range order {
		if !take(func(c choice) bool {
			return c.kind == playerRequests && w.cfg.classOf(c.index) == w.cfg.classOf(i)
		}) {
			continue
		}
		for n := 0; n < 8 && stage(i) > 0 && w.players[i].answer == ""; n++ {
			if stage(i) == 1 && w.hasStream(i) {
				break
			}
			if !take(func(c choice) bool { return c.kind == dialSucceeds || c.kind == serverAnswers }) {
				break
			}
		}
	}
	for _, on := range draining {
		if on {
			take(func(c choice) bool { return c.kind == serverDrains })
			break
		}
	}
	return labels
}

// hasStream reports whether a player's SETUP succeeded.
func (w *world) hasStream(i int) bool {
	for _, s := range w.servers {
		for _, x := range s.streams {
			if x.session == w.players[i].session {
				return true
			}
		}
	}
	return false
}

// NewWithChoices returns a function that creates worlds in which choices were already taken, given by label.
func NewWithChoices(cfg Config, labels []string) func() explore.System {
	return func() explore.System {
		w := New(cfg)
		for _, label := range labels {
			if index := explore.FindChoice(w, label); index >= 0 {
				w.Take(index)
			}
		}
		return w
	}
}

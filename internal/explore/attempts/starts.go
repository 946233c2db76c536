package attempts

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"tealledge/internal/explore"
	"tealledge/internal/record"
)

// Small is the small world: a paid session, one with a floor and a safe one, two servers of two addresses, two restarts,
// players that leave, break off and resume, notes, probes, odd lists, and every kind of fault, of which so many may
// happen in one run.
//
// Two fronts need no world of their own. Fronts share nothing but servers and the list service, and here a server may
// give any answer that it may ever give, and the list say anything, at any step: whatever another front does to a server
// shows to this one as such an answer. Every run of two fronts is thus a run of each alone, and each property is of one
// front's sessions.
func Small(faults int) Config {
	return Config{Sessions: 3, Servers: 2, Ways: 2, Faults: faults, Losses: 2, Refusals: 2, Denials: 2, Errors: 2, Leaves: 2, Breaks: 2,
		Drains: 2, Lists: 2, Restarts: 2, Notes: 2, Waits: 1, Probes: true, Recover: true}
}

// Spoil puts in the fault that a sentence names.
func (c *Config) Spoil(fault string) error {
	shell := []Mutation{NoTeardown, NoWithdraw, LateWithdraw, NoStop, WrongRung, NeverRan, LostUnread, Twice, NotCleared, NoGhosts}
	module := []Fault{SendsTwice, AnswersTwice, PaidAgain, PaidRefused, Forgets, SendsDrained, SeatFreed, ForgetsCold, BudgetEdge, UnderFloor}
	var known []string
	for _, m := range shell {
		if known = append(known, string(m)); string(m) == fault {
			c.Mutate = m
			return nil
		}
	}
	for _, m := range module {
		if known = append(known, string(m)); string(m) == fault {
			c.Module = WithFault(m)
			return nil
		}
	}
	return fmt.Errorf("no fault %q; there are:\n  %s", fault, strings.Join(known, "\n  "))
}

// troubles names what does to real sockets what a choice does here. A player's choices need none: the day's own viewers
// leave, break off and come back.
var troubles = map[kind]string{
	refused:     "(crash (servers 1) (for 600ms))",
	full:        "(take-link (servers 1) (part 0.95) (for 600ms))",
	errs:        "(errors (servers 1) (part 1) (for 300ms))",
	loaded:      "(take-link (servers 1) (part 0.6) (for 600ms))",
	note:        "(sag (rack 1) (part 0.5) (for 1s))",
	breaks:      "(half (servers 1) (part 1) (for 300ms))",
	drains:      "(drain (servers 1) (notice 1s) (for 2s))",
	listPartial: "(list-lag (lag 500ms) (for 1s))",
	listEmpty:   "(list-empty (for 1s))",
	listBack:    "(list-rewind)",
	restarts:    "(kill-front (front 1) (for 500ms))",
	passes:      "(hang (servers 1) (for 500ms))",
}

// Script turns a story into a day: the same things go wrong in the same order on real sockets, again and again, under
// viewers of the same classes. It does not steer single answers, so that a day may need several goes to hit the story.
func Script(cfg Config, r explore.Report) string {
	const rounds, gap, first = 6, 60 * time.Millisecond, 2 * time.Second
	var b strings.Builder
	fmt.Fprintf(&b, "; %s\n; The story, as found:\n", r.Broken)
	for _, l := range r.Story {
		fmt.Fprintf(&b, ";   %s\n", l)
	}
	length := first + rounds*3*time.Second
	fmt.Fprintf(&b, "(day\n  (seed 1) (length %v) (fronts 2) (servers %d) (titles 4) (copies %d) (rate 40) (watch 1s 3s) (bad 0.3)\n  (mix 0.34 0.33 0.33)\n",
		length, max(cfg.Servers, 2), max(cfg.Servers, 2))
	b.WriteString("  (media (slots 60) (link-kb 20000) (uplink-kb 60000) (setup 4ms) (report 300ms) (keep 1s))")
	for round := range rounds {
		w := New(cfg)
		for n, l := range r.Story {
			at := explore.At(w, l)
			if at < 0 {
				break
			}
			c := w.(*world).choices()[at]
			if t, ok := troubles[c.kind]; ok {
				when := first + time.Duration(round)*3*time.Second + time.Duration(w.(*world).now-start) + time.Duration(n)*gap
				if when < length {
					fmt.Fprintf(&b, "\n  (at %v %s)", when.Round(time.Millisecond), t)
				}
			}
			w.Take(at)
		}
	}
	b.WriteString(")\n" + service)
	return b.String()
}

// service is the settings of the world, as a day's.
const service = `(service
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

// FromRecord turns what was on at one time of a recorded day into a start for exploration: the busiest front's youngest
// sessions, up to three, each as far as it had come (asked, its set-up out, or playing), and the servers that drained.
// Servers are numbered anew, and which of them a session is on the module chooses here, not the record.
func FromRecord(events []record.Event, at time.Duration, cfg Config) (Config, []string, error) {
	if len(events) == 0 {
		return cfg, nil, fmt.Errorf("an empty record")
	}
	until := events[0].At + int64(at)
	type session struct {
		key   string
		class int
		stage int // 0 its set-up is out, 1 answered, 2 plays
		since int64
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
		return cfg, nil, fmt.Errorf("no session is on %v into the record", at)
	}
	sort.Slice(busiest, func(i, j int) bool {
		return busiest[i].since > busiest[j].since || busiest[i].since == busiest[j].since && busiest[i].key < busiest[j].key
	})
	busiest = busiest[:min(len(busiest), 3)]
	cfg.Classes = nil
	for _, s := range busiest {
		cfg.Classes = append(cfg.Classes, s.class%3)
	}
	return cfg, prelude(cfg, func(i int) int { return busiest[i].stage }, draining), nil
}

// prelude gives the choices that bring a world's players as far as stage says, then drain a server if any drained.
func prelude(cfg Config, stage func(int) int, draining map[uint32]bool) (labels []string) {
	w := New(cfg).(*world)
	take := func(fits func(choice) bool) bool {
		for n, c := range w.choices() {
			if fits(c) {
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
	sort.SliceStable(order, func(a, b int) bool { return stage(order[a]) > stage(order[b]) }) // those that play come first
	for _, i := range order {
		if !take(func(c choice) bool { return c.kind == asks && w.cfg.class(c.a) == w.cfg.class(i) }) {
			continue
		}
		for n := 0; n < 8 && stage(i) > 0 && w.players[i].answer == ""; n++ {
			if stage(i) == 1 && w.setUp(i) {
				break
			}
			if !take(func(c choice) bool { return c.kind == stands || c.kind == answers }) {
				break
			}
		}
	}
	for _, on := range draining {
		if on {
			take(func(c choice) bool { return c.kind == drains })
			break
		}
	}
	return labels
}

// setUp tells whether a player's SETUP was answered.
func (w *world) setUp(i int) bool {
	for _, s := range w.servers {
		for _, x := range s.streams {
			if x.session == w.players[i].id {
				return true
			}
		}
	}
	return false
}

// NewAfter makes worlds that have taken choices already.
func NewAfter(cfg Config, labels []string) func() explore.System {
	return func() explore.System {
		w := New(cfg)
		for _, l := range labels {
			if at := explore.At(w, l); at >= 0 {
				w.Take(at)
			}
		}
		return w
	}
}

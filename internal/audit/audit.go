// Package audit judges a run by the records of what crossed the stand-ins' sockets, never by a front's own
// counters. It states each of the six rules once, in rules.go, and names the first message that breaks it.
//
// Records of different sockets carry times of one clock, but arrive by different goroutines: an order that is
// closer than Rules.Skew is not judged.
package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tealledge/internal/record"
)

// Class is what the rules need to know of a class.
type Class struct {
	Name     string
	Paid     bool
	Floor    int
	Seats    int
	Aim      time.Duration
	Deadline time.Duration
}

// Rules are the figures that the rules go by.
type Rules struct {
	Classes     []Class
	AnswerGrace time.Duration // an answer may be read so long after the deadline
	DrainGrace  time.Duration
	Skew        time.Duration // see the package comment
	ColdSpan    time.Duration
	ColdFrom    float64
	FallTimes   float64
	FallSpan    time.Duration
	Budgeted    bool
	Spare       float64
	Ratio       float64
	BudgetSpan  time.Duration
	RungWorth   []float64
	StallCost   float64
	ChangeCost  float64 // seconds
}

// Event makes the record that carries the rules.
func (r Rules) Event() record.Event {
	b, _ := json.Marshal(r)
	return record.Event{Source: "day", Kind: record.AuditRules, Text: string(b)}
}

// The rules by name, in the order of the brief.
const (
	RuleAnswer  = "1 one answer, in time"
	RuleOnce    = "2 no set-up twice, no two out"
	RuleDrain   = "3 drains kept"
	RuleCold    = "4 cold servers not pushed over"
	RuleTerms   = "5 floors and seats kept"
	RuleBudget  = "6 further attempts within budget"
	RuleOrphans = "7 no stream left over"
	RuleList    = "8 manifests true, never backwards"
)

// RuleNames gives all rules. The seventh follows from the first two: a stream that nobody watches. The eighth is what
// the HLS front adds: its playlists name only segments that exist, at servers that hold the viewer's session.
var RuleNames = []string{RuleAnswer, RuleOnce, RuleDrain, RuleCold, RuleTerms, RuleBudget, RuleOrphans, RuleList}

// Violation is a broken rule and the message that broke it.
type Violation struct {
	Rule  string
	Event record.Event
	Text  string
}

func (v Violation) String() string {
	b, _ := json.Marshal(v.Event)
	return fmt.Sprintf("rule %s: %s\n  at %s", v.Rule, v.Text, b)
}

// Report is a judgement.
type Report struct {
	Violations []Violation // in the order of time
	Checked    map[string]int
	Asks       int
	Replies    map[string]int // by kind
	Open       []time.Duration
	Setups     int
	Further    int
	Worth      float64 // earned over asked
	Troubles   []Trouble
}

// Trouble is what happened while a trouble lasted.
type Trouble struct {
	Name    string
	Asks    int
	Plays   int
	Refused int
	Failed  int
	Broken  int // rules broken
	P99     time.Duration
}

// Count gives how often a rule was broken.
func (r *Report) Count(rule string) (n int) {
	for _, v := range r.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// attempt is one SETUP that arrived whole.
type attempt struct {
	record.Event
	ends     int64 // when it was surely over: 0 if never
	answered int64
	status   int
	stream   bool
	told     bool // the answer to PLAY reached the front
}

type call struct {
	ask     record.Event
	replies []record.Event
	ended   *record.Event // left or broken
}

type judge struct {
	rules    Rules
	report   Report
	events   []record.Event
	attempts map[string]*attempt   // by key
	order    []*attempt            // by arrival
	pipes    map[string]*attempt   // by server, front and pipelined id
	sessions map[string][]*attempt // by front and session
	calls    map[string]*call
	asks     map[string][]int64 // by front
	outages  map[string][]span  // by front: killed until up, or stopped
	leaving  map[string]int64
	finished int64
}

type span struct {
	from, to int64
	killed   bool
}

// Judge reads a record, in the order of time, and judges it. It fails if the record does not hold the rules.
func Judge(events []record.Event) (*Report, error) {
	j := &judge{events: events, attempts: map[string]*attempt{}, pipes: map[string]*attempt{}, sessions: map[string][]*attempt{},
		calls: map[string]*call{}, asks: map[string][]int64{}, outages: map[string][]span{}, leaving: map[string]int64{}}
	j.report.Checked, j.report.Replies = map[string]int{}, map[string]int{}
	found := false
	for _, e := range events {
		if e.Kind == record.AuditRules {
			if err := json.Unmarshal([]byte(e.Text), &j.rules); err != nil {
				return nil, fmt.Errorf("the record's rules: %w", err)
			}
			found = true
		}
	}
	if !found {
		return nil, fmt.Errorf("the record does not hold the rules that it is to be judged by")
	}
	for i := range events {
		j.read(&events[i])
	}
	j.answers()
	j.once()
	j.drains()
	j.cold()
	j.terms()
	j.budget()
	j.orphans()
	j.manifests()
	slices.SortStableFunc(j.report.Violations, func(a, b Violation) int { return int(min(max(a.Event.At-b.Event.At, -1), 1)) })
	j.worth()
	j.troubles()
	return &j.report, nil
}

// read books one event.
func (j *judge) read(e *record.Event) {
	switch e.Kind {
	case record.RequestSent:
		j.calls[e.Ref] = &call{ask: *e}
		j.asks[e.Front] = append(j.asks[e.Front], e.At)
		j.report.Asks++
	case record.ReplyReceived:
		if c := j.calls[e.Ref]; c != nil {
			c.replies = append(c.replies, *e)
			if len(c.replies) == 1 {
				j.report.Replies[e.Text]++
				j.report.Open = append(j.report.Open, time.Duration(e.At-c.ask.At))
			}
		}
	case record.PlayerLeft, record.PlayerConnLost:
		if c := j.calls[e.Ref]; c != nil && c.ended == nil {
			c.ended = e
		}
	case record.SetupReceived:
		a := &attempt{Event: *e}
		j.attempts[e.AttemptKey()] = a
		j.order = append(j.order, a)
		j.pipes[pipeKey(e)] = a
		id := e.Front + "/" + e.Session
		j.sessions[id] = append(j.sessions[id], a)
		j.report.Setups++
		if e.Attempt > 0 {
			j.report.Further++
		}
	case record.SetupAnswered:
		if a := j.attempts[e.AttemptKey()]; a != nil && !e.Lost && a.answered == 0 {
			a.answered, a.status = e.At, e.Status
			if e.Status != 200 {
				a.end(e.At)
			}
		}
	case record.StreamStarted:
		if a := j.attempts[e.AttemptKey()]; a != nil {
			a.stream = true
		}
	case record.PlayAnswered:
		if a := j.attempts[e.AttemptKey()]; a != nil && !e.Lost {
			a.told = true
		}
	case record.TeardownReceived:
		a := j.attempts[e.AttemptKey()]
		if e.Session == "" {
			a = j.pipes[pipeKey(e)]
		}
		if a != nil {
			a.end(e.At)
		}
	case record.StreamEnded:
		if a := j.attempts[e.AttemptKey()]; a != nil {
			a.end(e.At)
			a.stream = false
		}
	case record.ServerConnEnded:
		for _, a := range j.order {
			// A stream whose PLAY's answer reached the front may live on over a new connection; whatever else was out is over
			// for the front, and what it left at the server ends there by itself.
			if a.Server == e.Server && a.Front == e.Front && !(a.stream && a.told && a.answered > 0) {
				a.end(e.At)
			}
		}
	case record.ServerDied:
		for _, a := range j.order {
			if a.Server == e.Server {
				a.end(e.At)
				a.stream = false
			}
		}
	case record.FrontKilled:
		j.outages[e.Front] = append(j.outages[e.Front], span{from: e.At, to: 1 << 62, killed: true})
		for _, a := range j.order {
			if a.Front == e.Front {
				a.end(e.At)
			}
		}
	case record.FrontPaused:
		j.outages[e.Front] = append(j.outages[e.Front], span{from: e.At, to: 1 << 62})
	case record.FrontStarted, record.FrontResumed:
		if list := j.outages[e.Front]; len(list) > 0 && list[len(list)-1].to == 1<<62 {
			list[len(list)-1].to = e.At
		}
	case record.FrontDraining:
		j.leaving[e.Front] = e.At
	case record.DayFinished:
		j.finished = e.At
	}
}

func pipeKey(e *record.Event) string { return fmt.Sprintf("%d/%s/%s", e.Server, e.Front, e.Text) }

func (a *attempt) end(t int64) {
	if a.ends == 0 {
		a.ends = t
	}
}

func (j *judge) broken(rule string, e record.Event, format string, args ...any) {
	j.report.Violations = append(j.report.Violations, Violation{rule, e, fmt.Sprintf(format, args...)})
}

func (j *judge) class(n int) Class {
	if n >= 0 && n < len(j.rules.Classes) {
		return j.rules.Classes[n]
	}
	return Class{}
}

// paused gives how long a front stood still between two times, and whether it was killed then.
func (j *judge) paused(front string, from, to int64) (still time.Duration, killed bool) {
	for _, o := range j.outages[front] {
		if a, b := max(o.from, from), min(o.to, to); b > a {
			still += time.Duration(b - a)
			killed = killed || o.killed
		}
	}
	return still, killed
}

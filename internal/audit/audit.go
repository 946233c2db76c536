// Package audit checks a run against the rules that fronts have to keep. It uses only the records of the messages on
// the stand-ins' sockets, never a front's own counters. Each rule is implemented once, in rules.go and upkeep.go, and a
// violation names the first message that breaks the rule.
//
// The records of different sockets share one clock but are written by different goroutines, so the order of two
// events that are closer together than Rules.Skew is not judged.
package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tealledge/internal/record"
)

// Class holds the properties of a class that the rules depend on.
type Class struct {
	Name     string
	Paid     bool
	Floor    int
	Seats    int
	Aim      time.Duration // an answer after this earns no worth
	Deadline time.Duration
}

// Rules holds the parameters of the rules.
type Rules struct {
	Classes     []Class
	AnswerGrace time.Duration // how long after the deadline an answer may still arrive
	DrainGrace  time.Duration // how long after a drain notice a set-up may still arrive
	Skew        time.Duration // events closer than this have no known order
	// NumberedOnArrival: the numbers of attempts count arrivals and don't tell the order in which they were sent.
	NumberedOnArrival bool
	ColdSpan          time.Duration // warm-up time of a server
	ColdFrom          float64       // share of its capacity that a server has at its start
	FallTimes         float64       // multiple of its capacity that overloads a cold server
	FallSpan          time.Duration // window that FallTimes applies to
	Budgeted          bool          // further attempts are limited
	Spare             float64       // further attempts that are always allowed within BudgetSpan
	Ratio             float64       // further attempts allowed per request within BudgetSpan
	BudgetSpan        time.Duration
	RungWorth         []float64
	StallCost         float64
	ChangeCost        float64 // in seconds of play
}

// Event returns the record event that carries the rules.
func (r Rules) Event() record.Event {
	b, _ := json.Marshal(r)
	return record.Event{Source: "day", Kind: record.AuditRules, Text: string(b)}
}

// The names of the rules on sessions and playlists. They are printed in reports.
const (
	RuleAnswer         = "1 one answer, in time"
	RuleOnce           = "2 no set-up twice, no two out"
	RuleDrain          = "3 drains kept"
	RuleCold           = "4 cold servers not pushed over"
	RuleFloorsAndSeats = "5 floors and seats kept"
	RuleBudget         = "6 further attempts within budget"
	RuleOrphans        = "7 no stream left over"
	RulePlaylists      = "8 manifests true, never backwards"
)

// RuleNames lists the rules on sessions and playlists. RuleOrphans, no stream that nobody watches, follows from
// RuleAnswer and RuleOnce. RulePlaylists applies to HLS: playlists name only segments that exist, on servers that hold
// the viewer's session.
var RuleNames = []string{RuleAnswer, RuleOnce, RuleDrain, RuleCold, RuleFloorsAndSeats, RuleBudget, RuleOrphans,
	RulePlaylists}

// Violation is a broken rule and the message that broke it.
type Violation struct {
	Rule  string
	Event record.Event
	Text  string
}

// String returns the violation as text, with the event as JSON.
func (v Violation) String() string {
	b, _ := json.Marshal(v.Event)
	return fmt.Sprintf("rule %s: %s\n  at %s", v.Rule, v.Text, b)
}

// Report is the result of an audit.
type Report struct {
	Violations []Violation // ordered by time
	Checked    map[string]int
	Asks       int             // requests sent by players
	Replies    map[string]int  // by status
	Open       []time.Duration // from each request to its first reply
	Setups     int
	Further    int     // set-ups that are further attempts
	Worth      float64 // worth earned divided by worth requested
	Troubles   []FaultSummary
}

// FaultSummary counts the requests sent and the rules broken while a fault lasted.
type FaultSummary struct {
	Name    string
	Asks    int
	Plays   int
	Refused int
	Failed  int
	Broken  int // violations of rules
	P99     time.Duration
}

// Count returns how many times a rule was broken.
func (r *Report) Count(rule string) (n int) {
	for _, v := range r.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// attempt is one SETUP that a server received in full.
type attempt struct {
	record.Event
	endedAt      int64 // when it was certainly over; 0: never
	answeredAt   int64
	status       int
	streaming    bool
	playAnswered bool // the reply to PLAY reached the front
}

// call is a request of a player with its replies.
type call struct {
	request record.Event
	replies []record.Event
	end     *record.Event // the player left or its connection was lost
}

// judge holds the state of an audit.
type judge struct {
	rules         Rules
	report        Report
	events        []record.Event
	attempts      map[string]*attempt   // by key
	arrived       []*attempt            // in the order of arrival
	byPipelineID  map[string]*attempt   // by server, front and id of the pipelined request
	sessions      map[string][]*attempt // by front and session
	calls         map[string]*call
	requestTimes  map[string][]int64  // by front
	outages       map[string][]outage // by front: from its kill to its next start, or while it was paused
	drainingSince map[string]int64    // by front
	finishedAt    int64
}

// outage is a time in which a front did not run.
type outage struct {
	from, to int64
	killed   bool
}

// Judge audits events, which are ordered by time. It fails if they do not include the rules.
func Judge(events []record.Event) (*Report, error) {
	j := &judge{events: events, attempts: map[string]*attempt{}, byPipelineID: map[string]*attempt{},
		sessions: map[string][]*attempt{},
		calls:    map[string]*call{}, requestTimes: map[string][]int64{}, outages: map[string][]outage{},
		drainingSince: map[string]int64{}}
	j.report.Checked, j.report.Replies = map[string]int{}, map[string]int{}
	found := false
	for _, e := range events {
		if e.Kind == record.AuditRules {
			if err := json.Unmarshal([]byte(e.Text), &j.rules); err != nil {
				return nil, fmt.Errorf("rules in the record: %w", err)
			}
			found = true
		}
	}
	if !found {
		return nil, fmt.Errorf("the record has no rules event")
	}
	for i := range events {
		j.apply(&events[i])
	}
	j.checkAnswers()
	j.checkOnce()
	j.checkDrains()
	j.checkColdServers()
	j.checkFloorsAndSeats()
	j.checkRetryBudget()
	j.checkOrphans()
	j.checkPlaylists()
	slices.SortStableFunc(j.report.Violations, func(a, b Violation) int {
		return int(min(max(a.Event.At-b.Event.At, -1), 1))
	})
	j.computeWorth()
	j.summarizeFaults()
	return &j.report, nil
}

// apply updates the state with one event.
func (j *judge) apply(e *record.Event) {
	switch e.Kind {
	case record.RequestSent:
		j.calls[e.Ref] = &call{request: *e}
		j.requestTimes[e.Front] = append(j.requestTimes[e.Front], e.At)
		j.report.Asks++
	case record.ReplyReceived:
		if c := j.calls[e.Ref]; c != nil {
			c.replies = append(c.replies, *e)
			if len(c.replies) == 1 {
				j.report.Replies[e.Text]++
				j.report.Open = append(j.report.Open, time.Duration(e.At-c.request.At))
			}
		}
	case record.PlayerLeft, record.PlayerConnLost:
		if c := j.calls[e.Ref]; c != nil && c.end == nil {
			c.end = e
		}
	case record.SetupReceived:
		a := &attempt{Event: *e}
		j.attempts[e.AttemptKey()] = a
		j.arrived = append(j.arrived, a)
		j.byPipelineID[pipelineKey(e)] = a
		id := e.Front + "/" + e.Session
		j.sessions[id] = append(j.sessions[id], a)
		j.report.Setups++
		if e.Attempt > 0 {
			j.report.Further++
		}
	case record.SetupAnswered:
		if a := j.attempts[e.AttemptKey()]; a != nil && !e.Lost && a.answeredAt == 0 {
			a.answeredAt, a.status = e.At, e.Status
			if e.Status != 200 {
				a.markEnded(e.At)
			}
		}
	case record.StreamStarted:
		if a := j.attempts[e.AttemptKey()]; a != nil {
			a.streaming = true
		}
	case record.PlayAnswered:
		if a := j.attempts[e.AttemptKey()]; a != nil && !e.Lost {
			a.playAnswered = true
		}
	case record.TeardownReceived:
		a := j.attempts[e.AttemptKey()]
		if e.Session == "" {
			a = j.byPipelineID[pipelineKey(e)]
		}
		if a != nil {
			a.markEnded(e.At)
		}
	case record.StreamEnded:
		if a := j.attempts[e.AttemptKey()]; a != nil {
			a.markEnded(e.At)
			a.streaming = false
		}
	case record.ServerConnEnded:
		for _, a := range j.arrived {
			// A stream whose PLAY reply reached the front can continue on a new connection. For the front, all other
			// attempts on the connection are over, and the server ends what remains of them by itself.
			if a.Server == e.Server && a.Front == e.Front && !(a.streaming && a.playAnswered && a.answeredAt > 0) {
				a.markEnded(e.At)
			}
		}
	case record.ServerDied:
		for _, a := range j.arrived {
			if a.Server == e.Server {
				a.markEnded(e.At)
				a.streaming = false
			}
		}
	case record.FrontKilled:
		j.outages[e.Front] = append(j.outages[e.Front], outage{from: e.At, to: 1 << 62, killed: true})
		for _, a := range j.arrived {
			if a.Front == e.Front {
				a.markEnded(e.At)
			}
		}
	case record.FrontPaused:
		j.outages[e.Front] = append(j.outages[e.Front], outage{from: e.At, to: 1 << 62})
	case record.FrontStarted, record.FrontResumed:
		if list := j.outages[e.Front]; len(list) > 0 && list[len(list)-1].to == 1<<62 {
			list[len(list)-1].to = e.At
		}
	case record.FrontDraining:
		j.drainingSince[e.Front] = e.At
	case record.DayFinished:
		j.finishedAt = e.At
	}
}

// pipelineKey returns the key of an event in byPipelineID.
func pipelineKey(e *record.Event) string { return fmt.Sprintf("%d/%s/%s", e.Server, e.Front, e.Text) }

// markEnded records the time at which the attempt ended, unless it had ended before.
func (a *attempt) markEnded(t int64) {
	if a.endedAt == 0 {
		a.endedAt = t
	}
}

// addViolation adds a violation of a rule by event e to the report.
func (j *judge) addViolation(rule string, e record.Event, format string, args ...any) {
	j.report.Violations = append(j.report.Violations, Violation{rule, e, fmt.Sprintf(format, args...)})
}

// class returns the class with number n, or the zero Class if there is none.
func (j *judge) class(n int) Class {
	if n >= 0 && n < len(j.rules.Classes) {
		return j.rules.Classes[n]
	}
	return Class{}
}

// pausedTime returns how long a front did not run between two times, and whether it was killed in that time.
func (j *judge) pausedTime(front string, from, to int64) (total time.Duration, killed bool) {
	for _, o := range j.outages[front] {
		if a, b := max(o.from, from), min(o.to, to); b > a {
			total += time.Duration(b - a)
			killed = killed || o.killed
		}
	}
	return total, killed
}

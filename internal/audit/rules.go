package audit

import (
	"slices"
	"time"

	"tealledge/internal/record"
)

// answers is the first rule. A request that a running front has taken gets exactly one answer before its player
// gives up. Not owed: to players that left, by fronts that were killed meanwhile, and to requests written to a
// front that had begun to leave and closed before it read them. Time in which a front stood still does not count.
func (j *judge) answers() {
	for _, e := range j.events {
		if e.Kind != record.RequestSent {
			continue
		}
		c := j.calls[e.Ref]
		if c.ask.At != e.At {
			continue
		}
		j.report.Checked[RuleAnswer]++
		wait := j.class(e.Class).Deadline
		if e.Timeout > 0 {
			wait = min(wait, time.Duration(e.Timeout))
		}
		limit := e.At + int64(wait+j.rules.AnswerGrace)
		if len(c.replies) > 1 {
			j.broken(RuleAnswer, c.replies[1], "a second answer to %s", e.Ref)
		}
		if len(c.replies) > 0 {
			still, _ := j.paused(e.Front, e.At, c.replies[0].At)
			if late := time.Duration(c.replies[0].At-limit) - still; late > 0 {
				j.broken(RuleAnswer, c.replies[0], "answer to %s came %v late", e.Ref, late)
			}
			continue
		}
		until := j.events[len(j.events)-1].At
		if c.ended != nil {
			until = c.ended.At
		}
		_, killed := j.paused(e.Front, e.At-int64(j.rules.Skew), until+int64(j.rules.Skew))
		at, leaving := j.leaving[e.Front]
		switch {
		case killed, c.ended != nil && c.ended.Kind == record.PlayerLeft, leaving && e.At >= at && c.ended != nil:
		case c.ended != nil:
			j.broken(RuleAnswer, *c.ended, "the connection of %s was closed without an answer", e.Ref)
		default:
			still, _ := j.paused(e.Front, e.At, until)
			if until-int64(still) > limit {
				j.broken(RuleAnswer, e, "no answer to %s", e.Ref)
			}
		}
	}
}

// neverRan tells whether an attempt was answered, by a time, in a way that proves that it never ran.
func (a *attempt) neverRan(by int64) bool {
	return a.answered > 0 && a.answered <= by && (a.status == 453 || a.status == 503)
}

// once is the second rule. A paid session is set up again, or refused, only if every earlier attempt provably never
// ran, and no session ever has two attempts out. A killed front's sessions end with it; ids are never used again.
func (j *judge) once() {
	for _, a := range j.order {
		j.report.Checked[RuleOnce]++
		for _, b := range j.sessions[a.Front+"/"+a.Session] {
			if b == a || b.At > a.At || b.At == a.At && b.Attempt >= a.Attempt {
				continue
			}
			if b.Attempt == a.Attempt {
				j.broken(RuleOnce, a.Event, "attempt %s arrived twice", a.AttemptKey())
			}
			if b.ends == 0 || b.ends-a.At > int64(j.rules.Skew) {
				j.broken(RuleOnce, a.Event, "attempt %s arrived while %s was out at server %d", a.AttemptKey(), b.AttemptKey(), b.Server)
			}
			if j.class(a.Class).Paid && !b.neverRan(a.At) {
				j.broken(RuleOnce, a.Event, "paid set-up %s again, though %s may have run", a.AttemptKey(), b.AttemptKey())
			}
		}
	}
	for _, e := range j.events {
		if e.Kind != record.ReplyReceived || e.Text != "refused" || !j.class(e.Class).Paid || e.Session == "" {
			continue
		}
		j.report.Checked[RuleOnce]++
		for _, b := range j.sessions[e.Front+"/"+e.Session] {
			if !b.neverRan(e.At) {
				j.broken(RuleOnce, e, "paid session %s refused, though %s may have run", e.Session, b.AttemptKey())
			}
		}
	}
}

// drains is the third rule: nothing new arrives at a server later than the grace after this front was told that it
// drains or is gone. A front that was killed knows only what it is told after its start.
func (j *judge) drains() {
	type pair struct {
		front  string
		server uint32
	}
	told := map[pair]record.Event{}
	for _, e := range j.events {
		switch e.Kind {
		case record.ServerListed:
			p := pair{e.Front, e.Server}
			if was, ok := told[p]; ok && was.Health != "ready" && e.Health != "ready" {
				continue // the first word counts
			}
			told[p] = e
		case record.FrontKilled:
			for p := range told {
				if p.front == e.Front {
					delete(told, p)
				}
			}
		case record.SetupReceived:
			j.report.Checked[RuleDrain]++
			t, ok := told[pair{e.Front, e.Server}]
			if !ok || t.Health == "ready" {
				continue
			}
			still, _ := j.paused(e.Front, t.At, e.At)
			if after := time.Duration(e.At-t.At) - still; after > j.rules.DrainGrace+j.rules.Skew {
				j.broken(RuleDrain, e, "set-up at server %d, %v after the front was told that it is %s", e.Server, after, t.Health)
			}
		}
	}
}

// cold is the fourth rule: within any span, a server that just started is sent no more than the stated multiple of
// what it can take then.
func (j *judge) cold() {
	type state struct {
		from  int64
		slots float64
		sent  []int64
	}
	servers := map[uint32]*state{}
	for _, e := range j.events {
		switch e.Kind {
		case record.ServerStarted:
			delete(servers, e.Server)
			if e.Cold {
				servers[e.Server] = &state{from: e.At, slots: e.Slots}
			}
		case record.ServerDied:
			if e.Text == "pushed over while cold" {
				j.broken(RuleCold, e, "server %d was pushed over", e.Server)
			}
		case record.SetupReceived:
			s := servers[e.Server]
			if s == nil || e.At-s.from > int64(j.rules.ColdSpan) || j.rules.ColdSpan <= 0 {
				continue
			}
			j.report.Checked[RuleCold]++
			s.sent = append(s.sent, e.At)
			s.sent = slices.DeleteFunc(s.sent, func(t int64) bool { return e.At-t > int64(j.rules.FallSpan) })
			warm := j.rules.ColdFrom + (1-j.rules.ColdFrom)*float64(e.At-s.from)/float64(j.rules.ColdSpan)
			most := s.slots/j.rules.ColdSpan.Seconds()*warm*j.rules.FallTimes*j.rules.FallSpan.Seconds() + 2 // slack for chance
			if float64(len(s.sent)) > most {
				j.broken(RuleCold, e, "%d set-ups within %v at server %d, which takes %.1f then", len(s.sent), j.rules.FallSpan, e.Server, most)
			}
		}
	}
}

// terms is the fifth rule: no rung under the class's floor, no more sessions of a title and class at a front than
// seats, set-ups included.
func (j *judge) terms() {
	type seat struct {
		front, title string
		class        int
	}
	held := map[seat][]*attempt{}
	for _, e := range j.events {
		switch e.Kind {
		case record.SetupReceived, record.RungSet, record.StreamStarted:
			j.report.Checked[RuleTerms]++
			if floor := j.class(e.Class).Floor; e.Rung < floor {
				j.broken(RuleTerms, e, "rung %d, under the floor %d of class %s", e.Rung, floor, j.class(e.Class).Name)
			}
		}
		seats := j.class(e.Class).Seats
		if e.Kind != record.SetupReceived || seats == 0 {
			continue
		}
		k := seat{e.Front, e.Title, e.Class}
		a := j.attempts[e.AttemptKey()]
		list := slices.DeleteFunc(held[k], func(o *attempt) bool {
			return o.ends != 0 && o.ends-int64(j.rules.Skew) <= e.At || o.Session == e.Session
		})
		held[k] = append(list, a)
		if len(held[k]) > seats {
			j.broken(RuleTerms, e, "%d sessions of title %s and class %s at front %s, which has %d seats", len(held[k]), e.Title,
				j.class(e.Class).Name, e.Front, seats)
		}
	}
}

// budget is the sixth rule: a front's attempts beyond each session's first, within any span, number no more than a
// few plus a share of the requests that it took.
func (j *judge) budget() {
	if !j.rules.Budgeted {
		return
	}
	further := map[string][]int64{}
	for _, a := range j.order {
		if a.Attempt == 0 {
			continue
		}
		j.report.Checked[RuleBudget]++
		from := a.At - int64(j.rules.BudgetSpan)
		list := slices.DeleteFunc(further[a.Front], func(t int64) bool { return t <= from+int64(j.rules.Skew) })
		further[a.Front] = append(list, a.At)
		taken := 0
		for _, t := range j.asks[a.Front] {
			if t > from-int64(j.rules.Skew) && t <= a.At {
				taken++
			}
		}
		if most := j.rules.Spare + j.rules.Ratio*float64(taken); float64(len(further[a.Front])) > most {
			j.broken(RuleBudget, a.Event, "%d further attempts within %v by front %s, which may make %.1f", len(further[a.Front]),
				j.rules.BudgetSpan, a.Front, most)
		}
	}
}

// orphans looks for streams that nobody ended.
func (j *judge) orphans() {
	if j.finished == 0 {
		return
	}
	for _, a := range j.order {
		j.report.Checked[RuleOrphans]++
		if a.stream {
			j.broken(RuleOrphans, a.Event, "stream %s still plays at server %d when all is over", a.AttemptKey(), a.Server)
		}
	}
}

// told is how long a segment may still be fetched from a server after the viewer's stream there ended: the player was
// told of it while the server held the session, and plays it from its buffer's end.
const told = int64(12 * time.Second)

// manifests is the eighth rule: every playlist that a player read is one, its sequence and discontinuity sequence never
// go back, its segments exist, and they lie at a server that plays the viewer's session or did just before.
func (j *judge) manifests() {
	type span struct{ from, to int64 }
	type holder struct {
		server uint32
		viewer string
		title  string
	}
	held := map[holder][]*span{}
	running := map[string]*span{}
	last := map[string]record.Event{}
	for _, e := range j.events {
		h := holder{e.Server, e.Viewer, e.Title}
		switch e.Kind {
		case record.StreamStarted:
			s := &span{e.At, 1 << 62}
			held[h] = append(held[h], s)
			running[e.AttemptKey()] = s
		case record.StreamEnded:
			if s := running[e.AttemptKey()]; s != nil {
				s.to = e.At
			}
		}
	}
	for _, e := range j.events {
		switch e.Kind {
		case record.PlaylistRead:
			j.report.Checked[RuleList]++
			was, seen := last[e.Ref]
			switch {
			case e.Text != "":
				j.broken(RuleList, e, "a playlist that is none: %s", e.Text)
				continue
			case seen && (e.Value < was.Value || e.Length < was.Length):
				j.broken(RuleList, e, "a playlist went back: sequence %.0f after %.0f, discontinuity %.0f after %.0f", e.Value, was.Value, e.Length, was.Length)
			}
			last[e.Ref] = e
		case record.SegmentRequested:
			j.report.Checked[RuleList]++
			if e.Status == 404 {
				j.broken(RuleList, e, "a segment that does not exist: %s of %s", e.Text, e.Title)
			}
			ok := false
			for _, s := range held[holder{e.Server, e.Viewer, e.Title}] {
				ok = ok || e.At >= s.from-int64(j.rules.Skew) && e.At <= s.to+told
			}
			if !ok {
				j.broken(RuleList, e, "a segment at server %d, which does not hold the viewer's session", e.Server)
			}
		}
	}
}

package audit

import (
	"slices"
	"time"

	"tealledge/internal/record"
)

// checkAnswers checks RuleAnswer: a request that a running front has accepted gets exactly one answer before the
// player's deadline. No answer is required if the player left, if the front was killed meanwhile, or if the request
// was written to a front that was already draining and closed the connection before it read the request. Time in
// which a front was paused does not count.
func (j *judge) checkAnswers() {
	for _, e := range j.events {
		if e.Kind != record.RequestSent {
			continue
		}
		c := j.calls[e.Ref]
		if c.request.At != e.At {
			continue
		}
		j.report.Checked[RuleAnswer]++
		timeout := j.class(e.Class).Deadline
		if e.Timeout > 0 {
			timeout = min(timeout, time.Duration(e.Timeout))
		}
		limit := e.At + int64(timeout+j.rules.AnswerGrace)
		if len(c.replies) > 1 {
			j.addViolation(RuleAnswer, c.replies[1], "second answer to request %s", e.Ref)
		}
		if len(c.replies) > 0 {
			paused, _ := j.pausedTime(e.Front, e.At, c.replies[0].At)
			if late := time.Duration(c.replies[0].At-limit) - paused; late > 0 {
				j.addViolation(RuleAnswer, c.replies[0], "answer to request %s came %v late", e.Ref, late)
			}
			continue
		}
		until := j.events[len(j.events)-1].At
		if c.end != nil {
			until = c.end.At
		}
		_, killed := j.pausedTime(e.Front, e.At-int64(j.rules.Skew), until+int64(j.rules.Skew))
		drainingSince, draining := j.drainingSince[e.Front]
		switch {
		case killed, c.end != nil && c.end.Kind == record.PlayerLeft, draining && e.At >= drainingSince && c.end != nil:
		case c.end != nil:
			j.addViolation(RuleAnswer, *c.end, "the connection was closed without an answer to request %s", e.Ref)
		default:
			paused, _ := j.pausedTime(e.Front, e.At, until)
			if until-int64(paused) > limit {
				j.addViolation(RuleAnswer, e, "no answer to request %s", e.Ref)
			}
		}
	}
}

// neverRan reports whether an answer received by the given time proves that the attempt never ran.
func (a *attempt) neverRan(by int64) bool {
	return a.answeredAt > 0 && a.answeredAt <= by && (a.status == 453 || a.status == 503)
}

// checkOnce checks RuleOnce: a paid session is set up again, or refused, only if every earlier attempt provably
// never ran, and no session ever has two attempts in flight. The sessions of a killed front end with it; ids are never
// reused.
func (j *judge) checkOnce() {
	for _, later := range j.arrived {
		j.report.Checked[RuleOnce]++
		for _, earlier := range j.sessions[later.Front+"/"+later.Session] {
			if earlier == later || earlier.At > later.At || earlier.At == later.At && earlier.Attempt >= later.Attempt {
				continue
			}
			if earlier.Attempt == later.Attempt {
				j.addViolation(RuleOnce, later.Event, "attempt %s arrived twice", later.AttemptKey())
			}
			if j.inFlightTogether(earlier, later) {
				j.addViolation(RuleOnce, later.Event, "attempt %s arrived while %s was in flight at server %d",
					later.AttemptKey(), earlier.AttemptKey(), earlier.Server)
			}
			if j.class(later.Class).Paid && !earlier.neverRan(later.At) {
				j.addViolation(RuleOnce, later.Event, "paid session set up again by %s although %s may have run",
					later.AttemptKey(), earlier.AttemptKey())
			}
		}
	}
	for _, e := range j.events {
		if e.Kind != record.ReplyReceived || e.Text != "refused" || !j.class(e.Class).Paid || e.Session == "" {
			continue
		}
		j.report.Checked[RuleOnce]++
		for _, earlier := range j.sessions[e.Front+"/"+e.Session] {
			if !earlier.neverRan(e.At) {
				j.addViolation(RuleOnce, e, "paid session %s refused although %s may have run", e.Session,
					earlier.AttemptKey())
			}
		}
	}
}

// inFlightTogether reports whether an attempt arrived while an earlier one was in flight. If attempts are numbered as
// they arrive, and two arrive within Rules.Skew, the one that was recorded later may have been sent first: its
// connection ended, and its receiver was late.
func (j *judge) inFlightTogether(earlier, later *attempt) bool {
	endsBefore := func(a, b *attempt) bool { return a.endedAt != 0 && a.endedAt-b.At <= int64(j.rules.Skew) }
	if endsBefore(earlier, later) {
		return false
	}
	orderUnknown := j.rules.NumberedOnArrival && later.At-earlier.At <= int64(j.rules.Skew)
	return !(orderUnknown && endsBefore(later, earlier))
}

// checkDrains checks RuleDrain: a server receives no set-up from a front later than DrainGrace after the server
// list reported to this front that the server drains or is removed. A front that was killed knows only what the list
// reports after its restart.
func (j *judge) checkDrains() {
	type pair struct {
		front  string
		server uint32
	}
	listed := map[pair]record.Event{}
	for _, e := range j.events {
		switch e.Kind {
		case record.ServerListed:
			key := pair{e.Front, e.Server}
			if previous, ok := listed[key]; ok && previous.Health != "ready" && e.Health != "ready" {
				continue // the first notice counts
			}
			listed[key] = e
		case record.FrontKilled:
			for key := range listed {
				if key.front == e.Front {
					delete(listed, key)
				}
			}
		case record.SetupReceived:
			j.report.Checked[RuleDrain]++
			entry, ok := listed[pair{e.Front, e.Server}]
			if !ok || entry.Health == "ready" {
				continue
			}
			paused, _ := j.pausedTime(e.Front, entry.At, e.At)
			if elapsed := time.Duration(e.At-entry.At) - paused; elapsed > j.rules.DrainGrace+j.rules.Skew {
				j.addViolation(RuleDrain, e, "set-up at server %d, %v after the list reported it to the front as %s",
					e.Server, elapsed, entry.Health)
			}
		}
	}
}

// checkColdServers checks RuleCold: within any FallSpan, a server that has just started receives no more
// set-ups than FallTimes of what it can handle at that time.
func (j *judge) checkColdServers() {
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
				j.addViolation(RuleCold, e, "server %d was overloaded while it was cold", e.Server)
			}
		case record.SetupReceived:
			server := servers[e.Server]
			if server == nil || e.At-server.from > int64(j.rules.ColdSpan) || j.rules.ColdSpan <= 0 {
				continue
			}
			j.report.Checked[RuleCold]++
			server.sent = append(server.sent, e.At)
			server.sent = slices.DeleteFunc(server.sent, func(t int64) bool { return e.At-t > int64(j.rules.FallSpan) })
			capacity := j.rules.ColdFrom + (1-j.rules.ColdFrom)*float64(e.At-server.from)/float64(j.rules.ColdSpan)
			// The 2 is a tolerance for random variation.
			limit := server.slots/j.rules.ColdSpan.Seconds()*capacity*j.rules.FallTimes*j.rules.FallSpan.Seconds() + 2
			if float64(len(server.sent)) > limit {
				j.addViolation(RuleCold, e,
					"%d set-ups within %v at server %d, which was limited to %.1f at that time", len(server.sent),
					j.rules.FallSpan, e.Server, limit)
			}
		}
	}
}

// checkFloorsAndSeats checks RuleFloorsAndSeats: no rung is below the floor of the class, and the sessions of a title
// and class at a front, set-ups included, do not exceed the seats.
func (j *judge) checkFloorsAndSeats() {
	type seat struct {
		front, title string
		class        int
	}
	held := map[seat][]*attempt{}
	for _, e := range j.events {
		switch e.Kind {
		case record.SetupReceived, record.RungSet, record.StreamStarted:
			j.report.Checked[RuleFloorsAndSeats]++
			if floor := j.class(e.Class).Floor; e.Rung < floor {
				j.addViolation(RuleFloorsAndSeats, e, "rung %d is below the floor %d of class %s", e.Rung, floor,
					j.class(e.Class).Name)
			}
		}
		seats := j.class(e.Class).Seats
		if e.Kind != record.SetupReceived || seats == 0 {
			continue
		}
		key := seat{e.Front, e.Title, e.Class}
		a := j.attempts[e.AttemptKey()]
		list := slices.DeleteFunc(held[key], func(o *attempt) bool {
			return o.endedAt != 0 && o.endedAt-int64(j.rules.Skew) <= e.At || o.Session == e.Session
		})
		held[key] = append(list, a)
		if len(held[key]) > seats {
			j.addViolation(RuleFloorsAndSeats, e,
				"%d sessions of title %s and class %s at front %s, which has %d seats", len(held[key]), e.Title,
				j.class(e.Class).Name, e.Front, seats)
		}
	}
}

// checkRetryBudget checks RuleBudget: within any BudgetSpan, a front makes no more attempts after the first one of
// each session than Spare plus Ratio times the requests that it received.
func (j *judge) checkRetryBudget() {
	if !j.rules.Budgeted {
		return
	}
	further := map[string][]int64{}
	for _, a := range j.arrived {
		if a.Attempt == 0 {
			continue
		}
		j.report.Checked[RuleBudget]++
		from := a.At - int64(j.rules.BudgetSpan)
		list := slices.DeleteFunc(further[a.Front], func(t int64) bool { return t <= from+int64(j.rules.Skew) })
		further[a.Front] = append(list, a.At)
		requests := 0
		for _, t := range j.requestTimes[a.Front] {
			if t > from-int64(j.rules.Skew) && t <= a.At {
				requests++
			}
		}
		if limit := j.rules.Spare + j.rules.Ratio*float64(requests); float64(len(further[a.Front])) > limit {
			j.addViolation(RuleBudget, a.Event,
				"%d further attempts within %v by front %s, which is limited to %.1f", len(further[a.Front]),
				j.rules.BudgetSpan, a.Front, limit)
		}
	}
}

// checkOrphans checks RuleOrphans: every stream has ended when the run is over.
func (j *judge) checkOrphans() {
	if j.finishedAt == 0 {
		return
	}
	for _, a := range j.arrived {
		j.report.Checked[RuleOrphans]++
		if a.streaming {
			j.addViolation(RuleOrphans, a.Event, "stream %s still plays at server %d after the end of the run",
				a.AttemptKey(), a.Server)
		}
	}
}

// segmentWindow is how long a segment may still be requested from a server after the viewer's stream there ended. The
// playlist named the segment while the server held the session, and the player requests it when its buffer runs out.
const segmentWindow = int64(12 * time.Second)

// checkPlaylists checks RulePlaylists: every playlist that a player read is valid, its media sequence and
// discontinuity sequence never decrease, its segments exist, and they are on a server that plays the viewer's session
// or did so until just before.
func (j *judge) checkPlaylists() {
	type span struct{ from, to int64 }
	type holder struct {
		server uint32
		viewer string
		title  string
	}
	held := map[holder][]*span{}
	running := map[string]*span{}
	lastRead := map[string]record.Event{}
	for _, e := range j.events {
		key := holder{e.Server, e.Viewer, e.Title}
		switch e.Kind {
		case record.StreamStarted:
			s := &span{e.At, 1 << 62}
			held[key] = append(held[key], s)
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
			j.report.Checked[RulePlaylists]++
			previous, seen := lastRead[e.Ref]
			switch {
			case e.Text != "":
				j.addViolation(RulePlaylists, e, "invalid playlist: %s", e.Text)
				continue
			case seen && (e.Value < previous.Value || e.Length < previous.Length):
				j.addViolation(RulePlaylists, e,
					"playlist went back: sequence %.0f after %.0f, discontinuity %.0f after %.0f", e.Value,
					previous.Value, e.Length, previous.Length)
			}
			lastRead[e.Ref] = e
		case record.SegmentRequested:
			j.report.Checked[RulePlaylists]++
			if e.Status == 404 {
				j.addViolation(RulePlaylists, e, "request for a segment that does not exist: %s of %s", e.Text, e.Title)
			}
			allowed := false
			for _, s := range held[holder{e.Server, e.Viewer, e.Title}] {
				allowed = allowed || e.At >= s.from-int64(j.rules.Skew) && e.At <= s.to+segmentWindow
			}
			if !allowed {
				j.addViolation(RulePlaylists, e,
					"request for a segment at server %d, which does not hold the viewer's session", e.Server)
			}
		}
	}
}

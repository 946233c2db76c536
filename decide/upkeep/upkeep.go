// Package upkeep decides which machines may be out of service for work at the same time, and in which order waiting
// requests are granted. It is pure: its input is what is out, what has failed and what is requested; for every
// request it answers that it is granted, that it waits and why, or that it is refused. It imports no other package of
// the program.
package upkeep

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// Time is a point of time or a duration in nanoseconds.
type Time = int64

// Limits bound the machines that may be out at the same time. A failed machine counts as out.
type Limits struct {
	Rack, Zone, Whole int     // servers out in a rack, in a zone, in total; 0: none may be out
	Racks             int     // racks that are out whole; Rack does not apply to them. 0: only server by server
	Fronts            int     // hosts of fronts out in total
	Holders           int     // servers in service that every title keeps
	Margin            float64 // spare capacity beyond the need of the present sessions, as a part of that need
	Paid              int     // paid sessions on servers being drained at the same time
	// Patience is how long a request that is blocked only by others waits until no request after it in the order may
	// overtake it. Without it a rack would wait for ever while its servers go one by one.
	Patience Time
}

// Server is a media server as described by the server list and the fronts' reports.
type Server struct {
	ID         uint32
	Rack, Zone int
	LinkKB     float64 // capacity of its link, kB a second
	NeededKB   float64 // kB a second that its sessions of all fronts need in the worst case
	Paid       int     // paid sessions on it
	Failed     bool    // not ready, and not for work
}

// Front is a front's host. Failed means absent, and not for work.
type Front struct {
	Name   string
	Failed bool
}

// Fleet is the state on which decisions are based. Servers are sorted by ID.
type Fleet struct {
	Servers []Server
	Fronts  []Front
	RackKB  float64 // capacity of the uplink of a rack, kB a second; 0: as much as its servers
	// Groups are the distinct sets of servers that hold the same title.
	Groups [][]uint32
	// UncertainReason is set if too little is known of the present sessions: no request that names servers is
	// granted.
	UncertainReason string
	// HoldReason is set if no request is granted for another reason, such as a zone that is being vacated.
	HoldReason string
}

// Request is a request for one piece of work. Its machines go out together or not at all.
type Request struct {
	ID           uint64
	RequestedAt  Time
	Deadline     Time // the machines have to be back by then; 0: no deadline
	WorkDuration Time
	Servers      []uint32
	Fronts       []string
	Granted      bool // the work was granted and is not over
	Drained      bool // if granted: no sessions are left on the machines
}

// Verdict is the decision on a waiting request.
type Verdict uint8

// Verdicts.
const (
	Wait   Verdict = iota
	Grant          // now
	Refuse         // it can't be granted, or not in time
)

// Answer is the decision on a request, with the reason if it is not granted.
type Answer struct {
	ID      uint64
	Verdict Verdict
	Limit   string // the limit that blocks it, by its name in the settings
	Why     string
	Behind  []uint64 // IDs of the requests that hold what it waits for
}

// Order sorts requests by the latest time at which each can still start, then by the least load on their machines
// (compared in powers of two, as smaller differences don't matter), then by the most rounds of work waiting for the
// same rack or zone, then by ID, oldest first. Requests without a deadline come after those that have one, except
// that Patience reserves places for them. Without the rounds the last zone in the order would be worked on alone,
// within its own limit, when all others are done.
func Order(l Limits, fleet *Fleet, requests []Request) []Request {
	racks, zones := map[int]int{}, map[int]int{}
	for i := range requests {
		for _, id := range requests[i].Servers {
			if s := fleet.server(id); s != nil && !requests[i].Granted {
				racks[s.Rack]++
				zones[s.Zone]++
			}
		}
	}
	type key struct{ impact, rounds int }
	keys := make(map[uint64]key, len(requests))
	for i := range requests {
		kb, rounds := 0.0, 0
		for _, id := range requests[i].Servers {
			if s := fleet.server(id); s != nil {
				kb += s.NeededKB
				rounds = max(rounds, racks[s.Rack]/max(l.Rack, 1), zones[s.Zone]/max(l.Zone, 1))
			}
		}
		keys[requests[i].ID] = key{bits.Len64(uint64(max(kb, 0))), rounds}
	}
	list := slices.Clone(requests)
	slices.SortStableFunc(list, func(a, b Request) int {
		return cmp.Or(-cmp.Compare(boolToInt(a.Deadline > 0), boolToInt(b.Deadline > 0)),
			cmp.Compare(a.Deadline-a.WorkDuration, b.Deadline-b.WorkDuration)*
				boolToInt(a.Deadline > 0 && b.Deadline > 0),
			cmp.Compare(keys[a.ID].impact, keys[b.ID].impact),
			-cmp.Compare(keys[a.ID].rounds, keys[b.ID].rounds), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Decide answers every request that is not yet granted. All that it grants may go out at once.
func Decide(now Time, l Limits, fleet *Fleet, requests []Request) []Answer {
	u, idle := newUsage(l, fleet), newIdleUsage(l, fleet)
	for i := range requests {
		if requests[i].Granted {
			u.add(&requests[i])
		}
	}
	var answers []Answer
	var reserved []reservation // for requests that have waited too long to be overtaken
	for _, request := range Order(l, fleet, requests) {
		if request.Granted {
			continue
		}
		if refusal := refusalOf(now, idle, fleet, &request); refusal.Why != "" {
			refusal.ID, refusal.Verdict = request.ID, Refuse
			answers = append(answers, refusal)
			continue
		}
		if fleet.HoldReason != "" {
			answers = append(answers, Answer{ID: request.ID, Limit: "held", Why: fleet.HoldReason})
			continue
		}
		if fleet.UncertainReason != "" && len(request.Servers) > 0 {
			answers = append(answers, Answer{ID: request.ID, Limit: "room", Why: fleet.UncertainReason})
			continue
		}
		if c, found := findConflict(reserved, fleet, &request); found {
			answers = append(answers, Answer{ID: request.ID, Limit: c.limit,
				Why: fmt.Sprintf("ask %d waits longer for the same", c.requestID), Behind: []uint64{c.requestID}})
			continue
		}
		answer, reservations := u.check(&request)
		if answer.Why == "" {
			u.add(&request)
			answers = append(answers, Answer{ID: request.ID, Verdict: Grant})
			continue
		}
		answer.ID = request.ID
		answers = append(answers, answer)
		if now-request.RequestedAt >= l.Patience {
			reserved = append(reserved, reservations...)
		}
	}
	return answers
}

// ExceededLimit returns the reason of the limit that granted work whose machines are not out yet would exceed by now,
// "" if none. Failures since the grant count, because granted work must not take further machines out after them.
func ExceededLimit(l Limits, fleet *Fleet, requests []Request, id uint64) string {
	u := newUsage(l, fleet)
	var own *Request
	for i := range requests {
		if requests[i].ID == id {
			own = &requests[i]
		} else if requests[i].Granted {
			u.add(&requests[i])
		}
	}
	if own == nil {
		return ""
	}
	answer, _ := u.check(own)
	return answer.Why
}

// refusalOf returns why a request can't be granted, even with nothing else out and nothing failed, or not in time.
func refusalOf(now Time, idle *usage, fleet *Fleet, request *Request) Answer {
	if len(request.Servers)+len(request.Fronts) == 0 {
		return Answer{Limit: "machines", Why: "it names no machine"}
	}
	if request.Deadline > 0 && now+request.WorkDuration > request.Deadline {
		return Answer{Limit: "by", Why: fmt.Sprintf("work of %v can't end in time: it is %v too late",
			time.Duration(request.WorkDuration),
			time.Duration(now+request.WorkDuration-request.Deadline).Round(time.Second))}
	}
	for _, id := range request.Servers {
		if fleet.server(id) == nil {
			return Answer{Limit: "machines", Why: fmt.Sprintf("no server %d is listed", id)}
		}
	}
	for _, name := range request.Fronts {
		if !slices.ContainsFunc(fleet.Fronts, func(f Front) bool { return f.Name == name }) {
			return Answer{Limit: "machines", Why: fmt.Sprintf("no front %q was ever here", name)}
		}
	}
	answer, _ := idle.check(request)
	if answer.Why != "" {
		answer.Why = "not even alone: " + answer.Why
	}
	return answer
}

// newIdleUsage returns the usage of a fleet with nothing out, nothing failed and no sessions.
func newIdleUsage(l Limits, fleet *Fleet) *usage {
	idle := *fleet
	idle.Servers, idle.Fronts = slices.Clone(fleet.Servers), slices.Clone(fleet.Fronts)
	for i := range idle.Servers {
		s := &idle.Servers[i]
		s.Failed, s.NeededKB, s.Paid = false, 0, 0
	}
	for i := range idle.Fronts {
		idle.Fronts[i].Failed = false
	}
	return newUsage(l, &idle)
}

func (f *Fleet) server(id uint32) *Server {
	i, ok := slices.BinarySearchFunc(f.Servers, id, func(s Server, id uint32) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil
	}
	return &f.Servers[i]
}

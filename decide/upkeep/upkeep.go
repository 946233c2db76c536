// Package upkeep decides which machines may be out for work at the same time, and in which order those that wait are
// let go. It is pure: it sees what is out, what has failed and what is asked, and says of every ask that it goes, that it
// waits and why, or that it can never go. It imports nothing of the program.
package upkeep

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// Time is a clock reading or span in nanoseconds.
type Time = int64

// Limits bound what may be out at the same time. A failed machine counts as out.
type Limits struct {
	Rack, Zone, Whole int     // servers out in a rack, in a zone, in all; 0: none may be out there
	Racks             int     // racks that are out whole; Rack does not count for those. 0: only server by server
	Fronts            int     // hosts of fronts out in all
	Holders           int     // servers that every title keeps
	Margin            float64 // room left over what the standing sessions need, as a part of that need
	Paid              int     // paid sessions that stand on servers being emptied at the same time
	// Patience is how long an ask that could go but for others waits until none of those that come behind it in the order
	// may pass it by. Without it a rack would wait for ever while its servers go one by one.
	Patience Time
}

// Server is a media server as the list and the fronts' reports tell of it.
type Server struct {
	ID         uint32
	Rack, Zone int
	KB         float64 // what its link carries, kB a second
	Used       float64 // what the sessions that stand on it need, over all fronts, at its worst
	Paid       int     // paid sessions that stand on it
	Failed     bool    // not ready, and not for work
}

// Front is a front's host. Failed: not here, and not for work.
type Front struct {
	Name   string
	Failed bool
}

// World is what the choice rests on. Servers are sorted by ID.
type World struct {
	Servers []Server
	Fronts  []Front
	RackKB  float64 // what the uplink of a rack carries; 0: as much as its servers
	// Groups are the sets of servers that hold a title between them, each once.
	Groups [][]uint32
	// Unsure tells that too little is known of the sessions that stand: none may go that holds servers.
	Unsure string
	// Held tells that none may go for another reason, such as a zone that is being left.
	Held string
}

// Ask is one piece of work. Its machines go together or not at all.
type Ask struct {
	ID      uint64
	Asked   Time
	By      Time // it has to be back by then; 0: whenever
	For     Time
	Servers []uint32
	Fronts  []string
	Out     bool // it was let go and is not back
	Emptied bool // if out: nothing stands there any more
}

// Verdict is what becomes of an ask that waits.
type Verdict uint8

// The verdicts.
const (
	Wait  Verdict = iota
	Go            // now
	Never         // refused: it can't be let go, or not in time
)

// Answer says what becomes of an ask, and why if it does not go.
type Answer struct {
	ID      uint64
	Verdict Verdict
	Limit   string // which limit keeps it, in the settings' words
	Why     string
	Behind  []uint64 // asks that hold what it waits for
}

// Order sorts asks by the latest time at which each can still begin, then by what they harm least (what stands on their
// machines, in doublings: less is no reason), then by where most rounds of work wait for the same rack or zone, then by
// number: whoever asked first. Asks without a time come behind those that have one, but for the patience that lets nobody
// pass. Without the rounds the last zone in the order is left alone with its limit when all others are done.
func Order(l Limits, w *World, asks []Ask) []Ask {
	racks, zones := map[int]int{}, map[int]int{}
	for i := range asks {
		for _, id := range asks[i].Servers {
			if s := w.server(id); s != nil && !asks[i].Out {
				racks[s.Rack]++
				zones[s.Zone]++
			}
		}
	}
	type key struct{ harm, rounds int }
	keys := make(map[uint64]key, len(asks))
	for i := range asks {
		kb, rounds := 0.0, 0
		for _, id := range asks[i].Servers {
			if s := w.server(id); s != nil {
				kb += s.Used
				rounds = max(rounds, racks[s.Rack]/max(l.Rack, 1), zones[s.Zone]/max(l.Zone, 1))
			}
		}
		keys[asks[i].ID] = key{bits.Len64(uint64(max(kb, 0))), rounds}
	}
	list := slices.Clone(asks)
	slices.SortStableFunc(list, func(a, b Ask) int {
		return cmp.Or(-cmp.Compare(b2i(a.By > 0), b2i(b.By > 0)), cmp.Compare(a.By-a.For, b.By-b.For)*b2i(a.By > 0 && b.By > 0),
			cmp.Compare(keys[a.ID].harm, keys[b.ID].harm), -cmp.Compare(keys[a.ID].rounds, keys[b.ID].rounds), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Decide answers every ask that is not out. Those that it lets go may all go at once.
func Decide(now Time, l Limits, w *World, asks []Ask) []Answer {
	t, bare := newTally(l, w), alone(l, w)
	for i := range asks {
		if asks[i].Out {
			t.add(&asks[i])
		}
	}
	var answers []Answer
	var kept []claim // what those that waited too long to be passed by are kept by
	for _, a := range Order(l, w, asks) {
		if a.Out {
			continue
		}
		if why := never(now, bare, w, &a); why.Why != "" {
			why.ID, why.Verdict = a.ID, Never
			answers = append(answers, why)
			continue
		}
		if w.Held != "" {
			answers = append(answers, Answer{ID: a.ID, Limit: "held", Why: w.Held})
			continue
		}
		if w.Unsure != "" && len(a.Servers) > 0 {
			answers = append(answers, Answer{ID: a.ID, Limit: "room", Why: w.Unsure})
			continue
		}
		if c, found := passes(kept, w, &a); found {
			answers = append(answers, Answer{ID: a.ID, Limit: c.limit, Why: fmt.Sprintf("ask %d waits longer for the same", c.by), Behind: []uint64{c.by}})
			continue
		}
		stop, claims := t.check(&a)
		if stop.Why == "" {
			t.add(&a)
			answers = append(answers, Answer{ID: a.ID, Verdict: Go})
			continue
		}
		stop.ID = a.ID
		answers = append(answers, stop)
		if now-a.Asked >= l.Patience {
			kept = append(kept, claims...)
		}
	}
	return answers
}

// Broken tells which limit work that was let go, and whose machines are not out yet, would break by now: what fails meanwhile
// counts, and work that was granted must not take the rest down after it. "": none.
func Broken(l Limits, w *World, asks []Ask, id uint64) string {
	t := newTally(l, w)
	var own *Ask
	for i := range asks {
		if asks[i].ID == id {
			own = &asks[i]
		} else if asks[i].Out {
			t.add(&asks[i])
		}
	}
	if own == nil {
		return ""
	}
	stop, _ := t.check(own)
	return stop.Why
}

// never tells why an ask can't be let go even if nothing else were out and nothing had failed, or no more in time.
func never(now Time, bare *tally, w *World, a *Ask) Answer {
	if len(a.Servers)+len(a.Fronts) == 0 {
		return Answer{Limit: "machines", Why: "it names no machine"}
	}
	if a.By > 0 && now+a.For > a.By {
		return Answer{Limit: "by", Why: fmt.Sprintf("work of %v can't end in time: it is %v too late",
			time.Duration(a.For), time.Duration(now+a.For-a.By).Round(time.Second))}
	}
	for _, id := range a.Servers {
		if w.server(id) == nil {
			return Answer{Limit: "machines", Why: fmt.Sprintf("no server %d is listed", id)}
		}
	}
	for _, name := range a.Fronts {
		if !slices.ContainsFunc(w.Fronts, func(f Front) bool { return f.Name == name }) {
			return Answer{Limit: "machines", Why: fmt.Sprintf("no front %q was ever here", name)}
		}
	}
	stop, _ := bare.check(a)
	if stop.Why != "" {
		stop.Why = "not even alone: " + stop.Why
	}
	return stop
}

// alone counts nothing as out and nothing as standing.
func alone(l Limits, w *World) *tally {
	bare := *w
	bare.Servers, bare.Fronts = slices.Clone(w.Servers), slices.Clone(w.Fronts)
	for i := range bare.Servers {
		s := &bare.Servers[i]
		s.Failed, s.Used, s.Paid = false, 0, 0
	}
	for i := range bare.Fronts {
		bare.Fronts[i].Failed = false
	}
	return newTally(l, &bare)
}

func (w *World) server(id uint32) *Server {
	i, ok := slices.BinarySearchFunc(w.Servers, id, func(s Server, id uint32) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil
	}
	return &w.Servers[i]
}

package upkeep

import (
	"fmt"
	"slices"
)

// tally counts what is out, by the limits that it counts in.
type tally struct {
	l     Limits
	w     *World
	out   map[uint32]bool   // servers that are not in, for work or failed
	by    map[uint32]uint64 // the ask that has a server
	gone  map[string]uint64 // fronts
	racks map[int]int
	size  map[int]int    // servers of a rack
	whole map[int]uint64 // racks that are out whole, by the ask that has them out
	zones map[int]int
	group map[uint32][]int // groups that a server is in
	left  []int            // servers of each group that are in
	paid  int              // paid sessions on servers being emptied
	need  float64          // kB a second of all sessions that stand
	byKB  map[int]float64  // what the servers in a rack carry that are in
}

func newTally(l Limits, w *World) *tally {
	t := &tally{l: l, w: w, out: map[uint32]bool{}, by: map[uint32]uint64{}, gone: map[string]uint64{}, racks: map[int]int{}, size: map[int]int{}, whole: map[int]uint64{}, zones: map[int]int{},
		group: map[uint32][]int{}, left: make([]int, len(w.Groups)), byKB: map[int]float64{}}
	for i, g := range w.Groups {
		for _, id := range g {
			if w.server(id) != nil {
				t.group[id] = append(t.group[id], i)
				t.left[i]++
			}
		}
	}
	for i := range w.Servers {
		s := &w.Servers[i]
		t.need += s.Used
		t.byKB[s.Rack] += s.KB
		t.size[s.Rack]++
	}
	for i := range w.Servers {
		if w.Servers[i].Failed {
			t.take(&w.Servers[i])
		}
	}
	for _, f := range w.Fronts {
		if f.Failed {
			t.gone[f.Name] = 0
		}
	}
	return t
}

// take counts a server as out, once.
func (t *tally) take(s *Server) {
	if t.out[s.ID] {
		return
	}
	t.out[s.ID] = true
	t.racks[s.Rack]++
	t.zones[s.Zone]++
	t.byKB[s.Rack] -= s.KB
	for _, g := range t.group[s.ID] {
		t.left[g]--
	}
}

// add counts an ask that is out. What it named and is not listed any more takes no room from others.
func (t *tally) add(a *Ask) {
	for _, r := range t.covers(a) {
		t.whole[r] = a.ID
	}
	for _, id := range a.Servers {
		if s := t.w.server(id); s != nil {
			t.take(s)
			t.by[s.ID] = a.ID
			if !a.Emptied {
				t.paid += s.Paid
			}
		}
	}
	for _, name := range a.Fronts {
		t.gone[name] = a.ID
	}
}

// covers gives the racks of which an ask takes every server.
func (t *tally) covers(a *Ask) (racks []int) {
	have := map[int]int{}
	for i, id := range a.Servers {
		if s := t.w.server(id); s != nil && !slices.Contains(a.Servers[:i], id) {
			have[s.Rack]++
		}
	}
	for _, r := range sorted(have) {
		if have[r] == t.size[r] && have[r] > 1 {
			racks = append(racks, r)
		}
	}
	return racks
}

// claim is a place in a limit that is kept for an ask.
type claim struct {
	limit string
	place int
	by    uint64
}

// passes finds a claim in whose way an ask would get. Work on what has failed gets in nobody's way.
func passes(kept []claim, w *World, a *Ask) (claim, bool) {
	for _, c := range kept {
		switch c.limit {
		case "fronts":
			if len(a.Fronts) > 0 {
				return c, true
			}
		case "rack", "zone":
			for _, id := range a.Servers {
				if s := w.server(id); s != nil && !s.Failed && (c.limit == "rack" && s.Rack == c.place || c.limit == "zone" && s.Zone == c.place) {
					return c, true
				}
			}
		default: // the whole, room, titles, paid sessions: any server may be in the way
			if slices.ContainsFunc(a.Servers, func(id uint32) bool { s := w.server(id); return s != nil && !s.Failed }) {
				return c, true
			}
		}
	}
	return claim{}, false
}

// check tells which limit keeps an ask from going, and what is to be kept for it if it has waited too long.
func (t *tally) check(a *Ask) (Answer, []claim) {
	racks, zones, all := map[int]int{}, map[int]int{}, 0
	taken := map[uint32]bool{}
	paid := 0
	cut := map[int]float64{}
	lost := map[int]int{}
	for _, id := range a.Servers {
		s := t.w.server(id)
		if s == nil || taken[id] {
			continue
		}
		taken[id] = true
		if by := t.by[id]; by != 0 {
			return stopped("machines", []uint64{by}, "server %d is out already", id), t.claims(a, "rack")
		}
		if t.out[id] {
			continue // it failed, and counts already: work on it takes nothing more down
		}
		racks[s.Rack]++
		zones[s.Zone]++
		all++
		paid += s.Paid
		cut[s.Rack] += s.KB
		for _, g := range t.group[id] {
			lost[g]++
		}
	}
	covered := t.covers(a)
	for i := range covered {
		if have := len(t.whole) + i + 1; have > t.l.Racks {
			return stopped("racks", t.holding(func(s *Server) bool { return t.whole[s.Rack] != 0 }),
				"%d racks would be out whole, %d may be", have, t.l.Racks), t.claims(a, "racks")
		}
	}
	for _, r := range sorted(racks) {
		if slices.Contains(covered, r) {
			continue
		}
		if have := t.racks[r] + racks[r]; have > t.l.Rack {
			return stopped("rack", t.holding(func(s *Server) bool { return s.Rack == r }), "rack %d would have %d servers out, %d may be", r, have, t.l.Rack), t.claims(a, "rack")
		}
	}
	for _, z := range sorted(zones) {
		if have := t.zones[z] + zones[z]; have > t.l.Zone {
			return stopped("zone", t.holding(func(s *Server) bool { return s.Zone == z }), "zone %d would have %d servers out, %d may be", z, have, t.l.Zone), t.claims(a, "zone")
		}
	}
	if have := len(t.out) + all; all > 0 && have > t.l.Whole {
		return stopped("whole", t.holding(func(*Server) bool { return true }), "%d servers would be out, %d may be", have, t.l.Whole), t.claims(a, "whole")
	}
	for _, g := range sorted(lost) {
		if left := t.left[g] - lost[g]; left < t.l.Holders {
			return stopped("holders", t.holding(func(s *Server) bool { return slices.Contains(t.group[s.ID], g) }),
				"a title held by %d servers would keep %d, %d are wanted", len(t.w.Groups[g]), left, t.l.Holders), t.claims(a, "holders")
		}
	}
	if room := t.room(cut); all > 0 && room < t.need*(1+t.l.Margin) {
		return stopped("room", t.holding(func(*Server) bool { return true }),
			"%.0f kB a second would be left, standing sessions need %.0f and a margin of %.0f %%", room, t.need, 100*t.l.Margin), t.claims(a, "room")
	}
	// A server with more paid sessions than the limit goes alone: else nobody could ever empty it.
	if t.paid > 0 && t.paid+paid > t.l.Paid && paid > 0 {
		return stopped("paid", t.holding(func(s *Server) bool { return s.Paid > 0 }),
			"%d paid sessions would be moving, %d may be", t.paid+paid, t.l.Paid), t.claims(a, "paid")
	}
	fronts := 0
	for _, name := range a.Fronts {
		if by, isOut := t.gone[name]; !isOut {
			fronts++
		} else if by != 0 {
			return stopped("machines", []uint64{by}, "front %s is out already", name), t.claims(a, "fronts")
		}
	}
	if have := len(t.gone) + fronts; fronts > 0 && have > t.l.Fronts {
		var by []uint64
		for _, id := range t.gone {
			by = append(by, id)
		}
		return stopped("fronts", named(by), "%d fronts would be out, %d may be", have, t.l.Fronts), t.claims(a, "fronts")
	}
	return Answer{}, nil
}

// room is what the servers that stay in carry, less those of an ask, bounded by their racks' uplinks.
func (t *tally) room(cut map[int]float64) (kb float64) {
	for r, have := range t.byKB {
		have -= cut[r]
		if t.w.RackKB > 0 {
			have = min(have, t.w.RackKB)
		}
		kb += max(have, 0)
	}
	return kb
}

// holding names the asks that have servers of a kind out.
func (t *tally) holding(of func(*Server) bool) []uint64 {
	var by []uint64
	for id, ask := range t.by {
		if s := t.w.server(id); s != nil && of(s) {
			by = append(by, ask)
		}
	}
	return named(by)
}

// named sorts asks, each once; failed machines belong to none.
func named(by []uint64) []uint64 {
	slices.Sort(by)
	by = slices.Compact(by)
	return slices.DeleteFunc(by, func(id uint64) bool { return id == 0 })
}

func (t *tally) claims(a *Ask, limit string) (list []claim) {
	if limit != "rack" && limit != "zone" {
		return []claim{{limit: limit, by: a.ID}}
	}
	for _, id := range a.Servers {
		s := t.w.server(id)
		if s == nil {
			continue
		}
		c := claim{limit, s.Rack, a.ID}
		if limit == "zone" {
			c.place = s.Zone
		}
		if !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

func stopped(limit string, behind []uint64, format string, args ...any) Answer {
	why := fmt.Sprintf(format, args...)
	if len(behind) == 0 && limit != "machines" {
		why += " (what has failed counts)"
	}
	return Answer{Limit: limit, Why: why, Behind: behind}
}

func sorted(m map[int]int) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

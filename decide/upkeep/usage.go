package upkeep

import (
	"fmt"
	"slices"
)

// usage counts the machines that are out, for each limit.
type usage struct {
	limits          Limits
	fleet           *Fleet
	out             map[uint32]bool   // servers that are out, for work or because they failed
	requestByServer map[uint32]uint64 // ID of the granted request that has the server
	frontsOut       map[string]uint64 // fronts that are out: ID of the request, 0 if the front failed
	rackOut         map[int]int
	rackSize        map[int]int    // servers in a rack
	wholeRacks      map[int]uint64 // racks that are out whole: ID of the request
	zoneOut         map[int]int
	groupsOf        map[uint32][]int // indices of the groups that a server is in
	groupLeft       []int            // servers of each group that are still in service
	paid            int              // paid sessions on servers being drained
	neededKB        float64          // kB a second that all sessions need
	rackKB          map[int]float64  // kB a second that the servers of a rack in service carry
}

func newUsage(l Limits, fleet *Fleet) *usage {
	u := &usage{limits: l, fleet: fleet, out: map[uint32]bool{}, requestByServer: map[uint32]uint64{},
		frontsOut: map[string]uint64{}, rackOut: map[int]int{}, rackSize: map[int]int{},
		wholeRacks: map[int]uint64{}, zoneOut: map[int]int{},
		groupsOf: map[uint32][]int{}, groupLeft: make([]int, len(fleet.Groups)), rackKB: map[int]float64{}}
	for i, g := range fleet.Groups {
		for _, id := range g {
			if fleet.server(id) != nil {
				u.groupsOf[id] = append(u.groupsOf[id], i)
				u.groupLeft[i]++
			}
		}
	}
	for i := range fleet.Servers {
		s := &fleet.Servers[i]
		u.neededKB += s.NeededKB
		u.rackKB[s.Rack] += s.LinkKB
		u.rackSize[s.Rack]++
	}
	for i := range fleet.Servers {
		if fleet.Servers[i].Failed {
			u.takeOut(&fleet.Servers[i])
		}
	}
	for _, f := range fleet.Fronts {
		if f.Failed {
			u.frontsOut[f.Name] = 0
		}
	}
	return u
}

// takeOut counts a server as out, once.
func (u *usage) takeOut(s *Server) {
	if u.out[s.ID] {
		return
	}
	u.out[s.ID] = true
	u.rackOut[s.Rack]++
	u.zoneOut[s.Zone]++
	u.rackKB[s.Rack] -= s.LinkKB
	for _, g := range u.groupsOf[s.ID] {
		u.groupLeft[g]--
	}
}

// add counts a granted request. Machines that it names and that are no longer listed use up no limit.
func (u *usage) add(request *Request) {
	for _, r := range u.coveredRacks(request) {
		u.wholeRacks[r] = request.ID
	}
	for _, id := range request.Servers {
		if s := u.fleet.server(id); s != nil {
			u.takeOut(s)
			u.requestByServer[s.ID] = request.ID
			if !request.Drained {
				u.paid += s.Paid
			}
		}
	}
	for _, name := range request.Fronts {
		u.frontsOut[name] = request.ID
	}
}

// coveredRacks returns the racks of which a request takes every server.
func (u *usage) coveredRacks(request *Request) (racks []int) {
	have := map[int]int{}
	for i, id := range request.Servers {
		if s := u.fleet.server(id); s != nil && !slices.Contains(request.Servers[:i], id) {
			have[s.Rack]++
		}
	}
	for _, r := range sortedKeys(have) {
		if have[r] == u.rackSize[r] && have[r] > 1 {
			racks = append(racks, r)
		}
	}
	return racks
}

// reservation keeps a place within a limit for a waiting request.
type reservation struct {
	limit     string
	location  int
	requestID uint64
}

// findConflict finds a reservation that a request would violate. Work on failed machines violates none.
func findConflict(reservations []reservation, fleet *Fleet, request *Request) (reservation, bool) {
	for _, c := range reservations {
		switch c.limit {
		case "fronts":
			if len(request.Fronts) > 0 {
				return c, true
			}
		case "rack", "zone":
			for _, id := range request.Servers {
				if s := fleet.server(id); s != nil && !s.Failed &&
					(c.limit == "rack" && s.Rack == c.location || c.limit == "zone" && s.Zone == c.location) {
					return c, true
				}
			}
		default: // whole, room, holders, paid: any server may violate it
			if slices.ContainsFunc(request.Servers, func(id uint32) bool {
				s := fleet.server(id)
				return s != nil && !s.Failed
			}) {
				return c, true
			}
		}
	}
	return reservation{}, false
}

// check returns the limit that blocks a request, and the reservations to make for it if it has waited too long.
func (u *usage) check(request *Request) (Answer, []reservation) {
	racks, zones, total := map[int]int{}, map[int]int{}, 0
	taken := map[uint32]bool{}
	paid := 0
	removedKB := map[int]float64{}
	groupLoss := map[int]int{}
	for _, id := range request.Servers {
		s := u.fleet.server(id)
		if s == nil || taken[id] {
			continue
		}
		taken[id] = true
		if by := u.requestByServer[id]; by != 0 {
			return blocked("machines", []uint64{by}, "server %d is out already", id), u.reservations(request, "rack")
		}
		if u.out[id] {
			continue // it has failed and is counted already: work on it takes nothing more out
		}
		racks[s.Rack]++
		zones[s.Zone]++
		total++
		paid += s.Paid
		removedKB[s.Rack] += s.LinkKB
		for _, g := range u.groupsOf[id] {
			groupLoss[g]++
		}
	}
	covered := u.coveredRacks(request)
	for i := range covered {
		if have := len(u.wholeRacks) + i + 1; have > u.limits.Racks {
			return blocked("racks", u.requestsWith(func(s *Server) bool { return u.wholeRacks[s.Rack] != 0 }),
				"%d racks would be out whole, %d may be", have, u.limits.Racks), u.reservations(request, "racks")
		}
	}
	for _, r := range sortedKeys(racks) {
		if slices.Contains(covered, r) {
			continue
		}
		if have := u.rackOut[r] + racks[r]; have > u.limits.Rack {
			return blocked("rack", u.requestsWith(func(s *Server) bool { return s.Rack == r }),
				"rack %d would have %d servers out, %d may be", r, have, u.limits.Rack), u.reservations(request, "rack")
		}
	}
	for _, z := range sortedKeys(zones) {
		if have := u.zoneOut[z] + zones[z]; have > u.limits.Zone {
			return blocked("zone", u.requestsWith(func(s *Server) bool { return s.Zone == z }),
				"zone %d would have %d servers out, %d may be", z, have, u.limits.Zone), u.reservations(request, "zone")
		}
	}
	if have := len(u.out) + total; total > 0 && have > u.limits.Whole {
		return blocked("whole", u.requestsWith(func(*Server) bool { return true }),
			"%d servers would be out, %d may be", have, u.limits.Whole), u.reservations(request, "whole")
	}
	for _, g := range sortedKeys(groupLoss) {
		if left := u.groupLeft[g] - groupLoss[g]; left < u.limits.Holders {
			return blocked("holders",
				u.requestsWith(func(s *Server) bool { return slices.Contains(u.groupsOf[s.ID], g) }),
				"a title held by %d servers would keep %d, %d are wanted",
				len(u.fleet.Groups[g]), left, u.limits.Holders), u.reservations(request, "holders")
		}
	}
	if remainingKB := u.remainingKB(removedKB); total > 0 && remainingKB < u.neededKB*(1+u.limits.Margin) {
		return blocked("room", u.requestsWith(func(*Server) bool { return true }),
			"%.0f kB a second would be left, standing sessions need %.0f and a margin of %.0f %%",
			remainingKB, u.neededKB, 100*u.limits.Margin), u.reservations(request, "room")
	}
	// A server with more paid sessions than the limit may go alone: otherwise it could never be drained.
	if u.paid > 0 && u.paid+paid > u.limits.Paid && paid > 0 {
		return blocked("paid", u.requestsWith(func(s *Server) bool { return s.Paid > 0 }),
			"%d paid sessions would be moving, %d may be", u.paid+paid, u.limits.Paid), u.reservations(request, "paid")
	}
	fronts := 0
	for _, name := range request.Fronts {
		if by, isOut := u.frontsOut[name]; !isOut {
			fronts++
		} else if by != 0 {
			return blocked("machines", []uint64{by}, "front %s is out already", name), u.reservations(request, "fronts")
		}
	}
	if have := len(u.frontsOut) + fronts; fronts > 0 && have > u.limits.Fronts {
		var by []uint64
		for _, id := range u.frontsOut {
			by = append(by, id)
		}
		return blocked("fronts", uniqueIDs(by),
			"%d fronts would be out, %d may be", have, u.limits.Fronts), u.reservations(request, "fronts")
	}
	return Answer{}, nil
}

// remainingKB returns the kB a second that the servers in service carry without those of a request, bounded by the
// uplinks of their racks.
func (u *usage) remainingKB(removedKB map[int]float64) (kb float64) {
	for r, have := range u.rackKB {
		have -= removedKB[r]
		if u.fleet.RackKB > 0 {
			have = min(have, u.fleet.RackKB)
		}
		kb += max(have, 0)
	}
	return kb
}

// requestsWith returns the IDs of the requests that have matching servers out.
func (u *usage) requestsWith(match func(*Server) bool) []uint64 {
	var by []uint64
	for id, requestID := range u.requestByServer {
		if s := u.fleet.server(id); s != nil && match(s) {
			by = append(by, requestID)
		}
	}
	return uniqueIDs(by)
}

// uniqueIDs sorts request IDs and removes duplicates and 0, which stands for failed machines.
func uniqueIDs(ids []uint64) []uint64 {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return slices.DeleteFunc(ids, func(id uint64) bool { return id == 0 })
}

func (u *usage) reservations(request *Request, limit string) (list []reservation) {
	if limit != "rack" && limit != "zone" {
		return []reservation{{limit: limit, requestID: request.ID}}
	}
	for _, id := range request.Servers {
		s := u.fleet.server(id)
		if s == nil {
			continue
		}
		c := reservation{limit, s.Rack, request.ID}
		if limit == "zone" {
			c.location = s.Zone
		}
		if !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

func blocked(limit string, behind []uint64, format string, args ...any) Answer {
	why := fmt.Sprintf(format, args...)
	if len(behind) == 0 && limit != "machines" {
		why += " (what has failed counts)"
	}
	return Answer{Limit: limit, Why: why, Behind: behind}
}

func sortedKeys(m map[int]int) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

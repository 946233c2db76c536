package upkeep

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// grid returns a fleet of servers 1..racks*per, two racks a zone, each with a link of 100 kB a second.
func grid(racks, per int) *Fleet {
	f := &Fleet{}
	for i := range racks * per {
		f.Servers = append(f.Servers, Server{ID: uint32(i + 1), Rack: i / per, Zone: i / per / 2, LinkKB: 100})
	}
	return f
}

var looseLimits = Limits{Rack: 100, Zone: 100, Whole: 100, Racks: 100, Fronts: 100, Paid: 100}

func answerTo(t *testing.T, list []Answer, id uint64) Answer {
	t.Helper()
	for _, a := range list {
		if a.ID == id {
			return a
		}
	}
	t.Fatalf("no answer for %d in %+v", id, list)
	return Answer{}
}

// TestEachLimitBlocksRequest: each limit alone blocks a request, and the answer names the limit and the blocking
// request.
func TestEachLimitBlocksRequest(t *testing.T) {
	cases := map[string]struct {
		limits  func(*Limits)
		fleet   func(*Fleet)
		servers []uint32
	}{
		"rack":    {limits: func(l *Limits) { l.Rack = 1 }, servers: []uint32{2}},
		"racks":   {limits: func(l *Limits) { l.Racks = 1 }, servers: []uint32{5, 6, 7, 8}},
		"zone":    {limits: func(l *Limits) { l.Zone = 4 }, servers: []uint32{5}},
		"whole":   {limits: func(l *Limits) { l.Whole = 4 }, servers: []uint32{12}},
		"holders": {limits: func(l *Limits) { l.Holders = 1 }, fleet: func(f *Fleet) { f.Groups = [][]uint32{{1, 12}} }, servers: []uint32{12}},
		"room":    {fleet: func(f *Fleet) { f.Servers[11].NeededKB = 750 }, servers: []uint32{5}},
		"paid":    {limits: func(l *Limits) { l.Paid = 3 }, fleet: func(f *Fleet) { f.Servers[0].Paid, f.Servers[11].Paid = 2, 2 }, servers: []uint32{12}},
	}
	for limit, c := range cases {
		l, f := looseLimits, grid(4, 4)
		if c.limits != nil {
			c.limits(&l)
		}
		if c.fleet != nil {
			c.fleet(f)
		}
		out := Request{ID: 1, Servers: []uint32{1, 2, 3, 4}, Granted: true}
		if limit == "rack" {
			out.Servers = []uint32{1}
		}
		requests := []Request{out, {ID: 2, Servers: c.servers}}
		if limit == "room" { // 12 of 16 servers stay in service, then 11
			f.Servers[11].NeededKB = 1150
		}
		got := answerTo(t, Decide(0, l, f, requests), 2)
		if got.Verdict != Wait || got.Limit != limit || len(got.Behind) != 1 || got.Behind[0] != 1 {
			t.Errorf("%s: %+v", limit, got)
		}
		requests[0].Granted, requests[0].ID = false, 3
		if got := answerTo(t, Decide(0, l, f, requests[1:]), 2); got.Verdict != Grant {
			t.Errorf("%s, with nothing out: %+v", limit, got)
		}
	}
}

// TestFailedMachineCountsAsOut: a failed machine counts as out for other requests, and work on it takes nothing more
// out.
func TestFailedMachineCountsAsOut(t *testing.T) {
	f := grid(2, 4)
	f.Servers[0].Failed = true
	l := looseLimits
	l.Rack, l.Patience = 1, 1
	answers := Decide(0, l, f, []Request{{ID: 1, Servers: []uint32{2}}, {ID: 2, Servers: []uint32{1}}})
	if a := answerTo(t, answers, 1); a.Verdict != Wait || a.Limit != "rack" || !strings.Contains(a.Why, "failed") {
		t.Errorf("request for a server beside the failed one: %+v", a)
	}
	if a := answerTo(t, answers, 2); a.Verdict != Grant {
		t.Errorf("request for the failed server itself: %+v", a)
	}
}

func TestRefusesImpossibleRequestAtOnce(t *testing.T) {
	l := Limits{Rack: 1, Zone: 2, Whole: 2, Holders: 1}
	f := grid(2, 4)
	f.Groups = [][]uint32{{8}}
	f.Servers[4].Failed = true // a failed server may recover, so it makes no request impossible
	for why, a := range map[string]Request{
		"not even alone: rack": {ID: 1, Servers: []uint32{1, 2}},
		"title":                {ID: 1, Servers: []uint32{8}},
		"no server 99":         {ID: 1, Servers: []uint32{99}},
		"no front":             {ID: 1, Fronts: []string{"x"}},
		"names no machine":     {ID: 1},
		"too late":             {ID: 1, Servers: []uint32{1}, WorkDuration: 10e9, Deadline: 9e9},
	} {
		if got := answerTo(t, Decide(0, l, f, []Request{a}), 1); got.Verdict != Refuse ||
			!strings.Contains(got.Why, why) {
			t.Errorf("%s: %+v", why, got)
		}
	}
	if got := answerTo(t, Decide(0, l, f, []Request{{ID: 1, Servers: []uint32{6}}}), 1); got.Verdict != Wait {
		t.Errorf("request for a server beside the failed one: %+v", got)
	}
}

// TestPatienceReservesPlace: without patience a rack waits for ever while servers of it, or any others, go one by
// one.
func TestPatienceReservesPlace(t *testing.T) {
	l := looseLimits
	l.Whole, l.Patience = 4, 100
	requests := []Request{{ID: 1, Servers: []uint32{9}, Granted: true},
		{ID: 2, RequestedAt: 0, Servers: []uint32{1, 2, 3, 4}}, {ID: 3, RequestedAt: 50, Servers: []uint32{10}}}
	if a := answerTo(t, Decide(99, l, grid(3, 4), requests), 3); a.Verdict != Grant {
		t.Errorf("before the patience is over: %+v", a)
	}
	if a := answerTo(t, Decide(100, l, grid(3, 4), requests), 3); a.Verdict != Wait || len(a.Behind) != 1 ||
		a.Behind[0] != 2 {
		t.Errorf("after the patience is over: %+v", a)
	}
}

// TestOrder: the earliest latest start goes first, then the least load, then the most waiting work, as a zone left
// for the end would be worked on alone.
func TestOrder(t *testing.T) {
	f := grid(8, 2) // two racks a zone
	f.Servers[4].NeededKB = 500
	l := looseLimits
	l.Rack, l.Zone = 1, 2
	requests := []Request{{ID: 1, Servers: []uint32{5}}, {ID: 2, Servers: []uint32{1}},
		{ID: 3, Servers: []uint32{13}}, {ID: 4, Servers: []uint32{14}},
		{ID: 5, Servers: []uint32{9}, WorkDuration: 5, Deadline: 100},
		{ID: 6, Servers: []uint32{10}, WorkDuration: 50, Deadline: 100}}
	var got []uint64
	for _, a := range Order(l, f, requests) {
		got = append(got, a.ID)
	}
	if want := []uint64{6, 5, 3, 4, 2, 1}; !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
}

// TestGrantsNeverExceedLimits: whatever is requested, the granted work together with what is out exceeds no limit,
// and every request is answered, a waiting one with a reason.
func TestGrantsNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := grid(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 5).Draw(t, "per"))
		n := len(f.Servers)
		for i := range f.Servers {
			f.Servers[i].Failed = rapid.IntRange(0, 9).Draw(t, "failed") == 0
			f.Servers[i].NeededKB = float64(rapid.IntRange(0, 60).Draw(t, "used"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "groups") {
			f.Groups = append(f.Groups,
				rapid.SliceOfNDistinct(rapid.Uint32Range(1, uint32(n)), 1, n, rapid.ID[uint32]).Draw(t, "group"))
		}
		l := Limits{Rack: rapid.IntRange(0, 3).Draw(t, "rack"), Zone: rapid.IntRange(0, 5).Draw(t, "zone"),
			Whole: rapid.IntRange(0, 8).Draw(t, "whole"),
			Racks: rapid.IntRange(0, 2).Draw(t, "racks out"), Holders: rapid.IntRange(0, 2).Draw(t, "holders"),
			Margin: 0.2, Paid: 100, Patience: 10}
		var requests []Request
		for i := range rapid.IntRange(1, 8).Draw(t, "asks") {
			requests = append(requests, Request{ID: uint64(i + 1),
				RequestedAt: Time(rapid.IntRange(0, 20).Draw(t, "asked")),
				Servers: rapid.SliceOfNDistinct(rapid.Uint32Range(1, uint32(n)), 1, 3, rapid.ID[uint32]).
					Draw(t, "servers")})
		}
		verdicts := map[uint64]Answer{}
		for _, a := range Decide(20, l, f, requests) {
			verdicts[a.ID] = a
		}
		if len(verdicts) != len(requests) {
			t.Fatalf("%d answers to %d requests", len(verdicts), len(requests))
		}
		out := map[uint32]uint64{}
		for _, a := range requests {
			v := verdicts[a.ID]
			if v.Verdict != Grant {
				if v.Why == "" {
					t.Fatalf("request %d waits without a reason", a.ID)
				}
				continue
			}
			for _, id := range a.Servers {
				if out[id] != 0 {
					t.Fatalf("server %d is out for requests %d and %d", id, out[id], a.ID)
				}
				out[id] = a.ID
			}
		}
		if len(out) == 0 {
			return
		}
		racks, zones, sizes, kb, need, whole := map[int]int{}, map[int]int{}, map[int]int{}, 0.0, 0.0, 0
		for _, s := range f.Servers {
			sizes[s.Rack]++
			need += s.NeededKB
			if s.Failed || out[s.ID] != 0 {
				racks[s.Rack]++
				zones[s.Zone]++
				whole++
			} else {
				kb += s.LinkKB
			}
		}
		// touched reports whether work takes out a matching server that had not failed: failures alone are no
		// violation.
		touched := func(match func(Server) bool) bool {
			for _, s := range f.Servers {
				if out[s.ID] != 0 && !s.Failed && match(s) {
					return true
				}
			}
			return false
		}
		full := 0
		for r, k := range racks {
			if !touched(func(s Server) bool { return s.Rack == r }) {
				continue
			}
			if k == sizes[r] && sizes[r] > 1 && k > l.Rack {
				full++
			} else if k > l.Rack {
				t.Fatalf("rack %d: %d servers out, limit %d", r, k, l.Rack)
			}
		}
		for z, k := range zones {
			if k > l.Zone && touched(func(s Server) bool { return s.Zone == z }) {
				t.Fatalf("zone %d: %d servers out, limit %d", z, k, l.Zone)
			}
		}
		anyNew := touched(func(Server) bool { return true })
		if anyNew && whole > l.Whole || full > l.Racks || anyNew && kb < need*1.2 {
			t.Fatalf("%d servers out, limit %d; %d whole racks out, limit %d; room %.0f kB, need %.0f kB",
				whole, l.Whole, full, l.Racks, kb, need)
		}
		for _, g := range f.Groups {
			left := 0
			for _, id := range g {
				if s := f.server(id); !s.Failed && out[id] == 0 {
					left++
				}
			}
			if left < l.Holders && touched(func(s Server) bool { return contains(g, s.ID) }) {
				t.Fatalf("title on %v keeps %d servers, limit %d", g, left, l.Holders)
			}
		}
	})
}

func contains(list []uint32, id uint32) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

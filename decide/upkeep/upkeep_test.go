package upkeep

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// grid makes servers 1..racks*per, two racks a zone, each carrying 100 kB a second.
func grid(racks, per int) *World {
	w := &World{}
	for i := range racks * per {
		w.Servers = append(w.Servers, Server{ID: uint32(i + 1), Rack: i / per, Zone: i / per / 2, KB: 100})
	}
	return w
}

var loose = Limits{Rack: 100, Zone: 100, Whole: 100, Racks: 100, Fronts: 100, Paid: 100}

func one(t *testing.T, list []Answer, id uint64) Answer {
	t.Helper()
	for _, a := range list {
		if a.ID == id {
			return a
		}
	}
	t.Fatalf("no answer for %d in %+v", id, list)
	return Answer{}
}

// Each limit alone keeps an ask back, by its name, and says behind whom.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		limits func(*Limits)
		world  func(*World)
		ask    []uint32
	}{
		"rack":    {limits: func(l *Limits) { l.Rack = 1 }, ask: []uint32{2}},
		"racks":   {limits: func(l *Limits) { l.Racks = 1 }, ask: []uint32{5, 6, 7, 8}},
		"zone":    {limits: func(l *Limits) { l.Zone = 4 }, ask: []uint32{5}},
		"whole":   {limits: func(l *Limits) { l.Whole = 4 }, ask: []uint32{12}},
		"holders": {limits: func(l *Limits) { l.Holders = 1 }, world: func(w *World) { w.Groups = [][]uint32{{1, 12}} }, ask: []uint32{12}},
		"room":    {world: func(w *World) { w.Servers[11].Used = 750 }, ask: []uint32{5}},
		"paid":    {limits: func(l *Limits) { l.Paid = 3 }, world: func(w *World) { w.Servers[0].Paid, w.Servers[11].Paid = 2, 2 }, ask: []uint32{12}},
	}
	for limit, c := range cases {
		l, w := loose, grid(4, 4)
		if c.limits != nil {
			c.limits(&l)
		}
		if c.world != nil {
			c.world(w)
		}
		out := Ask{ID: 1, Servers: []uint32{1, 2, 3, 4}, Out: true}
		if limit == "rack" {
			out.Servers = []uint32{1}
		}
		asks := []Ask{out, {ID: 2, Servers: c.ask}}
		if limit == "room" { // 12 stay of 16, 11 then
			w.Servers[11].Used = 1150
		}
		got := one(t, Decide(0, l, w, asks), 2)
		if got.Verdict != Wait || got.Limit != limit || len(got.Behind) != 1 || got.Behind[0] != 1 {
			t.Errorf("%s: %+v", limit, got)
		}
		asks[0].Out, asks[0].ID = false, 3
		if got := one(t, Decide(0, l, w, asks[1:]), 2); got.Verdict != Go {
			t.Errorf("%s, with nothing out: %+v", limit, got)
		}
	}
}

// A machine that failed counts as out for others, and work on it takes nothing more down.
func TestWhatHasFailedCountsAsOut(t *testing.T) {
	w := grid(2, 4)
	w.Servers[0].Failed = true
	l := loose
	l.Rack, l.Patience = 1, 1
	answers := Decide(0, l, w, []Ask{{ID: 1, Servers: []uint32{2}}, {ID: 2, Servers: []uint32{1}}})
	if a := one(t, answers, 1); a.Verdict != Wait || a.Limit != "rack" || !strings.Contains(a.Why, "failed") {
		t.Errorf("beside a failed one: %+v", a)
	}
	if a := one(t, answers, 2); a.Verdict != Go {
		t.Errorf("the failed one itself: %+v", a)
	}
}

func TestNeverIsSaidAtOnce(t *testing.T) {
	l := Limits{Rack: 1, Zone: 2, Whole: 2, Holders: 1}
	w := grid(2, 4)
	w.Groups = [][]uint32{{8}}
	w.Servers[4].Failed = true // what has failed may come back: it makes nothing impossible
	for why, a := range map[string]Ask{
		"not even alone: rack": {ID: 1, Servers: []uint32{1, 2}},
		"title":                {ID: 1, Servers: []uint32{8}},
		"no server 99":         {ID: 1, Servers: []uint32{99}},
		"no front":             {ID: 1, Fronts: []string{"x"}},
		"names no machine":     {ID: 1},
		"too late":             {ID: 1, Servers: []uint32{1}, For: 10e9, By: 9e9},
	} {
		if got := one(t, Decide(0, l, w, []Ask{a}), 1); got.Verdict != Never || !strings.Contains(got.Why, why) {
			t.Errorf("%s: %+v", why, got)
		}
	}
	if got := one(t, Decide(0, l, w, []Ask{{ID: 1, Servers: []uint32{6}}}), 1); got.Verdict != Wait {
		t.Errorf("beside a failed one: %+v", got)
	}
}

// Without patience a rack waits for ever while servers of it, or any others, go one by one.
func TestPatienceKeepsAPlace(t *testing.T) {
	l := loose
	l.Whole, l.Patience = 4, 100
	asks := []Ask{{ID: 1, Servers: []uint32{9}, Out: true}, {ID: 2, Asked: 0, Servers: []uint32{1, 2, 3, 4}}, {ID: 3, Asked: 50, Servers: []uint32{10}}}
	if a := one(t, Decide(99, l, grid(3, 4), asks), 3); a.Verdict != Go {
		t.Errorf("before: %+v", a)
	}
	if a := one(t, Decide(100, l, grid(3, 4), asks), 3); a.Verdict != Wait || len(a.Behind) != 1 || a.Behind[0] != 2 {
		t.Errorf("after: %+v", a)
	}
}

// The latest beginning goes first, then what harms least, then where most work waits: a zone left for the end would be worked
// on alone.
func TestOrder(t *testing.T) {
	w := grid(8, 2) // two racks a zone
	w.Servers[4].Used = 500
	l := loose
	l.Rack, l.Zone = 1, 2
	asks := []Ask{{ID: 1, Servers: []uint32{5}}, {ID: 2, Servers: []uint32{1}}, {ID: 3, Servers: []uint32{13}}, {ID: 4, Servers: []uint32{14}},
		{ID: 5, Servers: []uint32{9}, For: 5, By: 100}, {ID: 6, Servers: []uint32{10}, For: 50, By: 100}}
	var got []uint64
	for _, a := range Order(l, w, asks) {
		got = append(got, a.ID)
	}
	if want := []uint64{6, 5, 3, 4, 2, 1}; !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
}

// Whatever is asked, what is let go keeps every limit together with what is out, and an ask that is alone and not refused
// goes: nobody waits for nothing.
func TestNothingPastALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := grid(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 5).Draw(t, "per"))
		n := len(w.Servers)
		for i := range w.Servers {
			w.Servers[i].Failed = rapid.IntRange(0, 9).Draw(t, "failed") == 0
			w.Servers[i].Used = float64(rapid.IntRange(0, 60).Draw(t, "used"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "groups") {
			w.Groups = append(w.Groups, rapid.SliceOfNDistinct(rapid.Uint32Range(1, uint32(n)), 1, n, rapid.ID[uint32]).Draw(t, "group"))
		}
		l := Limits{Rack: rapid.IntRange(0, 3).Draw(t, "rack"), Zone: rapid.IntRange(0, 5).Draw(t, "zone"), Whole: rapid.IntRange(0, 8).Draw(t, "whole"),
			Racks: rapid.IntRange(0, 2).Draw(t, "racks out"), Holders: rapid.IntRange(0, 2).Draw(t, "holders"), Margin: 0.2, Paid: 100, Patience: 10}
		var asks []Ask
		for i := range rapid.IntRange(1, 8).Draw(t, "asks") {
			asks = append(asks, Ask{ID: uint64(i + 1), Asked: Time(rapid.IntRange(0, 20).Draw(t, "asked")),
				Servers: rapid.SliceOfNDistinct(rapid.Uint32Range(1, uint32(n)), 1, 3, rapid.ID[uint32]).Draw(t, "servers")})
		}
		verdicts := map[uint64]Answer{}
		for _, a := range Decide(20, l, w, asks) {
			verdicts[a.ID] = a
		}
		if len(verdicts) != len(asks) {
			t.Fatalf("%d answers to %d asks", len(verdicts), len(asks))
		}
		out := map[uint32]uint64{}
		for _, a := range asks {
			v := verdicts[a.ID]
			if v.Verdict != Go {
				if v.Why == "" {
					t.Fatalf("ask %d waits without a reason", a.ID)
				}
				continue
			}
			for _, id := range a.Servers {
				if out[id] != 0 {
					t.Fatalf("server %d out for %d and %d", id, out[id], a.ID)
				}
				out[id] = a.ID
			}
		}
		if len(out) == 0 {
			return
		}
		racks, zones, sizes, kb, need, whole := map[int]int{}, map[int]int{}, map[int]int{}, 0.0, 0.0, 0
		for _, s := range w.Servers {
			sizes[s.Rack]++
			need += s.Used
			if s.Failed || out[s.ID] != 0 {
				racks[s.Rack]++
				zones[s.Zone]++
				whole++
			} else {
				kb += s.KB
			}
		}
		touched := func(of func(Server) bool) bool { // by work on what had not failed: failures alone are nobody's fault
			for _, s := range w.Servers {
				if out[s.ID] != 0 && !s.Failed && of(s) {
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
				t.Fatalf("rack %d: %d out of %d", r, k, l.Rack)
			}
		}
		for z, k := range zones {
			if k > l.Zone && touched(func(s Server) bool { return s.Zone == z }) {
				t.Fatalf("zone %d: %d out of %d", z, k, l.Zone)
			}
		}
		anyNew := touched(func(Server) bool { return true })
		if anyNew && whole > l.Whole || full > l.Racks || anyNew && kb < need*1.2 {
			t.Fatalf("whole %d of %d, racks %d of %d, room %.0f of %.0f", whole, l.Whole, full, l.Racks, kb, need)
		}
		for _, g := range w.Groups {
			left := 0
			for _, id := range g {
				if s := w.server(id); !s.Failed && out[id] == 0 {
					left++
				}
			}
			if left < l.Holders && touched(func(s Server) bool { return contains(g, s.ID) }) {
				t.Fatalf("title of %v keeps %d of %d", g, left, l.Holders)
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

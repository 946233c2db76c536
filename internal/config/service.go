package config

import (
	"time"

	"tealledge/internal/sexp"
	"tealledge/policy"
)

// service reads what the decision module is told of the deployment.
func (c *Config) service(r *Reader, n *sexp.Node) {
	s := &c.Service
	s.Racks, s.Cells, s.ExtraViewerCost, s.MaxAttempts, s.StallCost, s.RetryAfter = 1, 1, 1, 3, 5, true
	num := func(to *float64, least, most float64) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Num(n, least, most) }
	}
	span := func(to *policy.Time, most time.Duration) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = policy.Time(r.Span(n, 0, most)) }
	}
	flag := func(to *bool) func(*sexp.Node) { return func(n *sexp.Node) { *to = r.Flag(n) } }
	r.Fields(n, []string{"ladder", "classes", "cells", "weight-kb", "rack-kb"}, map[string]func(*sexp.Node){
		"ladder":  func(n *sexp.Node) { c.ladder(r, n) },
		"classes": func(n *sexp.Node) { c.classes(r, n) },
		"tenants": func(n *sexp.Node) { c.tenants(r, n) },
		"kinds":   func(n *sexp.Node) { c.kinds(r, n) },
		"zones":   func(n *sexp.Node) { c.Zones = words(r, n) },
		"zone": func(n *sexp.Node) {
			name := r.Text(n)
			for i, z := range c.Zones {
				if z == name {
					s.Zone = i
					return
				}
			}
			r.Fail(n, "zone %q is not among the zones named before it", name)
		},
		"reports": func(n *sexp.Node) {
			for _, w := range words(r, n) {
				f, ok := map[string]policy.Field{"link": policy.FieldLink, "util": policy.FieldUtil, "uplink": policy.FieldUplink}[w]
				if !ok {
					r.Fail(n, "reports: %q is none of link, util, uplink", w)
				}
				s.Fields = append(s.Fields, f)
			}
		},
		"cells":            func(n *sexp.Node) { s.Cells = r.Int(n, 1, 100_000) },
		"racks":            func(n *sexp.Node) { s.Racks = r.Int(n, 1, 100_000) },
		"fleet-kb":         num(&s.FleetKB, 0, 1e15),
		"rack-kb":          num(&s.RackKB, 1, 1e15),
		"weight-kb":        num(&s.WeightKB, 1, 1e15),
		"join":             num(&s.ExtraViewerCost, 0, 1),
		"full-from":        num(&s.FullThreshold, 0, 100),
		"stall-cost":       num(&s.StallCost, 0, 1000),
		"change-cost":      num(&s.ChangeCost, 0, 1000),
		"over-share":       num(&s.OverShareWorth, 0, 1),
		"price-move":       num(&s.PriceMove, 0, 1),
		"price-probe":      num(&s.PriceProbe, 0, 1),
		"price-cross":      num(&s.PriceCrossZone, 0, 10),
		"late-fail":        num(&s.PriceLateFail, 0, 1),
		"notes-late":       span(&s.NoteDelay, time.Minute),
		"tell-every":       span(&s.NoteInterval, time.Hour),
		"reports-inline":   flag(&s.InlineReports),
		"may-probe":        flag(&s.MayProbe),
		"max-attempts":     func(n *sexp.Node) { s.MaxAttempts = r.Int(n, 1, 100) },
		"connect-wait":     span(&s.ConnectTimeout, 10*time.Second),
		"retry-after-most": span(&s.MaxRetryAfter, 10*time.Minute),
		"drain-grace":      span(&s.DrainGrace, time.Minute),
		"cold": func(n *sexp.Node) {
			r.Fields(n, []string{"span", "from", "times", "over"}, map[string]func(*sexp.Node){
				"span":  span(&s.WarmupTime, time.Hour),
				"from":  num(&s.ColdCapacity, 0, 1),
				"times": num(&s.OverloadFactor, 0, 100),
				"over":  span(&s.OverloadWindow, time.Hour),
			})
		},
		"budget": func(n *sexp.Node) {
			s.RetriesLimited = true
			r.Fields(n, []string{"spare", "ratio", "span"}, map[string]func(*sexp.Node){
				"spare": num(&s.SpareRetries, 0, 1e9),
				"ratio": num(&s.RetryRatio, 0, 100),
				"span":  span(&s.RetryWindow, time.Hour),
			})
		},
	})
	s.RetryAfter = s.MaxRetryAfter > 0
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = 250 * policy.Millisecond
	}
}

func words(r *Reader, n *sexp.Node) (out []string) {
	for _, a := range n.Args() {
		if a.IsList || a.Text == "" {
			r.Fail(a, "%s takes words", n.Head())
			continue
		}
		out = append(out, a.Text)
	}
	return out
}

// ladder reads (rung KB-A-SECOND WORTH) forms, lowest first.
func (c *Config) ladder(r *Reader, n *sexp.Node) {
	s := &c.Service
	for _, f := range n.Args() {
		if f.Head() != "rung" || len(f.List) != 3 {
			r.Fail(f, "want (rung KB-A-SECOND WORTH)")
			continue
		}
		kb, worth := r.num(f.List[1], f.List[1].Text, 1, 1e9), r.num(f.List[2], f.List[2].Text, 0, 1)
		if k := len(s.RungKB); k > 0 && (kb <= s.RungKB[k-1] || worth < s.RungWorth[k-1]) {
			r.Fail(f, "rungs must rise")
		}
		s.RungKB, s.RungWorth = append(s.RungKB, kb), append(s.RungWorth, worth)
	}
	if len(s.RungKB) == 0 || len(s.RungKB) > 64 {
		r.Fail(n, "a ladder has 1 to 64 rungs")
	}
}

// classes reads (class "NAME" ...) forms.
func (c *Config) classes(r *Reader, n *sexp.Node) {
	r.named(n, "class", &c.Classes, func(rest *sexp.Node) {
		k := policy.Class{Worth: 1, Scale: 1, Top: -1}
		r.Fields(rest, []string{"aim", "deadline"}, map[string]func(*sexp.Node){
			"aim":      func(n *sexp.Node) { k.SetupTarget = policy.Time(r.Span(n, time.Millisecond, time.Minute)) },
			"deadline": func(n *sexp.Node) { k.Deadline = policy.Time(r.Span(n, time.Millisecond, 10*time.Minute)) },
			"effect":   func(n *sexp.Node) { k.Paid = r.Choice(n, "safe", "paid") == "paid" },
			"worth":    func(n *sexp.Node) { k.Worth = r.Num(n, 0, 1e6) },
			"scale":    func(n *sexp.Node) { k.Scale = r.Num(n, 0.001, 1000) },
			"floor":    func(n *sexp.Node) { k.Floor = r.Int(n, 0, 63) },
			"top":      func(n *sexp.Node) { k.Top = r.Int(n, 0, 63) },
			"seats":    func(n *sexp.Node) { k.Seats = r.Int(n, 0, 1e9) },
			"live":     func(n *sexp.Node) { k.Live = r.Flag(n) },
		})
		c.Service.Classes = append(c.Service.Classes, k)
	})
	if len(c.Classes) == 0 {
		r.Fail(n, "at least one (class ...) is needed")
	}
}

func (c *Config) tenants(r *Reader, n *sexp.Node) {
	r.named(n, "tenant", &c.Tenants, func(rest *sexp.Node) {
		var t policy.Tenant
		r.Fields(rest, nil, map[string]func(*sexp.Node){
			"per-second": func(n *sexp.Node) { t.PerSecond = r.Num(n, 0, 1e9) },
		})
		c.Service.Tenants = append(c.Service.Tenants, t)
	})
}

func (c *Config) kinds(r *Reader, n *sexp.Node) {
	r.named(n, "kind", &c.Kinds, func(rest *sexp.Node) {
		slots := 1.0
		r.Fields(rest, []string{"slots"}, map[string]func(*sexp.Node){
			"slots": func(n *sexp.Node) { slots = r.Num(n, 1, 1e9) },
		})
		c.Service.KindSlots = append(c.Service.KindSlots, slots)
	})
}

// named reads forms (WORD "NAME" ...) with names of their own.
func (r *Reader) named(n *sexp.Node, word string, names *[]string, read func(rest *sexp.Node)) {
	for _, f := range n.Args() {
		if f.Head() != word || len(f.List) < 2 || f.List[1].IsList || f.List[1].Text == "" {
			r.Fail(f, "want (%s \"NAME\" ...)", word)
			continue
		}
		for _, have := range *names {
			if have == f.List[1].Text {
				r.Fail(f.List[1], "%s %q stands twice", word, have)
			}
		}
		*names = append(*names, f.List[1].Text)
		read(&sexp.Node{Pos: f.Pos, IsList: true, List: f.List[1:]})
	}
}

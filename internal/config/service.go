package config

import (
	"time"

	"tealledge/internal/sexp"
	"tealledge/policy"
)

// readService reads the form (service ...): the settings of the decision module.
func (c *Config) readService(r *Reader, n *sexp.Node) {
	settings := &c.Service
	settings.Racks, settings.Cells, settings.ExtraViewerCost, settings.MaxAttempts,
		settings.StallCost, settings.RetryAfter = 1, 1, 1, 3, 5, true
	number := func(target *float64, minValue, maxValue float64) func(*sexp.Node) {
		return func(n *sexp.Node) { *target = r.Float(n, minValue, maxValue) }
	}
	duration := func(target *policy.Time, maxValue time.Duration) func(*sexp.Node) {
		return func(n *sexp.Node) { *target = policy.Time(r.Duration(n, 0, maxValue)) }
	}
	boolean := func(target *bool) func(*sexp.Node) { return func(n *sexp.Node) { *target = r.Flag(n) } }
	r.Fields(n, []string{"ladder", "classes", "cells", "weight-kb", "rack-kb"}, map[string]func(*sexp.Node){
		"ladder":  func(n *sexp.Node) { c.readLadder(r, n) },
		"classes": func(n *sexp.Node) { c.readClasses(r, n) },
		"tenants": func(n *sexp.Node) { c.readTenants(r, n) },
		"kinds":   func(n *sexp.Node) { c.readKinds(r, n) },
		"zones":   func(n *sexp.Node) { c.Zones = readWords(r, n) },
		"zone": func(n *sexp.Node) {
			name := r.Text(n)
			for i, z := range c.Zones {
				if z == name {
					settings.Zone = i
					return
				}
			}
			r.Fail(n, "zone %q is not among the zones defined before it", name)
		},
		"reports": func(n *sexp.Node) {
			for _, word := range readWords(r, n) {
				field, ok := map[string]policy.Field{
					"link": policy.FieldLink, "util": policy.FieldUtil, "uplink": policy.FieldUplink}[word]
				if !ok {
					r.Fail(n, "reports: %q is not one of link, util, uplink", word)
				}
				settings.Fields = append(settings.Fields, field)
			}
		},
		"cells":            func(n *sexp.Node) { settings.Cells = r.Int(n, 1, 100_000) },
		"racks":            func(n *sexp.Node) { settings.Racks = r.Int(n, 1, 100_000) },
		"fleet-kb":         number(&settings.FleetKB, 0, 1e15),
		"rack-kb":          number(&settings.RackKB, 1, 1e15),
		"weight-kb":        number(&settings.WeightKB, 1, 1e15),
		"join":             number(&settings.ExtraViewerCost, 0, 1),
		"full-from":        number(&settings.FullThreshold, 0, 100),
		"stall-cost":       number(&settings.StallCost, 0, 1000),
		"change-cost":      number(&settings.ChangeCost, 0, 1000),
		"over-share":       number(&settings.OverShareWorth, 0, 1),
		"price-move":       number(&settings.PriceMove, 0, 1),
		"price-probe":      number(&settings.PriceProbe, 0, 1),
		"price-cross":      number(&settings.PriceCrossZone, 0, 10),
		"late-fail":        number(&settings.PriceLateFail, 0, 1),
		"notes-late":       duration(&settings.NoteDelay, time.Minute),
		"tell-every":       duration(&settings.NoteInterval, time.Hour),
		"reports-inline":   boolean(&settings.InlineReports),
		"may-probe":        boolean(&settings.MayProbe),
		"max-attempts":     func(n *sexp.Node) { settings.MaxAttempts = r.Int(n, 1, 100) },
		"connect-wait":     duration(&settings.ConnectTimeout, 10*time.Second),
		"retry-after-most": duration(&settings.MaxRetryAfter, 10*time.Minute),
		"drain-grace":      duration(&settings.DrainGrace, time.Minute),
		"cold": func(n *sexp.Node) {
			r.Fields(n, []string{"span", "from", "times", "over"}, map[string]func(*sexp.Node){
				"span":  duration(&settings.WarmupTime, time.Hour),
				"from":  number(&settings.ColdCapacity, 0, 1),
				"times": number(&settings.OverloadFactor, 0, 100),
				"over":  duration(&settings.OverloadWindow, time.Hour),
			})
		},
		"budget": func(n *sexp.Node) {
			settings.RetriesLimited = true
			r.Fields(n, []string{"spare", "ratio", "span"}, map[string]func(*sexp.Node){
				"spare": number(&settings.SpareRetries, 0, 1e9),
				"ratio": number(&settings.RetryRatio, 0, 100),
				"span":  duration(&settings.RetryWindow, time.Hour),
			})
		},
	})
	settings.RetryAfter = settings.MaxRetryAfter > 0
	if settings.ConnectTimeout == 0 {
		settings.ConnectTimeout = 250 * policy.Millisecond
	}
}

// readWords reads a form whose values are all words.
func readWords(r *Reader, n *sexp.Node) (list []string) {
	for _, a := range n.Args() {
		if a.IsList || a.Text == "" {
			r.Fail(a, "%s: values must be words", n.Head())
			continue
		}
		list = append(list, a.Text)
	}
	return list
}

// readLadder reads forms (rung KB-A-SECOND WORTH), lowest rung first.
func (c *Config) readLadder(r *Reader, n *sexp.Node) {
	settings := &c.Service
	for _, form := range n.Args() {
		if form.Head() != "rung" || len(form.List) != 3 {
			r.Fail(form, "want (rung KB-A-SECOND WORTH)")
			continue
		}
		kb, worth := r.parseFloat(form.List[1], form.List[1].Text, 1, 1e9),
			r.parseFloat(form.List[2], form.List[2].Text, 0, 1)
		if count := len(settings.RungKB); count > 0 &&
			(kb <= settings.RungKB[count-1] || worth < settings.RungWorth[count-1]) {
			r.Fail(form, "rungs must be in rising order")
		}
		settings.RungKB, settings.RungWorth = append(settings.RungKB, kb), append(settings.RungWorth, worth)
	}
	if len(settings.RungKB) == 0 || len(settings.RungKB) > 64 {
		r.Fail(n, "a ladder must have 1 to 64 rungs")
	}
}

// readClasses reads forms (class "NAME" ...).
func (c *Config) readClasses(r *Reader, n *sexp.Node) {
	r.readNamed(n, "class", &c.Classes, func(fields *sexp.Node) {
		class := policy.Class{Worth: 1, Scale: 1, Top: -1}
		r.Fields(fields, []string{"aim", "deadline"}, map[string]func(*sexp.Node){
			"aim": func(n *sexp.Node) {
				class.SetupTarget = policy.Time(r.Duration(n, time.Millisecond, time.Minute))
			},
			"deadline": func(n *sexp.Node) {
				class.Deadline = policy.Time(r.Duration(n, time.Millisecond, 10*time.Minute))
			},
			"effect": func(n *sexp.Node) { class.Paid = r.Choice(n, "safe", "paid") == "paid" },
			"worth":  func(n *sexp.Node) { class.Worth = r.Float(n, 0, 1e6) },
			"scale":  func(n *sexp.Node) { class.Scale = r.Float(n, 0.001, 1000) },
			"floor":  func(n *sexp.Node) { class.Floor = r.Int(n, 0, 63) },
			"top":    func(n *sexp.Node) { class.Top = r.Int(n, 0, 63) },
			"seats":  func(n *sexp.Node) { class.Seats = r.Int(n, 0, 1e9) },
			"live":   func(n *sexp.Node) { class.Live = r.Flag(n) },
		})
		c.Service.Classes = append(c.Service.Classes, class)
	})
	if len(c.Classes) == 0 {
		r.Fail(n, "at least one (class ...) is required")
	}
}

func (c *Config) readTenants(r *Reader, n *sexp.Node) {
	r.readNamed(n, "tenant", &c.Tenants, func(fields *sexp.Node) {
		var tenant policy.Tenant
		r.Fields(fields, nil, map[string]func(*sexp.Node){
			"per-second": func(n *sexp.Node) { tenant.PerSecond = r.Float(n, 0, 1e9) },
		})
		c.Service.Tenants = append(c.Service.Tenants, tenant)
	})
}

func (c *Config) readKinds(r *Reader, n *sexp.Node) {
	r.readNamed(n, "kind", &c.Kinds, func(fields *sexp.Node) {
		slots := 1.0
		r.Fields(fields, []string{"slots"}, map[string]func(*sexp.Node){
			"slots": func(n *sexp.Node) { slots = r.Float(n, 1, 1e9) },
		})
		c.Service.KindSlots = append(c.Service.KindSlots, slots)
	})
}

// readNamed reads forms (WORD "NAME" ...) with distinct names, appends the names to names, and passes the rest of each
// form to read.
func (r *Reader) readNamed(n *sexp.Node, word string, names *[]string, read func(fields *sexp.Node)) {
	for _, form := range n.Args() {
		if form.Head() != word || len(form.List) < 2 || form.List[1].IsList || form.List[1].Text == "" {
			r.Fail(form, "want (%s \"NAME\" ...)", word)
			continue
		}
		for _, existing := range *names {
			if existing == form.List[1].Text {
				r.Fail(form.List[1], "%s %q is defined twice", word, existing)
			}
		}
		*names = append(*names, form.List[1].Text)
		read(&sexp.Node{Pos: form.Pos, IsList: true, List: form.List[1:]})
	}
}

// Package settings reads what a front is told when it starts, in the names and units of the operators' simulator: as
// path=value lines, or as the nested JSON of their platform, which is flattened to the same paths.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"tealledge/policy"
)

// pairs holds the path=value lines of an instance's settings and what could not be used of them.
type pairs struct {
	m   map[string]string
	bad []string
}

// Parse reads path=value lines. Unknown keys are skipped; values that can't be used are named in bad and count as absent.
func Parse(text string) (s policy.Settings, bad []string) {
	p := &pairs{m: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		k, v, ok := strings.Cut(line, "=")
		if !ok {
			p.bad = append(p.bad, "no '=' in "+strconv.Quote(line))
			continue
		}
		p.m[k] = v
	}
	return p.read(), p.bad
}

func (p *pairs) read() (s policy.Settings) {
	const fam, lim = "family-info.", "policy-limits."
	s.Me, s.Fleet, s.Zone = p.count("me"), p.count("fleet-size"), p.count("zone")
	s.OverShare = p.num("over-share-worth")
	s.RungKB, s.RungWorth = p.nums(fam+"level-kb"), p.nums(fam+"level-worth")
	s.FleetKB, s.RackKB, s.WeightKB = p.num(fam+"fleet-kb"), p.num(fam+"rack-link-kb"), p.num(fam+"weight-kb")
	if p.m[fam+"rack-link-kb"] == "" {
		s.RackKB = noLimit
	}
	s.Racks, s.Cells = p.count(fam+"shelves"), p.count(fam+"positions")
	s.KindSlots = p.nums(fam + "kind-slots")
	s.SeeLate, s.TellEvery = p.span(fam+"see-ns"), p.span(fam+"reports-every-ns")
	s.FullFrom, s.StallCost = p.num(fam+"full-from"), p.num(fam+"stall-cost")
	s.ChangeCost, s.Join = p.num(fam+"change-costs-s"), p.num(fam+"join")
	for _, f := range p.list("telemetry.fields") {
		s.Fields = append(s.Fields, fieldByName[f])
	}
	s.AskList = p.m["discovery"] == "subscribe"
	s.Inline = p.m["telemetry.how"] == "inline"
	s.MayProbe = p.flag(lim+"may-probe") && p.m["telemetry.how"] != "off"
	s.MaxAttempts, s.ConnectWait = p.count(lim+"max-attempts"), p.span(lim+"connect-timeout-ns")
	s.RetryAfter, s.MaxRetry = p.flag(lim+"retry-after"), p.span(lim+"max-retry-after-ns")
	s.DrainGrace, s.ColdSpan = p.span("rules.drain-grace-ns"), p.span("rules.cold-ns")
	s.FallSpan, s.ColdFrom, s.ColdTimes = p.span("rules.fall-ns"), p.num("rules.cold-from"), p.num("rules.tip-multiple")
	for _, k := range []string{"spare-attempts", "extra-ratio", "extra-window-ns"} {
		_, ok := p.m["rules."+k]
		s.Budgeted = s.Budgeted || ok
	}
	s.SpareAttempts, s.Ratio = p.num("rules.spare-attempts"), p.num("rules.extra-ratio")
	s.BudgetSpan = p.span("rules.extra-window-ns")
	s.PriceMove, s.PriceProbe = p.num("prices.moves"), p.num("prices.probe")
	s.PriceCross, s.LateFail = p.num("prices.cross-zone"), p.num("prices.late-fail")
	floors, tops := p.nums(fam+"lowest-rung"), p.nums(fam+"class-top")
	scales, seats, live := p.nums(fam+"scale-by-class"), p.nums(fam+"seats"), p.list(fam+"class-live")
	for i := 0; i < p.count("request-classes.count"); i++ {
		at := "request-classes." + strconv.Itoa(i) + "."
		c := policy.Class{Aim: p.span(at + "slo-ns"), Deadline: p.span(at + "deadline-ns"),
			Paid: p.m[at+"effect"] != "safe", Worth: p.num(at + "importance"),
			Scale: pick(scales, i, 1), Floor: int(pick(floors, i, 0)),
			Top: int(pick(tops, i, float64(len(s.RungKB)-1))), Seats: int(pick(seats, i, 0))}
		c.Live = i < len(live) && live[i] == "true"
		s.Classes = append(s.Classes, c)
	}
	for i := 0; i < p.count("realms.count"); i++ {
		s.Tenants = append(s.Tenants, policy.Tenant{PerSecond: p.num("realms." + strconv.Itoa(i) + ".quota-rps")})
	}
	return s
}

// noLimit is an uplink's size where none is stated: it is never what is short.
const noLimit = 1e15

// maxCount bounds how many items a settings list may claim to have.
const maxCount = 10_000

var fieldByName = map[string]policy.Field{
	"load_share": policy.FieldUtil, "x0": policy.FieldLink, "x1": policy.FieldUplink,
}

func pick(list []float64, i int, otherwise float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return otherwise
}

func (p *pairs) unusable(key string) {
	p.bad = append(p.bad, fmt.Sprintf("%s has an unusable value %q", key, p.m[key]))
}

func (p *pairs) list(key string) []string {
	v := p.m[key]
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func usable(v float64) bool { return v >= 0 && v <= 1e18 }

func (p *pairs) nums(key string) []float64 {
	var out []float64
	for _, item := range p.list(key) {
		v, err := strconv.ParseFloat(item, 64)
		if err != nil || !usable(v) {
			p.unusable(key)
			return nil
		}
		out = append(out, v)
	}
	return out
}

func (p *pairs) num(key string) float64 {
	list := p.nums(key)
	if len(list) > 1 {
		p.unusable(key)
		return 0
	}
	return pick(list, 0, 0)
}

func (p *pairs) span(key string) policy.Time { return policy.Time(p.num(key)) }

func (p *pairs) count(key string) int {
	v := p.num(key)
	if v > maxCount || v != float64(int(v)) {
		p.unusable(key)
		return 0
	}
	return int(v)
}

func (p *pairs) flag(key string) bool {
	v, ok := p.m[key]
	if ok && v != "true" && v != "false" {
		p.unusable(key)
	}
	return v == "true"
}

// Package settings reads the settings of a front, with the names and units of the operators' simulator: as path=value
// lines, or as the nested JSON of their platform, which is flattened to the same paths.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"tealledge/policy"
)

// settingsMap holds the values of a front's settings by path, and messages about unusable ones.
type settingsMap struct {
	values   map[string]string
	unusable []string
}

// Parse reads path=value lines. Unknown keys are skipped; unusable values are listed in unusable and count as absent.
func Parse(text string) (s policy.Settings, unusable []string) {
	p := &settingsMap{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		k, v, ok := strings.Cut(line, "=")
		if !ok {
			p.unusable = append(p.unusable, "no '=' in "+strconv.Quote(line))
			continue
		}
		p.values[k] = v
	}
	return p.read(), p.unusable
}

// read converts the values to settings.
func (p *settingsMap) read() (s policy.Settings) {
	const family, limits = "family-info.", "policy-limits."
	s.FrontIndex, s.Fronts, s.Zone = p.count("me"), p.count("fleet-size"), p.count("zone")
	s.OverShareWorth = p.number("over-share-worth")
	s.RungKB, s.RungWorth = p.numbers(family+"level-kb"), p.numbers(family+"level-worth")
	s.FleetKB, s.RackKB, s.WeightKB = p.number(family+"fleet-kb"), p.number(family+"rack-link-kb"),
		p.number(family+"weight-kb")
	if p.values[family+"rack-link-kb"] == "" {
		s.RackKB = unlimitedKB
	}
	s.Racks, s.Cells = p.count(family+"shelves"), p.count(family+"positions")
	s.KindSlots = p.numbers(family + "kind-slots")
	s.NoteDelay, s.NoteInterval = p.duration(family+"see-ns"), p.duration(family+"reports-every-ns")
	s.FullThreshold, s.StallCost = p.number(family+"full-from"), p.number(family+"stall-cost")
	s.ChangeCost, s.ExtraViewerCost = p.number(family+"change-costs-s"), p.number(family+"join")
	for _, f := range p.items("telemetry.fields") {
		s.Fields = append(s.Fields, fieldByName[f])
	}
	s.SubscribeList = p.values["discovery"] == "subscribe"
	s.InlineReports = p.values["telemetry.how"] == "inline"
	s.MayProbe = p.boolean(limits+"may-probe") && p.values["telemetry.how"] != "off"
	s.MaxAttempts, s.ConnectTimeout = p.count(limits+"max-attempts"), p.duration(limits+"connect-timeout-ns")
	s.RetryAfter, s.MaxRetryAfter = p.boolean(limits+"retry-after"), p.duration(limits+"max-retry-after-ns")
	s.DrainGrace, s.WarmupTime = p.duration("rules.drain-grace-ns"), p.duration("rules.cold-ns")
	s.OverloadWindow, s.ColdCapacity, s.OverloadFactor = p.duration("rules.fall-ns"), p.number("rules.cold-from"),
		p.number("rules.tip-multiple")
	for _, k := range []string{"spare-attempts", "extra-ratio", "extra-window-ns"} {
		_, ok := p.values["rules."+k]
		s.RetriesLimited = s.RetriesLimited || ok
	}
	s.SpareRetries, s.RetryRatio = p.number("rules.spare-attempts"), p.number("rules.extra-ratio")
	s.RetryWindow = p.duration("rules.extra-window-ns")
	s.PriceMove, s.PriceProbe = p.number("prices.moves"), p.number("prices.probe")
	s.PriceCrossZone, s.PriceLateFail = p.number("prices.cross-zone"), p.number("prices.late-fail")
	floors, tops := p.numbers(family+"lowest-rung"), p.numbers(family+"class-top")
	scales, seats, live := p.numbers(family+"scale-by-class"), p.numbers(family+"seats"), p.items(family+"class-live")
	for i := 0; i < p.count("request-classes.count"); i++ {
		prefix := "request-classes." + strconv.Itoa(i) + "."
		c := policy.Class{SetupTarget: p.duration(prefix + "slo-ns"), Deadline: p.duration(prefix + "deadline-ns"),
			Paid: p.values[prefix+"effect"] != "safe", Worth: p.number(prefix + "importance"),
			Scale: itemOr(scales, i, 1), Floor: int(itemOr(floors, i, 0)),
			Top: int(itemOr(tops, i, float64(len(s.RungKB)-1))), Seats: int(itemOr(seats, i, 0))}
		c.Live = i < len(live) && live[i] == "true"
		s.Classes = append(s.Classes, c)
	}
	for i := 0; i < p.count("realms.count"); i++ {
		s.Tenants = append(s.Tenants, policy.Tenant{PerSecond: p.number("realms." + strconv.Itoa(i) + ".quota-rps")})
	}
	return s
}

// unlimitedKB is the capacity of an uplink if none is given: it never is the bottleneck.
const unlimitedKB = 1e15

// maxCount is the highest number of items accepted in a settings list.
const maxCount = 10_000

// fieldByName maps the names of load report values to fields; all others are FieldOther.
var fieldByName = map[string]policy.Field{
	"load_share": policy.FieldUtil, "x0": policy.FieldLink, "x1": policy.FieldUplink,
}

// itemOr gives the item at an index, or the fallback if the list is shorter.
func itemOr(list []float64, i int, fallback float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return fallback
}

// reportUnusable adds a message about an unusable value.
func (p *settingsMap) reportUnusable(key string) {
	p.unusable = append(p.unusable, fmt.Sprintf("%s has an unusable value %q", key, p.values[key]))
}

// items gives the comma-separated items of a value.
func (p *settingsMap) items(key string) []string {
	v := p.values[key]
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// inRange tells whether a number is acceptable as a setting; NaN is not.
func inRange(v float64) bool { return v >= 0 && v <= 1e18 }

// numbers gives the items of a value as numbers, or none if one of them is unusable.
func (p *settingsMap) numbers(key string) []float64 {
	var out []float64
	for _, item := range p.items(key) {
		v, err := strconv.ParseFloat(item, 64)
		if err != nil || !inRange(v) {
			p.reportUnusable(key)
			return nil
		}
		out = append(out, v)
	}
	return out
}

// number gives a value as a single number.
func (p *settingsMap) number(key string) float64 {
	list := p.numbers(key)
	if len(list) > 1 {
		p.reportUnusable(key)
		return 0
	}
	return itemOr(list, 0, 0)
}

// duration gives a value in nanoseconds.
func (p *settingsMap) duration(key string) policy.Time { return policy.Time(p.number(key)) }

// count gives a value as an integer up to maxCount.
func (p *settingsMap) count(key string) int {
	v := p.number(key)
	if v > maxCount || v != float64(int(v)) {
		p.reportUnusable(key)
		return 0
	}
	return int(v)
}

// boolean gives a value as true or false.
func (p *settingsMap) boolean(key string) bool {
	v, ok := p.values[key]
	if ok && v != "true" && v != "false" {
		p.reportUnusable(key)
	}
	return v == "true"
}

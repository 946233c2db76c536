package settings

import (
	"reflect"
	"strings"
	"testing"

	"tealledge/policy"
)

// Guards against unusable values that are accepted or not reported, and against wrong defaults.
func TestParse(t *testing.T) {
	s, unusable := Parse(strings.Join([]string{
		"fleet-size=2", "family-info.level-kb=194.0,313.0", "family-info.level-worth=0.2,1.0",
		"family-info.kind-slots=46",
		"telemetry.fields=x0,x1,load_share,depth", "telemetry.how=inline", "discovery=subscribe",
		"policy-limits.may-probe=true", "policy-limits.retry-after=maybe", "rules.spare-attempts=3",
		"request-classes.count=2", "request-classes.0.effect=safe", "request-classes.0.slo-ns=1000000000",
		"request-classes.1.effect=unsafe", "family-info.lowest-rung=0,1", "family-info.seats=0,4",
		"family-info.scale-by-class=x,1", "realms.count=1", "realms.0.quota-rps=4.0", "zone=-1", "some.new-key=7",
		"family-info.shelves=2.5", "family-info.positions=99999999", "", "no equals sign", "prices.moves=nan",
	}, "\n"))
	if s.Fronts != 2 || !reflect.DeepEqual(s.RungKB, []float64{194, 313}) || !s.InlineReports || !s.MayProbe ||
		!s.SubscribeList || !s.RetriesLimited || s.SpareRetries != 3 || s.Tenants[0].PerSecond != 4 {
		t.Errorf("%+v", s)
	}
	if !reflect.DeepEqual(s.Fields, []policy.Field{policy.FieldLink, policy.FieldUplink, policy.FieldUtil,
		policy.FieldOther}) {
		t.Errorf("fields %v", s.Fields)
	}
	if c := s.Classes; len(c) != 2 || c[0].Paid || !c[1].Paid || c[1].Floor != 1 || c[1].Seats != 4 ||
		c[0].Scale != 1 || c[0].SetupTarget != policy.Second || c[0].Top != 1 {
		t.Errorf("classes %+v", c)
	}
	for _, key := range []string{"retry-after", "scale-by-class", "zone", "shelves", "positions",
		"no equals sign", "prices.moves"} {
		if !strings.Contains(strings.Join(unusable, "\n"), key) {
			t.Errorf("%s is not listed as unusable in %q", key, unusable)
		}
	}
	if strings.Contains(strings.Join(unusable, "\n"), "some.new-key") {
		t.Error("an unknown key is listed as unusable")
	}
	if s, unusable := Parse(""); len(unusable) > 0 || len(s.Classes) > 0 || s.RetriesLimited {
		t.Errorf("empty settings: %+v %q", s, unusable)
	}
}

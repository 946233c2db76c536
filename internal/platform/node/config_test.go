package node

import (
	"fmt"
	"strings"
	"testing"

	"tealledge/internal/platform/wire"
)

// Missing or invalid required values are errors, other invalid values are listed, and list events are translated.
func TestParseConfiguration(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n3","listen":"10.0.0.4:5070","seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},"journal":"10.2.0.1:4222",
		"known":{"pos":3,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[{"host":"s-00000005","dial":"a:1","site":"z","class":"k","block":2,"health":"active","share":4,"born_ms":7}]}}]},"settings":%s}`, settingsJSON)
	c, err := Parse([]byte(good))
	if err != nil || len(c.Invalid) != 0 || c.Seed != 0x8c1f30d27a5be964 || c.JournalPos != 3 || c.Names.Classes[1] != "paid" ||
		!c.Settings.Classes[1].Paid ||
		c.Settings.Classes[0].Deadline != 3_000_000_000 || c.Settings.Cells != 3 || len(c.Settings.Tenants) != 0 {
		t.Fatalf("%+v %v", c, err)
	}
	if procs, memory := c.RuntimeLimits(); procs != 1 || memory != 64<<20 {
		t.Error(procs, memory)
	}
	ids := newServerIDs(c.Names.Zones, c.Names.Kinds)
	if entries, list, invalid := ids.apply(c.KnownEvents[0].Hosts); len(invalid) != 0 || entries[0].Server != 5 ||
		entries[0].Started != 7_000_000 || entries[0].Cell != 2 ||
		list[0].Addr != "a:1" {
		t.Errorf("%+v %+v %v", entries, list, invalid)
	}
	next := &wire.Hosts{Whole: true, Hosts: []wire.Host{{Name: "other", Address: "a:1", Zone: "nowhere", Kind: "k",
		Health: wire.HostReady}}}
	if entries, list, invalid := ids.apply(next); len(entries) != 1 || len(list) != 2 || list[1].ID != 5 ||
		!list[1].Removed || ids.len() != 1 || len(invalid) != 1 {
		t.Errorf("full list without a known server: %+v %+v %v", entries, list, invalid)
	}
	for name, change := range map[string][2]string{
		"no name":         {`"name":"n3"`, `"name":""`},
		"no address":      {`10.0.0.4:5070`, `10.0.0.4`},
		"invalid journal": {`10.2.0.1:4222`, `nowhere`},
		"no classes":      {`"request-classes":[`, `"other":[`},
		"settings null":   {settingsJSON, `null`},
		"truncated":       {settingsJSON + "}", ""},
	} {
		if c, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: %+v", name, c)
		}
	}
	for name, change := range map[string][2]string{
		"seed": {`8c1f30d27a5be964`, `zz`}, "limits.cores": {`"cores":0.5`, `"cores":-1`}, "limits.sockets": {`"sockets":256`, `"sockets":-6`},
		"known event": {`"health":"active"`, `"health":"?"`}, "stall-cost": {`"stall-cost":6`, `"stall-cost":"much"`},
	} {
		c, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1)))
		if err != nil || !strings.Contains(strings.Join(c.Invalid, " "), name) {
			t.Errorf("%s: %v %+v", name, err, c)
		}
	}
	t.Setenv("NODE_NAME", "n4")
	if c.CheckEnvironment() == nil {
		t.Error("the configuration of another front passes the check")
	}
}

// A configuration that parses has a name and classes, whatever the input.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"name":"n3","listen":"10.0.0.4:5070","settings":` + settingsJSON + `}`))
	f.Add([]byte(`{"settings":{"a":[{"b":[1,{}]}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Parse(raw); err == nil && (c.Name == "" || len(c.Settings.Classes) == 0) {
			t.Fatalf("%+v", c)
		}
	})
}

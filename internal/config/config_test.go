package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tealledge/policy"
)

func TestExamplesLoad(t *testing.T) {
	files, _ := filepath.Glob("../../deploy/examples/*.sexp")
	if len(files) != 4 {
		t.Fatal(files)
	}
	for _, f := range files {
		c, err := Load(f)
		if err != nil {
			t.Fatal(err)
		}
		if len(c.Classes) < 2 || len(c.Titles) == 0 || c.Service.MaxRetryAfter != 2*policy.Second {
			t.Errorf("%s: %+v", f, c)
		}
	}
	c, _ := Load("../../deploy/examples/quotes.sexp")
	if i, ok := c.TitleIndex("bracket-7"); !ok || i != 0 || c.Service.Classes[1].Floor != 1 || c.Service.Zone != 0 {
		t.Error("quotes.sexp: wrong title, floor or zone")
	}
}

// Each mistake in a file must be reported with its position, not only the first one.
func TestReportsAllMistakesWithPositions(t *testing.T) {
	_, err := Parse("f", `(front (name "a b") (listen "nowhere") (list) (lsiten 3)
 (timing (last-line 2s) (idle 5)))
(service (ladder (rung 200 0.2) (rung 100 0.5)) (cells 0) (weight-kb x) (rack-kb 1) (rack-kb 2)
 (classes (class "c" (aim 1s)) (class "c" (aim 1s) (deadline 2s) (effect free))))`)
	if err == nil {
		t.Fatal("a file with mistakes was accepted")
	}
	for _, want := range []string{
		`f:1:14: name: "a b" is not a name`, "f:1:29: listen:", "f:1:40: list: exactly one of",
		`f:1:47: front: unknown form "lsiten"`,
		"f:2:21: last-line:", "f:2:31: idle:", "f:3:33: rungs must be in rising order", "f:3:56: cells:", "f:3:70:",
		`f:3:85: "rack-kb" appears twice`,
		"f:4:11: c needs (deadline ...)", `f:4:39: class "c" is defined twice`, "f:4:74: effect:",
		"f:1:1: file needs (titles ...), or (catalogue DIR) in front",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error lacks %q", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

func TestRejectsInvalidAndInconsistentSettings(t *testing.T) {
	text, _ := os.ReadFile("../../deploy/examples/archive.sexp")
	for from, want := range map[string][2]string{
		"(me 0)":                     {"(me 3)", "must be less than fleet"},
		"(home 4) (copies 5)":        {"(home 12) (copies 5)", "do not fit 12 cells"},
		"(aim 1s) (deadline 4s)":     {"(aim 5s) (deadline 4s)", "aim 5s must not exceed deadline 4s"},
		"(worth 3)":                  {"(worth 3) (floor 6)", "do not fit a ladder"},
		`(zone "centro")`:            {`(zone "x")`, "not among the zones"},
		`(consul "127.0.0.1:8500")`:  {`(consul "a") (file "b")`, "exactly one of"},
		"(drain-grace 250ms)":        {"(drain-grace 250)", "is not a duration"},
		`(title "guide-gold"`:        {`(title "guide-ceramics"`, "is defined twice"},
		`(listen "127.0.0.1:7700")`:  {`(listen "127.0.0.1")`, "missing port"},
		`(classes`:                   {`(classes (klass "x"))(x`, "want (class"},
		"(reports link uplink)":      {"(reports depth)", "not one of link"},
		"(cold (span 12s)":           {"(cold", "cold needs (span ...)"},
		"(kind \"three-core\"":       {"(kind", "want (kind"},
		"(rung 320 0.40)":            {"(rung 320)", "want (rung"},
		"(title \"guide-ceramics\" ": {"(title ", "want (title"},
	} {
		if _, err := Parse("f", strings.Replace(string(text), from, want[0], 1)); err == nil ||
			!strings.Contains(err.Error(), want[1]) {
			t.Errorf("%s: %v, want %s", want[0], err, want[1])
		}
	}
}

func FuzzParse(f *testing.F) {
	text, _ := os.ReadFile("../../deploy/examples/archive.sexp")
	f.Add(string(text))
	f.Add("(front)(service (ladder) (classes))(titles (title))")
	f.Fuzz(func(t *testing.T, in string) {
		if _, err := Parse("f", in); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatal("error without a position:", err)
		}
	})
}

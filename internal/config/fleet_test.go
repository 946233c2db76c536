package config

import (
	"os"
	"strings"
	"testing"
)

// Settings of a fleet that contradict end in a line with their place; each fails without its check.
func TestFleetsThatContradict(t *testing.T) {
	text, err := os.ReadFile("../../deploy/examples/fleet.sexp")
	if err != nil {
		t.Fatal(err)
	}
	for from, want := range map[string][2]string{
		` (voter "briefings-3" (zone "harbour"))`:  {"", "2 voters: 1, 3 or 5 are wanted"},
		`(voter "briefings-3" (zone "harbour"))`:   {`(voter "briefings-3" (zone "moon"))`, `zone "moon" is not among`},
		`(voter "briefings-2" (zone "west"))`:      {`(voter "briefings-2" (zone "east"))`, "one lost zone takes two votes"},
		`(front "briefings-2" "127.0.0.1:7956")`:   {"", "nobody would find it"},
		`(front "briefings-5" "127.0.0.1:7986")`:   {`(front "briefings-4" "127.0.0.1:7986")`, `two fronts of the name "briefings-4"`},
		`(control "127.0.0.1:7947")`:               {`(control "10.0.0.1:7947")`, "from this host alone"},
		`(rack 1) (zone 2) (whole 3)`:              {`(rack 0) (zone 2) (whole 3)`, "let nothing out"},
		`(zone 2) (whole 3)`:                       {`(zone 4) (whole 3)`, "none may be over the next"},
		`(back 12s)`:                               {`(back 3s)`, "under the time that a cold server takes"},
		`(state "state/briefings-1")`:              {"", "votes and keeps nothing"},
		`"00112233445566778899aabbccddeeff0011223`: {`"0011`, "hex digits"},
		`(cluster "briefings")`:                    {`(cluster "a b")`, "is no name"},
		`(patience 10m)`:                           {`(patience soon)`, "is no time"},
	} {
		if !strings.Contains(string(text), from) {
			t.Fatalf("the example lacks %s", from)
		}
		_, err := Parse("f", strings.Replace(string(text), from, want[0], 1))
		if err == nil || !strings.Contains(err.Error(), want[1]) || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%s in place of %s: %v", want[0], from, err)
		}
	}
}

package config

import (
	"os"
	"strings"
	"testing"
)

// Contradictory fleet settings must be rejected with their position. Each case fails without its check.
func TestRejectsContradictoryFleetSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/examples/fleet.sexp")
	if err != nil {
		t.Fatal(err)
	}
	for from, want := range map[string][2]string{
		` (voter "briefings-3" (zone "harbour"))`:  {"", "2 voters: must be 1, 3 or 5"},
		`(voter "briefings-3" (zone "harbour"))`:   {`(voter "briefings-3" (zone "moon"))`, `zone "moon" is not among`},
		`(voter "briefings-2" (zone "west"))`:      {`(voter "briefings-2" (zone "east"))`, "the loss of that zone would take two votes"},
		`(front "briefings-2" "127.0.0.1:7956")`:   {"", "its address is unknown"},
		`(front "briefings-5" "127.0.0.1:7986")`:   {`(front "briefings-4" "127.0.0.1:7986")`, `two fronts are named "briefings-4"`},
		`(control "127.0.0.1:7947")`:               {`(control "10.0.0.1:7947")`, "from this host only"},
		`(rack 1) (zone 2) (whole 3)`:              {`(rack 0) (zone 2) (whole 3)`, "allow no machine to be out of service"},
		`(zone 2) (whole 3)`:                       {`(zone 4) (whole 3)`, "none may exceed the next"},
		`(back 12s)`:                               {`(back 3s)`, "less than the warm-up time of a cold server"},
		`(state "state/briefings-1")`:              {"", "is a voter but stores no state"},
		`"00112233445566778899aabbccddeeff0011223`: {`"0011`, "hex digits"},
		`(cluster "briefings")`:                    {`(cluster "a b")`, "is not a name"},
		`(patience 10m)`:                           {`(patience soon)`, "is not a duration"},
	} {
		if !strings.Contains(string(text), from) {
			t.Fatalf("fleet.sexp lacks %s", from)
		}
		_, err := Parse("f", strings.Replace(string(text), from, want[0], 1))
		if err == nil || !strings.Contains(err.Error(), want[1]) || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%s in place of %s: %v", want[0], from, err)
		}
	}
}

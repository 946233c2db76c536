package sexp

import (
	"strings"
	"testing"
)

func TestReadsValuesWithPositions(t *testing.T) {
	nodes, err := Read("f", "; c\n(a \"b \\\"é\\n\" (c))\n  d")
	if err != nil || len(nodes) != 2 {
		t.Fatal(nodes, err)
	}
	a := nodes[0]
	if a.Head() != "a" || a.List[1].Text != "b \"é\n" || a.List[2].Pos.String() != "f:2:14" ||
		nodes[1].Pos.String() != "f:3:3" {
		t.Fatalf("%+v %v", a.List[1], a.List[2].Pos)
	}
}

func TestErrorsHavePositions(t *testing.T) {
	for in, want := range map[string]string{
		"(a\n  (b)":                         "f:1:1: '(' is not closed",
		"a\n )":                             "f:2:2: ')' without an open '('",
		"(x \"abc":                          "f:1:4: string is not closed",
		"\"a\\q\"":                          "f:1:3: unknown escape \\q",
		"\xff":                              "f:1:1: not UTF-8",
		strings.Repeat("(", MaxDepth+1):     "f:1:33: nested more than 32 levels deep",
		strings.Repeat(" ", MaxBytes) + "a": "f:1:1: 4194305 bytes, 4194304 at most",
	} {
		if _, err := Read("f", in); err == nil || err.Error() != want {
			t.Errorf("%.20q: %v, want %s", in, err, want)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add("(a \"b\" ; c\n (d))")
	f.Fuzz(func(t *testing.T, in string) {
		if _, err := Read("f", in); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatal("error without a position:", err)
		}
	})
}

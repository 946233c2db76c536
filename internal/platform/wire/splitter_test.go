package wire

import (
	"bytes"
	"fmt"
	"testing"
)

func closeLine(sid uint64) string {
	return fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid)
}

func TestContainsClose(t *testing.T) {
	for name, c := range map[string]struct {
		fed, next string
		want      bool
	}{
		"complete":                  {"", closeLine(7), true},
		"half of it was fed before": {closeLine(7)[:20], closeLine(7)[20:], true},
		"after other lines":         {"", closeLine(8) + "noise\n" + closeLine(7), true},
		"close of another session":  {"", closeLine(8), false},
		"incomplete":                {"", closeLine(7)[:40], false},
		"acknowledged close":        {"", `{"msg":"closed","sid":"0000000000000007"}` + "\n", false},
		"its id in another field":   {"", `{"msg":"close","sid":"0000000000000008","attrs":{"key":"0000000000000007"}}` + "\n", false},
		"after an endless line":     {string(bytes.Repeat([]byte{'x'}, 300)), closeLine(7), false},
	} {
		s := NewSplitter(256)
		s.Feed([]byte(c.fed))
		if got := s.ContainsClose([]byte(c.next), 7); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// ContainsClose must agree with reading the same bytes.
func FuzzTakesBack(f *testing.F) {
	f.Add([]byte(closeLine(7)[:11]), []byte(closeLine(7)[11:]))
	f.Add([]byte("x\n"), []byte(closeLine(8)+closeLine(7)))
	f.Add([]byte(`{"msg":"close"`), []byte(`,"sid":"0000000000000007"}`+"\r\n"))
	f.Fuzz(func(t *testing.T, fed, next []byte) {
		s := NewSplitter(256)
		s.Feed(fed)
		for {
			if line, err := s.Next(); line == nil || err != nil {
				break
			}
		}
		found := s.ContainsClose(next, 7)
		s.Feed(next)
		read := false
		for !read {
			line, err := s.Next()
			if line == nil || err != nil {
				break
			}
			l, err := ParseLine(line)
			read = err == nil && l.Msg == LineClose && l.Sid == 7
		}
		if found && !read {
			t.Fatalf("%q then %q: close found, but none is read", fed, next)
		}
		if read && !found && len(next) < 200 {
			t.Fatalf("%q then %q: close read, but not found before", fed, next)
		}
	})
}

package catalogue

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func text(t testing.TB, write func(io.Writer) error) string {
	t.Helper()
	var b bytes.Buffer
	if err := write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestReadReturnsWrittenVersionAndDelta(t *testing.T) {
	v := build(t, 7, title(1, 1, 2), &Title{Name: "a \"b\"\nc ü"}, title(2, 4294967295))
	got, err := Read("x", strings.NewReader(text(t, v.Write)))
	if err != nil || got.VersionID != v.VersionID || got.Len() != 3 {
		t.Fatal(err)
	}
	next := build(t, 8, title(1, 2), title(3, 9))
	d, err := ReadDelta("x", strings.NewReader(text(t, Diff(v, next).Write)))
	if err != nil {
		t.Fatal(err)
	}
	if after, err := got.Apply(d); err != nil || after.VersionID != next.VersionID {
		t.Error(err)
	}
}

// TestDetectsTruncationAndBitErrors: a file that differs from what was written must not be read as another version.
func TestDetectsTruncationAndBitErrors(t *testing.T) {
	v := build(t, 7, title(1, 1, 2), title(2, 3))
	full := text(t, v.Write)
	for n := range len(full) - 1 { // a file that lacks only the final newline is complete
		if _, err := Read("x", strings.NewReader(full[:n])); err == nil {
			t.Fatalf("a file truncated at %d was accepted", n)
		}
	}
	for n := range len(full) {
		for bit := range 8 {
			b := []byte(full)
			b[n] ^= 1 << bit
			got, err := Read("x", bytes.NewReader(b))
			if err == nil && got.Digest != v.Digest {
				t.Fatalf("byte %d, bit %d: read as another version: %q", n, bit, b)
			}
		}
	}
}

// TestPollSkipsInvalidFiles: the catalogue applies valid files, rejects early, incomplete and wrong ones, and returns
// an error once.
func TestPollSkipsInvalidFiles(t *testing.T) {
	dir := Dir{Path: t.TempDir()}
	v1, v2, v3, v4 := build(t, 1, title(1, 1)), build(t, 2, title(1, 1), title(2, 2)),
		build(t, 3, title(2, 2)), build(t, 4, title(4, 4))
	deliver := func(name string, write func(io.Writer) error) {
		t.Helper()
		if err := dir.Deliver(name, write); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := dir.Load(); err == nil {
		t.Fatal("Load accepted an empty directory")
	}
	deliver("full.cat", v1.Write)
	v, err := dir.Load()
	if err != nil {
		t.Fatal(err)
	}
	c := New(v)
	poll := func(changed, wantError bool, number uint64) {
		t.Helper()
		if got, err := dir.Poll(c); got != changed || (err != nil) != wantError || c.Current().Number != number {
			t.Fatalf("changed %v, %v, version %d", got, err, c.Current().Number)
		}
	}
	poll(false, false, 1)
	deliver("2.delta", Diff(v2, v3).Write) // too early
	poll(false, false, 1)
	half := text(t, Diff(v1, v2).Write)
	os.WriteFile(filepath.Join(dir.Path, "1.delta"), []byte(half[:len(half)-6]), 0o644)
	poll(false, true, 1)
	poll(false, false, 1)                                        // the same error is returned once
	deliver("1.delta", Diff(build(t, 1, title(9, 9)), v4).Write) // delta of another version
	poll(false, true, 1)
	deliver("1.delta", Diff(v1, v2).Write)
	poll(true, false, 3)
	deliver("3.delta", func(w io.Writer) error { _, err := io.WriteString(w, "nonsense"); return err })
	poll(false, true, 3)
	deliver("full.cat", v4.Write) // supersedes the invalid delta
	poll(true, false, 4)          // whose error was returned before
	deliver("full.cat", v2.Write) // an older version
	poll(false, false, 4)
	if c.Current().Names()[0] != "title-4" {
		t.Error(c.Current().Names())
	}
}

func FuzzRead(f *testing.F) {
	v := build(f, 7, title(1, 1, 2), title(2, 3))
	f.Add([]byte(text(f, v.Write)))
	f.Add([]byte(text(f, Diff(v, build(f, 8, title(1, 1))).Write)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if v, err := Read("x", bytes.NewReader(b)); err == nil {
			again, err := Read("x", strings.NewReader(text(t, v.Write)))
			if err != nil || again.VersionID != v.VersionID {
				t.Fatal("writing and reading again gives another version", err)
			}
		}
		if d, err := ReadDelta("x", bytes.NewReader(b)); err == nil {
			if _, err := ReadDelta("x", strings.NewReader(text(t, d.Write))); err != nil {
				t.Fatal(err)
			}
		}
	})
}

package seal

import (
	"bytes"
	"errors"
	"testing"
)

var (
	old   = bytes.Repeat([]byte("o"), 16)
	fresh = bytes.Repeat([]byte("n"), 32)
	claim = Claims{Session: 77, Viewer: 1 << 63, Title: "guide é", Class: 2, Tenant: 1, Top: 5, Issued: 1000, Expires: 2000}
)

func keys(t *testing.T, list ...[]byte) *Keys {
	t.Helper()
	k, err := NewKeys(list...)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestTokensOutliveARotationAndNoMore(t *testing.T) {
	before, overlap, after := keys(t, old), keys(t, fresh, old), keys(t, fresh)
	token := before.Sign(claim)
	for name, c := range map[string]struct {
		k    *Keys
		now  int64
		want error
	}{
		"its own key": {before, 1500, nil}, "overlap": {overlap, 1500, nil}, "key gone": {after, 1500, ErrForged},
		"last second": {before, 1999, nil}, "expired": {before, 2000, ErrExpired},
	} {
		got, err := c.k.Open(token, c.now)
		if !errors.Is(err, c.want) || err == nil && got != claim {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	if _, err := before.Open(overlap.Sign(claim), 1500); !errors.Is(err, ErrForged) {
		t.Error("signed by the old key after the rotation:", err)
	}
}

func TestEveryChangedByteIsForged(t *testing.T) {
	k := keys(t, old)
	token := []byte(k.Sign(claim))
	for i := range token {
		for _, c := range []byte("Aa0_-") {
			if bad := bytes.Clone(token); bad[i] != c {
				bad[i] = c
				if got, err := k.Open(string(bad), 1500); err == nil {
					t.Fatalf("byte %d as %c: taken as %+v", i, c, got)
				}
			}
		}
	}
}

func TestWeakKeysAreRefused(t *testing.T) {
	if _, err := NewKeys(); err == nil {
		t.Error("none")
	}
	if _, err := NewKeys([]byte("short")); err == nil {
		t.Error("short")
	}
}

func FuzzOpen(f *testing.F) {
	k, _ := NewKeys(old)
	f.Add(k.Sign(claim))
	f.Fuzz(func(t *testing.T, token string) {
		if c, err := k.Open(token, 1500); err == nil && k.Sign(c) != token {
			t.Fatalf("%q says %+v, which is signed as %q", token, c, k.Sign(c))
		}
	})
}

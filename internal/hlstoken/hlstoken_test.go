package hlstoken

import (
	"bytes"
	"errors"
	"testing"
)

var (
	oldKey = bytes.Repeat([]byte("o"), 16)
	newKey = bytes.Repeat([]byte("n"), 32)
	claims = Claims{Session: 77, Viewer: 1 << 63, Title: "guide é", Class: 2, Tenant: 1, Top: 5,
		Issued: 1000, Expires: 2000}
)

func newKeys(t *testing.T, list ...[]byte) *Keys {
	t.Helper()
	k, err := NewKeys(list...)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestTokenValidDuringRotationAndUntilExpiry guards against tokens that become invalid during a key rotation, and
// against expired tokens or removed keys that are still accepted.
func TestTokenValidDuringRotationAndUntilExpiry(t *testing.T) {
	before, overlap, after := newKeys(t, oldKey), newKeys(t, newKey, oldKey), newKeys(t, newKey)
	token := before.Sign(claims)
	for name, c := range map[string]struct {
		k    *Keys
		now  int64
		want error
	}{
		"its own key": {before, 1500, nil}, "overlap": {overlap, 1500, nil}, "key removed": {after, 1500, ErrSignature},
		"last second": {before, 1999, nil}, "expired": {before, 2000, ErrExpired},
	} {
		got, err := c.k.Verify(token, c.now)
		if !errors.Is(err, c.want) || err == nil && got != claims {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	if _, err := before.Verify(overlap.Sign(claims), 1500); !errors.Is(err, ErrSignature) {
		t.Error("signed with the old key after the rotation:", err)
	}
}

func TestRejectsTokenWithAnyByteChanged(t *testing.T) {
	k := newKeys(t, oldKey)
	token := []byte(k.Sign(claims))
	for i := range token {
		for _, c := range []byte("Aa0_-") {
			if bad := bytes.Clone(token); bad[i] != c {
				bad[i] = c
				if got, err := k.Verify(string(bad), 1500); err == nil {
					t.Fatalf("byte %d changed to %c: accepted as %+v", i, c, got)
				}
			}
		}
	}
}

func TestRejectsMissingAndShortKeys(t *testing.T) {
	if _, err := NewKeys(); err == nil {
		t.Error("an empty key list was accepted")
	}
	if _, err := NewKeys([]byte("short")); err == nil {
		t.Error("a short key was accepted")
	}
}

func FuzzOpen(f *testing.F) {
	k, _ := NewKeys(oldKey)
	f.Add(k.Sign(claims))
	f.Fuzz(func(t *testing.T, token string) {
		if c, err := k.Verify(token, 1500); err == nil && k.Sign(c) != token {
			t.Fatalf("%q decodes to %+v, which is signed as %q", token, c, k.Sign(c))
		}
	})
}

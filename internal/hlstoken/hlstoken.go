// Package hlstoken signs and verifies the tokens in HLS addresses. A token identifies a session and its viewer and
// holds everything that another front needs to place the session again. Tokens are signed (HMAC-SHA-256 truncated to
// 128 bits) and expire. Keys rotate with overlap: the first key signs, all keys verify.
package hlstoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
)

// Claims is the content of a token.
type Claims struct {
	Session uint64
	Viewer  uint64
	Title   string
	Class   int
	Tenant  int
	Top     int
	Issued  int64 // seconds since 1970
	Expires int64
}

// Errors for which a token is rejected.
var (
	ErrSignature = errors.New("hlstoken: signature matches none of the keys")
	ErrExpired   = errors.New("hlstoken: token expired")
	ErrMalformed = errors.New("hlstoken: malformed token")
)

const (
	version        = 1
	macSize        = 16
	maxTitleLength = 200
	// MaxTokenLength is the maximum length of an encoded token in bytes.
	MaxTokenLength = 512
	// MinKeySize is the minimum length of a key in bytes.
	MinKeySize = 16
)

// Keys signs and verifies tokens. It is immutable; a rotation creates a new value.
type Keys struct{ list [][]byte }

// NewKeys returns Keys that sign with the first key and verify with all of them.
func NewKeys(list ...[]byte) (*Keys, error) {
	if len(list) == 0 || len(list) > 8 {
		return nil, fmt.Errorf("hlstoken: want 1 to 8 keys, got %d", len(list))
	}
	for i, k := range list {
		if len(k) < MinKeySize {
			return nil, fmt.Errorf("hlstoken: key %d has %d bytes, want at least %d", i+1, len(k), MinKeySize)
		}
	}
	return &Keys{list}, nil
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// Sign returns a signed token for the claims. Titles over 200 bytes are truncated.
func (k *Keys) Sign(c Claims) string {
	title := c.Title
	if len(title) > maxTitleLength {
		title = title[:maxTitleLength]
	}
	b := []byte{version}
	for _, v := range []uint64{c.Session, c.Viewer, uint64(c.Class), uint64(c.Tenant), uint64(c.Top), uint64(c.Issued),
		uint64(c.Expires)} {
		b = binary.AppendUvarint(b, v)
	}
	b = append(b, title...)
	return base64.RawURLEncoding.EncodeToString(append(b, mac(k.list[0], b)...))
}

// Verify checks a token and returns its claims. It returns ErrExpired for a token that is authentic but expired.
func (k *Keys) Verify(token string, now int64) (c Claims, err error) {
	if len(token) > MaxTokenLength {
		return c, ErrMalformed
	}
	decoded, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(decoded) < 1+7+macSize || decoded[0] != version {
		return c, ErrMalformed
	}
	body, signature := decoded[:len(decoded)-macSize], decoded[len(decoded)-macSize:]
	valid := false
	for _, key := range k.list {
		valid = hmac.Equal(mac(key, body), signature) || valid
	}
	if !valid {
		return c, ErrSignature
	}
	rest := body[1:]
	var values [7]uint64
	for i := range values {
		x, n := binary.Uvarint(rest)
		if n <= 0 {
			return c, ErrMalformed
		}
		values[i], rest = x, rest[n:]
	}
	c = Claims{Session: values[0], Viewer: values[1], Class: int(values[2]), Tenant: int(values[3]),
		Top: int(values[4]), Issued: int64(values[5]), Expires: int64(values[6]), Title: string(rest)}
	if now >= c.Expires {
		return c, ErrExpired
	}
	return c, nil
}

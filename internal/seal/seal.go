// Package seal makes and checks the tokens in HLS addresses: who a session is for, and all that another front needs
// to place it anew. A token is signed (HMAC-SHA-256, cut to 128 bits) and expires; keys rotate with overlap: the first
// key signs, all keys check.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
)

// Claims are what a token says.
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

// Why a token is not taken.
var (
	ErrForged  = errors.New("seal: not signed by any of the keys")
	ErrExpired = errors.New("seal: expired")
	ErrForm    = errors.New("seal: no token")
)

const (
	version  = 1
	macSize  = 16
	maxTitle = 200
	// MaxToken bounds a token's text.
	MaxToken = 512
	// MinKey is the least length of a key in bytes.
	MinKey = 16
)

// Keys sign and check. They are not changed; a rotation makes new ones.
type Keys struct{ list [][]byte }

// NewKeys takes keys, the one that signs first.
func NewKeys(list ...[]byte) (*Keys, error) {
	if len(list) == 0 || len(list) > 8 {
		return nil, fmt.Errorf("seal: 1 to 8 keys are needed, there are %d", len(list))
	}
	for i, k := range list {
		if len(k) < MinKey {
			return nil, fmt.Errorf("seal: key %d has %d bytes, %d at least", i+1, len(k), MinKey)
		}
	}
	return &Keys{list}, nil
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// Sign makes a token.
func (k *Keys) Sign(c Claims) string {
	title := c.Title
	if len(title) > maxTitle {
		title = title[:maxTitle]
	}
	b := []byte{version}
	for _, v := range []uint64{c.Session, c.Viewer, uint64(c.Class), uint64(c.Tenant), uint64(c.Top), uint64(c.Issued), uint64(c.Expires)} {
		b = binary.AppendUvarint(b, v)
	}
	b = append(b, title...)
	return base64.RawURLEncoding.EncodeToString(append(b, mac(k.list[0], b)...))
}

// Open checks a token and gives what it says. An expired one is told apart from a forged one.
func (k *Keys) Open(token string, now int64) (c Claims, err error) {
	if len(token) > MaxToken {
		return c, ErrForm
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < 1+7+macSize || b[0] != version {
		return c, ErrForm
	}
	body, sum := b[:len(b)-macSize], b[len(b)-macSize:]
	good := false
	for _, key := range k.list {
		good = hmac.Equal(mac(key, body), sum) || good
	}
	if !good {
		return c, ErrForged
	}
	rest := body[1:]
	var v [7]uint64
	for i := range v {
		x, n := binary.Uvarint(rest)
		if n <= 0 {
			return c, ErrForm
		}
		v[i], rest = x, rest[n:]
	}
	c = Claims{Session: v[0], Viewer: v[1], Class: int(v[2]), Tenant: int(v[3]), Top: int(v[4]), Issued: int64(v[5]), Expires: int64(v[6]), Title: string(rest)}
	if now >= c.Expires {
		return c, ErrExpired
	}
	return c, nil
}

package serve

import (
	crand "crypto/rand"
	"math/rand/v2"
)

// newTokens draws tokens that nobody can guess from those seen: a cipher's stream under a random key. The owner's
// goroutine alone calls it.
func newTokens() func() uint64 {
	var seed [32]byte
	crand.Read(seed[:]) // never fails
	source := rand.NewChaCha8(seed)
	return func() uint64 {
		for {
			if t := source.Uint64(); t != 0 {
				return t
			}
		}
	}
}

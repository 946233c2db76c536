package serve

import (
	crand "crypto/rand"
	"math/rand/v2"
)

// newTokenSource returns a function that draws random tokens from the stream of a cipher with a random key, so that
// none can be guessed from those already seen. Only the owner goroutine may call the function.
func newTokenSource() func() uint64 {
	var seed [32]byte
	crand.Read(seed[:]) // never fails
	source := rand.NewChaCha8(seed)
	return func() uint64 {
		for {
			if token := source.Uint64(); token != 0 {
				return token
			}
		}
	}
}

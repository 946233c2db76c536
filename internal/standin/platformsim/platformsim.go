// Package platformsim stands in for the operators' platform on loopback: servers, viewers and the journal service, each
// with the troubles that real ones have. What crosses their sockets is recorded for internal/audit, in the words of its
// records: 200 is an answer, 453 "full" and 500 anything else.
package platformsim

import (
	"sync"

	"tealledge/internal/record"
)

// Front is the name that records give the front.
const Front = "n0"

// World is what the stand-ins share.
type World struct {
	Rec     *record.Log
	mu      sync.Mutex
	tries   map[uint64]int // set-ups of a session that arrived
	classes map[string]int
}

// NewWorld makes one for classes by their names.
func NewWorld(classes ...string) *World {
	w := &World{Rec: record.NewMemory(), tries: map[uint64]int{}, classes: map[string]int{}}
	for i, c := range classes {
		w.classes[c] = i
	}
	return w
}

func (w *World) add(e record.Event) {
	e.Front = Front
	w.Rec.Add(e)
}

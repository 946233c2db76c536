// Package platformsim is a stand-in for the operators' platform on loopback: servers, viewers and the journal service,
// each with the faults that real ones have. What crosses their sockets is recorded for internal/audit with the status
// codes of its records: 200 for a set-up that is ready, 453 for "full" and 500 for anything else.
package platformsim

import (
	"sync"

	"tealledge/internal/record"
)

// Front is the name of the front in records.
const Front = "n0"

// World is the state that the stand-ins share.
type World struct {
	Recorder     *record.Log
	mu           sync.Mutex
	setupCounts  map[uint64]int // set-ups received, by session
	classIndexes map[string]int
}

// NewWorld returns a World for the named classes; their order gives their index in records.
func NewWorld(classes ...string) *World {
	w := &World{Recorder: record.NewMemory(), setupCounts: map[uint64]int{}, classIndexes: map[string]int{}}
	for i, c := range classes {
		w.classIndexes[c] = i
	}
	return w
}

// add records an event of the front.
func (w *World) add(e record.Event) {
	e.Front = Front
	w.Recorder.Add(e)
}

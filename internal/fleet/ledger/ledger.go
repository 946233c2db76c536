// Package ledger is what the fronts of a fleet have agreed on: a state machine that every front feeds with the same
// entries in the same order. It is pure: entries in, changes out; its only clock is the time that entries carry, which
// never steps back. It may import decide packages only. How entries come to be agreed is internal/fleet/quorum's job.
//
// Entries and snapshots are JSON with the number of their format. A front that meets an entry newer than it knows skips it, and
// from then on knows that its picture is partial: it carries out what it understands and lets nobody else go out for work. So
// that this stays rare, a version that brings new kinds is to propose them only once every front that is here tells its
// format.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Time is a clock reading or span in nanoseconds.
type Time = int64

// Format is the number of the newest entries that this program knows.
const Format = 1

// Bounds of what is kept.
const (
	OpenMost  = 1024 // works that have not ended
	EndedMost = 512  // works that have ended, to be asked about
	keysMost  = 4096 // answers to commands, for repeats
	EntryMost = 64 << 10
)

// Kind tells what an entry does.
type Kind string

// The kinds of entry.
const (
	KindAsk     Kind = "ask"     // work is asked for
	KindGrant   Kind = "grant"   // it may go
	KindAdvance Kind = "advance" // it goes on to its next phase
	KindRefuse  Kind = "refuse"  // it can never go
	KindCancel  Kind = "cancel"  // whoever asked does not want it any more
	KindDone    Kind = "done"    // the work is over
)

// Entry is one agreed step.
type Entry struct {
	V    int    `json:"v"`
	Kind Kind   `json:"kind"`
	At   Time   `json:"at"`            // the proposer's clock, Unix nanoseconds
	Key  string `json:"key,omitempty"` // of a command, chosen by who gives it: a repeat changes nothing
	From string `json:"from"`          // the front that proposed it

	ID    uint64 `json:"id,omitempty"`    // the work
	Basis uint64 `json:"basis,omitempty"` // of a grant: the last grant that it was weighed against
	Fence uint64 `json:"fence,omitempty"` // of an advance: the grant that it belongs to
	Was   Phase  `json:"was,omitempty"`
	To    Phase  `json:"to,omitempty"`
	Until Time   `json:"until,omitempty"` // when the new phase ends by itself, at the latest
	Why   string `json:"why,omitempty"`
	Ask   *Ask   `json:"ask,omitempty"`
}

// Ask is work on machines, as it was asked for.
type Ask struct {
	Names   []string `json:"names"` // as asked: server:7, rack:2, front:f3
	Servers []Place  `json:"servers,omitempty"`
	Fronts  []string `json:"fronts,omitempty"`
	For     Time     `json:"for"`
	By      Time     `json:"by,omitempty"`
	Note    string   `json:"note,omitempty"`
}

// Place is a server and where it stood when it was asked for.
type Place struct {
	Server uint32 `json:"server"`
	Rack   int    `json:"rack"`
	Zone   int    `json:"zone"`
}

// Phase is how far work has come.
type Phase string

// The phases, in order; the last three are ends.
const (
	Asked     Phase = "asked"
	Granted   Phase = "granted"  // fronts are told; none that knows sends anything new there
	Draining  Phase = "draining" // all have heard; what stands moves away or ends
	Out       Phase = "out"      // the machines are whoever asked's
	Back      Phase = "back"     // taken in again at a cold server's pace; still counted as out
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
	Refused   Phase = "refused"
)

// Ended tells whether nothing more follows.
func (p Phase) Ended() bool { return p == Done || p == Cancelled || p == Refused }

// Kept tells whether the machines are kept free of anything new.
func (p Phase) Kept() bool { return p == Granted || p == Draining || p == Out }

// Counts tells whether the machines count as out.
func (p Phase) Counts() bool { return p.Kept() || p == Back }

// Work is one ask and what became of it.
type Work struct {
	ID    uint64 `json:"id"` // the index of the entry that asked
	Ask   Ask    `json:"ask"`
	From  string `json:"from"`
	Asked Time   `json:"asked"`
	Phase Phase  `json:"phase"`
	Since Time   `json:"since"`
	Until Time   `json:"until,omitempty"`
	Fence uint64 `json:"fence,omitempty"` // the index of the entry that granted it
	Out   Time   `json:"out,omitempty"`   // when it went out
	Why   string `json:"why,omitempty"`   // of the last change
}

// Answer is what became of a command.
type Answer struct {
	ID  uint64 `json:"id"`
	Err string `json:"err,omitempty"`
}

// Change is a step of a work, for logs and for what is carried out.
type Change struct {
	Work Work
	Was  Phase
	From string
}

// State is the agreed state after some number of entries.
type State struct {
	V       int               `json:"v"`
	Cluster string            `json:"cluster"` // of whoever formed the record: no other's entries are taken
	Index   uint64            `json:"index"`   // of the last entry applied
	Now     Time              `json:"now"`
	Granted uint64            `json:"granted"` // index of the last grant
	Newer   int               `json:"newer"`   // the newest format of an entry that was not understood; 0: all were
	Spoilt  uint64            `json:"spoilt"`  // entries that could not be read
	Works   []*Work           `json:"works"`   // by ID
	Keys    map[string]Answer `json:"keys"`
	Order   []string          `json:"order"` // of Keys, oldest first
}

// New makes an empty state.
func New() *State { return &State{V: Format, Keys: map[string]Answer{}} }

// Encode gives an entry's bytes. An entry that is too long is refused here, before anybody has to carry it.
func (e Entry) Encode() ([]byte, error) {
	if e.V == 0 {
		e.V = Format
	}
	b, err := json.Marshal(e)
	if err == nil && len(b) > EntryMost {
		err = fmt.Errorf("an entry of %d bytes, %d at most", len(b), EntryMost)
	}
	return b, err
}

// Decode reads an entry. newer tells of one that this program does not know.
func Decode(b []byte) (e Entry, newer bool, err error) {
	if len(b) > EntryMost {
		return e, false, fmt.Errorf("an entry of %d bytes, %d at most", len(b), EntryMost)
	}
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(b, &head); err != nil {
		return e, false, fmt.Errorf("entry: %w", err)
	}
	if head.V > Format {
		return Entry{V: head.V}, true, nil
	}
	if err := json.Unmarshal(b, &e); err != nil {
		return e, false, fmt.Errorf("entry: %w", err)
	}
	if e.V < 1 {
		return e, false, errors.New("entry: no format")
	}
	return e, false, nil
}

// Apply takes the entry at an index. The same entries give the same state everywhere, whatever they hold.
func (s *State) Apply(index uint64, data []byte) []Change {
	if index <= s.Index {
		return nil // heard twice
	}
	s.Index = index
	if len(data) == 0 {
		return nil // of a new leader
	}
	e, newer, err := Decode(data)
	switch {
	case newer:
		s.Newer = max(s.Newer, e.V)
		return nil
	case err != nil:
		s.Spoilt++
		return nil
	}
	s.Now = max(s.Now, e.At)
	if _, repeated := s.Keys[e.Key]; repeated && e.Key != "" {
		return nil
	}
	changes, answer := s.step(index, &e)
	if e.Key != "" {
		s.Keys[e.Key] = answer
		s.Order = append(s.Order, e.Key)
		for len(s.Order) > keysMost {
			delete(s.Keys, s.Order[0])
			s.Order = s.Order[1:]
		}
	}
	return changes
}

// Work finds a work.
func (s *State) Work(id uint64) *Work {
	i, ok := slices.BinarySearchFunc(s.Works, id, func(w *Work, id uint64) int {
		switch {
		case w.ID < id:
			return -1
		case w.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return s.Works[i]
}

// Snapshot gives the whole state's bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads a snapshot. One of a newer format is refused: half of a state is none.
func Restore(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.V > Format {
		return nil, fmt.Errorf("snapshot: its format is %d, this program knows %d", s.V, Format)
	}
	if s.Keys == nil {
		s.Keys = map[string]Answer{}
	}
	last := uint64(0)
	for _, w := range s.Works {
		if w == nil || w.ID <= last {
			return nil, errors.New("snapshot: its works are not in order")
		}
		last = w.ID
	}
	return s, nil
}

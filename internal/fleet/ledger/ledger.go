// Package ledger is the replicated state machine of a fleet: every front applies the same entries in the same order. It
// is pure: entries in, changes out; its only clock is the time in the entries, which never steps back. It may import
// decide packages only. The entries are replicated by internal/fleet/quorum.
//
// Entries and snapshots are JSON with a format number. A front that receives an entry of a newer format skips it and
// from then on knows that its state is incomplete: it applies the entries that it understands and grants no more work.
// To keep this rare, a version with new kinds of entry must propose them only once every live front announces that
// format.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Time is a point of time or a duration in nanoseconds.
type Time = int64

// Format is the newest format of entries that this program supports.
const Format = 1

// Limits of the stored state.
const (
	MaxOpenWorks  = 1024 // work that has not ended
	MaxEndedWorks = 512  // work that has ended, kept for queries
	maxKeys       = 4096 // results of commands, kept for repeated commands
	MaxEntryBytes = 64 << 10
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entry.
const (
	KindRequest Kind = "ask"     // requests work
	KindGrant   Kind = "grant"   // grants it
	KindAdvance Kind = "advance" // moves it to its next phase
	KindRefuse  Kind = "refuse"  // refuses it: it can never be granted
	KindCancel  Kind = "cancel"  // withdraws the request
	KindDone    Kind = "done"    // reports that the work is done
)

// Entry is one step of the record.
type Entry struct {
	Format int    `json:"v"`
	Kind   Kind   `json:"kind"`
	At     Time   `json:"at"`            // the proposer's clock, Unix nanoseconds
	Key    string `json:"key,omitempty"` // of a command, chosen by its sender: a repeated command changes nothing
	From   string `json:"from"`          // the front that proposed it

	ID        uint64   `json:"id,omitempty"`    // the work
	Basis     uint64   `json:"basis,omitempty"` // of a grant: the last grant that it was decided on
	Fence     uint64   `json:"fence,omitempty"` // of an advance: index of the grant that it belongs to
	PrevPhase Phase    `json:"was,omitempty"`
	NextPhase Phase    `json:"to,omitempty"`
	Deadline  Time     `json:"until,omitempty"` // when the new phase ends at the latest
	Reason    string   `json:"why,omitempty"`
	Request   *Request `json:"ask,omitempty"`
}

// Request is a request for work on machines.
type Request struct {
	Names        []string `json:"names"` // as requested: server:7, rack:2, front:f3
	Servers      []Place  `json:"servers,omitempty"`
	Fronts       []string `json:"fronts,omitempty"`
	WorkDuration Time     `json:"for"`
	Deadline     Time     `json:"by,omitempty"`
	Note         string   `json:"note,omitempty"`
}

// Place is a server with its rack and zone at the time of the request.
type Place struct {
	Server uint32 `json:"server"`
	Rack   int    `json:"rack"`
	Zone   int    `json:"zone"`
}

// Phase is the phase that work is in.
type Phase string

// The phases in order; the last three are final.
const (
	Requested Phase = "asked"
	Granted   Phase = "granted"  // fronts are being notified; a notified front sends no new sessions there
	Draining  Phase = "draining" // all fronts have acknowledged; sessions there move away or end
	Out       Phase = "out"      // the machines are out of service, at the disposal of the requester
	Back      Phase = "back"     // back in service at the rate for a cold server; still counts as out
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
	Refused   Phase = "refused"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Done || p == Cancelled || p == Refused }

// Reserved reports whether the machines take no new sessions.
func (p Phase) Reserved() bool { return p == Granted || p == Draining || p == Out }

// CountsAsOut reports whether the machines count as out of service.
func (p Phase) CountsAsOut() bool { return p.Reserved() || p == Back }

// Work is a request for work and its progress.
type Work struct {
	ID          uint64  `json:"id"` // the index of the entry that requested it
	Request     Request `json:"ask"`
	From        string  `json:"from"`
	RequestedAt Time    `json:"asked"`
	Phase       Phase   `json:"phase"`
	Since       Time    `json:"since"`
	Deadline    Time    `json:"until,omitempty"`
	Fence       uint64  `json:"fence,omitempty"` // the index of the entry that granted it
	OutAt       Time    `json:"out,omitempty"`   // when it went out of service
	Reason      string  `json:"why,omitempty"`   // of the last change of phase
}

// CommandResult is the result of a command.
type CommandResult struct {
	ID  uint64 `json:"id"`
	Err string `json:"err,omitempty"`
}

// Change is a change of phase of one work, for the log and for the effects that follow.
type Change struct {
	Work      Work
	PrevPhase Phase
	From      string
}

// State is the replicated state after the entries up to Index.
type State struct {
	Format int `json:"v"`
	// Cluster identifies the record: entries of another record are not applied.
	Cluster     string                   `json:"cluster"`
	Index       uint64                   `json:"index"` // of the last entry applied
	Now         Time                     `json:"now"`
	LastGrant   uint64                   `json:"granted"` // index of the last grant
	NewerFormat int                      `json:"newer"`   // the newest unsupported format of an entry; 0: none
	Unreadable  uint64                   `json:"spoilt"`  // number of entries that could not be decoded
	Works       []*Work                  `json:"works"`   // by ID
	Keys        map[string]CommandResult `json:"keys"`
	KeyOrder    []string                 `json:"order"` // the keys of Keys, oldest first
}

// New returns an empty state.
func New() *State { return &State{Format: Format, Keys: map[string]CommandResult{}} }

// Encode encodes an entry. An entry that is too long is rejected here, before it is sent.
func (e Entry) Encode() ([]byte, error) {
	if e.Format == 0 {
		e.Format = Format
	}
	b, err := json.Marshal(e)
	if err == nil && len(b) > MaxEntryBytes {
		err = fmt.Errorf("entry is %d bytes long, at most %d allowed", len(b), MaxEntryBytes)
	}
	return b, err
}

// Decode decodes an entry. newer means that its format is newer than this program supports.
func Decode(b []byte) (e Entry, newer bool, err error) {
	if len(b) > MaxEntryBytes {
		return e, false, fmt.Errorf("entry is %d bytes long, at most %d allowed", len(b), MaxEntryBytes)
	}
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(b, &head); err != nil {
		return e, false, fmt.Errorf("entry: %w", err)
	}
	if head.V > Format {
		return Entry{Format: head.V}, true, nil
	}
	if err := json.Unmarshal(b, &e); err != nil {
		return e, false, fmt.Errorf("entry: %w", err)
	}
	if e.Format < 1 {
		return e, false, errors.New("entry: format number is missing")
	}
	return e, false, nil
}

// Apply applies the entry at an index. The same entries give the same state on every front, whatever their content.
func (s *State) Apply(index uint64, data []byte) []Change {
	if index <= s.Index {
		return nil // duplicate
	}
	s.Index = index
	if len(data) == 0 {
		return nil // empty entry of a new leader
	}
	e, newer, err := Decode(data)
	switch {
	case newer:
		s.NewerFormat = max(s.NewerFormat, e.Format)
		return nil
	case err != nil:
		s.Unreadable++
		return nil
	}
	s.Now = max(s.Now, e.At)
	if _, repeated := s.Keys[e.Key]; repeated && e.Key != "" {
		return nil
	}
	changes, result := s.applyEntry(index, &e)
	if e.Key != "" {
		s.Keys[e.Key] = result
		s.KeyOrder = append(s.KeyOrder, e.Key)
		for len(s.KeyOrder) > maxKeys {
			delete(s.Keys, s.KeyOrder[0])
			s.KeyOrder = s.KeyOrder[1:]
		}
	}
	return changes
}

// Work returns the work with an ID, nil if there is none.
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

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore decodes a snapshot. A newer format is rejected: the state would be incomplete.
func Restore(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Format > Format {
		return nil, fmt.Errorf("snapshot: its format is %d, this program knows %d", s.Format, Format)
	}
	if s.Keys == nil {
		s.Keys = map[string]CommandResult{}
	}
	last := uint64(0)
	for _, w := range s.Works {
		if w == nil || w.ID <= last {
			return nil, errors.New("snapshot: works are not in order of their IDs")
		}
		last = w.ID
	}
	return s, nil
}

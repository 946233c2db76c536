package quorum

import "google.golang.org/protobuf/proto"

// unmarshal decodes a protobuf message.
func unmarshal(b []byte, m proto.Message) error { return proto.Unmarshal(b, m) }

// Identity identifies a voter by its disk. The record lists its voters by ID, and a disk that lost the votes and
// acknowledgements given under an ID must not use that ID again.
//
// A voter that restarts with an empty disk, or with an older copy of its own, has lost its votes and the entries that
// it acknowledged. If it voted again in the same term, there could be two leaders; with its acknowledgements lost,
// committed entries could be undone. So an ID belongs to a disk: an empty disk draws a new ID, which replaces the old
// one in the record. Each start is a new incarnation: the counter on the disk is incremented before any message is
// sent, and the other voters store the latest incarnation of every ID that they have seen. A disk restored from an
// older copy counts up to a number that they know with another nonce, and is treated as empty.
type Identity struct {
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"life"` // number of starts of this disk
	Nonce       uint64 `json:"mark"` // random number of this incarnation
}

// NextIncarnation returns the identity of a new incarnation, to be written and synced before it is sent. An empty disk
// draws a new ID.
func (i Identity) NextIncarnation(random func() uint64) Identity {
	for i.ID == 0 {
		i.ID = random()
	}
	i.Incarnation++
	i.Nonce = random()
	return i
}

// Incarnations holds the latest incarnation seen of each ID.
type Incarnations map[uint64]Identity

// MaxIncarnations limits the IDs stored: few voters are ever replaced.
const MaxIncarnations = 1024

// Record stores a received incarnation. changed reports that l has changed and is to be written to disk; stale reports
// that the incarnation is of a disk restored from an older copy: a later one is known, or another one with the same
// count.
func (l Incarnations) Record(identity Identity) (changed, stale bool) {
	if identity.ID == 0 {
		return false, false
	}
	stored, known := l[identity.ID]
	switch {
	case !known && len(l) >= MaxIncarnations:
		return false, false
	case !known || identity.Incarnation > stored.Incarnation:
		l[identity.ID] = identity
		return true, false
	case identity == stored:
		return false, false
	}
	return false, true
}

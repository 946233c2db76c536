package quorum

import "google.golang.org/protobuf/proto"

func unmarshal(b []byte, m proto.Message) error { return proto.Unmarshal(b, m) }

// Identity is who a voter is: the record's voters are ids, and a disk that lost what was promised in its name must not
// speak under the id that promised it.
//
// Danger: a voter that comes back with an empty disk, or with an old copy of its own, has forgotten whom it voted for
// and which entries it acknowledged. Voting again in that term makes two leaders; its acknowledgements lost make agreed
// entries undone. So a voter's id belongs to its disk (an empty one draws a new id and has the old one replaced), and each
// start is a new life: it counts up on the disk before anything is said, and the others remember the newest life of every
// id that they have seen. A disk that was put back counts up to a number that they know with another mark, and is taken
// for empty.
type Identity struct {
	ID   uint64 `json:"id"`
	Life uint64 `json:"life"` // starts of this disk
	Mark uint64 `json:"mark"` // drawn at random for this life
}

// Begin gives the identity of a new life, to be written and synced before it is told. An empty disk draws its id.
func (i Identity) Begin(draw func() uint64) Identity {
	for i.ID == 0 {
		i.ID = draw()
	}
	i.Life++
	i.Mark = draw()
	return i
}

// Lives remembers the newest life seen of each id.
type Lives map[uint64]Identity

// LivesMost bounds the ids remembered: replaced voters are few.
const LivesMost = 1024

// See takes a life that was told. news says that the memory changed and is to be kept; stale that the life is of a disk
// that was put back: there was a later one, or another by the same count.
func (l Lives) See(i Identity) (news, stale bool) {
	if i.ID == 0 {
		return false, false
	}
	was, known := l[i.ID]
	switch {
	case !known && len(l) >= LivesMost:
		return false, false
	case !known || i.Life > was.Life:
		l[i.ID] = i
		return true, false
	case i == was:
		return false, false
	}
	return false, true
}

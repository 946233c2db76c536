package servers

import "tealledge/policy"

// Ids of set-ups that were written to a server. A client that has left may send its request again, on another
// connection: the id must not run twice.

// sentIDTTL is how long an id is remembered after its first set-up was written. Requests wait for seconds.
const sentIDTTL = 60 * policy.Second

// defaultMaxSentIDs is the number of ids remembered if Config.MaxSentIDs is 0.
const defaultMaxSentIDs = 1 << 16

// sentIDs remembers the ids of the latest set-ups.
type sentIDs struct {
	sentAt map[uint64]Time
	order  []uint64 // keys of sentAt, oldest first
	maxIDs int
}

// newSentIDs returns an empty memory of at most maxIDs ids.
func newSentIDs(maxIDs int) sentIDs {
	if maxIDs <= 0 {
		maxIDs = defaultMaxSentIDs
	}
	return sentIDs{sentAt: map[uint64]Time{}, maxIDs: maxIDs}
}

// add remembers an id.
func (s *sentIDs) add(now Time, session uint64) {
	if _, known := s.sentAt[session]; !known {
		s.order = append(s.order, session)
		s.sentAt[session] = now
	}
	if len(s.order) > s.maxIDs {
		s.removeOldest()
	}
}

// expire forgets the ids that are older than sentIDTTL.
func (s *sentIDs) expire(now Time) {
	for len(s.order) > 0 && now-s.sentAt[s.order[0]] >= sentIDTTL {
		s.removeOldest()
	}
}

func (s *sentIDs) removeOldest() {
	delete(s.sentAt, s.order[0])
	s.order = s.order[1:]
}

// WasSent reports whether a set-up with this id was written to a server in the last minute, as far as that is remembered.
func (p *Protocol) WasSent(session uint64) bool {
	_, sent := p.sent.sentAt[session]
	return sent
}

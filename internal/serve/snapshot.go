package serve

import (
	"context"
	"fmt"

	"tealledge/internal/front"
)

// Snapshot describes the internal state of a front, for tests and the metrics page.
type Snapshot struct {
	front.Stats
	OpenRequests, Sessions, HeldAttempts, UnansweredRequests, QueuePeak int
	ReadyServers                                                        int // servers listed as ready
	PendingCalls, PlayerSessions                                        int // unanswered calls; sessions with a player
	Rejected                                                            uint64
}

func (s *Server) snapshot() Snapshot {
	heldAttempts, unanswered := s.protocol.Counts()
	_, peak, rejected := s.queue.Stats()
	return Snapshot{Stats: s.core.Stats(), OpenRequests: s.core.OpenRequests(), Sessions: s.core.SessionCount(),
		HeldAttempts: heldAttempts, UnansweredRequests: unanswered,
		QueuePeak: peak, ReadyServers: s.core.ReadyServers(), Rejected: rejected,
		PendingCalls: len(s.callsByHandle), PlayerSessions: len(s.callsBySession)}
}

// Inspect returns a snapshot. It fails if the front has left service.
func (s *Server) Inspect(ctx context.Context) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	s.queue.Force(snapshotRequested{reply})
	select {
	case snap := <-reply:
		return snap, nil
	case <-s.finished:
		return Snapshot{}, fmt.Errorf("the front has left service")
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

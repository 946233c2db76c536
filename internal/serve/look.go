package serve

import (
	"context"
	"fmt"

	"tealledge/internal/front"
)

// A look inside, for tests and the metrics page.

// Snapshot is a look inside a front, for tests and the metrics page.
type Snapshot struct {
	front.Stats
	Open, Held, Attempts, Calls, QueuePeak int
	Ready                                  int // servers that are listed ready
	Handles, Kept                          int // calls that wait for an answer, sessions with a player
	TurnedAway                             uint64
}

func (s *Server) snapshot() Snapshot {
	held, calls := s.desk.Counts()
	_, peak, turned := s.queue.Stats()
	return Snapshot{Stats: s.core.Stats(), Open: s.core.OpenRequests(), Held: s.core.SessionCount(), Attempts: held, Calls: calls,
		QueuePeak: peak, Ready: s.core.ReadyServers(), TurnedAway: turned, Handles: len(s.calls), Kept: len(s.byID)}
}

// Inspect gives a snapshot; it fails if the front has left.
func (s *Server) Inspect(ctx context.Context) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	s.queue.Force(inspect{reply})
	select {
	case snap := <-reply:
		return snap, nil
	case <-s.finished:
		return Snapshot{}, fmt.Errorf("the front has left service")
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

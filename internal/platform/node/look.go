package node

import (
	"context"
	"fmt"
	"strings"

	"tealledge/internal/front"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/watch"
)

// A look inside, for logs and tests.

// Snapshot is a look inside a front.
type Snapshot struct {
	front.Stats
	Open, Held, Ready          int
	Attempts, Lines, Links     int
	Conns, Sessions, Recent    int
	Owed, Hosts, Owners, Queue int
	Shed                       uint64 // connections closed as they were accepted
	Pos                        uint64
	Viewers                    viewers.Stats
	Servers                    servers.Stats
	Watch                      watch.Stats
}

func (n *Node) snapshot() (s Snapshot) {
	s.Stats, s.Open, s.Held, s.Ready = n.core.Stats(), n.core.Open(), n.core.Held(), n.core.Ready()
	s.Attempts, s.Lines, s.Links = n.servers.Counts()
	s.Conns, s.Sessions, s.Recent, s.Owed = n.viewers.Counts()
	s.Hosts, s.Owners, s.Pos = n.hosts.len(), len(n.owners), n.watch.Pos()
	s.Queue, _, _ = n.queue.Stats()
	s.Shed = n.clients.shed.Load()
	s.Viewers, s.Servers, s.Watch = n.viewers.Stats, n.servers.Stats, n.watch.Stats
	return s
}

func (n *Node) tell() {
	n.log.Info().Str("state", strings.Trim(fmt.Sprintf("%+v", n.snapshot()), "{}")).Msg("state")
}

// Inspect gives a look inside; it fails if the front has left.
func (n *Node) Inspect(ctx context.Context) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	n.queue.Force(inspect{reply})
	select {
	case s := <-reply:
		return s, nil
	case <-n.done:
		return Snapshot{}, fmt.Errorf("the front has left")
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

package node

import (
	"context"
	"fmt"
	"strings"

	"tealledge/internal/front"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/watch"
	"tealledge/policy"
)

// Snapshot is the internal state of a front, for logs and tests.
//
// Of the core: Open requests, Held sessions and Ready servers. Of the servers' protocol: Attempts (sessions included),
// servers (Lines) and connections to them (Links). Of the viewers' protocol: Conns, Sessions, ids of ended sessions
// (Recent) and ends of sessions that wait for a connection (Owed). Of the node: Hosts in the list, connections with a
// known server (Owners) and items in the Queue. Of viewers' sockets: connections closed on accept (Shed), closed because
// their output was not read (Unread), reads that waited while too much input was unprocessed (ReadWaits), reads of floods
// (FloodReads), and the longest wait of a read.
type Snapshot struct {
	front.Stats
	Open, Held, Ready          int
	Attempts, Lines, Links     int
	Conns, Sessions, Recent    int
	Owed, Hosts, Owners, Queue int
	Shed, Unread               uint64
	ReadWaits, FloodReads      uint64
	LongestReadWaitMs          int64
	Pos                        uint64
	Viewers                    viewers.Stats
	Servers                    servers.Stats
	Watch                      watch.Stats
}

// takeSnapshot returns the current state. It runs on the owner goroutine.
func (n *Node) takeSnapshot() (s Snapshot) {
	s.Stats, s.Open, s.Held, s.Ready = n.core.Stats(), n.core.OpenRequests(), n.core.SessionCount(),
		n.core.ReadyServers()
	s.Attempts, s.Lines, s.Links = n.servers.Counts()
	s.Conns, s.Sessions, s.Recent, s.Owed = n.viewers.Counts()
	s.Hosts, s.Owners, s.Pos = n.serverIDs.len(), len(n.serverByConn), n.follower.Pos()
	s.Queue, _, _ = n.queue.Stats()
	s.Shed, s.Unread = n.clients.rejected.Load(), n.writerCloses
	s.ReadWaits, s.FloodReads = n.clients.gate.waits.Load(), n.clients.gate.turns.Load()
	s.LongestReadWaitMs = n.clients.gate.longestWait.Load() / policy.Millisecond
	s.Viewers, s.Servers, s.Watch = n.viewers.Stats, n.servers.Stats, n.follower.Stats
	return s
}

// logSnapshot logs the current state.
func (n *Node) logSnapshot() {
	n.log.Info().Str("state", strings.Trim(fmt.Sprintf("%+v", n.takeSnapshot()), "{}")).Msg("state")
}

// Inspect returns the current state. It fails if the front has shut down.
func (n *Node) Inspect(ctx context.Context) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	n.queue.Force(snapshotRequested{reply})
	select {
	case s := <-reply:
		return s, nil
	case <-n.done:
		return Snapshot{}, fmt.Errorf("the front has shut down")
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

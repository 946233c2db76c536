package core

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tealledge/internal/fleet/ledger"
)

// Replication to followers: every voter pushes committed entries to its share of the followers until they acknowledge
// them, and a follower that receives nothing requests updates. Reordered and duplicate messages are harmless.

// followerState is the state of requests for updates.
type followerState struct {
	polledAt  Time
	voterTurn int // counts up to take the voters in turn
}

// ack is what a voter knows of one follower.
type ack struct {
	index     uint64 // acknowledged by the follower
	sentAt    Time
	sentIndex uint64 // last index sent
}

// apply applies a committed entry.
func (c *Core) apply(index uint64, data []byte) {
	changes := c.state.Apply(index, data)
	for _, x := range changes {
		c.emit(PhaseChanged{x})
	}
	c.replyToCommands()
	if len(changes) == 0 {
		return
	}
	c.emitReservations()
	c.reportSoon = true
	if c.voter != nil {
		c.voter.plannedAt = 0 // plan at once: waiting work may be granted now
	}
}

// emitReservations emits the servers and fronts that take no new sessions, and the servers that have just come back.
func (c *Core) emitReservations() {
	c.wasFresh = c.Fresh()
	servers, fronts := c.state.Reserved()
	for _, w := range c.state.Works {
		if w.Phase.Reserved() && c.expired(w) {
			for _, p := range w.Request.Servers {
				delete(servers, p.Server)
			}
			for _, f := range w.Request.Fronts {
				delete(fronts, f)
			}
		}
	}
	deadlines := map[uint32]Time{}
	for id, work := range servers {
		switch w := c.state.Work(work); w.Phase {
		case ledger.Granted: // draining starts by w.Deadline at the latest
			deadlines[id] = w.Deadline + c.cfg.Timeouts.DrainTimeout
		case ledger.Draining:
			deadlines[id] = w.Deadline
		default:
			deadlines[id] = w.Since
		}
	}
	c.emit(Reservations{Servers: servers, Deadlines: deadlines, Fronts: fronts, Returned: c.state.Returned()})
}

// expired reports whether work has exceeded its maximum duration on a front that is out of contact, so that it cannot
// learn that the work has ended. Otherwise a permanently partitioned front would never use the machines again. The
// cost: a machine whose work takes longer than requested gets requests from partitioned fronts, at the rate for cold
// servers.
func (c *Core) expired(w *ledger.Work) bool {
	return !c.Fresh() && w.Phase.Reserved() && c.now > w.Since+c.cfg.Timeouts.MaxDuration(w.Request.WorkDuration)
}

// checkExpired logs work that expired within the last tick and emits the reservations without it.
func (c *Core) checkExpired() {
	for _, w := range c.state.Works {
		if deadline := w.Since + c.cfg.Timeouts.MaxDuration(w.Request.WorkDuration); w.Phase.Reserved() &&
			c.now > deadline && c.now <= deadline+TickInterval && c.expired(w) {
			c.log(fmt.Sprintf("work %d has expired: its end was not reported", w.ID))
			c.emitReservations()
		}
	}
}

func (c *Core) tickFollower() {
	if c.now-c.lastContactAt >= pollInterval && c.now-c.follower.polledAt >= retryInterval {
		c.follower.polledAt = c.now
		c.requestUpdates("")
	}
}

// requestUpdates sends a voter this front's index and so requests newer entries. Without a name it takes the voters in
// turn.
func (c *Core) requestUpdates(to string) {
	if to == "" {
		to = c.nextVoter()
	}
	t, index := pb.MsgAppResp, c.state.Index
	if b, err := proto.Marshal(&pb.Message{Type: &t, Index: &index, Context: []byte(c.state.Cluster)}); err == nil {
		c.send(to, msgFetch, b)
	}
}

// nextVoter returns the next live voter in turn.
func (c *Core) nextVoter() string {
	n := len(c.cfg.Voters)
	for range n {
		c.follower.voterTurn++
		if name := c.cfg.Voters[c.follower.voterTurn%n]; name != c.cfg.Name && c.members[name].Alive {
			return name
		}
	}
	return c.cfg.Voters[c.follower.voterTurn%n]
}

// receiveFetch handles the index that a follower has applied.
func (c *Core) receiveFetch(from string, b []byte) {
	m := &pb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		c.countBad(&c.Stats.Unreadable, from, err)
		return
	}
	if c.voter == nil || c.voter.broken || !c.voter.formed || slices.Contains(c.cfg.Voters, from) {
		return
	}
	a := c.voter.acks[from]
	// A follower that repeats its index though nothing newer was sent to it requests a reply even without new entries.
	requestsUpdates := a.index == m.GetIndex() && a.sentIndex <= a.index
	a.index = min(m.GetIndex(), c.state.Index) // it may be ahead of this voter
	if string(m.GetContext()) != c.state.Cluster {
		a.index, a.sentIndex = 0, 0 // it holds another record or none
	}
	c.voter.acks[from] = a
	if a.index < c.state.Index || requestsUpdates {
		c.sendUpdates(from, a.index)
	}
}

// sendUpdates sends a follower the entries after an index.
func (c *Core) sendUpdates(to string, index uint64) {
	t, commit := pb.MsgApp, c.state.Index
	m := &pb.Message{Type: &t, Index: &index, Commit: &commit, Context: []byte(c.state.Cluster)}
	if lead := c.voter.node.Status().Lead; lead != 0 {
		m.From = &lead
	}
	entries, ok := c.voter.node.CommittedEntries(index+1, c.state.Index)
	upTo := index
	if !ok { // compacted: send a snapshot of the state instead
		state, err := c.state.Snapshot()
		if err != nil {
			return
		}
		t, upTo = pb.MsgSnap, c.state.Index
		m.Snapshot = &pb.Snapshot{Data: state, Metadata: &pb.SnapshotMetadata{Index: &upTo, Term: new(uint64)}}
	}
	for _, e := range entries {
		x := &pb.Entry{Index: e.Index, Term: e.Term}
		if e.GetType() == pb.EntryNormal {
			x.Data = e.Data
		}
		m.Entries = append(m.Entries, x)
		upTo = e.GetIndex()
	}
	if b, err := proto.Marshal(m); err == nil {
		c.send(to, msgUpdate, b)
		a := c.voter.acks[to]
		a.sentIndex, a.sentAt = max(a.sentIndex, upTo), c.now
		c.voter.acks[to] = a
	}
}

// pushUpdates sends new entries to this voter's share of the followers.
func (c *Core) pushUpdates() {
	v := c.voter
	if !v.formed || v.broken {
		return
	}
	var voters []string
	for _, name := range c.cfg.Voters {
		if name == c.cfg.Name || c.members[name].Alive {
			voters = append(voters, name)
		}
	}
	share := slices.Index(voters, c.cfg.Name)
	for name := range v.acks {
		if !c.members[name].Alive {
			delete(v.acks, name)
		}
	}
	for name, m := range c.members {
		if !m.Alive {
			continue
		}
		if slices.Contains(c.cfg.Voters, name) || int(nameHash(name))%len(voters) != share {
			continue
		}
		a := v.acks[name]
		if a.index >= c.state.Index || a.sentIndex >= c.state.Index && c.now-a.sentAt < pushInterval {
			continue
		}
		c.sendUpdates(name, a.index)
	}
}

// receiveUpdate handles entries or a snapshot from a voter.
func (c *Core) receiveUpdate(from string, b []byte) {
	message := &pb.Message{}
	if err := proto.Unmarshal(b, message); err != nil {
		c.countBad(&c.Stats.Unreadable, from, err)
		return
	}
	if !slices.Contains(c.cfg.Voters, from) || c.voter != nil {
		c.countBad(&c.Stats.Strangers, from, fmt.Errorf("updates are sent by voters to followers only"))
		return
	}
	previous, otherRecord := c.state.Index, string(message.GetContext()) != c.state.Cluster
	if s := message.GetSnapshot(); s != nil && (s.GetMetadata().GetIndex() > c.state.Index || otherRecord) {
		if err := c.restoreSnapshot(s); err != nil {
			c.countBad(&c.Stats.Misplaced, from, err)
			return
		}
	} else if otherRecord { // entries of another record than this front's: fetch its state first
		c.requestUpdates(from)
		return
	}
	for _, e := range message.GetEntries() {
		if e.GetIndex() <= c.state.Index {
			continue
		}
		if e.GetIndex() != c.state.Index+1 {
			break // an earlier message was lost: its entries are requested below
		}
		c.apply(e.GetIndex(), e.GetData())
	}
	c.lastContactAt = c.now
	if lead := c.voterName(message.GetFrom()); lead != "" {
		c.leaderName = lead
	}
	if c.state.Index != previous {
		c.storeState()
	}
	if c.state.Index != previous || message.GetCommit() > c.state.Index {
		c.requestUpdates(from)
	}
}

// restoreSnapshot replaces a follower's state by a snapshot.
func (c *Core) restoreSnapshot(snap *pb.Snapshot) error {
	s, err := ledger.Restore(snap.GetData())
	if err != nil {
		return err
	}
	s.Index = max(s.Index, snap.GetMetadata().GetIndex())
	if c.state.Cluster != "" && s.Cluster != c.state.Cluster {
		c.log(fmt.Sprintf("the fleet's record is %s now, it was %s", s.Cluster, c.state.Cluster))
	}
	c.state = s
	c.replyToCommands()
	c.emitReservations()
	c.reportSoon = true
	return nil
}

// storeState writes a follower's state to disk for its next start.
func (c *Core) storeState() {
	if b, err := c.state.Snapshot(); err == nil {
		c.emit(Write{State: b})
	}
}

// Package quorum replicates entries between the voters of a fleet in the same order. It wraps etcd's raft library as a
// pure state machine: events in, effects out. It owns no socket, disk or clock: the caller writes to disk what Ready
// returns, then sends it, then applies it, and then calls Advance. It may import the raft library only.
package quorum

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Timeouts of a voter in ticks. With a tick of 100 ms the loss of a leader is detected after 1 to 2 s.
const (
	ElectionTicks  = 10
	HeartbeatTicks = 2
)

// Limits on stored entries and messages in flight.
const (
	maxMessageBytes     = 256 << 10
	maxUncommittedBytes = 4 << 20
	maxInflight         = 64
	// KeepEntries is the number of applied entries kept behind a snapshot, for followers that lag slightly.
	KeepEntries = 256
	// EntriesPerSnapshot is the number of entries applied between two snapshots.
	EntriesPerSnapshot = 512
)

// Disk is the data that a voter has on disk.
type Disk struct {
	Hard    *pb.HardState
	Snap    *pb.Snapshot
	Entries []*pb.Entry
}

// Empty reports whether the disk holds no data.
func (d *Disk) Empty() bool {
	return d == nil || raft.IsEmptyHardState(d.Hard) && len(d.Entries) == 0 &&
		(d.Snap == nil || raft.IsEmptySnap(d.Snap))
}

// Node is one voter. It is not safe for use by several goroutines.
type Node struct {
	id            uint64
	raw           *raft.RawNode
	store         *raft.MemoryStorage
	confState     *pb.ConfState
	lead          uint64
	sinceSnapshot uint64 // entries applied since the last snapshot
	// silent keeps a voter out of elections until it is confirmed that no later incarnation of its disk is known.
	silent bool
}

// Effects are what the caller carries out: write Hard, Snap and Entries to disk, synced if Sync is set; then send
// Messages; then restore the state from Snap and apply Committed; then call Advance.
type Effects struct {
	Hard      *pb.HardState
	Snap      *pb.Snapshot
	Entries   []*pb.Entry
	Sync      bool
	Messages  []*pb.Message
	Committed []*pb.Entry
	ready     raft.Ready
}

// InitialDisk returns the record that a new fleet starts from: its voters and its first state. Voters with an empty
// disk receive it from the voter that formed it.
func InitialDisk(voters []uint64, state []byte) *Disk {
	one := uint64(1)
	return &Disk{Hard: &pb.HardState{Term: &one, Vote: new(uint64), Commit: &one},
		Snap: &pb.Snapshot{Data: state, Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: voters},
			Index: &one, Term: &one}}}
}

// New creates a voter from the data on its disk. A voter with an empty disk waits until it receives the record.
func New(id uint64, disk *Disk, log raft.Logger) (n *Node, err error) {
	defer recoverPanic(&err)
	if id == 0 {
		return nil, errors.New("quorum: voter has no ID")
	}
	n = &Node{id: id, store: raft.NewMemoryStorage(), confState: &pb.ConfState{}}
	applied := uint64(0)
	if !disk.Empty() {
		if disk.Snap != nil && !raft.IsEmptySnap(disk.Snap) {
			if err := n.store.ApplySnapshot(disk.Snap); err != nil {
				return nil, fmt.Errorf("quorum: snapshot: %w", err)
			}
			applied = disk.Snap.GetMetadata().GetIndex()
			n.confState = disk.Snap.GetMetadata().GetConfState()
		}
		for i, e := range disk.Entries {
			if e.GetIndex() != disk.Entries[0].GetIndex()+uint64(i) || e.GetIndex() > applied+1+uint64(i) {
				return nil, fmt.Errorf("quorum: gap in the log before entry %d", e.GetIndex())
			}
		}
		if err := n.store.Append(disk.Entries); err != nil {
			return nil, fmt.Errorf("quorum: log: %w", err)
		}
		if disk.Hard != nil {
			last, _ := n.store.LastIndex()
			if disk.Hard.GetCommit() > last {
				return nil, fmt.Errorf("quorum: the log ends at entry %d, but entry %d was committed",
					last, disk.Hard.GetCommit())
			}
			n.store.SetHardState(disk.Hard)
		}
	}
	n.raw, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: ElectionTicks, HeartbeatTick: HeartbeatTicks,
		Storage: n.store, Applied: applied, MaxSizePerMsg: maxMessageBytes, MaxCommittedSizePerReady: maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: maxInflight,
		CheckQuorum: true, PreVote: true, Logger: log})
	return n, err
}

// recoverPanic turns a panic of the raft library into an error. The library panics on the data of a damaged disk or
// message; this must end only the voter's participation in the fleet, not the front's service.
func recoverPanic(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("quorum: %v", r)
	}
}

// SetSilent sets whether this voter stays out of elections.
func (n *Node) SetSilent(on bool) { n.silent = on }

// Silent reports whether this voter stays out of elections.
func (n *Node) Silent() bool { return n.silent }

// Tick advances the time by one tick.
func (n *Node) Tick() (err error) {
	defer recoverPanic(&err)
	if !n.silent {
		n.raw.Tick()
	}
	return nil
}

// Step handles a message from another voter. A message for another ID is rejected: it may be for the ID that this voter
// had before it lost its disk.
func (n *Node) Step(m *pb.Message) (err error) {
	defer recoverPanic(&err)
	if m.GetTo() != n.id {
		return fmt.Errorf("quorum: message for voter %x, this is %x", m.GetTo(), n.id)
	}
	if n.silent {
		return nil // no votes or acknowledgements: they may contradict those of an earlier incarnation
	}
	err = n.raw.Step(m)
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil // the proposer tries again, or the peer was replaced
	}
	return err
}

// Propose forwards an entry to the leader. An error means that it was not accepted; without one it may still be lost.
func (n *Node) Propose(data []byte) (err error) {
	defer recoverPanic(&err)
	if n.silent {
		return raft.ErrProposalDropped
	}
	return n.raw.Propose(data)
}

// Replace proposes to replace a voter's old ID by its new one. It has an effect only on the leader.
func (n *Node) Replace(oldID, newID uint64) (err error) {
	defer recoverPanic(&err)
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	cc := &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &add, NodeId: &newID}}}
	if oldID != 0 {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &remove, NodeId: &oldID})
	}
	return n.raw.ProposeConfChange(cc)
}

// Ready returns the effects to carry out; ok is false if there are none.
func (n *Node) Ready() (effects Effects, ok bool, err error) {
	defer recoverPanic(&err)
	if !n.raw.HasReady() {
		return effects, false, nil
	}
	r := n.raw.Ready()
	if r.SoftState != nil {
		n.lead = r.SoftState.Lead
	}
	effects = Effects{Entries: r.Entries, Sync: r.MustSync, Messages: r.Messages, ready: r}
	if !raft.IsEmptyHardState(r.HardState) {
		effects.Hard = r.HardState
	}
	if r.Snapshot != nil && !raft.IsEmptySnap(r.Snapshot) {
		effects.Snap = r.Snapshot
	}
	for _, e := range r.CommittedEntries {
		n.sinceSnapshot++
		switch e.GetType() {
		case pb.EntryConfChange, pb.EntryConfChangeV2:
			if cc, err := decodeConfChange(e); err == nil {
				n.confState = n.raw.ApplyConfChange(cc)
				// Snapshot at once: a voter is only sent a snapshot that lists it as a voter.
				n.sinceSnapshot = EntriesPerSnapshot
			}
			// It counts as an entry but holds no data for the ledger.
			effects.Committed = append(effects.Committed, &pb.Entry{Index: e.Index, Term: e.Term})
		default:
			effects.Committed = append(effects.Committed, e)
		}
	}
	return effects, true, nil
}

// decodeConfChange decodes a change of the voters.
func decodeConfChange(e *pb.Entry) (pb.ConfChangeI, error) {
	if e.GetType() == pb.EntryConfChange {
		cc := &pb.ConfChange{}
		return cc, unmarshal(e.GetData(), cc)
	}
	cc := &pb.ConfChangeV2{}
	return cc, unmarshal(e.GetData(), cc)
}

// Advance confirms that the effects returned by Ready were carried out.
func (n *Node) Advance(effects Effects) (err error) {
	defer recoverPanic(&err)
	if effects.Snap != nil {
		if err := n.store.ApplySnapshot(effects.Snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		n.confState, n.sinceSnapshot = effects.Snap.GetMetadata().GetConfState(), 0
	}
	if err := n.store.Append(effects.Entries); err != nil {
		return err
	}
	if effects.Hard != nil {
		n.store.SetHardState(effects.Hard)
	}
	n.raw.Advance(effects.ready)
	return nil
}

// Compact makes a snapshot of the state at an index if one is due, and deletes the entries that it covers except the
// newest KeepEntries. first is the index of the first entry kept; the snapshot is nil if none was due.
func (n *Node) Compact(index uint64, state func() ([]byte, error)) (snap *pb.Snapshot, first uint64, err error) {
	defer recoverPanic(&err)
	if n.sinceSnapshot < EntriesPerSnapshot {
		return nil, 0, nil
	}
	data, err := state()
	if err != nil {
		return nil, 0, err
	}
	if snap, err = n.store.CreateSnapshot(index, n.confState, data); err != nil {
		return nil, 0, err
	}
	n.sinceSnapshot = 0
	if index > KeepEntries {
		if err := n.store.Compact(index - KeepEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, 0, err
		}
	}
	first, err = n.store.FirstIndex()
	return snap, first, err
}

// CommittedEntries returns entries from an index on, as many as fit into a message; ok is false if they were compacted.
func (n *Node) CommittedEntries(from, upTo uint64) (list []*pb.Entry, ok bool) {
	if from > upTo {
		return nil, true
	}
	list, err := n.store.Entries(from, upTo+1, maxMessageBytes)
	return list, err == nil
}

// Status is the state of a voter.
type Status struct {
	ID, Lead, Term, Commit, Applied uint64
	IsLeader, Silent                bool
	Voters                          []uint64
}

// Status returns the state of this voter.
func (n *Node) Status() Status {
	s := n.raw.BasicStatus()
	return Status{ID: n.id, Lead: s.Lead, Term: s.GetTerm(), Commit: s.GetCommit(), Applied: s.Applied,
		IsLeader: s.RaftState == raft.StateLeader, Silent: n.silent, Voters: n.confState.GetVoters()}
}

// SnapshotSent reports to raft that a snapshot was sent.
func (n *Node) SnapshotSent(id uint64) { n.raw.ReportSnapshot(id, raft.SnapshotFinish) }

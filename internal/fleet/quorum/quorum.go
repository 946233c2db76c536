// Package quorum brings the voters of a fleet to the same entries in the same order: etcd's raft behind a face of events
// in and effects out. It owns no socket, disk or clock: what Ready gives is written to disk, then sent, then applied by the
// caller, who then calls Done. It may import the raft library only.
package quorum

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Ticks of a voter. With a tick of 100 ms a leader is missed after 1 to 2 s.
const (
	ElectionTicks  = 10
	HeartbeatTicks = 2
)

// Bounds on what is kept or under way.
const (
	messageBytes     = 256 << 10
	uncommittedBytes = 4 << 20
	inflightMost     = 64
	// KeepEntries is how many applied entries are kept behind a snapshot, for followers that are a little behind.
	KeepEntries = 256
	// SnapshotEvery is how many entries are applied between two snapshots.
	SnapshotEvery = 512
)

// Disk is what a voter has on disk.
type Disk struct {
	Hard    *pb.HardState
	Snap    *pb.Snapshot
	Entries []*pb.Entry
}

// Empty tells of a disk that holds nothing.
func (d *Disk) Empty() bool {
	return d == nil || raft.IsEmptyHardState(d.Hard) && len(d.Entries) == 0 && (d.Snap == nil || raft.IsEmptySnap(d.Snap))
}

// Node is one voter. It is not safe for use by several goroutines.
type Node struct {
	id    uint64
	raw   *raft.RawNode
	store *raft.MemoryStorage
	conf  *pb.ConfState
	lead  uint64
	since uint64 // entries applied since the last snapshot
	// silent keeps a voter from taking part in elections until it is known that its disk is the newest there was.
	silent bool
}

// Out is what the caller is to do: write Hard, Snap and Entries to disk, synced if Sync says so; then send Messages; then
// take over Snap and apply Committed; then call Done.
type Out struct {
	Hard      *pb.HardState
	Snap      *pb.Snapshot
	Entries   []*pb.Entry
	Sync      bool
	Messages  []*pb.Message
	Committed []*pb.Entry
	ready     raft.Ready
}

// First is the record that a new fleet starts from: its voters, and the first state. Every voter that has nothing gets it
// from whoever formed it.
func First(voters []uint64, state []byte) *Disk {
	one := uint64(1)
	return &Disk{Hard: &pb.HardState{Term: &one, Vote: new(uint64), Commit: &one},
		Snap: &pb.Snapshot{Data: state, Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: voters}, Index: &one, Term: &one}}}
}

// New makes a voter from what its disk holds. A voter with an empty disk waits to be given the record.
func New(id uint64, disk *Disk, log raft.Logger) (n *Node, err error) {
	defer guard(&err)
	if id == 0 {
		return nil, errors.New("quorum: a voter without an id")
	}
	n = &Node{id: id, store: raft.NewMemoryStorage(), conf: &pb.ConfState{}}
	applied := uint64(0)
	if !disk.Empty() {
		if disk.Snap != nil && !raft.IsEmptySnap(disk.Snap) {
			if err := n.store.ApplySnapshot(disk.Snap); err != nil {
				return nil, fmt.Errorf("quorum: snapshot: %w", err)
			}
			applied = disk.Snap.GetMetadata().GetIndex()
			n.conf = disk.Snap.GetMetadata().GetConfState()
		}
		for i, e := range disk.Entries {
			if e.GetIndex() != disk.Entries[0].GetIndex()+uint64(i) || e.GetIndex() > applied+1+uint64(i) {
				return nil, fmt.Errorf("quorum: a gap in the log before entry %d", e.GetIndex())
			}
		}
		if err := n.store.Append(disk.Entries); err != nil {
			return nil, fmt.Errorf("quorum: log: %w", err)
		}
		if disk.Hard != nil {
			last, _ := n.store.LastIndex()
			if disk.Hard.GetCommit() > last {
				return nil, fmt.Errorf("quorum: the log ends at %d, %d was committed", last, disk.Hard.GetCommit())
			}
			n.store.SetHardState(disk.Hard)
		}
	}
	n.raw, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: ElectionTicks, HeartbeatTick: HeartbeatTicks, Storage: n.store,
		Applied: applied, MaxSizePerMsg: messageBytes, MaxCommittedSizePerReady: messageBytes, MaxUncommittedEntriesSize: uncommittedBytes,
		MaxInflightMsgs: inflightMost, CheckQuorum: true, PreVote: true, Logger: log})
	return n, err
}

// guard turns a panic of the library into an error: it panics on what a damaged disk or message brings, and that is to
// cost this voter its part in the fleet, not the front its service.
func guard(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("quorum: %v", r)
	}
}

// Silence sets whether this voter keeps out of elections.
func (n *Node) Silence(on bool) { n.silent = on }

// Silent tells whether it does.
func (n *Node) Silent() bool { return n.silent }

// Tick lets one tick pass.
func (n *Node) Tick() (err error) {
	defer guard(&err)
	if !n.silent {
		n.raw.Tick()
	}
	return nil
}

// Step takes a message of another voter. What is meant for another is refused: this voter's earlier life had another id.
func (n *Node) Step(m *pb.Message) (err error) {
	defer guard(&err)
	if m.GetTo() != n.id {
		return fmt.Errorf("quorum: a message for %x, this is %x", m.GetTo(), n.id)
	}
	if n.silent {
		return nil // neither votes nor acknowledges: both may contradict what an earlier life said
	}
	err = n.raw.Step(m)
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil // the proposer asks again; the peer was replaced
	}
	return err
}

// Propose hands an entry to the leader. An error tells that it was not taken; without one it may still come to nothing.
func (n *Node) Propose(data []byte) (err error) {
	defer guard(&err)
	if n.silent {
		return raft.ErrProposalDropped
	}
	return n.raw.Propose(data)
}

// Replace has a voter's old id replaced by its new one. Only the leader's call has an effect.
func (n *Node) Replace(was, now uint64) (err error) {
	defer guard(&err)
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	cc := &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &add, NodeId: &now}}}
	if was != 0 {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &remove, NodeId: &was})
	}
	return n.raw.ProposeConfChange(cc)
}

// Ready gives what is to be done; ok is false if nothing is.
func (n *Node) Ready() (out Out, ok bool, err error) {
	defer guard(&err)
	if !n.raw.HasReady() {
		return out, false, nil
	}
	r := n.raw.Ready()
	if r.SoftState != nil {
		n.lead = r.SoftState.Lead
	}
	out = Out{Entries: r.Entries, Sync: r.MustSync, Messages: r.Messages, ready: r}
	if !raft.IsEmptyHardState(r.HardState) {
		out.Hard = r.HardState
	}
	if r.Snapshot != nil && !raft.IsEmptySnap(r.Snapshot) {
		out.Snap = r.Snapshot
	}
	for _, e := range r.CommittedEntries {
		n.since++
		switch e.GetType() {
		case pb.EntryConfChange, pb.EntryConfChangeV2:
			if cc, err := readChange(e); err == nil {
				n.conf = n.raw.ApplyConfChange(cc)
				n.since = SnapshotEvery // a voter is only given a snapshot that names it
			}
			// It counts as an entry, but holds nothing for the ledger.
			out.Committed = append(out.Committed, &pb.Entry{Index: e.Index, Term: e.Term})
		default:
			out.Committed = append(out.Committed, e)
		}
	}
	return out, true, nil
}

func readChange(e *pb.Entry) (pb.ConfChangeI, error) {
	if e.GetType() == pb.EntryConfChange {
		cc := &pb.ConfChange{}
		return cc, unmarshal(e.GetData(), cc)
	}
	cc := &pb.ConfChangeV2{}
	return cc, unmarshal(e.GetData(), cc)
}

// Done tells that what Ready gave is done.
func (n *Node) Done(out Out) (err error) {
	defer guard(&err)
	if out.Snap != nil {
		if err := n.store.ApplySnapshot(out.Snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		n.conf, n.since = out.Snap.GetMetadata().GetConfState(), 0
	}
	if err := n.store.Append(out.Entries); err != nil {
		return err
	}
	if out.Hard != nil {
		n.store.SetHardState(out.Hard)
	}
	n.raw.Advance(out.ready)
	return nil
}

// Compact makes a snapshot of the state at an index if it is time, and forgets the entries that it stands for, all but the
// newest KeepEntries. first is the index of the first entry kept; the snapshot is nil if it was not time.
func (n *Node) Compact(index uint64, state func() ([]byte, error)) (snap *pb.Snapshot, first uint64, err error) {
	defer guard(&err)
	if n.since < SnapshotEvery {
		return nil, 0, nil
	}
	data, err := state()
	if err != nil {
		return nil, 0, err
	}
	if snap, err = n.store.CreateSnapshot(index, n.conf, data); err != nil {
		return nil, 0, err
	}
	n.since = 0
	if index > KeepEntries {
		if err := n.store.Compact(index - KeepEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, 0, err
		}
	}
	first, err = n.store.FirstIndex()
	return snap, first, err
}

// Committed gives entries from an index on, as many as a message holds; ok is false if they are not kept any more.
func (n *Node) Committed(from, upTo uint64) (list []*pb.Entry, ok bool) {
	if from > upTo {
		return nil, true
	}
	list, err := n.store.Entries(from, upTo+1, messageBytes)
	return list, err == nil
}

// Status is a look inside.
type Status struct {
	ID, Lead, Term, Commit, Applied uint64
	Leads, Silent                   bool
	Voters                          []uint64
}

// Status tells how things stand.
func (n *Node) Status() Status {
	s := n.raw.BasicStatus()
	return Status{ID: n.id, Lead: s.Lead, Term: s.GetTerm(), Commit: s.GetCommit(), Applied: s.Applied,
		Leads: s.RaftState == raft.StateLeader, Silent: n.silent, Voters: n.conf.GetVoters()}
}

// SnapshotSent tells that a snapshot has left.
func (n *Node) SnapshotSent(id uint64) { n.raw.ReportSnapshot(id, raft.SnapshotFinish) }

package core

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tealledge/internal/fleet/ledger"
)

// How fronts that do not vote come to know what was agreed: every voter sends what is new to its share of them until they
// say that they have it, and a front that hears nothing asks. What arrives out of order or twice does no harm.

type follow struct {
	pollAt Time
	turn   int
}

type ack struct {
	index  uint64
	sentAt Time
	sent   uint64 // up to this index
}

// apply takes an agreed entry.
func (c *Core) apply(index uint64, data []byte) {
	changes := c.state.Apply(index, data)
	for _, x := range changes {
		c.do(Changed{x})
	}
	c.answerCommands()
	if len(changes) == 0 {
		return
	}
	c.keeps()
	c.partSoon = true
	if c.voter != nil {
		c.voter.planAt = 0 // what waits may be able to go now
	}
}

// keeps tells the front what it is to keep free, and what has just come back.
func (c *Core) keeps() {
	c.fresh = c.Fresh()
	servers, fronts := c.state.Kept()
	for _, w := range c.state.Works {
		if w.Phase.Kept() && c.lapsed(w) {
			for _, p := range w.Ask.Servers {
				delete(servers, p.Server)
			}
			for _, f := range w.Ask.Fronts {
				delete(fronts, f)
			}
		}
	}
	until := map[uint32]Time{}
	for id, work := range servers {
		switch w := c.state.Work(work); w.Phase {
		case ledger.Granted: // draining begins by then, at the latest
			until[id] = w.Until + c.cfg.Times.DrainTimeout
		case ledger.Draining:
			until[id] = w.Until
		default:
			until[id] = w.Since
		}
	}
	c.do(Keeps{Servers: servers, Until: until, Fronts: fronts, Returned: c.state.Returned()})
}

// lapsed tells whether work must long be over by what this front knows, though it heard nothing of its end. Danger: a
// front that is cut off for good would never use the machines again. Harm: one whose work took longer than agreed gets
// requests, at a pace for cold servers, from fronts that are cut off.
func (c *Core) lapsed(w *ledger.Work) bool {
	return !c.Fresh() && w.Phase.Kept() && c.now > w.Since+c.cfg.Times.MaxDuration(w.Ask.For)
}

// lapse looks at what has lapsed once in a while.
func (c *Core) lapse() {
	for _, w := range c.state.Works {
		if over := w.Since + c.cfg.Times.MaxDuration(w.Ask.For); w.Phase.Kept() && c.now > over && c.now <= over+TickEvery && c.lapsed(w) {
			c.note(fmt.Sprintf("work %d has lapsed: nothing was heard of its end", w.ID))
			c.keeps()
		}
	}
}

func (c *Core) tickFollow() {
	if c.now-c.heard >= pollEvery && c.now-c.follow.pollAt >= askEvery {
		c.follow.pollAt = c.now
		c.fetch("")
	}
}

// fetch tells a voter how far this front has come, and so asks for what is new: the one given, or one after another.
func (c *Core) fetch(to string) {
	if to == "" {
		to = c.someVoter()
	}
	t, index := pb.MsgAppResp, c.state.Index
	if b, err := proto.Marshal(&pb.Message{Type: &t, Index: &index, Context: []byte(c.state.Cluster)}); err == nil {
		c.send(to, msgFetch, b)
	}
}

// someVoter gives a voter that is here, another each time.
func (c *Core) someVoter() string {
	n := len(c.cfg.Voters)
	for range n {
		c.follow.turn++
		if name := c.cfg.Voters[c.follow.turn%n]; name != c.cfg.Me && c.members[name].Alive {
			return name
		}
	}
	return c.cfg.Voters[c.follow.turn%n]
}

// fetched is a follower that tells how far it has come.
func (c *Core) fetched(from string, b []byte) {
	m := &pb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		c.bad(&c.Stats.Unreadable, from, err)
		return
	}
	if c.voter == nil || c.voter.broken || !c.voter.formed || slices.Contains(c.cfg.Voters, from) {
		return
	}
	a := c.voter.acked[from]
	asked := a.index == m.GetIndex() && a.sent <= a.index // it has heard nothing new: it wants to know that there is nothing
	a.index = min(m.GetIndex(), c.state.Index)            // it may have heard more than this voter
	if string(m.GetContext()) != c.state.Cluster {
		a.index, a.sent = 0, 0 // it knows nothing of this record
	}
	c.voter.acked[from] = a
	if a.index < c.state.Index || asked {
		c.agreed(from, a.index)
	}
}

// agreed sends a follower what came after an index.
func (c *Core) agreed(to string, index uint64) {
	t, commit := pb.MsgApp, c.state.Index
	m := &pb.Message{Type: &t, Index: &index, Commit: &commit, Context: []byte(c.state.Cluster)}
	if lead := c.voter.node.Status().Lead; lead != 0 {
		m.From = &lead
	}
	entries, ok := c.voter.node.Committed(index+1, c.state.Index)
	upTo := index
	if !ok { // compacted: the state stands for them
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
		c.send(to, msgAgreed, b)
		a := c.voter.acked[to]
		a.sent, a.sentAt = max(a.sent, upTo), c.now
		c.voter.acked[to] = a
	}
}

// push sends what is new to this voter's share of the followers.
func (c *Core) push() {
	v := c.voter
	if !v.formed || v.broken {
		return
	}
	var voters []string
	for _, name := range c.cfg.Voters {
		if name == c.cfg.Me || c.members[name].Alive {
			voters = append(voters, name)
		}
	}
	share := slices.Index(voters, c.cfg.Me)
	for name := range v.acked {
		if !c.members[name].Alive {
			delete(v.acked, name)
		}
	}
	for name, m := range c.members {
		if !m.Alive {
			continue
		}
		if slices.Contains(c.cfg.Voters, name) || int(nameHash(name))%len(voters) != share {
			continue
		}
		a := v.acked[name]
		if a.index >= c.state.Index || a.sent >= c.state.Index && c.now-a.sentAt < pushEvery {
			continue
		}
		c.agreed(name, a.index)
	}
}

// hearAgreed takes what a voter sent.
func (c *Core) hearAgreed(from string, b []byte) {
	m := &pb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		c.bad(&c.Stats.Unreadable, from, err)
		return
	}
	if !slices.Contains(c.cfg.Voters, from) || c.voter != nil {
		c.bad(&c.Stats.Strangers, from, fmt.Errorf("what was agreed is told by voters to followers"))
		return
	}
	was, other := c.state.Index, string(m.GetContext()) != c.state.Cluster
	if s := m.GetSnapshot(); s != nil && (s.GetMetadata().GetIndex() > c.state.Index || other) {
		if err := c.takeSnapshot(s); err != nil {
			c.bad(&c.Stats.Misplaced, from, err)
			return
		}
	} else if other { // entries of another record than this front knows: its state first
		c.fetch(from)
		return
	}
	for _, e := range m.GetEntries() {
		if e.GetIndex() <= c.state.Index {
			continue
		}
		if e.GetIndex() != c.state.Index+1 {
			break // a part before it was lost: asked for below
		}
		c.apply(e.GetIndex(), e.GetData())
	}
	c.heard = c.now
	if lead := c.named(m.GetFrom()); lead != "" {
		c.lead = lead
	}
	if c.state.Index != was {
		c.keepState()
	}
	if c.state.Index != was || m.GetCommit() > c.state.Index {
		c.fetch(from)
	}
}

func (c *Core) takeSnapshot(snap *pb.Snapshot) error {
	s, err := ledger.Restore(snap.GetData())
	if err != nil {
		return err
	}
	s.Index = max(s.Index, snap.GetMetadata().GetIndex())
	if c.state.Cluster != "" && s.Cluster != c.state.Cluster {
		c.note(fmt.Sprintf("the fleet's record is %s now, it was %s", s.Cluster, c.state.Cluster))
	}
	c.state = s
	c.answerCommands()
	c.keeps()
	c.partSoon = true
	return nil
}

// keepState has a follower's state kept for its next start.
func (c *Core) keepState() {
	if b, err := c.state.Snapshot(); err == nil {
		c.do(Write{State: b})
	}
}

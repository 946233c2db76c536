package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/quorum"
)

// A voter: how it starts, with the disk that it finds, and how the first record comes to be.

type voter struct {
	me     quorum.Identity
	lives  quorum.Lives
	node   *quorum.Node
	formed bool // the record is here
	// asked is who has said that it knows no later life of this disk; enough of them let it take part.
	asked    map[string]bool
	askAt    Time
	planAt   Time
	broken   bool // the library gave up: this front follows no more, and serves on
	replaced map[uint64]Time
	acked    map[string]ack // followers of this voter's share
}

// life is what a voter asks of its disk, and is told.
type life struct {
	Identity quorum.Identity `json:"i"`
	Stale    bool            `json:"stale,omitempty"` // there was a later life of that disk
	Formed   bool            `json:"formed,omitempty"`
}

func (c *Core) startVoter(start Start) error {
	v := &voter{lives: start.Lives, asked: map[string]bool{}, replaced: map[uint64]Time{}, acked: map[string]ack{}}
	if v.lives == nil {
		v.lives = quorum.Lives{}
	}
	c.voter = v
	disk := start.Disk
	if start.Identity.ID == 0 {
		if !disk.Empty() {
			return errors.New("fleet: the disk holds a record, but not whose it is")
		}
		disk = nil
	} else if c.named(start.Identity.ID) != c.cfg.Me {
		return fmt.Errorf("fleet: the disk is that of voter %q, this is %q", c.named(start.Identity.ID), c.cfg.Me)
	}
	return c.begin(start.Identity, disk)
}

// begin starts a life of this voter, on the record that its disk holds.
func (c *Core) begin(was quorum.Identity, disk *quorum.Disk) error {
	v := c.voter
	v.me = was.Begin(func() uint64 { return voterID(c.cfg.Me, c.cfg.Draw()) })
	id := v.me
	c.do(Write{Identity: &id})
	if err := c.load(disk); err != nil {
		return err
	}
	v.node.Silence(true)
	v.asked, v.askAt = map[string]bool{}, 0
	c.tellMeta()
	c.ready() // what its own disk says was agreed
	return nil
}

// load makes the node from a record.
func (c *Core) load(disk *quorum.Disk) (err error) {
	v := c.voter
	v.formed = !disk.Empty()
	c.state = ledger.New()
	if v.formed && disk.Snap != nil {
		if c.state, err = ledger.Restore(disk.Snap.GetData()); err != nil {
			return err
		}
		c.state.Index = max(c.state.Index, disk.Snap.GetMetadata().GetIndex())
	}
	v.node, err = quorum.New(v.me.ID, disk, c.cfg.Log)
	return err
}

// tellMeta tells all others what this front is now.
func (c *Core) tellMeta() {
	m := Meta{Format: ledger.Format, Zone: c.cfg.Zone}
	if v := c.voter; v != nil {
		id := v.me
		m.Identity, m.Formed = &id, v.formed
	}
	c.do(Tell{m})
}

// metaChanged looks at what the other voters tell of themselves: their lives are remembered before anything else.
func (c *Core) metaChanged() {
	v := c.voter
	if v == nil {
		return
	}
	for _, name := range c.cfg.Voters {
		if m, ok := c.members[name]; ok && name != c.cfg.Me && m.Meta.Identity != nil {
			c.sees(*m.Meta.Identity, name)
		}
	}
}

// sees remembers a life, on disk before it is acted on, and tells whether it is of a disk that was put back.
func (c *Core) sees(i quorum.Identity, name string) (stale bool) {
	if c.named(i.ID) != name {
		return false
	}
	news, stale := c.voter.lives.See(i)
	if news {
		lives := quorum.Lives{}
		for id, x := range c.voter.lives {
			lives[id] = x
		}
		c.do(Write{Lives: lives})
	}
	return stale
}

func (c *Core) others() (list []string) {
	for _, name := range c.cfg.Voters {
		if name != c.cfg.Me {
			list = append(list, name)
		}
	}
	return list
}

func (c *Core) tickVoter() {
	v := c.voter
	if v.broken {
		return
	}
	if (v.node.Silent() || !v.formed) && c.now-v.askAt >= askEvery { // the first record needs the word of all
		v.askAt = c.now
		for _, name := range c.others() {
			if !v.asked[name] {
				c.sendJSON(name, msgLife, life{Identity: v.me})
			}
		}
		c.mayTakePart()
	}
	if !v.formed {
		c.form()
	}
	if err := v.node.Tick(); err != nil {
		c.breakDown(err)
		return
	}
	c.ready()
	c.push()
	s := v.node.Status()
	if s.Lead != 0 {
		c.lead = c.named(s.Lead)
		if s.Leads { // CheckQuorum has it step down without a majority
			c.heard = c.now
		}
	} else {
		c.lead = ""
	}
	if s.Leads && c.now-v.planAt >= planEvery {
		v.planAt = c.now
		c.replaceVoters(s)
		c.plan()
	}
}

// mayTakePart lets a voter speak once as many of the others as a majority needs know no later life of its disk.
func (c *Core) mayTakePart() {
	v := c.voter
	if v.node.Silent() && len(v.asked) >= len(c.cfg.Voters)/2 {
		v.node.Silence(false)
		c.note(fmt.Sprintf("takes part as voter %x, life %d", v.me.ID, v.me.Life))
	}
}

// form makes the first record: only the first of the voters does, and only when all of them are here and none has one.
// Danger: voters that each form a record, or one formed beside a record whose holders are away, agree on two things.
func (c *Core) form() {
	v := c.voter
	if c.cfg.Voters[0] != c.cfg.Me || len(v.asked) < len(c.cfg.Voters)-1 {
		return
	}
	ids := []uint64{v.me.ID}
	for _, name := range c.others() {
		m := c.members[name]
		if !m.Alive || m.Meta.Identity == nil || m.Meta.Formed || c.named(m.Meta.Identity.ID) != name {
			return
		}
		ids = append(ids, m.Meta.Identity.ID)
	}
	first := ledger.New()
	first.Cluster = fmt.Sprintf("%s-%016x", c.cfg.Cluster, c.cfg.Draw())
	state, err := first.Snapshot()
	if err != nil {
		return
	}
	disk := quorum.First(ids, state)
	c.do(Write{Hard: disk.Hard, Snap: disk.Snap})
	if err := c.load(disk); err != nil {
		c.breakDown(err)
		return
	}
	c.note("formed the fleet's record " + first.Cluster)
	c.tellMeta()
}

// replaceVoters puts the new id of a voter whose disk was lost in the place of its old one.
func (c *Core) replaceVoters(s quorum.Status) {
	for _, name := range c.cfg.Voters {
		m := c.members[name]
		if name == c.cfg.Me || !m.Alive || m.Meta.Identity == nil || m.Meta.Formed && slices.Contains(s.Voters, m.Meta.Identity.ID) {
			continue
		}
		id := m.Meta.Identity.ID
		if slices.Contains(s.Voters, id) || c.named(id) != name || c.now-c.voter.replaced[id] < askEvery {
			continue
		}
		was := uint64(0)
		for _, old := range s.Voters {
			if c.named(old) == name {
				was = old
			}
		}
		c.voter.replaced[id] = c.now
		c.note(fmt.Sprintf("voter %s has a new disk: %x in place of %x", name, id, was))
		if err := c.voter.node.Replace(was, id); err != nil {
			c.note("not replaced: " + err.Error())
		}
	}
}

// asksLife answers a voter that starts.
func (c *Core) asksLife(from string, b []byte) {
	var l life
	if err := json.Unmarshal(b, &l); err != nil {
		c.bad(&c.Stats.Unreadable, from, err)
		return
	}
	if c.voter == nil || c.named(l.Identity.ID) != from {
		c.bad(&c.Stats.Strangers, from, errors.New("a life of another voter"))
		return
	}
	l.Stale, l.Formed = c.sees(l.Identity, from), c.voter.formed
	c.Stats.Stale += count(l.Stale)
	c.sendJSON(from, msgKnown, l)
}

// knowsLife hears what another voter knows of this one's disk.
func (c *Core) knowsLife(from string, b []byte) {
	var l life
	v := c.voter
	if err := json.Unmarshal(b, &l); err != nil || v == nil || !slices.Contains(c.cfg.Voters, from) {
		c.bad(&c.Stats.Unreadable, from, errors.Join(err, errors.New("no answer to a question of this voter")))
		return
	}
	switch {
	case l.Identity != v.me || v.broken: // of an earlier question
	case l.Stale:
		c.note(from + " knows a later life of this disk: it was put back, and is taken for empty")
		c.do(Write{Wipe: true})
		if err := c.begin(quorum.Identity{}, nil); err != nil {
			c.breakDown(err)
		}
	default:
		v.asked[from] = true
		c.mayTakePart()
	}
}

// ready carries out what the quorum has come up with.
func (c *Core) ready() {
	v := c.voter
	for !v.broken {
		out, ok, err := v.node.Ready()
		if err != nil {
			c.breakDown(err)
		}
		if !ok || err != nil {
			return
		}
		if out.Hard != nil || out.Snap != nil || len(out.Entries) > 0 {
			c.do(Write{Hard: out.Hard, Snap: out.Snap, Entries: out.Entries})
		}
		for _, m := range out.Messages {
			c.sendRaft(m)
		}
		if out.Snap != nil {
			c.restore(out.Snap)
		}
		for _, e := range out.Committed {
			c.apply(e.GetIndex(), e.GetData())
		}
		if err := v.node.Done(out); err != nil {
			c.breakDown(err)
			return
		}
		if snap, first, err := v.node.Compact(c.state.Index, c.state.Snapshot); err != nil {
			c.note("no snapshot: " + err.Error())
		} else if snap != nil {
			c.do(Write{Snap: snap, First: first})
		}
	}
}

// restore takes the whole state over from a leader. One of another fleet's record is refused.
func (c *Core) restore(snap *pb.Snapshot) {
	s, err := ledger.Restore(snap.GetData())
	if err == nil && c.state.Cluster != "" && s.Cluster != c.state.Cluster {
		err = fmt.Errorf("a snapshot of %s, this is %s", s.Cluster, c.state.Cluster)
	}
	if err != nil {
		c.breakDown(err)
		return
	}
	s.Index = max(s.Index, snap.GetMetadata().GetIndex())
	c.state = s
	if v := c.voter; v != nil && !v.formed {
		v.formed = true
		c.tellMeta()
	}
	c.keeps()
	c.partSoon = true
}

func (c *Core) sendRaft(m *pb.Message) {
	to := c.named(m.GetTo())
	if b, err := proto.Marshal(m); err == nil && to != "" {
		c.send(to, msgRaft, b)
		if m.GetType() == pb.MsgSnap {
			c.voter.node.SnapshotSent(m.GetTo())
		}
	}
}

// hearRaft takes a message of another voter. Who it says it is must be who sent it.
func (c *Core) hearRaft(from string, b []byte) {
	v := c.voter
	m := &pb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		c.bad(&c.Stats.Unreadable, from, err)
		return
	}
	if v == nil || v.broken {
		return
	}
	if c.named(m.GetFrom()) != from {
		c.bad(&c.Stats.Strangers, from, fmt.Errorf("it speaks as voter %x", m.GetFrom()))
		return
	}
	if err := v.node.Step(m); err != nil {
		c.bad(&c.Stats.Misplaced, from, err)
		if v.node.Silent() {
			return
		}
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if !v.node.Silent() && v.node.Status().Lead == m.GetFrom() {
			c.heard, c.lead = c.now, from
		}
	}
	c.ready()
}

// breakDown ends this voter's part: what it knows stays as it was, and the front serves on.
func (c *Core) breakDown(err error) {
	c.voter.broken = true
	c.Stats.Broken++
	c.note("out of the fleet: " + err.Error())
}

func count(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/quorum"
)

// Voters: start on the data found on disk, forming of the first record, and the exchange with the other voters.

// voter is the state of a front that votes.
type voter struct {
	identity     quorum.Identity
	incarnations quorum.Incarnations
	node         *quorum.Node
	formed       bool // this voter holds the record
	// confirmed holds the voters that replied that they know no later incarnation of this disk; this voter takes part
	// in elections once they and it are a majority.
	confirmed map[string]bool
	queriedAt Time
	plannedAt Time
	// broken: the raft library failed; this front no longer follows the record, but continues to serve.
	broken            bool
	replaceProposedAt map[uint64]Time // when the replacement by each new ID was last proposed
	acks              map[string]ack  // by follower, of this voter's share
}

// incarnationQuery asks other voters for a later incarnation of a disk; the same type is the reply.
type incarnationQuery struct {
	Identity quorum.Identity `json:"i"`
	Stale    bool            `json:"stale,omitempty"` // the replying voter knows a later incarnation of that disk
	Formed   bool            `json:"formed,omitempty"`
}

// startVoter starts a voter on the data found on disk.
func (c *Core) startVoter(start StoredState) error {
	v := &voter{incarnations: start.Incarnations, confirmed: map[string]bool{}, replaceProposedAt: map[uint64]Time{},
		acks: map[string]ack{}}
	if v.incarnations == nil {
		v.incarnations = quorum.Incarnations{}
	}
	c.voter = v
	disk := start.Disk
	if start.Identity.ID == 0 {
		if !disk.Empty() {
			return errors.New("fleet: the disk holds a record but no voter identity")
		}
		disk = nil
	} else if c.voterName(start.Identity.ID) != c.cfg.Name {
		return fmt.Errorf("fleet: the disk belongs to voter %q, this is %q", c.voterName(start.Identity.ID), c.cfg.Name)
	}
	return c.startIncarnation(start.Identity, disk)
}

// startIncarnation starts a new incarnation of this voter on the record that its disk holds.
func (c *Core) startIncarnation(stored quorum.Identity, disk *quorum.Disk) error {
	v := c.voter
	v.identity = stored.NextIncarnation(func() uint64 { return voterID(c.cfg.Name, c.cfg.Random()) })
	id := v.identity
	c.emit(Write{Identity: &id})
	if err := c.load(disk); err != nil {
		return err
	}
	v.node.SetSilent(true)
	v.confirmed, v.queriedAt = map[string]bool{}, 0
	c.announceMeta()
	c.processReady() // applies the entries that are committed on its own disk
	return nil
}

// load creates the raft node from a record.
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
	v.node, err = quorum.New(v.identity.ID, disk, c.cfg.Log)
	return err
}

// announceMeta announces this front's current Meta to all others.
func (c *Core) announceMeta() {
	m := Meta{Format: ledger.Format, Zone: c.cfg.Zone}
	if v := c.voter; v != nil {
		id := v.identity
		m.Identity, m.Formed = &id, v.formed
	}
	c.emit(AnnounceMeta{m})
}

// recordIncarnations records the incarnations that the other voters announce.
func (c *Core) recordIncarnations() {
	v := c.voter
	if v == nil {
		return
	}
	for _, name := range c.cfg.Voters {
		if m, ok := c.members[name]; ok && name != c.cfg.Name && m.Meta.Identity != nil {
			c.recordIncarnation(*m.Meta.Identity, name)
		}
	}
}

// recordIncarnation stores an incarnation on disk before it has any effect, and reports whether it is stale: of a disk
// that was restored from an older copy.
func (c *Core) recordIncarnation(identity quorum.Identity, name string) (stale bool) {
	if c.voterName(identity.ID) != name {
		return false
	}
	changed, stale := c.voter.incarnations.Record(identity)
	if changed {
		incarnations := quorum.Incarnations{}
		for id, x := range c.voter.incarnations {
			incarnations[id] = x
		}
		c.emit(Write{Incarnations: incarnations})
	}
	return stale
}

// otherVoters returns the names of all voters but this one.
func (c *Core) otherVoters() (list []string) {
	for _, name := range c.cfg.Voters {
		if name != c.cfg.Name {
			list = append(list, name)
		}
	}
	return list
}

// tickVoter does the periodic work of a voter.
func (c *Core) tickVoter() {
	v := c.voter
	if v.broken {
		return
	}
	// Forming the first record needs confirmation by all voters.
	if (v.node.Silent() || !v.formed) && c.now-v.queriedAt >= retryInterval {
		v.queriedAt = c.now
		for _, name := range c.otherVoters() {
			if !v.confirmed[name] {
				c.sendJSON(name, msgIncarnation, incarnationQuery{Identity: v.identity})
			}
		}
		c.joinIfConfirmed()
	}
	if !v.formed {
		c.formRecord()
	}
	if err := v.node.Tick(); err != nil {
		c.fail(err)
		return
	}
	c.processReady()
	c.pushUpdates()
	status := v.node.Status()
	if status.Lead != 0 {
		c.leaderName = c.voterName(status.Lead)
		if status.IsLeader { // CheckQuorum makes it step down without a majority
			c.lastContactAt = c.now
		}
	} else {
		c.leaderName = ""
	}
	if status.IsLeader && c.now-v.plannedAt >= planInterval {
		v.plannedAt = c.now
		c.replaceVoters(status)
		c.plan()
	}
}

// joinIfConfirmed lets this voter take part in elections once enough other voters for a majority have confirmed that
// they know no later incarnation of its disk.
func (c *Core) joinIfConfirmed() {
	v := c.voter
	if v.node.Silent() && len(v.confirmed) >= len(c.cfg.Voters)/2 {
		v.node.SetSilent(false)
		c.log(fmt.Sprintf("takes part as voter %x, life %d", v.identity.ID, v.identity.Incarnation))
	}
}

// formRecord creates the first record. Only the first of the voters does so, and only when all voters are alive and
// none has a record: otherwise two voters, or one beside absent holders of an existing record, would create diverging
// records.
func (c *Core) formRecord() {
	v := c.voter
	if c.cfg.Voters[0] != c.cfg.Name || len(v.confirmed) < len(c.cfg.Voters)-1 {
		return
	}
	ids := []uint64{v.identity.ID}
	for _, name := range c.otherVoters() {
		m := c.members[name]
		if !m.Alive || m.Meta.Identity == nil || m.Meta.Formed || c.voterName(m.Meta.Identity.ID) != name {
			return
		}
		ids = append(ids, m.Meta.Identity.ID)
	}
	first := ledger.New()
	first.Cluster = fmt.Sprintf("%s-%016x", c.cfg.Cluster, c.cfg.Random())
	state, err := first.Snapshot()
	if err != nil {
		return
	}
	disk := quorum.InitialDisk(ids, state)
	c.emit(Write{Hard: disk.Hard, Snap: disk.Snap})
	if err := c.load(disk); err != nil {
		c.fail(err)
		return
	}
	c.log("formed the fleet's record " + first.Cluster)
	c.announceMeta()
}

// replaceVoters proposes to replace the ID of each voter that lost its disk by its new one.
func (c *Core) replaceVoters(status quorum.Status) {
	for _, name := range c.cfg.Voters {
		member := c.members[name]
		if name == c.cfg.Name || !member.Alive || member.Meta.Identity == nil ||
			member.Meta.Formed && slices.Contains(status.Voters, member.Meta.Identity.ID) {
			continue
		}
		id := member.Meta.Identity.ID
		if slices.Contains(status.Voters, id) || c.voterName(id) != name ||
			c.now-c.voter.replaceProposedAt[id] < retryInterval {
			continue
		}
		oldID := uint64(0)
		for _, old := range status.Voters {
			if c.voterName(old) == name {
				oldID = old
			}
		}
		c.voter.replaceProposedAt[id] = c.now
		c.log(fmt.Sprintf("voter %s has a new disk: %x in place of %x", name, id, oldID))
		if err := c.voter.node.Replace(oldID, id); err != nil {
			c.log("voter was not replaced: " + err.Error())
		}
	}
}

// receiveIncarnation replies to the query of a voter that starts.
func (c *Core) receiveIncarnation(from string, b []byte) {
	var query incarnationQuery
	if err := json.Unmarshal(b, &query); err != nil {
		c.countBad(&c.Stats.Unreadable, from, err)
		return
	}
	if c.voter == nil || c.voterName(query.Identity.ID) != from {
		c.countBad(&c.Stats.Strangers, from, errors.New("incarnation query for another voter"))
		return
	}
	query.Stale, query.Formed = c.recordIncarnation(query.Identity, from), c.voter.formed
	c.Stats.Stale += boolToUint(query.Stale)
	c.sendJSON(from, msgIncarnationReply, query)
}

// receiveIncarnationReply handles another voter's reply on this voter's disk.
func (c *Core) receiveIncarnationReply(from string, b []byte) {
	var reply incarnationQuery
	v := c.voter
	if err := json.Unmarshal(b, &reply); err != nil || v == nil || !slices.Contains(c.cfg.Voters, from) {
		c.countBad(&c.Stats.Unreadable, from,
			errors.Join(err, errors.New("not a valid reply to an incarnation query of this voter")))
		return
	}
	switch {
	case reply.Identity != v.identity || v.broken: // reply to an earlier query
	case reply.Stale:
		c.log(from + " knows a later life of this disk: it was put back, and is taken for empty")
		c.emit(Write{Wipe: true})
		if err := c.startIncarnation(quorum.Identity{}, nil); err != nil {
			c.fail(err)
		}
	default:
		v.confirmed[from] = true
		c.joinIfConfirmed()
	}
}

// processReady emits and applies the effects of the raft node.
func (c *Core) processReady() {
	v := c.voter
	for !v.broken {
		effects, ok, err := v.node.Ready()
		if err != nil {
			c.fail(err)
		}
		if !ok || err != nil {
			return
		}
		if effects.Hard != nil || effects.Snap != nil || len(effects.Entries) > 0 {
			c.emit(Write{Hard: effects.Hard, Snap: effects.Snap, Entries: effects.Entries})
		}
		for _, m := range effects.Messages {
			c.sendRaft(m)
		}
		if effects.Snap != nil {
			c.restoreVoter(effects.Snap)
		}
		for _, e := range effects.Committed {
			c.apply(e.GetIndex(), e.GetData())
		}
		if err := v.node.Advance(effects); err != nil {
			c.fail(err)
			return
		}
		if snap, first, err := v.node.Compact(c.state.Index, c.state.Snapshot); err != nil {
			c.log("snapshot failed: " + err.Error())
		} else if snap != nil {
			c.emit(Write{Snap: snap, FirstIndex: first})
		}
	}
}

// restoreVoter replaces a voter's state by the leader's snapshot. A snapshot of another fleet's record is rejected.
func (c *Core) restoreVoter(snap *pb.Snapshot) {
	s, err := ledger.Restore(snap.GetData())
	if err == nil && c.state.Cluster != "" && s.Cluster != c.state.Cluster {
		err = fmt.Errorf("received a snapshot of record %s, this is %s", s.Cluster, c.state.Cluster)
	}
	if err != nil {
		c.fail(err)
		return
	}
	s.Index = max(s.Index, snap.GetMetadata().GetIndex())
	c.state = s
	if v := c.voter; v != nil && !v.formed {
		v.formed = true
		c.announceMeta()
	}
	c.emitReservations()
	c.reportSoon = true
}

package core

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Messages of the voters, and failures that end one.

// sendRaft sends a raft message to the voter that it is addressed to.
func (c *Core) sendRaft(m *pb.Message) {
	to := c.voterName(m.GetTo())
	if b, err := proto.Marshal(m); err == nil && to != "" {
		c.send(to, msgRaft, b)
		if m.GetType() == pb.MsgSnap {
			c.voter.node.SnapshotSent(m.GetTo())
		}
	}
}

// receiveRaft handles a raft message. The voter ID in it must belong to the sender.
func (c *Core) receiveRaft(from string, b []byte) {
	v := c.voter
	message := &pb.Message{}
	if err := proto.Unmarshal(b, message); err != nil {
		c.countBad(&c.Stats.Unreadable, from, err)
		return
	}
	if v == nil || v.broken {
		return
	}
	if c.voterName(message.GetFrom()) != from {
		c.countBad(&c.Stats.Strangers, from,
			fmt.Errorf("raft message with the ID of another voter: %x", message.GetFrom()))
		return
	}
	if err := v.node.Step(message); err != nil {
		c.countBad(&c.Stats.Misplaced, from, err)
		if v.node.Silent() {
			return
		}
	}
	switch message.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if !v.node.Silent() && v.node.Status().Lead == message.GetFrom() {
			c.lastContactAt, c.leaderName = c.now, from
		}
	}
	c.processReady()
}

// fail stops this voter's participation: its state stays as it is, and the front continues to serve.
func (c *Core) fail(err error) {
	c.voter.broken = true
	c.Stats.Broken++
	c.log("out of the fleet: " + err.Error())
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

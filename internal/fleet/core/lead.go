package core

import (
	"errors"
	"fmt"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/ledger"
)

// The leader plans: it grants work that decide/upkeep allows, one grant at a time, advances granted work to its next
// phase, and keeps the reasons why the rest waits. Each step is a proposal: proposals of a former leader are not
// committed.

// plan proposes the next steps of all work.
func (c *Core) plan() {
	if c.leader.leadsSince == 0 || c.voter.node.Status().Term != c.leader.term {
		// A new leader has no reports yet: it waits for them and grants nothing on the data of an earlier term.
		c.leader.leadsSince, c.leader.term, c.leader.stepProposedAt =
			c.now, c.voter.node.Status().Term, map[uint64]Time{}
		c.reportSoon = true
	}
	for id := range c.leader.stepProposedAt {
		if w := c.state.Work(id); w == nil || w.Phase.Ended() {
			delete(c.leader.stepProposedAt, id)
		}
	}
	c.updateFailedServers()
	requests, fleet := c.requests(), c.fleetState()
	for _, w := range c.state.Works {
		if !w.Phase.CountsAsOut() || c.now-c.leader.stepProposedAt[w.ID] < retryInterval {
			continue
		}
		if w.Phase == ledger.Granted || w.Phase == ledger.Draining {
			if reason := upkeep.ExceededLimit(c.cfg.Limits, fleet, requests, w.ID); reason != "" {
				c.leader.stepProposedAt[w.ID] = c.now
				c.propose(ledger.Entry{Kind: ledger.KindAdvance, ID: w.ID, Fence: w.Fence, PrevPhase: w.Phase,
					NextPhase: ledger.Requested, Reason: "taken back: " + reason})
				continue
			}
		}
		to, until, reason, ok := c.cfg.Timeouts.Next(c.now, c.progress(w))
		if !ok {
			continue
		}
		c.leader.stepProposedAt[w.ID] = c.now
		c.propose(ledger.Entry{Kind: ledger.KindAdvance, ID: w.ID, Fence: w.Fence, PrevPhase: w.Phase,
			NextPhase: stepPhases[to], Deadline: until, Reason: reason})
	}
	c.leader.answers = map[uint64]upkeep.Answer{}
	for _, a := range upkeep.Decide(c.now, c.cfg.Limits, fleet, requests) {
		c.leader.answers[a.ID] = a
		switch a.Verdict {
		case upkeep.Refuse:
			if c.now-c.leader.stepProposedAt[a.ID] >= retryInterval {
				c.leader.stepProposedAt[a.ID] = c.now
				c.propose(ledger.Entry{Kind: ledger.KindRefuse, ID: a.ID, Reason: a.Limit + ": " + a.Why})
			}
		case upkeep.Grant:
			// One grant at a time: the next is decided with this one taken into account, once it is committed.
			if c.leader.proposedBasis == c.state.LastGrant && c.now-c.leader.proposedAt < retryInterval &&
				c.leader.proposedAt > 0 {
				continue
			}
			c.leader.proposedBasis, c.leader.proposedAt = c.state.LastGrant, c.now
			c.propose(ledger.Entry{Kind: ledger.KindGrant, ID: a.ID, Basis: c.state.LastGrant,
				Deadline: c.now + c.cfg.Timeouts.AckTimeout, Reason: "within every limit"})
		}
	}
}

// stepPhases maps the steps of decide/upkeep to phases of the ledger.
var stepPhases = map[upkeep.Step]ledger.Phase{upkeep.Draining: ledger.Draining, upkeep.Out: ledger.Out,
	upkeep.Back: ledger.Back, upkeep.Done: ledger.Done}

// requests returns all work that counts as out and all that waits.
func (c *Core) requests() (list []upkeep.Request) {
	for _, w := range c.state.Works {
		if w.Phase.Ended() {
			continue
		}
		request := upkeep.Request{ID: w.ID, RequestedAt: w.RequestedAt, Deadline: w.Request.Deadline,
			WorkDuration: w.Request.WorkDuration, Fronts: w.Request.Fronts, Granted: w.Phase.CountsAsOut(),
			Drained: w.Phase == ledger.Out || w.Phase == ledger.Back}
		for _, p := range w.Request.Servers {
			request.Servers = append(request.Servers, p.Server)
		}
		list = append(list, request)
	}
	return list
}

// propose proposes an entry of this leader. An entry that is lost is proposed again by plan.
func (c *Core) propose(e ledger.Entry) {
	e.At, e.From = c.now, c.cfg.Name
	b, err := e.Encode()
	if err == nil {
		err = c.voter.node.Propose(b)
	}
	if err != nil {
		c.Stats.LastBad = "proposal of this leader failed: " + err.Error()
	}
	c.processReady()
}

// WaitReason returns the decision on waiting work; ok is false on a front that is not the leader.
func (c *Core) WaitReason(id uint64) (upkeep.Answer, bool) {
	a, ok := c.leader.answers[id]
	return a, ok && c.leaderName == c.cfg.Name
}

// ---- Commands ----

// command is a command received at this front that has no reply yet.
type command struct {
	handle   uint64
	data     []byte
	deadline Time
	sentAt   Time
}

// Command proposes an entry that was requested at this front. Exactly one Reply follows. Its key makes it idempotent:
// the same command may be sent again, here or to another front.
func (c *Core) Command(now Time, handle uint64, e ledger.Entry) {
	c.now = max(c.now, now)
	e.At, e.From = c.now, c.cfg.Name
	data, err := e.Encode()
	switch {
	case e.Key == "":
		err = errors.New("command has no key")
	case len(c.commands) >= maxCommands:
		err = fmt.Errorf("%d commands are already in flight", len(c.commands))
	case c.commands[e.Key] != nil:
		err = errors.New("this command is already in flight")
	}
	if err != nil {
		c.emit(Reply{handle, ledger.CommandResult{Err: err.Error()}})
		return
	}
	if a, done := c.state.Keys[e.Key]; done {
		c.emit(Reply{handle, a})
		return
	}
	c.commands[e.Key] = &command{handle: handle, data: data, deadline: c.now + commandTimeout}
	c.tickCommands()
}

// tickCommands sends commands without a reply again and fails those past their deadline.
func (c *Core) tickCommands() {
	for key, pending := range c.commands {
		switch {
		case c.now >= pending.deadline:
			delete(c.commands, key)
			c.emit(Reply{pending.handle, ledger.CommandResult{Err: ErrUnknown}})
		case c.now-pending.sentAt >= retryInterval || pending.sentAt == 0:
			pending.sentAt = c.now
			if c.voter != nil {
				c.proposeCommand(pending.data)
			} else {
				c.send(c.nextVoter(), msgCommand, pending.data)
			}
		}
	}
}

// ErrUnknown is the error of a command whose outcome is unknown: no majority replied in time. Clients compare this
// text.
const ErrUnknown = "no majority answered in time: it may still come to be; give the same command with the same key, or look at the list"

// proposeCommand proposes a command on a voter; raft forwards it to the leader.
func (c *Core) proposeCommand(data []byte) {
	if c.voter.broken {
		return
	}
	if err := c.voter.node.Propose(data); err == nil {
		c.processReady()
	}
}

// receiveCommand handles a command forwarded by a follower.
func (c *Core) receiveCommand(from string, b []byte) {
	e, newer, err := ledger.Decode(b)
	switch {
	case err != nil:
		c.countBad(&c.Stats.Unreadable, from, err)
	case c.voter == nil, newer && len(b) > ledger.MaxEntryBytes:
		c.countBad(&c.Stats.Misplaced, from, errors.New("command sent to a front that is not a voter, or too long"))
	case !newer && (e.Key == "" ||
		e.Kind != ledger.KindRequest && e.Kind != ledger.KindCancel && e.Kind != ledger.KindDone):
		// Only the leader may grant.
		c.countBad(&c.Stats.Strangers, from, fmt.Errorf("a follower must not propose %q", e.Kind))
	default:
		if _, done := c.state.Keys[e.Key]; !done {
			c.proposeCommand(b)
		}
	}
}

// replyToCommands replies to the commands whose results are known.
func (c *Core) replyToCommands() {
	for key, pending := range c.commands {
		if a, done := c.state.Keys[key]; done {
			delete(c.commands, key)
			c.emit(Reply{pending.handle, a})
		}
	}
}

// ---- Received messages ----

// Receive handles a message from a member.
func (c *Core) Receive(now Time, from string, b []byte) {
	c.now = max(c.now, now)
	c.Stats.Received++
	c.Stats.ReceivedBytes += uint64(len(b))
	if len(b) < 1 || len(b) > MaxMessageBytes {
		c.countBad(&c.Stats.Unreadable, from, fmt.Errorf("a message of %d bytes", len(b)))
		return
	}
	kind, body := b[0], b[1:]
	switch kind {
	case msgRaft:
		c.receiveRaft(from, body)
	case msgIncarnation:
		c.receiveIncarnation(from, body)
	case msgIncarnationReply:
		c.receiveIncarnationReply(from, body)
	case msgReport:
		c.receiveReport(from, body)
	case msgCommand:
		c.receiveCommand(from, body)
	case msgWaitRequest:
		c.receiveWaitRequest(from)
	case msgWaitReply:
		c.receiveWaitReply(from, body)
	case msgFetch:
		c.receiveFetch(from, body)
	case msgUpdate:
		c.receiveUpdate(from, body)
	default:
		c.countBad(&c.Stats.Unreadable, from, fmt.Errorf("unknown kind of message: %q", kind))
	}
}

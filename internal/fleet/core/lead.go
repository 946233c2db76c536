package core

import (
	"errors"
	"fmt"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/ledger"
)

// The leader plans: it lets go what decide/upkeep says may go, one grant at a time, moves on what was let go, and says of
// the rest why it waits. All of it are proposals: a leader that is none any more proposes to nobody.

// plan proposes the next steps.
func (c *Core) plan() {
	if c.leader.since == 0 || c.voter.node.Status().Term != c.leader.term {
		// A new leader knows no parts yet: it waits for them, and nobody is let go on what an earlier one knew.
		c.leader.since, c.leader.term, c.leader.steps = c.now, c.voter.node.Status().Term, map[uint64]Time{}
		c.partSoon = true
	}
	for id := range c.leader.steps {
		if w := c.state.Work(id); w == nil || w.Phase.Ended() {
			delete(c.leader.steps, id)
		}
	}
	c.sawServers()
	asks, world := c.asks(), c.world()
	for _, w := range c.state.Works {
		if !w.Phase.Counts() || c.now-c.leader.steps[w.ID] < askEvery {
			continue
		}
		if w.Phase == ledger.Granted || w.Phase == ledger.Draining {
			if why := upkeep.ExceededLimit(c.cfg.Limits, world, asks, w.ID); why != "" {
				c.leader.steps[w.ID] = c.now
				c.propose(ledger.Entry{Kind: ledger.KindAdvance, ID: w.ID, Fence: w.Fence, Was: w.Phase, To: ledger.Asked, Why: "taken back: " + why})
				continue
			}
		}
		to, until, why, ok := c.cfg.Times.Next(c.now, c.course(w))
		if !ok {
			continue
		}
		c.leader.steps[w.ID] = c.now
		c.propose(ledger.Entry{Kind: ledger.KindAdvance, ID: w.ID, Fence: w.Fence, Was: w.Phase, To: phases[to], Until: until, Why: why})
	}
	c.leader.why = map[uint64]upkeep.Answer{}
	for _, a := range upkeep.Decide(c.now, c.cfg.Limits, world, asks) {
		c.leader.why[a.ID] = a
		switch a.Verdict {
		case upkeep.Refuse:
			if c.now-c.leader.steps[a.ID] >= askEvery {
				c.leader.steps[a.ID] = c.now
				c.propose(ledger.Entry{Kind: ledger.KindRefuse, ID: a.ID, Why: a.Limit + ": " + a.Why})
			}
		case upkeep.Grant:
			// One at a time: the next is weighed against what this one takes, once it is agreed.
			if c.leader.proposed == c.state.Granted && c.now-c.leader.at < askEvery && c.leader.at > 0 {
				continue
			}
			c.leader.proposed, c.leader.at = c.state.Granted, c.now
			c.propose(ledger.Entry{Kind: ledger.KindGrant, ID: a.ID, Basis: c.state.Granted, Until: c.now + c.cfg.Times.AckTimeout, Why: "within every limit"})
		}
	}
}

var phases = map[upkeep.Step]ledger.Phase{upkeep.Draining: ledger.Draining, upkeep.Out: ledger.Out, upkeep.Back: ledger.Back, upkeep.Done: ledger.Done}

// asks gives all that is out and all that waits.
func (c *Core) asks() (list []upkeep.Request) {
	for _, w := range c.state.Works {
		if w.Phase.Ended() {
			continue
		}
		a := upkeep.Request{ID: w.ID, RequestedAt: w.Asked, Deadline: w.Ask.By, WorkDuration: w.Ask.For, Fronts: w.Ask.Fronts, Granted: w.Phase.Counts(),
			Drained: w.Phase == ledger.Out || w.Phase == ledger.Back}
		for _, p := range w.Ask.Servers {
			a.Servers = append(a.Servers, p.Server)
		}
		list = append(list, a)
	}
	return list
}

// propose hands the quorum an entry of this leader's own. What gets lost is proposed again.
func (c *Core) propose(e ledger.Entry) {
	e.At, e.From = c.now, c.cfg.Me
	b, err := e.Encode()
	if err == nil {
		err = c.voter.node.Propose(b)
	}
	if err != nil {
		c.Stats.LastBad = "own proposal: " + err.Error()
	}
	c.ready()
}

// Why tells why work waits, as far as this front knows: the leader knows best.
func (c *Core) Why(id uint64) (upkeep.Answer, bool) {
	a, ok := c.leader.why[id]
	return a, ok && c.lead == c.cfg.Me
}

// ---- Commands ----

// command is one that was given at this front and has no answer yet.
type command struct {
	handle uint64
	data   []byte
	until  Time
	at     Time
}

// Command has an entry agreed on that somebody asked for at this front. Exactly one Reply follows. Its key makes repeats
// harmless: the same command may be given again, here or at another front.
func (c *Core) Command(now Time, handle uint64, e ledger.Entry) {
	c.now = max(c.now, now)
	e.At, e.From = c.now, c.cfg.Me
	data, err := e.Encode()
	switch {
	case e.Key == "":
		err = errors.New("a command without a key")
	case len(c.commands) >= commandsMost:
		err = fmt.Errorf("%d commands are under way", len(c.commands))
	case c.commands[e.Key] != nil:
		err = errors.New("this command is under way")
	}
	if err != nil {
		c.do(Reply{handle, ledger.Answer{Err: err.Error()}})
		return
	}
	if a, done := c.state.Keys[e.Key]; done {
		c.do(Reply{handle, a})
		return
	}
	c.commands[e.Key] = &command{handle: handle, data: data, until: c.now + commandFor}
	c.tickCommands()
}

// tickCommands hands on what has no answer yet, again and again.
func (c *Core) tickCommands() {
	for key, k := range c.commands {
		switch {
		case c.now >= k.until:
			delete(c.commands, key)
			c.do(Reply{k.handle, ledger.Answer{Err: ErrUnknown}})
		case c.now-k.at >= askEvery || k.at == 0:
			k.at = c.now
			if c.voter != nil {
				c.take(k.data)
			} else {
				c.send(c.someVoter(), msgCommand, k.data)
			}
		}
	}
}

// ErrUnknown is said of a command that no majority has answered.
const ErrUnknown = "no majority answered in time: it may still come to be; give the same command with the same key, or look at the list"

// take has a voter propose a command; raft hands it to the leader.
func (c *Core) take(data []byte) {
	if c.voter.broken {
		return
	}
	if err := c.voter.node.Propose(data); err == nil {
		c.ready()
	}
}

// hearCommand takes a command from a front that does not vote.
func (c *Core) hearCommand(from string, b []byte) {
	e, newer, err := ledger.Decode(b)
	switch {
	case err != nil:
		c.bad(&c.Stats.Unreadable, from, err)
	case c.voter == nil, newer && len(b) > ledger.EntryMost:
		c.bad(&c.Stats.Misplaced, from, errors.New("a command for a voter"))
	case !newer && (e.Key == "" || e.Kind != ledger.KindAsk && e.Kind != ledger.KindCancel && e.Kind != ledger.KindDone):
		c.bad(&c.Stats.Strangers, from, fmt.Errorf("it may not give %q", e.Kind)) // grants are the leader's
	default:
		if _, done := c.state.Keys[e.Key]; !done {
			c.take(b)
		}
	}
}

// answerCommands replies to those that were agreed on.
func (c *Core) answerCommands() {
	for key, k := range c.commands {
		if a, done := c.state.Keys[key]; done {
			delete(c.commands, key)
			c.do(Reply{k.handle, a})
		}
	}
}

// ---- What others say ----

// Message takes what a member sent.
func (c *Core) Message(now Time, from string, b []byte) {
	c.now = max(c.now, now)
	c.Stats.Received++
	c.Stats.ReceivedBytes += uint64(len(b))
	if len(b) < 1 || len(b) > MessageMost {
		c.bad(&c.Stats.Unreadable, from, fmt.Errorf("a message of %d bytes", len(b)))
		return
	}
	kind, body := b[0], b[1:]
	switch kind {
	case msgRaft:
		c.hearRaft(from, body)
	case msgLife:
		c.asksLife(from, body)
	case msgKnown:
		c.knowsLife(from, body)
	case msgPart:
		c.hearPart(from, body)
	case msgCommand:
		c.hearCommand(from, body)
	case msgWhy:
		c.asksWhy(from)
	case msgBecause:
		c.hearBecause(from, body)
	case msgFetch:
		c.fetched(from, body)
	case msgAgreed:
		c.hearAgreed(from, body)
	default:
		c.bad(&c.Stats.Unreadable, from, fmt.Errorf("no kind of message: %q", kind))
	}
}

package node

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/admit"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// The owner: one goroutine that takes what came, lets the core decide, and carries the effects out.

func (n *Node) own(ctx context.Context) {
	defer close(n.done)
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	var batch []any
	var readUntil, tickAt, statsAt front.Time
	last := n.now()
	statsAt = last + statsEvery
	for {
		now := n.now()
		if wait := admit.Standstill(now - last); wait > 0 {
			readUntil = now + wait
			n.log.Warn().Int64("ms", (now-last)/policy.Millisecond).Msg("stood still")
		}
		last = now
		batch, _ = n.queue.Take(batchMost, batch)
		for _, item := range batch {
			n.handle(item)
		}
		if now = n.now(); now < readUntil {
			time.Sleep(time.Millisecond)
			continue
		}
		n.carry(n.core.Advance(now))
		n.settle()
		if now >= tickAt {
			tickAt = now + front.Time(tickEvery)
			n.servers.Tick(now)
			n.viewers.Tick(now)
			n.watch.Tick(now)
			n.settle()
		}
		if now >= statsAt {
			statsAt = now + statsEvery
			n.tell()
		}
		if n.over(now) || ctx.Err() != nil {
			n.tell()
			return
		}
		if len(batch) == batchMost {
			runtime.Gosched() // the sockets' readers may have the words that make the rest of the queue idle
			continue
		}
		wait := time.Duration(tickAt - now)
		if at, ok := n.core.Next(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-n.queue.Wake():
		case <-timer.C:
		}
	}
}

// over tells whether a front that is to leave has nothing left to do: nothing is open or held, no request is half here, no
// answer waits to be written, and viewers have been quiet for a while, so that none lies unread in a socket or in the queue.
// Danger: the close of a connection loses what is unread on it, and with it destroys what was just written. Standing
// sessions would end with the front.
func (n *Node) over(now front.Time) bool {
	if n.leaving == 0 || now < n.leaving+leaveAfter {
		return false
	}
	if now >= n.leaving+leaveMost && n.core.Open() == 0 { // sessions that stand may last for ever; requests have a deadline
		return true
	}
	waiting, _, _ := n.queue.Stats()
	return n.core.Open() == 0 && n.core.Held() == 0 && waiting == 0 && now >= n.saidAt+leaveQuiet && !n.viewers.Halves() &&
		n.clients.drained()
}

func (n *Node) handle(item any) {
	now := n.now()
	n.trace(item)
	switch e := item.(type) {
	case accepted:
		n.saidAt = now
		n.viewers.Accepted(now, e.conn)
	case said:
		n.saidAt = now
		e.from.heard(e.list)
		n.viewers.Received(now, e.read, e.from.id, e.list, e.broken, e.partial, n.core.Known)
	case left:
		n.viewers.Lost(now, e.conn)
	case connected:
		n.servers.Connected(now, n.owners[e.conn], e.conn)
	case dialFailed:
		n.servers.DialFailed(now, n.owners[e.conn], e.conn, e.why)
		delete(n.owners, e.conn)
	case received:
		n.servers.Received(now, n.owners[e.conn], e.conn, e.b)
	case lost:
		n.servers.Lost(now, n.owners[e.conn], e.conn, e.begun)
		delete(n.owners, e.conn)
	case feedUp:
		n.watch.Connected(now, e.conn)
	case feedLost:
		n.watch.Lost(now, e.conn)
	case feedSaid:
		n.watch.Received(now, e.conn, e.lines, e.broken)
	case reload:
		n.reload()
	case reloaded:
		n.reloaded(now, e)
	case leave:
		if n.leaving == 0 {
			n.leaving = now
			n.log.Info().Int("open", n.core.Open()).Int("held", n.core.Held()).Msg("leaving")
		}
	case inspect:
		e.reply <- n.snapshot()
	}
	n.settle()
}

// settle carries out what the dialogues have come up with, until all is quiet.
func (n *Node) settle() {
	for {
		feed, events := n.watch.Take()
		for _, a := range feed {
			switch {
			case a.Dial != "":
				n.tail(a.Conn, a.Dial, time.Duration(a.Within))
			case a.Close:
				n.feed.Shut(a.Conn)
			default:
				n.feed.SendHere(a.Conn, a.Bytes)
			}
		}
		for _, e := range events {
			n.listed(e)
		}
		acts, news := n.servers.Take()
		for _, a := range acts {
			switch {
			case a.Dial != "":
				n.owners[a.Conn] = a.Server
				n.dial(a.Conn, a.Dial, time.Duration(a.Within))
			case a.Finish:
				n.links.EndWrites(a.Conn)
			case a.Close:
				n.links.Shut(a.Conn)
			default:
				n.links.SendHere(a.Conn, a.Bytes)
			}
		}
		says, asks := n.viewers.Take()
		for _, a := range says {
			if a.Close {
				n.clients.shut(a.Conn, a.Bytes)
			} else {
				n.clients.send(a.Conn, a.Bytes)
			}
		}
		if len(feed)+len(events)+len(acts)+len(news)+len(says)+len(asks) == 0 {
			return
		}
		for _, e := range append(news, asks...) {
			n.step(e)
		}
	}
}

func (n *Node) step(e front.Event) {
	now := n.now()
	n.trace(e)
	if a, ok := e.(front.Adopt); ok {
		if !n.servers.Adopt(now, front.Setup{Session: a.ID, Server: a.Server, Title: a.Title, Class: a.Class, Viewer: a.Viewer, Name: a.Name}) {
			n.log.Warn().Str("session", wire.Sid(a.ID)).Msg("handed over at a server that is not known")
			n.viewers.Do(now, front.Over{Session: a.ID, Why: front.WhyLost}) // its client would hold it for ever
			return
		}
	}
	n.carry(n.core.Step(now, e))
}

func (n *Node) carry(effects []front.Effect) {
	if len(effects) == 0 {
		return
	}
	now := n.now()
	var ended []uint64
	for _, effect := range effects {
		n.trace(effect)
		switch e := effect.(type) {
		case front.Log:
			n.log.Info().Str("from", "module").Msg(e.Text)
		case front.Fault:
			n.log.Error().Msg("fault: " + e.Text)
		case front.Follow: // the journal is followed all the time
		case front.Plays:
			if !n.viewers.Do(now, e) {
				ended = append(ended, e.Session)
			}
		case front.Refused, front.Failed, front.Moved, front.Over:
			n.viewers.Do(now, e)
		default:
			n.servers.Do(now, e)
		}
	}
	for _, id := range ended {
		n.carry(append([]front.Effect(nil), n.core.Step(now, front.Leave{Session: id})...))
	}
}

// listed passes an event of the journal on: to the servers' desk first, for the core may send to a new server at once.
// What waits for a server that drains is taken back by the core's Withdraw, in the same turn.
func (n *Node) listed(e wire.Event) {
	now := n.now()
	kind := policy.ListDelta
	if e.Hosts.Whole {
		kind = policy.ListFull
	}
	entries, list, bad := n.hosts.take(e.Hosts)
	for _, text := range bad {
		n.log.Warn().Uint64("event", e.Pos).Msg(text)
	}
	n.log.Info().Uint64("event", e.Pos).Bool("whole", e.Hosts.Whole).Int("entries", len(entries)).Msg("server list")
	if n.log.GetLevel() <= zerolog.DebugLevel {
		for _, x := range list {
			n.log.Debug().Str("server", fmt.Sprintf("%08x", x.ID)).Str("addr", x.Addr).Bool("drains", x.Drains).Bool("gone", x.Gone).Msg("listed")
		}
	}
	n.servers.Listed(now, list)
	n.share()
	n.carry(n.core.Step(now, front.Listed{List: policy.List{Kind: kind, Entries: entries}}))
}

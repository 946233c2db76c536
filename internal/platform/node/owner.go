package node

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/admission"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// runOwner is the owner goroutine: it takes events from the queue, lets the core decide, and executes the effects.
func (n *Node) runOwner(ctx context.Context) {
	defer close(n.done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	var batch []any
	var readUntil, tickAt, statsAt front.Time
	last := n.now()
	statsAt = last + statsInterval
	for {
		now := n.now()
		if wait := admission.ReadWindowAfterStall(now - last); wait > 0 {
			readUntil = now + wait
			n.log.Warn().Int64("ms", (now-last)/policy.Millisecond).Msg("owner goroutine stalled")
		}
		last = now
		batch, _ = n.queue.Take(maxBatch, batch)
		for _, item := range batch {
			n.handle(item)
		}
		if now = n.now(); now < readUntil {
			time.Sleep(time.Millisecond)
			continue
		}
		n.execute(n.core.Advance(now))
		n.processEffects()
		if now >= tickAt {
			tickAt = now + front.Time(tickInterval)
			n.servers.Tick(now)
			n.viewers.Tick(now)
			n.follower.Tick(now)
			n.processEffects()
		}
		if now >= statsAt {
			statsAt = now + statsInterval
			n.logSnapshot()
		}
		if n.advanceShutdown(now) || ctx.Err() != nil {
			n.logSnapshot()
			n.logEnd(now)
			return
		}
		if len(batch) == maxBatch {
			runtime.Gosched() // readers may hold lines that withdraw requests further back in the queue
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

// handle processes one item of the queue.
func (n *Node) handle(item any) {
	now := n.now()
	n.trace(item)
	switch e := item.(type) {
	case clientAccepted:
		n.clientActiveAt = now
		n.viewers.Accepted(now, e.conn, e.host)
	case clientReceived:
		n.clientActiveAt = now
		e.from.processed(e.clientInput)
		n.viewers.Received(now, e.readAt, e.from.id, e.list, e.readErr, e.partialBytes, n.core.IDInUse)
		e.from.standing.Store(uint32(standingOf(n.viewers.History(e.from.id))))
	case clientClosed:
		if e.cause != "" {
			n.writerCloses++
			n.logClose(e.conn, string(e.cause), n.viewers.CloseUnread(now, e.conn))
		}
		n.viewers.Lost(now, e.conn)
	case serverConnected:
		n.servers.Connected(now, n.serverByConn[e.conn], e.conn)
	case serverDialFailed:
		n.servers.DialFailed(now, n.serverByConn[e.conn], e.conn, e.failure)
		delete(n.serverByConn, e.conn)
	case serverReceived:
		n.servers.Received(now, n.serverByConn[e.conn], e.conn, e.bytes)
		n.serverConns.Processed(e.conn, len(e.bytes))
	case serverClosed:
		n.servers.Lost(now, n.serverByConn[e.conn], e.conn, e.submitted)
		delete(n.serverByConn, e.conn)
	case journalConnected:
		n.follower.Connected(now, e.conn)
	case journalClosed:
		n.follower.Lost(now, e.conn)
	case journalReceived:
		n.follower.Received(now, e.conn, e.lines, e.readErr)
		n.journalConns.Processed(e.conn, e.bytes)
	case reloadRequested:
		n.loadConfig()
	case configLoaded:
		n.applyConfig(now, e)
	case shutdownRequested:
		if n.shutdownAt == 0 {
			n.beginShutdown(e.receivedAt)
		}
	case snapshotRequested:
		e.reply <- n.takeSnapshot()
	}
	n.processEffects()
}

// processEffects executes the effects of the protocols and passes their events on until there are none left.
func (n *Node) processEffects() {
	for {
		journalEffects, listEvents := n.follower.Take()
		for _, a := range journalEffects {
			switch {
			case a.Dial != "":
				n.dialJournal(a.Conn, a.Dial, time.Duration(a.Timeout))
			case a.Close:
				n.journalConns.CloseConn(a.Conn)
			default:
				n.journalConns.SendInline(a.Conn, a.Bytes)
			}
		}
		for _, e := range listEvents {
			n.applyListEvent(e)
		}
		serverEffects, serverEvents := n.servers.Take()
		for _, a := range serverEffects {
			if a.Close {
				n.trace(a)
			}
			switch {
			case a.Dial != "":
				n.serverByConn[a.Conn] = a.Server
				n.dialServer(a.Conn, a.Dial, time.Duration(a.Timeout))
			case a.CloseWrite:
				n.serverConns.CloseWriteAfterFlush(a.Conn)
			case a.Close:
				n.serverConns.CloseConn(a.Conn)
			default:
				n.serverConns.SendInline(a.Conn, a.Bytes)
			}
		}
		viewerEffects, viewerEvents := n.viewers.Take()
		for _, a := range viewerEffects {
			if a.Close {
				n.logClose(a.Conn, string(a.Reason), a.GivenUp)
				n.trace(a)
				n.clients.closeAfter(a.Conn, a.Bytes)
			} else {
				n.clients.send(a.Conn, a.Bytes)
			}
		}
		if len(journalEffects)+len(listEvents)+len(serverEffects)+len(serverEvents)+
			len(viewerEffects)+len(viewerEvents) == 0 {
			return
		}
		for _, e := range append(serverEvents, viewerEvents...) {
			n.step(e)
		}
	}
}

// step passes an event to the core and executes its effects. A session restored at an unknown server is ended.
func (n *Node) step(e front.Event) {
	now := n.now()
	n.trace(e)
	if a, ok := e.(front.Restore); ok {
		if !n.servers.Restore(now, front.Setup{Session: a.ID, Server: a.Server, Title: a.Title, Class: a.Class,
			Viewer: a.Viewer, Name: a.Name}) {
			n.log.Warn().Str("session", wire.Sid(a.ID)).Msg("restored session names an unknown server; ending it")
			// Otherwise its client would hold it forever.
			n.viewers.Apply(now, front.SessionEnded{Session: a.ID, Reason: front.EndReasonLost})
			return
		}
	}
	n.execute(n.core.Step(now, e))
}

// execute carries out effects of the core. A session that plays but whose viewer has left is ended at once.
func (n *Node) execute(effects []front.Effect) {
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
		case front.Subscribe: // the journal is always followed
		case front.Plays:
			if !n.viewers.Apply(now, e) {
				ended = append(ended, e.Session)
			}
		case front.Refused, front.Failed, front.Moved, front.SessionEnded:
			n.viewers.Apply(now, e)
		default:
			n.servers.Apply(now, e)
		}
	}
	for _, id := range ended {
		n.execute(append([]front.Effect(nil), n.core.Step(now, front.Leave{Session: id})...))
	}
}

// applyListEvent passes an event of the journal on, to the servers' protocol first: the core may send to a new server
// at once. Set-ups that wait for a draining server are withdrawn by the core's Withdraw effect in the same call.
func (n *Node) applyListEvent(e wire.Event) {
	now := n.now()
	kind := policy.ListDelta
	if e.Hosts.Whole {
		kind = policy.ListFull
	}
	entries, serverList, invalid := n.serverIDs.apply(e.Hosts)
	for _, text := range invalid {
		n.log.Warn().Uint64("event", e.Pos).Msg(text)
	}
	n.log.Info().Uint64("event", e.Pos).Bool("whole", e.Hosts.Whole).Int("entries", len(entries)).Msg("server list")
	if n.log.GetLevel() <= zerolog.DebugLevel {
		for _, server := range serverList {
			n.log.Debug().Str("server", fmt.Sprintf("%08x", server.ID)).Str("addr", server.Addr).
				Bool("drains", server.Draining).Bool("gone", server.Removed).Msg("listed")
		}
	}
	n.servers.Listed(now, serverList)
	n.divideDescriptors()
	n.execute(n.core.Step(now, front.Listed{List: policy.List{Kind: kind, Entries: entries}}))
}

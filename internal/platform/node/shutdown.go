package node

import (
	"time"

	"tealledge/decide/shutdown"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// The shutdown of a front: it serves on by a plan that ends before the platform may kill it, then refuses requests,
// stops listening, closes the viewers' connections and ends. Sessions that are playing belong to no connection and do
// not hold it up.

// Durations of a shutdown.
const (
	earlyEndDelay = 1500 * policy.Millisecond // requests may arrive this long after SIGTERM; includes a margin
	unusedTime    = 300 * policy.Millisecond  // a front ends early if viewers have sent nothing for this long
	connQuietTime = 40 * policy.Millisecond   // a connection is closed if nothing was received for this long
)

// maxLoggedRequests bounds the ids of open requests that are logged when a shutdown begins.
const maxLoggedRequests = 64

// Shutdown starts a graceful shutdown, requested by a SIGTERM that was received at a given time.
func (n *Node) Shutdown(receivedAt time.Time) {
	n.queue.Force(shutdownRequested{n.startedAt.UnixNano() + int64(receivedAt.Sub(n.startedAt))})
}

// beginShutdown starts the shutdown. A further SIGTERM changes nothing.
func (n *Node) beginShutdown(receivedAt front.Time) {
	now := n.now()
	n.shutdownAt = receivedAt
	earliestKill := shutdown.EarliestKill(receivedAt, n.cfg.Settings.Classes)
	n.shutdownPlan = shutdown.NewPlan(earliestKill)
	var open []string
	n.core.Sessions(func(id, _ uint64, playing bool) {
		if !playing && len(open) < maxLoggedRequests {
			open = append(open, wire.Sid(id))
		}
	})
	n.log.Info().Int("open", n.core.OpenRequests()).Int("held", n.core.SessionCount()).Strs("sids", open).
		Int64("signal_ms_ago", (now-receivedAt)/policy.Millisecond).
		Int64("kill_in_ms", (earliestKill-now)/policy.Millisecond).Msg("leaving")
	n.step(front.Shutdown{Plan: n.shutdownPlan})
}

// advanceShutdown carries out what is due of a shutdown, and reports whether the front has ended. It never ends with a
// request open: the core answers all by the plan.
func (n *Node) advanceShutdown(now front.Time) (ended bool) {
	if n.shutdownAt == 0 {
		return false
	}
	if !n.closing && (now >= n.shutdownPlan.CloseAt || n.unused(now)) {
		n.beginClosing(now)
	}
	if !n.closing {
		return false
	}
	switch {
	case now >= n.shutdownPlan.EndBy:
		n.viewers.CloseUnanswering(now)
	case now >= n.shutdownPlan.ForceCloseAt: // what is unread can still be read and refused
		n.viewers.CloseQuiet(now, 0)
	default:
		n.viewers.CloseQuiet(now, connQuietTime)
	}
	n.processEffects()
	if n.core.OpenRequests() > 0 {
		return false
	}
	return now >= n.shutdownPlan.EndBy || n.clients.openConns.Load() == 0 && n.servers.PendingReleases() == 0
}

// beginClosing stops listening and refuses further requests, unless a connection is just waiting to be accepted.
func (n *Node) beginClosing(now front.Time) {
	if n.clients.acceptPending() && now < n.shutdownPlan.ForceCloseAt {
		return
	}
	n.closing = true
	n.shutdownPlan = n.shutdownPlan.EndEarly(now)
	n.log.Info().Int("held", n.core.SessionCount()).Int64("conns", n.clients.openConns.Load()).Msg("closing")
	n.clients.stopListening()
	n.step(front.Shutdown{Plan: n.shutdownPlan})
}

// unused reports whether a front that is shutting down can end before its time: no request is open, no session is
// held, no request is half received, no answer is unwritten, and viewers have sent nothing for a while, so that no
// request is unread in a socket or in the queue.
func (n *Node) unused(now front.Time) bool {
	waiting, _, _ := n.queue.Stats()
	return now >= n.shutdownAt+earlyEndDelay && now >= n.clientActiveAt+unusedTime && waiting == 0 &&
		n.core.OpenRequests() == 0 && n.core.SessionCount() == 0 && !n.viewers.HasPartialLine() && n.clients.drained()
}

// logEnd logs the state in which the front ends.
func (n *Node) logEnd(now front.Time) {
	entry := n.log.Info().Int("open", n.core.OpenRequests()).Int("held", n.core.SessionCount())
	if n.shutdownAt != 0 {
		entry.Int64("signal_ms_ago", (now-n.shutdownAt)/policy.Millisecond)
	}
	entry.Msg("ending")
}

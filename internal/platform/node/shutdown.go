package node

import (
	"time"

	"tealledge/decide/shutdown"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// maxLoggedRequests bounds the ids of open requests that are logged when a shutdown begins.
const maxLoggedRequests = 64

// Shutdown starts a graceful shutdown, requested by a SIGTERM that was received at a given time: the front serves on
// until no request can be pending any more.
func (n *Node) Shutdown(receivedAt time.Time) {
	n.queue.Force(shutdownRequested{n.startedAt.UnixNano() + int64(receivedAt.Sub(n.startedAt))})
}

// beginShutdown starts the shutdown. A further SIGTERM changes nothing.
func (n *Node) beginShutdown(receivedAt front.Time) {
	now := n.now()
	n.shutdownAt = receivedAt
	n.earliestKill = shutdown.EarliestKill(receivedAt, n.cfg.Settings.Classes)
	var open []string
	n.core.Sessions(func(id, _ uint64, playing bool) {
		if !playing && len(open) < maxLoggedRequests {
			open = append(open, wire.Sid(id))
		}
	})
	n.log.Info().Int("open", n.core.OpenRequests()).Int("held", n.core.SessionCount()).Strs("sids", open).
		Int64("signal_ms_ago", (now-receivedAt)/policy.Millisecond).
		Int64("kill_in_ms", (n.earliestKill-now)/policy.Millisecond).Msg("leaving")
}

// logEnd logs the state in which the front ends.
func (n *Node) logEnd(now front.Time) {
	entry := n.log.Info().Int("open", n.core.OpenRequests()).Int("held", n.core.SessionCount())
	if n.shutdownAt != 0 {
		entry.Int64("signal_ms_ago", (now-n.shutdownAt)/policy.Millisecond)
	}
	entry.Msg("ending")
}

// finished reports whether a front that is shutting down can stop: no request is open, no session is held, no request
// is half received, no answer is unwritten, and viewers have sent nothing for a while, so that no request is unread
// in a socket or in the queue. Closing a connection with unread input discards that input and the bytes just written.
// Sessions that are playing would end with the front.
func (n *Node) finished(now front.Time) bool {
	if n.shutdownAt == 0 || now < n.shutdownAt+shutdownDelay {
		return false
	}
	// Sessions may play forever; requests have a deadline.
	if now >= n.shutdownAt+shutdownTimeout && n.core.OpenRequests() == 0 {
		return true
	}
	waiting, _, _ := n.queue.Stats()
	return n.core.OpenRequests() == 0 && n.core.SessionCount() == 0 && waiting == 0 &&
		now >= n.clientActiveAt+shutdownQuietWindow && !n.viewers.HasPartialLine() && n.clients.drained()
}

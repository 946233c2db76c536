package node

import (
	"fmt"

	"github.com/rs/zerolog"

	"tealledge/internal/front"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// maxShutdownTraceLines bounds the lines of trace during a shutdown.
const maxShutdownTraceLines = 2000

// maxCloseLines bounds the lines a second about closed connections.
const maxCloseLines = 20

// logClose logs that the front closes a viewer's connection by its own decision, if requests are given up by it.
func (n *Node) logClose(conn uint64, reason string, givenUp int) {
	if givenUp > 0 {
		n.closeLog.Warn().Uint64("conn", conn).Str("why", reason).Int("given_up", givenUp).
			Msg("viewer's connection closed with open requests")
	}
}

// traceLine starts a line of trace, or returns nil if trace logs nothing now. It logs at level debug, and during a
// shutdown at level info: a line costs microseconds, which add up on a small part of a core.
func (n *Node) traceLine() *zerolog.Event {
	if n.shutdownAt != 0 && n.shutdownTraceLines < maxShutdownTraceLines {
		n.shutdownTraceLines++
		return n.log.Info()
	}
	return n.log.Debug()
}

// traceOff reports whether trace logs nothing now.
func (n *Node) traceOff() bool {
	return n.log.GetLevel() > zerolog.DebugLevel &&
		(n.shutdownAt == 0 || n.shutdownTraceLines >= maxShutdownTraceLines)
}

// trace logs an event for the core, an effect of the core, or an event of a connection, and ignores other items. With
// one line for each, a session id can be followed through the logs of all fronts that had the session.
func (n *Node) trace(item any) {
	if n.traceOff() {
		return
	}
	entry := func(sid uint64, server uint32) *zerolog.Event {
		l := n.traceLine()
		if sid != 0 {
			l.Str("sid", wire.Sid(sid))
		}
		if server != 0 {
			l.Str("server", fmt.Sprintf("%08x", server))
		}
		return l
	}
	ms := func(t front.Time) int64 { return t / policy.Millisecond }
	switch e := item.(type) {
	case front.Request:
		entry(e.ID, 0).Int("class", e.Class).Int64("left", ms(e.Timeout)).Uint64("conn", e.Player).
			Int64("read_ms_ago", ms(n.now()-e.ReadAt)).Msg("ask")
	case front.Restore:
		entry(e.ID, e.Server).Msg("session restored")
	case front.Leave:
		entry(e.Session, 0).Msg("viewer left")
	case front.AttemptStarted:
		entry(e.Session, 0).Int64("took", ms(e.Took)).Msg("began")
	case front.AttemptEnded:
		entry(e.Session, 0).Int64("took", ms(e.Took)).Int("status", int(e.Status)).Msg("ended")
	case front.Setup:
		entry(e.Session, e.Server).Int64("within", ms(e.Timeout)).Msg("set-up")
	case front.Abandon:
		entry(e.Session, e.Server).Int("cause", int(e.Cause)).Msg("abandoned")
	case front.Stop:
		entry(e.Session, e.Server).Bool("moved", e.Moved).Msg("stopped")
	case front.Plays:
		entry(e.Session, e.Server).Msg("plays")
	case front.Refused:
		entry(e.Session, 0).Int64("after", ms(e.RetryAfter)).Str("why", string(e.Reason)).Msg("refused")
	case front.Failed:
		entry(e.Session, 0).Str("why", string(e.Reason)).Msg("failed")
	case front.Moved:
		entry(e.Session, 0).Msg("moved")
	case front.SessionEnded:
		entry(e.Session, 0).Str("why", string(e.Reason)).Msg("over")
	case front.Probe:
		entry(0, e.Server).Msg("test")
	case front.Probed:
		entry(0, e.Server).Int("status", int(e.Status)).Int64("took", ms(e.Took)).Msg("tested")
	case front.Withdraw:
		entry(0, e.Server).Msg("withdrawn")
	case clientAccepted:
		entry(0, 0).Uint64("conn", e.conn).Msg("viewer connected")
	case clientClosed:
		entry(0, 0).Uint64("conn", e.conn).Str("why", string(e.cause)).Msg("viewer's connection ended")
	case viewers.Effect:
		entry(0, 0).Uint64("conn", e.Conn).Str("why", string(e.Reason)).Msg("closing viewer's connection")
	case servers.Effect:
		entry(0, e.Server).Uint64("conn", e.Conn).Str("why", string(e.Reason)).Msg("closing connection")
	case serverConnected:
		entry(0, n.serverByConn[e.conn]).Uint64("conn", e.conn).Msg("connected")
	case serverDialFailed:
		entry(0, n.serverByConn[e.conn]).Uint64("conn", e.conn).Int("why", int(e.failure)).Msg("connect failed")
	case serverClosed:
		entry(0, n.serverByConn[e.conn]).Uint64("conn", e.conn).Msg("connection closed")
	}
}

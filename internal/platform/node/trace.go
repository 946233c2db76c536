package node

import (
	"fmt"

	"github.com/rs/zerolog"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Traces tell what becomes of a session and of a connection to a server: one line for each event and effect, so that an id
// can be followed through the logs of all fronts that had it. Only at level debug: a line costs microseconds, and on a
// small part of a core these add up.

// trace tells of an event for the core, an effect of it, or what came of a connection; others are passed over.
func (n *Node) trace(x any) {
	if n.log.GetLevel() > zerolog.DebugLevel {
		return
	}
	line := func(sid uint64, server uint32) *zerolog.Event {
		l := n.log.Debug()
		if sid != 0 {
			l.Str("sid", wire.Sid(sid))
		}
		if server != 0 {
			l.Str("server", fmt.Sprintf("%08x", server))
		}
		return l
	}
	ms := func(t front.Time) int64 { return t / policy.Millisecond }
	switch e := x.(type) {
	case front.Ask:
		line(e.ID, 0).Int("class", e.Class).Int64("left", ms(e.Wait)).Msg("ask")
	case front.Adopt:
		line(e.ID, e.Server).Msg("handed over")
	case front.Leave:
		line(e.Session, 0).Msg("viewer left")
	case front.Began:
		line(e.Session, 0).Int64("took", ms(e.Took)).Msg("began")
	case front.Ended:
		line(e.Session, 0).Int64("took", ms(e.Took)).Int("status", int(e.Status)).Msg("ended")
	case front.Setup:
		line(e.Session, e.Server).Int64("within", ms(e.Within)).Msg("set-up")
	case front.Abandon:
		line(e.Session, e.Server).Int("cause", int(e.Cause)).Msg("abandoned")
	case front.Stop:
		line(e.Session, e.Server).Bool("moved", e.Moved).Msg("stopped")
	case front.Plays:
		line(e.Session, e.Server).Msg("plays")
	case front.Refused:
		line(e.Session, 0).Int64("after", ms(e.After)).Msg("refused")
	case front.Failed:
		line(e.Session, 0).Msg("failed")
	case front.Moved:
		line(e.Session, 0).Msg("moved")
	case front.Over:
		line(e.Session, 0).Str("why", string(e.Why)).Msg("over")
	case front.Probe:
		line(0, e.Server).Msg("test")
	case front.Probed:
		line(0, e.Server).Int("status", int(e.Status)).Int64("took", ms(e.Took)).Msg("tested")
	case front.Withdraw:
		line(0, e.Server).Msg("withdrawn")
	case connected:
		line(0, n.owners[e.conn]).Uint64("conn", e.conn).Msg("connected")
	case dialFailed:
		line(0, n.owners[e.conn]).Uint64("conn", e.conn).Int("why", int(e.why)).Msg("connect failed")
	case lost:
		line(0, n.owners[e.conn]).Uint64("conn", e.conn).Msg("connection ended")
	}
}

package viewers

import (
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// Sessions that were handed over: held up to a limit.

// maxEndedAtOnce is how many sessions are ended together to make room: finding them takes time.
const maxEndedAtOnce = 64

// restoredSessions holds the ids of the sessions that were handed over, by the connection on which they were.
type restoredSessions map[uint64]map[uint64]bool

// add adds a session.
func (l restoredSessions) add(conn, sid uint64) {
	if l[conn] == nil {
		l[conn] = map[uint64]bool{}
	}
	l[conn][sid] = true
}

// remove removes a session, if it was handed over.
func (l restoredSessions) remove(conn, sid uint64) {
	delete(l[conn], sid)
	if len(l[conn]) == 0 {
		delete(l, conn)
	}
}

// largest returns the connection with the most sessions.
func (l restoredSessions) largest() (conn uint64) {
	for id, list := range l {
		if len(list) > len(l[conn]) || len(list) == len(l[conn]) && id < conn {
			conn = id
		}
	}
	return conn
}

// makeRoomForSession ends sessions that were handed over on another connection, if there are more of them than on this one:
// a client that hands over thousands must not displace those of the others. It returns false if there is no room.
func (p *Protocol) makeRoomForSession(conn uint64) bool {
	if len(p.sessions) <= p.cfg.MaxSessions {
		return true
	}
	largest := p.restored.largest()
	if len(p.restored[largest]) <= len(p.restored[conn]) {
		return false
	}
	ended := 0
	for sid := range p.restored[largest] {
		p.Stats.Unrestored++
		p.sendEnd(sid, wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseReset})
		p.events = append(p.events, front.Leave{Session: sid})
		if ended++; ended == maxEndedAtOnce || len(p.restored[largest]) <= len(p.restored[conn]) {
			break
		}
	}
	return true
}

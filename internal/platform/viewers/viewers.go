// Package viewers is the dialogue of one front with the operators' viewers: JSON lines over connections that each carry
// many sessions. It is a pure state machine: lines that were read go in, and effects of the core; lines to write and
// events for the core come out.
//
// Every line is checked here before anything of it reaches the core: whatever can't be used is answered with an error
// or a close, at once, and costs no server anything.
package viewers

import (
	"math"

	"tealledge/internal/front"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

// Config is what a desk is started with. Sizes bound what clients may cost.
type Config struct {
	Settings policy.Settings
	Classes  []string                    // names, by the module's numbers
	Host     func(string) (uint32, bool) // a server's number
	OpenMost int                         // requests without their answer on one connection
	Silent   Time                        // a connection that never said anything is closed after
	Half     Time                        // a line that stays half so long is an error
	Idle     Time                        // a connection without sessions is closed after so long without a word
	Quiet    func(conn uint64) bool      // whether nothing that came on a connection waits to be read or handed on; nil: nothing does
}

// recentFor is how long the ids of sessions that are over are known, so that words that cross are not taken for bad ones.
const (
	recentTTL = 5 * policy.Second
	maxRecent = 8192
)

// Act is what the shell is to do with a connection: write, then close if Close is set.
type Effect struct {
	Conn  uint64
	Bytes []byte
	Close bool
}

// Desk holds the dialogues with all viewers.
type Desk struct {
	cfg             Config
	now             Time
	classes         map[string]int
	conns           map[uint64]*client
	sessions        map[uint64]*session
	pendingReleases map[uint64]pendingRelease // releases that no connection could carry
	pendingRestores map[uint64]pendingRestore
	recent          map[uint64]Time
	recentOrder     []uint64 // of recent
	maxConns        int      // connections held
	effects         []Effect
	events          []front.Event
	Stats           Stats
}

// Stats counts what viewers did.
type Stats struct {
	Accepted, Evicted, Silent, Idle, BadLines, BadAsks, Crowded, TakenBack uint64
	LastBad                                                                string // why the last one was bad
}

type client struct {
	id             uint64
	connectedAt    Time // when it connected
	lastReceivedAt Time
	sentValidLine  bool // a line that could be used
	openRequests   map[uint64]bool
	sessionCount   int
	partialSince   Time
	closed         bool
}

type session struct {
	conn        uint64
	established bool
}

type pendingRelease struct {
	bytes     []byte
	expiresAt Time
}

// New makes a desk without connections.
func New(cfg Config) *Desk {
	p := &Desk{cfg: cfg, classes: map[string]int{}, conns: map[uint64]*client{}, sessions: map[uint64]*session{},
		pendingReleases: map[uint64]pendingRelease{}, pendingRestores: map[uint64]pendingRestore{}, recent: map[uint64]Time{}, maxConns: math.MaxInt}
	for i, name := range cfg.Classes {
		p.classes[name] = i
	}
	return p
}

// Take gives what has come up since the last call.
func (p *Desk) Take() ([]Effect, []front.Event) {
	effects, events := p.effects, p.events
	p.effects, p.events = nil, nil
	return effects, events
}

// over forgets a session; its id is known a little longer.
func (p *Desk) forget(sid uint64) {
	s := p.sessions[sid]
	if s == nil {
		return
	}
	delete(p.sessions, sid)
	delete(p.pendingRestores, sid)
	if c := p.conns[s.conn]; c != nil {
		delete(c.openRequests, sid)
		if s.established {
			c.sessionCount--
		}
	}
	p.remember(sid)
}

func (p *Desk) remember(sid uint64) {
	if _, known := p.recent[sid]; !known {
		p.recentOrder = append(p.recentOrder, sid)
	}
	p.recent[sid] = p.now + recentTTL
	for len(p.recentOrder) > maxRecent || len(p.recentOrder) > 0 && p.recent[p.recentOrder[0]] <= p.now {
		delete(p.recent, p.recentOrder[0])
		p.recentOrder = p.recentOrder[1:]
	}
}

// Conn gives the connection on which a request waits for its answer.
func (p *Desk) Conn(session uint64) (conn uint64, ok bool) {
	s := p.sessions[session]
	if s == nil || s.established {
		return 0, false
	}
	return s.conn, true
}

// Counts tells how many connections, sessions, ids of ended sessions and releases owed the desk holds.
func (p *Desk) Counts() (conns, sessions, recent, owed int) {
	return len(p.conns), len(p.sessions), len(p.recent), len(p.pendingReleases)
}

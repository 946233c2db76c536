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
	recentFor  = 5 * policy.Second
	recentMost = 8192
)

// Act is what the shell is to do with a connection: write, then close if Close is set.
type Act struct {
	Conn  uint64
	Bytes []byte
	Close bool
}

// Desk holds the dialogues with all viewers.
type Desk struct {
	cfg      Config
	now      Time
	classes  map[string]int
	conns    map[uint64]*client
	sessions map[uint64]*session
	owed     map[uint64]owed // releases that no connection could carry
	early    map[uint64]early
	recent   map[uint64]Time
	order    []uint64 // of recent
	most     int      // connections held
	acts     []Act
	news     []front.Event
	Stats    Stats
}

// Stats counts what viewers did.
type Stats struct {
	Accepted, Evicted, Silent, Idle, BadLines, BadAsks, Crowded, TakenBack uint64
	LastBad                                                                string // why the last one was bad
}

type client struct {
	id        uint64
	at        Time // when it connected
	heardAt   Time
	said      bool // a line that could be used
	open      map[uint64]bool
	standing  int
	partialAt Time
	closed    bool
}

type session struct {
	conn     uint64
	standing bool
}

type owed struct {
	bytes []byte
	until Time
}

// New makes a desk without connections.
func New(cfg Config) *Desk {
	d := &Desk{cfg: cfg, classes: map[string]int{}, conns: map[uint64]*client{}, sessions: map[uint64]*session{},
		owed: map[uint64]owed{}, early: map[uint64]early{}, recent: map[uint64]Time{}, most: math.MaxInt}
	for i, name := range cfg.Classes {
		d.classes[name] = i
	}
	return d
}

// Take gives what has come up since the last call.
func (d *Desk) Take() ([]Act, []front.Event) {
	acts, news := d.acts, d.news
	d.acts, d.news = nil, nil
	return acts, news
}

// over forgets a session; its id is known a little longer.
func (d *Desk) over(sid uint64) {
	s := d.sessions[sid]
	if s == nil {
		return
	}
	delete(d.sessions, sid)
	delete(d.early, sid)
	if c := d.conns[s.conn]; c != nil {
		delete(c.open, sid)
		if s.standing {
			c.standing--
		}
	}
	d.remember(sid)
}

func (d *Desk) remember(sid uint64) {
	if _, known := d.recent[sid]; !known {
		d.order = append(d.order, sid)
	}
	d.recent[sid] = d.now + recentFor
	for len(d.order) > recentMost || len(d.order) > 0 && d.recent[d.order[0]] <= d.now {
		delete(d.recent, d.order[0])
		d.order = d.order[1:]
	}
}

// Conn gives the connection on which a request waits for its answer.
func (d *Desk) Conn(session uint64) (conn uint64, ok bool) {
	s := d.sessions[session]
	if s == nil || s.standing {
		return 0, false
	}
	return s.conn, true
}

// Counts tells how many connections, sessions, ids of ended sessions and releases owed the desk holds.
func (d *Desk) Counts() (conns, sessions, recent, owed int) {
	return len(d.conns), len(d.sessions), len(d.recent), len(d.owed)
}

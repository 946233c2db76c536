// Package viewers implements the protocol of one front with the operators' viewers: JSON lines over connections that
// each carry many sessions. It is a pure state machine: it takes the lines read and the effects of the core, and gives
// lines to write and events for the core.
//
// Every line is validated here before any of it reaches the core: an invalid line is answered with an error, or its
// connection is closed, at once and without work for any server.
package viewers

import (
	"math"
	"net/netip"

	"tealledge/internal/front"
	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Config holds the parameters of a Protocol. Its limits bound what clients may use up.
type Config struct {
	Settings           policy.Settings
	Classes            []string                    // class names, by the module's class numbers
	ServerID           func(string) (uint32, bool) // returns a server's number by its name; false: not listed
	MaxOpenRequests    int                         // limit on unanswered requests on one connection
	MaxOpenBytes       int                         // limit on the descriptions of all unanswered requests; 0: none
	MaxPartialBytes    int                         // limit on the incomplete lines of all connections; 0: none
	MaxSessions        int                         // limit on sessions held, past which some are not restored; 0: none
	SilentTimeout      Time                        // a connection without a valid line is closed after this time
	PartialLineTimeout Time                        // a line incomplete for this long is an error, once no request is open
	IdleTimeout        Time                        // silence after which an unused connection is closed
	WasSent            func(id uint64) bool        // whether a request of this id was sent to a server; nil: never
	NoPendingInput     func(conn uint64) bool      // whether all input of a connection was handled; nil: always
	PendingBytes       func(conn uint64) int       // length of input that was not handled; nil: not known
	Backlogged         func(conn uint64) bool      // whether a connection's end may be behind much unread input; nil: never
	OutputArrived      func(conn uint64) bool      // whether all output has arrived at the client's machine; nil: always
}

// The ids of ended sessions are kept for recentTTL, so that messages that cross the end are not rejected as invalid, and a
// session that is handed over again is not taken for a new one while its end may still be sent.
const (
	recentTTL = pendingEndTTL + policy.Second
	maxRecent = 8192
)

// Effect is an operation that the shell carries out on a connection: write Bytes, then close it if Close is set.
type Effect struct {
	Conn    uint64
	Bytes   []byte
	Close   bool
	Reason  CloseReason // for the log
	GivenUp int         // requests that the close leaves without an answer
}

// CloseReason is the reason for which a connection is closed.
type CloseReason string

// Reasons of closes.
const (
	CloseEvicted CloseReason = "too many connections"
	CloseSilent  CloseReason = "no valid line"
	CloseIdle    CloseReason = "idle"
	CloseInvalid CloseReason = "invalid input"
	CloseLarge   CloseReason = "too much incomplete input"
	CloseEndless CloseReason = "a line that does not end"
	CloseLeaving CloseReason = "front leaving"
)

// Protocol holds the protocol state of all viewers.
type Protocol struct {
	cfg             Config
	now             Time
	classes         map[string]int
	conns           map[uint64]*client
	sessions        map[uint64]*session
	lost            map[netip.Addr]*group  // by host, the group that lacks connections
	pendingEnds     map[uint64]*pendingEnd // ends of sessions whose client has no connection, as far as is known
	unconfirmed     map[uint64]*client     // connections with ends that may not have been read
	unconfirmedEnds int                    // their number
	pendingRestores map[uint64]pendingRestore
	restored        restoredSessions
	recent          map[uint64]Time
	recentOrder     []uint64 // keys of recent, oldest first
	maxConns        int      // limit on connections
	openBytes       int      // length of the descriptions of all unanswered requests
	partialBytes    int      // length of the incomplete lines of all connections
	effects         []Effect
	events          []front.Event
	Stats           Stats
}

// Stats counts events of viewers and their connections.
//
// Of connections: Accepted, Evicted at the limit, EvictedUnread those of them with pending input, Silent and Idle closed by these timeouts. Of input: BadLines
// rejected; BadAsks requests that are invalid or reuse an id; Crowded requests refused at MaxOpenRequests or
// MaxOpenBytes, or Backlogged; TakenBack requests cancelled in the batch that they were read in; Partial connections closed at
// MaxPartialBytes; Unrestored sessions not restored or ended at MaxSessions. Of answers: GivenUp requests whose connection the front
// closed before their answer, Departed requests whose connection was ended by the client or the network, Late answers after
// the client's time. Of ends of sessions: EndsRepeated sent again because their connection was lost or they did not arrive,
// EndsDropped whose client had no connection before they expired.
type Stats struct {
	Accepted, Evicted, Silent, Idle, BadLines, BadAsks, Crowded, TakenBack, Partial, Unrestored uint64

	EvictedUnread uint64

	GivenUp, Departed, Late uint64

	EndsRepeated, EndsDropped uint64

	LastBad string // error of the last invalid line
}

// client is a connection of a viewer.
type client struct {
	id             uint64
	group          *group
	replaces       bool // it was accepted while its group lacked a connection
	connectedAt    Time // when it connected
	lastReceivedAt Time
	validLines     uint64 // valid lines received
	badLines       uint64 // invalid lines received
	openRequests   map[uint64]bool
	established    int
	hadSession     bool      // a session was established here at least once
	unconfirmed    []sentEnd // ends of sessions that its client may not have read, oldest first
	partialBytes   int       // length of its incomplete line
	partialSince   Time
	closed         bool
}

// session is a request or, once established, a session.
type session struct {
	conn        uint64
	group       *group // of its client; set once it is established
	established bool
	claims      []uint64 // connections on which it was handed over again
	openBytes   int      // length of its description while it waits for its answer
	answerBy    Time     // when its client stops waiting; 0: it expects no answer
}

// noLimit stands for a limit that is not set.
const noLimit = math.MaxInt / 2

// New returns a Protocol without connections.
func New(cfg Config) *Protocol {
	for _, limit := range []*int{&cfg.MaxOpenBytes, &cfg.MaxPartialBytes, &cfg.MaxSessions} {
		if *limit == 0 {
			*limit = noLimit
		}
	}
	p := &Protocol{cfg: cfg, classes: map[string]int{}, conns: map[uint64]*client{}, sessions: map[uint64]*session{},
		lost: map[netip.Addr]*group{}, pendingEnds: map[uint64]*pendingEnd{}, unconfirmed: map[uint64]*client{},
		pendingRestores: map[uint64]pendingRestore{},
		restored:        restoredSessions{},
		recent:          map[uint64]Time{}, maxConns: math.MaxInt}
	for i, name := range cfg.Classes {
		p.classes[name] = i
	}
	return p
}

// Take returns the effects and events since the last call.
func (p *Protocol) Take() ([]Effect, []front.Event) {
	effects, events := p.effects, p.events
	p.effects, p.events = nil, nil
	return effects, events
}

// establish counts a session as established on a connection.
func (p *Protocol) establish(s *session, c *client) {
	s.established, s.group = true, c.group
	c.established++
	p.addStanding(s.group)
}

// servesSessions reports whether the ends of established sessions are sent on a connection.
func (c *client) servesSessions() bool {
	return c.established > 0 || c.validLines > 0 && c.group.standing > 0
}

// forget removes a session; its id is kept in recent.
func (p *Protocol) forget(sid uint64) {
	s := p.sessions[sid]
	if s == nil {
		return
	}
	delete(p.sessions, sid)
	delete(p.pendingRestores, sid)
	p.restored.remove(s.conn, sid)
	p.releaseText(s)
	if s.established {
		p.removeStanding(s.group)
	}
	if c := p.conns[s.conn]; c != nil {
		delete(c.openRequests, sid)
		if s.established {
			c.established--
		}
	}
	p.remember(sid)
}

// releaseText records that the description of a request is not needed any more.
func (p *Protocol) releaseText(s *session) {
	p.openBytes -= s.openBytes
	s.openBytes = 0
}

// remember keeps the id of an ended session for recentTTL, and at most maxRecent ids.
func (p *Protocol) remember(sid uint64) {
	if _, known := p.recent[sid]; !known {
		p.recentOrder = append(p.recentOrder, sid)
	}
	p.recent[sid] = p.now + recentTTL
	for len(p.recentOrder) > maxRecent || len(p.recentOrder) > 0 && p.recent[p.recentOrder[0]] <= p.now {
		delete(p.recent, p.recentOrder[0])
		p.recentOrder = p.recentOrder[1:]
	}
}

// RequestConn returns the connection on which a request waits for its answer.
func (p *Protocol) RequestConn(session uint64) (conn uint64, ok bool) {
	s := p.sessions[session]
	if s == nil || s.established {
		return 0, false
	}
	return s.conn, true
}

// History returns the numbers of valid and invalid lines received on a connection, and whether a session was established
// on it.
func (p *Protocol) History(conn uint64) (valid, invalid uint64, served bool) {
	if c := p.conns[conn]; c != nil {
		return c.validLines, c.badLines, c.hadSession
	}
	return 0, 0, false
}

// Counts returns the numbers of connections, sessions, ids of ended sessions and pending ends held.
func (p *Protocol) Counts() (conns, sessions, recent, pendingEnds int) {
	return len(p.conns), len(p.sessions), len(p.recent), len(p.pendingEnds)
}

// Package servers implements the protocol of one front with the operators' media servers: binary messages over
// persistent, pipelined connections. It is a pure state machine, as internal/rtspclient is for RTSP: it takes the
// core's effects and the bytes received on connections, and gives bytes to write and events for the core. It reads no
// clock and owns no socket.
//
// A server has one current connection, which carries all new messages. A connection that is no longer usable (an answer
// on it never came, or stopped half way) is retired: it takes nothing new and is closed once nothing is open on it.
// Established sessions are not bound to a connection: when theirs is lost, another is opened to receive their messages.
package servers

import (
	"maps"
	"math"
	"slices"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Config holds the parameters of a Protocol.
type Config struct {
	Classes        []string // class names, by the module's class numbers
	Fields         []string // names of the values in a report, in the module's order
	ConnectTimeout Time     // time limit for opening a connection
	ProbeTimeout   Time     // a probe unanswered for this long has failed
	MaxSentIDs     int      // limit on the ids of set-ups that are remembered; 0: defaultMaxSentIDs

	ClientWaiting func(session uint64) bool // whether the client of a request is still connected; nil: it always is
	ConnEnded     func(conn uint64) bool    // whether the server has ended a connection, read or not; nil: it never has
}

// Timeouts and limits of the protocol. They only decide when a connection is no longer usable and when the requests and
// sessions on it have ended; which servers get new work is decided by the policy module.
const (
	partialMessageTimeout = 400 * policy.Millisecond // a message incomplete for this long is never completed
	silenceTimeout        = 3 * policy.Second        // silence of a server with sessions until a connect checks it
	checkTimeout          = 1 * policy.Second        // silence after refused connects or a lost address: it ended
	minRedialDelay        = 250 * policy.Millisecond // after a failed connect; doubled with each past maxTimedOutDials
	maxRedialDelay        = 4 * policy.Second
	maxRefusedDials       = 2                  // refused connects in a row that prove that the process ended
	maxTimedOutDials      = 4                  // unanswered connects in a row that mean that the machine is down
	halfCloseTimeout      = 2 * policy.Second  // time for the server to end its side of a connection
	moveTimeout           = 1 * policy.Second  // a moved session is released at its old server after this time
	abandonedTTL          = 10 * policy.Second // an abandoned set-up is remembered, so that a late answer is released
	pendingReleaseTTL     = 60 * policy.Second
	sentReleaseTTL        = 10 * policy.Second // servers need not confirm a release
	maxPendingReleases    = 4096
)

// Effect is an operation that the shell carries out on a connection: dial, write, close its writing side or close it.
type Effect struct {
	Server     uint32
	Conn       uint64
	Dial       string // address to connect to; empty: no dial
	Timeout    Time   // time limit of a dial
	CloseWrite bool   // close the writing side; incoming data is still read
	Close      bool
	Reason     CloseReason // of Close, for the log
	Bytes      []byte
}

// CloseReason is the reason for which a connection is closed.
type CloseReason string

// Reasons of closes.
const (
	CloseEvicted    CloseReason = "too many connections"
	CloseReplaced   CloseReason = "replaced"         // its server did not close it in time after the front's half
	CloseUnwanted   CloseReason = "not wanted"       // it came up when its server was gone, or had another connect
	CloseEnded      CloseReason = "ended"            // the server or the network ended it
	CloseUnreadable CloseReason = "unreadable input" // no message of a server
	CloseStuck      CloseReason = "half a message"   // its rest did not come in time
	CloseRestarted  CloseReason = "server restarted" // the list says so
	CloseDisplaced  CloseReason = "address reused"   // it leads to the server that has the address now
	CloseDown       CloseReason = "server down"      // the process or its machine is considered down
	CloseGone       CloseReason = "server gone"      // it left the list, and nothing is left to do
)

// Server is an entry of the server list.
type Server struct {
	ID       uint32
	Addr     string
	Started  Time
	Draining bool // it takes nothing new
	Removed  bool // it was removed from the list
}

// Protocol holds the protocol state of all servers.
type Protocol struct {
	cfg       Config
	now       Time
	peers     map[uint32]*peer
	byAddr    map[string]uint32   // the server most recently listed at an address and not removed from it
	peerIDs   []uint32            // sorted keys of peers; nil: to be rebuilt
	attempts  map[uint64]*attempt // by session: unsent, in flight or playing
	sent      sentIDs
	maxConns  int // limit on connections open or being opened
	openConns int
	effects   []Effect
	events    []front.Event
	Stats     Stats
}

// Stats counts events of connections. Dialed and Tests also number the connections and probes.
//
// Of connects: Dialed started, Crowded not started at the limit, Refused, Unanswered, and Broke with any other failure.
// Of connections: Lost by a close of the other side, Spoilt by an invalid message, Stuck with an incomplete one. Of
// set-ups: Late answers after the abandon, Again those that waited for a second connection, Uncertain those whose
// connection ended before their answer. Releases counts the releases written, Repeated those written once more because
// the connection of the one before had ended, RungsRepeated the same of rungs.
type Stats struct {
	Dialed, Crowded, Refused, Unanswered, Broke, Lost, Spoilt, Stuck, Late, Again uint64

	Uncertain, Releases, Repeated, RungsRepeated uint64

	Tests, Reports, Shorts uint64 // probes sent, reports read, notes of short delivery

	Left uint64 // set-ups not sent because their client had left
}

// peer is the protocol state of one server.
type peer struct {
	server          uint32
	addr            string
	started         Time
	draining        bool
	removed         bool
	current         *conn // carries new messages; nil: no connection is open
	conns           map[uint64]*conn
	dialing         uint64 // number of the connection being opened; 0: none
	redialAt        Time   // no dial before this time, except for unsent set-ups and probes
	lastConnectedAt Time   // when it last had a connection, or got its first session
	refusedDials    int    // refused connects in a row
	timedOutDials   int    // unanswered connects in a row

	unsent           []*attempt // set-ups waiting for a connection
	probePending     bool       // a probe waits for a connection
	probeRequestedAt Time
	sessions         map[uint64]*attempt // established sessions
	moving           map[uint64]Time     // sessions moved away, with the time of their release at this server
	abandoned        map[uint64]Time     // abandoned set-ups, with the time until which they are remembered
	pendingReleases  map[uint64]Time     // sessions to release on the next connection, with their expiry time
	sentReleases     map[uint64]sentRelease
}

// conn is an open connection.
type conn struct {
	id            uint64
	decoder       wire.Decoder
	sentBytes     uint64 // bytes handed to the shell for writing
	inFlight      map[uint64]*attempt
	probes        map[uint64]Time
	connectedAt   Time
	lastReadAt    Time
	partialSince  Time // when the current incomplete message began; 0: none
	checkSentAt   Time // when a probe was sent because connects are refused; 0: none was
	retired       bool // no new messages are sent here
	writeClosedAt Time // when its writing side was closed; 0: it is open
}

// attempt is a set-up and the session that it establishes.
type attempt struct {
	setup       front.Setup
	startedAt   Time
	conn        *conn  // connection that it was written to; nil: not written
	endOffset   uint64 // offset of the end of its bytes on that connection
	retried     bool   // its first connection ended before it was sent
	playing     bool
	ended       bool
	rungPending bool  // a rung change is not sent yet
	rungConn    *conn // connection that the last rung change was sent on
	rungSentAt  Time
}

// New returns a Protocol without servers.
func New(cfg Config) *Protocol {
	return &Protocol{cfg: cfg, peers: map[uint32]*peer{}, byAddr: map[string]uint32{}, attempts: map[uint64]*attempt{},
		sent: newSentIDs(cfg.MaxSentIDs), maxConns: math.MaxInt}
}

// Take returns the effects and events since the last call. The shell carries out the effects in order, before it hands
// on the events: the server must be sent the release of an abandoned set-up before the next set-up is sent.
func (p *Protocol) Take() ([]Effect, []front.Event) {
	effects, events := p.effects, p.events
	p.effects, p.events = nil, nil
	return effects, events
}

// SetMaxConns sets how many connections may be open or being opened at a time.
func (p *Protocol) SetMaxConns(conns int) { p.maxConns = conns }

// MaxConns returns the limit set by SetMaxConns.
func (p *Protocol) MaxConns() int { return p.maxConns }

// Apply carries out an effect of the core. Effects that do not concern servers are ignored.
func (p *Protocol) Apply(now Time, effect front.Effect) {
	p.now = now
	switch e := effect.(type) {
	case front.Setup:
		p.setup(e)
	case front.Abandon:
		p.abandon(e)
	case front.Withdraw:
		if remote := p.peers[e.Server]; remote != nil {
			p.failUnsent(remote, outcome.Cancelled)
		}
	case front.Stop:
		p.stop(e)
	case front.SetRung:
		p.setRung(e)
	case front.Probe:
		p.probe(e.Server)
	}
}

// send writes a message. It returns false if the message can't be encoded, which no message built here should cause.
func (p *Protocol) send(remote *peer, c *conn, m *wire.Message) bool {
	b, err := m.Append(nil)
	if err != nil {
		return false
	}
	c.sentBytes += uint64(len(b))
	p.effects = append(p.effects, Effect{Server: remote.server, Conn: c.id, Bytes: b})
	return true
}

// Counts returns the numbers of attempts (sessions included), servers and connections held.
func (p *Protocol) Counts() (attempts, peers, conns int) {
	for _, remote := range p.peers {
		conns += len(remote.conns)
	}
	return len(p.attempts), len(p.peers), conns
}

// sorted returns the sorted keys of a map.
func sorted[K uint32 | uint64, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

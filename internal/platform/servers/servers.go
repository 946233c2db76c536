// Package servers is the dialogue of one front with the operators' servers: binary messages over persistent, pipelined
// connections. It is a pure state machine, as internal/exchange is for RTSP: the core's effects and what the
// connections bring go in; bytes to write and events for the core come out. It reads no clock and owns no socket.
//
// A server has one connection that carries what is new. A connection that is of no more use (an answer on it never
// came, or is stuck half way) takes nothing new and is closed once nothing is open on it. Sessions that stand belong to
// no connection: when theirs is lost another is opened, to hear what became of them.
package servers

import (
	"maps"
	"math"
	"slices"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

// Config is what a desk is started with.
type Config struct {
	Classes   []string // names, by the module's numbers
	Fields    []string // names of a report's values, in the module's order
	Connect   Time     // a connection must stand within
	ProbeWait Time     // a test unanswered for so long has failed

	Waits func(session uint64) bool // whether the client of a request is still there; nil: it is
	Ended func(conn uint64) bool    // whether the other side of a connection has ended it, read or not; nil: it has not
}

// Spans of the dialogue. What a server is trusted with is the module's matter; these only tell when a socket is of no
// more use, and when what it carried is over.
const (
	stuckFor   = 400 * policy.Millisecond // a message that stays half this long will never be whole
	quietFor   = 3 * policy.Second        // sessions stand and nothing is heard: does the machine answer a connect?
	checkFor   = 1 * policy.Second        // a process that refuses connects, or lost its address, and says nothing for so long is gone
	redialGap  = 250 * policy.Millisecond // between connects that fail, doubled with each
	redialMost = 4 * policy.Second
	refusals   = 2                  // connects refused in a row prove that the process is gone
	silences   = 4                  // connects unanswered in a row tell of a machine that is gone
	finishBy   = 2 * policy.Second  // a server that ends its side of a connection does so by then
	leaveBy    = 1 * policy.Second  // a session told to move is released at its server by then
	rememberIt = 10 * policy.Second // set-ups given up on: a late answer is released
	doomedFor  = 60 * policy.Second
	doomedMost = 4096
)

// Act is what the shell is to do with a connection: dial, write, end its writing side or close it.
type Act struct {
	Server uint32
	Conn   uint64
	Dial   string // address to connect to
	Within Time   // for a dial
	Finish bool   // nothing more will be written; what comes is still read
	Close  bool
	Bytes  []byte
}

// Server is an entry of the list with its address.
type Server struct {
	ID      uint32
	Addr    string
	Started Time
	Drains  bool // takes nothing new
	Gone    bool
}

// Desk holds the dialogues with all servers.
type Desk struct {
	cfg      Config
	now      Time
	lines    map[uint32]*line
	byAddr   map[string]uint32   // who was listed last at an address, and has not left it
	order    []uint32            // ids of lines, sorted; nil: to be made anew
	attempts map[uint64]*attempt // by session: waiting, out or playing
	most     int                 // connections that stand or are being opened
	open     int
	acts     []Act
	news     []front.Event
	Stats    Stats
}

// Stats counts what happened to connections; connections and tests are named by their counts.
type Stats struct {
	Dialed, Crowded, Refused, Unanswered, Broke, Lost, Spoilt, Stuck, Late, Again uint64
	Tests, Reports, Shorts                                                        uint64 // tests sent, reports read, notes of short delivery
	Left                                                                          uint64 // set-ups not sent: their client had gone
}

// line is the dialogue with one server.
type line struct {
	server  uint32
	addr    string
	started Time
	drains  bool
	gone    bool
	cur     *link // carries what is new; nil: none stands
	links   map[uint64]*link
	dialing uint64 // connection being opened; 0: none
	dialAt  Time   // not again before
	heardAt Time   // it last had a connection, or its first session
	refused int    // connects refused in a row
	silent  int    // connects unanswered in a row

	waiting []*attempt // not sent: no connection stands
	probing bool       // a test waits with them
	probeAt Time
	live    map[uint64]*attempt // playing
	leaving map[uint64]Time     // moved away: released at the server by then
	given   map[uint64]Time     // given up on: remembered until then
	doomed  map[uint64]Time     // to be released when a connection stands
}

// link is one connection that stands.
type link struct {
	conn      uint64
	dec       wire.Decoder
	sent      uint64 // bytes handed to it
	out       map[uint64]*attempt
	tests     map[uint64]Time
	stoodAt   Time
	readAt    Time
	partialAt Time // a message has been half there since; 0: none is
	checkAt   Time // it was asked for a word because connects are refused; 0: it was not
	stale     bool // nothing new goes here
	endingAt  Time // its writing side was ended then; 0: it was not
}

// attempt is one set-up and the session that it starts.
type attempt struct {
	setup   front.Setup
	at      Time
	link    *link  // that it was written to
	end     uint64 // of its bytes on that connection
	again   bool   // it was written to a connection that ended before it left
	playing bool
	over    bool
	rungDue bool // a rung could not be told yet
}

// New makes a desk that knows no servers.
func New(cfg Config) *Desk {
	return &Desk{cfg: cfg, lines: map[uint32]*line{}, byAddr: map[string]uint32{}, attempts: map[uint64]*attempt{}, most: math.MaxInt}
}

// Take gives what has come up since the last call: what the shell is to do, in order and before the events are
// handed on, for a set-up given up on must have been told so before the next one leaves.
func (d *Desk) Take() ([]Act, []front.Event) {
	acts, news := d.acts, d.news
	d.acts, d.news = nil, nil
	return acts, news
}

// Limit sets how many connections may stand or be opened at a time.
func (d *Desk) Limit(links int) { d.most = links }

// Limits gives what Limit has set.
func (d *Desk) Limits() int { return d.most }

// Do carries out an effect of the core. Others than those about servers are ignored.
func (d *Desk) Do(now Time, effect front.Effect) {
	d.now = now
	switch e := effect.(type) {
	case front.Setup:
		d.setup(e)
	case front.Abandon:
		d.abandon(e)
	case front.Withdraw:
		if l := d.lines[e.Server]; l != nil {
			d.fail(l, fate.Withdrawn)
		}
	case front.Stop:
		d.stop(e)
	case front.SetRung:
		d.rung(e)
	case front.Probe:
		d.probe(e.Server)
	}
}

// push writes a message. It gives false for one that has no form; none of the front's own has.
func (d *Desk) push(l *line, k *link, m *wire.Message) bool {
	b, err := m.Append(nil)
	if err != nil {
		return false
	}
	k.sent += uint64(len(b))
	d.acts = append(d.acts, Act{Server: l.server, Conn: k.conn, Bytes: b})
	return true
}

// Counts tells how many attempts and sessions, servers and connections the desk holds.
func (d *Desk) Counts() (attempts, lines, links int) {
	for _, l := range d.lines {
		links += len(l.links)
	}
	return len(d.attempts), len(d.lines), links
}

func sorted[K uint32 | uint64, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

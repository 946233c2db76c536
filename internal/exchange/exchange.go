// Package exchange speaks RTSP 2.0 (RFC 7826) with the media servers for one front: one persistent, pipelined
// connection a server. It is a pure state machine: the core's effects and what the connections bring go in, bytes
// to write and events for the core come out. The shell that owns the sockets is internal/media.
//
// An attempt is SETUP and PLAY written together, bound by a Pipelined-Requests header (section 18.33), so that it
// costs one round trip. An attempt given up on is followed by a TEARDOWN bound by the same header: a server that
// runs the set-up after all tears it down at once, whether or not its reply is ever read.
package exchange

import (
	"slices"
	"strconv"

	"tealledge/decide/fate"
	"tealledge/decide/paths"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

// Headers of our own. They name a session and attempt, so that what crossed the sockets can be matched later.
const (
	HeaderAttempt = "Tealledge-Attempt" // FRONT/SESSION/ATTEMPT
	HeaderClass   = "Tealledge-Class"   // the class's number
	HeaderRung    = "Tealledge-Rung"
	HeaderViewer  = "Tealledge-Viewer"
)

// Config is what a desk is started with.
type Config struct {
	Front     string // this front's name, in its attempts' ids
	Fields    []policy.Field
	ProbeWait Time // a probe unanswered for so long has failed
	Stall     Time // a connection with calls waiting and nothing read for so long is closed
	KeepAlive Time // an idle connection is checked with OPTIONS so often
	TitleName func(uint64) string
	Connect   Time   // a connection must stand, and have answered once, within
	IdleClose Time   // a connection without sessions that was not used for so long is closed; 0: never
	Aims      []Time // of the classes: a connect that takes too long of one is given up for the next holder
	Draw      func() float64
}

// Act is what the shell is to do with a connection. Exactly one of Dial, Close and Bytes is set.
type Act struct {
	Server uint32
	Conn   uint64
	Dial   string // address to connect to
	Within Time   // for a dial
	Close  bool
	Bytes  []byte
}

// Desk holds the dialogues with all servers.
type Desk struct {
	cfg    Config
	now    Time
	lines  map[uint32]*line
	order  []uint32 // of lines, sorted
	conns  uint64
	pipes  uint64
	played map[uint64]*attempt // by session, those out or playing
	pace   paths.Pace
	acts   []Act
	news   []front.Event
}

// state of a line's connection.
type state uint8

const (
	down state = iota
	dialing
	up
)

// line is the dialogue with one server.
type line struct {
	server  uint32
	addr    string // told to players
	listed  bool
	set     paths.Set
	path    string // address that the connection goes to
	stoodAt Time
	proven  bool // it was answered on
	usedAt  Time // last set-up written
	race    *race
	check   *runner // a connect alone, to an address that rested
	started Time
	state   state
	conn    uint64
	seq     uint32
	sent    uint64           // bytes handed to the connection so far
	calls   map[uint32]*call // unanswered, by CSeq
	waiting []*attempt       // not sent: the connection does not stand yet
	probing bool             // a probe waits with them
	probeAt Time
	live    []*attempt // playing here, oldest first
	readAt  Time       // when something was last read, or the connection came up
	callAt  Time       // when the oldest of the unanswered calls was written
	seqs    []uint32   // unanswered CSeqs in the order written
	doomed  []string   // streams to be torn down when a connection stands again
	doomAt  Time       // when a connection is next looked for, for that alone
	doomGap Time       // pause after that look
	doomEnd Time       // they are remembered until then
}

// doomedMost bounds the streams remembered for that, doomedFor the time: the server drops what is past either by its
// own time-out (RFC 7826 section 10.5: 60 s unless it says otherwise). Looks for a connection begin at doomedGap and
// double up to doomedGapMost.
const (
	doomedMost               = 256
	doomedFor                = Time(60e9)
	doomedGap, doomedGapMost = Time(5e8), Time(8e9)
)

type callKind uint8

const (
	callSetup callKind = iota
	callPlay
	callTeardown
	callRung
	callProbe
	callVerify
	callAlive
)

type call struct {
	kind callKind
	at   Time
	a    *attempt
	done bool // a probe whose time was up
}

// attempt is one set-up and the stream that it starts.
type attempt struct {
	setup    front.Setup
	at       Time // when the core asked for it
	pipe     uint64
	setupEnd uint64 // offset on the connection of the end of SETUP
	sentOn   uint64 // connection that it was written to; 0: none
	accepted string // RTSP session id from the server
	report   []float64
	over     bool // its Ended was given, or it is being torn down
	playing  bool
	adrift   bool // it plays, but the connection that it was set up on is lost
}

// New makes a desk that knows no servers.
func New(cfg Config) *Desk {
	return &Desk{cfg: cfg, lines: map[uint32]*line{}, played: map[uint64]*attempt{}}
}

// Take gives what has come up since the last call: what the shell is to do, and events for the core. Both slices
// are good until the next call into the desk.
func (d *Desk) Take() ([]Act, []front.Event) {
	acts, news := d.acts, d.news
	d.acts, d.news = nil, nil
	return acts, news
}

// Server is an entry of the server list with its addresses; Addr is the one told to players.
type Server struct {
	ID      uint32
	Addr    string
	Paths   []paths.Path
	Started Time
}

// Listed tells the desk the servers and their addresses. A server whose process is newer or whose address changed
// gets a new connection: replies of the old one are not the new one's.
func (d *Desk) Listed(now Time, servers []Server) {
	d.now = now
	seen := map[uint32]bool{}
	for _, l := range d.lines {
		l.listed = false
	}
	for _, s := range servers {
		seen[s.ID] = true
		l := d.lines[s.ID]
		if l == nil {
			l = &line{server: s.ID, addr: s.Addr, started: s.Started, calls: map[uint32]*call{}}
			d.lines[s.ID] = l
			i, _ := slices.BinarySearch(d.order, s.ID)
			d.order = slices.Insert(d.order, i, s.ID)
			l.set.Update(s.Paths)
			l.listed = true
			continue
		}
		restarted := s.Started > l.started && l.started > 0
		changed := l.set.Update(s.Paths)
		l.addr, l.started, l.listed = s.Addr, s.Started, true
		if restarted {
			// Same addresses, another process: replies of the old one are not the new one's.
			d.pace.Restarted(l.server, now, d.cfg.Draw())
			l.set.Forgive()
			d.drop(l, l.sent, true, false)
		} else if changed && l.state == up && l.pathIndex(l.path) < 0 {
			d.drop(l, l.sent, false, false) // its address is gone; streams are looked for on another
		} else if changed && l.state == dialing {
			d.again(l)
		}
	}
	for _, id := range slices.Clone(d.order) {
		if l := d.lines[id]; !seen[id] && l.state == down && len(l.live) == 0 && len(l.waiting) == 0 && len(l.doomed) == 0 {
			delete(d.lines, id)
			d.order = slices.DeleteFunc(d.order, func(o uint32) bool { return o == id })
		}
	}
}

// Address gives a server's address, "" if it is not known.
func (d *Desk) Address(server uint32) string {
	if l := d.lines[server]; l != nil {
		return l.addr
	}
	return ""
}

// Do carries out an effect of the core; effects that are not about servers are ignored.
func (d *Desk) Do(now Time, effect front.Effect) {
	d.now = now
	switch e := effect.(type) {
	case front.Setup:
		d.setup(e)
	case front.Abandon:
		d.abandon(e)
	case front.Withdraw:
		if l := d.lines[e.Server]; l != nil {
			d.withdraw(l, fate.Withdrawn)
		}
	case front.Stop:
		if a := d.played[e.Session]; a != nil && a.setup.Attempt == e.Attempt {
			d.teardown(d.lines[a.setup.Server], a)
		}
	case front.SetRung:
		d.rung(e)
	case front.Probe:
		d.probe(e.Server)
	}
}

// Doomed tells how many streams wait for a connection on which they can be torn down.
func (d *Desk) Doomed() (n int) {
	for _, l := range d.lines {
		n += len(l.doomed)
	}
	return n
}

func (d *Desk) rung(e front.SetRung) {
	a := d.played[e.Session]
	if a == nil || !a.playing || a.setup.Attempt != e.Attempt {
		return
	}
	l := d.lines[a.setup.Server]
	a.setup.Rung = e.Rung
	if l.state != up || a.adrift {
		return // it is set when the stream is found again
	}
	d.writeRung(l, a)
}

func (d *Desk) writeRung(l *line, a *attempt) {
	m := rtsp.Message{Method: rtsp.SetParameter, URI: d.uri(l, &a.setup), Headers: []rtsp.Header{
		{Name: "Session", Value: a.accepted}, {Name: "Content-Type", Value: "text/parameters"}},
		Body: []byte("rung: " + strconv.Itoa(a.setup.Rung) + "\r\n")}
	d.push(l, d.request(l, &m, call{kind: callRung, a: a}, nil))
}

func (d *Desk) probe(server uint32) {
	l := d.lines[server]
	if l == nil || len(l.set.Paths) == 0 {
		d.news = append(d.news, front.Probed{Server: server, Status: policy.NoConnect})
		return
	}
	if l.state != up {
		l.probing, l.probeAt = true, d.now
		d.dial(l)
		return
	}
	d.writeProbe(l)
}

func (d *Desk) writeProbe(l *line) {
	m := rtsp.Message{Method: rtsp.GetParameter, URI: "rtsp://" + l.addr + "/", Headers: []rtsp.Header{
		{Name: "Content-Type", Value: "text/parameters"}}, Body: []byte("link\r\nuplink\r\n")}
	d.push(l, d.request(l, &m, call{kind: callProbe}, nil))
}

// Out tells whether an attempt is held here: waiting, out, or playing.
func (d *Desk) Out(session uint64, number int) bool {
	a := d.played[session]
	return a != nil && a.setup.Attempt == number
}

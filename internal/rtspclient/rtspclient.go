// Package rtspclient implements one front's side of RTSP 2.0 (RFC 7826) with the media servers, over one persistent,
// pipelined connection per server. It is a pure state machine: it takes the core's effects and the connections' input,
// and returns bytes to write and events for the core. The shell that owns the sockets is internal/media.
//
// An attempt is a SETUP and a PLAY written together and linked by a Pipelined-Requests header (section 18.33), so that
// it takes one round trip. An abandoned attempt is followed by a TEARDOWN with the same header: a server that executes
// the set-up after all tears it down at once, whether or not its reply is ever read.
package rtspclient

import (
	"slices"
	"strconv"

	"tealledge/decide/addresses"
	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Private headers. They name the session and attempt, so that recorded traffic can be matched later.
const (
	HeaderAttempt = "Tealledge-Attempt" // FRONT/SESSION/ATTEMPT
	HeaderClass   = "Tealledge-Class"   // the class number
	HeaderRung    = "Tealledge-Rung"
	HeaderViewer  = "Tealledge-Viewer"
)

// Config configures a Protocol.
type Config struct {
	Front             string // name of this front, part of its attempt IDs
	Fields            []policy.Field
	ProbeTimeout      Time // a probe unanswered for this long has failed
	StallTimeout      Time // a connection with unanswered requests and nothing read for this long is closed
	KeepAliveInterval Time // interval of OPTIONS requests on an idle connection
	TitleName         func(uint64) string
	ConnectTimeout    Time           // a connection must be established and have answered once within this time
	IdleTimeout       Time           // a connection without sessions that is unused for this long is closed; 0: never
	SetupTargets      []Time         // per class: a connect that takes too much of it is abandoned for the next holder
	Random            func() float64 // from 0 to 1; spreads the fronts' dials after a server restart
}

// Effect is an operation on a connection for the shell to carry out. Exactly one of Dial, Close and Bytes is set.
type Effect struct {
	Server  uint32
	Conn    uint64
	Dial    string // address to connect to
	Timeout Time   // dial timeout
	Close   bool
	Bytes   []byte
}

// Protocol holds the RTSP state of all servers.
type Protocol struct {
	cfg          Config
	now          Time
	peers        map[uint32]*peerState
	peerOrder    []uint32 // server IDs, sorted
	lastConn     uint64
	lastPipeline uint64
	attempts     map[uint64]*attempt // by session: waiting, in flight or playing
	pacer        addresses.Pacer
	effects      []Effect
	events       []front.Event
}

// connState is the state of a peer's connection.
type connState uint8

const (
	disconnected connState = iota
	connecting
	connected
)

// peerState is the RTSP state of one server.
type peerState struct {
	server            uint32
	addr              string // address for players
	listed            bool
	addresses         addresses.Set
	connAddr          string // address of the connection
	connectedAt       Time
	connAnswered      bool // a response was read on the connection
	lastSetupAt       Time // when the last set-up was written
	race              *race
	recheck           *candidate // test connection to an address after its backoff, without a set-up
	processStartedAt  Time
	connState         connState
	conn              uint64
	lastCSeq          uint32
	bytesSent         uint64              // bytes handed to the connection so far
	requests          map[uint32]*request // unanswered, by CSeq
	unsent            []*attempt          // set-ups that wait for the connection
	probeWaiting      bool                // a probe waits for the connection
	probeAt           Time                // when that probe was requested
	streams           []*attempt          // playing streams, oldest first
	lastReadAt        Time                // when something was last read or the connection was established
	oldestRequestAt   Time                // when the oldest unanswered request was written
	requestOrder      []uint32            // CSeqs of unanswered requests in the order written
	pendingTeardowns  []string            // RTSP session IDs of streams to tear down on the next connection
	teardownDialAt    Time                // when a connection is next dialled for them alone
	teardownBackoff   Time                // delay after that dial
	teardownsExpireAt Time                // they are dropped then
}

// Limits of the pending teardowns of one server: at most maxPendingTeardowns streams are kept, for pendingTeardownTTL.
// Beyond that the server ends them by its own timeout (RFC 7826 section 10.5: 60 s unless it specifies another). The
// delay between dials for them starts at minTeardownBackoff and doubles up to maxTeardownBackoff.
const (
	maxPendingTeardowns                    = 256
	pendingTeardownTTL                     = Time(60e9)
	minTeardownBackoff, maxTeardownBackoff = Time(5e8), Time(8e9)
)

// requestKind is the purpose of a request.
type requestKind uint8

const (
	requestSetup requestKind = iota
	requestPlay
	requestTeardown
	requestRung
	requestProbe
	requestVerify
	requestKeepAlive
)

// request is a request that was sent and is not answered yet.
type request struct {
	kind      requestKind
	startedAt Time     // when it was written
	owner     *attempt // attempt that it belongs to; nil for probes and keep-alives
	timedOut  bool     // a probe whose timeout was reported
}

// attempt is one set-up and the stream that it starts.
type attempt struct {
	setup      front.Setup
	startedAt  Time // when the core requested the attempt
	pipeline   uint64
	setupEnd   uint64 // offset of the end of SETUP in the bytes sent on the connection
	sentConn   uint64 // connection that it was written to; 0: none yet
	sessionID  string // RTSP session ID from the server; "" until SETUP is accepted
	ended      bool   // its AttemptEnded was emitted, or it is being torn down
	playing    bool
	unverified bool // it plays, but its connection was lost and the server has not confirmed it since
}

// New returns a Protocol without servers.
func New(cfg Config) *Protocol {
	return &Protocol{cfg: cfg, peers: map[uint32]*peerState{}, attempts: map[uint64]*attempt{}}
}

// Take returns the effects for the shell and the events for the core since the last call. Both slices are valid until
// the next call of a method.
func (p *Protocol) Take() ([]Effect, []front.Event) {
	effects, events := p.effects, p.events
	p.effects, p.events = nil, nil
	return effects, events
}

// Server is an entry of the server list with its addresses. Addr is the address given to players.
type Server struct {
	ID        uint32
	Addr      string
	Addresses []addresses.Address
	StartedAt Time
}

// SetServers replaces the list of servers and their addresses. A server whose process is newer or whose address was
// removed gets a new connection: replies on the old one don't apply to the new process.
func (p *Protocol) SetServers(now Time, servers []Server) {
	p.now = now
	seen := map[uint32]bool{}
	for _, peer := range p.peers {
		peer.listed = false
	}
	for _, s := range servers {
		seen[s.ID] = true
		peer := p.peers[s.ID]
		if peer == nil {
			peer = &peerState{server: s.ID, addr: s.Addr, processStartedAt: s.StartedAt,
				requests: map[uint32]*request{}}
			p.peers[s.ID] = peer
			i, _ := slices.BinarySearch(p.peerOrder, s.ID)
			p.peerOrder = slices.Insert(p.peerOrder, i, s.ID)
			peer.addresses.Update(s.Addresses)
			peer.listed = true
			continue
		}
		restarted := s.StartedAt > peer.processStartedAt && peer.processStartedAt > 0
		changed := peer.addresses.Update(s.Addresses)
		peer.addr, peer.processStartedAt, peer.listed = s.Addr, s.StartedAt, true
		if restarted {
			// A new process at the same addresses: replies of the old one don't apply to it.
			p.pacer.Restarted(peer.server, now, p.cfg.Random())
			peer.addresses.ResetFailures()
			p.closeConnection(peer, peer.bytesSent, true, false)
		} else if changed && peer.connState == connected && peer.addressIndex(peer.connAddr) < 0 {
			p.closeConnection(peer, peer.bytesSent, false, false) // address removed; streams are verified on another
		} else if changed && peer.connState == connecting {
			p.restartRace(peer)
		}
	}
	for _, id := range slices.Clone(p.peerOrder) {
		if peer := p.peers[id]; !seen[id] && peer.connState == disconnected && len(peer.streams) == 0 &&
			len(peer.unsent) == 0 && len(peer.pendingTeardowns) == 0 {
			delete(p.peers, id)
			p.peerOrder = slices.DeleteFunc(p.peerOrder, func(o uint32) bool { return o == id })
		}
	}
}

// Address returns a server's address for players, "" if the server is unknown.
func (p *Protocol) Address(server uint32) string {
	if peer := p.peers[server]; peer != nil {
		return peer.addr
	}
	return ""
}

// Apply carries out an effect of the core; effects that don't concern servers are ignored.
func (p *Protocol) Apply(now Time, effect front.Effect) {
	p.now = now
	switch e := effect.(type) {
	case front.Setup:
		p.setup(e)
	case front.Abandon:
		p.abandon(e)
	case front.Withdraw:
		if peer := p.peers[e.Server]; peer != nil {
			p.cancelWaiting(peer, outcome.Cancelled)
		}
	case front.Stop:
		if a := p.attempts[e.Session]; a != nil && a.setup.Attempt == e.Attempt {
			p.teardown(p.peers[a.setup.Server], a)
		}
	case front.SetRung:
		p.setRung(e)
	case front.Probe:
		p.probe(e.Server)
	}
}

// PendingTeardowns returns the number of streams that wait for a connection to be torn down on.
func (p *Protocol) PendingTeardowns() (n int) {
	for _, peer := range p.peers {
		n += len(peer.pendingTeardowns)
	}
	return n
}

func (p *Protocol) setRung(e front.SetRung) {
	a := p.attempts[e.Session]
	if a == nil || !a.playing || a.setup.Attempt != e.Attempt {
		return
	}
	peer := p.peers[a.setup.Server]
	a.setup.Rung = e.Rung
	if peer.connState != connected || a.unverified {
		return // sent when the stream is verified
	}
	p.writeRung(peer, a)
}

func (p *Protocol) writeRung(peer *peerState, a *attempt) {
	m := rtsp.Message{Method: rtsp.SetParameter, URI: p.uri(peer, &a.setup), Headers: []rtsp.Header{
		{Name: "Session", Value: a.sessionID}, {Name: "Content-Type", Value: "text/parameters"}},
		Body: []byte("rung: " + strconv.Itoa(a.setup.Rung) + "\r\n")}
	p.send(peer, p.appendRequest(peer, &m, request{kind: requestRung, owner: a}, nil))
}

func (p *Protocol) probe(server uint32) {
	peer := p.peers[server]
	if peer == nil || len(peer.addresses.Addresses) == 0 {
		p.events = append(p.events, front.Probed{Server: server, Status: policy.NoConnect})
		return
	}
	if peer.connState != connected {
		peer.probeWaiting, peer.probeAt = true, p.now
		p.dial(peer)
		return
	}
	p.writeProbe(peer)
}

func (p *Protocol) writeProbe(peer *peerState) {
	m := rtsp.Message{Method: rtsp.GetParameter, URI: "rtsp://" + peer.addr + "/", Headers: []rtsp.Header{
		{Name: "Content-Type", Value: "text/parameters"}}, Body: []byte("link\r\nuplink\r\n")}
	p.send(peer, p.appendRequest(peer, &m, request{kind: requestProbe}, nil))
}

// HoldsAttempt reports whether an attempt is held here: waiting, in flight or playing.
func (p *Protocol) HoldsAttempt(session uint64, number int) bool {
	a := p.attempts[session]
	return a != nil && a.setup.Attempt == number
}

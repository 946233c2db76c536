package servers

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// simulation plays shell, core, server list and servers in any order of events, and checks what the Protocol does.
type simulation struct {
	*rapid.T
	p           *Protocol
	now         Time
	maxConns    int
	dials       []Effect
	connections map[uint64]*simulatedConn
	connected   []uint64
	listed      map[uint32]Server
	requests    map[uint64]*simulatedAttempt
	ids         []uint64
	next        uint64
	clientLeft  map[uint64]bool // sessions whose client has left
}

// simulatedConn is a connection that was opened.
type simulatedConn struct {
	server      uint32
	bytes       uint64
	writeClosed bool // the Protocol has closed its writing side
	closed      bool // the Protocol has closed it
	lost        bool // the Protocol was notified of its end
	ended       bool // its server has ended it; the Protocol is not notified yet
}

// simulatedAttempt is an attempt as the core knows it.
type simulatedAttempt struct {
	setup       front.Setup
	pending     bool // no AttemptEnded event yet
	established bool
	sent        int
}

func newSimulation(t *rapid.T) *simulation {
	o := &simulation{T: t, now: start, maxConns: 1 << 30, connections: map[uint64]*simulatedConn{},
		listed: map[uint32]Server{}, requests: map[uint64]*simulatedAttempt{}, clientLeft: map[uint64]bool{}}
	o.p = New(Config{Classes: []string{"safe", "paid"}, Fields: []string{"x0"},
		ConnectTimeout: 250 * ms, ProbeTimeout: 250 * ms,
		ClientWaiting: func(session uint64) bool { return !o.clientLeft[session] },
		ConnEnded:     func(conn uint64) bool { k := o.connections[conn]; return k == nil || k.ended || k.lost }})
	for id := range uint32(4) {
		o.list(Server{ID: id + 1, Addr: fmt.Sprint("a:", id)})
	}
	return o
}

func (o *simulation) list(s Server) {
	o.listed[s.ID] = s
	o.p.Listed(o.now, []Server{s})
	o.take()
}

// take carries out the effects and gives the events to the core, as the owner does.
func (o *simulation) take() {
	effects, events := o.p.Take()
	for _, a := range effects {
		if a.Close && a.Reason == "" {
			o.Fatalf("a close without a reason: %+v", a)
		}
		c := o.connections[a.Conn]
		switch {
		case a.Dial != "":
			o.dials = append(o.dials, a)
		case c == nil:
			if !a.Close {
				o.Fatalf("%+v for a connection that was never opened", a)
			}
		case a.Close:
			c.closed = true
		case a.CloseWrite:
			c.writeClosed = true
		case c.closed || c.writeClosed || c.lost:
			o.Fatalf("write to closed connection %d: %+v", a.Conn, *c)
		default:
			c.bytes += uint64(len(a.Bytes))
			o.checkWrite(a)
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case front.AttemptStarted:
			sim := o.requests[e.Session]
			if sim == nil || !sim.pending || sim.established || sim.setup.Attempt != e.Attempt || sim.sent == 0 {
				o.Fatalf("%+v of %+v", e, sim)
			}
			sim.established = true
		case front.AttemptEnded:
			sim := o.requests[e.Session]
			if sim == nil || !sim.pending || sim.setup.Attempt != e.Attempt {
				o.Fatalf("%+v of %+v", e, sim)
			}
			if sim.pending = false; outcome.NeverRan(e.Status) && sim.established {
				o.Fatalf("%+v of an established session", e)
			}
		case front.Leave:
			if !o.clientLeft[e.Session] {
				o.Fatalf("%+v of a client that still waits", e)
			}
		}
	}
	if len(events) > 0 {
		o.take()
	}
}

func (o *simulation) checkWrite(a Effect) {
	var dec wire.Decoder
	dec.Feed(a.Bytes)
	m, err := dec.Next()
	if err != nil || m == nil {
		o.Fatalf("unreadable message: %v", err)
	}
	if m.Type != wire.SetUp {
		return
	}
	sim, s := o.requests[m.Session], o.listed[a.Server]
	if sim == nil || !sim.pending || sim.setup.Server != a.Server || s.Draining || s.Removed ||
		o.clientLeft[m.Session] || o.connections[a.Conn].server != a.Server {
		o.Fatalf("set-up of %+v sent to %+v; client has left: %v", sim, s, o.clientLeft[m.Session])
	}
	for id, other := range o.listed {
		if id != a.Server && other.Addr == s.Addr && !other.Removed && o.p.byAddr[s.Addr] == id {
			o.Fatalf("set-up for server %d sent to the address of server %d", a.Server, id)
		}
	}
	if sim.sent++; sim.sent > 2 {
		o.Fatalf("set-up sent %d times, want at most 2", sim.sent)
	}
}

// pick returns a random element of the list; ok is false if it is empty.
func pick[V any](o *simulation, list []V) (v V, ok bool) {
	if len(list) == 0 {
		return v, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(o.T, "which")], true
}

func (o *simulation) server() uint32 { return rapid.Uint32Range(1, 5).Draw(o.T, "server") }

func (o *simulation) setup(id uint64, attempt int) {
	sim := &simulatedAttempt{setup: front.Setup{Session: id, Attempt: attempt, Server: o.server(), Class: 1,
		Name: "7f3a9c21e0b4d655", Text: "who", Timeout: 900 * ms}, pending: true}
	o.requests[id] = sim
	o.p.Apply(o.now, sim.setup)
}

// step plays one random event.
func (o *simulation) step() {
	session, haveSession := pick(o, o.ids)
	sim := o.requests[session]
	conn, haveConn := pick(o, o.connected)
	c := o.connections[conn]
	switch n := rapid.IntRange(0, 19).Draw(o.T, "what"); {
	case n <= 2:
		o.next++
		o.ids = append(o.ids, o.next)
		o.setup(o.next, 0)
	case n == 3 && haveSession && !sim.pending && !o.clientLeft[session]: // the core tries again elsewhere
		o.setup(session, sim.setup.Attempt+1)
	case n <= 6 && len(o.dials) > 0:
		i := rapid.IntRange(0, len(o.dials)-1).Draw(o.T, "dial")
		a := o.dials[i]
		o.dials = append(o.dials[:i:i], o.dials[i+1:]...)
		if rapid.IntRange(0, 3).Draw(o.T, "fails") == 0 {
			o.p.DialFailed(o.now, a.Server, a.Conn, Failure(rapid.IntRange(0, 2).Draw(o.T, "why")))
			break
		}
		o.connections[a.Conn] = &simulatedConn{server: a.Server}
		o.connected = append(o.connected, a.Conn)
		o.p.Connected(o.now, a.Server, a.Conn)
	case n == 7 && haveSession && sim.pending && !sim.established:
		cause := outcome.Expired
		if rapid.Bool().Draw(o.T, "left") {
			cause, o.clientLeft[session] = outcome.Cancelled, true
		}
		o.p.Apply(o.now, front.Abandon{Session: session, Attempt: sim.setup.Attempt, Server: sim.setup.Server,
			Cause: cause})
	case n == 8 && haveSession && sim.established && sim.pending:
		sim.pending = false // a Stop gets no AttemptEnded event
		o.p.Apply(o.now, front.Stop{Session: session, Attempt: sim.setup.Attempt, Server: sim.setup.Server,
			Moved: rapid.Bool().Draw(o.T, "moved")})
	case n == 9 && haveSession:
		o.p.Apply(o.now, front.SetRung{Session: session, Attempt: sim.setup.Attempt, Server: sim.setup.Server, Rung: 1})
	case n == 10:
		o.p.Apply(o.now, front.Probe{Server: o.server()})
	case n == 11:
		o.p.Apply(o.now, front.Withdraw{Server: o.server()})
	case n == 12:
		id := o.server()
		s, ok := o.listed[id]
		if !ok {
			s = Server{ID: id, Addr: "a:4"}
		}
		switch rapid.IntRange(0, 4).Draw(o.T, "listed") {
		case 0:
			s.Draining = true
		case 1:
			s.Draining, s.Removed = true, true
		case 2:
			s.Draining, s.Removed = false, false
		case 3:
			s.Started = o.now
		case 4:
			s.Addr = fmt.Sprint("a:", rapid.IntRange(0, 5).Draw(o.T, "addr"))
		}
		o.list(s)
	case n == 13:
		o.maxConns = rapid.IntRange(1, 8).Draw(o.T, "most")
		o.p.SetMaxConns(o.maxConns)
	case n == 14 && haveSession && sim.pending && !sim.established:
		o.clientLeft[session] = true
	case n == 15 && haveConn && !c.lost:
		c.ended = true
		if rapid.Bool().Draw(o.T, "notified") {
			c.lost = true
			o.p.Lost(o.now, c.server, conn, rapid.Uint64Range(0, c.bytes).Draw(o.T, "begun"))
		}
	case n <= 17 && haveConn && !c.lost:
		o.serverSends(c, conn, session)
	default:
		o.now += Time(rapid.IntRange(1, 600).Draw(o.T, "ms")) * ms
		o.p.Tick(o.now)
	}
	o.take()
}

func (o *simulation) serverSends(c *simulatedConn, conn, session uint64) {
	var m *wire.Message
	switch rapid.IntRange(0, 5).Draw(o.T, "message") {
	case 0, 1:
		m = ready(session)
	case 2, 3:
		m = release(session, rapid.SampledFrom([]uint8{16, 31, 34, 41, 47, 102}).Draw(o.T, "cause"))
	case 4:
		m = (&wire.Message{Type: wire.Tested, Session: o.p.Stats.Tests}).AddCause(1)
	case 5:
		o.p.Received(o.now, c.server, conn, []byte{0, 9, 200})
		return
	}
	b, err := m.Append(nil)
	if err != nil {
		o.Fatal(err)
	}
	o.p.Received(o.now, c.server, conn, b[:len(b)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(o.T, "short")])
}

// check compares the Protocol's state with the simulated one.
func (o *simulation) check(before int) int {
	held := len(o.dials)
	for _, remote := range o.p.peers {
		held += len(remote.conns)
		for id, c := range remote.conns {
			if sim := o.connections[id]; c.id != id || sim == nil || sim.closed || sim.lost {
				o.Fatalf("connection %d is held by the Protocol: %+v", id, sim)
			}
		}
	}
	if o.p.openConns != held {
		o.Fatalf("%d connections counted, %d open or being opened", o.p.openConns, held)
	}
	if held > max(o.maxConns, before) {
		o.Fatalf("%d connections, %d before, limit %d", held, before, o.maxConns)
	}
	for session, tracked := range o.requests {
		if a := o.p.attempts[session]; (a != nil) != tracked.pending ||
			a != nil && (a.ended || a.playing != tracked.established) {
			o.Fatalf("session %d: the core has %+v, the Protocol %+v", session, *tracked, a)
		}
	}
	return held
}

// Whatever the order of events: no crash, each attempt ends once, no set-up is written to a server that must not get
// it, and the count of open connections is right.
func TestInvariantsUnderAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newSimulation(t)
		held := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			o.step()
			held = o.check(held)
		}
	})
}

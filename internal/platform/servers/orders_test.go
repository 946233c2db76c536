package servers

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
)

// orders plays shell, core, list and servers in any order of events, and judges what the desk does.
type orders struct {
	*rapid.T
	d      *Desk
	now    Time
	most   int
	open   int // as counted here: connects under way and connections that the desk has not let go
	dials  []Act
	conns  map[uint64]*carrier
	stood  []uint64
	listed map[uint32]Server
	tries  map[uint64]*try
	ids    []uint64
	next   uint64
	gone   map[uint64]bool // sessions whose client has gone
}

// carrier is a connection that has stood.
type carrier struct {
	server uint32
	bytes  uint64
	last   bool // the desk has ended its writing side
	shut   bool // the desk has closed it
	lost   bool // the desk was told that it ended
	ended  bool // its server has ended it, which the desk has not been told
}

// try is one attempt as the core knows it.
type try struct {
	setup  front.Setup
	out    bool // no Ended yet
	stands bool
	sent   int
}

func newOrders(t *rapid.T) *orders {
	o := &orders{T: t, now: start, most: 1 << 30, conns: map[uint64]*carrier{}, listed: map[uint32]Server{}, tries: map[uint64]*try{}, gone: map[uint64]bool{}}
	o.d = New(Config{Classes: []string{"safe", "paid"}, Fields: []string{"x0"}, Connect: 250 * ms, ProbeWait: 250 * ms,
		Waits: func(session uint64) bool { return !o.gone[session] },
		Ended: func(conn uint64) bool { k := o.conns[conn]; return k == nil || k.ended || k.lost }})
	for id := range uint32(4) {
		o.list(Server{ID: id + 1, Addr: fmt.Sprint("a:", id)})
	}
	return o
}

func (o *orders) list(s Server) {
	o.listed[s.ID] = s
	o.d.Listed(o.now, []Server{s})
	o.take()
}

// take carries acts out and gives the events to the core, as the owner does.
func (o *orders) take() {
	acts, news := o.d.Take()
	for _, a := range acts {
		k := o.conns[a.Conn]
		switch {
		case a.Dial != "":
			o.dials = append(o.dials, a)
		case k == nil:
			if !a.Close {
				o.Fatalf("%+v for a connection that never stood", a)
			}
		case a.Close:
			k.shut = true
		case a.Finish:
			k.last = true
		case k.shut || k.last || k.lost:
			o.Fatalf("written to connection %d: %+v", a.Conn, *k)
		default:
			k.bytes += uint64(len(a.Bytes))
			o.wrote(a)
		}
	}
	for _, e := range news {
		switch e := e.(type) {
		case front.Began:
			y := o.tries[e.Session]
			if y == nil || !y.out || y.stands || y.setup.Attempt != e.Attempt || y.sent == 0 {
				o.Fatalf("%+v of %+v", e, y)
			}
			y.stands = true
		case front.Ended:
			y := o.tries[e.Session]
			if y == nil || !y.out || y.setup.Attempt != e.Attempt {
				o.Fatalf("%+v of %+v", e, y)
			}
			if y.out = false; fate.NeverRan(e.Status) && y.stands {
				o.Fatalf("%+v, which stood", e)
			}
		case front.Leave:
			if !o.gone[e.Session] {
				o.Fatalf("%+v, who waits", e)
			}
		}
	}
	if len(news) > 0 {
		o.take()
	}
}

func (o *orders) wrote(a Act) {
	var dec wire.Decoder
	dec.Feed(a.Bytes)
	m, err := dec.Next()
	if err != nil || m == nil {
		o.Fatalf("unreadable: %v", err)
	}
	if m.Type != wire.SetUp {
		return
	}
	y, s := o.tries[m.Session], o.listed[a.Server]
	if y == nil || !y.out || y.setup.Server != a.Server || s.Drains || s.Gone || o.gone[m.Session] || o.conns[a.Conn].server != a.Server {
		o.Fatalf("a set-up of %+v to %+v; its client has gone: %v", y, s, o.gone[m.Session])
	}
	for id, other := range o.listed {
		if id != a.Server && other.Addr == s.Addr && !other.Gone && o.d.byAddr[s.Addr] == id {
			o.Fatalf("a set-up for %d where %d is", a.Server, id)
		}
	}
	if y.sent++; y.sent > 2 {
		o.Fatalf("sent %d times", y.sent)
	}
}

// pick gives one of a list, or none.
func pick[V any](o *orders, list []V) (v V, ok bool) {
	if len(list) == 0 {
		return v, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(o.T, "which")], true
}

func (o *orders) server() uint32 { return rapid.Uint32Range(1, 5).Draw(o.T, "server") }

func (o *orders) setup(id uint64, attempt int) {
	y := &try{setup: front.Setup{Session: id, Attempt: attempt, Server: o.server(), Class: 1, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms}, out: true}
	o.tries[id] = y
	o.d.Do(o.now, y.setup)
}

// step is one event.
func (o *orders) step() {
	session, known := pick(o, o.ids)
	y := o.tries[session]
	conn, stands := pick(o, o.stood)
	k := o.conns[conn]
	switch n := rapid.IntRange(0, 19).Draw(o.T, "what"); {
	case n <= 2:
		o.next++
		o.ids = append(o.ids, o.next)
		o.setup(o.next, 0)
	case n == 3 && known && !y.out && !o.gone[session]: // the core tries again elsewhere
		o.setup(session, y.setup.Attempt+1)
	case n <= 6 && len(o.dials) > 0:
		i := rapid.IntRange(0, len(o.dials)-1).Draw(o.T, "dial")
		a := o.dials[i]
		o.dials = append(o.dials[:i:i], o.dials[i+1:]...)
		if rapid.IntRange(0, 3).Draw(o.T, "fails") == 0 {
			o.d.DialFailed(o.now, a.Server, a.Conn, Failure(rapid.IntRange(0, 2).Draw(o.T, "why")))
			break
		}
		o.conns[a.Conn] = &carrier{server: a.Server}
		o.stood = append(o.stood, a.Conn)
		o.d.Connected(o.now, a.Server, a.Conn)
	case n == 7 && known && y.out && !y.stands:
		cause := fate.Expired
		if rapid.Bool().Draw(o.T, "left") {
			cause, o.gone[session] = fate.Withdrawn, true
		}
		o.d.Do(o.now, front.Abandon{Session: session, Attempt: y.setup.Attempt, Server: y.setup.Server, Cause: cause})
	case n == 8 && known && y.stands && y.out:
		y.out = false // a Stop is not answered
		o.d.Do(o.now, front.Stop{Session: session, Attempt: y.setup.Attempt, Server: y.setup.Server, Moved: rapid.Bool().Draw(o.T, "moved")})
	case n == 9 && known:
		o.d.Do(o.now, front.SetRung{Session: session, Attempt: y.setup.Attempt, Server: y.setup.Server, Rung: 1})
	case n == 10:
		o.d.Do(o.now, front.Probe{Server: o.server()})
	case n == 11:
		o.d.Do(o.now, front.Withdraw{Server: o.server()})
	case n == 12:
		id := o.server()
		s, ok := o.listed[id]
		if !ok {
			s = Server{ID: id, Addr: "a:4"}
		}
		switch rapid.IntRange(0, 4).Draw(o.T, "listed") {
		case 0:
			s.Drains = true
		case 1:
			s.Drains, s.Gone = true, true
		case 2:
			s.Drains, s.Gone = false, false
		case 3:
			s.Started = o.now
		case 4:
			s.Addr = fmt.Sprint("a:", rapid.IntRange(0, 5).Draw(o.T, "addr"))
		}
		o.list(s)
	case n == 13:
		o.most = rapid.IntRange(1, 8).Draw(o.T, "most")
		o.d.Limit(o.most)
	case n == 14 && known && y.out && !y.stands:
		o.gone[session] = true
	case n == 15 && stands && !k.lost:
		k.ended = true
		if rapid.Bool().Draw(o.T, "told") {
			k.lost = true
			o.d.Lost(o.now, k.server, conn, rapid.Uint64Range(0, k.bytes).Draw(o.T, "begun"))
		}
	case n <= 17 && stands && !k.lost:
		o.says(k, conn, session)
	default:
		o.now += Time(rapid.IntRange(1, 600).Draw(o.T, "ms")) * ms
		o.d.Tick(o.now)
	}
	o.take()
}

func (o *orders) says(k *carrier, conn, session uint64) {
	var m *wire.Message
	switch rapid.IntRange(0, 5).Draw(o.T, "says") {
	case 0, 1:
		m = ready(session)
	case 2, 3:
		m = release(session, rapid.SampledFrom([]uint8{16, 31, 34, 41, 47, 102}).Draw(o.T, "cause"))
	case 4:
		m = (&wire.Message{Type: wire.Tested, Session: o.d.Stats.Tests}).AddCause(1)
	case 5:
		o.d.Received(o.now, k.server, conn, []byte{0, 9, 200})
		return
	}
	b, err := m.Append(nil)
	if err != nil {
		o.Fatal(err)
	}
	o.d.Received(o.now, k.server, conn, b[:len(b)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(o.T, "short")])
}

// check holds the desk's counts against what was seen.
func (o *orders) check(before int) int {
	held := len(o.dials)
	for _, l := range o.d.lines {
		held += len(l.links)
		for conn, k := range l.links {
			if c := o.conns[conn]; k.conn != conn || c == nil || c.shut || c.lost {
				o.Fatalf("connection %d is held: %+v", conn, c)
			}
		}
	}
	if o.d.open != held {
		o.Fatalf("%d connections counted, %d held or opened", o.d.open, held)
	}
	if held > max(o.most, before) {
		o.Fatalf("%d connections from %d, %d allowed", held, before, o.most)
	}
	for id, y := range o.tries {
		if a := o.d.attempts[id]; (a != nil) != y.out || a != nil && (a.over || a.playing != y.stands) {
			o.Fatalf("session %d: the core has %+v, the desk %+v", id, *y, a)
		}
	}
	return held
}

// Whatever comes in whatever order: no crash, each attempt ends once, nothing is written to whom it may not go, and what is
// counted as open is open.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOrders(t)
		held := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			o.step()
			held = o.check(held)
		}
	})
}

package viewers

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// orders plays shell, core, servers' list and clients in any order of events, and judges what the desk says.
type orders struct {
	*rapid.T
	d      *Desk
	now    Time
	conns  map[uint64]*link
	ids    []uint64
	known  map[uint64]*request
	last   uint64
	listed bool
}

// link is a viewer's connection.
type link struct {
	shut bool // the desk has closed it
	lost bool // the desk was told that it ended
}

// request is what its client, and what the core, know of a session.
type request struct {
	conn    uint64 // that the client asked on
	held    bool   // the core holds it
	stands  bool   // as the core has it
	answers int    // that reached the client
	ended   bool   // its client was told that it is over
	left    bool   // its client took it back or ended it
	handed  bool
	spoilt  bool // asked for twice: what it is told is nobody's matter
}

func newOrders(t *rapid.T) *orders {
	o := &orders{T: t, now: start, conns: map[uint64]*link{}, known: map[uint64]*request{}}
	o.d = New(Config{Settings: policy.Settings{Cells: 12, RetryAfter: true, MaxRetry: policy.Second}, Classes: []string{"live", "paid"},
		Host:     func(string) (uint32, bool) { return 7, o.listed },
		OpenMost: 3, Silent: 2 * policy.Second, Half: 2 * policy.Second, Idle: 6 * policy.Second,
		Quiet: func(conn uint64) bool { return conn%5 != 0 }})
	o.d.Limit(6)
	return o
}

func (o *orders) take() {
	acts, news := o.d.Take()
	for _, a := range acts {
		k := o.conns[a.Conn]
		if k == nil || k.shut || k.lost {
			o.Fatalf("%q to connection %d: %+v", a.Bytes, a.Conn, k)
		}
		for text := range strings.Lines(string(a.Bytes)) {
			l, err := wire.ParseLine([]byte(strings.TrimSuffix(text, "\n")))
			if r := o.known[l.Sid]; err == nil && r != nil {
				o.told(a.Conn, l, r)
			}
		}
		k.shut = k.shut || a.Close
	}
	for _, e := range news {
		switch e := e.(type) {
		case front.Ask:
			r := o.known[e.ID]
			if r.held || r.answers > 0 && !r.spoilt {
				o.Fatalf("asked for twice: %+v", r)
			}
			r.held = true
		case front.Adopt:
			r := o.known[e.ID]
			if !r.handed || r.held || r.ended && !r.spoilt {
				o.Fatalf("handed over: %+v", r)
			}
			r.held, r.stands = true, true
		case front.Leave:
			if r := o.known[e.Session]; r.held {
				r.held, r.stands = false, false
			}
		}
	}
}

func (o *orders) told(conn uint64, l wire.Line, r *request) {
	switch {
	case r.spoilt || l.Msg == wire.LineClosed:
	case l.Msg == wire.LineReady:
		if r.answers++; r.answers > 1 || conn != r.conn || r.handed {
			o.Fatalf("%+v to %+v on %d", l, r, conn)
		}
	case l.Msg == wire.LineClose && l.Code == wire.CauseBadForm:
	case l.Msg == wire.LineClose || l.Msg == wire.LineRelocate:
		if stood := r.answers == 1 || r.handed; r.ended || !stood && conn != r.conn {
			o.Fatalf("%+v to %+v on %d", l, r, conn)
		}
		r.ended = true
		r.answers = max(r.answers, 1)
	}
}

func pick[V any](o *orders, list []V) (v V, ok bool) {
	if len(list) == 0 {
		return v, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(o.T, "which")], true
}

func (o *orders) says(conn uint64, text string) {
	var in In
	in.Line, in.Err = wire.ParseLine([]byte(text))
	o.d.Received(o.now, o.now, conn, []In{in}, nil, rapid.IntRange(0, 9).Draw(o.T, "half") == 0, func(id uint64) bool {
		r := o.known[id]
		return r != nil && r.held
	})
}

func (o *orders) step() {
	var all []uint64
	for conn := uint64(1); conn <= o.last; conn++ {
		if k := o.conns[conn]; k != nil && !k.lost {
			all = append(all, conn)
		}
	}
	conn, there := pick(o, all)
	heard := there && !o.conns[conn].shut
	sid, named := pick(o, o.ids)
	r := o.known[sid]
	switch n := rapid.IntRange(0, 15).Draw(o.T, "what"); {
	case n <= 1:
		o.last++
		o.conns[o.last] = &link{}
		o.d.Accepted(o.now, o.last)
	case n <= 4 && there:
		id := uint64(100 + len(o.ids))
		o.ids = append(o.ids, id)
		o.known[id] = &request{conn: conn}
		o.says(conn, open(id, usual))
	case n == 5 && there:
		id := uint64(100 + len(o.ids))
		o.ids = append(o.ids, id)
		o.known[id] = &request{conn: conn, handed: true}
		o.says(conn, handed(id, "s-7"))
	case n == 6 && there && named && heard: // the same id again
		if r.spoilt = r.spoilt || !r.handed || r.ended || r.left; r.handed {
			o.says(conn, handed(sid, "s-7"))
		} else {
			o.says(conn, open(sid, usual))
		}
	case n == 7 && there && named:
		if heard && (r.answers > 0 || r.handed || conn == r.conn) {
			r.left = true
		}
		o.says(conn, shut(sid))
	case n == 8 && there:
		o.conns[conn].lost = true
		o.d.Lost(o.now, conn)
	case n <= 11 && named && r.held && !r.stands: // the core answers
		var e front.Effect = front.Plays{Session: sid, Text: "here"}
		switch rapid.IntRange(0, 3).Draw(o.T, "answer") {
		case 0:
			e = front.Refused{Session: sid, After: 100 * ms}
		case 1:
			e = front.Failed{Session: sid}
		}
		_, r.stands = e.(front.Plays)
		r.held = r.stands
		if !o.d.Do(o.now, e) && r.stands {
			r.held, r.stands = false, false
		}
	case n == 12 && named && r.held && r.stands: // the core ends it
		r.held, r.stands = false, false
		var e front.Effect = front.Over{Session: sid, Why: front.WhyEnd}
		switch rapid.IntRange(0, 2).Draw(o.T, "end") {
		case 0:
			e = front.Moved{Session: sid}
		case 1:
			e = front.Over{Session: sid, Why: front.WhyLeft}
			r.left = true
		}
		o.d.Do(o.now, e)
	case n == 13:
		o.listed = rapid.Bool().Draw(o.T, "listed")
		o.d.Limit(rapid.IntRange(1, 8).Draw(o.T, "most"))
	default:
		o.now += Time(rapid.IntRange(1, 900).Draw(o.T, "ms")) * ms
		o.d.Tick(o.now)
	}
	o.take()
}

// check holds the desk's counts against each other and what the core holds.
func (o *orders) check() {
	for conn, c := range o.d.conns {
		if k := o.conns[conn]; k == nil || k.lost || k.shut != c.closed {
			o.Fatalf("connection %d: %+v, the desk has %+v", conn, k, c)
		}
		standing := 0
		for _, s := range o.d.sessions {
			if s.standing && s.conn == conn {
				standing++
			}
		}
		if c.standing != standing {
			o.Fatalf("connection %d: %d sessions counted, %d stand", conn, c.standing, standing)
		}
		for sid := range c.open {
			if s := o.d.sessions[sid]; s == nil || s.standing || s.conn != conn {
				o.Fatalf("session %d is open on connection %d: %+v", sid, conn, s)
			}
		}
	}
	for sid, s := range o.d.sessions {
		r := o.known[sid]
		_, early := o.d.early[sid]
		if r.held == early || !early && r.stands != s.standing || r.ended && !r.spoilt {
			o.Fatalf("session %d: the core has %+v, the desk %+v, early: %v", sid, r, s, early)
		}
		if c := o.d.conns[s.conn]; !s.standing && (c == nil || c.closed || !c.open[sid]) {
			o.Fatalf("session %d is open on no connection", sid)
		}
	}
	for sid, r := range o.known {
		if r.held && o.d.sessions[sid] == nil {
			o.Fatalf("session %d is held by the core alone: %+v", sid, r)
		}
	}
}

// Whatever comes in whatever order: a request gets one answer, on its connection; a session ends once; nothing is said to whom has
// gone; the core holds what the desk holds.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOrders(t)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			o.step()
			o.check()
		}
	})
}

// Package attempts puts the front's own core and desk into a world of small numbers, in which whoever explores it picks
// what happens next: which byte stream is read, which connection breaks, when time passes, when a player leaves, when a
// server drains. Nothing of the front is modelled: internal/front with policy.Front and internal/exchange are the code
// that runs. What is modelled is the rest of the world, and that as plainly as it goes.
//
// The properties are in properties.go.
package attempts

import (
	"fmt"

	"tealledge/decide/paths"
	"tealledge/internal/exchange"
	"tealledge/internal/explore"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// Config says how much may go wrong in one run.
type Config struct {
	Sessions int // the first is paid, the second has a floor, the third is safe; at most 3
	Servers  int
	Losses   int // connections that may break
	Refusals int // dials that may be refused
	Denials  int // set-ups that a server may answer with 453
	Errors   int // set-ups that it may answer with 500
	Leaves   int // players that may leave
	Drains   int // servers that may be listed as draining
	Restarts int // times that the front may die and start anew
	Ways     int // addresses of each server; 0 is one
	Waits    int // times that time may pass, to the next time-out or so
	Moments  int // and shorter ones, past a drain's grace but within a connect's time
	Module   func(policy.Settings) front.Module
	Mutate   Mutation
}

// Mutation is a fault put into the world on purpose, to show that it is found.
type Mutation string

// start and step of the clock. A wait goes to the next time-out of an attempt or request, or a step further.
const (
	start  = 1000 * policy.Second
	step   = 450 * policy.Millisecond
	moment = 150 * policy.Millisecond
)

func settings() policy.Settings {
	return policy.Settings{Fleet: 1, Classes: []policy.Class{
		{Aim: policy.Second, Deadline: 2 * policy.Second, Worth: 2, Scale: 1, Top: 1, Paid: true, Seats: 1},
		{Aim: policy.Second, Deadline: 2 * policy.Second, Worth: 1, Scale: 1, Floor: 1, Top: 1},
		{Aim: policy.Second, Deadline: 2 * policy.Second, Worth: 1, Scale: 1, Top: 1}},
		RungKB: []float64{100, 200}, RungWorth: []float64{0.5, 1}, FleetKB: 20000, RackKB: 20000, WeightKB: 10000, Racks: 1, Cells: 1,
		KindSlots: []float64{40}, StallCost: 8, ChangeCost: 0.5, Join: 1, MaxAttempts: 3, RetryAfter: true,
		MaxRetry: policy.Second, DrainGrace: policy.Second / 10, ConnectWait: policy.Second / 4}
}

// link is a connection as the world sees it.
type link struct {
	server  uint32
	dialing bool
	dead    bool
	in      []byte          // written by the front, not read by the server
	dec     rtsp.Decoder    // of the server
	queue   []*rtsp.Message // read by the server, not worked on
	out     []*rtsp.Message // answered, not read by the front
	begun   uint64
	pipes   map[string]uint64 // streams at the server by pipelined id
	setups  map[uint32]int    // attempts in watch, by CSeq of their SETUP
}

// world is the system that is explored.
type world struct {
	cfg     Config
	now     policy.Time
	core    *front.Core
	desk    *exchange.Desk
	conns   map[uint64]*link
	order   []uint64
	players []player
	servers []server
	left    Config // what may still go wrong
	next    uint64 // stream ids
	watch   watch
	broken  string
}

type player struct {
	asked, left bool
	id          uint64 // session
	answer      string
	playing     bool
	asks        policy.Time
}

type server struct {
	draining bool
	told     policy.Time
	lost     bool              // a front that had a connection to it died
	streams  map[uint64]uint64 // RTSP session to the front's session
}

// New makes a world at its start.
func New(cfg Config) explore.System {
	w := &world{cfg: cfg, left: cfg, now: start, conns: map[uint64]*link{}}
	w.players = make([]player, cfg.Sessions)
	for range cfg.Servers {
		w.servers = append(w.servers, server{streams: map[uint64]uint64{}})
	}
	w.boot()
	return w
}

// boot starts the front with nothing but the list.
func (w *world) boot() {
	set := settings()
	var module front.Module = policy.New(set, 1)
	if w.cfg.Module != nil {
		module = w.cfg.Module(set)
	}
	token := uint64(0)
	w.core = front.New(front.Config{Settings: set, Module: module, Token: func() uint64 { token++; return token },
		AnswerMargin: 60 * policy.Millisecond, LastLine: 30 * policy.Millisecond, MovedFor: policy.Second, MovedMost: 4,
		FirstID: uint64(w.cfg.Restarts-w.left.Restarts) * 1000})
	w.desk = exchange.New(exchange.Config{Front: "f", ProbeWait: policy.Second / 4, Stall: 60 * policy.Second, KeepAlive: 3600 * policy.Second,
		Connect: policy.Second / 4, TitleName: func(uint64) string { return "t" }, Draw: func() float64 { return 0 }})
	var list []exchange.Server
	for i := range w.servers {
		s := exchange.Server{ID: uint32(i + 1), Addr: fmt.Sprintf("s%d:1", i+1)}
		for k := range max(w.cfg.Ways, 1) {
			s.Paths = append(s.Paths, paths.Path{Addr: fmt.Sprintf("s%d:%d", i+1, k+1), Family: paths.IPv4})
		}
		list = append(list, s)
	}
	w.desk.Listed(w.now, list)
	w.step(front.Listed{List: policy.List{Kind: policy.ListFull, Entries: w.entries()}})
}

// restart kills the front and starts it anew. What it held is no longer its duty: its players' requests are void, its
// streams end with its connections. Players that have not asked yet ask the new one.
func (w *world) restart() {
	w.left.Restarts--
	for _, l := range w.conns {
		w.servers[l.server-1].lost = true
	}
	w.conns, w.order = map[uint64]*link{}, nil
	for i := range w.players {
		if p := &w.players[i]; p.asked {
			p.left, p.playing = true, false
		}
	}
	for i := range w.watch.Attempts {
		w.watch.Attempts[i].Out = false
	}
	for i := range w.servers {
		w.servers[i].told = w.now // it is told anew
	}
	w.boot()
}

func (w *world) entries() (out []policy.Entry) {
	for i := range w.servers {
		e := policy.Entry{Server: uint32(i + 1), Size: 1}
		if w.servers[i].draining {
			e.Health = policy.Draining
		}
		out = append(out, e)
	}
	return out
}

// choice is something that may happen.
type choice struct {
	label string
	do    func()
}

func (w *world) choices() (list []choice) {
	add := func(do func(), format string, args ...any) {
		list = append(list, choice{fmt.Sprintf(format, args...), do})
	}
	for i := range w.players {
		p := &w.players[i]
		if !p.asked {
			add(func() { w.ask(i) }, "player %d asks", i)
			break // players that have not asked yet are taken in order: which one is first changes only names
		}
		if w.left.Leaves > 0 && !p.left && (p.answer == "" || p.playing) {
			add(func() { w.leave(i) }, "player %d leaves", i)
		}
	}
	for _, id := range w.order {
		l := w.conns[id]
		switch {
		case l.dead:
		case l.dialing:
			add(func() { l.dialing = false; w.desk.Connected(w.now, l.server, id); w.settle() }, "connection %d to server %d stands", id, l.server)
			if w.left.Refusals > 0 {
				add(func() {
					w.left.Refusals--
					l.dead = true
					w.desk.DialFailed(w.now, l.server, id)
					w.settle()
				}, "connection %d to server %d is refused", id, l.server)
			}
		default:
			w.lively(id, l, add)
		}
	}
	for i := range w.servers {
		if s := &w.servers[i]; w.left.Drains > 0 && !s.draining {
			add(func() {
				w.left.Drains--
				s.draining, s.told = true, w.now
				w.step(front.Listed{List: policy.List{Kind: policy.ListFull, Entries: w.entries()}})
			}, "server %d is told draining", i+1)
		}
	}
	if w.left.Restarts > 0 {
		add(w.restart, "the front dies and starts anew")
	}
	if w.left.Waits > 0 {
		add(func() { w.left.Waits--; w.wait(step) }, "time passes")
	}
	if w.left.Moments > 0 {
		add(func() { w.left.Moments--; w.wait(moment) }, "a moment passes")
	}
	return list
}

// lively lists what may happen on a connection that stands.
func (w *world) lively(id uint64, l *link, add func(func(), string, ...any)) {
	if len(l.queue) > 0 {
		m := l.queue[0]
		add(func() { w.work(l, rtsp.StatusOK) }, "server %d works on %s of connection %d", l.server, m.Method, id)
		if m.Method == rtsp.Setup && w.left.Denials > 0 {
			add(func() { w.left.Denials--; w.work(l, rtsp.StatusNotEnoughBandwidth) }, "server %d turns %s of connection %d away as full", l.server, m.Method, id)
		}
		if m.Method == rtsp.Setup && w.left.Errors > 0 {
			add(func() { w.left.Errors--; w.work(l, rtsp.StatusInternalError) }, "server %d fails %s of connection %d", l.server, m.Method, id)
		}
	}
	if len(l.out) > 0 {
		add(func() {
			m := l.out[0]
			l.out = l.out[1:]
			if n, ok := l.setups[m.CSeq]; ok && m.Status == rtsp.StatusNotEnoughBandwidth {
				w.watch.Attempts[n].Denied = true // the one answer that proves that it never ran
			}
			w.desk.Received(w.now, l.server, id, m)
			w.settle()
		}, "the front reads an answer on connection %d", id)
	}
	if w.left.Losses > 0 {
		add(func() { w.lose(id, l, l.begun) }, "connection %d breaks", id)
	}
}

func (w *world) ask(i int) {
	p := &w.players[i]
	p.asked, p.asks = true, w.now
	before := w.core.LastID()
	w.carry(w.core.Step(w.now, front.Ask{Player: uint64(i), Read: w.now, Title: 1, Copies: 1, Class: i, Viewer: uint64(i) + 1, Top: 1}))
	if p.id = w.core.LastID(); p.id == before {
		w.fail("a request was not taken")
	}
	w.settle()
}

func (w *world) leave(i int) {
	w.left.Leaves--
	p := &w.players[i]
	p.left, p.playing = true, false
	w.step(front.Leave{Session: p.id})
}

// lose breaks a connection: the server works on nothing more of it, and drops what was set up on it in time.
func (w *world) lose(id uint64, l *link, begun uint64) {
	w.left.Losses--
	l.dead = true
	w.desk.Lost(w.now, l.server, id, begun)
	w.settle()
}

// work has a server work on the first request of a connection.
func (w *world) work(l *link, status int) {
	m := l.queue[0]
	l.queue = l.queue[1:]
	s := &w.servers[l.server-1]
	reply := &rtsp.Message{Status: status, CSeq: m.CSeq}
	find := func() (uint64, bool) {
		var id uint64
		if text := m.Session(); text != "" {
			fmt.Sscan(text, &id)
		} else {
			id = l.pipes[m.Get("Pipelined-Requests")]
		}
		_, ok := s.streams[id]
		return id, ok
	}
	switch m.Method {
	case rtsp.Setup:
		if status == rtsp.StatusOK {
			w.next++
			var session uint64
			var attempt int
			fmt.Sscanf(m.Get(exchange.HeaderAttempt), "f/%d/%d", &session, &attempt)
			s.streams[w.next] = session
			l.pipes[m.Get("Pipelined-Requests")] = w.next
			reply.Set("Session", fmt.Sprint(w.next))
			w.watch.ran(session, attempt)
		}
	case rtsp.Teardown:
		if id, ok := find(); ok {
			delete(s.streams, id)
		} else {
			reply.Status = rtsp.StatusSessionNotFound
		}
	case rtsp.Play, rtsp.SetParameter, rtsp.GetParameter:
		if _, ok := find(); !ok && (m.Method == rtsp.Play || m.Session() != "") {
			reply.Status = rtsp.StatusSessionNotFound
		}
	}
	l.out = append(l.out, reply)
}

// wait lets time pass: to the next time-out that ends something, with all that falls due on the way.
func (w *world) wait(span policy.Time) {
	end := w.now + span
	for w.now < end {
		next := end
		if at, ok := w.core.Next(); ok {
			next = min(next, at)
		}
		if at, ok := w.desk.Next(); ok {
			next = min(next, at)
		}
		w.now = max(next, w.now+1)
		w.desk.Tick(w.now)
		w.settle()
		w.carry(w.core.Advance(w.now))
		w.settle()
	}
}

func (w *world) step(e front.Event) {
	w.carry(w.core.Step(w.now, e))
	w.settle()
}

// settle carries out what the desk wants, as the shell does.
func (w *world) settle() {
	for {
		acts, news := w.desk.Take()
		if len(acts) == 0 && len(news) == 0 {
			return
		}
		for _, a := range acts {
			w.act(a)
		}
		for _, n := range news {
			w.carry(w.core.Step(w.now, n))
		}
	}
}

func (w *world) act(a exchange.Act) {
	l := w.conns[a.Conn]
	switch {
	case a.Dial != "":
		w.conns[a.Conn] = &link{server: a.Server, dialing: true, pipes: map[string]uint64{}, setups: map[uint32]int{}}
		w.order = append(w.order, a.Conn)
	case l == nil || l.dead:
	case a.Close:
		l.dead = true
	default:
		l.begun += uint64(len(a.Bytes))
		l.dec.Feed(a.Bytes)
		for {
			m, err := l.dec.Next()
			if err != nil {
				w.fail("the front wrote what is no RTSP: %v", err)
				return
			}
			if m == nil {
				return
			}
			w.written(l, m)
			l.queue = append(l.queue, m)
		}
	}
}

// carry takes the core's effects, as the shell does.
func (w *world) carry(effects []front.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case front.Plays:
			w.answered(e.Player, e.Session, "plays")
		case front.Refused:
			w.answered(e.Player, e.Session, "refused")
		case front.Failed:
			w.answered(e.Player, e.Session, "failed")
		case front.Over:
			w.players[e.Player].playing = false
		case front.Moved:
			w.players[e.Player].playing = false
		case front.Fault:
			w.fail("the core's last line: %s", e.Text)
		case front.Abandon:
			w.watch.over(e.Session, e.Attempt)
			w.desk.Do(w.now, w.mutated(e))
		default:
			w.desk.Do(w.now, w.mutated(e))
		}
	}
}

// Enabled names what may happen now.
func (w *world) Enabled() (labels []string) {
	if w.broken != "" {
		return nil
	}
	for _, c := range w.choices() {
		labels = append(labels, c.label)
	}
	return labels
}

// Take has one of these happen.
func (w *world) Take(i int) {
	w.choices()[i].do()
	w.settled()
}

// Broken tells the property that is violated.
func (w *world) Broken() string { return w.broken }

// Fingerprint is of the core, the desk and the world, with times relative to now.
func (w *world) Fingerprint() uint64 {
	cfg := w.left
	cfg.Module = nil
	return explore.NewCanon(w.now).Skip(policy.Settings{}).Add(w.core.Essence()).Add(w.desk).Add(w.players).Add(w.servers).Add(w.links()).Add(cfg).Add(w.watch).Sum()
}

// links gives the connections that still matter.
func (w *world) links() (out []any) {
	for _, id := range w.order {
		if l := w.conns[id]; !l.dead {
			out = append(out, id, *l)
		}
	}
	return out
}

// Package attempts puts the front's own core and desk into a world of small numbers, in which whoever explores it picks
// what happens next: which byte stream is read, which connection breaks and where in it, when time passes, when a player
// leaves or comes back, when a server drains, what the list service says. Nothing of the front is modelled:
// internal/front with policy.Front, internal/rtspclient, decide/addresses and decide/serverview are the code that runs. What is
// modelled is the rest of the world, and that as plainly as it goes.
//
// This file is the world's state and the front's side of it; choices.go is what may happen, servers.go what media
// servers do, clock.go time, watch.go what is remembered, properties.go the properties.
package attempts

import (
	"fmt"
	"sync"

	"tealledge/decide/addresses"
	"tealledge/decide/serverview"
	"tealledge/internal/explore"
	"tealledge/internal/explore/deep"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/internal/rtspclient"
	"tealledge/policy"
)

// Config says who is there and how much may go wrong in one run.
type Config struct {
	Sessions int   // players: the first is paid, the second has a floor, the third is safe, and so on around
	Classes  []int // in place of that, each player's class: 0 paid, 1 floor, 2 safe
	Servers  int
	Ways     int // addresses of each server; 0 is one

	Faults   int // of all that follows, so much in one run; 0: no bound but each one's own
	Losses   int // connections that may break
	Refusals int // dials that may be refused
	Denials  int // set-ups that a server may answer with 453
	Errors   int // set-ups that it may answer with 500
	Leaves   int // players that may leave
	Breaks   int // players whose connection may break; they may resume their session
	Drains   int // servers that may be listed as draining
	Lists    int // odd answers of the list service: partial, empty, backwards, failed
	Restarts int // times that the front may die and start anew
	Notes    int // notes of short delivery that servers may send

	Waits    int // times that the clock may go to the next instant that matters
	Probes   bool
	Cold     bool // servers have just started, and can be pushed over
	Budget   bool // further attempts are rationed: one in a span
	Recover  bool // a front that starts anew takes up what its store held
	Deadline int  // ms that players wait; 0: 2,000
	Module   func(set policy.Settings, boot int) front.Module
	Mutate   Mutation
}

// start of the clock, and how long players may be gone.
const (
	start     = 1000 * policy.Second
	resumeFor = policy.Second
)

func (c *Config) class(player int) int {
	if len(c.Classes) > 0 {
		return c.Classes[player]
	}
	return player % 3
}

// may tells whether one more thing of a kind may go wrong.
func (c *Config) may(n int) bool { return n > 0 && c.Faults != 0 }

// spend books that it did. Faults below 0 has no bound.
func (c *Config) spend(n *int) {
	*n--
	c.Faults--
}

func settings(cfg *Config) policy.Settings {
	wait := 2 * policy.Second
	if cfg.Deadline > 0 {
		wait = policy.Time(cfg.Deadline) * policy.Millisecond
	}
	s := policy.Settings{Fronts: 1, Classes: []policy.Class{
		{SetupTarget: policy.Second, Deadline: wait, Worth: 2, Scale: 1, Top: 1, Paid: true, Seats: 1},
		{SetupTarget: policy.Second, Deadline: wait, Worth: 1, Scale: 1, Floor: 1, Top: 1},
		{SetupTarget: policy.Second, Deadline: wait, Worth: 1, Scale: 1, Top: 1}},
		RungKB: []float64{100, 200}, RungWorth: []float64{0.5, 1}, FleetKB: 20000, RackKB: 20000, WeightKB: 10000, Racks: 1, Cells: 1,
		KindSlots: []float64{40}, StallCost: 8, ChangeCost: 0.5, ExtraViewerCost: 1, MaxAttempts: 3, RetryAfter: true,
		MaxRetryAfter: policy.Second, DrainGrace: policy.Second / 10, ConnectTimeout: policy.Second / 4}
	if cfg.Probes {
		s.MayProbe, s.Fields = true, []policy.Field{policy.FieldLink}
	}
	if cfg.Notes > 0 {
		s.NoteDelay, s.NoteInterval = policy.Second/10, policy.Second
	}
	if cfg.Cold {
		// A server just started takes 1 set-up a second; 2 within one push it not over, a third does.
		s.KindSlots, s.WarmupTime, s.OverloadWindow, s.ColdCapacity, s.OverloadFactor = []float64{20}, 10*policy.Second, policy.Second, 0.5, 2
	}
	if cfg.Budget {
		// The module counts a connect's wait more; half of this and that wait is less than the idle step, the whole is not.
		s.RetriesLimited, s.SpareRetries, s.RetryRatio, s.RetryWindow = true, 1, 0, 1800*policy.Millisecond
	}
	return s
}

// world is the system that is explored.
type world struct {
	cfg     *Config
	set     policy.Settings
	now     policy.Time
	due     bool // the clock stands at an instant that matters, and what is due has not fallen due yet
	core    *front.Core
	desk    *rtspclient.Protocol
	view    *serverview.View
	index   uint64 // of the list service
	conns   []*link
	players []player
	servers []server
	left    Config // what may still go wrong
	streams uint64
	boots   int
	watch   watch
	slow    []front.Effect // held back by a mutation
	ghosts  []ghost        // seats of an earlier life
	broken  string
}

type player struct {
	asked, left, alone bool
	id                 uint64 // session
	answer             string
	playing            bool
	asks               policy.Time
	again              int // how often it came anew after the front died
}

// plans say how worlds are copied and fingerprinted. The module's source of randomness is copied, but not compared.
var plans = sync.OnceValue(func() *deep.Plans {
	return deep.NewPlans(policy.Settings{}, Config{}).Mute(newRandom())
})

// New makes a world at its start.
func New(cfg Config) explore.System {
	if cfg.Faults == 0 {
		cfg.Faults = -1
	}
	if len(cfg.Classes) > 0 {
		cfg.Sessions = len(cfg.Classes)
	}
	w := &world{cfg: &cfg, set: settings(&cfg), now: start, index: 10, left: cfg}
	w.players = make([]player, cfg.Sessions)
	for range cfg.Servers {
		s := server{streams: map[uint64]stream{}}
		if cfg.Cold {
			s.started = start
		}
		w.servers = append(w.servers, s)
	}
	w.boot()
	if cfg.Budget { // in its first window a front has nothing to spare: it has lived for one
		w.now += w.set.RetryWindow
		w.carry(w.core.Advance(w.now))
	}
	return w
}

// Copy gives a world of its own that goes on from here.
func (w *world) Copy() explore.System { return deep.Copy(plans(), w) }

// boot starts the front with nothing but the list.
func (w *world) boot() {
	var module front.Module = policy.New(w.set, 1)
	if w.cfg.Module != nil {
		module = w.cfg.Module(w.set, w.boots)
	}
	w.boots++
	w.core = front.New(front.Config{Settings: w.set, Module: module, NewToken: token,
		AnswerMargin: 60 * policy.Millisecond, FailsafeMargin: 30 * policy.Millisecond, MoveTokenTTL: policy.Second, MaxMoveTokens: 4,
		ResumeWindow: resumeFor, FirstID: uint64(w.boots-1) * 1000})
	w.desk = rtspclient.New(rtspclient.Config{Front: "f", Fields: w.set.Fields, ProbeTimeout: policy.Second / 4, StallTimeout: 60 * policy.Second,
		KeepAliveInterval: 3600 * policy.Second, ConnectTimeout: w.set.ConnectTimeout, TitleName: titleName, Random: draw,
		Aims: []policy.Time{policy.Second, policy.Second, policy.Second}})
	w.view = &serverview.View{}
	w.listed(w.entries())
}

// What the front calls keeps no state: copies of a world share functions. Tokens are one constant here, so that nobody
// can guess them is not what is explored.
func token() uint64           { return 7 }
func titleName(uint64) string { return "t" }
func draw() float64           { return 0 }

// restart kills the front and starts it anew. Its streams and attempts are no longer its duty: servers end what nobody
// keeps up by their own time-out. Its players come again.
func (w *world) restart() {
	w.left.spend(&w.left.Restarts)
	kept := w.stored()
	w.conns, w.due, w.slow = nil, false, nil
	for i := range w.players {
		if w.cfg.Recover && w.players[i].playing {
			w.players[i].alone = true // what it watches goes on; it may resume
		} else if p := &w.players[i]; p.asked && !p.left && !p.alone {
			*p = player{again: p.again + 1}
		} else if p.alone {
			p.left, p.playing = true, false
		}
	}
	for i := range w.watch.Attempts {
		w.watch.Attempts[i].Out = false
	}
	for i := range w.servers {
		w.servers[i].told = w.now // it is told anew
		w.servers[i].orphan()
	}
	w.boot()
	w.takeUp(kept)
}

// listed has the list service answer; what is believed of it goes to core and desk, as in the shell.
func (w *world) listed(entries []policy.Entry) {
	list, verdict := w.view.Apply(w.now, serverview.Response{Index: w.index, Entries: entries})
	if verdict != serverview.Accepted {
		return
	}
	for i := range w.servers {
		ready := false
		for _, e := range list {
			ready = ready || e.Server == uint32(i+1) && e.Health == policy.Ready
		}
		if s := &w.servers[i]; ready {
			s.shut = false
		} else if !s.shut {
			s.shut, s.told = true, w.now
		}
	}
	w.step(front.Listed{List: policy.List{Kind: policy.ListFull, Entries: list}})
	var known []rtspclient.Server
	for _, e := range list {
		s := rtspclient.Server{ID: e.Server, Addr: fmt.Sprintf("s%d:1", e.Server), StartedAt: e.Started}
		for k := range max(w.cfg.Ways, 1) {
			s.Paths = append(s.Paths, addresses.Path{Addr: fmt.Sprintf("s%d:%d", e.Server, k+1), Family: addresses.IPv4})
		}
		known = append(known, s)
	}
	w.desk.SetServers(w.now, known)
	w.settle()
}

func (w *world) entries() (out []policy.Entry) {
	for i := range w.servers {
		e := policy.Entry{Server: uint32(i + 1), Size: 1, Started: w.servers[i].started}
		if w.servers[i].draining {
			e.Health = policy.Draining
		}
		out = append(out, e)
	}
	return out
}

func (w *world) ask(i int) {
	p := &w.players[i]
	p.asked, p.asks = true, w.now
	w.watch.Taken = append(w.watch.Taken, w.now)
	before := w.core.LastID()
	effects := w.core.Step(w.now, front.Request{Player: uint64(i), ReadAt: w.now, Title: 1, Copies: 1, Class: w.cfg.class(i), Viewer: uint64(i) + 1,
		Top: 1, Again: p.again > 0})
	if p.id = w.core.LastID(); p.id == before {
		w.fail("a request was not taken")
	}
	w.carry(effects)
	w.settle()
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
			for _, n := range w.misheard(n) {
				w.carry(w.core.Step(w.now, n))
			}
		}
	}
}

func (w *world) act(a rtspclient.Effect) {
	l := w.conn(a.Conn)
	switch {
	case a.Dial != "":
		w.conns = append(w.conns, &link{id: a.Conn, server: a.Server, dialing: true})
	case l == nil:
	case a.Close:
		w.gone(l)
	default:
		l.dec.Feed(a.Bytes)
		l.fed += uint64(len(a.Bytes))
		for {
			m, err := l.dec.Next()
			if err != nil {
				w.fail("the front wrote what is no RTSP: %v", err)
				return
			}
			if m == nil {
				break
			}
			if m.Method == "" {
				continue // its answer to a note
			}
			l.begun = l.fed - uint64(l.dec.Buffered())
			l.waits = append(l.waits, request{m, l.begun, w.written(l, m)})
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
		case front.Resumed:
			w.players[e.Player%100].alone = false
		case front.Unknown:
			w.players[e.Player%100].left, w.players[e.Player%100].playing, w.players[e.Player%100].alone = true, false, false
		case front.SessionEnded:
			w.stops(e.Session)
		case front.Moved:
			w.stops(e.Session)
		case front.Fault:
			w.fail("the core's last line: %s", e.Text)
		default:
			if e, ok := w.mutated(e); ok {
				w.desk.Apply(w.now, e)
			}
		}
	}
}

// Fingerprint is of the core, the desk and the world, with times relative to now.
func (w *world) Fingerprint() uint64 {
	p := printers.Get().(*deep.Printer)
	defer printers.Put(p)
	p.Begin(w.now)
	essence := w.core.ComparisonState()
	deep.Add(p, &essence)
	deep.Add(p, w.desk)
	deep.Add(p, w.view)
	deep.Add(p, &w.players)
	deep.Add(p, &w.servers)
	deep.Add(p, &w.conns)
	deep.Add(p, &w.watch)
	deep.Add(p, &w.slow)
	deep.Add(p, &w.ghosts)
	left := [...]int{w.left.Faults, w.left.Losses, w.left.Refusals, w.left.Denials, w.left.Errors, w.left.Leaves, w.left.Breaks,
		w.left.Drains, w.left.Lists, w.left.Restarts, w.left.Notes, w.left.Waits, int(w.index)}
	deep.Add(p, &left)
	deep.Add(p, &w.due)
	return p.Sum()
}

var printers = sync.Pool{New: func() any { return plans().NewPrinter() }}

// Broken tells the property that is violated.
func (w *world) Broken() string { return w.broken }

// request is what the front wrote and the server has not answered yet.
type request struct {
	m   *rtsp.Message
	end uint64 // its last byte's offset on the connection
	n   int    // of a set-up: its attempt in watch; else -1
}

// stops has the player of a session watch no more.
func (w *world) stops(session uint64) {
	for i := range w.players {
		if p := &w.players[i]; p.id == session {
			p.playing = false
		}
	}
}

// Package attempts runs the front's core and protocol in a small simulated world, in which a search chooses the next
// event: which connection is read, which connection breaks and at which message, when time passes, when a player
// leaves or comes back, when a server drains, what the list service reports. No part of the front is a model:
// internal/front with policy.Front, internal/rtspclient, decide/addresses and decide/serverview are production code.
// Only the environment is modelled, as simply as possible.
//
// This file holds the state of the world and the front's side of it, choices.go the possible events, servers.go the
// media servers, clock.go the time, history.go the past events that properties refer to, properties.go the
// properties, recover.go the store, faults.go the seeded faults, starts.go initial states and day scripts.
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

// Config sets the size of a world and bounds the faults in one run. Saved searches are identified by its fields.
type Config struct {
	Sessions int   // players, whose classes repeat in the order paid, floor, safe
	Classes  []int // overrides Sessions with the class of each player: 0 paid, 1 floor, 2 safe
	Servers  int
	Ways     int // addresses of each server; 0: 1

	Faults   int // maximum sum of all the following faults in one run; 0: no limit but those of each kind
	Losses   int // connections that may break
	Refusals int // dials that may be refused
	Denials  int // set-ups that a server may answer with 453
	Errors   int // set-ups that it may answer with 500
	Leaves   int // players that may leave
	Breaks   int // players whose connection may break; they may resume their session
	Drains   int // servers that may be listed as draining
	Lists    int // odd answers of the list service: partial, empty, older than the last
	Restarts int // times that the front may die and restart
	Notes    int // notes of short delivery that servers may send

	Waits    int  // times that the clock may advance to the next deadline
	Probes   bool // the module may probe servers
	Cold     bool // servers have just started, and can be overloaded during warm-up
	Budget   bool // retries are limited: one per retry window
	Recover  bool // a restarted front restores sessions from its store
	Deadline int  // time limit of a player's request, in ms; 0: 2,000
	// Module creates the module of a front. boot counts the earlier starts of the front. nil: policy.New
	Module func(settings policy.Settings, boot int) front.Module
	Mutate Mutation
}

// startTime is the initial clock reading; resumeWindow is how long a disconnected player can resume its session.
const (
	startTime    = 1000 * policy.Second
	resumeWindow = policy.Second
)

// classOf returns the class of a player.
func (c *Config) classOf(player int) int {
	if len(c.Classes) > 0 {
		return c.Classes[player]
	}
	return player % 3
}

// allows reports whether a fault of which n are left may occur.
func (c *Config) allows(n int) bool { return n > 0 && c.Faults != 0 }

// useUp counts a fault that occurs. Faults is unlimited if negative.
func (c *Config) useUp(n *int) {
	*n--
	c.Faults--
}

// newSettings returns the module's settings for a world.
func newSettings(cfg *Config) policy.Settings {
	deadline := 2 * policy.Second
	if cfg.Deadline > 0 {
		deadline = policy.Time(cfg.Deadline) * policy.Millisecond
	}
	s := policy.Settings{Fronts: 1, Classes: []policy.Class{
		{SetupTarget: policy.Second, Deadline: deadline, Worth: 2, Scale: 1, Top: 1, Paid: true, Seats: 1},
		{SetupTarget: policy.Second, Deadline: deadline, Worth: 1, Scale: 1, Floor: 1, Top: 1},
		{SetupTarget: policy.Second, Deadline: deadline, Worth: 1, Scale: 1, Top: 1}},
		RungKB: []float64{100, 200}, RungWorth: []float64{0.5, 1}, FleetKB: 20000, RackKB: 20000, WeightKB: 10000,
		Racks: 1, Cells: 1, KindSlots: []float64{40}, StallCost: 8, ChangeCost: 0.5, ExtraViewerCost: 1,
		MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: policy.Second, DrainGrace: policy.Second / 10,
		ConnectTimeout: policy.Second / 4}
	if cfg.Probes {
		s.MayProbe, s.Fields = true, []policy.Field{policy.FieldLink}
	}
	if cfg.Notes > 0 {
		s.NoteDelay, s.NoteInterval = policy.Second/10, policy.Second
	}
	if cfg.Cold {
		// A server that just started takes 1 set-up per second. 2 set-ups within a second do not overload it, a third
		// does.
		s.KindSlots, s.WarmupTime, s.OverloadWindow, s.ColdCapacity, s.OverloadFactor =
			[]float64{20}, 10*policy.Second, policy.Second, 0.5, 2
	}
	if cfg.Budget {
		// The module adds a connect timeout to this window. Half the window plus that timeout is less than idleStep;
		// the whole window plus it is not.
		s.RetriesLimited, s.SpareRetries, s.RetryRatio, s.RetryWindow = true, 1, 0, 1800*policy.Millisecond
	}
	return s
}

// world is the explored system: a front, its players, media servers and list service.
type world struct {
	cfg            *Config
	settings       policy.Settings
	now            policy.Time
	timersDue      bool // the clock is at a deadline whose timers have not expired yet
	core           *front.Core
	protocol       *rtspclient.Protocol
	view           *serverview.View
	listIndex      uint64 // index of the list service's last answer
	conns          []*serverConn
	players        []player
	servers        []server
	remaining      Config // faults that may still occur
	lastStream     uint64
	frontStarts    int
	history        history
	delayedEffects []front.Effect       // delayed by a mutation
	unconfirmed    []unconfirmedSession // may hold seats from before a restart
	violation      string
}

// player is a player with its request and session.
type player struct {
	requested, left, disconnected bool
	session                       uint64
	answer                        string
	playing                       bool
	requestedAt                   policy.Time
	reconnects                    int // how often it repeated its request after the front died
}

// deepPlans describes how worlds are copied and fingerprinted. The module's random source is copied, but excluded from
// fingerprints.
var deepPlans = sync.OnceValue(func() *deep.Plans {
	return deep.NewPlans(policy.Settings{}, Config{}).ExcludeFromFingerprints(nilRandom())
})

// New returns a world in its initial state.
func New(cfg Config) explore.System {
	if cfg.Faults == 0 {
		cfg.Faults = -1
	}
	if len(cfg.Classes) > 0 {
		cfg.Sessions = len(cfg.Classes)
	}
	w := &world{cfg: &cfg, settings: newSettings(&cfg), now: startTime, listIndex: 10, remaining: cfg}
	w.players = make([]player, cfg.Sessions)
	for range cfg.Servers {
		s := server{streams: map[uint64]stream{}}
		if cfg.Cold {
			s.startedAt = startTime
		}
		w.servers = append(w.servers, s)
	}
	w.startFront()
	if cfg.Budget { // a front has no spare retries in its first window, so one window passes first
		w.now += w.settings.RetryWindow
		w.applyCoreEffects(w.core.Advance(w.now))
	}
	return w
}

// Copy returns an independent copy of the world.
func (w *world) Copy() explore.System { return deep.Copy(deepPlans(), w) }

// startFront starts a front that knows only the list of servers.
func (w *world) startFront() {
	var module front.Module = policy.New(w.settings, 1)
	if w.cfg.Module != nil {
		module = w.cfg.Module(w.settings, w.frontStarts)
	}
	w.frontStarts++
	w.core = front.New(front.Config{Settings: w.settings, Module: module, NewToken: token,
		AnswerMargin: 60 * policy.Millisecond, FailsafeMargin: 30 * policy.Millisecond, MoveTokenTTL: policy.Second,
		MaxMoveTokens: 4, ResumeWindow: resumeWindow, FirstID: uint64(w.frontStarts-1) * 1000})
	w.protocol = rtspclient.New(rtspclient.Config{Front: "f", Fields: w.settings.Fields,
		ProbeTimeout: policy.Second / 4, StallTimeout: 60 * policy.Second,
		KeepAliveInterval: 3600 * policy.Second, ConnectTimeout: w.settings.ConnectTimeout,
		TitleName: titleName, Random: zeroRandom,
		SetupTargets: []policy.Time{policy.Second, policy.Second, policy.Second}})
	w.view = &serverview.View{}
	w.applyList(w.listEntries())
}

// The functions that the front calls keep no state, because copies of a world share them. All tokens are one
// constant: that tokens cannot be guessed is not checked here.
func token() uint64           { return 7 }
func titleName(uint64) string { return "t" }
func zeroRandom() float64     { return 0 }

// restartFront kills the front and starts a new one. The new front is not responsible for earlier streams and
// attempts that it does not restore: servers end streams without keep-alives by their own time-out. Its players send
// their requests again.
func (w *world) restartFront() {
	w.remaining.useUp(&w.remaining.Restarts)
	stored := w.storedSessions()
	w.conns, w.timersDue, w.delayedEffects = nil, false, nil
	for i := range w.players {
		if w.cfg.Recover && w.players[i].playing {
			w.players[i].disconnected = true // its stream continues, and it may resume
		} else if p := &w.players[i]; p.requested && !p.left && !p.disconnected {
			*p = player{reconnects: p.reconnects + 1}
		} else if p.disconnected {
			p.left, p.playing = true, false
		}
	}
	for i := range w.history.Attempts {
		w.history.Attempts[i].InFlight = false
	}
	for i := range w.servers {
		w.servers[i].reportedAt = w.now // the new front learns it again
		w.servers[i].orphanStreams()
	}
	w.startFront()
	w.restoreSessions(stored)
}

// applyList has the list service answer. Entries that the front accepts go to core and protocol, as in the production
// shell.
func (w *world) applyList(entries []policy.Entry) {
	list, verdict := w.view.Apply(w.now, serverview.Response{Index: w.listIndex, Entries: entries})
	if verdict != serverview.Accepted {
		return
	}
	for i := range w.servers {
		ready := false
		for _, e := range list {
			ready = ready || e.Server == uint32(i+1) && e.Health == policy.Ready
		}
		if server := &w.servers[i]; ready {
			server.unavailable = false
		} else if !server.unavailable {
			server.unavailable, server.reportedAt = true, w.now
		}
	}
	w.stepCore(front.Listed{List: policy.List{Kind: policy.ListFull, Entries: list}})
	var known []rtspclient.Server
	for _, e := range list {
		server := rtspclient.Server{ID: e.Server, Addr: fmt.Sprintf("s%d:1", e.Server), StartedAt: e.Started}
		for k := range max(w.cfg.Ways, 1) {
			server.Addresses = append(server.Addresses, addresses.Address{Addr: fmt.Sprintf("s%d:%d", e.Server, k+1),
				Family: addresses.IPv4})
		}
		known = append(known, server)
	}
	w.protocol.SetServers(w.now, known)
	w.runProtocol()
}

// listEntries returns the complete list of servers.
func (w *world) listEntries() (entries []policy.Entry) {
	for i := range w.servers {
		e := policy.Entry{Server: uint32(i + 1), Size: 1, Started: w.servers[i].startedAt}
		if w.servers[i].draining {
			e.Health = policy.Draining
		}
		entries = append(entries, e)
	}
	return entries
}

// requestSession has a player send its request.
func (w *world) requestSession(i int) {
	p := &w.players[i]
	p.requested, p.requestedAt = true, w.now
	w.history.Requests = append(w.history.Requests, w.now)
	lastID := w.core.LastID()
	effects := w.core.Step(w.now, front.Request{Player: uint64(i), ReadAt: w.now, Title: 1, Copies: 1,
		Class: w.cfg.classOf(i), Viewer: uint64(i) + 1, Top: 1, Again: p.reconnects > 0})
	if p.session = w.core.LastID(); p.session == lastID {
		w.fail("a request was not accepted")
	}
	w.applyCoreEffects(effects)
	w.runProtocol()
}

// Fingerprint returns the fingerprint of core, protocol and world, with times relative to now.
func (w *world) Fingerprint() uint64 {
	p := fingerprinters.Get().(*deep.Fingerprinter)
	defer fingerprinters.Put(p)
	p.Reset(w.now)
	coreState := w.core.ComparisonState()
	deep.Add(p, &coreState)
	deep.Add(p, w.protocol)
	deep.Add(p, w.view)
	deep.Add(p, &w.players)
	deep.Add(p, &w.servers)
	deep.Add(p, &w.conns)
	deep.Add(p, &w.history)
	deep.Add(p, &w.delayedEffects)
	deep.Add(p, &w.unconfirmed)
	remaining := [...]int{w.remaining.Faults, w.remaining.Losses, w.remaining.Refusals, w.remaining.Denials,
		w.remaining.Errors, w.remaining.Leaves, w.remaining.Breaks, w.remaining.Drains, w.remaining.Lists,
		w.remaining.Restarts, w.remaining.Notes, w.remaining.Waits, int(w.listIndex)}
	deep.Add(p, &remaining)
	deep.Add(p, &w.timersDue)
	return p.Sum()
}

// fingerprinters holds idle fingerprinters for reuse.
var fingerprinters = sync.Pool{New: func() any { return deepPlans().NewFingerprinter() }}

// Violation describes the violated property, "" if none is.
func (w *world) Violation() string { return w.violation }

// request is a message that the front wrote and the server has not answered yet.
type request struct {
	message   *rtsp.Message
	endOffset uint64 // offset of its end in the bytes written on the connection
	attempt   int    // of a set-up: its index in history.Attempts; else -1
}

// stopPlaying records that the player of a session no longer plays.
func (w *world) stopPlaying(session uint64) {
	for i := range w.players {
		if p := &w.players[i]; p.session == session {
			p.playing = false
		}
	}
}

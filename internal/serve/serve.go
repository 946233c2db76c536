// Package serve runs one front: it feeds the core from the sockets and carries its effects out. One goroutine, the
// owner, drives core and desk; sockets hand it events through a bounded queue.
package serve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/admit"
	"tealledge/decide/members"
	"tealledge/decide/overload"
	"tealledge/internal/baseline"
	"tealledge/internal/catalogue"
	"tealledge/internal/config"
	"tealledge/internal/exchange"
	"tealledge/internal/front"
	"tealledge/internal/inbox"
	"tealledge/internal/manifest"
	"tealledge/internal/media"
	"tealledge/internal/players"
	"tealledge/internal/rtsp"
	"tealledge/internal/serverlist"
	"tealledge/internal/work"
	"tealledge/policy"
)

const (
	batchMost  = 256                          // events that the owner takes before it looks at its timers
	deskEvery  = 50 * time.Millisecond        // how often the desk looks at its connections
	closeMost  = time.Second                  // how long a front that leaves waits for its last teardowns
	idleClose  = front.Time(60 * time.Second) // a server connection without sessions is closed after
	mediaBytes = 1 << 20                      // bytes that may wait on one server's connection
)

// Server is one front.
type Server struct {
	cfg        *config.Config
	log        zerolog.Logger
	start      time.Time
	core       *front.Core
	desk       *exchange.Desk
	links      *media.Links
	hub        *players.Hub
	hls        *manifest.Hub // nil: not served
	queue      *inbox.Queue
	view       members.View
	index      indexBox
	cache      serverlist.Cache
	source     serverlist.Source
	https      map[uint32]string // where servers deliver segments
	calls      map[uint64]Caller // by the handle given to the core
	handles    uint64
	byID       map[uint64]Caller // sessions that play or wait, by session id
	later      []front.Event     // that arose while effects were carried out
	keep       *keeper
	work       *work.Scheduler
	titleDir   *catalogue.Dir
	keptTitles uint64       // version
	waiting    atomic.Int64 // events, when the owner looked last
	waitedFor  atomic.Int64 // nanoseconds that the owner's last round took: how long an event may have waited
	doubt      bool         // the last answer of the list was not believed; told once

	leaving  bool
	closing  bool
	gateMu   sync.Mutex
	gate     *overload.Gate // guarded by gateMu
	limited  atomic.Bool    // what the gate said last
	backlog  int
	ctx      context.Context
	cancel   context.CancelFunc
	finished chan struct{}
	group    sync.WaitGroup
}

// indexBox hands the list's index from the owner to the follower.
type indexBox struct {
	mu sync.Mutex
	v  uint64
}

func (b *indexBox) get() uint64 { b.mu.Lock(); defer b.mu.Unlock(); return b.v }
func (b *indexBox) set(v uint64) {
	b.mu.Lock()
	b.v = v
	b.mu.Unlock()
}

// New makes a front and listens; nothing is taken before Run.
func New(cfg *config.Config, log zerolog.Logger) (*Server, error) {
	s := &Server{cfg: cfg, log: log, start: time.Now(), https: map[uint32]string{}, calls: map[uint64]Caller{},
		byID: map[uint64]Caller{}, queue: inbox.New(cfg.Front.Queue), finished: make(chan struct{})}
	seed := uint64(s.start.UnixNano())
	s.gate = overload.New(weights(cfg))
	s.keep = newKeeper(s)
	var module front.Module = policy.New(cfg.Service, seed)
	if cfg.Front.Baseline != "" {
		module = baseline.New(baseline.Kind(cfg.Front.Baseline), cfg.Service, seed)
		log.Warn().Str("baseline", cfg.Front.Baseline).Msg("a baseline decides in the module's place")
	}
	s.core = front.New(front.Config{Settings: cfg.Service, Module: module, Token: newTokens(),
		FirstID:      seed / uint64(time.Millisecond) << 12 & (1<<52 - 1), // above every id of an earlier start
		AnswerMargin: policy.Time(cfg.Front.AnswerMargin), LastLine: policy.Time(cfg.Front.LastLine),
		MovedFor: policy.Time(cfg.Front.MovedFor), MovedMost: 10_000, ResumeFor: policy.Time(cfg.Front.ResumeFor)})
	var aims []front.Time
	for _, k := range cfg.Service.Classes {
		aims = append(aims, k.Aim)
	}
	s.desk = exchange.New(exchange.Config{Front: cfg.Front.Name, Fields: cfg.Service.Fields,
		ProbeWait: policy.Time(cfg.Front.ProbeWait), Stall: policy.Time(cfg.Front.Stall),
		KeepAlive: policy.Time(cfg.Front.KeepAlive), TitleName: s.titleName, Connect: cfg.Service.ConnectWait, IdleClose: idleClose,
		Aims: aims, Draw: rand.Float64})
	s.links = media.New(sink{s}, time.Duration(cfg.Service.ConnectWait), cfg.Front.WriteWait, mediaBytes)
	names := serverlist.Names{Kinds: cfg.Kinds, Zones: cfg.Zones}
	s.cache = serverlist.Cache{Dir: cfg.Front.StateDir, Names: names}
	if cfg.Front.ListFile != "" {
		s.source = &serverlist.File{Path: cfg.Front.ListFile, Names: names}
	} else {
		var err error
		if s.source, err = serverlist.NewConsul(cfg.Front.Consul, cfg.Front.Service, cfg.Front.Name, names); err != nil {
			return nil, err
		}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	err := s.titles()
	if err != nil {
		return nil, err
	}
	if s.hub, err = players.New(cfg, owner{s}); err != nil || cfg.Front.HLSListen == "" {
		return s, err
	}
	s.hls, err = manifest.New(cfg, hlsOwner{s})
	return s, err
}

// HLS is where HLS players connect, "" if they are not served.
func (s *Server) HLS() string {
	if s.hls == nil {
		return ""
	}
	return s.hls.Addr().String()
}

// Addr is where players connect.
func (s *Server) Addr() string { return s.hub.Addr().String() }

func (s *Server) titleName(n uint64) string {
	if n == 0 || n > uint64(len(s.cfg.Titles)) {
		return strconv.FormatUint(n, 10)
	}
	return s.cfg.Titles[n-1].Name
}

// now is the module's clock: wall time at the start and monotonic from there, so that it never steps, and the
// server list's start times compare with it.
func (s *Server) now() front.Time { return s.start.UnixNano() + int64(time.Since(s.start)) }

// Run serves until ctx ends, then leaves: it answers what it holds, takes nothing new and ends in bounded time.
func (s *Server) Run(ctx context.Context) error {
	s.keep.open()
	defer s.keep.close()
	cached, err := s.cache.Load()
	if err != nil {
		s.log.Warn().Err(err).Msg("started without the last list")
	}
	if len(cached) > 0 {
		s.believe(policy.ListCached, cached, 0)
	}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		serverlist.Follow(s.ctx, s.source, s.index.get, func(a serverlist.Answer, err error) {
			s.queue.Put(admit.Advisory, listAnswer{a, err})
		})
	}()
	s.background(s.ctx)
	go s.own()
	served := make(chan error, 2)
	go func() { served <- s.hub.Serve() }()
	if s.hls != nil {
		go func() { served <- s.hls.Serve() }()
	}
	select {
	case <-ctx.Done():
		err = nil
	case err = <-served:
		if err == nil {
			err = errors.New("players: the listener ended")
		}
	}
	s.queue.Force(leave{})
	<-s.finished
	s.cancel()
	end, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.hub.Shutdown(end)
	if s.hls != nil {
		s.hls.Shutdown(end)
	}
	s.links.Close()
	s.queue.Close()
	s.group.Wait()
	return err
}

// Caller is a request that waits for its answer, and then the player that its session plays for.
type Caller interface {
	// Result and Fail answer; the first answer counts.
	Result(v any) bool
	Fail(code int, message string, data any) bool
	Notify(method string, params any)
	// Left tells whether the player is gone; Drop ends a call that nobody waits for.
	Left() bool
	Drop()
	// Held and Ref are the owner's: the sessions that end with the player, and its handle.
	Held() map[uint64]struct{}
	Ref() *uint64
}

// ---- What the sockets bring ----

type (
	asked struct {
		call Caller
		ask  front.Ask
	}
	closed struct {
		call    Caller
		session uint64
	}
	resumed struct {
		call           Caller
		session, token uint64
	}
	ended      struct{ session uint64 } // at the word of a player without a socket
	playerGone struct{ held map[uint64]struct{} }
	connected  struct{ server, conn uint64 }
	dialFailed struct{ server, conn uint64 }
	lost       struct{ server, conn, begun uint64 }
	received   struct {
		server, conn uint64
		list         []*rtsp.Message
	}
	listAnswer struct {
		serverlist.Answer
		err error
	}
	leave   struct{}
	inspect struct{ reply chan Snapshot }
)

// owner is the hub's view of the server.
type owner struct{ s *Server }

func (o owner) Now() front.Time { return o.s.now() }

func (o owner) Open(call *players.Call, ask front.Ask) { o.s.open(call, ask) }

// open takes a request of any kind of player.
func (s *Server) open(call Caller, ask front.Ask) {
	if !s.queue.Put(admit.Ask, asked{call, ask}) {
		// The queue is full of work already taken: turned away before any work is spent, and never begun.
		busy(call, s.comeBack())
	}
}

// busy turns a request away before anything of it was begun.
func busy(call Caller, after front.Time) {
	call.Fail(players.CodeRefused, "refused: busy", players.NoData{RetryAfterMs: after / policy.Millisecond})
}

func (o owner) Resume(call *players.Call, session, token uint64) {
	o.s.queue.Put(admit.News, resumed{call, session, token})
}

func (o owner) Limited() bool { return o.s.limited.Load() }

func (o owner) Admit(class, tenant int) (front.Time, bool) {
	s := o.s
	if s.cfg.Front.NoGate {
		return 0, true
	}
	s.gateMu.Lock()
	ok := s.gate.Admit(s.now(), class*max(len(s.cfg.Tenants), 1)+tenant)
	s.limited.Store(s.gate.Limited())
	s.gateMu.Unlock()
	if ok {
		return 0, true
	}
	return s.comeBack(), false
}

// comeBack is the time told to those turned away before they were taken.
func (s *Server) comeBack() front.Time {
	return admit.ComeBack(s.cfg.Service.MaxRetry, float64(s.now()%1000)/1000)
}

// weights gives the gate's flows: classes by tenants, a class's worth times a tenant's share.
func weights(cfg *config.Config) (list []float64) {
	total := 0.0
	for _, t := range cfg.Service.Tenants {
		total += t.PerSecond
	}
	for _, k := range cfg.Service.Classes {
		if total == 0 {
			for range max(len(cfg.Tenants), 1) {
				list = append(list, k.Worth)
			}
			continue
		}
		for _, t := range cfg.Service.Tenants {
			list = append(list, k.Worth*t.PerSecond/total)
		}
	}
	return list
}

// waited reports to the gate how long a request waited, and tells whether it is turned away for it.
func (s *Server) waited(now front.Time, ask *front.Ask) (stale bool) {
	if s.cfg.Front.NoGate {
		return false
	}
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.gate.Waited(now, now-ask.Read, s.backlog)
	s.limited.Store(s.gate.Limited())
	return overload.Stale(now-ask.Read, s.gate.Limited())
}

func (o owner) Close(call *players.Call, session uint64) {
	o.s.queue.Put(admit.News, closed{call, session})
}
func (o owner) Gone(conn *players.Conn) { o.s.queue.Force(playerGone{conn.Sessions}) }

// sink is the links' view of the server.
type sink struct{ s *Server }

func (k sink) Connected(server uint32, conn uint64) { k.s.queue.Force(connected{uint64(server), conn}) }
func (k sink) DialFailed(server uint32, conn uint64, err error) {
	k.s.log.Debug().Uint32("server", server).Err(err).Msg("dial failed")
	k.s.queue.Force(dialFailed{uint64(server), conn})
}
func (k sink) Received(server uint32, conn uint64, list []*rtsp.Message) {
	k.s.queue.Put(admit.News, received{uint64(server), conn, list})
}
func (k sink) Lost(server uint32, conn uint64, begun uint64) {
	k.s.queue.Force(lost{uint64(server), conn, begun})
}

// ---- The owner ----

func (s *Server) own() {
	defer close(s.finished)
	timer := time.NewTimer(deskEvery)
	defer timer.Stop()
	var batch []any
	deskAt := s.now()
	last := deskAt
	var drainBy, closeBy, readUntil front.Time
	for {
		now := s.now()
		if wait := admit.Standstill(now - last); wait > 0 {
			readUntil = now + wait
			s.log.Warn().Dur("gap", time.Duration(now-last)).Msg("stood still")
		}
		last = now
		batch, s.backlog = s.queue.Take(batchMost, batch)
		s.waiting.Store(int64(s.backlog))
		for _, item := range batch {
			s.handle(item)
		}
		s.waitedFor.Store(s.now() - now)
		now = s.now()
		if now < readUntil {
			time.Sleep(time.Millisecond)
			continue
		}
		s.settle(s.core.Advance(now))
		if at, racing := s.desk.Next(); now >= deskAt || racing && now >= at {
			deskAt = now + front.Time(deskEvery)
			s.desk.Tick(now)
			s.keep.tick(now)
			s.settle(nil)
		}
		if s.leaving && !s.closing {
			if drainBy == 0 {
				drainBy = now + front.Time(s.cfg.Front.DrainLimit)
			}
			if s.core.Open() == 0 || now >= drainBy {
				s.closing = true
				closeBy = now + front.Time(closeMost)
				s.settle(s.core.Step(now, front.CloseAll{}))
			}
		}
		if s.closing {
			if _, calls := s.desk.Counts(); calls == 0 || now >= closeBy {
				st := s.core.Stats()
				s.log.Info().Uint64("taken", st.Taken).Uint64("plays", st.Plays).Uint64("refused", st.Refused).
					Uint64("failed", st.Failed).Uint64("faults", st.Faults).Uint64("attempts", st.Attempts).Int("dials", s.links.Dials()).Msg("left service")
				return
			}
		}
		if len(batch) == batchMost {
			continue
		}
		wait := time.Duration(deskAt - now)
		if at, ok := s.core.Next(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if at, ok := s.desk.Next(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-s.queue.Wake():
		case <-timer.C:
		}
	}
}

func (s *Server) handle(item any) {
	now := s.now()
	switch e := item.(type) {
	case asked:
		s.take(now, e)
	case resumed:
		s.handles++
		s.calls[s.handles] = e.call
		s.step(now, front.Resume{Session: e.session, Token: e.token, Player: s.handles})
	case closed:
		if _, mine := e.call.Held()[e.session]; !mine {
			e.call.Fail(players.CodeUnknownSession, "no such session here", nil)
			return
		}
		s.step(now, front.Leave{Session: e.session})
		s.forget(e.session)
		e.call.Result(map[string]string{"status": "closed", "session": players.SessionName(s.cfg.Front.Name, e.session)})
	case playerGone:
		for id := range e.held {
			s.step(now, front.Detach{Session: id})
			if !s.core.Holds(id) {
				s.forget(id)
			}
		}
	case ended:
		s.step(now, front.Leave{Session: e.session})
		s.forget(e.session)
	case connected:
		s.desk.Connected(now, uint32(e.server), e.conn)
	case dialFailed:
		s.desk.DialFailed(now, uint32(e.server), e.conn)
	case received:
		for _, m := range e.list {
			s.desk.Received(now, uint32(e.server), e.conn, m)
		}
	case lost:
		s.desk.Lost(now, uint32(e.server), e.conn, e.begun)
	case stored:
		s.keep.stored(now, e)
	case listAnswer:
		s.listed(now, e)
	case leave:
		s.leaving = true
	case inspect:
		e.reply <- s.snapshot()
	}
	s.settle(nil)
}

// take takes a request. Its session id is known once the core has taken it.
func (s *Server) take(now front.Time, e asked) {
	if e.call.Left() { // nobody is there to be answered, and nothing was begun
		e.call.Drop()
		return
	}
	if s.waited(now, &e.ask) {
		busy(e.call, s.comeBack())
		return
	}
	s.handles++
	e.ask.Player, e.ask.Draining, *e.call.Ref() = s.handles, s.leaving, s.handles
	s.calls[s.handles] = e.call
	before := s.core.Stats().Taken
	effects := s.core.Step(now, e.ask)
	if s.core.Stats().Taken == before+1 {
		id := s.core.LastID()
		s.byID[id] = e.call
		s.keep.took(id, e.ask)
		e.call.Held()[id] = struct{}{}
		if e.call.Left() { // it left just now: nobody would tell so any more
			s.settle(effects)
			s.step(now, front.Leave{Session: id})
			s.forget(id)
			return
		}
	}
	s.settle(effects)
}

func (s *Server) step(now front.Time, e front.Event) { s.settle(s.core.Step(now, e)) }

// settle carries out effects, and what follows from them, until all is quiet.
func (s *Server) settle(effects []front.Effect) {
	for _, e := range effects {
		s.effect(e)
	}
	for {
		acts, news := s.desk.Take()
		if len(s.later) > 0 {
			news, s.later = append(news, s.later...), nil
		}
		if len(acts) == 0 && len(news) == 0 {
			return
		}
		for _, a := range acts {
			s.links.Do(a)
		}
		for _, n := range news {
			now := s.now()
			if r, ok := n.(exchange.Redirected); ok {
				s.redirected(now, r.Server)
				continue
			}
			for _, e := range s.core.Step(now, n) {
				s.effect(e)
			}
		}
	}
}

func (s *Server) effect(effect front.Effect) {
	name := func(id uint64) string { return players.SessionName(s.cfg.Front.Name, id) }
	if s.keep.effect(effect) {
		return
	}
	switch e := effect.(type) {
	case front.Plays:
		if call := s.answering(e.Player); call != nil {
			call.Result(s.plays(name(e.Session), e.Server, e.Rung, e.Token))
		}
	case front.Resumed:
		if call := s.answering(e.Player); call != nil {
			if old := s.byID[e.Session]; old != nil {
				delete(old.Held(), e.Session)
			}
			s.byID[e.Session] = call
			call.Held()[e.Session] = struct{}{}
			call.Result(s.plays(name(e.Session), e.Server, e.Rung, 0))
			if call.Left() {
				s.later = append(s.later, front.Detach{Session: e.Session})
			}
		}
	case front.Unknown:
		if call := s.answering(e.Player); call != nil {
			call.Fail(players.CodeUnknownSession, "no such session here: open it anew", nil)
		}
	case front.Refused:
		s.log.Debug().Uint64("session", e.Session).Msg("refused")
		if call := s.answering(e.Player); call != nil {
			call.Fail(players.CodeRefused, "refused", players.NoData{Session: name(e.Session), RetryAfterMs: e.After / policy.Millisecond})
		}
		s.forget(e.Session)
	case front.Failed:
		s.log.Debug().Uint64("session", e.Session).Msg("failed")
		if call := s.answering(e.Player); call != nil {
			call.Fail(players.CodeFailed, "failed", players.NoData{Session: name(e.Session)})
		}
		s.forget(e.Session)
	case front.RungTold:
		if call := s.byID[e.Session]; call != nil {
			call.Notify("session.rung", map[string]any{"session": name(e.Session), "rung": e.Rung, "rate": s.cfg.Service.RungKB[e.Rung]})
		}
	case front.Moved:
		if call := s.byID[e.Session]; call != nil {
			call.Notify("session.moved", map[string]any{"session": name(e.Session), "token": strconv.FormatUint(e.Token, 16)})
		}
		s.forget(e.Session)
	case front.Over:
		if call := s.byID[e.Session]; call != nil {
			call.Notify("session.ended", map[string]any{"session": name(e.Session), "reason": e.Why})
		}
		s.forget(e.Session)
	case front.Follow: // the follower asks all the time
	case front.Log:
		s.log.Info().Str("from", "module").Msg(e.Text)
	case front.Fault:
		s.log.Error().Msg("fault: " + e.Text)
	default:
		s.desk.Do(s.now(), effect)
	}
}

func (s *Server) answering(handle uint64) Caller {
	call := s.calls[handle]
	delete(s.calls, handle)
	return call
}

func (s *Server) plays(session string, server uint32, rung int, token uint64) players.PlaysResult {
	addr := s.desk.Address(server)
	r := players.PlaysResult{Status: "plays", Session: session, Server: addr, URI: "rtsp://" + addr + "/" + session, Rung: rung,
		Rate: s.cfg.Service.RungKB[rung], HTTP: s.https[server]}
	if token != 0 {
		r.Token = strconv.FormatUint(token, 16)
	}
	return r
}

func (s *Server) forget(id uint64) {
	s.keep.forget(id)
	if call := s.byID[id]; call != nil {
		call.Drop() // if its answer was never given: its player is gone
		delete(s.calls, *call.Ref())
		delete(call.Held(), id)
		delete(s.byID, id)
	}
}

// ---- The server list ----

func (s *Server) listed(now front.Time, a listAnswer) {
	if a.err != nil {
		s.log.Warn().Err(a.err).Msg("server list not had; the old one stands")
		return
	}
	for _, text := range a.Skipped {
		s.log.Warn().Str("entry", text).Msg("server list: entry skipped")
	}
	entries := make([]policy.Entry, 0, len(a.Entries))
	for _, e := range a.Entries {
		entries = append(entries, e.Entry)
	}
	list, verdict := s.view.Take(now, members.Answer{Index: a.Index, Entries: entries})
	s.index.set(s.view.Index())
	if s.view.Doubted() { // asked again from the start, so that the service answers at once
		s.index.set(0)
	}
	if verdict != members.Believed {
		if verdict != members.Same && !s.doubt {
			s.doubt = true
			s.log.Warn().Uint64("index", a.Index).Int("entries", len(entries)).Msg("server list not believed; the old one stands")
		}
		return
	}
	s.doubt = false
	byID := make(map[uint32]serverlist.Entry, len(a.Entries))
	for _, e := range a.Entries {
		byID[e.Server] = e
	}
	out := make([]serverlist.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, serverlist.Entry{Entry: e, Addr: byID[e.Server].Addr, Paths: byID[e.Server].Paths,
			HTTP: byID[e.Server].HTTP})
	}
	s.believe(policy.ListFull, out, now)
	s.group.Add(1)
	go func() { // a slow disk holds nobody up
		defer s.group.Done()
		if err := s.cache.Save(out); err != nil {
			s.log.Warn().Err(err).Msg("last list not kept")
		}
	}()
}

func (s *Server) believe(kind policy.ListKind, list []serverlist.Entry, now front.Time) {
	now = max(now, s.now())
	var servers []exchange.Server
	var entries []policy.Entry
	ready := 0
	s.https = make(map[uint32]string, len(list))
	for _, e := range list {
		s.https[e.Server] = e.HTTP
		servers = append(servers, exchange.Server{ID: e.Server, Addr: e.Addr, Paths: e.Paths, Started: e.Started})
		entries = append(entries, e.Entry)
		if e.Health == policy.Ready {
			ready++
		}
	}
	s.log.Info().Int("servers", len(list)).Int("ready", ready).Bool("cached", kind == policy.ListCached).Msg("server list")
	// The core first: what was not sent to a server that drains is taken back before its connection is touched.
	s.step(now, front.Listed{List: policy.List{Kind: kind, Entries: entries}})
	s.desk.Listed(now, servers)
	s.settle(nil)
	s.keep.takeUp(now)
}

func (s *Server) redirected(now front.Time, server uint32) {
	e, news := s.view.Redirected(server, now)
	if !news {
		return
	}
	s.log.Info().Uint32("server", server).Msg("server says that it drains")
	for _, effect := range s.core.Step(now, front.Listed{List: policy.List{Kind: policy.ListDelta, Entries: []policy.Entry{e}}}) {
		s.effect(effect)
	}
}

// ---- A look inside ----

// Snapshot is a look inside a front, for tests and the metrics page.
type Snapshot struct {
	front.Stats
	Open, Held, Attempts, Calls, QueuePeak int
	Ready                                  int // servers that are listed ready
	Handles, Kept                          int // calls that wait for an answer, sessions with a player
	TurnedAway                             uint64
}

func (s *Server) snapshot() Snapshot {
	held, calls := s.desk.Counts()
	_, peak, turned := s.queue.Stats()
	return Snapshot{Stats: s.core.Stats(), Open: s.core.Open(), Held: s.core.Held(), Attempts: held, Calls: calls,
		QueuePeak: peak, Ready: s.core.Ready(), TurnedAway: turned, Handles: len(s.calls), Kept: len(s.byID)}
}

// Inspect gives a snapshot; it fails if the front has left.
func (s *Server) Inspect(ctx context.Context) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	s.queue.Force(inspect{reply})
	select {
	case snap := <-reply:
		return snap, nil
	case <-s.finished:
		return Snapshot{}, fmt.Errorf("the front has left service")
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

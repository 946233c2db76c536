// Package serve runs one front: it feeds the core from the sockets and carries its effects out. One goroutine, the
// owner, drives core and desk; sockets hand it events through a bounded queue.
package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/admission"
	"tealledge/decide/overload"
	"tealledge/decide/serverview"
	"tealledge/internal/background"
	"tealledge/internal/baseline"
	"tealledge/internal/catalogue"
	"tealledge/internal/config"
	"tealledge/internal/front"
	"tealledge/internal/inbox"
	"tealledge/internal/manifest"
	"tealledge/internal/media"
	"tealledge/internal/players"
	"tealledge/internal/rtspclient"
	"tealledge/internal/serverlist"
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
	desk       *rtspclient.Protocol
	links      *media.Links
	hub        *players.Hub
	hls        *manifest.Hub // nil: not served
	queue      *inbox.Queue
	view       serverview.View
	index      indexBox
	cache      serverlist.Cache
	source     serverlist.Source
	https      map[uint32]string // where servers deliver segments
	calls      map[uint64]Caller // by the handle given to the core
	handles    uint64
	byID       map[uint64]Caller // sessions that play or wait, by session id
	later      []front.Event     // that arose while effects were carried out
	keep       *keeper
	work       *background.Scheduler
	titleDir   *catalogue.Dir
	keptTitles uint64       // version
	waiting    atomic.Int64 // events, when the owner looked last
	waitedFor  atomic.Int64 // nanoseconds that the owner's last round took: how long an event may have waited
	fleet      fleet
	doubt      bool // the last answer of the list was not believed; told once

	leaving  bool
	closing  bool
	gateMu   sync.Mutex
	gate     *overload.RateLimiter // guarded by gateMu
	limited  atomic.Bool           // what the gate said last
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
	s.core = front.New(front.Config{Settings: cfg.Service, Module: module, NewToken: newTokens(),
		FirstID:      seed / uint64(time.Millisecond) << 12 & (1<<52 - 1), // above every id of an earlier start
		AnswerMargin: policy.Time(cfg.Front.AnswerMargin), FailsafeMargin: policy.Time(cfg.Front.LastLine),
		MoveTokenTTL: policy.Time(cfg.Front.MovedFor), MaxMoveTokens: 10_000, ResumeWindow: policy.Time(cfg.Front.ResumeFor)})
	var aims []front.Time
	for _, k := range cfg.Service.Classes {
		aims = append(aims, k.SetupTarget)
	}
	s.desk = rtspclient.New(rtspclient.Config{Front: cfg.Front.Name, Fields: cfg.Service.Fields,
		ProbeTimeout: policy.Time(cfg.Front.ProbeWait), StallTimeout: policy.Time(cfg.Front.Stall),
		KeepAliveInterval: policy.Time(cfg.Front.KeepAlive), TitleName: s.titleName, ConnectTimeout: cfg.Service.ConnectTimeout, IdleTimeout: idleClose,
		Aims: aims, Random: rand.Float64})
	s.links = media.New(sink{s}, time.Duration(cfg.Service.ConnectTimeout), cfg.Front.WriteWait, mediaBytes)
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
	if s.hub, err = players.New(cfg, owner{s}); err != nil {
		return s, err
	}
	if cfg.Front.HLSListen != "" {
		if s.hls, err = manifest.New(cfg, hlsOwner{s}); err != nil {
			return s, err
		}
	}
	return s, s.startFleet()
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
			s.queue.Put(admission.Advisory, listAnswer{a, err})
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
	if s.fleet.node != nil {
		s.fleet.node.Close()
	}
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

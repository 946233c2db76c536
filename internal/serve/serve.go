// Package serve runs one front: it passes events from the sockets to the core and carries out the core's effects. One
// goroutine, the owner, calls the core and the RTSP protocol; the sockets' goroutines send it events through a bounded
// queue.
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
	maxBatch           = 256                          // events that the owner handles before it checks its timers
	tickInterval       = 50 * time.Millisecond        // interval of the RTSP protocol's checks of its connections
	closeTimeout       = time.Second                  // limit for the last teardowns, and for closing the store
	idleTimeout        = front.Time(60 * time.Second) // after which a server connection without sessions is closed
	maxConnQueuedBytes = 1 << 20                      // limit of queued bytes per server connection
)

// Server is one front.
type Server struct {
	cfg             *config.Config
	log             zerolog.Logger
	startedAt       time.Time
	core            *front.Core
	protocol        *rtspclient.Protocol
	conns           *media.Conns
	hub             *players.Hub
	hls             *manifest.Hub // nil: HLS is not served
	queue           *inbox.Queue
	serverView      serverview.View
	listIndex       sharedIndex
	listCache       serverlist.Cache
	listSource      serverlist.Source
	httpAddrs       map[uint32]string // HOST:PORT of the servers' segments, by server
	callsByHandle   map[uint64]Caller // unanswered calls, by the handle given to the core
	lastHandle      uint64
	callsBySession  map[uint64]Caller // calls of sessions that play or wait, by session id
	deferredEvents  []front.Event     // events that arose while effects were carried out
	store           *sessionStore
	scheduler       *background.Scheduler
	catalogueDir    *catalogue.Dir
	savedVersion    uint64       // version of the saved catalogue
	queueLength     atomic.Int64 // queued events after the owner's last batch
	lastRoundNanos  atomic.Int64 // duration of the owner's last round, as a measure of how long an event waits
	fleet           fleet
	rejectionLogged bool // a rejected list was logged, and none has been accepted since

	leaving       bool
	closing       bool
	rateLimiterMu sync.Mutex
	rateLimiter   *overload.RateLimiter // guarded by rateLimiterMu
	limited       atomic.Bool           // most recent RateLimiter.Limited
	backlog       int
	ctx           context.Context
	cancel        context.CancelFunc
	finished      chan struct{}
	group         sync.WaitGroup
}

// sharedIndex passes the list's index from the owner to the goroutine that polls the list.
type sharedIndex struct {
	mu    sync.Mutex
	value uint64
}

func (b *sharedIndex) get() uint64 { b.mu.Lock(); defer b.mu.Unlock(); return b.value }
func (b *sharedIndex) set(v uint64) {
	b.mu.Lock()
	b.value = v
	b.mu.Unlock()
}

// New returns a front that listens; it accepts no connections before Run.
func New(cfg *config.Config, log zerolog.Logger) (*Server, error) {
	s := &Server{cfg: cfg, log: log, startedAt: time.Now(), httpAddrs: map[uint32]string{},
		callsByHandle: map[uint64]Caller{}, callsBySession: map[uint64]Caller{},
		queue: inbox.New(cfg.Front.MaxQueuedEvents), finished: make(chan struct{})}
	seed := uint64(s.startedAt.UnixNano())
	s.rateLimiter = overload.New(flowWeights(cfg))
	s.store = newSessionStore(s)
	var module front.Module = policy.New(cfg.Service, seed)
	if cfg.Front.Baseline != "" {
		module = baseline.New(baseline.Kind(cfg.Front.Baseline), cfg.Service, seed)
		log.Warn().Str("baseline", cfg.Front.Baseline).Msg("a baseline policy replaces the module")
	}
	s.core = front.New(front.Config{Settings: cfg.Service, Module: module, NewToken: newTokenSource(),
		FirstID:      seed / uint64(time.Millisecond) << 12 & (1<<52 - 1), // above all ids used before a restart
		AnswerMargin: policy.Time(cfg.Front.AnswerMargin), FailsafeMargin: policy.Time(cfg.Front.FailsafeMargin),
		MoveTokenTTL: policy.Time(cfg.Front.MoveTokenTTL), MaxMoveTokens: 10_000,
		ResumeWindow: policy.Time(cfg.Front.ResumeWindow)})
	var setupTargets []front.Time
	for _, k := range cfg.Service.Classes {
		setupTargets = append(setupTargets, k.SetupTarget)
	}
	s.protocol = rtspclient.New(rtspclient.Config{Front: cfg.Front.Name, Fields: cfg.Service.Fields,
		ProbeTimeout: policy.Time(cfg.Front.ProbeTimeout), StallTimeout: policy.Time(cfg.Front.StallTimeout),
		KeepAliveInterval: policy.Time(cfg.Front.KeepAliveInterval), TitleName: s.titleName,
		ConnectTimeout: cfg.Service.ConnectTimeout, IdleTimeout: idleTimeout,
		SetupTargets: setupTargets, Random: rand.Float64})
	s.conns = media.New(sink{s}, time.Duration(cfg.Service.ConnectTimeout), cfg.Front.WriteTimeout, maxConnQueuedBytes)
	names := serverlist.Names{Kinds: cfg.Kinds, Zones: cfg.Zones}
	s.listCache = serverlist.Cache{Dir: cfg.Front.StateDir, Names: names}
	if cfg.Front.ListFile != "" {
		s.listSource = &serverlist.File{Path: cfg.Front.ListFile, Names: names}
	} else {
		var err error
		if s.listSource, err = serverlist.NewConsul(cfg.Front.ConsulAddress, cfg.Front.ConsulService, cfg.Front.Name,
			names); err != nil {
			return nil, err
		}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	err := s.loadCatalogue()
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

// HLS returns the address for HLS players, "" if they are not served.
func (s *Server) HLS() string {
	if s.hls == nil {
		return ""
	}
	return s.hls.Addr().String()
}

// Addr returns the address for players.
func (s *Server) Addr() string { return s.hub.Addr().String() }

// titleName returns the name of a title's number in RTSP requests.
func (s *Server) titleName(n uint64) string {
	if n == 0 || n > uint64(len(s.cfg.Titles)) {
		return strconv.FormatUint(n, 10)
	}
	return s.cfg.Titles[n-1].Name
}

// now returns the module's time: the wall time at the start plus monotonic time since then. So it never jumps, and the
// start times in the server list can be compared with it.
func (s *Server) now() front.Time { return s.startedAt.UnixNano() + int64(time.Since(s.startedAt)) }

// Run serves until ctx is cancelled, then leaves service: it answers open requests, accepts no new ones and returns in
// bounded time.
func (s *Server) Run(ctx context.Context) error {
	s.store.open()
	defer s.store.close()
	cached, err := s.listCache.Load()
	if err != nil {
		s.log.Warn().Err(err).Msg("loading the saved server list failed; starting without it")
	}
	if len(cached) > 0 {
		s.applyList(policy.ListCached, cached, 0)
	}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		serverlist.Follow(s.ctx, s.listSource, s.listIndex.get, func(response serverlist.Response, err error) {
			s.queue.Put(admission.Advisory, listResponse{response, err})
		})
	}()
	s.startBackground(s.ctx)
	go s.runOwner()
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
			err = errors.New("players: listener closed unexpectedly")
		}
	}
	s.queue.Force(shutdown{})
	<-s.finished
	if s.fleet.node != nil {
		s.fleet.node.Close()
	}
	s.cancel()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.hub.Shutdown(shutdownCtx)
	if s.hls != nil {
		s.hls.Shutdown(shutdownCtx)
	}
	s.conns.Close()
	s.queue.Close()
	s.group.Wait()
	return err
}

// Caller is a request that waits for its answer; after that it represents the player of the session.
type Caller interface {
	// Result and Fail answer the request; only the first answer is sent, and any other call returns false.
	Result(v any) bool
	Fail(code int, message string, data any) bool
	Notify(method string, params any)
	// Disconnected reports whether the player has disconnected; Drop ends the request without an answer.
	Disconnected() bool
	Drop()
	// Sessions returns the sessions that end with the player, and Handle a pointer to the handle under which the core
	// knows the request. Both are used by the owner only.
	Sessions() map[uint64]struct{}
	Handle() *uint64
}

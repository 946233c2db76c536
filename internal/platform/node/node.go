package node

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/shutdown"
	"tealledge/internal/front"
	"tealledge/internal/inbox"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/watch"
	"tealledge/internal/transport"
	"tealledge/policy"
)

// Limits and durations of a front.
const (
	maxBatch            = 256
	tickInterval        = 25 * time.Millisecond
	maxQueue            = 8192
	maxOpenPerConn      = 256                     // unanswered requests on one viewer's connection
	defaultMemoryMB     = 2048                    // if no limit is configured
	memoryParts         = 16                      // the memory is divided by it for each kind of what is held for clients
	sentIDsPerMB        = 256                     // ids of set-ups remembered for each MB of memory
	sessionsPerMB       = 128                     // sessions held for each MB of memory, past which none is restored
	silentTimeout       = 2 * policy.Second       // for a connection that has sent nothing
	partialLineTimeout  = 2 * policy.Second       // for an incomplete line
	idleTimeout         = 6 * policy.Second       // for a connection without sessions: viewers close theirs after 4 s
	answerMargin        = 10 * policy.Millisecond // the module gets deadlines this much earlier
	unansweredMargin    = 2 * policy.Millisecond  // the core fails an unanswered request this much before its deadline
	movedTTL            = 10 * policy.Second      // how long a moved viewer is recognized
	reservedDescriptors = 48                      // descriptors used neither for viewers nor for servers
	defaultMaxConns     = 4096                    // connections of each kind if no limit is configured
	minServers          = 8                       // connections are reserved for at least this many servers
	statsInterval       = 10 * policy.Second
	maxServerQueueBytes = 256 << 10 // unwritten bytes on one connection to a server
	// If the kernel's buffer is full and a server reads nothing for this long, its connection is closed. The owner
	// goroutine writes to servers itself: all others wait meanwhile, and their answers have 50 ms of slack.
	serverWriteTimeout = 20 * time.Millisecond
)

// Node is one front of the platform.
type Node struct {
	cfg            *Config
	configPath     string
	log            zerolog.Logger
	startedAt      time.Time
	core           *front.Core
	servers        *servers.Protocol
	viewers        *viewers.Protocol
	follower       *watch.Follower
	serverConns    *transport.Conns
	journalConns   *transport.Conns
	clients        *clients
	queue          *inbox.Queue
	serverIDs      serverIDs
	serverByConn   map[uint64]uint32 // server of each connection to servers
	shutdownAt     front.Time        // when SIGTERM was received; 0: not received
	shutdownPlan   shutdown.Plan     // valid if shutdownAt is set
	closing        bool              // the listener is closed, and viewers' connections are being closed
	clientActiveAt front.Time        // when a viewer last connected or sent something
	done           chan struct{}

	reloading, reloadAgain bool // a configuration is being read; it must be read once more
	shutdownTraceLines     int  // lines that trace has logged during the shutdown

	closeLog     zerolog.Logger // of closed connections: bounded lines a second
	writerCloses uint64         // viewers' connections that their writers closed
}

// New creates a front from its configuration and listens. Viewers are served once Run is called.
func New(cfg *Config, path string, log zerolog.Logger) (*Node, error) {
	n := &Node{cfg: cfg, configPath: path, log: log, startedAt: time.Now(), queue: inbox.New(maxQueue),
		done: make(chan struct{}), serverByConn: map[uint64]uint32{}}
	n.closeLog = log.Sample(&zerolog.BurstSampler{Burst: maxCloseLines, Period: time.Second})
	n.serverIDs = newServerIDs(cfg.Names.Zones, cfg.Names.Kinds)
	for _, text := range cfg.Invalid {
		log.Warn().Str("from", "configuration").Msg(text)
	}
	n.core = front.New(front.Config{Settings: cfg.Settings, Module: policy.New(cfg.Settings, cfg.Seed),
		TrustViewerIDs: true, AnswerMargin: answerMargin, FailsafeMargin: unansweredMargin,
		MoveTokenTTL: movedTTL, MaxMoveTokens: 10_000})
	connectTimeout := max(cfg.Settings.ConnectTimeout, 50*policy.Millisecond)
	n.servers = servers.New(servers.Config{Classes: cfg.Names.Classes, Fields: cfg.Names.Fields,
		ConnectTimeout: connectTimeout, ProbeTimeout: connectTimeout, MaxSentIDs: cfg.memoryMB() * sentIDsPerMB,
		ClientWaiting: n.clientWaiting,
		ConnEnded:     func(conn uint64) bool { return n.serverConns.IsClosed(conn) }})
	n.viewers = viewers.New(viewers.Config{Settings: cfg.Settings, Classes: cfg.Names.Classes,
		ServerID: n.serverIDs.lookup, MaxOpenRequests: maxOpenPerConn, WasSent: n.servers.WasSent,
		MaxOpenBytes: cfg.memoryPart(), MaxPartialBytes: cfg.memoryPart(),
		MaxSessions: cfg.memoryMB() * sessionsPerMB, SilentTimeout: silentTimeout,
		PartialLineTimeout: partialLineTimeout, IdleTimeout: idleTimeout,
		NoPendingInput: func(conn uint64) bool { return n.clients.inputDrained(conn) },
		PendingBytes:   func(conn uint64) int { return n.clients.pendingBytes(conn) },
		Backlogged:     func(conn uint64) bool { return n.clients.backlogged(conn) },
		OutputArrived:  func(conn uint64) bool { return n.clients.outputArrived(conn) }})
	n.follower = watch.New(cfg.Journal, cfg.JournalPos, rand.Float64)
	n.serverConns, n.journalConns = transport.NewConns(maxServerQueueBytes, serverWriteTimeout),
		transport.NewConns(maxServerQueueBytes, serverWriteTimeout)
	n.serverConns.LimitUnprocessed(maxUnprocessedBytes)
	n.journalConns.LimitUnprocessed(maxUnprocessedBytes)
	var err error
	n.clients, err = listen(cfg.Listen, cfg.memoryPart(), eventQueue{n})
	if err != nil {
		return nil, fmt.Errorf("listen for viewers: %w", err)
	}
	n.divideDescriptors()
	for _, e := range cfg.KnownEvents {
		n.applyListEvent(e)
	}
	return n, nil
}

// divideDescriptors divides the descriptors between viewers and servers. Each server gets two, for a connection and
// its replacement, as long as viewers keep the third of all descriptors that the protocol gives them. It is called
// again when the list changes.
func (n *Node) divideDescriptors() {
	viewerConns, serverConns := defaultMaxConns, defaultMaxConns
	// With a small limit the whole reserve would leave none for servers.
	reserved := min(reservedDescriptors, n.cfg.Sockets/4)
	if available := n.cfg.Sockets - reserved; n.cfg.Sockets > 0 {
		viewerConns = max(available-2*max(n.serverIDs.len(), minServers), n.cfg.Sockets/3, 1)
		serverConns = max(available-viewerConns, 1)
	}
	n.viewers.SetMaxConns(viewerConns)
	n.servers.SetMaxConns(serverConns)
	if n.cfg.Sockets > 0 { // a burst may exceed the owner's limit by part of the reserve, but not this limit
		n.clients.maxConns.Store(int64(viewerConns + reserved/2))
	}
}

// clientWaiting reports whether the client of a request is still waiting. It is called just before a set-up is sent.
func (n *Node) clientWaiting(session uint64) bool {
	conn, ok := n.viewers.RequestConn(session)
	return ok && n.clients.clientWaiting(conn, session)
}

// now returns the module's time: Unix time at the start, monotonic from there.
func (n *Node) now() front.Time { return n.startedAt.UnixNano() + int64(time.Since(n.startedAt)) }

// Run serves until ctx ends or, after Shutdown, until the front has ended.
func (n *Node) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- n.clients.serve() }()
	go n.runOwner(ctx)
	<-n.done
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.queue.Close()
	n.clients.close(end)
	n.serverConns.Close()
	n.journalConns.Close()
	return <-served
}

// sortedNames returns the keys in order.
func sortedNames(m map[string]uint32) []string { return slices.Sorted(maps.Keys(m)) }

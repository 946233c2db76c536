package node

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"tealledge/internal/front"
	"tealledge/internal/inbox"
	"tealledge/internal/pipe"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/watch"
	"tealledge/policy"
)

// Spans and sizes of the shell.
const (
	batchMost    = 256
	tickEvery    = 25 * time.Millisecond
	queueMost    = 8192
	openMost     = 256                     // requests without their answer on one viewer's connection
	silentMost   = 2 * policy.Second       // a connection that never said anything
	halfMost     = 2 * policy.Second       // a line that stays half
	idleMost     = 6 * policy.Second       // a connection without sessions: viewers close theirs after 4 s
	answerMargin = 10 * policy.Millisecond // the module is told deadlines this much earlier
	lastLine     = 2 * policy.Millisecond
	movedFor     = 10 * policy.Second
	reserve      = 48   // descriptors that are neither viewers' nor servers'
	connsMost    = 4096 // connections of each kind where no limit is stated
	hostsLeast   = 8    // servers that room is kept for
	statsEvery   = 10 * policy.Second
	leaveAfter   = 1500 * policy.Millisecond // requests come for so long after SIGTERM, with room
	leaveQuiet   = 300 * policy.Millisecond  // and viewers said nothing for so long
	leaveMost    = 60 * policy.Second
	linkBytes    = 256 << 10 // that may wait on one connection to a server
	// A server that takes nothing for so long, behind what the system holds for it, loses its connection. The owner writes to
	// servers itself: all others wait meanwhile, and their answers have 50 ms of slack.
	linkWrite = 20 * time.Millisecond
)

// Node is one front.
type Node struct {
	cfg     *Config
	path    string
	log     zerolog.Logger
	start   time.Time
	core    *front.Core
	servers *servers.Desk
	viewers *viewers.Desk
	watch   *watch.Watch
	links   *pipe.Links // to servers
	feed    *pipe.Links // to the journal service
	clients *clients
	queue   *inbox.Queue
	hosts   hosts
	owners  map[uint64]uint32 // of connections to servers, by connection
	leaving front.Time        // SIGTERM came then; 0: it did not
	saidAt  front.Time        // viewers were last heard, or came
	done    chan struct{}

	reading, readAgain bool // a configuration is being read; it is to be read once more
}

// New makes a front from its configuration and listens; viewers are served once Run is called.
func New(cfg *Config, path string, log zerolog.Logger) (*Node, error) {
	n := &Node{cfg: cfg, path: path, log: log, start: time.Now(), queue: inbox.New(queueMost), done: make(chan struct{}),
		owners: map[uint64]uint32{}}
	n.hosts = newHosts(cfg.Names.Zones, cfg.Names.Kinds)
	for _, text := range cfg.Bad {
		log.Warn().Str("from", "configuration").Msg(text)
	}
	n.core = front.New(front.Config{Settings: cfg.Settings, Module: policy.New(cfg.Settings, cfg.Seed), KnownViewers: true,
		AnswerMargin: answerMargin, LastLine: lastLine, MovedFor: movedFor, MovedMost: 10_000})
	wait := max(cfg.Settings.ConnectWait, 50*policy.Millisecond)
	n.servers = servers.New(servers.Config{Classes: cfg.Names.Classes, Fields: cfg.Names.Fields, Connect: wait, ProbeWait: wait,
		Waits: n.waits, Ended: func(conn uint64) bool { return n.links.Ended(conn) }})
	n.viewers = viewers.New(viewers.Config{Settings: cfg.Settings, Classes: cfg.Names.Classes, Host: n.hosts.number, OpenMost: openMost,
		Silent: silentMost, Half: halfMost, Idle: idleMost, Quiet: func(conn uint64) bool { return n.clients.quiet(conn) }})
	n.watch = watch.New(cfg.Journal, cfg.Pos, rand.Float64)
	n.links, n.feed = pipe.NewLinks(linkBytes, linkWrite), pipe.NewLinks(linkBytes, linkWrite)
	var err error
	n.clients, err = listen(cfg.Listen, clientSink{n})
	if err != nil {
		return nil, fmt.Errorf("viewers: %w", err)
	}
	n.share()
	for _, e := range cfg.Known {
		n.listed(e)
	}
	return n, nil
}

// share divides the descriptors: servers get two each, one and another that replaces it, as far as viewers keep the third that
// the protocol gives them. It is done again as the list grows.
func (n *Node) share() {
	conns, links := connsMost, connsMost
	kept := min(reserve, n.cfg.Sockets/4) // of a small limit the whole reserve would leave servers nothing
	if free := n.cfg.Sockets - kept; n.cfg.Sockets > 0 {
		conns = max(free-2*max(n.hosts.len(), hostsLeast), n.cfg.Sockets/3, 1)
		links = max(free-conns, 1)
	}
	n.viewers.Limit(conns)
	n.servers.Limit(links)
	if n.cfg.Sockets > 0 { // a burst may pass the owner's limit, and only this one, as far as the reserve allows
		n.clients.most.Store(int64(conns + kept/2))
	}
}

// waits tells whether a request's client is there: asked where a set-up's bytes go out.
func (n *Node) waits(session uint64) bool {
	conn, ok := n.viewers.Conn(session)
	return ok && n.clients.waits(conn, session)
}

// now is the module's clock: Unix time at the start, monotonic from there.
func (n *Node) now() front.Time { return n.start.UnixNano() + int64(time.Since(n.start)) }

// Run serves until ctx ends or, after Leave, until nothing can be owed any more.
func (n *Node) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- n.clients.loop.Serve(n.clients.ln) }()
	go n.own(ctx)
	<-n.done
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.queue.Close()
	n.clients.close(end)
	n.links.Close()
	n.feed.Close()
	return <-served
}

// Leave has the front run on until nothing can be owed.
func (n *Node) Leave() { n.queue.Force(leave{}) }

func sortedNames(m map[string]uint32) []string { return slices.Sorted(maps.Keys(m)) }

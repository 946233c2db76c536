package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/admit"
	"tealledge/internal/front"
	"tealledge/internal/inbox"
	"tealledge/internal/pipe"
	"tealledge/internal/platform/journal"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
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
	follow  *journal.Follower
	links   *pipe.Links // to servers
	feed    *pipe.Links // to the journal service
	clients *clients
	queue   *inbox.Queue
	hosts   hosts
	owners  map[uint64]uint32 // of connections to servers, by connection
	leaving front.Time        // SIGTERM came then; 0: it did not
	saidAt  front.Time        // viewers were last heard, or came
	done    chan struct{}
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
	n.servers = servers.New(servers.Config{Classes: cfg.Names.Classes, Fields: cfg.Names.Fields, Connect: wait, ProbeWait: wait})
	n.viewers = viewers.New(viewers.Config{Settings: cfg.Settings, Classes: cfg.Names.Classes, Host: n.hosts.number, OpenMost: openMost,
		Silent: silentMost, Half: halfMost, Idle: idleMost})
	n.share()
	n.follow = journal.New(cfg.Journal, cfg.Pos, rand.Float64)
	n.links, n.feed = pipe.NewLinks(linkBytes, linkWrite), pipe.NewLinks(linkBytes, linkWrite)
	for _, e := range cfg.Known {
		n.listed(e)
	}
	var err error
	n.clients, err = listen(cfg.Listen, clientSink{n})
	if err != nil {
		return nil, fmt.Errorf("viewers: %w", err)
	}
	return n, nil
}

// share divides the descriptors: servers get two each, one and another that replaces it, as far as viewers keep the third that
// the protocol gives them. It is done again as the list grows.
func (n *Node) share() {
	conns, links := connsMost, connsMost
	if free := n.cfg.Sockets - reserve; n.cfg.Sockets > 0 {
		conns = max(free-2*max(n.hosts.len(), hostsLeast), n.cfg.Sockets/3, 1)
		links = max(free-conns, 1)
	}
	n.viewers.Limit(conns)
	n.servers.Limit(links)
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

// Reload has the configuration read again; Leave tells that the front is to go.
func (n *Node) Reload() { n.queue.Force(reload{}) }

// Leave has the front run on until nothing can be owed.
func (n *Node) Leave() { n.queue.Force(leave{}) }

// ---- What the sockets bring ----

type (
	accepted struct{ conn uint64 }
	said     struct {
		conn    uint64
		read    front.Time
		list    []viewers.In
		broken  error
		partial bool
	}
	left       struct{ conn uint64 }
	connected  struct{ conn uint64 }
	dialFailed struct {
		conn uint64
		why  servers.Failure
	}
	received struct {
		conn uint64
		b    []byte
	}
	lost     struct{ conn, begun uint64 }
	feedUp   struct{ conn uint64 }
	feedLost struct{ conn uint64 }
	feedSaid struct {
		conn   uint64
		lines  [][]byte
		broken error
	}
	reload  struct{}
	leave   struct{}
	inspect struct{ reply chan Snapshot }
)

type clientSink struct{ n *Node }

func (k clientSink) accepted(conn uint64) { k.n.queue.Force(accepted{conn}) }
func (k clientSink) left(conn uint64)     { k.n.queue.Force(left{conn}) }
func (k clientSink) said(conn uint64, list []viewers.In, broken error, partial bool) {
	// Lines of one connection keep their order: a request and the word that it is given up must not change places.
	k.n.queue.Put(admit.News, said{conn, k.n.now(), list, broken, partial})
}

// dial opens a connection to a server.
func (n *Node) dial(conn uint64, addr string, within time.Duration) {
	n.links.Dial(conn, connect(addr, within), pipe.Handler{
		Connected: func() { n.queue.Force(connected{conn}) },
		Failed:    func(err error) { n.queue.Force(dialFailed{conn, failure(err)}) },
		Read:      func(b []byte) { n.queue.Put(admit.News, received{conn, bytes.Clone(b)}) },
		Lost:      func(begun uint64) { n.queue.Force(lost{conn, begun}) }})
}

// failure tells what a connect's error proves.
func failure(err error) servers.Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return servers.Refused
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return servers.Unanswered
	}
	return servers.Broke
}

// tail opens a connection to the journal service.
func (n *Node) tail(conn uint64, addr string, within time.Duration) {
	cut := wire.NewSplitter(wire.MaxEvent)
	n.feed.Dial(conn, connect(addr, within), pipe.Handler{
		Connected: func() { n.queue.Force(feedUp{conn}) },
		Failed:    func(error) { n.queue.Force(feedLost{conn}) },
		Lost:      func(uint64) { n.queue.Force(feedLost{conn}) },
		Read: func(b []byte) {
			said := feedSaid{conn: conn}
			cut.Feed(b)
			for {
				line, err := cut.Next()
				if line == nil {
					said.broken = err
					break
				}
				said.lines = append(said.lines, bytes.Clone(line))
			}
			n.queue.Put(admit.News, said)
		}})
}

func connect(addr string, within time.Duration) func() (net.Conn, error) {
	return func() (net.Conn, error) { return pipe.DialTCP(addr, within) }
}

// ---- The owner ----

func (n *Node) own(ctx context.Context) {
	defer close(n.done)
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	var batch []any
	var readUntil, tickAt, statsAt front.Time
	last := n.now()
	statsAt = last + statsEvery
	for {
		now := n.now()
		if wait := admit.Standstill(now - last); wait > 0 {
			readUntil = now + wait
			n.log.Warn().Int64("ms", (now-last)/policy.Millisecond).Msg("stood still")
		}
		last = now
		batch, _ = n.queue.Take(batchMost, batch)
		for _, item := range batch {
			n.handle(item)
		}
		if now = n.now(); now < readUntil {
			time.Sleep(time.Millisecond)
			continue
		}
		n.carry(n.core.Advance(now))
		n.settle()
		if now >= tickAt {
			tickAt = now + front.Time(tickEvery)
			n.servers.Tick(now)
			n.viewers.Tick(now)
			n.follow.Tick(now)
			n.settle()
		}
		if now >= statsAt {
			statsAt = now + statsEvery
			n.tell()
		}
		if n.over(now) || ctx.Err() != nil {
			n.tell()
			return
		}
		if len(batch) == batchMost {
			continue
		}
		wait := time.Duration(tickAt - now)
		if at, ok := n.core.Next(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-n.queue.Wake():
		case <-timer.C:
		}
	}
}

// over tells whether a front that is to leave has nothing left to do: nothing is open or held, no request is half here, no
// answer waits to be written, and viewers have been quiet for a while, so that none lies unread in a socket or in the queue.
// Danger: the close of a connection loses what is unread on it, and with it destroys what was just written. Standing
// sessions would end with the front.
func (n *Node) over(now front.Time) bool {
	if n.leaving == 0 || now < n.leaving+leaveAfter {
		return false
	}
	if now >= n.leaving+leaveMost {
		return true
	}
	waiting, _, _ := n.queue.Stats()
	return n.core.Open() == 0 && n.core.Held() == 0 && waiting == 0 && now >= n.saidAt+leaveQuiet && !n.viewers.Halves() && n.clients.idle()
}

func (n *Node) handle(item any) {
	now := n.now()
	n.trace(item)
	switch e := item.(type) {
	case accepted:
		n.saidAt = now
		n.viewers.Accepted(now, e.conn)
	case said:
		n.saidAt = now
		n.viewers.Received(now, e.read, e.conn, e.list, e.broken, e.partial, n.core.Known)
	case left:
		n.viewers.Lost(now, e.conn)
	case connected:
		n.servers.Connected(now, n.owners[e.conn], e.conn)
	case dialFailed:
		n.servers.DialFailed(now, n.owners[e.conn], e.conn, e.why)
		delete(n.owners, e.conn)
	case received:
		n.servers.Received(now, n.owners[e.conn], e.conn, e.b)
	case lost:
		n.servers.Lost(now, n.owners[e.conn], e.conn, e.begun)
		delete(n.owners, e.conn)
	case feedUp:
		n.follow.Connected(now, e.conn)
	case feedLost:
		n.follow.Lost(now, e.conn)
	case feedSaid:
		n.follow.Received(now, e.conn, e.lines, e.broken)
	case reload:
		n.reload(now)
	case leave:
		if n.leaving == 0 {
			n.leaving = now
			n.log.Info().Int("open", n.core.Open()).Int("held", n.core.Held()).Msg("leaving")
		}
	case inspect:
		e.reply <- n.snapshot()
	}
	n.settle()
}

// settle carries out what the dialogues have come up with, until all is quiet.
func (n *Node) settle() {
	for {
		feed, events := n.follow.Take()
		for _, a := range feed {
			switch {
			case a.Dial != "":
				n.tail(a.Conn, a.Dial, time.Duration(a.Within))
			case a.Close:
				n.feed.Shut(a.Conn)
			default:
				n.feed.SendHere(a.Conn, a.Bytes)
			}
		}
		for _, e := range events {
			n.listed(e)
		}
		acts, news := n.servers.Take()
		for _, a := range acts {
			switch {
			case a.Dial != "":
				n.owners[a.Conn] = a.Server
				n.dial(a.Conn, a.Dial, time.Duration(a.Within))
			case a.Finish:
				n.links.EndWrites(a.Conn)
			case a.Close:
				n.links.Shut(a.Conn)
			default:
				n.links.SendHere(a.Conn, a.Bytes)
			}
		}
		says, asks := n.viewers.Take()
		for _, a := range says {
			if a.Close {
				n.clients.shut(a.Conn, a.Bytes)
			} else {
				n.clients.send(a.Conn, a.Bytes)
			}
		}
		if len(feed)+len(events)+len(acts)+len(news)+len(says)+len(asks) == 0 {
			return
		}
		for _, e := range append(news, asks...) {
			n.step(e)
		}
	}
}

func (n *Node) step(e front.Event) {
	now := n.now()
	n.trace(e)
	if a, ok := e.(front.Adopt); ok {
		if !n.servers.Adopt(now, front.Setup{Session: a.ID, Server: a.Server, Title: a.Title, Class: a.Class, Viewer: a.Viewer, Name: a.Name}) {
			n.log.Warn().Str("session", wire.Sid(a.ID)).Msg("handed over at a server that is not known")
			return
		}
	}
	n.carry(n.core.Step(now, e))
}

func (n *Node) carry(effects []front.Effect) {
	if len(effects) == 0 {
		return
	}
	now := n.now()
	var ended []uint64
	for _, effect := range effects {
		n.trace(effect)
		switch e := effect.(type) {
		case front.Log:
			n.log.Info().Str("from", "module").Msg(e.Text)
		case front.Fault:
			n.log.Error().Msg("fault: " + e.Text)
		case front.Follow: // the journal is followed all the time
		case front.Plays:
			if !n.viewers.Do(now, e) {
				ended = append(ended, e.Session)
			}
		case front.Refused, front.Failed, front.Moved, front.Over:
			n.viewers.Do(now, e)
		default:
			n.servers.Do(now, e)
		}
	}
	for _, id := range ended {
		n.carry(append([]front.Effect(nil), n.core.Step(now, front.Leave{Session: id})...))
	}
}

// listed passes an event of the journal on: to the servers' desk first, for the core may send to a new server at once.
// What waits for a server that drains is taken back by the core's Withdraw, in the same turn.
func (n *Node) listed(e wire.Event) {
	now := n.now()
	kind := policy.ListDelta
	if e.Hosts.Whole {
		kind = policy.ListFull
	}
	entries, list, bad := n.hosts.take(e.Hosts)
	for _, text := range bad {
		n.log.Warn().Uint64("event", e.Pos).Msg(text)
	}
	n.log.Info().Uint64("event", e.Pos).Bool("whole", e.Hosts.Whole).Int("entries", len(entries)).Msg("server list")
	if n.log.GetLevel() <= zerolog.DebugLevel {
		for _, x := range list {
			n.log.Debug().Str("server", fmt.Sprintf("%08x", x.ID)).Str("addr", x.Addr).Bool("drains", x.Drains).Bool("gone", x.Gone).Msg("listed")
		}
	}
	n.servers.Listed(now, list)
	n.share()
	n.carry(n.core.Step(now, front.Listed{List: policy.List{Kind: kind, Entries: entries}}))
}

// reload reads the configuration again. A file that can't be used changes nothing.
func (n *Node) reload(now front.Time) {
	c, err := Load(n.path)
	if err != nil {
		n.log.Error().Err(err).Msg("configuration not taken; the old one stands")
		return
	}
	n.log.Info().Str("journal", c.Journal).Msg("configuration read again")
	n.follow.Moved(now, c.Journal)
}

// ---- A look inside ----

// Snapshot is a look inside a front.
type Snapshot struct {
	front.Stats
	Open, Held, Ready          int
	Attempts, Lines, Links     int
	Conns, Sessions, Recent    int
	Owed, Hosts, Owners, Queue int
	Pos                        uint64
	Viewers                    viewers.Stats
	Servers                    servers.Stats
	Journal                    journal.Stats
}

func (n *Node) snapshot() (s Snapshot) {
	s.Stats, s.Open, s.Held, s.Ready = n.core.Stats(), n.core.Open(), n.core.Held(), n.core.Ready()
	s.Attempts, s.Lines, s.Links = n.servers.Counts()
	s.Conns, s.Sessions, s.Recent, s.Owed = n.viewers.Counts()
	s.Hosts, s.Owners, s.Pos = n.hosts.len(), len(n.owners), n.follow.Pos()
	s.Queue, _, _ = n.queue.Stats()
	s.Viewers, s.Servers, s.Journal = n.viewers.Stats, n.servers.Stats, n.follow.Stats
	return s
}

func (n *Node) tell() {
	n.log.Info().Str("state", strings.Trim(fmt.Sprintf("%+v", n.snapshot()), "{}")).Msg("state")
}

// Inspect gives a look inside; it fails if the front has left.
func (n *Node) Inspect(ctx context.Context) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	n.queue.Force(inspect{reply})
	select {
	case s := <-reply:
		return s, nil
	case <-n.done:
		return Snapshot{}, fmt.Errorf("the front has left")
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

func sortedNames(m map[string]uint32) []string { return slices.Sorted(maps.Keys(m)) }

// ---- Names of the list ----

// hosts gives servers the module's numbers, and forgets those that left the list. Numbers that are counted are not given
// twice.
type hosts struct {
	zones, kinds map[string]int
	byName       map[string]uint32
	used         map[uint32]bool
	next         uint32
}

func newHosts(zones, kinds []string) hosts {
	h := hosts{zones: map[string]int{}, kinds: map[string]int{}, byName: map[string]uint32{}, used: map[uint32]bool{}}
	for i, z := range zones {
		h.zones[z] = i
	}
	for i, k := range kinds {
		h.kinds[k] = i
	}
	return h
}

func (h *hosts) len() int { return len(h.byName) }

func (h *hosts) number(name string) (uint32, bool) {
	id, ok := h.byName[name]
	return id, ok
}

// give finds a number for a name: the one that it ends in, if it is free, so that logs are easy to compare.
func (h *hosts) give(name string) uint32 {
	if id, ok := h.byName[name]; ok {
		return id
	}
	var id uint32
	if _, digits, ok := strings.Cut(name, "-"); ok && len(digits) == 8 {
		if v, err := strconv.ParseUint(digits, 16, 32); err == nil {
			id = uint32(v)
		}
	}
	for id == 0 || h.used[id] {
		h.next++
		id = h.next
	}
	h.byName[name], h.used[id] = id, true
	return id
}

func (h *hosts) drop(name string) {
	delete(h.used, h.byName[name])
	delete(h.byName, name)
}

// take translates an event. What of it can't be used is told in bad.
func (h *hosts) take(e *wire.Hosts) (entries []policy.Entry, list []servers.Server, bad []string) {
	health := map[string]policy.Health{wire.HostReady: policy.Ready, wire.HostDraining: policy.Draining, wire.HostGone: policy.Removed}
	named := map[string]bool{}
	for _, x := range e.Hosts {
		named[x.Name] = true
		zone, ok := h.zones[x.Zone]
		if !ok && len(h.zones) > 0 {
			bad = append(bad, fmt.Sprintf("%s: no zone %.32q", x.Name, x.Zone))
		}
		kind, ok := h.kinds[x.Kind]
		if !ok && len(h.kinds) > 0 {
			bad = append(bad, fmt.Sprintf("%s: no kind %.32q", x.Name, x.Kind))
		}
		if _, known := h.byName[x.Name]; !known && x.Health == wire.HostGone {
			continue
		}
		id := h.give(x.Name)
		entry := policy.Entry{Server: id, Zone: zone, Kind: kind, Cell: x.Cell, Health: health[x.Health], Size: x.Share,
			Started: x.Started * policy.Millisecond}
		entries = append(entries, entry)
		list = append(list, servers.Server{ID: id, Addr: x.Dial, Started: entry.Started, Drains: entry.Health != policy.Ready,
			Gone: entry.Health == policy.Removed})
		if entry.Health == policy.Removed {
			h.drop(x.Name)
		}
	}
	if e.Whole {
		for _, name := range sortedNames(h.byName) {
			if !named[name] {
				list = append(list, servers.Server{ID: h.byName[name], Drains: true, Gone: true})
				h.drop(name)
			}
		}
	}
	return entries, list, bad
}

// Limits tells the run time what it may use.
func (c *Config) Limits() (procs int, memory int64) {
	procs = max(int(c.Cores+0.5), 1)
	return procs, int64(c.MemoryMB) << 20
}

// Check compares the configuration with what the environment says.
func (c *Config) Check() error {
	if name := os.Getenv("NODE_NAME"); name != "" && name != c.Name {
		return fmt.Errorf("NODE_NAME is %q, the configuration is for %q", name, c.Name)
	}
	if addr := os.Getenv("NODE_LISTEN"); addr != "" && addr != c.Listen {
		return fmt.Errorf("NODE_LISTEN is %q, the configuration says %q", addr, c.Listen)
	}
	return nil
}

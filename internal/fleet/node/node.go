// Package node runs a front's part in its fleet: it owns the membership's sockets, the disk and the clock, and drives
// internal/fleet/core from one goroutine. The front passes in what it knows and receives which servers and fronts to
// keep free of new sessions; neither waits for the other. It may import core, disk and the membership library, and
// nothing of the front.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/disk"
	"tealledge/internal/fleet/ledger"
)

// Config is a front's part in its fleet, from its settings.
type Config struct {
	Name       string
	Zone       int
	Cluster    string
	Listen     string // HOST:PORT, TCP and UDP
	Advertise  string // where others reach it; "": same as Listen
	Join       []string
	Via        map[string]string // addresses to use for members, by name, where they differ from the advertised ones
	Keys       [][]byte          // the first encrypts, all decrypt
	Voters     []string
	Dir        string // "": nothing is stored; a voter needs a directory
	Control    string // HOST:PORT of the control API; "": none
	Limits     upkeep.Limits
	Timeouts   upkeep.Timeouts
	StaleAfter time.Duration
	RackKB     float64
	ClockSkew  time.Duration // added to this part's clock, for tests of clocks that differ
}

// maxInbox limits the functions queued for the owner goroutine. membersRefreshTicks is the number of ticks between
// two passes of the whole member list to the core, in addition to the one after each change.
const (
	maxInbox            = 8192
	membersRefreshTicks = 10
)

// Node is a front's running part in its fleet.
type Node struct {
	cfg            Config
	log            zerolog.Logger
	members        *members
	disk           *disk.Disk
	core           *core.Core
	inbox          chan func()
	membersChanged chan struct{}
	stop           chan struct{}
	done           chan struct{}
	closeOnce      sync.Once
	keepFree       func(core.Reservations)
	replies        map[uint64]chan ledger.CommandResult
	lastHandle     uint64
	diskErr        error // the disk failed: nothing more is sent to the fleet
	control        *control
}

// New starts a front's part in its fleet. The owner goroutine calls keepFree with the servers and fronts to keep free
// of new sessions; it must not block.
func New(cfg Config, log zerolog.Logger, keepFree func(core.Reservations)) (*Node, error) {
	n := &Node{cfg: cfg, log: log.With().Str("part", "fleet").Logger(), inbox: make(chan func(), maxInbox),
		membersChanged: make(chan struct{}, 1),
		stop:           make(chan struct{}), done: make(chan struct{}), keepFree: keepFree,
		replies: map[uint64]chan ledger.CommandResult{}}
	var start core.StoredState
	var err error
	if cfg.Dir != "" {
		if n.disk, start, err = disk.Open(filepath.Join(cfg.Dir, "fleet"), vfs.Default); err != nil {
			return nil, err
		}
	}
	fail := func(err error) (*Node, error) {
		if n.disk != nil {
			n.disk.Close()
		}
		return nil, err
	}
	n.core, err = core.New(n.now(), core.Config{Name: cfg.Name, Zone: cfg.Zone, Cluster: cfg.Cluster,
		Voters: cfg.Voters, Limits: cfg.Limits, Timeouts: cfg.Timeouts, StaleAfter: int64(cfg.StaleAfter),
		RackKB: cfg.RackKB, Random: rand.Uint64, Log: raftLog{n.log}}, start)
	if err != nil {
		return fail(err)
	}
	n.members, err = newMembers(cfg, n.log, n.receive, func() {
		select {
		case n.membersChanged <- struct{}{}:
		default:
		}
	})
	if err != nil {
		return fail(err)
	}
	if cfg.Control != "" {
		if n.control, err = n.serveControl(); err != nil {
			n.members.close()
			return fail(err)
		}
	}
	go n.run()
	return n, nil
}

func (n *Node) now() int64 { return time.Now().Add(n.cfg.ClockSkew).UnixNano() }

var _ raft.Logger = raftLog{}

// receive queues a message from a member. If the queue is full, the message is dropped: the sender repeats it.
func (n *Node) receive(from string, b []byte) {
	select {
	case n.inbox <- func() { n.core.Receive(n.now(), from, b) }:
	default:
		n.members.Dropped.Add(1)
	}
}

// enqueue queues a function for the owner goroutine; it returns false if the queue is full or the owner has stopped.
func (n *Node) enqueue(f func()) bool {
	select {
	case <-n.done:
		return false
	case n.inbox <- f:
		return true
	default:
		return false
	}
}

// SetServers passes the front's server list to the core, and which servers hold titles together.
func (n *Node) SetServers(list []core.Server, groups [][]uint32) {
	n.enqueue(func() { n.core.SetServers(n.now(), list, groups) })
}

// SetSessions passes to the core the sessions that this front has on each server.
func (n *Node) SetSessions(mine map[uint32]core.ServerLoad) {
	n.enqueue(func() { n.core.SetOwnLoad(n.now(), mine) })
}

// Command proposes an entry to the fleet and waits for the result.
func (n *Node) Command(ctx context.Context, e ledger.Entry) (ledger.CommandResult, error) {
	reply := make(chan ledger.CommandResult, 1)
	if !n.enqueue(func() {
		n.lastHandle++
		n.replies[n.lastHandle] = reply
		n.core.Command(n.now(), n.lastHandle, e)
	}) {
		return ledger.CommandResult{}, fmt.Errorf("the command queue of this front's fleet part is full")
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return ledger.CommandResult{}, ctx.Err()
	case <-n.done:
		return ledger.CommandResult{}, fmt.Errorf("the front has left service")
	}
}

// Inspect runs a function on the core, in the owner goroutine.
func (n *Node) Inspect(ctx context.Context, f func(*core.Core)) error {
	done := make(chan struct{})
	if !n.enqueue(func() { f(n.core); close(done) }) {
		return fmt.Errorf("the command queue of this front's fleet part is full")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return fmt.Errorf("the front has left service")
	}
}

// run is the owner goroutine: only it uses the core.
func (n *Node) run() {
	defer close(n.done)
	ticker := time.NewTicker(time.Duration(core.TickInterval))
	defer ticker.Stop()
	n.applyEffects()
	ticks := 0
	for {
		select {
		case <-n.stop:
			return
		case f := <-n.inbox:
			f()
		case <-n.membersChanged:
			n.core.SetMembers(n.now(), n.members.all())
		case <-ticker.C:
			now := n.now()
			if ticks++; ticks%membersRefreshTicks == 0 {
				n.core.SetMembers(now, n.members.all()) // so that the core forgets members that have left
			}
			n.core.Tick(now)
		}
		n.applyEffects()
	}
}

// applyEffects carries out the core's effects in order: a write is on disk before any later message is sent.
func (n *Node) applyEffects() {
	for list := n.core.TakeEffects(); len(list) > 0; list = n.core.TakeEffects() {
		for _, e := range list {
			n.applyEffect(e)
		}
	}
}

func (n *Node) applyEffect(effect core.Effect) {
	switch e := effect.(type) {
	case core.Write:
		if n.disk == nil || n.diskErr != nil {
			return
		}
		if err := n.disk.Write(e); err != nil {
			// A vote or an acknowledgement that was sent but is not on disk would be lost at the next start.
			n.diskErr = err
			n.log.Error().Err(err).Msg("fleet's disk: this front sends nothing more to the fleet")
		}
	case core.Send:
		if n.diskErr == nil {
			n.members.send(e.To, e.Data)
		}
	case core.AnnounceMeta:
		if err := n.members.setMeta(e.Meta); err != nil {
			n.log.Error().Err(err).Msg("cannot publish this front's metadata")
		}
	case core.Reservations:
		n.keepFree(e)
	case core.Reply:
		if ch := n.replies[e.Handle]; ch != nil {
			ch <- e.Result
			delete(n.replies, e.Handle)
		}
	case core.PhaseChanged:
		w := e.Change.Work
		n.log.Info().Uint64("work", w.ID).Strs("machines", w.Request.Names).
			Str("was", string(e.Change.PrevPhase)).Str("phase", string(w.Phase)).
			Uint64("grant", w.Fence).Str("by", e.Change.From).Str("why", w.Reason).Msg("upkeep")
	case core.LogMessage:
		n.log.Info().Msg(e.Text)
	}
}

// Close leaves the fleet.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		close(n.stop)
		<-n.done
		if n.control != nil {
			n.control.close()
		}
		n.members.close()
		if n.disk != nil {
			n.disk.Close()
		}
	})
}

// raftLog passes the raft library's log lines to the log.
type raftLog struct{ log zerolog.Logger }

func (r raftLog) Debug(v ...any)                   {}
func (r raftLog) Debugf(string, ...any)            {}
func (r raftLog) Info(v ...any)                    { r.log.Debug().Msg(fmt.Sprint(v...)) }
func (r raftLog) Infof(format string, v ...any)    { r.log.Debug().Msgf(format, v...) }
func (r raftLog) Warning(v ...any)                 { r.log.Warn().Msg(fmt.Sprint(v...)) }
func (r raftLog) Warningf(format string, v ...any) { r.log.Warn().Msgf(format, v...) }
func (r raftLog) Error(v ...any)                   { r.log.Error().Msg(fmt.Sprint(v...)) }
func (r raftLog) Errorf(format string, v ...any)   { r.log.Error().Msgf(format, v...) }
func (r raftLog) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (r raftLog) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (r raftLog) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (r raftLog) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }

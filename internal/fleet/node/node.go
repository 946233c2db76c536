// Package node carries a front's part in its fleet out: it owns the membership's sockets, the disk and the clock, and
// drives internal/fleet/core by one goroutine. The front hands it what it knows and is told what to keep free; it never
// waits for it. It may import core, disk and the membership library, and nothing of the front.
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
	Name      string
	Zone      int
	Cluster   string
	Listen    string // HOST:PORT, TCP and UDP
	Advertise string // where others reach it; "": as Listen
	Join      []string
	Via       map[string]string // addresses of members from here, by name, where they are others
	Keys      [][]byte          // the first seals, all open
	Voters    []string
	Dir       string // "": nothing is kept, which a voter can't do without
	Control   string // HOST:PORT of the commands; "": none
	Limits    upkeep.Limits
	Times     upkeep.Timeouts
	Stale     time.Duration
	RackKB    float64
	Skew      time.Duration // of this part's clock, for trials of clocks that stand apart
}

// inboxMost bounds what waits for the owner; membersEvery is how many ticks pass between two looks at all members, which come
// beside those for each change.
const (
	inboxMost    = 8192
	membersEvery = 10
)

// Node is running.
type Node struct {
	cfg     Config
	log     zerolog.Logger
	members *members
	disk    *disk.Disk
	core    *core.Core
	inbox   chan func()
	stirred chan struct{}
	end     chan struct{}
	done    chan struct{}
	once    sync.Once
	keeps   func(core.Keeps)
	replies map[uint64]chan ledger.Answer
	handle  uint64
	broken  error // of the disk: nothing is promised any more
	control *control
}

// New starts a front's part in its fleet. keeps is called by the owner's goroutine with what is to be kept free; it must
// not wait.
func New(cfg Config, log zerolog.Logger, keeps func(core.Keeps)) (*Node, error) {
	n := &Node{cfg: cfg, log: log.With().Str("part", "fleet").Logger(), inbox: make(chan func(), inboxMost), stirred: make(chan struct{}, 1),
		end: make(chan struct{}), done: make(chan struct{}), keeps: keeps, replies: map[uint64]chan ledger.Answer{}}
	var start core.Start
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
	n.core, err = core.New(n.now(), core.Config{Me: cfg.Name, Zone: cfg.Zone, Cluster: cfg.Cluster, Voters: cfg.Voters, Limits: cfg.Limits,
		Times: cfg.Times, Stale: int64(cfg.Stale), RackKB: cfg.RackKB, Draw: rand.Uint64, Log: raftLog{n.log}}, start)
	if err != nil {
		return fail(err)
	}
	n.members, err = newMembers(cfg, n.log, n.letter, func() {
		select {
		case n.stirred <- struct{}{}:
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
	go n.own()
	return n, nil
}

func (n *Node) now() int64 { return time.Now().Add(n.cfg.Skew).UnixNano() }

var _ raft.Logger = raftLog{}

// letter takes what a member sent. What finds no room is dropped: the sender says it again.
func (n *Node) letter(from string, b []byte) {
	select {
	case n.inbox <- func() { n.core.Message(n.now(), from, b) }:
	default:
		n.members.Dropped.Add(1)
	}
}

// put hands the owner something to do; it gives false if the owner has no room, or has ended.
func (n *Node) put(f func()) bool {
	select {
	case <-n.done:
		return false
	case n.inbox <- f:
		return true
	default:
		return false
	}
}

// Servers tells what the front's list holds, and which servers hold titles together.
func (n *Node) Servers(list []core.Server, groups [][]uint32) {
	n.put(func() { n.core.Servers(n.now(), list, groups) })
}

// Mine tells what stands on servers from this front.
func (n *Node) Mine(mine map[uint32]core.Standing) {
	n.put(func() { n.core.Mine(n.now(), mine) })
}

// Command has an entry agreed on and waits for its answer.
func (n *Node) Command(ctx context.Context, e ledger.Entry) (ledger.Answer, error) {
	reply := make(chan ledger.Answer, 1)
	if !n.put(func() {
		n.handle++
		n.replies[n.handle] = reply
		n.core.Command(n.now(), n.handle, e)
	}) {
		return ledger.Answer{}, fmt.Errorf("the fleet's part of this front has no room")
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return ledger.Answer{}, ctx.Err()
	case <-n.done:
		return ledger.Answer{}, fmt.Errorf("the front has left service")
	}
}

// Look runs a function on the core, by its owner.
func (n *Node) Look(ctx context.Context, f func(*core.Core)) error {
	done := make(chan struct{})
	if !n.put(func() { f(n.core); close(done) }) {
		return fmt.Errorf("the fleet's part of this front has no room")
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

func (n *Node) own() {
	defer close(n.done)
	ticker := time.NewTicker(time.Duration(core.TickEvery))
	defer ticker.Stop()
	n.carry()
	ticks := 0
	for {
		select {
		case <-n.end:
			return
		case f := <-n.inbox:
			f()
		case <-n.stirred:
			n.core.Members(n.now(), n.members.all())
		case <-ticker.C:
			now := n.now()
			if ticks++; ticks%membersEvery == 0 {
				n.core.Members(now, n.members.all()) // those that are gone are forgotten in time
			}
			n.core.Tick(now)
		}
		n.carry()
	}
}

// carry carries effects out in their order: what is written is on disk before anything after it is sent.
func (n *Node) carry() {
	for list := n.core.Take(); len(list) > 0; list = n.core.Take() {
		for _, e := range list {
			n.effect(e)
		}
	}
}

func (n *Node) effect(effect core.Effect) {
	switch e := effect.(type) {
	case core.Write:
		if n.disk == nil || n.broken != nil {
			return
		}
		if err := n.disk.Write(e); err != nil {
			// Danger: a vote or an acknowledgement that is not on disk would be forgotten by the next start.
			n.broken = err
			n.log.Error().Err(err).Msg("fleet's disk: this front sends nothing more to the fleet")
		}
	case core.Send:
		if n.broken == nil {
			n.members.send(e.To, e.B)
		}
	case core.Tell:
		if err := n.members.tell(e.Meta); err != nil {
			n.log.Error().Err(err).Msg("not told")
		}
	case core.Keeps:
		n.keeps(e)
	case core.Reply:
		if ch := n.replies[e.Handle]; ch != nil {
			ch <- e.Answer
			delete(n.replies, e.Handle)
		}
	case core.Changed:
		w := e.Change.Work
		n.log.Info().Uint64("work", w.ID).Strs("machines", w.Ask.Names).Str("was", string(e.Change.Was)).Str("phase", string(w.Phase)).
			Uint64("grant", w.Fence).Str("by", e.Change.From).Str("why", w.Why).Msg("upkeep")
	case core.Note:
		n.log.Info().Msg(e.Text)
	}
}

// Close leaves the fleet.
func (n *Node) Close() {
	n.once.Do(func() {
		close(n.end)
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

// raftLog passes the quorum's words on.
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

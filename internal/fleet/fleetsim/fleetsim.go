// Package fleetsim runs the fleet's parts of many fronts in one process on virtual time: the same core as in
// production, on a simulated network with delay, loss and partitions, and on simulated disks that can be lost or
// replaced by an older copy. It is for tests and measurements. Membership is simulated too: a front that can't be
// reached for a while is reported as no longer alive.
package fleetsim

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand"
	"slices"

	"go.etcd.io/raft/v3"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/quorum"
)

// Time is virtual, in nanoseconds.
type Time = int64

// Units of Time.
const (
	Millisecond Time = 1_000_000
	Second      Time = 1_000_000_000
)

// Config describes a fleet.
type Config struct {
	Fronts, Voters int
	Seed           int64
	Limits         upkeep.Limits
	Timeouts       upkeep.Timeouts
	LossRate       float64 // share of messages lost on lossy paths
	LossyShare     float64 // share of the paths from one front to another that are lossy
	SuspectTimeout Time    // after it, a front that can't be reached counts as not alive
}

// Front is one front of the fleet.
type Front struct {
	Name            string
	Core            *core.Core // nil: its process is not running
	Disk            *Disk
	ClockSkew       Time                       // added to its clock
	Stopped         bool                       // its process is stopped: nothing runs, and messages are queued
	ReservedServers map[uint32]uint64          // servers that take no new sessions, each with its work
	ReservedFronts  map[string]uint64          // fronts that take no new sessions, each with its work
	Returned        map[uint32]Time            // when servers came back from work
	Sessions        map[uint32]core.ServerLoad // sessions that this front has, by server
	// queued has the sender and content of each message that came while the process was stopped.
	queued        [][2]any
	meta          core.Meta
	comparedIndex uint64 // index of the state that was compared most recently
	Sent          uint64 // bytes
	Received      uint64 // bytes
	Log           []string
}

// Disk holds what a front has written.
type Disk struct {
	Identity     quorum.Identity
	Incarnations quorum.Incarnations
	Disk         quorum.Disk
	State        []byte
}

// Copy returns a copy, for restoring an older state later.
func (d *Disk) Copy() *Disk {
	c := *d
	c.Incarnations = quorum.Incarnations{}
	for k, v := range d.Incarnations {
		c.Incarnations[k] = v
	}
	c.Disk.Entries = slices.Clone(d.Disk.Entries)
	return &c
}

// Fleet is a simulated fleet of fronts.
type Fleet struct {
	Config         Config
	Now            Time
	Fronts         []*Front
	ByName         map[string]*Front
	Blocked        func(from, to string) bool // messages from one front to another are dropped
	Replies        map[uint64]ledger.CommandResult
	Changes        []ledger.Change // each as the first front that applied it reported it
	GrantLearnedAt map[uint64]map[string]Time
	Errors         []string // violated invariants; must stay empty
	// OnEffect is called with each effect after it was carried out.
	OnEffect func(*Front, core.Effect)

	rng           *rand.Rand
	queue         events
	lastSeq       uint64
	lastHandle    uint64
	servers       []core.Server
	groups        [][]uint32
	snapshots     map[uint64][]byte // snapshot of the state at each index, from the first front that reached it
	seenChanges   map[string]bool
	lastReachable map[[2]string]Time // when one front last reached the other
	lossyPaths    map[[2]string]bool
}

type event struct {
	at  Time
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// New makes a fleet and starts all its fronts.
func New(cfg Config) *Fleet {
	if cfg.SuspectTimeout == 0 {
		cfg.SuspectTimeout = 3 * Second
	}
	f := &Fleet{Config: cfg, Now: 1_700_000_000 * Second, ByName: map[string]*Front{},
		Replies: map[uint64]ledger.CommandResult{}, rng: rand.New(rand.NewSource(cfg.Seed)),
		snapshots: map[uint64][]byte{}, seenChanges: map[string]bool{}, lastReachable: map[[2]string]Time{},
		GrantLearnedAt: map[uint64]map[string]Time{}, lossyPaths: map[[2]string]bool{}}
	for i := range cfg.Fronts {
		x := &Front{Name: fmt.Sprintf("f%03d", i+1), Disk: &Disk{}, Sessions: map[uint32]core.ServerLoad{}}
		f.Fronts = append(f.Fronts, x)
		f.ByName[x.Name] = x
	}
	for _, x := range f.Fronts {
		f.Start(x)
		f.scheduleAt(f.Now+f.rng.Int63n(core.TickInterval), func() { f.tick(x) })
	}
	f.scheduleAt(f.Now, f.updateMembers)
	return f
}

// Schedule calls run after a delay.
func (f *Fleet) Schedule(delay Time, run func()) { f.scheduleAt(f.Now+delay, run) }

func (f *Fleet) scheduleAt(t Time, run func()) {
	f.lastSeq++
	heap.Push(&f.queue, event{t, f.lastSeq, run})
}

// Run advances virtual time by d and handles all events due in it.
func (f *Fleet) Run(d Time) {
	for end := f.Now + d; ; {
		if len(f.queue) == 0 || f.queue[0].at > end {
			f.Now = end
			return
		}
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.run()
	}
}

// RunUntil runs until the condition holds or the timeout is over; it returns whether the condition holds.
func (f *Fleet) RunUntil(timeout Time, condition func() bool) bool {
	for end := f.Now + timeout; f.Now < end; {
		if condition() {
			return true
		}
		f.Run(50 * Millisecond)
	}
	return condition()
}

func (f *Fleet) voters() (names []string) {
	for _, x := range f.Fronts[:f.Config.Voters] {
		names = append(names, x.Name)
	}
	return names
}

// Start starts a front's process with its disk.
func (f *Fleet) Start(x *Front) {
	d := x.Disk
	disk := &quorum.Disk{Hard: d.Disk.Hard, Snap: d.Disk.Snap, Entries: slices.Clone(d.Disk.Entries)}
	incarnations := d.Copy().Incarnations
	c, err := core.New(f.Now+x.ClockSkew, core.Config{Name: x.Name, Cluster: "sim", Voters: f.voters(),
		Limits: f.Config.Limits, Timeouts: f.Config.Timeouts, StaleAfter: 15 * Second, Random: f.rng.Uint64,
		Log: &raft.DefaultLogger{Logger: discardLogger()}},
		core.StoredState{Identity: d.Identity, Incarnations: incarnations, Disk: disk, State: d.State})
	if err != nil {
		f.Errors = append(f.Errors, x.Name+": "+err.Error())
		return
	}
	x.Core, x.queued, x.Stopped = c, nil, false
	c.SetServers(f.Now+x.ClockSkew, f.servers, f.groups)
	f.applyEffects(x)
}

// Kill ends a front's process; its disk is kept.
func (f *Fleet) Kill(x *Front) { x.Core = nil }

// Servers sets the server list of all fronts.
func (f *Fleet) Servers(list []core.Server, groups [][]uint32) {
	f.servers, f.groups = list, groups
	for _, x := range f.Fronts {
		if x.Core != nil {
			x.Core.SetServers(f.Now+x.ClockSkew, list, groups)
		}
	}
}

func (f *Fleet) tick(x *Front) {
	f.scheduleAt(f.Now+core.TickInterval, func() { f.tick(x) })
	if x.Core == nil || x.Stopped {
		return
	}
	x.Core.SetOwnLoad(f.Now+x.ClockSkew, x.Sessions)
	x.Core.Tick(f.Now + x.ClockSkew)
	f.applyEffects(x)
}

// Resume lets a stopped process continue; it receives the messages queued meanwhile at once.
func (f *Fleet) Resume(x *Front) {
	x.Stopped = false
	queued := x.queued
	x.queued = nil
	for _, w := range queued {
		f.deliver(x, w[0].(string), w[1].([]byte))
	}
}

// Reaches reports whether messages from one front get to another.
func (f *Fleet) Reaches(from, to string) bool { return f.Blocked == nil || !f.Blocked(from, to) }

// updateMembers passes the member list to each front: a front that it can't exchange messages with is reported
// as not alive after SuspectTimeout.
func (f *Fleet) updateMembers() {
	f.scheduleAt(f.Now+500*Millisecond, f.updateMembers)
	for _, x := range f.Fronts {
		if x.Core == nil || x.Stopped {
			continue
		}
		var list []core.Member
		for _, y := range f.Fronts {
			if x == y {
				continue
			}
			key := [2]string{x.Name, y.Name}
			up := y.Core != nil && !y.Stopped && f.Reaches(x.Name, y.Name) && f.Reaches(y.Name, x.Name)
			if up {
				f.lastReachable[key] = f.Now
			}
			since, known := f.lastReachable[key]
			if !known {
				continue
			}
			list = append(list, core.Member{Name: y.Name, Alive: f.Now-since < f.Config.SuspectTimeout, Meta: y.meta})
		}
		x.Core.SetMembers(f.Now+x.ClockSkew, list)
		f.applyEffects(x)
	}
}

// Command sends a command to a front and returns its handle.
func (f *Fleet) Command(x *Front, e ledger.Entry) uint64 {
	f.lastHandle++
	h := f.lastHandle
	if x.Core == nil || x.Stopped {
		return h
	}
	x.Core.Command(f.Now+x.ClockSkew, h, e)
	f.applyEffects(x)
	return h
}

func (f *Fleet) deliver(to *Front, from string, b []byte) {
	switch {
	case to.Core == nil:
	case to.Stopped:
		if len(to.queued) < 1000 {
			to.queued = append(to.queued, [2]any{from, b})
		}
	default:
		to.Received += uint64(len(b))
		to.Core.Receive(f.Now+to.ClockSkew, from, b)
		f.applyEffects(to)
	}
}

func (f *Fleet) dropsMessage(from, to string) bool {
	if f.Config.LossRate == 0 {
		return false
	}
	key := [2]string{from, to}
	lossy, known := f.lossyPaths[key]
	if !known {
		lossy = f.rng.Float64() < f.Config.LossyShare
		f.lossyPaths[key] = lossy
	}
	return lossy && f.rng.Float64() < f.Config.LossRate
}

// applyEffects carries out a front's effects in order: a write is on disk before any later message is sent.
func (f *Fleet) applyEffects(x *Front) {
	for list := x.Core.TakeEffects(); len(list) > 0; list = x.Core.TakeEffects() {
		for _, e := range list {
			switch e := e.(type) {
			case core.Write:
				x.Disk.write(e)
			case core.Send:
				x.Sent += uint64(len(e.Data))
				to := f.ByName[e.To]
				if to == nil || !f.Reaches(x.Name, e.To) || f.dropsMessage(x.Name, e.To) {
					continue
				}
				name, b := x.Name, e.Data
				f.scheduleAt(f.Now+Millisecond+f.rng.Int63n(4*Millisecond), func() { f.deliver(to, name, b) })
			case core.AnnounceMeta:
				x.meta = e.Meta
			case core.Reservations:
				x.ReservedServers, x.ReservedFronts, x.Returned = e.Servers, e.Fronts, e.Returned
			case core.Reply:
				f.Replies[e.Handle] = e.Result
			case core.PhaseChanged:
				f.recordChange(x, e.Change)
			case core.LogMessage:
				if len(x.Log) < 1000 {
					x.Log = append(x.Log, e.Text)
				}
			}
			if f.OnEffect != nil {
				f.OnEffect(x, e)
			}
		}
		f.checkSameState(x)
	}
}

func (f *Fleet) recordChange(x *Front, c ledger.Change) {
	key := fmt.Sprintf("%s/%d/%s", x.Core.State().Cluster, c.Work.ID, c.Work.Phase)
	if !f.seenChanges[key] {
		f.seenChanges[key] = true
		f.Changes = append(f.Changes, c)
	}
	if c.Work.Phase == ledger.Granted {
		m := f.GrantLearnedAt[c.Work.ID]
		if m == nil {
			m = map[string]Time{}
			f.GrantLearnedAt[c.Work.ID] = m
		}
		if _, known := m[x.Name]; !known {
			m[x.Name] = f.Now
		}
	}
}

// checkSameState checks that fronts that have applied the same index have the same state.
func (f *Fleet) checkSameState(x *Front) {
	s := x.Core.State()
	if s.Index < 2 || f.Config.Fronts > 20 || x.comparedIndex == s.Index {
		return
	}
	x.comparedIndex = s.Index
	b, err := s.Snapshot()
	if err != nil {
		f.Errors = append(f.Errors, err.Error())
		return
	}
	if previous, known := f.snapshots[s.Index]; !known {
		f.snapshots[s.Index] = b
	} else if !bytes.Equal(previous, b) {
		f.Errors = append(f.Errors,
			fmt.Sprintf("%s has another state at index %d:\n%s\n%s", x.Name, s.Index, b, previous))
	}
}

// Leader returns the front that reports itself as leader, the one with the highest index if there are several; nil if
// none does.
func (f *Fleet) Leader() *Front {
	var leader *Front
	for _, x := range f.Fronts[:f.Config.Voters] {
		if x.Core != nil && !x.Stopped && x.Core.Leader() == x.Name &&
			(leader == nil || x.Core.State().Index > leader.Core.State().Index) {
			leader = x
		}
	}
	return leader
}

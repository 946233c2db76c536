// Package fleetsim runs the fleet's parts of many fronts in one process on virtual time: the same core that runs in
// service, on a simulated network with delays, losses and cuts, and on simulated disks that can be lost or put back. It
// is for tests and measurements. Membership is simulated too: whoever cannot be reached is told gone after a while.
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

// Handy spans.
const (
	Millisecond Time = 1_000_000
	Second      Time = 1_000_000_000
)

// Config is a fleet.
type Config struct {
	Fronts, Voters int
	Seed           int64
	Limits         upkeep.Limits
	Times          upkeep.Timeouts
	Loss           float64 // share of messages lost on lossy links
	Lossy          float64 // share of links that are lossy
	Suspect        Time    // until a front that can't be reached is told gone
}

// Front is one front of the fleet.
type Front struct {
	Name   string
	Core   *core.Core // nil: its process is down
	Disk   *Disk
	Skew   Time // of its clock
	Stuck  bool // its process is stopped: nothing runs, what comes waits
	Server map[uint32]uint64
	Fronts map[string]uint64
	Back   map[uint32]Time
	Mine   map[uint32]core.Standing
	waits  [][2]any
	meta   core.Meta
	at     uint64 // index compared last
	Sent   uint64 // bytes
	Got    uint64
	Log    []string
}

// Disk is what a front has written.
type Disk struct {
	Identity quorum.Identity
	Lives    quorum.Lives
	Disk     quorum.Disk
	State    []byte
}

// Copy gives a copy, to be put back later.
func (d *Disk) Copy() *Disk {
	c := *d
	c.Lives = quorum.Lives{}
	for k, v := range d.Lives {
		c.Lives[k] = v
	}
	c.Disk.Entries = slices.Clone(d.Disk.Entries)
	return &c
}

// Fleet is all of them.
type Fleet struct {
	Cfg     Config
	Now     Time
	Fronts  []*Front
	ByName  map[string]*Front
	Cut     func(from, to string) bool // nothing gets through
	Replies map[uint64]ledger.Answer
	Changes []ledger.Change // as the first front to hear of each said it
	Heard   map[uint64]map[string]Time
	Errors  []string // what must never be
	// Apply is called with each effect, after it was carried out.
	Apply func(*Front, core.Effect)

	rng     *rand.Rand
	queue   events
	seq     uint64
	handle  uint64
	servers []core.Server
	groups  [][]uint32
	digests map[uint64][]byte // of the state at an index, from whoever came there first
	seen    map[string]bool
	alive   map[[2]string]Time // unreachable since
	lossy   map[[2]string]bool
}

type event struct {
	at  Time
	seq uint64
	do  func()
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

// New makes a fleet and starts every front.
func New(cfg Config) *Fleet {
	if cfg.Suspect == 0 {
		cfg.Suspect = 3 * Second
	}
	f := &Fleet{Cfg: cfg, Now: 1_700_000_000 * Second, ByName: map[string]*Front{}, Replies: map[uint64]ledger.Answer{}, rng: rand.New(rand.NewSource(cfg.Seed)),
		digests: map[uint64][]byte{}, seen: map[string]bool{}, alive: map[[2]string]Time{}, Heard: map[uint64]map[string]Time{}, lossy: map[[2]string]bool{}}
	for i := range cfg.Fronts {
		x := &Front{Name: fmt.Sprintf("f%03d", i+1), Disk: &Disk{}, Mine: map[uint32]core.Standing{}}
		f.Fronts = append(f.Fronts, x)
		f.ByName[x.Name] = x
	}
	for _, x := range f.Fronts {
		f.Start(x)
		f.at(f.Now+f.rng.Int63n(core.TickEvery), func() { f.tick(x) })
	}
	f.at(f.Now, f.membership)
	return f
}

// At does something at a time from now.
func (f *Fleet) At(after Time, do func()) { f.at(f.Now+after, do) }

func (f *Fleet) at(t Time, do func()) {
	f.seq++
	heap.Push(&f.queue, event{t, f.seq, do})
}

// Run lets virtual time pass.
func (f *Fleet) Run(d Time) {
	for end := f.Now + d; ; {
		if len(f.queue) == 0 || f.queue[0].at > end {
			f.Now = end
			return
		}
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.do()
	}
}

// Until runs until something holds, for at most so long; it tells whether it does.
func (f *Fleet) Until(most Time, holds func() bool) bool {
	for end := f.Now + most; f.Now < end; {
		if holds() {
			return true
		}
		f.Run(50 * Millisecond)
	}
	return holds()
}

func (f *Fleet) voters() (names []string) {
	for _, x := range f.Fronts[:f.Cfg.Voters] {
		names = append(names, x.Name)
	}
	return names
}

// Start starts a front's process on its disk.
func (f *Fleet) Start(x *Front) {
	d := x.Disk
	disk := &quorum.Disk{Hard: d.Disk.Hard, Snap: d.Disk.Snap, Entries: slices.Clone(d.Disk.Entries)}
	lives := d.Copy().Lives
	c, err := core.New(f.Now+x.Skew, core.Config{Me: x.Name, Cluster: "sim", Voters: f.voters(), Limits: f.Cfg.Limits, Times: f.Cfg.Times,
		Stale: 15 * Second, Draw: f.rng.Uint64, Log: &raft.DefaultLogger{Logger: nullLog()}},
		core.Start{Identity: d.Identity, Lives: lives, Disk: disk, State: d.State})
	if err != nil {
		f.Errors = append(f.Errors, x.Name+": "+err.Error())
		return
	}
	x.Core, x.waits, x.Stuck = c, nil, false
	c.Servers(f.Now+x.Skew, f.servers, f.groups)
	f.carry(x)
}

// Kill ends a front's process; its disk stays.
func (f *Fleet) Kill(x *Front) { x.Core = nil }

// Servers sets the list that every front sees.
func (f *Fleet) Servers(list []core.Server, groups [][]uint32) {
	f.servers, f.groups = list, groups
	for _, x := range f.Fronts {
		if x.Core != nil {
			x.Core.Servers(f.Now+x.Skew, list, groups)
		}
	}
}

func (f *Fleet) tick(x *Front) {
	f.at(f.Now+core.TickEvery, func() { f.tick(x) })
	if x.Core == nil || x.Stuck {
		return
	}
	x.Core.Mine(f.Now+x.Skew, x.Mine)
	x.Core.Tick(f.Now + x.Skew)
	f.carry(x)
}

// Continue lets a stopped process go on: what came meanwhile is there at once.
func (f *Fleet) Continue(x *Front) {
	x.Stuck = false
	waits := x.waits
	x.waits = nil
	for _, w := range waits {
		f.deliver(x, w[0].(string), w[1].([]byte))
	}
}

// Reaches tells whether one front's words get to another.
func (f *Fleet) Reaches(from, to string) bool { return f.Cut == nil || !f.Cut(from, to) }

// membership tells every front who is here: a front that neither it nor any that it reaches can talk with is gone after
// Suspect.
func (f *Fleet) membership() {
	f.at(f.Now+500*Millisecond, f.membership)
	for _, x := range f.Fronts {
		if x.Core == nil || x.Stuck {
			continue
		}
		var list []core.Member
		for _, y := range f.Fronts {
			if x == y {
				continue
			}
			key := [2]string{x.Name, y.Name}
			up := y.Core != nil && !y.Stuck && f.Reaches(x.Name, y.Name) && f.Reaches(y.Name, x.Name)
			if up {
				f.alive[key] = f.Now
			}
			since, known := f.alive[key]
			if !known {
				continue
			}
			list = append(list, core.Member{Name: y.Name, Alive: f.Now-since < f.Cfg.Suspect, Meta: y.meta})
		}
		x.Core.Members(f.Now+x.Skew, list)
		f.carry(x)
	}
}

// Ask gives a command at a front and returns its handle.
func (f *Fleet) Ask(x *Front, e ledger.Entry) uint64 {
	f.handle++
	h := f.handle
	if x.Core == nil || x.Stuck {
		return h
	}
	x.Core.Command(f.Now+x.Skew, h, e)
	f.carry(x)
	return h
}

func (f *Fleet) deliver(to *Front, from string, b []byte) {
	switch {
	case to.Core == nil:
	case to.Stuck:
		if len(to.waits) < 1000 {
			to.waits = append(to.waits, [2]any{from, b})
		}
	default:
		to.Got += uint64(len(b))
		to.Core.Message(f.Now+to.Skew, from, b)
		f.carry(to)
	}
}

func (f *Fleet) lost(from, to string) bool {
	if f.Cfg.Loss == 0 {
		return false
	}
	key := [2]string{from, to}
	bad, known := f.lossy[key]
	if !known {
		bad = f.rng.Float64() < f.Cfg.Lossy
		f.lossy[key] = bad
	}
	return bad && f.rng.Float64() < f.Cfg.Loss
}

// carry carries effects out, in order: what is written is on disk before anything after it is sent.
func (f *Fleet) carry(x *Front) {
	for list := x.Core.Take(); len(list) > 0; list = x.Core.Take() {
		for _, e := range list {
			switch e := e.(type) {
			case core.Write:
				x.Disk.write(e)
			case core.Send:
				x.Sent += uint64(len(e.B))
				to := f.ByName[e.To]
				if to == nil || !f.Reaches(x.Name, e.To) || f.lost(x.Name, e.To) {
					continue
				}
				name, b := x.Name, e.B
				f.at(f.Now+Millisecond+f.rng.Int63n(4*Millisecond), func() { f.deliver(to, name, b) })
			case core.Tell:
				x.meta = e.Meta
			case core.Keeps:
				x.Server, x.Fronts, x.Back = e.Servers, e.Fronts, e.Returned
			case core.Reply:
				f.Replies[e.Handle] = e.Answer
			case core.Changed:
				f.changed(x, e.Change)
			case core.Note:
				if len(x.Log) < 1000 {
					x.Log = append(x.Log, e.Text)
				}
			}
			if f.Apply != nil {
				f.Apply(x, e)
			}
		}
		f.same(x)
	}
}

func (f *Fleet) changed(x *Front, c ledger.Change) {
	key := fmt.Sprintf("%s/%d/%s", x.Core.State().Cluster, c.Work.ID, c.Work.Phase)
	if !f.seen[key] {
		f.seen[key] = true
		f.Changes = append(f.Changes, c)
	}
	if c.Work.Phase == ledger.Granted {
		m := f.Heard[c.Work.ID]
		if m == nil {
			m = map[string]Time{}
			f.Heard[c.Work.ID] = m
		}
		if _, known := m[x.Name]; !known {
			m[x.Name] = f.Now
		}
	}
}

// same checks that fronts that have come as far have come to the same.
func (f *Fleet) same(x *Front) {
	s := x.Core.State()
	if s.Index < 2 || f.Cfg.Fronts > 20 || x.at == s.Index {
		return
	}
	x.at = s.Index
	b, err := s.Snapshot()
	if err != nil {
		f.Errors = append(f.Errors, err.Error())
		return
	}
	if was, known := f.digests[s.Index]; !known {
		f.digests[s.Index] = b
	} else if !bytes.Equal(was, b) {
		f.Errors = append(f.Errors, fmt.Sprintf("%s at %d has come to another state:\n%s\n%s", x.Name, s.Index, b, was))
	}
}

// Leader gives the front that leads, if one does by its own word.
func (f *Fleet) Leader() *Front {
	var lead *Front
	for _, x := range f.Fronts[:f.Cfg.Voters] {
		if x.Core != nil && !x.Stuck && x.Core.Lead() == x.Name && (lead == nil || x.Core.State().Index > lead.Core.State().Index) {
			lead = x
		}
	}
	return lead
}

// Package core is one front's part in its fleet: who is here, what is agreed, and the work that follows from it. It is a
// pure state machine: events and the time go in, effects come out. It owns no socket, disk, clock or goroutine; its shell
// is internal/fleet/node. What is let go and when is decided in decide/upkeep. It may import decide, ledger and quorum.
//
// Three kinds of front: voters hold the agreed record between them; one of them leads and plans; all others follow, and
// are given what was agreed by the voters. A front that hears nothing goes on by what it knew (see Keeps).
package core

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/quorum"
)

// Time is a clock reading or span in nanoseconds. Now is Unix time.
type Time = int64

// Handy spans.
const (
	millisecond Time = 1_000_000
	second      Time = 1_000_000_000
)

// Config is what a front's part is started with.
type Config struct {
	Me      string
	Zone    int
	Cluster string   // the fleet's name
	Voters  []string // names of the fronts that vote, the same everywhere
	Limits  upkeep.Limits
	Times   upkeep.Timeouts
	// Stale is the age from which a front's report of its sessions is taken at its worst.
	Stale  Time
	RackKB float64
	Draw   func() uint64 // random numbers
	Log    raft.Logger
}

// Spans of the dialogue.
const (
	TickEvery    = 100 * millisecond // of the quorum: call Tick this often
	planEvery    = 500 * millisecond
	partEvery    = 5 * second        // a front tells the leader what stands where
	quickEvery   = 500 * millisecond // and at once after a change that work waits for, but no more often
	askEvery     = 1 * second        // commands and questions of a start are repeated
	pushEvery    = 1 * second        // what a follower has not acknowledged is sent again
	pollEvery    = 10 * second       // a follower that hears nothing asks a voter
	commandFor   = 10 * second       // a command without an answer has failed
	freshFor     = 15 * second       // what was agreed is known to be new this long after hearing from a voter
	commandsMost = 256
	goneFor      = 60 * second // a front that left is remembered with its sessions
)

// Member is a front that membership knows.
type Member struct {
	Name  string
	Alive bool
	Meta  Meta
}

// Meta is what every front tells all others of itself.
type Meta struct {
	Zone     int              `json:"z,omitempty"`
	Format   int              `json:"v,omitempty"`
	Identity *quorum.Identity `json:"i,omitempty"` // of a voter
	Formed   bool             `json:"f,omitempty"` // it holds the record
}

// Server is a media server on this front's list.
type Server struct {
	ID         uint32
	Rack, Zone int
	KB         float64
	Ready      bool
}

// Standing is what stands on a server from this front.
type Standing struct {
	Sessions int
	KB       float64
	Paid     int
}

// Core is one front's part. One owner drives it.
type Core struct {
	cfg   Config
	now   Time
	state *ledger.State
	heard Time // from a voter, or a majority
	fresh bool // as it was when what is to be kept was told last
	lead  string

	members map[string]Member
	left    map[string]Time // fronts that were here, since when they are gone
	voter   *voter          // nil: this front follows
	follow  follow
	leader  leader

	servers  []Server
	groups   [][]uint32
	mine     map[uint32]Standing
	born     int64
	seq      uint64
	partAt   Time
	partSoon bool

	commands map[string]*command
	whys     map[uint64]upkeep.Answer // as the leader said last,
	whysAt   Time                     // and when
	out      []Effect
	Stats    Stats
}

// Stats counts what peers did, and what was refused of them.
type Stats struct {
	Unreadable, Misplaced, Strangers, Stale, Broken uint64
	Sent, SentBytes, Received, ReceivedBytes        uint64
	LastBad                                         string
}

// Effect is something for the shell to do, in order.
type Effect interface{}

// Effects.
type (
	// Write puts on disk, synced before anything that follows is done. Nil and zero parts stay as they are.
	Write struct {
		Wipe     bool // all but the lives, first
		Identity *quorum.Identity
		Lives    quorum.Lives
		Hard     *pb.HardState
		Snap     *pb.Snapshot
		Entries  []*pb.Entry
		First    uint64 // entries before it are forgotten; 0: none
		State    []byte // a follower's state, to start from
	}
	// Send passes bytes to a member: best effort, in any order, perhaps never. Large ones by stream.
	Send struct {
		To string
		B  []byte
	}
	// Tell has membership tell all others a new Meta.
	Tell struct{ Meta Meta }
	// Keeps says which servers and fronts nothing new may go to, and which are to be taken for just started, since when.
	Keeps struct {
		Servers  map[uint32]uint64
		Until    map[uint32]Time // what stands there is to be gone by then
		Fronts   map[string]uint64
		Returned map[uint32]Time
	}
	// Reply answers a command.
	Reply struct {
		Handle uint64
		Answer ledger.Answer
	}
	// Changed tells of agreed steps, for the log.
	Changed struct{ Change ledger.Change }
	// Note is a line for the log.
	Note struct{ Text string }
)

// Start is what a shell found on disk.
type Start struct {
	Identity quorum.Identity
	Lives    quorum.Lives
	Disk     *quorum.Disk
	State    []byte // a follower's
}

// New makes a front's part in its fleet.
func New(now Time, cfg Config, start Start) (*Core, error) {
	c := &Core{cfg: cfg, now: now, state: ledger.New(), members: map[string]Member{}, left: map[string]Time{}, mine: map[uint32]Standing{},
		commands: map[string]*command{}, leader: leader{parts: map[string]*part{}, failed: map[uint32]Time{}}}
	if slices.Contains(cfg.Voters, cfg.Me) {
		if err := c.startVoter(start); err != nil {
			return nil, err
		}
	} else if s, err := ledger.Restore(start.State); err == nil {
		c.state = s
	}
	c.tellMeta()
	c.keeps()
	return c, nil
}

// Take gives the effects since the last call.
func (c *Core) Take() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) note(text string) { c.do(Note{text}) }

// State is what is agreed, as far as this front knows. It is not to be changed.
func (c *Core) State() *ledger.State { return c.state }

// Fresh tells whether what this front knows is new: a voter or a majority was heard of lately.
func (c *Core) Fresh() bool { return c.heard > 0 && c.now-c.heard < freshFor }

// Lead names the leader as far as it is known.
func (c *Core) Lead() string { return c.lead }

// Tick lets time pass; it is to be called every TickEvery.
func (c *Core) Tick(now Time) {
	c.now = max(c.now, now)
	if c.voter != nil {
		c.tickVoter()
	} else {
		c.tickFollow()
	}
	c.tickParts()
	c.tickCommands()
	c.lapse()
	if c.fresh != c.Fresh() { // what had lapsed counts again
		c.keeps()
	}
}

// Members takes what membership knows.
func (c *Core) Members(now Time, list []Member) {
	c.now = max(c.now, now)
	was := c.members
	c.members = make(map[string]Member, len(list))
	for _, m := range list {
		c.members[m.Name] = m
		if m.Alive {
			delete(c.left, m.Name)
		} else if _, known := c.left[m.Name]; !known {
			c.left[m.Name] = c.now
		}
	}
	for name, m := range was {
		if _, still := c.members[name]; !still && m.Alive {
			c.left[name] = c.now
		}
	}
	for name, at := range c.left {
		if c.now-at > goneFor {
			delete(c.left, name)
			delete(c.leader.parts, name)
		}
	}
	c.metaChanged()
}

// Alive tells how many fronts are here, this one included.
func (c *Core) Alive() int {
	n := 1
	for _, m := range c.members {
		if m.Alive && m.Name != c.cfg.Me {
			n++
		}
	}
	return n
}

// Servers takes this front's list, sorted by ID, and the sets of servers that hold titles.
func (c *Core) Servers(now Time, list []Server, groups [][]uint32) {
	c.now = max(c.now, now)
	c.servers, c.groups = list, groups
	c.sawServers()
}

// Mine takes what stands on servers from this front.
func (c *Core) Mine(now Time, mine map[uint32]Standing) {
	c.now = max(c.now, now)
	kept, _ := c.state.Kept()
	for id := range kept {
		if c.mine[id].Sessions > 0 && mine[id].Sessions == 0 {
			c.partSoon = true // work may wait for this
		}
	}
	c.mine = mine
}

// ---- What is sent ----

// A message is a letter for its kind and the bytes of a library's own message, or JSON.
const (
	msgRaft    = 'r' // between voters: raftpb.Message
	msgLife    = 'l' // a voter that starts asks the others whether they know a later life of its disk
	msgKnown   = 'k' // and is told
	msgPart    = 'p' // what stands where, to the leader
	msgCommand = 'c' // an entry to be agreed on, to a voter
	msgFetch   = 'f' // a follower tells how far it has come: raftpb.Message
	msgWhy     = 'w' // to the leader: why do works wait?
	msgBecause = 'b' // its answer
	msgAgreed  = 'a' // and is sent what was agreed since: raftpb.Message, its Snapshot or its Entries
)

// MessageMost bounds a message.
const MessageMost = 8 << 20

func (c *Core) send(to string, kind byte, b []byte) {
	if to == c.cfg.Me || to == "" {
		return
	}
	c.Stats.Sent++
	c.Stats.SentBytes += uint64(len(b) + 1)
	c.do(Send{to, append([]byte{kind}, b...)})
}

func (c *Core) sendJSON(to string, kind byte, v any) {
	if b, err := json.Marshal(v); err == nil {
		c.send(to, kind, b)
	}
}

// bad counts a message that can't be used.
func (c *Core) bad(n *uint64, from string, err error) {
	*n++
	c.Stats.LastBad = from + ": " + err.Error()
}

// voterID is a voter's id for a new disk: its upper half tells the name, so that a replaced disk's id is known as such.
func voterID(name string, draw uint64) uint64 {
	return uint64(nameHash(name))<<32 | draw&(1<<32-1)
}

func nameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// named finds the voter that an id belongs to.
func (c *Core) named(id uint64) string {
	for _, v := range c.cfg.Voters {
		if uint64(nameHash(v)) == id>>32 {
			return v
		}
	}
	return ""
}

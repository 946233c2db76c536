// Package core implements one front's membership in its fleet: the member list, the replicated record and the
// maintenance work recorded in it. It is a pure state machine: events and the time go in, effects come out. It owns no
// socket, disk, clock or goroutine; its shell is internal/fleet/node. Which work is granted and when is decided in
// decide/upkeep. It may import decide, ledger and quorum.
//
// A front has one of three roles: voters replicate the record among themselves; one of them is the leader and plans
// work; all other fronts are followers, to which the voters send committed entries. A front that receives nothing
// continues with the state that it has (see Reservations).
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

// Time is a point of time or a duration in nanoseconds. Points of time are Unix time.
type Time = int64

// Units of time.
const (
	millisecond Time = 1_000_000
	second      Time = 1_000_000_000
)

// Config holds the settings of a Core.
type Config struct {
	Name     string
	Zone     int
	Cluster  string   // the fleet's name
	Voters   []string // names of the fronts that vote, the same on every front
	Limits   upkeep.Limits
	Timeouts upkeep.Timeouts
	// StaleAfter is the age from which a front's report of its sessions is replaced by its recent maxima.
	StaleAfter Time
	RackKB     float64
	Random     func() uint64 // returns a random number
	Log        raft.Logger
}

// Intervals and limits of the protocol between fronts.
const (
	TickInterval         = 100 * millisecond // interval at which Tick is to be called
	planInterval         = 500 * millisecond
	reportInterval       = 5 * second        // a front reports its sessions by server to the leader
	urgentReportInterval = 500 * millisecond // minimum between reports after a change that work may wait for
	retryInterval        = 1 * second        // commands, start-up queries and proposals are repeated
	pushInterval         = 1 * second        // updates that a follower has not acknowledged are sent again
	pollInterval         = 10 * second       // a follower that receives nothing requests updates from a voter
	commandTimeout       = 10 * second       // a command without a reply fails after this
	freshWindow          = 15 * second       // the state counts as fresh for this long after contact with a voter
	maxCommands          = 256
	leftFrontTTL         = 60 * second // a front that left is kept with its sessions for this long
)

// Member is a front in the member list.
type Member struct {
	Name  string
	Alive bool
	Meta  Meta
}

// Meta is what every front announces about itself to all others.
type Meta struct {
	Zone     int              `json:"z,omitempty"`
	Format   int              `json:"v,omitempty"`
	Identity *quorum.Identity `json:"i,omitempty"` // voters only
	Formed   bool             `json:"f,omitempty"` // the voter holds the record
}

// Server is a media server on this front's server list.
type Server struct {
	ID         uint32
	Rack, Zone int
	LinkKB     float64
	Ready      bool
}

// ServerLoad is the load of one front's sessions on one server.
type ServerLoad struct {
	Sessions int
	KB       float64
	Paid     int
}

// Core is one front's state in its fleet. It is not safe for use by several goroutines.
type Core struct {
	cfg           Config
	now           Time
	state         *ledger.State
	lastContactAt Time // last contact with a voter, or on the leader with a majority
	wasFresh      bool // value of Fresh when Reservations were last emitted
	leaderName    string

	members  map[string]Member
	leftAt   map[string]Time // fronts that left, by the time they left
	voter    *voter          // nil: this front is a follower
	follower followerState
	leader   leaderState

	servers    []Server
	groups     [][]uint32
	ownLoad    map[uint32]ServerLoad
	startedAt  int64
	seq        uint64
	reportedAt Time
	reportSoon bool

	commands      map[string]*command
	waitReasons   map[uint64]upkeep.Answer // most recent reply of the leader,
	waitReasonsAt Time                     // and when it came
	effects       []Effect
	Stats         Stats
}

// Stats counts messages sent and received, and messages of peers that were rejected.
type Stats struct {
	Unreadable, Misplaced, Strangers, Stale, Broken uint64
	Sent, SentBytes, Received, ReceivedBytes        uint64
	LastBad                                         string
}

// Effect is an action that the shell carries out, in order.
type Effect interface{}

// The effects.
type (
	// Write stores data on disk, synced before the effects after it are carried out. Nil and zero parts stay unchanged.
	Write struct {
		Wipe         bool // first deletes everything but the incarnations
		Identity     *quorum.Identity
		Incarnations quorum.Incarnations
		Hard         *pb.HardState
		Snap         *pb.Snapshot
		Entries      []*pb.Entry
		FirstIndex   uint64 // entries before it are deleted; 0: none
		State        []byte // a follower's state, for its next start
	}
	// Send sends a message to a member, best effort: it may be reordered or lost. Large messages use a stream.
	Send struct {
		To   string
		Data []byte
	}
	// AnnounceMeta announces a new Meta to all other members.
	AnnounceMeta struct{ Meta Meta }
	// Reservations lists the servers and fronts that take no new sessions, by the work that reserves each, and the
	// servers that count as just started, with the time they came back.
	Reservations struct {
		Servers   map[uint32]uint64
		Deadlines map[uint32]Time // sessions there are to have moved or ended by then
		Fronts    map[string]uint64
		Returned  map[uint32]Time
	}
	// Reply carries the result of a command.
	Reply struct {
		Handle uint64
		Result ledger.CommandResult
	}
	// PhaseChanged reports a committed change of phase, for the log.
	PhaseChanged struct{ Change ledger.Change }
	// LogMessage is a message for the log.
	LogMessage struct{ Text string }
)

// StoredState is the data that the shell read from disk.
type StoredState struct {
	Identity     quorum.Identity
	Incarnations quorum.Incarnations
	Disk         *quorum.Disk
	State        []byte // a follower's state
}

// New returns the Core of a front.
func New(now Time, cfg Config, start StoredState) (*Core, error) {
	c := &Core{cfg: cfg, now: now, state: ledger.New(), members: map[string]Member{}, leftAt: map[string]Time{},
		ownLoad: map[uint32]ServerLoad{}, commands: map[string]*command{},
		leader: leaderState{reports: map[string]*report{}, failedAt: map[uint32]Time{}}}
	if slices.Contains(cfg.Voters, cfg.Name) {
		if err := c.startVoter(start); err != nil {
			return nil, err
		}
	} else if s, err := ledger.Restore(start.State); err == nil {
		c.state = s
	}
	c.announceMeta()
	c.emitReservations()
	return c, nil
}

// TakeEffects returns the effects since the last call.
func (c *Core) TakeEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(text string) { c.emit(LogMessage{text}) }

// State returns this front's copy of the replicated state. The caller must not change it.
func (c *Core) State() *ledger.State { return c.state }

// Fresh reports whether this front's state is current: a voter or a majority was in contact within freshWindow.
func (c *Core) Fresh() bool { return c.lastContactAt > 0 && c.now-c.lastContactAt < freshWindow }

// Leader returns the name of the leader, empty if unknown.
func (c *Core) Leader() string { return c.leaderName }

// Tick advances the time; it is to be called every TickInterval.
func (c *Core) Tick(now Time) {
	c.now = max(c.now, now)
	if c.voter != nil {
		c.tickVoter()
	} else {
		c.tickFollower()
	}
	c.tickReports()
	c.tickCommands()
	c.checkExpired()
	if c.wasFresh != c.Fresh() { // reservations that had expired apply again
		c.emitReservations()
	}
}

// SetMembers replaces the member list.
func (c *Core) SetMembers(now Time, list []Member) {
	c.now = max(c.now, now)
	previous := c.members
	c.members = make(map[string]Member, len(list))
	for _, m := range list {
		c.members[m.Name] = m
		if m.Alive {
			delete(c.leftAt, m.Name)
		} else if _, known := c.leftAt[m.Name]; !known {
			c.leftAt[m.Name] = c.now
		}
	}
	for name, m := range previous {
		if _, still := c.members[name]; !still && m.Alive {
			c.leftAt[name] = c.now
		}
	}
	for name, at := range c.leftAt {
		if c.now-at > leftFrontTTL {
			delete(c.leftAt, name)
			delete(c.leader.reports, name)
		}
	}
	c.recordIncarnations()
}

// AliveFronts returns the number of live fronts, this one included.
func (c *Core) AliveFronts() int {
	n := 1
	for _, m := range c.members {
		if m.Alive && m.Name != c.cfg.Name {
			n++
		}
	}
	return n
}

// SetServers replaces this front's server list, sorted by ID, and the sets of servers that hold titles together.
func (c *Core) SetServers(now Time, list []Server, groups [][]uint32) {
	c.now = max(c.now, now)
	c.servers, c.groups = list, groups
	c.updateFailedServers()
}

// SetOwnLoad replaces the load of this front's sessions, by server.
func (c *Core) SetOwnLoad(now Time, load map[uint32]ServerLoad) {
	c.now = max(c.now, now)
	reserved, _ := c.state.Reserved()
	for id := range reserved {
		if c.ownLoad[id].Sessions > 0 && load[id].Sessions == 0 {
			c.reportSoon = true // work may wait for this
		}
	}
	c.ownLoad = load
}

// ---- Messages ----

// A message is one byte for its kind, followed by a raftpb.Message, an encoded ledger entry or JSON.
const (
	msgRaft             = 'r' // between voters: raftpb.Message
	msgIncarnation      = 'l' // from a voter that starts: does the receiver know a later incarnation of its disk?
	msgIncarnationReply = 'k' // reply to msgIncarnation
	msgReport           = 'p' // to the leader: a front's sessions by server
	msgCommand          = 'c' // to a voter: an entry to propose
	msgFetch            = 'f' // to a voter: the index that a follower has applied; raftpb.Message
	msgWaitRequest      = 'w' // to the leader: a request for the reasons why work waits
	msgWaitReply        = 'b' // reply to msgWaitRequest
	msgUpdate           = 'a' // to a follower: entries or a snapshot after its index; raftpb.Message
)

// MaxMessageBytes limits the size of a message.
const MaxMessageBytes = 8 << 20

func (c *Core) send(to string, kind byte, b []byte) {
	if to == c.cfg.Name || to == "" {
		return
	}
	c.Stats.Sent++
	c.Stats.SentBytes += uint64(len(b) + 1)
	c.emit(Send{to, append([]byte{kind}, b...)})
}

func (c *Core) sendJSON(to string, kind byte, v any) {
	if b, err := json.Marshal(v); err == nil {
		c.send(to, kind, b)
	}
}

// countBad counts a rejected message and keeps its error for Stats.
func (c *Core) countBad(n *uint64, from string, err error) {
	*n++
	c.Stats.LastBad = from + ": " + err.Error()
}

// voterID returns a voter's ID for a new disk. The upper half is a hash of the name, so that the IDs of one voter's
// replaced disks are recognized.
func voterID(name string, random uint64) uint64 {
	return uint64(nameHash(name))<<32 | random&(1<<32-1)
}

func nameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// voterName returns the name of the voter that an ID belongs to, empty if none.
func (c *Core) voterName(id uint64) string {
	for _, v := range c.cfg.Voters {
		if uint64(nameHash(v)) == id>>32 {
			return v
		}
	}
	return ""
}

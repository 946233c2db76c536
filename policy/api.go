// Package policy decides where a media session plays, at which rung, and when it moves.
// This file is the whole interface: settings and events in, actions out. Decisions are in the files that deploy/balancer.toml names.
package policy

// Time is a clock reading or a span, in nanoseconds.
type Time = int64

// Handy spans.
const (
	Millisecond Time = 1_000_000
	Second      Time = 1_000_000_000
)

// Settings is what a front is told when it starts. Absent figures are zero.
type Settings struct {
	Me, Fleet  int // this front's number, and how many fronts there are
	Zone       int
	Classes    []Class
	Tenants    []Tenant
	OverShare  float64   // worth of traffic beyond a tenant's share, as a part of the usual
	RungKB     []float64 // the ladder of rates, kB a second, lowest first
	RungWorth  []float64 // what each rung earns
	FleetKB    float64   // all links together
	RackKB     float64   // mean uplink of a rack
	WeightKB   float64   // link of a server for each unit of its size
	Racks      int
	Cells      int
	KindSlots  []float64 // streams a server of each kind runs at most
	SeeLate    Time      // how late short-delivery notes come
	TellEvery  Time      // time between use notes; 0: none
	FullFrom   float64   // servers turn set-ups away from this use of their link; 0: never
	StallCost  float64   // points lost for each point of the rate that is missing
	ChangeCost float64   // seconds of worth that a change of rung costs
	Join       float64   // what a further viewer of a live title adds; 1: nothing is shared

	Fields      []Field // the values of a load report, in order
	Inline      bool    // reports come with outcomes
	MayProbe    bool
	MaxAttempts int
	ConnectWait Time
	RetryAfter  bool
	MaxRetry    Time // longest come-back time that viewers honour

	AskList              bool // the server list must be asked for
	DrainGrace           Time
	ColdSpan, FallSpan   Time    // a cold server warms within ColdSpan; overload counts over FallSpan
	ColdFrom, ColdTimes  float64 // capacity at the start, and the multiple that pushes a server over
	Budgeted             bool    // further attempts are rationed
	SpareAttempts, Ratio float64
	BudgetSpan           Time

	PriceMove, PriceProbe, PriceCross float64 // per session moved, probed or crossing zones
	LateFail                          float64
}

// Field names a value of a load report.
type Field uint8

// The values a report may hold; others are carried but not read.
const (
	FieldOther  Field = iota
	FieldUtil         // share of the link that is asked, 1 at most
	FieldLink         // what is asked of the link over what it gives
	FieldUplink       // the same for the rack's uplink
)

// Class is a kind of session.
type Class struct {
	Aim, Deadline Time
	Paid          bool // must not be set up twice
	Worth         float64
	Scale         float64 // its rates over those of the ladder
	Floor, Top    int     // rungs
	Seats         int     // sessions of one title a front may hold; 0: no cap
	Live          bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	PerSecond float64 // requests a second, over all fronts, within its share
}

// Event is something that happened to this front.
type Event interface{}

// ListKind tells how a List is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // changes only
	ListFailed                 // the list could not be had; the old one stands
	ListCached                 // complete, perhaps old
	ListFull                   // complete
)

// Health is what the server list says of a process.
type Health uint8

// States of a listed server.
const (
	Ready Health = iota
	Draining
	Removed
)

// Entry is a server on the list.
type Entry struct {
	Server  uint32
	Zone    int
	Kind    int
	Cell    int
	Health  Health
	Size    float64
	Started Time // 0: long ago
}

// List brings the server list or changes to it.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Ask is what a viewer wants.
type Ask struct {
	ID       uint64
	Title    uint64
	Viewer   uint64 // the same when the viewer comes again
	Class    int
	Tenant   int
	Home     int      // first cell that holds the title
	Copies   int      // cells in a row that hold it
	Holders  []Holder // in place of both, if not nil
	Top      int      // highest rung the viewer can use
	Deadline Time
	Length   Time // expected length; meaningful if Hinted
	Hinted   bool
	Moved    bool // comes back from a move by this front
	Again    bool // not the first try
}

// Holder is a server that holds a title, up to a rung.
type Holder struct {
	Server uint32
	Top    int
}

// Request is a new session to place.
type Request struct{ Ask }

// Handed is a session that plays already when the front starts.
type Handed struct {
	Ask
	Server uint32
}

// Playing tells that the session has started.
type Playing struct {
	ID      uint64
	Attempt int
	Server  uint32
	Took    Time
}

// NoteKind tells what a Note's value is.
type NoteKind uint8

// The kinds of note.
const (
	NoteShare  NoteKind = 1 // share of the rate delivered
	NoteRung   NoteKind = 2 // rung in force
	NoteLink   NoteKind = 3 // link asked over link given
	NoteUplink NoteKind = 4 // the same for the rack's uplink
)

// Note is news on a session under way.
type Note struct {
	ID      uint64
	Attempt int
	Server  uint32
	Kind    NoteKind
	Value   float64
}

// Status is how an attempt or a probe ended.
type Status uint16

// How attempts end.
const (
	OK          Status = 0
	Errored     Status = 5
	Full        Status = 11  // never ran
	ResetConn   Status = 104 // may have run
	TimedOut    Status = 110 // may have run
	NoConnect   Status = 111 // never ran
	Moot        Status = 114 // never ran
	CancelledSt Status = 125
)

// Outcome ends an attempt, or the session that it started.
type Outcome struct {
	ID      uint64
	Attempt int
	Server  uint32
	Status  Status
	Took    Time
	Final   bool // the request is over
	Report  []float64
}

// Gone tells that the viewer left.
type Gone struct{ ID uint64 }

// Alarm is a timer that fell due.
type Alarm struct{ Token uint32 }

// Probed is the result of a probe.
type Probed struct {
	Server uint32
	Status Status
	Took   Time
	Report []float64
}

// Action is something this front wants done.
type Action interface{}

// Send asks a server to start a session.
type Send struct {
	ID      uint64
	Server  uint32
	Timeout Time
}

// Refuse turns a request away; After is a come-back time, 0 for none.
type Refuse struct {
	ID    uint64
	After Time
}

// Fail ends a request with no word on what ran.
type Fail struct{ ID uint64 }

// Cancel ends the wait on an attempt; its Outcome still comes.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Move takes a playing session off its server; the viewer comes back as a new Request.
type Move struct{ ID uint64 }

// Rate sets a session's rung.
type Rate struct {
	ID   uint64
	Rung int
}

// Timer asks for an Alarm.
type Timer struct {
	Token uint32
	After Time
}

// Follow asks for the server list and its changes.
type Follow struct{}

// Probe asks a server for its load.
type Probe struct{ Server uint32 }

// Log puts a line in the operators' log.
type Log struct{ Text string }

// Vacate tells that a server is to be empty by a time: its sessions that would last longer are moved, paced, as others have
// room. Until 0 takes that back. That nothing new goes there is the list's word (Draining).
type Vacate struct {
	Server uint32
	Until  Time
}

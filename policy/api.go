// Package policy decides where a media session plays, at which rung, and when it moves. This file is the
// whole interface: settings and events in, actions out. The decisions are in the files listed in
// deploy/balancer.toml.
package policy

// Time is a point of time or a duration, in nanoseconds.
type Time = int64

// Common durations.
const (
	Millisecond Time = 1_000_000
	Second      Time = 1_000_000_000
)

// Settings are the settings of a front, fixed at its start. Absent numbers are zero.
type Settings struct {
	FrontIndex, Fronts int // index of this front, and number of fronts
	Zone               int
	Classes            []Class
	Tenants            []Tenant
	OverShareWorth     float64   // worth of traffic over a tenant's share, as a part of the normal worth
	RungKB             []float64 // rate ladder, in kB a second, lowest first
	RungWorth          []float64 // worth of each rung
	FleetKB            float64   // capacity of all links together
	RackKB             float64   // mean capacity of a rack's uplink
	WeightKB           float64   // link capacity of a server for each unit of its size
	Racks              int
	Cells              int
	KindSlots          []float64 // maximum number of streams on a server of each kind
	NoteDelay          Time      // delay of notes on low delivered shares
	NoteInterval       Time      // interval of notes on use; 0: none
	FullThreshold      float64   // use of their link from which servers refuse set-ups; 0: never
	StallCost          float64   // points lost for each point of the rate that is not delivered
	ChangeCost         float64   // cost of a change of rung, in seconds of worth
	ExtraViewerCost    float64   // load that a further viewer of a live title adds; 1: nothing is shared

	Fields         []Field // values of a load report, in order
	InlineReports  bool    // outcomes carry load reports
	MayProbe       bool
	MaxAttempts    int
	ConnectTimeout Time
	RetryAfter     bool
	MaxRetryAfter  Time // longest retry delay that viewers honour

	SubscribeList                bool // the server list must be requested
	DrainGrace                   Time
	WarmupTime, OverloadWindow   Time    // warm-up of a cold server; window in which overload counts
	ColdCapacity, OverloadFactor float64 // capacity at the start, and the multiple of it that overloads
	RetriesLimited               bool    // retries have a budget: spare ones, and a ratio of the requests
	SpareRetries, RetryRatio     float64
	RetryWindow                  Time

	PriceMove, PriceProbe, PriceCrossZone float64 // per move, probe or session in another zone
	PriceLateFail                         float64
}

// Field identifies a value of a load report.
type Field uint8

// Fields of a load report. FieldOther is ignored.
const (
	FieldOther  Field = iota
	FieldUtil         // demand on the link over its capacity, at most 1
	FieldLink         // demand on the link over its capacity
	FieldUplink       // the same for the rack's uplink
)

// Class is a class of sessions.
type Class struct {
	SetupTarget, Deadline Time
	Paid                  bool // must not be set up twice
	Worth                 float64
	Scale                 float64 // factor of its rates over those of the ladder
	Floor, Top            int     // rungs
	Seats                 int     // maximum number of sessions of one title on a front; 0: no limit
	Live                  bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	PerSecond float64 // its share: requests a second over all fronts
}

// Event is an input of the front.
type Event interface{}

// ListKind is the kind of a List.
type ListKind uint8

// Kinds of lists.
const (
	ListDelta  ListKind = iota // changes only
	ListFailed                 // the list is not available; the old one stays in force
	ListCached                 // complete, may be old
	ListFull                   // complete
)

// Health is the health of a server process on the list.
type Health uint8

// Health states of a listed server.
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

// List is an event with the server list or changes to it.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// SessionSpec has the parameters of a session as requested by a viewer.
type SessionSpec struct {
	ID       uint64
	Title    uint64
	Viewer   uint64 // the same on retries and after a move
	Class    int
	Tenant   int
	Home     int      // first cell that holds the title
	Copies   int      // number of consecutive cells that hold it
	Holders  []Holder // replaces Home and Copies if not nil
	Top      int      // highest rung the viewer can use
	Deadline Time
	Length   Time // expected length; meaningful if Hinted
	Hinted   bool
	Moved    bool // request after a move by this front
	Again    bool // repeated request
}

// Holder is a server that holds a title, up to a rung.
type Holder struct {
	Server uint32
	Top    int
}

// Request is an event: a new session is to be placed.
type Request struct{ SessionSpec }

// Restored is an event: a session was already playing when the front started.
type Restored struct {
	SessionSpec
	Server uint32
}

// Playing is an event: a session has started.
type Playing struct {
	ID      uint64
	Attempt int
	Server  uint32
	Took    Time
}

// NoteKind is the kind of a Note's value.
type NoteKind uint8

// Kinds of notes.
const (
	NoteShare  NoteKind = 1 // delivered share of the rate
	NoteRung   NoteKind = 2 // rung in force
	NoteLink   NoteKind = 3 // use of the link: demand over capacity
	NoteUplink NoteKind = 4 // the same for the rack's uplink
)

// Note is an event: a server sent a value about a playing session.
type Note struct {
	ID      uint64
	Attempt int
	Server  uint32
	Kind    NoteKind
	Value   float64
}

// Status is the result of an attempt or a probe.
type Status uint16

// Results of attempts and probes. The comments tell whether the set-up ran at the server.
const (
	OK        Status = 0
	Errored   Status = 5
	Full      Status = 11  // never ran
	ConnReset Status = 104 // may have run
	TimedOut  Status = 110 // may have run
	NoConnect Status = 111 // never ran
	NotSent   Status = 114 // never ran
	Cancelled Status = 125
)

// Outcome is an event: an attempt, or the session that it started, has ended.
type Outcome struct {
	ID      uint64
	Attempt int
	Server  uint32
	Status  Status
	Took    Time
	Final   bool // the request is over
	Report  []float64
}

// ViewerLeft is an event: the viewer left.
type ViewerLeft struct{ ID uint64 }

// TimerFired is an event: a Timer expired.
type TimerFired struct{ Token uint32 }

// Probed is an event: the result of a probe.
type Probed struct {
	Server uint32
	Status Status
	Took   Time
	Report []float64
}

// Action is an output of the front, to be carried out by the caller.
type Action interface{}

// Send asks a server to start a session.
type Send struct {
	ID      uint64
	Server  uint32
	Timeout Time
}

// Refuse refuses a request; After is the delay before a retry, 0 for none.
type Refuse struct {
	ID    uint64
	After Time
}

// Fail fails a request; an attempt may have run.
type Fail struct{ ID uint64 }

// Cancel cancels an attempt; its Outcome still follows.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Move takes a playing session off its server; the viewer returns with a new Request.
type Move struct{ ID uint64 }

// Rate sets a session's rung.
type Rate struct {
	ID   uint64
	Rung int
}

// Timer requests a TimerFired with the token after a delay.
type Timer struct {
	Token uint32
	After Time
}

// Subscribe requests the server list and its changes.
type Subscribe struct{}

// Probe requests a load report from a server.
type Probe struct{ Server uint32 }

// Log writes a line to the operators' log.
type Log struct{ Text string }

// Vacate is an event: a server is to be empty by a deadline. Sessions that would last longer are moved, at
// a limited rate, as other servers have spare capacity. Until 0 cancels it. New sessions are kept off by
// the server list (Draining), not by this event.
type Vacate struct {
	Server uint32
	Until  Time
}

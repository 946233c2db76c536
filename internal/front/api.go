// Package front is the session front's core: a pure state machine round the decision module. Events go in, effects
// come out, time is passed in. It does no I/O, reads no clock and starts nothing, so that one core runs in the
// real front, in the exhaustive check and in models, and any run replays.
//
// The module (policy.Front) decides where a session plays, at which rung, and when it moves or is turned away. The
// core keeps the records that this needs on real connections, and the last line of the rules: one answer a
// request, never two attempts out, nothing to a server that is not ready, no paid set-up twice.
//
// This file is the interface; core.go takes events in, carry.go carries the module's decisions out, timers.go
// keeps its time.
package front

import (
	"tealledge/decide/fate"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds; readings are above 0.
type Time = policy.Time

// Module is what decides: policy.Front, or a baseline to compare it with.
type Module interface {
	Handle(now Time, event policy.Event) []policy.Action
}

// Config is what a core is started with.
type Config struct {
	Settings policy.Settings
	Module   Module
	FirstID  uint64        // ids of sessions count up from here; a later start of the same front must begin above
	Token    func() uint64 // draws tokens; nobody must be able to guess them

	AnswerMargin Time // the module is told a deadline this much earlier, so that its answer arrives in time
	LastLine     Time // a request still unanswered this long before its deadline is failed by the core
	MovedFor     Time // a moved player's token is good for so long
	MovedMost    int  // tokens remembered
	ResumeFor    Time // a session outlives its player's connection so long; 0: not at all

	// KnownViewers tells that viewers are known by their numbers: one that was moved is known when it comes again, and
	// needs no token.
	KnownViewers bool
}

// Event is something that happened.
type Event interface{}

// Ask is a player's request for a session.
type Ask struct {
	Player   uint64 // the shell's handle for where the answer goes; the core only hands it back
	Read     Time   // when its last byte was read
	Wait     Time   // the player waits so long from then; at most the class's deadline is taken
	Title    uint64
	Home     int
	Copies   int
	Holders  []policy.Holder // in place of Home and Copies, if not nil
	Name     string          // of the title at servers; "": the desk knows it by its number
	Class    int
	Tenant   int
	Viewer   uint64
	Top      int
	Length   Time
	Hinted   bool
	Again    bool
	Token    uint64 // from a Moved; 0: none
	ID       uint64 // the session's, if the player names it; it must not be Known. 0: the core counts
	Text     string // a description for the server, passed on unchanged until the session plays
	Draining bool   // set by the shell: nothing new is begun any more
}

// Leave tells that a player closed its session or is gone.
type Leave struct{ Session uint64 }

// Began tells that an attempt plays.
type Began struct {
	Session uint64
	Attempt int
	Took    Time
	Report  []float64 // in the order of Settings.Fields; nil: none
	Text    string    // the server's description, passed on unchanged
}

// Ended tells that an attempt ended, or the stream that it started. Exactly one follows each Setup.
type Ended struct {
	Session uint64
	Attempt int
	Status  policy.Status
	Took    Time
	Report  []float64
}

// Note is a server's news on a stream.
type Note struct {
	Session uint64
	Attempt int
	Kind    policy.NoteKind
	Value   float64
}

// Probed is the result of a Probe.
type Probed struct {
	Server uint32
	Status policy.Status
	Took   Time
	Report []float64
}

// Listed brings the server list or changes to it.
type Listed struct{ policy.List }

// Vacate tells that a server is to be empty by a time.
type Vacate struct{ policy.Vacate }

// CloseAll ends all sessions: the front leaves.
type CloseAll struct{}

// Effect is something that the shell is to do.
type Effect interface{}

// Setup starts an attempt at a server.
type Setup struct {
	Session uint64
	Attempt int
	Server  uint32
	Title   uint64
	Class   int
	Viewer  uint64
	Rung    int
	Name    string // of the title; "": known by its number
	Text    string // the player's description
	Within  Time   // the front waits so long
}

// Abandon ends the wait on an attempt that is out. The shell answers with its Ended; the server is told to tear
// down whatever comes of it.
type Abandon struct {
	Session uint64
	Attempt int
	Server  uint32
	Cause   fate.Cause
}

// Withdraw takes back set-ups for a server that were not sent yet; each gets its Ended.
type Withdraw struct{ Server uint32 }

// Stop tears down a stream that plays.
type Stop struct {
	Session uint64
	Attempt int
	Server  uint32
	Moved   bool // its player is told to come again
}

// SetRung sets the rung of a stream that plays.
type SetRung struct {
	Session uint64
	Attempt int
	Server  uint32
	Rung    int
}

// Probe asks a server for its load.
type Probe struct{ Server uint32 }

// Follow asks for the server list.
type Follow struct{}

// Plays, Refused and Failed answer a request: exactly one of them for each Ask whose player stays.
type Plays struct {
	Player  uint64
	Session uint64
	Server  uint32
	Rung    int
	Token   uint64 // for Resume
	Text    string // the server's description
}

// Refused turns a request away; After is a come-back time, 0 for none.
type Refused struct {
	Player  uint64
	Session uint64
	After   Time
}

// Failed ends a request with no word on what ran.
type Failed struct {
	Player  uint64
	Session uint64
}

// RungTold tells a player of a new rung.
type RungTold struct {
	Player, Session uint64
	Rung            int
}

// Moved tells a player to come again; Token marks it as moved.
type Moved struct{ Player, Session, Token uint64 }

// Over tells a player that its stream ended.
type Over struct {
	Player, Session uint64
	Why             Why
}

// Why a stream ended.
type Why string

// Why streams end.
const (
	WhyEnd     Why = "end"     // the title is over
	WhyLost    Why = "lost"    // the server or the connection to it is lost
	WhyLeaving Why = "leaving" // the front leaves service
	WhyLeft    Why = "left"    // its player was gone too long, or asked anew
)

// Log is a line of the module for the operators' log.
type Log struct{ Text string }

// Fault is a fault of this software that the last line caught; none may ever be seen.
type Fault struct{ Text string }

// Stats counts what the core did since its start.
type Stats struct {
	Taken, Plays, Refused, Failed, Left uint64
	Attempts, Further, Moves, Probes    uint64
	Lost, Resumed, Adopted, Faults      uint64
}

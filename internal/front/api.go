// Package front is the core of a session front: a pure state machine around the decision module. It takes events and
// the current time and returns effects. It does no I/O, reads no clock and starts no goroutines, so the same core runs
// in the real front, in the exhaustive check and in models, and every run can be replayed.
//
// The module (policy.Front) decides where a session plays, at which rung, and when it is moved or refused. The core
// keeps the session records that real connections need, and enforces the safety rules whatever the module decides: one
// answer per request, at most one attempt in flight per session, no set-up at a server that is not ready, and no second
// set-up of a paid session that may have run.
//
// This file declares the interface. core.go handles events, actions.go executes the module's decisions, restore.go and
// resume.go handle sessions after a restart and after a lost connection, leaving.go the end of the front, and timers.go
// holds the timers.
package front

import (
	"tealledge/decide/outcome"
	"tealledge/decide/shutdown"
	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds; points of time are above 0.
type Time = policy.Time

// Module makes the decisions: policy.Front, or a baseline for comparison.
type Module interface {
	Handle(now Time, event policy.Event) []policy.Action
}

// Config configures a core.
type Config struct {
	Settings policy.Settings
	Module   Module
	FirstID  uint64        // session IDs count up from here; a restarted front must begin above its earlier IDs
	NewToken func() uint64 // generates a token that can't be guessed

	AnswerMargin   Time // subtracted from the deadline that the module gets, so that its answer arrives in time
	FailsafeMargin Time // the core fails a request that is still unanswered this long before its deadline
	MoveTokenTTL   Time // validity of a moved player's token
	MaxMoveTokens  int  // maximum number of tokens kept
	ResumeWindow   Time // how long a session outlives its player's connection; 0: not at all

	// TrustViewerIDs makes the viewer ID alone identify a moved viewer when it asks again; no token is needed.
	TrustViewerIDs bool
}

// Event is an input of the core.
type Event interface{}

// Request is a player's request for a session.
type Request struct {
	Player   uint64 // the shell's handle for the recipient of the answer; opaque to the core
	ReadAt   Time   // when the last byte of the request was read
	Timeout  Time   // how long the player waits from ReadAt; capped at the class's deadline
	Title    uint64
	Home     int
	Copies   int
	Holders  []policy.Holder // replaces Home and Copies if not nil
	Name     string          // title name at the servers; "": derived from the title number
	Class    int
	Tenant   int
	Viewer   uint64
	Top      int
	Length   Time
	Hinted   bool
	Again    bool
	Token    uint64 // from Moved; 0: none
	ID       uint64 // session ID chosen by the player, which must not be in use (IDInUse); 0: the core assigns one
	Text     string // description for the server, passed on unchanged and dropped once the session plays
	Draining bool   // set by the shell: the front starts no new sessions
}

// Leave reports that a player closed its session or disconnected for good.
type Leave struct{ Session uint64 }

// AttemptStarted reports that an attempt plays.
type AttemptStarted struct {
	Session uint64
	Attempt int
	Took    Time
	Report  []float64 // in the order of Settings.Fields; nil: no report
	Text    string    // the server's description, passed on unchanged
}

// AttemptEnded reports that an attempt, or the stream that it started, ended. Exactly one follows each Setup.
type AttemptEnded struct {
	Session uint64
	Attempt int
	Status  policy.Status
	Took    Time
	Report  []float64
}

// Note is a value that a server reported for a stream.
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

// Listed carries the server list or changes to it.
type Listed struct{ policy.List }

// Vacate requests that a server be empty by a given time.
type Vacate struct{ policy.Vacate }

// CloseAll ends all sessions because the front leaves service.
type CloseAll struct{}

// Shutdown announces that the front ends by a plan. Open and new requests are answered in time for it, and those that
// it leaves too little time are refused. Sessions are not affected. A later Shutdown replaces the plan.
type Shutdown struct{ Plan shutdown.Plan }

// Effect is an output of the core for the shell to carry out.
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
	Name    string // title name; "": derived from the title number
	Text    string // the player's description
	Timeout Time   // how long the front waits for the attempt
}

// Abandon stops waiting for an attempt in flight. The shell replies with its AttemptEnded and makes the server tear
// down any stream that results from the attempt.
type Abandon struct {
	Session uint64
	Attempt int
	Server  uint32
	Cause   outcome.Cause
}

// Withdraw cancels the set-ups for a server that were not sent yet; each gets its AttemptEnded.
type Withdraw struct{ Server uint32 }

// Stop tears down a playing stream.
type Stop struct {
	Session uint64
	Attempt int
	Server  uint32
	Moved   bool // the player is asked to request a session again
}

// SetRung sets the rung of a playing stream.
type SetRung struct {
	Session uint64
	Attempt int
	Server  uint32
	Rung    int
}

// Probe asks a server for its load.
type Probe struct{ Server uint32 }

// Subscribe requests the server list and its changes.
type Subscribe struct{}

// Plays is the answer to a request whose session plays. Each Request gets exactly one of Plays, Refused and Failed,
// unless its player leaves.
type Plays struct {
	Player  uint64
	Session uint64
	Server  uint32
	Rung    int
	Token   uint64 // for Resume
	Text    string // the server's description
}

// Refused is the answer that rejects a request. RetryAfter is the delay before a retry, 0 for none.
type Refused struct {
	Player     uint64
	Session    uint64
	RetryAfter Time
	Reason     AnswerReason
}

// Failed is the answer to a request that failed; it does not say whether a set-up ran.
type Failed struct {
	Player  uint64
	Session uint64
	Reason  AnswerReason
}

// AnswerReason is the reason for which a request was refused or failed, for the log.
type AnswerReason string

// Reasons of refusals and failures.
const (
	ReasonModule       AnswerReason = "module"              // the module decided it
	ReasonMayHaveRun   AnswerReason = "may have run"        // the module's refusal of a paid request is not allowed
	ReasonDraining     AnswerReason = "draining"            // the shell starts no new sessions
	ReasonPastDeadline AnswerReason = "past its deadline"   // the deadline passed before the module got it
	ReasonNoDecision   AnswerReason = "no decision in time" // the module did not answer
	ReasonFrontLeaving AnswerReason = "front leaving"       // the front leaves service
)

// RungChanged notifies a player of a new rung.
type RungChanged struct {
	Player, Session uint64
	Rung            int
}

// Moved asks a player to request a session again; Token identifies it as a moved player.
type Moved struct{ Player, Session, Token uint64 }

// SessionEnded notifies a player that its stream ended.
type SessionEnded struct {
	Player, Session uint64
	Reason          EndReason
}

// EndReason is the reason for which a stream ended.
type EndReason string

// Reasons for which streams end.
const (
	EndReasonFinished     EndReason = "end"     // the title finished
	EndReasonLost         EndReason = "lost"    // the server or the connection to it is lost
	EndReasonFrontLeaving EndReason = "leaving" // the front leaves service
	EndReasonPlayerLeft   EndReason = "left"    // the player left, was disconnected too long, or made a new request
)

// Log is a line from the module for the operators' log.
type Log struct{ Text string }

// Fault reports a bug in the module or the core that a safety rule caught. Correct software emits none.
type Fault struct{ Text string }

// Stats holds the core's counters since its start. Taken counts requests, Left requests whose player left before the
// answer, Further the attempts after a session's first, Lost streams that failed while playing, and Adopted restored
// sessions.
type Stats struct {
	Taken, Plays, Refused, Failed, Left uint64
	Attempts, Further, Moves, Probes    uint64
	Lost, Resumed, Adopted, Faults      uint64
}

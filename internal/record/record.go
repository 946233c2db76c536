// Package record is the format in which stand-ins record what crossed their own sockets: JSON with one event per line
// and one file per stand-in. internal/audit checks the records.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kinds of events.
const (
	// Events of a media server.
	ServerStarted    = "start"    // its process started; Cold: it is cold
	ServerDied       = "die"      // its process died; Text: the reason
	SetupReceived    = "setup"    // a complete SETUP was received
	SetupAnswered    = "answer"   // the response to a SETUP was written; Status; Lost: it was dropped on the way
	StreamStarted    = "play"     // a stream started
	PlayAnswered     = "played"   // the response to its PLAY was written; Lost as above
	RungSet          = "rung"     // a stream's rung was set
	TeardownReceived = "teardown" // a TEARDOWN was received
	StreamEnded      = "end"      // a stream ended
	ServerConnEnded  = "connlost" // a connection closed; requests pending on it have ended
	SegmentRequested = "segment"  // a segment was requested; Status 404: it does not exist
	RateShare        = "share"    // the share of their rate that the server's streams get
	// Events of the list service.
	ServerListed = "told" // a server was reported to a front: Health, StartedAt
	// Events of a player.
	ViewerArrived = "want"  // a viewer's first request; Worth, Length
	RequestSent   = "ask"   // a request was written; Ref names it
	ReplyReceived = "reply" // a reply was read; Text: plays, refused, failed or error
	// A media playlist was read. Ref: its address; Value: its media sequence; Length: its discontinuity sequence;
	// Text: why it is not a playlist.
	PlaylistRead   = "manifest"
	PlayerLeft     = "left"   // the player closed the connection or cancelled the request
	PlayerConnLost = "broken" // the connection was lost
	// Events of upkeep work on machines, and of the relays between fronts.
	WorkRequested  = "asked"   // work was requested; Ref: the command's key; Text: the machines
	WorkEnded      = "ended"   // work ended; Ref: its number; Text: how and why
	ServerTakenOut = "out"     // a server was released for work Ref: it belongs to whoever works on it
	ServerReturned = "back"    // the server was started again
	FrontIsolated  = "deaf"    // a front was cut off from the others: it can't know what they commit
	FrontRejoined  = "heard"   // the front is connected to the others again
	FleetSettled   = "settled" // the fleet is idle: all work is expected to have ended
	// Events of the scripted day.
	AuditRules    = "rules"    // the settings that the audit's rules use; Text: JSON
	FrontStarted  = "frontup"  // a front's process was started
	FrontKilled   = "killed"   // a front's process was killed
	FrontPaused   = "stopped"  // a front's process was paused
	FrontResumed  = "resumed"  // a paused front's process was resumed
	FrontDraining = "leaving"  // a front was told to leave service
	FaultStarted  = "trouble"  // a fault started; Text: its name
	DayFinished   = "finished" // the day is over; a stream that still runs is orphaned
)

// Event is one line of a record.
type Event struct {
	At        int64   `json:"t"` // wall clock, nanoseconds since 1970
	Source    string  `json:"who"`
	Kind      string  `json:"what"`
	Front     string  `json:"front,omitempty"`
	Session   string  `json:"session,omitempty"` // the number in its name, without the front's name
	Attempt   int     `json:"attempt,omitempty"`
	Server    uint32  `json:"server,omitempty"`
	Class     int     `json:"class,omitempty"`
	Title     string  `json:"title,omitempty"`
	Viewer    string  `json:"viewer,omitempty"`
	Ref       string  `json:"call,omitempty"`
	Rung      int     `json:"rung,omitempty"`
	Status    int     `json:"status,omitempty"`
	Health    string  `json:"health,omitempty"`
	StartedAt int64   `json:"started,omitempty"`
	Timeout   int64   `json:"wait,omitempty"` // nanoseconds until the player gives up
	Length    float64 `json:"length,omitempty"`
	Value     float64 `json:"value,omitempty"`
	Top       int     `json:"top,omitempty"`
	Slots     float64 `json:"slots,omitempty"`
	Cold      bool    `json:"cold,omitempty"`
	Lost      bool    `json:"lost,omitempty"`
	Text      string  `json:"text,omitempty"`
}

// AttemptKey returns a string that identifies the event's attempt.
func (e *Event) AttemptKey() string { return fmt.Sprintf("%s/%s/%d", e.Front, e.Session, e.Attempt) }

// Log records events. The zero value and nil discard them; it is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	writer   *bufio.Writer
	closer   io.Closer
	events   []Event
	inMemory bool
	err      error
}

// NewMemory returns a log that keeps events in memory.
func NewMemory() *Log { return &Log{inMemory: true} }

// Create returns a log that writes to a file.
func Create(path string) (*Log, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Log{writer: bufio.NewWriterSize(f, 1<<16), closer: f}, nil
}

// Add records an event; its time is set to now if it has none.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if e.At == 0 {
		e.At = time.Now().UnixNano()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inMemory {
		l.events = append(l.events, e)
	}
	if l.writer != nil && l.err == nil {
		b, err := json.Marshal(&e)
		if err == nil {
			_, err = l.writer.Write(append(b, '\n'))
		}
		l.err = err
	}
}

// Events returns the events kept in memory, sorted by time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortByTime(slices.Clone(l.events))
}

// Close flushes and closes the file and returns the first error of a write.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer == nil {
		return nil
	}
	err := errors.Join(l.err, l.writer.Flush(), l.closer.Close())
	l.writer = nil // later events are discarded
	return err
}

// sortByTime sorts events by time in place; the order of simultaneous events stays.
func sortByTime(list []Event) []Event {
	slices.SortStableFunc(list, func(a, b Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return list
}

// maxLineBytes bounds the length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Read reads a record. name stands for the input in errors.
func Read(name string, r io.Reader) (list []Event, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(strings.TrimSpace(s.Text())) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		list = append(list, e)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return list, nil
}

// ReadDir reads all records (*.jsonl) of a directory, sorted by time.
func ReadDir(dir string) ([]Event, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("no records (*.jsonl) in %s", dir)
	}
	var all []Event
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		list, err := Read(path, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return sortByTime(all), nil
}

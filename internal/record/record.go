// Package record is the form in which stand-ins write down what crossed their own sockets: JSON, one event a line,
// one file a stand-in. internal/audit judges it.
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

// What happened.
const (
	// Of a media server.
	Start    = "start"    // its process started; Cold tells whether it is cold
	Die      = "die"      // its process died; Text tells why
	Setup    = "setup"    // a whole SETUP arrived
	Answer   = "answer"   // the answer to a SETUP was written; Status; Lost: it was dropped on the way
	Play     = "play"     // a stream began
	Played   = "played"   // the answer to its PLAY was written; Lost as above
	Rung     = "rung"     // a stream's rung was set
	Teardown = "teardown" // a TEARDOWN arrived
	End      = "end"      // a stream ended
	ConnLost = "connlost" // a connection ended; what was pending on it is over
	Segment  = "segment"  // a segment was asked for; Status 404: there is none
	Share    = "share"    // the share of their rate that its streams get
	// Of the list.
	Told = "told" // a front was told of a server: Health, Started
	// Of a player.
	Want     = "want"     // a viewer comes for the first time; Worth, Length
	Ask      = "ask"      // a request was written; Call names it
	Reply    = "reply"    // an answer was read: Text is plays, refused, failed or error
	Manifest = "manifest" // a media playlist was read: Call names its address, Value its sequence, Length its discontinuity sequence; Text: why it is none
	Left     = "left"     // the player closed the connection or took the request back
	Broken   = "broken"   // the connection was lost
	// Of whoever works on machines, and of the relays between fronts.
	WorkAsked   = "asked"   // work was asked for; Call is the command's key, Text the machines
	WorkEnded   = "ended"   // it came to an end; Call is its number, Text how and why
	TakenOut    = "out"     // a server was let go for work Call: it is whoever works on it's now
	BroughtBack = "back"    // it was brought up again
	Deaf        = "deaf"    // a front was cut off from the others: it can't know what they agree on
	Heard       = "heard"   // it no longer is
	Sure        = "settled" // all is quiet: works are expected to have ended
	// Of the day.
	Rules    = "rules"    // the settings that the rules go by, in Text as JSON
	FrontUp  = "frontup"  // a front's process was started
	Killed   = "killed"   // and killed
	Stopped  = "stopped"  // stood still from here
	Resumed  = "resumed"  // to here
	Leaving  = "leaving"  // was told to leave service
	Trouble  = "trouble"  // a trouble began; Text names it
	Finished = "finished" // all is over; what streams now is an orphan
)

// Event is one line.
type Event struct {
	T       int64   `json:"t"` // wall clock, nanoseconds
	Who     string  `json:"who"`
	What    string  `json:"what"`
	Front   string  `json:"front,omitempty"`
	Session string  `json:"session,omitempty"` // the number in it, without the front's name
	Attempt int     `json:"attempt,omitempty"`
	Server  uint32  `json:"server,omitempty"`
	Class   int     `json:"class,omitempty"`
	Title   string  `json:"title,omitempty"`
	Viewer  string  `json:"viewer,omitempty"`
	Call    string  `json:"call,omitempty"`
	Rung    int     `json:"rung,omitempty"`
	Status  int     `json:"status,omitempty"`
	Health  string  `json:"health,omitempty"`
	Started int64   `json:"started,omitempty"`
	Wait    int64   `json:"wait,omitempty"` // nanoseconds until the player gives up
	Length  float64 `json:"length,omitempty"`
	Value   float64 `json:"value,omitempty"`
	Top     int     `json:"top,omitempty"`
	Slots   float64 `json:"slots,omitempty"`
	Cold    bool    `json:"cold,omitempty"`
	Lost    bool    `json:"lost,omitempty"`
	Text    string  `json:"text,omitempty"`
}

// Key names an attempt.
func (e *Event) Key() string { return fmt.Sprintf("%s/%s/%d", e.Front, e.Session, e.Attempt) }

// Log takes events. The zero value and nil drop them; it is safe for many goroutines.
type Log struct {
	mu   sync.Mutex
	w    *bufio.Writer
	c    io.Closer
	mem  []Event
	keep bool
	err  error
}

// Memory makes a log that keeps events in memory.
func Memory() *Log { return &Log{keep: true} }

// Create makes a log that writes to a file.
func Create(path string) (*Log, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Log{w: bufio.NewWriterSize(f, 1<<16), c: f}, nil
}

// Add writes an event down; T is set to now unless given.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if e.T == 0 {
		e.T = time.Now().UnixNano()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keep {
		l.mem = append(l.mem, e)
	}
	if l.w != nil && l.err == nil {
		b, err := json.Marshal(&e)
		if err == nil {
			_, err = l.w.Write(append(b, '\n'))
		}
		l.err = err
	}
}

// Events gives what was kept in memory, in the order of time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sorted(slices.Clone(l.mem))
}

// Close ends the file.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.w == nil {
		return nil
	}
	err := errors.Join(l.err, l.w.Flush(), l.c.Close())
	l.w = nil // what comes later is dropped
	return err
}

func sorted(list []Event) []Event {
	slices.SortStableFunc(list, func(a, b Event) int {
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
			return 1
		}
		return 0
	})
	return list
}

// maxLine bounds a line that is read.
const maxLine = 1 << 20

// Read reads a record of lines.
func Read(name string, r io.Reader) (list []Event, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 1<<16), maxLine)
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

// ReadDir reads all records of a directory (*.jsonl), in the order of time.
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
	return sorted(all), nil
}

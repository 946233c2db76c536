package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// MaxEvent is the maximum length of a line of the journal service, in bytes.
const MaxEvent = 1 << 20

// maxHosts is the maximum number of entries in an event.
const maxHosts = 10_000

// Host is an entry of the server list.
type Host struct {
	Name    string  `json:"host"`
	Address string  `json:"dial"` // address
	Zone    string  `json:"site"`
	Kind    string  `json:"class"`
	Cell    int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`   // relative size of the server
	Started int64   `json:"born_ms"` // start of its process in Unix milliseconds; 0: long ago
}

// Health values of a listed server.
const (
	HostReady    = "active"
	HostDraining = "leaving"
	HostRemoved  = "left"
)

// Event is a numbered change of the server list. Without Hosts it only gives the number of the last event.
type Event struct {
	Pos   uint64 `json:"pos"`
	Hosts *Hosts `json:"hosts"`
}

// Hosts holds the entries that an event changes, or the complete list if Whole is set.
type Hosts struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// ParseEvent parses a line of the journal service: an event, or only the last number, bare or as {"pos":N}.
func ParseEvent(line []byte) (e Event, err error) {
	line = bytes.TrimSpace(line)
	if len(line) > MaxEvent {
		return e, fmt.Errorf("line of %d bytes is too long", len(line))
	}
	if len(line) > 0 && line[0] >= '0' && line[0] <= '9' {
		e.Pos, err = strconv.ParseUint(string(line), 10, 64)
		return e, err
	}
	if err := json.Unmarshal(line, &e); err != nil {
		return e, err
	}
	return e, e.Check()
}

// Check returns an error if the event is invalid.
func (e *Event) Check() error {
	if e.Hosts == nil {
		return nil
	}
	if e.Pos == 0 {
		return errors.New("event without a number")
	}
	if len(e.Hosts.Hosts) > maxHosts {
		return fmt.Errorf("event with too many entries: %d", len(e.Hosts.Hosts))
	}
	for _, h := range e.Hosts.Hosts {
		switch {
		case h.Name == "" || len(h.Name) > 256 || len(h.Address) > 256:
			return fmt.Errorf("entry with invalid name %.32q or address %.32q", h.Name, h.Address)
		case h.Cell < 0 || h.Cell > maxHosts:
			return fmt.Errorf("%s: invalid block %d", h.Name, h.Cell)
		case !(h.Share >= 0 && h.Share <= maxNumber):
			return fmt.Errorf("%s: invalid share %v", h.Name, h.Share)
		case h.Started < 0 || h.Started > 1<<50:
			return fmt.Errorf("%s: invalid born_ms %d", h.Name, h.Started)
		case h.Health != HostReady && h.Health != HostDraining && h.Health != HostRemoved:
			return fmt.Errorf("%s: invalid health %.16q", h.Name, h.Health)
		}
	}
	return nil
}

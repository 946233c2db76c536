package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// MaxEvent is the longest line of the journal service, in bytes.
const MaxEvent = 1 << 20

// maxHosts bounds the entries of an event.
const maxHosts = 10_000

// Host is an entry of the server list.
type Host struct {
	Name    string  `json:"host"`
	Dial    string  `json:"dial"` // address
	Zone    string  `json:"site"`
	Kind    string  `json:"class"`
	Cell    int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`   // its size
	Started int64   `json:"born_ms"` // Unix milliseconds; 0: long ago
}

// States of a listed server.
const (
	HostReady    = "active"
	HostDraining = "leaving"
	HostGone     = "left"
)

// Event is a numbered change of the server list. Without Hosts it tells only how far the journal has come.
type Event struct {
	Pos   uint64 `json:"pos"`
	Hosts *Hosts `json:"hosts"`
}

// Hosts is what an event changes; Whole tells that it is the list in full.
type Hosts struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// ParseEvent reads a line of the journal service: an event, or only the last number, bare or as {"pos":N}.
func ParseEvent(line []byte) (e Event, err error) {
	line = bytes.TrimSpace(line)
	if len(line) > MaxEvent {
		return e, fmt.Errorf("a line of %d bytes", len(line))
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

// Check tells what of an event can't be used.
func (e *Event) Check() error {
	if e.Hosts == nil {
		return nil
	}
	if e.Pos == 0 {
		return errors.New("an event without its number")
	}
	if len(e.Hosts.Hosts) > maxHosts {
		return fmt.Errorf("an event with %d entries", len(e.Hosts.Hosts))
	}
	for _, h := range e.Hosts.Hosts {
		switch {
		case h.Name == "" || len(h.Name) > 256 || len(h.Dial) > 256:
			return fmt.Errorf("an entry named %.32q at %.32q", h.Name, h.Dial)
		case h.Cell < 0 || h.Cell > maxHosts:
			return fmt.Errorf("%s: block %d", h.Name, h.Cell)
		case !(h.Share >= 0 && h.Share <= maxNumber):
			return fmt.Errorf("%s: share %v", h.Name, h.Share)
		case h.Started < 0 || h.Started > 1<<50:
			return fmt.Errorf("%s: born %d", h.Name, h.Started)
		case h.Health != HostReady && h.Health != HostDraining && h.Health != HostGone:
			return fmt.Errorf("%s: state %.16q", h.Name, h.Health)
		}
	}
	return nil
}

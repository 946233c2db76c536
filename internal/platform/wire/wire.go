// Package wire holds the codecs of the operators' platform: binary messages to and from servers, JSON lines to and
// from viewers, and the lines of the journal service. It does no I/O; every limit is checked, and input that can't be
// parsed is an error, never guessed at. Source: the operators' protocol page.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxMessage is the maximum length of a message in either direction, in bytes.
const MaxMessage = 16 << 10

// Type is the type of a binary message.
type Type uint8

// Types of binary messages.
const (
	SetUp    Type = 1
	Trying   Type = 6
	Ready    Type = 9
	Release  Type = 12 // a refusal, an abandoned set-up, or the end of a session, depending on the cause
	Released Type = 16 // acknowledges a Release
	Note     Type = 44
	Move     Type = 51
	Test     Type = 52
	Tested   Type = 53
	Level    Type = 60
)

// knownTypes holds the valid types of messages.
var knownTypes = [256]bool{SetUp: true, Trying: true, Ready: true, Release: true, Released: true, Note: true,
	Move: true, Test: true, Tested: true, Level: true}

// Codes of parameters.
const (
	ParamClass     = 64
	ParamTimeout   = 67 // milliseconds that the front waits for an answer
	ParamTitle     = 76
	ParamNote      = 85 // kind of a note
	ParamReport    = 91
	ParamRung      = 97
	ParamNoteValue = 100 // value of a note
	ParamCause     = 106 // one byte
	ParamText      = 109 // the description
)

// Causes of messages and lines.
const (
	CauseReport    = 1  // of a test: the reply carries a report; with 0 it only shows that the process answers
	CauseEnded     = 16 // before the answer the set-up is abandoned, after it the session ends
	CauseCancelled = 31
	CauseFull      = 34 // the set-up never ran
	CauseReset     = 41
	CauseRefused   = 42 // a retry is harmless
	CauseError     = 47
	CauseMalformed = 100 // of an invalid request; any cause but 34, 42 and 102 means "failed"
	CauseNotRun    = 102 // the set-up never ran
)

// Param is a parameter of a binary message.
type Param struct {
	Code  uint8
	Value []byte
}

// Message is a binary message.
type Message struct {
	Type    Type
	Session uint64
	Params  []Param
}

// headerLen is the length of a message's type and session id, in bytes.
const headerLen = 1 + 8

// Add appends a parameter and returns the message.
func (m *Message) Add(code uint8, value string) *Message {
	m.Params = append(m.Params, Param{code, []byte(value)})
	return m
}

// AddCause appends the cause and returns the message.
func (m *Message) AddCause(cause uint8) *Message {
	m.Params = append(m.Params, Param{ParamCause, []byte{cause}})
	return m
}

// Get returns the value of a parameter; ok is false if the message has none.
func (m *Message) Get(code uint8) (value []byte, ok bool) {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value, true
		}
	}
	return nil, false
}

// Cause returns the cause; ok is false if the message has none.
func (m *Message) Cause() (cause uint8, ok bool) {
	v, ok := m.Get(ParamCause)
	if !ok || len(v) != 1 {
		return 0, false
	}
	return v[0], true
}

// Append appends the encoded message to b. A message longer than MaxMessage is an error, and b is returned unchanged.
func (m *Message) Append(b []byte) ([]byte, error) {
	n := headerLen
	for _, p := range m.Params {
		n += 3 + len(p.Value)
	}
	if n+2 > MaxMessage {
		return b, fmt.Errorf("message of %d bytes, limit is %d", n+2, MaxMessage)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(n))
	b = append(b, byte(m.Type))
	b = binary.BigEndian.AppendUint64(b, m.Session)
	for _, p := range m.Params {
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	return b, nil
}

// Decoder splits a stream into binary messages. After an error the stream can't be read any more.
type Decoder struct {
	buf []byte
	err error
}

// Feed adds bytes that were read; it copies them.
func (d *Decoder) Feed(b []byte) {
	if d.err == nil {
		d.buf = append(d.buf, b...)
	}
}

// Partial reports whether a message is incomplete.
func (d *Decoder) Partial() bool { return d.err == nil && len(d.buf) > 0 }

// Next returns the next complete message, or nil if more bytes are needed.
func (d *Decoder) Next() (*Message, error) {
	if d.err != nil {
		return nil, d.err
	}
	if len(d.buf) < 2 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint16(d.buf))
	if n < headerLen || n+2 > MaxMessage {
		return nil, d.fail(fmt.Errorf("invalid message length %d", n))
	}
	if len(d.buf) >= 3 && !knownTypes[d.buf[2]] { // checked early, not only once the whole length has arrived
		return nil, d.fail(fmt.Errorf("unknown message type %d", d.buf[2]))
	}
	if len(d.buf) < n+2 {
		return nil, nil
	}
	m := &Message{Type: Type(d.buf[2]), Session: binary.BigEndian.Uint64(d.buf[3:])}
	body := append([]byte(nil), d.buf[2+headerLen:n+2]...)
	for len(body) > 0 {
		if len(body) < 3 {
			return nil, d.fail(errors.New("truncated parameter header"))
		}
		l := int(binary.BigEndian.Uint16(body[1:]))
		if l > len(body)-3 {
			return nil, d.fail(fmt.Errorf("parameter %d has length %d, but only %d bytes are left", body[0], l,
				len(body)-3))
		}
		if body[0] == ParamCause && l != 1 {
			return nil, d.fail(fmt.Errorf("cause of %d bytes, want 1", l))
		}
		m.Params = append(m.Params, Param{body[0], body[3 : 3+l]})
		body = body[3+l:]
	}
	rest := copy(d.buf, d.buf[n+2:])
	d.buf = d.buf[:rest]
	if rest == 0 && cap(d.buf) > 4<<10 {
		d.buf = nil // an idle connection keeps no large buffer
	}
	return m, nil
}

func (d *Decoder) fail(err error) error {
	d.err, d.buf = err, nil
	return err
}

// maxFields is the maximum number of values in a report.
const maxFields = 16

// ParseReport parses load values such as "x0:12;x1:40" and returns them in the order of names, or nil unless all are
// present.
func ParseReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 || strings.Count(text, ";") >= maxFields {
		return nil
	}
	out := make([]float64, len(names))
	seen := 0
	for _, item := range strings.Split(text, ";") {
		k, v, ok := strings.Cut(item, ":")
		if !ok {
			return nil
		}
		f, ok := ParseNumber(v)
		if !ok {
			return nil
		}
		for i, name := range names {
			if name == k {
				out[i] = f
				seen++
			}
		}
	}
	if seen != len(names) {
		return nil
	}
	return out
}

// maxNumber is the maximum absolute value of a number in any message.
const maxNumber = 1e12

// ParseNumber parses a number; ok is false unless it is finite and within the limit.
func ParseNumber(text string) (float64, bool) {
	if len(text) == 0 || len(text) > 32 {
		return 0, false
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > maxNumber {
		return 0, false
	}
	return f, true
}

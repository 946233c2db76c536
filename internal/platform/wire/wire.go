// Package wire holds the codecs of the operators' platform: binary messages to and from servers, JSON lines to and from
// viewers, and the lines of the journal service. It is pure; every limit is checked, and what can't be read is an
// error and never a guess. Source: the operators' protocol page.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxMessage is the longest message, in bytes, whichever way it goes.
const MaxMessage = 16 << 10

// Type is a binary message's type.
type Type uint8

// Types of binary messages.
const (
	SetUp    Type = 1
	Trying   Type = 6
	Ready    Type = 9
	Release  Type = 12 // a refusal, a set-up given up, or the end of a session, by its cause
	Released Type = 16 // a release was heard
	Note     Type = 44
	Move     Type = 51
	Test     Type = 52
	Tested   Type = 53
	Level    Type = 60
)

var knownTypes = [256]bool{SetUp: true, Trying: true, Ready: true, Release: true, Released: true, Note: true, Move: true,
	Test: true, Tested: true, Level: true}

// Codes of parameters.
const (
	ParamClass   = 64
	ParamTimeout = 67 // milliseconds that the front waits
	ParamTitle   = 76
	ParamNote    = 85 // which note
	ParamReport  = 91
	ParamRung    = 97
	ParamFigure  = 100 // a note's figure
	ParamCause   = 106 // one byte
	ParamText    = 109 // the description
)

// Causes.
const (
	CauseReport    = 1  // of a test: its answer carries a report; with 0 it only tells that the process answers
	CauseGivenUp   = 16 // before the answer; after it the session's end
	CauseCancelled = 31
	CauseFull      = 34 // never ran
	CauseReset     = 41
	CauseRefused   = 42 // trying again is harmless
	CauseError     = 47
	CauseMalformed = 100 // of a request that can't be used; any cause but 34, 42 and 102 says "failed"
	CauseMoot      = 102
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

const headerLen = 1 + 8

// Add appends a parameter.
func (m *Message) Add(code uint8, value string) *Message {
	m.Params = append(m.Params, Param{code, []byte(value)})
	return m
}

// AddCause appends the cause.
func (m *Message) AddCause(cause uint8) *Message {
	m.Params = append(m.Params, Param{ParamCause, []byte{cause}})
	return m
}

// Get gives a parameter's value; ok is false if the message has none.
func (m *Message) Get(code uint8) (value []byte, ok bool) {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value, true
		}
	}
	return nil, false
}

// Cause gives the cause; ok is false without one.
func (m *Message) Cause() (cause uint8, ok bool) {
	v, ok := m.Get(ParamCause)
	if !ok || len(v) != 1 {
		return 0, false
	}
	return v[0], true
}

// Append writes the message behind b. A message over MaxMessage is an error, and b is as it was.
func (m *Message) Append(b []byte) ([]byte, error) {
	n := headerLen
	for _, p := range m.Params {
		n += 3 + len(p.Value)
	}
	if n+2 > MaxMessage {
		return b, fmt.Errorf("a message of %d bytes, %d at most", n+2, MaxMessage)
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

// Decoder cuts a stream into binary messages. After an error the stream can't be read any more.
type Decoder struct {
	buf []byte
	err error
}

// Feed adds bytes that were read; they are copied.
func (d *Decoder) Feed(b []byte) {
	if d.err == nil {
		d.buf = append(d.buf, b...)
	}
}

// Partial tells whether a message has begun to come and is not whole.
func (d *Decoder) Partial() bool { return d.err == nil && len(d.buf) > 0 }

// Next gives the next whole message; nil if more bytes are needed.
func (d *Decoder) Next() (*Message, error) {
	if d.err != nil {
		return nil, d.err
	}
	if len(d.buf) < 2 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint16(d.buf))
	if n < headerLen || n+2 > MaxMessage {
		return nil, d.fail(fmt.Errorf("a message claims a length of %d", n))
	}
	if len(d.buf) >= 3 && !knownTypes[d.buf[2]] { // told before a long wait for what will never be a message
		return nil, d.fail(fmt.Errorf("a message of unknown type %d", d.buf[2]))
	}
	if len(d.buf) < n+2 {
		return nil, nil
	}
	m := &Message{Type: Type(d.buf[2]), Session: binary.BigEndian.Uint64(d.buf[3:])}
	body := append([]byte(nil), d.buf[2+headerLen:n+2]...)
	for len(body) > 0 {
		if len(body) < 3 {
			return nil, d.fail(errors.New("a parameter is cut short"))
		}
		l := int(binary.BigEndian.Uint16(body[1:]))
		if l > len(body)-3 {
			return nil, d.fail(fmt.Errorf("parameter %d claims %d bytes of %d", body[0], l, len(body)-3))
		}
		if body[0] == ParamCause && l != 1 {
			return nil, d.fail(fmt.Errorf("a cause of %d bytes", l))
		}
		m.Params = append(m.Params, Param{body[0], body[3 : 3+l]})
		body = body[3+l:]
	}
	rest := copy(d.buf, d.buf[n+2:])
	d.buf = d.buf[:rest]
	if rest == 0 && cap(d.buf) > 4<<10 {
		d.buf = nil // a connection that is quiet keeps no large buffer
	}
	return m, nil
}

func (d *Decoder) fail(err error) error {
	d.err, d.buf = err, nil
	return err
}

// maxFields bounds the values of a report.
const maxFields = 16

// Report reads load values such as "x0:12;x1:40", in the order of names. It gives nil unless all are there.
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

// maxFigure bounds every figure on the sockets.
const maxNumber = 1e12

// Figure reads a number that is finite and within bounds.
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

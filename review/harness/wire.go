package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Types of binary messages.
const (
	typeSetUp    = 1
	typeReady    = 9
	typeRelease  = 12
	typeReleased = 16
	typeTest     = 52
	typeTested   = 53
	typeLevel    = 60
)

// Codes of parameters.
const (
	paramClass  = 64
	paramWithin = 67
	paramTitle  = 76
	paramReport = 91
	paramRung   = 97
	paramCause  = 106
	paramText   = 109
)

// message is a binary message between front and server.
type message struct {
	kind   byte
	sid    uint64
	params map[byte]string
}

// encode returns the message as bytes.
func (m message) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, m.kind}, m.sid)
	for code := range 256 {
		if v, ok := m.params[byte(code)]; ok {
			b = append(b, byte(code))
			b = binary.BigEndian.AppendUint16(b, uint16(len(v)))
			b = append(b, v...)
		}
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

// readMessage reads one message and returns it with its bytes.
func readMessage(r io.Reader) (m message, raw []byte, err error) {
	head := make([]byte, 2)
	if _, err := io.ReadFull(r, head); err != nil {
		return m, nil, err
	}
	body := make([]byte, binary.BigEndian.Uint16(head))
	if _, err := io.ReadFull(r, body); err != nil {
		return m, nil, err
	}
	if len(body) < 9 {
		return m, nil, errors.New("message without a session")
	}
	m = message{kind: body[0], sid: binary.BigEndian.Uint64(body[1:]), params: map[byte]string{}}
	for rest := body[9:]; len(rest) > 0; {
		if len(rest) < 3 || len(rest) < 3+int(binary.BigEndian.Uint16(rest[1:])) {
			return m, nil, fmt.Errorf("message of type %d with a damaged parameter", m.kind)
		}
		n := 3 + int(binary.BigEndian.Uint16(rest[1:]))
		m.params[rest[0]] = string(rest[3:n])
		rest = rest[n:]
	}
	return m, append(head, body...), nil
}

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// Types and causes of the binary messages, from the operators' protocol page.
const (
	typeSetUp    = 1
	typeReady    = 9
	typeRelease  = 12
	typeReleased = 16
	typeTest     = 52
	typeTested   = 53
	typeLevel    = 60

	paramTitle  = 76
	paramReport = 91
	paramRung   = 97
	paramCause  = 106
	paramText   = 109

	causeEnded     = 16
	causeCancelled = 31
	causeFull      = 34
)

// message is a binary message.
type message struct {
	kind   byte
	sid    uint64
	params map[byte][]byte
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (message, error) {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return message{}, err
	}
	body := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(r, body); err != nil {
		return message{}, err
	}
	if len(body) < 9 {
		return message{}, fmt.Errorf("message of %d bytes", len(body))
	}
	m := message{kind: body[0], sid: binary.BigEndian.Uint64(body[1:]), params: map[byte][]byte{}}
	for rest := body[9:]; len(rest) > 0; {
		if len(rest) < 3 || int(binary.BigEndian.Uint16(rest[1:])) > len(rest)-3 {
			return message{}, fmt.Errorf("parameter past the end of its message")
		}
		n := int(binary.BigEndian.Uint16(rest[1:]))
		m.params[rest[0]] = rest[3 : 3+n]
		rest = rest[3+n:]
	}
	return m, nil
}

// param is a parameter of a message to write.
type param struct {
	code  byte
	value string
}

// encode encodes a message.
func encode(kind byte, sid uint64, params ...param) []byte {
	b := append([]byte{0, 0, kind}, binary.BigEndian.AppendUint64(nil, sid)...)
	for _, p := range params {
		b = append(b, p.code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.value)))
		b = append(b, p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

// cause is the parameter that holds a cause.
func cause(code byte) param { return param{paramCause, string([]byte{code})} }

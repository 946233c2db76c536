// Package wsock implements the server side of WebSocket (RFC 6455) without I/O: it takes the bytes read and returns
// messages and bytes to write. gobwas/ws checks frame headers and the opening handshake. This package adds the state of
// a connection: reassembly of fragments, size limits, UTF-8 checks, and the close handshake.
package wsock

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/gobwas/ws"
)

// MaxHandshakeBytes limits the size of the opening handshake.
const MaxHandshakeBytes = 8 << 10

// Close codes (RFC 6455 section 7.4.1).
const (
	CloseNormal      = 1000
	CloseGoingAway   = 1001
	CloseProtocol    = 1002
	CloseUnsupported = 1003
	CloseInvalidData = 1007
	ClosePolicy      = 1008
	CloseTooBig      = 1009
)

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events.
const (
	Text  Kind = iota // a complete text message
	Ping              // the pong is already in Out
	Pong              // the peer responded to a ping
	Close             // the peer sent a close frame; the reply is already in Out
)

// Event is a message or a control frame received from the peer.
type Event struct {
	Kind Kind
	Data []byte
}

// Conn is the state of one connection.
type Conn struct {
	maxMessageBytes int // limit of the bytes of a message
	path            string
	buf             []byte // input that is not processed yet
	handshakeDone   bool
	closed          bool   // no further input is accepted
	message         []byte // payload of the fragments received so far
	fragmented      bool   // a fragmented message is incomplete
	Out             []byte // bytes for the caller to write; the caller empties it
}

// New returns the state of a new connection. It accepts the handshake at path only, and messages of at most
// maxMessageBytes.
func New(path string, maxMessageBytes int) *Conn {
	return &Conn{path: path, maxMessageBytes: maxMessageBytes}
}

// HandshakeDone reports whether the opening handshake has succeeded.
func (c *Conn) HandshakeDone() bool { return c.handshakeDone }

// Closed reports whether the connection must be closed once Out is written.
func (c *Conn) Closed() bool { return c.closed }

// Feed takes the bytes read from the connection and returns the complete events in them. It appends the bytes to write
// to Out.
func (c *Conn) Feed(b []byte) (events []Event) {
	if c.closed {
		return nil
	}
	c.buf = append(c.buf, b...)
	if !c.handshakeDone && !c.readHandshake() {
		return nil
	}
	for !c.closed {
		event, more := c.readFrame()
		if !more {
			break
		}
		if event != nil {
			events = append(events, *event)
		}
	}
	if len(c.buf) == 0 {
		c.buf = nil // an idle connection needs no buffer
	}
	return events
}

// memoryConn lets the upgrader read the handshake from memory and write its response to memory.
type memoryConn struct {
	io.Reader
	out bytes.Buffer
}

func (m *memoryConn) Write(b []byte) (int, error) { return m.out.Write(b) }

// readHandshake processes the opening handshake (section 4.2) once it is complete, and reports whether it succeeded.
func (c *Conn) readHandshake() bool {
	end := bytes.Index(c.buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(c.buf) > MaxHandshakeBytes {
			c.rejectHandshake("431 Request Header Fields Too Large", "request too large")
		}
		return false
	}
	head := c.buf[:end+4]
	if len(head) > MaxHandshakeBytes {
		c.rejectHandshake("431 Request Header Fields Too Large", "request too large")
		return false
	}
	if !versionSupported(head) {
		// Section 4.2.2 (4): the response lists the supported versions.
		c.rejectHandshake("426 Upgrade Required\r\nSec-WebSocket-Version: 13", "this server speaks version 13")
		return false
	}
	notFound := false
	upgrader := ws.Upgrader{OnRequest: func(uri []byte) error {
		if path, _, _ := strings.Cut(string(uri), "?"); path != c.path {
			notFound = true
			return ws.RejectConnectionError(ws.RejectionStatus(404), ws.RejectionReason("no such resource"))
		}
		return nil
	}}
	memory := &memoryConn{Reader: bytes.NewReader(head)}
	_, err := upgrader.Upgrade(memory)
	c.Out = append(c.Out, memory.out.Bytes()...)
	if err != nil {
		if notFound && memory.out.Len() == 0 {
			c.rejectHandshake("404 Not Found", "no such resource")
		} else if memory.out.Len() == 0 {
			c.rejectHandshake("400 Bad Request", err.Error())
		}
		c.closed, c.buf = true, nil
		return false
	}
	c.handshakeDone, c.buf = true, c.buf[end+4:]
	return true
}

// versionSupported reports whether the handshake requests version 13. It returns true for a request without a version
// header, which the upgrader rejects.
func versionSupported(head []byte) bool {
	for _, line := range strings.Split(string(head), "\r\n")[1:] {
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(strings.TrimSpace(name), "Sec-WebSocket-Version") {
			return strings.TrimSpace(value) == "13"
		}
	}
	return true
}

// rejectHandshake writes an HTTP error response and closes the connection.
func (c *Conn) rejectHandshake(status, body string) {
	c.Out = fmt.Appendf(c.Out,
		"HTTP/1.1 %s\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s\n",
		status, len(body)+1, body)
	c.closed, c.buf = true, nil
}

// readFrame processes one frame if it is complete; more is false if it is not or if the connection was closed.
func (c *Conn) readFrame() (event *Event, more bool) {
	header, headerSize, err := readHeader(c.buf)
	if err == errIncomplete {
		return nil, false
	}
	if err == nil {
		err = c.checkHeader(header)
	}
	if err != nil {
		c.closeWith(CloseProtocol, err.Error())
		return nil, false
	}
	if header.Length > int64(c.maxMessageBytes) ||
		int64(len(c.message))+header.Length > int64(c.maxMessageBytes) && !header.OpCode.IsControl() {
		c.closeWith(CloseTooBig, fmt.Sprintf("messages hold %d bytes at most", c.maxMessageBytes))
		return nil, false
	}
	total := headerSize + int(header.Length)
	if len(c.buf) < total {
		return nil, false
	}
	data := bytes.Clone(c.buf[headerSize:total])
	ws.Cipher(data, header.Mask, 0)
	c.buf = c.buf[total:]
	if header.OpCode.IsControl() {
		return c.handleControl(header.OpCode, data), true
	}
	if header.OpCode == ws.OpBinary {
		c.closeWith(CloseUnsupported, "text frames only")
		return nil, false
	}
	c.message = append(c.message, data...)
	c.fragmented = !header.Fin
	if c.fragmented {
		return nil, true
	}
	message := c.message
	c.message = nil
	if !utf8.Valid(message) { // section 8.1
		c.closeWith(CloseInvalidData, "not UTF-8")
		return nil, false
	}
	return &Event{Text, message}, true
}

func (c *Conn) checkHeader(header ws.Header) error {
	state := ws.StateServerSide
	if c.fragmented {
		state = state.Set(ws.StateFragmented)
	}
	return ws.CheckHeader(header, state)
}

func (c *Conn) handleControl(op ws.OpCode, data []byte) *Event {
	switch op {
	case ws.OpPing:
		c.Out = AppendFrame(c.Out, ws.OpPong, data)
		return &Event{Kind: Ping}
	case ws.OpPong:
		return &Event{Kind: Pong}
	}
	code, reason := CloseNormal, ""
	switch {
	case len(data) == 1:
		code, reason = CloseProtocol, "close frame of one byte"
	case len(data) >= 2:
		received := ws.StatusCode(binary.BigEndian.Uint16(data))
		if ws.CheckCloseFrameData(received, string(data[2:])) != nil {
			code, reason = CloseProtocol, "bad close frame"
		} else {
			code = int(received)
		}
	}
	c.closeWith(code, reason)
	return &Event{Kind: Close}
}

// closeWith sends a close frame and accepts no further input.
func (c *Conn) closeWith(code int, reason string) {
	c.Out = AppendClose(c.Out, code, reason)
	c.closed, c.buf, c.message = true, nil, nil
}

var errIncomplete = errors.New("more bytes are needed")

// readHeader reads a frame header (section 5.2) and returns its size.
func readHeader(b []byte) (header ws.Header, size int, err error) {
	if len(b) < 2 {
		return header, 0, errIncomplete
	}
	size = 2
	switch b[1] & 0x7f {
	case 126:
		size += 2
	case 127:
		size += 8
	}
	if b[1]&0x80 != 0 {
		size += 4
	}
	if len(b) < size {
		return header, 0, errIncomplete
	}
	header, err = ws.ReadHeader(bytes.NewReader(b[:size]))
	if err == nil && (b[1]&0x7f == 126 && header.Length < 126 || b[1]&0x7f == 127 && header.Length < 1<<16) {
		err = errors.New("length not in its shortest form") // section 5.2
	}
	return header, size, err
}

// AppendFrame appends a complete unmasked frame, the form in which servers send them.
func AppendFrame(dst []byte, op ws.OpCode, data []byte) []byte {
	dst = append(dst, 0x80|byte(op))
	switch n := len(data); {
	case n < 126:
		dst = append(dst, byte(n))
	case n < 1<<16:
		dst = append(dst, 126, byte(n>>8), byte(n))
	default:
		dst = append(dst, 127)
		dst = binary.BigEndian.AppendUint64(dst, uint64(n))
	}
	return append(dst, data...)
}

// AppendClose appends a close frame. It truncates the reason to the 123 bytes that fit.
func AppendClose(dst []byte, code int, reason string) []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(code))
	if len(reason) > 123 {
		reason = reason[:123]
		for !utf8.ValidString(reason) {
			reason = reason[:len(reason)-1]
		}
	}
	return AppendFrame(dst, ws.OpClose, append(data, reason...))
}

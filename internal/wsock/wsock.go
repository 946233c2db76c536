// Package wsock is the server's side of RFC 6455 without I/O: bytes in, messages and bytes to write out. The frame
// and handshake rules are those of gobwas/ws; this package adds what a server must hold over a connection's life:
// reassembly, bounds, UTF-8, and the close handshake.
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

// MaxHandshake bounds the bytes of the opening handshake.
const MaxHandshake = 8 << 10

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

// Kind of a thing that came in.
type Kind uint8

// What may come in.
const (
	Text  Kind = iota // a whole text message
	Ping              // answered already, in Out
	Pong              // the peer lives
	Close             // the peer closes; answered already
)

// In is something that came in.
type In struct {
	Kind Kind
	Data []byte
}

// Conn is the state of one connection.
type Conn struct {
	most    int // bytes of a message
	path    string
	buf     []byte
	open    bool
	closed  bool // no further frame is taken
	text    []byte
	partial bool // a fragmented message is under way
	Out     []byte
}

// New makes the state of a fresh connection that takes the handshake at a path and messages up to most bytes.
func New(path string, most int) *Conn { return &Conn{path: path, most: most} }

// Open tells whether the handshake is done; Closed, whether the connection is to be closed once Out is written.
func (c *Conn) Open() bool { return c.open }

// Closed tells whether the connection is to be closed once Out is written.
func (c *Conn) Closed() bool { return c.closed }

// Feed takes bytes as read and gives what came in whole. Out gathers what is to be written.
func (c *Conn) Feed(b []byte) (list []In) {
	if c.closed {
		return nil
	}
	c.buf = append(c.buf, b...)
	if !c.open && !c.handshake() {
		return nil
	}
	for !c.closed {
		in, more := c.frame()
		if !more {
			break
		}
		if in != nil {
			list = append(list, *in)
		}
	}
	if len(c.buf) == 0 {
		c.buf = nil // an idle connection holds no buffer
	}
	return list
}

// memory is a handshake read from and written to memory.
type memory struct {
	io.Reader
	out bytes.Buffer
}

func (m *memory) Write(b []byte) (int, error) { return m.out.Write(b) }

// handshake does the opening handshake (section 4.2) when all of it is there.
func (c *Conn) handshake() bool {
	end := bytes.Index(c.buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(c.buf) > MaxHandshake {
			c.plain("431 Request Header Fields Too Large", "request too large")
		}
		return false
	}
	head := c.buf[:end+4]
	if len(head) > MaxHandshake {
		c.plain("431 Request Header Fields Too Large", "request too large")
		return false
	}
	if !versionFits(head) {
		// Section 4.2.2 (4): the versions that are spoken here.
		c.plain("426 Upgrade Required\r\nSec-WebSocket-Version: 13", "this server speaks version 13")
		return false
	}
	notFound := false
	up := ws.Upgrader{OnRequest: func(uri []byte) error {
		if path, _, _ := strings.Cut(string(uri), "?"); path != c.path {
			notFound = true
			return ws.RejectConnectionError(ws.RejectionStatus(404), ws.RejectionReason("no such resource"))
		}
		return nil
	}}
	m := &memory{Reader: bytes.NewReader(head)}
	_, err := up.Upgrade(m)
	c.Out = append(c.Out, m.out.Bytes()...)
	if err != nil {
		if notFound && m.out.Len() == 0 {
			c.plain("404 Not Found", "no such resource")
		} else if m.out.Len() == 0 {
			c.plain("400 Bad Request", err.Error())
		}
		c.closed, c.buf = true, nil
		return false
	}
	c.open, c.buf = true, c.buf[end+4:]
	return true
}

// versionFits tells whether the handshake asks for version 13. A request with no version header is left to the
// upgrader.
func versionFits(head []byte) bool {
	for _, line := range strings.Split(string(head), "\r\n")[1:] {
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(strings.TrimSpace(name), "Sec-WebSocket-Version") {
			return strings.TrimSpace(value) == "13"
		}
	}
	return true
}

func (c *Conn) plain(status, body string) {
	c.Out = fmt.Appendf(c.Out, "HTTP/1.1 %s\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s\n",
		status, len(body)+1, body)
	c.closed, c.buf = true, nil
}

// frame takes one frame, if all of it is there.
func (c *Conn) frame() (in *In, more bool) {
	h, size, err := header(c.buf)
	if err == errShort {
		return nil, false
	}
	if err == nil {
		err = c.check(h)
	}
	if err != nil {
		c.fail(CloseProtocol, err.Error())
		return nil, false
	}
	if h.Length > int64(c.most) || int64(len(c.text))+h.Length > int64(c.most) && !h.OpCode.IsControl() {
		c.fail(CloseTooBig, fmt.Sprintf("messages hold %d bytes at most", c.most))
		return nil, false
	}
	total := size + int(h.Length)
	if len(c.buf) < total {
		return nil, false
	}
	data := bytes.Clone(c.buf[size:total])
	ws.Cipher(data, h.Mask, 0)
	c.buf = c.buf[total:]
	if h.OpCode.IsControl() {
		return c.control(h.OpCode, data), true
	}
	if h.OpCode == ws.OpBinary {
		c.fail(CloseUnsupported, "text frames only")
		return nil, false
	}
	c.text = append(c.text, data...)
	c.partial = !h.Fin
	if c.partial {
		return nil, true
	}
	text := c.text
	c.text = nil
	if !utf8.Valid(text) { // section 8.1
		c.fail(CloseInvalidData, "not UTF-8")
		return nil, false
	}
	return &In{Text, text}, true
}

func (c *Conn) check(h ws.Header) error {
	state := ws.StateServerSide
	if c.partial {
		state = state.Set(ws.StateFragmented)
	}
	return ws.CheckHeader(h, state)
}

func (c *Conn) control(op ws.OpCode, data []byte) *In {
	switch op {
	case ws.OpPing:
		c.Out = Frame(c.Out, ws.OpPong, data)
		return &In{Kind: Ping}
	case ws.OpPong:
		return &In{Kind: Pong}
	}
	code, reason := CloseNormal, ""
	switch {
	case len(data) == 1:
		code, reason = CloseProtocol, "close frame of one byte"
	case len(data) >= 2:
		got := ws.StatusCode(binary.BigEndian.Uint16(data))
		if ws.CheckCloseFrameData(got, string(data[2:])) != nil {
			code, reason = CloseProtocol, "bad close frame"
		} else {
			code = int(got)
		}
	}
	c.fail(code, reason)
	return &In{Kind: Close}
}

// fail sends a close frame and takes nothing more.
func (c *Conn) fail(code int, reason string) {
	c.Out = AppendClose(c.Out, code, reason)
	c.closed, c.buf, c.text = true, nil, nil
}

var errShort = errors.New("more bytes are needed")

// header reads a frame header (section 5.2) and gives its size.
func header(b []byte) (h ws.Header, size int, err error) {
	if len(b) < 2 {
		return h, 0, errShort
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
		return h, 0, errShort
	}
	h, err = ws.ReadHeader(bytes.NewReader(b[:size]))
	if err == nil && (b[1]&0x7f == 126 && h.Length < 126 || b[1]&0x7f == 127 && h.Length < 1<<16) {
		err = errors.New("length not in its shortest form") // section 5.2
	}
	return h, size, err
}

// Frame appends a whole unmasked frame, as servers send them.
func Frame(dst []byte, op ws.OpCode, data []byte) []byte {
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

// AppendClose appends a close frame.
func AppendClose(dst []byte, code int, reason string) []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(code))
	if len(reason) > 123 {
		reason = reason[:123]
		for !utf8.ValidString(reason) {
			reason = reason[:len(reason)-1]
		}
	}
	return Frame(dst, ws.OpClose, append(data, reason...))
}

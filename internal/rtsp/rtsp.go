// Package rtsp reads and writes the messages of RTSP 2.0 (RFC 7826), as far as a session front and a media
// server need them: requests and responses with headers and a body. It does no I/O.
//
// Interleaved binary data (section 14) is not taken: media never crosses these connections.
package rtsp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of a message. What passes them ends the connection: a peer that sends more is broken or hostile.
const (
	MaxHead    = 8 << 10  // bytes of start line and headers
	MaxHeaders = 64       // header lines
	MaxBody    = 64 << 10 // bytes of a body
)

// Methods that are used here (RFC 7826 section 13).
const (
	Options      = "OPTIONS"
	Setup        = "SETUP"
	Play         = "PLAY"
	Teardown     = "TEARDOWN"
	GetParameter = "GET_PARAMETER"
	SetParameter = "SET_PARAMETER"
	PlayNotify   = "PLAY_NOTIFY"
	Redirect     = "REDIRECT"
)

// Status codes that are used here (RFC 7826 section 17).
const (
	StatusOK                 = 200
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusNotEnoughBandwidth = 453
	StatusSessionNotFound    = 454
	StatusInternalError      = 500
	StatusNotImplemented     = 501
	StatusUnavailable        = 503
	StatusVersion            = 505
)

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 453: "Not Enough Bandwidth",
	454: "Session Not Found", 455: "Method Not Valid in This State", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "RTSP Version Not Supported"}

const version = "RTSP/2.0"

// Header is one header line. Names compare without regard to case.
type Header struct{ Name, Value string }

// Message is a request (Method set) or a response (Status set).
type Message struct {
	Method, URI string
	Status      int
	Reason      string
	CSeq        uint32 // section 18.20; every message carries one
	Headers     []Header
	Body        []byte
}

// Get gives the first header of a name, "" if there is none.
func (m *Message) Get(name string) string {
	for i := range m.Headers {
		if strings.EqualFold(m.Headers[i].Name, name) {
			return m.Headers[i].Value
		}
	}
	return ""
}

// Set adds a header.
func (m *Message) Set(name, value string) *Message {
	m.Headers = append(m.Headers, Header{name, value})
	return m
}

// Session gives the session id of the Session header, without its parameters (section 18.49).
func (m *Message) Session() string {
	id, _, _ := strings.Cut(m.Get("Session"), ";")
	return strings.TrimSpace(id)
}

// Append writes the message to dst in wire form. Line breaks in values, which would let one message pass for
// two, are written as spaces.
func (m *Message) Append(dst []byte) []byte {
	if m.Method != "" {
		dst = append(dst, m.Method...)
		dst = append(dst, ' ')
		dst = appendClean(dst, m.URI)
		dst = append(dst, " RTSP/2.0\r\nCSeq: "...)
	} else {
		reason := m.Reason
		if reason == "" {
			reason = reasons[m.Status]
		}
		dst = append(dst, "RTSP/2.0 "...)
		dst = strconv.AppendInt(dst, int64(m.Status), 10)
		dst = append(dst, ' ')
		dst = appendClean(dst, reason)
		dst = append(dst, "\r\nCSeq: "...)
	}
	dst = strconv.AppendUint(dst, uint64(m.CSeq), 10)
	dst = append(dst, "\r\n"...)
	for _, h := range m.Headers {
		dst = append(dst, h.Name...)
		dst = append(dst, ": "...)
		dst = appendClean(dst, h.Value)
		dst = append(dst, "\r\n"...)
	}
	if len(m.Body) > 0 {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(m.Body)), 10)
		dst = append(dst, "\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, m.Body...)
}

func appendClean(dst []byte, s string) []byte {
	if strings.IndexByte(s, '\r') < 0 && strings.IndexByte(s, '\n') < 0 {
		return append(dst, s...)
	}
	return append(dst, strings.NewReplacer("\r", " ", "\n", " ").Replace(s)...)
}

// ErrTooLarge tells that a bound was passed; ErrMalformed, that the bytes are no RTSP 2.0 message.
var (
	ErrTooLarge  = errors.New("rtsp: message too large")
	ErrMalformed = errors.New("rtsp: malformed message")
)

// Decoder takes bytes as they come and gives whole messages. After an error it gives that error only: where the
// next message would begin is unknown.
type Decoder struct {
	buf     []byte
	scanned int // bytes of buf known to hold no end of headers
	err     error
}

// Feed adds bytes as read from the connection.
func (d *Decoder) Feed(b []byte) { d.buf = append(d.buf, b...) }

// Buffered tells how many bytes wait for the rest of their message.
func (d *Decoder) Buffered() int { return len(d.buf) }

// Next gives the next whole message, nil if more bytes are needed.
func (d *Decoder) Next() (*Message, error) {
	if d.err != nil {
		return nil, d.err
	}
	m, err := d.next()
	if err != nil {
		d.err, d.buf = err, nil
	}
	return m, err
}

func (d *Decoder) next() (*Message, error) {
	for len(d.buf) >= 2 && d.buf[0] == '\r' && d.buf[1] == '\n' { // section 5.2: empty lines ahead are skipped
		d.buf, d.scanned = d.buf[2:], 0
	}
	if len(d.buf) > 0 && d.buf[0] == '$' {
		return nil, fmt.Errorf("%w: interleaved data", ErrMalformed)
	}
	end := bytes.Index(d.buf[d.scanned:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(d.buf) > MaxHead {
			return nil, fmt.Errorf("%w: headers over %d bytes", ErrTooLarge, MaxHead)
		}
		d.scanned = max(len(d.buf)-3, 0)
		return nil, nil
	}
	end += d.scanned
	if end > MaxHead {
		return nil, fmt.Errorf("%w: headers over %d bytes", ErrTooLarge, MaxHead)
	}
	m, length, err := parseHead(string(d.buf[:end]))
	if err != nil {
		return nil, err
	}
	total := end + 4 + length
	if len(d.buf) < total {
		d.scanned = end
		return nil, nil
	}
	if length > 0 {
		m.Body = bytes.Clone(d.buf[end+4 : total])
	}
	d.buf = d.buf[total:]
	d.scanned = 0
	if len(d.buf) == 0 {
		d.buf = nil // an idle connection holds no buffer
	}
	return m, nil
}

// parseHead reads start line and headers and gives the body's length.
func parseHead(head string) (*Message, int, error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	m, err := parseStart(line)
	if err != nil {
		return nil, 0, err
	}
	length, seen := 0, false
	for n := 0; rest != ""; n++ {
		if n == MaxHeaders {
			return nil, 0, fmt.Errorf("%w: over %d headers", ErrTooLarge, MaxHeaders)
		}
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || strings.ContainsAny(value, "\r\n\x00") {
			return nil, 0, fmt.Errorf("%w: header %.40q", ErrMalformed, line)
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "CSeq"):
			v, err := strconv.ParseUint(value, 10, 32)
			if err != nil || seen {
				return nil, 0, fmt.Errorf("%w: CSeq %.40q", ErrMalformed, value)
			}
			m.CSeq, seen = uint32(v), true
		case strings.EqualFold(name, "Content-Length"):
			v, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return nil, 0, fmt.Errorf("%w: Content-Length %.40q", ErrMalformed, value)
			}
			if v > MaxBody {
				return nil, 0, fmt.Errorf("%w: body of %d bytes, %d at most", ErrTooLarge, v, MaxBody)
			}
			length = int(v)
		default:
			m.Headers = append(m.Headers, Header{name, value})
		}
	}
	if !seen {
		return nil, 0, fmt.Errorf("%w: no CSeq", ErrMalformed)
	}
	return m, length, nil
}

func parseStart(line string) (*Message, error) {
	if rest, ok := strings.CutPrefix(line, version+" "); ok {
		code, reason, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || status < 100 || status > 599 {
			return nil, fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
		}
		return &Message{Status: status, Reason: reason}, nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || parts[2] != version {
		return nil, fmt.Errorf("%w: start line %.40q", ErrMalformed, line)
	}
	return &Message{Method: parts[0], URI: parts[1]}, nil
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return true
}

// Params reads a body of type text/parameters (RFC 7826 appendix F): lines "name: value".
// Lines that are not of that form are skipped; at most 32 are read.
func Params(body []byte) map[string]string {
	out := map[string]string{}
	for n, rest := 0, string(body); rest != "" && n < 32; n++ {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		if name, value, ok := strings.Cut(strings.TrimRight(line, "\r"), ":"); ok {
			out[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
	}
	return out
}

// Number gives a parameter as a number; ok is false if it is absent, not a number, negative or over 1e9.
func Number(params map[string]string, name string) (v float64, ok bool) {
	text, found := params[name]
	if !found {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && v <= 1e9
}

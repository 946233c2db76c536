// Package rtsp decodes and encodes the part of RTSP 2.0 (RFC 7826) that a session front and a media server need:
// requests and responses with headers and a body. It does no I/O.
//
// Interleaved binary data (section 14) is rejected: these connections carry no media.
package rtsp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a message. The connection must be closed if one is exceeded: a peer that sends more is faulty or hostile.
const (
	MaxHeadBytes = 8 << 10  // bytes of start line and headers
	MaxHeaders   = 64       // header lines
	MaxBodyBytes = 64 << 10 // bytes of a body
)

// Methods (RFC 7826 section 13).
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

// Status codes (RFC 7826 section 17).
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

// reasonPhrases holds the default reason phrase of each status code.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 453: "Not Enough Bandwidth",
	454: "Session Not Found", 455: "Method Not Valid in This State", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "RTSP Version Not Supported"}

const version = "RTSP/2.0"

// Header is one header line. Names are case-insensitive.
type Header struct{ Name, Value string }

// Message is a request (Method set) or a response (Status set).
type Message struct {
	Method, URI string
	Status      int
	Reason      string
	CSeq        uint32 // section 18.20; required in each message
	Headers     []Header
	Body        []byte
}

// Get returns the value of the first header with the given name, or "".
func (m *Message) Get(name string) string {
	for i := range m.Headers {
		if strings.EqualFold(m.Headers[i].Name, name) {
			return m.Headers[i].Value
		}
	}
	return ""
}

// AddHeader adds a header and returns the message.
func (m *Message) AddHeader(name, value string) *Message {
	m.Headers = append(m.Headers, Header{name, value})
	return m
}

// Session returns the session ID of the Session header, without its parameters (section 18.49).
func (m *Message) Session() string {
	id, _, _ := strings.Cut(m.Get("Session"), ";")
	return strings.TrimSpace(id)
}

// Append appends the encoded message to dst. It replaces line breaks in values by spaces, as they would allow a value
// to inject another message.
func (m *Message) Append(dst []byte) []byte {
	if m.Method != "" {
		dst = append(dst, m.Method...)
		dst = append(dst, ' ')
		dst = appendSingleLine(dst, m.URI)
		dst = append(dst, " RTSP/2.0\r\nCSeq: "...)
	} else {
		reason := m.Reason
		if reason == "" {
			reason = reasonPhrases[m.Status]
		}
		dst = append(dst, "RTSP/2.0 "...)
		dst = strconv.AppendInt(dst, int64(m.Status), 10)
		dst = append(dst, ' ')
		dst = appendSingleLine(dst, reason)
		dst = append(dst, "\r\nCSeq: "...)
	}
	dst = strconv.AppendUint(dst, uint64(m.CSeq), 10)
	dst = append(dst, "\r\n"...)
	for _, h := range m.Headers {
		dst = append(dst, h.Name...)
		dst = append(dst, ": "...)
		dst = appendSingleLine(dst, h.Value)
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

// appendSingleLine appends s with line breaks replaced by spaces.
func appendSingleLine(dst []byte, s string) []byte {
	if strings.IndexByte(s, '\r') < 0 && strings.IndexByte(s, '\n') < 0 {
		return append(dst, s...)
	}
	return append(dst, strings.NewReplacer("\r", " ", "\n", " ").Replace(s)...)
}

// ErrTooLarge reports that a limit was exceeded, ErrMalformed that the input is not an RTSP 2.0 message.
var (
	ErrTooLarge  = errors.New("rtsp: message too large")
	ErrMalformed = errors.New("rtsp: malformed message")
)

// Decoder decodes messages from a stream of bytes. After an error it returns only that error, because the start of the
// next message is unknown.
type Decoder struct {
	buf     []byte
	scanned int // bytes of buf in which no end of headers starts
	err     error
}

// Feed adds bytes read from the connection.
func (d *Decoder) Feed(b []byte) { d.buf = append(d.buf, b...) }

// Buffered returns the number of bytes of incomplete messages.
func (d *Decoder) Buffered() int { return len(d.buf) }

// Next returns the next complete message, or nil if more bytes are needed.
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
	for len(d.buf) >= 2 && d.buf[0] == '\r' && d.buf[1] == '\n' { // section 5.2: skip leading empty lines
		d.buf, d.scanned = d.buf[2:], 0
	}
	if len(d.buf) > 0 && d.buf[0] == '$' {
		return nil, fmt.Errorf("%w: interleaved data", ErrMalformed)
	}
	end := bytes.Index(d.buf[d.scanned:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(d.buf) > MaxHeadBytes {
			return nil, fmt.Errorf("%w: headers over %d bytes", ErrTooLarge, MaxHeadBytes)
		}
		d.scanned = max(len(d.buf)-3, 0)
		return nil, nil
	}
	end += d.scanned
	if end > MaxHeadBytes {
		return nil, fmt.Errorf("%w: headers over %d bytes", ErrTooLarge, MaxHeadBytes)
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
		d.buf = nil // an idle connection needs no buffer
	}
	return m, nil
}

// parseHead parses the start line and the headers and returns the length of the body.
func parseHead(head string) (*Message, int, error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	m, err := parseStartLine(line)
	if err != nil {
		return nil, 0, err
	}
	length, hasCSeq := 0, false
	for n := 0; rest != ""; n++ {
		if n == MaxHeaders {
			return nil, 0, fmt.Errorf("%w: more than %d headers", ErrTooLarge, MaxHeaders)
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
			if err != nil || hasCSeq {
				return nil, 0, fmt.Errorf("%w: CSeq %.40q", ErrMalformed, value)
			}
			m.CSeq, hasCSeq = uint32(v), true
		case strings.EqualFold(name, "Content-Length"):
			v, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return nil, 0, fmt.Errorf("%w: Content-Length %.40q", ErrMalformed, value)
			}
			if v > MaxBodyBytes {
				return nil, 0, fmt.Errorf("%w: body of %d bytes, %d at most", ErrTooLarge, v, MaxBodyBytes)
			}
			length = int(v)
		default:
			m.Headers = append(m.Headers, Header{name, value})
		}
	}
	if !hasCSeq {
		return nil, 0, fmt.Errorf("%w: no CSeq", ErrMalformed)
	}
	return m, length, nil
}

// parseStartLine parses a status line or a request line.
func parseStartLine(line string) (*Message, error) {
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

// isToken reports whether s is a token: a method or a header name.
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

// ParseParams parses a body of type text/parameters (RFC 7826 appendix F), which has lines "name: value". It skips
// lines of another form and reads at most 32 lines.
func ParseParams(body []byte) map[string]string {
	params := map[string]string{}
	for n, rest := 0, string(body); rest != "" && n < 32; n++ {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		if name, value, ok := strings.Cut(strings.TrimRight(line, "\r"), ":"); ok {
			params[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
	}
	return params
}

// NumberParam returns a parameter as a number. ok is false if it is absent, not a number, negative or over 1e9.
func NumberParam(params map[string]string, name string) (v float64, ok bool) {
	text, found := params[name]
	if !found {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && v <= 1e9
}

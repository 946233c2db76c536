package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Names of the messages from and to viewers.
const (
	LineOpen     = "open"
	LineTrying   = "trying"
	LineReady    = "ready"
	LineClose    = "close"
	LineClosed   = "closed"
	LineProbe    = "probe"
	LineProbed   = "probed"
	LineEvent    = "event"
	LineLevel    = "level"
	LineRelocate = "relocate"
)

// Line is a message from or to a viewer.
type Line struct {
	Msg   string
	Sid   uint64 // session id; 0: missing or invalid
	Attrs map[string]string
	Code  int
	Text  string
}

// lineJSON is the JSON form of a line.
type lineJSON struct {
	Msg   string            `json:"msg"`
	Sid   string            `json:"sid"`
	Attrs map[string]string `json:"attrs"`
	Code  *int              `json:"code,omitempty"`
	Text  *string           `json:"text,omitempty"`
}

// maxAttrs is the maximum number of attributes of a line.
const maxAttrs = 32

// maxLineFields is the maximum number of fields of a line in all, known or not.
const maxLineFields = 64

// tooManyFields reports whether a line has more than maxLineFields fields.
func tooManyFields(line []byte) bool {
	if bytes.Count(line, []byte{','}) < maxLineFields { // the usual case; commas in texts count here
		return false
	}
	fields, inText := 1, false
	for i := 0; i < len(line) && fields <= maxLineFields; i++ {
		switch line[i] {
		case '\\':
			i++
		case '"':
			inText = !inText
		case ',':
			if !inText {
				fields++
			}
		}
	}
	return fields > maxLineFields
}

// leadingSid returns the session id if it is among the first two fields of a line, as it usually is, or 0. It doesn't read
// the rest.
func leadingSid(line []byte) uint64 {
	decoder := json.NewDecoder(bytes.NewReader(line))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return 0
	}
	for range 2 {
		name, err := decoder.Token()
		if err != nil {
			return 0
		}
		value, err := decoder.Token()
		text, isText := value.(string)
		if err != nil || !isText {
			return 0
		}
		if name == "sid" {
			sid, _ := ParseSid(text)
			return sid
		}
	}
	return 0
}

// ParseSid parses a session id of 16 lower-case hex digits; 0 is invalid.
func ParseSid(text string) (uint64, bool) {
	if len(text) != 16 || strings.ToLower(text) != text {
		return 0, false
	}
	v, err := strconv.ParseUint(text, 16, 64)
	return v, err == nil && v != 0
}

// ParseLine parses a line without its line feed. With an error the line holds what could be parsed, so that the reply
// can name its session. The error texts are sent to viewers.
func ParseLine(b []byte) (l Line, err error) {
	if len(b) >= MaxMessage {
		return l, fmt.Errorf("a line of %d bytes, %d at most", len(b)+1, MaxMessage)
	}
	// The JSON decoder replaces invalid UTF-8, but a description must be passed on unchanged.
	if !utf8.Valid(b) {
		return l, errors.New("a line is no UTF-8")
	}
	if tooManyFields(b) { // decoding them would take more time and memory than hundreds of usual lines
		l.Sid = leadingSid(b)
		return l, fmt.Errorf("more than %d fields", maxLineFields)
	}
	var raw struct {
		Msg   string                     `json:"msg"`
		Sid   string                     `json:"sid"`
		Attrs map[string]json.RawMessage `json:"attrs"`
		Code  json.RawMessage            `json:"code"`
		Text  string                     `json:"text"`
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return l, fmt.Errorf("a line is no message: %w", err)
	}
	sid, sidOK := ParseSid(raw.Sid)
	l = Line{Msg: raw.Msg, Sid: sid, Text: raw.Text, Attrs: make(map[string]string, len(raw.Attrs))}
	if strings.ContainsRune(l.Text, utf8.RuneError) { // half of a surrogate pair was replaced
		return l, errors.New("a description that can't be passed on unchanged")
	}
	if len(raw.Attrs) > maxAttrs {
		return l, fmt.Errorf("%d fields, %d at most", len(raw.Attrs), maxAttrs)
	}
	for k, v := range raw.Attrs {
		text, err := parseAttr(v)
		if err != nil {
			return l, fmt.Errorf("field %.32q: %w", k, err)
		}
		l.Attrs[k] = text
	}
	if len(raw.Code) > 0 {
		text, err := parseAttr(raw.Code)
		if err != nil {
			return l, fmt.Errorf("cause: %w", err)
		}
		if l.Code, err = strconv.Atoi(text); err != nil || l.Code < 0 || l.Code > 255 {
			return l, fmt.Errorf("a cause of %.16q", text)
		}
	}
	if !sidOK {
		return l, errors.New("no session id")
	}
	return l, nil
}

// parseAttr parses a string or a number.
func parseAttr(v json.RawMessage) (string, error) {
	v = bytes.TrimSpace(v)
	if len(v) == 0 {
		return "", errors.New("empty")
	}
	if v[0] == '"' {
		var s string
		err := json.Unmarshal(v, &s)
		return s, err
	}
	if v[0] == '-' || v[0] >= '0' && v[0] <= '9' {
		return string(v), nil
	}
	return "", errors.New("neither string nor number")
}

// Append appends the encoded line, with its line feed, to b. A line longer than MaxMessage, or a text that is not
// UTF-8, is an error.
func (l *Line) Append(b []byte) ([]byte, error) {
	if !utf8.ValidString(l.Text) {
		return b, errors.New("a description that is no UTF-8")
	}
	form := lineJSON{Msg: l.Msg, Sid: Sid(l.Sid), Attrs: l.Attrs}
	if form.Attrs == nil {
		form.Attrs = map[string]string{}
	}
	if l.Msg == LineClose || l.Msg == LineProbed || l.Code != 0 {
		form.Code = &l.Code
	}
	if l.Msg == LineReady || l.Text != "" {
		form.Text = &l.Text
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out) // it adds the line feed
	enc.SetEscapeHTML(false)
	if err := enc.Encode(form); err != nil {
		return b, err
	}
	if out.Len() > MaxMessage {
		return b, fmt.Errorf("a line of %d bytes, %d at most", out.Len(), MaxMessage)
	}
	return append(b, out.Bytes()...), nil
}

// Sid formats a session id.
func Sid(id uint64) string { return fmt.Sprintf("%016x", id) }

// Splitter splits a stream into lines of bounded length.
type Splitter struct {
	maxLine int
	buf     []byte
	err     error
}

// NewSplitter returns a Splitter for lines of at most maxLine bytes, line feed included.
func NewSplitter(maxLine int) *Splitter { return &Splitter{maxLine: maxLine} }

// Feed adds bytes that were read; it copies them. After a line that is too long all input is dropped.
func (s *Splitter) Feed(b []byte) {
	if s.err != nil {
		return
	}
	// Otherwise an endless line would be held in full. Input past the limit is not even copied.
	if nl := bytes.IndexByte(b, '\n'); nl < 0 && len(s.buf)+len(b) > s.maxLine {
		s.err, s.buf = fmt.Errorf("a line of more than %d bytes", s.maxLine), nil
		return
	}
	s.buf = append(s.buf, b...)
}

// Discard drops all input, now and later.
func (s *Splitter) Discard() { s.err, s.buf = errDiscarded, nil }

// errDiscarded is the error of a Splitter whose input is dropped.
var errDiscarded = errors.New("input is dropped")

// PartialBytes returns the number of bytes of an incomplete line, 0 if there is none.
func (s *Splitter) PartialBytes() int {
	if s.err != nil {
		return 0
	}
	return len(s.buf)
}

// Next returns the next line without its line feed, valid until the next Feed, or nil if none is complete.
func (s *Splitter) Next() ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	nl := bytes.IndexByte(s.buf, '\n')
	if nl < 0 && len(s.buf) <= s.maxLine {
		s.buf = trimmed(s.buf)
		return nil, nil
	}
	if nl < 0 || nl >= s.maxLine {
		s.err, s.buf = fmt.Errorf("a line of more than %d bytes", s.maxLine), nil
		return nil, s.err
	}
	line := s.buf[:nl]
	s.buf = s.buf[nl+1:]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// maxUnusedBytes is the most of a buffer that may stay unused while an incomplete line waits for its end.
const maxUnusedBytes = 1 << 10

// trimmed returns a buffer without unused memory: hundreds of connections may each hold an incomplete line.
func trimmed(buf []byte) []byte {
	switch {
	case len(buf) == 0:
		return nil
	case cap(buf)-len(buf) > maxUnusedBytes:
		return bytes.Clone(buf)
	}
	return buf
}

// ContainsClose reports whether the buffered input, followed by next, contains a line that closes the session. It
// changes nothing: the bytes of next are fed when they are read.
func (s *Splitter) ContainsClose(next []byte, session uint64) bool {
	if s.err != nil {
		return false
	}
	sid := []byte(Sid(session))
	// Most input does not name the session: a client that floods may have sent much of it.
	boundary := slices.Concat(s.buf, next[:min(len(next), len(sid))])
	if !bytes.Contains(next, sid) && !bytes.Contains(boundary, sid) {
		return false
	}
	for rest := slices.Concat(s.buf, next); ; {
		nl := bytes.IndexByte(rest, '\n')
		if nl < 0 || nl >= s.maxLine {
			return false
		}
		if line := bytes.TrimSuffix(rest[:nl], []byte("\r")); bytes.Contains(line, sid) {
			if l, err := ParseLine(line); err == nil && l.Msg == LineClose && l.Sid == session {
				return true
			}
		}
		rest = rest[nl+1:]
	}
}

// Package jsonrpc reads and writes the messages of JSON-RPC 2.0, over text frames. It does no I/O.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Error codes of the specification (section 5.1).
const (
	ParseError     = -32700
	InvalidRequest = -32600
	MethodNotFound = -32601
	InvalidParams  = -32602
	InternalError  = -32603
)

// MaxBatch bounds the requests of one batch (section 6).
const MaxBatch = 100

const maxDepth = 32

// Request is one call. ID is the raw JSON of its id; nil marks a notification, which is never answered.
type Request struct {
	Method string
	Params json.RawMessage
	ID     json.RawMessage
	Bad    *Error // it is no valid request; the answer to give
}

// Error is an error object.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Data    any    `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// Parse reads a message: one request, or a batch. An error answers the message as a whole, with id null.
func Parse(text []byte) (list []Request, batch bool, bad *Error) {
	text = bytes.TrimLeft(text, " \t\r\n")
	if err := depth(text); err != nil {
		return nil, false, &Error{Code: ParseError, Message: "parse error: " + err.Error()}
	}
	if len(text) == 0 || text[0] != '[' {
		r, broken := parseOne(text)
		if broken {
			return nil, false, &Error{Code: ParseError, Message: "parse error"}
		}
		return []Request{r}, false, nil
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return nil, false, &Error{Code: ParseError, Message: "parse error"}
	}
	if len(parts) == 0 {
		return nil, false, &Error{Code: InvalidRequest, Message: "empty batch"}
	}
	if len(parts) > MaxBatch {
		return nil, false, &Error{Code: InvalidRequest, Message: fmt.Sprintf("a batch holds %d requests at most", MaxBatch)}
	}
	for _, p := range parts {
		r, _ := parseOne(p) // the batch was read whole: none is broken
		list = append(list, r)
	}
	return list, true, nil
}

// depth refuses deep nesting before the decoder walks into it.
func depth(text []byte) error {
	level, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if level++; level > maxDepth {
				return errors.New("nested too deep")
			}
		case c == ']' || c == '}':
			level--
		}
	}
	return nil
}

// parseOne reads one request; broken tells that it is no JSON at all.
func parseOne(text []byte) (r Request, broken bool) {
	bad := func(id json.RawMessage, why string) (Request, bool) {
		if id == nil {
			id = json.RawMessage("null")
		}
		return Request{ID: id, Bad: &Error{Code: InvalidRequest, Message: why}}, false
	}
	var m struct {
		Version json.RawMessage `json:"jsonrpc"`
		Method  json.RawMessage `json:"method"`
		Params  json.RawMessage `json:"params"`
		ID      json.RawMessage `json:"id"`
	}
	if err := json.Unmarshal(text, &m); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) || len(text) == 0 {
			return r, true
		}
		return bad(nil, "invalid request")
	}
	if len(m.ID) > 0 {
		if c := m.ID[0]; c != '"' && c != '-' && (c < '0' || c > '9') && string(m.ID) != "null" {
			return bad(nil, "id must be a string, a number or null")
		}
		if len(m.ID) > 256 {
			return bad(nil, "id over 256 bytes")
		}
	} else if bytes.Contains(text, []byte(`"id"`)) && m.ID == nil && hasNullID(text) {
		m.ID = json.RawMessage("null")
	}
	if string(m.Version) != `"2.0"` {
		return bad(m.ID, `jsonrpc must be "2.0"`)
	}
	if len(m.Method) < 2 || m.Method[0] != '"' || json.Unmarshal(m.Method, &r.Method) != nil {
		return bad(m.ID, "method must be a string")
	}
	if len(m.Params) > 0 && m.Params[0] != '{' && m.Params[0] != '[' {
		return bad(m.ID, "params must be an object or an array")
	}
	r.Params, r.ID = m.Params, m.ID
	return r, false
}

// hasNullID tells an id of null from none: the decoder reads both as nil.
func hasNullID(text []byte) bool {
	var m map[string]json.RawMessage
	if json.Unmarshal(text, &m) != nil {
		return false
	}
	_, ok := m["id"]
	return ok
}

// Result writes the answer to a request.
func Result(id json.RawMessage, result any) []byte {
	b, err := json.Marshal(result)
	if err != nil {
		return Failure(id, &Error{Code: InternalError, Message: "internal error"})
	}
	out := make([]byte, 0, len(b)+len(id)+40)
	out = append(out, `{"jsonrpc":"2.0","result":`...)
	out = append(out, b...)
	out = append(out, `,"id":`...)
	return append(append(out, id...), '}')
}

// Failure writes an error as the answer; a nil id is written as null.
func Failure(id json.RawMessage, e *Error) []byte {
	if len(id) == 0 {
		id = json.RawMessage("null")
	}
	b, err := json.Marshal(e)
	if err != nil {
		b = []byte(`{"code":-32603,"message":"internal error"}`)
	}
	out := append([]byte(`{"jsonrpc":"2.0","error":`), b...)
	out = append(out, `,"id":`...)
	return append(append(out, id...), '}')
}

// Notify writes a notification.
func Notify(method string, params any) []byte {
	b, err := json.Marshal(params)
	if err != nil {
		b = []byte("{}")
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","method":%q,"params":%s}`, method, b)
}

// Join writes answers as one batch.
func Join(list [][]byte) []byte {
	return append(append([]byte{'['}, bytes.Join(list, []byte{','})...), ']')
}

// Peek finds, without decoding, what a front must know to turn a plain request away: its method, the raw id, and two
// string parameters. It is for messages as clients write them; ok is false for anything else (a batch, escapes in
// what is looked for, another form), which is then parsed in full. It never reads more into a message than Parse does.
func Peek(text []byte, first, second string) (method, id, a, b []byte, ok bool) {
	s := scanner{text: text}
	if !s.eat('{') {
		return
	}
	version := false
	for {
		key, good := s.str()
		if !good || !s.eat(':') {
			return nil, nil, nil, nil, false
		}
		switch string(key) {
		case "jsonrpc":
			v, good := s.str()
			if version = good && string(v) == "2.0"; !version {
				return nil, nil, nil, nil, false
			}
		case "method":
			if method, good = s.str(); !good {
				return nil, nil, nil, nil, false
			}
		case "id":
			if id, good = s.scalar(); !good || len(id) > 256 {
				return nil, nil, nil, nil, false
			}
		case "params":
			if !s.eat('{') {
				return nil, nil, nil, nil, false
			}
			for !s.eat('}') {
				key, good := s.str()
				if !good || !s.eat(':') {
					return nil, nil, nil, nil, false
				}
				raw, good := s.scalar()
				if !good {
					return nil, nil, nil, nil, false
				}
				if string(key) == first {
					a = bytes.Trim(raw, `"`)
				} else if string(key) == second {
					b = bytes.Trim(raw, `"`)
				}
				if !s.eat(',') && !s.see('}') {
					return nil, nil, nil, nil, false
				}
			}
		default:
			return nil, nil, nil, nil, false
		}
		if s.eat(',') {
			continue
		}
		ok = s.eat('}') && s.end() && version && len(id) > 0 && len(method) > 0
		return method, id, a, b, ok
	}
}

// scanner walks over plain JSON.
type scanner struct {
	text []byte
	at   int
}

func (s *scanner) space() {
	for s.at < len(s.text) && (s.text[s.at] == ' ' || s.text[s.at] == '\n' || s.text[s.at] == '\t' || s.text[s.at] == '\r') {
		s.at++
	}
}

func (s *scanner) see(c byte) bool {
	s.space()
	return s.at < len(s.text) && s.text[s.at] == c
}

func (s *scanner) eat(c byte) bool {
	if s.see(c) {
		s.at++
		return true
	}
	return false
}

func (s *scanner) end() bool { s.space(); return s.at == len(s.text) }

// str reads a string without escapes.
func (s *scanner) str() ([]byte, bool) {
	if !s.eat('"') {
		return nil, false
	}
	from := s.at
	for ; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; {
		case c == '"':
			s.at++
			return s.text[from : s.at-1], true
		case c == '\\' || c < ' ':
			return nil, false
		}
	}
	return nil, false
}

// scalar reads a string, number or word, as written.
func (s *scanner) scalar() ([]byte, bool) {
	s.space()
	from := s.at
	if s.see('"') {
		_, ok := s.str()
		return s.text[from:s.at], ok
	}
	for s.at < len(s.text) && s.text[s.at] != ',' && s.text[s.at] != '}' && s.text[s.at] > ' ' {
		s.at++
	}
	word := s.text[from:s.at]
	return word, len(word) > 0 && json.Valid(word) && word[0] != '[' && word[0] != '{'
}

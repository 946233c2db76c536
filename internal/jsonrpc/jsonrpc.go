// Package jsonrpc decodes and encodes JSON-RPC 2.0 messages, one per text frame. It does no I/O.
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

// MaxBatch limits the requests of one batch (section 6).
const MaxBatch = 100

// maxDepth limits the nesting of arrays and objects.
const maxDepth = 32

// Request is one request. ID is the raw JSON of its id; nil marks a notification, which gets no response.
type Request struct {
	Method string
	Params json.RawMessage
	ID     json.RawMessage
	Err    *Error // set if the request is invalid; the error to respond with
}

// Error is the error object of a response (section 5.1).
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Data    any    `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// Parse decodes a message, which is one request or a batch. If failure is not nil, it is the response to the whole
// message, with id null.
func Parse(text []byte) (requests []Request, batch bool, failure *Error) {
	text = bytes.TrimLeft(text, " \t\r\n")
	if err := checkDepth(text); err != nil {
		return nil, false, &Error{Code: ParseError, Message: "parse error: " + err.Error()}
	}
	if len(text) == 0 || text[0] != '[' {
		r, notJSON := parseRequest(text)
		if notJSON {
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
		return nil, false, &Error{Code: InvalidRequest,
			Message: fmt.Sprintf("a batch holds %d requests at most", MaxBatch)}
	}
	for _, p := range parts {
		r, _ := parseRequest(p) // the whole batch was decoded, so each part is valid JSON
		requests = append(requests, r)
	}
	return requests, true, nil
}

// checkDepth rejects deep nesting before the decoder recurses into it.
func checkDepth(text []byte) error {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > maxDepth {
				return errors.New("nested too deep")
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}

// parseRequest decodes one request. notJSON reports that the text is not valid JSON.
func parseRequest(text []byte) (request Request, notJSON bool) {
	invalid := func(id json.RawMessage, reason string) (Request, bool) {
		if id == nil {
			id = json.RawMessage("null")
		}
		return Request{ID: id, Err: &Error{Code: InvalidRequest, Message: reason}}, false
	}
	var message struct {
		Version json.RawMessage `json:"jsonrpc"`
		Method  json.RawMessage `json:"method"`
		Params  json.RawMessage `json:"params"`
		ID      json.RawMessage `json:"id"`
	}
	if err := json.Unmarshal(text, &message); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) || len(text) == 0 {
			return request, true
		}
		return invalid(nil, "invalid request")
	}
	if len(message.ID) > 0 {
		if c := message.ID[0]; c != '"' && c != '-' && (c < '0' || c > '9') && string(message.ID) != "null" {
			return invalid(nil, "id must be a string, a number or null")
		}
		if len(message.ID) > 256 {
			return invalid(nil, "id over 256 bytes")
		}
	} else if bytes.Contains(text, []byte(`"id"`)) && message.ID == nil && hasNullID(text) {
		message.ID = json.RawMessage("null")
	}
	if string(message.Version) != `"2.0"` {
		return invalid(message.ID, `jsonrpc must be "2.0"`)
	}
	if len(message.Method) < 2 || message.Method[0] != '"' || json.Unmarshal(message.Method, &request.Method) != nil {
		return invalid(message.ID, "method must be a string")
	}
	if len(message.Params) > 0 && message.Params[0] != '{' && message.Params[0] != '[' {
		return invalid(message.ID, "params must be an object or an array")
	}
	request.Params, request.ID = message.Params, message.ID
	return request, false
}

// hasNullID reports whether a request has an id. The decoder returns nil for both an absent id and an id of null.
func hasNullID(text []byte) bool {
	var message map[string]json.RawMessage
	if json.Unmarshal(text, &message) != nil {
		return false
	}
	_, ok := message["id"]
	return ok
}

// Result encodes the response to a successful request.
func Result(id json.RawMessage, result any) []byte {
	body, err := json.Marshal(result)
	if err != nil {
		return Failure(id, &Error{Code: InternalError, Message: "internal error"})
	}
	out := make([]byte, 0, len(body)+len(id)+40)
	out = append(out, `{"jsonrpc":"2.0","result":`...)
	out = append(out, body...)
	out = append(out, `,"id":`...)
	return append(append(out, id...), '}')
}

// Failure encodes an error response; a nil id is encoded as null.
func Failure(id json.RawMessage, e *Error) []byte {
	if len(id) == 0 {
		id = json.RawMessage("null")
	}
	body, err := json.Marshal(e)
	if err != nil {
		body = []byte(`{"code":-32603,"message":"internal error"}`)
	}
	out := append([]byte(`{"jsonrpc":"2.0","error":`), body...)
	out = append(out, `,"id":`...)
	return append(append(out, id...), '}')
}

// Notify encodes a notification.
func Notify(method string, params any) []byte {
	body, err := json.Marshal(params)
	if err != nil {
		body = []byte("{}")
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","method":%q,"params":%s}`, method, body)
}

// Join combines responses into one batch.
func Join(responses [][]byte) []byte {
	return append(append([]byte{'['}, bytes.Join(responses, []byte{','})...), ']')
}

// Peek extracts, without decoding, the parts of a simple request that a front needs to refuse it: its method, its raw
// id, and two string parameters. It handles the form that clients usually send. For anything else (a batch, escapes in
// a string, another form) ok is false, and the caller must use Parse. Peek accepts no message that Parse rejects,
// and extracts the same values.
func Peek(text []byte, firstParam, secondParam string) (method, id, firstValue, secondValue []byte, ok bool) {
	s := scanner{text: text}
	if !s.accept('{') {
		return
	}
	version := false
	for {
		key, valid := s.readString()
		if !valid || !s.accept(':') {
			return nil, nil, nil, nil, false
		}
		switch string(key) {
		case "jsonrpc":
			v, valid := s.readString()
			if version = valid && string(v) == "2.0"; !version {
				return nil, nil, nil, nil, false
			}
		case "method":
			if method, valid = s.readString(); !valid {
				return nil, nil, nil, nil, false
			}
		case "id":
			if id, valid = s.readScalar(); !valid || len(id) > 256 {
				return nil, nil, nil, nil, false
			}
		case "params":
			if !s.accept('{') {
				return nil, nil, nil, nil, false
			}
			for !s.accept('}') {
				key, valid := s.readString()
				if !valid || !s.accept(':') {
					return nil, nil, nil, nil, false
				}
				raw, valid := s.readScalar()
				if !valid {
					return nil, nil, nil, nil, false
				}
				if string(key) == firstParam {
					firstValue = bytes.Trim(raw, `"`)
				} else if string(key) == secondParam {
					secondValue = bytes.Trim(raw, `"`)
				}
				if !s.accept(',') && !s.nextIs('}') {
					return nil, nil, nil, nil, false
				}
			}
		default:
			return nil, nil, nil, nil, false
		}
		if s.accept(',') {
			continue
		}
		ok = s.accept('}') && s.atEnd() && version && len(id) > 0 && len(method) > 0
		return method, id, firstValue, secondValue, ok
	}
}

// scanner scans simple JSON text without decoding it.
type scanner struct {
	text   []byte
	offset int
}

func (s *scanner) skipSpace() {
	for s.offset < len(s.text) && (s.text[s.offset] == ' ' || s.text[s.offset] == '\n' ||
		s.text[s.offset] == '\t' || s.text[s.offset] == '\r') {
		s.offset++
	}
}

// nextIs reports whether the next character after white space is c.
func (s *scanner) nextIs(c byte) bool {
	s.skipSpace()
	return s.offset < len(s.text) && s.text[s.offset] == c
}

// accept consumes the next character if it is c.
func (s *scanner) accept(c byte) bool {
	if s.nextIs(c) {
		s.offset++
		return true
	}
	return false
}

func (s *scanner) atEnd() bool { s.skipSpace(); return s.offset == len(s.text) }

// readString reads a string without escapes and returns its contents.
func (s *scanner) readString() ([]byte, bool) {
	if !s.accept('"') {
		return nil, false
	}
	start := s.offset
	for ; s.offset < len(s.text); s.offset++ {
		switch c := s.text[s.offset]; {
		case c == '"':
			s.offset++
			return s.text[start : s.offset-1], true
		case c == '\\' || c < ' ':
			return nil, false
		}
	}
	return nil, false
}

// readScalar reads a string, a number or a literal and returns it as written, quotes included.
func (s *scanner) readScalar() ([]byte, bool) {
	s.skipSpace()
	start := s.offset
	if s.nextIs('"') {
		_, ok := s.readString()
		return s.text[start:s.offset], ok
	}
	for s.offset < len(s.text) && s.text[s.offset] != ',' && s.text[s.offset] != '}' && s.text[s.offset] > ' ' {
		s.offset++
	}
	word := s.text[start:s.offset]
	return word, len(word) > 0 && json.Valid(word) && word[0] != '[' && word[0] != '{'
}

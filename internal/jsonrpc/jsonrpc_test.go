package jsonrpc

import (
	"encoding/json"
	"strings"
	"testing"
)

// The cases follow JSON-RPC 2.0 sections 4 to 6.
func TestParsesAndRejectsRequests(t *testing.T) {
	for name, c := range map[string]struct {
		in     string
		method string
		id     string // "-": notification
		code   int    // error code of the request or of the whole message
	}{
		"call":                 {`{"jsonrpc":"2.0","method":"a","params":{"x":1},"id":7}`, "a", "7", 0},
		"string id":            {`{"jsonrpc":"2.0","method":"a","id":"q"}`, "a", `"q"`, 0},
		"null id is an id":     {`{"jsonrpc":"2.0","method":"a","id":null}`, "a", "null", 0},
		"notification":         {`{"jsonrpc":"2.0","method":"a"}`, "a", "-", 0},
		"no version":           {`{"method":"a","id":1}`, "", "1", InvalidRequest},
		"version 1":            {`{"jsonrpc":"1.0","method":"a","id":1}`, "", "1", InvalidRequest},
		"method a number":      {`{"jsonrpc":"2.0","method":1,"id":1}`, "", "1", InvalidRequest},
		"no method":            {`{"jsonrpc":"2.0","id":1}`, "", "1", InvalidRequest},
		"params a string":      {`{"jsonrpc":"2.0","method":"a","params":"x","id":1}`, "", "1", InvalidRequest},
		"id an object":         {`{"jsonrpc":"2.0","method":"a","id":{}}`, "", "null", InvalidRequest},
		"not an object":        {`17`, "", "null", InvalidRequest},
		"not json":             {`{"jsonrpc":`, "", "", ParseError},
		"empty":                {``, "", "", ParseError},
		"empty batch":          {`[]`, "", "", InvalidRequest},
		"batch not json":       {`[{},`, "", "", ParseError},
		"deep":                 {strings.Repeat("[", 1000), "", "", ParseError},
		"brackets in a string": {`{"jsonrpc":"2.0","method":"` + strings.Repeat("[", 40) + `","id":1}`, strings.Repeat("[", 40), "1", 0},
		"oversized id":         {`{"jsonrpc":"2.0","method":"a","id":"` + strings.Repeat("x", 300) + `"}`, "", "null", InvalidRequest},
	} {
		list, _, failure := Parse([]byte(c.in))
		if failure != nil {
			if failure.Code != c.code {
				t.Errorf("%s: %v", name, failure)
			}
			continue
		}
		r := list[0]
		id := string(r.ID)
		if r.ID == nil {
			id = "-"
		}
		if r.Method != c.method || id != c.id || (r.Err != nil) != (c.code != 0) ||
			r.Err != nil && r.Err.Code != c.code {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

func TestParsesAndJoinsBatches(t *testing.T) {
	list, batch, failure := Parse([]byte(`[{"jsonrpc":"2.0","method":"a","id":1},1]`))
	if failure != nil || !batch || len(list) != 2 || list[1].Err == nil {
		t.Fatal(list, batch, failure)
	}
	if _, _, failure := Parse([]byte("[" + strings.Repeat("1,", MaxBatch) + "1]")); failure == nil ||
		failure.Code != InvalidRequest {
		t.Fatal(failure)
	}
	if got := string(Join([][]byte{Result(list[0].ID, 5), Failure(nil, list[1].Err)})); !json.Valid([]byte(got)) ||
		!strings.HasPrefix(got, `[{"jsonrpc":"2.0","result":5,"id":1},{"jsonrpc":"2.0","error":{"code":-32600`) {
		t.Fatal(got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"jsonrpc":"2.0","method":"a","id":1},1]`))
	f.Fuzz(func(t *testing.T, in []byte) {
		list, _, _ := Parse(in)
		for _, r := range list {
			if r.ID != nil && !json.Valid(r.ID) {
				t.Fatalf("id %q", r.ID)
			}
			if !json.Valid(Failure(r.ID, &Error{Code: 1})) {
				t.Fatal("the response is not valid JSON")
			}
		}
	})
}

func TestPeekAcceptsOnlySimpleRequests(t *testing.T) {
	m, id, a, b, ok := Peek([]byte(`{"jsonrpc":"2.0", "method":"session.open","params":{"class":"x","top":3,"tenant":"y"},"id":"q 1"}`), "class", "tenant")
	if !ok || string(m) != "session.open" || string(id) != `"q 1"` || string(a) != "x" || string(b) != "y" {
		t.Fatal(string(m), string(id), string(a), string(b), ok)
	}
	for _, in := range []string{``, `{}`, `[]`, `{"jsonrpc":"2.0","method":"a"}`, `{"jsonrpc":"1.0","method":"a","id":1}`, `{"jsonrpc":"2.0","method":"\u0061","id":1}`,
		`{"jsonrpc":"2.0","method":"a","id":[1]}`, `{"jsonrpc":"2.0","method":"a","id":1}x`, `{"jsonrpc":"2.0","method":"a","params":{"class":{}},"id":1}`,
		`{"jsonrpc":"2.0","method":"a","id":1`, `{"jsonrpc":"2.0","method":"a","id":1,}`, `{"jsonrpc":"2.0","method":"a","id":nonsense}`} {
		if _, _, _, _, ok := Peek([]byte(in), "class", "tenant"); ok {
			t.Errorf("%s was accepted", in)
		}
	}
}

func FuzzPeek(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","method":"a","params":{"class":"x"},"id":1}`))
	f.Add([]byte(`{"id":1,"jsonrpc":"2.0","method":"a","id":2}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		method, id, class, _, ok := Peek(in, "class", "tenant")
		if !ok {
			return
		}
		list, batch, failure := Parse(in)
		if failure != nil || batch || len(list) != 1 || list[0].Err != nil ||
			list[0].Method != string(method) || string(list[0].ID) != string(id) {
			t.Fatalf("peeked %q %q, parsed %+v %v", method, id, list, failure)
		}
		var p struct{ Class string }
		if class != nil && json.Unmarshal(list[0].Params, &p) == nil && p.Class != string(class) &&
			!strings.EqualFold(p.Class, string(class)) {
			t.Fatalf("class %q, parsed %q", class, p.Class)
		}
	})
}

package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/node"
	"tealledge/internal/record"
)

// Commands to fronts, and what they answer, written down for the check of their history.

func (r *Rig) call(ctx context.Context, front int, method, path string, body, to any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Control(front)+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var e struct{ Error string }
		json.NewDecoder(res.Body).Decode(&e)
		return fmt.Errorf("front-%d: %s", front, e.Error)
	}
	return json.NewDecoder(res.Body).Decode(to)
}

// Ask asks for servers at a front and writes the call down.
func (r *Rig) Ask(ctx context.Context, front int, key string, servers ...uint32) (ledger.Answer, error) {
	var names []string
	for _, s := range servers {
		names = append(names, fmt.Sprint("server:", s))
	}
	r.Record().Add(record.Event{Who: "operator", What: record.WorkAsked, Call: key, Text: strings.Join(names, " ")})
	return r.order(ctx, front, "ask", Call{Key: key}, node.Ask{Names: names, For: 3 * time.Second, Key: key})
}

// Order cancels a work or reports it done.
func (r *Rig) Order(ctx context.Context, front int, kind, key string, id uint64) (ledger.Answer, error) {
	return r.order(ctx, front, kind, Call{Key: key, ID: id}, node.Order{ID: id, Key: key})
}

func (r *Rig) order(ctx context.Context, front int, kind string, c Call, body any) (ledger.Answer, error) {
	c.Kind, c.Begin = kind, time.Now().UnixNano()
	err := r.call(ctx, front, "POST", "/upkeep/"+kind, body, &c.Answer)
	c.End = time.Now().UnixNano()
	c.Unknown = err != nil || c.Answer.Err == core.ErrUnknown
	r.mu.Lock()
	r.calls = append(r.calls, c)
	r.mu.Unlock()
	return c.Answer, err
}

// Calls gives all commands that were given.
func (r *Rig) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// Status asks a front how things stand.
func (r *Rig) Status(ctx context.Context, front int) (s core.Status, err error) {
	err = r.call(ctx, front, "GET", "/fleet", nil, &s)
	return s, err
}

// List asks a front for all works.
func (r *Rig) Works(ctx context.Context, front int) (l node.Listing, err error) {
	err = r.call(ctx, front, "GET", "/upkeep", nil, &l)
	return l, err
}

// Leader gives the front that says it leads and is fresh, -1 if none does.
func (r *Rig) Leader(ctx context.Context) int {
	for i := range r.voters {
		if r.isDown(i) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		s, err := r.Status(ctx, i)
		cancel()
		if err == nil && s.Fresh && s.Lead == s.Name {
			return i
		}
	}
	return -1
}

func (r *Rig) isDown(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[i]
}

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

// call sends a request to a front's control API and decodes the response into to.
func (r *Rig) call(ctx context.Context, front int, method, path string, body, to any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.ControlAddr(front)+path, bytes.NewReader(b))
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

// RequestWork requests work on servers at a front and records the call.
func (r *Rig) RequestWork(ctx context.Context, front int, key string, servers ...uint32) (ledger.CommandResult, error) {
	var names []string
	for _, s := range servers {
		names = append(names, fmt.Sprint("server:", s))
	}
	r.Record().Add(record.Event{Source: "operator", Kind: record.WorkRequested, Ref: key,
		Text: strings.Join(names, " ")})
	return r.command(ctx, front, "ask", Call{Key: key},
		node.WorkRequest{Names: names, WorkDuration: 3 * time.Second, Key: key})
}

// CommandWork cancels a work or reports it done.
func (r *Rig) CommandWork(ctx context.Context, front int, kind, key string, id uint64) (ledger.CommandResult, error) {
	return r.command(ctx, front, kind, Call{Key: key, ID: id}, node.WorkCommand{ID: id, Key: key})
}

// command sends a command and records it with its result, for the check of the history.
func (r *Rig) command(ctx context.Context, front int, kind string, call Call, body any) (ledger.CommandResult, error) {
	call.Kind, call.StartedAt = kind, time.Now().UnixNano()
	err := r.call(ctx, front, "POST", "/upkeep/"+kind, body, &call.Result)
	call.EndedAt = time.Now().UnixNano()
	call.Unknown = err != nil || call.Result.Err == core.ErrUnknown
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	return call.Result, err
}

// Calls returns all commands that were sent, with their results.
func (r *Rig) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// Status returns the fleet's status as a front reports it.
func (r *Rig) Status(ctx context.Context, front int) (s core.Status, err error) {
	err = r.call(ctx, front, "GET", "/fleet", nil, &s)
	return s, err
}

// Works returns all works as a front lists them.
func (r *Rig) Works(ctx context.Context, front int) (l node.Listing, err error) {
	err = r.call(ctx, front, "GET", "/upkeep", nil, &l)
	return l, err
}

// Leader returns the voter that reports itself as leader with fresh state, -1 if there is none.
func (r *Rig) Leader(ctx context.Context) int {
	for i := range r.voters {
		if r.isDown(i) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		s, err := r.Status(ctx, i)
		cancel()
		if err == nil && s.Fresh && s.Leader == s.Name {
			return i
		}
	}
	return -1
}

// isDown reports whether a front is killed or paused.
func (r *Rig) isDown(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[i]
}

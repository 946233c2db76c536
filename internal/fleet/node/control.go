package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
)

// control is the HTTP server for the operators' commands, which are JSON. It listens on this host only (the settings
// refuse other addresses), and therefore has no authentication of its own.
type control struct {
	server   *http.Server
	listener net.Listener
}

// Limits of a request: the size of its body, and times to wait.
const (
	maxRequestBytes   = 64 << 10
	requestTimeout    = 15 * time.Second
	waitReasonTimeout = 600 * time.Millisecond
)

// WorkRequest is the body of POST /upkeep/ask.
type WorkRequest struct {
	Names        []string      `json:"names"`
	WorkDuration time.Duration `json:"for"`
	Deadline     int64         `json:"by,omitempty"` // Unix nanoseconds; 0: no deadline
	Note         string        `json:"note,omitempty"`
	Key          string        `json:"key"`
}

// WorkCommand is the body of POST /upkeep/cancel and POST /upkeep/done.
type WorkCommand struct {
	ID  uint64 `json:"id"`
	Key string `json:"key"`
}

// WorkStatus is a work as the control API reports it.
type WorkStatus struct {
	ledger.Work
	WaitReason *upkeep.Answer `json:"waits,omitempty"` // reported by the leader; absent: it did not reply
}

// Listing is the response of GET /upkeep.
type Listing struct {
	Front  string       `json:"front"`
	Leader string       `json:"lead"`
	Fresh  bool         `json:"fresh"`
	Works  []WorkStatus `json:"works"`
}

func (n *Node) serveControl() (*control, error) {
	ln, err := net.Listen("tcp", n.cfg.Control)
	if err != nil {
		return nil, fmt.Errorf("fleet: control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		var s core.Status
		err := n.Inspect(r.Context(), func(c *core.Core) { s = c.Status() })
		writeReply(w, s, err)
	})
	mux.HandleFunc("GET /upkeep", func(w http.ResponseWriter, r *http.Request) {
		l, err := n.listing(r.Context(), 0)
		writeReply(w, l, err)
	})
	mux.HandleFunc("GET /upkeep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
		if err != nil {
			writeReply(w, nil, errors.New("a work is identified by its number"))
			return
		}
		l, err := n.listing(r.Context(), id)
		if err == nil && len(l.Works) == 0 {
			err = fmt.Errorf("no work %d is known here", id)
		}
		writeReply(w, l, err)
	})
	mux.HandleFunc("POST /upkeep/ask", func(w http.ResponseWriter, r *http.Request) {
		var a WorkRequest
		if !decodeBody(w, r, &a) {
			return
		}
		e, err := n.requestEntry(r.Context(), a)
		n.execute(w, r, e, err)
	})
	for path, kind := range map[string]ledger.Kind{"cancel": ledger.KindCancel, "done": ledger.KindDone} {
		mux.HandleFunc("POST /upkeep/"+path, func(w http.ResponseWriter, r *http.Request) {
			var o WorkCommand
			if decodeBody(w, r, &o) {
				n.execute(w, r, ledger.Entry{Kind: kind, ID: o.ID, Key: o.Key}, nil)
			}
		})
	}
	c := &control{listener: ln, server: &http.Server{Handler: mux, ReadTimeout: requestTimeout,
		WriteTimeout: 2 * requestTimeout, MaxHeaderBytes: 16 << 10}}
	go c.server.Serve(ln)
	return c, nil
}

func (c *control) close() { c.server.Close() }

// ControlAddr returns the address of the control API, "" if there is none.
func (n *Node) ControlAddr() string {
	if n.control == nil {
		return ""
	}
	return n.control.listener.Addr().String()
}

// requestEntry checks a request as far as this front can and makes a ledger entry of it.
func (n *Node) requestEntry(ctx context.Context, body WorkRequest) (e ledger.Entry, err error) {
	if body.WorkDuration < time.Second || body.WorkDuration > 30*24*time.Hour {
		return e, fmt.Errorf("work of %v: the duration must be 1 s to 30 days", body.WorkDuration)
	}
	if len(body.Note) > 1000 || len(body.Key) > 100 {
		return e, errors.New("the note is longer than 1000 or the key longer than 100 characters")
	}
	var request ledger.Request
	if inspectErr := n.Inspect(ctx, func(c *core.Core) { request, err = c.Resolve(body.Names) }); inspectErr != nil {
		return e, inspectErr
	}
	request.WorkDuration, request.Deadline, request.Note = int64(body.WorkDuration), body.Deadline, body.Note
	return ledger.Entry{Kind: ledger.KindRequest, Key: body.Key, Request: &request}, err
}

// execute runs an entry as a command and writes its result, or err as the response if it is set.
func (n *Node) execute(w http.ResponseWriter, r *http.Request, e ledger.Entry, err error) {
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	a, err := n.Command(ctx, e)
	writeReply(w, a, err)
}

// listing returns all works, or only the one with the given ID if that is not 0. Only the leader knows why works wait,
// so listing asks it and waits up to waitReasonTimeout for the reply.
func (n *Node) listing(ctx context.Context, id uint64) (l Listing, err error) {
	requestedAt := n.now()
	if err := n.Inspect(ctx, func(c *core.Core) { c.RequestWaitReasons(requestedAt) }); err != nil {
		return l, err
	}
	for deadline := time.Now().Add(waitReasonTimeout); ; {
		var reasonsAt int64
		err = n.Inspect(ctx, func(c *core.Core) {
			l = Listing{Front: n.cfg.Name, Leader: c.Leader(), Fresh: c.Fresh()}
			var reasons map[uint64]upkeep.Answer
			reasons, reasonsAt = c.WaitReasons()
			for _, w := range c.State().Works {
				if id != 0 && w.ID != id {
					continue
				}
				s := WorkStatus{Work: *w}
				if a, ok := reasons[w.ID]; ok && reasonsAt >= requestedAt && w.Phase == ledger.Requested {
					s.WaitReason = &a
				}
				l.Works = append(l.Works, s)
			}
		})
		if err != nil || reasonsAt >= requestedAt || time.Now().After(deadline) {
			return l, err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

// decodeBody reads the JSON body of a request into dst; if that fails, it writes the error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, dst any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		writeReply(w, nil, fmt.Errorf("cannot decode the command: %w", err))
		return false
	}
	return true
}

// writeReply writes v, or err as a bad request, as JSON.
func writeReply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		v = map[string]string{"error": err.Error()}
	}
	json.NewEncoder(w).Encode(v)
}

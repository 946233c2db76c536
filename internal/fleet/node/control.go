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

// The control address: commands of those who run the platform, as JSON over HTTP. It is for this host alone (settings
// refuse others), and so has no sign-in of its own.

type control struct {
	server *http.Server
	ln     net.Listener
}

// Bounds of a request.
const (
	controlBody = 64 << 10
	controlWait = 15 * time.Second
	whyWait     = 600 * time.Millisecond
)

// Ask is what POST /upkeep/ask takes.
type Ask struct {
	Names []string      `json:"names"`
	For   time.Duration `json:"for"`
	By    int64         `json:"by,omitempty"` // Unix nanoseconds; 0: no matter when
	Note  string        `json:"note,omitempty"`
	Key   string        `json:"key"`
}

// Order is what POST /upkeep/cancel and /upkeep/done take.
type Order struct {
	ID  uint64 `json:"id"`
	Key string `json:"key"`
}

// Shown is a work as it is shown.
type Shown struct {
	ledger.Work
	Waits *upkeep.Answer `json:"waits,omitempty"` // as the leader says; absent: it did not answer
}

// Listing is what GET /upkeep gives.
type Listing struct {
	Front string  `json:"front"`
	Lead  string  `json:"lead"`
	Fresh bool    `json:"fresh"`
	Works []Shown `json:"works"`
}

func (n *Node) serveControl() (*control, error) {
	ln, err := net.Listen("tcp", n.cfg.Control)
	if err != nil {
		return nil, fmt.Errorf("fleet: control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		var s core.Status
		err := n.Look(r.Context(), func(c *core.Core) { s = c.Status() })
		reply(w, s, err)
	})
	mux.HandleFunc("GET /upkeep", func(w http.ResponseWriter, r *http.Request) {
		l, err := n.listing(r.Context(), 0)
		reply(w, l, err)
	})
	mux.HandleFunc("GET /upkeep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
		if err != nil {
			reply(w, nil, errors.New("a work is told by its number"))
			return
		}
		l, err := n.listing(r.Context(), id)
		if err == nil && len(l.Works) == 0 {
			err = fmt.Errorf("no work %d is known here", id)
		}
		reply(w, l, err)
	})
	mux.HandleFunc("POST /upkeep/ask", func(w http.ResponseWriter, r *http.Request) {
		var a Ask
		if !take(w, r, &a) {
			return
		}
		e, err := n.asked(r.Context(), a)
		n.command(w, r, e, err)
	})
	for path, kind := range map[string]ledger.Kind{"cancel": ledger.KindCancel, "done": ledger.KindDone} {
		mux.HandleFunc("POST /upkeep/"+path, func(w http.ResponseWriter, r *http.Request) {
			var o Order
			if take(w, r, &o) {
				n.command(w, r, ledger.Entry{Kind: kind, ID: o.ID, Key: o.Key}, nil)
			}
		})
	}
	c := &control{ln: ln, server: &http.Server{Handler: mux, ReadTimeout: controlWait, WriteTimeout: 2 * controlWait, MaxHeaderBytes: 16 << 10}}
	go c.server.Serve(ln)
	return c, nil
}

func (c *control) close() { c.server.Close() }

// ControlAddr is where commands are taken.
func (n *Node) ControlAddr() string {
	if n.control == nil {
		return ""
	}
	return n.control.ln.Addr().String()
}

// asked checks an ask as far as that can be done here.
func (n *Node) asked(ctx context.Context, a Ask) (e ledger.Entry, err error) {
	if a.For < time.Second || a.For > 30*24*time.Hour {
		return e, fmt.Errorf("work of %v: 1 s to 30 days may be", a.For)
	}
	if len(a.Note) > 1000 || len(a.Key) > 100 {
		return e, errors.New("a note of over 1000 or a key of over 100 characters")
	}
	var ask ledger.Ask
	if look := n.Look(ctx, func(c *core.Core) { ask, err = c.Resolve(a.Names) }); look != nil {
		return e, look
	}
	ask.For, ask.By, ask.Note = int64(a.For), a.By, a.Note
	return ledger.Entry{Kind: ledger.KindAsk, Key: a.Key, Ask: &ask}, err
}

func (n *Node) command(w http.ResponseWriter, r *http.Request, e ledger.Entry, err error) {
	if err != nil {
		reply(w, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), controlWait)
	defer cancel()
	a, err := n.Command(ctx, e)
	reply(w, a, err)
}

// listing gives all works, or one. Why they wait is the leader's to say: it is asked, and given a moment.
func (n *Node) listing(ctx context.Context, id uint64) (l Listing, err error) {
	asked := n.now()
	if err := n.Look(ctx, func(c *core.Core) { c.AskWhy(asked) }); err != nil {
		return l, err
	}
	for until := time.Now().Add(whyWait); ; {
		var at int64
		err = n.Look(ctx, func(c *core.Core) {
			l = Listing{Front: n.cfg.Name, Lead: c.Lead(), Fresh: c.Fresh()}
			var whys map[uint64]upkeep.Answer
			whys, at = c.Whys()
			for _, w := range c.State().Works {
				if id != 0 && w.ID != id {
					continue
				}
				s := Shown{Work: *w}
				if a, ok := whys[w.ID]; ok && at >= asked && w.Phase == ledger.Asked {
					s.Waits = &a
				}
				l.Works = append(l.Works, s)
			}
		})
		if err != nil || at >= asked || time.Now().After(until) {
			return l, err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

func take(w http.ResponseWriter, r *http.Request, to any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, controlBody))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		reply(w, nil, fmt.Errorf("this command can't be read: %w", err))
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		v = map[string]string{"error": err.Error()}
	}
	json.NewEncoder(w).Encode(v)
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/node"
)

// Commands for a fleet, given at any of its fronts: by default at the one on this host.

// at is where a front takes commands.
type at struct {
	At   string `default:"127.0.0.1:7947" env:"TEALLEDGE_CONTROL" help:"Where the front takes commands: control in its settings."`
	JSON bool   `name:"json" help:"As JSON."`
}

// answerMost bounds what is read of an answer.
const answerMost = 64 << 20

func (a *at) call(ctx context.Context, method, path string, body, to any) error {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.At+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no front answers at %s: %w", a.At, err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, answerMost))
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		var e struct{ Error string }
		if json.Unmarshal(text, &e) != nil || e.Error == "" {
			e.Error = r.Status
		}
		return errors.New(e.Error)
	}
	return json.Unmarshal(text, to)
}

func show(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type upkeepCmd struct {
	Ask    upkeepAskCmd    `cmd:"" help:"Ask for machines: server:ID (or ID), rack:NUMBER, front:NAME. Those named together go out together."`
	List   upkeepListCmd   `cmd:"" help:"All works, with why each waits."`
	Show   upkeepShowCmd   `cmd:"" help:"One work: its phase, since when, and which limit or which other keeps it."`
	Cancel upkeepCancelCmd `cmd:"" help:"Take an ask back, as long as its machines are not out."`
	Done   upkeepDoneCmd   `cmd:"" help:"Report that work is over: its machines are taken in again."`
}

type upkeepAskCmd struct {
	at
	Machines []string      `arg:"" help:"Machines."`
	For      time.Duration `required:"" help:"How long the work takes, such as 20m."`
	By       string        `help:"When it has to be over: a time such as 2026-01-02T15:04:05Z, or a span from now such as 4h."`
	Note     string        `help:"Said with it in lists and logs."`
	Key      string        `help:"Makes a repeat harmless: the same key is the same ask. Drawn if not given."`
}

func (c *upkeepAskCmd) Run(ctx context.Context) error {
	a := node.Ask{Names: c.Machines, For: c.For, Note: c.Note, Key: c.Key}
	if c.By != "" {
		t, err := time.Parse(time.RFC3339, c.By)
		if err != nil {
			d, bad := time.ParseDuration(c.By)
			if bad != nil || d <= 0 {
				return fmt.Errorf("--by %q is neither a time (%s) nor a span (4h)", c.By, time.RFC3339)
			}
			t = time.Now().Add(d)
		}
		a.By = t.UnixNano()
	}
	if a.Key == "" {
		a.Key = uuid.NewString()
	}
	return c.order(ctx, "/upkeep/ask", a, a.Key)
}

// order gives a command and says what became of it.
func (a *at) order(ctx context.Context, path string, body any, key string) error {
	var x ledger.Answer
	if err := a.call(ctx, "POST", path, body, &x); err != nil {
		return err
	}
	if x.Err != "" {
		return fmt.Errorf("%s (key %s)", x.Err, key)
	}
	fmt.Printf("work %d\n", x.ID)
	return nil
}

type upkeepListCmd struct {
	at
	Ended bool `help:"Those that have ended too."`
}

func (c *upkeepListCmd) Run(ctx context.Context) error {
	var l node.Listing
	if err := c.call(ctx, "GET", "/upkeep", nil, &l); err != nil {
		return err
	}
	if c.JSON {
		return show(l)
	}
	head(&l)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORK\tPHASE\tSINCE\tMACHINES\tFOR\tWHY")
	for _, x := range l.Works {
		if x.Phase.Ended() && !c.Ended {
			continue
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%v\t%s\n", x.ID, x.Phase, clock(x.Since), strings.Join(x.Ask.Names, " "), time.Duration(x.Ask.For), why(&x))
	}
	return w.Flush()
}

// head says whose word a listing is, if it may be an old one.
func head(l *node.Listing) {
	if !l.Fresh {
		fmt.Printf("%s has heard nothing new from the fleet: this may be old\n", l.Front)
	}
}

func clock(ns int64) string { return time.Unix(0, ns).Format("15:04:05") }

func why(x *node.Shown) string {
	if x.Phase == ledger.Asked && x.Waits != nil {
		return x.Waits.Limit + ": " + x.Waits.Why
	}
	if x.Phase == ledger.Asked && x.Why == "" {
		return "the leader did not say"
	}
	return x.Why
}

type upkeepShowCmd struct {
	at
	ID uint64 `arg:"" help:"Its number."`
}

func (c *upkeepShowCmd) Run(ctx context.Context) error {
	var l node.Listing
	if err := c.call(ctx, "GET", fmt.Sprintf("/upkeep/%d", c.ID), nil, &l); err != nil {
		return err
	}
	if c.JSON {
		return show(l)
	}
	head(&l)
	for _, x := range l.Works {
		fmt.Printf("work %d, %s since %s\n  machines  %s\n  asked     %s at %s for %v\n", x.ID, x.Phase, clock(x.Since), strings.Join(x.Ask.Names, " "), x.From,
			clock(x.Asked), time.Duration(x.Ask.For))
		if x.Ask.By > 0 {
			fmt.Printf("  by        %s\n", time.Unix(0, x.Ask.By).Format(time.RFC3339))
		}
		if x.Until > 0 {
			fmt.Printf("  until     %s, at the latest\n", clock(x.Until))
		}
		if x.Ask.Note != "" {
			fmt.Printf("  note      %s\n", x.Ask.Note)
		}
		fmt.Printf("  why       %s\n", why(&x))
		if x.Waits != nil && len(x.Waits.Behind) > 0 {
			fmt.Printf("  behind    %v\n", x.Waits.Behind)
		}
	}
	return nil
}

type upkeepCancelCmd struct {
	at
	ID uint64 `arg:"" help:"Its number."`
}

func (c *upkeepCancelCmd) Run(ctx context.Context) error {
	key := uuid.NewString()
	return c.order(ctx, "/upkeep/cancel", node.Order{ID: c.ID, Key: key}, key)
}

type upkeepDoneCmd struct {
	at
	ID uint64 `arg:"" help:"Its number."`
}

func (c *upkeepDoneCmd) Run(ctx context.Context) error {
	key := uuid.NewString()
	return c.order(ctx, "/upkeep/done", node.Order{ID: c.ID, Key: key}, key)
}

type fleetCmd struct{ at }

func (c *fleetCmd) Run(ctx context.Context) error {
	var s core.Status
	if err := c.call(ctx, "GET", "/fleet", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return show(s)
	}
	lead, fresh := s.Lead, "fresh"
	if lead == "" {
		lead = "nobody"
	}
	if !s.Fresh {
		fresh = "STALE: machines are kept as last told, nothing is granted as far as this front knows"
	}
	fmt.Printf("%s of %s: %s leads, entry %d, heard %d ms ago, %s\n", s.Name, s.Cluster, lead, s.Index, s.HeardMs, fresh)
	switch {
	case s.Broken:
		fmt.Println("this voter is out of the fleet: its log says why; it serves on")
	case s.Silent:
		fmt.Println("this voter does not take part yet: too few others have told it that its disk is the newest")
	}
	if s.Newer > 0 {
		fmt.Printf("entries were agreed on in format %d, which this front does not know: it grants nothing\n", s.Newer)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FRONT\tHERE\tVOTES\tZONE\tLIFE")
	for _, h := range s.Here {
		fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%d\n", h.Name, h.Here, h.Voter, h.Zone, h.Life)
	}
	return w.Flush()
}

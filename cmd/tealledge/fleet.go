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

// Commands for a fleet. Each front of the fleet accepts them; the default is the front on this host.

// at holds the control address of a front and the output format.
type at struct {
	At   string `default:"127.0.0.1:7947" env:"TEALLEDGE_CONTROL" help:"Where the front takes commands: control in its settings."`
	JSON bool   `name:"json" help:"As JSON."`
}

// maxResponseBytes limits the size of a response.
const maxResponseBytes = 64 << 20

// request sends an HTTP request to the front and decodes the JSON response into target.
func (a *at) request(ctx context.Context, method, path string, body, target any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.At+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no front answers at %s: %w", a.At, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		var failure struct{ Error string }
		if json.Unmarshal(text, &failure) != nil || failure.Error == "" {
			failure.Error = response.Status
		}
		return errors.New(failure.Error)
	}
	return json.Unmarshal(text, target)
}

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
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
	request := node.WorkRequest{Names: c.Machines, WorkDuration: c.For, Note: c.Note, Key: c.Key}
	if c.By != "" {
		t, err := time.Parse(time.RFC3339, c.By)
		if err != nil {
			d, durationErr := time.ParseDuration(c.By)
			if durationErr != nil || d <= 0 {
				return fmt.Errorf("--by %q is neither a time (%s) nor a span (4h)", c.By, time.RFC3339)
			}
			t = time.Now().Add(d)
		}
		request.Deadline = t.UnixNano()
	}
	if request.Key == "" {
		request.Key = uuid.NewString()
	}
	return c.sendCommand(ctx, "/upkeep/ask", request, request.Key)
}

// sendCommand sends a command and prints the number of its work.
func (a *at) sendCommand(ctx context.Context, path string, body any, key string) error {
	var answer ledger.CommandResult
	if err := a.request(ctx, "POST", path, body, &answer); err != nil {
		return err
	}
	if answer.Err != "" {
		return fmt.Errorf("%s (key %s)", answer.Err, key)
	}
	fmt.Printf("work %d\n", answer.ID)
	return nil
}

type upkeepListCmd struct {
	at
	Ended bool `help:"Those that have ended too."`
}

func (c *upkeepListCmd) Run(ctx context.Context) error {
	var listing node.Listing
	if err := c.request(ctx, "GET", "/upkeep", nil, &listing); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(listing)
	}
	warnIfStale(&listing)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORK\tPHASE\tSINCE\tMACHINES\tFOR\tWHY")
	for _, work := range listing.Works {
		if work.Phase.Ended() && !c.Ended {
			continue
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%v\t%s\n", work.ID, work.Phase, formatClock(work.Since),
			strings.Join(work.Request.Names, " "), time.Duration(work.Request.WorkDuration), reasonOf(&work))
	}
	return w.Flush()
}

// warnIfStale prints a warning if a listing may be out of date.
func warnIfStale(listing *node.Listing) {
	if !listing.Fresh {
		fmt.Printf("%s has heard nothing new from the fleet: this may be old\n", listing.Front)
	}
}

// formatClock formats a point of time in nanoseconds as a time of day.
func formatClock(ns int64) string { return time.Unix(0, ns).Format("15:04:05") }

// reasonOf returns why a work is in its phase.
func reasonOf(work *node.WorkStatus) string {
	if work.Phase == ledger.Requested && work.WaitReason != nil {
		return work.WaitReason.Limit + ": " + work.WaitReason.Why
	}
	if work.Phase == ledger.Requested && work.Reason == "" {
		return "the leader did not say"
	}
	return work.Reason
}

type upkeepShowCmd struct {
	at
	ID uint64 `arg:"" help:"Its number."`
}

func (c *upkeepShowCmd) Run(ctx context.Context) error {
	var listing node.Listing
	if err := c.request(ctx, "GET", fmt.Sprintf("/upkeep/%d", c.ID), nil, &listing); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(listing)
	}
	warnIfStale(&listing)
	for _, work := range listing.Works {
		fmt.Printf("work %d, %s since %s\n  machines  %s\n  asked     %s at %s for %v\n", work.ID, work.Phase,
			formatClock(work.Since), strings.Join(work.Request.Names, " "), work.From,
			formatClock(work.RequestedAt), time.Duration(work.Request.WorkDuration))
		if work.Request.Deadline > 0 {
			fmt.Printf("  by        %s\n", time.Unix(0, work.Request.Deadline).Format(time.RFC3339))
		}
		if work.Deadline > 0 {
			fmt.Printf("  until     %s, at the latest\n", formatClock(work.Deadline))
		}
		if work.Request.Note != "" {
			fmt.Printf("  note      %s\n", work.Request.Note)
		}
		fmt.Printf("  why       %s\n", reasonOf(&work))
		if work.WaitReason != nil && len(work.WaitReason.Behind) > 0 {
			fmt.Printf("  behind    %v\n", work.WaitReason.Behind)
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
	return c.sendCommand(ctx, "/upkeep/cancel", node.WorkCommand{ID: c.ID, Key: key}, key)
}

type upkeepDoneCmd struct {
	at
	ID uint64 `arg:"" help:"Its number."`
}

func (c *upkeepDoneCmd) Run(ctx context.Context) error {
	key := uuid.NewString()
	return c.sendCommand(ctx, "/upkeep/done", node.WorkCommand{ID: c.ID, Key: key}, key)
}

type fleetCmd struct{ at }

func (c *fleetCmd) Run(ctx context.Context) error {
	var status core.Status
	if err := c.request(ctx, "GET", "/fleet", nil, &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	leader, fresh := status.Leader, "fresh"
	if leader == "" {
		leader = "nobody"
	}
	if !status.Fresh {
		fresh = "STALE: machines are kept as last told, nothing is granted as far as this front knows"
	}
	fmt.Printf("%s of %s: %s leads, entry %d, heard %d ms ago, %s\n", status.Name, status.Cluster, leader, status.Index,
		status.LastContactMs, fresh)
	switch {
	case status.Broken:
		fmt.Println("this voter is out of the fleet: its log says why; it serves on")
	case status.Silent:
		fmt.Println("this voter does not take part yet: too few others have told it that its disk is the newest")
	}
	if status.NewerFormat > 0 {
		fmt.Printf("entries were agreed on in format %d, which this front does not know: it grants nothing\n",
			status.NewerFormat)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FRONT\tHERE\tVOTES\tZONE\tLIFE")
	for _, front := range status.Fronts {
		fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%d\n", front.Name, front.Alive, front.Voter, front.Zone, front.Incarnation)
	}
	return w.Flush()
}

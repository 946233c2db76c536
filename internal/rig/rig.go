package rig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"tealledge/internal/audit"
	"tealledge/internal/day"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/standin/ports"
)

// Rig is a fleet of fronts as processes, with relays between them, media stand-ins, viewers, and a simulated operator
// who works on the machines that are out.
type Rig struct {
	*day.World
	Net      *Net
	ports    *ports.Reservation // reserved for the fronts' listeners
	fronts   int
	voters   int
	mu       sync.Mutex
	isolated map[int]bool
	down     map[int]bool
	jobs     map[uint64]*job
	calls    []Call
	client   *http.Client
	cancel   context.CancelFunc
	group    sync.WaitGroup
	workTime time.Duration // how long machines are worked on
}

// job is a work as the simulated operator sees it.
type job struct {
	servers []uint32
	started bool
	ended   bool
}

// Call is a command and its result, for the check of the history.
type Call struct {
	Kind               string
	Key                string
	ID                 uint64
	StartedAt, EndedAt int64
	Result             ledger.CommandResult
	Unknown            bool // no reply, or one that does not say whether the command was carried out
}

// Limits are the limits in the rig's settings, for the auditor.
var Limits = audit.UpkeepLimits{MaxPerRack: 1, MaxPerZone: 2, MaxTotal: 3, Grace: 250 * time.Millisecond}

// settings returns the (fleet ...) form of one front's settings.
func settings(front, fronts, voters int, listen []string, n *Net) string {
	name := func(i int) string { return fmt.Sprintf("front-%d", i) }
	b := &strings.Builder{}
	fmt.Fprintf(b, "(fleet (cluster rig) (listen %q) (control \"127.0.0.1:0\") (keys %q)\n (voters",
		listen[front], strings.Repeat("5a", 32))
	for i := range voters {
		fmt.Fprintf(b, " (voter %q (zone \"z%d\"))", name(i), i+1)
	}
	b.WriteString(")\n (join")
	for i := range fronts {
		fmt.Fprintf(b, " (front %q %q)", name(i), listen[i])
	}
	b.WriteString(")\n (via")
	for i := range fronts {
		if i != front {
			fmt.Fprintf(b, " (front %q %q)", name(i), n.Address(front, i))
		}
	}
	fmt.Fprintf(b, ")\n (upkeep (rack %d) (zone %d) (whole %d) (holders 1) (margin 0.1) (paid 100) (patience 5s)\n  (hear 3s) (drain 12s) (late 8s) (back 2s) (stale 6s)))\n",
		Limits.MaxPerRack, Limits.MaxPerZone, Limits.MaxTotal)
	return b.String()
}

// Open starts a day's stand-ins and its fronts, of which the first ones are voters.
func Open(ctx context.Context, s *day.Script, o day.Options, voters int) (*Rig, error) {
	kept, err := ports.Reserve(s.Fronts)
	if err != nil {
		return nil, err
	}
	listen := kept.Addrs
	r := &Rig{ports: kept, fronts: s.Fronts, voters: voters, isolated: map[int]bool{},
		down: map[int]bool{}, jobs: map[uint64]*job{}, workTime: 1500 * time.Millisecond,
		client: &http.Client{Timeout: 16 * time.Second}}
	if r.Net, err = NewNet(s.Seed, listen); err != nil {
		kept.Close()
		return nil, err
	}
	o.ExtraSettings = func(me int) string { return settings(me, s.Fronts, voters, listen, r.Net) }
	if r.World, err = day.Open(ctx, s, o); err != nil {
		return nil, errors.Join(err, r.Net.Close(), kept.Close())
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.group.Add(1)
	go r.runOperator(ctx)
	return r, nil
}

// Close stops the fronts, relays and stand-ins.
func (r *Rig) Close() {
	r.cancel()
	r.group.Wait()
	r.client.CloseIdleConnections()
	r.World.Close()
	r.Net.Close()
	r.ports.Close()
}

// WaitForWorks waits until all known works have ended, at most 2 minutes.
func (r *Rig) WaitForWorks(ctx context.Context) {
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end) &&
		ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		open := 0
		r.mu.Lock()
		for _, j := range r.jobs {
			if !j.ended {
				open++
			}
		}
		r.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

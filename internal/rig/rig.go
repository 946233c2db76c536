package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tealledge/internal/audit"
	"tealledge/internal/day"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/node"
	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

// Rig is a fleet of fronts as processes, with relays between them, media stand-ins, viewers, and somebody who works on
// machines that are let go.
type Rig struct {
	*day.World
	Net    *Net
	fronts int
	voters int
	mu     sync.Mutex
	cut    map[int]bool
	down   map[int]bool
	works  map[uint64]*job
	calls  []Call
	client *http.Client
	end    context.CancelFunc
	group  sync.WaitGroup
	// Hold is how long machines are worked on.
	Hold time.Duration
}

// job is a work of which this rig has to do its part.
type job struct {
	servers []uint32
	taken   bool
	done    bool
}

// Call is a command and its answer, for the check of the record's history.
type Call struct {
	Kind       string
	Key        string
	ID         uint64
	Begin, End int64
	Answer     ledger.Answer
	Unknown    bool // no answer, or one that leaves it open
}

// Limits are what the rig's settings allow, as the auditor is to know them.
var Limits = audit.Upkeep{Rack: 1, Zone: 2, Whole: 3, Grace: 250 * time.Millisecond}

// settings gives the (fleet ...) form of one front.
func settings(me, fronts, voters int, listen []string, n *Net) string {
	name := func(i int) string { return fmt.Sprintf("front-%d", i) }
	b := &strings.Builder{}
	fmt.Fprintf(b, "(fleet (cluster rig) (listen %q) (control \"127.0.0.1:0\") (keys %q)\n (voters", listen[me], strings.Repeat("5a", 32))
	for i := range voters {
		fmt.Fprintf(b, " (voter %q (zone \"z%d\"))", name(i), i+1)
	}
	b.WriteString(")\n (join")
	for i := range fronts {
		fmt.Fprintf(b, " (front %q %q)", name(i), listen[i])
	}
	b.WriteString(")\n (via")
	for i := range fronts {
		if i != me {
			fmt.Fprintf(b, " (front %q %q)", name(i), n.Via(me, i))
		}
	}
	fmt.Fprintf(b, ")\n (upkeep (rack %d) (zone %d) (whole %d) (holders 1) (margin 0.1) (paid 100) (patience 5s)\n  (hear 3s) (drain 12s) (late 8s) (back 2s) (stale 6s)))\n",
		Limits.Rack, Limits.Zone, Limits.Whole)
	return b.String()
}

// Open starts fronts, of which some vote, on a day's stand-ins.
func Open(ctx context.Context, s *day.Script, o day.Options, voters int) (*Rig, error) {
	listen, err := Ports(s.Fronts)
	if err != nil {
		return nil, err
	}
	r := &Rig{fronts: s.Fronts, voters: voters, cut: map[int]bool{}, down: map[int]bool{}, works: map[uint64]*job{}, Hold: 1500 * time.Millisecond,
		client: &http.Client{Timeout: 16 * time.Second}}
	if r.Net, err = NewNet(s.Seed, listen); err != nil {
		return nil, err
	}
	o.Extra = func(me int) string { return settings(me, s.Fronts, voters, listen, r.Net) }
	if r.World, err = day.Open(ctx, s, o); err != nil {
		return nil, errors.Join(err, r.Net.Close())
	}
	ctx, r.end = context.WithCancel(ctx)
	r.group.Add(1)
	go r.work(ctx)
	return r, nil
}

// Close ends all.
func (r *Rig) Close() {
	r.end()
	r.group.Wait()
	r.client.CloseIdleConnections()
	r.World.Close()
	r.Net.Close()
}

// ---- Faults ----

// Split cuts some fronts from the others, both ways; Heal lets all through.
func (r *Rig) Split(some ...int) {
	var others []int
	in := map[int]bool{}
	for _, i := range some {
		in[i] = true
	}
	for i := range r.fronts {
		if !in[i] {
			others = append(others, i)
		}
	}
	for _, i := range some {
		r.deaf(i, true)
	}
	r.Net.Between(some, others, Fault{Cut: true})
}

// Mute has nothing that a front says heard by the others, though it hears them.
func (r *Rig) Mute(front int) {
	r.deaf(front, true)
	for i := range r.fronts {
		if i != front {
			r.Net.Set(front, i, Fault{Cut: true})
		}
	}
}

// Heal lets all through again.
func (r *Rig) Heal() {
	r.Net.Heal()
	for i := range r.fronts {
		r.deaf(i, false)
	}
}

// deaf writes down that a front can't hear of what is agreed, or can again: what it sends meanwhile it could not know.
func (r *Rig) deaf(front int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[front] == on {
		return
	}
	r.cut[front] = on
	what := record.Heard
	if on {
		what = record.Deaf
	}
	r.Record().Add(record.Event{Who: "rig", What: what, Front: fmt.Sprintf("front-%d", front)})
}

// Down kills a front, Up starts it again: on its disk, with a copy put back, or with none.
func (r *Rig) Down(front int) {
	r.mu.Lock()
	r.down[front] = true
	r.mu.Unlock()
	r.World.Kill(front)
}

// Up see Down.
func (r *Rig) Up(front int) error {
	err := r.World.Start(front)
	r.mu.Lock()
	r.down[front] = false
	r.mu.Unlock()
	return err
}

// Wipe takes a front's disk away; the front must be down.
func (r *Rig) Wipe(front int) error { return os.RemoveAll(filepath.Join(r.State(front), "fleet")) }

// Copy takes a copy of a front's disk, for PutBack; the front must be down.
func (r *Rig) Copy(front int, to string) error {
	return os.CopyFS(to, os.DirFS(filepath.Join(r.State(front), "fleet")))
}

// PutBack puts a copy in the place of a front's disk.
func (r *Rig) PutBack(front int, from string) error {
	if err := r.Wipe(front); err != nil {
		return err
	}
	return os.CopyFS(filepath.Join(r.State(front), "fleet"), os.DirFS(from))
}

// ---- Commands ----

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

// ---- Whoever works on the machines ----

// work looks at what is let go, as an operator would: by the word of whichever front answers with news. A machine that is
// out is taken down, worked on, brought up again and reported.
func (r *Rig) work(ctx context.Context) {
	defer r.group.Done()
	for turn := 0; ctx.Err() == nil; turn++ {
		if front := turn % r.fronts; !r.isDown(front) {
			look, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			l, err := r.Works(look, front)
			cancel()
			if err == nil {
				r.see(ctx, l)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(30 * time.Millisecond):
		}
	}
}

func (r *Rig) see(ctx context.Context, l node.Listing) {
	for _, x := range l.Works {
		r.mu.Lock()
		j := r.works[x.ID]
		if j == nil {
			j = &job{}
			for _, p := range x.Ask.Servers {
				j.servers = append(j.servers, p.Server)
			}
			r.works[x.ID] = j
		}
		start, over := x.Phase == ledger.Out && !j.taken, x.Phase.Ended() && !j.done
		j.taken, j.done = j.taken || start, j.done || over
		r.mu.Unlock()
		if start && l.Fresh {
			r.group.Add(1)
			go r.do(ctx, x.ID, j)
		} else if start {
			r.mu.Lock()
			j.taken = false // an old word is nothing to take a machine down by
			r.mu.Unlock()
		}
		if over {
			r.Record().Add(record.Event{Who: "operator", What: record.WorkEnded, Call: fmt.Sprint(x.ID), Text: string(x.Phase) + ": " + x.Why})
		}
	}
}

// do works on machines.
func (r *Rig) do(ctx context.Context, id uint64, j *job) {
	defer r.group.Done()
	for _, s := range j.servers {
		r.Record().Add(record.Event{Who: "operator", What: record.TakenOut, Server: s, Call: fmt.Sprint(id)})
	}
	time.Sleep(300 * time.Millisecond) // still up: what comes now is seen
	var down []*mediasim.Server
	for _, m := range r.Servers() {
		for _, s := range j.servers {
			if m.ID == s && m.Up() {
				m.Kill()
				down = append(down, m)
			}
		}
	}
	select {
	case <-time.After(r.Hold):
	case <-ctx.Done():
	}
	for _, m := range down {
		if m.Restart() == nil {
			r.World.List(m, "ready")
		}
	}
	for _, s := range j.servers {
		r.Record().Add(record.Event{Who: "operator", What: record.BroughtBack, Server: s, Call: fmt.Sprint(id)})
	}
	for try := 0; ctx.Err() == nil; try++ { // reported at one front after another, until one has it agreed
		front := try % r.fronts
		if r.isDown(front) {
			continue
		}
		a, err := r.Order(ctx, front, "done", fmt.Sprintf("done-%d", id), id)
		if err == nil && a.Err != core.ErrUnknown {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Freeze has a front stand still, and Thaw go on: what it sends then it may send by what it knew before.
func (r *Rig) Freeze(front int) {
	r.deaf(front, true)
	r.mu.Lock()
	r.down[front] = true
	r.mu.Unlock()
	r.World.Stop(front)
}

// Thaw see Freeze.
func (r *Rig) Thaw(front int) {
	r.World.Continue(front)
	r.mu.Lock()
	r.down[front] = false
	r.mu.Unlock()
	r.deaf(front, false)
}

// Judge has the fronts leave and judges the record by all rules.
func (r *Rig) Judge(ctx context.Context, u audit.Upkeep) (*audit.Report, error) {
	r.end()
	r.group.Wait()
	r.Record().Add(record.Event{Who: "rig", What: record.Sure})
	report, err := r.World.Judge(ctx)
	if err != nil {
		return nil, err
	}
	events, err := record.ReadDir(r.Dir())
	if err != nil {
		return nil, err
	}
	broken, checked := audit.JudgeUpkeep(events, u)
	report.Violations = append(report.Violations, broken...)
	for rule, n := range checked {
		report.Checked[rule] += n
	}
	return report, nil
}

// AllSeen waits until every work that is known has ended, for a while.
func (r *Rig) AllSeen(ctx context.Context) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		open := 0
		r.mu.Lock()
		for _, j := range r.works {
			if !j.done {
				open++
			}
		}
		r.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

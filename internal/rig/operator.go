package rig

import (
	"context"
	"fmt"
	"time"

	"tealledge/internal/audit"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/fleet/node"
	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

// Whoever works on the machines that are let go.

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

// Hold sets how long machines are worked on from now on.
func (r *Rig) Hold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold = d
}

func (r *Rig) holds() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hold
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
	case <-time.After(r.holds()):
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

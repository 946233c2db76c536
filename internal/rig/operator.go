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

// runOperator acts as an operator: it reads the list of works from each front in turn. A machine that is out is
// stopped, worked on, started again and reported as done.
func (r *Rig) runOperator(ctx context.Context) {
	defer r.group.Done()
	for turn := 0; ctx.Err() == nil; turn++ {
		if front := turn % r.fronts; !r.isDown(front) {
			listCtx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			l, err := r.Works(listCtx, front)
			cancel()
			if err == nil {
				r.handleListing(ctx, l)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(30 * time.Millisecond):
		}
	}
}

// handleListing starts the work on machines that are newly out and records works that have ended.
func (r *Rig) handleListing(ctx context.Context, l node.Listing) {
	for _, x := range l.Works {
		r.mu.Lock()
		j := r.jobs[x.ID]
		if j == nil {
			j = &job{}
			for _, p := range x.Request.Servers {
				j.servers = append(j.servers, p.Server)
			}
			r.jobs[x.ID] = j
		}
		start, ended := x.Phase == ledger.Out && !j.started, x.Phase.Ended() && !j.ended
		j.started, j.ended = j.started || start, j.ended || ended
		r.mu.Unlock()
		if start && l.Fresh {
			r.group.Add(1)
			go r.performWork(ctx, x.ID, j)
		} else if start {
			r.mu.Lock()
			j.started = false // a stale listing is no reason to stop a machine
			r.mu.Unlock()
		}
		if ended {
			r.Record().Add(record.Event{Source: "operator", Kind: record.WorkEnded, Ref: fmt.Sprint(x.ID),
				Text: string(x.Phase) + ": " + x.Reason})
		}
	}
}

// SetWorkTime sets how long machines are worked on from now on.
func (r *Rig) SetWorkTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workTime = d
}

func (r *Rig) currentWorkTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workTime
}

// performWork stops the machines of a work for the set time, starts them again and reports the work as done.
func (r *Rig) performWork(ctx context.Context, id uint64, j *job) {
	defer r.group.Done()
	for _, s := range j.servers {
		r.Record().Add(record.Event{Source: "operator", Kind: record.ServerTakenOut, Server: s, Ref: fmt.Sprint(id)})
	}
	time.Sleep(300 * time.Millisecond) // still running: set-ups that arrive now are recorded
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
	case <-time.After(r.currentWorkTime()):
	case <-ctx.Done():
	}
	for _, m := range down {
		if m.Restart() == nil {
			r.World.SetListHealth(m, "ready")
		}
	}
	for _, s := range j.servers {
		r.Record().Add(record.Event{Source: "operator", Kind: record.ServerReturned, Server: s, Ref: fmt.Sprint(id)})
	}
	for try := 0; ctx.Err() == nil; try++ { // report to one front after another until one has it committed
		front := try % r.fronts
		if r.isDown(front) {
			continue
		}
		a, err := r.CommandWork(ctx, front, "done", fmt.Sprintf("done-%d", id), id)
		if err == nil && a.Err != core.ErrUnknown {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// PauseFront stops a front's process until ResumeFront. It counts as isolated meanwhile: what it sends on resuming may
// be based on outdated state.
func (r *Rig) PauseFront(front int) {
	r.setIsolated(front, true)
	r.mu.Lock()
	r.down[front] = true
	r.mu.Unlock()
	r.World.PauseFront(front)
}

// ResumeFront lets a paused front continue.
func (r *Rig) ResumeFront(front int) {
	r.World.ResumeFront(front)
	r.mu.Lock()
	r.down[front] = false
	r.mu.Unlock()
	r.setIsolated(front, false)
}

// Judge stops the fronts and checks the record by all rules, those of upkeep included.
func (r *Rig) Judge(ctx context.Context, upkeep audit.UpkeepLimits) (*audit.Report, error) {
	r.cancel()
	r.group.Wait()
	r.Record().Add(record.Event{Source: "rig", Kind: record.FleetSettled})
	report, err := r.World.Judge(ctx)
	if err != nil {
		return nil, err
	}
	events, err := record.ReadDir(r.Dir())
	if err != nil {
		return nil, err
	}
	broken, checked := audit.JudgeUpkeep(events, upkeep)
	report.Violations = append(report.Violations, broken...)
	for rule, n := range checked {
		report.Checked[rule] += n
	}
	return report, nil
}

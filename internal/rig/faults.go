package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tealledge/internal/record"
)

// Split cuts the connections between some fronts and the others, both ways; Heal ends it.
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
		r.setIsolated(i, true)
	}
	r.Net.Between(some, others, Fault{Cut: true})
}

// Mute drops all that a front sends to the others; it still receives from them.
func (r *Rig) Mute(front int) {
	r.setIsolated(front, true)
	for i := range r.fronts {
		if i != front {
			r.Net.Set(front, i, Fault{Cut: true})
		}
	}
}

// Heal ends all network faults.
func (r *Rig) Heal() {
	r.Net.Heal()
	for i := range r.fronts {
		r.setIsolated(i, false)
	}
}

// setIsolated records that a front can't learn what is committed, or can again: the auditor must not judge what it
// sends meanwhile by commits that it could not know of.
func (r *Rig) setIsolated(front int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isolated[front] == on {
		return
	}
	r.isolated[front] = on
	what := record.FrontRejoined
	if on {
		what = record.FrontIsolated
	}
	r.Record().Add(record.Event{Source: "rig", Kind: what, Front: fmt.Sprintf("front-%d", front)})
}

// KillFront kills a front; its disk stays.
func (r *Rig) KillFront(front int) {
	r.mu.Lock()
	r.down[front] = true
	r.mu.Unlock()
	r.World.KillFront(front)
}

// RestartFront starts a killed front with its disk, an older copy of it, or none. An isolated front counts as
// isolated until it has received the fleet's state, for which RestartFront waits at most 10 s.
func (r *Rig) RestartFront(front int) error {
	err := r.World.StartFront(front)
	r.mu.Lock()
	r.down[front] = false
	isolated := r.isolated[front]
	r.mu.Unlock()
	for deadline := time.Now().Add(10 * time.Second); isolated && err == nil &&
		time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s, statusErr := r.Status(context.Background(), front); statusErr == nil && s.Fresh && s.Index > 1 {
			r.setIsolated(front, false)
			break
		}
	}
	return err
}

// WipeDisk removes a front's disk; the front must be down. Until it has received the state again it can't know what
// is out.
func (r *Rig) WipeDisk(front int) error {
	r.setIsolated(front, true)
	return os.RemoveAll(filepath.Join(r.StateDir(front), "fleet"))
}

// CopyDisk copies a front's disk, for RestoreDisk; the front must be down.
func (r *Rig) CopyDisk(front int, to string) error {
	return os.CopyFS(to, os.DirFS(filepath.Join(r.StateDir(front), "fleet")))
}

// RestoreDisk replaces a front's disk by a copy; the front must be down.
func (r *Rig) RestoreDisk(front int, from string) error {
	if err := r.WipeDisk(front); err != nil {
		return err
	}
	return os.CopyFS(filepath.Join(r.StateDir(front), "fleet"), os.DirFS(from))
}

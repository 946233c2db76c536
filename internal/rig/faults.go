package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tealledge/internal/record"
)

// Faults of links, processes and disks.

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
	wiped := r.cut[front]
	r.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); wiped && err == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s, bad := r.Status(context.Background(), front); bad == nil && s.Fresh && s.Index > 1 {
			r.deaf(front, false)
			break
		}
	}
	return err
}

// Wipe takes a front's disk away; the front must be down. Until it has heard again it can't know what is out.
func (r *Rig) Wipe(front int) error {
	r.deaf(front, true)
	return os.RemoveAll(filepath.Join(r.State(front), "fleet"))
}

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

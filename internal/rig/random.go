package rig

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"tealledge/internal/config"
	"tealledge/internal/record"
	"tealledge/internal/sexp"
)

// Random faults, drawn from a seed and written as a script that can be played again:
//
//	(faults (fault 1.5s kill 2 0 3s) ...)
//
// each with its time, its kind, up to two fronts or servers that it is about, and how long it lasts.

// Step is one fault, or one thing that operators do.
type Step struct {
	At   time.Duration
	Kind string
	A, B int
	For  time.Duration
}

// Kinds of steps. wipe and putback take a voter's disk; a majority of disks lost at once is a record lost, which no fleet
// survives, so these wait until all are well.
var Kinds = []string{"kill", "freeze", "mute", "split", "stall", "loss", "reset", "fail", "ask", "cancel", "wipe", "putback"}

// weights of the kinds: asks are what the faults are to disturb.
var weights = []int{6, 5, 4, 4, 3, 4, 4, 3, 14, 2, 1, 1}

// Random draws a script of so many faults; asks and cancels come beside them.
func Random(seed int64, faults, fronts, servers int) (list []Step) {
	rng := rand.New(rand.NewSource(seed))
	var drawn []string
	for i, k := range Kinds {
		for range weights[i] {
			drawn = append(drawn, k)
		}
	}
	at := time.Second
	for n := 0; n < faults; {
		s := Step{At: at, Kind: drawn[rng.Intn(len(drawn))], A: rng.Intn(fronts), B: rng.Intn(fronts),
			For: time.Duration(800+rng.Intn(3200)) * time.Millisecond}
		if s.Kind == "ask" || s.Kind == "fail" {
			s.B = 1 + rng.Intn(servers)
		}
		if s.Kind != "ask" && s.Kind != "cancel" {
			n++
		}
		if s.Kind == "split" || s.Kind == "stall" || s.Kind == "reset" {
			s.B = (s.A + 1 + rng.Intn(fronts-1)) % fronts
		}
		list = append(list, s)
		at += time.Duration(200+rng.Intn(900)) * time.Millisecond
	}
	return list
}

// Write writes a script.
func Write(w io.Writer, list []Step) error {
	fmt.Fprintln(w, "(faults")
	for _, s := range list {
		fmt.Fprintf(w, " (fault %v %s %d %d %v)\n", s.At, s.Kind, s.A, s.B, s.For)
	}
	_, err := fmt.Fprintln(w, ")")
	return err
}

// stepsMost bounds a script.
const stepsMost = 100_000

// Read reads a script; every mistake is told with its place.
func Read(path, text string, fronts, servers int) (list []Step, err error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	r := &config.Reader{}
	for _, n := range nodes {
		if n.Head() != "faults" || len(n.Args()) > stepsMost {
			r.Fail(n, "want one (faults ...) of %d at most", stepsMost)
			continue
		}
		for _, f := range n.Args() {
			if f.Head() != "fault" || len(f.List) != 6 {
				r.Fail(f, "want (fault AT KIND A B FOR)")
				continue
			}
			one := func(i int) *sexp.Node {
				return &sexp.Node{Pos: f.Pos, IsList: true, List: []*sexp.Node{f.List[0], f.List[i]}}
			}
			s := Step{At: r.Span(one(1), 0, 24*time.Hour), Kind: r.Choice(one(2), Kinds...), A: r.Int(one(3), 0, fronts-1),
				B: r.Int(one(4), 0, max(fronts-1, servers)), For: r.Span(one(5), 0, time.Hour)}
			if s.Kind != "ask" && s.Kind != "fail" && s.B >= fronts {
				r.Fail(f, "%s: there is no front %d", s.Kind, s.B)
			}
			list = append(list, s)
		}
	}
	if errs := r.Errors(); len(errs) > 0 {
		return nil, errs[0]
	}
	slices.SortStableFunc(list, func(a, b Step) int { return int(a.At - b.At) })
	return list, nil
}

// Play plays a script and gives how many faults were brought about; it ends with a whole fleet.
func (r *Rig) Play(ctx context.Context, list []Step) (faults int, err error) {
	p := &play{Rig: r, busy: map[int]bool{}, copies: map[int]string{}}
	began := time.Now()
	for i, s := range list {
		select {
		case <-ctx.Done():
			return faults, ctx.Err()
		case <-time.After(time.Until(began.Add(s.At + p.waited))):
		}
		if p.step(ctx, i, s) && s.Kind != "ask" && s.Kind != "cancel" {
			faults++
		}
	}
	p.group.Wait()
	r.Heal()
	if !r.Whole(ctx, 60*time.Second) {
		return faults, fmt.Errorf("the fleet is not whole a minute after the last fault")
	}
	return faults, p.failed
}

type play struct {
	*Rig
	mu     sync.Mutex
	busy   map[int]bool // fronts that a fault holds
	group  sync.WaitGroup
	copies map[int]string
	waited time.Duration // for a whole fleet, where a step needs one
	asked  int
	failed error
}

// hold takes a front for a fault, if none has it.
func (p *play) hold(front int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[front] {
		return false
	}
	p.busy[front] = true
	return true
}

func (p *play) let(front int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, front)
	if err != nil && p.failed == nil {
		p.failed = err
	}
}

// step brings one about; false: not now.
func (p *play) step(ctx context.Context, i int, s Step) bool {
	later := func(f func()) {
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			time.Sleep(s.For)
			f()
		}()
	}
	p.Record().Add(record.Event{Who: "rig", What: record.Trouble, Text: fmt.Sprintf("%s %d %d", s.Kind, s.A, s.B)})
	switch s.Kind {
	case "kill":
		if !p.hold(s.A) {
			return false
		}
		p.Down(s.A)
		later(func() { p.let(s.A, p.Up(s.A)) })
	case "freeze":
		if !p.hold(s.A) {
			return false
		}
		p.Freeze(s.A)
		later(func() { p.Thaw(s.A); p.let(s.A, nil) })
	case "mute", "split":
		if s.Kind == "mute" {
			p.Mute(s.A)
		} else {
			p.Split(s.A, s.B)
		}
		later(p.Heal)
	case "stall", "loss":
		f := Fault{Stall: s.Kind == "stall"}
		if s.Kind == "loss" {
			f = Fault{Loss: 0.4, Delay: 30 * time.Millisecond}
		}
		p.Net.Between([]int{s.A}, []int{s.B}, f)
		later(func() { p.Net.Between([]int{s.A}, []int{s.B}, Fault{}) })
	case "reset":
		p.Net.Reset(s.A, s.B)
	case "fail":
		m := p.Servers()[(s.B-1)%len(p.Servers())]
		if !m.Up() || !p.hold(1000+int(m.ID)) {
			return false
		}
		m.Kill()
		p.World.List(m, "removed")
		later(func() {
			if !m.Up() {
				p.let(1000+int(m.ID), m.Restart())
			} else {
				p.let(1000+int(m.ID), nil)
			}
			p.World.List(m, "ready")
		})
	case "ask":
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			for try := 0; try < 40 && ctx.Err() == nil; try++ { // asked until it is answered: an ask left open ends in nothing
				front := (s.A + try) % p.fronts
				if p.isDown(front) {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if a, err := p.Ask(ctx, front, fmt.Sprintf("step-%d", i), uint32(s.B)); err == nil && a.Err == "" {
					return
				}
			}
		}()
	case "cancel":
		p.mu.Lock()
		var ids []uint64
		for id, j := range p.works {
			if !j.taken && !j.done {
				ids = append(ids, id)
			}
		}
		p.mu.Unlock()
		if len(ids) == 0 || p.isDown(s.A) {
			return false
		}
		slices.Sort(ids)
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			p.Order(ctx, s.A, "cancel", fmt.Sprintf("cancel-%d", i), ids[0])
		}()
	case "wipe", "putback":
		return p.disk(ctx, s)
	}
	return true
}

// disk takes a voter's disk away, or puts an older copy of it back, when all else is well.
func (p *play) disk(ctx context.Context, s Step) bool {
	began := time.Now()
	defer func() { p.waited += time.Since(began) }()
	v := s.A % p.voters
	p.group.Wait()
	p.Heal()
	if !p.Whole(ctx, 40*time.Second) {
		return false
	}
	p.Down(v)
	var err error
	old, have := p.copies[v]
	switch {
	case s.Kind == "wipe":
		err = p.Wipe(v)
	case have:
		err = p.PutBack(v, old)
	}
	if !have && err == nil && s.Kind == "putback" { // the copy for the next time
		dir, made := os.MkdirTemp(p.Dir(), "copy-")
		if err = made; err == nil {
			p.copies[v] = filepath.Join(dir, "fleet")
			err = p.Copy(v, p.copies[v])
		}
	}
	if up := p.Up(v); err == nil {
		err = up
	}
	if err != nil && p.failed == nil {
		p.failed = err
	}
	p.Whole(ctx, 40*time.Second)
	return err == nil
}

// Whole waits until one front leads and all are here and know what is new.
func (r *Rig) Whole(ctx context.Context, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if r.whole(ctx) {
			return true
		}
	}
	return false
}

func (r *Rig) whole(ctx context.Context) bool {
	if r.Leader(ctx) < 0 {
		return false
	}
	for i := range r.fronts {
		look, cancel := context.WithTimeout(ctx, time.Second)
		s, err := r.Status(look, i)
		cancel()
		here := 0
		for _, h := range s.Here {
			if h.Here {
				here++
			}
		}
		if err != nil || !s.Fresh || s.Silent || here != r.fronts {
			return false
		}
	}
	return true
}

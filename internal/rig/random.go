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

// Step is one fault, or one command of an operator. Random steps are drawn from a seed and written as a script that can
// be played again:
//
//	(faults (fault 1.5s kill 2 0 3s) ...)
//
// each with its time, its kind, up to two fronts or servers that it concerns, and how long it lasts.
type Step struct {
	At       time.Duration
	Kind     string
	A, B     int
	Duration time.Duration
}

// Kinds are the kinds of steps. wipe removes a voter's disk, putback replaces it by an older copy. If a majority of disks
// is lost at once, the record is lost, which no fleet survives; so these two wait until the fleet is healthy.
var Kinds = []string{"kill", "freeze", "mute", "split", "stall", "loss", "reset", "fail", "ask", "cancel", "wipe",
	"putback"}

// kindWeights are the weights of the kinds in a random script. ask has the highest: requests are what faults have to
// disturb.
var kindWeights = []int{6, 5, 4, 4, 3, 4, 4, 3, 14, 2, 1, 1}

// RandomScript draws a script with the given number of faults; steps of kinds ask and cancel are not counted.
func RandomScript(seed int64, faults, fronts, servers int) (list []Step) {
	rng := rand.New(rand.NewSource(seed))
	var choices []string
	for i, k := range Kinds {
		for range kindWeights[i] {
			choices = append(choices, k)
		}
	}
	at := time.Second
	for n := 0; n < faults; {
		s := Step{At: at, Kind: choices[rng.Intn(len(choices))], A: rng.Intn(fronts), B: rng.Intn(fronts),
			Duration: time.Duration(800+rng.Intn(3200)) * time.Millisecond}
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

// WriteScript writes a script as text.
func WriteScript(w io.Writer, list []Step) error {
	fmt.Fprintln(w, "(faults")
	for _, s := range list {
		fmt.Fprintf(w, " (fault %v %s %d %d %v)\n", s.At, s.Kind, s.A, s.B, s.Duration)
	}
	_, err := fmt.Fprintln(w, ")")
	return err
}

// maxSteps limits the steps of a script.
const maxSteps = 100_000

// ReadScript reads a script; an error gives the position of the mistake.
func ReadScript(path, text string, fronts, servers int) (list []Step, err error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	r := &config.Reader{}
	for _, n := range nodes {
		if n.Head() != "faults" || len(n.Args()) > maxSteps {
			r.Fail(n, "want one (faults ...) of %d at most", maxSteps)
			continue
		}
		for _, f := range n.Args() {
			if f.Head() != "fault" || len(f.List) != 6 {
				r.Fail(f, "want (fault AT KIND A B FOR)")
				continue
			}
			argument := func(i int) *sexp.Node {
				return &sexp.Node{Pos: f.Pos, IsList: true, List: []*sexp.Node{f.List[0], f.List[i]}}
			}
			s := Step{At: r.Duration(argument(1), 0, 24*time.Hour), Kind: r.Choice(argument(2), Kinds...),
				A: r.Int(argument(3), 0, fronts-1),
				B: r.Int(argument(4), 0, max(fronts-1, servers)), Duration: r.Duration(argument(5), 0, time.Hour)}
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

// Play plays a script and returns the number of faults injected; after the last it waits for a healthy fleet.
func (r *Rig) Play(ctx context.Context, list []Step) (faults int, err error) {
	p := &scriptRun{Rig: r, reserved: map[int]bool{}, diskCopies: map[int]string{}}
	startedAt := time.Now()
	for i, s := range list {
		select {
		case <-ctx.Done():
			return faults, ctx.Err()
		case <-time.After(time.Until(startedAt.Add(s.At + p.waitTime))):
		}
		if p.step(ctx, i, s) && s.Kind != "ask" && s.Kind != "cancel" {
			faults++
		}
	}
	p.group.Wait()
	r.Heal()
	if !r.WaitUntilHealthy(ctx, 60*time.Second) {
		return faults, fmt.Errorf("the fleet is not healthy a minute after the last fault")
	}
	return faults, p.firstErr
}

// scriptRun is the state of a script that is being played.
type scriptRun struct {
	*Rig
	mu         sync.Mutex
	reserved   map[int]bool // fronts, and servers from 1000 on, that a fault is using
	group      sync.WaitGroup
	diskCopies map[int]string
	waitTime   time.Duration // total time that steps waited for a healthy fleet
	firstErr   error
}

// reserve reserves a front or server for a fault; it returns false if another fault is using it.
func (p *scriptRun) reserve(front int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[front] {
		return false
	}
	p.reserved[front] = true
	return true
}

// release ends a reservation and keeps the first error.
func (p *scriptRun) release(front int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reserved, front)
	if err != nil && p.firstErr == nil {
		p.firstErr = err
	}
}

// step carries out a step; false: it is not possible now.
func (p *scriptRun) step(ctx context.Context, i int, s Step) bool {
	afterStep := func(f func()) {
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			time.Sleep(s.Duration)
			f()
		}()
	}
	p.Record().Add(record.Event{Source: "rig", Kind: record.FaultStarted,
		Text: fmt.Sprintf("%s %d %d", s.Kind, s.A, s.B)})
	switch s.Kind {
	case "kill":
		if !p.reserve(s.A) {
			return false
		}
		p.KillFront(s.A)
		afterStep(func() { p.release(s.A, p.RestartFront(s.A)) })
	case "freeze":
		if !p.reserve(s.A) {
			return false
		}
		p.PauseFront(s.A)
		afterStep(func() { p.ResumeFront(s.A); p.release(s.A, nil) })
	case "mute", "split":
		if s.Kind == "mute" {
			p.Mute(s.A)
		} else {
			p.Split(s.A, s.B)
		}
		afterStep(p.Heal)
	case "stall", "loss":
		f := Fault{Stall: s.Kind == "stall"}
		if s.Kind == "loss" {
			f = Fault{Loss: 0.4, Delay: 30 * time.Millisecond}
		}
		p.Net.Between([]int{s.A}, []int{s.B}, f)
		afterStep(func() { p.Net.Between([]int{s.A}, []int{s.B}, Fault{}) })
	case "reset":
		p.Net.Reset(s.A, s.B)
	case "fail":
		m := p.Servers()[(s.B-1)%len(p.Servers())]
		if !m.Up() || !p.reserve(1000+int(m.ID)) {
			return false
		}
		m.Kill()
		p.World.SetListHealth(m, "removed")
		afterStep(func() {
			if !m.Up() {
				p.release(1000+int(m.ID), m.Restart())
			} else {
				p.release(1000+int(m.ID), nil)
			}
			p.World.SetListHealth(m, "ready")
		})
	case "ask":
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			// The request is repeated until it is answered; an abandoned one may never reach the fleet.
			for try := 0; try < 40 && ctx.Err() == nil; try++ {
				front := (s.A + try) % p.fronts
				if p.isDown(front) {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if a, err := p.RequestWork(ctx, front, fmt.Sprintf("step-%d", i), uint32(s.B)); err == nil &&
					a.Err == "" {
					return
				}
			}
		}()
	case "cancel":
		p.mu.Lock()
		var ids []uint64
		for id, j := range p.jobs {
			if !j.started && !j.ended {
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
			p.CommandWork(ctx, s.A, "cancel", fmt.Sprintf("cancel-%d", i), ids[0])
		}()
	case "wipe", "putback":
		return p.replaceDisk(ctx, s)
	}
	return true
}

// replaceDisk removes a voter's disk, or replaces it by an older copy, once the fleet is healthy.
func (p *scriptRun) replaceDisk(ctx context.Context, s Step) bool {
	startedAt := time.Now()
	defer func() { p.waitTime += time.Since(startedAt) }()
	voter := s.A % p.voters
	p.group.Wait()
	p.Heal()
	if !p.WaitUntilHealthy(ctx, 40*time.Second) {
		return false
	}
	p.KillFront(voter)
	var err error
	oldCopy, haveCopy := p.diskCopies[voter]
	switch {
	case s.Kind == "wipe":
		err = p.WipeDisk(voter)
	case haveCopy:
		err = p.RestoreDisk(voter, oldCopy)
	}
	if !haveCopy && err == nil && s.Kind == "putback" { // the copy for the next putback
		dir, mkdirErr := os.MkdirTemp(p.Dir(), "copy-")
		if err = mkdirErr; err == nil {
			p.diskCopies[voter] = filepath.Join(dir, "fleet")
			err = p.CopyDisk(voter, p.diskCopies[voter])
		}
	}
	if restartErr := p.RestartFront(voter); err == nil {
		err = restartErr
	}
	if err != nil && p.firstErr == nil {
		p.firstErr = err
	}
	p.WaitUntilHealthy(ctx, 40*time.Second)
	return err == nil
}

// WaitUntilHealthy waits until the fleet is healthy; it returns false if it is not before the timeout.
func (r *Rig) WaitUntilHealthy(ctx context.Context, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if r.healthy(ctx) {
			return true
		}
	}
	return false
}

// healthy reports whether one front leads, and all fronts are present and have fresh state.
func (r *Rig) healthy(ctx context.Context) bool {
	if r.Leader(ctx) < 0 {
		return false
	}
	for i := range r.fronts {
		statusCtx, cancel := context.WithTimeout(ctx, time.Second)
		s, err := r.Status(statusCtx, i)
		cancel()
		present := 0
		for _, h := range s.Fronts {
			if h.Alive {
				present++
			}
		}
		if err != nil || !s.Fresh || s.Silent || present != r.fronts {
			return false
		}
	}
	return true
}

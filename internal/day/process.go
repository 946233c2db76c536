package day

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"tealledge/internal/record"
)

// Fronts as processes.

// start starts the process and waits until it serves.
func (p *process) start() error {
	dir := filepath.Join(p.w.o.Dir, p.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, "settings.sexp")
	text := p.w.s.Settings(Place{p.name, p.addr, p.hls, p.w.list.Addr(), filepath.Join(dir, "state"), p.me}, p.w.o.Baseline)
	if p.w.o.NoRecover {
		text = strings.Replace(text, "(front ", "(front (recover no) ", 1)
	}
	if p.w.o.Limits != "" {
		text = strings.Replace(text, "(front ", "(front "+p.w.o.Limits+" ", 1)
	}
	if p.w.o.Extra != nil {
		text += p.w.o.Extra(p.me)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := append(append([]string(nil), p.w.o.Command[1:]...), path)
	p.cmd = exec.Command(p.w.o.Command[0], args...)
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), p.w.o.Env...)
	p.log = log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("front %s: %w", p.name, err)
	}
	ready := make(chan string, 1)
	p.exited = make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if addr, ok := strings.CutPrefix(lines.Text(), "hls http://"); ok {
				addr, _, _ = strings.Cut(addr, "/")
				p.w.mu.Lock()
				p.hls = addr
				p.w.mu.Unlock()
			}
			if addr, ok := strings.CutPrefix(lines.Text(), "control "); ok {
				p.w.mu.Lock()
				p.control = addr
				p.w.mu.Unlock()
			}
			if addr, ok := strings.CutPrefix(lines.Text(), "ready ws://"); ok {
				addr, _, _ = strings.Cut(addr, "/")
				ready <- addr
			}
		}
		p.cmd.Wait()
		log.Close()
		close(p.exited)
	}()
	select {
	case addr := <-ready:
		p.w.mu.Lock()
		p.addr = addr
		p.w.mu.Unlock()
		p.w.rec.Add(record.Event{Source: "day", Kind: record.FrontStarted, Front: p.name})
		return nil
	case <-p.exited:
		said, _ := os.ReadFile(log.Name())
		return fmt.Errorf("front %s ended at its start; its log, %s, ends: %s", p.name, log.Name(), said[max(0, len(said)-1000):])
	case <-time.After(10 * time.Second):
		return fmt.Errorf("front %s does not serve after 10 s", p.name)
	}
}

func (p *process) kill() {
	p.w.rec.Add(record.Event{Source: "day", Kind: record.FrontKilled, Front: p.name})
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s os.Signal, what string) {
	if s == syscall.SIGSTOP { // written down before it acts, and its end after
		p.w.rec.Add(record.Event{Source: "day", Kind: what, Front: p.name})
		p.cmd.Process.Signal(s)
		return
	}
	p.cmd.Process.Signal(s)
	p.w.rec.Add(record.Event{Source: "day", Kind: what, Front: p.name})
}

// Leave has all fronts leave service.
func (w *world) Leave() { w.leave() }

// leave tells all fronts to leave service and waits for them, in bounded time.
func (w *world) leave() {
	for _, p := range w.fronts {
		w.rec.Add(record.Event{Source: "day", Kind: record.FrontDraining, Front: p.name})
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range w.fronts {
		select {
		case <-p.exited:
		case <-time.After(15 * time.Second):
			fmt.Fprintf(w.o.Out, "front %s did not leave in 15 s\n", p.name)
			p.kill()
		}
	}
}

// stopAll ends what still runs, after a day that was cut short.
func (w *world) stopAll() {
	for _, p := range w.fronts {
		if p.cmd != nil && p.exited != nil {
			select {
			case <-p.exited:
			default:
				p.kill()
			}
		}
	}
}

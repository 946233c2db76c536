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

// start starts the front's process and waits until it is ready.
func (p *process) start() error {
	dir := filepath.Join(p.world.options.Dir, p.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, "settings.sexp")
	text := p.world.script.Settings(FrontParams{p.name, p.addr, p.hlsAddr, p.world.serverList.Addr(), filepath.Join(dir,
		"state"), p.index}, p.world.options.Baseline)
	if p.world.options.NoRecovery {
		text = strings.Replace(text, "(front ", "(front (recover no) ", 1)
	}
	if p.world.options.LimitsForm != "" {
		text = strings.Replace(text, "(front ", "(front "+p.world.options.LimitsForm+" ", 1)
	}
	if p.world.options.ExtraSettings != nil {
		text += p.world.options.ExtraSettings(p.index)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := append(append([]string(nil), p.world.options.Command[1:]...), path)
	p.cmd = exec.Command(p.world.options.Command[0], args...)
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), p.world.options.Env...)
	p.logFile = log
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
				p.world.mu.Lock()
				p.hlsAddr = addr
				p.world.mu.Unlock()
			}
			if addr, ok := strings.CutPrefix(lines.Text(), "control "); ok {
				p.world.mu.Lock()
				p.controlAddr = addr
				p.world.mu.Unlock()
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
		p.world.mu.Lock()
		p.addr = addr
		p.world.mu.Unlock()
		p.world.records.Add(record.Event{Source: "day", Kind: record.FrontStarted, Front: p.name})
		return nil
	case <-p.exited:
		logged, _ := os.ReadFile(log.Name())
		return fmt.Errorf("front %s exited during start-up; the end of its log %s: %s", p.name, log.Name(),
			logged[max(0, len(logged)-1000):])
	case <-time.After(10 * time.Second):
		return fmt.Errorf("front %s is not ready after 10 s", p.name)
	}
}

// kill kills the process and waits for its end. SIGCONT comes first, for a process that is paused.
func (p *process) kill() {
	p.world.records.Add(record.Event{Source: "day", Kind: record.FrontKilled, Front: p.name})
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal that pauses or resumes the process, and records an event of the given kind.
func (p *process) signal(s os.Signal, kind string) {
	if s == syscall.SIGSTOP { // the recorded pause includes the real one: its start is recorded before, its end after
		p.world.records.Add(record.Event{Source: "day", Kind: kind, Front: p.name})
		p.cmd.Process.Signal(s)
		return
	}
	p.cmd.Process.Signal(s)
	p.world.records.Add(record.Event{Source: "day", Kind: kind, Front: p.name})
}

// ShutdownFronts shuts down all fronts gracefully.
func (w *world) ShutdownFronts() { w.shutdownFronts() }

// shutdownFronts sends SIGTERM to all fronts and waits for them. A front that has not exited after 15 s is killed.
func (w *world) shutdownFronts() {
	for _, p := range w.fronts {
		w.records.Add(record.Event{Source: "day", Kind: record.FrontDraining, Front: p.name})
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range w.fronts {
		select {
		case <-p.exited:
		case <-time.After(15 * time.Second):
			fmt.Fprintf(w.options.Out, "front %s did not shut down within 15 s\n", p.name)
			p.kill()
		}
	}
}

// killRemaining kills the fronts that still run, as after a day that was cancelled.
func (w *world) killRemaining() {
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

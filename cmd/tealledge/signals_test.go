package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// These tests replace the configuration file by a named pipe. The pipe blocks the process that reads it, and shows the
// test that it is being read.

// replaceWithPipe replaces a file by a named pipe and returns the contents of the file.
func replaceWithPipe(t *testing.T, path string) (text []byte) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return text
}

// waitForReader waits until a process reads the pipe, and returns the end for writing.
func (p *process) waitForReader(path string) *os.File {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		f, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails while no process reads
		if err == nil {
			p.t.Cleanup(func() { f.Close() })
			return f
		}
		if time.Now().After(end) {
			p.t.Fatalf("no process reads the pipe: %v: %s", err, p.log.String())
		}
	}
}

// startReading starts the program on a pipe, which it reads, and returns the end for writing and the configuration to be
// written.
func startReading(t *testing.T) (p *process, pipe *os.File, text []byte) {
	t.Helper()
	first := startFront(t, siteSettings(), nil, "", 256) // writes the configuration file
	first.cmd.Process.Kill()
	<-first.ended
	text = replaceWithPipe(t, first.path)
	p = startFromFile(t, first.path, first.addr)
	return p, p.waitForReader(first.path), text
}

// startAndSignal signals the program while it reads its configuration, and then writes the configuration, which it
// returns.
func startAndSignal(t *testing.T, sig syscall.Signal) (p *process, text []byte) {
	t.Helper()
	p, pipe, text := startReading(t)
	p.cmd.Process.Signal(sig)
	pipe.Write(text)
	pipe.Close()
	p.waitReady()
	return p, text
}

// A signal that arrives before the configuration is read must not end the process: it starts, and then handles the
// signal.
func TestHandlesSignalsBeforeReady(t *testing.T) {
	t.Run("SIGHUP", func(t *testing.T) {
		p, text := startAndSignal(t, syscall.SIGHUP)
		again := p.waitForReader(p.path) // the front handles the signal now
		again.Write(text)
		again.Close()
		if !p.answersProbe() {
			t.Error("the front does not answer after SIGHUP")
		}
	})
	t.Run("SIGTERM", func(t *testing.T) {
		p, _ := startAndSignal(t, syscall.SIGTERM)
		select {
		case err := <-p.ended:
			if err != nil {
				t.Errorf("%v: %s", err, p.log.String())
			}
		case <-time.After(10 * time.Second):
			t.Errorf("the process still runs 10 s after SIGTERM: %s", p.log.String())
		}
	})
}

// A series of SIGHUP before the configuration was read displaced the SIGTERM after it, and the process served on until it
// was killed.
func TestSeriesOfSIGHUPBeforeReadyKeepsSIGTERM(t *testing.T) {
	p, pipe, text := startReading(t)
	for range 40 {
		p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond) // the system merges signals that are pending together
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(20 * time.Millisecond)
	os.Remove(p.path)
	if err := os.WriteFile(p.path, text, 0o600); err != nil { // for the reload
		t.Fatal(err)
	}
	pipe.Write(text)
	pipe.Close()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("%v: %s", err, p.log.String())
		}
	case <-time.After(10 * time.Second):
		t.Errorf("the process still runs 10 s after SIGTERM: %s", p.log.String())
	}
}

// Requests must be answered while a new configuration is read, however long that takes. Then the new configuration must
// be applied.
func TestServesWhileConfigurationIsRead(t *testing.T) {
	world := platformsim.NewWorld()
	first, err := platformsim.NewServer(world, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Kill()
	second, err := platformsim.NewServer(world, 0x10)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Kill()
	journal, err := platformsim.NewJournal(world, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer journal.Close()
	journal.AddServers(true, wire.HostReady, first)
	front := startFront(t, siteSettings(), serverListEvents([]*platformsim.Server{first}, 0), journal.Addr(), 256)
	front.waitReady()
	front.waitForSession(world, "only", 100)
	newJournal, err := platformsim.NewJournal(world, journal)
	if err != nil {
		t.Fatal(err)
	}
	defer newJournal.Close()
	text := replaceWithPipe(t, front.path)
	front.cmd.Process.Signal(syscall.SIGHUP)
	pipe := front.waitForReader(front.path)
	for range 3 {
		front.waitForSession(world, "only", 200)
	}
	newJournal.AddServers(false, wire.HostReady, second)
	pipe.WriteString(strings.Replace(string(text), journal.Addr(), newJournal.Addr(), 1))
	pipe.Close()
	front.waitUntil("the new list", func() bool { return strings.Count(front.log.String(), `"server list"`) >= 2 })
	first.Kill()
	front.waitForSession(world, "only", 300)
}

// waitUntil waits until a condition holds.
func (p *process) waitUntil(condition string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("not within 10 s: %s: %s", condition, p.log.String())
		}
	}
}

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

// What the configuration's file lets a test do: a pipe in its place holds whoever reads it, and tells that he does.

// pipeAt puts a pipe in a file's place, and gives what stood there.
func pipeAt(t *testing.T, path string) (text []byte) {
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

// reader waits until somebody reads the pipe.
func (p *process) reader(path string) *os.File {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		f, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0) // refused while nobody reads
		if err == nil {
			p.t.Cleanup(func() { f.Close() })
			return f
		}
		if time.Now().After(end) {
			p.t.Fatalf("nobody reads: %v: %s", err, p.log.String())
		}
	}
}

// signalled starts the program on a pipe, signals it as it reads there, and then lets it read on. It gives what it reads.
func signalled(t *testing.T, s syscall.Signal) (p *process, text []byte) {
	t.Helper()
	model := start(t, siteSettings(), nil, "", 256) // for its file
	model.cmd.Process.Kill()
	<-model.ended
	text = pipeAt(t, model.path)
	p = startOn(t, model.path, model.addr)
	w := p.reader(model.path)
	p.cmd.Process.Signal(s)
	w.Write(text)
	w.Close()
	p.ready()
	return p, text
}

// Signals that come before the configuration is read end nothing: it starts, and then acts on them.
func TestSignalsBeforeItIsReady(t *testing.T) {
	t.Run("SIGHUP", func(t *testing.T) {
		p, text := signalled(t, syscall.SIGHUP)
		again := p.reader(p.path) // it acts on the signal now
		again.Write(text)
		again.Close()
		if !p.tested() {
			t.Error("gone")
		}
	})
	t.Run("SIGTERM", func(t *testing.T) {
		p, _ := signalled(t, syscall.SIGTERM)
		select {
		case err := <-p.ended:
			if err != nil {
				t.Errorf("%v: %s", err, p.log.String())
			}
		case <-time.After(10 * time.Second):
			t.Errorf("it stays: %s", p.log.String())
		}
	})
}

// While a new configuration is read, however long that takes, requests are answered; then it is followed.
func TestAConfigurationIsReadBesideTheWork(t *testing.T) {
	w := platformsim.NewWorld()
	first, err := platformsim.NewServer(w, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Die()
	second, err := platformsim.NewServer(w, 0x10)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Die()
	j, err := platformsim.NewJournal(w, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	j.Tell(true, wire.HostReady, first)
	p := start(t, siteSettings(), listOf([]*platformsim.Server{first}, 0), j.Addr(), 256)
	p.ready()
	p.serves(w, "only", 100)
	moved, err := platformsim.NewJournal(w, j)
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	text := pipeAt(t, p.path)
	p.cmd.Process.Signal(syscall.SIGHUP)
	pipe := p.reader(p.path)
	for range 3 {
		p.serves(w, "only", 200)
	}
	moved.Tell(false, wire.HostReady, second)
	pipe.WriteString(strings.Replace(string(text), j.Addr(), moved.Addr(), 1))
	pipe.Close()
	p.until("the new list", func() bool { return strings.Count(p.log.String(), `"server list"`) >= 2 })
	first.Die()
	p.serves(w, "only", 300)
}

// until waits for something.
func (p *process) until(what string, is func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("never: %s: %s", what, p.log.String())
		}
	}
}

package main

import (
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Nine in ten restarted processes are ready within 10 s. A start waits for nothing but its configuration and its address: not for
// the list, which may be silent, refused or never answered, nor for servers, of which 1,100 are listed and none answers.
func TestAStartWaitsForNobody(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections, says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	many := siteSettings()
	many["family-info"].(tree)["positions"] = 10
	for name, journal := range map[string]string{"silent": silent.Addr().String(), "refused": freeAddr(t), "none": ""} {
		var took []time.Duration
		for range 10 {
			p := start(t, many, listOf(nil, 1100), journal, 256)
			took = append(took, p.ready())
			p.cmd.Process.Kill()
			<-p.ended
		}
		slices.Sort(took)
		t.Logf("discovery %s: ready after %v to %v, nine in ten within %v", name, took[0], took[9], took[8])
		if took[8] > 10*time.Second {
			t.Errorf("discovery %s: nine in ten ready within %v", name, took[8])
		}
	}
}

// One that is started as the process of before still has its address waits for it; if it stays another's, it ends with one line.
func TestAStartWaitsForItsAddress(t *testing.T) {
	old := start(t, siteSettings(), nil, "", 256)
	old.ready()
	next := startOn(t, old.path, old.addr)
	old.cmd.Process.Signal(syscall.SIGTERM) // it serves on for some 1.5 s
	if err := <-old.ended; err != nil {
		t.Fatalf("the old one: %v: %s", err, old.log.String())
	}
	next.ready()
	if text := next.log.String(); strings.Contains(text, "error") {
		t.Error(text)
	}
	third := startOn(t, old.path, old.addr)
	select {
	case err := <-third.ended:
		if text := third.log.String(); err == nil || strings.Count(text, "\n") != 1 || !strings.Contains(text, "in use") {
			t.Errorf("%v: %q", err, text)
		}
	case <-time.After(10 * time.Second):
		t.Error("it waits for ever")
	}
	if !next.tested() {
		t.Error("the one that has the address is gone")
	}
}

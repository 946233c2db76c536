package main

import (
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Nine in ten restarted processes must be ready within 10 s. A start depends on its configuration and its listen
// address only: it must not wait for discovery, which may be silent, refuse connections or not exist, nor for the
// servers, of which 1,100 are listed and none answers.
func TestStartDoesNotWaitForDiscoveryOrServers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	settings := siteSettings()
	settings["family-info"].(object)["positions"] = 10
	for name, journal := range map[string]string{"silent": silent.Addr().String(), "refused": freeAddr(t), "none": ""} {
		var durations []time.Duration
		for range 10 {
			front := startFront(t, settings, serverListEvents(nil, 1100), journal, 256)
			durations = append(durations, front.waitReady())
			front.cmd.Process.Kill()
			<-front.ended
		}
		slices.Sort(durations)
		t.Logf("discovery %s: ready after %v to %v, nine in ten within %v", name, durations[0], durations[9],
			durations[8])
		if durations[8] > 10*time.Second {
			t.Errorf("discovery %s: nine in ten ready within %v", name, durations[8])
		}
	}
}

// A process whose listen address is still used by its predecessor must wait for it. If the address stays in use, the
// process must exit with one line of error.
func TestStartWaitsForAddressInUse(t *testing.T) {
	previous := startFront(t, siteSettings(), nil, "", 256)
	previous.waitReady()
	next := startFromFile(t, previous.path, previous.addr)
	previous.cmd.Process.Signal(syscall.SIGTERM) // it serves for about 1.5 s more
	if err := <-previous.ended; err != nil {
		t.Fatalf("the previous process: %v: %s", err, previous.log.String())
	}
	next.waitReady()
	if text := next.log.String(); strings.Contains(text, "error") {
		t.Error(text)
	}
	third := startFromFile(t, previous.path, previous.addr)
	select {
	case err := <-third.ended:
		if text := third.log.String(); err == nil || strings.Count(text, "\n") != 1 ||
			!strings.Contains(text, "in use") {
			t.Errorf("%v: %q", err, text)
		}
	case <-time.After(10 * time.Second):
		t.Error("the process still waits for its address after 10 s")
	}
	if !next.answersProbe() {
		t.Error("the process that uses the address does not answer")
	}
}

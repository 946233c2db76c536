package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// A request that was lost at a shutdown left no trace in the log. During a shutdown the log must have each request with
// its id and outcome, and the time of the kill, at the usual log level.
func TestShutdownLogHasEachRequestAndOutcome(t *testing.T) {
	world := platformsim.NewWorld()
	server, err := platformsim.NewServer(world, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Kill()
	front := startFront(t, siteSettings(), serverListEvents([]*platformsim.Server{server}, 0), "", 256)
	front.waitReady()
	viewer, err := platformsim.Dial(world, front.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	request := func(sid uint64) {
		viewer.Write(strings.Replace(platformsim.OpenLine(sid, "only", time.Second, ""), "copies:3", "copies:1", 1))
		select {
		case <-viewer.Lines:
		case <-time.After(3 * time.Second):
			t.Fatalf("no reply: %s", front.log.String())
		}
	}
	request(0x100)
	if text := front.log.String(); strings.Contains(text, wire.Sid(0x100)) {
		t.Errorf("a request before the shutdown is in the log: %s", text)
	}
	front.cmd.Process.Signal(syscall.SIGTERM)
	front.waitUntil("leaving", func() bool { return strings.Contains(front.log.String(), `"kill_in_ms":2`) })
	request(0x101)
	for _, message := range []string{`"message":"ask"`, `"message":"set-up"`, `"message":"began"`, `"message":"plays"`} {
		front.waitUntil(message, func() bool {
			for _, line := range strings.Split(front.log.String(), "\n") {
				if strings.Contains(line, wire.Sid(0x101)) && strings.Contains(line, message) {
					return true
				}
			}
			return false
		})
	}
}

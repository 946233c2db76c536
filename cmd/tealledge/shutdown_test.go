package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/standin/platformsim"
)

// killAfter is the earliest time after SIGTERM at which the platform kills a front whose longest deadline is given.
func killAfter(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*time.Millisecond
}

// newShutdownServers starts stand-in servers with ids from 0.
func newShutdownServers(t *testing.T, world *platformsim.World, n int) (list []*platformsim.Server) {
	t.Helper()
	for id := range n {
		s, err := platformsim.NewServer(world, uint32(id))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		list = append(list, s)
	}
	return list
}

// Requests that a stopping front took were left without an answer when it was killed, if their servers were slow or hung
// and their clients would have waited beyond the kill. Each must be answered before the earliest kill, or its connection
// must be closed before it is sent.
func TestRequestsTakenDuringShutdownAreAnsweredBeforeKill(t *testing.T) {
	long := []object{{"name": "only", "effect": "safe", "importance": 1, "slo-ns": 1e9, "deadline-ns": 5e9},
		{"name": "signed", "effect": "unsafe", "importance": 2, "slo-ns": 1e9, "deadline-ns": 3e9}}
	short := []object{{"name": "only", "effect": "safe", "importance": 1, "slo-ns": 3e8, "deadline-ns": 9e8},
		{"name": "signed", "effect": "unsafe", "importance": 2, "slo-ns": 3e8, "deadline-ns": 6e8}}
	for name, c := range map[string]struct {
		classes []object
		longest time.Duration
		waits   [2]time.Duration // of the two classes
		faults  platformsim.Faults
	}{
		"servers hang": {long, 5 * time.Second, [2]time.Duration{5 * time.Second, 3 * time.Second},
			platformsim.Faults{NoReply: true}},
		"servers are slow": {long, 5 * time.Second, [2]time.Duration{5 * time.Second, 3 * time.Second},
			platformsim.Faults{ReplyDelay: 900 * time.Millisecond}},
		"short deadlines": {short, 900 * time.Millisecond, [2]time.Duration{900 * time.Millisecond,
			600 * time.Millisecond}, platformsim.Faults{NoReply: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := platformsim.NewWorld("only", "signed")
			servers := newShutdownServers(t, world, 2)
			front := startFront(t, siteSettings(c.classes...), serverListEvents(servers, 0), "", 256)
			front.waitReady()
			client := newTrialClient(front.addr)
			for range 4 {
				if _, err := client.connect(); err != nil {
					t.Fatal(err)
				}
			}
			client.send(&trialRequest{sid: 1, class: "only", wait: time.Second}) // its session keeps the front running
			front.waitUntil("a session", func() bool { return len(servers[0].Sessions())+len(servers[1].Sessions()) == 1 })
			for _, s := range servers {
				s.SetFaults(c.faults)
			}
			termAt := time.Now()
			front.cmd.Process.Signal(syscall.SIGTERM)
			killAt := termAt.Add(killAfter(c.longest))
			for sid := uint64(0x100); time.Until(killAt) > 0; sid++ {
				class := int(sid % 2)
				client.send(&trialRequest{sid: sid, class: []string{"only", "signed"}[class], wait: c.waits[class]})
				time.Sleep(min(60*time.Millisecond, time.Until(killAt)))
			}
			killed := front.kill()
			client.waiting.Wait()
			for _, text := range client.lost(termAt, killed) {
				t.Error(text)
			}
			played, refused, failed, notTaken := client.count()
			t.Logf("killed: %v; %d played, %d refused, %d failed, %d not taken", killed, played, refused, failed, notTaken)
			if t.Failed() {
				t.Log(front.log.String())
			}
		})
	}
}

// kill ends the process with SIGKILL and reports whether it was still running.
func (p *process) kill() bool {
	p.t.Helper()
	p.cmd.Process.Kill()
	err := <-p.ended
	killed := err != nil && strings.Contains(err.Error(), "killed")
	if err != nil && !killed {
		p.t.Errorf("the process ended with %v", err)
	}
	return killed
}

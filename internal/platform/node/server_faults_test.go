package node

import (
	"bytes"
	"net"
	"os"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// With a fault on two of three servers, enough requests still play and the audit finds no violation.
func TestEachServerFault(t *testing.T) {
	for name, f := range map[string]platformsim.Faults{
		"full": {Full: true}, "error": {Error: true}, "no reply": {NoReply: true}, "invalid reply": {InvalidReply: true},
		"half a reply": {HalfReply: true}, "broken reply": {BreakReply: true}, "connection closed": {CloseConn: true}, "duplicate reply": {DuplicateReply: true},
		"answer exceeds a line": {HugeText: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := newTestFront(t, 1024)
			for _, s := range x.servers[:2] { // the third server has no fault
				s.SetFaults(f)
			}
			v := x.viewer()
			plays, n := 0, 12
			for _, l := range x.openMany(v, n, 0) {
				plays += map[string]int{"ready": 1}[l.Msg]
			}
			// Safe requests are tried elsewhere.
			minPlays := map[string]int{"duplicate reply": n, "full": n, "answer exceeds a line": n / 2}[name]
			if plays < max(minPlays, 2) {
				t.Errorf("%d of %d play", plays, n)
			}
			v.Close()
			x.closeAndAudit()
		})
	}
}

// Guards against sessions that stand at two servers, or for nobody: the answer of a server breaks off with its
// connection, the request is tried elsewhere or has failed, and the first server was never told.
func TestBrokenAnswerLeavesNoSessionAtItsServer(t *testing.T) {
	const releasedWithin = time.Second // the operators' limit
	x := newTestFront(t, 1024)
	for _, s := range x.servers[:2] { // the third server has no fault
		s.SetFaults(platformsim.Faults{BreakReply: true})
	}
	v := x.viewer()
	x.openMany(v, 12, 20*time.Millisecond)
	time.Sleep(releasedWithin)
	if s := x.snapshot(); s.Servers.Uncertain == 0 {
		t.Fatal("no answer broke off")
	}
	for _, s := range x.servers[:2] {
		if left := s.Sessions(); len(left) > 0 {
			t.Errorf("sessions %v stand at %s, which no viewer was told of", left, s.Name())
		}
	}
	v.Close()
	x.closeAndAudit()
}

// The sessions of a server process that dies are ended in time, and the process may restart.
func TestServerProcessDiesAndRestarts(t *testing.T) {
	x := newTestFront(t, 1024)
	v := x.viewer()
	x.openMany(v, 9, 0)
	s := x.servers[0]
	for _, o := range x.servers { // the module chooses the servers
		if len(o.Sessions()) > len(s.Sessions()) {
			s = o
		}
	}
	cutOff := map[uint64]bool{}
	for _, sid := range s.Sessions() {
		cutOff[sid] = true
	}
	diedAt := time.Now()
	s.Kill()
	for _, l := range x.firstLines(v, cutOff) {
		if l.Msg != "close" || l.Code != 41 {
			t.Errorf("%+v", l)
		}
	}
	if d, n := time.Since(diedAt), x.snapshot().Servers.Refused; len(cutOff) == 0 ||
		d > 5*time.Second || n == 0 { // the limit is 8 s
		t.Error("ends reported after", d, "and refused connects:", n)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	v.Close()
	x.closeAndAudit()
}

// A draining server gets no new sessions, and a removed one is forgotten.
func TestNoNewSessionOnDrainingServer(t *testing.T) {
	x := newTestFront(t, 1024)
	v := x.viewer()
	x.open(v, "safe")
	x.journal.AddServers(false, wire.HostDraining, x.servers[0], x.servers[1])
	x.waitFor("drain applied", func() bool { return x.snapshot().Ready == 1 })
	for range 5 {
		if sid, a := x.open(v, "paid"); a.Msg == "ready" && x.serverOf(sid) != x.servers[2] {
			t.Error("set up on a draining server")
		}
	}
	x.journal.AddServers(false, wire.HostRemoved, x.servers[0])
	x.waitFor("removed server forgotten", func() bool { return x.snapshot().Hosts == 2 })
	v.Close()
	x.closeAndAudit()
}

// List events are applied after a break, a silence and a change of address of the journal.
func TestJournalFaults(t *testing.T) {
	x := newTestFront(t, 1024)
	x.waitFor("journal followed", func() bool { return x.snapshot().Watch.Dials == 1 })
	x.journal.BreakConns()
	x.journal.AddServers(false, wire.HostDraining, x.servers[0])
	x.waitFor("event after a break", func() bool { return x.snapshot().Ready == 2 })
	x.journal.RepeatLast()
	x.journal.SetSilent(true)
	x.journal.AddServers(false, wire.HostDraining, x.servers[1])
	x.waitFor("silence detected", func() bool { return x.snapshot().Watch.Silences > 0 })
	x.journal.SetSilent(false)
	x.waitFor("event after silence", func() bool { return x.snapshot().Ready == 1 })

	next, err := platformsim.NewJournal(x.world, x.journal)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(x.configPath, []byte("{"), 0o600)
	x.node.Reload() // an invalid file changes nothing
	x.snapshot()
	old := x.journal
	x.journal = next
	x.writeConfig(next.Addr(), 1024, settingsJSON)
	x.node.Reload()
	next.AddServers(false, wire.HostReady, x.servers[1])
	x.waitFor("event at the new address", func() bool { return x.snapshot().Ready == 2 })
	if s := x.snapshot(); s.Pos != 4 {
		t.Errorf("%+v", s.Watch)
	}
	old.Close()
	x.closeAndAudit()
}

// Guards against memory and queue filled by a server that sends without end while the owner goroutine is busy.
func TestServerCannotFillQueueWhileOwnerIsBusy(t *testing.T) {
	const (
		maxItems = 200 // 32 KiB of reads of 4 KiB are 8 items; the rest is for other events
		total    = 64 << 20
	)
	x := newTestFront(t, 1024)
	begin, flooded := make(chan struct{}), make(chan struct{})
	scripted := newScriptedServer(t, func(c net.Conn, session uint64) {
		defer close(flooded)
		<-begin
		c.SetWriteDeadline(time.Now().Add(time.Second))
		progress := bytes.Repeat(encoded(&wire.Message{Type: wire.Trying, Session: session}), 1000)
		for sent := 0; sent < total; sent += len(progress) {
			if _, err := c.Write(progress); err != nil {
				return
			}
		}
	})
	x.journal.AddServers(false, wire.HostDraining, x.servers...)
	x.journal.AddHosts(false, wire.Host{Name: "scripted", Address: scripted.listener.Addr().String(), Zone: "z", Kind: "k",
		Health: wire.HostReady, Share: 10})
	x.waitFor("listed", func() bool { return x.snapshot().Ready == 1 })
	v := x.viewer()
	v.Open(x.newID(), "safe", 1500*time.Millisecond)
	x.waitFor("set-up", func() bool { return scripted.setUpCount() == 1 })
	release := x.blockOwner()
	close(begin)
	<-flooded
	if items, _, _ := x.node.queue.Stats(); items > maxItems {
		t.Errorf("%d items are queued while the owner is busy", items)
	}
	release()
	v.Close()
	x.stopAll()
}

package main

import (
	"net"
	"os"
	"testing"
	"time"

	"tealledge/internal/standin/platformsim"
)

// usualClients send requests in all the ways that the protocol page gives to viewers: small and large ones, in pieces, on
// connections of their own and on shared ones, and many in one moment.
type usualClients struct {
	client  *trialClient
	lastSid uint64
}

const (
	usualWait     = 1500 * time.Millisecond // that requests of usual clients give
	usualInterval = 50 * time.Millisecond   // between their requests
	usualAnswer   = 8 << 10                 // length of the descriptions in their answers: half of what a message may hold
	burstRequests = 30                      // a third of what a front gets in a second on its busiest day
	burstEvery    = 20                      // requests between two bursts
)

// request returns a request with a new id.
func (u *usualClients) request() *trialRequest {
	u.lastSid++
	return &trialRequest{sid: u.lastSid, class: "only", wait: usualWait, playFor: 200 * time.Millisecond, copies: 3}
}

// run sends requests for a time.
func (u *usualClients) run(t *testing.T, duration time.Duration) {
	until := time.Now().Add(duration)
	for i := 0; time.Now().Before(until); i++ {
		r := u.request()
		switch {
		case i%burstEvery == burstEvery-1:
			list := []*trialRequest{r}
			for len(list) < burstRequests {
				list = append(list, u.request())
			}
			if err := u.client.sendTogether(list); err != nil {
				t.Log("burst:", err)
			}
		case i%5 == 1:
			r.textBytes, r.pieces, r.pause, r.shared = 12<<10, 4, 30*time.Millisecond, true
			u.client.send(r)
		case i%5 == 2:
			r.textBytes = 2 << 10
			u.client.send(r)
		default:
			r.shared = i%5 == 3
			u.client.send(r)
		}
		time.Sleep(usualInterval)
	}
}

// check reports the requests that the front left without an answer in time.
func (u *usualClients) check(t *testing.T, front *process) {
	t.Helper()
	u.client.waitUntilAnswered(t)
	u.client.closeAll()
	lost := u.client.lost(time.Now(), false)
	for _, text := range lost[:min(len(lost), 5)] {
		t.Error(text)
	}
	if len(lost) > 5 {
		t.Errorf("and %d more", len(lost)-5)
	}
	played, refused, failed, notTaken := u.client.count()
	t.Logf("%d lost; %d played, %d refused, %d failed, %d not taken, the slowest after %v", len(lost), played, refused, failed,
		notTaken, u.client.slowest().Round(time.Millisecond))
	if t.Failed() { // the state is logged at the end
		front.cmd.Process.Signal(os.Interrupt)
		<-front.ended
		t.Log(front.log.String())
	}
}

// Guards against limits that cost clients which do nothing wrong their requests: connections that a front closed to hold a
// limit had open requests, and requests waited behind floods until their time was over.
func TestLimitsCostUsualClientsNoRequest(t *testing.T) {
	const (
		manySockets = 1024 // the most and the least that the platform gives to a front
		fewSockets  = 256
	)
	none := badClientKind{"no bad clients", 0, noText, nil}
	for _, kind := range append([]badClientKind{none}, badClientKinds...) {
		t.Run(kind.name, func(t *testing.T) { playUsualClients(t, kind, manySockets) })
		if kind.clients > fewSockets {
			t.Run(kind.name+", few descriptors", func(t *testing.T) { playUsualClients(t, kind, fewSockets) })
		}
	}
}

// playUsualClients plays usual clients beside bad ones, against a front with a limit on descriptors.
func playUsualClients(t *testing.T, kind badClientKind, sockets int) {
	const (
		memoryMB = 32 // the least that the platform gives to a front
		duration = 4 * time.Second
	)
	servers := newShutdownServers(t, platformsim.NewWorld("only"), 3)
	for _, s := range servers {
		s.SetFaults(platformsim.Faults{TextBytes: usualAnswer, ReplyDelay: 60 * time.Millisecond})
	}
	front := startFrontWithMemory(t, memoryMB, siteSettings(), serverListEvents(servers, 0), "", sockets)
	front.waitReady()
	usual := &usualClients{client: newTrialClient(front.addr)}
	usual.run(t, 200*time.Millisecond)
	bad := &badClients{addr: front.addr, stop: make(chan struct{})}
	bad.start(kind)
	usual.run(t, duration)
	bad.end()
	usual.check(t, front)
}

// Guards against sessions that are handed over and reported as over, though they play, because a bad client handed over so
// many that the limit on sessions was reached.
func TestHandedOverSessionsStandBesideFloodOfOthers(t *testing.T) {
	const sessions = 100
	world := platformsim.NewWorld("only")
	servers := newShutdownServers(t, world, 3)
	front := startFrontWithMemory(t, 32, siteSettings(), serverListEvents(servers, 0), "", 1024)
	front.waitReady()
	bad := &badClients{addr: front.addr, stop: make(chan struct{})}
	bad.start(badClientKind{"sessions that a server doesn't know", 1, noText, func(b *badClients, c net.Conn, _ string) {
		discard(c)
		b.sendAll(c, func() string { return times(200, func() string { return b.request(";at:s-00000000") }) })
	}})
	time.Sleep(1500 * time.Millisecond) // thousands of sessions
	viewer, err := platformsim.Dial(world, front.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	for sid := uint64(1); sid <= sessions; sid++ {
		viewer.Write(platformsim.OpenLine(sid, "only", usualWait, ";at:"+servers[1].Name()))
	}
	over := 0
	for end := time.After(2500 * time.Millisecond); over < sessions; {
		select {
		case <-viewer.Lines:
			over++
			continue
		case <-end:
		}
		break
	}
	bad.end()
	if over > 0 {
		t.Errorf("%d of %d sessions were reported as over", over, sessions)
	}
	front.cmd.Process.Signal(os.Interrupt)
	<-front.ended
	if t.Failed() {
		t.Log(front.log.String())
	}
}

package main

import (
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// denseSockets is the limit on descriptors of the front in a trial of TestDenseSoak.
const denseSockets = 256

// denseSkew is how late the stand-in servers, which share their process with the bad clients, may read what was sent.
const denseSkew = 500 * time.Millisecond

// denseStep does what only a trial of TestDenseSoak does.
func (x *shutdownTrial) denseStep() {
	switch x.random.IntN(4) {
	case 0:
		x.burst()
	case 1:
		x.badClients()
	case 2:
		x.replaceServer()
	case 3:
		for _, s := range x.servers {
			s.SetFaults(platformsim.Faults{TextBytes: x.random.IntN(8 << 10),
				ReplyDelay: x.between(0, 100*time.Millisecond)})
		}
	}
}

// burst sends many requests in one moment, some of them large.
func (x *shutdownTrial) burst() {
	class := x.classes[x.random.IntN(len(x.classes))]
	var list []*trialRequest
	for range 2 + x.random.IntN(40) {
		x.lastSid++
		r := &trialRequest{sid: x.lastSid, class: class.name, wait: class.deadline, copies: len(x.servers),
			playFor: x.between(50*time.Millisecond, time.Second)}
		if x.chance(0.2) {
			r.textBytes = x.random.IntN(12 << 10)
		}
		list = append(list, r)
	}
	if err := x.client.sendTogether(list); err != nil {
		x.t.Log("burst:", err)
	}
}

// maxDenseClients is the largest number of bad clients that start together.
const maxDenseClients = 50

// badClients starts bad clients of one kind for a time.
func (x *shutdownTrial) badClients() {
	kind := badClientKinds[x.random.IntN(len(badClientKinds))]
	kind.clients = 1 + x.random.IntN(min(kind.clients, maxDenseClients))
	bad := &badClients{addr: x.front.addr, stop: make(chan struct{})}
	bad.lastSid.Store(uint64(x.random.IntN(1<<30)) << 8)
	text := kind.text(bad)
	for range kind.clients {
		bad.running.Go(func() {
			for !bad.stopped() {
				bad.connectOnce(kind, text)
				bad.pause(5 * time.Millisecond)
			}
		})
	}
	stopAfter := x.between(100*time.Millisecond, time.Second)
	x.others.Go(func() {
		time.Sleep(stopAfter)
		bad.end()
	})
}

// firstSuccessor is the id before that of the first server that replaces another one.
const firstSuccessor = 100

// replaceServer kills a server and starts another at its address, which is listed at once or late, before or after the
// removal of the first.
func (x *shutdownTrial) replaceServer() {
	i := x.random.IntN(len(x.servers))
	old := x.servers[i]
	old.Kill()
	x.lastServer++
	successor, err := old.Successor(firstSuccessor + x.lastServer)
	if err != nil {
		x.t.Error(err)
		return
	}
	x.t.Cleanup(successor.Kill)
	x.servers[i] = successor
	if x.chance(0.5) {
		x.journal.AddServers(false, wire.HostRemoved, old)
		x.journal.AddServers(false, wire.HostReady, successor)
		return
	}
	x.journal.AddServers(false, wire.HostReady, successor)
	x.journal.AddServers(false, wire.HostRemoved, old)
}

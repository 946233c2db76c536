package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
	"tealledge/internal/standin/platformsim"
	"tealledge/internal/transport"
)

// blockOwner blocks the owner goroutine at its next item, as if it were busy, so that further items queue up. release
// unblocks it.
func (x *testFront) blockOwner() (release func()) {
	x.t.Helper()
	x.waitFor("the journal is followed", func() bool { return x.snapshot().Watch.Dials == 1 })
	x.journal.SetSilent(true) // its events would be counted as items that a test waits for
	blocked, reply := make(chan Snapshot, 1), make(chan Snapshot)
	x.node.queue.Force(snapshotRequested{blocked})
	x.node.queue.Force(snapshotRequested{reply})
	<-blocked
	time.Sleep(20 * time.Millisecond) // the second request is taken in the same batch or the next
	x.queuedWhenBlocked, _, _ = x.node.queue.Stats()
	return func() { <-reply }
}

// waitForQueued waits until at least minItems have been queued since the owner was blocked.
func (x *testFront) waitForQueued(what string, minItems int) {
	x.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		n, _, _ := x.node.queue.Stats()
		if n -= x.queuedWhenBlocked; n >= minItems {
			return
		}
		if time.Now().After(deadline) {
			x.t.Fatalf("%s: %d items queued", what, n)
		}
	}
}

// setUps returns the number of set-ups of a session that reached servers.
func (x *testFront) setUps(sid uint64) (n int) {
	for _, e := range x.world.Recorder.Events() {
		if e.Kind == record.SetupReceived && e.Session == wire.Sid(sid) {
			n++
		}
	}
	return n
}

// dialRaw opens a connection to the front without recording it as a viewer.
func (x *testFront) dialRaw() *net.TCPConn {
	x.t.Helper()
	c, err := net.Dial("tcp", x.node.clients.listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	x.waitFor("accepted", func() bool { return x.snapshot().Conns > 0 })
	return c.(*net.TCPConn)
}

// checkNotSent waits until the front has noticed that a client has left. It checks that one set-up of the client was
// held back just before it would have been written, and that servers received no more than before.
func (x *testFront) checkNotSent(sid uint64, before int) {
	x.t.Helper()
	x.waitFor("departure processed", func() bool { s := x.snapshot(); return s.Open == 0 && s.Queue == 0 && s.Held == 0 })
	if s := x.snapshot(); s.Servers.Left != 1 || x.setUps(sid) != before {
		x.t.Errorf("%d set-ups held back, %d sent, want %d sent before the client left: %+v",
			s.Servers.Left, x.setUps(sid), before, s)
	}
}

// clientExits are the ways in which a client leaves or withdraws its request.
var clientExits = map[string]func(x *testFront, c *net.TCPConn, sid uint64){
	"close":      func(x *testFront, c *net.TCPConn, sid uint64) { c.Close() },
	"half-close": func(x *testFront, c *net.TCPConn, sid uint64) { c.CloseWrite() },
	"reset":      func(x *testFront, c *net.TCPConn, sid uint64) { c.SetLinger(0); c.Close() },
	"cancel": func(x *testFront, c *net.TCPConn, sid uint64) {
		fmt.Fprintf(c, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid)
	},
}

// A client leaves while its request is in the owner's queue, and the event of that is queued behind the request. No
// server may be sent a set-up for a client that has left.
func TestDoesNotSendQueuedRequestOfDepartedClient(t *testing.T) {
	for name, exit := range clientExits {
		t.Run(name, func(t *testing.T) {
			x := newTestFront(t, 1024)
			x.connectServers()
			c := x.dialRaw()
			defer c.Close()
			sid := x.newID()
			release := x.blockOwner()
			fmt.Fprint(c, platformsim.OpenLine(sid, "safe", 1500*time.Millisecond, ""))
			x.waitForQueued("the request", 1)
			exit(x, c, sid)
			x.waitForQueued("the departure", 2)
			release()
			x.checkNotSent(sid, 0)
			x.closeAndAudit()
		})
	}
}

// connectServers opens a connection to each server, so that a set-up is written at once.
func (x *testFront) connectServers() {
	x.t.Helper()
	v := x.viewer()
	var sids []uint64
	for _, s := range x.servers { // the front connects to the server of each restored session
		sids = append(sids, x.newID())
		if err := v.Write(platformsim.OpenLine(sids[len(sids)-1], "safe", time.Second, ";at:"+s.Name())); err != nil {
			x.t.Fatal(err)
		}
	}
	x.waitFor("connections", func() bool { return x.snapshot().Links == len(x.servers) })
	for _, sid := range sids {
		v.Cancel(sid) // with sessions the front would test their servers, which queues more items
	}
	v.Close()
	x.waitFor("sessions and connection ended", func() bool { s := x.snapshot(); return s.Conns == 0 && s.Held == 0 })
}

// A client leaves while its first attempt is in flight, and the refusal of that attempt is queued before the
// departure. No further attempt may be sent.
func TestNoFurtherAttemptForDepartedClient(t *testing.T) {
	for name, exit := range clientExits {
		t.Run(name, func(t *testing.T) {
			x := newTestFront(t, 1024)
			x.connectServers()
			for _, s := range x.servers {
				s.SetFaults(platformsim.Faults{Full: true, ReplyDelay: 150 * time.Millisecond})
			}
			c := x.dialRaw()
			defer c.Close()
			sid := x.newID()
			fmt.Fprint(c, platformsim.OpenLine(sid, "safe", 1500*time.Millisecond, ""))
			x.waitFor("sent", func() bool { return x.setUps(sid) == 1 })
			release := x.blockOwner()
			x.waitForQueued("the refusal", 1)
			exit(x, c, sid)
			x.waitForQueued("the departure", 2)
			release()
			x.checkNotSent(sid, 1)
			x.closeAndAudit()
		})
	}
}

// A client leaves while its set-up waits for a connection to its server, and the event that the connection is open is
// queued before the departure. The set-up may not be sent.
func TestNoSetUpOnNewConnectionForDepartedClient(t *testing.T) {
	for name, exit := range clientExits {
		t.Run(name, func(t *testing.T) {
			x := newTestFront(t, 1024)
			c := x.dialRaw()
			defer c.Close()
			sid := x.newID()
			release := x.blockOwner()
			fmt.Fprint(c, platformsim.OpenLine(sid, "safe", 1500*time.Millisecond, ""))
			x.waitForQueued("the request", 1)
			reply := make(chan Snapshot)
			// The owner takes the request, starts to connect, and is blocked again.
			x.node.queue.Force(snapshotRequested{reply})
			release()
			x.queuedWhenBlocked = 0
			x.waitFor("the connection", func() bool { return !x.node.serverConns.IsClosed(1) })
			x.waitForQueued("the connected event", 1)
			exit(x, c, sid)
			x.waitForQueued("the departure", 2)
			<-reply
			x.checkNotSent(sid, 0)
			x.closeAndAudit()
		})
	}
}

// blockingReceiver passes the client of each read on and blocks the reader until the test proceeds.
type blockingReceiver struct {
	arrived chan *client
	proceed chan struct{}
}

func (s blockingReceiver) accepted(uint64, netip.Addr)         {}
func (s blockingReceiver) closed(uint64, transport.CloseCause) {}
func (s blockingReceiver) received(k *client, _ clientInput) {
	s.arrived <- k
	<-s.proceed
}

// Input that is unread because the reader is blocked, as by a full queue, counts as pending. A client that sent it is
// still waiting unless the input withdraws its request.
func TestUnreadInputCountsAsPending(t *testing.T) {
	receiver := blockingReceiver{make(chan *client, 8), make(chan struct{})}
	clients, err := listen("127.0.0.1:0", 1<<20, receiver)
	if err != nil {
		t.Fatal(err)
	}
	go clients.serve()
	defer clients.close(context.Background())
	defer close(receiver.proceed)
	c, err := net.Dial("tcp", clients.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const sid = 77
	fmt.Fprint(c, platformsim.OpenLine(sid, "safe", time.Second, ""))
	k := <-receiver.arrived
	if !clients.clientWaiting(k.id, sid) {
		t.Error("a waiting client is reported as not waiting")
	}
	if clients.inputDrained(k.id) {
		t.Error("input counts as drained before the request was processed")
	}
	k.processed(clientInput{bytes: k.window.Unprocessed()})
	if !clients.inputDrained(k.id) {
		t.Error("input does not count as drained after it was processed")
	}
	fmt.Fprintf(c, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid+1)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, unread := k.poll(); unread {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the input never arrived")
		}
	}
	if clients.inputDrained(k.id) {
		t.Error("input counts as drained while bytes are unread")
	}
	if !clients.clientWaiting(k.id, sid) {
		t.Error("the end of another session counts as a withdrawal")
	}
	fmt.Fprintf(c, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid)
	for end := time.Now().Add(5 * time.Second); clients.clientWaiting(k.id, sid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an unread withdrawal is never noticed")
		}
	}
}

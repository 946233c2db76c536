package node

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
	"tealledge/internal/standin/platformsim"
)

// hold stops the owner where it takes the next item, as one does that is busy with others; what comes meanwhile queues up
// behind. It gives what lets it go on.
func (x *site) hold() (free func()) {
	x.t.Helper()
	x.until("the journal is followed", func() bool { return x.look().Watch.Dials == 1 })
	x.journal.Silence(true) // its numbers would be counted for what a test waits for
	taken, reply := make(chan Snapshot, 1), make(chan Snapshot)
	x.node.queue.Force(inspect{taken})
	x.node.queue.Force(inspect{reply})
	<-taken
	time.Sleep(20 * time.Millisecond) // the second is taken in the same batch or the next
	x.base, _, _ = x.node.queue.Stats()
	return func() { <-reply }
}

// waiting waits until so many items wait for the owner that was held.
func (x *site) waiting(what string, least int) {
	x.t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		n, _, _ := x.node.queue.Stats()
		if n -= x.base; n >= least {
			return
		}
		if time.Now().After(end) {
			x.t.Fatalf("%s: %d items wait for the owner", what, n)
		}
	}
}

// setUps counts the set-ups of a session that reached servers.
func (x *site) setUps(sid uint64) (n int) {
	for _, e := range x.w.Rec.Events() {
		if e.What == record.Setup && e.Session == wire.Sid(sid) {
			n++
		}
	}
	return n
}

// raw connects without the records of a viewer.
func (x *site) raw() *net.TCPConn {
	x.t.Helper()
	c, err := net.Dial("tcp", x.node.clients.ln.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	x.until("accepted", func() bool { return x.look().Conns > 0 })
	return c.(*net.TCPConn)
}

// unsent waits until the front has heard that a client had gone, and looks that a set-up of its was held back where it would have
// been written, and what reached servers before.
func (x *site) unsent(sid uint64, before int) {
	x.t.Helper()
	x.until("heard", func() bool { s := x.look(); return s.Open == 0 && s.Queue == 0 && s.Held == 0 })
	if s := x.look(); s.Servers.Left != 1 || x.setUps(sid) != before {
		x.t.Errorf("%d set-ups held back, %d sent, of which %d before the client had gone: %+v", s.Servers.Left, x.setUps(sid), before, s)
	}
}

// ways are how a client goes; each gives how many items wait for the owner once it has, its request included.
var ways = map[string]func(x *site, c *net.TCPConn, sid uint64){
	"close":      func(x *site, c *net.TCPConn, sid uint64) { c.Close() },
	"half-close": func(x *site, c *net.TCPConn, sid uint64) { c.CloseWrite() },
	"reset":      func(x *site, c *net.TCPConn, sid uint64) { c.SetLinger(0); c.Close() },
	"cancel": func(x *site, c *net.TCPConn, sid uint64) {
		fmt.Fprintf(c, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid)
	},
}

// A client has gone while its request waited behind others in the owner's queue, and the word of that is behind the request: a
// server was sent a set-up for nobody.
func TestARequestWhoseClientHasGoneIsNotSent(t *testing.T) {
	for name, goes := range ways {
		t.Run(name, func(t *testing.T) {
			x := newSite(t, 1024)
			x.standing()
			c := x.raw()
			defer c.Close()
			sid := x.id()
			free := x.hold()
			fmt.Fprint(c, platformsim.Form(sid, "safe", 1500*time.Millisecond, ""))
			x.waiting("the request", 1)
			goes(x, c, sid)
			x.waiting("the client's word", 2)
			free()
			x.unsent(sid, 0)
			x.close()
		})
	}
}

// standing has each server hold a connection, so that a set-up is written at once.
func (x *site) standing() {
	x.t.Helper()
	v := x.viewer()
	var list []uint64
	for _, s := range x.servers { // sessions handed over have their servers connected to
		list = append(list, x.id())
		if err := v.Write(platformsim.Form(list[len(list)-1], "safe", time.Second, ";at:"+s.Name())); err != nil {
			x.t.Fatal(err)
		}
	}
	x.until("connections", func() bool { return x.look().Links == len(x.servers) })
	for _, sid := range list {
		v.GiveUp(sid) // with sessions the front would test their servers: more items in the queue
	}
	v.Close()
	x.until("all over", func() bool { s := x.look(); return s.Conns == 0 && s.Held == 0 })
}

// A client has gone while its first attempt was out; that attempt's refusal is before the word of it in the queue.
func TestNoFurtherAttemptForAClientThatHasGone(t *testing.T) {
	for name, goes := range ways {
		t.Run(name, func(t *testing.T) {
			x := newSite(t, 1024)
			x.standing()
			for _, s := range x.servers {
				s.Fault(platformsim.Faults{Full: true, Delay: 150 * time.Millisecond})
			}
			c := x.raw()
			defer c.Close()
			sid := x.id()
			fmt.Fprint(c, platformsim.Form(sid, "safe", 1500*time.Millisecond, ""))
			x.until("sent", func() bool { return x.setUps(sid) == 1 })
			free := x.hold()
			x.waiting("the refusal", 1)
			goes(x, c, sid)
			x.waiting("the client's word", 2)
			free()
			x.unsent(sid, 1)
			x.close()
		})
	}
}

// A client has gone while its set-up waited for a connection to its server; the word that it stands is ahead of that in the queue.
func TestNoSetUpWhenItsConnectionComesTooLate(t *testing.T) {
	for name, goes := range ways {
		t.Run(name, func(t *testing.T) {
			x := newSite(t, 1024)
			c := x.raw()
			defer c.Close()
			sid := x.id()
			free := x.hold()
			fmt.Fprint(c, platformsim.Form(sid, "safe", 1500*time.Millisecond, ""))
			x.waiting("the request", 1)
			reply := make(chan Snapshot)
			x.node.queue.Force(inspect{reply}) // the owner takes the request, begins to connect, and is held again
			free()
			x.base = 0
			x.until("the connection", func() bool { return !x.node.links.Ended(1) })
			x.waiting("the word of it", 1)
			goes(x, c, sid)
			x.waiting("the client's word", 2)
			<-reply
			x.unsent(sid, 0)
			x.close()
		})
	}
}

// sink takes what a connection brings, and lets its reader go on only when told.
type sink struct {
	came chan *client
	on   chan struct{}
}

func (s sink) accepted(uint64) {}
func (s sink) left(uint64)     {}
func (s sink) said(k *client, _ []viewers.In, _ error, _ bool) {
	s.came <- k
	<-s.on
}

// What still lies in the socket counts: its reader is held by a queue that is full.
func TestWordsThatLieUnreadCount(t *testing.T) {
	s := sink{make(chan *client, 8), make(chan struct{})}
	cs, err := listen("127.0.0.1:0", s)
	if err != nil {
		t.Fatal(err)
	}
	go cs.loop.Serve(cs.ln)
	defer cs.close(context.Background())
	defer close(s.on)
	c, err := net.Dial("tcp", cs.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const sid = 77
	fmt.Fprint(c, platformsim.Form(sid, "safe", time.Second, ""))
	k := <-s.came
	if !cs.waits(k.id, sid) {
		t.Error("a client that waits is taken for gone")
	}
	if cs.quiet(k.id) {
		t.Error("its request was not handed on: it is not quiet")
	}
	k.heard(nil)
	if !cs.quiet(k.id) {
		t.Error("all was heard")
	}
	fmt.Fprintf(c, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid+1)
	for end := time.Now().Add(5 * time.Second); k.conn.Reader().Len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never came")
		}
	}
	if cs.quiet(k.id) {
		t.Error("something lies unread: it is not quiet")
	}
	if !cs.waits(k.id, sid) {
		t.Error("another session's end was taken for this one's")
	}
}

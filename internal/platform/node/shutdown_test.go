package node

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"tealledge/internal/front"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
	"tealledge/internal/transport"
	"tealledge/policy"
)

// waitForExit waits until a front that is shutting down has ended.
func (x *testFront) waitForExit() {
	x.t.Helper()
	select {
	case err := <-x.done:
		x.done <- err
	case <-time.After(8 * time.Second):
		x.t.Error("the front does not end")
	}
}

// Requests that arrive during a shutdown are answered, and then the front ends.
func TestShutdownUnderLoad(t *testing.T) {
	x := newTestFront(t, 1024)
	for _, s := range x.servers {
		s.SetFaults(platformsim.Faults{ReplyDelay: 100 * time.Millisecond})
	}
	v := x.viewer()
	time.AfterFunc(200*time.Millisecond, func() { x.node.Shutdown(time.Now()) })
	for sid := range x.openMany(v, 30, 20*time.Millisecond) {
		v.Cancel(sid)
	}
	x.waitForExit()
	v.Close()
	x.stopAndAudit()
}

// A request whose last byte arrives when the front is about to end gets its whole answer.
func TestAnswersRequestCompletedLateInShutdown(t *testing.T) {
	x := newTestFront(t, 1024)
	v := x.viewer()
	sid := x.newID()
	text := platformsim.OpenLine(sid, "safe", 1500*time.Millisecond, "")
	x.node.Shutdown(time.Now())
	time.Sleep(time.Duration(earlyEndDelay) - 300*time.Millisecond)
	for part := range slices.Chunk([]byte(text), len(text)/5+1) { // parts arrive until after earlyEndDelay
		if err := v.Write(string(part)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if l := x.lineFor(v, sid); l.Msg != "ready" {
		t.Fatalf("%+v", l)
	}
	v.Cancel(sid)
	x.waitForExit()
	v.Close()
	x.stopAndAudit()
}

// A front ended with requests open when its time was up, if their deadlines were later. It must not end with a request
// open, however long its core takes to answer.
func TestShutdownNeverEndsWithRequestOpen(t *testing.T) {
	n := newListedNode(t, 3)
	defer n.clients.close(context.Background())
	now := n.now()
	in := viewers.Input{}
	in.Line, in.Err = wire.ParseLine([]byte(strings.TrimSuffix(platformsim.OpenLine(7, "safe", 10*time.Minute, ""), "\n")))
	n.viewers.Accepted(now, 1, netip.Addr{})
	n.viewers.Received(now, now, 1, []viewers.Input{in}, nil, 0, n.core.IDInUse)
	n.processEffects()
	if n.core.OpenRequests() != 1 {
		t.Fatalf("%d open", n.core.OpenRequests())
	}
	n.beginShutdown(now)
	late := n.shutdownPlan.EndBy + policy.Second
	if n.advanceShutdown(late) {
		t.Error("the front ends with a request open")
	}
	n.step(front.Leave{Session: 7})
	n.processEffects()
	if n.core.OpenRequests() != 0 || !n.advanceShutdown(late) {
		t.Errorf("%d requests open, or the front does not end without any", n.core.OpenRequests())
	}
}

// Guards against a request that is lost at the forced close of a shutdown because it was not read in time: there is time
// left to read and refuse it.
func TestForcedCloseWaitsForUnprocessedInput(t *testing.T) {
	n := newListedNode(t, 3)
	defer n.clients.close(context.Background())
	conn, peer := net.Pipe()
	defer peer.Close()
	k := &client{id: 1, window: transport.NewWindow(1), dropping: make(chan struct{}),
		splitter: wire.NewSplitter(wire.MaxMessage), writer: transport.NewWriter(conn, 1, time.Second)}
	k.window.Add(1)
	n.clients.conns[k.id] = k
	now := n.now()
	n.viewers.Accepted(now, k.id, netip.Addr{})
	n.beginShutdown(now)
	plan := n.shutdownPlan
	n.advanceShutdown(plan.CloseAt)
	n.advanceShutdown(plan.ForceCloseAt)
	if k.closing.Load() {
		t.Error("closed with input that was not processed, before the end of the plan")
	}
	n.advanceShutdown(plan.EndBy)
	if !k.closing.Load() {
		t.Error("still open at the end of the plan")
	}
}

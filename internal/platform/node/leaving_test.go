package node

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"tealledge/internal/front"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
	"tealledge/policy"
)

// leaves waits for the end of a front that was told to leave: nothing can be owed any more.
func (x *site) leaves() {
	x.t.Helper()
	select {
	case err := <-x.done:
		x.done <- err
	case <-time.After(8 * time.Second):
		x.t.Error("it stays")
	}
}

func TestLeavingUnderLoad(t *testing.T) {
	x := newSite(t, 1024)
	for _, s := range x.servers {
		s.Fault(platformsim.Faults{Delay: 100 * time.Millisecond})
	}
	v := x.viewer()
	time.AfterFunc(200*time.Millisecond, x.node.Leave)
	for sid := range x.asks(v, 30, 20*time.Millisecond) {
		v.GiveUp(sid)
	}
	x.leaves()
	v.Close()
	x.end()
}

// A request whose last byte comes as the front is about to end gets its answer whole, however late it began to leave.
func TestALastRequestWhileLeaving(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	sid := x.id()
	text := platformsim.Form(sid, "safe", 1500*time.Millisecond, "")
	x.node.Leave()
	time.Sleep(time.Duration(leaveAfter) - 300*time.Millisecond)
	for part := range slices.Chunk([]byte(text), len(text)/5+1) { // its bytes come one by one until the end of the wait is over
		if err := v.Write(string(part)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if l := x.line(v, sid); l.Msg != "ready" {
		t.Fatalf("%+v", l)
	}
	v.GiveUp(sid)
	x.leaves()
	v.Close()
	x.end()
}

// A front that leaves has waited long enough for sessions that stand after leaveMost, but not for a request: its deadline may be
// longer, and it is owed its answer.
func TestARequestWithALongDeadlineIsAnsweredBeforeTheEnd(t *testing.T) {
	x := listedNode(t, 3)
	defer x.clients.close(context.Background())
	now := x.now()
	in := viewers.In{}
	in.Line, in.Err = wire.ParseLine([]byte(strings.TrimSuffix(platformsim.Form(7, "safe", 10*time.Minute, ""), "\n")))
	x.viewers.Accepted(now, 1)
	x.viewers.Received(now, now, 1, []viewers.In{in}, nil, false, x.core.Known)
	x.settle()
	if x.core.Open() != 1 {
		t.Fatalf("%d open", x.core.Open())
	}
	x.leaving = now
	late := now + leaveMost + policy.Second
	if x.over(late) {
		t.Error("it ends with a request open")
	}
	x.step(front.Leave{Session: 7})
	x.settle()
	if x.core.Open() != 0 || !x.over(late) {
		t.Errorf("%d open, and it stays", x.core.Open())
	}
}

package node

import (
	"slices"
	"testing"
	"time"

	"tealledge/internal/standin/platformsim"
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

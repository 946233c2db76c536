package fleetsim

import (
	"testing"

	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
)

// Tests of work next to failed servers, newer versions and fronts without a disk.

// TestUnknownEntryFormatStopsGrants: in a fleet that is half upgraded, an entry of a newer version is committed.
// Fronts that don't know it continue with the work that is out and accept requests, but grant nothing new; none of
// them fails, and all reach the same state.
func TestUnknownEntryFormatStopsGrants(t *testing.T) {
	f := newSmallFleet(t, 9)
	a := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 1))).ID
	f.waitForPhase(t, a, ledger.Out, 20*Second)
	f.Command(f.Fronts[3], ledger.Entry{Format: ledger.Format + 1, Kind: "future", Key: "z"})
	f.Run(5 * Second)
	b := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("b", 12))).ID
	f.waitForReply(t, f.Command(f.Fronts[4], ledger.Entry{Kind: ledger.KindDone, Key: "d", ID: a}))
	f.waitForPhase(t, a, ledger.Done, 20*Second)
	f.Run(5 * Second)
	if why, _ := f.Leader().Core.WaitReason(b); f.phase(b) != ledger.Requested || why.Limit != "held" {
		t.Errorf("%s, %+v", f.phase(b), why)
	}
	for _, x := range f.Fronts {
		if x.Core.State().NewerFormat != ledger.Format+1 {
			t.Errorf("%s did not record the newer format", x.Name)
		}
	}
	f.checkErrors(t)
}

// TestFailedServerStopsGrants: a server that fails while others are out for work stops new grants, with the reason
// given, until it is back.
func TestFailedServerStopsGrants(t *testing.T) {
	f := newSmallFleet(t, 10)
	a := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 1))).ID
	f.waitForPhase(t, a, ledger.Out, 20*Second)
	servers := serverList(12, 3)
	servers[8].Ready = false
	f.Servers(servers, nil)
	f.Run(Second)
	b := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("b", 5))).ID
	f.Run(3 * Second)
	if why, _ := f.Leader().Core.WaitReason(b); f.phase(b) != ledger.Requested || why.Limit != "held" {
		t.Errorf("%s, %+v", f.phase(b), why)
	}
	f.Servers(serverList(12, 3), nil)
	f.waitForPhase(t, b, ledger.Out, 20*Second)
	f.checkErrors(t)
}

// TestGrantIsWithdrawnWhenRackFails: a server fails in the rack of one that was granted and is draining. The grant is
// withdrawn before the machine is touched, and given again when the failed server is back.
func TestGrantIsWithdrawnWhenRackFails(t *testing.T) {
	f := newSmallFleet(t, 12)
	f.Fronts[1].Sessions = map[uint32]core.ServerLoad{1: {Sessions: 1, KB: 100}}
	a := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 1))).ID
	f.waitForPhase(t, a, ledger.Draining, 20*Second)
	servers := serverList(12, 3)
	servers[1].Ready = false
	f.Servers(servers, nil)
	f.waitForPhase(t, a, ledger.Requested, 3*Second)
	f.Fronts[1].Sessions = map[uint32]core.ServerLoad{}
	f.Run(10 * Second)
	if why, _ := f.Leader().Core.WaitReason(a); f.phase(a) != ledger.Requested || why.Limit != "rack" ||
		f.Fronts[4].ReservedServers[1] != 0 {
		t.Errorf("%s, %+v, reserved %v", f.phase(a), why, f.Fronts[4].ReservedServers)
	}
	f.Servers(serverList(12, 3), nil)
	f.waitForPhase(t, a, ledger.Out, 20*Second)
	f.checkErrors(t)
}

// TestFrontDrainsBeforeItGoesOut: a front's host goes out once the sessions of its viewers have ended, on whichever
// servers they play.
func TestFrontDrainsBeforeItGoesOut(t *testing.T) {
	f := newSmallFleet(t, 13)
	f.Fronts[3].Sessions = map[uint32]core.ServerLoad{1: {Sessions: 1, KB: 100}}
	e := ledger.Entry{Kind: ledger.KindRequest, Key: "a", Request: &ledger.Request{Names: []string{"front:f004"},
		Fronts: []string{"f004"}, WorkDuration: 20 * Second}}
	f.Run(6 * Second)
	a := f.waitForReply(t, f.Command(f.Fronts[0], e)).ID
	f.waitForPhase(t, a, ledger.Draining, 20*Second)
	f.Run(10 * Second)
	if f.phase(a) != ledger.Draining || f.Fronts[3].ReservedFronts["f004"] != a {
		t.Errorf("%s, reserved %v", f.phase(a), f.Fronts[3].ReservedFronts)
	}
	f.Fronts[3].Sessions = map[uint32]core.ServerLoad{}
	f.waitForPhase(t, a, ledger.Out, 10*Second)
	f.checkErrors(t)
}

// TestFollowerWithoutDiskFetchesState: a follower that starts without a disk learns what is out as soon as it reaches
// a voter.
func TestFollowerWithoutDiskFetchesState(t *testing.T) {
	f := newSmallFleet(t, 11)
	a := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 1))).ID
	f.waitForPhase(t, a, ledger.Out, 20*Second)
	x := f.Fronts[4]
	f.Kill(x)
	x.Disk = &Disk{}
	f.Run(5 * Second)
	f.Start(x)
	if x.ReservedServers[1] != 0 {
		t.Fatal("it reserves the server before it was sent the state")
	}
	if !f.RunUntil(3*Second, func() bool { return x.ReservedServers[1] == a }) {
		t.Errorf("after 3 s its reserved servers are %v", x.ReservedServers)
	}
}

package fleetsim

import (
	"fmt"
	"testing"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
)

var timeouts = upkeep.Timeouts{AckTimeout: 10 * Second, DrainTimeout: 60 * Second,
	ReturnTimeout: 30 * Second, WarmUpTime: 5 * Second}

func serverList(n, perRack int) (servers []core.Server) {
	for i := range n {
		servers = append(servers, core.Server{ID: uint32(i + 1), Rack: i / perRack, Zone: i / perRack / 2,
			LinkKB: 1000, Ready: true})
	}
	return servers
}

// newSmallFleet makes a fleet of 5 fronts, 3 of them voters, with 12 servers in 4 racks and 2 zones, and waits for a
// leader.
func newSmallFleet(t *testing.T, seed int64) *Fleet {
	t.Helper()
	f := New(Config{Fronts: 5, Voters: 3, Seed: seed, Timeouts: timeouts,
		Limits: upkeep.Limits{Rack: 1, Zone: 2, Whole: 3, Racks: 1, Fronts: 1, Holders: 1, Margin: 0.2, Paid: 10,
			Patience: 60 * Second}})
	f.Servers(serverList(12, 3), nil)
	if !f.RunUntil(20*Second, func() bool { return f.Leader() != nil }) {
		t.Fatal("no leader in 20 s")
	}
	return f
}

// workRequest makes a request for work on servers of serverList(12, 3).
func workRequest(key string, servers ...uint32) ledger.Entry {
	a := &ledger.Request{WorkDuration: 20 * Second}
	for _, s := range servers {
		a.Servers = append(a.Servers, ledger.Place{Server: s, Rack: int(s-1) / 3, Zone: int(s-1) / 6})
		a.Names = append(a.Names, fmt.Sprintf("server:%d", s))
	}
	return ledger.Entry{Kind: ledger.KindRequest, Key: key, Request: a}
}

// phase returns the phase of a work as the front with the highest index has it.
func (f *Fleet) phase(id uint64) ledger.Phase {
	latest := ledger.Phase("")
	index := uint64(0)
	for _, x := range f.Fronts {
		if x.Core == nil {
			continue
		}
		if w := x.Core.State().Work(id); w != nil && x.Core.State().Index >= index {
			latest, index = w.Phase, x.Core.State().Index
		}
	}
	return latest
}

func (f *Fleet) waitForPhase(t *testing.T, id uint64, p ledger.Phase, timeout Time) {
	t.Helper()
	if !f.RunUntil(timeout, func() bool { return f.phase(id) == p }) {
		for _, x := range f.Fronts {
			t.Log(x.Name, x.Log)
			if x.Core != nil {
				t.Logf("%+v", x.Core.Stats)
				why, _ := x.Core.WaitReason(id)
				t.Logf("%+v", why)
			}
		}
		t.Fatalf("work %d is %q after %d s, want %q", id, f.phase(id), timeout/Second, p)
	}
}

func (f *Fleet) waitForReply(t *testing.T, h uint64) ledger.CommandResult {
	t.Helper()
	if !f.RunUntil(15*Second, func() bool { _, ok := f.Replies[h]; return ok }) {
		t.Fatal("no reply to a command within 15 s")
	}
	return f.Replies[h]
}

func (f *Fleet) checkErrors(t *testing.T) {
	t.Helper()
	for _, e := range f.Errors {
		t.Error(e)
	}
}

// TestServerStaysReservedUntilWorkIsDone: work on a server is requested at a front that does not vote. The server
// drains, is out and comes back, and every front sends it no new sessions meanwhile.
func TestServerStaysReservedUntilWorkIsDone(t *testing.T) {
	f := newSmallFleet(t, 1)
	f.Fronts[4].Sessions = map[uint32]core.ServerLoad{7: {Sessions: 3, KB: 600}}
	id := f.waitForReply(t, f.Command(f.Fronts[3], workRequest("a", 7))).ID
	f.waitForPhase(t, id, ledger.Draining, 20*Second)
	f.Run(10 * Second)
	if f.phase(id) != ledger.Draining {
		t.Fatal("the server went out with sessions on it")
	}
	for _, x := range f.Fronts {
		if x.ReservedServers[7] != id {
			t.Errorf("%s does not reserve a draining server", x.Name)
		}
	}
	f.Fronts[4].Sessions = map[uint32]core.ServerLoad{}
	f.waitForPhase(t, id, ledger.Out, 5*Second)
	f.waitForReply(t, f.Command(f.Fronts[2], ledger.Entry{Kind: ledger.KindDone, Key: "b", ID: id}))
	f.waitForPhase(t, id, ledger.Back, Second)
	f.Run(2 * Second)
	for _, x := range f.Fronts {
		if x.ReservedServers[7] != 0 || x.Returned[7] == 0 {
			t.Errorf("%s: reserved %v, returned %v", x.Name, x.ReservedServers, x.Returned)
		}
	}
	f.waitForPhase(t, id, ledger.Done, 10*Second)
	f.checkErrors(t)
}

// TestTimeoutsEndDrainAndWork: a drain that ends with sessions left, and work that nobody reports as done, continue
// when their timeouts expire.
func TestTimeoutsEndDrainAndWork(t *testing.T) {
	f := newSmallFleet(t, 2)
	f.Fronts[1].Sessions = map[uint32]core.ServerLoad{1: {Sessions: 1, KB: 100}}
	a := f.waitForReply(t, f.Command(f.Fronts[0], workRequest("a", 1))).ID
	f.waitForPhase(t, a, ledger.Draining, 20*Second)
	b := f.waitForReply(t, f.Command(f.Fronts[0], workRequest("b", 2))).ID // in the same rack
	f.waitForPhase(t, a, ledger.Out, 90*Second)
	if why, _ := f.Leader().Core.WaitReason(b); why.Limit != "rack" || f.phase(b) != ledger.Requested {
		t.Errorf("second request in one rack: %s, %+v", f.phase(b), why)
	}
	f.waitForPhase(t, a, ledger.Done, 70*Second)
	f.waitForPhase(t, b, ledger.Granted, 5*Second)
	f.checkErrors(t)
}

// TestRepeatedCommandMakesOneWork: the same command at two fronts makes one work.
func TestRepeatedCommandMakesOneWork(t *testing.T) {
	f := newSmallFleet(t, 3)
	x, y := f.Command(f.Fronts[0], workRequest("a", 1)), f.Command(f.Fronts[4], workRequest("a", 1))
	if p, q := f.waitForReply(t, x), f.waitForReply(t, y); p.ID != q.ID || p.ID == 0 {
		t.Fatalf("%+v and %+v", p, q)
	}
	f.Run(5 * Second)
	if n := len(f.Leader().Core.State().Works); n != 1 {
		t.Fatalf("%d works", n)
	}
}

// TestLeaderFailsAfterGrant: the leader is killed, or is stopped for 10 s and resumes as if it still led, between a
// grant and its announcement. There must be one grant only, and the work must go out.
func TestLeaderFailsAfterGrant(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		f := newSmallFleet(t, 4)
		id := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 7))).ID
		f.waitForPhase(t, id, ledger.Granted, 5*Second)
		old := f.Leader()
		if stopped {
			old.Stopped = true
			f.Schedule(10*Second, func() { f.Resume(old) })
		} else {
			f.Kill(old)
			f.Schedule(20*Second, func() { f.Start(old) })
		}
		b := f.Command(f.Fronts[4], workRequest("b", 8))
		f.Run(12 * Second)
		f.waitForReply(t, b)
		f.waitForPhase(t, id, ledger.Out, 40*Second)
		f.Run(20 * Second)
		granted := 0
		for _, c := range f.Changes {
			if c.Work.Phase == ledger.Granted {
				granted++
			}
		}
		if granted != 1 { // server 8 is in the rack of server 7
			t.Errorf("stopped %v: %d grants", stopped, granted)
		}
		f.checkErrors(t)
	}
}

// TestVoterWithLostOrOldDiskGetsNewIdentity: a voter that comes back without its disk, or with an older copy of it,
// must not vote under its old identity, as it has forgotten votes; the record survives.
func TestVoterWithLostOrOldDiskGetsNewIdentity(t *testing.T) {
	for _, restored := range []bool{false, true} {
		f := newSmallFleet(t, 5)
		var x *Front
		for _, v := range f.Fronts[:3] {
			if v != f.Leader() {
				x = v
			}
		}
		f.Kill(x)
		copied := x.Disk.Copy()
		f.Start(x)
		f.Run(5 * Second)
		first := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 1))).ID
		f.Run(2 * Second)
		f.Kill(x)
		f.Run(4 * Second)
		oldID := x.Disk.Identity.ID
		if x.Disk = (&Disk{}); restored {
			x.Disk = copied
		}
		f.Start(x)
		f.Run(15 * Second)
		if x.Disk.Identity.ID == oldID {
			t.Errorf("older copy %v: it still has the identity %x", restored, oldID)
		}
		// Another of the three voters is killed: the one with a new disk is needed for a majority.
		for _, v := range f.Fronts[:3] {
			if v != x && v != f.Leader() {
				f.Kill(v)
			}
		}
		f.Run(5 * Second)
		f.waitForPhase(t, first, ledger.Out, 30*Second)
		if got := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("b", 12))); got.Err != "" {
			t.Errorf("older copy %v: %+v, %v", restored, got, x.Log)
		}
		f.checkErrors(t)
	}
}

// TestMinorityCommitsNothing: in a partition of 2 and 3 fronts, the side without a majority commits nothing and
// forgets nothing that is out; after it, all fronts catch up.
func TestMinorityCommitsNothing(t *testing.T) {
	f := newSmallFleet(t, 6)
	id := f.waitForReply(t, f.Command(f.Fronts[0], workRequest("a", 1))).ID
	f.waitForPhase(t, id, ledger.Out, 20*Second)
	minority := map[string]bool{"f001": true, "f004": true}
	f.Blocked = func(from, to string) bool { return minority[from] != minority[to] }
	f.Run(5 * Second)
	left, right := f.Command(f.Fronts[3], workRequest("left", 4)), f.Command(f.Fronts[4], workRequest("right", 7))
	if a := f.waitForReply(t, left); a.Err != core.ErrUnknown {
		t.Errorf("the minority committed %+v", a)
	}
	if a := f.waitForReply(t, right); a.Err != "" {
		t.Errorf("the majority: %+v", a)
	}
	if f.Fronts[3].ReservedServers[1] != id {
		t.Error("the minority forgot what is out")
	}
	f.Blocked = nil
	f.Run(15 * Second)
	if a := f.waitForReply(t, f.Command(f.Fronts[3], workRequest("left", 4))); a.Err != "" {
		t.Errorf("after the partition: %+v", a)
	}
	f.waitForPhase(t, id, ledger.Done, 60*Second)
	if !f.RunUntil(30*Second, func() bool {
		for _, x := range f.Fronts {
			if x.Core.State().Index != f.Leader().Core.State().Index {
				return false
			}
		}
		return true
	}) {
		t.Error("some fronts are still behind")
	}
	f.checkErrors(t)
}

// TestOneWayLossClockSkewAndRestartOfAll: a voter receives but its messages are lost, clocks are up to 5 s
// wrong, and all fronts restart at once while a machine is out.
func TestOneWayLossClockSkewAndRestartOfAll(t *testing.T) {
	f := newSmallFleet(t, 7)
	for i, x := range f.Fronts {
		x.ClockSkew = Time(i-2) * 5 * Second / 2
	}
	f.Blocked = func(from, to string) bool { return from == "f002" }
	f.Run(10 * Second)
	id := f.waitForReply(t, f.Command(f.Fronts[4], workRequest("a", 1))).ID
	f.waitForPhase(t, id, ledger.Out, 40*Second)
	f.Blocked = nil
	f.Run(5 * Second)
	for _, x := range f.Fronts {
		f.Kill(x)
	}
	f.Run(Second)
	for _, x := range f.Fronts {
		f.Start(x)
		if x.ReservedServers[1] != id {
			t.Errorf("%s does not know after its start what is out", x.Name)
		}
	}
	if !f.RunUntil(15*Second, func() bool { return f.Leader() != nil }) {
		t.Fatal("no leader after all fronts restarted")
	}
	f.waitForReply(t, f.Command(f.Fronts[2], ledger.Entry{Kind: ledger.KindDone, Key: "d", ID: id}))
	f.waitForPhase(t, id, ledger.Done, 20*Second)
	f.checkErrors(t)
}

// TestCompactedLogCatchesUpBySnapshot: a long log is compacted, and a voter and a follower that were down meanwhile
// receive the state as a snapshot.
func TestCompactedLogCatchesUpBySnapshot(t *testing.T) {
	f := newSmallFleet(t, 8)
	away := []*Front{f.Fronts[4]}
	for _, v := range f.Fronts[:3] {
		if v != f.Leader() {
			away = append(away, v)
			break
		}
	}
	for _, x := range away {
		f.Kill(x)
	}
	for i := range 700 {
		f.Command(f.Fronts[3], workRequest(fmt.Sprint("k", i), uint32(i%12+1)))
		f.Run(20 * Millisecond)
		if i%2 == 0 {
			f.Command(f.Fronts[3], ledger.Entry{Kind: ledger.KindCancel, Key: fmt.Sprint("c", i),
				ID: f.Leader().Core.State().Index})
		}
	}
	f.Run(5 * Second)
	if n := len(f.Leader().Disk.Disk.Entries); n > 1200 {
		t.Errorf("%d entries on disk", n)
	}
	for _, x := range away {
		f.Start(x)
	}
	f.Run(20 * Second)
	for _, x := range away {
		if x.Core.State().Index+20 < f.Leader().Core.State().Index {
			t.Errorf("%s is at index %d of %d: %v %+v", x.Name, x.Core.State().Index,
				f.Leader().Core.State().Index, x.Log, x.Core.Stats)
		}
	}
	f.checkErrors(t)
}

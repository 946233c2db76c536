package fleetsim

import (
	"testing"

	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
)

// Work beside what fails, what is newer, and what knows nothing.

// A newer version's entry is agreed on in a fleet half upgraded: fronts that don't know it carry on what is out, take asks,
// and let nobody else go; nobody falls over, and all come to the same.
func TestAFleetHalfUpgraded(t *testing.T) {
	f := small(t, 9)
	a := f.answer(t, f.Ask(f.Fronts[4], work("a", 1))).ID
	f.wants(t, a, ledger.Out, 20*Second)
	f.Ask(f.Fronts[3], ledger.Entry{V: ledger.Format + 1, Kind: "future", Key: "z"})
	f.Run(5 * Second)
	b := f.answer(t, f.Ask(f.Fronts[4], work("b", 12))).ID
	f.answer(t, f.Ask(f.Fronts[4], ledger.Entry{Kind: ledger.KindDone, Key: "d", ID: a}))
	f.wants(t, a, ledger.Done, 20*Second)
	f.Run(5 * Second)
	if why, _ := f.Leader().Core.Why(b); f.phase(b) != ledger.Asked || why.Limit != "held" {
		t.Errorf("%s, %+v", f.phase(b), why)
	}
	for _, x := range f.Fronts {
		if x.Core.State().Newer != ledger.Format+1 {
			t.Errorf("%s did not notice", x.Name)
		}
	}
	f.good(t)
}

// What fails in the middle of others' work stops new grants, and says so, until it is back.
func TestAFailureBesideWorkStopsGrants(t *testing.T) {
	f := small(t, 10)
	a := f.answer(t, f.Ask(f.Fronts[4], work("a", 1))).ID
	f.wants(t, a, ledger.Out, 20*Second)
	servers := list(12, 3)
	servers[8].Ready = false
	f.Servers(servers, nil)
	f.Run(Second)
	b := f.answer(t, f.Ask(f.Fronts[4], work("b", 5))).ID
	f.Run(3 * Second)
	if why, _ := f.Leader().Core.Why(b); f.phase(b) != ledger.Asked || why.Limit != "held" {
		t.Errorf("%s, %+v", f.phase(b), why)
	}
	f.Servers(list(12, 3), nil)
	f.wants(t, b, ledger.Out, 20*Second)
	f.good(t)
}

// A server fails in the rack of one that was granted and is being emptied: the grant is taken back before anything is touched,
// and goes when the other is back.
func TestAGrantIsTakenBack(t *testing.T) {
	f := small(t, 12)
	f.Fronts[1].Mine = map[uint32]core.Standing{1: {Sessions: 1, KB: 100}}
	a := f.answer(t, f.Ask(f.Fronts[4], work("a", 1))).ID
	f.wants(t, a, ledger.Draining, 20*Second)
	servers := list(12, 3)
	servers[1].Ready = false
	f.Servers(servers, nil)
	f.wants(t, a, ledger.Asked, 3*Second)
	f.Fronts[1].Mine = map[uint32]core.Standing{}
	f.Run(10 * Second)
	if why, _ := f.Leader().Core.Why(a); f.phase(a) != ledger.Asked || why.Limit != "rack" || f.Fronts[4].Server[1] != 0 {
		t.Errorf("%s, %+v, kept %v", f.phase(a), why, f.Fronts[4].Server)
	}
	f.Servers(list(12, 3), nil)
	f.wants(t, a, ledger.Out, 20*Second)
	f.good(t)
}

// A front's host goes out once the sessions of its viewers are over, wherever they play.
func TestAFrontsHostIsEmptied(t *testing.T) {
	f := small(t, 13)
	f.Fronts[3].Mine = map[uint32]core.Standing{1: {Sessions: 1, KB: 100}}
	e := ledger.Entry{Kind: ledger.KindAsk, Key: "a", Ask: &ledger.Ask{Names: []string{"front:f004"}, Fronts: []string{"f004"}, For: 20 * Second}}
	f.Run(6 * Second)
	a := f.answer(t, f.Ask(f.Fronts[0], e)).ID
	f.wants(t, a, ledger.Draining, 20*Second)
	f.Run(10 * Second)
	if f.phase(a) != ledger.Draining || f.Fronts[3].Fronts["f004"] != a {
		t.Errorf("%s, kept %v", f.phase(a), f.Fronts[3].Fronts)
	}
	f.Fronts[3].Mine = map[uint32]core.Standing{}
	f.wants(t, a, ledger.Out, 10*Second)
	f.good(t)
}

// A follower without a disk hears of what is out as soon as it reaches a voter.
func TestAFollowerWithoutADisk(t *testing.T) {
	f := small(t, 11)
	a := f.answer(t, f.Ask(f.Fronts[4], work("a", 1))).ID
	f.wants(t, a, ledger.Out, 20*Second)
	x := f.Fronts[4]
	f.Kill(x)
	x.Disk = &Disk{}
	f.Run(5 * Second)
	f.Start(x)
	if x.Server[1] != 0 {
		t.Fatal("it knows what nobody told it")
	}
	if !f.Until(3*Second, func() bool { return x.Server[1] == a }) {
		t.Errorf("after 3 s it keeps %v", x.Server)
	}
}

package fleetsim

import (
	"fmt"
	"testing"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
)

var times = upkeep.Timeouts{AckTimeout: 10 * Second, DrainTimeout: 60 * Second, ReturnTimeout: 30 * Second, WarmUpTime: 5 * Second}

func list(n, perRack int) (out []core.Server) {
	for i := range n {
		out = append(out, core.Server{ID: uint32(i + 1), Rack: i / perRack, Zone: i / perRack / 2, KB: 1000, Ready: true})
	}
	return out
}

func small(t *testing.T, seed int64) *Fleet {
	t.Helper()
	f := New(Config{Fronts: 5, Voters: 3, Seed: seed, Times: times,
		Limits: upkeep.Limits{Rack: 1, Zone: 2, Whole: 3, Racks: 1, Fronts: 1, Holders: 1, Margin: 0.2, Paid: 10, Patience: 60 * Second}})
	f.Servers(list(12, 3), nil)
	if !f.Until(20*Second, func() bool { return f.Leader() != nil }) {
		t.Fatal("no leader in 20 s")
	}
	return f
}

func work(key string, servers ...uint32) ledger.Entry {
	a := &ledger.Ask{For: 20 * Second}
	for _, s := range servers {
		a.Servers = append(a.Servers, ledger.Place{Server: s, Rack: int(s-1) / 3, Zone: int(s-1) / 6})
		a.Names = append(a.Names, fmt.Sprintf("server:%d", s))
	}
	return ledger.Entry{Kind: ledger.KindAsk, Key: key, Ask: a}
}

func (f *Fleet) phase(id uint64) ledger.Phase {
	best := ledger.Phase("")
	index := uint64(0)
	for _, x := range f.Fronts {
		if x.Core == nil {
			continue
		}
		if w := x.Core.State().Work(id); w != nil && x.Core.State().Index >= index {
			best, index = w.Phase, x.Core.State().Index
		}
	}
	return best
}

func (f *Fleet) wants(t *testing.T, id uint64, p ledger.Phase, most Time) {
	t.Helper()
	if !f.Until(most, func() bool { return f.phase(id) == p }) {
		for _, x := range f.Fronts {
			t.Log(x.Name, x.Log)
			if x.Core != nil {
				t.Logf("%+v", x.Core.Stats)
				why, _ := x.Core.Why(id)
				t.Logf("%+v", why)
			}
		}
		t.Fatalf("work %d is %q after %d s, want %q", id, f.phase(id), most/Second, p)
	}
}

func (f *Fleet) answer(t *testing.T, h uint64) ledger.Answer {
	t.Helper()
	if !f.Until(15*Second, func() bool { _, ok := f.Replies[h]; return ok }) {
		t.Fatal("no answer to a command")
	}
	return f.Replies[h]
}

func (f *Fleet) good(t *testing.T) {
	t.Helper()
	for _, e := range f.Errors {
		t.Error(e)
	}
}

// A server is asked for at a front that does not vote, emptied, worked on and taken back; every front keeps it free
// meanwhile.
func TestAServerGoesAndComesBack(t *testing.T) {
	f := small(t, 1)
	f.Fronts[4].Mine = map[uint32]core.Standing{7: {Sessions: 3, KB: 600}}
	id := f.answer(t, f.Ask(f.Fronts[3], work("a", 7))).ID
	f.wants(t, id, ledger.Draining, 20*Second)
	f.Run(10 * Second)
	if f.phase(id) != ledger.Draining {
		t.Fatal("it went out with sessions on it")
	}
	for _, x := range f.Fronts {
		if x.Server[7] != id {
			t.Errorf("%s sends to a server that is being emptied", x.Name)
		}
	}
	f.Fronts[4].Mine = map[uint32]core.Standing{}
	f.wants(t, id, ledger.Out, 5*Second)
	f.answer(t, f.Ask(f.Fronts[2], ledger.Entry{Kind: ledger.KindDone, Key: "b", ID: id}))
	f.wants(t, id, ledger.Back, Second)
	f.Run(2 * Second)
	for _, x := range f.Fronts {
		if x.Server[7] != 0 || x.Back[7] == 0 {
			t.Errorf("%s keeps %v, back %v", x.Name, x.Server, x.Back)
		}
	}
	f.wants(t, id, ledger.Done, 10*Second)
	f.good(t)
}

// Work that nobody reports back, and work whose drain ends with sessions standing, go on by their time-outs.
func TestNothingStaysOutForEver(t *testing.T) {
	f := small(t, 2)
	f.Fronts[1].Mine = map[uint32]core.Standing{1: {Sessions: 1, KB: 100}}
	a := f.answer(t, f.Ask(f.Fronts[0], work("a", 1))).ID
	f.wants(t, a, ledger.Draining, 20*Second)
	b := f.answer(t, f.Ask(f.Fronts[0], work("b", 2))).ID // the same rack
	f.wants(t, a, ledger.Out, 90*Second)
	if why, _ := f.Leader().Core.Why(b); why.Limit != "rack" || f.phase(b) != ledger.Asked {
		t.Errorf("the second of a rack: %s, %+v", f.phase(b), why)
	}
	f.wants(t, a, ledger.Done, 70*Second)
	f.wants(t, b, ledger.Granted, 5*Second)
	f.good(t)
}

// The same command at two fronts, or again, is one work.
func TestARepeatedCommandIsOne(t *testing.T) {
	f := small(t, 3)
	x, y := f.Ask(f.Fronts[0], work("a", 1)), f.Ask(f.Fronts[4], work("a", 1))
	if p, q := f.answer(t, x), f.answer(t, y); p.ID != q.ID || p.ID == 0 {
		t.Fatalf("%+v and %+v", p, q)
	}
	f.Run(5 * Second)
	if n := len(f.Leader().Core.State().Works); n != 1 {
		t.Fatalf("%d works", n)
	}
}

// The leader dies, or stops for 10 s and goes on in the belief that it leads, between a grant and its telling.
func TestALeaderThatGoesInTheMiddle(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		f := small(t, 4)
		id := f.answer(t, f.Ask(f.Fronts[4], work("a", 7))).ID
		f.wants(t, id, ledger.Granted, 5*Second)
		old := f.Leader()
		if stopped {
			old.Stuck = true
			f.At(10*Second, func() { f.Continue(old) })
		} else {
			f.Kill(old)
			f.At(20*Second, func() { f.Start(old) })
		}
		b := f.Ask(f.Fronts[4], work("b", 8))
		f.Run(12 * Second)
		f.answer(t, b)
		f.wants(t, id, ledger.Out, 40*Second)
		f.Run(20 * Second)
		granted := 0
		for _, c := range f.Changes {
			if c.Work.Phase == ledger.Granted {
				granted++
			}
		}
		if granted != 1 { // 8 is in the rack of 7
			t.Errorf("stopped %v: %d grants", stopped, granted)
		}
		f.good(t)
	}
}

// A voter that comes back with no disk, or with one put back, must not speak as the one it was; the record lives on.
func TestADiskThatIsLostOrPutBack(t *testing.T) {
	for _, putBack := range []bool{false, true} {
		f := small(t, 5)
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
		first := f.answer(t, f.Ask(f.Fronts[4], work("a", 1))).ID
		f.Run(2 * Second)
		f.Kill(x)
		f.Run(4 * Second)
		was := x.Disk.Identity.ID
		if x.Disk = (&Disk{}); putBack {
			x.Disk = copied
		}
		f.Start(x)
		f.Run(15 * Second)
		if x.Disk.Identity.ID == was {
			t.Errorf("put back %v: it speaks as %x still", putBack, was)
		}
		// Another of the three goes: the one with a new disk is needed for a majority.
		for _, v := range f.Fronts[:3] {
			if v != x && v != f.Leader() {
				f.Kill(v)
			}
		}
		f.Run(5 * Second)
		f.wants(t, first, ledger.Out, 30*Second)
		if got := f.answer(t, f.Ask(f.Fronts[4], work("b", 12))); got.Err != "" {
			t.Errorf("put back %v: %+v, %v", putBack, got, x.Log)
		}
		f.good(t)
	}
}

// Split 2 to 3 and healed: the side without a majority agrees on nothing, and loses nothing.
func TestASplit(t *testing.T) {
	f := small(t, 6)
	id := f.answer(t, f.Ask(f.Fronts[0], work("a", 1))).ID
	f.wants(t, id, ledger.Out, 20*Second)
	minority := map[string]bool{"f001": true, "f004": true}
	f.Cut = func(from, to string) bool { return minority[from] != minority[to] }
	f.Run(5 * Second)
	left, right := f.Ask(f.Fronts[3], work("left", 4)), f.Ask(f.Fronts[4], work("right", 7))
	if a := f.answer(t, left); a.Err != core.ErrUnknown {
		t.Errorf("the minority agreed on %+v", a)
	}
	if a := f.answer(t, right); a.Err != "" {
		t.Errorf("the majority: %+v", a)
	}
	if f.Fronts[3].Server[1] != id {
		t.Error("the minority forgot what is out")
	}
	f.Cut = nil
	f.Run(15 * Second)
	if a := f.answer(t, f.Ask(f.Fronts[3], work("left", 4))); a.Err != "" {
		t.Errorf("healed: %+v", a)
	}
	f.wants(t, id, ledger.Done, 60*Second)
	if !f.Until(30*Second, func() bool {
		for _, x := range f.Fronts {
			if x.Core.State().Index != f.Leader().Core.State().Index {
				return false
			}
		}
		return true
	}) {
		t.Error("some are behind still")
	}
	f.good(t)
}

// A voter that hears and is not heard, clocks apart by 5 s, and all fronts restarted at once while a machine is out.
func TestOneWaySkewAndARestartOfAll(t *testing.T) {
	f := small(t, 7)
	for i, x := range f.Fronts {
		x.Skew = Time(i-2) * 5 * Second / 2
	}
	f.Cut = func(from, to string) bool { return from == "f002" }
	f.Run(10 * Second)
	id := f.answer(t, f.Ask(f.Fronts[4], work("a", 1))).ID
	f.wants(t, id, ledger.Out, 40*Second)
	f.Cut = nil
	f.Run(5 * Second)
	for _, x := range f.Fronts {
		f.Kill(x)
	}
	f.Run(Second)
	for _, x := range f.Fronts {
		f.Start(x)
		if x.Server[1] != id {
			t.Errorf("%s starts without knowing what is out", x.Name)
		}
	}
	if !f.Until(15*Second, func() bool { return f.Leader() != nil }) {
		t.Fatal("no leader after a restart of all")
	}
	f.answer(t, f.Ask(f.Fronts[2], ledger.Entry{Kind: ledger.KindDone, Key: "d", ID: id}))
	f.wants(t, id, ledger.Done, 20*Second)
	f.good(t)
}

// A long record is compacted, and a front that was away for all of it is given the state.
func TestCompactionAndCatchingUp(t *testing.T) {
	f := small(t, 8)
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
		f.Ask(f.Fronts[3], work(fmt.Sprint("k", i), uint32(i%12+1)))
		f.Run(20 * Millisecond)
		if i%2 == 0 {
			f.Ask(f.Fronts[3], ledger.Entry{Kind: ledger.KindCancel, Key: fmt.Sprint("c", i), ID: f.Leader().Core.State().Index})
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
			t.Errorf("%s stands at %d of %d: %v %+v", x.Name, x.Core.State().Index, f.Leader().Core.State().Index, x.Log, x.Core.Stats)
		}
	}
	f.good(t)
}

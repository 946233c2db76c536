package node

import (
	"os"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

func TestEachTroubleOfAServer(t *testing.T) {
	for name, f := range map[string]platformsim.Faults{
		"full": {Full: true}, "error": {Error: true}, "hang": {Hang: true}, "noise": {Noise: true}, "half": {Half: true},
		"break": {Break: true}, "doubled": {Doubled: true}, "no line can carry it": {Huge: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := newSite(t, 1024)
			for _, s := range x.servers[:2] { // a third one is well
				s.Fault(f)
			}
			v := x.viewer()
			plays, n := 0, 12
			for _, l := range x.asks(v, n, 0) {
				plays += map[string]int{"ready": 1}[l.Msg]
			}
			least := map[string]int{"doubled": n, "full": n, "no line can carry it": n / 2}[name] // safe ones are tried elsewhere
			if plays < max(least, 2) {
				t.Errorf("%d of %d play", plays, n)
			}
			v.Close()
			x.close()
		})
	}
}

func TestAProcessThatDiesAndComesBack(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	x.asks(v, 9, 0)
	s := x.servers[0]
	for _, o := range x.servers { // where sessions are is the module's choice
		if len(o.Plays()) > len(s.Plays()) {
			s = o
		}
	}
	cut := map[uint64]bool{}
	for _, sid := range s.Plays() {
		cut[sid] = true
	}
	began := time.Now()
	s.Die()
	for _, l := range x.words(v, cut) {
		if l.Msg != "close" || l.Code != 41 {
			t.Errorf("%+v", l)
		}
	}
	if d, n := time.Since(began), x.look().Servers.Refused; len(cut) == 0 || d > 5*time.Second || n == 0 { // 8 s are owed
		t.Error("told after", d, "and refused connects:", n)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	v.Close()
	x.close()
}

func TestNothingNewGoesToAServerThatDrains(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	x.opens(v, "safe")
	x.journal.Tell(false, wire.HostDraining, x.servers[0], x.servers[1])
	x.until("told", func() bool { return x.look().Ready == 1 })
	for range 5 {
		if sid, a := x.opens(v, "paid"); a.Msg == "ready" && x.at(sid) != x.servers[2] {
			t.Error("set up at a server that drains")
		}
	}
	x.journal.Tell(false, wire.HostGone, x.servers[0])
	x.until("gone and forgotten", func() bool { return x.look().Hosts == 2 })
	v.Close()
	x.close()
}

func TestTroublesOfTheJournal(t *testing.T) {
	x := newSite(t, 1024)
	x.until("followed", func() bool { return x.look().Watch.Dials == 1 })
	x.journal.Break()
	x.journal.Tell(false, wire.HostDraining, x.servers[0])
	x.until("told after a break", func() bool { return x.look().Ready == 2 })
	x.journal.Twice()
	x.journal.Silence(true)
	x.journal.Tell(false, wire.HostDraining, x.servers[1])
	x.until("silence is noticed", func() bool { return x.look().Watch.Silences > 0 })
	x.journal.Silence(false)
	x.until("told after silence", func() bool { return x.look().Ready == 1 })

	next, err := platformsim.NewJournal(x.w, x.journal)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(x.path, []byte("{"), 0o600)
	x.node.Reload() // changes nothing
	x.look()
	old := x.journal
	x.journal = next
	x.write(next.Addr(), 1024, settingsJSON)
	x.node.Reload()
	next.Tell(false, wire.HostReady, x.servers[1])
	x.until("told at the new address", func() bool { return x.look().Ready == 2 })
	if s := x.look(); s.Pos != 4 {
		t.Errorf("%+v", s.Watch)
	}
	old.Close()
	x.close()
}

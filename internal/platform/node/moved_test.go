package node

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// Servers end their connections behind a request that waits for the owner, and the readers know: its set-up, given to one that has
// ended, is known never to have left, and goes on the next connection, a paid one too. (An end that no reader has seen yet is forced
// on the pure dialogue.)
func TestASetUpWhoseConnectionHasEndedBehindIt(t *testing.T) {
	for _, class := range []string{"safe", "paid"} {
		t.Run(class, func(t *testing.T) {
			x := newSite(t, 1024)
			x.standing()
			v := x.viewer()
			x.until("accepted", func() bool { return x.look().Conns == 1 })
			sid := x.id()
			free := x.hold()
			if err := v.Open(sid, class, 1500*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			x.waiting("the request", 1)
			for _, s := range x.servers {
				s.Drop()
			}
			x.waiting("the ends", 1+len(x.servers))
			free()
			if l := x.line(v, sid); l.Msg != wire.LineReady {
				t.Errorf("%+v", l)
			}
			if s := x.look(); s.Servers.Again != 1 || s.Stats.Attempts != 1 || x.setUps(sid) != 1 {
				t.Errorf("waited again %d times, %d attempts, %d set-ups came", s.Servers.Again, s.Stats.Attempts, x.setUps(sid))
			}
			v.GiveUp(sid)
			v.Close()
			x.close()
		})
	}
}

// connecting has a paid set-up wait for a connect that nobody answers, to the one server that holds its title. It gives that server
// as it was listed, and what ends the listener.
func connecting(t *testing.T) (x *site, v *platformsim.Viewer, sid uint64, host wire.Host, done func()) {
	t.Helper()
	x = newSiteWith(t, 1024, strings.NewReplacer(`"positions":3`, `"positions":100`, `"connect-timeout-ns":250000000`, `"connect-timeout-ns":8000000000`).Replace(settingsJSON))
	addr, done, err := platformsim.Unanswered()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	host = wire.Host{Name: "slow", Dial: addr, Zone: "z", Kind: "k", Cell: 50, Health: wire.HostReady, Share: 10}
	x.journal.List(false, host)
	x.until("listed", func() bool { return x.look().Ready == 4 })
	v, sid = x.viewer(), x.id()
	v.Write(strings.Replace(platformsim.Form(sid, "paid", 2*time.Second, ""), "home:0;copies:3", "home:50;copies:1", 1))
	x.until("connected to", func() bool { s := x.look(); return s.Attempts == 1 && s.Open == 1 })
	return x, v, sid, host, done
}

// A server's address changes while a connect to the old one, which nobody answers, is under way: what waits goes to the new one at
// once. Before, it waited for the old connect, and went to whoever answered it.
func TestAnAddressThatChangesWhileItIsConnectedTo(t *testing.T) {
	x, v, sid, host, done := connecting(t)
	good, err := platformsim.NewServer(x.w, 10)
	if err != nil {
		t.Fatal(err)
	}
	host.Dial = good.Addr()
	x.journal.List(false, host)
	if l := x.line(v, sid); l.Msg != wire.LineReady {
		t.Errorf("%+v", l)
	}
	if s := x.look(); s.Stats.Attempts != 1 || s.Servers.Unanswered != 0 {
		t.Errorf("%d attempts, %d connects found unanswered", s.Stats.Attempts, s.Servers.Unanswered)
	}
	v.GiveUp(sid)
	x.until("over", func() bool { return x.look().Held == 0 })
	v.Close()
	done() // the old connect ends, whichever way
	x.quit(good)
}

// A new server is listed at the address of one whose end is not told yet: what was chosen for the old one does not reach the new.
func TestANewServerAtAUsedAddressGetsNothingOfTheOld(t *testing.T) {
	x := newSiteWith(t, 1024, strings.Replace(settingsJSON, `"positions":3`, `"positions":100`, 1))
	good, err := platformsim.NewServer(x.w, 10)
	if err != nil {
		t.Fatal(err)
	}
	old := wire.Host{Name: "old", Dial: good.Addr(), Zone: "z", Kind: "k", Cell: 50, Health: wire.HostReady, Share: 10}
	next := old
	next.Name, next.Cell = good.Name(), 60
	x.journal.List(false, old)
	x.journal.List(false, next)
	x.until("listed", func() bool { return x.look().Ready == 5 })
	v := x.viewer()
	ask := func(home string) (uint64, wire.Line) {
		sid := x.id()
		v.Write(strings.Replace(platformsim.Form(sid, "paid", 1500*time.Millisecond, ""), "home:0;copies:3", "home:"+home+";copies:1", 1))
		return sid, x.line(v, sid)
	}
	if sid, l := ask("50"); l.Msg != wire.LineClose || l.Code != wire.CauseRefused || x.setUps(sid) != 0 {
		t.Errorf("for the old one: %+v, %d set-ups came", l, x.setUps(sid))
	}
	sid, l := ask("60")
	if l.Msg != wire.LineReady || x.setUps(sid) != 1 {
		t.Errorf("for the new one: %+v, %d set-ups came", l, x.setUps(sid))
	}
	v.GiveUp(sid)
	x.until("over", func() bool { return x.look().Held == 0 })
	v.Close()
	x.quit(good)
}

// A server drains while a paid set-up waits for a connect to it: the request is refused in its time, and nothing comes to the server
// when the connect is through.
func TestAServerThatDrainsWhileItIsConnectedTo(t *testing.T) {
	x, v, sid, host, done := connecting(t)
	host.Health = wire.HostDraining
	x.journal.List(false, host)
	if l := x.line(v, sid); l.Msg != wire.LineClose || l.Code != wire.CauseRefused {
		t.Errorf("%+v", l)
	}
	if s := x.look(); s.Stats.Attempts != 1 || s.Servers.Unanswered != 0 || s.Open != 0 {
		t.Errorf("%d attempts, %d connects found unanswered, %d open", s.Stats.Attempts, s.Servers.Unanswered, s.Open)
	}
	v.Close()
	done()
	x.quit()
}

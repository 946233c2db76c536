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
			if s := x.look(); s.Servers.Again != 1 || s.Attempts != 1 || x.setUps(sid) != 1 {
				t.Errorf("waited again %d times, %d attempts, %d set-ups came", s.Servers.Again, s.Attempts, x.setUps(sid))
			}
			v.GiveUp(sid)
			v.Close()
			x.close()
		})
	}
}

// A server's address changes while a connect to the old one, which nobody answers, is under way: what waits goes to the new one at
// once. Before, it waited for the old connect, and went to whoever answered it.
func TestAnAddressThatChangesWhileItIsConnectedTo(t *testing.T) {
	x := newSiteWith(t, 1024, strings.NewReplacer(`"positions":3`, `"positions":100`, `"connect-timeout-ns":250000000`, `"connect-timeout-ns":8000000000`).Replace(settingsJSON))
	old, done, err := platformsim.Unanswered()
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	good, err := platformsim.NewServer(x.w, 10)
	if err != nil {
		t.Fatal(err)
	}
	host := wire.Host{Name: good.Name(), Dial: old, Zone: "z", Kind: "k", Cell: 50, Health: wire.HostReady, Share: 10}
	x.journal.List(false, host)
	x.until("listed", func() bool { return x.look().Ready == 4 })
	v := x.viewer()
	sid := x.id()
	v.Write(strings.Replace(platformsim.Form(sid, "paid", 2*time.Second, ""), "home:0;copies:3", "home:50;copies:1", 1))
	x.until("connected to", func() bool { s := x.look(); return s.Attempts == 1 && s.Open == 1 })
	host.Dial = good.Addr()
	x.journal.List(false, host)
	if l := x.line(v, sid); l.Msg != wire.LineReady {
		t.Errorf("%+v", l)
	}
	if s := x.look(); s.Attempts != 1 || s.Servers.Unanswered != 0 {
		t.Errorf("%d attempts, %d connects found unanswered", s.Attempts, s.Servers.Unanswered)
	}
	v.GiveUp(sid)
	x.until("over", func() bool { return x.look().Held == 0 })
	v.Close()
	done() // the old connect ends, whichever way
	x.quit(good)
}

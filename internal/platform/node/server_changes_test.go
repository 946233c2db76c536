package node

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// Servers close their connections while a request is queued for the owner, and the readers have seen it. The set-up,
// given to a closed connection, is known never to have left and goes on the next connection, also for a paid request.
// (A close that no reader has seen yet is tested on the protocol alone.)
func TestSetUpMovesToNewConnectionWhenItsOwnHasClosed(t *testing.T) {
	for _, class := range []string{"safe", "paid"} {
		t.Run(class, func(t *testing.T) {
			x := newTestFront(t, 1024)
			x.connectServers()
			v := x.viewer()
			x.waitFor("accepted", func() bool { return x.snapshot().Conns == 1 })
			sid := x.newID()
			release := x.blockOwner()
			if err := v.Open(sid, class, 1500*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			x.waitForQueued("the request", 1)
			for _, s := range x.servers {
				s.ResetConns()
			}
			x.waitForQueued("the close events", 1+len(x.servers))
			release()
			if l := x.lineFor(v, sid); l.Msg != wire.LineReady {
				t.Errorf("%+v", l)
			}
			if s := x.snapshot(); s.Servers.Again != 1 || s.Stats.Attempts != 1 || x.setUps(sid) != 1 {
				t.Errorf("requeued %d times, %d attempts, %d set-ups received", s.Servers.Again, s.Stats.Attempts,
					x.setUps(sid))
			}
			v.Cancel(sid)
			v.Close()
			x.closeAndAudit()
		})
	}
}

// setUpWaitingForConnect opens a paid request whose set-up waits for an unanswered connect to the only server that
// holds its title. It returns the list entry of that server and a function that closes the listener.
func setUpWaitingForConnect(t *testing.T) (x *testFront, v *platformsim.Viewer, sid uint64, host wire.Host,
	done func()) {
	t.Helper()
	x = newTestFrontWith(t, 1024, strings.NewReplacer(`"positions":3`, `"positions":100`,
		`"connect-timeout-ns":250000000`, `"connect-timeout-ns":8000000000`).Replace(settingsJSON))
	addr, done, err := platformsim.UnansweredListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	host = wire.Host{Name: "slow", Address: addr, Zone: "z", Kind: "k", Cell: 50, Health: wire.HostReady, Share: 10}
	x.journal.AddHosts(false, host)
	x.waitFor("listed", func() bool { return x.snapshot().Ready == 4 })
	v, sid = x.viewer(), x.newID()
	v.Write(strings.Replace(platformsim.OpenLine(sid, "paid", 2*time.Second, ""),
		"home:0;copies:3", "home:50;copies:1", 1))
	x.waitFor("connect in progress", func() bool { s := x.snapshot(); return s.Attempts == 1 && s.Open == 1 })
	return x, v, sid, host, done
}

// A server's address changes while an unanswered connect to the old address is in progress. Waiting set-ups go to the
// new address at once, instead of waiting for the old connect and going to whichever host answers it.
func TestAddressChangeDuringConnectRedirectsWaitingSetUp(t *testing.T) {
	x, v, sid, host, done := setUpWaitingForConnect(t)
	good, err := platformsim.NewServer(x.world, 10)
	if err != nil {
		t.Fatal(err)
	}
	host.Address = good.Addr()
	x.journal.AddHosts(false, host)
	if l := x.lineFor(v, sid); l.Msg != wire.LineReady {
		t.Errorf("%+v", l)
	}
	if s := x.snapshot(); s.Stats.Attempts != 1 || s.Servers.Unanswered != 0 {
		t.Errorf("%d attempts, %d connects found unanswered", s.Stats.Attempts, s.Servers.Unanswered)
	}
	v.Cancel(sid)
	x.waitFor("session ended", func() bool { return x.snapshot().Held == 0 })
	v.Close()
	done() // the old connect ends with any result
	x.stopAll(good)
}

// A new server is listed at the address of another that is still listed. A set-up chosen for the old server must not
// reach the new one.
func TestNewServerAtReusedAddressGetsNoSetUpOfThePrevious(t *testing.T) {
	x := newTestFrontWith(t, 1024, strings.Replace(settingsJSON, `"positions":3`, `"positions":100`, 1))
	good, err := platformsim.NewServer(x.world, 10)
	if err != nil {
		t.Fatal(err)
	}
	old := wire.Host{Name: "old", Address: good.Addr(), Zone: "z", Kind: "k", Cell: 50,
		Health: wire.HostReady, Share: 10}
	next := old
	next.Name, next.Cell = good.Name(), 60
	x.journal.AddHosts(false, old)
	x.journal.AddHosts(false, next)
	x.waitFor("listed", func() bool { return x.snapshot().Ready == 5 })
	v := x.viewer()
	request := func(home string) (uint64, wire.Line) {
		sid := x.newID()
		v.Write(strings.Replace(platformsim.OpenLine(sid, "paid", 1500*time.Millisecond, ""),
			"home:0;copies:3", "home:"+home+";copies:1", 1))
		return sid, x.lineFor(v, sid)
	}
	if sid, l := request("50"); l.Msg != wire.LineClose || l.Code != wire.CauseRefused || x.setUps(sid) != 0 {
		t.Errorf("request for the old server: %+v, %d set-ups received", l, x.setUps(sid))
	}
	sid, l := request("60")
	if l.Msg != wire.LineReady || x.setUps(sid) != 1 {
		t.Errorf("request for the new server: %+v, %d set-ups received", l, x.setUps(sid))
	}
	v.Cancel(sid)
	x.waitFor("session ended", func() bool { return x.snapshot().Held == 0 })
	v.Close()
	x.stopAll(good)
}

// A server drains while a paid set-up waits for a connect to it. The request is refused before its deadline, and the
// server receives nothing when the connect succeeds.
func TestRefusesRequestWhenServerDrainsDuringConnect(t *testing.T) {
	x, v, sid, host, done := setUpWaitingForConnect(t)
	host.Health = wire.HostDraining
	x.journal.AddHosts(false, host)
	if l := x.lineFor(v, sid); l.Msg != wire.LineClose || l.Code != wire.CauseRefused {
		t.Errorf("%+v", l)
	}
	if s := x.snapshot(); s.Stats.Attempts != 1 || s.Servers.Unanswered != 0 || s.Open != 0 {
		t.Errorf("%d attempts, %d connects found unanswered, %d open", s.Stats.Attempts, s.Servers.Unanswered, s.Open)
	}
	v.Close()
	done()
	x.stopAll()
}

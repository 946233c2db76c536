package node

import (
	"strings"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// An unanswered connect proves that nothing ran: the request is served elsewhere before its deadline, also a paid
// one, and other requests are not delayed meanwhile.
func TestServesElsewhereWhenConnectIsUnanswered(t *testing.T) {
	for _, class := range []string{"safe", "paid"} {
		t.Run(class, func(t *testing.T) {
			x := newTestFrontWith(t, 1024, strings.Replace(settingsJSON, `"positions":3`, `"positions":100`, 1))
			good, err := platformsim.NewServer(x.world, 10)
			if err != nil {
				t.Fatal(err)
			}
			slow, done, err := platformsim.UnansweredListener()
			if err != nil {
				t.Fatal(err)
			}
			defer done()
			x.journal.AddHosts(false, wire.Host{Name: "slow", Address: slow, Zone: "z", Kind: "k", Cell: 50,
				Health: wire.HostReady, Share: 10},
				wire.Host{Name: good.Name(), Address: good.Addr(), Zone: "z", Kind: "k", Cell: 50,
					Health: wire.HostReady, Share: 10})
			x.waitFor("listed", func() bool { return x.snapshot().Ready == 5 })
			v, other := x.viewer(), x.viewer()
			for n := 0; n < 60 && x.snapshot().Servers.Unanswered == 0; n++ { // the module may pick either of the two
				sid := x.newID()
				v.Write(strings.Replace(strings.Replace(platformsim.OpenLine(sid, class, 1500*time.Millisecond, ""),
					"home:0;copies:3", "home:50;copies:1", 1), "top:2", "top:0", 1))
				if startedAt, id := time.Now(), uint64(0); true {
					var l wire.Line
					if id, l = x.open(other, "safe"); l.Msg != "ready" || time.Since(startedAt) > time.Second {
						t.Errorf("request of another viewer meanwhile: %+v after %v", l, time.Since(startedAt))
					}
					other.Cancel(id)
				}
				if l := x.lineFor(v, sid); l.Msg != "ready" {
					t.Errorf("%+v", l)
				}
				v.Cancel(sid)
				x.waitFor("session ended", func() bool { return x.snapshot().Held == 0 })
			}
			if s := x.snapshot(); s.Servers.Unanswered == 0 || s.Faults != 0 {
				t.Errorf("%+v", s)
			}
			v.Close()
			other.Close()
			x.stopAll(good)
		})
	}
}

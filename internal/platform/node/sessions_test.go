package node

import (
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tealledge/internal/audit"
	"tealledge/internal/record"
	"tealledge/internal/standin/platformsim"
)

func TestSessionsFromTheirSetUpToTheirEnd(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	for i, class := range []string{"safe", "paid", "safe", "paid"} {
		sid, a := x.opens(v, class)
		if a.Msg != "ready" || !strings.HasPrefix(a.Text, "by s-") || !strings.HasSuffix(a.Text, "\r\n") {
			t.Fatalf("%+v", a)
		}
		s := x.at(sid)
		switch i {
		case 0: // it outlives its connection
			s.Drop()
			x.until("connected again", func() bool { l := x.look(); return l.Servers.Lost > 0 && l.Links > 0 })
			s.End(sid, 16)
			if l := x.line(v, sid); l.Msg != "close" || l.Code != 16 {
				t.Errorf("%+v", l)
			}
		case 1:
			s.End(sid, 41)
			if l := x.line(v, sid); l.Msg != "close" || l.Code != 41 {
				t.Errorf("%+v", l)
			}
		case 2:
			other := x.viewer() // on any connection
			other.GiveUp(sid)
			x.until("ended at its server", func() bool { return len(s.Plays()) == 0 })
			other.Close()
		case 3:
			s.End(sid, 31)
		}
	}
	x.until("nothing is held", func() bool { s := x.look(); return s.Held+s.Sessions+s.Attempts == 0 })
	v.Close()
	if r := x.close(); r.Asks != 4 || r.Replies["plays"] != 4 {
		t.Errorf("%+v", r.Replies)
	}
}

// What a server says on a connection that another has replaced reaches its viewer.
func TestEndsSaidWhereAConnectionIsReplaced(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	for range 6 {
		if _, a := x.opens(v, "paid"); a.Msg != "ready" {
			t.Fatalf("%+v", a)
		}
	}
	played := map[*platformsim.Server][]uint64{}
	for _, s := range x.servers {
		played[s] = s.Plays()
		s.Fault(platformsim.Faults{Hang: true, Parting: true})
	}
	hung := x.id()
	v.Open(hung, "safe", 1500*time.Millisecond) // its answer never comes: the server tried gets another connection
	said := map[uint64]bool{}
	x.until("a connection is replaced", func() bool {
		for s, list := range played {
			if len(list) > 0 && len(s.Plays()) == 0 {
				for _, sid := range list {
					said[sid] = true
				}
			}
		}
		return len(said) > 0
	})
	for sid, l := range x.words(v, said) {
		if l.Msg != "close" || l.Code != 16 {
			t.Errorf("session %d: %+v", sid, l)
		}
	}
	v.GiveUp(hung)
	x.line(v, hung)
	v.Close()
	x.close()
}

func TestNothingIsLeftOver(t *testing.T) {
	before := goleak.IgnoreCurrent()
	x := newSite(t, 1024)
	var files int
	count := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	for round := range 4 {
		v := x.viewer()
		for i := range 40 {
			sid, a := x.opens(v, []string{"safe", "paid"}[i%2])
			if a.Msg != "ready" {
				continue
			}
			if i%3 == 0 {
				v.GiveUp(sid)
			} else {
				x.at(sid).End(sid, 16)
				x.line(v, sid)
			}
		}
		v.Close()
		x.until("closed", func() bool { s := x.look(); return s.Conns+s.Sessions+s.Attempts+s.Held == 0 })
		if round == 0 {
			files = count()
		}
	}
	if n := count(); n > files+4 {
		t.Errorf("%d descriptors, %d after the first round", n, files)
	}
	x.close()
	goleak.VerifyNone(t, before, goleak.IgnoreTopFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"), goleak.IgnoreAnyFunction("github.com/bytedance/gopkg/util/gopool.(*worker).run.func1"))
}

func TestTheJudgeSeesWhatThisPlatformBreaks(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	x.opens(v, "paid")
	good := x.w.Rec.Events()
	v.Close()
	x.close()
	var setup, answer record.Event
	for _, e := range good {
		switch e.What {
		case record.Setup:
			setup = e
		case record.Reply:
			answer = e
		}
	}
	again, drains := setup, record.Event{T: setup.T - int64(time.Second), What: record.Told, Front: platformsim.Front, Server: setup.Server, Health: "draining"}
	again.Attempt, again.T = 1, setup.T+int64(time.Second)
	for rule, bad := range map[string][]record.Event{audit.RuleAnswer: append(good[:len(good):len(good)], answer),
		audit.RuleOnce: append(good[:len(good):len(good)], again), audit.RuleDrain: {good[0], drains, setup}} {
		if report, err := audit.Judge(bad); err != nil || report.Count(rule) == 0 {
			t.Errorf("rule %s: %v %v", rule, err, report.Violations)
		}
	}
}

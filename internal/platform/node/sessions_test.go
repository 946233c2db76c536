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

// Sessions are set up, outlive a connection, and end by their server or their viewer.
func TestSessionLifecycle(t *testing.T) {
	x := newTestFront(t, 1024)
	v := x.viewer()
	for i, class := range []string{"safe", "paid", "safe", "paid"} {
		sid, a := x.open(v, class)
		if a.Msg != "ready" || !strings.HasPrefix(a.Text, "by s-") || !strings.HasSuffix(a.Text, "\r\n") {
			t.Fatalf("%+v", a)
		}
		s := x.serverOf(sid)
		switch i {
		case 0: // the session outlives its connection
			s.ResetConns()
			x.waitFor("reconnected", func() bool { l := x.snapshot(); return l.Servers.Lost > 0 && l.Links > 0 })
			s.EndSession(sid, 16)
			if l := x.lineFor(v, sid); l.Msg != "close" || l.Code != 16 {
				t.Errorf("%+v", l)
			}
		case 1:
			s.EndSession(sid, 41)
			if l := x.lineFor(v, sid); l.Msg != "close" || l.Code != 41 {
				t.Errorf("%+v", l)
			}
		case 2:
			other := x.viewer() // a session may be ended on any connection
			other.Cancel(sid)
			x.waitFor("ended on its server", func() bool { return len(s.Sessions()) == 0 })
			other.Close()
		case 3:
			s.EndSession(sid, 31)
		}
	}
	x.waitFor("no sessions left", func() bool { s := x.snapshot(); return s.Held+s.Sessions+s.Attempts == 0 })
	v.Close()
	if r := x.closeAndAudit(); r.Asks != 4 || r.Replies["plays"] != 4 {
		t.Errorf("%+v", r.Replies)
	}
}

// A message of a server on a connection that another has replaced still reaches its viewer.
func TestReportsEndsSentOnReplacedConnection(t *testing.T) {
	x := newTestFront(t, 1024)
	v := x.viewer()
	for range 6 {
		if _, a := x.open(v, "paid"); a.Msg != "ready" {
			t.Fatalf("%+v", a)
		}
	}
	played := map[*platformsim.Server][]uint64{}
	for _, s := range x.servers {
		played[s] = s.Sessions()
		s.SetFaults(platformsim.Faults{NoReply: true, EndOnFrontClose: true})
	}
	hung := x.newID()
	v.Open(hung, "safe", 1500*time.Millisecond) // never answered: the front replaces the connection to the server
	ended := map[uint64]bool{}
	x.waitFor("a connection is replaced", func() bool {
		for s, list := range played {
			if len(list) > 0 && len(s.Sessions()) == 0 {
				for _, sid := range list {
					ended[sid] = true
				}
			}
		}
		return len(ended) > 0
	})
	for sid, l := range x.firstLines(v, ended) {
		if l.Msg != "close" || l.Code != 16 {
			t.Errorf("session %d: %+v", sid, l)
		}
	}
	v.Cancel(hung)
	x.lineFor(v, hung)
	v.Close()
	x.closeAndAudit()
}

// Over rounds of sessions, at most 4 more descriptors are open than after the first round, and no goroutine is left.
func TestLeaksNoDescriptorsOrGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	x := newTestFront(t, 1024)
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
			sid, a := x.open(v, []string{"safe", "paid"}[i%2])
			if a.Msg != "ready" {
				continue
			}
			if i%3 == 0 {
				v.Cancel(sid)
			} else {
				x.serverOf(sid).EndSession(sid, 16)
				x.lineFor(v, sid)
			}
		}
		v.Close()
		x.waitFor("all sessions closed", func() bool { s := x.snapshot(); return s.Conns+s.Sessions+s.Attempts+s.Held == 0 })
		if round == 0 {
			files = count()
		}
	}
	if n := count(); n > files+4 {
		t.Errorf("%d descriptors are open, %d after the first round", n, files)
	}
	x.closeAndAudit()
	goleak.VerifyNone(t, before)
}

// The audit finds a second answer, a second set-up of an attempt and a set-up on a draining server in a front's
// records.
func TestAuditDetectsBrokenRules(t *testing.T) {
	x := newTestFront(t, 1024)
	v := x.viewer()
	x.open(v, "paid")
	good := x.world.Recorder.Events()
	v.Close()
	x.closeAndAudit()
	var setup, answer record.Event
	for _, e := range good {
		switch e.Kind {
		case record.SetupReceived:
			setup = e
		case record.ReplyReceived:
			answer = e
		}
	}
	repeated, drains := setup, record.Event{At: setup.At - int64(time.Second), Kind: record.ServerListed,
		Front: platformsim.Front, Server: setup.Server, Health: "draining"}
	repeated.Attempt, repeated.At = 1, setup.At+int64(time.Second)
	for rule, bad := range map[string][]record.Event{audit.RuleAnswer: append(good[:len(good):len(good)], answer),
		audit.RuleOnce: append(good[:len(good):len(good)], repeated), audit.RuleDrain: {good[0], drains, setup}} {
		if report, err := audit.Judge(bad); err != nil || report.Count(rule) == 0 {
			t.Errorf("rule %s: %v %v", rule, err, report.Violations)
		}
	}
}

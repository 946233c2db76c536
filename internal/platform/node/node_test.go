package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tealledge/internal/audit"
	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// testFront is a front with simulated servers, journal and viewers.
type testFront struct {
	t                 *testing.T
	world             *platformsim.World
	servers           []*platformsim.Server
	journal           *platformsim.Journal
	node              *Node
	configPath        string
	stop              context.CancelFunc
	done              chan error
	lastID            uint64
	queuedWhenBlocked int // items in the queue when the owner was blocked
}

// settingsJSON is the settings of a platform with a safe and a paid class.
const settingsJSON = `{"fleet-size":1,"me":0,"discovery":"automatic","zones":["z"],"shapes":["k"],"realms":[],
"family-info":{"level-kb":[100,200,400],"level-worth":[0.4,0.7,1],"lowest-rung":[0,0],"class-top":[2,2],"class-live":[false,false],
 "scale-by-class":[1,1],"seats":[0,0],"positions":3,"shelves":1,"rack-link-kb":100000,"fleet-kb":100000,"weight-kb":3000,"kind-slots":[400],
 "see-ns":400000000,"reports-every-ns":0,"full-from":1.2,"stall-cost":6,"change-costs-s":0.2,"join":1},
"policy-limits":{"may-probe":true,"max-attempts":3,"connect-timeout-ns":250000000,"retry-after":true,"max-retry-after-ns":300000000},
"prices":{"moves":0.15,"probe":0.01},"telemetry":{"fields":["x0","x1"],"how":"on_probe"},
"rules":{"drain-grace-ns":250000000,"cold-ns":200000000,"cold-from":0.4,"tip-multiple":2,"fall-ns":1500000000},
"request-classes":[{"name":"safe","effect":"safe","importance":1,"slo-ns":1500000000,"deadline-ns":3000000000},
 {"name":"paid","effect":"unsafe","importance":2,"slo-ns":1500000000,"deadline-ns":2000000000}]}`

// writeConfig writes the front's configuration file.
func (x *testFront) writeConfig(journal string, sockets int, settings string) {
	last, events := x.journal.Events()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"journal":"%s","known":{"pos":%d,"entries":%s},"settings":%s}`, 1, sockets, journal, last, events, settings)
	if err := os.WriteFile(x.configPath, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

// newTestFront starts a front and three servers that hold every title.
func newTestFront(t *testing.T, sockets int) *testFront {
	t.Helper()
	return newTestFrontWith(t, sockets, settingsJSON)
}

// newTestFrontWith is newTestFront with other settings.
func newTestFrontWith(t *testing.T, sockets int, settings string) *testFront {
	t.Helper()
	x := &testFront{t: t, world: platformsim.NewWorld("safe", "paid"),
		configPath: filepath.Join(t.TempDir(), "config.json"), done: make(chan error, 1), lastID: 100}
	x.world.Recorder.Add(audit.Rules{Classes: []audit.Class{{Name: "safe", Deadline: 3 * time.Second},
		{Name: "paid", Paid: true, Deadline: 2 * time.Second}},
		AnswerGrace: 500 * time.Millisecond, DrainGrace: 250 * time.Millisecond, Skew: 100 * time.Millisecond,
		RungWorth: []float64{0.4, 0.7, 1}}.Event())
	var err error
	if x.journal, err = platformsim.NewJournal(x.world, nil); err != nil {
		t.Fatal(err)
	}
	for id := range uint32(3) {
		s, err := platformsim.NewServer(x.world, id+1)
		if err != nil {
			t.Fatal(err)
		}
		x.servers = append(x.servers, s)
	}
	x.journal.AddServers(true, wire.HostReady, x.servers...)
	x.writeConfig(x.journal.Addr(), sockets, settings)
	cfg, err := Load(x.configPath)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	if x.node, err = New(cfg, x.configPath, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	go func() { x.done <- x.node.Run(ctx) }()
	return x
}

// viewer connects a viewer to the front.
func (x *testFront) viewer() *platformsim.Viewer {
	x.t.Helper()
	v, err := platformsim.Dial(x.world, x.node.clients.listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	return v
}

// newID returns an unused session id.
func (x *testFront) newID() uint64 { x.lastID++; return x.lastID }

// lineFor waits for a line about a session.
func (x *testFront) lineFor(v *platformsim.Viewer, sid uint64) wire.Line {
	x.t.Helper()
	for timeout := time.After(8 * time.Second); ; {
		select {
		case l := <-v.Lines:
			if l.Sid == sid {
				return l
			}
		case <-v.Closed:
			return wire.Line{Msg: "ended"}
		case <-timeout:
			x.t.Fatalf("no line about session %d", sid)
		}
	}
}

// openMany requests n sessions of the two classes in turn, at an interval, and returns the first line about each.
func (x *testFront) openMany(v *platformsim.Viewer, n int, interval time.Duration) map[uint64]wire.Line {
	x.t.Helper()
	ids := map[uint64]bool{}
	for i := range n {
		sid := x.newID()
		ids[sid] = true
		if err := v.Open(sid, []string{"safe", "paid"}[i%2], 1500*time.Millisecond); err != nil {
			x.t.Fatal(err)
		}
		time.Sleep(interval)
	}
	return x.firstLines(v, ids)
}

// firstLines waits for a line about each session.
func (x *testFront) firstLines(v *platformsim.Viewer, ids map[uint64]bool) map[uint64]wire.Line {
	x.t.Helper()
	got := map[uint64]wire.Line{}
	for timeout := time.After(8 * time.Second); len(got) < len(ids); {
		select {
		case l := <-v.Lines:
			if _, seen := got[l.Sid]; ids[l.Sid] && !seen {
				got[l.Sid] = l
			}
		case <-timeout:
			x.t.Fatalf("lines about %d of %d sessions; %+v", len(got), len(ids), x.snapshot())
		}
	}
	return got
}

// open requests a session and returns its answer.
func (x *testFront) open(v *platformsim.Viewer, class string) (uint64, wire.Line) {
	x.t.Helper()
	sid := x.newID()
	if err := v.Open(sid, class, 1500*time.Millisecond); err != nil {
		x.t.Fatal(err)
	}
	return sid, x.lineFor(v, sid)
}

// snapshot returns the front's state.
func (x *testFront) snapshot() Snapshot {
	x.t.Helper()
	s, err := x.node.Inspect(context.Background())
	if err != nil {
		x.t.Fatal(err)
	}
	return s
}

// waitFor waits for a condition.
func (x *testFront) waitFor(what string, condition func() bool) {
	x.t.Helper()
	for deadline := time.Now().Add(8 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			x.t.Fatalf("never: %s; %+v", what, x.snapshot())
		}
	}
}

// serverOf returns the server that plays a session.
func (x *testFront) serverOf(sid uint64) *platformsim.Server {
	x.t.Helper()
	for _, s := range x.servers {
		for _, id := range s.Sessions() {
			if id == sid {
				return s
			}
		}
	}
	x.t.Fatalf("no server plays session %d", sid)
	return nil
}

// closeAndAudit stops everything, checks for faults and audits the recorded messages.
func (x *testFront) closeAndAudit() *audit.Report {
	x.t.Helper()
	if s := x.snapshot(); s.Faults != 0 {
		x.t.Errorf("%d faults", s.Faults)
	}
	return x.stopAndAudit()
}

// stopAndAudit is closeAndAudit for a front that may have ended already.
func (x *testFront) stopAndAudit() *audit.Report {
	x.t.Helper()
	x.stopAll()
	report, err := audit.Judge(x.world.Recorder.Events())
	if err != nil {
		x.t.Fatal(err)
	}
	for _, v := range report.Violations {
		x.t.Error(v)
	}
	return report
}

// stopAll stops the front and its peers without an audit: a scripted server records nothing.
func (x *testFront) stopAll(extra ...*platformsim.Server) {
	x.t.Helper()
	x.stop()
	if err := <-x.done; err != nil {
		x.t.Error(err)
	}
	x.journal.Close()
	for _, s := range append(extra, x.servers...) {
		s.Kill()
	}
}

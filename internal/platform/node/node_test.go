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

// site is one front among stand-ins.
type site struct {
	t       *testing.T
	w       *platformsim.World
	servers []*platformsim.Server
	journal *platformsim.Journal
	node    *Node
	path    string
	stop    context.CancelFunc
	done    chan error
	ids     uint64
	base    int // items that waited for the owner when it was held
}

const settingsJSON = `{"fleet-size":1,"me":0,"discovery":"automatic","zones":["z"],"shapes":["k"],"realms":[],
"family-info":{"level-kb":[100,200,400],"level-worth":[0.4,0.7,1],"lowest-rung":[0,0],"class-top":[2,2],"class-live":[false,false],
 "scale-by-class":[1,1],"seats":[0,0],"positions":3,"shelves":1,"rack-link-kb":100000,"fleet-kb":100000,"weight-kb":3000,"kind-slots":[400],
 "see-ns":400000000,"reports-every-ns":0,"full-from":1.2,"stall-cost":6,"change-costs-s":0.2,"join":1},
"policy-limits":{"may-probe":true,"max-attempts":3,"connect-timeout-ns":250000000,"retry-after":true,"max-retry-after-ns":300000000},
"prices":{"moves":0.15,"probe":0.01},"telemetry":{"fields":["x0","x1"],"how":"on_probe"},
"rules":{"drain-grace-ns":250000000,"cold-ns":200000000,"cold-from":0.4,"tip-multiple":2,"fall-ns":1500000000},
"request-classes":[{"name":"safe","effect":"safe","importance":1,"slo-ns":1500000000,"deadline-ns":3000000000},
 {"name":"paid","effect":"unsafe","importance":2,"slo-ns":1500000000,"deadline-ns":2000000000}]}`

func (x *site) write(journal string, sockets int, settings string) {
	last, events := x.journal.Last()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"journal":"%s","known":{"pos":%d,"entries":%s},"settings":%s}`, 1, sockets, journal, last, events, settings)
	if err := os.WriteFile(x.path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

// newSite starts a front and three servers that hold every title.
func newSite(t *testing.T, sockets int) *site {
	t.Helper()
	return newSiteWith(t, sockets, settingsJSON)
}

// newSiteWith is newSite on other settings.
func newSiteWith(t *testing.T, sockets int, settings string) *site {
	t.Helper()
	x := &site{t: t, w: platformsim.NewWorld("safe", "paid"), path: filepath.Join(t.TempDir(), "config.json"), done: make(chan error, 1), ids: 100}
	x.w.Rec.Add(audit.Rules{Classes: []audit.Class{{Name: "safe", Deadline: 3 * time.Second}, {Name: "paid", Paid: true, Deadline: 2 * time.Second}},
		AnswerGrace: 500 * time.Millisecond, DrainGrace: 250 * time.Millisecond, Skew: 100 * time.Millisecond, RungWorth: []float64{0.4, 0.7, 1}}.Event())
	var err error
	if x.journal, err = platformsim.NewJournal(x.w, nil); err != nil {
		t.Fatal(err)
	}
	for id := range uint32(3) {
		s, err := platformsim.NewServer(x.w, id+1)
		if err != nil {
			t.Fatal(err)
		}
		x.servers = append(x.servers, s)
	}
	x.journal.Tell(true, wire.HostReady, x.servers...)
	x.write(x.journal.Addr(), sockets, settings)
	cfg, err := Load(x.path)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	if x.node, err = New(cfg, x.path, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	go func() { x.done <- x.node.Run(ctx) }()
	return x
}

func (x *site) viewer() *platformsim.Viewer {
	x.t.Helper()
	v, err := platformsim.Dial(x.w, x.node.clients.ln.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	return v
}

func (x *site) id() uint64 { x.ids++; return x.ids }

// line waits for a line about a session.
func (x *site) line(v *platformsim.Viewer, sid uint64) wire.Line {
	x.t.Helper()
	for end := time.After(8 * time.Second); ; {
		select {
		case l := <-v.Lines:
			if l.Sid == sid {
				return l
			}
		case <-v.Ended:
			return wire.Line{Msg: "ended"}
		case <-end:
			x.t.Fatalf("no word on session %d", sid)
		}
	}
}

// asks asks for sessions of the two classes in turn, some time apart, and gives the first line on each.
func (x *site) asks(v *platformsim.Viewer, n int, apart time.Duration) map[uint64]wire.Line {
	x.t.Helper()
	ids := map[uint64]bool{}
	for i := range n {
		sid := x.id()
		ids[sid] = true
		if err := v.Open(sid, []string{"safe", "paid"}[i%2], 1500*time.Millisecond); err != nil {
			x.t.Fatal(err)
		}
		time.Sleep(apart)
	}
	return x.words(v, ids)
}

// words waits for a line about each of some sessions.
func (x *site) words(v *platformsim.Viewer, ids map[uint64]bool) map[uint64]wire.Line {
	x.t.Helper()
	got := map[uint64]wire.Line{}
	for end := time.After(8 * time.Second); len(got) < len(ids); {
		select {
		case l := <-v.Lines:
			if _, again := got[l.Sid]; ids[l.Sid] && !again {
				got[l.Sid] = l
			}
		case <-end:
			x.t.Fatalf("word on %d of %d; %+v", len(got), len(ids), x.look())
		}
	}
	return got
}

// opens asks for a session and gives its answer.
func (x *site) opens(v *platformsim.Viewer, class string) (uint64, wire.Line) {
	x.t.Helper()
	sid := x.id()
	if err := v.Open(sid, class, 1500*time.Millisecond); err != nil {
		x.t.Fatal(err)
	}
	return sid, x.line(v, sid)
}

func (x *site) look() Snapshot {
	x.t.Helper()
	s, err := x.node.Inspect(context.Background())
	if err != nil {
		x.t.Fatal(err)
	}
	return s
}

func (x *site) until(what string, ok func() bool) {
	x.t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatalf("never: %s; %+v", what, x.look())
		}
	}
}

// at gives the server that plays a session.
func (x *site) at(sid uint64) *platformsim.Server {
	x.t.Helper()
	for _, s := range x.servers {
		for _, id := range s.Plays() {
			if id == sid {
				return s
			}
		}
	}
	x.t.Fatalf("session %d plays nowhere", sid)
	return nil
}

// close ends all and judges what crossed the sockets.
func (x *site) close() *audit.Report {
	x.t.Helper()
	if s := x.look(); s.Faults != 0 {
		x.t.Errorf("%d faults", s.Faults)
	}
	return x.end()
}

// end is close for a front that may have ended already.
func (x *site) end() *audit.Report {
	x.t.Helper()
	x.quit()
	report, err := audit.Judge(x.w.Rec.Events())
	if err != nil {
		x.t.Fatal(err)
	}
	for _, v := range report.Violations {
		x.t.Error(v)
	}
	return report
}

// quit ends the front, and what it talks to, without judging what crossed the sockets: a script leaves no records.
func (x *site) quit(more ...*platformsim.Server) {
	x.t.Helper()
	x.stop()
	if err := <-x.done; err != nil {
		x.t.Error(err)
	}
	x.journal.Close()
	for _, s := range append(more, x.servers...) {
		s.Die()
	}
}

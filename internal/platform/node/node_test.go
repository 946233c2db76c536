package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"tealledge/internal/audit"
	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
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

func (x *site) write(journal string, sockets int) {
	last, events := x.journal.Last()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"journal":"%s","known":{"pos":%d,"entries":%s},"settings":%s}`, 1, sockets, journal, last, events, settingsJSON)
	if err := os.WriteFile(x.path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

// newSite starts a front and three servers that hold every title.
func newSite(t *testing.T, sockets int) *site {
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
	x.write(x.journal.Addr(), sockets)
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
			x.t.Fatalf("word on %d of %d", len(got), len(ids))
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
	x.stop()
	if err := <-x.done; err != nil {
		x.t.Error(err)
	}
	x.journal.Close()
	for _, s := range x.servers {
		s.Die()
	}
	report, err := audit.Judge(x.w.Rec.Events())
	if err != nil {
		x.t.Fatal(err)
	}
	for _, v := range report.Violations {
		x.t.Error(v)
	}
	return report
}

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
			if least := map[bool]int{true: n, false: 2}[name == "doubled" || name == "full"]; plays < least {
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
	x.until("followed", func() bool { return x.look().Journal.Dials == 1 })
	x.journal.Break()
	x.journal.Tell(false, wire.HostDraining, x.servers[0])
	x.until("told after a break", func() bool { return x.look().Ready == 2 })
	x.journal.Twice()
	x.journal.Silence(true)
	x.journal.Tell(false, wire.HostDraining, x.servers[1])
	x.until("silence is noticed", func() bool { return x.look().Journal.Silences > 0 })
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
	x.write(next.Addr(), 1024)
	x.node.Reload()
	next.Tell(false, wire.HostReady, x.servers[1])
	x.until("told at the new address", func() bool { return x.look().Ready == 2 })
	if s := x.look(); s.Pos != 4 {
		t.Errorf("%+v", s.Journal)
	}
	old.Close()
	x.close()
}

// leaves waits for the end of a front that was told to leave: nothing can be owed any more.
func (x *site) leaves() {
	x.t.Helper()
	select {
	case err := <-x.done:
		x.done <- err
	case <-time.After(8 * time.Second):
		x.t.Error("it stays")
	}
}

func TestLeavingUnderLoad(t *testing.T) {
	x := newSite(t, 1024)
	for _, s := range x.servers {
		s.Fault(platformsim.Faults{Delay: 100 * time.Millisecond})
	}
	v := x.viewer()
	time.AfterFunc(200*time.Millisecond, x.node.Leave)
	for sid := range x.asks(v, 30, 20*time.Millisecond) {
		v.GiveUp(sid)
	}
	x.leaves()
	v.Close()
	x.end()
}

// A request whose last byte comes as the front is about to end gets its answer whole, however late it began to leave.
func TestALastRequestWhileLeaving(t *testing.T) {
	x := newSite(t, 1024)
	v := x.viewer()
	sid := x.id()
	text := platformsim.Form(sid, "safe", 1500*time.Millisecond, "")
	x.node.Leave()
	time.Sleep(time.Duration(leaveAfter) - 300*time.Millisecond)
	for part := range slices.Chunk([]byte(text), len(text)/5+1) { // its bytes come one by one until the end of the wait is over
		if err := v.Write(string(part)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if l := x.line(v, sid); l.Msg != "ready" {
		t.Fatalf("%+v", l)
	}
	v.GiveUp(sid)
	x.leaves()
	v.Close()
	x.end()
}

// Servers and descriptors: viewers keep their third, servers get the rest as the list grows, and no list is cut short.
func TestSharesOfDescriptors(t *testing.T) {
	for _, n := range []int{10, 200, 1200} {
		x := listedNode(t, n)
		conns, links := x.viewers.Limits(), x.servers.Limits()
		if conns < 608/3 || conns+links > 608-reserve || links < min(2*n, 608-reserve-608/3) || x.hosts.len() != n || x.core.Ready() != n {
			t.Errorf("%d servers: %d connections of viewers, %d to servers, %d listed, %d ready", n, conns, links, x.hosts.len(), x.core.Ready())
		}
		x.clients.close(context.Background())
	}
}

func TestBadClientsAreAnsweredOrClosedAndUsualOnesServed(t *testing.T) {
	x := newSite(t, 256)
	bad := map[string]string{
		"noise":          "\x00\x01\x02 hello\n",
		"endless":        strings.Repeat("x", 8<<20),
		"no id":          `{"msg":"open","attrs":{}}` + "\n",
		"unknown class":  platformsim.Form(x.id(), "gold", time.Second, ""),
		"half a request": `{"msg":"open","sid":"0000`,
		"silent":         "",
	}
	for name, text := range bad {
		v := x.viewer()
		go v.Write(text)
		select {
		case l := <-v.Lines:
			if l.Msg != "close" || l.Code == 0 {
				t.Errorf("%s: %+v", name, l)
			}
		case <-v.Ended:
		case <-time.After(6 * time.Second):
			t.Errorf("%s: neither answer nor close", name)
		}
		v.Close()
	}
	taken := x.look().Taken
	flood := x.viewer()
	for range 300 { // taken back at once, in one breath
		sid := x.id()
		text := platformsim.Form(sid, "safe", time.Second, "")
		flood.Write(text + fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid))
	}
	x.until("read", func() bool { return x.look().Viewers.TakenBack+x.look().Taken-taken >= 300 })
	flood.Close()
	usual := x.viewer()
	if _, a := x.opens(usual, "safe"); a.Msg != "ready" {
		t.Errorf("a usual viewer: %+v", a)
	}
	usual.Close()
	x.until("connections closed", func() bool { return x.look().Conns == 0 })
	x.close()
}

func TestDescriptorsRunShort(t *testing.T) {
	x := newSite(t, 128)
	usual := x.viewer()
	sid, _ := x.opens(usual, "safe")
	var silent []*platformsim.Viewer
	for range 150 {
		silent = append(silent, x.viewer())
	}
	if n := x.look().Conns; n > 110 {
		t.Errorf("%d connections of 128 descriptors", n)
	}
	if _, a := x.opens(usual, "paid"); a.Msg != "ready" {
		t.Errorf("a usual viewer: %+v", a)
	}
	x.at(sid).End(sid, 16)
	if l := x.line(usual, sid); l.Msg != "close" {
		t.Errorf("%+v", l)
	}
	for _, v := range silent {
		v.Close()
	}
	usual.Close()
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

func TestConfigurations(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n3","listen":"10.0.0.4:5070","seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},"journal":"10.2.0.1:4222",
		"known":{"pos":3,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[{"host":"s-00000005","dial":"a:1","site":"z","class":"k","block":2,"health":"active","share":4,"born_ms":7}]}}]},"settings":%s}`, settingsJSON)
	c, err := Parse([]byte(good))
	if err != nil || len(c.Bad) != 0 || c.Seed != 0x8c1f30d27a5be964 || c.Pos != 3 || c.Names.Classes[1] != "paid" || !c.Settings.Classes[1].Paid ||
		c.Settings.Classes[0].Deadline != 3_000_000_000 || c.Settings.Cells != 3 || len(c.Settings.Tenants) != 0 {
		t.Fatalf("%+v %v", c, err)
	}
	if procs, memory := c.Limits(); procs != 1 || memory != 64<<20 {
		t.Error(procs, memory)
	}
	h := newHosts(c.Names.Zones, c.Names.Kinds)
	if entries, list, bad := h.take(c.Known[0].Hosts); len(bad) != 0 || entries[0].Server != 5 || entries[0].Started != 7_000_000 || entries[0].Cell != 2 ||
		list[0].Addr != "a:1" {
		t.Errorf("%+v %+v %v", entries, list, bad)
	}
	next := &wire.Hosts{Whole: true, Hosts: []wire.Host{{Name: "other", Dial: "a:1", Zone: "nowhere", Kind: "k", Health: wire.HostReady}}}
	if entries, list, bad := h.take(next); len(entries) != 1 || len(list) != 2 || list[1].ID != 5 || !list[1].Gone || h.len() != 1 || len(bad) != 1 {
		t.Errorf("a list that leaves one out: %+v %+v %v", entries, list, bad)
	}
	for name, change := range map[string][2]string{
		"no name":       {`"name":"n3"`, `"name":""`},
		"no address":    {`10.0.0.4:5070`, `10.0.0.4`},
		"journal":       {`10.2.0.1:4222`, `nowhere`},
		"no classes":    {`"request-classes":[`, `"other":[`},
		"settings null": {settingsJSON, `null`},
		"cut short":     {settingsJSON + "}", ""},
	} {
		if c, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: %+v", name, c)
		}
	}
	for name, change := range map[string][2]string{
		"seed": {`8c1f30d27a5be964`, `zz`}, "limits.cores": {`"cores":0.5`, `"cores":-1`}, "limits.sockets": {`"sockets":256`, `"sockets":-6`},
		"known event": {`"health":"active"`, `"health":"?"`}, "stall-cost": {`"stall-cost":6`, `"stall-cost":"much"`},
	} {
		c, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1)))
		if err != nil || !strings.Contains(strings.Join(c.Bad, " "), name) {
			t.Errorf("%s: %v %+v", name, err, c)
		}
	}
	t.Setenv("NODE_NAME", "n4")
	if c.Check() == nil {
		t.Error("another front's configuration")
	}
}

func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"name":"n3","listen":"10.0.0.4:5070","settings":` + settingsJSON + `}`))
	f.Add([]byte(`{"settings":{"a":[{"b":[1,{}]}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Parse(raw); err == nil && (c.Name == "" || len(c.Settings.Classes) == 0) {
			t.Fatalf("%+v", c)
		}
	})
}

package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gobwas/ws/wsutil"
	"github.com/rs/zerolog"

	"tealledge/internal/audit"
	"tealledge/internal/config"
	"tealledge/internal/record"
	"tealledge/internal/standin/listsim"
	"tealledge/internal/standin/mediasim"
	"tealledge/internal/standin/playersim"
)

// site is a front with its stand-ins in one process.
type site struct {
	t        testing.TB
	rec      *record.Log
	farm     *mediasim.Farm
	list     *listsim.List
	s        *Server
	dir      string
	stateDir string // state directory; "": one in dir
	stop     context.CancelFunc
	done     chan error
}

func newSite(t testing.TB, extraForms string) *site { t.Helper(); return newSiteWith(t, extraForms) }

// newSiteWith returns a site whose media servers have addresses of further families.
func newSiteWith(t testing.TB, extraForms string, families ...string) *site {
	t.Helper()
	return (&site{t: t, rec: record.NewMemory(), dir: t.TempDir()}).open(extraForms, families...)
}

// newSiteState returns a site with a given state directory.
func newSiteState(t testing.TB, state string) *site {
	t.Helper()
	return (&site{t: t, rec: record.NewMemory(), dir: t.TempDir(), stateDir: state}).open("")
}

func (x *site) open(extraForms string, families ...string) *site {
	t := x.t
	t.Helper()
	cfg, err := config.Parse("t", x.settings("127.0.0.1:1", extraForms))
	if err != nil {
		t.Fatal(err)
	}
	x.rec.Add(auditRules(cfg).Event())
	if x.farm, err = mediasim.New(mediasim.Params{Ladder: cfg.Service.RungKB, Slots: 2000, LinkKB: 1e6,
		UplinkKB: 3e6, Racks: 1, Cells: 3,
		SetupTime: time.Millisecond, ReportInterval: 50 * time.Millisecond, NoteDelay: 200 * time.Millisecond,
		InlineReports: true, SessionTimeout: 400 * time.Millisecond, Seed: 1,
		ExtraFamilies: families, SocketDir: x.dir, ServeHLS: true, TokenKeys: hlsKeys}, 3, x.rec); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.farm.Close)
	if x.list, err = listsim.New("127.0.0.1:0", x.rec); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.list.Close)
	for _, m := range x.farm.Servers() {
		x.list.Set(listEntry(m, "ready"))
	}
	x.start(extraForms)
	return x
}

func listEntry(m *mediasim.Server, health string) listsim.Server {
	return listsim.Server{ID: m.ID, Addr: m.Addr(), Cell: m.Cell, Zone: "z", Kind: "std", Size: 1,
		StartedAt: m.StartedAt(), Health: health, ExtraAddrs: m.Addrs()[1:], HTTPAddr: m.HTTPAddr()}
}

func auditRules(cfg *config.Config) audit.Rules {
	r := audit.Rules{AnswerGrace: 100 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		Skew: 80 * time.Millisecond}
	for i, k := range cfg.Service.Classes {
		r.Classes = append(r.Classes, audit.Class{Name: cfg.Classes[i], Paid: k.Paid, Floor: k.Floor, Seats: k.Seats,
			Aim: time.Duration(k.SetupTarget), Deadline: time.Duration(k.Deadline)})
	}
	return r
}

func (x *site) settings(list, extraForms string) string {
	state := x.stateDir
	if state == "" {
		state = filepath.Join(x.dir, "state")
	}
	return fmt.Sprintf("(front (name \"f\") (list (consul %q)) (state %q) %s)", list, state,
		extraForms) + serviceSettings
}

func (x *site) start(extraForms string) {
	x.t.Helper()
	cfg, err := config.Parse("t", x.settings(x.list.Addr(), extraForms))
	if err != nil {
		x.t.Fatal(err)
	}
	if x.s, err = New(cfg, zerolog.New(zerolog.NewTestWriter(x.t)).Level(zerolog.WarnLevel)); err != nil {
		x.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	x.stop, x.done = stop, make(chan error, 1)
	go func(s *Server, done chan error) { done <- s.Run(ctx) }(x.s, x.done)
	x.t.Cleanup(x.leave)
	x.waitFor("the server list to be applied", func() bool { return x.snapshot().readyServers == 3 })
}

type siteSnapshot struct {
	Snapshot
	readyServers int
}

func (x *site) snapshot() siteSnapshot {
	snap, err := x.s.Inspect(context.Background())
	if err != nil {
		return siteSnapshot{}
	}
	return siteSnapshot{snap, snap.ReadyServers}
}

// leave stops the front, once, and checks that this takes bounded time.
func (x *site) leave() {
	if x.stop == nil {
		return
	}
	x.stop()
	select {
	case err := <-x.done:
		if err != nil {
			x.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		x.t.Error("the front did not leave in 10 s")
	}
	x.stop = nil
}

func (x *site) waitFor(what string, ok func() bool) {
	x.t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// audit stops the front and checks the recorded messages against the rules.
func (x *site) audit() *audit.Report {
	x.t.Helper()
	x.rec.Add(record.Event{Kind: record.FrontDraining, Front: "f"})
	x.leave()
	x.waitFor("all streams ended", func() bool { return x.farm.StreamCount() == 0 })
	x.rec.Add(record.Event{Kind: record.DayFinished})
	r, err := audit.Judge(x.rec.Events())
	if err != nil {
		x.t.Fatal(err)
	}
	for _, v := range r.Violations {
		x.t.Error(v)
	}
	return r
}

// player is a client whose requests are recorded.
type player struct {
	site         *site
	nc           net.Conn
	requestCount int
}

type answer struct {
	ID     string
	Method string
	Params map[string]any
	Result *struct {
		Status, Session, Server, URI, Token string
		Rung                                int
		Rate                                float64
	}
	Error *struct {
		Code    int
		Message string
		Data    struct {
			Session      string
			RetryAfterMs int64
		}
	}
}

func (x *site) player() *player {
	x.t.Helper()
	nc, err := playersim.Dial(context.Background(), x.s.Addr())
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { nc.Close() })
	return &player{site: x, nc: nc}
}

var classes = map[string]int{"safe": 0, "paid": 1, "floored": 2}

func (p *player) sendOpen(class, title string) string {
	p.requestCount++
	call := fmt.Sprintf("%p-%d", p, p.requestCount)
	p.site.rec.Add(record.Event{Kind: record.RequestSent, Front: "f", Ref: call, Class: classes[class]})
	text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.open","params":{"title":%q,"class":%q,"viewer":%q},"id":%q}`,
		title, class, call, call)
	if err := wsutil.WriteClientText(p.nc, []byte(text)); err != nil {
		p.site.t.Fatal(err)
	}
	return call
}

func (p *player) read() (a answer) {
	p.site.t.Helper()
	p.nc.SetReadDeadline(time.Now().Add(8 * time.Second))
	text, err := wsutil.ReadServerText(p.nc)
	if err != nil {
		p.site.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		p.site.t.Fatalf("%s: %v", text, err)
	}
	if a.ID != "" && strings.HasPrefix(a.ID, "0x") {
		e := record.Event{Kind: record.ReplyReceived, Front: "f", Ref: a.ID, Text: "error"}
		switch {
		case a.Result != nil:
			e.Text, e.Session = a.Result.Status, strings.TrimPrefix(a.Result.Session, "f-")
		case a.Error.Code == -32001:
			e.Text, e.Session = "refused", strings.TrimPrefix(a.Error.Data.Session, "f-")
		case a.Error.Code == -32002:
			e.Text, e.Session = "failed", strings.TrimPrefix(a.Error.Data.Session, "f-")
		}
		p.site.rec.Add(e)
	}
	return a
}

func (p *player) open(class, title string) answer {
	p.site.t.Helper()
	p.sendOpen(class, title)
	return p.read()
}

package serve

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gobwas/ws/wsutil"
	"go.uber.org/goleak"

	"tealledge/internal/hlstoken"
	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

const hlsKey = "000102030405060708090a0b0c0d0e0f"

var hlsKeys, _ = hlstoken.NewKeys([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15})

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The library's pollers run until the process ends.
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.newDefaultPool"),
		goleak.IgnoreAnyFunction("github.com/bytedance/gopkg/util/gopool.(*worker).run.func1"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

const serviceSettings = `
(service
  (ladder (rung 200 0.25) (rung 400 0.6) (rung 800 1))
  (classes
    (class "safe" (aim 1s) (deadline 2s) (worth 3))
    (class "paid" (aim 1s) (deadline 1500ms) (worth 2) (effect paid) (seats 3))
    (class "floored" (aim 1s) (deadline 2s) (worth 1) (floor 1)))
  (kinds (kind "std" (slots 2000)))
  (zones "z") (zone "z")
  (cells 3) (racks 1) (weight-kb 1000000) (rack-kb 3000000) (fleet-kb 3000000)
  (reports link uplink) (reports-inline yes) (may-probe yes)
  (notes-late 200ms) (stall-cost 8) (change-cost 0.5)
  (max-attempts 4) (retry-after-most 1s) (connect-wait 250ms) (drain-grace 250ms) (price-move 0.01))
(titles (title "a" (home 0) (copies 3)) (title "b" (home 0) (copies 1)) (title "live-a" (home 0) (copies 3)) (title "live-b" (home 0) (copies 1)))`

func TestSessionPlaysAndIsClosedByItsPlayer(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	a := p.open("floored", "a")
	if a.Result == nil || a.Result.Status != "plays" || a.Result.Rung < 1 || a.Result.Rate < 400 ||
		!strings.HasPrefix(a.Result.URI, "rtsp://127.0.0.1:") {
		t.Fatalf("%+v", a)
	}
	if n := x.farm.StreamCount(); n != 1 {
		t.Fatal(n, "streams")
	}
	other := x.player()
	wsutil.WriteClientText(other.nc, fmt.Appendf(nil,
		`{"jsonrpc":"2.0","method":"session.close","params":{"session":%q},"id":"c"}`, a.Result.Session))
	if b := other.read(); b.Error == nil || b.Error.Code != -32003 {
		t.Fatalf("another player's session.close: %+v", b)
	}
	wsutil.WriteClientText(p.nc, fmt.Appendf(nil,
		`{"jsonrpc":"2.0","method":"session.close","params":{"session":%q},"id":"c"}`, a.Result.Session))
	if b := p.read(); b.Result == nil || b.Result.Status != "closed" {
		t.Fatalf("%+v", b)
	}
	x.waitFor("torn down", func() bool { return x.farm.StreamCount() == 0 })
	if r := x.audit(); r.Replies["plays"] != 1 {
		t.Fatal(r.Replies)
	}
}

func TestBatchIsAnsweredInOneMessage(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	open := func(id string) string {
		return fmt.Sprintf(
			`{"jsonrpc":"2.0","method":"session.open","params":{"title":"a","class":"safe","viewer":"v"},"id":%q}`, id)
	}
	wsutil.WriteClientText(p.nc,
		[]byte("["+open("q")+`,{"jsonrpc":"2.0","method":"nothing"},{"jsonrpc":"2.0","method":"x","id":"r"},`+open("s")+"]"))
	text, err := wsutil.ReadServerText(p.nc)
	var list []answer
	if err != nil || json.Unmarshal(text, &list) != nil || len(list) != 3 || list[0].Result == nil ||
		list[1].Error.Code != -32601 || list[2].Result == nil {
		t.Fatalf("%s, %v", text, err)
	}
}

func TestInvalidParametersStartNoSession(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	for params, code := range map[string]int{
		`{"title":"a","class":"safe"}`:                              -32602,
		`{"title":"a","class":"none","viewer":"v"}`:                 -32602,
		`{"title":"zzz","class":"safe","viewer":"v"}`:               -32005,
		`{"title":"a","class":"safe","viewer":"v","top":9}`:         -32602,
		`{"title":"a","class":"safe","viewer":"v","tenant":"x"}`:    -32602,
		`{"title":"a","class":"safe","viewer":"v","more":1}`:        -32602,
		`{"title":"a","class":"safe","viewer":"v","token":"q"}`:     -32602,
		`{"title":"a","class":"safe","viewer":"v","deadlineMs":-1}`: -32602,
		`["a"]`: -32602,
		`{"title":"` + strings.Repeat("x", 300) + `","class":"safe","viewer":"v"}`: -32602,
	} {
		wsutil.WriteClientText(p.nc, []byte(`{"jsonrpc":"2.0","method":"session.open","id":"q","params":`+params+`}`))
		if a := p.read(); a.Error == nil || a.Error.Code != code {
			t.Errorf("%.60s: %+v", params, a)
		}
	}
	if x.snapshot().Taken != 0 {
		t.Error("a request with invalid parameters was accepted")
	}
}

func TestStalledServerFallsBackToAnother(t *testing.T) {
	x := newSite(t, "")
	first := x.player().open("safe", "a") // the next session goes to the same server, which is known to be idle
	for _, m := range x.farm.Servers() {
		if m.Addr() == first.Result.Server {
			m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = true })
		}
	}
	startedAt := time.Now()
	a := x.player().open("safe", "a")
	if a.Result == nil || a.Result.Server == first.Result.Server || time.Since(startedAt) > time.Second {
		t.Fatalf("%+v after %v", a, time.Since(startedAt))
	}
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = false })
	}
	if r := x.audit(); r.Further == 0 || r.Replies["plays"] != 2 {
		t.Fatal(r.Further, r.Replies)
	}
}

func TestPaidSetUpThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, fault := range map[string]func(*mediasim.Faults){
		"stalled":     func(f *mediasim.Faults) { f.Stalled = true },
		"answer lost": func(f *mediasim.Faults) { f.LostReplies = 1 },
		"half reply":  func(f *mediasim.Faults) { f.TruncatedReplies = 1 },
		"garbage":     func(f *mediasim.Faults) { f.GarbageReplies = 1 },
		"fast error":  func(f *mediasim.Faults) { f.SetupErrors = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			x := newSite(t, "")
			x.player().open("safe", "b") // opens the connection to the title's only holder
			for _, m := range x.farm.Servers() {
				m.UpdateFaults(fault)
			}
			if a := x.player().open("paid", "b"); a.Error == nil || a.Error.Code != -32002 {
				t.Fatalf("%+v", a.Error)
			}
			for _, m := range x.farm.Servers() {
				m.UpdateFaults(func(f *mediasim.Faults) { *f = mediasim.Faults{} })
			}
			if r := x.audit(); r.Setups != 2 {
				t.Fatal(r.Setups, "set-ups")
			}
		})
	}
}

// TestPaidSetUpIsRefusedIfNoServerEverResponded checks that a server which accepts connections but sends nothing gets
// no set-up, so that the paid request is refused as certainly not run.
func TestPaidSetUpIsRefusedIfNoServerEverResponded(t *testing.T) {
	x := newSite(t, "")
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = true })
	}
	if a := x.player().open("paid", "a"); a.Error == nil || a.Error.Code != -32001 {
		t.Fatalf("%+v", a.Error)
	}
	if r := x.audit(); r.Setups != 0 {
		t.Fatal(r.Setups, "set-ups")
	}
}

func TestPlayerLeavingMidRequestLeavesNoStream(t *testing.T) {
	x := newSite(t, "")
	for i := range 30 {
		p := x.player()
		call := p.sendOpen([]string{"safe", "paid"}[i%2], "a")
		time.Sleep(time.Duration(i) * 200 * time.Microsecond)
		x.rec.Add(record.Event{Kind: record.PlayerLeft, Front: "f", Ref: call})
		p.nc.Close()
	}
	x.waitFor("all sessions to be removed", func() bool {
		v := x.snapshot()
		return v.Sessions == 0 && v.HeldAttempts == 0 && v.PendingCalls == 0 && v.PlayerSessions == 0
	})
	x.waitFor("all streams to end", func() bool { return x.farm.StreamCount() == 0 })
	x.audit()
}

func TestDrainingServerGetsNoNewSession(t *testing.T) {
	x := newSite(t, "")
	x.list.Set(listEntry(x.farm.Server(1), "draining"))
	x.farm.Server(2).Redirect() // without a connection yet, so the front does not receive it
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("%+v", a)
	}
	x.waitFor("two ready servers", func() bool { return x.snapshot().ReadyServers == 2 })
	for range 10 {
		if a := x.player().open("safe", "a"); a.Result == nil || a.Result.Server == x.farm.Server(1).Addr() {
			t.Fatalf("%+v", a)
		}
	}
	x.waitFor("refusal because the only holder drains", func() bool {
		a := x.player().open("safe", "b") // only server 1 holds title b
		return a.Error != nil && a.Error.Code == -32001 && a.Error.Data.RetryAfterMs > 0
	})
	x.audit()
}

func TestServerCrashEndsItsSessions(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	a := p.open("safe", "b")
	x.farm.Server(1).Kill()
	if b := p.read(); b.Method != "session.ended" || b.Params["reason"] != "lost" ||
		b.Params["session"] != a.Result.Session {
		t.Fatalf("%+v", b)
	}
	q := x.player()
	x.waitFor("an error answer", func() bool { return q.open("safe", "b").Error != nil })
	x.audit()
}

func TestSessionEndsWhenItsTitleEnds(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	p.open("safe", "b")
	x.farm.Server(1).EndStreams()
	if b := p.read(); b.Method != "session.ended" || b.Params["reason"] != "end" {
		t.Fatalf("%+v", b)
	}
	x.audit()
}

func TestSessionsSurviveLostServerConnection(t *testing.T) {
	x := newSite(t, "")
	p := x.player()
	p.open("safe", "b")
	// The next response is truncated and closes the connection.
	x.farm.Server(1).UpdateFaults(func(f *mediasim.Faults) { f.TruncatedReplies = 1 })
	x.player().open("safe", "b")
	x.farm.Server(1).UpdateFaults(func(f *mediasim.Faults) { *f = mediasim.Faults{} })
	time.Sleep(600 * time.Millisecond) // longer than a server keeps a stream without a connection
	if n := x.farm.StreamCount(); n != 1 {
		t.Fatal(n, "streams")
	}
	x.audit()
}

func TestRestartedFrontUsesSavedServerList(t *testing.T) {
	x := newSite(t, "")
	x.waitFor("the list to be saved", func() bool {
		_, err := os.Stat(filepath.Join(x.dir, "state", "servers.sexp"))
		return err == nil
	})
	x.leave()
	x.list.SetFailing(true)
	x.start("")
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("%+v", a)
	}
	x.leave()
	path := filepath.Join(x.dir, "state", "servers.sexp")
	text, _ := os.ReadFile(path)
	os.WriteFile(path, text[:len(text)/2], 0o644)
	x.list.SetFailing(false)
	x.start("") // the damaged list is ignored and the service's list used
	x.audit()
}

func TestEmptyOrOlderListIsRejected(t *testing.T) {
	x := newSite(t, "")
	x.list.SetEmpty(true)
	time.Sleep(300 * time.Millisecond)
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("%+v", a)
	}
	x.list.SetEmpty(false)
	x.list.ResetIndex()
	time.Sleep(200 * time.Millisecond)
	if v := x.snapshot(); v.ReadyServers != 3 {
		t.Fatal(v.ReadyServers)
	}
	x.audit()
}

func TestShutdownAnswersOpenRequestsAndEndsInTime(t *testing.T) {
	x := newSite(t, "")
	playing := x.player()
	playing.open("safe", "a")
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.LostReplies = 1 })
	}
	waits := x.player()
	waits.sendOpen("safe", "a")
	x.waitFor("the request to be accepted", func() bool { return x.snapshot().OpenRequests == 1 })
	x.rec.Add(record.Event{Kind: record.FrontDraining, Front: "f"})
	startedAt := time.Now()
	x.stop()
	if a := waits.read(); a.Error == nil {
		t.Fatalf("%+v", a)
	}
	if a := playing.read(); a.Method != "session.ended" || a.Params["reason"] != "leaving" {
		t.Fatalf("%+v", a)
	}
	x.leave()
	if d := time.Since(startedAt); d > 5*time.Second {
		t.Fatal(d)
	}
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.LostReplies = 0 })
	}
	x.audit()
}

func TestManySessionsLeakNothing(t *testing.T) {
	x := newSite(t, "")
	files := func() int { list, _ := os.ReadDir("/proc/self/fd"); return len(list) }
	p := x.player()
	var before int
	for i := range 1000 {
		a := p.open("safe", "a")
		if a.Result == nil {
			t.Fatalf("%d: %+v", i, a)
		}
		wsutil.WriteClientText(p.nc, fmt.Appendf(nil,
			`{"jsonrpc":"2.0","method":"session.close","params":{"session":%q},"id":"c"}`, a.Result.Session))
		p.read()
		if i == 100 {
			before = files()
		}
	}
	// A connection to a server not used before takes two descriptors, one at each end.
	if after := files(); after > before+8 {
		t.Errorf("%d descriptors open, %d before", after, before)
	}
	v := x.snapshot()
	if v.Sessions != 0 || v.HeldAttempts != 0 || v.PendingCalls != 0 || v.PlayerSessions != 0 ||
		v.Faults != 0 || v.Stats.Plays != 1000 {
		t.Errorf("%+v", v)
	}
	x.audit()
}

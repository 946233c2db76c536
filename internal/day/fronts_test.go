package day

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gobwas/ws/wsutil"

	"tealledge/internal/audit"
	"tealledge/internal/load"
	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
	"tealledge/internal/standin/playersim"
)

// openWorld starts a day without faults of its own.
func openWorld(t *testing.T, fronts string) *World {
	t.Helper()
	return openWorldWithSessionTimeout(t, fronts, "500ms")
}

// openWorldWithSessionTimeout starts a day in which servers keep a stream whose connection was lost for sessionTimeout.
func openWorldWithSessionTimeout(t *testing.T, fronts, sessionTimeout string) *World {
	t.Helper()
	t.Setenv("AS_FRONT", "1")
	s, err := Parse("t", `(day (seed 3) (fronts `+fronts+`) (servers 8) (titles 12) (copies 4) (media (slots 400) (link-kb 90000)
  (uplink-kb 400000) (setup 1ms) (keep `+sessionTimeout+`)))`+serviceText)
	if err != nil {
		t.Fatal(err)
	}
	s.SyncCapacities()
	w, err := Open(context.Background(), s, Options{Command: []string{os.Args[0], "-test.run=^$"}, Dir: t.TempDir(),
		Out: os.Stderr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// setFaultOnAll sets a fault on all servers.
func (w *world) setFaultOnAll(set func(f *mediasim.Faults)) {
	for _, m := range w.farm.Servers() {
		m.UpdateFaults(set)
	}
}

// startLoad runs players in the background. The function it returns waits for their end.
func (w *world) startLoad(t *testing.T, rate float64, length time.Duration, clients int) func() *load.Result {
	done := make(chan *load.Result, 1)
	go func() {
		r, err := load.Run(context.Background(), load.Plan{Front: w.Front, Clients: clients, Rate: rate,
			Duration: length, Shape: load.Poisson,
			HoldTime: [2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond},
			Titles:   w.script.TitleNames(), Classes: []string{"safe"}, Seed: 1}, w.records)
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	return func() *load.Result { return <-done }
}

// checkAllRules ends the day and fails the test for each broken rule.
func (w *world) checkAllRules(t *testing.T) {
	t.Helper()
	r, err := w.Judge(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
}

// TestFrontKilledWithHundredsOfOpenRequests checks that a front that is killed while its servers stall serves again
// after its restart and breaks no rule.
func TestFrontKilledWithHundredsOfOpenRequests(t *testing.T) {
	w := openWorld(t, "1")
	w.setFaultOnAll(func(f *mediasim.Faults) { f.Stalled = true })
	wait := w.startLoad(t, 500, 2500*time.Millisecond, 40)
	time.Sleep(800 * time.Millisecond)
	w.fronts[0].kill()
	w.setFaultOnAll(func(f *mediasim.Faults) { f.Stalled = false })
	if err := w.fronts[0].start(); err != nil {
		t.Fatal(err)
	}
	r := wait()
	if r.Kinds["broken"] < 150 || r.Kinds["plays"] < 100 {
		t.Errorf("%v: too few requests were open when the front was killed, or it did not serve again", r.Kinds)
	}
	w.checkAllRules(t)
}

// TestFrontPausedForTwoSeconds checks that a pause of the process closes no connections and breaks no rule.
func TestFrontPausedForTwoSeconds(t *testing.T) {
	w := openWorld(t, "1")
	wait := w.startLoad(t, 100, 3500*time.Millisecond, 40)
	time.Sleep(700 * time.Millisecond)
	w.fronts[0].signal(syscall.SIGSTOP, record.FrontPaused)
	time.Sleep(2 * time.Second)
	w.fronts[0].signal(syscall.SIGCONT, record.FrontResumed)
	r := wait()
	if r.Kinds["broken"] > 0 || r.Kinds["plays"] < 200 {
		t.Errorf("%v", r.Kinds)
	}
	w.checkAllRules(t)
}

// TestBurstsOfThirtyAcrossTwoFronts checks that all players of bursts are answered in time although a tenth of
// them misbehave.
func TestBurstsOfThirtyAcrossTwoFronts(t *testing.T) {
	w := openWorld(t, "2")
	r, err := load.Run(context.Background(), load.Plan{Front: w.Front, Clients: 60, Rate: 200,
		Duration: 2 * time.Second, Shape: load.Classes, MisbehavingShare: 0.1,
		HoldTime: [2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond},
		Titles:   w.script.TitleNames(), Classes: []string{"safe", "floored"}, Seed: 2}, w.records)
	if err != nil {
		t.Fatal(err)
	}
	if r.Kinds["plays"]+r.Kinds["refused"] != r.Sent || r.Late > 0 {
		t.Errorf("%+v", r)
	}
	w.checkAllRules(t)
}

// testPlayer is a player whose requests the test sends one by one.
type testPlayer struct {
	t  *testing.T
	nc net.Conn
}

// dialPlayer connects a player to a front.
func dialPlayer(t *testing.T, addr string) *testPlayer {
	t.Helper()
	nc, err := playersim.Dial(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &testPlayer{t, nc}
}

// call sends a request and returns its response.
func (c *testPlayer) call(method, params string) string {
	c.t.Helper()
	c.nc.SetDeadline(time.Now().Add(5 * time.Second))
	if err := wsutil.WriteClientText(c.nc,
		[]byte(`{"jsonrpc":"2.0","method":"`+method+`","params":`+params+`,"id":"x"}`)); err != nil {
		c.t.Fatal(err)
	}
	for {
		text, err := wsutil.ReadServerText(c.nc)
		if err != nil {
			c.t.Fatal(err)
		}
		if strings.Contains(string(text), `"id":"x"`) {
			return string(text)
		}
	}
}

// TestKilledFrontRestoresSessions checks that after SIGKILL and a restart, players resume their sessions with their
// tokens alone. No session is set up again, and one that nobody resumes is torn down at its server.
func TestKilledFrontRestoresSessions(t *testing.T) {
	w := openWorldWithSessionTimeout(t, "1", "20s")
	_, addr := w.Front(0)
	type open struct{ session, token string }
	var list []open
	c := dialPlayer(t, addr)
	for i := range 20 {
		class := []string{"safe", "floored"}[i%2]
		answer := c.call("session.open", fmt.Sprintf(`{"title":%q,"class":%q,"viewer":"v%d"}`,
			w.script.TitleNames()[i%4], class, i))
		var m struct {
			Result struct{ Session, Token string }
		}
		if err := json.Unmarshal([]byte(answer), &m); err != nil || m.Result.Token == "" {
			t.Fatal(answer)
		}
		list = append(list, open{m.Result.Session, m.Result.Token})
	}
	time.Sleep(200 * time.Millisecond) // the front stores its sessions asynchronously
	w.fronts[0].kill()
	if err := w.fronts[0].start(); err != nil {
		t.Fatal(err)
	}
	_, addr = w.Front(0)
	c = dialPlayer(t, addr)
	for i, o := range list[:15] {
		if i == 3 {
			if answer := c.call("session.resume", fmt.Sprintf(`{"session":%q,"token":"123"}`,
				o.session)); !strings.Contains(answer, "no such session") {
				t.Fatal("resumed with a wrong token", answer)
			}
		}
		if answer := c.call("session.resume", fmt.Sprintf(`{"session":%q,"token":%q}`, o.session,
			o.token)); !strings.Contains(answer, `"plays"`) {
			t.Fatal(i, answer)
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for w.farm.StreamCount() != 15 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	if n := w.farm.StreamCount(); n != 15 {
		t.Errorf("%d streams play, want 15", n)
	}
	for _, o := range list[:15] {
		c.call("session.close", fmt.Sprintf(`{"session":%q}`, o.session))
	}
	r, err := w.Judge(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Checked[audit.RuleOnce] != 20 {
		t.Errorf("%d set-ups for 20 sessions", r.Checked[audit.RuleOnce])
	}
}

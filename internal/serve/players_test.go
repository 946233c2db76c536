package serve

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gobwas/ws"
	"github.com/gobwas/ws/wsutil"

	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
	"tealledge/internal/standin/playersim"
)

// sendOpenWithDeadline requests a session with a deadline set by the player.
func (p *player) sendOpenWithDeadline(class, title string, deadline time.Duration) string {
	p.requestCount++
	call := fmt.Sprintf("%p-%d", p, p.requestCount)
	p.site.rec.Add(record.Event{Kind: record.RequestSent, Front: "f", Ref: call, Class: classes[class],
		Timeout: int64(deadline)})
	text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.open","params":{"title":%q,"class":%q,"viewer":%q,"deadlineMs":%d},"id":%q}`,
		title, class, call, deadline.Milliseconds(), call)
	if err := wsutil.WriteClientText(p.nc, []byte(text)); err != nil {
		p.site.t.Fatal(err)
	}
	return call
}

func TestRequestsAreAnsweredInTimeWhenAllHoldersStall(t *testing.T) {
	x := newSite(t, "")
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = true })
	}
	var players []*player
	for i := range 30 {
		p := x.player()
		p.sendOpenWithDeadline([]string{"safe", "paid", "floored"}[i%3], "a", time.Second)
		players = append(players, p)
	}
	for _, p := range players {
		if a := p.read(); a.Error == nil || a.Error.Code != -32001 && a.Error.Code != -32002 {
			t.Fatalf("%+v", a)
		}
	}
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = false })
	}
	r := x.audit()
	for _, d := range r.Open {
		if d > time.Second+100*time.Millisecond {
			t.Error("request answered after", d)
		}
	}
}

func TestThirtyPlayersOpenOneTitleAtOnce(t *testing.T) {
	x := newSite(t, "")
	var players []*player
	for range 30 {
		players = append(players, x.player())
	}
	start := make(chan struct{})
	var wg sync.WaitGroup
	for _, p := range players {
		wg.Add(1)
		go func() {
			defer wg.Done()
			<-start
			p.sendOpen("safe", "a")
		}()
	}
	close(start)
	wg.Wait()
	servers := map[string]bool{}
	for _, p := range players {
		a := p.read()
		if a.Result == nil {
			t.Fatalf("%+v", a)
		}
		servers[a.Result.Server] = true
	}
	if n := x.farm.StreamCount(); n != 30 {
		t.Error(n, "streams")
	}
	x.audit()
}

func (p *player) resume(session, token string) answer {
	p.site.t.Helper()
	wsutil.WriteClientText(p.nc, fmt.Appendf(nil,
		`{"jsonrpc":"2.0","method":"session.resume","params":{"session":%q,"token":%q},"id":"r"}`, session, token))
	return p.read()
}

func TestResumeAfterLostConnection(t *testing.T) {
	x := newSite(t, "(timing (resume-for 2s))")
	p := x.player()
	a := p.open("paid", "b")
	if a.Result == nil || a.Result.Token == "" {
		t.Fatalf("%+v", a)
	}
	p.nc.Close()
	time.Sleep(200 * time.Millisecond)
	q := x.player()
	if b := q.resume(a.Result.Session, "0123456789abcdef"); b.Error == nil || b.Error.Code != -32003 {
		t.Fatalf("resume with a wrong token: %+v", b)
	}
	b := q.resume(a.Result.Session, a.Result.Token)
	if b.Result == nil || b.Result.Session != a.Result.Session || b.Result.Server != a.Result.Server {
		t.Fatalf("%+v", b)
	}
	if x.farm.StreamCount() != 1 {
		t.Fatal("want one stream")
	}
	time.Sleep(2200 * time.Millisecond) // the resume window of the first connection loss is over
	x.farm.Server(1).EndStreams()
	if n := q.read(); n.Method != "session.ended" {
		t.Fatalf("want the notification on the new connection, got %+v", n)
	}
	if r := x.audit(); r.Setups != 1 {
		t.Fatal(r.Setups, "set-ups")
	}
}

func TestDetachedSessionExpires(t *testing.T) {
	x := newSite(t, "(timing (resume-for 300ms))")
	p := x.player()
	a := p.open("safe", "b")
	p.nc.Close()
	x.waitFor("ended", func() bool {
		v := x.snapshot()
		return v.Sessions == 0 && v.PlayerSessions == 0 && x.farm.StreamCount() == 0
	})
	if b := x.player().resume(a.Result.Session, a.Result.Token); b.Error == nil || b.Error.Code != -32003 {
		t.Fatalf("%+v", b)
	}
	x.audit()
}

func TestRepeatedOpenOfOneViewerHoldsOneSeat(t *testing.T) {
	x := newSite(t, "(timing (resume-for 5s))")
	for i := range 6 { // class paid has 3 seats; each lost connection leaves one detached session
		p := x.player()
		p.requestCount = 0
		text := fmt.Sprintf(
			`{"jsonrpc":"2.0","method":"session.open","params":{"title":"a","class":"paid","viewer":"same"},"id":"%d"}`, i)
		wsutil.WriteClientText(p.nc, []byte(text))
		if a := p.read(); a.Result == nil {
			t.Fatalf("%d: %+v", i, a)
		}
		p.nc.Close()
		x.waitFor("detached", func() bool { return x.snapshot().Sessions == 1 })
		time.Sleep(20 * time.Millisecond)
	}
	x.audit()
}

func TestHandshakesAreRateLimitedAfterMassReconnect(t *testing.T) {
	x := newSite(t, "(limits (handshakes 400)) (timing (handshake-line 3s))")
	startedAt := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, 500)
	for range 500 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			nc, err := playersim.Dial(context.Background(), x.s.Addr())
			if err != nil {
				errs <- err
				return
			}
			defer nc.Close()
			if err := wsutil.WriteClientText(nc, []byte(`{"jsonrpc":"2.0","method":"x","id":1}`)); err != nil {
				errs <- err
				return
			}
			nc.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := wsutil.ReadServerText(nc); err != nil {
				errs <- err
			}
		}()
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
	// 100 are accepted immediately, the others at 400 per second.
	if took := time.Since(startedAt); took < 800*time.Millisecond {
		t.Error("all handshakes were accepted within", took)
	}
	if n := x.s.hub.Stats.Delayed.Load(); n < 300 {
		t.Error(n, "handshakes were delayed")
	}
}

func TestOpenRequestsPerConnectionAreLimited(t *testing.T) {
	x := newSite(t, "(limits (open-per-connection 5))")
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = true })
	}
	p := x.player()
	for range 20 {
		p.sendOpenWithDeadline("safe", "a", 600*time.Millisecond)
	}
	codes := map[int]int{}
	for range 20 {
		if a := p.read(); a.Error != nil {
			codes[a.Error.Code]++
		}
	}
	if codes[-32004] != 15 {
		t.Fatal(codes)
	}
	for _, m := range x.farm.Servers() {
		m.UpdateFaults(func(f *mediasim.Faults) { f.Stalled = false })
	}
	x.waitFor("the open requests are released", func() bool { return x.player().open("safe", "a").Result != nil })
}

func TestSlowReaderIsClosedAndCanResume(t *testing.T) {
	x := newSite(t, "(limits (write-buffer 4096)) (timing (write-wait 200ms) (resume-for 3s))")
	p := x.player()
	a := p.open("safe", "a")
	junk := []byte(`{"jsonrpc":"2.0","method":"nothing","id":"` + strings.Repeat("x", 200) + `"}`)
	for range 200_000 { // the player reads no responses
		p.nc.SetWriteDeadline(time.Now().Add(time.Second))
		if wsutil.WriteClientText(p.nc, junk) != nil {
			break
		}
	}
	// Nothing is read before the front has closed the connection, as a player that reads meanwhile would not be slow.
	x.waitFor("the connection to be closed", func() bool { return x.s.hub.Connections() == 0 })
	if b := x.player().resume(a.Result.Session, a.Result.Token); b.Result == nil {
		t.Fatalf("%+v", b)
	}
	x.audit()
}

func TestIdlePlayersArePingedThenClosed(t *testing.T) {
	x := newSite(t, "(timing (ping 100ms) (idle 1s))")
	p, q := x.player(), x.player()
	go func() { // q answers pings
		for {
			h, err := ws.ReadHeader(q.nc)
			if err != nil {
				return
			}
			io.CopyN(io.Discard, q.nc, h.Length)
			if h.OpCode == ws.OpPing {
				ws.WriteFrame(q.nc, ws.MaskFrame(ws.NewPongFrame(nil)))
			}
		}
	}()
	pings := 0
	for {
		p.nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		h, err := ws.ReadHeader(p.nc)
		if err != nil {
			t.Fatal(err)
		}
		io.CopyN(io.Discard, p.nc, h.Length)
		if h.OpCode == ws.OpClose {
			break
		}
		pings++
	}
	if pings == 0 {
		t.Error("closed without a ping")
	}
	time.Sleep(1500 * time.Millisecond)
	if x.s.hub.Connections() != 1 {
		t.Error("want the one connection that answers pings, got", x.s.hub.Connections())
	}
}

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

// askWithin asks with a deadline of the player's own.
func (p *player) askWithin(class, title string, wait time.Duration) string {
	p.n++
	call := fmt.Sprintf("%p-%d", p, p.n)
	p.x.rec.Add(record.Event{What: record.Ask, Front: "f", Call: call, Class: classes[class], Wait: int64(wait)})
	text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.open","params":{"title":%q,"class":%q,"viewer":%q,"deadlineMs":%d},"id":%q}`,
		title, class, call, wait.Milliseconds(), call)
	if err := wsutil.WriteClientText(p.nc, []byte(text)); err != nil {
		p.x.t.Fatal(err)
	}
	return call
}

func TestAllHoldersStallAndEachIsAnsweredWithinItsSecond(t *testing.T) {
	x := newSite(t, "")
	for _, m := range x.farm.Servers() {
		m.Fault(func(f *mediasim.Faults) { f.Stalled = true })
	}
	var players []*player
	for i := range 30 {
		p := x.player()
		p.askWithin([]string{"safe", "paid", "floored"}[i%3], "a", time.Second)
		players = append(players, p)
	}
	for _, p := range players {
		if a := p.read(); a.Error == nil || a.Error.Code != -32001 && a.Error.Code != -32002 {
			t.Fatalf("%+v", a)
		}
	}
	for _, m := range x.farm.Servers() {
		m.Fault(func(f *mediasim.Faults) { f.Stalled = false })
	}
	r := x.judge()
	for _, d := range r.Open {
		if d > time.Second+100*time.Millisecond {
			t.Error("answered after", d)
		}
	}
}

func TestAClassOfThirtyOpensOneTitleAtOnce(t *testing.T) {
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
			p.ask("safe", "a")
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
	if n := x.farm.Streams(); n != 30 {
		t.Error(n, "streams")
	}
	x.judge()
}

func (p *player) resume(session, token string) answer {
	p.x.t.Helper()
	wsutil.WriteClientText(p.nc, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"session.resume","params":{"session":%q,"token":%q},"id":"r"}`, session, token))
	return p.read()
}

func TestAPlayerThatLostItsSocketTakesItsSessionUpAgain(t *testing.T) {
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
		t.Fatalf("a wrong token: %+v", b)
	}
	b := q.resume(a.Result.Session, a.Result.Token)
	if b.Result == nil || b.Result.Session != a.Result.Session || b.Result.Server != a.Result.Server {
		t.Fatalf("%+v", b)
	}
	if x.farm.Streams() != 1 {
		t.Fatal("not one stream")
	}
	time.Sleep(2200 * time.Millisecond) // the first break's time is over
	x.farm.Server(1).EndStreams()
	if n := q.read(); n.Method != "session.ended" {
		t.Fatalf("the new connection is not told: %+v", n)
	}
	if r := x.judge(); r.Setups != 1 {
		t.Fatal(r.Setups, "set-ups")
	}
}

func TestASessionThatNobodyTakesUpEndsInTime(t *testing.T) {
	x := newSite(t, "(timing (resume-for 300ms))")
	p := x.player()
	a := p.open("safe", "b")
	p.nc.Close()
	x.until("ended", func() bool { v := x.look(); return v.Held == 0 && v.Kept == 0 && x.farm.Streams() == 0 })
	if b := x.player().resume(a.Result.Session, a.Result.Token); b.Error == nil || b.Error.Code != -32003 {
		t.Fatalf("%+v", b)
	}
	x.judge()
}

func TestAViewerThatAsksAnewHoldsOneSeat(t *testing.T) {
	x := newSite(t, "(timing (resume-for 5s))")
	for i := range 6 { // class paid has 3 seats; each break leaves one session waiting
		p := x.player()
		p.n = 0
		text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.open","params":{"title":"a","class":"paid","viewer":"same"},"id":"%d"}`, i)
		wsutil.WriteClientText(p.nc, []byte(text))
		if a := p.read(); a.Result == nil {
			t.Fatalf("%d: %+v", i, a)
		}
		p.nc.Close()
		x.until("detached", func() bool { return x.look().Held == 1 })
		time.Sleep(20 * time.Millisecond)
	}
	x.judge()
}

func TestFiveHundredReconnectAtOnceAndAreLetInAtAPace(t *testing.T) {
	x := newSite(t, "(limits (handshakes 400)) (timing (handshake-line 3s))")
	began := time.Now()
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
	// 100 at once, the others at 400 a second.
	if took := time.Since(began); took < 800*time.Millisecond {
		t.Error("all were let in within", took)
	}
	if n := x.s.hub.Stats.Waited.Load(); n < 300 {
		t.Error(n, "waited at the door")
	}
}

func TestAConnectionThatPipelinesMoreThanItsShare(t *testing.T) {
	x := newSite(t, "(limits (open-per-connection 5))")
	for _, m := range x.farm.Servers() {
		m.Fault(func(f *mediasim.Faults) { f.Stalled = true })
	}
	p := x.player()
	for range 20 {
		p.askWithin("safe", "a", 600*time.Millisecond)
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
		m.Fault(func(f *mediasim.Faults) { f.Stalled = false })
	}
	x.until("its room is free again", func() bool { return x.player().open("safe", "a").Result != nil })
}

func TestASlowReaderIsCutOffAndItsSessionCanBeTakenUp(t *testing.T) {
	x := newSite(t, "(limits (write-buffer 4096)) (timing (write-wait 200ms) (resume-for 3s))")
	p := x.player()
	a := p.open("safe", "a")
	junk := []byte(`{"jsonrpc":"2.0","method":"nothing","id":"` + strings.Repeat("x", 200) + `"}`)
	for range 200_000 { // reads nothing
		p.nc.SetWriteDeadline(time.Now().Add(time.Second))
		if wsutil.WriteClientText(p.nc, junk) != nil {
			break
		}
	}
	// Nothing is read before the front has cut it off: a reader that drains meanwhile would not be slow.
	x.until("cut off", func() bool { return x.s.hub.Connections() == 0 })
	if b := x.player().resume(a.Result.Session, a.Result.Token); b.Result == nil {
		t.Fatalf("%+v", b)
	}
	x.judge()
}

func TestQuietPlayersArePingedAndThenClosed(t *testing.T) {
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
		t.Error("one player answers its pings:", x.s.hub.Connections())
	}
}

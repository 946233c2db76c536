package rtspclient

import (
	"fmt"
	"strings"
	"testing"

	"tealledge/decide/addresses"
	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

const addr = "127.0.0.1:554"

// harness drives a Protocol with one server and records its output.
type harness struct {
	t        *testing.T
	protocol *Protocol
	now      Time
	conn     uint64
	written  []byte
	closed   bool
	dials    int
	base     int // bytes written before the set-up
	events   []front.Event
	decoder  *rtsp.Decoder // decodes what was written
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, now: policy.Second, decoder: &rtsp.Decoder{}, protocol: New(Config{Front: "f1",
		Fields: []policy.Field{policy.FieldLink, policy.FieldUplink}, ProbeTimeout: policy.Second / 4,
		StallTimeout: 3 * policy.Second, KeepAliveInterval: 10 * policy.Second, ConnectTimeout: policy.Second / 4,
		Random:    func() float64 { return 0 },
		TitleName: func(t uint64) string { return fmt.Sprint("t", t) }})}
	b.protocol.SetServers(b.now, serverOne(0, addr))
	return b
}

func (b *harness) collect() {
	effects, events := b.protocol.Take()
	b.events = append(b.events, events...)
	for _, a := range effects {
		switch {
		case a.Dial != "":
			b.dials++
			b.conn = a.Conn
		case a.Close:
			b.closed = true
		default:
			b.written = append(b.written, a.Bytes...)
			b.decoder.Feed(a.Bytes)
		}
	}
}

func (b *harness) setup(session uint64) {
	b.protocol.Apply(b.now, front.Setup{Session: session, Server: 1, Title: 7, Rung: 2})
	b.collect()
}

// serverOne returns a list of server 1 alone, at the given addresses.
func serverOne(started Time, addrs ...string) []Server {
	s := Server{ID: 1, Addr: addrs[0], StartedAt: started}
	for _, a := range addrs {
		s.Addresses = append(s.Addresses, addresses.Address{Addr: a, Family: addresses.IPv4})
	}
	return []Server{s}
}

// connect completes the dial and answers the first OPTIONS. It discards what was written until then.
func (b *harness) connect() {
	b.protocol.Connected(b.now, 1, b.conn)
	b.collect()
	if m, _ := b.decoder.Next(); m == nil || m.Method != rtsp.Options {
		return // the connection was closed at once
	}
	b.base, b.written = len(b.written), nil
	b.reply(&rtsp.Message{Status: 200, CSeq: 1})
}

func (b *harness) lost(maxWritten uint64) {
	b.protocol.ConnectionLost(b.now, 1, b.conn, maxWritten)
	b.collect()
}

// nextRequest returns the next message written.
func (b *harness) nextRequest() *rtsp.Message {
	b.t.Helper()
	m, err := b.decoder.Next()
	if err != nil || m == nil {
		b.t.Fatalf("no message written: %v", err)
	}
	return m
}

func (b *harness) reply(m *rtsp.Message) { b.protocol.Received(b.now, 1, b.conn, m); b.collect() }

// startStream sets up a session until it plays and returns its RTSP session ID.
func (b *harness) startStream(session uint64) string {
	b.t.Helper()
	b.setup(session)
	if b.protocol.peers[1].connState != connected {
		b.connect()
	}
	setup, play := b.nextRequest(), b.nextRequest()
	id := fmt.Sprint("s", session)
	b.reply((&rtsp.Message{Status: 200, CSeq: setup.CSeq}).AddHeader("Session", id+";timeout=4"))
	b.reply(&rtsp.Message{Status: 200, CSeq: play.CSeq, Body: []byte("link: 0.5\r\nuplink: 0.25\r\n")})
	return id
}

func onlyEvent[T any](b *harness) T {
	b.t.Helper()
	if len(b.events) != 1 {
		b.t.Fatalf("got events %v, want one", b.events)
	}
	e, ok := b.events[0].(T)
	if !ok {
		b.t.Fatalf("got event %+v, want %T", b.events[0], *new(T))
	}
	b.events = nil
	return e
}

func TestWritesSetupAndPlayTogether(t *testing.T) {
	b := newHarness(t)
	b.startStream(41)
	began := onlyEvent[front.AttemptStarted](b)
	if began.Session != 41 || len(began.Report) != 2 || began.Report[1] != 0.25 {
		t.Fatal(began)
	}
	text := string(b.written)
	if strings.Count(text, "Pipelined-Requests: 1\r\n") != 2 ||
		!strings.Contains(text, "Tealledge-Attempt: f1/41/0\r\n") ||
		!strings.Contains(text, "SETUP rtsp://"+addr+"/t7 RTSP/2.0") || !strings.Contains(text, "Tealledge-Rung: 2") {
		t.Fatal(text)
	}
}

// TestStatusOfAttemptInterruptedAtEachByte guards against a wrong status of an interrupted attempt: one that may have
// run must not be reported as never run. Interrupts an attempt at each byte written and at each byte of the reply, by
// a lost connection and by a timeout.
func TestStatusOfAttemptInterruptedAtEachByte(t *testing.T) {
	probe := newHarness(t)
	probe.setup(1)
	probe.connect()
	setupEnd := strings.Index(string(probe.written), "\r\n\r\n") + 4
	total := len(probe.written)
	for written := 0; written <= total; written++ {
		b := newHarness(t)
		b.setup(1)
		b.connect()
		b.lost(uint64(b.base + written))
		want := policy.ConnReset
		if written < setupEnd {
			want = policy.NoConnect // the server can't have received a complete SETUP
		}
		if e := onlyEvent[front.AttemptEnded](b); e.Status != want {
			t.Errorf("lost with %d of %d bytes written: %d, want %d", written, total, e.Status, want)
		}
	}
	replies := string((&rtsp.Message{Status: 200, CSeq: 2}).AddHeader("Session", "q;timeout=4").Append(nil))
	firstEnd := len(replies)
	replies += string((&rtsp.Message{Status: 200, CSeq: 3}).Append(nil))
	for _, cause := range []string{"connection lost", "timeout"} {
		for cut := 0; cut <= len(replies); cut++ {
			b := newHarness(t)
			b.setup(1)
			b.connect()
			d := &rtsp.Decoder{}
			d.Feed([]byte(replies[:cut]))
			for {
				m, err := d.Next()
				if err != nil || m == nil {
					break
				}
				b.reply(m)
			}
			if cut == len(replies) {
				onlyEvent[front.AttemptStarted](b)
				continue
			}
			want := policy.ConnReset
			if cause == "connection lost" {
				b.lost(b.protocol.peers[1].bytesSent)
			} else {
				want = policy.TimedOut
				b.protocol.Apply(b.now, front.Abandon{Session: 1, Server: 1, Cause: outcome.Expired})
				b.collect()
				last := b.lastRequest()
				if by := last.Session(); last.Method != rtsp.Teardown || (by == "q") != (cut >= firstEnd) ||
					by == "" && last.Get("Pipelined-Requests") != "1" {
					t.Fatalf("cut at %d: torn down by %+v", cut, last)
				}
			}
			if e := onlyEvent[front.AttemptEnded](b); e.Status != want {
				t.Errorf("%s at reply byte %d: %d, want %d", cause, cut, e.Status, want)
			}
		}
	}
}

func (b *harness) lastRequest() (lastRequest *rtsp.Message) {
	for {
		m, _ := b.decoder.Next()
		if m == nil {
			return lastRequest
		}
		lastRequest = m
	}
}

func TestEndsUnsentSetupAsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		what func(*harness)
		want policy.Status
	}{
		"refused": {func(b *harness) { b.protocol.DialFailed(b.now, 1, b.conn) }, policy.NoConnect},
		"timeout": {func(b *harness) {
			b.protocol.Apply(b.now, front.Abandon{Session: 1, Server: 1, Cause: outcome.Expired})
		}, policy.NoConnect},
		"player left": {func(b *harness) {
			b.protocol.Apply(b.now, front.Abandon{Session: 1, Server: 1, Cause: outcome.Cancelled})
		}, policy.NotSent},
		"drain notice": {func(b *harness) { b.protocol.Apply(b.now, front.Withdraw{Server: 1}) }, policy.NotSent},
		"new process": {func(b *harness) {
			b.protocol.peers[1].processStartedAt = 1
			b.protocol.SetServers(b.now, serverOne(9, addr))
		}, policy.NoConnect},
	} {
		b := newHarness(t)
		b.setup(1)
		c.what(b)
		b.collect()
		if e := onlyEvent[front.AttemptEnded](b); e.Status != c.want {
			t.Errorf("%s: %d, want %d", name, e.Status, c.want)
		}
		b.connect()
		if len(b.written) > 0 {
			t.Errorf("%s: written although the attempt ended: %q", name, b.written)
		}
	}
}

func TestStatusOfRejectedSetup(t *testing.T) {
	for _, c := range []struct {
		setup, play int
		want        policy.Status
		torn        bool
	}{
		{453, 454, policy.Full, false}, {503, 454, policy.Full, false}, {500, 454, policy.Errored, false},
		{404, 454, policy.Errored, false}, {200, 453, policy.Errored, true}, {200, 500, policy.Errored, true},
	} {
		b := newHarness(t)
		b.setup(1)
		b.connect()
		b.reply((&rtsp.Message{Status: c.setup, CSeq: 2}).AddHeader("Session", "q"))
		b.reply(&rtsp.Message{Status: c.play, CSeq: 3})
		if e := onlyEvent[front.AttemptEnded](b); e.Status != c.want {
			t.Errorf("%d then %d: %d, want %d", c.setup, c.play, e.Status, c.want)
		}
		if torn := b.lastRequest().Method == rtsp.Teardown; torn != c.torn {
			t.Errorf("%d then %d: torn down %v", c.setup, c.play, torn)
		}
	}
}

func TestDropsReplyToAbandonedAttempt(t *testing.T) {
	b := newHarness(t)
	b.setup(1)
	b.connect()
	b.protocol.Apply(b.now, front.Abandon{Session: 1, Server: 1, Cause: outcome.Expired})
	b.collect()
	onlyEvent[front.AttemptEnded](b)
	b.reply((&rtsp.Message{Status: 200, CSeq: 2}).AddHeader("Session", "q"))
	b.reply(&rtsp.Message{Status: 200, CSeq: 3})
	b.reply(&rtsp.Message{Status: 455, CSeq: 4}) // the pipelined TEARDOWN was not understood
	if len(b.events) > 0 {
		t.Fatal(b.events)
	}
	if m := b.lastRequest(); m.Method != rtsp.Teardown || m.Session() != "q" {
		t.Fatalf("%+v", m)
	}
	if held, _ := b.protocol.Counts(); held != 0 {
		t.Fatal("the attempt is still held")
	}
}

func TestVerifiesStreamsAfterLostConnection(t *testing.T) {
	for name, c := range map[string]struct {
		after func(b *harness)
		lost  bool
	}{
		"still playing": {func(b *harness) {
			b.connect()
			b.reply(&rtsp.Message{Status: 200, CSeq: b.lastRequest().CSeq})
		}, false},
		"unknown": {func(b *harness) {
			b.connect()
			b.reply(&rtsp.Message{Status: 454, CSeq: b.lastRequest().CSeq})
		}, true},
		"unreachable": {func(b *harness) { b.protocol.DialFailed(b.now, 1, b.conn) }, true},
		"new process": {func(b *harness) {
			b.protocol.peers[1].processStartedAt = 1
			b.protocol.SetServers(b.now, serverOne(9, addr))
		}, true},
	} {
		b := newHarness(t)
		b.startStream(1)
		onlyEvent[front.AttemptStarted](b)
		dials := b.dials
		b.lost(b.protocol.peers[1].bytesSent)
		if b.dials != dials+1 || len(b.events) > 0 {
			t.Fatalf("%s: no new dial, or events %v", name, b.events)
		}
		c.after(b)
		b.collect()
		if c.lost {
			if e := onlyEvent[front.AttemptEnded](b); e.Status != policy.ConnReset {
				t.Errorf("%s: %v", name, e)
			}
		} else if len(b.events) > 0 || b.protocol.peers[1].streams[0].unverified {
			t.Errorf("%s: %v", name, b.events)
		}
	}
}

// TestTearsDownOrphanedStreamAfterReconnect guards against a stream left playing without a player: a set-up that was
// accepted may play although its PLAY was never answered. It is torn down by its session ID as soon as the server is
// connected again.
func TestTearsDownOrphanedStreamAfterReconnect(t *testing.T) {
	for name, lose := range map[string]func(b *harness){
		"lost after SETUP was accepted": func(b *harness) {},
		"abandoned, TEARDOWN unanswered": func(b *harness) {
			b.protocol.Apply(b.now, front.Abandon{Session: 1, Server: 1, Cause: outcome.Expired})
			b.collect()
		},
	} {
		b := newHarness(t)
		b.setup(1)
		b.connect()
		b.reply((&rtsp.Message{Status: 200, CSeq: 2}).AddHeader("Session", "q"))
		lose(b)
		b.lost(b.protocol.peers[1].bytesSent)
		onlyEvent[front.AttemptEnded](b)
		if b.dials != 2 {
			t.Fatalf("%s: %d dials", name, b.dials)
		}
		b.lastRequest()
		b.connect()
		if m := b.lastRequest(); m == nil || m.Method != rtsp.Teardown || m.Session() != "q" {
			t.Errorf("%s: %+v", name, m)
		}
	}
}

func TestClosesSilentConnection(t *testing.T) {
	b := newHarness(t)
	b.startStream(1)
	onlyEvent[front.AttemptStarted](b)
	b.now += 10 * policy.Second
	b.protocol.Tick(b.now)
	b.collect()
	if b.lastRequest().Method != rtsp.Options || b.closed {
		t.Fatal("no OPTIONS was sent on an idle connection")
	}
	b.now += 3 * policy.Second
	b.protocol.Tick(b.now)
	b.collect()
	if !b.closed {
		t.Fatal("the silent connection was not closed")
	}
}

func TestHandlesServerRequests(t *testing.T) {
	b := newHarness(t)
	id := b.startStream(1)
	onlyEvent[front.AttemptStarted](b)
	set := func(body string) {
		b.reply((&rtsp.Message{Method: rtsp.SetParameter, URI: "*", CSeq: 5, Body: []byte(body)}).
			AddHeader("Session", id))
	}
	set("share: 0.5\r\n")
	if n := onlyEvent[front.Note](b); n.Kind != policy.NoteShare || n.Value != 0.5 || n.Session != 1 {
		t.Fatal(n)
	}
	set("share: nonsense\r\n")
	b.reply(&rtsp.Message{Method: rtsp.Redirect, URI: "*", CSeq: 6})
	if r := onlyEvent[Redirected](b); r.Server != 1 {
		t.Fatal(r)
	}
	b.reply((&rtsp.Message{Method: rtsp.PlayNotify, URI: "*", CSeq: 7}).AddHeader("Session", id).
		AddHeader("Notify-Reason", "end-of-stream"))
	if e := onlyEvent[front.AttemptEnded](b); e.Status != policy.OK {
		t.Fatal(e)
	}
	b.reply(&rtsp.Message{Method: "ANNOUNCE", URI: "*", CSeq: 8})
	if m := b.lastRequest(); m.Status != rtsp.StatusNotImplemented || m.CSeq != 8 {
		t.Fatalf("%+v", m)
	}
}

func TestReportsEachProbeOnce(t *testing.T) {
	b := newHarness(t)
	b.protocol.Apply(b.now, front.Probe{Server: 1})
	b.collect()
	b.connect()
	b.reply(&rtsp.Message{Status: 200, CSeq: 2, Body: []byte("link: 1.5\r\nuplink: 0.1\r\n")})
	if p := onlyEvent[front.Probed](b); p.Status != policy.OK || p.Report[0] != 1.5 {
		t.Fatal(p)
	}
	b.protocol.Apply(b.now, front.Probe{Server: 1})
	b.now += policy.Second
	b.protocol.Tick(b.now)
	b.collect()
	if p := onlyEvent[front.Probed](b); p.Status != policy.TimedOut {
		t.Fatal(p)
	}
	b.reply(&rtsp.Message{Status: 200, CSeq: 3})
	if len(b.events) > 0 {
		t.Fatal("a late reply was reported as a second result")
	}
	b.protocol.Apply(b.now, front.Probe{Server: 9})
	b.collect()
	if p := onlyEvent[front.Probed](b); p.Status != policy.NoConnect {
		t.Fatal(p)
	}
}

// TestOnlyRaceWinnerCarriesSetups guards against set-ups on two connections: in a race of two addresses, whichever
// connection answers first carries all set-ups, and the other is closed without any.
func TestOnlyRaceWinnerCarriesSetups(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		b := newHarness(t)
		b.protocol.SetServers(b.now, serverOne(0, "a:1", "b:1"))
		b.setup(1)
		first := b.conn
		b.now += 100 * policy.Millisecond
		b.protocol.Tick(b.now)
		b.collect()
		second := b.conn
		if second == first {
			t.Fatal("the second address was not dialled")
		}
		b.protocol.Connected(b.now, 1, first)
		b.protocol.Connected(b.now, 1, second)
		b.collect()
		winner, loser := first, second
		if lateFirst {
			winner, loser = second, first
		}
		b.written = nil
		b.protocol.Received(b.now, 1, winner, &rtsp.Message{Status: 200, CSeq: 1})
		effects, _ := b.protocol.Take()
		setups, closed := 0, false
		for _, a := range effects {
			if len(a.Bytes) > 0 {
				setups += strings.Count(string(a.Bytes), "SETUP ")
				if a.Conn != winner {
					t.Error("bytes were written to the losing connection")
				}
			}
			closed = closed || a.Close && a.Conn == loser
		}
		if inBackoff := b.protocol.Addresses(1).Addresses[0].InBackoff(b.now); inBackoff != lateFirst {
			t.Errorf("first address, dialled with a head start, in backoff: %v", inBackoff)
		}
		if setups != 1 || !closed {
			t.Errorf("%d set-ups written, losing connection closed: %v", setups, closed)
		}
		b.protocol.Received(b.now, 1, loser, &rtsp.Message{Status: 200, CSeq: 1}) // its answer arrives late
		if effects, events := b.protocol.Take(); len(effects)+len(events) > 0 {
			t.Error("a late answer on the losing connection had effects:", effects, events)
		}
	}
}

func TestRechecksAddressAfterBackoffWithoutSetup(t *testing.T) {
	b := newHarness(t)
	b.protocol.SetServers(b.now, serverOne(0, "a:1", "b:1"))
	b.setup(1)
	b.protocol.DialFailed(b.now, 1, b.conn) // a refuses, b is dialled at once
	b.collect()
	b.connect()
	b.lastRequest()
	b.now += 1200 * policy.Millisecond
	dials := b.dials
	b.protocol.Tick(b.now)
	b.collect()
	if b.dials != dials+1 {
		t.Fatal("the address was not rechecked after its backoff")
	}
	b.written = nil
	b.protocol.Connected(b.now, 1, b.conn)
	b.collect()
	if text := string(b.written); strings.Count(text, "OPTIONS") != 1 || strings.Contains(text, "SETUP") {
		t.Fatalf("%q", text)
	}
	b.protocol.Received(b.now, 1, b.conn, &rtsp.Message{Status: 200, CSeq: 1})
	b.collect()
	if b.protocol.Addresses(1).Addresses[0].InBackoff(b.now) || b.protocol.peers[1].recheck != nil {
		t.Error("the address is still in backoff or the recheck did not end")
	}
}

func TestFailsSetupAtServerWithoutAddress(t *testing.T) {
	b := newHarness(t)
	b.protocol.SetServers(b.now, []Server{{ID: 1}})
	b.setup(1)
	if e := onlyEvent[front.AttemptEnded](b); e.Status != policy.NoConnect {
		t.Fatal(e)
	}
}

// TestKeepsPendingTeardownWhenNextConnectionFails guards against streams left playing at their server without a player.
// The exhaustive check found three ways; each is one case that states what happens to the connection that should
// carry the TEARDOWN.
func TestKeepsPendingTeardownWhenNextConnectionFails(t *testing.T) {
	for name, next := range map[string]func(b *harness){
		"the next connection fails": func(b *harness) { b.protocol.DialFailed(b.now, 1, b.conn) },
		"the next one carries the TEARDOWN and is lost": func(b *harness) {
			b.connect()
			b.nextRequest()
			b.lost(1 << 20)
			b.protocol.DialFailed(b.now, 1, b.conn)
		},
		"the stream was playing and its server is unreachable": func(b *harness) {
			b.protocol.DialFailed(b.now, 1, b.conn)
		},
	} {
		b := newHarness(t)
		id := b.startStream(5)
		if name != "the stream was playing and its server is unreachable" {
			b.protocol.Apply(b.now, front.Stop{Session: 5, Server: 1})
			b.collect()
			b.nextRequest()
		}
		b.lost(1 << 20)
		next(b)
		b.collect()
		if b.protocol.PendingTeardowns() != 1 {
			t.Errorf("%s: the teardown is not pending", name)
			continue
		}
		before := b.dials
		for range 40 { // dials are repeated, but not at once and not forever
			b.now += policy.Second / 4
			b.protocol.Tick(b.now)
			b.collect()
			if b.dials > before {
				break
			}
		}
		b.decoder = &rtsp.Decoder{}
		b.connect()
		if m := b.nextRequest(); m.Method != rtsp.Teardown || m.Session() != id {
			t.Errorf("%s: %+v", name, m)
		}
		if b.protocol.PendingTeardowns() != 0 {
			t.Errorf("%s: torn down and still pending", name)
		}
	}
	b := newHarness(t)
	b.startStream(5)
	b.lost(1 << 20)
	b.protocol.DialFailed(b.now, 1, b.conn)
	for range 300 { // an unreachable server ends the stream by its own timeout
		b.now += policy.Second / 4
		b.protocol.Tick(b.now)
		b.collect()
		b.protocol.DialFailed(b.now, 1, b.conn)
	}
	if b.protocol.PendingTeardowns() != 0 || b.dials > 25 {
		t.Errorf("%d teardowns pending, %d dials in 75 s", b.protocol.PendingTeardowns(), b.dials)
	}
}

// TestVerifiesRestoredStream guards against streams from before a restart that are lost or left playing. A restored
// stream is verified: it is kept if its server knows it, and ended otherwise. An orphaned stream is torn down.
func TestVerifiesRestoredStream(t *testing.T) {
	for status, ended := range map[int]int{200: 0, 454: 1} {
		b := newHarness(t)
		if !b.protocol.Restore(b.now, front.Setup{Session: 5, Attempt: 2, Server: 1, Title: 7, Rung: 2}, "old") ||
			b.protocol.Restore(b.now, front.Setup{Session: 6, Server: 9}, "x") {
			t.Fatal("Restore failed, or succeeded for an unknown server")
		}
		b.collect()
		b.connect()
		m := b.nextRequest()
		if m.Method != rtsp.GetParameter || m.Session() != "old" {
			t.Fatalf("%+v", m)
		}
		b.reply(&rtsp.Message{Status: status, CSeq: m.CSeq})
		if got := len(b.events); got != ended {
			t.Errorf("%d: %+v", status, b.events)
		}
		if status == 200 {
			b.nextRequest() // its rung
			b.protocol.Apply(b.now, front.Stop{Session: 5, Attempt: 2, Server: 1})
			b.collect()
			if m := b.nextRequest(); m.Method != rtsp.Teardown || m.Session() != "old" {
				t.Errorf("%+v", m)
			}
		}
	}
	b := newHarness(t)
	b.protocol.TearDownOrphan(b.now, 1, "gone")
	b.protocol.TearDownOrphan(b.now, 9, "of an unknown server")
	b.collect()
	b.connect()
	if m := b.nextRequest(); m.Method != rtsp.Teardown || m.Session() != "gone" {
		t.Errorf("%+v", m)
	}
}

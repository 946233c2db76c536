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

package rtspclient

import (
	"strings"
	"testing"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

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

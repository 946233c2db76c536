package node

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// scriptedServer plays a server that calls a script for each set-up.
type scriptedServer struct {
	listener net.Listener
	script   func(c net.Conn, session uint64)
	mu       sync.Mutex
	setUps   int
	done     sync.WaitGroup
}

// newScriptedServer starts a server that stops accepting at the end of the test.
func newScriptedServer(t *testing.T, script func(c net.Conn, session uint64)) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: ln, script: script}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.done.Add(1)
			go s.serve(c)
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return s
}

// serve reads a connection until it closes and runs the script for each set-up.
func (s *scriptedServer) serve(c net.Conn) {
	defer s.done.Done()
	defer c.Close()
	var decoder wire.Decoder
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		decoder.Feed(b[:n])
		for m, err := decoder.Next(); m != nil && err == nil; m, err = decoder.Next() {
			if m.Type == wire.SetUp {
				s.mu.Lock()
				s.setUps++
				s.mu.Unlock()
				s.script(c, m.Session)
			}
		}
	}
}

// setUpCount returns the number of set-ups received.
func (s *scriptedServer) setUpCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setUps
}

// encoded returns the bytes of a message.
func encoded(m *wire.Message) []byte { b, _ := m.Append(nil); return b }

// readyMessage returns a valid answer to a set-up.
func readyMessage(session uint64) []byte {
	return encoded((&wire.Message{Type: wire.Ready, Session: session}).Add(wire.ParamText, "by a script\r\n"))
}

// rawMessage returns a message with the given claimed length, type and body.
func rawMessage(length int, kind byte, session uint64, body ...byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(length))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint64(b, session)
	return append(b, body...)
}

// Each kind of unusable answer to a set-up. A paid request whose set-up may have run is failed, and neither refused
// nor sent again; a safe one is served elsewhere. Sessions and requests of other servers go on.
func TestOutcomeOfEachMalformedServerReply(t *testing.T) {
	writeRepeatedly := func(c net.Conn, b []byte, total int) { // until total bytes are written or the write fails
		c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		for n := 0; n < total; n += len(b) {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}
	type script = func(c net.Conn, session uint64)
	for name, test := range map[string]struct {
		script   script
		wantPaid string // outcome of a paid request
	}{
		"noise":         {func(c net.Conn, s uint64) { c.Write(bytes.Repeat([]byte{0xfe, 0x01}, 40)) }, "failed"},
		"endless noise": {func(c net.Conn, s uint64) { writeRepeatedly(c, bytes.Repeat([]byte{0xfe}, 64<<10), 16<<20) }, "failed"},
		"length above the maximum": {func(c net.Conn, s uint64) {
			writeRepeatedly(c, rawMessage(0xffff, byte(wire.Ready), s, bytes.Repeat([]byte{7}, 60<<10)...), 8<<20)
		}, "failed"},
		"length below the minimum": {func(c net.Conn, s uint64) { c.Write(rawMessage(3, byte(wire.Ready), s)) }, "failed"},
		"unknown type":             {func(c net.Conn, s uint64) { c.Write(rawMessage(9, 200, s)) }, "failed"},
		"parameter exceeds the message": {func(c net.Conn, s uint64) {
			c.Write(rawMessage(14, byte(wire.Ready), s, wire.ParamText, 0x3f, 0xff, 'x', 'y'))
		}, "failed"},
		"cause of two bytes": {func(c net.Conn, s uint64) {
			c.Write(rawMessage(14, byte(wire.Release), s, wire.ParamCause, 0, 2, 34, 34))
		}, "failed"},
		"no description": {func(c net.Conn, s uint64) { c.Write(encoded(&wire.Message{Type: wire.Ready, Session: s})) }, "failed"},
		"description is not UTF-8": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Ready, Session: s}).Add(wire.ParamText, "\xff\xfe")))
		}, "failed"},
		"closed in mid-answer":   {func(c net.Conn, s uint64) { c.Write(readyMessage(s)[:12]); c.Close() }, "failed"},
		"connection reset":       {func(c net.Conn, s uint64) { c.(*net.TCPConn).SetLinger(0); c.Close() }, "failed"},
		"incomplete answer":      {func(c net.Conn, s uint64) { c.Write(readyMessage(s)[:12]) }, "failed"},
		"no answer":              {func(c net.Conn, s uint64) {}, "failed"},
		"byte by byte, too slow": {func(c net.Conn, s uint64) { go drip(c, readyMessage(s)) }, "failed"},
		"endless progress": {func(c net.Conn, s uint64) {
			go writeRepeatedly(c, bytes.Repeat(encoded(&wire.Message{Type: wire.Trying, Session: s}), 100), 4<<20)
		}, "failed"},
		"error": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Release, Session: s}).AddCause(wire.CauseError)))
		}, "failed"},
		"full": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Release, Session: s}).AddCause(wire.CauseFull)))
		}, "ready"},
		"not run": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Release, Session: s}).AddCause(wire.CauseNotRun)))
		}, "ready"},
		"answer for another session first": {func(c net.Conn, s uint64) { c.Write(append(readyMessage(s^1<<40), readyMessage(s)...)) }, "ready"},
		"answer sent twice":                {func(c net.Conn, s uint64) { c.Write(append(readyMessage(s), readyMessage(s)...)) }, "ready"},
		"answer sent again later": {func(c net.Conn, s uint64) {
			c.Write(readyMessage(s))
			time.AfterFunc(20*time.Millisecond, func() { c.Write(readyMessage(s)) })
		}, "ready"},
	} {
		for _, class := range []string{"safe", "paid"} {
			t.Run(class+", "+name, func(t *testing.T) {
				t.Parallel()
				x := newTestFrontWith(t, 1024, strings.Replace(settingsJSON, `"positions":3`, `"positions":100`, 1))
				v := x.viewer()
				playing, l := x.open(v, "safe") // on a server that holds another title
				if l.Msg != "ready" {
					t.Fatalf("%+v", l)
				}
				scripted := newScriptedServer(t, test.script)
				good, err := platformsim.NewServer(x.world, 10)
				if err != nil {
					t.Fatal(err)
				}
				x.journal.AddHosts(false, wire.Host{Name: "scripted", Address: scripted.listener.Addr().String(), Zone: "z", Kind: "k",
					Cell: 50, Health: wire.HostReady, Share: 10},
					wire.Host{Name: good.Name(), Address: good.Addr(), Zone: "z", Kind: "k", Cell: 50,
						Health: wire.HostReady, Share: 10})
				x.waitFor("listed", func() bool { s := x.snapshot(); return s.Ready == 5 && s.Held == 1 })
				for n := 0; n < 60 && scripted.setUpCount() == 0; n++ { // the module may pick either of the two
					sid := x.newID()
					v.Write(strings.Replace(strings.Replace(platformsim.OpenLine(sid, class, 1500*time.Millisecond, ""),
						"home:0;copies:3", "home:50;copies:1", 1), "top:2", "top:0", 1))
					l := x.lineFor(v, sid)
					got := l.Msg
					if l.Msg == wire.LineClose {
						got = map[bool]string{true: "refused", false: "failed"}[l.Code == wire.CauseRefused]
					}
					if want := map[string]string{"safe": "ready", "paid": test.wantPaid}[class]; scripted.setUpCount() > 0 && got != want {
						t.Errorf("outcome %s, want %s", got, want)
					}
					if got == "ready" {
						v.Cancel(sid)
					}
					x.waitFor("session ended", func() bool { return x.snapshot().Held == 1 })
				}
				if n := scripted.setUpCount(); n != 1 {
					t.Errorf("the scripted server received %d set-ups, want 1", n)
				}
				if s := x.snapshot(); s.Links > 8 || s.Faults != 0 || s.Open != 0 {
					t.Errorf("connections, faults or requests left: %+v", s)
				}
				x.serverOf(playing).EndSession(playing, 16)
				if l := x.lineFor(v, playing); l.Msg != "close" || l.Code != 16 {
					t.Errorf("end of the session on another server: %+v", l)
				}
				v.Close()
				x.stopAll(good)
			})
		}
	}
}

// drip writes bytes one by one, slower than the deadline of any request allows.
func drip(c net.Conn, b []byte) {
	for i := range b {
		if _, err := c.Write(b[i : i+1]); err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

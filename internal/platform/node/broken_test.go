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

// peer plays a server by a script: what it answers to a set-up, over and over where it has more to say.
type peer struct {
	ln     net.Listener
	script func(c net.Conn, session uint64)
	mu     sync.Mutex
	setUps int
	done   sync.WaitGroup
}

func newPeer(t *testing.T, script func(c net.Conn, session uint64)) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{ln: ln, script: script}
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.done.Add(1)
			go p.serve(c)
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return p
}

func (p *peer) serve(c net.Conn) {
	defer p.done.Done()
	defer c.Close()
	var dec wire.Decoder
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		dec.Feed(b[:n])
		for m, err := dec.Next(); m != nil && err == nil; m, err = dec.Next() {
			if m.Type == wire.SetUp {
				p.mu.Lock()
				p.setUps++
				p.mu.Unlock()
				p.script(c, m.Session)
			}
		}
	}
}

func (p *peer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.setUps
}

func encoded(m *wire.Message) []byte { b, _ := m.Append(nil); return b }

func readyTo(session uint64) []byte {
	return encoded((&wire.Message{Type: wire.Ready, Session: session}).Add(wire.ParamText, "by a script\r\n"))
}

// raw gives a message whose claimed length, type and body are as wanted.
func rawMessage(length int, kind byte, session uint64, body ...byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(length))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint64(b, session)
	return append(b, body...)
}

// Each kind of answer that can't be used, by what it proves of its set-up: a paid one that may have run is failed, and neither
// refused nor sent again; a safe one is served elsewhere; sessions and requests of other servers go on.
func TestEachBrokenAnswer(t *testing.T) {
	pour := func(c net.Conn, b []byte, total int) { // goes on and on, as long as anybody reads
		c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		for n := 0; n < total; n += len(b) {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}
	type script = func(c net.Conn, session uint64)
	for name, k := range map[string]struct {
		script script
		paid   string // what a paid request is told
	}{
		"noise":             {func(c net.Conn, s uint64) { c.Write(bytes.Repeat([]byte{0xfe, 0x01}, 40)) }, "failed"},
		"noise without end": {func(c net.Conn, s uint64) { pour(c, bytes.Repeat([]byte{0xfe}, 64<<10), 16<<20) }, "failed"},
		"a length over all": {func(c net.Conn, s uint64) {
			pour(c, rawMessage(0xffff, byte(wire.Ready), s, bytes.Repeat([]byte{7}, 60<<10)...), 8<<20)
		}, "failed"},
		"a length under all": {func(c net.Conn, s uint64) { c.Write(rawMessage(3, byte(wire.Ready), s)) }, "failed"},
		"an unknown type":    {func(c net.Conn, s uint64) { c.Write(rawMessage(9, 200, s)) }, "failed"},
		"a parameter too long": {func(c net.Conn, s uint64) {
			c.Write(rawMessage(14, byte(wire.Ready), s, wire.ParamText, 0x3f, 0xff, 'x', 'y'))
		}, "failed"},
		"a cause of two bytes": {func(c net.Conn, s uint64) {
			c.Write(rawMessage(14, byte(wire.Release), s, wire.ParamCause, 0, 2, 34, 34))
		}, "failed"},
		"no description": {func(c net.Conn, s uint64) { c.Write(encoded(&wire.Message{Type: wire.Ready, Session: s})) }, "failed"},
		"a description not UTF-8": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Ready, Session: s}).Add(wire.ParamText, "\xff\xfe")))
		}, "failed"},
		"broken off":            {func(c net.Conn, s uint64) { c.Write(readyTo(s)[:12]); c.Close() }, "failed"},
		"reset under it":        {func(c net.Conn, s uint64) { c.(*net.TCPConn).SetLinger(0); c.Close() }, "failed"},
		"stops short":           {func(c net.Conn, s uint64) { c.Write(readyTo(s)[:12]) }, "failed"},
		"never comes":           {func(c net.Conn, s uint64) {}, "failed"},
		"half a byte at a time": {func(c net.Conn, s uint64) { go drip(c, readyTo(s)) }, "failed"},
		"progress without end": {func(c net.Conn, s uint64) {
			go pour(c, bytes.Repeat(encoded(&wire.Message{Type: wire.Trying, Session: s}), 100), 4<<20)
		}, "failed"},
		"an error": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Release, Session: s}).AddCause(wire.CauseError)))
		}, "failed"},
		"full": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Release, Session: s}).AddCause(wire.CauseFull)))
		}, "ready"},
		"moot": {func(c net.Conn, s uint64) {
			c.Write(encoded((&wire.Message{Type: wire.Release, Session: s}).AddCause(wire.CauseMoot)))
		}, "ready"},
		"another's answer first": {func(c net.Conn, s uint64) { c.Write(append(readyTo(s^1<<40), readyTo(s)...)) }, "ready"},
		"a second copy":          {func(c net.Conn, s uint64) { c.Write(append(readyTo(s), readyTo(s)...)) }, "ready"},
		"a second copy later": {func(c net.Conn, s uint64) {
			c.Write(readyTo(s))
			time.AfterFunc(20*time.Millisecond, func() { c.Write(readyTo(s)) })
		}, "ready"},
	} {
		for _, class := range []string{"safe", "paid"} {
			t.Run(class+", "+name, func(t *testing.T) {
				t.Parallel()
				x := newSiteWith(t, 1024, strings.Replace(settingsJSON, `"positions":3`, `"positions":100`, 1))
				v := x.viewer()
				standing, l := x.opens(v, "safe") // at a server that holds another title
				if l.Msg != "ready" {
					t.Fatalf("%+v", l)
				}
				p := newPeer(t, k.script)
				good, err := platformsim.NewServer(x.w, 10)
				if err != nil {
					t.Fatal(err)
				}
				x.journal.List(false, wire.Host{Name: "scripted", Dial: p.ln.Addr().String(), Zone: "z", Kind: "k", Cell: 50, Health: wire.HostReady, Share: 10},
					wire.Host{Name: good.Name(), Dial: good.Addr(), Zone: "z", Kind: "k", Cell: 50, Health: wire.HostReady, Share: 10})
				x.until("listed", func() bool { s := x.look(); return s.Ready == 5 && s.Held == 1 })
				for n := 0; n < 60 && p.count() == 0; n++ { // either of the two, by chance
					sid := x.id()
					v.Write(strings.Replace(strings.Replace(platformsim.Form(sid, class, 1500*time.Millisecond, ""), "home:0;copies:3", "home:50;copies:1", 1), "top:2", "top:0", 1))
					l := x.line(v, sid)
					told := l.Msg
					if l.Msg == wire.LineClose {
						told = map[bool]string{true: "refused", false: "failed"}[l.Code == wire.CauseRefused]
					}
					if want := map[string]string{"safe": "ready", "paid": k.paid}[class]; p.count() > 0 && told != want {
						t.Errorf("told %s, want %s", told, want)
					}
					if told == "ready" {
						v.GiveUp(sid)
					}
					x.until("over", func() bool { return x.look().Held == 1 })
				}
				if n := p.count(); n != 1 {
					t.Errorf("%d set-ups came to the script", n)
				}
				if s := x.look(); s.Links > 8 || s.Faults != 0 || s.Open != 0 {
					t.Errorf("left: %+v", s)
				}
				x.at(standing).End(standing, 16)
				if l := x.line(v, standing); l.Msg != "close" || l.Code != 16 {
					t.Errorf("the session that stood elsewhere: %+v", l)
				}
				v.Close()
				x.quit(good)
			})
		}
	}
}

// drip writes bytes one by one, slower than any answer comes.
func drip(c net.Conn, b []byte) {
	for i := range b {
		if _, err := c.Write(b[i : i+1]); err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

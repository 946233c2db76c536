package wsock

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"github.com/gobwas/ws"
)

const hello = "GET /v1/sessions HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
	"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"

// opened returns a connection whose handshake is done.
func opened(t *testing.T) *Conn {
	t.Helper()
	c := New("/v1/sessions", 1000)
	c.Feed([]byte(hello))
	if !c.HandshakeDone() || !strings.Contains(string(c.Out), "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=") {
		t.Fatalf("%q", c.Out)
	}
	c.Out = nil
	return c
}

// masked returns a masked frame, the form in which clients send them.
func masked(fin bool, op ws.OpCode, data string) []byte {
	f := ws.MaskFrame(ws.NewFrame(op, fin, []byte(data)))
	return ws.MustCompileFrame(f)
}

func TestRejectsInvalidHandshakes(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"wrong version": {"Version: 13", "Version: 8", "426 Upgrade Required\r\nSec-WebSocket-Version: 13"},
		"wrong path":    {"/v1/sessions", "/other", "404"},
		"post":          {"GET", "POST", "405"},
		"no upgrade":    {"Upgrade: websocket\r\n", "", "400"},
		"no key":        {"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n", "", "400"},
		"http 1.0":      {"HTTP/1.1", "HTTP/1.0", "505"},
		"too large":     {"Host: x", "Host: " + strings.Repeat("x", MaxHandshakeBytes), "431"},
		"not http":      {"GET /v1/sessions HTTP/1.1", "nonsense", "400"},
	} {
		conn := New("/v1/sessions", 1000)
		conn.Feed([]byte(strings.Replace(hello, c.from, c.to, 1)))
		if conn.HandshakeDone() || !conn.Closed() || !strings.HasPrefix(string(conn.Out), "HTTP/1.1 "+c.want) {
			t.Errorf("%s: %q", name, conn.Out)
		}
	}
	endless := New("/", 10)
	endless.Feed(bytes.Repeat([]byte("x"), MaxHandshakeBytes+1))
	if !endless.Closed() {
		t.Error("a handshake without an end was not rejected")
	}
}

func TestInputSplitAtAnyByte(t *testing.T) {
	stream := append([]byte(hello), masked(true, ws.OpText, "whole")...)
	stream = append(stream, masked(false, ws.OpText, "in ")...)
	stream = append(stream, masked(true, ws.OpPing, "p")...)
	stream = append(stream, masked(true, ws.OpContinuation, "parts é")...)
	for step := 1; step < len(stream); step++ {
		c := New("/v1/sessions", 1000)
		var texts []string
		for rest := stream; len(rest) > 0; {
			n := min(step, len(rest))
			for _, in := range c.Feed(rest[:n]) {
				if in.Kind == Text {
					texts = append(texts, string(in.Data))
				}
			}
			rest = rest[n:]
		}
		if strings.Join(texts, "|") != "whole|in parts é" ||
			!bytes.HasSuffix(c.Out, []byte("\x8a\x01p")) || c.buf != nil {
			t.Fatalf("step %d: %q, out %q", step, texts, c.Out)
		}
	}
}

// Each case names the section of RFC 6455 that requires its close code.
func TestClosesConnectionWithCode(t *testing.T) {
	long := make([]byte, 8)
	binary.BigEndian.PutUint64(long, 1<<62)
	for name, c := range map[string]struct {
		in   []byte
		code uint16
	}{
		"5.1 unmasked":                   {AppendFrame(nil, ws.OpText, []byte("x")), CloseProtocol},
		"5.2 reserved bit":               {append([]byte{0xc1}, masked(true, ws.OpText, "x")[1:]...), CloseProtocol},
		"5.2 reserved opcode":            {masked(true, 3, "x"), CloseProtocol},
		"5.2 length not shortest":        {[]byte{0x81, 0x80 | 126, 0, 1, 0, 0, 0, 0, 'x'}, CloseProtocol},
		"5.4 continuation without start": {masked(true, ws.OpContinuation, "x"), CloseProtocol},
		"5.4 text within a message":      {append(masked(false, ws.OpText, "x"), masked(true, ws.OpText, "y")...), CloseProtocol},
		"5.5 fragmented ping":            {masked(false, ws.OpPing, "x"), CloseProtocol},
		"5.5 ping too long":              {masked(true, ws.OpPing, strings.Repeat("x", 126)), CloseProtocol},
		"5.5.1 close of one byte":        {masked(true, ws.OpClose, "x"), CloseProtocol},
		"5.5.1 close with code 1005":     {masked(true, ws.OpClose, "\x03\xed"), CloseProtocol},
		"7.1.5 close is answered":        {masked(true, ws.OpClose, "\x03\xe8bye"), CloseNormal},
		"7.1.5 empty close":              {masked(true, ws.OpClose, ""), CloseNormal},
		"7.4.1 binary":                   {masked(true, ws.OpBinary, "x"), CloseUnsupported},
		"8.1 bad UTF-8":                  {masked(true, ws.OpText, "\xff"), CloseInvalidData},
		"10.4 too big":                   {masked(true, ws.OpText, strings.Repeat("x", 1001)), CloseTooBig},
		"10.4 too big in parts": {append(masked(false, ws.OpText, strings.Repeat("x", 600)),
			masked(true, ws.OpContinuation, strings.Repeat("x", 600))...), CloseTooBig},
		"10.4 a length of many bytes":  {append(append([]byte{0x81, 0xff}, long...), 0, 0, 0, 0), CloseTooBig},
		"10.4 length with the top bit": {[]byte{0x81, 0xff, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, CloseProtocol},
	} {
		conn := opened(t)
		conn.Feed(c.in)
		if !conn.Closed() || len(conn.Out) < 4 || conn.Out[0] != 0x88 ||
			binary.BigEndian.Uint16(conn.Out[2:]) != c.code {
			t.Errorf("%s: closed %v, %q", name, conn.Closed(), conn.Out)
		}
		if list := conn.Feed(masked(true, ws.OpText, "x")); list != nil {
			t.Errorf("%s: input after the close was processed", name)
		}
	}
}

func FuzzFeed(f *testing.F) {
	f.Add(masked(true, ws.OpText, "hello"), 2)
	f.Add([]byte{0x81, 0xfe, 0, 1}, 1)
	f.Fuzz(func(t *testing.T, in []byte, step int) {
		c := New("/v1/sessions", 64)
		c.Feed([]byte(hello))
		for step = max(step, 1); len(in) > 0; {
			n := min(step, len(in))
			for _, m := range c.Feed(in[:n]) {
				if len(m.Data) > 64 {
					t.Fatal("a message exceeds the limit")
				}
			}
			in = in[n:]
			if len(c.buf) > 64+14+step || len(c.message) > 64 {
				t.Fatal("the buffers exceed their limits")
			}
		}
	})
}

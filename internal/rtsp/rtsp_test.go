package rtsp

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

const messageStream = "SETUP rtsp://m1/guide-7/r2 RTSP/2.0\r\nCSeq: 7\r\nPipelined-Requests: 41\r\nTransport: RTP/AVP\r\n\r\n" +
	"\r\nRTSP/2.0 200 OK\r\nCSeq: 7\r\nSession: ab12;timeout=4\r\nContent-Length: 12\r\n\r\nlink: 0.25\r\n" +
	"RTSP/2.0 453 Not Enough Bandwidth\r\ncseq: 8\r\n\r\n"

// all returns the complete messages of a decoder.
func all(t *testing.T, d *Decoder) (out []*Message) {
	t.Helper()
	for {
		m, err := d.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m == nil {
			return out
		}
		out = append(out, m)
	}
}

func TestInputSplitAtAnyByte(t *testing.T) {
	whole := &Decoder{}
	whole.Feed([]byte(messageStream))
	want := all(t, whole)
	if len(want) != 3 || want[1].Session() != "ab12" || string(want[1].Body) != "link: 0.25\r\n" || want[2].CSeq != 8 {
		t.Fatalf("%+v", want)
	}
	for step := 1; step < len(messageStream); step++ {
		d := &Decoder{}
		var got []*Message
		for rest := messageStream; rest != ""; {
			n := min(step, len(rest))
			d.Feed([]byte(rest[:n]))
			rest = rest[n:]
			got = append(got, all(t, d)...)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("pieces of %d bytes: %+v", step, got)
		}
		if d.Buffered() != 0 {
			t.Fatalf("pieces of %d bytes: %d bytes are left", step, d.Buffered())
		}
	}
}

func TestDecodesEncodedMessages(t *testing.T) {
	for _, m := range []*Message{
		{Method: Play, URI: "rtsp://m1/x", CSeq: 9, Headers: []Header{{"Session", "q"}}, Body: []byte("a: b\r\n")},
		{Status: 503, Reason: "Service Unavailable", CSeq: 1},
	} {
		d := &Decoder{}
		d.Feed(m.Append(nil))
		got, err := d.Next()
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v, %v, want %+v", got, err, m)
		}
	}
}

func TestLineBreaksInValuesInjectNoMessage(t *testing.T) {
	m := (&Message{Method: Setup, URI: "rtsp://a/b\r\nEvil: 1", CSeq: 1}).AddHeader("X", "y\r\n\r\nTEARDOWN * RTSP/2.0")
	if text := string(m.Append(nil)); strings.Count(text, "\r\n") != 4 {
		t.Fatalf("%q", text)
	}
}

func TestRejectsInvalidInput(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want error
	}{
		"old version":         {"PLAY rtsp://a RTSP/1.0\r\nCSeq: 1\r\n\r\n", ErrMalformed},
		"http":                {"GET / HTTP/1.1\r\nCSeq: 1\r\n\r\n", ErrMalformed},
		"no cseq":             {"PLAY rtsp://a RTSP/2.0\r\n\r\n", ErrMalformed},
		"two cseqs":           {"PLAY rtsp://a RTSP/2.0\r\nCSeq: 1\r\nCSeq: 2\r\n\r\n", ErrMalformed},
		"cseq past 32 bits":   {"PLAY rtsp://a RTSP/2.0\r\nCSeq: 4294967296\r\n\r\n", ErrMalformed},
		"no colon":            {"PLAY rtsp://a RTSP/2.0\r\nCSeq 1\r\n\r\n", ErrMalformed},
		"status not a number": {"RTSP/2.0 abc\r\nCSeq: 1\r\n\r\n", ErrMalformed},
		"interleaved":         {"$\x00\x00\x04abcd", ErrMalformed},
		"negative length":     {"PLAY rtsp://a RTSP/2.0\r\nCSeq: 1\r\nContent-Length: -1\r\n\r\n", ErrMalformed},
		"body too long":       {"PLAY rtsp://a RTSP/2.0\r\nCSeq: 1\r\nContent-Length: 65537\r\n\r\n", ErrTooLarge},
		"endless headers":     {"PLAY rtsp://a RTSP/2.0\r\nX: " + strings.Repeat("y", MaxHeadBytes), ErrTooLarge},
		"many headers":        {"PLAY rtsp://a RTSP/2.0\r\n" + strings.Repeat("X: y\r\n", MaxHeaders+1) + "CSeq: 1\r\n\r\n", ErrTooLarge},
	} {
		d := &Decoder{}
		d.Feed([]byte(c.in))
		if _, err := d.Next(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		d.Feed([]byte(messageStream))
		if m, err := d.Next(); m != nil || err == nil {
			t.Errorf("%s: a message was decoded after an error", name)
		}
	}
}

func TestParsesParams(t *testing.T) {
	p := ParseParams([]byte("link: 0.5\r\nuplink:1.25\nnoise\r\nbad: x\r\nless: -1\r\n"))
	if v, ok := NumberParam(p, "uplink"); !ok || v != 1.25 {
		t.Error(v, ok)
	}
	for _, name := range []string{"bad", "less", "none"} {
		if _, ok := NumberParam(p, name); ok {
			t.Error(name, "was accepted")
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte(messageStream), 3)
	f.Add([]byte("$\x00"), 1)
	f.Fuzz(func(t *testing.T, in []byte, step int) {
		step = max(1, step)
		d := &Decoder{}
		for len(in) > 0 {
			n := min(step, len(in))
			d.Feed(in[:n])
			in = in[n:]
			for {
				m, err := d.Next()
				if err != nil || m == nil {
					break
				}
				again := &Decoder{}
				again.Feed(m.Append(nil))
				if b, err := again.Next(); err != nil || b == nil || b.CSeq != m.CSeq ||
					b.Method != m.Method || b.Status != m.Status {
					t.Fatalf("%+v was encoded and decoded as %+v, %v", m, b, err)
				}
			}
			if d.Buffered() > MaxHeadBytes+MaxBodyBytes+step+4 {
				t.Fatal("the buffer exceeds its limit")
			}
		}
	})
}

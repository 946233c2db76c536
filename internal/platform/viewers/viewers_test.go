package viewers

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// testHost is the address of the clients' host.
var testHost = netip.MustParseAddr("192.0.2.1")

const (
	start = 1000 * policy.Second
	ms    = policy.Millisecond
)

// rig plays the shell and the core.
type rig struct {
	t       *testing.T
	p       *Protocol
	now     Time
	written map[uint64][]wire.Line
	closed  map[uint64]bool
	events  []front.Event
	inUse   map[uint64]bool // ids that the core still uses
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: start, written: map[uint64][]wire.Line{}, closed: map[uint64]bool{}, inUse: map[uint64]bool{}}
	r.p = New(Config{Settings: policy.Settings{Cells: 12, RetryAfter: true, MaxRetryAfter: policy.Second},
		Classes:         []string{"live", "paid"},
		ServerID:        func(name string) (uint32, bool) { return 7, name == "s-7" },
		MaxOpenRequests: 3, SilentTimeout: 2 * policy.Second, PartialLineTimeout: 2 * policy.Second,
		IdleTimeout: 6 * policy.Second})
	r.p.SetMaxConns(4)
	r.accept(1)
	return r
}

func (r *rig) take() {
	effects, events := r.p.Take()
	for _, a := range effects {
		for _, b := range strings.SplitAfter(string(a.Bytes), "\n") {
			if b == "" {
				continue
			}
			l, _ := wire.ParseLine([]byte(strings.TrimSuffix(b, "\n"))) // an error reply without a session has no id
			r.written[a.Conn] = append(r.written[a.Conn], l)
		}
		if a.Close {
			r.closed[a.Conn] = true
		}
	}
	r.events = append(r.events, events...)
}

func (r *rig) accept(conn uint64) { r.p.Accepted(r.now, conn, testHost); r.take() }

func (r *rig) clientSends(conn uint64, lines ...string) {
	var list []Input
	for _, text := range lines {
		var in Input
		in.Line, in.Err = wire.ParseLine([]byte(text))
		list = append(list, in)
	}
	r.p.Received(r.now, r.now, conn, list, nil, 0, func(id uint64) bool { return r.inUse[id] })
	r.take()
}

func (r *rig) do(e front.Effect) bool {
	ok := r.p.Apply(r.now, e)
	r.take()
	return ok
}

func (r *rig) advance(d Time) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * ms
		r.p.Tick(r.now)
		r.take()
	}
}

const validAttrs = `"class":"paid","left":"1500","key":"7f3a9c21e0b4d655","hint":"8200.0","extras":"home:4;copies:3;top:4;viewer:00000000b4d65521;again:1"`

func openLine(sid uint64, attrs string) string {
	return fmt.Sprintf(`{"msg":"open","sid":"%016x","attrs":{%s},"text":"who\r\n"}`, sid, attrs)
}

func closeLine(sid uint64) string {
	return fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`, sid)
}

// establish establishes a session.
func (r *rig) establish(conn, sid uint64) {
	r.clientSends(conn, openLine(sid, validAttrs))
	r.do(front.Plays{Session: sid, Text: "mine"})
	r.events = nil
}

// Guards against a second answer to a request that its client gives up while the refusal is on its way: its id had been
// displaced by the requests that another client takes back at once.
func TestGivenUpRequestGetsNoSecondAnswerBesideFlood(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, openLine(5, validAttrs))
	r.do(front.Refused{Session: 5})
	r.accept(2)
	for sid := uint64(100); sid < 100+maxRecent; sid++ {
		r.clientSends(2, openLine(sid, validAttrs), closeLine(sid))
		if l := r.lastLine(2); l.Msg != wire.LineClosed || l.Sid != sid {
			t.Fatalf("a request that was taken back got %+v", l)
		}
	}
	r.clientSends(1, closeLine(5))
	if l := r.lastLine(1); l.Msg != wire.LineClosed {
		t.Errorf("a second answer: %+v", l)
	}
}

// lastLine returns the last line written on a connection.
func (r *rig) lastLine(conn uint64) wire.Line {
	if list := r.written[conn]; len(list) > 0 {
		return list[len(list)-1]
	}
	return wire.Line{}
}

func TestParsesRequest(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, openLine(5, validAttrs))
	want := front.Request{Player: 1, ReadAt: start, Timeout: 1500 * ms, Title: 0x7f3a9c21e0b4d655, Home: 4, Copies: 3,
		Name:  "7f3a9c21e0b4d655",
		Class: 1, Viewer: 0xb4d65521, Top: 4, Length: 8200 * ms, Hinted: true, Again: true, ID: 5, Text: "who\r\n"}
	if !reflect.DeepEqual(r.events, []front.Event{want}) {
		t.Fatalf("%+v", r.events)
	}
	r.clientSends(1, openLine(6, `"class":"live","left":300,"key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0;new:thing"`))
	if a := r.events[1].(front.Request); a.Hinted || a.Again || a.Timeout != 300*ms {
		t.Errorf("%+v", a)
	}
	r.clientSends(1, openLine(7, strings.Replace(strings.Replace(validAttrs, "again:1", "at:s-7", 1),
		`"1500"`, `"0"`, 1)))
	if a, ok := r.events[2].(front.Restore); !ok || a.ID != 7 || a.Server != 7 || !a.HeldByPlayer {
		t.Errorf("%+v", r.events[2])
	}
	if len(r.written[1]) != 0 {
		t.Error("unexpected reply:", r.written[1])
	}
}

func TestReplies(t *testing.T) {
	r := newRig(t)
	for sid := uint64(5); sid < 8; sid++ {
		r.clientSends(1, openLine(sid, validAttrs))
	}
	if !r.do(front.Plays{Session: 5, Text: "mine"}) {
		t.Fatal("answer not sent")
	}
	r.do(front.Refused{Session: 6, RetryAfter: 850*ms - 1})
	r.do(front.Failed{Session: 7})
	r.do(front.Failed{Session: 7}) // no second answer is sent
	want := []wire.Line{{Msg: "ready", Sid: 5, Attrs: map[string]string{}, Text: "mine"},
		{Msg: "close", Sid: 6, Code: 42, Attrs: map[string]string{"wait": "850"}},
		{Msg: "close", Sid: 7, Code: 47, Attrs: map[string]string{}}}
	if !reflect.DeepEqual(r.written[1], want) {
		t.Fatalf("%+v", r.written[1])
	}
	r.clientSends(1, openLine(8, validAttrs))
	if r.do(front.Plays{Session: 8, Text: "\xff"}) || r.lastLine(1).Msg != "close" {
		t.Error("want a close for a description that is not UTF-8, got", r.lastLine(1))
	}
}

func TestReportsEndOfEstablishedSessions(t *testing.T) {
	for _, c := range []struct {
		effect front.Effect
		want   string
	}{
		{front.SessionEnded{Session: 5, Reason: front.EndReasonFinished}, "close 16"},
		{front.SessionEnded{Session: 5, Reason: front.EndReasonLost}, "close 41"},
		{front.SessionEnded{Session: 5, Reason: front.EndReasonPlayerLeft}, "ready 0"},
		{front.Moved{Session: 5}, "relocate 0"},
	} {
		r := newRig(t)
		r.establish(1, 5)
		r.do(c.effect)
		if got := fmt.Sprint(r.lastLine(1).Msg, " ", r.lastLine(1).Code); got != c.want {
			t.Errorf("%+v: %s, want %s", c.effect, got, c.want)
		}
		if _, n, _, _ := r.p.Counts(); n != 0 {
			t.Error("the session is still held")
		}
	}
}

func TestSessionIsIndependentOfConnection(t *testing.T) {
	r := newRig(t)
	r.accept(2)
	r.establish(1, 5)
	r.clientSends(2, closeLine(5)) // ended on another connection
	if !reflect.DeepEqual(r.events, []front.Event{front.Leave{Session: 5}}) || r.lastLine(2).Msg != "closed" {
		t.Fatalf("%+v %+v", r.events, r.lastLine(2))
	}
	r.establish(1, 6)
	r.establish(2, 7)
	r.p.Lost(r.now, 1)
	r.take()
	if len(r.events) != 0 {
		t.Error("the session ended with its connection:", r.events)
	}
	r.do(front.SessionEnded{Session: 6, Reason: front.EndReasonLost})
	if l := r.lastLine(2); l.Msg != "close" || l.Sid != 6 {
		t.Errorf("its end was not sent on the other connection: %+v", l)
	}
	r.p.Lost(r.now, 2)
	r.do(front.SessionEnded{Session: 7, Reason: front.EndReasonFinished})
	r.accept(3)
	r.establish(3, 8)
	r.advance(50 * ms)
	if l := r.lastLine(3); l.Msg != "close" || l.Sid != 7 {
		t.Errorf("its end was not sent on the next connection: %+v", l)
	}
}

func TestCancellation(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, openLine(5, validAttrs))
	r.clientSends(1, closeLine(5))
	if len(r.events) != 2 || !reflect.DeepEqual(r.events[1], front.Leave{Session: 5}) {
		t.Fatalf("%+v", r.events)
	}
	r.events = nil
	r.clientSends(1, closeLine(5)) // it crossed the reply: no second event
	if len(r.events) != 0 || r.lastLine(1).Msg != "closed" {
		t.Errorf("%+v %+v", r.events, r.lastLine(1))
	}
	r.clientSends(1, openLine(6, validAttrs), openLine(7, validAttrs), closeLine(6)) // cancelled in the same batch
	if len(r.events) != 1 || r.events[0].(front.Request).ID != 7 || r.p.Stats.TakenBack != 1 {
		t.Errorf("%+v", r.events)
	}
	r.events = nil
	r.p.Lost(r.now, 1) // request 7 is abandoned with its connection
	r.take()
	if !reflect.DeepEqual(r.events, []front.Event{front.Leave{Session: 7}}) {
		t.Errorf("%+v", r.events)
	}
}

func TestRejectsInvalidInput(t *testing.T) {
	for name, line := range map[string]string{
		"unknown class":        openLine(5, strings.Replace(validAttrs, "paid", "gold", 1)),
		"no title":             openLine(5, `"class":"paid","left":"1500"`),
		"no time":              openLine(5, strings.Replace(validAttrs, `"1500"`, `"0"`, 1)),
		"negative time":        openLine(5, strings.Replace(validAttrs, `"1500"`, `"-5"`, 1)),
		"time is not a number": openLine(5, strings.Replace(validAttrs, `"1500"`, `"NaN"`, 1)),
		"time too large":       openLine(5, strings.Replace(validAttrs, `"1500"`, `"1e11"`, 1)),
		"hint is not finite":   openLine(5, strings.Replace(validAttrs, `8200.0`, `inf`, 1)),
		"home out of range":    openLine(5, strings.Replace(validAttrs, `home:4`, `home:12`, 1)),
		"negative home":        openLine(5, strings.Replace(validAttrs, `home:4`, `home:-1`, 1)),
		"no copies":            openLine(5, strings.Replace(validAttrs, `copies:3`, `copies:0`, 1)),
		"top too large":        openLine(5, strings.Replace(validAttrs, `top:4`, `top:99999999999`, 1)),
		"viewer is not hex":    openLine(5, strings.Replace(validAttrs, `viewer:0`, `viewer:z`, 1)),
		"no extras":            openLine(5, `"class":"paid","left":"1500","key":"7f3a9c21e0b4d655"`),
		"no description":       fmt.Sprintf(`{"msg":"open","sid":"%016x","attrs":{%s}}`, 5, validAttrs),
		"unknown session":      closeLine(5),
		"a front's message":    `{"msg":"ready","sid":"0000000000000005"}`,
		"unknown message":      `{"msg":"dance","sid":"0000000000000005"}`,
	} {
		r := newRig(t)
		r.clientSends(1, line)
		if l := r.lastLine(1); l.Msg != "close" || l.Sid != 5 || l.Code != wire.CauseMalformed || len(r.events) != 0 {
			t.Errorf("%s: reply %+v, events %+v", name, l, r.events)
		}
	}
	for name, line := range map[string]string{"no id": `{"msg":"open","attrs":{}}`, "no JSON": "hello"} {
		r := newRig(t)
		r.clientSends(1, line, openLine(5, validAttrs))
		if !r.closed[1] || len(r.events) != 0 || len(r.written[1]) != 1 {
			t.Errorf("%s: closed %v, events %+v, written %+v", name, r.closed[1], r.events, r.written[1])
		}
	}
	r := newRig(t)
	r.p.Received(r.now, r.now, 1, nil, fmt.Errorf("too long"), 0, nil)
	if r.take(); !r.closed[1] {
		t.Error("a connection with an unreadable stream is left open")
	}
}

func TestRejectsDuplicateSessionID(t *testing.T) {
	r := newRig(t)
	r.clientSends(1, openLine(5, validAttrs), openLine(5, validAttrs), openLine(5, validAttrs))
	requests := 0
	for _, n := range r.events {
		if _, ok := n.(front.Request); ok {
			requests++
		}
	}
	if requests != 1 || !reflect.DeepEqual(r.events[len(r.events)-1], front.Leave{Session: 5}) {
		t.Errorf("%d requests started: %+v", requests, r.events)
	}
	r = newRig(t)
	r.accept(2)
	r.clientSends(1, openLine(5, validAttrs))
	r.clientSends(2, openLine(5, validAttrs)) // another client uses the id: the first request continues
	if len(r.events) != 1 || r.lastLine(2).Code != wire.CauseMalformed || len(r.written[1]) != 0 {
		t.Errorf("%+v %+v", r.events, r.lastLine(2))
	}
	r.events = nil
	r.clientSends(2, openLine(5, validAttrs), closeLine(5)) // nor can another client cancel it
	if len(r.events) != 0 {
		t.Errorf("%+v", r.events)
	}
	r.inUse[9] = true // a set-up with this id is still being abandoned
	r.clientSends(1, openLine(9, validAttrs))
	if len(r.events) != 0 {
		t.Errorf("%+v", r.events)
	}
}

func TestReleasesAllState(t *testing.T) {
	r := newRig(t)
	for i := range uint64(2000) {
		conn := 100 + i
		r.accept(conn)
		r.clientSends(conn, openLine(conn, validAttrs))
		switch i % 4 {
		case 0:
			r.do(front.Refused{Session: conn})
		case 1:
			r.do(front.Plays{Session: conn, Text: "x"})
			r.do(front.SessionEnded{Session: conn, Reason: front.EndReasonFinished})
		case 2:
			r.clientSends(conn, closeLine(conn))
		}
		r.now += 10 * ms
		r.p.Lost(r.now, conn)
		r.take()
		r.written, r.events = map[uint64][]wire.Line{}, nil
	}
	r.p.Lost(r.now, 1)
	r.advance(10 * policy.Second)
	if conns, sessions, recent, pendingEnds := r.p.Counts(); conns+sessions+recent+pendingEnds+
		len(r.p.recentOrder) != 0 {
		t.Error(conns, sessions, recent, pendingEnds, len(r.p.recentOrder))
	}
}

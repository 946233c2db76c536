package platformsim

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
)

// Viewers.

// Viewer is a connection of viewers.
type Viewer struct {
	w     *World
	conn  net.Conn
	mu    sync.Mutex
	calls map[uint64]string // open ones, with their class
	Lines chan wire.Line
	Ended chan struct{}
}

// Dial connects to a front.
func Dial(w *World, addr string) (*Viewer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	v := &Viewer{w: w, conn: c, calls: map[uint64]string{}, Lines: make(chan wire.Line, 4096), Ended: make(chan struct{})}
	go v.read()
	return v, nil
}

func (v *Viewer) read() {
	defer close(v.Ended)
	r := bufio.NewReaderSize(v.conn, wire.MaxMessage)
	for {
		b, err := r.ReadSlice('\n')
		if err != nil {
			v.mu.Lock()
			for sid := range v.calls {
				v.w.add(record.Event{Source: "viewer", Kind: record.PlayerConnLost, Ref: wire.Sid(sid)})
			}
			v.calls = map[uint64]string{}
			v.mu.Unlock()
			return
		}
		l, _ := wire.ParseLine(b[:len(b)-1])
		v.mu.Lock()
		class, open := v.calls[l.Sid]
		if open && (l.Msg == wire.LineReady || l.Msg == wire.LineClose) {
			e := record.Event{Source: "viewer", Kind: record.ReplyReceived, Ref: wire.Sid(l.Sid), Session: wire.Sid(l.Sid), Class: v.w.classes[class], Text: "failed"}
			switch {
			case l.Msg == wire.LineReady:
				e.Text = "plays"
			case l.Code == wire.CauseFull || l.Code == wire.CauseRefused || l.Code == wire.CauseNotRun:
				e.Text = "refused"
			}
			v.w.add(e)
			if l.Msg == wire.LineClose {
				delete(v.calls, l.Sid)
			} else {
				v.calls[l.Sid] = class
			}
		}
		if l.Msg == wire.LineReady { // a later close is the session's end, and no second answer
			delete(v.calls, l.Sid)
		}
		v.mu.Unlock()
		select {
		case v.Lines <- l:
		default:
		}
	}
}

// Write sends bytes as they are.
func (v *Viewer) Write(text string) error {
	v.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := v.conn.Write([]byte(text))
	return err
}

// Form gives a set-up's line.
func Form(sid uint64, class string, left time.Duration, more string) string {
	return fmt.Sprintf(`{"msg":"open","sid":"%016x","attrs":{"class":"%s","left":"%d","key":"00000000000000aa","hint":"8000.0","extras":"home:0;copies:3;top:2;viewer:%016x%s"},"text":"who %d\r\n"}`+"\n",
		sid, class, left.Milliseconds(), sid, more, sid)
}

// Open asks for a session.
func (v *Viewer) Open(sid uint64, class string, left time.Duration) error {
	v.mu.Lock()
	v.calls[sid] = class
	v.mu.Unlock()
	v.w.add(record.Event{Source: "viewer", Kind: record.RequestSent, Ref: wire.Sid(sid), Class: v.w.classes[class], Timeout: int64(left)})
	return v.Write(Form(sid, class, left, ""))
}

// GiveUp takes a request back, or ends a session.
func (v *Viewer) GiveUp(sid uint64) error {
	v.mu.Lock()
	if _, open := v.calls[sid]; open {
		v.w.add(record.Event{Source: "viewer", Kind: record.PlayerLeft, Ref: wire.Sid(sid)})
		delete(v.calls, sid)
	}
	v.mu.Unlock()
	return v.Write(fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid))
}

// Close closes the connection.
func (v *Viewer) Close() {
	v.conn.Close()
	<-v.Ended
}

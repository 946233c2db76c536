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

// Viewer is a client connection to a front that carries the requests of many viewers.
type Viewer struct {
	world        *World
	conn         net.Conn
	mu           sync.Mutex
	openRequests map[uint64]string // class of each request without a reply yet
	Lines        chan wire.Line    // received lines; further ones are dropped when it is full
	Closed       chan struct{}     // closed when the connection has ended
}

// Dial connects to a front and starts to read from it.
func Dial(world *World, addr string) (*Viewer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	v := &Viewer{world: world, conn: c, openRequests: map[uint64]string{}, Lines: make(chan wire.Line, 4096),
		Closed: make(chan struct{})}
	go v.read()
	return v, nil
}

// read reads lines, records the replies among them, and passes them to Lines.
func (v *Viewer) read() {
	defer close(v.Closed)
	r := bufio.NewReaderSize(v.conn, wire.MaxMessage)
	for {
		b, err := r.ReadSlice('\n')
		if err != nil {
			v.mu.Lock()
			for sid := range v.openRequests {
				v.world.add(record.Event{Source: "viewer", Kind: record.PlayerConnLost, Ref: wire.Sid(sid)})
			}
			v.openRequests = map[uint64]string{}
			v.mu.Unlock()
			return
		}
		line, _ := wire.ParseLine(b[:len(b)-1])
		v.mu.Lock()
		class, open := v.openRequests[line.Sid]
		if open && (line.Msg == wire.LineReady || line.Msg == wire.LineClose) {
			event := record.Event{Source: "viewer", Kind: record.ReplyReceived, Ref: wire.Sid(line.Sid),
				Session: wire.Sid(line.Sid), Class: v.world.classIndexes[class], Text: "failed"}
			switch {
			case line.Msg == wire.LineReady:
				event.Text = "plays"
			case line.Code == wire.CauseFull || line.Code == wire.CauseRefused || line.Code == wire.CauseNotRun:
				event.Text = "refused"
			}
			v.world.add(event)
			if line.Msg == wire.LineClose {
				delete(v.openRequests, line.Sid)
			} else {
				v.openRequests[line.Sid] = class
			}
		}
		if line.Msg == wire.LineReady { // a later close ends the session and is not a second reply
			delete(v.openRequests, line.Sid)
		}
		v.mu.Unlock()
		select {
		case v.Lines <- line:
		default:
		}
	}
}

// Write sends text unchanged.
func (v *Viewer) Write(text string) error {
	v.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := v.conn.Write([]byte(text))
	return err
}

// OpenLine returns the line that requests a session. extras is appended to the value of that name.
func OpenLine(sid uint64, class string, timeLeft time.Duration, extras string) string {
	return fmt.Sprintf(`{"msg":"open","sid":"%016x","attrs":{"class":"%s","left":"%d","key":"00000000000000aa","hint":"8000.0","extras":"home:0;copies:3;top:2;viewer:%016x%s"},"text":"who %d\r\n"}`+"\n",
		sid, class, timeLeft.Milliseconds(), sid, extras, sid)
}

// Open requests a session.
func (v *Viewer) Open(sid uint64, class string, timeLeft time.Duration) error {
	v.mu.Lock()
	v.openRequests[sid] = class
	v.mu.Unlock()
	v.world.add(record.Event{Source: "viewer", Kind: record.RequestSent, Ref: wire.Sid(sid),
		Class: v.world.classIndexes[class], Timeout: int64(timeLeft)})
	return v.Write(OpenLine(sid, class, timeLeft, ""))
}

// Probe sends a test. The answer shows that the lines before it were handled.
func (v *Viewer) Probe(sid uint64) error {
	return v.Write(fmt.Sprintf(`{"msg":"probe","sid":"%016x","attrs":{},"code":0}`+"\n", sid))
}

// Cancel cancels a request, or ends a session.
func (v *Viewer) Cancel(sid uint64) error {
	v.mu.Lock()
	if _, open := v.openRequests[sid]; open {
		v.world.add(record.Event{Source: "viewer", Kind: record.PlayerLeft, Ref: wire.Sid(sid)})
		delete(v.openRequests, sid)
	}
	v.mu.Unlock()
	return v.Write(fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid))
}

// Close closes the connection and waits until reading has stopped.
func (v *Viewer) Close() {
	v.conn.Close()
	<-v.Closed
}

// Reset resets the connection, as a break in the network does, and waits until reading has stopped.
func (v *Viewer) Reset() {
	v.conn.(*net.TCPConn).SetLinger(0)
	v.Close()
}

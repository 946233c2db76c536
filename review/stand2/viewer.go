package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// viewer is a viewer's connection to the front. It counts as one client: what it is sent on any of its connections it
// takes.
type viewer struct {
	w *world

	mu       sync.Mutex
	conn     net.Conn
	answers  map[uint64]string        // "ready", "refused" or "failed"
	released map[uint64]time.Duration // when the end of a session was heard
	closed   bool                     // the front has ended its connection
}

// line is a message to or from the front.
type line struct {
	Msg   string         `json:"msg"`
	Sid   string         `json:"sid"`
	Attrs map[string]any `json:"attrs"`
	Code  int            `json:"code"`
	Text  string         `json:"text"`
}

// waitTime is how long a viewer waits for an answer, and maxLine more than a line may hold, in bytes.
const (
	waitTime = 4 * time.Second
	maxLine  = 64 << 10
)

// newViewer connects a viewer.
func newViewer(w *world) (*viewer, error) {
	v := &viewer{w: w, answers: map[uint64]string{}, released: map[uint64]time.Duration{}}
	return v, v.connect()
}

// connect opens the viewer's connection, again after reset.
func (v *viewer) connect() error {
	c, err := net.Dial("tcp", v.w.front.addr)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.conn = c
	v.mu.Unlock()
	go v.read(c)
	return nil
}

// reset resets the viewer's connection, as a break in the network does.
func (v *viewer) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conn.(*net.TCPConn).SetLinger(0)
	v.conn.Close()
	v.w.log("viewer: its connection is reset")
}

// read reads lines until the connection ends.
func (v *viewer) read(c net.Conn) {
	r := bufio.NewScanner(c)
	r.Buffer(nil, maxLine)
	for r.Scan() {
		var l line
		var sid uint64
		if json.Unmarshal(r.Bytes(), &l) != nil {
			continue
		}
		fmt.Sscanf(l.Sid, "%x", &sid)
		v.handle(sid, l)
	}
	v.mu.Lock()
	if v.conn == c {
		v.closed = true
	}
	v.mu.Unlock()
}

// handle handles a line.
func (v *viewer) handle(sid uint64, l line) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case l.Msg == "ready":
		v.answers[sid] = "ready"
	case (l.Msg == "close" || l.Msg == "relocate") && v.answers[sid] == "ready":
		if _, again := v.released[sid]; !again {
			v.released[sid] = v.w.since()
		}
	case l.Msg == "close" && (l.Code == 34 || l.Code == 42 || l.Code == 102):
		v.answers[sid] = "refused"
	case l.Msg == "close":
		v.answers[sid] = "failed"
	}
	v.w.log("viewer: got %s %016x, cause %d", l.Msg, sid, l.Code)
}

// openLine is a set-up for a title that three servers from a cell on hold. at names the server of a session that plays.
func openLine(sid uint64, cell int, at string) string {
	extras := fmt.Sprintf("home:%d;copies:3;top:5;viewer:%016x", cell, sid)
	if at != "" {
		extras += ";at:" + at
	}
	return fmt.Sprintf(`{"msg":"open","sid":"%016x","attrs":{"class":"replay","left":"4000","key":"%016x",`+
		`"hint":"60000.0","extras":"%s"},"text":"viewer %d\r\n"}`+"\n", sid, 0xa0+cell, extras, sid)
}

// closeLine gives a set-up up or ends a session.
func closeLine(sid uint64) string {
	return fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid)
}

// write sends text on the viewer's connection.
func (v *viewer) write(text string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, err := v.conn.Write([]byte(text))
	return err
}

// open asks for a session.
func (v *viewer) open(sid uint64, cell int) error {
	v.w.log("viewer: asks for %016x, title of cell %d", sid, cell)
	return v.write(openLine(sid, cell, ""))
}

// answer returns the answer to a request, empty if there is none.
func (v *viewer) answer(sid uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answers[sid]
}

// heardEnd returns when the viewer was told of the end of a session.
func (v *viewer) heardEnd(sid uint64) (at time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok = v.released[sid]
	return at, ok
}

// isClosed reports whether the front has ended the viewer's connection.
func (v *viewer) isClosed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// Terms of the protocol page for requests that a front leaves without an answer.
const (
	crossingWindow = 50 * time.Millisecond  // a request that crosses the end of a connection by less is sent again
	answerGrace    = 500 * time.Millisecond // past the client's wait; an answer that comes later is lost
	shutdownGrace  = 700 * time.Millisecond // requests this soon after SIGTERM may be unanswered at SIGKILL
)

// trialClient sends requests in the way of the platform's clients: on a free open connection, or on a new one where
// none is free.
type trialClient struct {
	addr     string
	maxConns int // connections past which requests share one; 0: no limit
	mu       sync.Mutex
	opening  int // connections being opened
	conns    map[*trialConn]bool
	requests []*trialRequest
	extra    []string       // answers after the first one
	waiting  sync.WaitGroup // for the ends of connections and for requests to be sent
}

// trialConn is a connection of a trialClient.
type trialConn struct {
	net.Conn
	writing  sync.Mutex // held while a request is written, however slowly
	open     map[uint64]*trialRequest
	answered map[uint64]*trialRequest // answered with a refusal or failure: nothing may follow
}

// trialRequest is a request and what became of it.
type trialRequest struct {
	sid        uint64
	class      string
	wait       time.Duration
	copies     int           // number of servers that hold its title; 0: one
	textBytes  int           // length of its description; 0: a short one
	playFor    time.Duration // its client ends the session this long after the answer; 0: it stays
	pieces     int           // number of parts that it is written in
	pause      time.Duration // between the parts
	shared     bool          // it may be sent on a connection with open requests
	leaveAfter time.Duration // its client gives it up after this time; 0: it waits
	left       bool          // its client has given it up: no answer is owed any more
	conn       *trialConn
	sentAt     time.Time // when its last byte was written
	answeredAt time.Time
	answer     wire.Line
	endedAt    time.Time // when its connection ended without an answer
	notTaken   string    // why it was never taken: the connection was refused or broke before the last byte
	resent     bool
}

func newTrialClient(addr string) *trialClient {
	return &trialClient{addr: addr, conns: map[*trialConn]bool{}}
}

// connect opens a connection. The probe makes it known to the front as a client's.
func (c *trialClient) connect() (*trialConn, error) {
	raw, err := net.DialTimeout("tcp", c.addr, time.Second)
	c.mu.Lock()
	c.opening = max(c.opening-1, 0)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	conn := &trialConn{Conn: raw, open: map[uint64]*trialRequest{}, answered: map[uint64]*trialRequest{}}
	fmt.Fprintln(conn, `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`)
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	c.waiting.Go(func() { c.read(conn) })
	return conn, nil
}

// read records answers until the connection ends.
func (c *trialClient) read(conn *trialConn) {
	r := bufio.NewReaderSize(conn, wire.MaxMessage)
	for {
		text, err := r.ReadSlice('\n')
		now := time.Now()
		if err != nil {
			c.ended(conn, now)
			return
		}
		line, err := wire.ParseLine(text[:len(text)-1])
		if err != nil {
			continue
		}
		c.mu.Lock()
		if r := conn.open[line.Sid]; r != nil && (line.Msg == wire.LineReady || line.Msg == wire.LineClose) {
			r.answeredAt, r.answer = now, line
			delete(conn.open, line.Sid)
			if line.Msg == wire.LineClose {
				conn.answered[line.Sid] = r
			} else if r.playFor > 0 {
				c.waiting.Go(func() {
					time.Sleep(r.playFor)
					c.leave(r)
				})
			}
		} else if conn.answered[line.Sid] != nil && line.Msg != wire.LineClosed && line.Msg != wire.LineProbed {
			c.extra = append(c.extra, fmt.Sprintf("request %s got %q after its answer", wire.Sid(line.Sid), line.Msg))
		}
		c.mu.Unlock()
	}
}

// ended records the end of a connection. Requests that crossed it are sent again, once.
func (c *trialClient) ended(conn *trialConn, now time.Time) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	for sid, r := range conn.open {
		delete(conn.open, sid)
		switch {
		case r.sentAt.IsZero(): // its writer sees the end
		case now.Sub(r.sentAt) < crossingWindow && !r.resent:
			r.resent = true
			c.waiting.Go(func() { c.write(r) })
		default:
			r.endedAt = now
		}
	}
}

// send sends a request from another goroutine.
func (c *trialClient) send(r *trialRequest) {
	c.mu.Lock()
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	c.waiting.Go(func() {
		c.write(r)
		if r.leaveAfter > 0 {
			time.Sleep(r.leaveAfter)
			c.leave(r)
		}
	})
}

// leave gives a request up, or ends its session.
func (c *trialClient) leave(r *trialRequest) {
	c.mu.Lock()
	conn := r.conn
	r.left = r.left || r.answeredAt.IsZero() && conn != nil && conn.open[r.sid] != nil
	c.mu.Unlock()
	if conn != nil {
		conn.writing.Lock()
		defer conn.writing.Unlock()
		fmt.Fprintf(conn, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", r.sid)
	}
}

// write writes a request to a free connection or, if it is sent again or none is free, to a new one.
func (c *trialClient) write(r *trialRequest) {
	conn := c.reserve(r)
	if conn == nil {
		var err error
		if conn, err = c.connect(); err != nil {
			c.mu.Lock()
			r.notTaken = err.Error()
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		conn.open[r.sid] = r
		c.mu.Unlock()
	}
	conn.writing.Lock()
	defer conn.writing.Unlock()
	c.mu.Lock()
	r.conn, r.sentAt = conn, time.Time{}
	c.mu.Unlock()
	text := r.line()
	pieces := max(r.pieces, 1)
	for i := range pieces {
		if i > 0 {
			time.Sleep(r.pause)
		}
		if i == pieces-1 { // before the write: the answer may come before it returns
			c.mu.Lock()
			r.sentAt = time.Now()
			c.mu.Unlock()
		}
		if _, err := conn.Write([]byte(text[i*len(text)/pieces : (i+1)*len(text)/pieces])); err != nil {
			c.mu.Lock()
			r.notTaken = err.Error()
			delete(conn.open, r.sid)
			c.mu.Unlock()
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.conns[conn] && r.answeredAt.IsZero() && r.endedAt.IsZero() && !r.resent && conn.open[r.sid] == nil {
		r.notTaken = "the connection ended while the request was written"
	}
}

// line returns the request as it is written.
func (r *trialRequest) line() string {
	text := strings.Replace(platformsim.OpenLine(r.sid, r.class, r.wait, ""), "copies:3",
		fmt.Sprintf("copies:%d", max(r.copies, 1)), 1)
	return strings.Replace(text, "who ", "who "+strings.Repeat("w", max(r.textBytes-len("who "), 0)), 1)
}

// sendTogether sends requests in one write, on a free connection or a new one.
func (c *trialClient) sendTogether(list []*trialRequest) error {
	conn := c.reserve(list[0])
	if conn == nil {
		var err error
		if conn, err = c.connect(); err != nil {
			return err
		}
	}
	var text strings.Builder
	c.mu.Lock()
	for _, r := range list {
		r.conn, r.sentAt = conn, time.Now()
		conn.open[r.sid] = r
		text.WriteString(r.line())
	}
	c.requests = append(c.requests, list...)
	c.mu.Unlock()
	conn.writing.Lock()
	defer conn.writing.Unlock()
	_, err := io.WriteString(conn, text.String())
	return err
}

// reserve takes a free open connection for a request, or returns nil.
func (c *trialClient) reserve(r *trialRequest) *trialConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := c.maxConns > 0 && len(c.conns)+c.opening >= c.maxConns
	for conn := range c.conns {
		if !r.resent && (full || len(conn.open) == 0 || r.shared) { // sent again: always on a new one
			conn.open[r.sid] = r
			return conn
		}
	}
	c.opening++ // connect follows
	return nil
}

// lost returns the requests that the front left without an answer by the rules of the protocol page, each with the
// reason. killed tells whether the process ended by SIGKILL and not by itself.
func (c *trialClient) lost(termAt time.Time, killed bool) (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		reason := ""
		switch {
		case r.sentAt.IsZero() || r.notTaken != "" || r.left:
		case !r.answeredAt.IsZero():
			if late := r.answeredAt.Sub(r.sentAt) - r.wait; late > answerGrace {
				reason = fmt.Sprintf("answered %v after its time", late)
			}
		case !r.endedAt.IsZero() && r.endedAt.Sub(r.sentAt) < r.wait+answerGrace:
			if !killed || r.sentAt.Sub(termAt) > shutdownGrace {
				reason = fmt.Sprintf("its connection ended %v after it was sent", r.endedAt.Sub(r.sentAt))
			}
		default:
			reason = "no answer in its time"
		}
		if reason != "" {
			list = append(list, fmt.Sprintf("request %s (%s, waits %v), sent %v after SIGTERM: %s", wire.Sid(r.sid),
				r.class, r.wait, r.sentAt.Sub(termAt).Round(time.Millisecond), reason))
		}
	}
	return append(list, c.extra...)
}

// waitUntilAnswered waits until no request can be answered in time any more, or all are.
func (c *trialClient) waitUntilAnswered(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); c.pending(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Error("requests are pending 10 s after the last one")
			return
		}
	}
}

// pending reports whether a request that was taken may still be answered in time, or is still being written.
func (c *trialClient) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.answeredAt.IsZero() && r.endedAt.IsZero() && r.notTaken == "" &&
			(r.sentAt.IsZero() || time.Since(r.sentAt) <= r.wait+answerGrace) {
			return true
		}
	}
	return false
}

// closeAll closes the connections and waits for their ends.
func (c *trialClient) closeAll() {
	c.mu.Lock()
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.waiting.Wait()
}

// slowest returns the longest time until an answer.
func (c *trialClient) slowest() (took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if !r.answeredAt.IsZero() {
			took = max(took, r.answeredAt.Sub(r.sentAt))
		}
	}
	return took
}

// count returns the number of requests that played, were refused, failed, and were never taken.
func (c *trialClient) count() (played, refused, failed, notTaken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		switch {
		case r.answer.Msg == wire.LineReady:
			played++
		case r.answer.Msg == wire.LineClose && r.answer.Code == wire.CauseRefused:
			refused++
		case r.answer.Msg == wire.LineClose:
			failed++
		case r.notTaken != "" || r.sentAt.IsZero():
			notTaken++
		}
	}
	return played, refused, failed, notTaken
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// client is a connection of the viewers to the front.
type client struct {
	w        *world
	name     string
	conn     net.Conn
	mu       sync.Mutex
	tests    int
	passed   int
	requests map[uint64]*request
	ended    bool
}

// request is a set-up of a viewer and what it got.
type request struct {
	sid     uint64
	class   string
	sentAt  time.Duration
	wait    time.Duration
	gaveUp  time.Duration // 0: not given up
	ready   time.Duration // when the answer came; 0: none
	closed  time.Duration // when a release came; 0: none
	code    int
	answers int
}

// line is a line to or from the front.
type line struct {
	Msg   string         `json:"msg"`
	Sid   string         `json:"sid"`
	Attrs map[string]any `json:"attrs"`
	Code  *int           `json:"code,omitempty"`
	Text  string         `json:"text,omitempty"`
}

// dial connects to the front.
func (w *world) dial(name string) (*client, error) {
	conn, err := net.Dial("tcp", w.listen)
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: name, conn: conn, requests: map[uint64]*request{}}
	w.mu.Lock()
	w.clients = append(w.clients, c)
	w.mu.Unlock()
	go c.read()
	return c, nil
}

// write sends a line.
func (c *client) write(l line) error {
	b, _ := json.Marshal(l)
	c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.conn.Write(append(b, '\n'))
	return err
}

// test sends a test.
func (c *client) test() error {
	zero := 0
	return c.write(line{Msg: "probe", Sid: fmt.Sprintf("%016x", rand.Uint64()|1), Attrs: map[string]any{}, Code: &zero})
}

// testsPassed returns the number of tests passed.
func (c *client) testsPassed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passed
}

// open requests a session of a title that lies on all servers of some cells.
func (c *client) open(class, title string, wait time.Duration, copies int) (*request, error) {
	sid := rand.Uint64() | 1
	r := &request{sid: sid, class: class, sentAt: c.w.now(), wait: wait}
	c.mu.Lock()
	c.requests[sid] = r
	c.mu.Unlock()
	c.w.rec("%s: asks for %016x, %s, title %s, left %d", c.name, sid, class, title, wait.Milliseconds())
	return r, c.write(line{Msg: "open", Sid: fmt.Sprintf("%016x", sid), Attrs: map[string]any{"class": class,
		"left": fmt.Sprint(wait.Milliseconds()), "key": title, "hint": "48000.0",
		"extras": fmt.Sprintf("home:%d;copies:%d;top:5;viewer:%016x", int(title[15]-'0')%cells, copies, rand.Uint64())},
		Text: "o=viewer\r\nm=video\r\n"})
}

// read reads lines until the connection ends.
func (c *client) read() {
	r := bufio.NewReaderSize(c.conn, 1<<16)
	for {
		b, err := r.ReadBytes('\n')
		if err != nil {
			c.mu.Lock()
			c.ended = true
			c.mu.Unlock()
			return
		}
		var l line
		if err := json.Unmarshal(b, &l); err != nil {
			c.w.rec("%s: unreadable line: %q", c.name, b)
			continue
		}
		c.handle(l)
	}
}

func (c *client) handle(l line) {
	if l.Msg == "probed" {
		c.mu.Lock()
		c.tests++
		if l.Code != nil && *l.Code == 1 {
			c.passed++
		}
		c.mu.Unlock()
		return
	}
	code := 0
	if l.Code != nil {
		code = *l.Code
	}
	c.w.rec("%s: gets %s for %s, code %d %v", c.name, l.Msg, l.Sid, code, l.Attrs)
	var sid uint64
	fmt.Sscanf(l.Sid, "%x", &sid)
	for _, o := range c.w.allClients() {
		o.mu.Lock()
		if r := o.requests[sid]; r != nil {
			switch l.Msg {
			case "ready":
				r.ready, r.answers = c.w.now(), r.answers+1
			case "close", "relocate":
				if r.ready == 0 {
					r.answers++
				}
				r.closed, r.code = c.w.now(), code
			}
		}
		o.mu.Unlock()
	}
}

// allClients returns all connections of viewers.
func (w *world) allClients() []*client {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*client(nil), w.clients...)
}

// mix asks for sessions in the shares of the classes of ub-briefings until the time end.
func (w *world) mix(c *client, every, end time.Duration) {
	for w.now() < end {
		n := rand.IntN(100)
		class, wait := "replay", 4*time.Second
		switch {
		case n < 30:
			class, wait = "live-prices", 5*time.Second
		case n < 55:
			class, wait = "signed-replay", 3*time.Second
		}
		if _, err := c.open(class, fmt.Sprintf("%016d", rand.IntN(90)), wait, 3); err != nil {
			w.rec("%s: %v", c.name, err)
			return
		}
		time.Sleep(every)
	}
}

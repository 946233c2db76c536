package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// host is an entry of the list of servers.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// journal is the journal service. Each connection's lines are written in order, late by lag while that is set.
type journal struct {
	w      *world
	ln     net.Listener
	mu     sync.Mutex
	events []json.RawMessage
	conns  map[*journalConn]bool
	lag    time.Duration
	stop   chan struct{}
}

// journalConn is a connection of a front to the journal service.
type journalConn struct {
	conn  net.Conn
	next  int // index of the next event
	lines chan journalLine
	due   time.Time
}

// journalLine is a line to be written at a time.
type journalLine struct {
	text string
	at   time.Time
}

func newJournal(w *world) (*journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{w: w, ln: ln, conns: map[*journalConn]bool{}, stop: make(chan struct{})}
	go j.accept()
	go j.sendNumbers()
	return j, nil
}

func (j *journal) addr() string { return j.ln.Addr().String() }

// known returns the number of the last event and all events.
func (j *journal) known() (int, []json.RawMessage) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.events), append([]json.RawMessage(nil), j.events...)
}

// setLag makes every line, from now on, come later by lag.
func (j *journal) setLag(lag time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lag = lag
}

// add puts an event into the journal.
func (j *journal) add(whole bool, hosts []host) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pos := len(j.events) + 1
	b, _ := json.Marshal(map[string]any{"pos": pos, "hosts": map[string]any{"seq": pos, "whole": whole, "hosts": hosts}})
	j.events = append(j.events, b)
	for c := range j.conns {
		j.flush(c)
	}
}

// flush queues the events that a connection has not got.
func (j *journal) flush(c *journalConn) {
	for ; c.next < len(j.events); c.next++ {
		j.queue(c, string(j.events[c.next]))
	}
}

// queue queues a line; lines keep their order.
func (j *journal) queue(c *journalConn, text string) {
	if at := time.Now().Add(j.lag); at.After(c.due) {
		c.due = at
	}
	select {
	case c.lines <- journalLine{text, c.due}:
	default:
	}
}

func (j *journal) accept() {
	for {
		conn, err := j.ln.Accept()
		if err != nil {
			return
		}
		go j.serve(conn)
	}
}

// serve reads "tail N" and then writes lines until the connection ends.
func (j *journal) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	text, err := r.ReadString('\n')
	if err != nil {
		return
	}
	c := &journalConn{conn: conn, lines: make(chan journalLine, 1000)}
	if _, err := fmt.Sscanf(text, "tail %d", &c.next); err != nil {
		return
	}
	j.w.rec("journal: front asks: tail %d", c.next)
	j.mu.Lock()
	j.conns[c] = true
	j.flush(c)
	j.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		r.ReadString('\n')
		close(ended)
	}()
	defer func() {
		j.mu.Lock()
		delete(j.conns, c)
		j.mu.Unlock()
		j.w.rec("journal: connection ended")
	}()
	for {
		select {
		case <-ended:
			return
		case line := <-c.lines:
			select {
			case <-ended:
				return
			case <-time.After(time.Until(line.at)):
			}
			if len(line.text) > 12 {
				j.w.rec("journal: writes event %.40s", line.text)
			}
			if _, err := fmt.Fprintln(conn, line.text); err != nil {
				return
			}
		}
	}
}

// sendNumbers queues the last number on each connection each second.
func (j *journal) sendNumbers() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-j.stop:
			return
		case <-tick.C:
		}
		j.mu.Lock()
		for c := range j.conns {
			j.queue(c, fmt.Sprint(len(j.events)))
		}
		j.mu.Unlock()
	}
}

func (j *journal) close() {
	close(j.stop)
	j.ln.Close()
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		c.conn.Close()
	}
}

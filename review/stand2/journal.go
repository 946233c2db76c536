package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// journal stands in for the journal service.
type journal struct {
	w        *world
	listener net.Listener

	mu     sync.Mutex
	events []string                 // event N is events[N-1]
	conns  map[net.Conn]chan string // lines to write, by connection
	next   map[net.Conn]int         // index of the next event to send
}

// maxLines is how many lines wait on one connection.
const maxLines = 1024

// newJournal starts a journal service.
func newJournal(w *world) (*journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{w: w, listener: ln, conns: map[net.Conn]chan string{}, next: map[net.Conn]int{}}
	go j.accept()
	go func() {
		for range time.Tick(time.Second) {
			j.mu.Lock()
			for c := range j.conns {
				j.write(c, fmt.Sprint(len(j.events)))
			}
			j.mu.Unlock()
		}
	}()
	return j, nil
}

// accept accepts connections and serves what each asks for with "tail N".
func (j *journal) accept() {
	for {
		c, err := j.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			var from int
			if _, err := fmt.Fscanf(c, "tail %d\n", &from); err != nil {
				c.Close()
				return
			}
			j.w.log("journal: the front asks for the events after %d", from)
			lines := make(chan string, maxLines)
			go j.writeLines(c, lines)
			j.mu.Lock()
			j.conns[c], j.next[c] = lines, min(from, len(j.events))
			j.flush(c)
			j.mu.Unlock()
			c.Read(make([]byte, 1)) // until the front closes it
			j.mu.Lock()
			delete(j.conns, c)
			delete(j.next, c)
			close(lines)
			j.mu.Unlock()
			c.Close()
			j.w.log("journal: connection closed by the front")
		}()
	}
}

// writeLines writes the lines of a connection.
func (j *journal) writeLines(c net.Conn, lines <-chan string) {
	for l := range lines {
		if _, err := fmt.Fprintln(c, l); err == nil && len(l) > 8 {
			j.w.log("journal: event written")
		}
	}
}

// write queues a line for a connection; j.mu is held.
func (j *journal) write(c net.Conn, line string) {
	select {
	case j.conns[c] <- line:
	default:
	}
}

// flush sends a connection the events that it has not been sent; j.mu is held.
func (j *journal) flush(c net.Conn) {
	for ; j.next[c] < len(j.events); j.next[c]++ {
		j.write(c, j.events[j.next[c]])
	}
}

// host is an entry of the list.
type host struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// list appends an event that gives servers a state, and returns its time.
func (j *journal) list(whole bool, health string, servers ...*server) time.Duration {
	var hosts []host
	for _, s := range servers {
		hosts = append(hosts, host{s.name, s.addr, "ub-main", "box-3c", s.cell, health, 3, s.born})
		j.w.log("journal: event: %s is %s", s.name, health)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"pos": len(j.events) + 1,
		"hosts": map[string]any{"seq": len(j.events) + 1, "whole": whole, "hosts": hosts}})
	j.events = append(j.events, string(b))
	for c := range j.conns {
		j.flush(c)
	}
	return j.w.since()
}

// known returns what the configuration holds under that name.
func (j *journal) known() map[string]any {
	j.mu.Lock()
	defer j.mu.Unlock()
	entries := []json.RawMessage{}
	for _, e := range j.events {
		entries = append(entries, json.RawMessage(e))
	}
	return map[string]any{"pos": len(j.events), "entries": entries}
}

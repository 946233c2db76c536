package platformsim

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
)

// The journal service.

// Journal is the journal service.
type Journal struct {
	w      *World
	ln     net.Listener
	mu     sync.Mutex
	lines  []string // event N is lines[N-1]
	conns  map[net.Conn]int
	silent bool
	done   sync.WaitGroup
	stop   chan struct{}
}

// NewJournal starts a service that has the events of another, if not nil, and further ones.
func NewJournal(w *World, from *Journal) (*Journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &Journal{w: w, ln: ln, conns: map[net.Conn]int{}, stop: make(chan struct{})}
	if from != nil {
		from.mu.Lock()
		j.lines = append(j.lines, from.lines...)
		from.mu.Unlock()
	}
	j.done.Add(2)
	go j.accept()
	go j.numbers()
	return j, nil
}

// Addr is where it listens.
func (j *Journal) Addr() string { return j.ln.Addr().String() }

func (j *Journal) accept() {
	defer j.done.Done()
	for {
		c, err := j.ln.Accept()
		if err != nil {
			return
		}
		j.done.Add(1)
		go func() {
			defer j.done.Done()
			var from int
			if _, err := fmt.Fscanf(c, "tail %d\n", &from); err != nil {
				c.Close()
				return
			}
			j.mu.Lock()
			j.conns[c] = min(from, len(j.lines))
			j.flush()
			j.mu.Unlock()
		}()
	}
}

func (j *Journal) numbers() {
	defer j.done.Done()
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
			if !j.silent {
				fmt.Fprintf(c, "%d\n", len(j.lines))
			}
		}
		j.mu.Unlock()
	}
}

func (j *Journal) flush() {
	if j.silent {
		return
	}
	for c, at := range j.conns {
		for ; at < len(j.lines); at++ {
			fmt.Fprintln(c, j.lines[at])
		}
		j.conns[c] = at
	}
}

// Tell adds an event: servers in a state.
func (j *Journal) Tell(whole bool, health string, list ...*Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	words := map[string]string{wire.HostReady: "ready", wire.HostDraining: "draining", wire.HostRemoved: "gone"}
	var hosts []wire.Host
	for _, s := range list {
		hosts = append(hosts, wire.Host{Name: s.Name(), Address: s.Addr(), Zone: "z", Kind: "k", Cell: int(s.ID), Health: health, Share: 10})
		j.w.add(record.Event{Source: "journal", Kind: record.ServerListed, Server: s.ID, Health: words[health]})
	}
	j.add(whole, hosts)
}

// List adds an event about servers of others' making.
func (j *Journal) List(whole bool, hosts ...wire.Host) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(whole, hosts)
}

func (j *Journal) add(whole bool, hosts []wire.Host) {
	b, _ := json.Marshal(wire.Event{Pos: uint64(len(j.lines) + 1), Hosts: &wire.Hosts{Seq: uint64(len(j.lines)), Whole: whole, Hosts: hosts}})
	j.lines = append(j.lines, string(b))
	j.flush()
}

// Last gives the number of the last event, and the events so far as JSON.
func (j *Journal) Last() (int, string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := ""
	for i, l := range j.lines {
		if i > 0 {
			out += ","
		}
		out += l
	}
	return len(j.lines), "[" + out + "]"
}

// Silence stops it or lets it go on; connections stay open.
func (j *Journal) Silence(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.silent = on
}

// Break writes half an event and ends the connections.
func (j *Journal) Break() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		fmt.Fprintf(c, `{"pos":%d,"hosts":{"seq`, len(j.lines)+1)
		c.Close()
	}
	j.conns = map[net.Conn]int{}
}

// Twice writes the last event once more.
func (j *Journal) Twice() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		fmt.Fprintln(c, j.lines[len(j.lines)-1])
	}
}

// Close ends it.
func (j *Journal) Close() {
	close(j.stop)
	j.ln.Close()
	j.mu.Lock()
	for c := range j.conns {
		c.Close()
	}
	j.mu.Unlock()
	j.done.Wait()
}

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

// Journal is a stand-in for the journal service.
type Journal struct {
	world    *World
	listener net.Listener
	mu       sync.Mutex
	events   []string         // as JSON; event N is events[N-1]
	conns    map[net.Conn]int // index of the next event to send
	silent   bool
	running  sync.WaitGroup
	stop     chan struct{}
}

// NewJournal starts a journal service. It starts with a copy of the events of previous, if that is not nil.
func NewJournal(world *World, previous *Journal) (*Journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &Journal{world: world, listener: ln, conns: map[net.Conn]int{}, stop: make(chan struct{})}
	if previous != nil {
		previous.mu.Lock()
		j.events = append(j.events, previous.events...)
		previous.mu.Unlock()
	}
	j.running.Add(2)
	go j.accept()
	go j.sendPositions()
	return j, nil
}

// Addr returns the address that the service listens on.
func (j *Journal) Addr() string { return j.listener.Addr().String() }

// accept accepts connections and reads from each the request for events ("tail N").
func (j *Journal) accept() {
	defer j.running.Done()
	for {
		c, err := j.listener.Accept()
		if err != nil {
			return
		}
		j.running.Add(1)
		go func() {
			defer j.running.Done()
			var from int
			if _, err := fmt.Fscanf(c, "tail %d\n", &from); err != nil {
				c.Close()
				return
			}
			j.mu.Lock()
			j.conns[c] = min(from, len(j.events))
			j.flush()
			j.mu.Unlock()
		}()
	}
}

// sendPositions sends the number of events on each connection once a second.
func (j *Journal) sendPositions() {
	defer j.running.Done()
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
				fmt.Fprintf(c, "%d\n", len(j.events))
			}
		}
		j.mu.Unlock()
	}
}

// flush sends the events that each connection has not received yet.
func (j *Journal) flush() {
	if j.silent {
		return
	}
	for c, next := range j.conns {
		for ; next < len(j.events); next++ {
			fmt.Fprintln(c, j.events[next])
		}
		j.conns[c] = next
	}
}

// AddServers appends an event that lists stand-in servers with a health, and records it. whole marks a complete list.
func (j *Journal) AddServers(whole bool, health string, servers ...*Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	healthNames := map[string]string{wire.HostReady: "ready", wire.HostDraining: "draining", wire.HostRemoved: "gone"}
	var hosts []wire.Host
	for _, s := range servers {
		hosts = append(hosts, wire.Host{Name: s.Name(), Address: s.Addr(), Zone: "z", Kind: "k", Cell: s.cell,
			Health: health, Share: 10})
		j.world.add(record.Event{Source: "journal", Kind: record.ServerListed, Server: s.ID,
			Health: healthNames[health]})
	}
	j.add(whole, hosts)
}

// AddHosts appends an event that lists any hosts; it is not recorded.
func (j *Journal) AddHosts(whole bool, hosts ...wire.Host) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(whole, hosts)
}

// add appends an event and sends it.
func (j *Journal) add(whole bool, hosts []wire.Host) {
	b, _ := json.Marshal(wire.Event{Pos: uint64(len(j.events) + 1),
		Hosts: &wire.Hosts{Seq: uint64(len(j.events)), Whole: whole, Hosts: hosts}})
	j.events = append(j.events, string(b))
	j.flush()
}

// Events returns the number of the last event, and all events so far as a JSON array.
func (j *Journal) Events() (int, string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	list := ""
	for i, event := range j.events {
		if i > 0 {
			list += ","
		}
		list += event
	}
	return len(j.events), "[" + list + "]"
}

// SetSilent stops all sending while on is true; connections stay open.
func (j *Journal) SetSilent(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.silent = on
}

// BreakConns writes half an event on each connection and closes it.
func (j *Journal) BreakConns() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		fmt.Fprintf(c, `{"pos":%d,"hosts":{"seq`, len(j.events)+1)
		c.Close()
	}
	j.conns = map[net.Conn]int{}
}

// RepeatLast sends the last event a second time.
func (j *Journal) RepeatLast() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		fmt.Fprintln(c, j.events[len(j.events)-1])
	}
}

// Close stops the service.
func (j *Journal) Close() {
	close(j.stop)
	j.listener.Close()
	j.mu.Lock()
	for c := range j.conns {
		c.Close()
	}
	j.mu.Unlock()
	j.running.Wait()
}

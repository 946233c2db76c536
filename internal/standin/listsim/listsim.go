// Package listsim is a stand-in for Consul's health API (GET /v1/health/service/NAME), with blocking queries and, on
// command, delayed changes and failures. It records which servers were reported to each front.
package listsim

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealledge/internal/record"
)

// Server is one server on the list.
type Server struct {
	ID         uint32
	Addr       string
	Cell       int
	Zone       string
	Kind       string
	Size       float64
	StartedAt  time.Time // zero: started long ago
	Health     string    // ready, draining or removed
	HTTPAddr   string    // address that delivers HLS segments
	ExtraAddrs []string  // further addresses: [IPV6]:PORT, or the path of a Unix socket
}

// List is the list service.
type List struct {
	rec      *record.Log
	listener net.Listener
	srv      *http.Server
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change

	servers  map[uint32]Server // the current list, by server id
	index    uint64
	delay    time.Duration
	failing  bool
	empty    bool
	reported map[string]map[uint32]Server // the last non-empty list sent, by front
	seq      uint64
	applied  map[uint32]uint64 // sequence number of the newest change applied, by server
	closed   bool
}

// New starts the service at addr, a loopback address.
func New(addr string, rec *record.Log) (*List, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("list stand-in: %w", err)
	}
	l := &List{rec: rec, listener: ln, changed: make(chan struct{}), servers: map[uint32]Server{},
		index: 10, reported: map[string]map[uint32]Server{}, applied: map[uint32]uint64{}}
	l.srv = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second}
	go l.srv.Serve(ln)
	return l, nil
}

// Addr returns the address that the service listens on.
func (l *List) Addr() string { return l.listener.Addr().String() }

// Close stops the service.
func (l *List) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.notifyWaiters()
	}
	l.mu.Unlock()
	l.srv.Close()
}

// Set adds a server to the list or changes it; the change is visible to fronts after the delay.
func (l *List) Set(s Server) {
	l.schedule(s.ID, func() { l.servers[s.ID] = s })
}

// Remove removes a server from the list, after the delay.
func (l *List) Remove(id uint32) {
	l.schedule(id, func() { delete(l.servers, id) })
}

// schedule applies a change after the delay. A change is dropped if a newer change of the same server was applied
// first.
func (l *List) schedule(id uint32, change func()) {
	l.mu.Lock()
	delay := l.delay
	l.seq++
	seq := l.seq
	l.mu.Unlock()
	apply := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.applied[id] > seq || l.closed {
			return
		}
		l.applied[id] = seq
		change()
		l.notifyWaiters()
	}
	if delay == 0 {
		apply()
		return
	}
	time.AfterFunc(delay, apply)
}

// notifyWaiters increases the index and wakes all blocking queries.
func (l *List) notifyWaiters() {
	l.index++
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetDelay sets the delay between a later change and its effect on the list.
func (l *List) SetDelay(d time.Duration) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

// SetFailing makes every request fail with status 500 while on is true.
func (l *List) SetFailing(on bool) { l.mu.Lock(); l.failing = on; l.notifyWaiters(); l.mu.Unlock() }

// SetEmpty makes every response an empty list while on is true.
func (l *List) SetEmpty(on bool) { l.mu.Lock(); l.empty = on; l.notifyWaiters(); l.mu.Unlock() }

// ResetIndex sets the index back to 1 and increments it for this change, as in a service restored from an old copy.
func (l *List) ResetIndex() { l.mu.Lock(); l.index = 1; l.notifyWaiters(); l.mu.Unlock() }

// entry is one element of the JSON response.
type entry struct {
	Node    map[string]any
	Service map[string]any
	Checks  []map[string]any
}

// serve answers a query for the servers of a service. A query with the current index blocks until the list changes or
// its wait time is over.
func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, "/v1/health/service/") {
		http.NotFound(w, r)
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/v1/health/service/")
	lastIndex, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > 10*time.Minute {
		wait = 5 * time.Minute
	}
	timeout := time.After(wait)
	l.mu.Lock()
	for lastIndex != 0 && l.index == lastIndex && !l.closed {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			lastIndex = 0
		case <-r.Context().Done():
			return
		}
		l.mu.Lock()
	}
	if l.failing || l.closed {
		l.mu.Unlock()
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return
	}
	entries := []entry{}
	front := r.Header.Get("X-Tealledge-Front")
	if r.URL.Query().Get("index") == "" { // a front that starts or restarts has no state from earlier responses
		delete(l.reported, front)
	}
	reported := map[uint32]Server{}
	if !l.empty {
		for _, s := range l.servers {
			reported[s.ID] = s
			entries = append(entries, newEntry(name, s))
		}
	}
	index := l.index
	events := l.reportedChanges(front, reported)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if json.NewEncoder(w).Encode(entries) == nil {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		for _, e := range events { // recorded only after the response is written
			l.rec.Add(e)
		}
	}
}

// reportedChanges returns an event for each server whose entry is new to a front, and stores the list as reported.
func (l *List) reportedChanges(front string, servers map[uint32]Server) (events []record.Event) {
	previous := l.reported[front]
	for id, s := range servers {
		if before, ok := previous[id]; !ok || before.Health != s.Health || !before.StartedAt.Equal(s.StartedAt) {
			events = append(events, record.Event{Source: "list", Kind: record.ServerListed, Front: front,
				Server: id, Health: s.Health, StartedAt: startedNanos(s)})
		}
	}
	if len(servers) > 0 { // fronts do not accept an empty list at once
		for id := range previous {
			if _, listed := servers[id]; !listed {
				events = append(events, record.Event{Source: "list", Kind: record.ServerListed, Front: front,
					Server: id, Health: "removed"})
			}
		}
		l.reported[front] = servers
	}
	return events
}

// startedNanos returns the start time in Unix nanoseconds, 0 if the server started long ago.
func startedNanos(s Server) int64 {
	if s.StartedAt.IsZero() {
		return 0
	}
	return s.StartedAt.UnixNano()
}

// newEntry builds the JSON entry of a server.
func newEntry(name string, s Server) entry {
	host, port, _ := net.SplitHostPort(s.Addr)
	portNumber, _ := strconv.Atoi(port)
	meta := map[string]string{"server": strconv.FormatUint(uint64(s.ID), 10), "cell": strconv.Itoa(s.Cell),
		"zone": s.Zone, "kind": s.Kind, "size": strconv.FormatFloat(s.Size, 'g', -1, 64),
		"started": strconv.FormatInt(startedNanos(s), 10)}
	e := entry{Node: map[string]any{"ID": fmt.Sprintf("00000000-0000-0000-0000-%012d", s.ID),
		"Node":    fmt.Sprintf("media-%d", s.ID),
		"Address": host, "Datacenter": "dc1", "Meta": meta},
		Service: map[string]any{"ID": fmt.Sprintf("%s-%d", name, s.ID), "Service": name, "Address": host,
			"Port": portNumber, "Meta": meta},
		Checks: []map[string]any{{"Node": fmt.Sprintf("media-%d", s.ID), "CheckID": "serfHealth", "Status": "passing"}}}
	meta["http"] = s.HTTPAddr
	tagged := map[string]any{}
	for _, addr := range s.ExtraAddrs {
		if strings.HasPrefix(addr, "/") {
			meta["unix"] = addr
		} else if extraHost, extraPort, err := net.SplitHostPort(addr); err == nil {
			extraPortNumber, _ := strconv.Atoi(extraPort)
			tagged["lan_ipv6"] = map[string]any{"Address": extraHost, "Port": extraPortNumber}
		}
	}
	e.Service["TaggedAddresses"] = tagged
	switch s.Health {
	case "draining":
		e.Checks = append(e.Checks, map[string]any{"CheckID": "_service_maintenance:" + name, "Status": "critical"})
	case "removed":
		e.Checks[0]["Status"] = "critical"
	}
	return e
}

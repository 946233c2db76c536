// Package listsim is a stand-in for Consul's health API (GET /v1/health/service/NAME), with blocking queries, lag
// and failures on command. It writes down what each front was told.
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

// Server is a listed server.
type Server struct {
	ID      uint32
	Addr    string
	Cell    int
	Zone    string
	Kind    string
	Size    float64
	Started time.Time // zero: long ago
	Health  string    // ready, draining or removed
	HTTP    string    // where it delivers HLS segments
	More    []string  // further addresses: [IPV6]:PORT, or a Unix socket's path
}

// List is the service.
type List struct {
	rec  *record.Log
	ln   net.Listener
	srv  *http.Server
	mu   sync.Mutex
	news chan struct{} // closed at each change

	shown   map[uint32]Server // as it is told
	index   uint64
	lag     time.Duration
	failing bool
	empty   bool
	told    map[string]map[uint32]Server // by front
	seq     uint64
	applied map[uint32]uint64 // newest change made, by server
	closed  bool
}

// New starts the service on a loopback address.
func New(addr string, rec *record.Log) (*List, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("list stand-in: %w", err)
	}
	l := &List{rec: rec, ln: ln, news: make(chan struct{}), shown: map[uint32]Server{},
		index: 10, told: map[string]map[uint32]Server{}, applied: map[uint32]uint64{}}
	l.srv = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second}
	go l.srv.Serve(ln)
	return l, nil
}

// Addr is where it listens.
func (l *List) Addr() string { return l.ln.Addr().String() }

// Close ends the service.
func (l *List) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.bump()
	}
	l.mu.Unlock()
	l.srv.Close()
}

// Set lists a server or changes it; fronts hear of it after the lag.
func (l *List) Set(s Server) {
	l.later(s.ID, func() { l.shown[s.ID] = s })
}

// Remove takes a server off the list.
func (l *List) Remove(id uint32) {
	l.later(id, func() { delete(l.shown, id) })
}

// later makes a change after the lag. One that was overtaken by a newer change of the same server is dropped.
func (l *List) later(id uint32, change func()) {
	l.mu.Lock()
	lag := l.lag
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
		l.bump()
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// bump tells all that wait that there is news.
func (l *List) bump() {
	l.index++
	close(l.news)
	l.news = make(chan struct{})
}

// Lag delays changes from now on; Fail answers with errors; Empty answers with an empty list; Rewind sets the
// index back.
func (l *List) Lag(d time.Duration) { l.mu.Lock(); l.lag = d; l.mu.Unlock() }

// Fail makes every call fail.
func (l *List) Fail(on bool) { l.mu.Lock(); l.failing = on; l.bump(); l.mu.Unlock() }

// Empty makes the list look empty.
func (l *List) Empty(on bool) { l.mu.Lock(); l.empty = on; l.bump(); l.mu.Unlock() }

// Rewind sets the index back, as a service restored from an old copy does.
func (l *List) Rewind() { l.mu.Lock(); l.index = 1; l.bump(); l.mu.Unlock() }

type entry struct {
	Node    map[string]any
	Service map[string]any
	Checks  []map[string]any
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, "/v1/health/service/") {
		http.NotFound(w, r)
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/v1/health/service/")
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > 10*time.Minute {
		wait = 5 * time.Minute
	}
	end := time.After(wait)
	l.mu.Lock()
	for after != 0 && l.index == after && !l.closed {
		news := l.news
		l.mu.Unlock()
		select {
		case <-news:
		case <-end:
			after = 0
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
	list := []entry{}
	front := r.Header.Get("X-Tealledge-Front")
	if r.URL.Query().Get("index") == "" { // a front that starts, or starts over, knows nothing of earlier answers
		delete(l.told, front)
	}
	told := map[uint32]Server{}
	if !l.empty {
		for _, s := range l.shown {
			told[s.ID] = s
			list = append(list, node(name, s))
		}
	}
	index := l.index
	events := l.tell(front, told)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if json.NewEncoder(w).Encode(list) == nil {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		for _, e := range events { // told once it is written, not before
			l.rec.Add(e)
		}
	}
}

// tell gives what is new to a front.
func (l *List) tell(front string, list map[uint32]Server) (events []record.Event) {
	old := l.told[front]
	for id, s := range list {
		if was, ok := old[id]; !ok || was.Health != s.Health || !was.Started.Equal(s.Started) {
			events = append(events, record.Event{Source: "list", Kind: record.ServerListed, Front: front, Server: id, Health: s.Health,
				StartedAt: started(s)})
		}
	}
	if len(list) > 0 { // an empty answer tells nothing that is believed at once
		for id := range old {
			if _, still := list[id]; !still {
				events = append(events, record.Event{Source: "list", Kind: record.ServerListed, Front: front, Server: id, Health: "removed"})
			}
		}
		l.told[front] = list
	}
	return events
}

func started(s Server) int64 {
	if s.Started.IsZero() {
		return 0
	}
	return s.Started.UnixNano()
}

func node(name string, s Server) entry {
	host, port, _ := net.SplitHostPort(s.Addr)
	p, _ := strconv.Atoi(port)
	meta := map[string]string{"server": strconv.FormatUint(uint64(s.ID), 10), "cell": strconv.Itoa(s.Cell), "zone": s.Zone,
		"kind": s.Kind, "size": strconv.FormatFloat(s.Size, 'g', -1, 64), "started": strconv.FormatInt(started(s), 10)}
	e := entry{Node: map[string]any{"ID": fmt.Sprintf("00000000-0000-0000-0000-%012d", s.ID), "Node": fmt.Sprintf("media-%d", s.ID),
		"Address": host, "Datacenter": "dc1", "Meta": meta},
		Service: map[string]any{"ID": fmt.Sprintf("%s-%d", name, s.ID), "Service": name, "Address": host, "Port": p, "Meta": meta},
		Checks:  []map[string]any{{"Node": fmt.Sprintf("media-%d", s.ID), "CheckID": "serfHealth", "Status": "passing"}}}
	meta["http"] = s.HTTP
	tagged := map[string]any{}
	for _, a := range s.More {
		if strings.HasPrefix(a, "/") {
			meta["unix"] = a
		} else if h, po, err := net.SplitHostPort(a); err == nil {
			n, _ := strconv.Atoi(po)
			tagged["lan_ipv6"] = map[string]any{"Address": h, "Port": n}
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

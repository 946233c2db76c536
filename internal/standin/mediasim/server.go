package mediasim

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealledge/internal/record"
	"tealledge/internal/rtsp"
)

// Server is one stand-in media server. Its exported methods may be called at any time, from any goroutine.
type Server struct {
	ID     uint32
	Cell   int
	farm   *Farm
	rack   int
	linkKB float64

	// Guarded by the farm's mutex.
	listener       net.Listener
	extraListeners []*extraListener
	httpServer     *http.Server
	httpAddr       string
	addr           string
	up             bool
	overloaded     bool
	startedAt      time.Time // start of the process if it started cold, else zero
	conns          map[*conn]struct{}
	streams        map[string]*stream // by RTSP session id
	lastStream     int
	recentSetups   []time.Time // times of set-ups within OverloadWindow while cold
	demand         float64
	linkUse        float64
	uplinkUse      float64
	share          float64
	samples        []sample
	reportedAt     time.Time
	reported       sample

	// Faults.
	stalled, silent, slow       bool
	errorRate, lossRate         float64 // fractions of set-ups
	garbageRate, truncationRate float64
	linkFactor                  float64 // fraction of the link's rate that is available
	running                     sync.WaitGroup
	mode                        string // of the IPv4 address
}

// stream is one RTSP session.
type stream struct {
	id         string
	pipelineID string // Pipelined-Requests id on setupConn
	attempt    record.Event
	rung       int
	playing    bool
	conn       *conn
	setupConn  *conn     // the connection that it was set up on
	connLostAt time.Time // when its connection was lost
	wasShort   bool
}

// conn is one connection of a front.
type conn struct {
	server       *Server
	nc           net.Conn
	jobs         chan job
	seq          uint32
	writeMu      sync.Mutex
	front        string
	shareNotedAt time.Time
	useNotedAt   time.Time
	pipelined    map[string]*stream // by Pipelined-Requests id
	closed       chan struct{}

	network, mode string
}

// job is a request to be handled.
type job struct {
	message    *rtsp.Message
	receivedAt time.Time
}

// Addr returns the server's IPv4 address; it stays the same across restarts.
func (s *Server) Addr() string { s.farm.mu.Lock(); defer s.farm.mu.Unlock(); return s.addr }

// StartedAt returns the start time of a process that started cold, zero for one that started long ago.
func (s *Server) StartedAt() time.Time {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	return s.startedAt
}

// Up reports whether the server's process runs.
func (s *Server) Up() bool { s.farm.mu.Lock(); defer s.farm.mu.Unlock(); return s.up }

// UpdateFaults changes the injected faults by calling change under the farm's lock.
func (s *Server) UpdateFaults(change func(f *Faults)) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	f := Faults{s.stalled, s.silent, s.slow, s.errorRate, s.lossRate, s.garbageRate, s.truncationRate, 1 - s.linkFactor}
	change(&f)
	s.stalled, s.silent, s.slow, s.errorRate, s.lossRate, s.garbageRate, s.truncationRate, s.linkFactor =
		f.Stalled, f.Silent, f.Slow, f.SetupErrors, f.LostReplies, f.GarbageReplies, f.TruncatedReplies,
		max(1-f.LinkTaken, 0.001)
}

// Faults are the faults injected into a server.
type Faults struct {
	Stalled          bool    // accepts requests and sends no response; its streams deliver nothing
	Silent           bool    // as if the machine were unreachable: what arrives is recorded, nothing is sent back
	Slow             bool    // reads slowly
	SetupErrors      float64 // fraction of set-ups that fail at once
	LostReplies      float64 // fraction of responses to set-ups that are not sent; their streams play
	GarbageReplies   float64 // fraction of responses that are not RTSP
	TruncatedReplies float64 // fraction of responses that are cut in the middle
	LinkTaken        float64 // fraction of the link that another program takes
}

// Kill stops the process and resets all connections. The server stays down until Restart.
func (s *Server) Kill() { s.stop("killed", false) }

// Restart starts a killed or silent server again, cold. A server that crashed under overload stays down.
func (s *Server) Restart() error {
	s.stop("restarted", false)
	s.farm.mu.Lock()
	if s.overloaded {
		s.farm.mu.Unlock()
		return nil // it stays down
	}
	s.stalled, s.silent, s.errorRate, s.lossRate = false, false, 0, 0
	s.farm.mu.Unlock()
	return s.listen(s.addr, true)
}

// Redirect notifies every front that the server goes out of service (RFC 7826 section 13.10).
func (s *Server) Redirect() {
	for _, c := range s.connections() {
		c.request(rtsp.Message{Method: rtsp.Redirect, URI: "*",
			Headers: []rtsp.Header{{Name: "Terminate-Reason", Value: "Server-Admin"}}})
	}
}

// connections returns the open connections.
func (s *Server) connections() (list []*conn) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// listen opens the server's addresses and starts to accept connections.
func (s *Server) listen(addr string, cold bool) error {
	var ln net.Listener
	var err error
	for attempt := 0; attempt < 50; attempt++ { // the old process may release the port a moment later
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("media stand-in %d: %w", s.ID, err)
	}
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	s.listener, s.addr, s.up = ln, ln.Addr().String(), true
	if cold {
		s.startedAt, s.recentSetups = time.Now(), nil
	}
	s.farm.rec.Add(record.Event{Source: s.name(), Kind: record.ServerStarted, Server: s.ID, Cold: cold,
		Slots: s.farm.params.Slots})
	s.running.Add(1)
	go s.accept(ln)
	for _, l := range s.extraListeners {
		if err := l.listen(); err != nil {
			return fmt.Errorf("media stand-in %d: %w", s.ID, err)
		}
		s.running.Add(1)
		go s.accept(l.listener)
	}
	return nil
}

// accept accepts connections until the listener is closed.
func (s *Server) accept(ln net.Listener) {
	defer s.running.Done()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := &conn{server: s, nc: nc, jobs: make(chan job, 4096), pipelined: map[string]*stream{},
			closed: make(chan struct{})}
		s.farm.mu.Lock()
		c.network, c.mode = s.listenerMode(ln)
		if !s.up || c.mode == AddressResets {
			if t, ok := nc.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			s.farm.mu.Unlock()
			nc.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.running.Add(2)
		s.farm.mu.Unlock()
		go c.read()
		go c.serve()
	}
}

// stop stops the process: its streams end and its connections are reset. overloaded says that it crashed under
// overload.
func (s *Server) stop(reason string, overloaded bool) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	s.stopLocked(reason, overloaded)
}

// stopLocked is stop for callers that hold the farm's lock.
func (s *Server) stopLocked(reason string, overloaded bool) {
	if !s.up {
		return
	}
	s.up, s.overloaded = false, s.overloaded || overloaded
	s.listener.Close()
	for _, l := range s.extraListeners {
		l.listener.Close()
	}
	for c := range s.conns {
		if t, ok := c.nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.nc.Close()
	}
	for _, st := range s.streams {
		s.endStream(st, reason)
	}
	s.farm.rec.Add(record.Event{Source: s.name(), Kind: record.ServerDied, Server: s.ID, Text: reason})
}

// endStream ends a stream and records the reason.
func (s *Server) endStream(st *stream, reason string) {
	if s.streams[st.id] != st {
		return
	}
	delete(s.streams, st.id)
	if st.setupConn != nil && st.setupConn.pipelined[st.pipelineID] == st {
		delete(st.setupConn.pipelined, st.pipelineID)
	}
	if st.playing {
		e := st.attempt
		e.At, e.Kind, e.Text = 0, record.StreamEnded, reason
		s.farm.rec.Add(e)
	}
}

// read decodes requests from the connection and queues them as jobs.
func (c *conn) read() {
	defer c.server.running.Done()
	defer c.close()
	var d rtsp.Decoder
	buf := make([]byte, 32<<10)
	for {
		chunk := buf
		if c.hasFault(func(s *Server) bool { return s.slow }) {
			time.Sleep(2 * time.Millisecond)
			chunk = buf[:64]
		}
		n, err := c.nc.Read(chunk)
		if err != nil {
			return
		}
		d.Feed(buf[:n])
		for {
			m, err := d.Next()
			if err != nil {
				return
			}
			if m == nil {
				break
			}
			c.recordReceived(m)
			select {
			case c.jobs <- job{m, time.Now()}:
			default:
				return // more queued requests than a server would hold
			}
		}
	}
}

// hasFault reports whether a fault is active.
func (c *conn) hasFault(active func(*Server) bool) bool {
	c.server.farm.mu.Lock()
	defer c.server.farm.mu.Unlock()
	return active(c.server)
}

// waitWhile waits while a fault is active and the process runs; it returns true if the connection closed meanwhile.
func (c *conn) waitWhile(active func(*Server) bool) bool {
	for c.hasFault(func(s *Server) bool { return s.up && active(s) }) {
		select {
		case <-c.closed:
			return true
		case <-time.After(10 * time.Millisecond):
		}
	}
	return false
}

// recordReceived records a received request, whether or not it is ever handled.
func (c *conn) recordReceived(m *rtsp.Message) {
	switch m.Method {
	case rtsp.Setup:
		e := c.attemptEvent(m)
		e.Kind, e.Text = record.SetupReceived, m.Get("Pipelined-Requests")
		c.server.farm.mu.Lock()
		c.front = e.Front
		c.server.farm.mu.Unlock()
		c.server.farm.rec.Add(e)
	case rtsp.Teardown:
		c.server.farm.mu.Lock()
		e := record.Event{Source: c.server.name(), Front: c.front, Server: c.server.ID,
			Text: m.Get("Pipelined-Requests")}
		if st := c.server.streams[m.Session()]; st != nil {
			e = st.attempt
			e.At, e.Text = 0, st.pipelineID
		}
		c.server.farm.mu.Unlock()
		e.Kind = record.TeardownReceived
		c.server.farm.rec.Add(e)
	}
}

// attemptEvent returns a record with the attempt that the headers of a SETUP describe.
func (c *conn) attemptEvent(m *rtsp.Message) record.Event {
	e := record.Event{Source: c.server.name(), Server: c.server.ID, Viewer: m.Get("Tealledge-Viewer"),
		Title: titleOf(m.URI)}
	if parts := strings.Split(m.Get("Tealledge-Attempt"), "/"); len(parts) == 3 {
		e.Front, e.Session = parts[0], parts[1]
		e.Attempt, _ = strconv.Atoi(parts[2])
	}
	e.Class, _ = strconv.Atoi(m.Get("Tealledge-Class"))
	e.Rung, _ = strconv.Atoi(m.Get("Tealledge-Rung"))
	return e
}

// titleOf returns the title in an RTSP URI.
func titleOf(uri string) string {
	rest, _ := strings.CutPrefix(uri, "rtsp://")
	_, t, _ := strings.Cut(rest, "/")
	return t
}

// close closes the connection. A set-up in progress on it ends, a playing stream is kept for SessionTimeout.
func (c *conn) close() {
	c.nc.Close()
	s := c.server
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	close(c.closed)
	close(c.jobs)
	s.farm.rec.Add(record.Event{Source: s.name(), Kind: record.ServerConnEnded, Server: s.ID, Front: c.front})
	for _, st := range s.streams {
		if st.conn != c {
			continue
		}
		if !st.playing { // a set-up in progress ends with its connection
			s.endStream(st, "connection lost")
			continue
		}
		st.conn, st.connLostAt = nil, time.Now()
	}
}

// endExpiredStreams ends streams that have had no connection for SessionTimeout.
func (s *Server) endExpiredStreams(now time.Time) {
	for _, st := range s.streams {
		if st.conn == nil && now.Sub(st.connLostAt) >= s.farm.params.SessionTimeout {
			s.endStream(st, "no keep-alive")
		}
	}
}

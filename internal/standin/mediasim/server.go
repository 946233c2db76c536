package mediasim

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealledge/internal/record"
	"tealledge/internal/rtsp"
)

// Server is one stand-in media server. Its exported methods may be called at any time.
type Server struct {
	ID   uint32
	Cell int
	farm *Farm
	rack int
	link float64

	// Guarded by the farm's mutex.
	ln       net.Listener
	extra    []*way
	web      *http.Server
	webAddr  string
	addr     string
	up       bool
	fallen   bool
	started  time.Time // of its process, if that started cold
	conns    map[*conn]struct{}
	streams  map[string]*stream // by RTSP session id
	next     int
	setups   []time.Time // of late, for falling over
	asked    float64
	use      float64
	useUp    float64
	share    float64
	past     []sample
	reportAt time.Time
	reported sample

	// Faults.
	stalled, silent, slow bool
	errors, lose          float64 // parts of set-ups
	garbage, half         float64
	free                  float64 // part of the link that is left
	running               sync.WaitGroup
	mode                  string // of the IPv4 address
}

type stream struct {
	id       string
	pipe     string // Pipelined-Requests id on its connection
	key      record.Event
	rung     int
	playing  bool
	conn     *conn
	origin   *conn     // where it was set up
	lostAt   time.Time // its connection was lost then
	wasShort bool
}

// conn is one connection of a front.
type conn struct {
	s     *Server
	nc    net.Conn
	work  chan job
	seq   uint32
	wmu   sync.Mutex
	front string
	noted time.Time
	told  time.Time
	pipes map[string]*stream // by Pipelined-Requests id
	gone  chan struct{}

	network, mode string
}

type job struct {
	m  *rtsp.Message
	at time.Time
}

// Addr is where the server is reached; it stays the same over restarts.
func (s *Server) Addr() string { s.farm.mu.Lock(); defer s.farm.mu.Unlock(); return s.addr }

// Started gives the start of a process that started cold; zero: long ago.
func (s *Server) Started() time.Time { s.farm.mu.Lock(); defer s.farm.mu.Unlock(); return s.started }

// Up tells whether its process runs.
func (s *Server) Up() bool { s.farm.mu.Lock(); defer s.farm.mu.Unlock(); return s.up }

// Fault changes the faults shown, under the farm's lock.
func (s *Server) Fault(change func(f *Faults)) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	f := Faults{s.stalled, s.silent, s.slow, s.errors, s.lose, s.garbage, s.half, 1 - s.free}
	change(&f)
	s.stalled, s.silent, s.slow, s.errors, s.lose, s.garbage, s.half, s.free = f.Stalled, f.Silent, f.Slow, f.Errors, f.Lose, f.Garbage, f.Half, max(1-f.Taken, 0.001)
}

// Faults is what a server shows.
type Faults struct {
	Stalled bool    // takes work, answers nothing; its streams get nothing
	Silent  bool    // as a machine that is gone: what reaches it is written down, nothing comes back
	Slow    bool    // reads slowly
	Errors  float64 // part of the set-ups that fail fast
	Lose    float64 // part of the answers to set-ups that are lost; their streams play
	Garbage float64 // part of the answers that are no RTSP
	Half    float64 // part of the answers that break off in the middle
	Taken   float64 // part of the link that another program takes
}

// Kill ends the process with resets on all connections. It stays down until Restart.
func (s *Server) Kill() { s.end("killed", false) }

// Restart starts a killed or silent server anew, cold.
func (s *Server) Restart() error {
	s.end("restarted", false)
	s.farm.mu.Lock()
	if s.fallen {
		s.farm.mu.Unlock()
		return nil // it stays down
	}
	s.stalled, s.silent, s.errors, s.lose = false, false, 0, 0
	s.farm.mu.Unlock()
	return s.listen(s.addr, true)
}

// Redirect tells every front that the server leaves (RFC 7826 section 13.10).
func (s *Server) Redirect() {
	for _, c := range s.all() {
		c.request(rtsp.Message{Method: rtsp.Redirect, URI: "*", Headers: []rtsp.Header{{Name: "Terminate-Reason", Value: "Server-Admin"}}})
	}
}

func (s *Server) all() (list []*conn) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

func (s *Server) listen(addr string, cold bool) error {
	var ln net.Listener
	var err error
	for try := 0; try < 50; try++ { // the old process's port may be free a moment later
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
	s.ln, s.addr, s.up = ln, ln.Addr().String(), true
	if cold {
		s.started, s.setups = time.Now(), nil
	}
	s.farm.rec.Add(record.Event{Source: s.name(), Kind: record.ServerStarted, Server: s.ID, Cold: cold, Slots: s.farm.p.Slots})
	s.running.Add(1)
	go s.accept(ln)
	for _, w := range s.extra {
		if err := w.listen(); err != nil {
			return fmt.Errorf("media stand-in %d: %w", s.ID, err)
		}
		s.running.Add(1)
		go s.accept(w.ln)
	}
	return nil
}

// way is a further address of a server.
type way struct {
	network, addr string
	ln            net.Listener
	mode          string // "", or a bad behaviour: see Path
}

func (w *way) listen() (err error) {
	if w.network == "unix" {
		os.Remove(w.addr)
	}
	for range 50 {
		if w.ln, err = net.Listen(w.network, w.addr); err == nil {
			w.addr = w.ln.Addr().String()
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// Addrs gives all addresses of the server, IPv4 first.
func (s *Server) Addrs() []string {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	list := []string{s.addr}
	for _, w := range s.extra {
		list = append(list, w.addr)
	}
	return list
}

// Ways in which an address may misbehave.
const (
	PathGood   = ""
	PathSilent = "silent" // accepts, reads and never answers
	PathResets = "resets" // accepts, then resets
	PathStalls = "stalls" // answers OPTIONS, but no set-up
)

// Path has the address of a network (tcp, tcp6, unix) behave in a way, on new connections. Those that stand are reset.
func (s *Server) Path(network, mode string) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	if network == "tcp" {
		s.mode = mode
	}
	for _, w := range s.extra {
		if w.network == network {
			w.mode = mode
		}
	}
	for c := range s.conns {
		if c.network == network && mode != PathGood {
			c.nc.Close()
		}
	}
}

// way gives the network of a listener and how it behaves now.
func (s *Server) way(ln net.Listener) (network, mode string) {
	for _, w := range s.extra {
		if w.ln == ln {
			return w.network, w.mode
		}
	}
	return "tcp", s.mode
}

func (s *Server) accept(ln net.Listener) {
	defer s.running.Done()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := &conn{s: s, nc: nc, work: make(chan job, 4096), pipes: map[string]*stream{}, gone: make(chan struct{})}
		s.farm.mu.Lock()
		c.network, c.mode = s.way(ln)
		if !s.up || c.mode == PathResets {
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

// end ends the process: its streams are gone, its connections are reset.
func (s *Server) end(why string, fell bool) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	s.endLocked(why, fell)
}

func (s *Server) endLocked(why string, fell bool) {
	if !s.up {
		return
	}
	s.up, s.fallen = false, s.fallen || fell
	s.ln.Close()
	for _, w := range s.extra {
		w.ln.Close()
	}
	for c := range s.conns {
		if t, ok := c.nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.nc.Close()
	}
	for _, st := range s.streams {
		s.drop(st, why)
	}
	s.farm.rec.Add(record.Event{Source: s.name(), Kind: record.ServerDied, Server: s.ID, Text: why})
}

// drop ends a stream.
func (s *Server) drop(st *stream, why string) {
	if s.streams[st.id] != st {
		return
	}
	delete(s.streams, st.id)
	if st.origin != nil && st.origin.pipes[st.pipe] == st {
		delete(st.origin.pipes, st.pipe)
	}
	if st.playing {
		e := st.key
		e.At, e.Kind, e.Text = 0, record.StreamEnded, why
		s.farm.rec.Add(e)
	}
}

func (c *conn) read() {
	defer c.s.running.Done()
	defer c.close()
	var d rtsp.Decoder
	buf := make([]byte, 32<<10)
	for {
		part := buf
		if c.flag(func(s *Server) bool { return s.slow }) {
			time.Sleep(2 * time.Millisecond)
			part = buf[:64]
		}
		n, err := c.nc.Read(part)
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
			c.arrived(m)
			select {
			case c.work <- job{m, time.Now()}:
			default:
				return // more waits than a server would hold
			}
		}
	}
}

// flag reads a fault.
func (c *conn) flag(is func(*Server) bool) bool {
	c.s.farm.mu.Lock()
	defer c.s.farm.mu.Unlock()
	return is(c.s)
}

// waitWhile waits while a fault lasts and the process runs; it gives true if the connection ended meanwhile.
func (c *conn) waitWhile(is func(*Server) bool) bool {
	for c.flag(func(s *Server) bool { return s.up && is(s) }) {
		select {
		case <-c.gone:
			return true
		case <-time.After(10 * time.Millisecond):
		}
	}
	return false
}

// arrived writes down what came, whether or not it is ever worked on.
func (c *conn) arrived(m *rtsp.Message) {
	switch m.Method {
	case rtsp.Setup:
		e := c.key(m)
		e.Kind, e.Text = record.SetupReceived, m.Get("Pipelined-Requests")
		c.s.farm.mu.Lock()
		c.front = e.Front
		c.s.farm.mu.Unlock()
		c.s.farm.rec.Add(e)
	case rtsp.Teardown:
		c.s.farm.mu.Lock()
		e := record.Event{Source: c.s.name(), Front: c.front, Server: c.s.ID, Text: m.Get("Pipelined-Requests")}
		if st := c.s.streams[m.Session()]; st != nil {
			e = st.key
			e.At, e.Text = 0, st.pipe
		}
		c.s.farm.mu.Unlock()
		e.Kind = record.TeardownReceived
		c.s.farm.rec.Add(e)
	}
}

// key reads what a SETUP says of itself.
func (c *conn) key(m *rtsp.Message) record.Event {
	e := record.Event{Source: c.s.name(), Server: c.s.ID, Viewer: m.Get("Tealledge-Viewer"), Title: title(m.URI)}
	if parts := strings.Split(m.Get("Tealledge-Attempt"), "/"); len(parts) == 3 {
		e.Front, e.Session = parts[0], parts[1]
		e.Attempt, _ = strconv.Atoi(parts[2])
	}
	e.Class, _ = strconv.Atoi(m.Get("Tealledge-Class"))
	e.Rung, _ = strconv.Atoi(m.Get("Tealledge-Rung"))
	return e
}

func title(uri string) string {
	rest, _ := strings.CutPrefix(uri, "rtsp://")
	_, t, _ := strings.Cut(rest, "/")
	return t
}

func (c *conn) close() {
	c.nc.Close()
	s := c.s
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	if _, here := s.conns[c]; !here {
		return
	}
	delete(s.conns, c)
	close(c.gone)
	close(c.work)
	s.farm.rec.Add(record.Event{Source: s.name(), Kind: record.ServerConnEnded, Server: s.ID, Front: c.front})
	for _, st := range s.streams {
		if st.conn != c {
			continue
		}
		if !st.playing { // a set-up under way dies with its connection
			s.drop(st, "connection lost")
			continue
		}
		st.conn, st.lostAt = nil, time.Now()
	}
}

// expire ends streams that no connection holds any more.
func (s *Server) expire(now time.Time) {
	for _, st := range s.streams {
		if st.conn == nil && now.Sub(st.lostAt) >= s.farm.p.Keep {
			s.drop(st, "no keep-alive")
		}
	}
}

package platformsim

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
	"tealledge/internal/standin/ports"
)

// Faults are the faults injected into a server.
type Faults struct {
	ReplyDelay      time.Duration // before the reply to a set-up
	NoReply         bool          // sends no replies to set-ups and probes
	Full            bool          // refuses set-ups as full
	Error           bool          // fails set-ups with an error
	InvalidReply    bool          // sends bytes that are no message in place of a reply
	HalfReply       bool          // sends half a reply, and then behaves as with NoReply
	DuplicateReply  bool          // sends a reply with an unknown session id first, and then the reply twice
	BreakReply      bool          // sets the session up, sends half its reply and resets the connection
	CloseConn       bool          // closes the connection in place of a reply
	TextBytes       int           // length of the description in a reply; 0: a short one
	HugeText        bool          // sends a reply whose text fits in a message, but not in a line to the viewer
	EndOnFrontClose bool          // ends the sessions of a connection that the front closes, each release in two parts
}

// Server is one stand-in server.
type Server struct {
	ID           uint32
	cell         int // position in the list; titles are held by position
	world        *World
	addr         string
	reservation  *ports.Reservation // keeps the address reserved while the server is down
	mu           sync.Mutex
	listener     net.Listener
	faults       Faults
	conns        map[net.Conn]bool
	sessions     map[uint64]session
	pendingEnds  [][]byte       // releases that no connection could carry, for the next one
	lastAttempts map[uint64]int // number of the last attempt received here, by session
	running      sync.WaitGroup
}

// session is a playing session and the record of its set-up.
type session struct {
	conn  net.Conn
	event record.Event
}

// NewServer starts a server at its own loopback address.
func NewServer(world *World, id uint32) (*Server, error) {
	reservation, err := ports.Reserve(1)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, cell: int(id), world: world, addr: reservation.Addrs[0], reservation: reservation,
		conns: map[net.Conn]bool{}, sessions: map[uint64]session{}, lastAttempts: map[uint64]int{}}
	return s, s.Start()
}

// Successor starts another server at the address of one that was killed and is not started again.
func (s *Server) Successor(id uint32) (*Server, error) {
	successor := &Server{ID: id, cell: s.cell, world: s.world, addr: s.addr, reservation: s.reservation,
		conns: map[net.Conn]bool{}, sessions: map[uint64]session{}, lastAttempts: map[uint64]int{}}
	return successor, successor.Start()
}

// Name returns the server's name on the list.
func (s *Server) Name() string { return fmt.Sprintf("s-%08x", s.ID) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Start starts to listen, after Kill at the same address as before.
func (s *Server) Start() error {
	ln, err := s.listen()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.addr = ln, ln.Addr().String()
	s.mu.Unlock()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.listener != ln { // killed meanwhile
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				s.mu.Unlock()
				return
			}
			s.conns[c] = true
			s.sendPendingEnds(c)
			s.mu.Unlock()
			s.running.Add(1)
			go s.serve(c)
		}
	}()
	return nil
}

// listenTimeout is how long Start waits for its address. A process that this one is just starting holds copies of all
// descriptors until it runs its program, that of a listener that Kill has closed too.
const listenTimeout = 2 * time.Second

// listen listens at the server's address.
func (s *Server) listen() (ln net.Listener, err error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(time.Millisecond) {
		ln, err = net.Listen("tcp", s.addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Kill stops the process: its connections are reset and its sessions are lost.
func (s *Server) Kill() {
	s.mu.Lock()
	s.world.add(record.Event{Source: s.Name(), Kind: record.ServerDied, Server: s.ID})
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.sessions, s.pendingEnds = map[uint64]session{}, nil
	s.mu.Unlock()
	s.running.Wait()
}

// ResetConns resets the connections; the sessions are kept.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// EndSession ends a session with a cause: 16 for its regular end, 41 for a cut, 31 for an end by its viewer. If its
// connection is lost, the release is sent on any other open connection; without one, on the next that is opened.
func (s *Server) EndSession(sid uint64, cause uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.sessions[sid]
	if !ok {
		return
	}
	delete(s.sessions, sid)
	e := p.event
	e.At, e.Kind = 0, record.StreamEnded
	s.world.add(e)
	conn := p.conn
	if !s.conns[conn] {
		conn = nil
		for o := range s.conns {
			conn = o
		}
	}
	release := (&wire.Message{Type: wire.Release, Session: sid}).AddCause(cause)
	if conn != nil {
		writeMessage(conn, release)
		return
	}
	b, _ := release.Append(nil)
	s.pendingEnds = append(s.pendingEnds, b)
}

// sendPendingEnds sends the releases that no connection could carry.
func (s *Server) sendPendingEnds(c net.Conn) {
	for _, b := range s.pendingEnds {
		c.Write(b)
	}
	s.pendingEnds = nil
}

// SendNote sends a note about a playing session.
func (s *Server) SendNote(sid uint64, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.sessions[sid]; ok {
		writeMessage(p.conn, (&wire.Message{Type: wire.Note, Session: sid}).
			Add(wire.ParamNote, name).Add(wire.ParamNoteValue, value))
	}
}

// Sessions returns the ids of the playing sessions.
func (s *Server) Sessions() (list []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sid := range s.sessions {
		list = append(list, sid)
	}
	return list
}

// writeMessage encodes and writes a message.
func writeMessage(c net.Conn, m *wire.Message) {
	b, _ := m.Append(nil)
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(b)
}

// serve reads messages from a connection until it closes.
func (s *Server) serve(c net.Conn) {
	defer s.running.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.world.add(record.Event{Source: s.Name(), Kind: record.ServerConnEnded, Server: s.ID})
		c.Close()
	}()
	var dec wire.Decoder
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			s.endSessionsOf(c)
			return
		}
		dec.Feed(b[:n])
		for {
			m, err := dec.Next()
			if err != nil {
				return
			}
			if m == nil {
				break
			}
			s.handle(c, m)
		}
	}
}

// endSessionsOf ends the sessions that were set up on a connection whose write side the front has closed, and sends the
// releases on it, if EndOnFrontClose is set.
func (s *Server) endSessionsOf(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.EndOnFrontClose {
		return
	}
	for sid, p := range s.sessions {
		if p.conn != c {
			continue
		}
		delete(s.sessions, sid)
		p.event.At, p.event.Kind = 0, record.StreamEnded
		s.world.add(p.event)
		b, _ := (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseEnded).Append(nil)
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write(b[:len(b)/2])
		time.Sleep(20 * time.Millisecond)
		c.Write(b[len(b)/2:])
	}
}

// handle handles one message of the front.
func (s *Server) handle(c net.Conn, m *wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := func(code uint8) string { v, _ := m.Get(code); return string(v) }
	switch m.Type {
	case wire.SetUp:
		s.world.mu.Lock()
		e := record.Event{Source: s.Name(), Kind: record.SetupReceived, Session: wire.Sid(m.Session),
			Attempt: s.world.setupCounts[m.Session], Server: s.ID,
			Class: s.world.classIndexes[text(wire.ParamClass)], Title: text(wire.ParamTitle)}
		s.lastAttempts[m.Session] = e.Attempt
		s.world.setupCounts[m.Session]++
		s.world.mu.Unlock()
		s.world.add(e)
		faults := s.faults
		time.AfterFunc(faults.ReplyDelay, func() { s.replySetup(c, m.Session, e, faults) })
	case wire.Release:
		if p, ok := s.sessions[m.Session]; ok {
			delete(s.sessions, m.Session)
			p.event.At, p.event.Kind = 0, record.StreamEnded
			s.world.add(p.event)
			writeMessage(c, &wire.Message{Type: wire.Released, Session: m.Session})
			return
		}
		// The number of the last attempt received here: a later attempt may already be at another server, on another
		// connection.
		s.world.add(record.Event{Source: s.Name(), Kind: record.TeardownReceived, Session: wire.Sid(m.Session),
			Attempt: s.lastAttempts[m.Session], Server: s.ID})
	case wire.Test:
		if !s.faults.NoReply {
			reply := (&wire.Message{Type: wire.Tested, Session: m.Session}).AddCause(1)
			if cause, _ := m.Cause(); cause == wire.CauseReport {
				reply.Add(wire.ParamReport, "x0:0.2;x1:0.2")
			}
			writeMessage(c, reply)
		}
	}
}

// replySetup replies to a set-up, with the faults that were injected when it was received.
func (s *Server) replySetup(c net.Conn, sid uint64, event record.Event, faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c] {
		return
	}
	event.At, event.Kind, event.Status = 0, record.SetupAnswered, 500
	switch {
	case faults.NoReply:
	case faults.CloseConn:
		c.Close()
	case faults.InvalidReply:
		c.Write([]byte("what is this noise"))
	case faults.Full:
		event.Status = 453
		s.world.add(event)
		writeMessage(c, (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseFull))
	case faults.Error:
		s.world.add(event)
		writeMessage(c, (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseError))
	case faults.HalfReply:
		b, _ := (&wire.Message{Type: wire.Ready, Session: sid}).Add(wire.ParamText, "half of it").Append(nil)
		c.Write(b[:len(b)/2])
		s.faults.NoReply = true
	default:
		event.Status = 200
		s.world.add(event)
		event.Kind = record.StreamStarted
		s.world.add(event)
		s.sessions[sid] = session{c, event}
		text := "by " + s.Name() + "\r\n"
		text += strings.Repeat("t", max(faults.TextBytes-len(text), 0))
		m := (&wire.Message{Type: wire.Ready, Session: sid}).Add(wire.ParamText, text)
		if faults.BreakReply {
			b, _ := m.Append(nil)
			c.Write(b[:len(b)/2])
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		if faults.HugeText {
			m.Params[0].Value = bytes.Repeat([]byte{1}, wire.MaxMessage/2) // each byte takes six characters in JSON
		}
		if faults.DuplicateReply {
			writeMessage(c, (&wire.Message{Type: wire.Ready, Session: sid ^ 1<<40}).Add(wire.ParamText, "nobody's"))
			writeMessage(c, m)
		}
		writeMessage(c, m)
		event.Kind = record.PlayAnswered
		s.world.add(event)
	}
}

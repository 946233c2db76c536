package platformsim

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
	"tealledge/internal/standin/ports"
)

// Servers, each with what is wrong with it.

// Faults are what is wrong with a server.
type Faults struct {
	Delay   time.Duration // before an answer
	Hang    bool          // answers nothing
	Full    bool
	Error   bool
	Noise   bool // in place of an answer
	Half    bool // of an answer, and nothing more on that connection
	Doubled bool // an answer under an unknown id ahead, and a second copy
	Break   bool // the connection, in place of an answer
	Huge    bool // an answer with a description that fits its message and no line
	Parting bool // ends what it plays in the moment that its front ends a connection, and says so there, in two halves
}

// Server is one server.
type Server struct {
	ID     uint32
	w      *World
	addr   string
	kept   *ports.Kept // the address, also while it is down
	mu     sync.Mutex
	ln     net.Listener
	faults Faults
	conns  map[net.Conn]bool
	plays  map[uint64]play
	tried  map[uint64]int // the last attempt of a session that came here
	done   sync.WaitGroup
}

type play struct {
	conn  net.Conn
	event record.Event
}

// NewServer starts a server at an address of its own.
func NewServer(w *World, id uint32) (*Server, error) {
	kept, err := ports.Keep(1)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, w: w, addr: kept.Addrs[0], kept: kept, conns: map[net.Conn]bool{}, plays: map[uint64]play{}, tried: map[uint64]int{}}
	return s, s.Start()
}

// Name is the server's name on the list.
func (s *Server) Name() string { return fmt.Sprintf("s-%08x", s.ID) }

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Start listens, again at the address of before.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.addr = ln, ln.Addr().String()
	s.mu.Unlock()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.done.Add(1)
			go s.serve(c)
		}
	}()
	return nil
}

// Fault changes what is wrong.
func (s *Server) Fault(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Die ends the process: its connections are reset and its sessions cut.
func (s *Server) Die() {
	s.mu.Lock()
	s.w.add(record.Event{Source: s.Name(), Kind: record.ServerDied, Server: s.ID})
	s.ln.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.plays = map[uint64]play{}
	s.mu.Unlock()
	s.done.Wait()
}

// Drop resets the connections; sessions stay.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// End ends a session with a cause: 16 its end, 41 cut, 31 ended by its viewer. On a lost connection it is told on any
// other, or else on the next.
func (s *Server) End(sid uint64, cause uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.plays[sid]
	if !ok {
		return
	}
	delete(s.plays, sid)
	e := p.event
	e.At, e.Kind = 0, record.StreamEnded
	s.w.add(e)
	c := p.conn
	if !s.conns[c] {
		c = nil
		for o := range s.conns {
			c = o
		}
	}
	if c != nil {
		write(c, (&wire.Message{Type: wire.Release, Session: sid}).AddCause(cause))
	}
}

// Note tells of a session that plays.
func (s *Server) Note(sid uint64, name, figure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.plays[sid]; ok {
		write(p.conn, (&wire.Message{Type: wire.Note, Session: sid}).Add(wire.ParamNote, name).Add(wire.ParamNoteValue, figure))
	}
}

// Plays gives the sessions that stand.
func (s *Server) Plays() (list []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sid := range s.plays {
		list = append(list, sid)
	}
	return list
}

func write(c net.Conn, m *wire.Message) {
	b, _ := m.Append(nil)
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(b)
}

func (s *Server) serve(c net.Conn) {
	defer s.done.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.w.add(record.Event{Source: s.Name(), Kind: record.ServerConnEnded, Server: s.ID})
		c.Close()
	}()
	var dec wire.Decoder
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			s.part(c)
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
			s.heard(c, m)
		}
	}
}

// part says on a connection that its front has ended, and on which it still reads, that the sessions set up there are over.
func (s *Server) part(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Parting {
		return
	}
	for sid, p := range s.plays {
		if p.conn != c {
			continue
		}
		delete(s.plays, sid)
		p.event.At, p.event.Kind = 0, record.StreamEnded
		s.w.add(p.event)
		b, _ := (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseEnded).Append(nil)
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write(b[:len(b)/2])
		time.Sleep(20 * time.Millisecond)
		c.Write(b[len(b)/2:])
	}
}

func (s *Server) heard(c net.Conn, m *wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := func(code uint8) string { v, _ := m.Get(code); return string(v) }
	switch m.Type {
	case wire.SetUp:
		s.w.mu.Lock()
		e := record.Event{Source: s.Name(), Kind: record.SetupReceived, Session: wire.Sid(m.Session), Attempt: s.w.tries[m.Session], Server: s.ID,
			Class: s.w.classes[text(wire.ParamClass)], Title: text(wire.ParamTitle)}
		s.tried[m.Session] = e.Attempt
		s.w.tries[m.Session]++
		s.w.mu.Unlock()
		s.w.add(e)
		f := s.faults
		time.AfterFunc(f.Delay, func() { s.answer(c, m.Session, e, f) })
	case wire.Release:
		if p, ok := s.plays[m.Session]; ok {
			delete(s.plays, m.Session)
			p.event.At, p.event.Kind = 0, record.StreamEnded
			s.w.add(p.event)
			write(c, &wire.Message{Type: wire.Released, Session: m.Session})
			return
		}
		// Of the attempts that came here: the next may be at another server already, by another connection.
		s.w.add(record.Event{Source: s.Name(), Kind: record.TeardownReceived, Session: wire.Sid(m.Session), Attempt: s.tried[m.Session], Server: s.ID})
	case wire.Test:
		if !s.faults.Hang {
			tested := (&wire.Message{Type: wire.Tested, Session: m.Session}).AddCause(1)
			if cause, _ := m.Cause(); cause == wire.CauseReport {
				tested.Add(wire.ParamReport, "x0:0.2;x1:0.2")
			}
			write(c, tested)
		}
	}
}

func (s *Server) answer(c net.Conn, sid uint64, e record.Event, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c] {
		return
	}
	e.At, e.Kind, e.Status = 0, record.SetupAnswered, 500
	switch {
	case f.Hang:
	case f.Break:
		c.Close()
	case f.Noise:
		c.Write([]byte("what is this noise"))
	case f.Full:
		e.Status = 453
		s.w.add(e)
		write(c, (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseFull))
	case f.Error:
		s.w.add(e)
		write(c, (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseError))
	case f.Half:
		b, _ := (&wire.Message{Type: wire.Ready, Session: sid}).Add(wire.ParamText, "half of it").Append(nil)
		c.Write(b[:len(b)/2])
		s.faults.Hang = true
	default:
		e.Status = 200
		s.w.add(e)
		e.Kind = record.StreamStarted
		s.w.add(e)
		s.plays[sid] = play{c, e}
		m := (&wire.Message{Type: wire.Ready, Session: sid}).Add(wire.ParamText, "by "+s.Name()+"\r\n")
		if f.Huge {
			m.Params[0].Value = bytes.Repeat([]byte{1}, wire.MaxMessage/2) // six characters each in JSON
		}
		if f.Doubled {
			write(c, (&wire.Message{Type: wire.Ready, Session: sid ^ 1<<40}).Add(wire.ParamText, "nobody's"))
			write(c, m)
		}
		write(c, m)
		e.Kind = record.PlayAnswered
		s.w.add(e)
	}
}

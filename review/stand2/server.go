package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// server stands in for a media server. It runs what it is sent, as a sound server does.
type server struct {
	w    *world
	name string
	addr string
	cell int
	born int64 // Unix millisecond of a late start, else 0

	mu         sync.Mutex
	listener   net.Listener
	dark       *darkListener // in place of listener: the machine has vanished
	vanished   bool
	full       bool // refuses set-ups: its link is full
	textBytes  int  // of further text in a description
	conns      map[net.Conn]bool
	newest     net.Conn
	sessions   map[uint64]net.Conn // standing sessions, with the connection of their set-up
	unreleased map[uint64]bool     // ended sessions whose release the front has not confirmed
	setups     []setup
	released   map[uint64]time.Duration // when the front released a session
}

// setup is a set-up that has reached a server.
type setup struct {
	at  time.Duration
	sid uint64
}

// answerDelay is the time that a set-up takes.
const answerDelay = 60 * time.Millisecond

// newServer starts a server at a free address, or at the given one.
func newServer(w *world, name string, cell int, addr string) (*server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	s := &server{w: w, name: name, cell: cell, conns: map[net.Conn]bool{}, sessions: map[uint64]net.Conn{},
		unreleased: map[uint64]bool{}, released: map[uint64]time.Duration{}}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.listener, s.addr = ln, ln.Addr().String()
	w.log("%s listens", name)
	go s.accept(ln)
	return s, nil
}

// accept accepts connections until the listener is closed.
func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c], s.newest = true, c
		for sid := range s.unreleased { // a release also goes on the next connection opened
			s.send(c, encode(typeRelease, sid, cause(causeEnded)))
		}
		s.mu.Unlock()
		s.w.log("%s: connection opened", s.name)
		go s.serve(c)
	}
}

// serve reads messages from a connection until it ends.
func (s *server) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		m, err := readMessage(r)
		s.mu.Lock()
		gone := s.vanished
		if err != nil && !gone {
			delete(s.conns, c)
		}
		s.mu.Unlock()
		if gone { // nothing is read or answered any more, and the connection stays open
			return
		}
		if err != nil {
			s.w.log("%s: connection closed", s.name)
			c.Close()
			return
		}
		s.handle(c, m)
	}
}

// handle handles a message of the front.
func (s *server) handle(c net.Conn, m message) {
	at := s.w.since()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.kind {
	case typeSetUp:
		s.setups = append(s.setups, setup{at, m.sid})
		s.w.log("%s: set-up %016x, title %s, rung %s", s.name, m.sid, m.params[paramTitle], m.params[paramRung])
		time.AfterFunc(answerDelay, func() { s.answer(c, m.sid) })
	case typeRelease:
		s.w.log("%s: released by the front: %016x", s.name, m.sid)
		s.released[m.sid] = s.w.since()
		delete(s.sessions, m.sid)
		delete(s.unreleased, m.sid)
		s.send(c, encode(typeReleased, m.sid))
	case typeReleased:
		delete(s.unreleased, m.sid)
	case typeTest:
		report := fmt.Sprintf("x0:%.2f;x1:%.2f", float64(len(s.sessions))*0.02, 0.1)
		if s.full {
			report = "x0:1.30;x1:0.60"
		}
		s.send(c, encode(typeTested, m.sid, cause(1), param{paramReport, report}))
	case typeLevel:
		s.w.log("%s: rung of %016x is %s", s.name, m.sid, m.params[paramRung])
	}
}

// answer answers a set-up: the session stands, or the server is full.
func (s *server) answer(c net.Conn, sid uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, given := s.released[sid]; given || s.vanished || !s.conns[c] {
		return
	}
	if s.full {
		s.w.log("%s: full, refuses %016x", s.name, sid)
		s.send(c, encode(typeRelease, sid, cause(causeFull)))
		return
	}
	s.sessions[sid] = c
	s.w.log("%s: session %016x stands", s.name, sid)
	text := fmt.Sprintf("%s %016x\r\n", s.name, sid) + strings.Repeat("a=", s.textBytes/2)
	s.send(c, encode(typeReady, sid, param{paramText, text}))
}

// send writes a message; s.mu is held.
func (s *server) send(c net.Conn, b []byte) {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(b)
}

// end ends a session: the release goes on the connection of its set-up, otherwise on any open one, otherwise on the next.
func (s *server) end(sid uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.sessions[sid]
	if !ok || s.vanished {
		return
	}
	delete(s.sessions, sid)
	s.unreleased[sid] = true
	for other := range s.conns {
		if !s.conns[c] {
			c = other
		}
	}
	if !s.conns[c] {
		s.w.log("%s: session %016x is over, no connection is open", s.name, sid)
		return
	}
	s.w.log("%s: session %016x is over, release sent", s.name, sid)
	s.send(c, encode(typeRelease, sid, cause(causeEnded)))
}

// standing returns the sessions that stand.
func (s *server) standing() (list []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sid := range s.sessions {
		list = append(list, sid)
	}
	return list
}

// setFull makes the server refuse set-ups, or take them again.
func (s *server) setFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// setText makes the descriptions of the server longer.
func (s *server) setText(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.textBytes = bytes
}

// vanish makes the machine vanish: open connections stay open and silent, new ones never come up, and all sessions are
// over. It returns these.
func (s *server) vanish() ([]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vanished = true
	var over []uint64
	for sid := range s.sessions {
		over = append(over, sid)
	}
	s.sessions = map[uint64]net.Conn{}
	s.listener.Close()
	var err error
	s.dark, err = newDarkListener(s.addr)
	s.w.log("%s vanishes with %d sessions", s.name, len(over))
	return over, err
}

// freeAddress lets another server take the address of one that has vanished.
func (s *server) freeAddress() { s.dark.close() }

// darkListener lets no connection to an address come up: its accept queue is full.
type darkListener struct {
	fd      int
	fillers []net.Conn
}

// newDarkListener takes an address.
func newDarkListener(addr string) (*darkListener, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	d := &darkListener{fd: fd}
	if err := errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}),
		syscall.Listen(fd, 0)); err != nil {
		d.close()
		return nil, err
	}
	for range 4 {
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			d.fillers = append(d.fillers, c)
		}
	}
	return d, nil
}

// close frees the address.
func (d *darkListener) close() {
	for _, c := range d.fillers {
		c.Close()
	}
	syscall.Close(d.fd)
}

// Package platformsim stands in for the operators' platform on loopback: servers, viewers and the journal service, each
// with the troubles that real ones have. What crosses their sockets is recorded for internal/audit, in the words of its
// records: 200 is an answer, 453 "full" and 500 anything else.
package platformsim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
)

// Front is the name that records give the front.
const Front = "n0"

// World is what the stand-ins share.
type World struct {
	Rec     *record.Log
	mu      sync.Mutex
	tries   map[uint64]int // set-ups of a session that arrived
	classes map[string]int
}

// NewWorld makes one for classes by their names.
func NewWorld(classes ...string) *World {
	w := &World{Rec: record.Memory(), tries: map[uint64]int{}, classes: map[string]int{}}
	for i, c := range classes {
		w.classes[c] = i
	}
	return w
}

func (w *World) add(e record.Event) {
	e.Front = Front
	w.Rec.Add(e)
}

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
	s := &Server{ID: id, w: w, addr: "127.0.0.1:0", conns: map[net.Conn]bool{}, plays: map[uint64]play{}, tried: map[uint64]int{}}
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
	s.w.add(record.Event{Who: s.Name(), What: record.Die, Server: s.ID})
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
	e.T, e.What = 0, record.End
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
		write(p.conn, (&wire.Message{Type: wire.Note, Session: sid}).Add(wire.ParamNote, name).Add(wire.ParamFigure, figure))
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
		s.w.add(record.Event{Who: s.Name(), What: record.ConnLost, Server: s.ID})
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
		p.event.T, p.event.What = 0, record.End
		s.w.add(p.event)
		b, _ := (&wire.Message{Type: wire.Release, Session: sid}).AddCause(wire.CauseGivenUp).Append(nil)
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
		e := record.Event{Who: s.Name(), What: record.Setup, Session: wire.Sid(m.Session), Attempt: s.w.tries[m.Session], Server: s.ID,
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
			p.event.T, p.event.What = 0, record.End
			s.w.add(p.event)
			write(c, &wire.Message{Type: wire.Released, Session: m.Session})
			return
		}
		// Of the attempts that came here: the next may be at another server already, by another connection.
		s.w.add(record.Event{Who: s.Name(), What: record.Teardown, Session: wire.Sid(m.Session), Attempt: s.tried[m.Session], Server: s.ID})
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
	e.T, e.What, e.Status = 0, record.Answer, 500
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
		e.What = record.Play
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
		e.What = record.Played
		s.w.add(e)
	}
}

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
	e := wire.Event{Pos: uint64(len(j.lines) + 1), Hosts: &wire.Hosts{Seq: uint64(len(j.lines)), Whole: whole}}
	words := map[string]string{wire.HostReady: "ready", wire.HostDraining: "draining", wire.HostGone: "gone"}
	for _, s := range list {
		e.Hosts.Hosts = append(e.Hosts.Hosts, wire.Host{Name: s.Name(), Dial: s.Addr(), Zone: "z", Kind: "k", Cell: int(s.ID), Health: health, Share: 10})
		j.w.add(record.Event{Who: "journal", What: record.Told, Server: s.ID, Health: words[health]})
	}
	b, _ := json.Marshal(e)
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

// Viewer is a connection of viewers.
type Viewer struct {
	w     *World
	conn  net.Conn
	mu    sync.Mutex
	calls map[uint64]string // open ones, with their class
	Lines chan wire.Line
	Ended chan struct{}
}

// Dial connects to a front.
func Dial(w *World, addr string) (*Viewer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	v := &Viewer{w: w, conn: c, calls: map[uint64]string{}, Lines: make(chan wire.Line, 4096), Ended: make(chan struct{})}
	go v.read()
	return v, nil
}

func (v *Viewer) read() {
	defer close(v.Ended)
	r := bufio.NewReaderSize(v.conn, wire.MaxMessage)
	for {
		b, err := r.ReadSlice('\n')
		if err != nil {
			v.mu.Lock()
			for sid := range v.calls {
				v.w.add(record.Event{Who: "viewer", What: record.Broken, Call: wire.Sid(sid)})
			}
			v.calls = map[uint64]string{}
			v.mu.Unlock()
			return
		}
		l, _ := wire.ParseLine(b[:len(b)-1])
		v.mu.Lock()
		class, open := v.calls[l.Sid]
		if open && (l.Msg == wire.LineReady || l.Msg == wire.LineClose) {
			e := record.Event{Who: "viewer", What: record.Reply, Call: wire.Sid(l.Sid), Session: wire.Sid(l.Sid), Class: v.w.classes[class], Text: "failed"}
			switch {
			case l.Msg == wire.LineReady:
				e.Text = "plays"
			case l.Code == wire.CauseFull || l.Code == wire.CauseRefused || l.Code == wire.CauseMoot:
				e.Text = "refused"
			}
			v.w.add(e)
			if l.Msg == wire.LineClose {
				delete(v.calls, l.Sid)
			} else {
				v.calls[l.Sid] = class
			}
		}
		if l.Msg == wire.LineReady { // a later close is the session's end, and no second answer
			delete(v.calls, l.Sid)
		}
		v.mu.Unlock()
		select {
		case v.Lines <- l:
		default:
		}
	}
}

// Write sends bytes as they are.
func (v *Viewer) Write(text string) error {
	v.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := v.conn.Write([]byte(text))
	return err
}

// Form gives a set-up's line.
func Form(sid uint64, class string, left time.Duration, more string) string {
	return fmt.Sprintf(`{"msg":"open","sid":"%016x","attrs":{"class":"%s","left":"%d","key":"00000000000000aa","hint":"8000.0","extras":"home:0;copies:3;top:2;viewer:%016x%s"},"text":"who %d\r\n"}`+"\n",
		sid, class, left.Milliseconds(), sid, more, sid)
}

// Open asks for a session.
func (v *Viewer) Open(sid uint64, class string, left time.Duration) error {
	v.mu.Lock()
	v.calls[sid] = class
	v.mu.Unlock()
	v.w.add(record.Event{Who: "viewer", What: record.Ask, Call: wire.Sid(sid), Class: v.w.classes[class], Wait: int64(left)})
	return v.Write(Form(sid, class, left, ""))
}

// GiveUp takes a request back, or ends a session.
func (v *Viewer) GiveUp(sid uint64) error {
	v.mu.Lock()
	if _, open := v.calls[sid]; open {
		v.w.add(record.Event{Who: "viewer", What: record.Left, Call: wire.Sid(sid)})
		delete(v.calls, sid)
	}
	v.mu.Unlock()
	return v.Write(fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid))
}

// Close closes the connection.
func (v *Viewer) Close() {
	v.conn.Close()
	<-v.Ended
}

package attempts

import (
	"fmt"
	"slices"
	"strconv"

	"tealledge/internal/rtsp"
	"tealledge/internal/rtspclient"
	"tealledge/policy"
)

// link is a connection as the world sees it. One that is lost is forgotten.
type link struct {
	id      uint64
	server  uint32
	dialing bool
	dec     rtsp.Decoder
	fed     uint64 // bytes written
	begun   uint64 // of them, to the end of the last whole message
	waits   []request
	pipes   []piped
	plays   int // streams set up on it
}

// piped is a stream known by the pipelined id that it was set up with.
type piped struct {
	id     string
	stream uint64
}

type server struct {
	started  policy.Time
	draining bool
	shut     bool        // the front was told that nothing new may go there
	told     policy.Time // and when
	streams  map[uint64]stream
}

type stream struct {
	session uint64
	attempt int
	class   int
	lone    bool // whoever set it up is gone, or could not get through: the server ends it by its own time-out
}

func (s *server) orphan() {
	for id, x := range s.streams {
		x.lone = true
		s.streams[id] = x
	}
}

func (w *world) conn(id uint64) *link {
	for _, l := range w.conns {
		if l.id == id {
			return l
		}
	}
	return nil
}

func (w *world) gone(l *link) {
	w.conns = slices.DeleteFunc(w.conns, func(o *link) bool { return o == l })
}

// cut breaks a connection: all of it was written, or all until the midst of one of the messages that wait. What the
// server made of unread answers shows nowhere: a set-up that was whole may have run.
func (w *world) cut(l *link, at int) {
	begun := l.begun
	if at >= 0 {
		begun = l.waits[at].end - 1
		for _, r := range l.waits[at:] {
			if r.n >= 0 {
				w.watch.Attempts[r.n].Never = true // not whole at the server
			}
		}
	}
	if w.cfg.Mutate == LostUnread {
		begun = 0
	}
	w.gone(l)
	w.desk.ConnectionLost(w.now, l.server, l.id, begun)
	w.settle()
}

// answer has a server work on the first request that waits, and the front read the answer.
func (w *world) answer(l *link, status int, load float64) {
	r := l.waits[0]
	l.waits = l.waits[1:]
	m, s := r.m, &w.servers[l.server-1]
	reply := &rtsp.Message{Status: status, CSeq: m.CSeq}
	id, known := w.find(l, s, m)
	switch m.Method {
	case rtsp.Setup:
		if status == rtsp.StatusOK {
			w.streams++
			x := stream{}
			fmt.Sscanf(m.Get(rtspclient.HeaderAttempt), "f/%d/%d", &x.session, &x.attempt)
			x.class, _ = strconv.Atoi(m.Get(rtspclient.HeaderClass))
			s.streams[w.streams] = x
			l.pipes = append(l.pipes, piped{m.Get("Pipelined-Requests"), w.streams})
			l.plays++
			reply.AddHeader("Session", strconv.FormatUint(w.streams, 10))
		}
		if status == rtsp.StatusNotEnoughBandwidth {
			w.watch.Attempts[r.n].Never = true // the one answer that proves it
		}
	case rtsp.Teardown:
		if known {
			delete(s.streams, id)
			l.plays--
		} else {
			reply.Status = rtsp.StatusSessionNotFound
		}
	case rtsp.Play, rtsp.SetParameter, rtsp.GetParameter:
		if !known && (m.Method == rtsp.Play || m.Session() != "") {
			reply.Status = rtsp.StatusSessionNotFound
		}
		if m.Method == rtsp.GetParameter && m.Session() == "" {
			reply.AddHeader("Content-Type", "text/parameters")
			reply.Body = []byte("link: " + strconv.FormatFloat(load, 'g', -1, 64) + "\r\n")
		}
	}
	w.desk.Received(w.now, l.server, l.id, reply)
	w.settle()
}

// find gives the stream that a request is about.
func (w *world) find(l *link, s *server, m *rtsp.Message) (id uint64, known bool) {
	if text := m.Session(); text != "" {
		id, _ = strconv.ParseUint(text, 10, 64)
	} else if pipe := m.Get("Pipelined-Requests"); pipe != "" {
		for _, p := range l.pipes {
			if p.id == pipe {
				id = p.stream
			}
		}
	}
	_, known = s.streams[id]
	return id, known
}

// tell has a server note short delivery on the newest stream of a connection.
func (w *world) tell(l *link) {
	s := &w.servers[l.server-1]
	for i := len(l.pipes) - 1; i >= 0; i-- {
		if _, ok := s.streams[l.pipes[i].stream]; ok {
			m := &rtsp.Message{Method: rtsp.SetParameter, URI: "rtsp://f/", CSeq: 1, Body: []byte("share: 0.5\r\n")}
			m.AddHeader("Session", strconv.FormatUint(l.pipes[i].stream, 10))
			w.desk.Received(w.now, l.server, l.id, m)
			w.settle()
			return
		}
	}
}

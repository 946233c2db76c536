package attempts

import (
	"fmt"
	"slices"
	"strconv"

	"tealledge/internal/rtsp"
	"tealledge/internal/rtspclient"
	"tealledge/policy"
)

// serverConn is a connection from the front to a server. Lost connections are removed.
type serverConn struct {
	id            uint64
	server        uint32
	dialing       bool
	decoder       rtsp.Decoder
	bytesWritten  uint64
	completeBytes uint64    // bytes up to the end of the last complete message
	pending       []request // written and not answered yet
	pipelined     []pipelinedStream
	streams       int // streams set up on the connection
}

// pipelinedStream is a stream with the Pipelined-Requests id that it was set up with.
type pipelinedStream struct {
	id     string
	stream uint64
}

// server is a media server.
type server struct {
	startedAt   policy.Time
	draining    bool
	unavailable bool        // the front learned that the server takes no new sessions
	reportedAt  policy.Time // when it learned that
	streams     map[uint64]stream
}

// stream is a stream that a server plays.
type stream struct {
	session  uint64
	attempt  int
	class    int
	orphaned bool // its front restarted or could not reach the server, which ends it by its own time-out
}

// orphanStreams marks all streams of a server as orphaned.
func (s *server) orphanStreams() {
	for id, x := range s.streams {
		x.orphaned = true
		s.streams[id] = x
	}
}

// connByID returns a connection, nil if it was removed.
func (w *world) connByID(id uint64) *serverConn {
	for _, conn := range w.conns {
		if conn.id == id {
			return conn
		}
	}
	return nil
}

// removeConn removes a connection.
func (w *world) removeConn(conn *serverConn) {
	w.conns = slices.DeleteFunc(w.conns, func(other *serverConn) bool { return other == conn })
}

// breakConn breaks a connection, either after all messages were written (message -1) or in the middle of a pending
// message. Answers that were not read are lost, so a set-up that was written completely may have run.
func (w *world) breakConn(conn *serverConn, message int) {
	completeBytes := conn.completeBytes
	if message >= 0 {
		completeBytes = conn.pending[message].endOffset - 1
		for _, r := range conn.pending[message:] {
			if r.attempt >= 0 {
				w.history.Attempts[r.attempt].NeverRan = true // incomplete at the server
			}
		}
	}
	if w.cfg.Mutate == AssumesUnwritten {
		completeBytes = 0
	}
	w.removeConn(conn)
	w.protocol.ConnectionLost(w.now, conn.server, conn.id, completeBytes)
	w.runProtocol()
}

// answerRequest has a server handle its first pending request on a connection, and the front read the answer.
func (w *world) answerRequest(conn *serverConn, status int, load float64) {
	pending := conn.pending[0]
	conn.pending = conn.pending[1:]
	message, s := pending.message, &w.servers[conn.server-1]
	reply := &rtsp.Message{Status: status, CSeq: message.CSeq}
	id, known := w.findStream(conn, s, message)
	switch message.Method {
	case rtsp.Setup:
		if status == rtsp.StatusOK {
			w.lastStream++
			x := stream{}
			fmt.Sscanf(message.Get(rtspclient.HeaderAttempt), "f/%d/%d", &x.session, &x.attempt)
			x.class, _ = strconv.Atoi(message.Get(rtspclient.HeaderClass))
			s.streams[w.lastStream] = x
			conn.pipelined = append(conn.pipelined, pipelinedStream{message.Get("Pipelined-Requests"), w.lastStream})
			conn.streams++
			reply.AddHeader("Session", strconv.FormatUint(w.lastStream, 10))
		}
		if status == rtsp.StatusNotEnoughBandwidth {
			w.history.Attempts[pending.attempt].NeverRan = true // only this answer proves that a set-up never ran
		}
	case rtsp.Teardown:
		if known {
			delete(s.streams, id)
			conn.streams--
		} else {
			reply.Status = rtsp.StatusSessionNotFound
		}
	case rtsp.Play, rtsp.SetParameter, rtsp.GetParameter:
		if !known && (message.Method == rtsp.Play || message.Session() != "") {
			reply.Status = rtsp.StatusSessionNotFound
		}
		if message.Method == rtsp.GetParameter && message.Session() == "" {
			reply.AddHeader("Content-Type", "text/parameters")
			reply.Body = []byte("link: " + strconv.FormatFloat(load, 'g', -1, 64) + "\r\n")
		}
	}
	w.protocol.Received(w.now, conn.server, conn.id, reply)
	w.runProtocol()
}

// findStream returns the stream that a request refers to.
func (w *world) findStream(conn *serverConn, s *server, message *rtsp.Message) (id uint64, known bool) {
	if text := message.Session(); text != "" {
		id, _ = strconv.ParseUint(text, 10, 64)
	} else if pipelinedID := message.Get("Pipelined-Requests"); pipelinedID != "" {
		for _, p := range conn.pipelined {
			if p.id == pipelinedID {
				id = p.stream
			}
		}
	}
	_, known = s.streams[id]
	return id, known
}

// sendNote has a server send a note of short delivery for the newest stream of a connection.
func (w *world) sendNote(conn *serverConn) {
	s := &w.servers[conn.server-1]
	for i := len(conn.pipelined) - 1; i >= 0; i-- {
		if _, ok := s.streams[conn.pipelined[i].stream]; ok {
			message := &rtsp.Message{Method: rtsp.SetParameter, URI: "rtsp://f/", CSeq: 1,
				Body: []byte("share: 0.5\r\n")}
			message.AddHeader("Session", strconv.FormatUint(conn.pipelined[i].stream, 10))
			w.protocol.Received(w.now, conn.server, conn.id, message)
			w.runProtocol()
			return
		}
	}
}

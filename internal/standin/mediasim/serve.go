package mediasim

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"tealledge/internal/record"
	"tealledge/internal/rtsp"
)

// serve handles a connection's requests in order. The time that a set-up takes counts from its own arrival, so that
// pipelined set-ups overlap.
func (c *conn) serve() {
	defer c.server.running.Done()
	for j := range c.jobs {
		if c.waitWhile(func(s *Server) bool { return s.stalled || s.silent }) {
			continue
		}
		if c.mode == AddressSilent || c.mode == AddressStalls && j.message.Method != rtsp.Options {
			continue
		}
		if j.message.Method == "" {
			continue // a response to one of our requests
		}
		if d := c.server.setupTime(); j.message.Method == rtsp.Setup && d > 0 {
			time.Sleep(time.Until(j.receivedAt.Add(d)))
		}
		c.answer(j.message)
	}
}

// setupTime returns the duration of a set-up, which is longer while the server is cold.
func (s *Server) setupTime() time.Duration {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	return time.Duration(float64(s.farm.params.SetupTime) / s.capacity(time.Now()))
}

// capacity returns the server's capacity as a fraction; it grows from ColdCapacity to 1 over WarmupTime.
func (s *Server) capacity(now time.Time) float64 {
	p := &s.farm.params
	if s.startedAt.IsZero() || p.WarmupTime <= 0 {
		return 1
	}
	return min(1, p.ColdCapacity+(1-p.ColdCapacity)*float64(now.Sub(s.startedAt))/float64(p.WarmupTime))
}

// answer handles one request and writes the response, unless a fault drops or damages it.
func (c *conn) answer(m *rtsp.Message) {
	s := c.server
	s.farm.mu.Lock()
	reply := rtsp.Message{Status: rtsp.StatusOK, CSeq: m.CSeq}
	var event *record.Event
	var lost, garbage, truncated bool
	if !s.up {
		s.farm.mu.Unlock()
		return
	}
	switch m.Method {
	case rtsp.Setup:
		attempt := c.attemptEvent(m)
		event = &attempt
		reply.Status = s.setup(c, m, &reply, attempt)
	case rtsp.Play:
		st := s.findStream(c, m)
		switch {
		case st == nil:
			reply.Status = rtsp.StatusSessionNotFound
		default:
			st.playing = true
			started := st.attempt // a copy: the stream may be torn down before the response is written
			started.At, started.Kind, started.Rung = 0, record.StreamStarted, st.rung
			s.farm.rec.Add(started)
			event = &started
			if s.farm.params.InlineReports {
				reply.AddHeader("Content-Type", "text/parameters")
				reply.Body = s.reportBody()
			}
		}
	case rtsp.Teardown:
		if st := s.findStream(c, m); st != nil {
			s.endStream(st, "teardown")
		} else {
			reply.Status = rtsp.StatusSessionNotFound
		}
	case rtsp.SetParameter:
		s.setRung(c, m, &reply)
	case rtsp.GetParameter:
		if m.Session() != "" {
			if s.findStream(c, m) == nil {
				reply.Status = rtsp.StatusSessionNotFound
			}
			break
		}
		reply.AddHeader("Content-Type", "text/parameters")
		reply.Body = s.reportBody()
	case rtsp.Options:
		reply.AddHeader("Public", "OPTIONS, SETUP, PLAY, TEARDOWN, GET_PARAMETER, SET_PARAMETER")
	default:
		reply.Status = rtsp.StatusNotImplemented
	}
	if m.Method == rtsp.Setup || m.Method == rtsp.Play {
		lost = s.farm.rng.Float64() < s.lossRate
		garbage = s.farm.rng.Float64() < s.garbageRate
		truncated = s.farm.rng.Float64() < s.truncationRate
	}
	s.farm.mu.Unlock()
	b := reply.Append(nil)
	switch {
	case garbage:
		b = []byte("\x16\x03\x01 this is no RTSP at all\r\n\r\n")
	case truncated:
		b = b[:len(b)/2]
	}
	if !lost {
		c.write(b)
	}
	if event != nil {
		event.At, event.Kind, event.Status, event.Lost =
			0, record.SetupAnswered, reply.Status, lost || garbage || truncated
		if m.Method == rtsp.Play {
			event.Kind = record.PlayAnswered
		}
		s.farm.rec.Add(*event)
	}
	if truncated {
		c.nc.Close()
	}
}

// setup accepts or refuses a set-up, adds the stream if it is accepted, and returns the status.
func (s *Server) setup(c *conn, m *rtsp.Message, reply *rtsp.Message, attempt record.Event) int {
	p, now := &s.farm.params, time.Now()
	if p.WarmupTime > 0 && !s.startedAt.IsZero() && now.Sub(s.startedAt) < p.WarmupTime {
		s.recentSetups = append(s.recentSetups, now)
		for len(s.recentSetups) > 0 && now.Sub(s.recentSetups[0]) > p.OverloadWindow {
			s.recentSetups = s.recentSetups[1:]
		}
		if maxSetups := MaxColdSetups(p.Slots, p.WarmupTime, s.capacity(now), p.OverloadFactor,
			p.OverloadWindow); float64(len(s.recentSetups)) > maxSetups {
			s.stopLocked("pushed over while cold", true)
			return rtsp.StatusUnavailable
		}
	}
	switch {
	case s.farm.rng.Float64() < s.errorRate:
		return rtsp.StatusInternalError
	case p.HoldsTitle != nil && !p.HoldsTitle(attempt.Title, s.Cell):
		return rtsp.StatusNotFound
	case float64(len(s.streams)) >= p.Slots, p.FullThreshold > 0 && s.linkUse >= p.FullThreshold:
		return rtsp.StatusNotEnoughBandwidth
	case attempt.Rung < 0 || attempt.Rung >= len(p.Ladder):
		return rtsp.StatusBadRequest
	}
	s.lastStream++
	st := &stream{id: fmt.Sprintf("%d-%x-%d", s.ID, s.farm.rng.Uint32(), s.lastStream),
		pipelineID: m.Get("Pipelined-Requests"),
		attempt:    attempt, rung: attempt.Rung, conn: c, setupConn: c}
	if _, open := s.conns[c]; !open { // the connection closed while the set-up was in progress
		st.conn, st.connLostAt = nil, now
	}
	c.pipelined[st.pipelineID] = st
	s.streams[st.id] = st
	reply.AddHeader("Session", fmt.Sprintf("%s;timeout=%d", st.id, max(int(p.SessionTimeout/time.Second), 1)))
	return rtsp.StatusOK
}

// MaxColdSetups returns how many set-ups a cold server takes within overloadWindow before it crashes, with 2 more as an
// allowance for random variation.
func MaxColdSetups(slots float64, warmupTime time.Duration, capacity, overloadFactor float64,
	overloadWindow time.Duration) float64 {
	return slots/warmupTime.Seconds()*capacity*overloadFactor*overloadWindow.Seconds() + 2
}

// findStream returns the stream that a request refers to, by the session id, which also attaches the stream to this
// connection, or by the Pipelined-Requests id on the same connection (RFC 7826 section 18.33).
func (s *Server) findStream(c *conn, m *rtsp.Message) *stream {
	if id := m.Session(); id != "" {
		st := s.streams[id]
		if st != nil {
			st.conn = c
		}
		return st
	}
	return c.pipelined[m.Get("Pipelined-Requests")]
}

// setRung changes the rung of a stream.
func (s *Server) setRung(c *conn, m *rtsp.Message, reply *rtsp.Message) {
	st := s.findStream(c, m)
	if st == nil {
		reply.Status = rtsp.StatusSessionNotFound
		return
	}
	rung, err := strconv.Atoi(rtsp.ParseParams(m.Body)["rung"])
	if err != nil || rung < 0 || rung >= len(s.farm.params.Ladder) {
		reply.Status = rtsp.StatusBadRequest
		return
	}
	if rung != st.rung {
		st.rung = rung
		e := st.attempt
		e.At, e.Kind, e.Rung = 0, record.RungSet, rung
		s.farm.rec.Add(e)
	}
}

// reportBody returns the load values of a report.
func (s *Server) reportBody() []byte {
	return fmt.Appendf(nil, "link: %.4f\r\nuplink: %.4f\r\n", s.reported.linkUse, s.reported.uplinkUse)
}

// sendNotes sends notes on each connection with playing streams: the delivered share, at most once a second, while it
// is below 0.98 and once more when it has recovered, and the use of link and uplink once per NoteInterval.
func (s *Server) sendNotes(now time.Time) {
	if s.stalled && !s.up || s.silent {
		return
	}
	for c := range s.conns {
		var st *stream
		ids := make([]string, 0, 8)
		for id, o := range s.streams {
			if o.conn == c && o.playing {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			continue
		}
		slices.Sort(ids)
		st = s.streams[ids[0]]
		delayed := s.delayedSample(now)
		if (delayed.share < 0.98 || st.wasShort) && now.Sub(c.shareNotedAt) >= time.Second {
			c.shareNotedAt, st.wasShort = now, delayed.share < 0.98
			go c.sendNote(st.id, fmt.Sprintf("share: %.4f\r\n", delayed.share))
		}
		if s.farm.params.NoteInterval > 0 && now.Sub(c.useNotedAt) >= s.farm.params.NoteInterval {
			c.useNotedAt = now
			go c.sendNote(st.id, fmt.Sprintf("link: %.4f\r\nuplink: %.4f\r\n", delayed.linkUse, delayed.uplinkUse))
		}
	}
}

// sendNote sends parameters of a stream to the front.
func (c *conn) sendNote(id, body string) {
	c.request(rtsp.Message{Method: rtsp.SetParameter, URI: "*", Headers: []rtsp.Header{{Name: "Session", Value: id},
		{Name: "Content-Type", Value: "text/parameters"}}, Body: []byte(body)})
}

// EndStreams notifies the fronts that all streams of the server reached the end of their titles (RFC 7826
// section 13.5.1).
func (s *Server) EndStreams() {
	s.farm.mu.Lock()
	type pair struct {
		c  *conn
		id string
	}
	var list []pair
	for id, st := range s.streams {
		if st.conn != nil {
			list = append(list, pair{st.conn, id})
		}
	}
	s.farm.mu.Unlock()
	for _, x := range list {
		x.c.request(rtsp.Message{Method: rtsp.PlayNotify, URI: "*",
			Headers: []rtsp.Header{{Name: "Session", Value: x.id},
				{Name: "Notify-Reason", Value: "end-of-stream"}}})
	}
}

// request sends a request to the front.
func (c *conn) request(m rtsp.Message) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.seq++
	m.CSeq = c.seq
	c.nc.SetWriteDeadline(time.Now().Add(time.Second))
	c.nc.Write(m.Append(nil))
}

// write writes bytes to the connection.
func (c *conn) write(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(time.Second))
	c.nc.Write(b)
}

package mediasim

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"tealledge/internal/record"
	"tealledge/internal/rtsp"
)

// serve works on a connection's requests in order. Each is answered when its own time is over, so that pipelined
// set-ups overlap.
func (c *conn) serve() {
	defer c.s.running.Done()
	for j := range c.work {
		if c.waitWhile(func(s *Server) bool { return s.stalled || s.silent }) {
			continue
		}
		if c.mode == PathSilent || c.mode == PathStalls && j.m.Method != rtsp.Options {
			continue
		}
		if j.m.Method == "" {
			continue // an answer to a request of ours
		}
		if d := c.s.setupTime(); j.m.Method == rtsp.Setup && d > 0 {
			time.Sleep(time.Until(j.at.Add(d)))
		}
		c.answer(j.m)
	}
}

// setupTime is longer while the server is cold.
func (s *Server) setupTime() time.Duration {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	return time.Duration(float64(s.farm.p.SetupTime) / s.warmth(time.Now()))
}

// warmth grows from ColdFrom to 1 over ColdSpan.
func (s *Server) warmth(now time.Time) float64 {
	p := &s.farm.p
	if s.started.IsZero() || p.ColdSpan <= 0 {
		return 1
	}
	return min(1, p.ColdFrom+(1-p.ColdFrom)*float64(now.Sub(s.started))/float64(p.ColdSpan))
}

func (c *conn) answer(m *rtsp.Message) {
	s := c.s
	s.farm.mu.Lock()
	reply := rtsp.Message{Status: rtsp.StatusOK, CSeq: m.CSeq}
	var e *record.Event
	var lose, garbage, half bool
	if !s.up {
		s.farm.mu.Unlock()
		return
	}
	switch m.Method {
	case rtsp.Setup:
		key := c.key(m)
		e = &key
		reply.Status = s.setup(c, m, &reply, key)
	case rtsp.Play:
		st := s.find(c, m)
		switch {
		case st == nil:
			reply.Status = rtsp.StatusSessionNotFound
		default:
			st.playing = true
			k := st.key // the stream may be torn down before its answer is written
			k.At, k.Kind, k.Rung = 0, record.StreamStarted, st.rung
			s.farm.rec.Add(k)
			e = &k
			if s.farm.p.Inline {
				reply.AddHeader("Content-Type", "text/parameters")
				reply.Body = s.report()
			}
		}
	case rtsp.Teardown:
		if st := s.find(c, m); st != nil {
			s.drop(st, "teardown")
		} else {
			reply.Status = rtsp.StatusSessionNotFound
		}
	case rtsp.SetParameter:
		s.setRung(c, m, &reply)
	case rtsp.GetParameter:
		if m.Session() != "" {
			if s.find(c, m) == nil {
				reply.Status = rtsp.StatusSessionNotFound
			}
			break
		}
		reply.AddHeader("Content-Type", "text/parameters")
		reply.Body = s.report()
	case rtsp.Options:
		reply.AddHeader("Public", "OPTIONS, SETUP, PLAY, TEARDOWN, GET_PARAMETER, SET_PARAMETER")
	default:
		reply.Status = rtsp.StatusNotImplemented
	}
	if m.Method == rtsp.Setup || m.Method == rtsp.Play {
		lose = s.farm.rng.Float64() < s.lose
		garbage = s.farm.rng.Float64() < s.garbage
		half = s.farm.rng.Float64() < s.half
	}
	s.farm.mu.Unlock()
	b := reply.Append(nil)
	switch {
	case garbage:
		b = []byte("\x16\x03\x01 this is no RTSP at all\r\n\r\n")
	case half:
		b = b[:len(b)/2]
	}
	if !lose {
		c.write(b)
	}
	if e != nil {
		e.At, e.Kind, e.Status, e.Lost = 0, record.SetupAnswered, reply.Status, lose || garbage || half
		if m.Method == rtsp.Play {
			e.Kind = record.PlayAnswered
		}
		s.farm.rec.Add(*e)
	}
	if half {
		c.nc.Close()
	}
}

// setup decides on a set-up and books its stream.
func (s *Server) setup(c *conn, m *rtsp.Message, reply *rtsp.Message, key record.Event) int {
	p, now := &s.farm.p, time.Now()
	if p.ColdSpan > 0 && !s.started.IsZero() && now.Sub(s.started) < p.ColdSpan {
		s.setups = append(s.setups, now)
		for len(s.setups) > 0 && now.Sub(s.setups[0]) > p.FallOver {
			s.setups = s.setups[1:]
		}
		if most := Budget(p.Slots, p.ColdSpan, s.warmth(now), p.FallTimes, p.FallOver); float64(len(s.setups)) > most {
			s.endLocked("pushed over while cold", true)
			return rtsp.StatusUnavailable
		}
	}
	switch {
	case s.farm.rng.Float64() < s.errors:
		return rtsp.StatusInternalError
	case p.Holds != nil && !p.Holds(key.Title, s.Cell):
		return rtsp.StatusNotFound
	case float64(len(s.streams)) >= p.Slots, p.FullFrom > 0 && s.use >= p.FullFrom:
		return rtsp.StatusNotEnoughBandwidth
	case key.Rung < 0 || key.Rung >= len(p.Ladder):
		return rtsp.StatusBadRequest
	}
	s.next++
	st := &stream{id: fmt.Sprintf("%d-%x-%d", s.ID, s.farm.rng.Uint32(), s.next), pipe: m.Get("Pipelined-Requests"),
		key: key, rung: key.Rung, conn: c, origin: c}
	if _, here := s.conns[c]; !here { // its connection ended while it was worked on
		st.conn, st.lostAt = nil, now
	}
	c.pipes[st.pipe] = st
	s.streams[st.id] = st
	reply.AddHeader("Session", fmt.Sprintf("%s;timeout=%d", st.id, max(int(p.Keep/time.Second), 1)))
	return rtsp.StatusOK
}

// Budget is how many set-ups a cold server takes within the span before it falls over, with slack for chance.
func Budget(slots float64, coldSpan time.Duration, warmth, times float64, over time.Duration) float64 {
	return slots/coldSpan.Seconds()*warmth*times*over.Seconds() + 2
}

// find gives the stream that a request is about: by its id, which also holds it on this connection from now on, or
// by the pipelined id on the same connection (RFC 7826 section 18.33).
func (s *Server) find(c *conn, m *rtsp.Message) *stream {
	if id := m.Session(); id != "" {
		st := s.streams[id]
		if st != nil {
			st.conn = c
		}
		return st
	}
	return c.pipes[m.Get("Pipelined-Requests")]
}

func (s *Server) setRung(c *conn, m *rtsp.Message, reply *rtsp.Message) {
	st := s.find(c, m)
	if st == nil {
		reply.Status = rtsp.StatusSessionNotFound
		return
	}
	v, err := strconv.Atoi(rtsp.ParseParams(m.Body)["rung"])
	if err != nil || v < 0 || v >= len(s.farm.p.Ladder) {
		reply.Status = rtsp.StatusBadRequest
		return
	}
	if v != st.rung {
		st.rung = v
		e := st.key
		e.At, e.Kind, e.Rung = 0, record.RungSet, v
		s.farm.rec.Add(e)
	}
}

func (s *Server) report() []byte {
	return fmt.Appendf(nil, "link: %.4f\r\nuplink: %.4f\r\n", s.reported.use, s.reported.upto)
}

// notes tells each front with streams here the share delivered while it is short, and now and then the use.
func (s *Server) notes(now time.Time) {
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
		late := s.late(now)
		if (late.share < 0.98 || st.wasShort) && now.Sub(c.noted) >= time.Second {
			c.noted, st.wasShort = now, late.share < 0.98
			go c.tell(st.id, fmt.Sprintf("share: %.4f\r\n", late.share))
		}
		if s.farm.p.TellEvery > 0 && now.Sub(c.told) >= s.farm.p.TellEvery {
			c.told = now
			go c.tell(st.id, fmt.Sprintf("link: %.4f\r\nuplink: %.4f\r\n", late.use, late.upto))
		}
	}
}

func (c *conn) tell(id, body string) {
	c.request(rtsp.Message{Method: rtsp.SetParameter, URI: "*", Headers: []rtsp.Header{{Name: "Session", Value: id},
		{Name: "Content-Type", Value: "text/parameters"}}, Body: []byte(body)})
}

// EndStreams ends all streams of the server as if their titles were over (RFC 7826 section 13.5.1).
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
		x.c.request(rtsp.Message{Method: rtsp.PlayNotify, URI: "*", Headers: []rtsp.Header{{Name: "Session", Value: x.id},
			{Name: "Notify-Reason", Value: "end-of-stream"}}})
	}
}

func (c *conn) request(m rtsp.Message) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.seq++
	m.CSeq = c.seq
	c.nc.SetWriteDeadline(time.Now().Add(time.Second))
	c.nc.Write(m.Append(nil))
}

func (c *conn) write(b []byte) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(time.Second))
	c.nc.Write(b)
}

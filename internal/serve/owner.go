package serve

import (
	"time"

	"tealledge/decide/admission"
	"tealledge/internal/front"
	"tealledge/internal/players"
)

// The owner: one goroutine that takes what came, lets the core decide, and carries the effects out.

func (s *Server) own() {
	defer close(s.finished)
	timer := time.NewTimer(deskEvery)
	defer timer.Stop()
	var batch []any
	deskAt := s.now()
	last := deskAt
	var drainBy, closeBy, readUntil front.Time
	for {
		now := s.now()
		if wait := admission.ReadWindowAfterStall(now - last); wait > 0 {
			readUntil = now + wait
			s.log.Warn().Dur("gap", time.Duration(now-last)).Msg("stood still")
		}
		last = now
		batch, s.backlog = s.queue.Take(batchMost, batch)
		s.waiting.Store(int64(s.backlog))
		for _, item := range batch {
			s.handle(item)
		}
		s.waitedFor.Store(s.now() - now)
		now = s.now()
		if now < readUntil {
			time.Sleep(time.Millisecond)
			continue
		}
		s.settle(s.core.Advance(now))
		if at, racing := s.desk.NextTick(); now >= deskAt || racing && now >= at {
			deskAt = now + front.Time(deskEvery)
			s.desk.Tick(now)
			s.keep.tick(now)
			s.tellFleet(now)
			s.settle(nil)
		}
		if s.leaving && !s.closing {
			if drainBy == 0 {
				drainBy = now + front.Time(s.cfg.Front.DrainLimit)
			}
			if s.core.OpenRequests() == 0 || now >= drainBy {
				s.closing = true
				closeBy = now + front.Time(closeMost)
				s.settle(s.core.Step(now, front.CloseAll{}))
			}
		}
		if s.closing {
			if _, calls := s.desk.Counts(); calls == 0 || now >= closeBy {
				st := s.core.Stats()
				s.log.Info().Uint64("taken", st.Taken).Uint64("plays", st.Plays).Uint64("refused", st.Refused).
					Uint64("failed", st.Failed).Uint64("faults", st.Faults).Uint64("attempts", st.Attempts).Int("dials", s.links.Dials()).Msg("left service")
				return
			}
		}
		if len(batch) == batchMost {
			continue
		}
		wait := time.Duration(deskAt - now)
		if at, ok := s.core.Next(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if at, ok := s.desk.NextTick(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-s.queue.Wake():
		case <-timer.C:
		}
	}
}

func (s *Server) handle(item any) {
	now := s.now()
	switch e := item.(type) {
	case asked:
		s.take(now, e)
	case resumed:
		s.handles++
		s.calls[s.handles] = e.call
		s.step(now, front.Resume{Session: e.session, Token: e.token, Player: s.handles})
	case closed:
		if _, mine := e.call.Held()[e.session]; !mine {
			e.call.Fail(players.CodeUnknownSession, "no such session here", nil)
			return
		}
		s.step(now, front.Leave{Session: e.session})
		s.forget(e.session)
		e.call.Result(map[string]string{"status": "closed", "session": players.SessionName(s.cfg.Front.Name, e.session)})
	case playerGone:
		for id := range e.held {
			s.step(now, front.Detach{Session: id})
			if !s.core.HoldsSession(id) {
				s.forget(id)
			}
		}
	case ended:
		s.step(now, front.Leave{Session: e.session})
		s.forget(e.session)
	case connected:
		s.desk.Connected(now, uint32(e.server), e.conn)
	case dialFailed:
		s.desk.DialFailed(now, uint32(e.server), e.conn)
	case received:
		for _, m := range e.list {
			s.desk.Received(now, uint32(e.server), e.conn, m)
		}
	case lost:
		s.desk.ConnectionLost(now, uint32(e.server), e.conn, e.begun)
	case stored:
		s.keep.stored(now, e)
	case listAnswer:
		s.listed(now, e)
	case keeps:
		s.keepFree(now, e.Keeps)
	case leave:
		s.leaving = true
	case inspect:
		e.reply <- s.snapshot()
	}
	s.settle(nil)
}

// take takes a request. Its session id is known once the core has taken it.
func (s *Server) take(now front.Time, e asked) {
	if e.call.Left() { // nobody is there to be answered, and nothing was begun
		e.call.Drop()
		return
	}
	if s.waited(now, &e.ask) {
		busy(e.call, s.comeBack())
		return
	}
	s.handles++
	e.ask.Player, e.ask.Draining, *e.call.Ref() = s.handles, s.leaving || s.rests(), s.handles
	s.calls[s.handles] = e.call
	before := s.core.Stats().Taken
	effects := s.core.Step(now, e.ask)
	if s.core.Stats().Taken == before+1 {
		id := s.core.LastID()
		s.byID[id] = e.call
		s.keep.took(id, e.ask)
		e.call.Held()[id] = struct{}{}
		if e.call.Left() { // it left just now: nobody would tell so any more
			s.settle(effects)
			s.step(now, front.Leave{Session: id})
			s.forget(id)
			return
		}
	}
	s.settle(effects)
}

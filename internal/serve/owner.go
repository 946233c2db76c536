package serve

import (
	"time"

	"tealledge/decide/admission"
	"tealledge/internal/front"
	"tealledge/internal/players"
)

// runOwner is the owner goroutine: it takes events from the queue, passes them to the core and carries out the effects.
func (s *Server) runOwner() {
	defer close(s.finished)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	var batch []any
	tickAt := s.now()
	lastRoundAt := tickAt
	var drainDeadline, closeDeadline, readUntil front.Time
	for {
		now := s.now()
		if wait := admission.ReadWindowAfterStall(now - lastRoundAt); wait > 0 {
			readUntil = now + wait
			s.log.Warn().Dur("gap", time.Duration(now-lastRoundAt)).
				Msg("process was stalled; reading the sockets before timers run")
		}
		lastRoundAt = now
		batch, s.backlog = s.queue.Take(maxBatch, batch)
		s.queueLength.Store(int64(s.backlog))
		for _, item := range batch {
			s.handle(item)
		}
		s.lastRoundNanos.Store(s.now() - now)
		now = s.now()
		if now < readUntil {
			time.Sleep(time.Millisecond)
			continue
		}
		s.applyEffects(s.core.Advance(now))
		if at, scheduled := s.protocol.NextTick(); now >= tickAt || scheduled && now >= at {
			tickAt = now + front.Time(tickInterval)
			s.protocol.Tick(now)
			s.store.tick(now)
			s.reportToFleet(now)
			s.applyEffects(nil)
		}
		if s.leaving && !s.closing {
			if drainDeadline == 0 {
				drainDeadline = now + front.Time(s.cfg.Front.DrainTimeout)
			}
			if s.core.OpenRequests() == 0 || now >= drainDeadline {
				s.closing = true
				closeDeadline = now + front.Time(closeTimeout)
				s.applyEffects(s.core.Step(now, front.CloseAll{}))
			}
		}
		if s.closing {
			if _, unanswered := s.protocol.Counts(); unanswered == 0 || now >= closeDeadline {
				stats := s.core.Stats()
				s.log.Info().Uint64("taken", stats.Taken).Uint64("plays", stats.Plays).Uint64("refused", stats.Refused).
					Uint64("failed", stats.Failed).Uint64("faults", stats.Faults).
					Uint64("attempts", stats.Attempts).Int("dials", s.conns.Dials()).Msg("left service")
				return
			}
		}
		if len(batch) == maxBatch {
			continue
		}
		wait := time.Duration(tickAt - now)
		if at, ok := s.core.Next(); ok {
			wait = min(wait, time.Duration(at-now))
		}
		if at, ok := s.protocol.NextTick(); ok {
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

// handle handles one event from the queue.
func (s *Server) handle(item any) {
	now := s.now()
	switch e := item.(type) {
	case openRequested:
		s.handleOpen(now, e)
	case resumeRequested:
		s.lastHandle++
		s.callsByHandle[s.lastHandle] = e.call
		s.step(now, front.Resume{Session: e.session, Token: e.token, Player: s.lastHandle})
	case closeRequested:
		if _, owned := e.call.Sessions()[e.session]; !owned {
			e.call.Fail(players.CodeUnknownSession, "no such session here", nil)
			return
		}
		s.step(now, front.Leave{Session: e.session})
		s.forget(e.session)
		e.call.Result(map[string]string{"status": "closed",
			"session": players.SessionName(s.cfg.Front.Name, e.session)})
	case playerDisconnected:
		for id := range e.sessions {
			s.step(now, front.Detach{Session: id})
			if !s.core.HoldsSession(id) {
				s.forget(id)
			}
		}
	case endRequested:
		s.step(now, front.Leave{Session: e.session})
		s.forget(e.session)
	case connected:
		s.protocol.Connected(now, uint32(e.server), e.conn)
	case dialFailed:
		s.protocol.DialFailed(now, uint32(e.server), e.conn)
	case messagesReceived:
		for _, m := range e.messages {
			s.protocol.Received(now, uint32(e.server), e.conn, m)
		}
	case connectionLost:
		s.protocol.ConnectionLost(now, uint32(e.server), e.conn, e.submitted)
	case recordWritten:
		s.store.handleRecordWritten(now, e)
	case listResponse:
		s.handleListResponse(now, e)
	case unavailableChanged:
		s.setUnavailable(now, e.Reservations)
	case shutdown:
		s.leaving = true
	case snapshotRequested:
		e.reply <- s.snapshot()
	}
	s.applyEffects(nil)
}

// handleOpen passes a request to the core, which assigns the session id when it accepts the request.
func (s *Server) handleOpen(now front.Time, e openRequested) {
	if e.call.Disconnected() { // the player has disconnected and nothing was started
		e.call.Drop()
		return
	}
	if s.observeWait(now, &e.request) {
		refuseBusy(e.call, s.retryAfter())
		return
	}
	s.lastHandle++
	e.request.Player, e.request.Draining, *e.call.Handle() = s.lastHandle, s.leaving || s.outOfService(), s.lastHandle
	s.callsByHandle[s.lastHandle] = e.call
	before := s.core.Stats().Taken
	effects := s.core.Step(now, e.request)
	if s.core.Stats().Taken == before+1 {
		id := s.core.LastID()
		s.callsBySession[id] = e.call
		s.store.addRequest(id, e.request)
		e.call.Sessions()[id] = struct{}{}
		if e.call.Disconnected() { // disconnected just now, so no event for this session follows
			s.applyEffects(effects)
			s.step(now, front.Leave{Session: id})
			s.forget(id)
			return
		}
	}
	s.applyEffects(effects)
}

package serve

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/players"
	"tealledge/internal/rtspclient"
	"tealledge/policy"
)

// This file carries out the effects of the core: answers to players, set-ups by the RTSP protocol, and the removal of
// sessions that have ended.

// step passes an event to the core and carries out the effects.
func (s *Server) step(now front.Time, e front.Event) { s.applyEffects(s.core.Step(now, e)) }

// applyEffects carries out effects, and the events and effects that result from them, until none are left.
func (s *Server) applyEffects(effects []front.Effect) {
	for _, e := range effects {
		s.applyEffect(e)
	}
	for {
		outgoing, events := s.protocol.Take()
		if len(s.deferredEvents) > 0 {
			events, s.deferredEvents = append(events, s.deferredEvents...), nil
		}
		if len(outgoing) == 0 && len(events) == 0 {
			return
		}
		for _, connEffect := range outgoing {
			s.conns.Do(connEffect)
		}
		for _, event := range events {
			now := s.now()
			if redirect, ok := event.(rtspclient.Redirected); ok {
				s.handleRedirect(now, redirect.Server)
				continue
			}
			for _, e := range s.core.Step(now, event) {
				s.applyEffect(e)
			}
		}
	}
}

// applyEffect carries out one effect of the core.
func (s *Server) applyEffect(effect front.Effect) {
	name := func(id uint64) string { return players.SessionName(s.cfg.Front.Name, id) }
	if s.store.interceptEffect(effect) {
		return
	}
	switch e := effect.(type) {
	case front.Plays:
		if call := s.takeCall(e.Player); call != nil {
			call.Result(s.playsResult(name(e.Session), e.Server, e.Rung, e.Token))
		}
	case front.Resumed:
		if call := s.takeCall(e.Player); call != nil {
			if previous := s.callsBySession[e.Session]; previous != nil {
				delete(previous.Sessions(), e.Session)
			}
			s.callsBySession[e.Session] = call
			call.Sessions()[e.Session] = struct{}{}
			call.Result(s.playsResult(name(e.Session), e.Server, e.Rung, 0))
			if call.Disconnected() {
				s.deferredEvents = append(s.deferredEvents, front.Detach{Session: e.Session})
			}
		}
	case front.Unknown:
		if call := s.takeCall(e.Player); call != nil {
			call.Fail(players.CodeUnknownSession, "no such session here: open it anew", nil)
		}
	case front.Refused:
		s.log.Debug().Uint64("session", e.Session).Msg("refused")
		if call := s.takeCall(e.Player); call != nil {
			call.Fail(players.CodeRefused, "refused", players.ErrorData{Session: name(e.Session),
				RetryAfterMs: e.RetryAfter / policy.Millisecond})
		}
		s.forget(e.Session)
	case front.Failed:
		s.log.Debug().Uint64("session", e.Session).Msg("failed")
		if call := s.takeCall(e.Player); call != nil {
			call.Fail(players.CodeFailed, "failed", players.ErrorData{Session: name(e.Session)})
		}
		s.forget(e.Session)
	case front.RungChanged:
		if call := s.callsBySession[e.Session]; call != nil {
			call.Notify("session.rung", map[string]any{"session": name(e.Session), "rung": e.Rung,
				"rate": s.cfg.Service.RungKB[e.Rung]})
		}
	case front.Moved:
		if call := s.callsBySession[e.Session]; call != nil {
			call.Notify("session.moved", map[string]any{"session": name(e.Session),
				"token": strconv.FormatUint(e.Token, 16)})
		}
		s.forget(e.Session)
	case front.SessionEnded:
		if call := s.callsBySession[e.Session]; call != nil {
			call.Notify("session.ended", map[string]any{"session": name(e.Session), "reason": e.Reason})
		}
		s.forget(e.Session)
	case front.Subscribe: // nothing to do: serverlist.Follow runs all the time
	case front.Log:
		s.log.Info().Str("from", "module").Msg(e.Text)
	case front.Fault:
		s.log.Error().Msg("fault: " + e.Text)
	default:
		s.protocol.Apply(s.now(), effect)
	}
}

// takeCall returns the call with a handle, nil if there is none, and removes it from the calls that await an answer.
func (s *Server) takeCall(handle uint64) Caller {
	call := s.callsByHandle[handle]
	delete(s.callsByHandle, handle)
	return call
}

// playsResult returns the result for a session that plays.
func (s *Server) playsResult(session string, server uint32, rung int, token uint64) players.PlaysResult {
	addr := s.protocol.Address(server)
	result := players.PlaysResult{Status: "plays", Session: session, Server: addr,
		URI: "rtsp://" + addr + "/" + session, Rung: rung,
		Rate: s.cfg.Service.RungKB[rung], HTTP: s.httpAddrs[server]}
	if token != 0 {
		result.Token = strconv.FormatUint(token, 16)
	}
	return result
}

// forget removes all data of a session that has ended.
func (s *Server) forget(id uint64) {
	s.store.forget(id)
	if call := s.callsBySession[id]; call != nil {
		call.Drop() // has an effect only if it is unanswered, because its player has disconnected
		delete(s.callsByHandle, *call.Handle())
		delete(call.Sessions(), id)
		delete(s.callsBySession, id)
	}
}

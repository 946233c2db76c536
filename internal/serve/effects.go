package serve

import (
	"strconv"

	"tealledge/internal/front"
	"tealledge/internal/players"
	"tealledge/internal/rtspclient"
	"tealledge/policy"
)

// What the core decided is carried out: answers to players, set-ups by the desk, and what is forgotten with them.

func (s *Server) step(now front.Time, e front.Event) { s.settle(s.core.Step(now, e)) }

// settle carries out effects, and what follows from them, until all is quiet.
func (s *Server) settle(effects []front.Effect) {
	for _, e := range effects {
		s.effect(e)
	}
	for {
		acts, news := s.desk.Take()
		if len(s.later) > 0 {
			news, s.later = append(news, s.later...), nil
		}
		if len(acts) == 0 && len(news) == 0 {
			return
		}
		for _, a := range acts {
			s.links.Do(a)
		}
		for _, n := range news {
			now := s.now()
			if r, ok := n.(rtspclient.Redirected); ok {
				s.redirected(now, r.Server)
				continue
			}
			for _, e := range s.core.Step(now, n) {
				s.effect(e)
			}
		}
	}
}

func (s *Server) effect(effect front.Effect) {
	name := func(id uint64) string { return players.SessionName(s.cfg.Front.Name, id) }
	if s.keep.effect(effect) {
		return
	}
	switch e := effect.(type) {
	case front.Plays:
		if call := s.answering(e.Player); call != nil {
			call.Result(s.plays(name(e.Session), e.Server, e.Rung, e.Token))
		}
	case front.Resumed:
		if call := s.answering(e.Player); call != nil {
			if old := s.byID[e.Session]; old != nil {
				delete(old.Held(), e.Session)
			}
			s.byID[e.Session] = call
			call.Held()[e.Session] = struct{}{}
			call.Result(s.plays(name(e.Session), e.Server, e.Rung, 0))
			if call.Left() {
				s.later = append(s.later, front.Detach{Session: e.Session})
			}
		}
	case front.Unknown:
		if call := s.answering(e.Player); call != nil {
			call.Fail(players.CodeUnknownSession, "no such session here: open it anew", nil)
		}
	case front.Refused:
		s.log.Debug().Uint64("session", e.Session).Msg("refused")
		if call := s.answering(e.Player); call != nil {
			call.Fail(players.CodeRefused, "refused", players.NoData{Session: name(e.Session), RetryAfterMs: e.RetryAfter / policy.Millisecond})
		}
		s.forget(e.Session)
	case front.Failed:
		s.log.Debug().Uint64("session", e.Session).Msg("failed")
		if call := s.answering(e.Player); call != nil {
			call.Fail(players.CodeFailed, "failed", players.NoData{Session: name(e.Session)})
		}
		s.forget(e.Session)
	case front.RungChanged:
		if call := s.byID[e.Session]; call != nil {
			call.Notify("session.rung", map[string]any{"session": name(e.Session), "rung": e.Rung, "rate": s.cfg.Service.RungKB[e.Rung]})
		}
	case front.Moved:
		if call := s.byID[e.Session]; call != nil {
			call.Notify("session.moved", map[string]any{"session": name(e.Session), "token": strconv.FormatUint(e.Token, 16)})
		}
		s.forget(e.Session)
	case front.SessionEnded:
		if call := s.byID[e.Session]; call != nil {
			call.Notify("session.ended", map[string]any{"session": name(e.Session), "reason": e.Reason})
		}
		s.forget(e.Session)
	case front.Follow: // the follower asks all the time
	case front.Log:
		s.log.Info().Str("from", "module").Msg(e.Text)
	case front.Fault:
		s.log.Error().Msg("fault: " + e.Text)
	default:
		s.desk.Apply(s.now(), effect)
	}
}

func (s *Server) answering(handle uint64) Caller {
	call := s.calls[handle]
	delete(s.calls, handle)
	return call
}

func (s *Server) plays(session string, server uint32, rung int, token uint64) players.PlaysResult {
	addr := s.desk.Address(server)
	r := players.PlaysResult{Status: "plays", Session: session, Server: addr, URI: "rtsp://" + addr + "/" + session, Rung: rung,
		Rate: s.cfg.Service.RungKB[rung], HTTP: s.https[server]}
	if token != 0 {
		r.Token = strconv.FormatUint(token, 16)
	}
	return r
}

func (s *Server) forget(id uint64) {
	s.keep.forget(id)
	if call := s.byID[id]; call != nil {
		call.Drop() // if its answer was never given: its player is gone
		delete(s.calls, *call.Ref())
		delete(call.Held(), id)
		delete(s.byID, id)
	}
}

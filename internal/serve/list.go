package serve

import (
	"tealledge/decide/serverview"
	"tealledge/internal/front"
	"tealledge/internal/rtspclient"
	"tealledge/internal/serverlist"
	"tealledge/policy"
)

// The server list: what is believed of an answer, and what the core and the desk are told.

func (s *Server) listed(now front.Time, a listAnswer) {
	if a.err != nil {
		s.log.Warn().Err(a.err).Msg("server list not had; the old one stands")
		return
	}
	for _, text := range a.Skipped {
		s.log.Warn().Str("entry", text).Msg("server list: entry skipped")
	}
	entries := make([]policy.Entry, 0, len(a.Entries))
	for _, e := range a.Entries {
		entries = append(entries, e.Entry)
	}
	list, verdict := s.view.Apply(now, serverview.Response{Index: a.Index, Entries: entries})
	s.index.set(s.view.Index())
	if s.view.EmptyPending() { // asked again from the start, so that the service answers at once
		s.index.set(0)
	}
	if verdict != serverview.Accepted {
		if verdict != serverview.Unchanged && !s.doubt {
			s.doubt = true
			s.log.Warn().Uint64("index", a.Index).Int("entries", len(entries)).Msg("server list not believed; the old one stands")
		}
		return
	}
	s.doubt = false
	byID := make(map[uint32]serverlist.Entry, len(a.Entries))
	for _, e := range a.Entries {
		byID[e.Server] = e
	}
	out := make([]serverlist.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, serverlist.Entry{Entry: e, Addr: byID[e.Server].Addr, Paths: byID[e.Server].Paths,
			HTTP: byID[e.Server].HTTP})
	}
	s.believe(policy.ListFull, out, now)
	s.group.Add(1)
	go func() { // a slow disk holds nobody up
		defer s.group.Done()
		if err := s.cache.Save(out); err != nil {
			s.log.Warn().Err(err).Msg("last list not kept")
		}
	}()
}

func (s *Server) believe(kind policy.ListKind, list []serverlist.Entry, now front.Time) {
	now = max(now, s.now())
	s.fleet.kind, s.fleet.list = kind, list
	var servers []rtspclient.Server
	var entries []policy.Entry
	ready := 0
	s.https = make(map[uint32]string, len(list))
	for _, e := range list {
		s.https[e.Server] = e.HTTP
		servers = append(servers, rtspclient.Server{ID: e.Server, Addr: e.Addr, Paths: e.Paths, StartedAt: e.Started})
		told := s.overlay(e.Entry, now)
		entries = append(entries, told)
		if told.Health == policy.Ready {
			ready++
		}
	}
	s.log.Info().Int("servers", len(list)).Int("ready", ready).Bool("cached", kind == policy.ListCached).Msg("server list")
	// The core first: what was not sent to a server that drains is taken back before its connection is touched.
	s.step(now, front.Listed{List: policy.List{Kind: kind, Entries: entries}})
	s.desk.SetServers(now, servers)
	s.settle(nil)
	s.vacate(now)
	s.tellServers()
	s.keep.takeUp(now)
}

func (s *Server) redirected(now front.Time, server uint32) {
	e, news := s.view.HandleRedirect(server, now)
	if !news {
		return
	}
	s.log.Info().Uint32("server", server).Msg("server says that it drains")
	for i := range s.fleet.list { // which is believed again when the fleet agrees on something
		if s.fleet.list[i].Server == server {
			s.fleet.list[i].Health = max(s.fleet.list[i].Health, e.Health)
		}
	}
	e = s.overlay(e, now)
	for _, effect := range s.core.Step(now, front.Listed{List: policy.List{Kind: policy.ListDelta, Entries: []policy.Entry{e}}}) {
		s.effect(effect)
	}
}

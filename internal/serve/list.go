package serve

import (
	"tealledge/decide/serverview"
	"tealledge/internal/front"
	"tealledge/internal/rtspclient"
	"tealledge/internal/serverlist"
	"tealledge/policy"
)

// This file handles responses of the server list: it accepts or rejects them and updates the core and the RTSP
// protocol.

// handleListResponse handles a response, or an error, of the list's source.
func (s *Server) handleListResponse(now front.Time, response listResponse) {
	if response.err != nil {
		s.log.Warn().Err(response.err).Msg("server list request failed; keeping the previous list")
		return
	}
	for _, text := range response.Skipped {
		s.log.Warn().Str("entry", text).Msg("server list: entry skipped")
	}
	entries := make([]policy.Entry, 0, len(response.Entries))
	for _, e := range response.Entries {
		entries = append(entries, e.Entry)
	}
	list, verdict := s.serverView.Apply(now, serverview.Response{Index: response.Index, Entries: entries})
	s.listIndex.set(s.serverView.Index())
	if s.serverView.EmptyPending() { // index 0 makes the service respond immediately
		s.listIndex.set(0)
	}
	if verdict != serverview.Accepted {
		if verdict != serverview.Unchanged && !s.rejectionLogged {
			s.rejectionLogged = true
			s.log.Warn().Uint64("index", response.Index).Int("entries", len(entries)).
				Msg("server list rejected; keeping the previous list")
		}
		return
	}
	s.rejectionLogged = false
	byID := make(map[uint32]serverlist.Entry, len(response.Entries))
	for _, e := range response.Entries {
		byID[e.Server] = e
	}
	accepted := make([]serverlist.Entry, 0, len(list))
	for _, e := range list {
		accepted = append(accepted, serverlist.Entry{Entry: e, Addr: byID[e.Server].Addr, Addresses: byID[e.Server].Addresses,
			HTTP: byID[e.Server].HTTP})
	}
	s.applyList(policy.ListFull, accepted, now)
	s.group.Add(1)
	go func() { // so that a slow disk doesn't block the owner
		defer s.group.Done()
		if err := s.listCache.Save(accepted); err != nil {
			s.log.Warn().Err(err).Msg("saving the server list failed")
		}
	}()
}

// applyList updates the core, the RTSP protocol and the fleet node with an accepted list.
func (s *Server) applyList(kind policy.ListKind, list []serverlist.Entry, now front.Time) {
	now = max(now, s.now())
	s.fleet.listKind, s.fleet.list = kind, list
	var servers []rtspclient.Server
	var entries []policy.Entry
	ready := 0
	s.httpAddrs = make(map[uint32]string, len(list))
	for _, e := range list {
		s.httpAddrs[e.Server] = e.HTTP
		servers = append(servers, rtspclient.Server{ID: e.Server, Addr: e.Addr, Addresses: e.Addresses, StartedAt: e.Started})
		entry := s.withFleetState(e.Entry, now)
		entries = append(entries, entry)
		if entry.Health == policy.Ready {
			ready++
		}
	}
	s.log.Info().Int("servers", len(list)).Int("ready", ready).
		Bool("cached", kind == policy.ListCached).Msg("server list")
	// The core is updated first, so that set-ups not yet sent to a draining server are cancelled before its connection
	// changes.
	s.step(now, front.Listed{List: policy.List{Kind: kind, Entries: entries}})
	s.protocol.SetServers(now, servers)
	s.applyEffects(nil)
	s.vacateServers(now)
	s.reportServers()
	s.store.restoreSessions(now)
}

// handleRedirect marks a server that has sent a REDIRECT as draining.
func (s *Server) handleRedirect(now front.Time, server uint32) {
	e, changed := s.serverView.HandleRedirect(server, now)
	if !changed {
		return
	}
	s.log.Info().Uint32("server", server).Msg("server reported that it is draining")
	for i := range s.fleet.list { // this list is applied again when the fleet state changes
		if s.fleet.list[i].Server == server {
			s.fleet.list[i].Health = max(s.fleet.list[i].Health, e.Health)
		}
	}
	e = s.withFleetState(e, now)
	for _, effect := range s.core.Step(now, front.Listed{List: policy.List{Kind: policy.ListDelta,
		Entries: []policy.Entry{e}}}) {
		s.applyEffect(effect)
	}
}

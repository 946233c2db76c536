package serve

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tealledge/internal/catalogue"
	"tealledge/internal/config"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/node"
	"tealledge/internal/front"
	"tealledge/internal/serverlist"
	"tealledge/policy"
)

// This file connects the owner with the front's fleet node: the owner reports the server list and its sessions, and
// receives the servers that get no new sessions. Neither waits for the other: if the fleet is slow, unreachable or
// wrong, the front places sessions as it does alone, by the last state received.

// fleet is the owner's state about the fleet.
type fleet struct {
	node            *node.Node // nil: this front is in no fleet
	unavailable     core.Reservations
	listKind        policy.ListKind // of the most recent accepted list
	list            []serverlist.Entry
	nextReportAt    front.Time
	reportedVersion *catalogue.Version // whose holder sets were reported last
}

// unavailableChanged is the event that the fleet has agreed on other servers and fronts that are out of service.
type unavailableChanged struct{ core.Reservations }

// fleetReportInterval is the interval between reports of this front's sessions to the fleet node.
const fleetReportInterval = front.Time(time.Second)

// startFleet starts the fleet node, if the settings name a fleet.
func (s *Server) startFleet() (err error) {
	settings := s.cfg.Fleet
	if settings.Cluster == "" {
		return nil
	}
	s.fleet.node, err = node.New(node.Config{Name: s.cfg.Front.Name, Zone: s.cfg.Service.Zone,
		Cluster: settings.Cluster, Listen: settings.Listen, Advertise: settings.Advertise,
		Join: settings.Join, Via: settings.AddressOverrides, Keys: settings.Keys, Voters: settings.Voters,
		Dir: s.cfg.Front.StateDir, Control: settings.Control, Limits: settings.Limits, Timeouts: settings.Timeouts,
		StaleAfter: settings.StaleAfter, ClockSkew: settings.ClockSkew, RackKB: s.cfg.Service.RackKB},
		s.log, func(unavailable core.Reservations) { s.queue.Force(unavailableChanged{unavailable}) })
	return err
}

// Control returns the address that accepts commands for the fleet, "" if there is none.
func (s *Server) Control() string {
	if s.fleet.node == nil {
		return ""
	}
	return s.fleet.node.ControlAddr()
}

// setUnavailable sets the servers and fronts that are out of service, and those that have just returned.
func (s *Server) setUnavailable(now front.Time, unavailable core.Reservations) {
	previous := s.fleet.unavailable
	s.fleet.unavailable = unavailable
	for id := range previous.Servers {
		if unavailable.Servers[id] == 0 {
			s.step(now, front.Vacate{Vacate: policy.Vacate{Server: id}})
		}
	}
	if len(s.fleet.list) > 0 {
		s.applyList(s.fleet.listKind, s.fleet.list, now)
	}
}

// outOfService reports whether this front's own host is out of service; the front then accepts no new sessions.
func (s *Server) outOfService() bool { return s.fleet.unavailable.Fronts[s.cfg.Front.Name] != 0 }

// withFleetState returns a list entry with the state that the fleet has agreed on: draining if the server is out of
// service. The return of a server that has just come back counts as its start, as it is then as cold as a server that
// has started.
func (s *Server) withFleetState(e policy.Entry, now front.Time) policy.Entry {
	if s.fleet.unavailable.Servers[e.Server] != 0 {
		e.Health = max(e.Health, policy.Draining)
	}
	if at := s.fleet.unavailable.Returned[e.Server]; at > 0 {
		e.Started = max(e.Started, min(at, now)) // the time is by another front's clock and may lie ahead
	}
	return e
}

// vacateServers has the module move the sessions that would run past the time at which their servers are taken out of
// service.
func (s *Server) vacateServers(now front.Time) {
	for id := range s.fleet.unavailable.Servers {
		s.step(now, front.Vacate{Vacate: policy.Vacate{Server: id, Until: s.fleet.unavailable.Deadlines[id]}})
	}
}

// reportToFleet reports this front's sessions to the fleet node.
func (s *Server) reportToFleet(now front.Time) {
	if s.fleet.node == nil || now < s.fleet.nextReportAt {
		return
	}
	s.fleet.nextReportAt = now + fleetReportInterval
	settings := &s.cfg.Service
	sessions := map[uint32]core.ServerLoad{}
	s.core.ActiveSessions(func(server uint32, class, rung int) {
		if class < 0 || class >= len(settings.Classes) || rung < 0 || rung >= len(settings.RungKB) {
			return
		}
		load := sessions[server]
		load.Sessions++
		load.KB += settings.RungKB[rung] * settings.Classes[class].Scale
		if settings.Classes[class].Paid {
			load.Paid++
		}
		sessions[server] = load
	})
	s.fleet.node.SetSessions(sessions)
	if c := s.cfg.Catalogue; c != nil && c.Current() != s.fleet.reportedVersion {
		s.reportServers()
	}
}

// reportServers reports the server list to the fleet node, and the sets of servers that hold the same titles.
func (s *Server) reportServers() {
	if s.fleet.node == nil {
		return
	}
	var list []core.Server
	for _, e := range s.fleet.list {
		// Removed means a critical check: the server has failed and counts as out of service. A server that is no
		// longer listed isn't counted as a machine at all.
		list = append(list, core.Server{ID: e.Server, Rack: s.rack(e.Entry), Zone: e.Zone,
			LinkKB: e.Size * s.cfg.Service.WeightKB, Ready: e.Health == policy.Ready})
	}
	slices.SortFunc(list, func(a, b core.Server) int { return int(int64(a.ID) - int64(b.ID)) })
	fleetNode := s.fleet.node
	if c := s.cfg.Catalogue; c != nil { // millions of titles: in its own goroutine, so that the owner isn't blocked
		version := c.Current()
		s.fleet.reportedVersion = version
		s.group.Add(1)
		go func() {
			defer s.group.Done()
			fleetNode.SetServers(list, catalogueHolderSets(version))
		}()
		return
	}
	fleetNode.SetServers(list, titleHolderSets(s.cfg, s.fleet.list))
}

// rack returns the rack that the module assigns a server to.
func (s *Server) rack(e policy.Entry) int {
	racks := max(s.cfg.Service.Racks, 1)
	return (e.Cell%racks + racks) % racks
}

// maxHolderSets limits the distinct sets of holders that are reported.
const maxHolderSets = 100_000

// titleHolderSets returns the distinct sets of servers that hold the titles of the settings.
func titleHolderSets(cfg *config.Config, list []serverlist.Entry) (holderSets [][]uint32) {
	cells := max(cfg.Service.Cells, 1)
	seen := map[[2]int]bool{}
	for _, t := range cfg.Titles {
		key := [2]int{t.Home, t.Copies}
		if seen[key] || len(holderSets) >= maxHolderSets {
			continue
		}
		seen[key] = true
		var holders []uint32
		for _, e := range list {
			if ((e.Cell-t.Home)%cells+cells)%cells < t.Copies {
				holders = append(holders, e.Server)
			}
		}
		if len(holders) > 0 {
			holderSets = append(holderSets, holders)
		}
	}
	return holderSets
}

// catalogueHolderSets returns the distinct sets of holders in a catalogue.
func catalogueHolderSets(version *catalogue.Version) (holderSets [][]uint32) {
	seen := map[uint64]bool{}
	version.All(func(t *catalogue.Title) bool {
		hash := xxhash.New()
		var holders []uint32
		for _, holder := range t.EligibleHolders(0) {
			holders = append(holders, holder.Server)
		}
		slices.Sort(holders)
		for _, id := range holders {
			hash.Write([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)})
		}
		if sum := hash.Sum64(); len(holders) > 0 && !seen[sum] {
			seen[sum] = true
			holderSets = append(holderSets, holders)
		}
		return len(holderSets) < maxHolderSets
	})
	return holderSets
}

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

// The fleet's part of a front: the owner tells it the list and what stands, and is told what to keep free. Neither waits
// for the other: with the fleet slow, gone or wrong, the front places sessions as it does alone, by the last it was told.

// fleet is what the owner knows of it.
type fleet struct {
	node  *node.Node // nil: this front has no fleet
	keeps core.Keeps
	kind  policy.ListKind // of the list believed last
	list  []serverlist.Entry
	tell  front.Time
	seen  *catalogue.Version // that groups are of
}

type keeps struct{ core.Keeps }

// fleetEvery is how often the fleet's part is told what stands here.
const fleetEvery = front.Time(time.Second)

// startFleet starts the fleet's part, if the settings name a fleet.
func (s *Server) startFleet() (err error) {
	f := s.cfg.Fleet
	if f.Cluster == "" {
		return nil
	}
	s.fleet.node, err = node.New(node.Config{Name: s.cfg.Front.Name, Zone: s.cfg.Service.Zone, Cluster: f.Cluster, Listen: f.Listen, Advertise: f.Advertise,
		Join: f.Join, Via: f.Via, Keys: f.Keys, Voters: f.Voters, Dir: s.cfg.Front.StateDir, Control: f.Control, Limits: f.Limits, Times: f.Times,
		Stale: f.Stale, Skew: f.Skew, RackKB: s.cfg.Service.RackKB}, s.log, func(k core.Keeps) { s.queue.Force(keeps{k}) })
	return err
}

// Control is where commands for the fleet are taken, "" if nowhere.
func (s *Server) Control() string {
	if s.fleet.node == nil {
		return ""
	}
	return s.fleet.node.ControlAddr()
}

// keepFree takes over what nothing new may go to, and what has just come back.
func (s *Server) keepFree(now front.Time, k core.Keeps) {
	was := s.fleet.keeps
	s.fleet.keeps = k
	for id := range was.Servers {
		if k.Servers[id] == 0 {
			s.step(now, front.Vacate{Vacate: policy.Vacate{Server: id}})
		}
	}
	if len(s.fleet.list) > 0 {
		s.believe(s.fleet.kind, s.fleet.list, now)
	}
}

// rests tells whether this front's own host is out for work: it takes nothing new.
func (s *Server) rests() bool { return s.fleet.keeps.Fronts[s.cfg.Front.Name] != 0 }

// overlay is a list's entry as the fleet has agreed on it: out for work, or just back and as cold as one that started.
func (s *Server) overlay(e policy.Entry, now front.Time) policy.Entry {
	if s.fleet.keeps.Servers[e.Server] != 0 {
		e.Health = max(e.Health, policy.Draining)
	}
	if at := s.fleet.keeps.Returned[e.Server]; at > 0 {
		e.Started = max(e.Started, min(at, now)) // the clock is another front's
	}
	return e
}

// vacate has the module move away what would outlast the time that servers have.
func (s *Server) vacate(now front.Time) {
	for id := range s.fleet.keeps.Servers {
		s.step(now, front.Vacate{Vacate: policy.Vacate{Server: id, Until: s.fleet.keeps.Until[id]}})
	}
}

// tellFleet tells the fleet's part what stands here.
func (s *Server) tellFleet(now front.Time) {
	if s.fleet.node == nil || now < s.fleet.tell {
		return
	}
	s.fleet.tell = now + fleetEvery
	set := &s.cfg.Service
	mine := map[uint32]core.Standing{}
	s.core.ActiveSessions(func(server uint32, class, rung int) {
		if class < 0 || class >= len(set.Classes) || rung < 0 || rung >= len(set.RungKB) {
			return
		}
		m := mine[server]
		m.Sessions++
		m.KB += set.RungKB[rung] * set.Classes[class].Scale
		if set.Classes[class].Paid {
			m.Paid++
		}
		mine[server] = m
	})
	s.fleet.node.Mine(mine)
	if c := s.cfg.Catalogue; c != nil && c.Now() != s.fleet.seen {
		s.tellServers()
	}
}

// tellServers tells the fleet's part the list, and which servers hold titles between them.
func (s *Server) tellServers() {
	if s.fleet.node == nil {
		return
	}
	var list []core.Server
	for _, e := range s.fleet.list {
		// Removed is one with a critical check: it failed, and counts as out. One that left the list is no machine any more.
		list = append(list, core.Server{ID: e.Server, Rack: s.rack(e.Entry), Zone: e.Zone, KB: e.Size * s.cfg.Service.WeightKB, Ready: e.Health == policy.Ready})
	}
	slices.SortFunc(list, func(a, b core.Server) int { return int(int64(a.ID) - int64(b.ID)) })
	n := s.fleet.node
	if c := s.cfg.Catalogue; c != nil { // millions of titles: not by the owner
		v := c.Now()
		s.fleet.seen = v
		s.group.Add(1)
		go func() {
			defer s.group.Done()
			n.Servers(list, named(v))
		}()
		return
	}
	n.Servers(list, placed(s.cfg, s.fleet.list))
}

// rack is where the module counts a server.
func (s *Server) rack(e policy.Entry) int {
	racks := max(s.cfg.Service.Racks, 1)
	return (e.Cell%racks + racks) % racks
}

// groupsMost bounds the different sets of holders that are told.
const groupsMost = 100_000

// placed gives the sets of servers that hold the settings' titles, each once.
func placed(cfg *config.Config, list []serverlist.Entry) (groups [][]uint32) {
	cells := max(cfg.Service.Cells, 1)
	seen := map[[2]int]bool{}
	for _, t := range cfg.Titles {
		key := [2]int{t.Home, t.Copies}
		if seen[key] || len(groups) >= groupsMost {
			continue
		}
		seen[key] = true
		var g []uint32
		for _, e := range list {
			if ((e.Cell-t.Home)%cells+cells)%cells < t.Copies {
				g = append(g, e.Server)
			}
		}
		if len(g) > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// named gives the sets of servers that a catalogue names as holders, each once.
func named(v *catalogue.Version) (groups [][]uint32) {
	seen := map[uint64]bool{}
	v.All(func(t *catalogue.Title) bool {
		h := xxhash.New()
		var g []uint32
		for _, x := range t.Ask(0) {
			g = append(g, x.Server)
		}
		slices.Sort(g)
		for _, id := range g {
			h.Write([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)})
		}
		if sum := h.Sum64(); len(g) > 0 && !seen[sum] {
			seen[sum] = true
			groups = append(groups, g)
		}
		return len(groups) < groupsMost
	})
	return groups
}

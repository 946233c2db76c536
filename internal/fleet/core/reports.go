package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/ledger"
)

// The leader collects reports of every front's sessions. Each report carries the index that the front has applied: by
// it the front confirms that it sends no new sessions to machines granted up to that index.

// report is one front's report of its sessions.
type report struct {
	// StartedAt is when its process started: reports of a later process replace those of an earlier one.
	StartedAt  int64                 `json:"l"`
	Seq        uint64                `json:"n"`
	Applied    uint64                `json:"a"`
	Servers    map[uint32]ServerLoad `json:"s,omitempty"`
	receivedAt Time
	maxLoad    map[uint32]ServerLoad // recent maxima by server, used once the front stops reporting
}

// maxReportServers limits the servers in one report.
const maxReportServers = 8192

// tickReports sends a report when one is due.
func (c *Core) tickReports() {
	interval := reportInterval
	if c.reportSoon {
		interval = urgentReportInterval
	}
	if c.reportedAt == 0 {
		// A random phase keeps fronts that start together from reporting together.
		c.reportedAt = c.now - Time(c.cfg.Random()%uint64(reportInterval))
	}
	if c.now-c.reportedAt < interval {
		return
	}
	c.reportedAt, c.reportSoon = c.now, false
	c.seq++
	r := report{StartedAt: c.processStart(), Seq: c.seq, Applied: c.state.Index, Servers: map[uint32]ServerLoad{}}
	for id, s := range c.ownLoad {
		if s != (ServerLoad{}) && len(r.Servers) < maxReportServers {
			r.Servers[id] = s
		}
	}
	if c.leaderName == c.cfg.Name {
		c.storeReport(c.cfg.Name, r)
	} else if c.leaderName != "" {
		c.sendJSON(c.leaderName, msgReport, r)
	}
}

// processStart returns the time of the first report; it distinguishes this process from earlier ones of its name.
func (c *Core) processStart() int64 {
	if c.startedAt == 0 {
		c.startedAt = c.now
	}
	return c.startedAt
}

func (c *Core) receiveReport(from string, b []byte) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil || len(r.Servers) > maxReportServers {
		c.countBad(&c.Stats.Unreadable, from, fmt.Errorf("invalid report: %v, %d servers", err, len(r.Servers)))
		return
	}
	for id, s := range r.Servers {
		if s.Sessions < 0 || s.Paid < 0 || s.Paid > s.Sessions || !(s.KB >= 0 && s.KB < 1e12) {
			c.countBad(&c.Stats.Unreadable, from,
				fmt.Errorf("invalid report: %d sessions, %d paid, %g kB/s at server %d", s.Sessions, s.Paid, s.KB, id))
			return
		}
	}
	c.storeReport(from, r)
}

// storeReport keeps a report unless a later one was received.
func (c *Core) storeReport(from string, r report) {
	previous := c.leader.reports[from]
	if previous != nil && (r.StartedAt < previous.StartedAt ||
		r.StartedAt == previous.StartedAt && r.Seq <= previous.Seq) {
		return // reordered: a later report was received before
	}
	r.receivedAt, r.maxLoad = c.now, map[uint32]ServerLoad{}
	if previous != nil && c.now-previous.receivedAt < c.cfg.StaleAfter {
		for id, s := range previous.Servers {
			r.maxLoad[id] = s
		}
	}
	for id, s := range r.Servers {
		peak := r.maxLoad[id]
		r.maxLoad[id] = ServerLoad{max(peak.Sessions, s.Sessions), max(peak.KB, s.KB), max(peak.Paid, s.Paid)}
	}
	c.leader.reports[from] = &r
}

// leaderState is what the leader keeps beside the replicated state.
type leaderState struct {
	reports        map[string]*report
	failedAt       map[uint32]Time // servers that are not ready though no work reserves them, by the time they failed
	proposedBasis  uint64          // LastGrant when the last grant was proposed,
	proposedAt     Time            // and when
	answers        map[uint64]upkeep.Answer
	stepProposedAt map[uint64]Time // when the next step of each work was proposed
	leadsSince     Time            // when this front became the leader,
	term           uint64          // and of which term
}

// updateFailedServers records which servers have failed, and when.
func (c *Core) updateFailedServers() {
	reserved, _ := c.state.Reserved()
	previous := c.leader.failedAt
	c.leader.failedAt = map[uint32]Time{}
	for _, s := range c.servers {
		if _, forWork := reserved[s.ID]; !s.Ready && !forWork {
			at, known := previous[s.ID]
			if !known {
				at = c.now
			}
			c.leader.failedAt[s.ID] = at
		}
	}
}

// fronts returns the names of the live fronts, this one included, and of those that left recently.
func (c *Core) fronts() (alive, left []string) {
	alive = []string{c.cfg.Name}
	for name, m := range c.members {
		if m.Alive && name != c.cfg.Name {
			alive = append(alive, name)
		}
	}
	left = slices.Collect(maps.Keys(c.leftAt))
	slices.Sort(alive)
	slices.Sort(left)
	return alive, left
}

// fleetState returns the input of decide/upkeep. Fronts whose report is stale count with their recent maxima. The load
// of a live front that never reported is unknown: then no work on servers may be granted.
func (c *Core) fleetState() *upkeep.Fleet {
	fleet := &upkeep.Fleet{RackKB: c.cfg.RackKB, Groups: c.groups}
	alive, left := c.fronts()
	total := map[uint32]ServerLoad{}
	sum := func(from map[uint32]ServerLoad) {
		for id, s := range from {
			t := total[id]
			total[id] = ServerLoad{t.Sessions + s.Sessions, t.KB + s.KB, t.Paid + s.Paid}
		}
	}
	var withoutReport []string
	for _, name := range alive {
		switch p := c.leader.reports[name]; {
		case p == nil:
			withoutReport = append(withoutReport, name)
		case c.now-p.receivedAt >= c.cfg.StaleAfter:
			sum(p.maxLoad)
		default:
			sum(p.Servers)
		}
		fleet.Fronts = append(fleet.Fronts, upkeep.Front{Name: name})
	}
	for _, name := range left { // its sessions may still play
		if p := c.leader.reports[name]; p != nil {
			sum(p.maxLoad)
		}
		fleet.Fronts = append(fleet.Fronts, upkeep.Front{Name: name, Failed: true})
	}
	if len(withoutReport) > 0 {
		fleet.UncertainReason = fmt.Sprintf("nothing is known yet of what stands at %d fronts, %s first",
			len(withoutReport), withoutReport[0])
	}
	listed := map[uint32]bool{}
	for _, s := range c.servers {
		_, failed := c.leader.failedAt[s.ID]
		listed[s.ID] = true
		t := total[s.ID]
		fleet.Servers = append(fleet.Servers, upkeep.Server{ID: s.ID, Rack: s.Rack, Zone: s.Zone, LinkKB: s.LinkKB,
			NeededKB: t.KB, Paid: t.Paid, Failed: failed})
	}
	for _, work := range c.state.Works { // servers that are out may have left the list: they count at their last place
		if !work.Phase.CountsAsOut() {
			continue
		}
		for _, p := range work.Request.Servers {
			if !listed[p.Server] {
				listed[p.Server] = true
				fleet.Servers = append(fleet.Servers, upkeep.Server{ID: p.Server, Rack: p.Rack, Zone: p.Zone,
					NeededKB: total[p.Server].KB, Paid: total[p.Server].Paid})
			}
		}
	}
	slices.SortFunc(fleet.Servers, func(a, b upkeep.Server) int { return int(int64(a.ID) - int64(b.ID)) })
	fleet.HoldReason = c.holdReason()
	return fleet
}

// holdReason returns why no work may be granted at all, empty if it may.
func (c *Core) holdReason() string {
	if c.state.NewerFormat > ledger.Format {
		return fmt.Sprintf("entries were agreed on in format %d, this front knows %d",
			c.state.NewerFormat, ledger.Format)
	}
	oldest := Time(0)
	for _, w := range c.state.Works {
		if w.Phase.CountsAsOut() && (oldest == 0 || w.RequestedAt < oldest) {
			oldest = w.RequestedAt
		}
	}
	if oldest == 0 {
		return ""
	}
	var failed []uint32
	for id, at := range c.leader.failedAt {
		if at > c.leader.leadsSince && at >= oldest {
			failed = append(failed, id)
		}
	}
	if len(failed) > 0 {
		slices.Sort(failed)
		return fmt.Sprintf("server %d and %d more failed while others are out for work", failed[0], len(failed)-1)
	}
	return ""
}

// hasLeft reports whether a front has left.
func (c *Core) hasLeft(name string) bool { _, left := c.leftAt[name]; return left }

// progress returns the progress of granted work.
func (c *Core) progress(w *ledger.Work) upkeep.Progress {
	progress := upkeep.Progress{Since: w.Since, WorkDuration: w.Request.WorkDuration}
	switch w.Phase {
	case ledger.Draining:
		progress.Step = upkeep.Draining
	case ledger.Out:
		progress.Step = upkeep.Out
	case ledger.Back:
		progress.Step = upkeep.Back
	}
	alive, left := c.fronts()
	count := func(p *report) {
		for _, s := range w.Request.Servers {
			progress.RemainingSessions += p.Servers[s.Server].Sessions
		}
	}
	for _, name := range w.Request.Fronts { // all sessions of a front that is to go out, on any server
		if p := c.leader.reports[name]; p != nil && !c.hasLeft(name) {
			for _, s := range p.Servers {
				progress.RemainingSessions += s.Sessions
			}
		}
	}
	for _, name := range alive {
		p := c.leader.reports[name]
		if p == nil || p.Applied < w.Fence {
			progress.Unacknowledged = append(progress.Unacknowledged, name)
		}
		if p == nil || p.Applied < w.Fence || c.now-p.receivedAt >= c.cfg.StaleAfter {
			progress.Unreported = append(progress.Unreported, name)
		}
		if p != nil {
			count(p)
		}
	}
	for _, name := range left {
		if p := c.leader.reports[name]; p != nil {
			count(p)
		}
	}
	return progress
}

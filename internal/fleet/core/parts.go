package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/ledger"
)

// What each front knows of the sessions that stand, put together by the leader. Each front tells its own part; together
// with how far the front has come in what was agreed, for that is its word that it sends nothing more to what was
// granted.

// part is one front's report.
type part struct {
	Life    int64               `json:"l"` // when its process started: a later one replaces all that an earlier one told
	Seq     uint64              `json:"n"`
	Applied uint64              `json:"a"`
	Servers map[uint32]Standing `json:"s,omitempty"`
	at      Time
	worst   map[uint32]Standing // the most that it told of each server lately, for when it falls silent
}

// partServers bounds what is taken of one report.
const partServers = 8192

func (c *Core) tickParts() {
	wait := partEvery
	if c.partSoon {
		wait = quickEvery
	}
	if c.partAt == 0 {
		c.partAt = c.now - Time(c.cfg.Draw()%uint64(partEvery)) // fronts that start together do not speak together
	}
	if c.now-c.partAt < wait {
		return
	}
	c.partAt, c.partSoon = c.now, false
	c.seq++
	p := part{Life: c.life(), Seq: c.seq, Applied: c.state.Index, Servers: map[uint32]Standing{}}
	for id, s := range c.mine {
		if s != (Standing{}) && len(p.Servers) < partServers {
			p.Servers[id] = s
		}
	}
	if c.lead == c.cfg.Me {
		c.tookPart(c.cfg.Me, p)
	} else if c.lead != "" {
		c.sendJSON(c.lead, msgPart, p)
	}
}

// life tells this process from an earlier one of the same name.
func (c *Core) life() int64 {
	if c.born == 0 {
		c.born = c.now
	}
	return c.born
}

func (c *Core) hearPart(from string, b []byte) {
	var p part
	if err := json.Unmarshal(b, &p); err != nil || len(p.Servers) > partServers {
		c.bad(&c.Stats.Unreadable, from, fmt.Errorf("no report: %v, %d servers", err, len(p.Servers)))
		return
	}
	for id, s := range p.Servers {
		if s.Sessions < 0 || s.Paid < 0 || s.Paid > s.Sessions || !(s.KB >= 0 && s.KB < 1e12) {
			c.bad(&c.Stats.Unreadable, from, fmt.Errorf("a report of %d sessions, %d paid, %g kB a second at server %d", s.Sessions, s.Paid, s.KB, id))
			return
		}
	}
	c.tookPart(from, p)
}

func (c *Core) tookPart(from string, p part) {
	was := c.leader.parts[from]
	if was != nil && (p.Life < was.Life || p.Life == was.Life && p.Seq <= was.Seq) {
		return // overtaken by a later one
	}
	p.at, p.worst = c.now, map[uint32]Standing{}
	if was != nil && c.now-was.at < c.cfg.Stale {
		for id, s := range was.Servers {
			p.worst[id] = s
		}
	}
	for id, s := range p.Servers {
		w := p.worst[id]
		p.worst[id] = Standing{max(w.Sessions, s.Sessions), max(w.KB, s.KB), max(w.Paid, s.Paid)}
	}
	c.leader.parts[from] = &p
}

// leader is what the leader knows beside what is agreed.
type leader struct {
	parts    map[string]*part
	failed   map[uint32]Time // servers that are not ready and not for work, since when
	proposed uint64          // Granted when the last grant was proposed,
	at       Time            // and when
	why      map[uint64]upkeep.Answer
	steps    map[uint64]Time // works, by when their next step was proposed
	since    Time            // this front leads since then,
	term     uint64          // in this term
}

// sawServers notes which servers fail, and since when.
func (c *Core) sawServers() {
	kept, _ := c.state.Kept()
	was := c.leader.failed
	c.leader.failed = map[uint32]Time{}
	for _, s := range c.servers {
		if _, forWork := kept[s.ID]; !s.Ready && !forWork {
			at, known := was[s.ID]
			if !known {
				at = c.now
			}
			c.leader.failed[s.ID] = at
		}
	}
}

// fronts names the fronts that are here, this one included, and those that were here lately.
func (c *Core) fronts() (here, gone []string) {
	here = []string{c.cfg.Me}
	for name, m := range c.members {
		if m.Alive && name != c.cfg.Me {
			here = append(here, name)
		}
	}
	gone = slices.Collect(maps.Keys(c.left))
	slices.Sort(here)
	slices.Sort(gone)
	return here, gone
}

// world puts together what decide/upkeep rests on. Fronts that have not told lately are taken at the most that they told;
// of one that is here and never told, nothing is known: nothing that holds servers may go.
func (c *Core) world() *upkeep.Fleet {
	w := &upkeep.Fleet{RackKB: c.cfg.RackKB, Groups: c.groups}
	here, gone := c.fronts()
	total := map[uint32]Standing{}
	sum := func(from map[uint32]Standing) {
		for id, s := range from {
			t := total[id]
			total[id] = Standing{t.Sessions + s.Sessions, t.KB + s.KB, t.Paid + s.Paid}
		}
	}
	var silent []string
	for _, name := range here {
		switch p := c.leader.parts[name]; {
		case p == nil:
			silent = append(silent, name)
		case c.now-p.at >= c.cfg.Stale:
			sum(p.worst)
		default:
			sum(p.Servers)
		}
		w.Fronts = append(w.Fronts, upkeep.Front{Name: name})
	}
	for _, name := range gone { // its sessions may play on
		if p := c.leader.parts[name]; p != nil {
			sum(p.worst)
		}
		w.Fronts = append(w.Fronts, upkeep.Front{Name: name, Failed: true})
	}
	if len(silent) > 0 {
		w.UncertainReason = fmt.Sprintf("nothing is known yet of what stands at %d fronts, %s first", len(silent), silent[0])
	}
	listed := map[uint32]bool{}
	for _, s := range c.servers {
		_, failed := c.leader.failed[s.ID]
		listed[s.ID] = true
		t := total[s.ID]
		w.Servers = append(w.Servers, upkeep.Server{ID: s.ID, Rack: s.Rack, Zone: s.Zone, LinkKB: s.KB, NeededKB: t.KB, Paid: t.Paid, Failed: failed})
	}
	for _, k := range c.state.Works { // what is out may be off the list: it counts where it stood
		if !k.Phase.Counts() {
			continue
		}
		for _, p := range k.Ask.Servers {
			if !listed[p.Server] {
				listed[p.Server] = true
				w.Servers = append(w.Servers, upkeep.Server{ID: p.Server, Rack: p.Rack, Zone: p.Zone, NeededKB: total[p.Server].KB, Paid: total[p.Server].Paid})
			}
		}
	}
	slices.SortFunc(w.Servers, func(a, b upkeep.Server) int { return int(int64(a.ID) - int64(b.ID)) })
	w.HoldReason = c.held()
	return w
}

// held tells why nothing may be granted at all.
func (c *Core) held() string {
	if c.state.Newer > ledger.Format {
		return fmt.Sprintf("entries were agreed on in format %d, this front knows %d", c.state.Newer, ledger.Format)
	}
	oldest := Time(0)
	for _, w := range c.state.Works {
		if w.Phase.Counts() && (oldest == 0 || w.Asked < oldest) {
			oldest = w.Asked
		}
	}
	if oldest == 0 {
		return ""
	}
	var failed []uint32
	for id, at := range c.leader.failed {
		if at > c.leader.since && at >= oldest {
			failed = append(failed, id)
		}
	}
	if len(failed) > 0 {
		slices.Sort(failed)
		return fmt.Sprintf("server %d and %d more failed while others are out for work", failed[0], len(failed)-1)
	}
	return ""
}

// gone tells whether a front has left.
func (c *Core) gone(name string) bool { _, left := c.left[name]; return left }

// course tells how work that was let go stands.
func (c *Core) course(w *ledger.Work) upkeep.Progress {
	k := upkeep.Progress{Since: w.Since, WorkDuration: w.Ask.For}
	switch w.Phase {
	case ledger.Draining:
		k.Step = upkeep.Draining
	case ledger.Out:
		k.Step = upkeep.Out
	case ledger.Back:
		k.Step = upkeep.Back
	}
	here, gone := c.fronts()
	count := func(p *part) {
		for _, s := range w.Ask.Servers {
			k.RemainingSessions += p.Servers[s.Server].Sessions
		}
	}
	for _, name := range w.Ask.Fronts { // what stands with viewers of a front's host, wherever it plays
		if p := c.leader.parts[name]; p != nil && !c.gone(name) {
			for _, s := range p.Servers {
				k.RemainingSessions += s.Sessions
			}
		}
	}
	for _, name := range here {
		p := c.leader.parts[name]
		if p == nil || p.Applied < w.Fence {
			k.Unacknowledged = append(k.Unacknowledged, name)
		}
		if p == nil || p.Applied < w.Fence || c.now-p.at >= c.cfg.Stale {
			k.Unreported = append(k.Unreported, name)
		}
		if p != nil {
			count(p)
		}
	}
	for _, name := range gone {
		if p := c.leader.parts[name]; p != nil {
			count(p)
		}
	}
	return k
}

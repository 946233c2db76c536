package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/ledger"
)

// Machines by their names, and the questions that operators ask.

// Bounds of one ask.
const (
	namesMost   = 256
	serversMost = 4096
)

// Resolve finds machines by names: server:ID (or ID alone), rack:NUMBER, front:NAME.
func (c *Core) Resolve(names []string) (a ledger.Ask, err error) {
	if len(names) == 0 || len(names) > namesMost {
		return a, fmt.Errorf("%d machines named, 1 to %d may be", len(names), namesMost)
	}
	a.Names = names
	add := func(s Server) {
		p := ledger.Place{Server: s.ID, Rack: s.Rack, Zone: s.Zone}
		if !slices.Contains(a.Servers, p) {
			a.Servers = append(a.Servers, p)
		}
	}
	for _, name := range names {
		kind, rest, named := strings.Cut(name, ":")
		if !named {
			kind, rest = "server", name
		}
		switch kind {
		case "front":
			if _, known := c.members[rest]; !known && rest != c.cfg.Me {
				if _, gone := c.left[rest]; !gone {
					return a, fmt.Errorf("no front %q is here or was lately", rest)
				}
			}
			if !slices.Contains(a.Fronts, rest) {
				a.Fronts = append(a.Fronts, rest)
			}
		case "server", "rack":
			number, err := strconv.ParseUint(rest, 10, 32)
			if err != nil {
				return a, fmt.Errorf("%q: a %s is told by its number", name, kind)
			}
			found := false
			for _, s := range c.servers {
				if kind == "server" && uint64(s.ID) == number || kind == "rack" && uint64(s.Rack) == number {
					add(s)
					found = true
				}
			}
			if !found {
				return a, fmt.Errorf("no %s %d is on this front's list", kind, number)
			}
		default:
			return a, fmt.Errorf("%q: want server:ID, rack:NUMBER or front:NAME", name)
		}
	}
	if len(a.Servers) > serversMost {
		return a, fmt.Errorf("%d servers named, %d may be", len(a.Servers), serversMost)
	}
	slices.SortFunc(a.Servers, func(a, b ledger.Place) int { return cmp.Compare(a.Server, b.Server) })
	return a, nil
}

// because is the leader's answer to a front that asks why works wait.
type because struct {
	Answers []upkeep.Answer `json:"w"`
	At      Time            `json:"at"`
}

// AskWhy asks the leader why works wait. What comes back is in Whys.
func (c *Core) AskWhy(now Time) {
	c.now = max(c.now, now)
	if c.lead != c.cfg.Me {
		c.send(c.lead, msgWhy, nil)
		return
	}
	c.whys, c.whysAt = c.answers(), c.now
}

// Whys gives what the leader said last of what waits, and when that came.
func (c *Core) Whys() (map[uint64]upkeep.Answer, Time) { return c.whys, c.whysAt }

func (c *Core) answers() map[uint64]upkeep.Answer {
	list := map[uint64]upkeep.Answer{}
	for id, a := range c.leader.why {
		if w := c.state.Work(id); w != nil && w.Phase == ledger.Asked {
			list[id] = a
		}
	}
	return list
}

func (c *Core) asksWhy(from string) {
	if c.lead != c.cfg.Me {
		return
	}
	b := because{At: c.now}
	for _, a := range c.answers() {
		b.Answers = append(b.Answers, a)
	}
	slices.SortFunc(b.Answers, func(x, y upkeep.Answer) int { return cmp.Compare(x.ID, y.ID) })
	c.sendJSON(from, msgBecause, b)
}

func (c *Core) hearBecause(from string, b []byte) {
	var x because
	if err := json.Unmarshal(b, &x); err != nil || from != c.lead || len(x.Answers) > ledger.OpenMost {
		c.bad(&c.Stats.Unreadable, from, fmt.Errorf("no answer of the leader: %v", err))
		return
	}
	c.whys, c.whysAt = map[uint64]upkeep.Answer{}, c.now
	for _, a := range x.Answers {
		c.whys[a.ID] = a
	}
}

// Status is how a front's part stands.
type Status struct {
	Name    string `json:"name"`
	Cluster string `json:"cluster"`
	Lead    string `json:"lead"`
	Fresh   bool   `json:"fresh"`
	HeardMs Time   `json:"heard_ms"` // since a voter or a majority was heard; -1: never
	Index   uint64 `json:"index"`
	Voter   bool   `json:"voter"`
	Silent  bool   `json:"silent"` // a voter that does not take part yet
	Broken  bool   `json:"broken"`
	Voters  int    `json:"voters"` // by the record
	Here    []Here `json:"here"`
	Open    int    `json:"open"`  // works that have not ended
	Newer   int    `json:"newer"` // the newest format of an entry that was not understood
	Stats   Stats  `json:"stats"`
}

// Here is a front that membership knows.
type Here struct {
	Name  string `json:"name"`
	Zone  int    `json:"zone"`
	Voter bool   `json:"voter"`
	Here  bool   `json:"here"`
	Life  uint64 `json:"life,omitempty"`
}

// Status tells how things stand.
func (c *Core) Status() Status {
	s := Status{Name: c.cfg.Me, Cluster: c.state.Cluster, Lead: c.lead, Fresh: c.Fresh(), HeardMs: -1, Index: c.state.Index, Newer: c.state.Newer, Stats: c.Stats}
	if c.heard > 0 {
		s.HeardMs = (c.now - c.heard) / millisecond
	}
	if c.voter != nil {
		s.Voter, s.Silent, s.Broken = true, c.voter.node.Silent(), c.voter.broken
		s.Voters = len(c.voter.node.Status().Voters)
	}
	for _, w := range c.state.Works {
		if !w.Phase.Ended() {
			s.Open++
		}
	}
	here, gone := c.fronts()
	for _, name := range here {
		h := Here{Name: name, Zone: c.members[name].Meta.Zone, Voter: slices.Contains(c.cfg.Voters, name), Here: true}
		if id := c.members[name].Meta.Identity; id != nil {
			h.Life = id.Life
		}
		if name == c.cfg.Me {
			h.Zone = c.cfg.Zone
			if c.voter != nil {
				h.Life = c.voter.me.Life
			}
		}
		s.Here = append(s.Here, h)
	}
	for _, name := range gone {
		s.Here = append(s.Here, Here{Name: name, Voter: slices.Contains(c.cfg.Voters, name)})
	}
	return s
}

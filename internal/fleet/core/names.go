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

// Resolving machine names, and the status that operators query.

// Limits of one request for work.
const (
	maxNames   = 256
	maxServers = 4096
)

// Resolve returns a request for the machines with the given names: server:ID (or ID alone), rack:NUMBER, front:NAME.
func (c *Core) Resolve(names []string) (a ledger.Request, err error) {
	if len(names) == 0 || len(names) > maxNames {
		return a, fmt.Errorf("%d machines named, want 1 to %d", len(names), maxNames)
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
			if _, known := c.members[rest]; !known && rest != c.cfg.Name {
				if _, leftRecently := c.leftAt[rest]; !leftRecently {
					return a, fmt.Errorf("no front %q is a member or was one recently", rest)
				}
			}
			if !slices.Contains(a.Fronts, rest) {
				a.Fronts = append(a.Fronts, rest)
			}
		case "server", "rack":
			number, err := strconv.ParseUint(rest, 10, 32)
			if err != nil {
				return a, fmt.Errorf("%q: a %s is named by its number", name, kind)
			}
			found := false
			for _, s := range c.servers {
				if kind == "server" && uint64(s.ID) == number || kind == "rack" && uint64(s.Rack) == number {
					add(s)
					found = true
				}
			}
			if !found {
				return a, fmt.Errorf("no %s %d on this front's server list", kind, number)
			}
		default:
			return a, fmt.Errorf("%q: want server:ID, rack:NUMBER or front:NAME", name)
		}
	}
	if len(a.Servers) > maxServers {
		return a, fmt.Errorf("%d servers named, at most %d allowed", len(a.Servers), maxServers)
	}
	slices.SortFunc(a.Servers, func(a, b ledger.Place) int { return cmp.Compare(a.Server, b.Server) })
	return a, nil
}

// waitReply is the leader's reply to a request for the reasons why work waits.
type waitReply struct {
	Answers []upkeep.Answer `json:"w"`
	At      Time            `json:"at"`
}

// RequestWaitReasons requests from the leader why work waits. WaitReasons returns its reply.
func (c *Core) RequestWaitReasons(now Time) {
	c.now = max(c.now, now)
	if c.leaderName != c.cfg.Name {
		c.send(c.leaderName, msgWaitRequest, nil)
		return
	}
	c.waitReasons, c.waitReasonsAt = c.waitingAnswers(), c.now
}

// WaitReasons returns the most recent reply of the leader and when it was received.
func (c *Core) WaitReasons() (map[uint64]upkeep.Answer, Time) { return c.waitReasons, c.waitReasonsAt }

// waitingAnswers returns the decisions on all waiting work.
func (c *Core) waitingAnswers() map[uint64]upkeep.Answer {
	list := map[uint64]upkeep.Answer{}
	for id, a := range c.leader.answers {
		if w := c.state.Work(id); w != nil && w.Phase == ledger.Requested {
			list[id] = a
		}
	}
	return list
}

func (c *Core) receiveWaitRequest(from string) {
	if c.leaderName != c.cfg.Name {
		return
	}
	reply := waitReply{At: c.now}
	for _, a := range c.waitingAnswers() {
		reply.Answers = append(reply.Answers, a)
	}
	slices.SortFunc(reply.Answers, func(x, y upkeep.Answer) int { return cmp.Compare(x.ID, y.ID) })
	c.sendJSON(from, msgWaitReply, reply)
}

func (c *Core) receiveWaitReply(from string, b []byte) {
	var reply waitReply
	if err := json.Unmarshal(b, &reply); err != nil || from != c.leaderName ||
		len(reply.Answers) > ledger.MaxOpenWorks {
		c.countBad(&c.Stats.Unreadable, from, fmt.Errorf("invalid wait reply, or not from the leader: %v", err))
		return
	}
	c.waitReasons, c.waitReasonsAt = map[uint64]upkeep.Answer{}, c.now
	for _, a := range reply.Answers {
		c.waitReasons[a.ID] = a
	}
}

// Status is the state of a front in its fleet.
type Status struct {
	Name          string        `json:"name"`
	Cluster       string        `json:"cluster"`
	Leader        string        `json:"lead"`
	Fresh         bool          `json:"fresh"`
	LastContactMs Time          `json:"heard_ms"` // since contact with a voter or a majority; -1: never
	Index         uint64        `json:"index"`
	Voter         bool          `json:"voter"`
	Silent        bool          `json:"silent"` // a voter that does not take part in elections yet
	Broken        bool          `json:"broken"`
	Voters        int           `json:"voters"` // in the record
	Fronts        []FrontStatus `json:"here"`
	OpenWorks     int           `json:"open"`  // work that has not ended
	NewerFormat   int           `json:"newer"` // the newest unsupported format of an entry; 0: none
	Stats         Stats         `json:"stats"`
}

// FrontStatus is a front that is a member or was one recently.
type FrontStatus struct {
	Name        string `json:"name"`
	Zone        int    `json:"zone"`
	Voter       bool   `json:"voter"`
	Alive       bool   `json:"here"`
	Incarnation uint64 `json:"life,omitempty"`
}

// Status returns the state of this front.
func (c *Core) Status() Status {
	s := Status{Name: c.cfg.Name, Cluster: c.state.Cluster, Leader: c.leaderName, Fresh: c.Fresh(), LastContactMs: -1,
		Index: c.state.Index, NewerFormat: c.state.NewerFormat, Stats: c.Stats}
	if c.lastContactAt > 0 {
		s.LastContactMs = (c.now - c.lastContactAt) / millisecond
	}
	if c.voter != nil {
		s.Voter, s.Silent, s.Broken = true, c.voter.node.Silent(), c.voter.broken
		s.Voters = len(c.voter.node.Status().Voters)
	}
	for _, w := range c.state.Works {
		if !w.Phase.Ended() {
			s.OpenWorks++
		}
	}
	alive, left := c.fronts()
	for _, name := range alive {
		h := FrontStatus{Name: name, Zone: c.members[name].Meta.Zone, Voter: slices.Contains(c.cfg.Voters, name),
			Alive: true}
		if id := c.members[name].Meta.Identity; id != nil {
			h.Incarnation = id.Incarnation
		}
		if name == c.cfg.Name {
			h.Zone = c.cfg.Zone
			if c.voter != nil {
				h.Incarnation = c.voter.identity.Incarnation
			}
		}
		s.Fronts = append(s.Fronts, h)
	}
	for _, name := range left {
		s.Fronts = append(s.Fronts, FrontStatus{Name: name, Voter: slices.Contains(c.cfg.Voters, name)})
	}
	return s
}

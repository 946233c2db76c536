package viewers

import (
	"net/netip"
	"slices"

	"tealledge/policy"
)

// Clients across their connections. A session belongs to no connection: if its client's is lost, its end must be sent on
// the one that replaces it. The host and the order of losses and connects are all that tells whose a connection is.

// Durations of the change from a lost connection to its replacement.
const (
	crossingTime = 50 * policy.Millisecond // how much later than the replacement the loss may be noticed
	joinTime     = 2 * policy.Second       // after a loss, further connections may replace it for this long
)

// group is a client across its connections, or several clients of one host that can't be told apart because they have lost
// theirs at the same time.
type group struct {
	host     netip.Addr
	conns    []*client // open connections of its clients, as far as is known
	missing  int       // connections that were lost while sessions stood, less the used ones that came since
	lostAt   Time      // when the last one was lost
	standing int       // established sessions, and ends that wait for a connection
	merged   *group    // the group that it has become a part of
}

// current returns the group that this one has become a part of, or itself.
func (g *group) current() *group {
	for g.merged != nil {
		g = g.merged
	}
	return g
}

// merge makes a group part of another one of its host.
func (g *group) merge(other *group) {
	for _, c := range other.conns {
		c.group = g
	}
	g.conns = append(g.conns, other.conns...)
	g.missing += other.missing
	g.lostAt = max(g.lostAt, other.lostAt)
	g.standing += other.standing
	other.conns, other.merged = nil, g
}

// incomplete reports whether a new connection may be one of its clients'.
func (g *group) incomplete(now Time) bool { return g.missing > 0 || now-g.lostAt < joinTime }

// join gives a new connection its group: that of its host which lacks a connection, or a new one.
func (p *Protocol) join(c *client, host netip.Addr) {
	g := p.lost[host]
	if g != nil && !g.incomplete(p.now) {
		delete(p.lost, host)
		g = nil
	}
	if g != nil {
		c.group, c.replaces = g, true
		g.conns = append(g.conns, c)
		return
	}
	c.group = newGroup(host, c)
}

// newGroup returns the group of one connection.
func newGroup(host netip.Addr, c *client) *group { return &group{host: host, conns: []*client{c}} }

// handleValidLine counts a valid line. The first one shows that a connection may have replaced a lost one: idle
// connections do not.
func (p *Protocol) handleValidLine(c *client) {
	c.validLines++
	if c.validLines == 1 && c.replaces && c.group.missing > 0 {
		c.group.missing--
	}
}

// connEnded handles the end of a connection, or its close by this front. If sessions stand, the next connection from its
// host joins its group.
func (p *Protocol) connEnded(c *client) {
	if !slices.Contains(c.group.conns, c) {
		return
	}
	p.repeatUnconfirmed(c)
	g := c.group
	g.conns = slices.DeleteFunc(g.conns, func(other *client) bool { return other == c })
	if g.standing == 0 || c.validLines == 0 {
		return
	}
	g.missing++
	g.lostAt = p.now
	if lost := p.lost[g.host]; lost != nil && lost != g && lost.incomplete(p.now) {
		g.merge(lost)
	}
	p.lost[g.host] = g
	p.mergeCrossing(g, c)
}

// mergeCrossing adds the connections from a host to a group that were accepted shortly before the loss of a connection was
// noticed, after its last input, and that replace no other one.
func (p *Protocol) mergeCrossing(g *group, ended *client) {
	since := max(ended.lastReceivedAt, p.now-crossingTime)
	for _, c := range p.conns {
		if !c.closed && c.id > ended.id && c.connectedAt >= since && c.group != g && c.group.host == g.host && !c.replaces {
			g.merge(c.group)
		}
	}
}

// addStanding counts a session, or an end that waits for a connection.
func (p *Protocol) addStanding(g *group) { g.standing++ }

// removeStanding undoes addStanding. A group without sessions is resolved.
func (p *Protocol) removeStanding(g *group) {
	g = g.current()
	if g.standing--; g.standing > 0 {
		return
	}
	g.missing = 0
	if p.lost[g.host] == g {
		delete(p.lost, g.host)
	}
	conns := g.conns
	g.conns = g.conns[:min(len(conns), 1)]
	for i, c := range conns {
		c.replaces = false
		if i > 0 {
			c.group = newGroup(g.host, c)
		}
	}
}

package paths

import "tealledge/policy"

// Pace bounds connects: to one server, which may just have restarted while hundreds of fronts come back to it, and in
// all, for each costs this front a handshake too. It is two token buckets and, for a server that restarted, a start
// drawn by each front for itself.
//
// Danger: the pools of all fronts together push a server over that is still cold. Harm: a connection for keeping
// warm waits; one that a viewer's set-up needs does not wait, it only counts.
type Pace struct {
	all     bucket
	servers map[uint32]*bucket
	after   map[uint32]Time // a restarted server: no connects but viewers' before
}

const (
	allPerS, allBurst       = 200.0, 100.0 // handshakes a second by one front
	serverPerS, serverBurst = 2.0, 3.0     // to one server
	spread                  = 2 * policy.Second
	serversMost             = 10_000
)

type bucket struct {
	tokens float64
	at     Time
}

func (b *bucket) fill(now Time, perS, most float64) {
	if b.at == 0 {
		b.tokens = most
	} else {
		b.tokens = min(most, b.tokens+perS*float64(now-b.at)/float64(policy.Second))
	}
	b.at = now
}

// Restarted notes that a server's process is new; u (0 to 1) is drawn by each front for itself.
func (p *Pace) Restarted(server uint32, now Time, u float64) {
	if p.after == nil {
		p.after = map[uint32]Time{}
	}
	if len(p.after) < serversMost {
		p.after[server] = now + Time(u*float64(spread))
	}
}

// Allow decides on a connect. One that a viewer waits for always goes, but counts.
func (p *Pace) Allow(server uint32, now Time, viewer bool) bool {
	if p.servers == nil {
		p.servers = map[uint32]*bucket{}
	}
	b := p.servers[server]
	if b == nil {
		if len(p.servers) >= serversMost {
			clear(p.servers) // bounded; a moment's pace is forgotten
		}
		b = &bucket{}
		p.servers[server] = b
	}
	b.fill(now, serverPerS, serverBurst)
	p.all.fill(now, allPerS, allBurst)
	if !viewer && (now < p.after[server] || b.tokens < 1 || p.all.tokens < 1) {
		return false
	}
	b.tokens, p.all.tokens = max(b.tokens-1, -serverBurst), max(p.all.tokens-1, -allBurst)
	return true
}

package addresses

import "tealledge/policy"

// Pacer limits the rate of connects: to one server, which may have just restarted while hundreds of fronts reconnect
// to it, and in total, as each connect costs this front a handshake too. It consists of two token buckets and, for a
// server that restarted, a start time that each front draws at random.
//
// Without it the connection pools of all fronts together could overload a server that is still cold. The cost: a
// connection that is only kept warm waits. One that a viewer's set-up needs does not wait, but is counted.
type Pacer struct {
	global    tokenBucket
	servers   map[uint32]*tokenBucket
	notBefore map[uint32]Time // restarted servers: until then only viewers' connects are allowed
}

const (
	globalPerSecond, globalBurst = 200.0, 100.0 // handshakes a second of this front
	serverPerSecond, serverBurst = 2.0, 3.0     // connects a second to one server
	reconnectSpread              = 2 * policy.Second
	maxServers                   = 10_000
)

type tokenBucket struct {
	tokens    float64
	updatedAt Time
}

func (b *tokenBucket) refill(now Time, perSecond, burst float64) {
	if b.updatedAt == 0 {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+perSecond*float64(now-b.updatedAt)/float64(policy.Second))
	}
	b.updatedAt = now
}

// Restarted records that a server's process is new. Each front draws its own random value (0 to 1).
func (p *Pacer) Restarted(server uint32, now Time, random float64) {
	if p.notBefore == nil {
		p.notBefore = map[uint32]Time{}
	}
	if len(p.notBefore) < maxServers {
		p.notBefore[server] = now + Time(random*float64(reconnectSpread))
	}
}

// Allow decides on a connect. One that a viewer waits for is always allowed, but it is counted.
func (p *Pacer) Allow(server uint32, now Time, forViewer bool) bool {
	if p.servers == nil {
		p.servers = map[uint32]*tokenBucket{}
	}
	b := p.servers[server]
	if b == nil {
		if len(p.servers) >= maxServers {
			clear(p.servers) // bounds the memory; the buckets of the last moments are lost
		}
		b = &tokenBucket{}
		p.servers[server] = b
	}
	b.refill(now, serverPerSecond, serverBurst)
	p.global.refill(now, globalPerSecond, globalBurst)
	if !forViewer && (now < p.notBefore[server] || b.tokens < 1 || p.global.tokens < 1) {
		return false
	}
	b.tokens, p.global.tokens = max(b.tokens-1, -serverBurst), max(p.global.tokens-1, -globalBurst)
	return true
}

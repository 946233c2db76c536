package overload

import "tealledge/policy"

// Limits bound what may wait for an answer at one time. They are the last resort behind the gate, for what a delay
// can't show: requests that wait for stalled servers cost memory, not time.
type Limits struct {
	Front      int
	Connection int
	Tenant     int // of one tenant, where there are several
}

// Full tells what keeps a request out.
type Full string

// What may be full.
const (
	NotFull        Full = ""
	FrontFull      Full = "front"
	ConnectionFull Full = "connection"
	TenantFull     Full = "tenant"
)

// Room decides whether one more request may wait, given how many do: in all, of its connection, of its tenant.
func (l Limits) Room(front, connection, tenant int, tenants int) Full {
	switch {
	case connection >= l.Connection:
		return ConnectionFull // its own doing, and told so
	case front >= l.Front:
		return FrontFull
	case tenants > 1 && tenant >= l.Tenant:
		return TenantFull
	}
	return NotFull
}

// staleFrom is how long a request may have waited for the owner while the gate is limited: its player has waited for
// nothing, and one that came just now is served sooner.
const staleFrom = 150 * policy.Millisecond

// Stale decides whether a request that waited is turned away rather than begun: when requests are being turned away
// at the door, an old one goes first, for all behind it wait as long again.
func Stale(waited Time, limited bool) bool { return limited && waited > staleFrom }

// Verdict on a handshake.
type Verdict uint8

// What becomes of a handshake.
const (
	Now Verdict = iota
	Later
	Away
)

// Door paces handshakes: after a restart thousands come back at once, and each costs as much as a request. It is a
// token bucket with a bounded line behind it. Harm: the last of a class that connects at once waits a moment.
type Door struct {
	PerSecond float64
	Burst     float64
	Line      Time // longest wait; past it the connection is turned away
	tokens    float64
	at        Time
}

// Come decides on a handshake that is whole: at once, after a wait, or turned away with a time to come again.
func (d *Door) Come(now Time) (Verdict, Time) {
	if d.at == 0 {
		d.tokens = d.Burst
	} else {
		d.tokens = min(d.Burst, d.tokens+d.PerSecond*float64(now-d.at)/float64(policy.Second))
	}
	d.at = max(now, 1)
	wait := Time((1 - d.tokens) / d.PerSecond * float64(policy.Second))
	switch {
	case wait <= 0:
		d.tokens--
		return Now, 0
	case wait <= d.Line:
		d.tokens-- // below zero: its place in the line
		return Later, wait
	}
	return Away, wait
}

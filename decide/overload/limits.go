package overload

import "tealledge/policy"

// Limits are the maximum numbers of requests that may wait for a reply at one time. They are the last resort behind
// the rate limiter, for what queueing delay can't show: requests that wait for stalled servers cost memory, not time.
type Limits struct {
	Front      int
	Connection int
	Tenant     int // for each tenant, if there are several
}

// Full names the limit that excludes a request.
type Full string

// Values of Full.
const (
	NotFull        Full = ""
	FrontFull      Full = "front"
	ConnectionFull Full = "connection"
	TenantFull     Full = "tenant"
)

// Check decides whether one more request may wait, given the numbers already waiting: in all, of its connection and
// of its tenant.
func (l Limits) Check(front, connection, tenant int, tenants int) Full {
	switch {
	case connection >= l.Connection:
		return ConnectionFull // caused by this connection itself, so it is reported as such
	case front >= l.Front:
		return FrontFull
	case tenants > 1 && tenant >= l.Tenant:
		return TenantFull
	}
	return NotFull
}

// maxQueueWait is how long a request may have waited for the owner while the rate is limited. Beyond it the request
// is refused, as serving one that has just arrived gives a reply sooner.
const maxQueueWait = 150 * policy.Millisecond

// Stale decides whether a request that has waited is refused and not started. While new requests are being refused,
// the old ones are refused first, because all requests behind them would wait as long again.
func Stale(waited Time, limited bool) bool { return limited && waited > maxQueueWait }

// Verdict is the decision on a handshake.
type Verdict uint8

// Verdicts.
const (
	Accept Verdict = iota
	Delay
	Reject
)

// HandshakeLimiter paces handshakes: after a restart thousands of players reconnect at once, and each handshake costs
// as much as a request. It is a token bucket with a bounded queue behind it. The cost: the last players of a group
// that connects at once wait a moment.
type HandshakeLimiter struct {
	PerSecond float64
	Burst     float64
	MaxDelay  Time // longest wait in the queue; beyond it the connection is rejected
	tokens    float64
	updatedAt Time
}

// Admit decides on a complete handshake: accepted at once, accepted after a delay, or rejected with the time after
// which to retry.
func (l *HandshakeLimiter) Admit(now Time) (Verdict, Time) {
	if l.updatedAt == 0 {
		l.tokens = l.Burst
	} else {
		l.tokens = min(l.Burst, l.tokens+l.PerSecond*float64(now-l.updatedAt)/float64(policy.Second))
	}
	l.updatedAt = max(now, 1)
	wait := Time((1 - l.tokens) / l.PerSecond * float64(policy.Second))
	switch {
	case wait <= 0:
		l.tokens--
		return Accept, 0
	case wait <= l.MaxDelay:
		l.tokens-- // below zero: it takes its place in the queue
		return Delay, wait
	}
	return Reject, wait
}

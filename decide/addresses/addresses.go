// Package addresses decides how a media server with several addresses is reached: which address is tried first, when
// the next one is tried in parallel, when one is in backoff and tried again, and when the server itself counts as
// unreachable. It is pure.
//
// It follows RFC 8305 for connections: they may race. Set-ups may not: one connection a server carries them, the
// first that is established, and a set-up once written is never written on another. The order follows the principle
// of RFC 6724: what needs no network first, then IPv6, then IPv4, unless this front's own record says otherwise.
package addresses

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

const (
	minDelay            = 20 * policy.Millisecond // before the next address is tried (RFC 8305: at least 10 ms)
	maxDelay            = 80 * policy.Millisecond // within one data centre; RFC 8305's 250 ms is for the Internet
	delayFactor         = 4.0                     // times the usual connect time of the address
	minBackoff          = 1 * policy.Second       // of an address that failed; doubles with each failure
	maxBackoff          = 30 * policy.Second
	failureHalfLife     = 20 * policy.Second // after which a failure counts half
	failurePenaltyNanos = 50e6               // connect time that one failure adds in the order
	smoothing           = 0.3                // weight of the newest connect time in the average
	minUsefulLifetime   = 500 * policy.Millisecond
)

// Family is the kind of an address.
type Family uint8

// Families in the order of preference (RFC 6724 rules 5 and 6: the nearer scope first, then IPv6 before IPv4).
const (
	Unix Family = iota
	IPv6
	IPv4
)

// familyPenaltyNanos is the connect time that a family adds in the order: small against any real difference.
var familyPenaltyNanos = [...]float64{Unix: 0, IPv6: 1e6, IPv4: 2e6}

// Address is one address of a server with this front's record of it. The zero value has no record.
type Address struct {
	Addr   string
	Family Family

	connectTime  float64 // smoothed connect time, nanoseconds; 0: never connected
	failures     float64 // decaying
	failedAt     Time
	backoff      Time // length of the last backoff; 0: none since the last response
	backoffUntil Time
	workedAt     Time // when it last connected or responded
}

// Parse reads an address: HOST:PORT, [IPV6]:PORT, or the path of a Unix socket. An IPv4 address written as an IPv6
// one (RFC 4291 section 2.5.5.2) becomes the IPv4 address: two notations of one address must not count as two
// addresses.
func Parse(addr string) (Address, error) {
	if strings.HasPrefix(addr, "/") {
		if len(addr) > 107 { // sockaddr_un
			return Address{}, fmt.Errorf("%.40q...: the path of a Unix socket is limited to 107 bytes", addr)
		}
		return Address{Addr: addr, Family: Unix}, nil
	}
	if ap, err := netip.ParseAddrPort(addr); err == nil {
		ap = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
		if ap.Port() == 0 {
			return Address{}, fmt.Errorf("%q: no port", addr)
		}
		if ap.Addr().Is4() {
			return Address{Addr: ap.String(), Family: IPv4}, nil
		}
		return Address{Addr: ap.String(), Family: IPv6}, nil
	}
	host, port, ok := strings.Cut(addr, ":")
	if !ok || host == "" || port == "" || strings.ContainsAny(addr, " /[]") || strings.Contains(port, ":") {
		return Address{}, fmt.Errorf("%q is neither HOST:PORT nor the path of a Unix socket", addr)
	}
	return Address{Addr: addr, Family: IPv4}, nil
}

// Set holds the addresses of one server.
type Set struct{ Addresses []Address }

// Update replaces the list of addresses. Addresses that stay keep their record; duplicates are dropped.
func (s *Set) Update(list []Address) (changed bool) {
	var out []Address
	for _, p := range list {
		if slices.ContainsFunc(out, func(o Address) bool { return o.Addr == p.Addr }) {
			continue
		}
		if i := s.index(p.Addr); i >= 0 {
			p = s.Addresses[i]
		}
		out = append(out, p)
	}
	changed = len(out) != len(s.Addresses)
	for i := range out {
		changed = changed || out[i].Addr != s.Addresses[i].Addr
	}
	s.Addresses = out
	return changed
}

func (s *Set) index(addr string) int {
	return slices.IndexFunc(s.Addresses, func(p Address) bool { return p.Addr == addr })
}

// score is the sort key of addresses; lower is better.
func (p *Address) score(now Time) float64 {
	return familyPenaltyNanos[p.Family] + p.connectTime + failurePenaltyNanos*p.decayedFailures(now)
}

func (p *Address) decayedFailures(now Time) float64 {
	return p.failures * math.Exp2(-float64(now-p.failedAt)/float64(failureHalfLife))
}

// InBackoff reports whether an address is not to be tried for now.
func (p *Address) InBackoff(now Time) bool { return now < p.backoffUntil }

// halfOpen reports whether the backoff of an address has ended without a response since: it is tried again by a connect
// alone.
func (p *Address) halfOpen(now Time) bool { return p.backoff > 0 && !p.InBackoff(now) }

// Order returns the addresses to connect to for a viewer's set-up, best first. Half-open addresses come after working
// ones. Those in backoff are only returned if there are no others: a server all of whose addresses failed must be
// found again.
func (s *Set) Order(now Time) (list []int) {
	rank := func(p *Address) int {
		switch {
		case p.InBackoff(now):
			return 2
		case p.halfOpen(now):
			return 1
		}
		return 0
	}
	for i := range s.Addresses {
		list = append(list, i)
	}
	slices.SortStableFunc(list, func(a, b int) int {
		x, y := &s.Addresses[a], &s.Addresses[b]
		if c := rank(x) - rank(y); c != 0 {
			return c
		}
		switch d := x.score(now) - y.score(now); {
		case d < 0:
			return -1
		case d > 0:
			return 1
		}
		return 0
	})
	// While one address is usable, those in backoff are not tried for a viewer at all.
	if len(list) > 0 && rank(&s.Addresses[list[0]]) < 2 {
		list = slices.DeleteFunc(list, func(i int) bool { return rank(&s.Addresses[i]) == 2 })
	}
	return list
}

// Delay returns how long after address i the next one is tried in parallel. timeLeft is the remaining time for
// connecting; it is shared among the remaining addresses, so that the last one has a chance too.
func (s *Set) Delay(i int, timeLeft Time, remaining int) Time {
	d := Time(delayFactor * s.Addresses[i].connectTime)
	return min(max(d, minDelay), maxDelay, timeLeft/Time(remaining+1))
}

// FallbackFits decides whether there is still time to fall back to another address: the next holder of the title
// needs its time too. spent is the time since the set-up was requested, aim the latency target of the class.
func FallbackFits(spent, aim Time) bool { return aim <= 0 || spent < aim/3 }

// Connected records a successful connect.
func (s *Set) Connected(i int, now, took Time) {
	p := &s.Addresses[i]
	if p.connectTime == 0 {
		p.connectTime = float64(took)
	}
	p.connectTime += (float64(took) - p.connectTime) * smoothing
	if p.backoff == 0 {
		p.workedAt = now
	}
}

// Responded records a response on an address: it not only accepts connections but works.
func (s *Set) Responded(i int, now Time) {
	p := &s.Addresses[i]
	p.backoff, p.backoffUntil, p.workedAt = 0, 0, now
}

// Failed records that an address refused, timed out, was reset or stopped responding. It starts a backoff that grows
// with each failure.
//
// Without it one unreachable address family would delay every set-up. This also covers an address that accepts and
// then resets or never responds. The cost: an address that failed once by chance is not used for a second; the others
// carry its load.
func (s *Set) Failed(i int, now Time) {
	p := &s.Addresses[i]
	p.failures, p.failedAt = p.decayedFailures(now)+1, now
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.backoffUntil = now + p.backoff
}

// ResetFailures clears all failures: the server's process is a new one, and they say nothing about it.
func (s *Set) ResetFailures() {
	for i := range s.Addresses {
		p := &s.Addresses[i]
		p.failures, p.backoff, p.backoffUntil = 0, 0, 0
	}
}

// ConnectionClosed records the end of a connection. If it closes soon after it was established, or without any
// response, the address has failed; the end of a long and useful connection says nothing about the address.
func (s *Set) ConnectionClosed(i int, now, openedAt Time, responded bool) {
	if !responded || now-openedAt < minUsefulLifetime {
		s.Failed(i, now)
	}
}

// Unreachable reports whether every address is in backoff: only then does the server itself count as unreachable.
func (s *Set) Unreachable(now Time) bool {
	for i := range s.Addresses {
		if !s.Addresses[i].InBackoff(now) {
			return false
		}
	}
	return true
}

// RecheckDue returns an address whose backoff has ended and that should be tried again by a connect and an OPTIONS,
// without a viewer's set-up on it; ok is false if there is none. It is for servers whose other addresses work:
// otherwise viewers' set-ups try it soon enough.
func (s *Set) RecheckDue(now Time) (i int, ok bool) {
	for i := range s.Addresses {
		if s.Addresses[i].halfOpen(now) {
			return i, true
		}
	}
	return 0, false
}

// Package paths decides how a media server with several addresses is reached: which address first, when the next one
// is started beside it, when one is rested and tried again, and when the server itself counts as gone. It is pure.
//
// It follows RFC 8305 as far as connections go: they may race. Set-ups may not: one connection a server carries them,
// the first that stands, and a set-up once written is never written on another. Order follows RFC 6724 in spirit:
// what needs no network first, then IPv6, then IPv4, unless this front's own record says otherwise.
package paths

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

const (
	delayLeast = 20 * policy.Millisecond // before the next address is started (RFC 8305: 10 ms at the least)
	delayMost  = 80 * policy.Millisecond // within one data centre; RFC 8305's 250 ms is for the open network
	delayTimes = 4.0                     // times the connect time this path usually takes
	restLeast  = 1 * policy.Second       // an address that failed rests so long, doubling
	restMost   = 30 * policy.Second
	failHalf   = 20 * policy.Second // a failure counts half after so long
	failCosts  = 50e6               // nanoseconds of connect time that one failure weighs in the order
	blend      = 0.3                // weight of the newest connect time
	quickEnd   = 500 * policy.Millisecond
)

// Family is the kind of an address.
type Family uint8

// Families, in the order of preference (RFC 6724 rule 5 and 6: the nearer scope first; then IPv6 before IPv4).
const (
	Unix Family = iota
	IPv6
	IPv4
)

// Preference in nanoseconds of connect time: small against any real difference.
var preference = [...]float64{Unix: 0, IPv6: 1e6, IPv4: 2e6}

// Path is one address of a server and this front's record of it. Its zero value knows nothing.
type Path struct {
	Addr   string
	Family Family

	connect   float64 // smoothed connect time, nanoseconds; 0: never connected
	failures  float64 // decaying
	failedAt  Time
	rest      Time // length of the last rest
	restUntil Time
	worked    Time // when it last connected and answered
}

// Parse reads an address: HOST:PORT, [IPV6]:PORT, or the path of a Unix socket. An IPv4 address written as an IPv6 one
// (RFC 4291 section 2.5.5.2) is the IPv4 address: two ways to write one address must not pass for two.
func Parse(addr string) (Path, error) {
	if strings.HasPrefix(addr, "/") {
		if len(addr) > 107 { // sockaddr_un
			return Path{}, fmt.Errorf("%.40q...: the path of a Unix socket holds 107 bytes at most", addr)
		}
		return Path{Addr: addr, Family: Unix}, nil
	}
	if ap, err := netip.ParseAddrPort(addr); err == nil {
		ap = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
		if ap.Port() == 0 {
			return Path{}, fmt.Errorf("%q: no port", addr)
		}
		if ap.Addr().Is4() {
			return Path{Addr: ap.String(), Family: IPv4}, nil
		}
		return Path{Addr: ap.String(), Family: IPv6}, nil
	}
	host, port, ok := strings.Cut(addr, ":")
	if !ok || host == "" || port == "" || strings.ContainsAny(addr, " /[]") || strings.Contains(port, ":") {
		return Path{}, fmt.Errorf("%q is no HOST:PORT and no path of a Unix socket", addr)
	}
	return Path{Addr: addr, Family: IPv4}, nil
}

// Set is the addresses of one server.
type Set struct{ Paths []Path }

// Update takes over a new list of addresses. The record of those that stay is kept; doubles are dropped.
func (s *Set) Update(list []Path) (changed bool) {
	var out []Path
	for _, p := range list {
		if slices.ContainsFunc(out, func(o Path) bool { return o.Addr == p.Addr }) {
			continue
		}
		if i := s.index(p.Addr); i >= 0 {
			p = s.Paths[i]
		}
		out = append(out, p)
	}
	changed = len(out) != len(s.Paths)
	for i := range out {
		changed = changed || out[i].Addr != s.Paths[i].Addr
	}
	s.Paths = out
	return changed
}

func (s *Set) index(addr string) int {
	return slices.IndexFunc(s.Paths, func(p Path) bool { return p.Addr == addr })
}

// score orders paths: lower is better.
func (p *Path) score(now Time) float64 {
	return preference[p.Family] + p.connect + failCosts*p.fails(now)
}

func (p *Path) fails(now Time) float64 {
	return p.failures * math.Exp2(-float64(now-p.failedAt)/float64(failHalf))
}

// Resting tells whether a path is left alone for now.
func (p *Path) Resting(now Time) bool { return now < p.restUntil }

// halfOpen tells whether a path rested and was not proved since: it is tried again by a connect alone.
func (p *Path) halfOpen(now Time) bool { return p.rest > 0 && !p.Resting(now) }

// Order gives the paths to connect to for a viewer's set-up, best first. Those that rest come last, and only if
// nothing else is left: a server all of whose addresses are dark must be found again. Half-open ones come before them.
func (s *Set) Order(now Time) (list []int) {
	class := func(p *Path) int {
		switch {
		case p.Resting(now):
			return 2
		case p.halfOpen(now):
			return 1
		}
		return 0
	}
	for i := range s.Paths {
		list = append(list, i)
	}
	slices.SortStableFunc(list, func(a, b int) int {
		x, y := &s.Paths[a], &s.Paths[b]
		if c := class(x) - class(y); c != 0 {
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
	// While one path is open, resting ones are not tried for a viewer at all.
	if len(list) > 0 && class(&s.Paths[list[0]]) < 2 {
		list = slices.DeleteFunc(list, func(i int) bool { return class(&s.Paths[i]) == 2 })
	}
	return list
}

// Delay is how long after a path was started the next one is started beside it. left is what remains of the time for
// connecting: it is shared among the paths still to come, so that the last one has a chance too.
func (s *Set) Delay(i int, left Time, toCome int) Time {
	d := Time(delayTimes * s.Paths[i].connect)
	return min(max(d, delayLeast), delayMost, left/Time(toCome+1))
}

// Worth decides whether falling back to a further address still fits: the next holder of the title needs its time too.
// spent is since the set-up was asked for, aim the class's.
func Worth(spent, aim Time) bool { return aim <= 0 || spent < aim/3 }

// Connected books a connect that came through.
func (s *Set) Connected(i int, now, took Time) {
	p := &s.Paths[i]
	if p.connect == 0 {
		p.connect = float64(took)
	}
	p.connect += (float64(took) - p.connect) * blend
	if p.rest == 0 {
		p.worked = now
	}
}

// Proved books an answer on a path: it works, not only accepts.
func (s *Set) Proved(i int, now Time) {
	p := &s.Paths[i]
	p.rest, p.restUntil, p.worked = 0, 0, now
}

// Failed books a path that refused, timed out, reset or fell silent: it rests, longer each time.
//
// Danger: one dark family would cost every set-up its delay. Also covers an address that accepts and then resets or
// never answers. Harm: an address that failed once by chance rests a second; the others carry its load.
func (s *Set) Failed(i int, now Time) {
	p := &s.Paths[i]
	p.failures, p.failedAt = p.fails(now)+1, now
	p.rest = min(max(2*p.rest, restLeast), restMost)
	p.restUntil = now + p.rest
}

// Forgive forgets all failures: the server's process is a new one, and they say nothing of it.
func (s *Set) Forgive() {
	for i := range s.Paths {
		p := &s.Paths[i]
		p.failures, p.rest, p.restUntil = 0, 0, 0
	}
}

// Broke books a connection's end. One that ends soon after it stood, or without ever answering, says that the path
// is bad; after a long and useful life it says nothing.
func (s *Set) Broke(i int, now, stood Time, answered bool) {
	if !answered || now-stood < quickEnd {
		s.Failed(i, now)
	}
}

// Dark tells whether every path failed and rests: only then is the server itself taken for gone.
func (s *Set) Dark(now Time) bool {
	for i := range s.Paths {
		if !s.Paths[i].Resting(now) {
			return false
		}
	}
	return true
}

// Recheck gives a path that has rested and should be tried again by a connect and an OPTIONS, with no viewer's set-up
// on it; ok is false if there is none. Other paths must work: else viewers' set-ups find out soon enough.
func (s *Set) Recheck(now Time) (i int, ok bool) {
	for i := range s.Paths {
		if s.Paths[i].halfOpen(now) {
			return i, true
		}
	}
	return 0, false
}

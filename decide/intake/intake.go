// Package intake decides whose input a front reads next, while clients send more than it can process. It is pure: the
// shell asks before each read, carries the read out once it is granted, and reports when its bytes are processed.
//
// It guards against clients that send little or seldom, but wait behind hundreds that send without a pause. Bytes are
// granted before they are read, so what waits to be processed is bounded whatever the number of connections, and a read
// that is granted next waits for no more than that. Connections that were served before go first, and among equals the
// one of which least has arrived: a flood fills its socket, whatever the front does.
package intake

import (
	"container/heap"
	"math"

	"tealledge/policy"
)

// Limits are the bounds of a Scheduler, in bytes.
type Limits struct {
	Total int // granted and not processed yet, of all connections
	Read  int // granted at once
	Bulk  int // granted to one connection in addition to a read, for input that is handled together with it
	Burst int // used by a connection recently, past which it counts as a flood while nothing else waits
}

// halfLife is the time in which the recent use of a connection halves.
const halfLife = 5 * policy.Second

// maxFloodPause bounds the pause after a turn: one that took longer waited for a core, and not for its own work.
const maxFloodPause = 20 * policy.Millisecond

const (
	servedBurstReads = 8  // full reads that a connection may use before it counts as a flood, whatever waits
	otherBurstReads  = 2  // the same of a connection that was not served yet
	usageDivisor     = 8  // weight of a byte that was used recently against one that has arrived
	shortReadParts   = 8  // part of a read that a connection gets that was not served yet, while others wait
	otherTotalParts  = 4  // part of the total for connections that were not served yet
	crowdReads       = 16 // reads that wait from which on new connections count as floods by what has arrived
	crowdReadParts   = 4  // part of a read that may have arrived of a new connection in a crowd before it counts as a flood
)

// Standing is what is known of a connection from its history.
type Standing uint8

// Standings. Connections of a lower one go first.
const (
	Served  Standing = iota // a session was established on it
	Unknown                 // none was
	Invalid                 // it sent more invalid lines than valid ones
)

// Usage is the recent use of one connection.
type Usage struct {
	bytes float64
	at    policy.Time
}

// decayed returns the recent use at a time, in bytes.
func (u *Usage) decayed(now policy.Time) float64 {
	if u.bytes == 0 || now <= u.at {
		return u.bytes
	}
	return u.bytes * math.Exp2(-float64(now-u.at)/float64(halfLife))
}

// add counts bytes as used.
func (u *Usage) add(now policy.Time, bytes int) {
	u.bytes, u.at = u.decayed(now)+float64(bytes), now
}

// Request is a read that waits to be granted.
type Request struct {
	usage     *Usage
	standing  Standing
	flood     bool
	load      float64 // bytes that have arrived, and those used recently by their weight
	number    uint64
	wanted    int
	granted   int // bytes that may be read; 0: not granted
	grantedAt policy.Time
	cancelled bool
}

// Granted returns the number of bytes that may be read; 0 if the request is not granted yet.
func (r *Request) Granted() int { return r.granted }

// Flood reports whether the read is one of a flood: the shell calls FloodDone once its bytes are processed.
func (r *Request) Flood() bool { return r.flood }

// Scheduler grants reads.
type Scheduler struct {
	limits        Limits
	used          int // bytes granted and not processed
	waiting       queue
	lastNumber    uint64
	floodActive   bool
	floodResumeAt policy.Time
}

// New returns a Scheduler that has granted nothing.
func New(limits Limits) *Scheduler { return &Scheduler{limits: limits} }

// Ask queues a read on a connection, given the number of bytes that have arrived there.
func (s *Scheduler) Ask(now policy.Time, usage *Usage, standing Standing, arrived int) *Request {
	s.lastNumber++
	used := usage.decayed(now)
	r := &Request{usage: usage, standing: standing, load: float64(arrived) + used/usageDivisor, number: s.lastNumber,
		wanted: min(max(arrived, 1), s.limits.Read)}
	// The more connections wait, the less each may use before it takes turns with the floods.
	minReads := otherBurstReads
	if standing == Served {
		minReads = servedBurstReads
	}
	burst := max(s.limits.Burst/(1+len(s.waiting)), minReads*s.limits.Read)
	crowded := len(s.waiting) >= crowdReads
	r.flood = standing == Invalid || used+float64(r.wanted) > float64(burst) ||
		standing == Unknown && crowded && arrived > s.limits.Read/crowdReadParts
	heap.Push(&s.waiting, r)
	return r
}

// Cancel withdraws a read that is not granted yet.
func (s *Scheduler) Cancel(r *Request) { r.cancelled = true }

// Next grants the next read and returns it, or nil if none can be granted now. retryAt is when a flood that waits may be
// granted its turn; 0 if only Done or FloodDone can change anything.
//
// Connections that were not served yet use a part of the total only, so that the others need not wait for them. Floods have
// one read at a time, each followed by a pause as long as it took, maxFloodPause at most, so that they use about half of a
// core.
func (s *Scheduler) Next(now policy.Time) (r *Request, retryAt policy.Time) {
	for len(s.waiting) > 0 {
		r = s.waiting[0]
		if r.cancelled {
			heap.Pop(&s.waiting)
			continue
		}
		free := s.limits.Total - s.used
		if r.standing != Served {
			free = s.limits.Total/otherTotalParts - s.used
		}
		if r.flood {
			if s.floodActive {
				return nil, 0
			}
			if now < s.floodResumeAt {
				return nil, s.floodResumeAt
			}
		}
		if r.standing != Served && len(s.waiting) > 1 {
			r.wanted = min(r.wanted, s.limits.Read/shortReadParts)
		}
		if free < min(r.wanted, s.limits.Read/shortReadParts) {
			return nil, 0
		}
		heap.Pop(&s.waiting)
		r.granted, r.grantedAt = min(r.wanted, free), now
		s.floodActive = s.floodActive || r.flood
		s.used += r.granted
		r.usage.add(now, r.granted)
		return r, 0
	}
	return nil, 0
}

// More grants further bytes to a read that was granted, for input behind it that is to be handled together with it. It
// returns false if they would leave less than half of the total to the others, if others wait, or to a flood: new
// connections would wait until all of it is processed.
func (s *Scheduler) More(now policy.Time, r *Request, bytes int) bool {
	if r.flood || len(s.waiting) > 0 {
		return false
	}
	if s.used+bytes > s.limits.Total/2+r.granted || r.granted+bytes > s.limits.Read+s.limits.Bulk {
		return false
	}
	r.granted += bytes
	s.used += bytes
	r.usage.add(now, bytes)
	return true
}

// Unused gives back bytes of a read that were granted and not read.
func (s *Scheduler) Unused(now policy.Time, r *Request, bytes int) {
	s.used -= bytes
	r.usage.add(now, -bytes)
}

// Done counts bytes as processed.
func (s *Scheduler) Done(bytes int) { s.used -= bytes }

// FloodDone records that the read of a flood is processed.
func (s *Scheduler) FloodDone(now policy.Time, r *Request) {
	s.floodActive = false
	s.floodResumeAt = now + min(now-r.grantedAt, maxFloodPause)
}

// queue orders waiting reads: floods last, then by standing, by load and by age.
type queue []*Request

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(r any)   { *q = append(*q, r.(*Request)) }

func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	switch {
	case a.flood != b.flood:
		return b.flood
	case a.standing != b.standing:
		return a.standing < b.standing
	case a.load != b.load:
		return a.load < b.load
	}
	return a.number < b.number
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}

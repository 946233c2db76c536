package policy

import (
	"cmp"
	"slices"
)

// Records and counters of servers, racks and sessions, without decisions.

// meter tracks the use of a server's link or of a rack's uplink.
type meter struct {
	capacity    float64 // approximate, in kB a second
	own         float64 // rate of this front's sessions, set-ups under way included
	changes     []sample
	use         float64 // last reported use, as a part of the capacity
	ownAtReport float64 // own rate at measuredAt
	measuredAt  Time    // time of the last reported use
	reported    bool
	servers     []*server // servers behind an uplink; nil for a link
}

// sample is a value at a time: a change of a rate, or the weight of an event.
type sample struct {
	at    Time
	value float64
}

// windowSlots bounds the samples of a window, whatever the rate of events: events within one slot share one.
const windowSlots = 1000

// slotOf gives the length of a slot of a window.
func slotOf(window Time) Time { return max(window/windowSlots, 0) }

// addSample adds a sample, or its value to the last one if that is less than a slot older.
func addSample(samples []sample, at, slot Time, value float64) []sample {
	if n := len(samples); n > 0 && at-samples[n-1].at < slot {
		samples[n-1].value += value
		return samples
	}
	return append(samples, sample{at, value})
}

// samplesSince gives the samples that are not older than a time.
func samplesSince(samples []sample, from Time) []sample {
	n := 0
	for n < len(samples) && samples[n].at < from {
		n++
	}
	return samples[n:]
}

// addOwn changes the own rate by kb; changes older than ttl are deleted.
func (m *meter) addOwn(now Time, kb float64, ttl Time) {
	m.own += kb
	if m.own < 1e-6 {
		m.own = 0
	}
	m.changes = addSample(samplesSince(m.changes, now-ttl), now, slotOf(ttl), kb)
}

// ownAt gives the own rate at an earlier time, as far back as changes are kept.
func (m *meter) ownAt(at Time) float64 {
	own := m.own
	for i := len(m.changes) - 1; i >= 0 && m.changes[i].at > at; i-- {
		own -= m.changes[i].value
	}
	return max(own, 0)
}

// setUse records a use measured at a time.
func (m *meter) setUse(use float64, at Time) {
	m.use, m.ownAtReport, m.measuredAt, m.reported = use, m.ownAt(at), max(at, m.measuredAt), true
}

// windowSum sums the weights of events in a sliding window.
type windowSum struct{ samples []sample }

// add records an event; those older than the window are deleted. The event counts until then, or for up to a
// slot less.
func (t *windowSum) add(now, window Time, weight float64) {
	t.samples = addSample(samplesSince(t.samples, now-window), now, slotOf(window), weight)
}

// total gives the sum of the weights in the window; older events are deleted.
func (t *windowSum) total(now, window Time) float64 {
	t.samples = samplesSince(t.samples, now-window)
	total := 0.0
	for _, s := range t.samples {
		total += s.value
	}
	return total
}

// tokenBucket limits a rate.
type tokenBucket struct {
	tokens   float64
	filledAt Time
}

// refill adds the tokens since the last refill and gives the number in the bucket. A new bucket is full.
func (b *tokenBucket) refill(now Time, perSecond, limit float64) float64 {
	if b.filledAt == 0 {
		b.tokens, b.filledAt = limit, now
	}
	b.tokens = min(limit, b.tokens+perSecond*float64(now-b.filledAt)/float64(Second))
	b.filledAt = now
	return b.tokens
}

// server is the state of a media server as known to this front.
type server struct {
	Entry
	listed   bool
	link     meter
	rack     *rack
	sessions []*session // sessions in set-up or playing here, oldest first
	rungSum  int        // sum of their rungs

	failures windowSum // refusals, failures and undelivered parts of rates

	openUntil Time // circuit breaker: no set-ups before this time
	backoff   Time
	trial     *session // the one session admitted by a half-open breaker
	failed    bool     // failed, with no success since
	coldUntil Time     // in slow start until this time
	slowStart tokenBucket
	vacateBy  Time // deadline for the server to be empty; 0: none

	raisedReportAt Time // time of the report used by the last raise
	shortAt        Time // time of the last short note
	lastShare      float64
	loweredAt      Time // time when rungs here were last lowered
	shortNotes     int  // consecutive notes below moveBelowShare
	probing        bool
	score          float64 // score in the most recent ranking; lower is better
	probedAt       Time
}

// rack is the state of a rack: its uplink and servers.
type rack struct {
	meter
}

// session is a request from its arrival to its end.
type session struct {
	SessionSpec
	weight          float64 // worth of a second at a rung of worth 1
	rung            int
	server          *server // nil unless an attempt is in flight or the session plays
	attempts        int
	mayHaveRun      bool // an attempt may have run
	playing         bool
	viewerLeft      bool // the viewer left while an attempt is in flight
	startedAt       Time
	rungChangedAt   Time // last change of rung while playing
	heldUntil       Time // end of the hold for spare capacity; 0: not held
	fallbacks       []*server
	breakersIgnored bool // fallbacks have open breakers, as no other holder was left
	tried           []*server
	errored         []*server // of these, those whose error is not yet counted
	moved           bool
	movedFrom       *server // server that a move took the session off
}

// hasTried tells whether an attempt was sent to a server.
func (s *session) hasTried(v *server) bool {
	for _, t := range s.tried {
		if t == v {
			return true
		}
	}
	return false
}

// removeSession deletes a session from a list.
func removeSession(list []*session, s *session) []*session {
	for i, x := range list {
		if x == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// fleet indexes the servers.
type fleet struct {
	byID         map[uint32]*server
	servers      []*server         // in order of their IDs
	byCell       map[int][]*server // in order of their IDs
	withSessions []*server         // those with own sessions, in order of their IDs
}

// insertServer inserts a server into a list ordered by ID, unless it is there already.
func insertServer(list []*server, v *server) []*server {
	i, found := slices.BinarySearchFunc(list, v.Server,
		func(o *server, id uint32) int { return cmp.Compare(o.Server, id) })
	if found {
		return list
	}
	return slices.Insert(list, i, v)
}

// removeServer deletes a server from a list.
func removeServer(list []*server, v *server) []*server {
	return slices.DeleteFunc(list, func(o *server) bool { return o == v })
}

// get gives the server with an ID, nil if there is none.
func (f *fleet) get(id uint32) *server { return f.byID[id] }

// add adds a server.
func (f *fleet) add(v *server) {
	f.byID[v.Server] = v
	f.servers = insertServer(f.servers, v)
}

// movedViewers remembers the servers that the most recently moved viewers were moved off.
type movedViewers struct {
	servers map[uint64]*server
	order   []uint64
}

// add records a moved viewer; over the limit the oldest are deleted.
func (p *movedViewers) add(viewer uint64, v *server, limit int) {
	p.servers[viewer] = v
	p.order = append(p.order, viewer)
	for len(p.order) > limit {
		delete(p.servers, p.order[0])
		p.order = p.order[1:]
	}
}

package policy

import (
	"cmp"
	"slices"
)

// Records and counters of servers, racks and sessions, without judgement.

// meter follows the rate asked of a link or of a rack's uplink.
type meter struct {
	cap     float64 // rough size, kB a second
	own     float64 // rate of this front's sessions, set-ups under way included
	changes []change
	use     float64 // last use told, as a part of the size
	useOwn  float64 // own rate when that was measured
	useAt   Time    // when it was measured
	told    bool
	parts   []*server // for an uplink: the servers behind it
}

type change struct {
	at Time
	kb float64
}

// add books a change of the own rate; changes older than keep are forgotten.
func (m *meter) add(now Time, kb float64, keep Time) {
	m.own += kb
	if m.own < 1e-6 {
		m.own = 0
	}
	n := 0
	for n < len(m.changes) && m.changes[n].at < now-keep {
		n++
	}
	m.changes = append(m.changes[n:], change{now, kb})
}

// ownAt gives the own rate as it was at an earlier time, as far back as changes are kept.
func (m *meter) ownAt(at Time) float64 {
	own := m.own
	for i := len(m.changes) - 1; i >= 0 && m.changes[i].at > at; i-- {
		own -= m.changes[i].kb
	}
	return max(own, 0)
}

// set books a use as measured at a time.
func (m *meter) set(use float64, at Time) {
	m.use, m.useOwn, m.useAt, m.told = use, m.ownAt(at), max(at, m.useAt), true
}

// tally counts weighted events over a sliding window.
type tally struct{ marks []change }

func (t *tally) add(now Time, weight float64) { t.marks = append(t.marks, change{now, weight}) }

func (t *tally) sum(now, window Time) float64 {
	n := 0
	for n < len(t.marks) && t.marks[n].at < now-window {
		n++
	}
	t.marks = t.marks[n:]
	total := 0.0
	for _, m := range t.marks {
		total += m.kb
	}
	return total
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     Time
}

// fill brings the bucket up to date and gives what it holds. A new one is full.
func (b *bucket) fill(now Time, perSecond, most float64) float64 {
	if b.at == 0 {
		b.tokens, b.at = most, now
	}
	b.tokens = min(most, b.tokens+perSecond*float64(now-b.at)/float64(Second))
	b.at = now
	return b.tokens
}

// server is what a front knows of a media server.
type server struct {
	Entry
	listed bool
	link   meter
	rack   *rack
	held   []*session // set up or playing here, oldest first
	rungs  int        // sum of their rungs

	bad tally // refusals, failures and missing parts of rates

	openUntil Time // circuit breaker: no set-ups before this
	backoff   Time
	trial     *session // the half-open breaker's one session
	failed    bool     // seen failing, and no success since
	coldUntil Time     // in slow start until then
	slowStart bucket
	vacate    Time // it is to be empty by then; 0: it is not

	raisedOn Time // report that the last look for lasting spare rested on
	shortAt  Time // last short note
	share    float64
	shedAt   Time // when sessions here were last lowered for being short
	shorts   int  // short notes in a row under the moving limit
	probing  bool
	score    float64 // its place in the ranking last made
	probedAt Time
}

type rack struct {
	meter
}

// session is a request from its arrival to its end.
type session struct {
	Ask
	weight   float64 // worth of a second at a rung of worth 1
	rung     int
	at       *server // nil while no attempt is out and it does not play
	attempts int
	unsure   bool // an attempt may have run
	playing  bool
	left     bool // the viewer is gone; an attempt is still out
	started  Time
	changed  Time // last change of rung while playing
	holding  Time // held for room since; 0: not
	list     []*server
	despite  bool // the list is of servers whose breaker is open, as no other holder was left
	tried    []*server
	erred    []*server // of these, those whose error is not held against them yet
	moved    bool
	from     *server // the server that a move took it off
}

func (s *session) hasTried(v *server) bool {
	for _, t := range s.tried {
		if t == v {
			return true
		}
	}
	return false
}

func drop(list []*session, s *session) []*session {
	for i, x := range list {
		if x == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// fleet keeps servers by id, and in the order of their ids.
type fleet struct {
	byID   map[uint32]*server
	order  []*server
	byCell map[int][]*server // in the order of their ids
	hosts  []*server         // those with own sessions, in the order of their ids
}

// insert puts a server into a list in the order of ids, once.
func insert(list []*server, v *server) []*server {
	i, found := slices.BinarySearchFunc(list, v.Server, func(o *server, id uint32) int { return cmp.Compare(o.Server, id) })
	if found {
		return list
	}
	return slices.Insert(list, i, v)
}

func remove(list []*server, v *server) []*server {
	return slices.DeleteFunc(list, func(o *server) bool { return o == v })
}

func (f *fleet) get(id uint32) *server { return f.byID[id] }

func (f *fleet) add(v *server) {
	f.byID[v.Server] = v
	f.order = insert(f.order, v)
}

// past remembers where moves took the newest few viewers off.
type past struct {
	from  map[uint64]*server
	order []uint64
}

func (p *past) put(viewer uint64, v *server, most int) {
	p.from[viewer] = v
	p.order = append(p.order, viewer)
	for len(p.order) > most {
		delete(p.from, p.order[0])
		p.order = p.order[1:]
	}
}

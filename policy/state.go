package policy

import (
	"cmp"
	"math/rand"
	"slices"
)

// This file holds records and counters only. Every length, limit and judgement is policy.go's.

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
	coldUntil Time     // paced until then
	pace      bucket

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

// Front decides for one front. It does no I/O and reads no clock.
type Front struct {
	set     Settings
	rng     *rand.Rand
	now     Time
	born    Time
	out     []Action
	fleet   fleet
	racks   []*rack
	byID    map[uint64]*session
	waiting []*session
	past    past
	moves   bucket
	probes  float64
	taken   tally
	extra   tally
	ticks   int

	mean, meanUp      float64 // average use by other fronts' sessions, from reports: of links, of uplinks
	typical, typicalN float64 // mean worth of a session, and over how many
}

func (f *Front) do(a Action) { f.out = append(f.out, a) }

func (f *Front) kb(s *session, rung int) float64 { return f.set.RungKB[rung] * f.class(s).Scale }

func (f *Front) class(s *session) *Class { return &f.set.Classes[s.Class] }

func (f *Front) top(s *session) int {
	return max(min(s.Top, f.class(s).Top, len(f.set.RungKB)-1), f.class(s).Floor)
}

// topAt is the highest rung of a session that a server holds.
func (f *Front) topAt(s *session, v *server) int {
	top := f.top(s)
	for _, h := range s.Holders {
		if h.Server == v.Server {
			top = min(top, h.Top)
		}
	}
	return top
}

// occupy books a session's rate where it is, times sign.
func (f *Front) occupy(s *session, sign float64) {
	kb := sign * f.kb(s, s.rung)
	s.at.rungs += int(sign) * s.rung
	s.at.link.add(f.now, kb, keepChanges)
	s.at.rack.add(f.now, kb, keepChanges)
}

func (f *Front) enter(s *session, v *server) {
	s.at = v
	v.held = append(v.held, s)
	f.fleet.hosts = insert(f.fleet.hosts, v)
	f.occupy(s, 1)
}

func (f *Front) leave(s *session) {
	if s.at == nil {
		return
	}
	f.occupy(s, -1)
	if s.at.held = drop(s.at.held, s); len(s.at.held) == 0 {
		f.fleet.hosts = remove(f.fleet.hosts, s.at)
	}
	if s.at.trial == s {
		s.at.trial = nil
	}
	s.at = nil
}

func (f *Front) forget(s *session) {
	f.leave(s)
	f.waiting = drop(f.waiting, s)
	delete(f.byID, s.ID)
}

func (f *Front) usable(a *Ask) bool {
	return a.Class >= 0 && a.Class < len(f.set.Classes) && len(f.set.RungKB) > f.set.Classes[a.Class].Floor &&
		len(f.set.RungWorth) >= len(f.set.RungKB) && f.byID[a.ID] == nil
}

func (f *Front) take(a Ask) *session {
	s := &session{Ask: a, rung: f.set.Classes[a.Class].Floor}
	s.weight = f.class(s).Worth
	f.byID[a.ID] = s
	return s
}

// meanOf gives the average that stands for a meter not heard of: links and uplinks are filled differently.
func (f *Front) meanOf(m *meter) *float64 {
	if m.parts != nil {
		return &f.meanUp
	}
	return &f.mean
}

// holders gives the servers listed ready that hold the title, in the order of their ids.
func (f *Front) holders(s *session) (list []*server) {
	if s.Holders != nil { // those not listed yet wait until they are
		for _, h := range s.Holders {
			if v := f.fleet.get(h.Server); v != nil && v.listed && h.Top >= f.class(s).Floor {
				list = insert(list, v)
			}
		}
		return list
	}
	if s.Copies >= f.set.Cells {
		for _, v := range f.fleet.order {
			if v.listed && f.set.Cells > 0 {
				list = append(list, v)
			}
		}
		return list
	}
	for i := 0; i < s.Copies; i++ {
		cell := (s.Home%f.set.Cells + f.set.Cells + i) % f.set.Cells
		for _, v := range f.fleet.byCell[cell] {
			if v.listed {
				list = append(list, v)
			}
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// count gives how many sessions of a class and title this front holds, set-ups included.
func (f *Front) count(class int, title uint64) (n int) {
	for _, v := range f.fleet.hosts {
		for _, o := range v.held {
			if o.Class == class && o.Title == title {
				n++
			}
		}
	}
	return n
}

// gone notes that a viewer left. While an attempt is out its seat and rate stay taken.
func (f *Front) gone(id uint64) {
	s := f.byID[id]
	if s == nil {
		return
	}
	if s.at != nil {
		s.left = true
		return
	}
	f.forget(s)
}

// handed books a session that plays already.
func (f *Front) handed(h Handed) {
	v := f.fleet.get(h.Server)
	if v == nil || !f.usable(&h.Ask) {
		return
	}
	s := f.take(h.Ask)
	f.earn()
	s.attempts, s.playing, s.started = 1, true, f.now
	f.enter(s, v)
}

// setRung changes the rung in force.
func (f *Front) setRung(s *session, rung int) {
	f.occupy(s, -1)
	s.rung = rung
	f.occupy(s, 1)
	s.changed = f.now
	f.do(Rate{s.ID, rung})
}

// worth is what a session earns at a rung over the time it is expected to last.
func (f *Front) worth(s *session, rung int) float64 {
	if rung < 0 {
		return 0
	}
	return s.weight * f.set.RungWorth[rung] * float64(f.left(s)) / float64(Second)
}

// change is what a change of rung costs once the session plays.
func (f *Front) change(s *session) float64 {
	if !s.playing {
		return 0
	}
	return s.weight * f.set.ChangeCost
}

// cell gives an entry's cell in the ring of cells that holders are counted in.
func (f *Front) cell(e Entry) int {
	n := max(f.set.Cells, 1)
	return (e.Cell%n + n) % n
}

// book takes a list entry over and tells whether it is a newer process than the one known.
func (f *Front) book(e Entry) (v *server, restarted bool) {
	v = f.fleet.get(e.Server)
	if v == nil {
		v = &server{Entry: e}
		f.fleet.add(v)
	}
	restarted = e.Started > v.Started
	if c := f.cell(v.Entry); c != f.cell(e) {
		f.fleet.byCell[c] = remove(f.fleet.byCell[c], v)
	}
	v.Entry, v.listed = e, e.Health == Ready
	f.fleet.byCell[f.cell(e)] = insert(f.fleet.byCell[f.cell(e)], v)
	v.rack = f.racks[e.Cell%len(f.racks)]
	v.link.cap = max(e.Size*f.set.WeightKB, 1)
	return v, restarted
}

// shelve sorts the servers into their racks: those on the list, and those gone that own sessions still play on. Others
// that are gone are forgotten: a front that lives long sees many.
func (f *Front) shelve() {
	f.fleet.order = slices.DeleteFunc(f.fleet.order, func(v *server) bool {
		gone := !v.listed && v.Health != Draining && len(v.held) == 0
		if gone {
			delete(f.fleet.byID, v.Server)
			f.fleet.byCell[f.cell(v.Entry)] = remove(f.fleet.byCell[f.cell(v.Entry)], v)
		}
		return gone
	})
	for _, k := range f.racks {
		k.parts = k.parts[:0]
	}
	for _, v := range f.fleet.order {
		if v.listed || len(v.held) > 0 {
			v.rack.parts = append(v.rack.parts, v)
		}
	}
}

// newFront makes empty records for the settings.
func newFront(set Settings, seed uint64) *Front {
	f := &Front{set: set, rng: rand.New(rand.NewSource(int64(seed))), byID: map[uint64]*session{},
		fleet: fleet{byID: map[uint32]*server{}, byCell: map[int][]*server{}}, past: past{from: map[uint64]*server{}}}
	for i := 0; i < max(set.Racks, 1); i++ {
		f.racks = append(f.racks, &rack{meter: meter{cap: max(set.RackKB, 1), parts: []*server{}}})
	}
	return f
}

// probed books what a probe brought.
func (f *Front) probed(e Probed) {
	if v := f.fleet.get(e.Server); v != nil {
		v.probing = false
		f.report(v, e.Report)
	}
}

// move takes a session off its server and remembers where it was.
func (f *Front) move(s *session, most int) {
	s.moved = true
	f.past.put(s.Viewer, s.at, most)
	f.do(Move{s.ID})
}

// dispatch hands an event to what deals with it.
func (f *Front) dispatch(event Event) {
	switch e := event.(type) {
	case List:
		f.list(e)
	case Request:
		f.request(e.Ask)
	case Handed:
		f.handed(e)
	case Playing:
		f.started(e)
	case Note:
		f.note(e)
	case Outcome:
		f.outcome(e)
	case Gone:
		f.gone(e.ID)
	case Probed:
		f.probed(e)
	case Alarm:
		switch e.Token {
		case tokenTick:
			f.alarm()
		case tokenHeld:
			f.retryHeld(true)
		case tokenAsk:
			f.do(Follow{})
		}
	}
}

// meanRung gives the mean rung of this front's sessions in a rack.
func (f *Front) meanRung(k *rack) float64 {
	n, sum := 0, 0
	for _, v := range k.parts { // sums are kept: one of thousands of sessions is placed by a look at a few servers
		n, sum = n+len(v.held), sum+v.rungs
	}
	return float64(sum) / float64(max(n, 1))
}

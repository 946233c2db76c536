package policy

import (
	"cmp"
	"math/rand"
	"slices"
)

// This file keeps a front's records. Every length, limit and judgement is in the files that deploy/balancer.toml names.

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
	starts  bool // a complete list, not an old one, has told when servers started

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
	case Vacate:
		if v := f.fleet.get(e.Server); v != nil {
			v.vacate = e.Until
		}
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

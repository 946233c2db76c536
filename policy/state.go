package policy

import (
	"cmp"
	"math/rand"
	"slices"
)

// This file keeps the records of a front. All durations, limits and decisions are in the files listed in
// deploy/balancer.toml.

// Front is the decision state of one front. It does no I/O and reads no clock.
type Front struct {
	cfg          Settings
	rng          *rand.Rand
	now          Time
	startedAt    Time
	actions      []Action
	fleet        fleet
	racks        []*rack
	byID         map[uint64]*session
	waiting      []*session
	movedViewers movedViewers
	moveTokens   tokenBucket
	probeTokens  float64
	requests     windowSum
	retries      windowSum
	ticks        int
	startsKnown  bool // a complete, current list has given the start times of servers

	meanUse, meanUplinkUse     float64 // mean use by other fronts, of links and of uplinks
	typicalWorth, typicalCount float64 // mean worth of a session, and the number averaged
}

// emit appends an action to the result of Handle.
func (f *Front) emit(a Action) { f.actions = append(f.actions, a) }

// rateKB is the rate of a session at a rung, in kB a second.
func (f *Front) rateKB(s *session, rung int) float64 { return f.cfg.RungKB[rung] * f.class(s).Scale }

func (f *Front) class(s *session) *Class { return &f.cfg.Classes[s.Class] }

// topRung is the highest rung that a session may use.
func (f *Front) topRung(s *session) int {
	return max(min(s.Top, f.class(s).Top, len(f.cfg.RungKB)-1), f.class(s).Floor)
}

// topRungAt is the highest rung of a session's title that a server holds.
func (f *Front) topRungAt(s *session, v *server) int {
	top := f.topRung(s)
	for _, h := range s.Holders {
		if h.Server == v.Server {
			top = min(top, h.Top)
		}
	}
	return top
}

// addRate adds the rate of a session, times sign, to its server's link and uplink.
func (f *Front) addRate(s *session, sign float64) {
	kb := sign * f.rateKB(s, s.rung)
	s.server.rungSum += int(sign) * s.rung
	s.server.link.addOwn(f.now, kb, changeTTL)
	s.server.rack.addOwn(f.now, kb, changeTTL)
}

// assign attaches a session to a server.
func (f *Front) assign(s *session, v *server) {
	s.server = v
	v.sessions = append(v.sessions, s)
	f.fleet.withSessions = insertServer(f.fleet.withSessions, v)
	f.addRate(s, 1)
}

// unassign detaches a session from its server, if it has one.
func (f *Front) unassign(s *session) {
	if s.server == nil {
		return
	}
	f.addRate(s, -1)
	if s.server.sessions = removeSession(s.server.sessions, s); len(s.server.sessions) == 0 {
		f.fleet.withSessions = removeServer(f.fleet.withSessions, s.server)
	}
	if s.server.trial == s {
		s.server.trial = nil
	}
	s.server = nil
}

// deleteSession removes all records of a session.
func (f *Front) deleteSession(s *session) {
	f.unassign(s)
	f.waiting = removeSession(f.waiting, s)
	delete(f.byID, s.ID)
}

// valid tells whether a request fits the settings and has a new ID.
func (f *Front) valid(spec *SessionSpec) bool {
	return spec.Class >= 0 && spec.Class < len(f.cfg.Classes) &&
		len(f.cfg.RungKB) > f.cfg.Classes[spec.Class].Floor &&
		len(f.cfg.RungWorth) >= len(f.cfg.RungKB) && f.byID[spec.ID] == nil
}

// addSession records a new session at its floor.
func (f *Front) addSession(spec SessionSpec) *session {
	s := &session{SessionSpec: spec, rung: f.cfg.Classes[spec.Class].Floor}
	s.weight = f.class(s).Worth
	f.byID[spec.ID] = s
	return s
}

// meanOf gives the mean that stands for a meter without a report. Links and uplinks have their own means,
// as their use differs.
func (f *Front) meanOf(m *meter) *float64 {
	if m.servers != nil {
		return &f.meanUplinkUse
	}
	return &f.meanUse
}

// holders gives the servers listed as ready that hold the title, in order of their IDs.
func (f *Front) holders(s *session) (servers []*server) {
	if s.Holders != nil { // holders not on the list yet are skipped
		for _, h := range s.Holders {
			if v := f.fleet.get(h.Server); v != nil && v.listed && h.Top >= f.class(s).Floor {
				servers = insertServer(servers, v)
			}
		}
		return servers
	}
	if s.Copies >= f.cfg.Cells {
		for _, v := range f.fleet.servers {
			if v.listed && f.cfg.Cells > 0 {
				servers = append(servers, v)
			}
		}
		return servers
	}
	for i := 0; i < s.Copies; i++ {
		cell := (s.Home%f.cfg.Cells + f.cfg.Cells + i) % f.cfg.Cells
		for _, v := range f.fleet.byCell[cell] {
			if v.listed {
				servers = append(servers, v)
			}
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.Server, b.Server) })
	return servers
}

// countSessions gives the number of sessions of a class and title on this front, set-ups included.
func (f *Front) countSessions(class int, title uint64) (n int) {
	for _, v := range f.fleet.withSessions {
		for _, o := range v.sessions {
			if o.Class == class && o.Title == title {
				n++
			}
		}
	}
	return n
}

// viewerLeft records that a viewer left. While an attempt is in flight its seat and rate stay taken.
func (f *Front) viewerLeft(id uint64) {
	s := f.byID[id]
	if s == nil {
		return
	}
	if s.server != nil {
		s.viewerLeft = true
		return
	}
	f.deleteSession(s)
}

// restore records a session that was already playing when the front started.
func (f *Front) restore(e Restored) {
	v := f.fleet.get(e.Server)
	if v == nil || !f.valid(&e.SessionSpec) {
		return
	}
	s := f.addSession(e.SessionSpec)
	f.earnProbes()
	s.attempts, s.playing, s.startedAt = 1, true, f.now
	f.assign(s, v)
}

// setRung changes the rung of a playing session.
func (f *Front) setRung(s *session, rung int) {
	f.addRate(s, -1)
	s.rung = rung
	f.addRate(s, 1)
	s.rungChangedAt = f.now
	f.emit(Rate{s.ID, rung})
}

// worth is the earnings of a session at a rung over its expected remaining length.
func (f *Front) worth(s *session, rung int) float64 {
	if rung < 0 {
		return 0
	}
	return s.weight * f.cfg.RungWorth[rung] * float64(f.remaining(s)) / float64(Second)
}

// changeCost is the cost of a change of rung; it is zero until the session plays.
func (f *Front) changeCost(s *session) float64 {
	if !s.playing {
		return 0
	}
	return s.weight * f.cfg.ChangeCost
}

// cellOf gives an entry's cell in the ring of cells; Home and Copies of a SessionSpec select holders in it.
func (f *Front) cellOf(e Entry) int {
	n := max(f.cfg.Cells, 1)
	return (e.Cell%n + n) % n
}

// updateServer applies a list entry and tells whether it is for a newer process than the one recorded.
func (f *Front) updateServer(e Entry) (v *server, restarted bool) {
	v = f.fleet.get(e.Server)
	if v == nil {
		v = &server{Entry: e}
		f.fleet.add(v)
	}
	restarted = e.Started > v.Started
	if c := f.cellOf(v.Entry); c != f.cellOf(e) {
		f.fleet.byCell[c] = removeServer(f.fleet.byCell[c], v)
	}
	v.Entry, v.listed = e, e.Health == Ready
	f.fleet.byCell[f.cellOf(e)] = insertServer(f.fleet.byCell[f.cellOf(e)], v)
	v.rack = f.racks[e.Cell%len(f.racks)]
	v.link.capacity = max(e.Size*f.cfg.WeightKB, 1)
	return v, restarted
}

// updateRacks assigns servers to their racks: those on the list, and removed ones that still have own
// sessions. All other removed servers are deleted, as a long-running front sees many.
func (f *Front) updateRacks() {
	f.fleet.servers = slices.DeleteFunc(f.fleet.servers, func(v *server) bool {
		unused := !v.listed && v.Health != Draining && len(v.sessions) == 0
		if unused {
			delete(f.fleet.byID, v.Server)
			f.fleet.byCell[f.cellOf(v.Entry)] = removeServer(f.fleet.byCell[f.cellOf(v.Entry)], v)
		}
		return unused
	})
	for _, k := range f.racks {
		k.servers = k.servers[:0]
	}
	for _, v := range f.fleet.servers {
		if v.listed || len(v.sessions) > 0 {
			v.rack.servers = append(v.rack.servers, v)
		}
	}
}

// newFront returns a front with empty records.
func newFront(cfg Settings, seed uint64) *Front {
	f := &Front{cfg: cfg, rng: rand.New(rand.NewSource(int64(seed))), byID: map[uint64]*session{},
		fleet:        fleet{byID: map[uint32]*server{}, byCell: map[int][]*server{}},
		movedViewers: movedViewers{servers: map[uint64]*server{}}}
	for i := 0; i < max(cfg.Racks, 1); i++ {
		f.racks = append(f.racks, &rack{meter: meter{capacity: max(cfg.RackKB, 1), servers: []*server{}}})
	}
	return f
}

// probeResult records the result of a probe.
func (f *Front) probeResult(e Probed) {
	if v := f.fleet.get(e.Server); v != nil {
		v.probing = false
		f.applyReport(v, e.Report)
	}
}

// moveSession moves a session off its server and remembers that server for its viewer.
func (f *Front) moveSession(s *session, maxViewers int) {
	s.moved = true
	f.movedViewers.add(s.Viewer, s.server, maxViewers)
	f.emit(Move{s.ID})
}

// dispatch passes an event to its handler.
func (f *Front) dispatch(event Event) {
	switch e := event.(type) {
	case List:
		f.updateList(e)
	case Request:
		f.handleRequest(e.SessionSpec)
	case Restored:
		f.restore(e)
	case Playing:
		f.handlePlaying(e)
	case Note:
		f.handleNote(e)
	case Outcome:
		f.handleOutcome(e)
	case ViewerLeft:
		f.viewerLeft(e.ID)
	case Probed:
		f.probeResult(e)
	case Vacate:
		if v := f.fleet.get(e.Server); v != nil {
			v.vacateBy = e.Until
		}
	case TimerFired:
		switch e.Token {
		case tokenTick:
			f.housekeeping()
		case tokenHeld:
			f.retryHeld(true)
		case tokenListRetry:
			f.emit(Subscribe{})
		}
	}
}

// meanRung gives the mean rung of this front's sessions in a rack. Servers keep sums of their rungs, so
// that placing one of thousands of sessions reads only a few servers.
func (f *Front) meanRung(k *rack) float64 {
	n, sum := 0, 0
	for _, v := range k.servers {
		n, sum = n+len(v.sessions), sum+v.rungSum
	}
	return float64(sum) / float64(max(n, 1))
}

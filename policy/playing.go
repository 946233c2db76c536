package policy

import "math"

// While sessions play: rungs follow what servers deliver, and sessions move off those that stay short.

func (f *Front) note(e Note) {
	s := f.byID[e.ID]
	v := f.fleet.get(e.Server)
	if s == nil || v == nil || s.at != v {
		return
	}
	switch e.Kind {
	case NoteRung:
		if r := int(e.Value); r >= 0 && r < len(f.set.RungKB) {
			f.occupy(s, -1)
			s.rung = r
			f.occupy(s, 1)
		}
	case NoteLink:
		f.told(&v.link, e.Value, f.set.SeeLate)
	case NoteUplink:
		f.told(&v.rack.meter, e.Value, f.set.SeeLate)
	case NoteShare:
		f.short(v, e.Value)
	}
}

// short acts on a note that tells the share delivered at a server, whatever took the rest: too many
// sessions, a neighbour, a sagging uplink or a server that stands still.
func (f *Front) short(v *server, share float64) {
	if share >= fullShare {
		v.shorts = 0
		return
	}
	// A short uplink shows at several of its servers at once and alike; else it is the server's own link.
	m, like := &v.link, false
	for _, o := range v.rack.parts {
		like = like || o != v && f.now-o.shortAt < rackTogether && math.Abs(o.share-share) < rackLike
	}
	if like && f.load(&v.rack.meter) > f.load(m) {
		m = &v.rack.meter
	}
	v.share, v.shortAt = share, f.now
	v.bad.add(f.now, 1-share)
	if share < hungShare {
		f.failing(v, true)
	} else {
		m.set(1/max(share, shareLeast), f.now-f.set.SeeLate)
	}
	if share < moveShare {
		v.shorts++
	}
	if share < shortNote && share >= hungShare && f.now-v.shedAt > f.set.SeeLate+shedPause {
		f.learn(m, 1/share) // in a crowd no report is as new
		f.shed(v, share)
	}
	if v.shorts >= moveNotes {
		f.moveOff(v)
	}
}

// shed lowers own sessions at a short server until the own rate has come down by what is missing. Each
// front there does its part. Harm: a moment's shortness costs rung changes.
func (f *Front) shed(v *server, share float64) {
	v.shedAt = f.now
	target := v.link.own * share * shedTarget
	for v.link.own > target {
		var best *session
		to, least := 0, math.Inf(1)
		for _, s := range v.held {
			for r := s.rung - 1; r >= f.class(s).Floor && !s.left; r-- {
				freed := min(f.kb(s, s.rung)-f.kb(s, r), v.link.own-target)
				if cost := (f.worth(s, s.rung) - f.worth(s, r) + f.change(s)) / freed; cost < least {
					best, to, least = s, r, cost
				}
			}
		}
		if best == nil {
			return
		}
		// A whole rung of each of hundreds would be far too much: the missing part of it is the chance to
		// lower it, and a little more, so that one of all rounds up.
		over, freed := v.link.own-target, f.kb(best, best.rung)-f.kb(best, to)
		if f.rng.Float64()-f.part(&v.link, 1) > over/freed {
			return
		}
		f.setRung(best, to)
	}
}

// moveOff moves a session, paced, to the best holder with room on another rack, if there is one.
func (f *Front) moveOff(v *server) {
	for _, s := range v.held {
		if f.moves.fill(f.now, movesPerS, movesBurst) < 1 {
			return
		}
		if !s.playing || s.moved || s.left {
			continue
		}
		// The longer a server has been short, the longer it is expected to stay so.
		lasts := min(f.left(s), Time(v.shorts)*moveLasts)
		lost := s.weight * f.set.RungWorth[s.rung] * min(f.set.StallCost*(fullShare-v.share), 1)
		if lost*float64(lasts)/float64(Second) < f.set.PriceMove*f.typical+moveGap*s.weight {
			continue
		}
		for _, o := range f.candidates(s) {
			// A server that stands still says nothing against its rack, and any other is better than it. From
			// one that is only short, a guess at where there's room is no reason to move.
			if (o.rack == v.rack || f.unheard(o)) && v.share >= hungShare || f.open(o, s) {
				continue
			}
			if link, uplink := f.room(o, mark); f.highest(s, o, link, uplink, 0, 0) >= 0 {
				f.moves.tokens--
				f.move(s, pastMost)
				if v.share >= hungShare {
					return
				}
				break
			}
		}
	}
}

// empty moves sessions off a server that is to be empty by a time, paced, each to the best holder with room.
// Those that are known to end before are left: a move costs, and takes room elsewhere. Harm: of those that
// last longer some lose a moment.
func (f *Front) empty(v *server) {
	for _, s := range v.held {
		if f.moves.fill(f.now, movesPerS, movesBurst) < 1 {
			return
		}
		if !s.playing || s.moved || s.left || s.Hinted && f.now+f.left(s) <= v.vacate {
			continue
		}
		for _, o := range f.candidates(s) {
			link, uplink := f.room(o, mark)
			if o != v && !f.open(o, s) && f.highest(s, o, link, uplink, 0, 0) >= 0 {
				f.moves.tokens--
				f.move(s, pastMost)
				break
			}
		}
	}
}

// left is how long a session is expected to last yet.
func (f *Front) left(s *session) Time {
	switch {
	case !s.Hinted:
		return remains
	case s.playing:
		return max(s.Length-(f.now-s.started), 0)
	}
	return s.Length
}

// probe asks for a report newer than stale, if requests have earned it.
func (f *Front) probe(v *server, stale Time) bool {
	if f.probes < 1 || !f.inspect(v, stale) {
		return false
	}
	f.probes--
	return true
}

func (f *Front) inspect(v *server, stale Time) bool {
	if !f.set.MayProbe || v.probing || f.now-v.probedAt < Second ||
		(v.link.told && f.now-v.link.useAt < stale) {
		return false
	}
	v.probing, v.probedAt = true, f.now
	f.do(Probe{v.Server})
	return true
}

func (f *Front) alarm() {
	f.do(Timer{tokenTick, tick})
	f.ticks++
	f.retryHeld(false)
	for _, v := range f.fleet.hosts {
		if v.vacate > 0 {
			f.empty(v)
		}
	}
	if f.ticks%int(Second/tick) == 0 {
		for _, v := range f.fleet.hosts {
			f.raise(v)
		}
	}
}

// raise gives lasting spare to the sessions that gain most by it. Other fronts see the same spare: this
// one takes its part of it.
func (f *Front) raise(v *server) {
	if f.now-v.shortAt < raiseCalm || v.failed {
		return
	}
	if !v.link.told || f.now-v.link.useAt > raiseFresh {
		if f.set.TellEvery == 0 && f.probes > lookAt { // choices come first; notes need no probe
			f.probe(v, probeStale)
		}
		return
	}
	draw := 1.0
	if v.raisedOn != v.link.useAt { // one draw a report: more would take more than a part
		v.raisedOn, draw = v.link.useAt, 1-f.rng.Float64()
	}
	for {
		link, uplink := f.room(v, mark-raiseGap)
		var best *session
		to, most := 0, 0.0
		for _, s := range v.held {
			if !s.playing || s.left || f.now-s.changed < restRung {
				continue
			}
			r := f.highest(s, v, link, uplink, f.kb(s, s.rung), draw)
			if net := f.worth(s, r) - f.worth(s, s.rung) - changeTimes*f.change(s); r > s.rung && net > most {
				best, to, most = s, r, net
			}
		}
		if best == nil {
			return
		}
		f.setRung(best, to)
	}
}

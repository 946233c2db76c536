package policy

import "math"

// Playing sessions: rungs follow what servers deliver, and sessions move off servers that stay short.

// handleNote applies a note on a session.
func (f *Front) handleNote(e Note) {
	s := f.byID[e.ID]
	v := f.fleet.get(e.Server)
	if s == nil || v == nil || s.server != v {
		return
	}
	switch e.Kind {
	case NoteRung:
		if r := int(e.Value); r >= 0 && r < len(f.cfg.RungKB) {
			f.addRate(s, -1)
			s.rung = r
			f.addRate(s, 1)
		}
	case NoteLink:
		f.recordUse(&v.link, e.Value, f.cfg.NoteDelay)
	case NoteUplink:
		f.recordUse(&v.rack.meter, e.Value, f.cfg.NoteDelay)
	case NoteShare:
		f.handleShortNote(v, e.Value)
	}
}

// handleShortNote processes a note with the share of the rate that a server delivers, whatever the cause of
// a low share: too many sessions, load of a neighbour, an uplink with less capacity or a hung server.
func (f *Front) handleShortNote(v *server, share float64) {
	if share >= deliveredShare {
		v.shortNotes = 0
		return
	}
	// A short uplink gives similar shares at several of its servers at once; otherwise the server's own
	// link is short.
	m, alike := &v.link, false
	for _, o := range v.rack.servers {
		alike = alike || o != v && f.now-o.shortAt < alikeWindow &&
			math.Abs(o.lastShare-share) < alikeTolerance
	}
	if alike && f.estimatedUse(&v.rack.meter) > f.estimatedUse(m) {
		m = &v.rack.meter
	}
	v.lastShare, v.shortAt = share, f.now
	v.failures.add(f.now, failureWindow, 1-share)
	if share < hungShare {
		f.recordFailure(v, true)
	} else {
		m.setUse(1/max(share, minShare), f.now-f.cfg.NoteDelay)
	}
	if share < moveBelowShare {
		v.shortNotes++
	}
	if share < lowerBelowShare && share >= hungShare && f.now-v.loweredAt > f.cfg.NoteDelay+lowerInterval {
		f.updateMean(m, 1/share) // under high load no report is as recent
		f.lowerRungs(v, share)
	}
	if v.shortNotes >= moveAfterNotes {
		f.moveSessionsOff(v)
	}
}

// lowerRungs lowers own sessions at a short server until their rate has fallen by the missing part. Each
// front with sessions there does its part. The cost is that a short moment causes rung changes.
func (f *Front) lowerRungs(v *server, share float64) {
	v.loweredAt = f.now
	target := v.link.own * share * lowerTarget
	for v.link.own > target {
		var best *session
		rung, lowestCost := 0, math.Inf(1)
		for _, s := range v.sessions {
			for r := s.rung - 1; r >= f.class(s).Floor && !s.viewerLeft; r-- {
				freed := min(f.rateKB(s, s.rung)-f.rateKB(s, r), v.link.own-target)
				if cost := (f.worth(s, s.rung) - f.worth(s, r) + f.changeCost(s)) / freed; cost < lowestCost {
					best, rung, lowestCost = s, r, cost
				}
			}
		}
		if best == nil {
			return
		}
		// If each of hundreds of fronts lowered a whole rung the sum would be far too much: the rung is
		// lowered with the probability of the missing part, and a little more so that one of all fronts
		// rounds up.
		excess, freed := v.link.own-target, f.rateKB(best, best.rung)-f.rateKB(best, rung)
		if f.rng.Float64()-f.sparePart(&v.link, 1) > excess/freed {
			return
		}
		f.setRung(best, rung)
	}
}

// moveSessionsOff moves sessions, within the rate limit, if a holder on another rack has spare capacity.
func (f *Front) moveSessionsOff(v *server) {
	for _, s := range v.sessions {
		if f.moveTokens.refill(f.now, movesPerSecond, movesBurst) < 1 {
			return
		}
		if !s.playing || s.moved || s.viewerLeft {
			continue
		}
		// The longer a server has been short, the longer it is expected to remain short.
		duration := min(f.remaining(s), Time(v.shortNotes)*shortTimePerNote)
		loss := s.weight * f.cfg.RungWorth[s.rung] * min(f.cfg.StallCost*(deliveredShare-v.lastShare), 1)
		if loss*float64(duration)/float64(Second) < f.cfg.PriceMove*f.typicalWorth+moveGapSeconds*s.weight {
			continue
		}
		for _, o := range f.candidates(s) {
			// A hung server says nothing about its rack, and any other holder is better. Off a server that
			// is only short, unreported spare capacity elsewhere is no reason to move.
			if (o.rack == v.rack || f.reportStale(o)) && v.lastShare >= hungShare || f.breakerBlocks(o, s) {
				continue
			}
			if link, uplink := f.spareRates(o, maxUse); f.highestRung(s, o, link, uplink, 0, 0) >= 0 {
				f.moveTokens.tokens--
				f.moveSession(s, maxMovedViewers)
				if v.lastShare >= hungShare {
					return
				}
				break
			}
		}
	}
}

// vacateServer moves sessions off a server that is to be empty by a deadline, within the rate limit, if
// another holder has spare capacity. Sessions known to end before the deadline stay: a move has a cost and
// takes capacity elsewhere. Some of the moved sessions are interrupted for a moment.
func (f *Front) vacateServer(v *server) {
	for _, s := range v.sessions {
		if f.moveTokens.refill(f.now, movesPerSecond, movesBurst) < 1 {
			return
		}
		if !s.playing || s.moved || s.viewerLeft || s.Hinted && f.now+f.remaining(s) <= v.vacateBy {
			continue
		}
		for _, o := range f.candidates(s) {
			link, uplink := f.spareRates(o, maxUse)
			if o != v && !f.breakerBlocks(o, s) && f.highestRung(s, o, link, uplink, 0, 0) >= 0 {
				f.moveTokens.tokens--
				f.moveSession(s, maxMovedViewers)
				break
			}
		}
	}
}

// remaining is the expected remaining length of a session.
func (f *Front) remaining(s *session) Time {
	switch {
	case !s.Hinted:
		return defaultRemaining
	case s.playing:
		return max(s.Length-(f.now-s.startedAt), 0)
	}
	return s.Length
}

// probe spends an earned probe on a server whose report is older than maxAge, and tells whether it did.
func (f *Front) probe(v *server, maxAge Time) bool {
	if f.probeTokens < 1 || !f.sendProbe(v, maxAge) {
		return false
	}
	f.probeTokens--
	return true
}

// sendProbe probes a server whose report is older than maxAge, and tells whether it did.
func (f *Front) sendProbe(v *server, maxAge Time) bool {
	if !f.cfg.MayProbe || v.probing || f.now-v.probedAt < Second ||
		(v.link.reported && f.now-v.link.measuredAt < maxAge) {
		return false
	}
	v.probing, v.probedAt = true, f.now
	f.emit(Probe{v.Server})
	return true
}

// housekeeping runs each tick: it retries held requests, vacates servers and, once a second, raises rungs.
func (f *Front) housekeeping() {
	f.emit(Timer{tokenTick, tickInterval})
	f.ticks++
	f.retryHeld(false)
	for _, v := range f.fleet.withSessions {
		if v.vacateBy > 0 {
			f.vacateServer(v)
		}
	}
	if f.ticks%int(Second/tickInterval) == 0 {
		for _, v := range f.fleet.withSessions {
			f.raiseRungs(v)
		}
	}
}

// raiseRungs gives lasting spare capacity to the sessions that gain most by it. Other fronts see the same
// spare capacity: this front takes only its part.
func (f *Front) raiseRungs(v *server) {
	if f.now-v.shortAt < raiseCalmTime || v.failed {
		return
	}
	if !v.link.reported || f.now-v.link.measuredAt > maxRaiseReportAge {
		// Choices have priority; with regular notes no probe is needed.
		if f.cfg.NoteInterval == 0 && f.probeTokens > probesPerChoice {
			f.probe(v, staleProbeAge)
		}
		return
	}
	draw := 1.0
	// One draw for each report: more draws would take more than this front's part.
	if v.raisedReportAt != v.link.measuredAt {
		v.raisedReportAt, draw = v.link.measuredAt, 1-f.rng.Float64()
	}
	for {
		link, uplink := f.spareRates(v, maxUse-raiseReserve)
		var best *session
		rung, bestNet := 0, 0.0
		for _, s := range v.sessions {
			if !s.playing || s.viewerLeft || f.now-s.rungChangedAt < minRungInterval {
				continue
			}
			r := f.highestRung(s, v, link, uplink, f.rateKB(s, s.rung), draw)
			if net := f.worth(s, r) - f.worth(s, s.rung) -
				minRaiseGain*f.changeCost(s); r > s.rung && net > bestNet {
				best, rung, bestNet = s, r, net
			}
		}
		if best == nil {
			return
		}
		f.setRung(best, rung)
	}
}

package policy

// Events of requests and sessions: arrival, start, outcome and end.

// handleRequest admits a new request and places it, or refuses an invalid one.
func (f *Front) handleRequest(spec SessionSpec) {
	if f.byID[spec.ID] != nil {
		return
	}
	if !f.valid(&spec) {
		f.emit(Refuse{ID: spec.ID})
		return
	}
	s := f.addSession(spec)
	f.requests.add(f.now, f.requestWindow(), 1)
	if spec.Moved {
		s.moved, s.movedFrom = true, f.movedViewers.servers[spec.Viewer]
	}
	if !spec.Again && !spec.Moved {
		f.earnProbes()
		f.typicalCount = min(f.typicalCount+1, typicalSamples)
		f.typicalWorth += (f.worth(s, f.topRung(s)) - f.typicalWorth) / f.typicalCount
	}
	f.place(s)
}

// earnProbes credits the probes that a first request earns; a higher price of probes lowers their number.
func (f *Front) earnProbes() {
	earned := probesPerRequest
	if f.cfg.PriceProbe > 0 {
		earned = min(earned, maxProbeCost/f.cfg.PriceProbe)
	}
	f.probeTokens = min(f.probeTokens+earned, maxProbes)
}

// handlePlaying records that a session has started.
func (f *Front) handlePlaying(e Playing) {
	s := f.byID[e.ID]
	if s == nil || s.server == nil || s.playing || e.Attempt != s.attempts-1 {
		return
	}
	s.playing, s.startedAt, s.rungChangedAt = true, f.now, f.now
	f.recordSuccess(s.server)
	for _, v := range s.errored { // another server served the request: the error was theirs
		f.recordError(v)
	}
	s.errored = nil
	if s.server.trial == s {
		s.server.trial = nil
	}
}

// handleOutcome ends an attempt or a session and places the request again if it goes on.
func (f *Front) handleOutcome(e Outcome) {
	v := f.fleet.get(e.Server)
	if v != nil && len(e.Report) > 0 {
		f.applyReport(v, e.Report)
	}
	s := f.byID[e.ID]
	if s == nil || s.server == nil || s.server != v || e.Attempt != s.attempts-1 {
		return
	}
	f.unassign(s)
	if s.playing || e.Status == OK {
		if e.Status == ConnReset {
			f.recordFailure(v, true)
		}
		f.deleteSession(s)
		return
	}
	switch e.Status {
	case Errored:
		// An error counts only once another server has served the request: hundreds of requests that no
		// server can serve would otherwise open every breaker. A faulty server is detected that much later.
		if s.mayHaveRun = true; f.class(s).Paid || v.failed {
			f.recordError(v) // no other server is tried, or this one is half-open
		} else {
			s.errored = append(s.errored, v)
		}
	case ConnReset, TimedOut, NoConnect:
		s.mayHaveRun = s.mayHaveRun || e.Status != NoConnect
		f.recordFailure(v, true)
	case Full:
		v.failures.add(f.now, failureWindow, 1)
		if f.cfg.FullThreshold > 0 { // it updates the mean as a report of a full link does
			f.meanUse += (1 - f.meanUse) * meanWeight
		}
		v.link.setUse(max(f.cfg.FullThreshold, 1), f.now) // overrides the use in its report
	case NotSent:
	default:
		s.mayHaveRun = true
	}
	if e.Final || s.viewerLeft {
		f.deleteSession(s)
		return
	}
	f.place(s)
}

package policy

// Requests and sessions as they come and go, and the answers to them.

func (f *Front) request(a Ask) {
	if f.byID[a.ID] != nil {
		return
	}
	if !f.usable(&a) {
		f.do(Refuse{ID: a.ID})
		return
	}
	s := f.take(a)
	f.taken.add(f.now, 1)
	if a.Moved {
		s.moved, s.from = true, f.past.from[a.Viewer]
	}
	if !a.Again && !a.Moved {
		f.earn()
		f.typicalN = min(f.typicalN+1, typicalOver)
		f.typical += (f.worth(s, f.top(s)) - f.typical) / f.typicalN
	}
	f.place(s)
}

// earn gives the probes of a first try: by their number probes are priced.
func (f *Front) earn() {
	each := probeEach
	if f.set.PriceProbe > 0 {
		each = min(each, probeCost/f.set.PriceProbe)
	}
	f.probes = min(f.probes+each, probesMost)
}

func (f *Front) started(e Playing) {
	s := f.byID[e.ID]
	if s == nil || s.at == nil || s.playing || e.Attempt != s.attempts-1 {
		return
	}
	s.playing, s.started, s.changed = true, f.now, f.now
	f.proved(s.at)
	for _, v := range s.erred { // another server could: it was theirs
		f.erring(v)
	}
	s.erred = nil
	if s.at.trial == s {
		s.at.trial = nil
	}
}

func (f *Front) outcome(e Outcome) {
	v := f.fleet.get(e.Server)
	if v != nil && len(e.Report) > 0 {
		f.report(v, e.Report)
	}
	s := f.byID[e.ID]
	if s == nil || s.at == nil || s.at != v || e.Attempt != s.attempts-1 {
		return
	}
	f.leave(s)
	if s.playing || e.Status == OK {
		if e.Status == ResetConn {
			f.failing(v, true)
		}
		f.forget(s)
		return
	}
	switch e.Status {
	case Errored:
		// Danger: requests that no server can serve, sent by the hundred, would close every server to all
		// others. So an error counts once another server has served the request. Harm: a server that errs is
		// found that much later.
		if s.unsure = true; f.class(s).Paid || v.failed {
			f.erring(v) // nobody else will be asked, or it is on trial
		} else {
			s.erred = append(s.erred, v)
		}
	case ResetConn, TimedOut, NoConnect:
		s.unsure = s.unsure || e.Status != NoConnect
		f.failing(v, true)
	case Full:
		v.bad.add(f.now, 1)
		if f.set.FullFrom > 0 { // it says of the unheard what a report of a full link would
			f.mean += (1 - f.mean) * meanBlend
		}
		v.link.set(max(f.set.FullFrom, 1), f.now) // whatever its report said
	case Moot:
	default:
		s.unsure = true
	}
	if e.Final || s.left {
		f.forget(s)
		return
	}
	f.place(s)
}

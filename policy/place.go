package policy

import "sort"

// Placement of sessions: choice of server and rung, holding, retries and refusal.

// candidates ranks the holders that may take a session now, by use, recent failures and zone.
func (f *Front) candidates(s *session) []*server {
	var list, cold []*server
	holders := f.holders(s)
	collect := func(blocked bool) {
		for _, v := range holders {
			if v == s.movedFrom || s.hasTried(v) || f.breakerBlocks(v, s) != blocked {
				continue
			}
			if f.slowStartBlocks(v) {
				if !v.failed && f.now >= v.coldUntil {
					cold = append(cold, v)
				}
				continue
			}
			v.score = f.highestUse(v) + failureWeight*v.failures.total(f.now, failureWindow)
			if v.Zone != f.cfg.Zone {
				v.score += f.cfg.PriceCrossZone
			}
			if s.movedFrom != nil && v.rack == s.movedFrom.rack {
				v.score++ // the session was moved off this rack: last choice
			}
			list = append(list, v)
		}
	}
	collect(false)
	if len(list) == 0 {
		for _, i := range f.rng.Perm(len(cold))[:min(len(cold), probesPerChoice)] {
			// The report may show that the server is warm and avoid a refusal: worth its price in any case.
			f.sendProbe(cold[i], blockedProbeAge)
		}
	}
	// If all holders are blocked the fault may lie elsewhere: a safe request may still go to one of them.
	if s.breakersIgnored = len(list) == 0 && !f.class(s).Paid; s.breakersIgnored {
		collect(true)
	}
	// Holders with equal scores, such as those without reports, are shuffled: in list order hundreds of
	// fronts would all choose the same one.
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].score < list[j].score })
	return list[:min(len(list), maxFallbacks)]
}

// place sends a session to the best-ranked holder with spare capacity, or to the next on its fallback list.
// A paid set-up that may have run is never sent again nor refused; no attempt starts before the outcome of
// the previous one. A request that arrives too late, as after a stall of this front, gets a reply without
// an attempt.
func (f *Front) place(s *session) {
	if f.now >= s.Deadline-minAttemptTime || s.attempts > 0 && (s.attempts >= f.cfg.MaxAttempts ||
		s.mayHaveRun && f.class(s).Paid || !f.withinRetryBudget()) {
		f.giveUp(s)
		return
	}
	if s.attempts == 0 || len(s.fallbacks) == 0 {
		s.fallbacks = f.candidates(s)
	}
	seats := f.class(s).Seats
	seatFree := seats <= 0 || f.countSessions(s.Class, s.Title) < seats
	probing := false
	for _, v := range s.fallbacks[:min(len(s.fallbacks), probesPerChoice)] {
		wanted := s.heldUntil == 0 && s.attempts == 0 && v.score > probeMinScore &&
			(!f.cfg.InlineReports || f.reportStale(v))
		probing = wanted && f.probe(v, staleProbeAge) || probing
	}
	for _, v := range s.fallbacks {
		if probing {
			break // reports are stale: hold the request for a tick and wait for the probes
		}
		if !seatFree || !v.listed || s.hasTried(v) || f.slowStartBlocks(v) ||
			f.breakerBlocks(v, s) && !s.breakersIgnored {
			continue
		}
		link, uplink := f.spareRates(v, maxUse)
		if rung := f.highestRung(s, v, link, uplink, 0, 0); rung >= 0 {
			f.send(s, v, rung)
			return
		}
	}
	if s.heldUntil == 0 {
		s.heldUntil = min(f.now+holdTimeout, s.Deadline-minAttemptTime)
		f.waiting = append(f.waiting, s)
		f.emit(Timer{tokenHeld, max(s.heldUntil-f.now, 0)})
	}
	s.fallbacks = nil
	if f.now >= s.heldUntil {
		f.giveUp(s)
	}
}

// retryHeld places the held requests again: all of them, or only those whose hold has expired.
func (f *Front) retryHeld(expiredOnly bool) {
	for _, s := range append([]*session(nil), f.waiting...) {
		if !expiredOnly || f.now >= s.heldUntil {
			f.place(s)
		}
	}
}

// withinRetryBudget tells whether another attempt fits the retry budget, which prevents retry storms. The
// budget holds in every window that ends when a retry is sent. As an attempt may wait for its connection
// until then, earlier retries count for longer by the connect time-out and requests for less. A new front
// can't know what it spent before its restart: for one window it has no spare retries, so few requests are
// retried then.
func (f *Front) withinRetryBudget() bool {
	if !f.cfg.RetriesLimited {
		return true
	}
	spare := f.cfg.SpareRetries
	if f.now-f.startedAt < f.cfg.RetryWindow {
		spare = 0
	}
	return f.retries.total(f.now, f.retryWindow())+1 <=
		spare+f.cfg.RetryRatio*f.requests.total(f.now, f.requestWindow())
}

// retryWindow is the time for which a retry counts in the retry budget, requestWindow that of a request.
func (f *Front) retryWindow() Time   { return f.cfg.RetryWindow + f.cfg.ConnectTimeout }
func (f *Front) requestWindow() Time { return f.cfg.RetryWindow - f.cfg.ConnectTimeout }

// recordRetry counts a retry in the retry budget, for a slot longer rather than for less.
func (f *Front) recordRetry() {
	slot := slotOf(f.retryWindow())
	f.retries.add(f.now+slot, f.retryWindow()+slot, 1)
}

// send starts an attempt at a server.
func (f *Front) send(s *session, v *server, rung int) {
	f.waiting, s.heldUntil = removeSession(f.waiting, s), 0
	if f.inSlowStart(v) {
		f.slowStartTokens(v)
		v.slowStart.tokens--
	}
	if v.failed {
		v.trial = s
	}
	if s.attempts > 0 {
		f.recordRetry()
	}
	s.rung = rung
	s.attempts++
	s.tried = append(s.tried, v)
	f.assign(s, v)
	if s.rung != f.class(s).Floor || s.attempts > 1 {
		f.emit(Rate{s.ID, s.rung})
	}
	timeout := s.Deadline - f.now
	if !f.class(s).Paid && s.attempts < f.cfg.MaxAttempts && len(s.fallbacks) > 1 {
		timeout = min(timeout, Time(attemptPart*float64(f.class(s).SetupTarget)))
	}
	f.emit(Send{s.ID, v.Server, timeout})
}

// giveUp ends a request at once: it fails if its deadline has passed or a paid attempt may have run, and is
// refused otherwise.
func (f *Front) giveUp(s *session) {
	defer f.deleteSession(s)
	after := Time(0)
	if f.cfg.RetryAfter {
		after = Time(float64(f.cfg.MaxRetryAfter) *
			(minRetryAfterPart + (1-minRetryAfterPart)*f.rng.Float64()))
	}
	if f.now >= s.Deadline || s.mayHaveRun && f.class(s).Paid {
		f.emit(Fail{s.ID})
		return
	}
	f.emit(Refuse{s.ID, after})
}

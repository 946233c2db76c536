package policy

import "sort"

// Where a session is set up, and at which rung; when it is held, tried again or given up.

// candidates ranks the holders that may take a session now: by use, tally and distance.
func (f *Front) candidates(s *session) []*server {
	var list, cold []*server
	holders := f.holders(s)
	collect := func(evenOpen bool) {
		for _, v := range holders {
			if v == s.from || s.hasTried(v) || f.open(v, s) != evenOpen {
				continue
			}
			if f.cold(v) {
				if !v.failed && f.now >= v.coldUntil {
					cold = append(cold, v)
				}
				continue
			}
			v.score = f.busy(v) + tallyWeight*v.bad.sum(f.now, tallyWindow)
			if v.Zone != f.set.Zone {
				v.score += f.set.PriceCross
			}
			if s.from != nil && v.rack == s.from.rack {
				v.score++ // it was moved off that rack: only if nothing else has room
			}
			list = append(list, v)
		}
	}
	collect(false)
	if len(list) == 0 {
		for _, i := range f.rng.Perm(len(cold))[:min(len(cold), lookAt)] {
			f.inspect(cold[i], probeBlock) // it may tell that it is warm, and spare a refusal: never too dear
		}
	}
	// If all look bad, the trouble may lie elsewhere: a safe request may go to one all the same.
	if s.despite = len(list) == 0 && !f.class(s).Paid; s.despite {
		collect(true)
	}
	// Of holders alike, as those never heard from are, each front takes another first: in the order of the
	// list hundreds of fronts would all take the same.
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].score < list[j].score })
	return list[:min(len(list), listLen)]
}

// place sends a session to the best-ranked holder with room, or the next on its list. A paid one that may
// have run is never sent again nor refused; no second attempt goes out before the first one's outcome. What
// came too late, as to a front that stood still, is answered and not begun.
func (f *Front) place(s *session) {
	if f.now >= s.Deadline-lastTry || s.attempts > 0 && (s.attempts >= f.set.MaxAttempts ||
		s.unsure && f.class(s).Paid || !f.withinRetryBudget()) {
		f.giveUp(s)
		return
	}
	if s.attempts == 0 || len(s.list) == 0 {
		s.list = f.candidates(s)
	}
	seats := f.class(s).Seats
	free := seats <= 0 || f.count(s.Class, s.Title) < seats
	asked := false
	for _, v := range s.list[:min(len(s.list), lookAt)] {
		look := s.holding == 0 && s.attempts == 0 && v.score > lookFrom && (!f.set.Inline || f.unheard(v))
		asked = look && f.probe(v, probeStale) || asked
	}
	for _, v := range s.list {
		if asked {
			break // the choice rests on old news: hold a tick and look at the best
		}
		if !free || !v.listed || s.hasTried(v) || f.cold(v) || f.open(v, s) && !s.despite {
			continue
		}
		link, uplink := f.room(v, mark)
		if rung := f.highest(s, v, link, uplink, 0, 0); rung >= 0 {
			f.send(s, v, rung)
			return
		}
	}
	if s.holding == 0 {
		s.holding = min(f.now+holdSpan, s.Deadline-lastTry)
		f.waiting = append(f.waiting, s)
		f.do(Timer{tokenHeld, max(s.holding-f.now, 0)})
	}
	s.list = nil
	if f.now >= s.holding {
		f.giveUp(s)
	}
}

// retryHeld looks for room for the requests held: all, or those only whose time is up.
func (f *Front) retryHeld(due bool) {
	for _, s := range append([]*session(nil), f.waiting...) {
		if !due || f.now >= s.holding {
			f.place(s)
		}
	}
}

// withinRetryBudget keeps further attempts within a stated budget, against storms of retries, in every window
// that ends where one is sent: it may wait for a connection until then, so those before count longer by that
// and requests shorter. A new front can't know what its earlier life spent: for one window nothing is spare.
// Harm: few are tried again then.
func (f *Front) withinRetryBudget() bool {
	if !f.set.Budgeted {
		return true
	}
	span, late, spare := f.set.BudgetSpan, f.set.ConnectWait, f.set.SpareAttempts
	if f.now-f.born < span {
		spare = 0
	}
	return f.extra.sum(f.now, span+late)+1 <= spare+f.set.Ratio*f.taken.sum(f.now, span-late)
}

func (f *Front) send(s *session, v *server, rung int) {
	f.waiting, s.holding = drop(f.waiting, s), 0
	if f.inSlowStart(v) {
		f.slowStartTokens(v)
		v.slowStart.tokens--
	}
	if v.failed {
		v.trial = s
	}
	if s.attempts > 0 {
		f.extra.add(f.now, 1)
	}
	s.rung = rung
	s.attempts++
	s.tried = append(s.tried, v)
	f.enter(s, v)
	if s.rung != f.class(s).Floor || s.attempts > 1 {
		f.do(Rate{s.ID, s.rung})
	}
	timeout := s.Deadline - f.now
	if !f.class(s).Paid && s.attempts < f.set.MaxAttempts && len(s.list) > 1 {
		timeout = min(timeout, Time(tryShare*float64(f.class(s).Aim)))
	}
	f.do(Send{s.ID, v.Server, timeout})
}

// giveUp ends a request at once.
func (f *Front) giveUp(s *session) {
	defer f.forget(s)
	after := Time(0)
	if f.set.RetryAfter {
		after = Time(float64(f.set.MaxRetry) * (waitLeast + (1-waitLeast)*f.rng.Float64()))
	}
	if f.now >= s.Deadline || s.unsure && f.class(s).Paid {
		f.do(Fail{s.ID})
		return
	}
	f.do(Refuse{s.ID, after})
}

package ledger

import (
	"fmt"
	"slices"
)

// The effect of each kind of entry on a work. An entry that does not fit the state changes nothing and gives the
// reason: it comes from a former leader, a repeated command or a late reply.

// applyEntry applies an entry to the state.
func (s *State) applyEntry(index uint64, e *Entry) ([]Change, Answer) {
	if e.Kind == KindAsk {
		return s.addWork(index, e)
	}
	w := s.Work(e.ID)
	if w == nil {
		return nil, Answer{e.ID, fmt.Sprintf("no work %d", e.ID)}
	}
	reject := func(format string, args ...any) ([]Change, Answer) {
		return nil, Answer{e.ID, fmt.Sprintf(format, args...)}
	}
	switch e.Kind {
	case KindGrant:
		// Two leaders, one of an earlier term, may each decide a grant without knowing the other's; together the grants
		// would take too much out of service. A grant names the last grant that it was decided on, and fails if there
		// is a newer one.
		if w.Phase != Asked || e.Basis != s.LastGrant {
			return reject("work %d is %s; the last grant was %d, not %d", w.ID, w.Phase, s.LastGrant, e.Basis)
		}
		w.Fence, s.LastGrant = index, index
		return s.setPhase(w, e, Granted), Answer{ID: w.ID}
	case KindAdvance:
		if w.Fence != e.Fence || w.Phase != e.PrevPhase || !isNextPhase(e.PrevPhase, e.NextPhase) {
			return reject("work %d is %s under grant %d", w.ID, w.Phase, w.Fence)
		}
		return s.setPhase(w, e, e.NextPhase), Answer{ID: w.ID}
	case KindRefuse:
		if w.Phase != Asked {
			return reject("work %d is %s", w.ID, w.Phase)
		}
		return s.setPhase(w, e, Refused), Answer{ID: w.ID}
	case KindCancel:
		switch w.Phase {
		case Asked, Granted, Draining: // no work was done on the servers yet: they need no warm-up
			return s.setPhase(w, e, Cancelled), Answer{ID: w.ID}
		}
		return reject("work %d is %s: it can't be cancelled", w.ID, w.Phase)
	case KindDone:
		switch w.Phase {
		case Out, Draining, Granted:
			return s.setPhase(w, e, Back), Answer{ID: w.ID}
		}
		return reject("work %d is %s: it is not out", w.ID, w.Phase)
	}
	return reject("no kind of entry: %.32q", e.Kind)
}

// isNextPhase reports whether an advance may move work from one phase to the other.
func isNextPhase(from, to Phase) bool {
	switch from {
	case Granted: // back to requested if something failed meanwhile: no work was done yet
		return to == Draining || to == Asked
	case Draining:
		return to == Out || to == Asked
	case Out:
		return to == Back
	case Back:
		return to == Done
	}
	return false
}

// addWork adds the requested work.
func (s *State) addWork(index uint64, e *Entry) ([]Change, Answer) {
	if e.Ask == nil || len(e.Ask.Servers)+len(e.Ask.Fronts) == 0 || e.Ask.For <= 0 {
		return nil, Answer{Err: "an ask without machines or without its time"}
	}
	open := 0
	for _, w := range s.Works {
		if !w.Phase.Ended() {
			open++
		}
	}
	if open >= MaxOpenWorks {
		return nil, Answer{Err: fmt.Sprintf("%d works are open, %d may be", open, MaxOpenWorks)}
	}
	w := &Work{ID: index, Ask: *e.Ask, From: e.From, Asked: s.Now, Phase: Asked, Since: s.Now}
	s.Works = append(s.Works, w)
	return []Change{{Work: *w, From: e.From}}, Answer{ID: index}
}

// setPhase changes the phase of a work and deletes the oldest ended works beyond MaxEndedWorks.
func (s *State) setPhase(w *Work, e *Entry, to Phase) []Change {
	previous := w.Phase
	w.Phase, w.Since, w.Until, w.Why = to, s.Now, e.Deadline, e.Reason
	if to == Out {
		w.Out = s.Now
	}
	change := Change{Work: *w, Was: previous, From: e.From}
	if to.Ended() {
		ended := 0
		for _, other := range s.Works {
			if other.Phase.Ended() {
				ended++
			}
		}
		for i := 0; ended > MaxEndedWorks && i < len(s.Works); {
			if s.Works[i].Phase.Ended() {
				s.Works = slices.Delete(s.Works, i, i+1)
				ended--
			} else {
				i++
			}
		}
	}
	return []Change{change}
}

// Reserved returns the servers and fronts that take no new sessions, with the work that reserves each.
func (s *State) Reserved() (servers map[uint32]uint64, fronts map[string]uint64) {
	servers, fronts = map[uint32]uint64{}, map[string]uint64{}
	for _, w := range s.Works {
		if !w.Phase.Reserved() {
			continue
		}
		for _, p := range w.Ask.Servers {
			servers[p.Server] = w.ID
		}
		for _, f := range w.Ask.Fronts {
			fronts[f] = w.ID
		}
	}
	return servers, fronts
}

// Returned returns the servers that have just come back from work, and since when.
func (s *State) Returned() map[uint32]Time {
	returnedAt := map[uint32]Time{}
	for _, w := range s.Works {
		if w.Phase == Back && w.Out > 0 {
			for _, p := range w.Ask.Servers {
				returnedAt[p.Server] = max(returnedAt[p.Server], w.Since)
			}
		}
	}
	return returnedAt
}

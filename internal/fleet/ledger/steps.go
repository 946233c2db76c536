package ledger

import (
	"fmt"
	"slices"
)

// The effect of each kind of entry on a work. An entry that does not fit the state changes nothing and gives the
// reason: it comes from a former leader, a repeated command or a late reply.

// applyEntry applies an entry to the state.
func (s *State) applyEntry(index uint64, e *Entry) ([]Change, CommandResult) {
	if e.Kind == KindRequest {
		return s.addWork(index, e)
	}
	w := s.Work(e.ID)
	if w == nil {
		return nil, CommandResult{e.ID, fmt.Sprintf("no work %d", e.ID)}
	}
	reject := func(format string, args ...any) ([]Change, CommandResult) {
		return nil, CommandResult{e.ID, fmt.Sprintf(format, args...)}
	}
	switch e.Kind {
	case KindGrant:
		// Two leaders, one of an earlier term, may each decide a grant without knowing the other's; together the grants
		// would take too much out of service. A grant names the last grant that it was decided on, and fails if there
		// is a newer one.
		if w.Phase != Requested || e.Basis != s.LastGrant {
			return reject("work %d is %s; the last grant was %d, not %d", w.ID, w.Phase, s.LastGrant, e.Basis)
		}
		w.Fence, s.LastGrant = index, index
		return s.setPhase(w, e, Granted), CommandResult{ID: w.ID}
	case KindAdvance:
		if w.Fence != e.Fence || w.Phase != e.PrevPhase || !isNextPhase(e.PrevPhase, e.NextPhase) {
			return reject("work %d is %s under grant %d", w.ID, w.Phase, w.Fence)
		}
		return s.setPhase(w, e, e.NextPhase), CommandResult{ID: w.ID}
	case KindRefuse:
		if w.Phase != Requested {
			return reject("work %d is %s", w.ID, w.Phase)
		}
		return s.setPhase(w, e, Refused), CommandResult{ID: w.ID}
	case KindCancel:
		switch w.Phase {
		case Requested, Granted, Draining: // no work was done on the servers yet: they need no warm-up
			return s.setPhase(w, e, Cancelled), CommandResult{ID: w.ID}
		}
		return reject("work %d is %s: it can't be cancelled", w.ID, w.Phase)
	case KindDone:
		switch w.Phase {
		case Out, Draining, Granted:
			return s.setPhase(w, e, Back), CommandResult{ID: w.ID}
		}
		return reject("work %d is %s: it is not out", w.ID, w.Phase)
	}
	return reject("no kind of entry: %.32q", e.Kind)
}

// isNextPhase reports whether an advance may move work from one phase to the other.
func isNextPhase(from, to Phase) bool {
	switch from {
	case Granted: // back to requested if something failed meanwhile: no work was done yet
		return to == Draining || to == Requested
	case Draining:
		return to == Out || to == Requested
	case Out:
		return to == Back
	case Back:
		return to == Done
	}
	return false
}

// addWork adds the requested work.
func (s *State) addWork(index uint64, e *Entry) ([]Change, CommandResult) {
	if e.Request == nil || len(e.Request.Servers)+len(e.Request.Fronts) == 0 || e.Request.WorkDuration <= 0 {
		return nil, CommandResult{Err: "an ask without machines or without its time"}
	}
	open := 0
	for _, w := range s.Works {
		if !w.Phase.Ended() {
			open++
		}
	}
	if open >= MaxOpenWorks {
		return nil, CommandResult{Err: fmt.Sprintf("%d works are open, %d may be", open, MaxOpenWorks)}
	}
	w := &Work{ID: index, Request: *e.Request, From: e.From, RequestedAt: s.Now, Phase: Requested, Since: s.Now}
	s.Works = append(s.Works, w)
	return []Change{{Work: *w, From: e.From}}, CommandResult{ID: index}
}

// setPhase changes the phase of a work and deletes the oldest ended works beyond MaxEndedWorks.
func (s *State) setPhase(w *Work, e *Entry, to Phase) []Change {
	previous := w.Phase
	w.Phase, w.Since, w.Deadline, w.Reason = to, s.Now, e.Deadline, e.Reason
	if to == Out {
		w.OutAt = s.Now
	}
	change := Change{Work: *w, PrevPhase: previous, From: e.From}
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
		for _, p := range w.Request.Servers {
			servers[p.Server] = w.ID
		}
		for _, f := range w.Request.Fronts {
			fronts[f] = w.ID
		}
	}
	return servers, fronts
}

// Returned returns the servers that have just come back from work, and since when.
func (s *State) Returned() map[uint32]Time {
	returnedAt := map[uint32]Time{}
	for _, w := range s.Works {
		if w.Phase == Back && w.OutAt > 0 {
			for _, p := range w.Request.Servers {
				returnedAt[p.Server] = max(returnedAt[p.Server], w.Since)
			}
		}
	}
	return returnedAt
}

package ledger

import (
	"fmt"
	"slices"
)

// What each kind of entry does to a work. A step that does not fit the state changes nothing and says why: it comes from
// a leader that has been replaced, from a command given twice, or from an answer that came late.

// step carries an entry out.
func (s *State) step(index uint64, e *Entry) ([]Change, Answer) {
	if e.Kind == KindAsk {
		return s.ask(index, e)
	}
	w := s.Work(e.ID)
	if w == nil {
		return nil, Answer{e.ID, fmt.Sprintf("no work %d", e.ID)}
	}
	refused := func(format string, args ...any) ([]Change, Answer) {
		return nil, Answer{e.ID, fmt.Sprintf(format, args...)}
	}
	switch e.Kind {
	case KindGrant:
		// Danger: two leaders, one of them of the past, each weighed its grant without the other's; together they would take
		// too much down. A grant names the last one that it was weighed against, and fails if there is a newer.
		if w.Phase != Asked || e.Basis != s.Granted {
			return refused("work %d is %s; the last grant was %d, not %d", w.ID, w.Phase, s.Granted, e.Basis)
		}
		w.Fence, s.Granted = index, index
		return s.turn(w, e, Granted), Answer{ID: w.ID}
	case KindAdvance:
		if w.Fence != e.Fence || w.Phase != e.Was || !follows(e.Was, e.To) {
			return refused("work %d is %s under grant %d", w.ID, w.Phase, w.Fence)
		}
		return s.turn(w, e, e.To), Answer{ID: w.ID}
	case KindRefuse:
		if w.Phase != Asked {
			return refused("work %d is %s", w.ID, w.Phase)
		}
		return s.turn(w, e, Refused), Answer{ID: w.ID}
	case KindCancel:
		switch w.Phase {
		case Asked, Granted, Draining: // nothing was touched yet: the servers are as warm as they were
			return s.turn(w, e, Cancelled), Answer{ID: w.ID}
		}
		return refused("work %d is %s: it can't be cancelled", w.ID, w.Phase)
	case KindDone:
		switch w.Phase {
		case Out, Draining, Granted:
			return s.turn(w, e, Back), Answer{ID: w.ID}
		}
		return refused("work %d is %s: it is not out", w.ID, w.Phase)
	}
	return refused("no kind of entry: %.32q", e.Kind)
}

// follows tells which phases follow which of themselves.
func follows(was, to Phase) bool {
	switch was {
	case Granted: // taken back, if something failed meanwhile: nothing was touched yet
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

func (s *State) ask(index uint64, e *Entry) ([]Change, Answer) {
	if e.Ask == nil || len(e.Ask.Servers)+len(e.Ask.Fronts) == 0 || e.Ask.For <= 0 {
		return nil, Answer{Err: "an ask without machines or without its time"}
	}
	open := 0
	for _, w := range s.Works {
		if !w.Phase.Ended() {
			open++
		}
	}
	if open >= OpenMost {
		return nil, Answer{Err: fmt.Sprintf("%d works are open, %d may be", open, OpenMost)}
	}
	w := &Work{ID: index, Ask: *e.Ask, From: e.From, Asked: s.Now, Phase: Asked, Since: s.Now}
	s.Works = append(s.Works, w)
	return []Change{{Work: *w, From: e.From}}, Answer{ID: index}
}

// turn moves a work on and forgets the oldest of those that ended.
func (s *State) turn(w *Work, e *Entry, to Phase) []Change {
	was := w.Phase
	w.Phase, w.Since, w.Until, w.Why = to, s.Now, e.Until, e.Why
	if to == Out {
		w.Out = s.Now
	}
	change := Change{Work: *w, Was: was, From: e.From}
	if to.Ended() {
		ended := 0
		for _, o := range s.Works {
			if o.Phase.Ended() {
				ended++
			}
		}
		for i := 0; ended > EndedMost && i < len(s.Works); {
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

// Kept gives the servers and fronts that nothing new may go to, with the work that keeps each.
func (s *State) Kept() (servers map[uint32]uint64, fronts map[string]uint64) {
	servers, fronts = map[uint32]uint64{}, map[string]uint64{}
	for _, w := range s.Works {
		if !w.Phase.Kept() {
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

// Returned gives the servers that have just come back from work, and since when.
func (s *State) Returned() map[uint32]Time {
	back := map[uint32]Time{}
	for _, w := range s.Works {
		if w.Phase == Back && w.Out > 0 {
			for _, p := range w.Ask.Servers {
				back[p.Server] = max(back[p.Server], w.Since)
			}
		}
	}
	return back
}

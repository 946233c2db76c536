package attempts

import (
	"tealledge/internal/front"
	"tealledge/policy"
)

// Mutation is a fault put into the front on purpose, to show that it is found: in what the shell carries between core,
// desk and sockets, or in the module.
type Mutation string

// Faults of the shell.
const (
	NoTeardown   Mutation = "an attempt that is given up on is not torn down"
	NoWithdraw   Mutation = "a drain notice does not take back what was not sent"
	LateWithdraw Mutation = "the grace is off by one tick: what was not sent is taken back at the next one"
	NoStop       Mutation = "a stream is not torn down when its player leaves"
	WrongRung    Mutation = "the rung is left out of a set-up"
	NeverRan     Mutation = "what may have run is taken for never run"
	LostUnread   Mutation = "a lost connection counts as never written to"
	Twice        Mutation = "time-out and success at one instant are both taken"
	NoGhosts     Mutation = "a front that starts anew forgets the seats that its earlier life may hold"
	NotCleared   Mutation = "an attempt given up on is not cleared"
)

// mutated applies a fault to an effect; ok is false if it is not carried out.
func (w *world) mutated(e front.Effect) (out front.Effect, ok bool) {
	switch x := e.(type) {
	case front.Abandon:
		return e, w.cfg.Mutate != NoTeardown
	case front.Withdraw:
		if w.cfg.Mutate == LateWithdraw {
			w.slow = append(w.slow, e)
		}
		return e, w.cfg.Mutate != NoWithdraw && w.cfg.Mutate != LateWithdraw
	case front.Stop:
		return e, w.cfg.Mutate != NoStop
	case front.Setup:
		if w.cfg.Mutate == WrongRung {
			x.Rung = 0
			return x, true
		}
	}
	return e, true
}

// misheard applies a fault to an event for the core.
func (w *world) misheard(e front.Event) []front.Event {
	switch x := e.(type) {
	case front.AttemptStarted:
		if w.cfg.Mutate == Twice && w.due {
			return []front.Event{front.AttemptEnded{Session: x.Session, Attempt: x.Attempt, Status: policy.TimedOut}, x}
		}
	case front.AttemptEnded:
		if w.cfg.Mutate == NeverRan && x.Status != policy.OK {
			x.Status = policy.NoConnect
			return []front.Event{x}
		}
		if w.cfg.Mutate == NotCleared && x.Status == policy.Cancelled {
			return nil
		}
	}
	return []front.Event{e}
}

// Faulty is a module with a fault.
type Faulty struct {
	front.Module
	Fault Fault
}

// Fault is a fault of a module.
type Fault string

// Faults of the module.
const (
	SendsTwice   Fault = "it sends twice at once"
	AnswersTwice Fault = "it answers twice"
	PaidAgain    Fault = "it sends a paid session again on a guess"
	PaidRefused  Fault = "it refuses a paid session on a guess"
	Forgets      Fault = "it forgets a request"
	SendsDrained Fault = "it sends to a drained server"
	SeatFreed    Fault = "it frees a seat while the stream plays"
	ForgetsCold  Fault = "started anew it forgets the cold time"
	BudgetEdge   Fault = "its budget window is half as long"
	UnderFloor   Fault = "it lowers under the floor"
)

// WithFault makes modules with a fault, for Config.Module.
func WithFault(fault Fault) func(policy.Settings, int) front.Module {
	return func(set policy.Settings, boot int) front.Module {
		switch {
		case fault == ForgetsCold && boot > 0:
			set.WarmupTime = 0
		case fault == BudgetEdge:
			set.RetryWindow /= 2
		}
		return &Faulty{Module: policy.New(set, 1), Fault: fault}
	}
}

// Handle has the module decide, and spoils it.
func (f *Faulty) Handle(now policy.Time, e policy.Event) (acts []policy.Action) {
	switch x := e.(type) {
	case policy.Outcome:
		if f.Fault == Forgets {
			return nil
		}
	case policy.Request:
		if f.Fault == SendsDrained {
			return []policy.Action{policy.Send{ID: x.ID, Server: 1}}
		}
	}
	acts = append(acts, f.Module.Handle(now, e)...)
	if p, ok := e.(policy.Playing); ok && f.Fault == SeatFreed {
		acts = append(acts, f.Module.Handle(now, policy.Outcome{ID: p.ID, Attempt: p.Attempt, Server: p.Server, Final: true})...)
	}
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok {
			if f.Fault == SendsTwice {
				acts = append(acts, policy.Send{ID: s.ID, Server: 3 - s.Server})
			}
		}
	}
	if o, ok := e.(policy.Outcome); ok && !o.Final && o.Status != policy.OK {
		switch f.Fault {
		case AnswersTwice, PaidRefused:
			acts = append([]policy.Action{policy.Refuse{ID: o.ID}}, acts...)
		case PaidAgain:
			acts = append([]policy.Action{policy.Send{ID: o.ID, Server: 3 - o.Server}}, acts...)
		}
	}
	if p, ok := e.(policy.Playing); ok && f.Fault == UnderFloor {
		acts = append(acts, policy.Rate{ID: p.ID, Rung: 0})
	}
	return acts
}

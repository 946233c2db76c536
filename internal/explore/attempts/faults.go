package attempts

import (
	"tealledge/internal/front"
	"tealledge/policy"
)

// Mutation is a fault seeded in the shell, in what it passes between core, protocol and sockets, to show that the
// search finds it. Its text is the value of a flag.
type Mutation string

// Seeded faults of the shell.
const (
	NoTeardown       Mutation = "an attempt that is given up on is not torn down"
	NoWithdraw       Mutation = "a drain notice does not take back what was not sent"
	LateWithdraw     Mutation = "the grace is off by one tick: what was not sent is taken back at the next one"
	NoStop           Mutation = "a stream is not torn down when its player leaves"
	WrongRung        Mutation = "the rung is left out of a set-up"
	AssumesNeverRan  Mutation = "what may have run is taken for never run"
	AssumesUnwritten Mutation = "a lost connection counts as never written to"
	DuplicateOutcome Mutation = "time-out and success at one instant are both taken"
	ForgetsSeats     Mutation = "a front that starts anew forgets the seats that its earlier life may hold"
	NotCleared       Mutation = "an attempt given up on is not cleared"
)

// mutateEffect applies the seeded fault to an effect. ok is false if the effect is dropped.
func (w *world) mutateEffect(e front.Effect) (out front.Effect, ok bool) {
	switch x := e.(type) {
	case front.Abandon:
		return e, w.cfg.Mutate != NoTeardown
	case front.Withdraw:
		if w.cfg.Mutate == LateWithdraw {
			w.delayedEffects = append(w.delayedEffects, e)
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

// mutateEvent applies the seeded fault to an event for the core.
func (w *world) mutateEvent(e front.Event) []front.Event {
	switch x := e.(type) {
	case front.AttemptStarted:
		if w.cfg.Mutate == DuplicateOutcome && w.timersDue {
			return []front.Event{front.AttemptEnded{Session: x.Session, Attempt: x.Attempt, Status: policy.TimedOut}, x}
		}
	case front.AttemptEnded:
		if w.cfg.Mutate == AssumesNeverRan && x.Status != policy.OK {
			x.Status = policy.NoConnect
			return []front.Event{x}
		}
		if w.cfg.Mutate == NotCleared && x.Status == policy.Cancelled {
			return nil
		}
	}
	return []front.Event{e}
}

// Faulty is a module with a seeded fault.
type Faulty struct {
	front.Module
	Fault Fault
}

// Fault is a fault seeded in the module. Its text is the value of a flag.
type Fault string

// Seeded faults of the module.
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

// WithFault returns a function for Config.Module that creates modules with a fault.
func WithFault(fault Fault) func(policy.Settings, int) front.Module {
	return func(settings policy.Settings, boot int) front.Module {
		switch {
		case fault == ForgetsCold && boot > 0:
			settings.WarmupTime = 0
		case fault == BudgetEdge:
			settings.RetryWindow /= 2
		}
		return &Faulty{Module: policy.New(settings, 1), Fault: fault}
	}
}

// Handle passes an event to the module and applies the fault to its actions.
func (f *Faulty) Handle(now policy.Time, e policy.Event) (actions []policy.Action) {
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
	actions = append(actions, f.Module.Handle(now, e)...)
	if p, ok := e.(policy.Playing); ok && f.Fault == SeatFreed {
		actions = append(actions, f.Module.Handle(now, policy.Outcome{ID: p.ID, Attempt: p.Attempt, Server: p.Server,
			Final: true})...)
	}
	for _, a := range actions {
		if s, ok := a.(policy.Send); ok {
			if f.Fault == SendsTwice {
				actions = append(actions, policy.Send{ID: s.ID, Server: 3 - s.Server})
			}
		}
	}
	if o, ok := e.(policy.Outcome); ok && !o.Final && o.Status != policy.OK {
		switch f.Fault {
		case AnswersTwice, PaidRefused:
			actions = append([]policy.Action{policy.Refuse{ID: o.ID}}, actions...)
		case PaidAgain:
			actions = append([]policy.Action{policy.Send{ID: o.ID, Server: 3 - o.Server}}, actions...)
		}
	}
	if p, ok := e.(policy.Playing); ok && f.Fault == UnderFloor {
		actions = append(actions, policy.Rate{ID: p.ID, Rung: 0})
	}
	return actions
}

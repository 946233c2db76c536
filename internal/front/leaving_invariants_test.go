package front

import (
	"testing"

	"pgregory.net/rapid"

	"tealledge/decide/outcome"
	"tealledge/decide/shutdown"
	"tealledge/policy"
)

// shutdownOrder drives a core through random events around a shutdown and checks its effects.
type shutdownOrder struct {
	*rapid.T
	core       *Core
	now        Time
	answerBy   Time // 0: no shutdown yet
	lastID     uint64
	paid       map[uint64]bool
	open       map[uint64]bool
	out        map[uint64]Setup // attempts in flight at a server
	mayHaveRun map[uint64]bool
}

// run checks the effects of a call. Abandoned attempts are confirmed at once, as the shell does.
func (o *shutdownOrder) run(effects []Effect) {
	var abandoned []Abandon
	for _, e := range append([]Effect(nil), effects...) {
		switch e := e.(type) {
		case Setup:
			if _, twice := o.out[e.Session]; twice || o.answerBy != 0 && o.now >= o.answerBy {
				o.Fatalf("set-up %+v while one is out, or after the end of the plan", e)
			}
			o.out[e.Session] = e
		case Abandon:
			abandoned = append(abandoned, e)
		case Plays:
			o.answered(e.Session)
		case Failed:
			o.answered(e.Session)
		case Refused:
			_, out := o.out[e.Session]
			if o.paid[e.Session] && (o.mayHaveRun[e.Session] || out) {
				o.Fatalf("paid request %d is refused and may have run", e.Session)
			}
			o.answered(e.Session)
		case Fault:
			o.Fatalf("fault: %s", e.Text)
		}
	}
	for _, a := range abandoned {
		o.end(a.Session, outcome.StatusOf(outcome.Written, a.Cause, 0))
	}
}

// answered checks that a request gets one answer, and not after the end of the plan.
func (o *shutdownOrder) answered(id uint64) {
	if !o.open[id] {
		o.Fatalf("answer for request %d, which has none open", id)
	}
	delete(o.open, id)
}

// end ends an attempt in flight.
func (o *shutdownOrder) end(id uint64, status policy.Status) {
	s, ok := o.out[id]
	if !ok {
		return
	}
	delete(o.out, id)
	o.mayHaveRun[id] = o.mayHaveRun[id] || !outcome.NeverRan(status)
	o.run(o.core.Step(o.now, AttemptEnded{Session: id, Attempt: s.Attempt, Status: status}))
}

// advance lets time pass to a point of time. Timers fire late by up to a given delay.
func (o *shutdownOrder) advance(to, delay Time) {
	for o.now < to {
		o.now = min(o.now+max(delay, ms), to)
		o.run(o.core.Advance(o.now))
		if o.answerBy != 0 && o.now >= o.answerBy && len(o.open) > 0 {
			o.Fatalf("%d requests without an answer at the end of the plan", len(o.open))
		}
	}
}

// pick returns a random attempt in flight, or false.
func (o *shutdownOrder) pick(t *rapid.T) (id uint64, ok bool) {
	if len(o.out) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(sortedKeys(o.out)).Draw(t, "attempt"), true
}

// Whatever the order of requests, outcomes, departures and a shutdown, every request gets one answer before the end of
// the plan, no set-up is sent after it, and no paid request is refused that may have run.
func TestShutdownInvariantsUnderAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &shutdownOrder{T: t, core: newTrustingCore(), now: start, paid: map[uint64]bool{}, open: map[uint64]bool{},
			out: map[uint64]Setup{}, mayHaveRun: map[uint64]bool{}}
		o.run(o.core.Step(o.now, Listed{policy.List{Kind: policy.ListFull, Entries: entries(policy.Ready, 1, 2, 3)}}))
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				o.lastID++
				id, class := o.lastID, rapid.IntRange(0, 2).Draw(t, "class")
				o.paid[id], o.open[id] = class == 1, true
				timeout := Time(rapid.IntRange(1, 6000).Draw(t, "timeout")) * ms
				o.run(o.core.Step(o.now, Request{ID: id, ReadAt: o.now, Timeout: timeout, Title: 5, Copies: 3, Class: class,
					Viewer: id, Top: 3, Text: "who"}))
			},
			"answer": func(t *rapid.T) {
				if id, ok := o.pick(t); ok {
					s := o.out[id]
					delete(o.out, id)
					o.run(o.core.Step(o.now, AttemptStarted{Session: id, Attempt: s.Attempt, Text: "mine"}))
				}
			},
			"outcome": func(t *rapid.T) {
				if id, ok := o.pick(t); ok {
					o.end(id, rapid.SampledFrom([]policy.Status{policy.Errored, policy.Full, policy.ConnReset,
						policy.NoConnect, policy.NotSent}).Draw(t, "status"))
				}
			},
			"leave": func(t *rapid.T) {
				if len(o.open) > 0 {
					id := rapid.SampledFrom(sortedKeys(o.open)).Draw(t, "request")
					delete(o.open, id)
					o.run(o.core.Step(o.now, Leave{Session: id}))
				}
			},
			"time": func(t *rapid.T) {
				o.advance(o.now+Time(rapid.IntRange(1, 1500).Draw(t, "ms"))*ms,
					Time(rapid.IntRange(1, 60).Draw(t, "delay"))*ms)
			},
			"shutdown": func(t *rapid.T) {
				if o.answerBy == 0 {
					plan := shutdown.NewPlan(o.now + Time(rapid.IntRange(900, 3700).Draw(t, "kill"))*ms)
					o.answerBy = plan.AnswerBy
					o.run(o.core.Step(o.now, Shutdown{plan}))
				}
			},
		})
	})
}

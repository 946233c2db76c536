// The decision module. Its interface (settings, events, actions) is policy/api.go; records and
// counters without judgement are policy/state.go. The mechanism is HyperEdge's device selection
// (section 4.2.3) as the design page gives it: filter, rank, fallback list, rung rule, moves.
package policy

// Tuned values, each with its reason. Those marked "page" are the design page's starting values.
const (
	mark      = 0.95 // use a set-up may bring a link to (page: 0.85); rates wander
	listLen   = 20   // holders on the fallback list (page, and the paper's K)
	moveShare = 0.9  // a share under this (page)
	moveNotes = 2    // on so many notes lets sessions move (page)

	tallyWindow, tallyWeight = 10 * Second, 0.1        // how long failures count; the use each counts for
	holdSpan                 = 300 * Millisecond       // a brief hold: three looks for room
	tick, askAgain           = Second / 10, 1 * Second // housekeeping; a failed list call is repeated
	tryShare, lastTry        = 0.42, Second / 50       // of the aim an attempt, so two fit; none begun later

	reportLag, keepChanges  = 4 * Second / 10, 5 * Second // age of a report that comes; past any lateness
	staleHalf, meanBlend    = 8 * Second, 0.1             // a report's half-life; its weight in the average
	alikeAll                = 5.0                         // others that an own addition counts for in full
	blend, blendWithin      = 0.5, 4 * Second             // noisy: its weight against an estimate this fresh
	meanStart               = 0.4                         // others' use before any report: a moderate day
	rackTogether, rackLike  = 3 * Second / 2, 0.08        // short within this and alike: the uplink
	probeEach, probeCost    = 1.2, 0.032                  // probes a request earns; their part of G at most
	probesStart, probesMost = 4.0, 20.0                   // at the start: a look; saved
	probeBlock, probeStale  = 1 * Second, 2 * Second      // age to probe at if all may be cold, else

	backoffMin, backoffMax = 1 * Second, 8 * Second // breaker's pauses: outages last 5 to 30 s
	errorsTrip             = 2                      // failures that open it
	hungShare, shareLeast  = 0.1, 0.5               // under it, it stands still; none tells more use than 2
	slowStartPart          = 0.5                    // part of the pushing-over pace all fronts may use
	busyIsWarm             = 0.25                   // use by others that one just started lacks, at most

	fullShare, shortNote  = 0.98, 0.95             // all is delivered; a share that calls for lower rungs
	shedTarget, shedPause = 0.95, 12 * Second / 10 // use it aims for; its effect shows this late
	leaveMost             = 0.4                    // spare the highest rung must leave, of a link
	guessLeave            = 0.15                   // spare that all but the floor leave where all is a guess
	lookFrom              = 0.6                    // rank from which a choice needs the report
	lookAt                = 2                      // best holders a look takes: two give most of it
	leaveFrom             = 1.0                    // from so many rungs under the rack's mean
	moveLasts, moveGap    = 3 * Second, 1.0        // shortness expected for each note; seconds a move costs
	movesPerS, movesBurst = 2.0, 6                 // the front-wide pace of moves
	raiseGap, raiseCalm   = 0.06, 4 * Second       // spare under the mark, and calm, for a raise
	raiseFresh, restRung  = 8 * Second, 5 * Second // oldest report for it; rest between changes
	changeTimes           = 3.0                    // a raise earns its price so often: it may be undone
	remains               = 20 * Second            // a session lasts so long yet, without a hint
	typicalOver           = 50.0                   // first tries that a typical worth is averaged over
	pastMost              = 1000                   // moved viewers remembered
	waitLeast             = 0.85                   // least part of the longest come-back time told
)

// Tokens of the timers.
const (
	tokenTick uint32 = iota // housekeeping
	tokenHeld               // a held request's time is up
	tokenAsk                // the server list is to be asked for again
)

// New makes a front.
func New(set Settings, seed uint64) *Front {
	f := newFront(set, seed)
	f.born, f.mean, f.meanUp, f.probes = -1, meanStart, meanStart, probesStart
	return f
}

// Handle takes an event and gives the actions that follow from it. Events about what this front
// does not hold are ignored.
func (f *Front) Handle(now Time, event Event) []Action {
	f.now, f.out = now, nil
	if f.born < 0 {
		f.born = now
		f.do(Timer{tokenTick, tick})
		if f.set.AskList {
			f.do(Follow{})
		}
	}
	f.dispatch(event)
	return f.out
}

func (f *Front) list(l List) {
	if l.Kind == ListFailed {
		f.do(Timer{tokenAsk, askAgain}) // an old list is better than none, but not for long
		return
	}
	f.starts = f.starts || l.Kind == ListFull
	if l.Kind != ListDelta {
		for _, v := range f.fleet.order {
			v.listed = false
		}
	}
	for _, e := range l.Entries {
		v, restarted := f.book(e)
		if restarted { // what was known of the old process says nothing of the new one
			v.link.told, v.openUntil, v.backoff, v.failed = false, 0, 0, false
			v.slowStart = bucket{tokens: f.rng.Float64(), at: f.now}
		}
		// A start that lies ahead is of a clock that was set: it was not before now.
		if started := min(e.Started, f.now); started > 0 && started+f.set.ColdSpan > f.now {
			v.coldUntil = max(v.coldUntil, started+f.set.ColdSpan)
		}
	}
	f.shelve()
}

package policy

// This file holds the parameters of the decisions, the entry points New and Handle, and the processing of
// server lists. The interface (settings, events, actions) is in api.go; records and counters without
// decisions are in state.go and records.go. The method is the device selection of HyperEdge (section 4.2.3)
// as the design page describes it: filter, rank, fallback list, rung rule, moves.

// Parameters of the decisions. Those marked "design page" have its starting values.
const (
	// maxUse is the highest use that a set-up may bring a link to. The rest is needed because rates vary.
	maxUse         = 0.95 // design page: 0.85
	maxFallbacks   = 20   // holders on the fallback list (design page; K in the paper)
	moveBelowShare = 0.9  // delivered share that counts towards a move (design page)
	moveAfterNotes = 2    // consecutive notes below moveBelowShare that allow moves (design page)

	// A failure adds failureWeight of use to a server's score for failureWindow.
	failureWindow, failureWeight = 10 * Second, 0.1
	// holdTimeout is short: it covers three searches for capacity, one a tick.
	holdTimeout = 300 * Millisecond
	// Housekeeping runs each tickInterval; a failed list request is repeated after listRetryDelay.
	tickInterval, listRetryDelay = Second / 10, 1 * Second
	// An attempt takes attemptPart of the set-up target, so that two fit. None starts with less than
	// minAttemptTime left before the deadline.
	attemptPart, minAttemptTime = 0.42, Second / 50

	// reportDelay is the assumed age of a report on arrival; changeTTL is longer than any report is
	// delayed.
	reportDelay, changeTTL = 4 * Second / 10, 5 * Second
	// reportHalfLife is the age at which a report weighs half; meanWeight is its weight in the mean use.
	reportHalfLife, meanWeight = 8 * Second, 0.1
	maxFullPeers               = 5.0 // other fronts that an own addition counts for in full
	// Reports are noisy: reportWeight is the weight of a new one against an estimate less than blendWindow
	// older.
	reportWeight, blendWindow = 0.5, 4 * Second
	initialMeanUse            = 0.4 // other fronts' use before any report: that of a moderate day
	// Short notes from servers of one rack within alikeWindow, with shares that differ by less than
	// alikeTolerance, mean that the uplink is short.
	alikeWindow, alikeTolerance = 3 * Second / 2, 0.08
	// A request earns probesPerRequest, but probes cost at most maxProbeCost of the earnings.
	probesPerRequest, maxProbeCost = 1.2, 0.032
	// initialProbes allows a first choice to probe; maxProbes is the most that is saved up.
	initialProbes, maxProbes = 4.0, 20.0
	// A server is probed if its report is older than blockedProbeAge where all holders may be cold, or than
	// staleProbeAge otherwise.
	blockedProbeAge, staleProbeAge = 1 * Second, 2 * Second

	// Backoff of the circuit breaker: outages last 5 to 30 s.
	backoffMin, backoffMax = 1 * Second, 8 * Second
	errorsToOpen           = 2 // errors that open the breaker
	// A server that delivers less than hungShare counts as hung. Lower shares count as minShare, so that no
	// note stands for a use over 2.
	hungShare, minShare = 0.1, 0.5
	slowStartPart       = 0.5  // part of the overloading rate that all fronts together may use
	maxWarmThreshold    = 0.25 // upper limit of the use by others that shows a server is warm

	// At deliveredShare all counts as delivered; below lowerBelowShare rungs are lowered.
	deliveredShare, lowerBelowShare = 0.98, 0.95
	// Lowering aims at lowerTarget of the delivered rate; its effect is visible only after lowerInterval.
	lowerTarget, lowerInterval = 0.95, 12 * Second / 10
	maxReserve                 = 0.4  // spare part of a link that the highest rung must leave
	uncertaintyReserve         = 0.15 // the same for each rung over the floor where the use is uncertain
	probeMinScore              = 0.6  // score from which a choice needs a recent report
	probesPerChoice            = 2    // best holders probed for a choice: two give most of the benefit
	reserveFromRungs           = 1.0  // rungs below the rack's mean rung from which a reserve is left
	// Each short note adds shortTimePerNote to the time that a server is expected to remain short; a move
	// costs moveGapSeconds of worth.
	shortTimePerNote, moveGapSeconds = 3 * Second, 1.0
	// Rate limit of moves, for the whole front.
	movesPerSecond, movesBurst = 2.0, 6
	// A raise leaves raiseReserve below maxUse and needs raiseCalmTime without a short note.
	raiseReserve, raiseCalmTime = 0.06, 4 * Second
	// maxRaiseReportAge is the oldest report that allows a raise; minRungInterval is the time between
	// changes.
	maxRaiseReportAge, minRungInterval = 8 * Second, 5 * Second
	// A raise must earn minRaiseGain times its price, as it may be undone.
	minRaiseGain      = 3.0
	defaultRemaining  = 20 * Second // expected remaining length of a session without a hint
	typicalSamples    = 50.0        // first requests that the typical worth is averaged over
	maxMovedViewers   = 1000        // moved viewers remembered
	minRetryAfterPart = 0.85        // least part of the longest retry delay that is returned
)

// Timer tokens.
const (
	tokenTick      uint32 = iota // housekeeping
	tokenHeld                    // the hold of a request has expired
	tokenListRetry               // the server list is requested again
)

// New returns a front with the given settings; equal seeds give equal decisions.
func New(cfg Settings, seed uint64) *Front {
	f := newFront(cfg, seed)
	f.startedAt, f.meanUse, f.meanUplinkUse, f.probeTokens = -1, initialMeanUse, initialMeanUse, initialProbes
	return f
}

// Handle processes an event and returns the resulting actions. Events about unknown sessions or servers are
// ignored.
func (f *Front) Handle(now Time, event Event) []Action {
	f.now, f.actions = now, nil
	if f.startedAt < 0 {
		f.startedAt = now
		f.emit(Timer{tokenTick, tickInterval})
		if f.cfg.SubscribeList {
			f.emit(Subscribe{})
		}
	}
	f.dispatch(event)
	return f.actions
}

// updateList applies a server list or a change of it.
func (f *Front) updateList(l List) {
	if l.Kind == ListFailed {
		f.emit(Timer{tokenListRetry, listRetryDelay}) // the old list stays in use until the retry succeeds
		return
	}
	f.startsKnown = f.startsKnown || l.Kind == ListFull
	if l.Kind != ListDelta {
		for _, v := range f.fleet.servers {
			v.listed = false
		}
	}
	for _, e := range l.Entries {
		v, restarted := f.updateServer(e)
		if restarted { // the state of the old process does not apply to the new one
			v.link.reported, v.openUntil, v.backoff, v.failed = false, 0, 0, false
			v.slowStart = tokenBucket{tokens: f.rng.Float64(), filledAt: f.now}
		}
		// A start time in the future comes from a clock that was changed; it counts as now.
		if started := min(e.Started, f.now); started > 0 && started+f.cfg.WarmupTime > f.now {
			v.coldUntil = max(v.coldUntil, started+f.cfg.WarmupTime)
		}
	}
	f.updateRacks()
}

package policy

// Circuit breakers for servers that failed, and slow start of servers that may be cold.

// recordFailure counts a failure. With openBreaker set the breaker opens: a server that hangs, disappeared,
// died or fails set-ups fast would take attempts while it reports low use. The cost is that a server that
// is slow for a moment gets no set-ups for a second.
func (f *Front) recordFailure(v *server, openBreaker bool) {
	v.failures.add(f.now, failureWindow, 1)
	if !openBreaker || f.now < v.openUntil {
		return
	}
	v.backoff = min(max(2*v.backoff, backoffMin), backoffMax)
	v.openUntil = f.now + v.backoff
	v.failed = true
}

// recordError counts an error; errorsToOpen errors open the breaker.
func (f *Front) recordError(v *server) {
	f.recordFailure(v, 1+v.failures.total(f.now, failureWindow) >= errorsToOpen)
}

// recordSuccess closes the breaker. A server that failed may have restarted and be cold.
func (f *Front) recordSuccess(v *server) {
	if v.failed {
		v.failed = false
		v.coldUntil = max(v.coldUntil, f.now+f.cfg.WarmupTime)
	}
	if f.now >= v.openUntil {
		v.backoff = 0
	}
}

// breakerBlocks tells whether the breaker blocks a session: after a failure for the backoff, then
// (half-open) for all but one safe session until that one has started. Paid set-ups can't be repeated and
// never go to a half-open server.
func (f *Front) breakerBlocks(v *server, s *session) bool {
	if f.now < v.openUntil {
		return true
	}
	return v.failed && (f.class(s).Paid || v.trial != nil)
}

// inSlowStart tells whether a server may be cold: it failed, the list gave a recent start, or this front is
// itself new, has no complete list with start times, and has no report that the server carries other
// fronts' sessions, which a server just started would not. The cost is that idle servers are filled slowly.
func (f *Front) inSlowStart(v *server) bool {
	carries := v.link.reported && f.othersUse(&v.link) > min(maxWarmThreshold, f.meanUse/2)
	startUnknown := f.now-f.startedAt < f.cfg.WarmupTime && !carries && !f.startsKnown
	// Without these settings nothing states what overloads a cold server.
	overloadKnown := f.cfg.OverloadFactor > 0 && f.cfg.OverloadWindow > 0
	return overloadKnown && f.cfg.WarmupTime > 0 && (v.failed || f.now < v.coldUntil || startUnknown)
}

// slowStartBlocks protects a server that may be cold from overload, by a token bucket with this front's
// part of the rate. It also covers many viewers returning to a server at once. The cost is that the server
// fills a little later than it could.
func (f *Front) slowStartBlocks(v *server) bool { return f.inSlowStart(v) && f.slowStartTokens(v) < 1 }

// slowStartTokens refills the slow-start bucket of a server and gives its tokens.
func (f *Front) slowStartTokens(v *server) float64 {
	slots := 1.0
	if v.Kind < len(f.cfg.KindSlots) {
		slots = f.cfg.KindSlots[v.Kind]
	}
	fronts, seconds := float64(max(f.cfg.Fronts, 1)), float64(f.cfg.OverloadWindow)/float64(Second)
	overloadRate := slots / (float64(f.cfg.WarmupTime) / float64(Second)) *
		f.cfg.ColdCapacity * f.cfg.OverloadFactor
	perSecond, limit := overloadRate*slowStartPart/fronts, 1.0
	// Where one token for each front exceeds what the server may get within the overload window, fronts
	// start at a random point between two tokens, and a token not used for that window expires: saved
	// tokens would otherwise be used all at once.
	spread := fronts > overloadRate*seconds
	if spread {
		limit += perSecond * seconds
	}
	// A front younger than the server can't know what it sent there before its restart: it starts so too.
	if v.slowStart.filledAt == 0 && (spread || f.startedAt > v.Started) {
		v.slowStart = tokenBucket{tokens: f.rng.Float64(), filledAt: f.now}
	}
	if v.slowStart.refill(f.now, perSecond, limit) >= limit && spread {
		v.slowStart.tokens = 0
	}
	return v.slowStart.tokens
}

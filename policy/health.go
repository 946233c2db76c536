package policy

// Which servers are kept off for a while: those that failed, and those that may be cold.

// failing books a failure. With trip the breaker opens: a server that hangs, vanished, died or fails set-ups
// fast would eat attempts while it reports low use. Harm: a server slow for a moment rests a second.
func (f *Front) failing(v *server, trip bool) {
	v.bad.add(f.now, 1)
	if !trip || f.now < v.openUntil {
		return
	}
	v.backoff = min(max(2*v.backoff, backoffMin), backoffMax)
	v.openUntil = f.now + v.backoff
	v.failed = true
}

// erring books an error; a few open the breaker.
func (f *Front) erring(v *server) { f.failing(v, 1+v.bad.sum(f.now, tallyWindow) >= errorsTrip) }

// proved books a success: the breaker closes. A server that was seen failing may have restarted, cold.
func (f *Front) proved(v *server) {
	if v.failed {
		v.failed = false
		v.coldUntil = max(v.coldUntil, f.now+f.set.ColdSpan)
	}
	if f.now >= v.openUntil {
		v.backoff = 0
	}
}

// open tells whether the breaker keeps a session off: after a failure for a while, then (half-open) for all
// but one safe session until that has started. Paid set-ups, which can't be repeated, never try it.
func (f *Front) open(v *server, s *session) bool {
	if f.now < v.openUntil {
		return true
	}
	return v.failed && (f.class(s).Paid || v.trial != nil)
}

// inSlowStart tells whether a server may be cold for all this front knows: it failed, it was told started,
// or this front is itself new, was given no complete list that tells the starts, and has no report that the
// server carries others' sessions, as one just started would not. Harm: it is slow to fill idle servers.
func (f *Front) inSlowStart(v *server) bool {
	carries := v.link.told && f.others(&v.link) > min(busyIsWarm, f.mean/2)
	unknown := f.now-f.born < f.set.ColdSpan && !carries && !f.starts
	falls := f.set.ColdTimes > 0 && f.set.FallSpan > 0 // else nothing is stated that pushes a server over
	return falls && f.set.ColdSpan > 0 && (v.failed || f.now < v.coldUntil || unknown)
}

// cold guards a server that may be cold from being pushed over: one token bucket, this front's part of the
// pace. Also covers crowds coming back to a server. Harm: it fills a little later than it could.
func (f *Front) cold(v *server) bool { return f.inSlowStart(v) && f.slowStartTokens(v) < 1 }

func (f *Front) slowStartTokens(v *server) float64 {
	slots := 1.0
	if v.Kind < len(f.set.KindSlots) {
		slots = f.set.KindSlots[v.Kind]
	}
	fleet, span := float64(max(f.set.Fleet, 1)), float64(f.set.FallSpan)/float64(Second)
	pushes := slots / (float64(f.set.ColdSpan) / float64(Second)) * f.set.ColdFrom * f.set.ColdTimes
	perS, most := pushes*slowStartPart/fleet, 1.0
	// Where a token of each front is more than it may be sent within the span, fronts start anywhere between
	// two tokens, and one not used for that span lapses: saved up, they would come all at once.
	many := fleet > pushes*span
	if many {
		most += perS * span
	}
	// A front younger than the server can't know what its earlier life sent there: it starts so too.
	if v.slowStart.at == 0 && (many || f.born > v.Started) {
		v.slowStart = bucket{tokens: f.rng.Float64(), at: f.now}
	}
	if v.slowStart.fill(f.now, perS, most) >= most && many {
		v.slowStart.tokens = 0
	}
	return v.slowStart.tokens
}

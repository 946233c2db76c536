// Package overload decides which requests a front admits when more arrive than it can handle, before any work is
// spent on them. It is pure: the shell reports how long requests waited and asks about each new one; time is passed
// in. The decision module handles the admitted requests.
//
// The signal is queueing delay, as in CoDel (RFC 8289): a queue that was empty at some moment of an interval is only
// a burst; one whose shortest wait stays over a target is standing. A standing queue helps nobody: each request
// waits, and none is started sooner for it. The response is to admit no more than was served, and to refuse the rest
// at once with a retry delay.
//
// Admission is by worth: the rate is distributed over the flows (class and tenant) by their weights, and what a flow
// does not use goes to the others. Otherwise many requests of low worth, or of one tenant, would fill the queue and
// starve the rest. The cost: until the sustainable rate is found, a few requests are refused that could have been
// served.
package overload

import "tealledge/policy"

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

const (
	targetWait   = 15 * policy.Millisecond // overload if the shortest wait of an interval exceeds this
	interval     = 50 * policy.Millisecond // over which the shortest wait is taken
	rateDecrease = 0.94                    // part of the served rate that is admitted after an interval of overload
	rateIncrease = 0.04                    // growth of the rate in an interval without overload
	smoothing    = 0.3                     // weight of the newest interval in smoothed rates
	releaseRatio = 1.5                     // the limit ends when it exceeds the offered rate by this factor
	minRate      = 20.0                    // requests a second, always admitted: the signal needs some
)

// flow is the state of the requests of one class and tenant.
type flow struct {
	weight        float64
	offeredRate   float64 // requests a second, smoothed
	arrivals      int     // requests in this interval
	admittedShare float64 // admitted part of the requests
	credit        float64
}

// RateLimiter decides which requests are admitted.
type RateLimiter struct {
	flows        []flow
	intervalEnd  Time // end of the current interval
	minWait      Time // shortest wait in the interval
	taken        int  // requests that the owner took from the queue in the interval
	rejected     int  // requests refused in the interval
	servedRate   float64
	admittedRate float64 // requests a second admitted; 0: all
}

// New returns a rate limiter for flows of these weights (worth of the class times the tenant's share).
func New(weights []float64) *RateLimiter {
	l := &RateLimiter{flows: make([]flow, len(weights))}
	for i, w := range weights {
		l.flows[i] = flow{weight: max(w, 1e-9), admittedShare: 1}
	}
	return l
}

// Limited reports whether requests are being refused.
func (l *RateLimiter) Limited() bool { return l.admittedRate > 0 }

// Rate returns the admitted requests a second, 0 for all.
func (l *RateLimiter) Rate() float64 { return l.admittedRate }

// Admit decides on a new request of a flow.
func (l *RateLimiter) Admit(now Time, flowIndex int) bool {
	l.tick(now, 0)
	if flowIndex < 0 || flowIndex >= len(l.flows) {
		return true // unknown class: its parameters are refused later
	}
	f := &l.flows[flowIndex]
	f.arrivals++
	if l.admittedRate == 0 {
		return true
	}
	if f.credit += f.admittedShare; f.credit >= 1 {
		f.credit--
		return true
	}
	l.rejected++
	return false
}

// ObserveWait records how long a request waited before the owner took it, and how many are still waiting.
func (l *RateLimiter) ObserveWait(now, wait Time, backlog int) {
	l.tick(now, backlog)
	if l.taken == 0 || wait < l.minWait {
		l.minWait = wait
	}
	l.taken++
}

// tick updates the rates at the end of an interval.
func (l *RateLimiter) tick(now Time, backlog int) {
	if l.intervalEnd == 0 {
		l.intervalEnd = now + interval
	}
	if now < l.intervalEnd {
		return
	}
	intervals := float64(now-l.intervalEnd+interval) / float64(interval)
	perSecond := float64(policy.Second) / (intervals * float64(interval))
	served := float64(l.taken) * perSecond
	if l.taken > 0 {
		if l.servedRate == 0 {
			l.servedRate = served
		}
		l.servedRate += (served - l.servedRate) * smoothing
	}
	offered := 0.0
	for i := range l.flows {
		f := &l.flows[i]
		f.offeredRate += (float64(f.arrivals)*perSecond - f.offeredRate) * smoothing
		f.arrivals = 0
		offered += f.offeredRate
	}
	standing := l.taken > 0 && l.minWait > targetWait || l.taken == 0 && backlog > 0
	switch {
	case standing && l.admittedRate == 0:
		l.admittedRate = max(l.servedRate*rateDecrease, minRate)
	case standing:
		l.admittedRate = max(min(l.admittedRate, l.servedRate)*rateDecrease, minRate)
	case l.admittedRate > 0:
		if l.admittedRate *= 1 + rateIncrease; l.admittedRate > releaseRatio*offered {
			l.admittedRate = 0
		}
	}
	if l.admittedRate > 0 {
		l.distribute()
	}
	l.intervalEnd, l.minWait, l.taken, l.rejected = now+interval, 0, 0, 0
}

// distribute spreads the rate over the flows by weight; what one flow does not use goes to the others.
func (l *RateLimiter) distribute() {
	left, weights := l.admittedRate, 0.0
	for i := range l.flows {
		l.flows[i].admittedShare = -1
		if l.flows[i].offeredRate > 0 {
			weights += l.flows[i].weight
		}
	}
	for again := true; again; {
		again = false
		for i := range l.flows {
			f := &l.flows[i]
			if f.admittedShare < 0 && f.offeredRate > 0 && left*f.weight >= f.offeredRate*weights {
				f.admittedShare, left, weights, again = 1, left-f.offeredRate, weights-f.weight, true
			}
		}
	}
	for i := range l.flows {
		f := &l.flows[i]
		switch {
		case f.admittedShare >= 0:
		case f.offeredRate <= 0:
			f.admittedShare = 1 // its first requests are admitted, as its offered rate is not known yet
		default:
			f.admittedShare = max(left, 0) * f.weight / weights / f.offeredRate
		}
	}
}

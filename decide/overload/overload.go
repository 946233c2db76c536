// Package overload decides which requests a front takes when more come than it can work through, before any work is
// spent on them. It is pure: the shell reports how long requests waited and asks about each new one; time is passed
// in. What becomes of a request that is taken, the decision module decides.
//
// The signal is queueing delay, as in CoDel (RFC 8289): a queue that was empty at some moment of an interval is only
// a burst, one whose shortest wait stays over a target is standing. A standing queue serves nobody: each request
// waits, and none is begun sooner for it. The answer is to admit no more than what was served, and to tell the rest
// at once when to come again.
//
// Who is admitted goes by worth: the rate is poured over the flows (class and tenant) by their weights, what a flow
// does not use goes to the others. Danger: a crowd of low worth, or of one tenant, fills the queue and starves
// the rest. Harm: while the rate is being found, a few requests are told to come again that could have been served.
package overload

import "tealledge/policy"

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

const (
	target    = 15 * policy.Millisecond // a standing wait over this is overload
	interval  = 50 * policy.Millisecond // in which the shortest wait counts
	backOff   = 0.94                    // of what was served, admitted after an interval of overload
	creep     = 0.04                    // by so much the rate grows in a calm interval
	smooth    = 0.3                     // weight of the newest interval in rates
	calmTimes = 1.5                     // the limit goes when it is so many times what is offered
	leastRate = 20.0                    // requests a second admitted in any case: the signal needs some
)

// flow is the requests of one class and tenant.
type flow struct {
	weight  float64
	offered float64 // requests a second, smoothed
	now     int     // offered in this interval
	share   float64 // part of them admitted
	credit  float64
}

// Gate decides who is admitted.
type Gate struct {
	flows  []flow
	until  Time // end of this interval
	least  Time // shortest wait seen in it
	seen   int  // requests that the owner took in it
	turned int  // requests that were turned away in it
	served float64
	rate   float64 // requests a second admitted; 0: all
}

// New makes a gate for flows of these weights (worth of the class times the tenant's share).
func New(weights []float64) *Gate {
	g := &Gate{flows: make([]flow, len(weights))}
	for i, w := range weights {
		g.flows[i] = flow{weight: max(w, 1e-9), share: 1}
	}
	return g
}

// Limited tells whether requests are being turned away; Rate, how many a second are admitted.
func (g *Gate) Limited() bool { return g.rate > 0 }

// Rate gives the admitted rate, 0 for all.
func (g *Gate) Rate() float64 { return g.rate }

// Admit decides on a new request of a flow.
func (g *Gate) Admit(now Time, flow int) bool {
	g.tick(now, 0)
	if flow < 0 || flow >= len(g.flows) {
		return true // of no known class: its parameters are refused later
	}
	f := &g.flows[flow]
	f.now++
	if g.rate == 0 {
		return true
	}
	if f.credit += f.share; f.credit >= 1 {
		f.credit--
		return true
	}
	g.turned++
	return false
}

// Waited reports how long a request waited before the owner took it, and how many wait still.
func (g *Gate) Waited(now, wait Time, backlog int) {
	g.tick(now, backlog)
	if g.seen == 0 || wait < g.least {
		g.least = wait
	}
	g.seen++
}

// tick closes intervals that are over.
func (g *Gate) tick(now Time, backlog int) {
	if g.until == 0 {
		g.until = now + interval
	}
	if now < g.until {
		return
	}
	spans := float64(now-g.until+interval) / float64(interval)
	perS := float64(policy.Second) / (spans * float64(interval))
	served := float64(g.seen) * perS
	if g.seen > 0 {
		if g.served == 0 {
			g.served = served
		}
		g.served += (served - g.served) * smooth
	}
	offered := 0.0
	for i := range g.flows {
		f := &g.flows[i]
		f.offered += (float64(f.now)*perS - f.offered) * smooth
		f.now = 0
		offered += f.offered
	}
	standing := g.seen > 0 && g.least > target || g.seen == 0 && backlog > 0
	switch {
	case standing && g.rate == 0:
		g.rate = max(g.served*backOff, leastRate)
	case standing:
		g.rate = max(min(g.rate, g.served)*backOff, leastRate)
	case g.rate > 0:
		if g.rate *= 1 + creep; g.rate > calmTimes*offered {
			g.rate = 0
		}
	}
	if g.rate > 0 {
		g.pour()
	}
	g.until, g.least, g.seen, g.turned = now+interval, 0, 0, 0
}

// pour spreads the rate over the flows by weight; what one does not use goes to the others.
func (g *Gate) pour() {
	left, weights := g.rate, 0.0
	for i := range g.flows {
		g.flows[i].share = -1
		if g.flows[i].offered > 0 {
			weights += g.flows[i].weight
		}
	}
	for again := true; again; {
		again = false
		for i := range g.flows {
			f := &g.flows[i]
			if f.share < 0 && f.offered > 0 && left*f.weight >= f.offered*weights {
				f.share, left, weights, again = 1, left-f.offered, weights-f.weight, true
			}
		}
	}
	for i := range g.flows {
		f := &g.flows[i]
		switch {
		case f.share >= 0:
		case f.offered <= 0:
			f.share = 1 // its first requests come in: what it offers is not known yet
		default:
			f.share = max(left, 0) * f.weight / weights / f.offered
		}
	}
}

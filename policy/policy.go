// The decision module. Its interface (settings, events, actions) is policy/api.go; records and
// counters without judgement are policy/state.go. The mechanism is HyperEdge's device selection
// (section 4.2.3) as the design page gives it: filter, rank, fallback list, rung rule, moves.
package policy

import (
	"math"
	"slices"
	"sort"
)

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
	paceMargin             = 0.5                    // part of the pushing-over pace all fronts may use
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

// ---- The server list ----

func (f *Front) list(l List) {
	if l.Kind == ListFailed {
		f.do(Timer{tokenAsk, askAgain}) // an old list is better than none, but not for long
		return
	}
	if l.Kind != ListDelta {
		for _, v := range f.fleet.order {
			v.listed = false
		}
	}
	for _, e := range l.Entries {
		v, restarted := f.book(e)
		if restarted { // what was known of the old process says nothing of the new one
			v.link.told, v.openUntil, v.backoff, v.failed = false, 0, 0, false
			v.pace = bucket{tokens: f.rng.Float64(), at: f.now}
		}
		if e.Started > 0 && e.Started+f.set.ColdSpan > f.now {
			v.coldUntil = max(v.coldUntil, e.Started+f.set.ColdSpan)
		}
	}
	f.shelve()
}

// ---- Estimated use ----

// report books the load values that a server sent.
func (f *Front) report(v *server, values []float64) {
	for i, field := range f.set.Fields[:min(len(f.set.Fields), len(values))] {
		x := values[i]
		switch field {
		case FieldLink, FieldUtil:
			f.told(&v.link, x, reportLag)
		case FieldUplink:
			f.told(&v.rack.meter, x, reportLag)
		}
	}
}

// told books a use measured a while ago. Noise is damped by blending it with a fresh estimate.
func (f *Front) told(m *meter, use float64, age Time) {
	at := f.now - age
	if m.told && at-m.useAt < blendWithin {
		now := m.use + (m.ownAt(at)-m.useOwn)/m.cap
		use = blend*use + (1-blend)*max(now, 0)
	}
	m.set(use, at)
	f.learn(m, use)
}

// learn counts a use for the mean that stands for all meters not heard of.
func (f *Front) learn(m *meter, use float64) {
	mean := f.meanOf(m)
	*mean += (min(max(use-m.useOwn/m.cap, 0), 1) - *mean) * meanBlend
}

// others is the use of a meter that is not this front's own: the last report less the own part then.
// As it ages it gives way to the fleet's average, which also stands for servers not yet heard from.
func (f *Front) others(m *meter) float64 {
	avg := *f.meanOf(m)
	if m.own > 0 {
		avg = (avg + m.own/m.cap*f.alike()) / 2
	}
	if m.parts != nil && !slices.Contains(f.set.Fields, FieldUplink) { // never reported
		avg = 0
		for _, v := range m.parts {
			avg += f.others(&v.link) * v.link.cap / m.cap
		}
	}
	most := max(mark-m.own/m.cap, 0) // the other fronts keep to the mark too: no guess goes past it
	avg = min(avg, most)
	if !m.told {
		return avg
	}
	known := max(m.use-m.useOwn/m.cap, 0)
	// What this front has added since, the others that saw the same room are taken to have added too.
	unseen := max(m.own-m.useOwn, 0) / m.cap * f.alike()
	w := f.guess(m)
	return (1-w)*max(known, min(known+unseen, most)) + w*avg
}

// alike is how many other fronts an own addition is taken to stand for: all of a few, for they see the
// same room and fill it alike. Of hundreds it counts for their root: it is a sample of one, and a single
// session times hundreds fills any server.
func (f *Front) alike() float64 {
	n := float64(max(f.set.Fleet-1, 0))
	return min(n, alikeAll+math.Sqrt(max(n-alikeAll, 0)))
}

// guess tells how much of an estimated use is a guess: all of it without a report, less the newer it is.
func (f *Front) guess(m *meter) float64 {
	if m.parts != nil && !slices.Contains(f.set.Fields, FieldUplink) {
		// Never reported: its use is its servers', its size unknown. Guesses of them are cautious enough.
		known := 0.0
		for _, v := range m.parts {
			known += (1 - f.guess(&v.link)) / float64(len(m.parts))
		}
		return known
	}
	if !m.told {
		return 1
	}
	return 1 - math.Exp2(-float64(f.now-m.useAt)/float64(staleHalf))
}

// unheard tells whether a server's use is a guess more than a report.
func (f *Front) unheard(v *server) bool { return !v.link.told || f.now-v.link.useAt > staleHalf }

// load is the estimated use of a meter.
func (f *Front) load(m *meter) float64 { return f.others(m) + m.own/m.cap }

// room is what link and uplink still take under a limit, in kB a second.
func (f *Front) room(v *server, limit float64) (link, uplink float64) {
	link = (limit - f.load(&v.link)) * v.link.cap
	return link, (limit - f.load(&v.rack.meter)) * v.rack.cap
}

// highest is the rung rule: the highest rung that link and uplink take under the mark, -1 if not even the
// lowest. The higher a rung, the more it must leave for those who come later. A session that plays there
// has some of it already. With a draw (over 0) only this front's part of the spare may be taken.
func (f *Front) highest(s *session, v *server, link, uplink, has, draw float64) int {
	floor, base := f.class(s).Floor, f.meanRung(v.rack)-leaveFrom
	for rung := f.topAt(s, v); rung >= floor; rung-- {
		left := leaveMost * min(float64(rung-floor), max(float64(rung)-base, 0)) / float64(len(f.set.RungKB))
		leftUp := left
		if rung > floor { // what rests on a guess may be far out, and shortness costs more than a low rung
			link, up := f.guess(&v.link), f.guess(&v.rack.meter)
			left, leftUp = left+guessLeave*link, leftUp+guessLeave*max(up-link, 0) // the same spare once
		}
		if f.kb(s, rung)-has <= min((link-left*v.link.cap)*f.part(&v.link, draw),
			(uplink-leftUp*v.rack.cap)*f.part(&v.rack.meter, draw)) {
			return rung
		}
	}
	return -1
}

// part is this front's part of the spare: its part of the use, so that the parts of all add up to one, but
// no less than it has as one of them. One of hundreds has too little for a whole rung: a draw gives it
// more, as seldom as the more is large.
func (f *Front) part(m *meter, draw float64) float64 {
	if draw <= 0 {
		return 1
	}
	return min(1, max(m.own/max(f.load(m)*m.cap, m.own, 1), 1/float64(max(f.set.Fleet, 1)))/draw)
}

// busy is the fuller of link and uplink.
func (f *Front) busy(v *server) float64 {
	return max(f.load(&v.link), f.load(&v.rack.meter))
}

// ---- Sessions come and go ----

func (f *Front) request(a Ask) {
	if f.byID[a.ID] != nil {
		return
	}
	if !f.usable(&a) {
		f.do(Refuse{ID: a.ID})
		return
	}
	s := f.take(a)
	f.taken.add(f.now, 1)
	if a.Moved {
		s.moved, s.from = true, f.past.from[a.Viewer]
	}
	if !a.Again && !a.Moved {
		f.earn()
		f.typicalN = min(f.typicalN+1, typicalOver)
		f.typical += (f.worth(s, f.top(s)) - f.typical) / f.typicalN
	}
	f.place(s)
}

// earn gives the probes of a first try: by their number probes are priced.
func (f *Front) earn() {
	each := probeEach
	if f.set.PriceProbe > 0 {
		each = min(each, probeCost/f.set.PriceProbe)
	}
	f.probes = min(f.probes+each, probesMost)
}

func (f *Front) started(e Playing) {
	s := f.byID[e.ID]
	if s == nil || s.at == nil || s.playing || e.Attempt != s.attempts-1 {
		return
	}
	s.playing, s.started, s.changed = true, f.now, f.now
	f.proved(s.at)
	for _, v := range s.erred { // another server could: it was theirs
		f.erring(v)
	}
	s.erred = nil
	if s.at.trial == s {
		s.at.trial = nil
	}
}

func (f *Front) outcome(e Outcome) {
	v := f.fleet.get(e.Server)
	if v != nil && len(e.Report) > 0 {
		f.report(v, e.Report)
	}
	s := f.byID[e.ID]
	if s == nil || s.at == nil || s.at != v || e.Attempt != s.attempts-1 {
		return
	}
	f.leave(s)
	if s.playing || e.Status == OK {
		if e.Status == ResetConn {
			f.failing(v, true)
		}
		f.forget(s)
		return
	}
	switch e.Status {
	case Errored:
		// Danger: requests that no server can serve, sent by the hundred, would close every server to all
		// others. So an error counts once another server has served the request. Harm: a server that errs is
		// found that much later.
		if s.unsure = true; f.class(s).Paid || v.failed {
			f.erring(v) // nobody else will be asked, or it is on trial
		} else {
			s.erred = append(s.erred, v)
		}
	case ResetConn, TimedOut, NoConnect:
		s.unsure = s.unsure || e.Status != NoConnect
		f.failing(v, true)
	case Full:
		v.bad.add(f.now, 1)
		if f.set.FullFrom > 0 { // it says of the unheard what a report of a full link would
			f.mean += (1 - f.mean) * meanBlend
		}
		v.link.set(max(f.set.FullFrom, 1), f.now) // whatever its report said
	case Moot:
	default:
		s.unsure = true
	}
	if e.Final || s.left {
		f.forget(s)
		return
	}
	f.place(s)
}

// ---- Health ----

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

// paced tells whether a server may be cold for all this front knows: it failed, it was told started, or
// this front is itself new and has no report that the server carries others' sessions, as one just
// started would not. Harm: a new front is slow to fill idle servers.
func (f *Front) paced(v *server) bool {
	carries := v.link.told && f.others(&v.link) > min(busyIsWarm, f.mean/2)
	unknown := f.now-f.born < f.set.ColdSpan && !carries
	return f.set.ColdSpan > 0 && (v.failed || f.now < v.coldUntil || unknown)
}

// cold guards a server that may be cold from being pushed over: one token bucket, this front's part of the
// pace. Also covers crowds coming back to a server. Harm: it fills a little later than it could.
func (f *Front) cold(v *server) bool { return f.paced(v) && f.fillPace(v) < 1 }

func (f *Front) fillPace(v *server) float64 {
	slots := 1.0
	if v.Kind < len(f.set.KindSlots) {
		slots = f.set.KindSlots[v.Kind]
	}
	fleet, span := float64(max(f.set.Fleet, 1)), float64(f.set.FallSpan)/float64(Second)
	pushes := slots / (float64(f.set.ColdSpan) / float64(Second)) * f.set.ColdFrom * f.set.ColdTimes
	perS, most := pushes*paceMargin/fleet, 1.0
	// Where a token of each front is more than it may be sent within the span, fronts start anywhere between
	// two tokens, and one not used for that span lapses: saved up, they would come all at once.
	many := fleet > pushes*span
	if many {
		most += perS * span
	}
	if many && v.pace.at == 0 {
		v.pace = bucket{tokens: f.rng.Float64(), at: f.now}
	}
	if v.pace.fill(f.now, perS, most) >= most && many {
		v.pace.tokens = 0
	}
	return v.pace.tokens
}

// ---- Placement ----

// candidates ranks the holders that may take a session now: by use, tally and distance.
func (f *Front) candidates(s *session) []*server {
	var list, cold []*server
	holders := f.holders(s)
	collect := func(evenOpen bool) {
		for _, v := range holders {
			if v == s.from || s.hasTried(v) || f.open(v, s) != evenOpen {
				continue
			}
			if f.cold(v) {
				if !v.failed && f.now >= v.coldUntil {
					cold = append(cold, v)
				}
				continue
			}
			v.score = f.busy(v) + tallyWeight*v.bad.sum(f.now, tallyWindow)
			if v.Zone != f.set.Zone {
				v.score += f.set.PriceCross
			}
			if s.from != nil && v.rack == s.from.rack {
				v.score++ // it was moved off that rack: only if nothing else has room
			}
			list = append(list, v)
		}
	}
	collect(false)
	if len(list) == 0 {
		for _, i := range f.rng.Perm(len(cold))[:min(len(cold), lookAt)] {
			f.inspect(cold[i], probeBlock) // it may tell that it is warm, and spare a refusal: never too dear
		}
	}
	// If all look bad, the trouble may lie elsewhere: a safe request may go to one all the same.
	if s.despite = len(list) == 0 && !f.class(s).Paid; s.despite {
		collect(true)
	}
	// Of holders alike, as those never heard from are, each front takes another first: in the order of the
	// list hundreds of fronts would all take the same.
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].score < list[j].score })
	return list[:min(len(list), listLen)]
}

// place sends a session to the best-ranked holder with room, or the next on its list. A paid one that may
// have run is never sent again nor refused; no second attempt goes out before the first one's outcome. What
// came too late, as to a front that stood still, is answered and not begun.
func (f *Front) place(s *session) {
	if f.now >= s.Deadline-lastTry || s.attempts > 0 && (s.attempts >= f.set.MaxAttempts ||
		s.unsure && f.class(s).Paid || !f.mayRetry()) {
		f.giveUp(s)
		return
	}
	if s.attempts == 0 || len(s.list) == 0 {
		s.list = f.candidates(s)
	}
	seats := f.class(s).Seats
	free := seats <= 0 || f.count(s.Class, s.Title) < seats
	asked := false
	for _, v := range s.list[:min(len(s.list), lookAt)] {
		look := s.holding == 0 && s.attempts == 0 && v.score > lookFrom && (!f.set.Inline || f.unheard(v))
		asked = look && f.probe(v, probeStale) || asked
	}
	for _, v := range s.list {
		if asked {
			break // the choice rests on old news: hold a tick and look at the best
		}
		if !free || !v.listed || s.hasTried(v) || f.cold(v) || f.open(v, s) && !s.despite {
			continue
		}
		link, uplink := f.room(v, mark)
		if rung := f.highest(s, v, link, uplink, 0, 0); rung >= 0 {
			f.send(s, v, rung)
			return
		}
	}
	if s.holding == 0 {
		s.holding = min(f.now+holdSpan, s.Deadline-lastTry)
		f.waiting = append(f.waiting, s)
		f.do(Timer{tokenHeld, max(s.holding-f.now, 0)})
	}
	s.list = nil
	if f.now >= s.holding {
		f.giveUp(s)
	}
}

// retryHeld looks for room for the requests held: all, or those only whose time is up.
func (f *Front) retryHeld(due bool) {
	for _, s := range append([]*session(nil), f.waiting...) {
		if !due || f.now >= s.holding {
			f.place(s)
		}
	}
}

// mayRetry keeps further attempts within a stated budget, against storms of retries.
func (f *Front) mayRetry() bool {
	if !f.set.Budgeted {
		return true
	}
	span := f.set.BudgetSpan
	return f.extra.sum(f.now, span)+1 <= f.set.SpareAttempts+f.set.Ratio*f.taken.sum(f.now, span)
}

func (f *Front) send(s *session, v *server, rung int) {
	f.waiting, s.holding = drop(f.waiting, s), 0
	if f.paced(v) {
		f.fillPace(v)
		v.pace.tokens--
	}
	if v.failed {
		v.trial = s
	}
	if s.attempts > 0 {
		f.extra.add(f.now, 1)
	}
	s.rung = rung
	s.attempts++
	s.tried = append(s.tried, v)
	f.enter(s, v)
	if s.rung != f.class(s).Floor || s.attempts > 1 {
		f.do(Rate{s.ID, s.rung})
	}
	timeout := s.Deadline - f.now
	if !f.class(s).Paid && s.attempts < f.set.MaxAttempts && len(s.list) > 1 {
		timeout = min(timeout, Time(tryShare*float64(f.class(s).Aim)))
	}
	f.do(Send{s.ID, v.Server, timeout})
}

// giveUp ends a request at once.
func (f *Front) giveUp(s *session) {
	defer f.forget(s)
	after := Time(0)
	if f.set.RetryAfter {
		after = Time(float64(f.set.MaxRetry) * (waitLeast + (1-waitLeast)*f.rng.Float64()))
	}
	if f.now >= s.Deadline || s.unsure && f.class(s).Paid {
		f.do(Fail{s.ID})
		return
	}
	f.do(Refuse{s.ID, after})
}

// ---- While sessions play ----

func (f *Front) note(e Note) {
	s := f.byID[e.ID]
	v := f.fleet.get(e.Server)
	if s == nil || v == nil || s.at != v {
		return
	}
	switch e.Kind {
	case NoteRung:
		if r := int(e.Value); r >= 0 && r < len(f.set.RungKB) {
			f.occupy(s, -1)
			s.rung = r
			f.occupy(s, 1)
		}
	case NoteLink:
		f.told(&v.link, e.Value, f.set.SeeLate)
	case NoteUplink:
		f.told(&v.rack.meter, e.Value, f.set.SeeLate)
	case NoteShare:
		f.short(v, e.Value)
	}
}

// short acts on a note that tells the share delivered at a server, whatever took the rest: too many
// sessions, a neighbour, a sagging uplink or a server that stands still.
func (f *Front) short(v *server, share float64) {
	if share >= fullShare {
		v.shorts = 0
		return
	}
	// A short uplink shows at several of its servers at once and alike; else it is the server's own link.
	m, like := &v.link, false
	for _, o := range v.rack.parts {
		like = like || o != v && f.now-o.shortAt < rackTogether && math.Abs(o.share-share) < rackLike
	}
	if like && f.load(&v.rack.meter) > f.load(m) {
		m = &v.rack.meter
	}
	v.share, v.shortAt = share, f.now
	v.bad.add(f.now, 1-share)
	if share < hungShare {
		f.failing(v, true)
	} else {
		m.set(1/max(share, shareLeast), f.now-f.set.SeeLate)
	}
	if share < moveShare {
		v.shorts++
	}
	if share < shortNote && share >= hungShare && f.now-v.shedAt > f.set.SeeLate+shedPause {
		f.learn(m, 1/share) // in a crowd no report is as new
		f.shed(v, share)
	}
	if v.shorts >= moveNotes {
		f.moveOff(v)
	}
}

// shed lowers own sessions at a short server until the own rate has come down by what is missing. Each
// front there does its part. Harm: a moment's shortness costs rung changes.
func (f *Front) shed(v *server, share float64) {
	v.shedAt = f.now
	target := v.link.own * share * shedTarget
	for v.link.own > target {
		var best *session
		to, least := 0, math.Inf(1)
		for _, s := range v.held {
			for r := s.rung - 1; r >= f.class(s).Floor && !s.left; r-- {
				freed := min(f.kb(s, s.rung)-f.kb(s, r), v.link.own-target)
				if cost := (f.worth(s, s.rung) - f.worth(s, r) + f.change(s)) / freed; cost < least {
					best, to, least = s, r, cost
				}
			}
		}
		if best == nil {
			return
		}
		// A whole rung of each of hundreds would be far too much: the missing part of it is the chance to
		// lower it, and a little more, so that one of all rounds up.
		over, freed := v.link.own-target, f.kb(best, best.rung)-f.kb(best, to)
		if f.rng.Float64()-f.part(&v.link, 1) > over/freed {
			return
		}
		f.setRung(best, to)
	}
}

// moveOff moves a session, paced, to the best holder with room on another rack, if there is one.
func (f *Front) moveOff(v *server) {
	for _, s := range v.held {
		if f.moves.fill(f.now, movesPerS, movesBurst) < 1 {
			return
		}
		if !s.playing || s.moved || s.left {
			continue
		}
		// The longer a server has been short, the longer it is expected to stay so.
		lasts := min(f.left(s), Time(v.shorts)*moveLasts)
		lost := s.weight * f.set.RungWorth[s.rung] * min(f.set.StallCost*(fullShare-v.share), 1)
		if lost*float64(lasts)/float64(Second) < f.set.PriceMove*f.typical+moveGap*s.weight {
			continue
		}
		for _, o := range f.candidates(s) {
			// A server that stands still says nothing against its rack, and any other is better than it. From
			// one that is only short, a guess at where there's room is no reason to move.
			if (o.rack == v.rack || f.unheard(o)) && v.share >= hungShare || f.open(o, s) {
				continue
			}
			if link, uplink := f.room(o, mark); f.highest(s, o, link, uplink, 0, 0) >= 0 {
				f.moves.tokens--
				f.move(s, pastMost)
				if v.share >= hungShare {
					return
				}
				break
			}
		}
	}
}

// left is how long a session is expected to last yet.
func (f *Front) left(s *session) Time {
	switch {
	case !s.Hinted:
		return remains
	case s.playing:
		return max(s.Length-(f.now-s.started), 0)
	}
	return s.Length
}

// probe asks for a report newer than stale, if requests have earned it.
func (f *Front) probe(v *server, stale Time) bool {
	if f.probes < 1 || !f.inspect(v, stale) {
		return false
	}
	f.probes--
	return true
}

func (f *Front) inspect(v *server, stale Time) bool {
	if !f.set.MayProbe || v.probing || f.now-v.probedAt < Second ||
		(v.link.told && f.now-v.link.useAt < stale) {
		return false
	}
	v.probing, v.probedAt = true, f.now
	f.do(Probe{v.Server})
	return true
}

func (f *Front) alarm() {
	f.do(Timer{tokenTick, tick})
	f.ticks++
	f.retryHeld(false)
	if f.ticks%int(Second/tick) == 0 {
		for _, v := range f.fleet.hosts {
			f.raise(v)
		}
	}
}

// raise gives lasting spare to the sessions that gain most by it. Other fronts see the same spare: this
// one takes its part of it.
func (f *Front) raise(v *server) {
	if f.now-v.shortAt < raiseCalm || v.failed {
		return
	}
	if !v.link.told || f.now-v.link.useAt > raiseFresh {
		if f.set.TellEvery == 0 && f.probes > lookAt { // choices come first; notes need no probe
			f.probe(v, probeStale)
		}
		return
	}
	draw := 1.0
	if v.raisedOn != v.link.useAt { // one draw a report: more would take more than a part
		v.raisedOn, draw = v.link.useAt, 1-f.rng.Float64()
	}
	for {
		link, uplink := f.room(v, mark-raiseGap)
		var best *session
		to, most := 0, 0.0
		for _, s := range v.held {
			if !s.playing || s.left || f.now-s.changed < restRung {
				continue
			}
			r := f.highest(s, v, link, uplink, f.kb(s, s.rung), draw)
			if net := f.worth(s, r) - f.worth(s, s.rung) - changeTimes*f.change(s); r > s.rung && net > most {
				best, to, most = s, r, net
			}
		}
		if best == nil {
			return
		}
		f.setRung(best, to)
	}
}

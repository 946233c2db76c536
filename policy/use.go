package policy

import (
	"math"
	"slices"
)

// What is asked of links and uplinks, by reports and own tally: an estimate, for no front sees all.

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

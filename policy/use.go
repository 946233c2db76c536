package policy

import (
	"math"
	"slices"
)

// Estimated use of links and uplinks, from reports and the rates of own sessions. No front sees the whole
// use.

// applyReport records the load values that a server sent.
func (f *Front) applyReport(v *server, values []float64) {
	for i, field := range f.cfg.Fields[:min(len(f.cfg.Fields), len(values))] {
		x := values[i]
		switch field {
		case FieldLink, FieldUtil:
			f.recordUse(&v.link, x, reportDelay)
		case FieldUplink:
			f.recordUse(&v.rack.meter, x, reportDelay)
		}
	}
}

// recordUse records a use measured age ago. To damp noise it is averaged with a recent estimate.
func (f *Front) recordUse(m *meter, use float64, age Time) {
	at := f.now - age
	if m.reported && at-m.measuredAt < blendWindow {
		now := m.use + (m.ownAt(at)-m.ownAtReport)/m.capacity
		use = reportWeight*use + (1-reportWeight)*max(now, 0)
	}
	m.setUse(use, at)
	f.updateMean(m, use)
}

// updateMean adds a use to the mean that stands for all meters without a report.
func (f *Front) updateMean(m *meter, use float64) {
	mean := f.meanOf(m)
	*mean += (min(max(use-m.ownAtReport/m.capacity, 0), 1) - *mean) * meanWeight
}

// othersUse estimates the use of a meter by other fronts: the last report less this front's part at that
// time. As the report ages the mean of all meters replaces it, which also stands for servers without a
// report.
func (f *Front) othersUse(m *meter) float64 {
	mean := *f.meanOf(m)
	if m.own > 0 {
		mean = (mean + m.own/m.capacity*f.peerMultiplier()) / 2
	}
	if m.servers != nil && !slices.Contains(f.cfg.Fields, FieldUplink) { // uplinks are not reported
		mean = 0
		for _, v := range m.servers {
			mean += f.othersUse(&v.link) * v.link.capacity / m.capacity
		}
	}
	limit := max(maxUse-m.own/m.capacity, 0) // the other fronts keep to maxUse too: no estimate exceeds it
	mean = min(mean, limit)
	if !m.reported {
		return mean
	}
	known := max(m.use-m.ownAtReport/m.capacity, 0)
	// Other fronts saw the same spare capacity: they are assumed to have added what this front has added
	// since.
	unreported := max(m.own-m.ownAtReport, 0) / m.capacity * f.peerMultiplier()
	weight := f.uncertainty(m)
	return (1-weight)*max(known, min(known+unreported, limit)) + weight*mean
}

// peerMultiplier is the number of other fronts that an own addition stands for. Up to maxFullPeers all
// count, as they see the same spare capacity and fill it alike. Of hundreds only the square root counts:
// the own addition is a sample of one, and a single session times hundreds would fill any server.
func (f *Front) peerMultiplier() float64 {
	others := float64(max(f.cfg.Fronts-1, 0))
	return min(others, maxFullPeers+math.Sqrt(max(others-maxFullPeers, 0)))
}

// uncertainty is the part of an estimated use that no report supports: 1 without a report, less for newer
// reports.
func (f *Front) uncertainty(m *meter) float64 {
	if m.servers != nil && !slices.Contains(f.cfg.Fields, FieldUplink) {
		// Uplinks are not reported: the use is that of the servers, the capacity is unknown. The reserve
		// for guesses of the servers is cautious enough.
		average := 0.0
		for _, v := range m.servers {
			average += (1 - f.uncertainty(&v.link)) / float64(len(m.servers))
		}
		return average
	}
	if !m.reported {
		return 1
	}
	return 1 - math.Exp2(-float64(f.now-m.measuredAt)/float64(reportHalfLife))
}

// reportStale tells whether a server's estimated use rests on assumptions more than on a report.
func (f *Front) reportStale(v *server) bool {
	return !v.link.reported || f.now-v.link.measuredAt > reportHalfLife
}

// estimatedUse is the use of a meter by all fronts.
func (f *Front) estimatedUse(m *meter) float64 { return f.othersUse(m) + m.own/m.capacity }

// spareRates gives the rates, in kB a second, that link and uplink can take up to a limit.
func (f *Front) spareRates(v *server, limit float64) (link, uplink float64) {
	link = (limit - f.estimatedUse(&v.link)) * v.link.capacity
	return link, (limit - f.estimatedUse(&v.rack.meter)) * v.rack.capacity
}

// highestRung is the rung rule: it gives the highest rung that the spare rates of link and uplink allow, -1
// if not even the floor. Higher rungs must leave a larger reserve for later sessions. currentKB is what the
// session already uses there. With a draw over 0 only this front's part of the spare rates may be taken.
func (f *Front) highestRung(s *session, v *server, link, uplink, currentKB, draw float64) int {
	floor, baseRung := f.class(s).Floor, f.meanRung(v.rack)-reserveFromRungs
	for rung := f.topRungAt(s, v); rung >= floor; rung-- {
		reserve := maxReserve * min(float64(rung-floor), max(float64(rung)-baseRung, 0)) /
			float64(len(f.cfg.RungKB))
		uplinkReserve := reserve
		if rung > floor { // an uncertain use may be far off, and a short link costs more than a low rung
			link, uplinkUncertainty := f.uncertainty(&v.link), f.uncertainty(&v.rack.meter)
			reserve, uplinkReserve = reserve+uncertaintyReserve*link, uplinkReserve+
				uncertaintyReserve*max(uplinkUncertainty-link, 0) // the same reserve is not left twice
		}
		if f.rateKB(s, rung)-currentKB <= min((link-reserve*v.link.capacity)*f.sparePart(&v.link, draw),
			(uplink-uplinkReserve*v.rack.capacity)*f.sparePart(&v.rack.meter, draw)) {
			return rung
		}
	}
	return -1
}

// sparePart is this front's part of the spare rate: its part of the use, so that the parts of all fronts
// add up to one, but at least an equal part. As one of hundreds its part is too small for a whole rung:
// dividing by a random draw gives it more, the larger the less often.
func (f *Front) sparePart(m *meter, draw float64) float64 {
	if draw <= 0 {
		return 1
	}
	return min(1, max(m.own/max(f.estimatedUse(m)*m.capacity, m.own, 1),
		1/float64(max(f.cfg.Fronts, 1)))/draw)
}

// highestUse is the estimated use of the link or of the uplink, whichever is higher.
func (f *Front) highestUse(v *server) float64 {
	return max(f.estimatedUse(&v.link), f.estimatedUse(&v.rack.meter))
}

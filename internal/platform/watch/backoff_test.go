package watch

import (
	"math/rand"
	"testing"
)

// The service ends all its connections at the same moment. The fronts must not all reconnect in one tick.
func TestReconnectsAreSpreadOut(t *testing.T) {
	const fronts, tick = 300, 5 * ms
	rng := rand.New(rand.NewSource(1))
	rigs := make([]*rig, fronts)
	for i := range rigs {
		rigs[i] = &rig{t: t, now: start, f: New("a:1", 3, rng.Float64)}
		rigs[i].f.Tick(start)
		rigs[i].take()
		rigs[i].connect()
	}
	brokenAt := start + 10*1000*ms
	maxDials, last := 0, Time(0)
	for _, r := range rigs {
		r.now = brokenAt
		r.f.Received(r.now-ms, r.conn, [][]byte{[]byte("3")}, nil) // the connection was stable
		r.f.Lost(r.now, r.conn)
	}
	for now := brokenAt; now <= brokenAt+200*ms; now += tick {
		dials := 0
		for _, r := range rigs {
			before := r.f.Stats.Dials
			r.f.Tick(now)
			dials += int(r.f.Stats.Dials - before)
		}
		if dials > 0 {
			last = now - brokenAt
		}
		maxDials = max(maxDials, dials)
	}
	if maxDials > fronts/2 || last > minBackoff || last == 0 {
		t.Errorf("up to %d of %d connects in one tick, the last after %d ms", maxDials, fronts, last/ms)
	}
}

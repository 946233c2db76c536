package watch

import (
	"math/rand"
	"testing"
)

// The service ends all its connections in one moment, and refuses for a while: the fronts came back together, all in one tick.
func TestAllFrontsDoNotComeBackAtOnce(t *testing.T) {
	const fronts, tick = 300, 5 * ms
	rng := rand.New(rand.NewSource(1))
	rigs := make([]*rig, fronts)
	for i := range rigs {
		rigs[i] = &rig{t: t, now: start, f: New("a:1", 3, rng.Float64)}
		rigs[i].f.Tick(start)
		rigs[i].take()
		rigs[i].up()
	}
	breaks := start + 10*1000*ms
	first, last := 0, Time(0)
	for _, r := range rigs {
		r.now = breaks
		r.f.Received(r.now-ms, r.conn, [][]byte{[]byte("3")}, nil) // it stood long
		r.f.Lost(r.now, r.conn)
	}
	for now := breaks; now <= breaks+200*ms; now += tick {
		n := 0
		for _, r := range rigs {
			before := r.f.Stats.Dials
			r.f.Tick(now)
			n += int(r.f.Stats.Dials - before)
		}
		if n > 0 {
			last = now - breaks
		}
		first = max(first, n)
	}
	if first > fronts/2 || last > pauseMin || last == 0 {
		t.Errorf("%d of %d connects in one tick, the last after %d ms", first, fronts, last/ms)
	}
}

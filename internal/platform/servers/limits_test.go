package servers

import "testing"

// One connection of a server is stuck half way, another is ending, the third has just been lost; the limit has come down. At the
// tick when the stuck one is closed, a connect is due again, and makes room for itself by closing the next that the tick looks at.
func TestAConnectThatClosesTheNextOneLookedAt(t *testing.T) {
	r := newRig(t)
	old := r.plays(5)
	r.setup(6) // its answer never comes
	r.pass(quietFor)
	ending := r.up()
	r.says(ending, ready(5)) // a copy: it has said something
	r.pass(quietFor + 50*ms)
	cur := r.up()
	r.pass(25 * ms)
	if !r.ending[ending] || r.ending[old] || r.closed[ending] || r.closed[old] || r.d.open != 3 {
		t.Fatalf("ending %v, closed %v, %d open", r.ending, r.closed, r.d.open)
	}
	r.d.Limit(1)
	b, err := release(9, 16).Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	r.d.Received(r.now, 1, old, b[:5])
	r.pass(stuckFor - redialGap)
	r.lost(cur, 0)
	if len(r.dials) != 0 || r.closed[old] || r.closed[ending] {
		t.Fatalf("%d connects, closed %v: the order is not as meant", len(r.dials), r.closed)
	}
	r.pass(redialGap)
	if !r.closed[old] || !r.closed[ending] || len(r.dials) != 1 || r.d.open != 1 {
		t.Errorf("closed %v, %d connects, %d open, 1 allowed", r.closed, len(r.dials), r.d.open)
	}
	r.up()
	r.says(r.d.lines[1].cur.conn, release(5, 16))
	r.empty()
}

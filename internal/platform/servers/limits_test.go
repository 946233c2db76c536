package servers

import "testing"

// One connection of a server has an incomplete message, another is half-closed, the third has just been lost; the
// limit was lowered. In the tick that closes the first one, a connect is due again and evicts the connection that the
// same tick would visit next.
func TestEvictionDuringTickClosesConnectionOfSamePeer(t *testing.T) {
	r := newRig(t)
	old := r.startSession(5)
	r.setup(6) // its answer never arrives
	r.advance(silenceTimeout)
	ending := r.connect()
	r.serverSends(ending, ready(5)) // a duplicate: the connection is not silent
	r.advance(silenceTimeout + 50*ms)
	cur := r.connect()
	r.advance(25 * ms)
	if !r.halfClosed[ending] || r.halfClosed[old] || r.closed[ending] || r.closed[old] || r.p.openConns != 3 {
		t.Fatalf("half-closed %v, closed %v, %d open, want 3", r.halfClosed, r.closed, r.p.openConns)
	}
	r.p.SetMaxConns(1)
	b, err := release(9, 16).Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	r.p.Received(r.now, 1, old, b[:5])
	r.advance(partialMessageTimeout - minRedialDelay)
	r.loseConn(cur, 0)
	if len(r.dials) != 0 || r.closed[old] || r.closed[ending] {
		t.Fatalf("%d connects, closed %v: want none before the tick under test", len(r.dials), r.closed)
	}
	r.advance(minRedialDelay)
	if !r.closed[old] || !r.closed[ending] || len(r.dials) != 1 || r.p.openConns != 1 {
		t.Errorf("closed %v, want both; %d connects, want 1; %d open, want 1", r.closed, len(r.dials), r.p.openConns)
	}
	r.connect()
	r.serverSends(r.p.peers[1].current.id, release(5, 16))
	r.checkEmpty()
}

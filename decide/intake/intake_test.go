package intake

import (
	"testing"

	"pgregory.net/rapid"

	"tealledge/policy"
)

var testLimits = Limits{Total: 1600, Read: 100, Bulk: 400, Burst: 1000}

// grantAll grants what can be granted and returns it in order.
func grantAll(s *Scheduler, now policy.Time) (list []*Request) {
	for {
		r, _ := s.Next(now)
		if r == nil {
			return list
		}
		list = append(list, r)
	}
}

// Guards against a client whose requests wait until hundreds of floods have had their turn: the connection of which least
// has arrived goes first, then the one that used least.
func TestConnectionThatSendsLeastGoesFirst(t *testing.T) {
	s := New(testLimits)
	var filling []*Request
	for range testLimits.Total / testLimits.Read {
		filling = append(filling, s.Ask(0, &Usage{}, Served, testLimits.Read))
	}
	if n := len(grantAll(s, 0)); n != len(filling) {
		t.Fatalf("%d of %d reads were granted", n, len(filling))
	}
	for range 300 {
		s.Ask(0, &Usage{bytes: 90, at: 0}, Served, 10*testLimits.Read)
		s.Ask(0, &Usage{bytes: 90, at: 0}, Served, testLimits.Read)
	}
	usual := s.Ask(0, &Usage{bytes: 50, at: 0}, Served, testLimits.Read)
	small := s.Ask(0, &Usage{bytes: 90, at: 0}, Served, testLimits.Read/2)
	if list := grantAll(s, 0); len(list) != 0 {
		t.Fatalf("%d reads were granted past the limit", len(list))
	}
	s.Done(testLimits.Read * 3 / 2)
	if list := grantAll(s, 0); len(list) != 2 || list[0] != small || list[1] != usual {
		t.Errorf("the reads of the connections that send least are not those that are granted: %v", list)
	}
}

// Guards against floods that use up the limit, or that are all granted together.
func TestFloodsAreGrantedOneAtATimeAndLast(t *testing.T) {
	s := New(testLimits)
	flood := s.Ask(0, &Usage{}, Invalid, testLimits.Read)
	heavy := s.Ask(0, &Usage{bytes: float64(testLimits.Burst), at: 0}, Served, testLimits.Read)
	usual := s.Ask(0, &Usage{}, Unknown, testLimits.Read)
	if list := grantAll(s, 0); len(list) != 2 || list[0] != usual || list[1] != heavy || !heavy.Flood() {
		t.Fatalf("want the usual read and one of a flood, the served one first: %v", list)
	}
	s.Done(usual.Granted() + heavy.Granted())
	const took = 7 * policy.Millisecond
	s.FloodDone(took, heavy)
	if r, retryAt := s.Next(took); r != nil || retryAt != 2*took {
		t.Errorf("no pause as long as the turn: %v, retry at %d", r, retryAt)
	}
	if r, _ := s.Next(2 * took); r != flood {
		t.Errorf("the other flood is not granted after the pause: %v", r)
	}
}

// Guards against a client that was served before and waits until what hundreds of new connections have sent is processed.
func TestNewConnectionsUsePartOfTheTotal(t *testing.T) {
	s := New(testLimits)
	for range 300 {
		s.Ask(0, &Usage{}, Unknown, testLimits.Read)
	}
	grantAll(s, 0)
	if s.used > testLimits.Total/otherTotalParts {
		t.Errorf("%d bytes are granted to new connections", s.used)
	}
	served := s.Ask(0, &Usage{}, Served, testLimits.Read)
	if list := grantAll(s, 0); len(list) != 1 || list[0] != served {
		t.Errorf("want the read of the connection that was served granted at once: %v", list)
	}
}

// Guards against hundreds of new connections that together keep the core busy, each with less than counts as a flood.
func TestNewConnectionsInCrowdTakeTurns(t *testing.T) {
	s := New(testLimits)
	arrived := testLimits.Read/crowdReadParts + 1
	alone := s.Ask(0, &Usage{}, Unknown, arrived)
	for range 300 {
		s.Ask(0, &Usage{}, Unknown, arrived)
	}
	small := s.Ask(0, &Usage{}, Unknown, arrived-1)
	if crowded := s.Ask(0, &Usage{}, Unknown, arrived); !crowded.Flood() || alone.Flood() || small.Flood() {
		t.Errorf("floods: in a crowd %v, alone %v, small %v; want only the first", crowded.Flood(), alone.Flood(),
			small.Flood())
	}
}

// Guards against a new connection whose read waits for what a flood, or another new connection, sent in bulk.
func TestBulkIsGrantedOnlyWhileNobodyWaits(t *testing.T) {
	s := New(testLimits)
	flood := s.Ask(0, &Usage{}, Invalid, testLimits.Read)
	grantAll(s, 0)
	if s.More(0, flood, testLimits.Read) {
		t.Error("a flood is granted more than one read")
	}
	s.Done(flood.Granted())
	s.FloodDone(0, flood)
	first := s.Ask(0, &Usage{}, Unknown, testLimits.Read)
	grantAll(s, 0)
	if !s.More(0, first, testLimits.Read) {
		t.Error("no bulk is granted to the only connection that sends")
	}
	for range 100 {
		s.Ask(0, &Usage{}, Unknown, testLimits.Read)
	}
	if grantAll(s, 0); len(s.waiting) == 0 {
		t.Fatal("nobody waits")
	}
	if s.More(0, first, testLimits.Read) {
		t.Error("bulk is granted while others wait")
	}
}

// Guards against reads that wait long because one turn took long, as the process got no core.
func TestPauseAfterFloodIsBounded(t *testing.T) {
	s := New(testLimits)
	first := s.Ask(0, &Usage{}, Invalid, testLimits.Read)
	s.Ask(0, &Usage{}, Invalid, testLimits.Read)
	grantAll(s, 0)
	s.Done(first.Granted())
	const took = 400 * policy.Millisecond
	s.FloodDone(took, first)
	if r, retryAt := s.Next(took); r != nil || retryAt != took+maxFloodPause {
		t.Errorf("granted %v, retry %d ns after the turn, want %d", r, retryAt-took, maxFloodPause)
	}
}

// Guards against a connection that counts as a flood for good.
func TestFloodEndsAfterSilence(t *testing.T) {
	usage := &Usage{bytes: float64(testLimits.Burst), at: 0}
	if r := New(testLimits).Ask(0, usage, Served, testLimits.Read); !r.Flood() {
		t.Error("use of a whole burst does not count as a flood")
	}
	if r := New(testLimits).Ask(halfLife, usage, Served, testLimits.Read); r.Flood() {
		t.Error("a connection counts as a flood after its use has halved")
	}
}

// Laws under any order of calls: no more is granted than the limits allow, no read is kept waiting while nothing is out,
// and what is granted returns to zero.
func TestGrantsKeepLimitsUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(testLimits)
		now := policy.Time(0)
		usages := make([]Usage, 6)
		var waiting, out []*Request
		remaining := map[*Request]int{}
		finish := func(i int) {
			r := out[i]
			out = append(out[:i], out[i+1:]...)
			s.Done(remaining[r])
			if r.Flood() {
				s.FloodDone(now, r)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, int64(20*policy.Millisecond)).Draw(t, "pause")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				waiting = append(waiting, s.Ask(now, &usages[rapid.IntRange(0, 5).Draw(t, "connection")],
					Standing(rapid.IntRange(0, 2).Draw(t, "standing")), rapid.IntRange(1, 300).Draw(t, "bytes")))
			case 1:
				if len(out) > 0 {
					finish(rapid.IntRange(0, len(out)-1).Draw(t, "done"))
				}
			case 2:
				if len(out) > 0 {
					r := out[rapid.IntRange(0, len(out)-1).Draw(t, "more")]
					if s.More(now, r, testLimits.Read) {
						remaining[r] += testLimits.Read
					}
				}
			case 3:
				if len(out) > 0 {
					r := out[rapid.IntRange(0, len(out)-1).Draw(t, "unused")]
					unused := rapid.IntRange(0, remaining[r]).Draw(t, "bytes")
					s.Unused(now, r, unused)
					remaining[r] -= unused
				}
			case 4:
				if i := len(waiting) - 1; i >= 0 && waiting[i].Granted() == 0 {
					s.Cancel(waiting[i])
				}
			}
			floods := 0
			for _, r := range grantAll(s, now) {
				out = append(out, r)
				remaining[r] = r.Granted()
			}
			sum := 0
			for _, r := range out {
				sum += remaining[r]
				if r.Flood() {
					floods++
				}
			}
			if sum != s.used || sum > testLimits.Total+testLimits.Bulk || floods > 1 {
				t.Fatalf("%d bytes are out, %d counted, by %d floods", sum, s.used, floods)
			}
		}
		for len(out) > 0 {
			finish(0)
		}
		for { // whatever waits is granted in the end
			r, retryAt := s.Next(now)
			if r == nil && retryAt == 0 {
				break
			}
			if r == nil {
				now = retryAt
				continue
			}
			s.Done(r.Granted())
			if r.Flood() {
				s.FloodDone(now, r)
			}
		}
		if s.used != 0 || len(s.waiting) != 0 {
			t.Fatalf("%d bytes are counted and %d reads wait at the end", s.used, len(s.waiting))
		}
	})
}

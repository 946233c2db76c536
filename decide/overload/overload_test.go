package overload

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"tealledge/policy"
)

const ms = policy.Millisecond

// server is a queue worked on at a fixed rate behind a gate, in virtual time.
type server struct {
	g      *Gate
	perS   float64
	queue  []item
	budget float64
	served []int // by flow
	turned []int
	stale  int
	waits  []Time
}

type item struct {
	at   Time
	flow int
}

// run plays a millisecond at a time: arrivals a second by flow, for so many milliseconds from now.
func (s *server) run(now Time, length int, arrivals []float64, credit []float64) Time {
	for range length {
		now += ms
		for f := range arrivals {
			for credit[f] += arrivals[f] / 1000; credit[f] >= 1; credit[f]-- {
				if s.g.Admit(now, f) {
					s.queue = append(s.queue, item{now, f})
				} else {
					s.turned[f]++
				}
			}
		}
		for s.budget = min(s.budget+s.perS/1000, 10); s.budget >= 1 && len(s.queue) > 0; {
			it := s.queue[0]
			s.queue = s.queue[1:]
			s.g.Waited(now, now-it.at, len(s.queue))
			if Stale(now-it.at, s.g.Limited()) {
				s.stale++
				s.budget -= 0.05
				continue
			}
			s.served[it.flow]++
			s.waits = append(s.waits, now-it.at)
			s.budget--
		}
	}
	return now
}

func newServer(perS float64, weights ...float64) *server {
	return &server{g: New(weights), perS: perS, served: make([]int, len(weights)), turned: make([]int, len(weights))}
}

func TestUnderCapacityNobodyIsTurnedAway(t *testing.T) {
	s := newServer(1000, 1)
	s.run(policy.Second, 5000, []float64{900}, []float64{0})
	if s.turned[0] > 0 || s.g.Limited() {
		t.Fatal(s.turned)
	}
	// A burst that the queue absorbs is no overload.
	for range 10 {
		s.g.Admit(7*policy.Second, 0)
	}
	if s.turned[0] > 0 {
		t.Fatal("a burst was turned away")
	}
}

func TestOverloadKeepsGoodputAndWaits(t *testing.T) {
	for _, times := range []float64{1.2, 2, 4, 10} {
		s := newServer(1000, 1)
		credit := []float64{0}
		now := s.run(policy.Second, 2000, []float64{1000 * times}, credit) // the rate is being found
		before := s.served[0]
		s.waits = nil
		s.run(now, 10000, []float64{1000 * times}, credit)
		good := float64(s.served[0]-before) / 10000
		if good < 0.9 {
			t.Errorf("at %g times: goodput %.2f of capacity", times, good)
		}
		long := 0
		for _, w := range s.waits {
			if w > 100*ms {
				long++
			}
		}
		if float64(long) > 0.01*float64(len(s.waits)) {
			t.Errorf("at %g times: %d of %d waited over 100 ms", times, long, len(s.waits))
		}
	}
}

func TestItOpensAgainWhenTheCrowdIsGone(t *testing.T) {
	s := newServer(1000, 1)
	credit := []float64{0}
	now := s.run(policy.Second, 3000, []float64{4000}, credit)
	if !s.g.Limited() {
		t.Fatal("no limit at four times")
	}
	now = s.run(now, 3000, []float64{300}, credit)
	turned := s.turned[0]
	s.run(now, 2000, []float64{300}, credit)
	if s.g.Limited() || s.turned[0] > turned {
		t.Fatal("still turned away", s.turned[0]-turned)
	}
}

func TestACrowdOfLowWorthDoesNotStarveTheOther(t *testing.T) {
	s := newServer(1000, 3, 1) // research, public
	credit := []float64{0, 0}
	now := s.run(policy.Second, 2000, []float64{200, 5000}, credit)
	turned, served := s.turned[0], s.served[0]
	s.run(now, 5000, []float64{200, 5000}, credit)
	if s.served[0]-served < 900 || s.turned[0]-turned > 100 {
		t.Fatalf("of 1000 research requests %d served, %d turned away", s.served[0]-served, s.turned[0]-turned)
	}
	if s.served[1] == 0 {
		t.Fatal("the public gets nothing at all")
	}
}

func TestPouringSpendsTheRateByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "flows")
		g := New(make([]float64, n))
		offered := 0.0
		for i := range g.flows {
			g.flows[i].weight = rapid.Float64Range(0.1, 10).Draw(t, "weight")
			g.flows[i].offered = rapid.Float64Range(0, 1000).Draw(t, "offered")
			offered += g.flows[i].offered
		}
		g.rate = rapid.Float64Range(1, 2000).Draw(t, "rate")
		g.pour()
		spent := 0.0
		for _, f := range g.flows {
			if f.share < 0 || f.share > 1+1e-9 {
				t.Fatalf("share %v", f.share)
			}
			spent += f.share * f.offered
		}
		if want := math.Min(g.rate, offered); math.Abs(spent-want) > 1e-6*want+1e-6 {
			t.Fatalf("spent %v of %v, offered %v", spent, g.rate, offered)
		}
		for _, a := range g.flows { // nobody that is cut gets less for its weight than another gets
			for _, b := range g.flows {
				if a.offered > 0 && a.share < 1-1e-9 && b.offered > 0 && a.share*a.offered/a.weight < b.share*b.offered/b.weight-1e-6 {
					t.Fatalf("unfair: %+v against %+v", a, b)
				}
			}
		}
	})
}

func TestLimits(t *testing.T) {
	l := Limits{Front: 10, Connection: 3, Tenant: 6}
	for _, c := range []struct {
		front, conn, tenant, tenants int
		want                         Full
	}{
		{9, 2, 5, 2, NotFull}, {10, 2, 5, 2, FrontFull}, {9, 3, 5, 2, ConnectionFull}, {10, 3, 6, 2, ConnectionFull},
		{9, 2, 6, 2, TenantFull}, {9, 2, 6, 1, NotFull},
	} {
		if got := l.Room(c.front, c.conn, c.tenant, c.tenants); got != c.want {
			t.Errorf("%+v: %q", c, got)
		}
	}
}

func TestTheDoorPacesThoseWhoComeBackAtOnce(t *testing.T) {
	d := Door{PerSecond: 100, Burst: 50, Line: policy.Second}
	now, at := 5*policy.Second, map[Time]int{}
	entered, away := 0, 0
	for range 500 {
		switch v, wait := d.Come(now); v {
		case Now:
			entered++
			at[0]++
		case Later:
			entered++
			at[wait/(100*ms)]++
			if wait > policy.Second {
				t.Fatal("waits", wait)
			}
		case Away:
			away++
		}
	}
	if entered < 148 || entered > 152 || entered+away != 500 {
		t.Fatal(entered, away)
	}
	for slot, n := range at {
		if slot > 0 && n > 12 {
			t.Errorf("%d enter within a tenth of a second", n)
		}
	}
	if v, _ := d.Come(now + 3*policy.Second); v != Now {
		t.Error("closed for good")
	}
}

package overload

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"tealledge/policy"
)

const ms = policy.Millisecond

// server simulates a queue served at a fixed rate behind a RateLimiter, in virtual time.
type server struct {
	limiter   *RateLimiter
	perSecond float64
	queue     []item
	budget    float64
	served    []int // by flow
	rejected  []int
	stale     int
	waits     []Time
}

type item struct {
	at   Time
	flow int
}

// run simulates length milliseconds from now, one at a time, with the arrivals a second of each flow.
func (s *server) run(now Time, length int, arrivals []float64, credit []float64) Time {
	for range length {
		now += ms
		for f := range arrivals {
			for credit[f] += arrivals[f] / 1000; credit[f] >= 1; credit[f]-- {
				if s.limiter.Admit(now, f) {
					s.queue = append(s.queue, item{now, f})
				} else {
					s.rejected[f]++
				}
			}
		}
		for s.budget = min(s.budget+s.perSecond/1000, 10); s.budget >= 1 && len(s.queue) > 0; {
			it := s.queue[0]
			s.queue = s.queue[1:]
			s.limiter.ObserveWait(now, now-it.at, len(s.queue))
			if Stale(now-it.at, s.limiter.Limited()) {
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

func newServer(perSecond float64, weights ...float64) *server {
	return &server{limiter: New(weights), perSecond: perSecond,
		served: make([]int, len(weights)), rejected: make([]int, len(weights))}
}

func TestAdmitsAllBelowCapacity(t *testing.T) {
	s := newServer(1000, 1)
	s.run(policy.Second, 5000, []float64{900}, []float64{0})
	if s.rejected[0] > 0 || s.limiter.Limited() {
		t.Fatal(s.rejected)
	}
	// A burst that the queue absorbs is not overload.
	for range 10 {
		s.limiter.Admit(7*policy.Second, 0)
	}
	if s.rejected[0] > 0 {
		t.Fatal("a burst was refused")
	}
}

func TestOverloadKeepsGoodputAndShortWaits(t *testing.T) {
	for _, times := range []float64{1.2, 2, 4, 10} {
		s := newServer(1000, 1)
		credit := []float64{0}
		now := s.run(policy.Second, 2000, []float64{1000 * times}, credit) // until the limiter has found the rate
		before := s.served[0]
		s.waits = nil
		s.run(now, 10000, []float64{1000 * times}, credit)
		goodput := float64(s.served[0]-before) / 10000
		if goodput < 0.9 {
			t.Errorf("at %g times the capacity: goodput %.2f of capacity", times, goodput)
		}
		long := 0
		for _, w := range s.waits {
			if w > 100*ms {
				long++
			}
		}
		if float64(long) > 0.01*float64(len(s.waits)) {
			t.Errorf("at %g times the capacity: %d of %d requests waited over 100 ms", times, long, len(s.waits))
		}
	}
}

func TestLimitEndsAfterOverload(t *testing.T) {
	s := newServer(1000, 1)
	credit := []float64{0}
	now := s.run(policy.Second, 3000, []float64{4000}, credit)
	if !s.limiter.Limited() {
		t.Fatal("no limit at four times the capacity")
	}
	now = s.run(now, 3000, []float64{300}, credit)
	rejected := s.rejected[0]
	s.run(now, 2000, []float64{300}, credit)
	if s.limiter.Limited() || s.rejected[0] > rejected {
		t.Fatal("still refusing requests", s.rejected[0]-rejected)
	}
}

func TestLowWeightOverloadDoesNotStarveOtherFlows(t *testing.T) {
	s := newServer(1000, 3, 1) // research, public
	credit := []float64{0, 0}
	now := s.run(policy.Second, 2000, []float64{200, 5000}, credit)
	rejected, served := s.rejected[0], s.served[0]
	s.run(now, 5000, []float64{200, 5000}, credit)
	if s.served[0]-served < 900 || s.rejected[0]-rejected > 100 {
		t.Fatalf("of 1000 research requests %d were served, %d refused", s.served[0]-served, s.rejected[0]-rejected)
	}
	if s.served[1] == 0 {
		t.Fatal("no public requests were served")
	}
}

func TestDistributesRateByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "flows")
		limiter := New(make([]float64, n))
		offered := 0.0
		for i := range limiter.flows {
			limiter.flows[i].weight = rapid.Float64Range(0.1, 10).Draw(t, "weight")
			limiter.flows[i].offeredRate = rapid.Float64Range(0, 1000).Draw(t, "offered")
			offered += limiter.flows[i].offeredRate
		}
		limiter.admittedRate = rapid.Float64Range(1, 2000).Draw(t, "rate")
		limiter.distribute()
		spent := 0.0
		for _, f := range limiter.flows {
			if f.admittedShare < 0 || f.admittedShare > 1+1e-9 {
				t.Fatalf("share %v", f.admittedShare)
			}
			spent += f.admittedShare * f.offeredRate
		}
		if want := math.Min(limiter.admittedRate, offered); math.Abs(spent-want) > 1e-6*want+1e-6 {
			t.Fatalf("spent %v of %v, offered %v", spent, limiter.admittedRate, offered)
		}
		for _, a := range limiter.flows { // no limited flow gets less for its weight than another flow
			for _, b := range limiter.flows {
				if a.offeredRate > 0 && a.admittedShare < 1-1e-9 && b.offeredRate > 0 &&
					a.admittedShare*a.offeredRate/a.weight < b.admittedShare*b.offeredRate/b.weight-1e-6 {
					t.Fatalf("flow %+v gets less for its weight than %+v", a, b)
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
		if got := l.Check(c.front, c.conn, c.tenant, c.tenants); got != c.want {
			t.Errorf("%+v: limit %q", c, got)
		}
	}
}

func TestHandshakeLimiterPacesReconnects(t *testing.T) {
	limiter := HandshakeLimiter{PerSecond: 100, Burst: 50, MaxDelay: policy.Second}
	now, at := 5*policy.Second, map[Time]int{}
	admitted, rejected := 0, 0
	for range 500 {
		switch v, wait := limiter.Admit(now); v {
		case Accept:
			admitted++
			at[0]++
		case Delay:
			admitted++
			at[wait/(100*ms)]++
			if wait > policy.Second {
				t.Fatal("delayed by", wait)
			}
		case Reject:
			rejected++
		}
	}
	if admitted < 148 || admitted > 152 || admitted+rejected != 500 {
		t.Fatal(admitted, rejected)
	}
	for slot, n := range at {
		if slot > 0 && n > 12 {
			t.Errorf("%d handshakes are accepted within a tenth of a second", n)
		}
	}
	if v, _ := limiter.Admit(now + 3*policy.Second); v != Accept {
		t.Error("no handshake is accepted after 3 s without any")
	}
}

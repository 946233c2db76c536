package addresses

import (
	"reflect"
	"testing"

	"tealledge/policy"
)

const (
	ms    = policy.Millisecond
	start = 100 * policy.Second
)

func threeAddresses() *Set {
	s := &Set{}
	s.Update([]Address{{Addr: "1.2.3.4:5", Family: IPv4}, {Addr: "[::1]:5", Family: IPv6}, {Addr: "/run/m", Family: Unix}})
	return s
}

func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(s *Set)
		want []int
	}{
		"nothing known: by family":               {func(s *Set) {}, []int{2, 1, 0}},
		"one is much slower":                     {func(s *Set) { s.Connected(2, start, 30*ms) }, []int{1, 0, 2}},
		"a little slower: no difference":         {func(s *Set) { s.Connected(2, start, 100_000); s.Connected(1, start, 50_000) }, []int{2, 1, 0}},
		"one failed: it is in backoff":           {func(s *Set) { s.Failed(2, start) }, []int{1, 0}},
		"two failed":                             {func(s *Set) { s.Failed(2, start); s.Failed(1, start) }, []int{0}},
		"all failed: all are tried":              {func(s *Set) { s.Failed(2, start); s.Failed(1, start); s.Failed(0, start) }, []int{2, 1, 0}},
		"half-open: after the working ones":      {func(s *Set) { s.Failed(2, start-5*policy.Second) }, []int{1, 0, 2}},
		"responded again, an old failure counts": {func(s *Set) { s.Failed(2, start-5*policy.Second); s.Responded(2, start) }, []int{1, 0, 2}},
		"failed long ago: no longer counts":      {func(s *Set) { s.Failed(2, start-5*policy.Second*100/2); s.Responded(2, start) }, []int{2, 1, 0}},
	} {
		s := threeAddresses()
		c.do(s)
		if got := s.Order(start); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestServerIsUnreachableOnlyWhenAllAddressesFailed(t *testing.T) {
	s := threeAddresses()
	for i := range s.Addresses {
		if s.Unreachable(start) {
			t.Fatal("unreachable although an address was not tried")
		}
		s.Failed(i, start)
	}
	if !s.Unreachable(start) || s.Unreachable(start+2*policy.Second) {
		t.Fatal("unreachable after all failed, and 2 s later:",
			s.Unreachable(start), s.Unreachable(start+2*policy.Second))
	}
}

func TestBackoffGrowsAndEndsOnResponseOnly(t *testing.T) {
	s := threeAddresses()
	now := Time(start)
	for _, want := range []Time{1, 2, 4, 8, 16, 30, 30} {
		s.Failed(0, now)
		if got := s.Addresses[0].backoffUntil - now; got != want*policy.Second {
			t.Fatalf("backoff %v, want %d s", got, want)
		}
		if _, ok := s.RecheckDue(now); ok {
			t.Fatal("recheck due during the backoff")
		}
		now = s.Addresses[0].backoffUntil
		if i, ok := s.RecheckDue(now); !ok || i != 0 {
			t.Fatal("no recheck due after the backoff")
		}
		s.Connected(0, now, ms) // accepting a connection proves nothing
		if _, ok := s.RecheckDue(now); !ok {
			t.Fatal("a connect alone ended the failed state")
		}
	}
	s.Responded(0, now)
	if _, ok := s.RecheckDue(now); ok || s.Addresses[0].InBackoff(now) {
		t.Fatal("a response did not end the failed state")
	}
}

func TestClosedConnectionStartsBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		lifetime  Time
		responded bool
		backsOff  bool
	}{
		"accepted and reset":               {10 * ms, false, true},
		"responded once and reset":         {10 * ms, true, true},
		"open for long without a response": {10 * policy.Second, false, true},
		"open for long with responses":     {10 * policy.Second, true, false},
	} {
		s := threeAddresses()
		s.ConnectionClosed(1, start, start-c.lifetime, c.responded)
		if s.Addresses[1].InBackoff(start) != c.backsOff {
			t.Errorf("%s: in backoff: %v", name, !c.backsOff)
		}
	}
}

func TestDelayLeavesTimeForRemainingAddresses(t *testing.T) {
	s := threeAddresses()
	if d := s.Delay(0, 250*ms, 2); d != minDelay {
		t.Error("delay without a known connect time:", d)
	}
	s.Connected(0, start, 15*ms)
	if d := s.Delay(0, 250*ms, 2); d < 50*ms || d > 80*ms {
		t.Error("delay with a usual connect time of 15 ms:", d)
	}
	if d := s.Delay(0, 30*ms, 2); d > 10*ms {
		t.Error("delay with 30 ms left for three addresses:", d)
	}
	if !FallbackFits(100*ms, policy.Second) || FallbackFits(400*ms, policy.Second) {
		t.Error("FallbackFits is wrong")
	}
}

func TestUpdateKeepsRecordsAndDropsDuplicates(t *testing.T) {
	s := threeAddresses()
	s.Failed(1, start)
	if !s.Update([]Address{{Addr: "[::1]:5", Family: IPv6}, {Addr: "[::1]:5", Family: IPv6},
		{Addr: "9.9.9.9:1", Family: IPv4}}) {
		t.Error("a change was not reported")
	}
	if len(s.Addresses) != 2 || !s.Addresses[0].InBackoff(start) || s.Addresses[1].InBackoff(start) {
		t.Fatalf("%+v", s.Addresses)
	}
	if s.Update([]Address{{Addr: "[::1]:5", Family: IPv6},
		{Addr: "9.9.9.9:1", Family: IPv4}}) {
		t.Error("a change was reported where there is none")
	}
}

// TestPacesConnectsToRestartedServer counts the connects that a server gets from the pools of fifty fronts within the
// first second after its restart.
func TestPacesConnectsToRestartedServer(t *testing.T) {
	seen := 0
	for front := range 50 {
		var p Pacer
		p.Restarted(7, start, float64(front)/50)
		connected := false
		for now := Time(start); now < start+policy.Second; now += 50 * ms {
			if !connected && p.Allow(7, now, false) {
				connected = true
				seen++
			}
		}
	}
	if seen > 27 || seen < 20 { // without pacing all fifty connect in the first tick
		t.Error(seen, "connects in the first second")
	}
	var p Pacer
	allowed := 0
	for range 100 {
		if p.Allow(7, start, false) {
			allowed++
		}
	}
	if allowed != serverBurst || !p.Allow(7, start, true) {
		t.Error(allowed, "connects allowed at once to one server, or a viewer's connect was refused")
	}
	allowed = 0
	for server := range uint32(500) {
		if p.Allow(server+100, start, false) {
			allowed++
		}
	}
	if allowed > globalBurst {
		t.Error(allowed, "connects allowed at once in total")
	}
}

func TestParse(t *testing.T) {
	for in, want := range map[string]Address{
		"10.0.0.1:554":          {Addr: "10.0.0.1:554", Family: IPv4},
		"[::ffff:10.0.0.1]:554": {Addr: "10.0.0.1:554", Family: IPv4},
		"[2001:db8:0::1]:554":   {Addr: "[2001:db8::1]:554", Family: IPv6},
		"/run/media.sock":       {Addr: "/run/media.sock", Family: Unix},
		"media-7:554":           {Addr: "media-7:554", Family: IPv4},
	} {
		if got, err := Parse(in); err != nil || got != want {
			t.Errorf("%s: %+v, %v", in, got, err)
		}
	}
	for _, in := range []string{"", "10.0.0.1", "10.0.0.1:", ":554", "10.0.0.1:0", "a:b:c", "http://x:1", "[::1:5",
		"/" + string(make([]byte, 200))} {
		if got, err := Parse(in); err == nil {
			t.Errorf("%q parsed as %+v, want an error", in, got)
		}
	}
}

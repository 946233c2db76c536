package paths

import (
	"reflect"
	"testing"

	"tealledge/policy"
)

const (
	ms   = policy.Millisecond
	zero = 100 * policy.Second
)

func three() *Set {
	s := &Set{}
	s.Update([]Path{{Addr: "1.2.3.4:5", Family: IPv4}, {Addr: "[::1]:5", Family: IPv6}, {Addr: "/run/m", Family: Unix}})
	return s
}

func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(s *Set)
		want []int
	}{
		"nothing known: by family":            {func(s *Set) {}, []int{2, 1, 0}},
		"one is much slower":                  {func(s *Set) { s.Connected(2, zero, 30*ms) }, []int{1, 0, 2}},
		"a little slower says nothing":        {func(s *Set) { s.Connected(2, zero, 100_000); s.Connected(1, zero, 50_000) }, []int{2, 1, 0}},
		"one failed: it rests":                {func(s *Set) { s.Failed(2, zero) }, []int{1, 0}},
		"two failed":                          {func(s *Set) { s.Failed(2, zero); s.Failed(1, zero) }, []int{0}},
		"all failed: tried all the same":      {func(s *Set) { s.Failed(2, zero); s.Failed(1, zero); s.Failed(0, zero) }, []int{2, 1, 0}},
		"rested: behind the good ones":        {func(s *Set) { s.Failed(2, zero-5*policy.Second) }, []int{1, 0, 2}},
		"proved again, an old failure weighs": {func(s *Set) { s.Failed(2, zero-5*policy.Second); s.Proved(2, zero) }, []int{1, 0, 2}},
		"long ago: forgotten":                 {func(s *Set) { s.Failed(2, zero-5*policy.Second*100/2); s.Proved(2, zero) }, []int{2, 1, 0}},
	} {
		s := three()
		c.do(s)
		if got := s.Order(zero); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestTheServerIsGoneOnlyWhenAllPathsAreDark(t *testing.T) {
	s := three()
	for i := range s.Paths {
		if s.Dark(zero) {
			t.Fatal("dark with a path untried")
		}
		s.Failed(i, zero)
	}
	if !s.Dark(zero) || s.Dark(zero+2*policy.Second) {
		t.Fatal("dark", s.Dark(zero), s.Dark(zero+2*policy.Second))
	}
}

func TestRestsGrowAndAreEndedByAnAnswerNotByAConnect(t *testing.T) {
	s := three()
	now := Time(zero)
	for _, want := range []Time{1, 2, 4, 8, 16, 30, 30} {
		s.Failed(0, now)
		if got := s.Paths[0].restUntil - now; got != want*policy.Second {
			t.Fatalf("rests %v, want %d s", got, want)
		}
		if _, ok := s.Recheck(now); ok {
			t.Fatal("rechecked while it rests")
		}
		now = s.Paths[0].restUntil
		if i, ok := s.Recheck(now); !ok || i != 0 {
			t.Fatal("never rechecked")
		}
		s.Connected(0, now, ms) // it accepts, which proves nothing
		if _, ok := s.Recheck(now); !ok {
			t.Fatal("a connect alone ended it")
		}
	}
	s.Proved(0, now)
	if _, ok := s.Recheck(now); ok || s.Paths[0].Resting(now) {
		t.Fatal("an answer did not end it")
	}
}

func TestHowAConnectionEnded(t *testing.T) {
	for name, c := range map[string]struct {
		stood    Time
		answered bool
		bad      bool
	}{
		"accepted and reset":      {10 * ms, false, true},
		"answered once and reset": {10 * ms, true, true},
		"silent for long":         {10 * policy.Second, false, true},
		"useful and long":         {10 * policy.Second, true, false},
	} {
		s := three()
		s.Broke(1, zero, zero-c.stood, c.answered)
		if s.Paths[1].Resting(zero) != c.bad {
			t.Errorf("%s: rests %v", name, !c.bad)
		}
	}
}

func TestDelaysLeaveTimeForAllPaths(t *testing.T) {
	s := three()
	if d := s.Delay(0, 250*ms, 2); d != delayLeast {
		t.Error("nothing known:", d)
	}
	s.Connected(0, zero, 15*ms)
	if d := s.Delay(0, 250*ms, 2); d < 50*ms || d > 80*ms {
		t.Error("usually 15 ms:", d)
	}
	if d := s.Delay(0, 30*ms, 2); d > 10*ms {
		t.Error("30 ms left for three:", d)
	}
	if !Worth(100*ms, policy.Second) || Worth(400*ms, policy.Second) {
		t.Error("the next holder's time")
	}
}

func TestUpdatesKeepTheRecordAndDropDoubles(t *testing.T) {
	s := three()
	s.Failed(1, zero)
	if !s.Update([]Path{{Addr: "[::1]:5", Family: IPv6}, {Addr: "[::1]:5", Family: IPv6}, {Addr: "9.9.9.9:1", Family: IPv4}}) {
		t.Error("no change told")
	}
	if len(s.Paths) != 2 || !s.Paths[0].Resting(zero) || s.Paths[1].Resting(zero) {
		t.Fatalf("%+v", s.Paths)
	}
	if s.Update([]Path{{Addr: "[::1]:5", Family: IPv6}, {Addr: "9.9.9.9:1", Family: IPv4}}) {
		t.Error("a change told for none")
	}
}

// TestFiftyFrontsAndARestartedServer counts the connects that a server sees from the pools of fifty fronts within the
// first second after its restart, paced and not.
func TestFiftyFrontsAndARestartedServer(t *testing.T) {
	seen := 0
	for front := range 50 {
		var p Pace
		p.Restarted(7, zero, float64(front)/50)
		connected := false
		for now := Time(zero); now < zero+policy.Second; now += 50 * ms {
			if !connected && p.Allow(7, now, false) {
				connected = true
				seen++
			}
		}
	}
	if seen > 27 || seen < 20 { // without the pacing all fifty come in the first tick
		t.Error(seen, "connects in the first second")
	}
	var p Pace
	allowed := 0
	for range 100 {
		if p.Allow(7, zero, false) {
			allowed++
		}
	}
	if allowed != serverBurst || !p.Allow(7, zero, true) {
		t.Error(allowed, "at once to one server; a viewer's must go")
	}
	allowed = 0
	for server := range uint32(500) {
		if p.Allow(server+100, zero, false) {
			allowed++
		}
	}
	if allowed > allBurst {
		t.Error(allowed, "at once in all")
	}
}

func TestAddresses(t *testing.T) {
	for in, want := range map[string]Path{
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
	for _, in := range []string{"", "10.0.0.1", "10.0.0.1:", ":554", "10.0.0.1:0", "a:b:c", "http://x:1", "[::1:5", "/" + string(make([]byte, 200))} {
		if got, err := Parse(in); err == nil {
			t.Errorf("%q taken as %+v", in, got)
		}
	}
}

package watch

import (
	"fmt"
	"math/rand"
	"testing"

	"tealledge/policy"
)

// slowService is a journal service whose lines come late, in order on each connection.
type slowService struct {
	t      *testing.T
	f      *Follower
	now    Time
	lag    func(now Time, conn uint64) (lag Time, dead bool) // dead: the connection stays open and brings nothing
	events int
	queues map[uint64][]lateLine
	arrive map[int]Time // when the front had each event
	dials  int
}

// lateLine is a line that comes at a time.
type lateLine struct {
	text string
	at   Time
}

func newSlowService(t *testing.T, lag func(Time, uint64) (Time, bool)) *slowService {
	return &slowService{t: t, f: New("a:1", 0, func() float64 { return 0.5 }), now: start, lag: lag,
		queues: map[uint64][]lateLine{}, arrive: map[int]Time{}}
}

// queue queues a line on a connection.
func (s *slowService) queue(conn uint64, text string) {
	lag, dead := s.lag(s.now, conn)
	if dead {
		return
	}
	at := s.now + lag
	if list := s.queues[conn]; len(list) > 0 {
		at = max(at, list[len(list)-1].at)
	}
	s.queues[conn] = append(s.queues[conn], lateLine{text, at})
}

// add adds an event.
func (s *slowService) add() {
	s.events++
	for conn := range s.queues {
		s.queue(conn, eventLine(s.events))
	}
}

// run advances the time and delivers what is due. The service sends its number each second.
func (s *slowService) run(d Time) {
	for end := s.now + d; s.now < end; {
		s.now += 25 * ms
		if s.now%policy.Second == 0 {
			for conn := range s.queues {
				s.queue(conn, fmt.Sprint(s.events))
			}
		}
		for conn, list := range s.queues {
			for len(list) > 0 && list[0].at <= s.now {
				s.f.Received(s.now, conn, [][]byte{[]byte(list[0].text)}, nil)
				list = list[1:]
			}
			s.queues[conn] = list
		}
		s.f.Tick(s.now)
		s.takeEffects()
	}
}

// takeEffects carries out connects, requests and closes.
func (s *slowService) takeEffects() {
	for {
		effects, events := s.f.Take()
		for _, e := range events {
			s.arrive[int(e.Pos)] = s.now
		}
		for _, e := range effects {
			switch {
			case e.Dial != "":
				s.dials++
				s.f.Connected(s.now, e.Conn)
			case e.Close:
				delete(s.queues, e.Conn)
			default:
				var from int
				fmt.Sscanf(string(e.Bytes), "tail %d", &from)
				s.queues[e.Conn] = []lateLine{}
				for pos := from + 1; pos <= s.events; pos++ {
					s.queue(e.Conn, eventLine(pos))
				}
			}
		}
		if len(effects) == 0 {
			return
		}
	}
}

// checkArrives checks that an event added now arrives in time.
func (s *slowService) checkArrives(within Time) {
	s.t.Helper()
	s.add()
	added := s.now
	s.run(within + 200*ms)
	if at, ok := s.arrive[s.events]; !ok || at-added > within {
		s.t.Errorf("event %d arrived after %d ms (%v), want within %d ms", s.events, (at-added)/ms, ok, within/ms)
	}
}

// Guards against a slow service whose connections are given up again and again before their first line: the front never
// learned that servers leave (review, case 3).
func TestFollowsSlowService(t *testing.T) {
	for _, lag := range []Time{500 * ms, 1600 * ms, 2500 * ms, 5 * policy.Second, 10 * policy.Second} {
		slow := false
		s := newSlowService(t, func(Time, uint64) (Time, bool) {
			if slow {
				return lag, false
			}
			return 0, false
		})
		s.run(5 * policy.Second)
		slow = true
		s.checkArrives(lag + 50*ms)
		before := s.dials
		s.run(20 * policy.Second)
		if n := s.dials - before; n > 4 {
			t.Errorf("lag %d ms: %d connects in 20 s", lag/ms, n)
		}
		s.checkArrives(lag + 50*ms)
		slow = false
		s.checkArrives(lag + 50*ms)
	}
}

// A connection that stays open and brings nothing is noticed in time, also if the service is slow on the next ones.
func TestNoticesDeadConnectionOfSlowService(t *testing.T) {
	for _, lag := range []Time{0, 500 * ms, 2500 * ms, 5 * policy.Second, 10 * policy.Second} {
		slow := false
		s := newSlowService(t, func(_ Time, conn uint64) (Time, bool) { return lag, slow && conn == 1 })
		s.run(lag + 5*policy.Second)
		slow = true
		s.checkArrives(silenceTimeout + minBackoff + lag + 100*ms)
	}
}

// Lags that differ by line and by connection, and that grow and shrink: each event arrives within the longest lag and the
// time in which a silent connection is noticed.
func TestFollowsServiceWithChangingLags(t *testing.T) {
	const longest = 10 * policy.Second
	for seed := range int64(20) {
		rng := rand.New(rand.NewSource(seed))
		byConn := map[uint64]Time{}
		random := func() Time { return 500*ms + Time(rng.Int63n(int64(longest-500*ms))) }
		for name, lag := range map[string]func(now Time, conn uint64) (Time, bool){
			"by line": func(Time, uint64) (Time, bool) { return random(), false },
			"by connection": func(_ Time, conn uint64) (Time, bool) {
				if byConn[conn] == 0 {
					byConn[conn] = random()
				}
				return byConn[conn], false
			},
			"growing and shrinking": func(now Time, _ uint64) (Time, bool) {
				phase := (now - start) % (40 * policy.Second)
				return min(phase, 40*policy.Second-phase) / 2, false
			},
		} {
			t.Run(name, func(t *testing.T) {
				clear(byConn)
				s := newSlowService(t, lag)
				for range 4 {
					s.run(Time(rng.Int63n(int64(8 * policy.Second))))
					s.checkArrives(longest + silenceTimeout + minBackoff + 100*ms)
				}
			})
		}
	}
}

// Fronts that notice the silence of the service in the same moment do not all ask again in one tick.
func TestRequestsAfterSilenceAreSpreadOut(t *testing.T) {
	const fronts, tick = 300, 5 * ms
	rng := rand.New(rand.NewSource(1))
	list := make([]*Follower, fronts)
	for i := range list {
		list[i] = New("a:1", 3, rng.Float64)
		list[i].Tick(start)
		list[i].Connected(start, 1)
	}
	most := 0
	for now := start; now < start+silenceTimeout+200*ms; now += tick {
		dials := 0
		for _, f := range list {
			before := f.Stats.Dials
			f.Tick(now)
			dials += int(f.Stats.Dials - before)
		}
		most = max(most, dials)
	}
	if most == 0 || most > fronts/2 {
		t.Errorf("up to %d of %d connects in one tick", most, fronts)
	}
}

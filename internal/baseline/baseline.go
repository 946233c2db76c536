// Package baseline holds plain policies that stand in for the decision module, to compare it with: a random holder,
// or the holder with the fewest of this front's own sessions. They keep the rules (drains, seats, paid set-ups,
// the budget) and decide nothing cleverly; they never serve viewers in earnest.
package baseline

import (
	"math/rand"
	"slices"

	"tealledge/policy"
)

// Kind names a baseline.
type Kind string

// The baselines.
const (
	Random Kind = "random"
	Fewest Kind = "fewest"
)

type session struct {
	policy.Ask
	attempts int
	at       uint32
	out      bool
	unsure   bool
	tried    []uint32
}

// Front is a baseline in the module's place.
type Front struct {
	kind     Kind
	set      policy.Settings
	rng      *rand.Rand
	servers  map[uint32]policy.Entry
	sessions map[uint64]*session
	held     map[uint32]int
	taken    []policy.Time
	further  []policy.Time
}

// New makes a baseline.
func New(kind Kind, set policy.Settings, seed uint64) *Front {
	return &Front{kind: kind, set: set, rng: rand.New(rand.NewSource(int64(seed))), servers: map[uint32]policy.Entry{},
		sessions: map[uint64]*session{}, held: map[uint32]int{}}
}

// Handle takes an event and gives the actions that follow.
func (f *Front) Handle(now policy.Time, event policy.Event) []policy.Action {
	switch e := event.(type) {
	case policy.List:
		f.list(e)
	case policy.Request:
		f.taken = append(f.taken, now)
		s := &session{Ask: e.Ask}
		f.sessions[e.ID] = s
		return f.place(now, s)
	case policy.Outcome:
		return f.outcome(now, e)
	case policy.Gone:
		if s := f.sessions[e.ID]; s != nil && !s.out {
			delete(f.sessions, e.ID)
		}
	}
	return nil
}

func (f *Front) list(l policy.List) {
	if l.Kind == policy.ListFailed {
		return
	}
	if l.Kind != policy.ListDelta {
		clear(f.servers)
	}
	for _, e := range l.Entries {
		f.servers[e.Server] = e
	}
}

func (f *Front) outcome(now policy.Time, e policy.Outcome) []policy.Action {
	s := f.sessions[e.ID]
	if s == nil || !s.out || s.attempts-1 != e.Attempt {
		return nil
	}
	s.out = false
	f.held[s.at]--
	s.unsure = s.unsure || e.Status != policy.Full && e.Status != policy.NoConnect && e.Status != policy.Moot
	if e.Final {
		delete(f.sessions, e.ID)
		return nil
	}
	return f.place(now, s)
}

func (f *Front) place(now policy.Time, s *session) []policy.Action {
	class := f.set.Classes[s.Class]
	v := f.pick(s)
	if v == 0 || now >= s.Deadline || s.attempts >= f.set.MaxAttempts || s.attempts > 0 &&
		(s.unsure && class.Paid || !f.mayRetry(now)) || class.Seats > 0 && f.seated(s) >= class.Seats {
		delete(f.sessions, s.ID)
		if s.unsure && class.Paid || now >= s.Deadline {
			return []policy.Action{policy.Fail{ID: s.ID}}
		}
		return []policy.Action{policy.Refuse{ID: s.ID, After: f.set.MaxRetry}}
	}
	if s.attempts > 0 {
		f.further = append(f.further, now)
	}
	s.attempts++
	s.at, s.out, s.tried = v, true, append(s.tried, v)
	f.held[v]++
	timeout := s.Deadline - now
	if !class.Paid {
		timeout = min(timeout, class.Aim/2)
	}
	return []policy.Action{policy.Send{ID: s.ID, Server: v, Timeout: timeout}}
}

// pick gives a ready holder not tried yet, 0 if there is none.
func (f *Front) pick(s *session) uint32 {
	var list []uint32
	for id, e := range f.servers {
		off := ((e.Cell-s.Home)%f.set.Cells + f.set.Cells) % f.set.Cells
		if e.Health == policy.Ready && off < s.Copies && !slices.Contains(s.tried, id) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	if f.kind == Fewest {
		return slices.MinFunc(list, func(a, b uint32) int { return f.held[a] - f.held[b] })
	}
	return list[f.rng.Intn(len(list))]
}

func (f *Front) seated(s *session) (n int) {
	for _, o := range f.sessions {
		if o.out && o.Class == s.Class && o.Title == s.Title {
			n++
		}
	}
	return n
}

func (f *Front) mayRetry(now policy.Time) bool {
	since := func(list []policy.Time) float64 {
		n := 0
		for _, t := range list {
			if t >= now-f.set.BudgetSpan {
				n++
			}
		}
		return float64(n)
	}
	return !f.set.Budgeted || since(f.further)+1 <= f.set.SpareAttempts+f.set.Ratio*since(f.taken)
}

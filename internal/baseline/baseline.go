// Package baseline has simple policies to compare the decision module with: a random holder, or the holder with the
// fewest sessions of this front. They keep the rules (drains, seats, paid set-ups, the retry budget) but optimize
// nothing. They are not meant for production.
package baseline

import (
	"math/rand"
	"slices"

	"tealledge/policy"
)

// Kind names a baseline.
type Kind string

// Kinds of baselines.
const (
	Random Kind = "random"
	Fewest Kind = "fewest"
)

// session is a request until its end.
type session struct {
	policy.SessionSpec
	attempts   int
	server     uint32
	inFlight   bool
	mayHaveRun bool
	tried      []uint32
}

// Front is a baseline policy with the interface of policy.Front.
type Front struct {
	kind          Kind
	cfg           policy.Settings
	rng           *rand.Rand
	servers       map[uint32]policy.Entry
	sessions      map[uint64]*session
	sessionCounts map[uint32]int
	requestTimes  []policy.Time
	retryTimes    []policy.Time
}

// New returns a baseline front.
func New(kind Kind, cfg policy.Settings, seed uint64) *Front {
	return &Front{kind: kind, cfg: cfg, rng: rand.New(rand.NewSource(int64(seed))), servers: map[uint32]policy.Entry{},
		sessions: map[uint64]*session{}, sessionCounts: map[uint32]int{}}
}

// Handle processes an event and returns the resulting actions.
func (f *Front) Handle(now policy.Time, event policy.Event) []policy.Action {
	switch e := event.(type) {
	case policy.List:
		f.updateList(e)
	case policy.Request:
		f.requestTimes = append(f.requestTimes, now)
		s := &session{SessionSpec: e.SessionSpec}
		f.sessions[e.ID] = s
		return f.place(now, s)
	case policy.Outcome:
		return f.handleOutcome(now, e)
	case policy.ViewerLeft:
		if s := f.sessions[e.ID]; s != nil && !s.inFlight {
			delete(f.sessions, e.ID)
		}
	}
	return nil
}

// updateList applies a server list or a change of it.
func (f *Front) updateList(l policy.List) {
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

// handleOutcome ends an attempt and places the request again unless it is over.
func (f *Front) handleOutcome(now policy.Time, e policy.Outcome) []policy.Action {
	s := f.sessions[e.ID]
	if s == nil || !s.inFlight || s.attempts-1 != e.Attempt {
		return nil
	}
	s.inFlight = false
	f.sessionCounts[s.server]--
	s.mayHaveRun = s.mayHaveRun || e.Status != policy.Full && e.Status != policy.NoConnect && e.Status != policy.NotSent
	if e.Final {
		delete(f.sessions, e.ID)
		return nil
	}
	return f.place(now, s)
}

// place sends a request to a holder, or ends it.
func (f *Front) place(now policy.Time, s *session) []policy.Action {
	class := f.cfg.Classes[s.Class]
	server := f.pickHolder(s)
	if server == 0 || now >= s.Deadline || s.attempts >= f.cfg.MaxAttempts || s.attempts > 0 &&
		(s.mayHaveRun && class.Paid || !f.withinRetryBudget(now)) || class.Seats > 0 && f.seatsInUse(s) >= class.Seats {
		delete(f.sessions, s.ID)
		if s.mayHaveRun && class.Paid || now >= s.Deadline {
			return []policy.Action{policy.Fail{ID: s.ID}}
		}
		return []policy.Action{policy.Refuse{ID: s.ID, After: f.cfg.MaxRetryAfter}}
	}
	if s.attempts > 0 {
		f.retryTimes = append(f.retryTimes, now)
	}
	s.attempts++
	s.server, s.inFlight, s.tried = server, true, append(s.tried, server)
	f.sessionCounts[server]++
	timeout := s.Deadline - now
	if !class.Paid {
		timeout = min(timeout, class.SetupTarget/2)
	}
	return []policy.Action{policy.Send{ID: s.ID, Server: server, Timeout: timeout}}
}

// pickHolder chooses a ready holder that was not tried yet, 0 if there is none.
func (f *Front) pickHolder(s *session) uint32 {
	var list []uint32
	for id, e := range f.servers {
		offset := ((e.Cell-s.Home)%f.cfg.Cells + f.cfg.Cells) % f.cfg.Cells
		if e.Health == policy.Ready && offset < s.Copies && !slices.Contains(s.tried, id) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	if f.kind == Fewest {
		return slices.MinFunc(list, func(a, b uint32) int { return f.sessionCounts[a] - f.sessionCounts[b] })
	}
	return list[f.rng.Intn(len(list))]
}

// seatsInUse counts this front's sessions of the same class and title.
func (f *Front) seatsInUse(s *session) (n int) {
	for _, o := range f.sessions {
		if o.inFlight && o.Class == s.Class && o.Title == s.Title {
			n++
		}
	}
	return n
}

// withinRetryBudget tells whether another retry fits the retry budget.
func (f *Front) withinRetryBudget(now policy.Time) bool {
	countRecent := func(list []policy.Time) float64 {
		n := 0
		for _, t := range list {
			if t >= now-f.cfg.RetryWindow {
				n++
			}
		}
		return float64(n)
	}
	return !f.cfg.RetriesLimited || countRecent(f.retryTimes)+1 <=
		f.cfg.SpareRetries+f.cfg.RetryRatio*countRecent(f.requestTimes)
}

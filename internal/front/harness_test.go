package front

import (
	"testing"

	"tealledge/policy"
)

const (
	start = 1000 * policy.Second
	ms    = policy.Millisecond
)

// settings returns settings for 3 servers that all hold all titles. Class 0 is safe, class 1 paid, class 2 has a floor.
func settings() policy.Settings {
	return policy.Settings{Fronts: 1, Classes: []policy.Class{
		{SetupTarget: policy.Second, Deadline: 4 * policy.Second, Worth: 1, Scale: 1, Top: 3},
		{SetupTarget: policy.Second, Deadline: 3 * policy.Second, Worth: 2, Scale: 1, Top: 3, Paid: true},
		{SetupTarget: policy.Second, Deadline: 3 * policy.Second, Worth: 2, Scale: 1, Floor: 1, Top: 3}},
		RungKB: []float64{50, 100, 200, 400}, RungWorth: []float64{0.2, 0.5, 0.8, 1}, FleetKB: 4000, RackKB: 2000,
		WeightKB: 1000, Racks: 1, Cells: 3, KindSlots: []float64{40}, StallCost: 8, ChangeCost: 0.5, ExtraViewerCost: 1,
		Fields: []policy.Field{policy.FieldLink, policy.FieldUplink}, InlineReports: true, MaxAttempts: 4, RetryAfter: true,
		MaxRetryAfter: 2 * policy.Second, DrainGrace: policy.Second / 4}
}

// harness drives a core step by step.
type harness struct {
	t    *testing.T
	core *Core
	now  Time
	out  []Effect
}

func newHarness(t *testing.T, module Module) *harness {
	set := settings()
	if module == nil {
		module = policy.New(set, 1)
	}
	lastToken := uint64(1000)
	newToken := func() uint64 { lastToken++; return lastToken }
	r := &harness{t: t, now: start, core: New(Config{Settings: set, Module: module, NewToken: newToken,
		AnswerMargin: 50 * ms, FailsafeMargin: 20 * ms, MoveTokenTTL: 10 * policy.Second, MaxMoveTokens: 2,
		ResumeWindow: 3 * policy.Second})}
	r.step(Listed{policy.List{Kind: policy.ListFull, Entries: entries(policy.Ready, 1, 2, 3)}})
	return r
}

func entries(h policy.Health, ids ...uint32) (out []policy.Entry) {
	for _, id := range ids {
		out = append(out, policy.Entry{Server: id, Cell: int(id) - 1, Size: 1, Health: h})
	}
	return out
}

func (r *harness) step(e Event) []Effect {
	r.out = append([]Effect(nil), r.core.Step(r.now, e)...)
	return r.out
}

func (r *harness) request(class int) []Effect {
	return r.step(Request{Player: 77, ReadAt: r.now, Title: 5, Copies: 3, Class: class, Viewer: 9, Top: 3})
}

// advance lets time pass, fires every timer at its time and returns all effects.
func (r *harness) advance(d Time) (all []Effect) {
	for end := r.now + d; ; {
		at, ok := r.core.Next()
		if !ok || at > end {
			r.now = end
			return all
		}
		r.now = max(at, r.now)
		all = append(all, r.core.Advance(r.now)...)
	}
}

// effectsOf returns the effects of type T.
func effectsOf[T any](list []Effect) (out []T) {
	for _, e := range list {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// onlyEffect returns the single effect of type T and fails the test if there is not exactly one.
func onlyEffect[T any](t *testing.T, list []Effect) T {
	t.Helper()
	got := effectsOf[T](list)
	if len(got) != 1 {
		t.Fatalf("want one %T in %+v", *new(T), list)
	}
	return got[0]
}

// answers returns the number of answers to requests.
func answers(list []Effect) (n int) {
	return len(effectsOf[Plays](list)) + len(effectsOf[Refused](list)) + len(effectsOf[Failed](list))
}

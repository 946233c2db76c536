package policy

import (
	"math/rand"
	"testing"
)

// budgeted has a front whose first window is over: all of its budget is its own.
func budgeted(t *testing.T, spare, ratio float64, span Time) *world {
	set := settings()
	set.Budgeted, set.SpareAttempts, set.Ratio, set.BudgetSpan, set.ConnectWait = true, spare, ratio, span, Second/4
	w := newWorld(t, set)
	w.now += span
	return w
}

// The budget at a front's start was its spare attempts too; a restarted front may have spent them in its earlier life.
func TestFurtherAttemptsStayInTheirBudget(t *testing.T) {
	w := budgeted(t, 1, 0, 10*Second)
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	s = one[Send](t, w.end(1, 0, s.Server, Full))
	one[Refuse](t, w.end(1, 1, s.Server, Full))
	w.now += 11 * Second
	s = one[Send](t, w.do(Request{w.ask(2, 0)}))
	one[Send](t, w.end(2, 0, s.Server, Full))
}

func TestARestartedFrontSpendsNothingItMayHaveSpent(t *testing.T) {
	w := budgeted(t, 2, 0.5, 10*Second)
	w.f.born = w.now // its life begins here
	w.now += Second
	s := one[Send](t, w.do(Request{w.ask(1, 0)}))
	one[Refuse](t, w.end(1, 0, s.Server, Full))
	w.now += Second
	for id := uint64(2); id <= 3; id++ { // what it took itself it may count
		s = one[Send](t, w.do(Request{w.ask(id, 0)}))
		w.do(Playing{ID: id, Server: s.Server})
	}
	w.now += Second
	s = one[Send](t, w.do(Request{w.ask(4, 0)}))
	one[Send](t, w.end(4, 0, s.Server, Full))
}

// An attempt that waits for its connection is sent up to ConnectWait after it was chosen. In every window that ends where one is
// sent, whichever of them waited and for how long, those sent are within the budget. Before, windows were those of the choices.
func TestTheBudgetHoldsWhereAttemptsAreSent(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		spare, ratio, span := float64(rng.Intn(4)), rng.Float64()/2, Time(1+rng.Intn(4))*Second/2
		w := budgeted(t, spare, ratio, span)
		var taken, sent []Time
		for id := uint64(1); id < 400; id++ {
			w.now += Time(rng.Int63n(int64(Second / 5)))
			taken = append(taken, w.now)
			list := of[Send](w.do(Request{w.ask(id, 0)}))
			for n := 0; len(list) == 1; n++ {
				if n > 0 {
					sent = append(sent, w.now+Time(rng.Int63n(int64(w.f.set.ConnectWait)+1)))
				}
				list = of[Send](w.end(id, n, list[0].Server, Moot))
			}
		}
		for _, end := range sent {
			within := func(list []Time) (n float64) {
				for _, at := range list {
					if at > end-span && at <= end {
						n++
					}
				}
				return n
			}
			if n, most := within(sent), spare+ratio*within(taken); n > most {
				t.Fatalf("seed %d: %v further attempts in %v, %.2f allowed", seed, n, span, most)
			}
		}
	}
}

package policy

import (
	"math/rand"
	"testing"
)

// retryBudgetWorld returns a world whose front is past its first window, so that the whole budget is
// available.
func retryBudgetWorld(t *testing.T, spare, ratio float64, window Time) *world {
	cfg := settings()
	cfg.RetriesLimited, cfg.SpareRetries, cfg.RetryRatio, cfg.RetryWindow, cfg.ConnectTimeout =
		true, spare, ratio, window, Second/4
	w := newWorld(t, cfg)
	w.now += window
	return w
}

// A front used its spare retries right after its start, which it may have spent already before a restart.
// After the first window they are available, and replenished in each later one.
func TestRetriesStayWithinBudget(t *testing.T) {
	w := retryBudgetWorld(t, 1, 0, 10*Second)
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	s = onlyOne[Send](t, w.finish(1, 0, s.Server, Full))
	onlyOne[Refuse](t, w.finish(1, 1, s.Server, Full))
	w.now += 11 * Second
	s = onlyOne[Send](t, w.handle(Request{w.newRequest(2, 0)}))
	onlyOne[Send](t, w.finish(2, 0, s.Server, Full))
}

// Guards against a restarted front that spends the spare retries a second time in one window.
func TestRestartedFrontHasNoSpareRetriesForOneWindow(t *testing.T) {
	w := retryBudgetWorld(t, 2, 0.5, 10*Second)
	w.front.startedAt = w.now // restarts now
	w.now += Second
	s := onlyOne[Send](t, w.handle(Request{w.newRequest(1, 0)}))
	onlyOne[Refuse](t, w.finish(1, 0, s.Server, Full))
	w.now += Second
	for id := uint64(2); id <= 3; id++ { // requests since the restart count for the budget
		s = onlyOne[Send](t, w.handle(Request{w.newRequest(id, 0)}))
		w.handle(Playing{ID: id, Server: s.Server})
	}
	w.now += Second
	s = onlyOne[Send](t, w.handle(Request{w.newRequest(4, 0)}))
	onlyOne[Send](t, w.finish(4, 0, s.Server, Full))
}

// An attempt that waits for its connection is sent up to ConnectTimeout after its server was chosen. The
// budget must hold in every window that ends when a retry is sent, whichever attempts waited and for how
// long. It used to hold only in windows of the times of the choices.
func TestRetryBudgetHoldsAtSendTime(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		spare, ratio, window := float64(rng.Intn(4)), rng.Float64()/2, Time(1+rng.Intn(4))*Second/2
		w := retryBudgetWorld(t, spare, ratio, window)
		var requests, retries []Time
		for id := uint64(1); id < 400; id++ {
			w.now += Time(rng.Int63n(int64(Second / 5)))
			requests = append(requests, w.now)
			sends := actionsOf[Send](w.handle(Request{w.newRequest(id, 0)}))
			for n := 0; len(sends) == 1; n++ {
				if n > 0 {
					retries = append(retries, w.now+Time(rng.Int63n(int64(w.front.cfg.ConnectTimeout)+1)))
				}
				sends = actionsOf[Send](w.finish(id, n, sends[0].Server, NotSent))
			}
		}
		for _, end := range retries {
			within := func(sends []Time) (n float64) {
				for _, at := range sends {
					if at > end-window && at <= end {
						n++
					}
				}
				return n
			}
			if n, limit := within(retries), spare+ratio*within(requests); n > limit {
				t.Fatalf("seed %d: %v retries in %v, %.2f allowed", seed, n, window, limit)
			}
		}
	}
}

package recovery

import (
	"errors"
	"testing"

	"tealledge/policy"
)

const (
	now          = 1000 * policy.Second
	resumeWindow = 10 * policy.Second
	coldWindow   = 10 * policy.Second
)

func TestDecideSession(t *testing.T) {
	ago := func(s Time) Time { return now - s*policy.Second }
	for name, c := range map[string]struct {
		s           Session
		lastAliveAt Time
		want        Action
		until       Time
	}{
		"playing a moment ago":                          {Session{Stage: Playing, Stream: "x", At: ago(30)}, ago(2), Restore, ago(2) + resumeWindow},
		"playing, resume window over":                   {Session{Stage: Playing, Stream: "x", At: ago(30)}, ago(10), TearDown, 0},
		"playing so long ago that the stream has ended": {Session{Stage: Playing, Stream: "x", At: ago(90)}, ago(60), Forget, 0},
		"written after the front was last alive":        {Session{Stage: Playing, Stream: "x", At: ago(1)}, ago(20), Restore, ago(1) + resumeWindow},
		"a paid set-up in flight":                       {Session{Stage: InFlight, At: ago(3)}, ago(2), CountSeat, ago(2) + StreamTTL},
		"a paid set-up in flight, long ago":             {Session{Stage: InFlight, At: ago(70)}, ago(61), Forget, 0},
		"accepted, but its player got no reply":         {Session{Stage: InFlight, Stream: "x", At: ago(3)}, ago(2), TearDown, 0},
		"the clock stepped back, stream known":          {Session{Stage: Playing, Stream: "x", At: ago(-300)}, ago(-300), TearDown, 0},
		"the clock stepped back, stream unknown":        {Session{Stage: InFlight, At: ago(-300)}, ago(-300), CountSeat, now + StreamTTL},
		"the clock stepped back a little":               {Session{Stage: Playing, Stream: "x", At: ago(-1)}, ago(-1), Restore, ago(-1) + resumeWindow},
	} {
		if action, until := DecideSession(now, c.lastAliveAt, resumeWindow, c.s); action != c.want || until != c.until {
			t.Errorf("%s: action %v until %v", name, action, until)
		}
	}
	if action, _ := DecideSession(now, ago(1), 0, Session{Stage: Playing, Stream: "x", At: ago(2)}); action != TearDown {
		t.Error("a session is held although players may not resume")
	}
}

// TestPaidSetupIsNotForgottenWhileItMayRun: whatever the times, a paid set-up that may still run has its seat
// counted or is torn down.
func TestPaidSetupIsNotForgottenWhileItMayRun(t *testing.T) {
	for writtenAt := Time(-100); writtenAt <= 100; writtenAt += 7 {
		for lastAliveAt := Time(-100); lastAliveAt <= 100; lastAliveAt += 7 {
			s := Session{Stage: InFlight, At: now + writtenAt*policy.Second}
			action, until := DecideSession(now, now+lastAliveAt*policy.Second, resumeWindow, s)
			mayRun := now-s.At < StreamTTL
			if mayRun && (action != CountSeat || until < s.At+StreamTTL && s.At <= now) {
				t.Fatalf("written at %d, last alive at %d: action %v until %d", writtenAt, lastAliveAt, action, until-now)
			}
		}
	}
}

func TestRestoreServer(t *testing.T) {
	stored := Server{ID: 1, Started: now - 500*policy.Second, OpenUntil: now + 3*policy.Second, Failures: 4, At: now - 5*policy.Second}
	for name, c := range map[string]struct {
		change      func(s *Server)
		lastAliveAt Time
		listedStart Time
		want        ServerState
	}{
		"the same process, listed":          {nil, now - policy.Second, stored.Started, ServerState{stored.Started, now + 3*policy.Second, 2}},
		"another process":                   {nil, now - policy.Second, now - 9, ServerState{Started: now - 9}},
		"no start listed, a short downtime": {nil, now - policy.Second, 0, ServerState{stored.Started, now + 3*policy.Second, 2}},
		"no start listed, a long downtime":  {nil, now - 20*policy.Second, 0, ServerState{now - 20*policy.Second, now + 3*policy.Second, 2}},
		"it was cold":                       {func(s *Server) { s.Cold = now + 4*policy.Second }, now, stored.Started, ServerState{now - 6*policy.Second, now + 3*policy.Second, 2}},
		"a breaker pause of an hour is shortened": {func(s *Server) { s.OpenUntil = now + 3600*policy.Second }, now, stored.Started,
			ServerState{stored.Started, now + maxBreakerPause, 2}},
		"failures of long ago":  {func(s *Server) { s.At = now - 100*policy.Second }, now, stored.Started, ServerState{stored.Started, now + 3*policy.Second, 0}},
		"written in the future": {func(s *Server) { s.At = now + 60*policy.Second }, now, 0, ServerState{Started: now}},
	} {
		s := stored
		if c.change != nil {
			c.change(&s)
		}
		if got := RestoreServer(now, c.lastAliveAt, coldWindow, s, c.listedStart); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

func TestListTooOldOrFromFutureIsNotUsable(t *testing.T) {
	day := ListTTL
	if !ListUsable(now+day, now+1) || ListUsable(now+day, now) || ListUsable(now, now+3*policy.Second) {
		t.Error("ListUsable is wrong at its limits")
	}
}

// TestFailingStoreDoesNotDelaySetups: a failing store is reported once for each period of failure, and is tried
// again.
func TestFailingStoreDoesNotDelaySetups(t *testing.T) {
	var h StoreHealth
	if !h.ShouldWait(now) || h.RecordWrite(now, 1, nil) {
		t.Fatal("a working store is not waited for, or reported as failed")
	}
	if !h.RecordWrite(now, 1, errors.New("disk full")) || h.RecordWrite(now, 1, errors.New("disk full")) || h.ShouldWait(now+1) {
		t.Error("a failing store is not reported exactly once, or is waited for")
	}
	if later := now + retryInterval; !h.ShouldWait(later) || h.RecordWrite(later, 1, nil) || !h.ShouldWait(later+1) {
		t.Error("a failed store is not tried again")
	}
	for i := range maxSlowWrites {
		if report := h.RecordWrite(now, WriteTimeout, nil); report != (i == maxSlowWrites-1) {
			t.Error("reported after slow write", i, report)
		}
	}
	if h.ShouldWait(now + 1) {
		t.Error("a slow store delays set-ups")
	}
}

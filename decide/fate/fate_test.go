package fate

import (
	"testing"

	"tealledge/policy"
)

// TestEveryPlaceWhereAnAttemptCanDie states all of the table: progress by cause.
func TestEveryPlaceWhereAnAttemptCanDie(t *testing.T) {
	const no, reset, late, moot, cancelled = policy.NoConnect, policy.ResetConn, policy.TimedOut, policy.Moot, policy.CancelledSt
	want := map[Cause][4]policy.Status{ // unsent, partly, written, accepted
		DialRefused: {no, no, reset, reset},
		Expired:     {no, late, late, late},
		Broke:       {no, no, reset, reset},
		Withdrawn:   {moot, cancelled, cancelled, cancelled},
	}
	for cause, row := range want {
		for at, status := range row {
			if got := Of(Progress(at), cause, 0); got != status {
				t.Errorf("cause %d at %d: %d, want %d", cause, at, got, status)
			}
		}
	}
}

func TestAnswers(t *testing.T) {
	for code := 100; code < 600; code++ {
		want := policy.Errored
		if code == 453 || code == 503 {
			want = policy.Full
		}
		if got := Of(Written, Answered, code); got != want {
			t.Errorf("%d to SETUP: %d", code, got)
		}
		if got := Of(Accepted, Answered, code); got != policy.Errored {
			t.Errorf("%d to PLAY after an accepted SETUP: %d", code, got)
		}
	}
}

// Nothing whose last byte may have left the front is ever proven not to have run, but by the server's own word.
func TestNoProofOnceWritten(t *testing.T) {
	for _, at := range []Progress{Written, Accepted} {
		for cause := DialRefused; cause < Answered; cause++ {
			if NeverRan(Of(at, cause, 0)) {
				t.Errorf("cause %d at %d passes for never run", cause, at)
			}
		}
	}
}

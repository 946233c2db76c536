package outcome

import (
	"testing"

	"tealledge/policy"
)

// TestStatusByProgressAndCause checks the complete table of progress by cause.
func TestStatusByProgressAndCause(t *testing.T) {
	const no, reset, late, moot, cancelled = policy.NoConnect, policy.ConnReset, policy.TimedOut, policy.NotSent,
		policy.Cancelled
	want := map[Cause][4]policy.Status{ // unsent, partly, written, accepted
		DialFailed:     {no, no, reset, reset},
		Expired:        {no, late, late, late},
		ConnectionLost: {no, no, reset, reset},
		Cancelled:      {moot, cancelled, cancelled, cancelled},
	}
	for cause, row := range want {
		for progress, status := range row {
			if got := StatusOf(Progress(progress), cause, 0); got != status {
				t.Errorf("cause %d at progress %d: status %d, want %d", cause, progress, got, status)
			}
		}
	}
}

func TestStatusOfErrorResponses(t *testing.T) {
	for code := 100; code < 600; code++ {
		want := policy.Errored
		if code == 453 || code == 503 {
			want = policy.Full
		}
		if got := StatusOf(Written, ErrorResponse, code); got != want {
			t.Errorf("code %d in response to SETUP: status %d", code, got)
		}
		if got := StatusOf(Accepted, ErrorResponse, code); got != policy.Errored {
			t.Errorf("code %d in response to PLAY after an accepted SETUP: status %d", code, got)
		}
	}
}

// TestWrittenSetupNeverCountsAsNeverRan: once the last byte may have been sent, only a response of the server proves
// that the set-up never ran.
func TestWrittenSetupNeverCountsAsNeverRan(t *testing.T) {
	for _, progress := range []Progress{Written, Accepted} {
		for cause := DialFailed; cause < ErrorResponse; cause++ {
			if NeverRan(StatusOf(progress, cause, 0)) {
				t.Errorf("cause %d at progress %d counts as never run", cause, progress)
			}
		}
	}
}

package admission

import (
	"testing"

	"tealledge/policy"
)

func TestFillingQueueRefusesRequestsBeforeOutcomes(t *testing.T) {
	const capacity = 100
	for length := 0; length <= capacity; length++ {
		request, outcome, advisory := Admit(Request, length, capacity), Admit(Outcome, length, capacity),
			Admit(Advisory, length, capacity)
		if (request == Refuse) != (length >= 50) || request == Wait {
			t.Errorf("request at queue length %d: verdict %d", length, request)
		}
		if outcome == Refuse || (outcome == Wait) != (length >= capacity) {
			t.Errorf("outcome at queue length %d: verdict %d", length, outcome)
		}
		if (advisory == Refuse) != (length >= 75) {
			t.Errorf("advisory at queue length %d: verdict %d", length, advisory)
		}
	}
}

func TestRetryDelaysAreSpreadWithinMaximum(t *testing.T) {
	const maxDelay = 2 * policy.Second
	if RetryAfter(maxDelay, 0) != maxDelay || RetryAfter(maxDelay, 1) != maxDelay/2 || RetryAfter(0, 0.5) != 0 {
		t.Error(RetryAfter(maxDelay, 0), RetryAfter(maxDelay, 1))
	}
}

func TestReadsSocketsBeforeTimersAfterStall(t *testing.T) {
	if ReadWindowAfterStall(50*policy.Millisecond) != 0 || ReadWindowAfterStall(policy.Second) <= 0 ||
		ReadWindowAfterStall(policy.Second) > 50*policy.Millisecond {
		t.Error(ReadWindowAfterStall(50*policy.Millisecond), ReadWindowAfterStall(policy.Second))
	}
}

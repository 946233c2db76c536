package admit

import (
	"testing"

	"tealledge/policy"
)

func TestFillingQueueRefusesRequestsBeforeOutcomes(t *testing.T) {
	const capacity = 100
	for length := 0; length <= capacity; length++ {
		request, outcome, advisory := Enter(Ask, length, capacity), Enter(News, length, capacity), Enter(Advisory, length, capacity)
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
	if ComeBack(maxDelay, 0) != maxDelay || ComeBack(maxDelay, 1) != maxDelay/2 || ComeBack(0, 0.5) != 0 {
		t.Error(ComeBack(maxDelay, 0), ComeBack(maxDelay, 1))
	}
}

func TestReadsSocketsBeforeTimersAfterStall(t *testing.T) {
	if Standstill(50*policy.Millisecond) != 0 || Standstill(policy.Second) <= 0 ||
		Standstill(policy.Second) > 50*policy.Millisecond {
		t.Error(Standstill(50*policy.Millisecond), Standstill(policy.Second))
	}
}

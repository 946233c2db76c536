package admit

import (
	"testing"

	"tealledge/policy"
)

func TestAFillingQueueTurnsAsksAwayBeforeNews(t *testing.T) {
	const most = 100
	for n := 0; n <= most; n++ {
		ask, news, advisory := Enter(Ask, n, most), Enter(News, n, most), Enter(Advisory, n, most)
		if (ask == Refuse) != (n >= 50) || ask == Wait {
			t.Errorf("ask at %d: %d", n, ask)
		}
		if news == Refuse || (news == Wait) != (n >= most) {
			t.Errorf("news at %d: %d", n, news)
		}
		if (advisory == Refuse) != (n >= 75) {
			t.Errorf("advisory at %d: %d", n, advisory)
		}
	}
}

func TestComeBackTimesAreSpreadWithinTheLongest(t *testing.T) {
	const longest = 2 * policy.Second
	if ComeBack(longest, 0) != longest || ComeBack(longest, 1) != longest/2 || ComeBack(0, 0.5) != 0 {
		t.Error(ComeBack(longest, 0), ComeBack(longest, 1))
	}
}

func TestAFrontThatStoodStillReadsBeforeItsTimersAct(t *testing.T) {
	if Standstill(50*policy.Millisecond) != 0 || Standstill(policy.Second) <= 0 || Standstill(policy.Second) > 50*policy.Millisecond {
		t.Error(Standstill(50*policy.Millisecond), Standstill(policy.Second))
	}
}

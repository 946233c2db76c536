package inbox

import (
	"testing"
	"time"

	"tealledge/decide/admit"
)

func TestAFullQueueTurnsAsksAwayAndKeepsNews(t *testing.T) {
	q := New(16)
	for i := range 8 {
		if !q.Put(admit.Ask, i) {
			t.Fatal("turned away too early")
		}
	}
	if q.Put(admit.Ask, 8) {
		t.Fatal("an ask past its part")
	}
	for i := 8; i < 16; i++ {
		if !q.Put(admit.News, i) {
			t.Fatal("news turned away")
		}
	}
	got := make(chan bool)
	go func() { got <- q.Put(admit.News, 16) }()
	select {
	case <-got:
		t.Fatal("did not wait")
	case <-time.After(20 * time.Millisecond):
	}
	q.Force(99) // the end of a connection always gets in
	list, backlog := q.Take(10, nil)
	if len(list) != 10 || list[0] != 8 || list[8] != 0 || backlog != 6 || !<-got { // news first, asks not kept out
		t.Fatal(list, backlog)
	}
	if rest, _ := q.Take(100, nil); len(rest) != 8 {
		t.Fatal(rest)
	}
	go func() { got <- q.Put(admit.News, 1) }()
	<-got
	q.Close()
	if q.Put(admit.News, 1) {
		t.Fatal("taken after its end")
	}
}

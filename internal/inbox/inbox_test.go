package inbox

import (
	"testing"
	"time"

	"tealledge/decide/admission"
)

// TestFullQueueRejectsRequestsAndKeepsOutcomes guards against a full queue that drops outcomes, starves requests, or
// blocks the end of a connection.
func TestFullQueueRejectsRequestsAndKeepsOutcomes(t *testing.T) {
	q := New(16)
	for i := range 8 {
		if !q.Put(admission.Request, i) {
			t.Fatal("request rejected before the queue was full")
		}
	}
	if q.Put(admission.Request, 8) {
		t.Fatal("request accepted past its share of the queue")
	}
	for i := 8; i < 16; i++ {
		if !q.Put(admission.Outcome, i) {
			t.Fatal("outcome rejected")
		}
	}
	got := make(chan bool)
	go func() { got <- q.Put(admission.Outcome, 16) }()
	select {
	case <-got:
		t.Fatal("Put of an outcome did not block on a full queue")
	case <-time.After(20 * time.Millisecond):
	}
	q.Force(99) // the end of a connection is always accepted
	list, backlog := q.Take(10, nil)
	// Outcomes come first, but requests are not starved.
	if len(list) != 10 || list[0] != 8 || list[8] != 0 || backlog != 6 || !<-got {
		t.Fatal(list, backlog)
	}
	if rest, _ := q.Take(100, nil); len(rest) != 8 {
		t.Fatal(rest)
	}
	go func() { got <- q.Put(admission.Outcome, 1) }()
	<-got
	q.Close()
	if q.Put(admission.Outcome, 1) {
		t.Fatal("item accepted after Close")
	}
}

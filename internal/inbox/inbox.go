// Package inbox is the bounded queue from the sockets' goroutines to the goroutine that owns a front.
package inbox

import (
	"sync"

	"tealledge/decide/admission"
)

// Queue holds the items that wait for the owner. decide/admission chooses what a full queue does with a new item.
type Queue struct {
	mu       sync.Mutex
	notFull  sync.Cond
	events   []any // outcomes and advisories, taken first because outcomes complete pending requests
	requests []any
	maxItems int
	wake     chan struct{}
	closed   bool
	peak     int
	rejected uint64 // requests refused and advisories dropped
}

// New returns a queue for at most maxItems items.
func New(maxItems int) *Queue {
	q := &Queue{maxItems: maxItems, wake: make(chan struct{}, 1)}
	q.notFull.L = &q.mu
	return q
}

// Wake returns a channel that receives a value after items were added.
func (q *Queue) Wake() <-chan struct{} { return q.wake }

// Put adds an item; it returns false if the item was rejected or the queue is closed. Items of kind
// Outcome block until there is room.
func (q *Queue) Put(kind admission.Kind, item any) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		if q.closed {
			return false
		}
		switch admission.Admit(kind, len(q.events)+len(q.requests), q.maxItems) {
		case admission.Refuse:
			q.rejected++
			return false
		case admission.Wait:
			q.notFull.Wait()
			continue
		}
		if kind == admission.Request {
			q.requests = append(q.requests, item)
			q.signal()
		} else {
			q.addEvent(item)
		}
		return true
	}
}

// Force adds an item even to a full queue. It is for the end of a connection: the number of connections bounds these
// items, and the goroutine that reports one may be the one that all sockets wait for, so it must not block.
func (q *Queue) Force(item any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.addEvent(item)
	}
}

func (q *Queue) addEvent(item any) {
	q.events = append(q.events, item)
	q.signal()
}

func (q *Queue) signal() {
	q.peak = max(q.peak, len(q.events)+len(q.requests))
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Take returns up to n items: outcomes and advisories first, then requests, each in order of arrival. Requests get at
// least a quarter of the batch, so that a continuous stream of notes can't starve them. backlog is the number of
// requests still queued.
func (q *Queue) Take(n int, into []any) (list []any, backlog int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := min(len(q.requests), max(n/4, n-len(q.events)))
	into = moveFirst(&q.events, n-requests, into[:0])
	into = moveFirst(&q.requests, requests, into)
	q.notFull.Broadcast()
	return into, len(q.requests)
}

// moveFirst moves up to n items from the front of a list to the end of another.
func moveFirst(list *[]any, n int, into []any) []any {
	n = min(n, len(*list))
	into = append(into, (*list)[:n]...)
	rest := copy(*list, (*list)[n:])
	clear((*list)[rest:])
	*list = (*list)[:rest]
	return into
}

// Close closes the queue: it accepts no more items, and callers that wait for room return.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}

// Stats returns the number of queued items, its maximum so far, and the number of rejected items.
func (q *Queue) Stats() (length, peak int, rejected uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.events) + len(q.requests), q.peak, q.rejected
}

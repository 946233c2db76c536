// Package inbox is the bounded way from the sockets' goroutines to the goroutine that owns a front.
package inbox

import (
	"sync"

	"tealledge/decide/admit"
)

// Queue holds what waits for the owner. What a full one does is decide/admit's.
type Queue struct {
	mu     sync.Mutex
	room   sync.Cond
	items  []any // news and advisories, taken first: they end waits
	asks   []any
	most   int
	wake   chan struct{}
	closed bool
	peak   int
	turned uint64 // asks refused, advisories dropped
}

// New makes a queue for at most so many items.
func New(most int) *Queue {
	q := &Queue{most: most, wake: make(chan struct{}, 1)}
	q.room.L = &q.mu
	return q
}

// Wake is rung when something has entered.
func (q *Queue) Wake() <-chan struct{} { return q.wake }

// Put adds an item; it gives false if it was turned away. Items of kind News wait for room.
func (q *Queue) Put(kind admit.Kind, item any) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		if q.closed {
			return false
		}
		switch admit.Enter(kind, len(q.items)+len(q.asks), q.most) {
		case admit.Refuse:
			q.turned++
			return false
		case admit.Wait:
			q.room.Wait()
			continue
		}
		if kind == admit.Ask {
			q.asks = append(q.asks, item)
			q.ring()
		} else {
			q.add(item)
		}
		return true
	}
}

// Force adds an item past the bound: the end of a connection, of which there are no more than connections. The
// goroutine that tells it may be the one that all sockets wait on.
func (q *Queue) Force(item any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.add(item)
	}
}

func (q *Queue) add(item any) {
	q.items = append(q.items, item)
	q.ring()
}

func (q *Queue) ring() {
	q.peak = max(q.peak, len(q.items)+len(q.asks))
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Take gives up to n items: news first, then asks, each in order. Asks get at least a quarter of the batch, so that
// no stream of notes keeps them out. backlog tells how many asks wait still.
func (q *Queue) Take(n int, into []any) (list []any, backlog int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	asks := min(len(q.asks), max(n/4, n-len(q.items)))
	into = cut(&q.items, n-asks, into[:0])
	into = cut(&q.asks, asks, into)
	q.room.Broadcast()
	return into, len(q.asks)
}

// cut moves up to n items from the front of a list.
func cut(list *[]any, n int, into []any) []any {
	n = min(n, len(*list))
	into = append(into, (*list)[:n]...)
	rest := copy(*list, (*list)[n:])
	clear((*list)[rest:])
	*list = (*list)[:rest]
	return into
}

// Close ends the queue: nothing enters it any more, and nobody waits for room.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.room.Broadcast()
}

// Stats tells how many items wait, how many waited at most, and how many were turned away.
func (q *Queue) Stats() (length, peak int, turned uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) + len(q.asks), q.peak, q.turned
}

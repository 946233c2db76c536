package serve

import (
	"sync"

	"tealledge/decide/admit"
)

// queue is the bounded way from the sockets' goroutines to the owner. What a full one does is decide/admit's.
type queue struct {
	mu     sync.Mutex
	room   sync.Cond
	items  []any
	most   int
	wake   chan struct{}
	closed bool
	peak   int
	turned uint64 // asks refused, advisories dropped
}

func newQueue(most int) *queue {
	q := &queue{most: most, wake: make(chan struct{}, 1)}
	q.room.L = &q.mu
	return q
}

// put adds an item; it gives false if it was turned away. Items of kind News wait for room.
func (q *queue) put(kind admit.Kind, item any) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		if q.closed {
			return false
		}
		switch admit.Enter(kind, len(q.items), q.most) {
		case admit.Refuse:
			q.turned++
			return false
		case admit.Wait:
			q.room.Wait()
			continue
		}
		q.add(item)
		return true
	}
}

// force adds an item past the bound: the end of a connection, of which there are no more than connections. The
// goroutine that tells it may be the one that all sockets wait on.
func (q *queue) force(item any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.add(item)
	}
}

func (q *queue) add(item any) {
	q.items = append(q.items, item)
	q.peak = max(q.peak, len(q.items))
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take gives up to n items, in order.
func (q *queue) take(n int, into []any) []any {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.items))
	into = append(into[:0], q.items[:n]...)
	rest := copy(q.items, q.items[n:])
	clear(q.items[rest:])
	q.items = q.items[:rest]
	q.room.Broadcast()
	return into
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.room.Broadcast()
}

func (q *queue) stats() (length, peak int, turned uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items), q.peak, q.turned
}

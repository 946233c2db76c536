package transport

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// QueueBudget bounds the bytes that are queued by several writers together. Past it, the connections whose peers have
// accepted nothing for longest are closed, except for those with at most fairBytes: a peer that reads is not closed,
// however much is sent to it in a moment, while others read nothing. The methods of a nil budget do nothing.
type QueueBudget struct {
	maxBytes, fairBytes int
	used                atomic.Int64
	mu                  sync.Mutex
	writers             map[*Writer]bool // those with queued bytes
}

// NewQueueBudget returns a budget of maxBytes for all writers.
func NewQueueBudget(maxBytes, fairBytes int) *QueueBudget {
	return &QueueBudget{maxBytes: maxBytes, fairBytes: fairBytes, writers: map[*Writer]bool{}}
}

// Used returns the number of bytes that are queued or being written.
func (b *QueueBudget) Used() int { return int(b.used.Load()) }

// add counts bytes as queued, or as not queued any more if n is negative.
func (b *QueueBudget) add(n int) {
	if b != nil {
		b.used.Add(int64(n))
	}
}

// register adds a writer that has queued bytes.
func (b *QueueBudget) register(w *Writer) {
	if b != nil {
		b.mu.Lock()
		b.writers[w] = true
		b.mu.Unlock()
	}
}

// unregister removes a writer that has none.
func (b *QueueBudget) unregister(w *Writer) {
	if b != nil {
		b.mu.Lock()
		delete(b.writers, w)
		b.mu.Unlock()
	}
}

// queueState is what a budget knows of a writer.
type queueState struct {
	writer     *Writer
	pending    int
	progressAt time.Time
}

// reclaim closes connections until the budget is kept. It is called without the lock of any writer.
func (b *QueueBudget) reclaim() {
	if b == nil || b.Used() <= b.maxBytes {
		return
	}
	for _, state := range b.states() {
		if b.Used() <= b.maxBytes {
			return
		}
		if state.pending > b.fairBytes {
			state.writer.closeWith(ClosedOverBudget)
		}
	}
}

// states returns the writers with queued bytes, the one whose peer has accepted nothing for longest first.
func (b *QueueBudget) states() (list []queueState) {
	b.mu.Lock()
	for w := range b.writers {
		list = append(list, queueState{writer: w})
	}
	b.mu.Unlock()
	for i := range list {
		list[i].pending, list[i].progressAt = list[i].writer.queueState()
	}
	slices.SortFunc(list, func(a, b queueState) int {
		if order := a.progressAt.Compare(b.progressAt); order != 0 {
			return order
		}
		return cmp.Compare(b.pending, a.pending)
	})
	return list
}

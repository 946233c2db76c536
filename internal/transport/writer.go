// Package transport holds the TCP connections of a front: non-blocking writers with bounded queues, the connections
// that the front dials, a listener for netpoll, and socket options.
package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection of the standard library or of netpoll.
type Conn interface {
	io.Writer
	io.Closer
}

// Writer writes to a connection without blocking the caller. Bytes are kept in a bounded queue, and a goroutine runs
// only while there is something to write. It keeps an upper bound of the bytes handed to the kernel, which tells a
// set-up that provably never left this machine from one that may have run.
type Writer struct {
	conn                 Conn
	raw                  syscall.RawConn // nil for a netpoll connection
	writeTimeout         time.Duration   // for a write that the kernel does not accept at once
	maxQueuedBytes       int
	budget               *QueueBudget // shared with other writers; nil: none
	submitted            atomic.Uint64
	mu                   sync.Mutex
	queued               []byte
	spare                []byte
	writing              bool // a goroutine was started to write
	inWrite              bool // it has taken bytes from the queue and is writing them
	closeAfterFlush      bool // close the connection once the queue is written
	closeWriteAfterFlush bool // close the write side once the queue is written
	closed               bool
	closeCause           CloseCause
	pending              int       // bytes queued or being written
	progressAt           time.Time // when the peer last accepted bytes, or when the first of those pending was queued
}

// CloseCause is the reason for which a Writer closed its connection by itself.
type CloseCause string

// Causes of closes.
const (
	ClosedQueueFull    CloseCause = "its output is not read"
	ClosedOverBudget   CloseCause = "too much output is not read on all connections"
	ClosedWriteTimeout CloseCause = "a write timed out"
)

// CloseCause returns the reason for which the writer closed its connection, or an empty text if it did not.
func (w *Writer) CloseCause() CloseCause {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closeCause
}

// NewWriter returns a writer that queues at most maxQueuedBytes. A write that the peer does not accept within
// writeTimeout closes the connection.
func NewWriter(conn Conn, maxQueuedBytes int, writeTimeout time.Duration) *Writer {
	w := &Writer{conn: conn, maxQueuedBytes: maxQueuedBytes, writeTimeout: writeTimeout}
	switch c := conn.(type) {
	case interface{ SetWriteTimeout(time.Duration) error }:
		c.SetWriteTimeout(writeTimeout)
	case syscall.Conn:
		w.raw, _ = c.SyscallConn()
	}
	return w
}

// ShareBudget makes the writer count its bytes in a budget. It is called before the first Send. The write timeout then
// counts from the last bytes that the peer accepted.
func (w *Writer) ShareBudget(budget *QueueBudget) { w.budget = budget }

// addPending counts bytes as queued. It is called with the lock held.
func (w *Writer) addPending(n int) {
	if w.pending == 0 {
		w.progressAt = time.Now()
		w.budget.register(w)
	}
	w.pending += n
	w.budget.add(n)
}

// settle counts bytes as no longer queued, because the peer's system has accepted them or they are dropped. It is called
// with the lock held.
func (w *Writer) settle(n int) {
	n = min(n, w.pending) // those of a closed connection are settled already
	if n == 0 {
		return
	}
	w.progressAt = time.Now()
	w.pending -= n
	w.budget.add(-n)
	if w.pending == 0 {
		w.budget.unregister(w)
	}
}

// dropQueue drops the bytes that were not written. It is called with the lock held.
func (w *Writer) dropQueue() {
	w.settle(w.pending)
	w.queued = nil
}

// Send queues bytes. If the queue would exceed its limit, because the peer reads too slowly or not at all, it closes
// the connection and returns false.
func (w *Writer) Send(b []byte) bool {
	start, ok := w.enqueue(b)
	if start {
		go w.writeQueued()
	}
	w.budget.reclaim()
	return ok
}

// SendInline queues bytes like Send and writes them on the calling goroutine, unless another goroutine is writing
// already. It may block, so it is for callers that may wait.
func (w *Writer) SendInline(b []byte) bool {
	start, ok := w.enqueue(b)
	if start {
		w.writeQueued()
	}
	w.budget.reclaim()
	return ok
}

// enqueue adds bytes to the queue. If start is true, no goroutine is writing and the caller must call writeQueued.
func (w *Writer) enqueue(b []byte) (start, ok bool) {
	w.mu.Lock()
	if w.closed || w.closeAfterFlush || w.closeWriteAfterFlush {
		w.mu.Unlock()
		return false, false
	}
	if !w.hasRoom(len(b)) {
		w.writeNow() // the goroutine that writes may not have run yet
	}
	if !w.hasRoom(len(b)) {
		w.closed, w.closeCause = true, ClosedQueueFull
		w.dropQueue()
		w.mu.Unlock()
		w.conn.Close()
		return false, false
	}
	w.queued = append(w.queued, b...)
	w.addPending(len(b))
	start = !w.writing
	w.writing = true
	w.mu.Unlock()
	return start, true
}

// hasRoom reports whether n more bytes may be queued. It is called with the lock held.
func (w *Writer) hasRoom(n int) bool { return len(w.queued)+n <= w.maxQueuedBytes }

// writeNow hands as much of the queue to the kernel as it accepts without waiting. It is called with the lock held.
func (w *Writer) writeNow() {
	if w.raw == nil || w.inWrite || w.closed || len(w.queued) == 0 {
		return
	}
	w.submitted.Add(uint64(len(w.queued))) // before the write, as in writeQueued
	written := 0
	w.raw.Write(func(fd uintptr) bool {
		if n, err := syscall.Write(int(fd), w.queued); err == nil {
			written = n
		}
		return true
	})
	w.settle(written)
	rest := copy(w.queued, w.queued[written:])
	w.queued = w.queued[:rest]
	w.submitted.Add(-uint64(rest))
}

// CloseAfterFlush closes the connection once the queue is written.
func (w *Writer) CloseAfterFlush() {
	w.mu.Lock()
	w.closeAfterFlush = true
	idle := !w.writing && !w.closed
	w.mu.Unlock()
	if idle {
		w.conn.Close()
	}
}

// CloseWriteAfterFlush closes the write side once the queue is written. Reading goes on until the peer closes its own
// side.
func (w *Writer) CloseWriteAfterFlush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closeWriteAfterFlush && !w.writing && !w.closed {
		w.closeWrite()
	}
	w.closeWriteAfterFlush = true
}

// closeWrite closes the write side. An error means that the connection has closed, which its reader reports.
func (w *Writer) closeWrite() {
	if c, ok := w.conn.(interface{ CloseWrite() error }); ok {
		c.CloseWrite()
	}
}

// Close closes the connection at once.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.dropQueue()
	w.mu.Unlock()
	w.conn.Close()
}

// queueState hands to the kernel what it accepts at once, and returns the number of bytes that are still queued or being
// written, and when the peer last accepted any.
func (w *Writer) queueState() (pending int, progressAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeNow()
	return w.pending, w.progressAt
}

// closeWith closes the connection at once, for a cause.
func (w *Writer) closeWith(cause CloseCause) {
	w.mu.Lock()
	if !w.closed {
		w.closeCause = cause
	}
	w.mu.Unlock()
	w.Close()
}

// closeAfterError closes the connection after a write that failed.
func (w *Writer) closeAfterError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.closeWith(ClosedWriteTimeout)
		return
	}
	w.Close()
}

// Idle reports whether all queued bytes have been handed to the kernel or dropped.
func (w *Writer) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed || !w.writing && len(w.queued) == 0
}

// SubmittedBytes returns an upper bound of the number of bytes handed to the kernel. Bytes past it never left this
// machine.
func (w *Writer) SubmittedBytes() uint64 { return w.submitted.Load() }

// maxSpareBytes is the largest buffer that an idle writer keeps.
const maxSpareBytes = 4 << 10

// writeQueued writes until the queue is empty, then closes the connection or its write side if that was requested.
func (w *Writer) writeQueued() {
	for {
		w.mu.Lock()
		if w.closed || len(w.queued) == 0 {
			w.writing = false
			closeNow := w.closeAfterFlush && !w.closed
			if w.closeWriteAfterFlush && !w.closed {
				w.closeWrite()
			}
			w.closed = w.closed || w.closeAfterFlush
			w.mu.Unlock()
			if closeNow {
				w.conn.Close()
			}
			return
		}
		b := w.queued
		w.queued, w.spare, w.inWrite = w.spare[:0], nil, true
		w.submitted.Add(uint64(len(b))) // under the lock: no byte is written before SubmittedBytes counts it
		w.mu.Unlock()
		err := w.writeBytes(b)
		w.mu.Lock()
		w.inWrite = false
		if cap(b) <= maxSpareBytes {
			w.spare = b
		}
		w.mu.Unlock()
		if err != nil {
			w.closeAfterError(err)
		}
	}
}

// writeBytes writes bytes and waits for the peer only if the kernel accepts no more of them. The first write has no
// deadline: if the core stalls for a moment, a deadline set before a write may have passed by the time the write
// starts. The write would then fail untried, and the connection would be lost with all sessions and requests on it.
func (w *Writer) writeBytes(b []byte) error {
	// netpoll does the same itself. Its Write, unlike its Writer, may race with the close of the connection.
	if w.raw == nil {
		n, err := w.conn.Write(b)
		w.accepted(n)
		return err
	}
	var n int
	var err error
	if closedErr := w.raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true
	}); closedErr != nil {
		return closedErr
	}
	if err == syscall.EAGAIN || err == syscall.EINTR {
		n, err = 0, nil
	}
	if err != nil {
		return err
	}
	w.accepted(n)
	return w.writeWaiting(b[n:])
}

// waitingWriteBytes is how much of its queue a writer with a budget writes at a time to a peer that it waits for.
const waitingWriteBytes = 16 << 10

// writeWaiting writes bytes to a peer that does not accept them at once.
func (w *Writer) writeWaiting(b []byte) error {
	c, _ := w.conn.(net.Conn)
	if len(b) == 0 {
		return nil
	}
	defer c.SetWriteDeadline(time.Time{})
	for len(b) > 0 {
		part := b
		if w.budget != nil {
			part = b[:min(len(b), waitingWriteBytes)]
		}
		c.SetWriteDeadline(time.Now().Add(w.writeTimeout))
		n, err := c.Write(part)
		w.accepted(n)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// accepted counts bytes that the peer's system has accepted.
func (w *Writer) accepted(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(n)
}

// Stop stops the writer without closing the connection and returns the final SubmittedBytes: no more bytes are handed
// to the kernel after it.
func (w *Writer) Stop() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.dropQueue()
	return w.submitted.Load()
}

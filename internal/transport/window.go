package transport

import "sync"

// Window bounds the bytes of one connection that were read but are not processed yet. Its reader waits while they fill
// the window: the rest stays in the socket, whose full buffer slows the peer down.
type Window struct {
	maxBytes int
	mu       sync.Mutex
	changed  sync.Cond
	bytes    int
	closed   bool
}

// NewWindow returns an empty window for maxBytes bytes.
func NewWindow(maxBytes int) *Window {
	w := &Window{maxBytes: maxBytes}
	w.changed.L = &w.mu
	return w
}

// Wait waits until n more bytes fit or the window is closed. More than maxBytes fit into an empty window.
func (w *Window) Wait(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && w.bytes > 0 && w.bytes+n > w.maxBytes {
		w.changed.Wait()
	}
}

// WaitEmpty waits until all bytes are processed or the window is closed.
func (w *Window) WaitEmpty() { w.Wait(w.maxBytes) }

// Add counts bytes that were read.
func (w *Window) Add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += n
}

// Done counts bytes as processed.
func (w *Window) Done(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= n
	w.changed.Broadcast()
}

// Unprocessed returns the number of bytes that were read but are not processed yet.
func (w *Window) Unprocessed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Close ends all waits, now and later: the connection is closing, and its further input is dropped.
func (w *Window) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.changed.Broadcast()
}

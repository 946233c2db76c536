package transport

import (
	"testing"
	"time"
)

// waitInBackground starts w.Wait(n) and returns a channel that is closed when it returns.
func waitInBackground(w *Window, n int) <-chan struct{} {
	returned := make(chan struct{})
	go func() {
		w.Wait(n)
		close(returned)
	}()
	return returned
}

// returnsWithin reports whether a channel is closed within a time.
func returnsWithin(returned <-chan struct{}, within time.Duration) bool {
	select {
	case <-returned:
		return true
	case <-time.After(within):
		return false
	}
}

// Guards against a reader that runs ahead of the owner goroutine without limit.
func TestWindowWaitsUntilBytesAreProcessed(t *testing.T) {
	w := NewWindow(100)
	w.Wait(200) // into an empty window everything fits
	w.Add(60)
	w.Wait(40)
	waiting := waitInBackground(w, 41)
	if returnsWithin(waiting, 20*time.Millisecond) {
		t.Fatal("a full window takes more")
	}
	w.Done(1)
	if !returnsWithin(waiting, 5*time.Second) || w.Unprocessed() != 59 {
		t.Fatalf("%d bytes are unprocessed, and Wait has not returned", w.Unprocessed())
	}
}

// Guards against a reader that waits forever for an owner that takes nothing more.
func TestClosedWindowEndsWaits(t *testing.T) {
	w := NewWindow(100)
	w.Add(100)
	waiting := waitInBackground(w, 1)
	w.Close()
	if !returnsWithin(waiting, 5*time.Second) {
		t.Fatal("Wait has not returned")
	}
	w.Wait(1)
}

package transport

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stuckConn is a connection whose peer reads nothing until it is closed.
type stuckConn struct {
	closed chan struct{}
	once   sync.Once
}

func (c *stuckConn) Write(b []byte) (int, error) {
	<-c.closed
	return 0, errClosedForTest
}

func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.closed) }) // a writer may close its connection a second time
	return nil
}

type testError string

func (e testError) Error() string { return string(e) }

const errClosedForTest = testError("closed")

// Guards against answers that fill the memory together: each of hundreds of clients that read nothing was within its own
// limit. Those that have accepted nothing for longest are closed, not the one whose answer came last.
func TestWritersShareTheirBudget(t *testing.T) {
	const maxBytes, fairBytes = 1000, 100
	budget := NewQueueBudget(maxBytes, fairBytes)
	var writers []*Writer
	for range 4 {
		w := NewWriter(&stuckConn{closed: make(chan struct{})}, maxBytes, time.Second)
		w.ShareBudget(budget)
		writers = append(writers, w)
	}
	send := func(writer, bytes int) {
		t.Helper()
		if !writers[writer].Send(make([]byte, bytes)) {
			t.Fatalf("writer %d was closed", writer)
		}
		if budget.Used() > maxBytes {
			t.Fatalf("%d bytes are queued, the budget is %d", budget.Used(), maxBytes)
		}
		time.Sleep(time.Millisecond) // times of progress differ
	}
	send(0, fairBytes)
	send(1, 400)
	send(2, 400)
	if causes := closeCauses(writers); causes != [4]CloseCause{} {
		t.Fatalf("closed within the budget: %q", causes)
	}
	send(3, 101)
	if causes := closeCauses(writers); causes != [4]CloseCause{1: ClosedOverBudget} {
		t.Fatalf("%q, want the one closed that has waited longest and holds more than its fair part", causes)
	}
	for _, w := range writers {
		w.Close()
	}
	if budget.Used() != 0 || len(budget.writers) != 0 {
		t.Fatalf("%d bytes of %d writers are counted after all were closed", budget.Used(), len(budget.writers))
	}
}

// closeCauses returns the causes for which writers closed their connections.
func closeCauses(writers []*Writer) (causes [4]CloseCause) {
	for i, w := range writers {
		causes[i] = w.CloseCause()
	}
	return causes
}

// Guards against a client that reads all the time, but slowly, and loses its connection when the write of a long queue
// takes longer than the time allowed for a peer that reads nothing.
func TestWriteTimeoutCountsFromLastProgress(t *testing.T) {
	const timeout, parts, partBytes = 200 * time.Millisecond, 8, 64 << 10
	conn, peer := net.Pipe()
	defer peer.Close()
	w := NewWriter(pipeConn{conn}, parts*partBytes, timeout)
	w.ShareBudget(NewQueueBudget(parts*partBytes, 0))
	if !w.Send(make([]byte, parts*partBytes)) {
		t.Fatal("not queued")
	}
	for range parts {
		time.Sleep(timeout / 2)
		if _, err := io.ReadFull(peer, make([]byte, partBytes)); err != nil {
			t.Fatal("the connection of a peer that reads was closed: ", err, w.CloseCause())
		}
	}
	if !w.Send(make([]byte, partBytes)) {
		t.Fatal("not queued")
	}
	for end := time.Now().Add(5 * time.Second); w.CloseCause() != ClosedWriteTimeout; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection of a peer that reads nothing is still open")
		}
	}
}

// pipeConn is a connection without buffers of the system.
type pipeConn struct{ net.Conn }

// SyscallConn returns a connection on which nothing can be written without waiting.
func (c pipeConn) SyscallConn() (syscall.RawConn, error) { return fullRawConn{}, nil }

// fullRawConn is a connection whose buffer is full.
type fullRawConn struct{ syscall.RawConn }

func (fullRawConn) Write(func(fd uintptr) bool) error { return nil }

// Guards against a connection that is closed, with all answers on it, because more bytes than its queue holds came together,
// before the goroutine that writes them ran.
func TestBurstOverItsLimitIsWrittenAtOnce(t *testing.T) {
	const maxBytes, answerBytes, answers = 128 << 10, 8 << 10, 60
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // no other goroutine runs during the burst
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	w := NewWriter(conn, maxBytes, time.Second)
	var want []byte
	for i := range answers {
		answer := bytes.Repeat([]byte{byte(i)}, answerBytes)
		want = append(want, answer...)
		if !w.Send(answer) {
			t.Fatalf("the connection was closed at answer %d", i)
		}
	}
	w.CloseAfterFlush()
	got, err := io.ReadAll(peer)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes were read, want %d in order; %v", len(got), len(want), err)
	}
	if submitted := w.SubmittedBytes(); submitted != uint64(len(want)) {
		t.Errorf("%d bytes count as submitted, want %d", submitted, len(want))
	}
}

package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tealledge/decide/intake"
	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
	"tealledge/internal/transport"
)

// unusableLines returns valid lines, each with a request that no front can serve, of at least minBytes in total.
func unusableLines(x *testFront, minBytes int) string {
	var b strings.Builder
	for b.Len() < minBytes {
		b.WriteString(platformsim.OpenLine(x.newID(), "no-such-class", time.Second, ""))
	}
	return b.String()
}

// flood writes the same bytes a number of times, at full speed, and reads what it is sent.
func flood(c net.Conn, text string, times int) {
	go func() {
		for b := make([]byte, 64<<10); ; {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
	for range times {
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// Guards against lost answers while bad clients flood the front with requests that it can't use: the owner goroutine
// waited for their whole input to be parsed, and answered no other viewer in time.
func TestFloodOfUnusableRequestsDelaysNoOtherViewer(t *testing.T) {
	const (
		floods       = 6
		textBytes    = 256 << 10
		repetitions  = 48 // 12 MB from each
		requests     = 30
		interval     = 100 * time.Millisecond
		wait         = 1500 * time.Millisecond
		lostAfter    = wait + 550*time.Millisecond // the operators count a later answer as lost
		answerWithin = 10 * time.Second
	)
	x := newTestFront(t, 1024)
	regular := x.viewer()
	text := unusableLines(x, textBytes)
	for range floods {
		c := x.dialRaw()
		defer c.Close()
		go flood(c, text, repetitions)
	}
	sentAt := map[uint64]time.Time{}
	late := 0
	receive := func(l wire.Line) {
		if at, ok := sentAt[l.Sid]; ok {
			delete(sentAt, l.Sid)
			if took := time.Since(at); took > lostAfter {
				late++
				t.Errorf("session %d was answered %v after its request", l.Sid, took)
			}
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for sent := 0; sent < requests || len(sentAt) > 0; {
		select {
		case <-ticker.C:
			if sent < requests {
				sent++
				sid := x.newID()
				sentAt[sid] = time.Now()
				if err := regular.Open(sid, "safe", wait); err != nil {
					t.Fatal(err)
				}
			}
		case l := <-regular.Lines:
			receive(l)
		case <-time.After(answerWithin):
			t.Fatalf("%d of %d requests without an answer after %v, %d late", len(sentAt), requests, answerWithin, late)
		}
	}
	regular.Close()
	x.closeAndAudit()
}

// Guards against memory that a client fills without limit: while the owner goroutine is busy, a client's input has to
// stay in its socket.
func TestClientCannotSendWithoutLimitWhileOwnerIsBusy(t *testing.T) {
	const more = 64 << 20 // more than the memory of a small front, and than the system buffers for a connection
	x := newTestFront(t, 1024)
	c := x.dialRaw()
	defer c.Close()
	text := unusableLines(x, 1<<20)
	release := x.blockOwner()
	var written atomic.Int64
	c.SetWriteDeadline(time.Now().Add(3 * time.Second))
	for written.Load() < more {
		n, err := c.Write([]byte(text))
		written.Add(int64(n))
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			break
		}
	}
	release()
	if n := written.Load(); n >= more {
		t.Errorf("the front took %d bytes while its owner was busy", n)
	}
	x.closeAndAudit()
}

// Guards against floods that keep the only core busy: their input is processed one connection at a time, with pauses as
// long as the work before them.
func TestFloodsTakeTurnsWithPauses(t *testing.T) {
	const (
		users = 4
		work  = 5 * time.Millisecond
	)
	gate := newInputGate()
	var running atomic.Int32
	var all sync.WaitGroup
	startedAt := time.Now()
	for range users {
		k := &client{dropping: make(chan struct{})}
		k.standing.Store(uint32(intake.Invalid))
		all.Go(func() {
			request := gate.wait(k, maxReadBytes)
			if running.Add(1) != 1 {
				t.Error("two at once")
			}
			time.Sleep(work)
			running.Add(-1)
			gate.done(request.Granted())
			gate.floodDone(request)
		})
	}
	all.Wait()
	// The pause after the last one keeps nobody waiting.
	if took := time.Since(startedAt); took < (2*users-1)*work {
		t.Errorf("%d times %v took %v, want a pause as long as the work after each", users, work, took)
	}
}

// Guards against a reader that waits for ever on a connection that is being closed.
func TestClosingConnectionEndsWaitForRead(t *testing.T) {
	gate := newInputGate()
	busy := &client{dropping: make(chan struct{})}
	var all []*intake.Request
	for range maxTotalUnprocessedBytes / maxReadBytes {
		all = append(all, gate.wait(busy, maxReadBytes))
	}
	k := &client{dropping: make(chan struct{})}
	close(k.dropping)
	if request := gate.wait(k, maxReadBytes); request != nil {
		t.Error("a read of a closing connection was granted past the limit")
	}
	for _, request := range all {
		gate.done(request.Granted())
	}
	if request := gate.wait(busy, maxReadBytes); request == nil {
		t.Error("a withdrawn read keeps its bytes")
	}
}

// batchReceiver passes on how many lines are received together and blocks the reader until the test proceeds.
type batchReceiver struct {
	batches chan int
	proceed chan struct{}
}

func (r batchReceiver) accepted(uint64, netip.Addr)         {}
func (r batchReceiver) closed(uint64, transport.CloseCause) {}
func (r batchReceiver) received(k *client, input clientInput) {
	k.processed(input)
	r.batches <- len(input.list)
	<-r.proceed
}

// Guards against set-ups for requests that are withdrawn at once: many requests, and all their withdrawals behind them,
// are handled together if they have arrived together, though they are more than is read at once.
func TestRequestsWithdrawnAtOnceAreHandledTogether(t *testing.T) {
	const requests = 150
	r := batchReceiver{make(chan int, 2*requests), make(chan struct{})}
	clients, err := listen("127.0.0.1:0", 1<<20, r)
	if err != nil {
		t.Fatal(err)
	}
	go clients.serve()
	defer clients.close(context.Background())
	defer close(r.proceed)
	c, err := net.Dial("tcp", clients.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintln(c, probeLine)
	<-r.batches // the reader is blocked now
	var text strings.Builder
	for sid := uint64(1); sid <= requests; sid++ {
		text.WriteString(platformsim.OpenLine(sid, "safe", time.Second, ""))
	}
	for sid := uint64(1); sid <= requests; sid++ {
		fmt.Fprintf(&text, `{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid)
	}
	if n := text.Len(); n < 2*maxReadBytes || n > maxBulkBytes {
		t.Fatalf("%d bytes: want more than two reads, and no more than are handled together", n)
	}
	fmt.Fprint(c, text.String())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, err := unacknowledgedBytes(c); err != nil || time.Now().After(end) {
			t.Fatalf("%d bytes have not arrived: %v", n, err)
		} else if n == 0 {
			break
		}
	}
	r.proceed <- struct{}{}
	if n := <-r.batches; n != 2*requests {
		t.Errorf("%d of %d lines were handled together", n, 2*requests)
	}
}

// unacknowledgedBytes returns the number of bytes that the peer's system has not received yet.
func unacknowledgedBytes(c net.Conn) (n int, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

package node

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/transport"
)

// The connection of one viewer, and its reader.

// client is the connection of one viewer.
type client struct {
	id     uint64
	conn   *net.TCPConn
	raw    syscall.RawConn
	writer *transport.Writer
	window *transport.Window // input that the owner goroutine has not processed yet
	// unprocessedBytes is the sum of all windows.
	unprocessedBytes *atomic.Int64
	closing          atomic.Bool // being closed: further input is read and dropped
	mu               sync.Mutex  // held while input is read or parsed, maxReadBytes at a time
	splitter         *wire.Splitter
	// unreadable is set once the splitter has failed or a line names no session: further input is dropped.
	unreadable bool
	withdrawn  map[uint64]bool // sessions that it withdrew or ended in lines not processed yet
}

// clientInput is what was parsed of one read.
type clientInput struct {
	list         []viewers.Input
	readErr      error // the error after which the connection's input can't be read any further
	partialBytes int   // length of the incomplete line that follows; 0: none
	bytes        int   // number of bytes read
}

// Limits of input. Together with the number of connections they bound the memory that peers can fill, and how long one
// connection's input keeps the owner goroutine from the others.
const (
	maxReadBytes   = wire.MaxMessage      // bytes of a viewer read at once
	smallReadBytes = wire.MaxMessage / 16 // the same while the input of all viewers is over its limit
	maxBulkBytes   = 8 * wire.MaxMessage  // bytes of a viewer handled together
	maxBurstBytes  = 2 * maxBulkBytes     // bytes of a viewer unprocessed at a time, or read without taking turns
	// maxTotalUnprocessedBytes is the limit on unprocessed input of all viewers past which even bursts take turns.
	maxTotalUnprocessedBytes = maxBurstBytes
	maxUnprocessedBytes      = 2 * wire.MaxMessage // bytes of a server or the journal service unprocessed at a time
	maxPeekBytes             = 256 << 10           // unread bytes that are searched for the withdrawal of a request
)

// readBuffers holds buffers for reads: a connection without input keeps none.
var readBuffers = sync.Pool{New: func() any { return new([maxReadBytes]byte) }}

// readAll reads a connection until it ends and passes its input on. While the owner goroutine is behind with this
// connection, further input stays in the socket.
func (c *clients) readAll(k *client) {
	burstBytes := 0 // read since the socket was last empty
	for {
		k.window.Wait(maxReadBytes)
		maxBytes := maxReadBytes
		if c.crowded() {
			maxBytes = smallReadBytes
			c.smallReads.Add(1)
			k.window.Wait(maxBurstBytes) // until all is processed
		}
		n, keep, err := k.read(maxBytes)
		if err != nil {
			return
		}
		filled := n == maxBytes
		if !filled {
			burstBytes = 0
		}
		if n < smallReadBytes || burstBytes < maxBurstBytes && !c.crowded() {
			burstBytes += c.passOn(k, n, keep, filled)
			continue
		}
		c.bulkTurns.run(func() {
			burstBytes += c.passOn(k, n, keep, filled)
			k.window.Wait(maxBurstBytes) // until all is processed
		})
	}
}

// crowded reports whether the unprocessed input of all viewers is over its limit. Each viewer may then have one small
// read unprocessed, and what fills it takes turns: hundreds of floods hold little memory, and a viewer that sends little
// waits for little.
func (c *clients) crowded() bool { return c.unprocessedBytes.Load() >= maxTotalUnprocessedBytes }

// passOn parses input that was read, with what has arrived behind it if the read was filled, and passes it on, unless it
// is to be dropped. It returns the number of bytes.
func (c *clients) passOn(k *client, bytes int, keep, filled bool) int {
	if !keep {
		return bytes
	}
	input := k.parseArrived(bytes, filled)
	c.events.received(k, input)
	return input.bytes
}

// turns runs functions one at a time, each followed by a pause as long as it took.
//
// Readers of connections that send more than a burst take turns: their input together uses at most half of a core.
// Without the pauses, a few such connections keep the only core of a front busy. Go's scheduler then looks at the
// sockets of all others only now and then, and each answer waits for that several times. A burst is passed on at once:
// sessions handed over at a start have to be known together, before the core changes the rungs of some of them.
type turns struct {
	mu          sync.Mutex
	taken       atomic.Uint64
	longestWait atomic.Int64 // in nanoseconds
}

// run waits for its turn and calls f.
func (t *turns) run(f func()) {
	askedAt := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	startedAt := time.Now()
	t.taken.Add(1)
	t.longestWait.Store(max(t.longestWait.Load(), int64(startedAt.Sub(askedAt))))
	f()
	time.Sleep(time.Since(startedAt))
}

// read waits for input and reads it once, up to maxBytes. It returns the number of bytes read, and whether they are kept
// for parse and not dropped.
func (k *client) read(maxBytes int) (n int, keep bool, err error) {
	waitErr := k.raw.Read(func(fd uintptr) bool {
		n, keep, err = k.tryRead(int(fd), maxBytes)
		return err != syscall.EAGAIN
	})
	if waitErr != nil {
		return 0, false, waitErr
	}
	return n, keep, err
}

// tryRead reads without blocking. The lock makes the read and its count one step for the owner goroutine.
func (k *client) tryRead(fd, maxBytes int) (n int, keep bool, err error) {
	buffer := readBuffers.Get().(*[maxReadBytes]byte)
	defer readBuffers.Put(buffer)
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		n, err = syscall.Read(fd, buffer[:maxBytes])
		if err != syscall.EINTR {
			break
		}
	}
	switch {
	case err != nil:
		return 0, false, err
	case n == 0:
		return 0, false, io.EOF
	case k.unreadable || k.closing.Load():
		return n, false, nil
	}
	k.splitter.Feed(buffer[:n])
	k.window.Add(n)
	k.unprocessedBytes.Add(int64(n))
	return n, true, nil
}

// parse splits the input read into lines. It records withdrawn sessions at once, because the owner goroutine may be
// behind. bytes is the number of bytes of the last read.
func (k *client) parse(bytes int) clientInput {
	k.mu.Lock()
	defer k.mu.Unlock()
	input := clientInput{bytes: bytes}
	for {
		line, err := k.splitter.Next()
		if err != nil {
			input.readErr, k.unreadable = err, true
			break
		}
		if line == nil {
			break
		}
		var in viewers.Input
		in.Line, in.Err = wire.ParseLine(line)
		if in.Line.Msg == wire.LineClose && in.Line.Sid != 0 {
			if k.withdrawn == nil {
				k.withdrawn = map[uint64]bool{}
			}
			k.withdrawn[in.Line.Sid] = true
		}
		input.list = append(input.list, in)
		if in.Line.Sid == 0 { // the connection will be closed for this line
			k.unreadable = true
			break
		}
	}
	input.partialBytes = k.splitter.PartialBytes()
	return input
}

// parseArrived is parse and, after a read that was filled, also reads and parses what has arrived behind it, up to
// maxBulkBytes in all: hundreds of requests and their withdrawals are handled together.
func (k *client) parseArrived(bytes int, filled bool) clientInput {
	input := k.parse(bytes)
	for filled && input.readErr == nil && input.bytes+maxReadBytes <= maxBulkBytes {
		more, ok := k.readArrived()
		if !ok {
			break
		}
		filled = more == maxReadBytes
		next := k.parse(more)
		input.list = append(input.list, next.list...)
		input.readErr, input.partialBytes = next.readErr, next.partialBytes
		input.bytes += next.bytes
	}
	return input
}

// readArrived reads once without waiting. It returns the number of bytes for parse; ok is false if there are none, or
// if the connection has ended, which the next read reports.
func (k *client) readArrived() (n int, ok bool) {
	var err error
	if k.raw.Control(func(fd uintptr) { n, ok, err = k.tryRead(int(fd), maxReadBytes) }) != nil || err != nil {
		return 0, false
	}
	return n, ok
}

// processed records that the owner goroutine has handled a result of parse.
func (k *client) processed(input clientInput) {
	k.mu.Lock()
	for _, in := range input.list { // a later line about a session of this list may still be unprocessed
		if in.Line.Msg == wire.LineClose {
			delete(k.withdrawn, in.Line.Sid)
		}
	}
	if len(k.withdrawn) == 0 {
		k.withdrawn = nil
	}
	k.mu.Unlock()
	k.window.Done(input.bytes)
	k.unprocessedBytes.Add(-int64(input.bytes))
}

// dropInput drops the input that was read and lets the reader drop further input. It returns false if it does so already.
func (k *client) dropInput() bool {
	if k.closing.Swap(true) {
		return false
	}
	k.window.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.splitter.Discard()
	return true
}

// poll reports the kernel's state of a connection, see transport.Poll. A connection closed here counts as closed.
func (k *client) poll() (closed, unread bool) {
	if k.raw.Control(func(fd uintptr) { closed, unread = transport.Poll(int(fd)) }) != nil {
		return true, false
	}
	return closed, unread
}

// inputDrained reports whether all input has been read and processed.
func (k *client) inputDrained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.window.Unprocessed() > 0 {
		return false
	}
	_, unread := k.poll()
	return !unread
}

// waitsFor reports whether the client is still connected and no input, read or not, withdraws the session. peekBuffer
// receives unread input.
func (k *client) waitsFor(session uint64, peekBuffer []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	closed, unread := k.poll()
	if closed || k.withdrawn[session] {
		return false
	}
	unreadBytes := 0
	if unread {
		k.raw.Control(func(fd uintptr) { unreadBytes = transport.Peek(int(fd), peekBuffer) })
	}
	return !k.splitter.ContainsClose(peekBuffer[:unreadBytes], session)
}

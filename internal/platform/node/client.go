package node

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tealledge/decide/intake"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/transport"
)

// The connection of one viewer, and its reader.

// client is the connection of one viewer.
type client struct {
	id       uint64
	conn     *net.TCPConn
	raw      syscall.RawConn
	writer   *transport.Writer
	window   *transport.Window // input that the owner goroutine has not processed yet
	gate     *inputGate
	usage    intake.Usage  // guarded by gate
	standing atomic.Uint32 // an intake.Standing
	closing  atomic.Bool   // being closed: further input is read and dropped
	dropping chan struct{} // closed with closing
	mu       sync.Mutex    // held while input is read or parsed, maxReadBytes at a time
	splitter *wire.Splitter
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

// Limits of input. They bound the memory that peers can fill, and how long one connection's input keeps the owner
// goroutine from the others.
const (
	maxReadBytes  = wire.MaxMessage     // bytes of a viewer read at once
	maxBulkBytes  = 8 * wire.MaxMessage // bytes of a viewer handled together
	maxBurstBytes = 2 * maxBulkBytes    // bytes of a viewer unprocessed at a time, or read without taking turns
	// maxTotalUnprocessedBytes is the limit on unprocessed input of all viewers. A read that is granted waits for no more
	// than this to be processed.
	maxTotalUnprocessedBytes = maxBurstBytes
	maxUnprocessedBytes      = 2 * wire.MaxMessage // bytes of a server or the journal service unprocessed at a time
	maxPeekBytes             = 256 << 10           // unread bytes that are searched for the withdrawal of a request
)

// droppedReadPause is the pause after a read of input that is dropped: a client that goes on sending must not keep the
// core busy.
const droppedReadPause = time.Millisecond

// readBuffers holds buffers for reads: a connection without input keeps none.
var readBuffers = sync.Pool{New: func() any { return new([maxReadBytes]byte) }}

// readAll reads a connection until it ends and passes its input on. Input that is not granted yet stays in the socket.
func (c *clients) readAll(k *client) {
	for {
		arrived, err := k.waitForInput()
		if err != nil {
			return
		}
		request := c.gate.wait(k, arrived)
		if request == nil {
			if err := k.dropArrived(); err != nil {
				return
			}
			continue
		}
		if err := c.readGranted(k, request); err != nil {
			return
		}
	}
}

// readGranted carries out a read that was granted.
func (c *clients) readGranted(k *client, request *intake.Request) error {
	if request.Flood() {
		defer c.gate.floodDone(request)
	}
	granted := request.Granted()
	n, keep, err := k.tryRead(granted)
	if err != nil || !keep {
		c.gate.unused(request, granted)
		if err == syscall.EAGAIN {
			return nil
		}
		return err
	}
	c.gate.unused(request, granted-n)
	input := k.parse(n)
	if n == maxReadBytes {
		k.parseArrived(request, &input)
	}
	c.events.received(k, input)
	if request.Flood() {
		k.window.WaitEmpty()
	}
	return nil
}

// waitForInput waits until input has arrived, or the end of the connection, and returns the number of bytes.
func (k *client) waitForInput() (arrived int, err error) {
	waitErr := k.raw.Read(func(fd uintptr) bool {
		arrived, err = transport.UnreadBytes(int(fd))
		if err != nil || arrived > 0 {
			return true
		}
		closed, unread := transport.Poll(int(fd))
		if !closed && !unread {
			return false
		}
		arrived, err = transport.UnreadBytes(int(fd)) // it may have arrived since
		return true
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err == nil && arrived == 0:
		return 0, io.EOF
	}
	return arrived, err
}

// dropArrived reads input of a connection that is being closed, and drops it.
func (k *client) dropArrived() error {
	_, _, err := k.tryRead(maxReadBytes)
	if err == syscall.EAGAIN {
		err = nil
	}
	time.Sleep(droppedReadPause)
	return err
}

// tryRead reads up to maxBytes without waiting. keep is false if the bytes are dropped.
func (k *client) tryRead(maxBytes int) (n int, keep bool, err error) {
	if closedErr := k.raw.Control(func(fd uintptr) { n, keep, err = k.readOnce(int(fd), maxBytes) }); closedErr != nil {
		return 0, false, closedErr
	}
	return n, keep, err
}

// readOnce reads without blocking. The lock makes the read and its count one step for the owner goroutine.
func (k *client) readOnce(fd, maxBytes int) (n int, keep bool, err error) {
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

// parseArrived reads and parses what has arrived behind a read that was filled, and adds it to the input, as far as it is
// granted: hundreds of requests and their withdrawals are handled together.
func (k *client) parseArrived(request *intake.Request, input *clientInput) {
	for filled := true; filled && input.readErr == nil && k.gate.more(request, maxReadBytes); {
		n, keep, err := k.tryRead(maxReadBytes)
		if err != nil || !keep { // the next read reports the end of the connection
			k.gate.unused(request, maxReadBytes)
			return
		}
		k.gate.unused(request, maxReadBytes-n)
		filled = n == maxReadBytes
		next := k.parse(n)
		input.list = append(input.list, next.list...)
		input.readErr, input.partialBytes = next.readErr, next.partialBytes
		input.bytes += next.bytes
	}
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
	k.gate.done(input.bytes)
}

// dropInput drops the input that was read and lets the reader drop further input. It returns false if it does so already.
func (k *client) dropInput() bool {
	if k.closing.Swap(true) {
		return false
	}
	close(k.dropping)
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

// unsentBytes returns the number of bytes in the kernel that have not arrived at the client's machine; 0 if not known.
func (k *client) unsentBytes() (n int) {
	k.raw.Control(func(fd uintptr) { n = transport.UnackedBytes(int(fd)) })
	return n
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

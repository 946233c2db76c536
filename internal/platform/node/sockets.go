package node

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"tealledge/decide/admission"
	"tealledge/internal/front"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/wire"
	"tealledge/internal/transport"
)

// Queue items: events of the sockets and calls of other goroutines for the owner goroutine.
type (
	clientAccepted struct {
		conn uint64
		host netip.Addr
	}
	clientReceived struct {
		from   *client
		readAt front.Time
		clientInput
	}
	clientClosed struct {
		conn  uint64
		cause transport.CloseCause // empty unless its writer closed it
	}
	serverConnected  struct{ conn uint64 }
	serverDialFailed struct {
		conn    uint64
		failure servers.Failure
	}
	serverReceived struct {
		conn  uint64
		bytes []byte
	}
	serverClosed     struct{ conn, submitted uint64 }
	journalConnected struct{ conn uint64 }
	journalClosed    struct{ conn uint64 }
	journalReceived  struct {
		conn    uint64
		lines   [][]byte
		readErr error
		bytes   int // number of bytes read
	}
	shutdownRequested struct{ receivedAt front.Time } // when the signal was received
	snapshotRequested struct{ reply chan Snapshot }
)

// eventQueue puts the events of viewers' connections into the queue of the owner goroutine.
type eventQueue struct{ node *Node }

func (s eventQueue) accepted(conn uint64, host netip.Addr) {
	s.node.queue.Force(clientAccepted{conn, host})
}

func (s eventQueue) closed(conn uint64, cause transport.CloseCause) {
	s.node.queue.Force(clientClosed{conn, cause})
}

func (s eventQueue) received(from *client, input clientInput) {
	// Lines of one connection must keep their order: a request must not be overtaken by its withdrawal.
	s.node.queue.Put(admission.Outcome, clientReceived{from, s.node.now(), input})
}

// dialServer opens a connection to a server.
func (n *Node) dialServer(conn uint64, addr string, timeout time.Duration) {
	n.serverConns.Dial(conn, dialer(addr, timeout), transport.Handler{
		Connected: func() { n.queue.Force(serverConnected{conn}) },
		Failed:    func(err error) { n.queue.Force(serverDialFailed{conn, classifyDialError(err)}) },
		Read:      func(b []byte) { n.queue.Put(admission.Outcome, serverReceived{conn, bytes.Clone(b)}) },
		Closed:    func(submitted uint64) { n.queue.Force(serverClosed{conn, submitted}) }})
}

// classifyDialError returns the kind of failure that a connect error proves.
func classifyDialError(err error) servers.Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return servers.Refused
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EHOSTUNREACH),
		errors.Is(err, syscall.ENETUNREACH):
		return servers.TimedOut
	}
	return servers.OtherFailure
}

// dialJournal opens a connection to the journal service.
func (n *Node) dialJournal(conn uint64, addr string, timeout time.Duration) {
	splitter := wire.NewSplitter(wire.MaxEvent)
	n.journalConns.Dial(conn, dialer(addr, timeout), transport.Handler{
		Connected: func() { n.queue.Force(journalConnected{conn}) },
		Failed:    func(error) { n.queue.Force(journalClosed{conn}) },
		Closed:    func(uint64) { n.queue.Force(journalClosed{conn}) },
		Read: func(b []byte) {
			message := journalReceived{conn: conn, bytes: len(b)}
			splitter.Feed(b)
			for {
				line, err := splitter.Next()
				if line == nil {
					message.readErr = err
					break
				}
				message.lines = append(message.lines, bytes.Clone(line))
			}
			n.queue.Put(admission.Outcome, message)
		}})
}

// dialer returns a function that opens a TCP connection.
func dialer(addr string, timeout time.Duration) func() (net.Conn, error) {
	return func() (net.Conn, error) { return transport.DialTCP(addr, timeout) }
}

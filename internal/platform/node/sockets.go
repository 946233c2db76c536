package node

import (
	"bytes"
	"errors"
	"net"
	"syscall"
	"time"

	"tealledge/decide/admit"
	"tealledge/internal/front"
	"tealledge/internal/pipe"
	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/viewers"
	"tealledge/internal/platform/wire"
)

// What the sockets bring the owner, and the connections that this side opens.

type (
	accepted struct{ conn uint64 }
	said     struct {
		from    *client
		read    front.Time
		list    []viewers.In
		broken  error
		partial bool
	}
	left       struct{ conn uint64 }
	connected  struct{ conn uint64 }
	dialFailed struct {
		conn uint64
		why  servers.Failure
	}
	received struct {
		conn uint64
		b    []byte
	}
	lost     struct{ conn, begun uint64 }
	feedUp   struct{ conn uint64 }
	feedLost struct{ conn uint64 }
	feedSaid struct {
		conn   uint64
		lines  [][]byte
		broken error
	}
	leave   struct{}
	inspect struct{ reply chan Snapshot }
)

type clientSink struct{ n *Node }

func (k clientSink) accepted(conn uint64) { k.n.queue.Force(accepted{conn}) }

func (k clientSink) left(conn uint64) { k.n.queue.Force(left{conn}) }

func (k clientSink) said(from *client, list []viewers.In, broken error, partial bool) {
	// Lines of one connection keep their order: a request and the word that it is given up must not change places.
	k.n.queue.Put(admit.News, said{from, k.n.now(), list, broken, partial})
}

// dial opens a connection to a server.
func (n *Node) dial(conn uint64, addr string, within time.Duration) {
	n.links.Dial(conn, connect(addr, within), pipe.Handler{
		Connected: func() { n.queue.Force(connected{conn}) },
		Failed:    func(err error) { n.queue.Force(dialFailed{conn, failure(err)}) },
		Read:      func(b []byte) { n.queue.Put(admit.News, received{conn, bytes.Clone(b)}) },
		Lost:      func(begun uint64) { n.queue.Force(lost{conn, begun}) }})
}

// failure tells what a connect's error proves.
func failure(err error) servers.Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return servers.Refused
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return servers.Unanswered
	}
	return servers.Broke
}

// tail opens a connection to the journal service.
func (n *Node) tail(conn uint64, addr string, within time.Duration) {
	cut := wire.NewSplitter(wire.MaxEvent)
	n.feed.Dial(conn, connect(addr, within), pipe.Handler{
		Connected: func() { n.queue.Force(feedUp{conn}) },
		Failed:    func(error) { n.queue.Force(feedLost{conn}) },
		Lost:      func(uint64) { n.queue.Force(feedLost{conn}) },
		Read: func(b []byte) {
			said := feedSaid{conn: conn}
			cut.Feed(b)
			for {
				line, err := cut.Next()
				if line == nil {
					said.broken = err
					break
				}
				said.lines = append(said.lines, bytes.Clone(line))
			}
			n.queue.Put(admit.News, said)
		}})
}

func connect(addr string, within time.Duration) func() (net.Conn, error) {
	return func() (net.Conn, error) { return pipe.DialTCP(addr, within) }
}

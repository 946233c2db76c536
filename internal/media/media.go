// Package media carries the connections to the media servers: it dials, reads whole RTSP messages and
// writes without holding anyone up. What is said on them is internal/rtspclient's matter.
package media

import (
	"net"
	"sync/atomic"
	"time"

	"tealledge/internal/rtsp"
	"tealledge/internal/rtspclient"
	"tealledge/internal/transport"
)

// Sink takes what the connections bring. Its methods are called from many goroutines; they may wait.
type Sink interface {
	Connected(server uint32, conn uint64)
	DialFailed(server uint32, conn uint64, err error)
	Received(server uint32, conn uint64, list []*rtsp.Message)
	Lost(server uint32, conn uint64, begun uint64)
}

// Links holds the connections.
type Links struct {
	sink  Sink
	wait  time.Duration
	links *transport.Conns
	dials atomic.Int64
}

// New makes an empty set: a dial may take wait, a write writeWait, and most bytes may wait on one connection.
func New(sink Sink, wait, writeWait time.Duration, most int) *Links {
	return &Links{sink: sink, wait: wait, links: transport.NewConns(most, writeWait)}
}

// Do carries out an act of the desk. It never waits.
func (l *Links) Do(a rtspclient.Effect) {
	switch {
	case a.Dial != "":
		l.dials.Add(1)
		l.dial(a)
	case a.Close:
		l.links.CloseConn(a.Conn)
	default:
		l.links.Send(a.Conn, a.Bytes)
	}
}

func (l *Links) dial(a rtspclient.Effect) {
	var d rtsp.Decoder
	l.links.Dial(a.Conn, func() (net.Conn, error) { return connect(a.Dial, min(l.wait, time.Duration(a.Timeout))) }, transport.Handler{
		Connected: func() { l.sink.Connected(a.Server, a.Conn) },
		Failed:    func(err error) { l.sink.DialFailed(a.Server, a.Conn, err) },
		Closed:    func(begun uint64) { l.sink.Lost(a.Server, a.Conn, begun) },
		Read: func(b []byte) {
			d.Feed(b)
			var list []*rtsp.Message
			for {
				m, err := d.Next()
				if err != nil { // what follows can't be told apart: the connection is of no more use
					l.links.CloseConn(a.Conn)
				}
				if m == nil {
					break
				}
				list = append(list, m)
			}
			if len(list) > 0 {
				l.sink.Received(a.Server, a.Conn, list)
			}
		}})
}

// Dials tells how many connections were tried.
func (l *Links) Dials() int { return int(l.dials.Load()) }

// Close closes all connections, once what waits on them is written, and waits for dials under way.
func (l *Links) Close() { l.links.Close() }

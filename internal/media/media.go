// Package media manages the connections to the media servers: it dials, decodes RTSP messages and writes without
// blocking the caller. internal/rtspclient implements the protocol on them.
package media

import (
	"net"
	"sync/atomic"
	"time"

	"tealledge/internal/rtsp"
	"tealledge/internal/rtspclient"
	"tealledge/internal/transport"
)

// Sink receives the events of the connections. Its methods are called from many goroutines and may block.
type Sink interface {
	Connected(server uint32, conn uint64)
	DialFailed(server uint32, conn uint64, err error)
	Received(server uint32, conn uint64, messages []*rtsp.Message)
	ConnectionLost(server uint32, conn uint64, submitted uint64)
}

// Conns holds the connections.
type Conns struct {
	sink        Sink
	dialTimeout time.Duration
	conns       *transport.Conns
	dialCount   atomic.Int64
}

// New returns an empty set. A dial takes at most dialTimeout and a write at most writeTimeout; each connection queues
// at most maxQueuedBytes.
func New(sink Sink, dialTimeout, writeTimeout time.Duration, maxQueuedBytes int) *Conns {
	return &Conns{sink: sink, dialTimeout: dialTimeout, conns: transport.NewConns(maxQueuedBytes, writeTimeout)}
}

// Do carries out an effect of the protocol. It never blocks.
func (c *Conns) Do(effect rtspclient.Effect) {
	switch {
	case effect.Dial != "":
		c.dialCount.Add(1)
		c.dial(effect)
	case effect.Close:
		c.conns.CloseConn(effect.Conn)
	default:
		c.conns.Send(effect.Conn, effect.Bytes)
	}
}

func (c *Conns) dial(effect rtspclient.Effect) {
	var decoder rtsp.Decoder
	c.conns.Dial(effect.Conn, func() (net.Conn, error) {
		return connect(effect.Dial, min(c.dialTimeout, time.Duration(effect.Timeout)))
	}, transport.Handler{
		Connected: func() { c.sink.Connected(effect.Server, effect.Conn) },
		Failed:    func(err error) { c.sink.DialFailed(effect.Server, effect.Conn, err) },
		Closed:    func(submitted uint64) { c.sink.ConnectionLost(effect.Server, effect.Conn, submitted) },
		Read: func(b []byte) {
			decoder.Feed(b)
			var messages []*rtsp.Message
			for {
				message, err := decoder.Next()
				if err != nil { // the message boundaries are lost, so the connection can't be used any more
					c.conns.CloseConn(effect.Conn)
				}
				if message == nil {
					break
				}
				messages = append(messages, message)
			}
			if len(messages) > 0 {
				c.sink.Received(effect.Server, effect.Conn, messages)
			}
		}})
}

// Dials returns the number of connection attempts.
func (c *Conns) Dials() int { return int(c.dialCount.Load()) }

// Close closes all connections after their queued bytes are written, and waits for dials in progress.
func (c *Conns) Close() { c.conns.Close() }

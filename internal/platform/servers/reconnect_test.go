package servers

import (
	"fmt"
	"slices"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// network connects a Protocol and server 1 in virtual time: bytes and connection ends are delayed each way, and data
// in flight to a side that has closed is lost, as in a socket's buffer.
type network struct {
	*rig
	delay           Time
	splitDelay      Time // delay between the two halves of a server's message; 0: it arrives whole
	lag             Time // additional delay from the server on the first connection, as of a retransmission
	conns           []*serverConn
	queue           []delivery
	pendingReleases []*wire.Message // releases that no connection could carry
	endedAt         map[uint64]Time // by session: when its end was reported to the core
	endCount        map[uint64]int
}

// serverConn is a connection as the server sees it.
type serverConn struct {
	conn         uint64
	open         bool // open as far as the server knows
	ended        bool // the Protocol has closed it or its writing side
	readMessages int  // number of the Protocol's messages already in flight
}

// delivery is an event that is due at a time.
type delivery struct {
	at Time
	do func()
}

func newNetwork(t *testing.T, delay, splitDelay Time) *network {
	return &network{rig: newRig(t), delay: delay, splitDelay: splitDelay, endedAt: map[uint64]Time{},
		endCount: map[uint64]int{}}
}

func (x *network) after(d Time, do func()) { x.queue = append(x.queue, delivery{x.now + d, do}) }

// settle carries out the effects of the Protocol and records its events.
func (x *network) settle() {
	x.take()
	for _, e := range x.events {
		if e, ok := e.(front.AttemptEnded); ok {
			x.endCount[e.Session]++
			x.endedAt[e.Session] = x.now
		}
	}
	x.events = nil
	for _, a := range x.dials {
		if a.Server != 1 {
			continue
		}
		x.after(x.delay, func() {
			c := &serverConn{conn: a.Conn, open: true}
			x.conns = append(x.conns, c)
			for _, m := range x.pendingReleases {
				x.transmit(c, m)
			}
			x.pendingReleases = nil
		})
		x.after(2*x.delay, func() { x.p.Connected(x.now, 1, a.Conn) })
	}
	x.dials = nil
	for _, c := range x.conns {
		for ; c.readMessages < len(x.written[c.conn]); c.readMessages++ {
			m := x.written[c.conn][c.readMessages]
			x.after(x.delay, func() { x.serverReceives(c, m) })
		}
		if (x.closed[c.conn] || x.halfClosed[c.conn]) && !c.ended {
			c.ended = true
			x.after(x.delay, func() {
				c.open = false
				x.after(x.latency(c)+x.splitDelay, func() { // after everything that the server sent
					if !x.closed[c.conn] {
						x.p.Lost(x.now, 1, c.conn, x.bytes[c.conn])
					}
				})
			})
		}
	}
}

// serverReceives handles a message at the server.
func (x *network) serverReceives(c *serverConn, m *wire.Message) {
	if m.Type == wire.SetUp {
		x.transmit(c, ready(m.Session))
	}
}

// transmit sends a message from the server; it is lost if the connection is closed when it arrives.
func (x *network) transmit(c *serverConn, m *wire.Message) {
	b, _ := m.Append(nil)
	latency := x.latency(c)
	arrive := func(b []byte) func() {
		return func() {
			if !x.closed[c.conn] {
				x.p.Received(x.now, 1, c.conn, b)
			}
		}
	}
	if x.splitDelay > 0 {
		x.after(latency, arrive(b[:len(b)/2]))
		x.after(latency+x.splitDelay, arrive(b[len(b)/2:]))
		return
	}
	x.after(latency, arrive(b))
}

// latency returns the delay from the server on a connection.
func (x *network) latency(c *serverConn) Time {
	if c == x.conns[0] {
		return x.delay + x.lag
	}
	return x.delay
}

// endSession ends a session at the server: the release is sent on the connection of its set-up, else on another, else
// on the next.
func (x *network) endSession(session uint64, of int) {
	m := release(session, wire.CauseEnded)
	if of < len(x.conns) && x.conns[of].open {
		x.transmit(x.conns[of], m)
		return
	}
	for _, c := range slices.Backward(x.conns) {
		if c.open {
			x.transmit(c, m)
			return
		}
	}
	x.pendingReleases = append(x.pendingReleases, m)
}

// run advances the time from one delivery to the next and calls Tick at the shell's interval.
func (x *network) run(d Time) {
	for end := x.now + d; ; {
		next := min(end, x.now-x.now%(25*ms)+25*ms)
		for _, e := range x.queue {
			next = min(next, e.at)
		}
		x.now = max(x.now, next)
		for i := 0; i < len(x.queue); {
			if e := x.queue[i]; e.at <= x.now {
				x.queue = slices.Delete(x.queue, i, i+1)
				e.do()
				x.settle()
				continue
			}
			i++
		}
		if x.now%(25*ms) == 0 {
			x.p.Tick(x.now)
			x.settle()
		}
		if x.now >= end {
			return
		}
	}
}

// A server ends a session at any moment around a connect that only checks whether it lives: before it, with the
// release half written or unread when the old connection is closed, and after the new one has opened. With loss,
// bytes of the old connection arrive one retransmission later. The end must reach the core once, and as soon as the
// network delivers it.
func TestReportsSessionEndDuringReconnect(t *testing.T) {
	for _, c := range []struct{ delay, splitDelay, lag Time }{{delay: ms}, {delay: ms, splitDelay: 30 * ms},
		{delay: 10 * ms}, {delay: 60 * ms, splitDelay: 30 * ms},
		{delay: 110 * ms}, {delay: ms, lag: 210 * ms}, {delay: 20 * ms, splitDelay: 5 * ms, lag: 630 * ms}} {
		t.Run(fmt.Sprintf("delay %d ms, halves %d ms apart, loss %d ms", c.delay/ms, c.splitDelay/ms, c.lag/ms),
			func(t *testing.T) {
				var failed []Time
				for at := silenceTimeout - 300*ms; at < silenceTimeout+600*ms; at += 5 * ms {
					x := newNetwork(t, c.delay, c.splitDelay)
					x.setup(5)
					x.run(4*c.delay + c.splitDelay + 5*ms)
					x.lag = c.lag
					x.run(at)
					releasedAt := x.now
					x.endSession(5, 0)
					x.run(2 * policy.Second)
					if x.endCount[5] != 1 || x.endedAt[5] > releasedAt+c.delay+c.splitDelay+c.lag+ms {
						failed = append(failed, at)
					}
				}
				if len(failed) > 0 {
					t.Errorf("%d ends lost, repeated or late, the first %d ms and the last %d ms after the answer",
						len(failed), failed[0]/ms, failed[len(failed)-1]/ms)
				}
			})
	}
}

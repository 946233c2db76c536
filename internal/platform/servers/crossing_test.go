package servers

import (
	"fmt"
	"slices"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// crossing is a desk and server 1 with a network between them, in virtual time: bytes and ends take their time each way,
// and what is on its way to a side that has closed is lost, as in a socket's buffer.
type crossing struct {
	*rig
	delay  Time
	halves Time // between the two halves of a message of the server; 0: it comes whole
	lag    Time // of the first connection's way here: what is sent there was lost and is sent again
	conns  []*served
	queue  []due
	owed   []*wire.Message // releases that no connection could carry
	seen   int             // of what the desk wrote, by connection
	told   map[uint64]Time // by session: when its end reached the core
	ends   map[uint64]int
}

type served struct {
	conn  uint64
	open  bool // for all that the server knows
	ended bool // the desk has closed it
	read  int  // messages of the desk that have left it
}

type due struct {
	at Time
	do func()
}

func newCrossing(t *testing.T, delay, halves Time) *crossing {
	return &crossing{rig: newRig(t), delay: delay, halves: halves, told: map[uint64]Time{}, ends: map[uint64]int{}}
}

func (x *crossing) after(d Time, do func()) { x.queue = append(x.queue, due{x.now + d, do}) }

// settle sends on what the desk has come up with.
func (x *crossing) settle() {
	x.take()
	for _, e := range x.news {
		if e, ok := e.(front.Ended); ok {
			x.ends[e.Session]++
			x.told[e.Session] = x.now
		}
	}
	x.news = nil
	for _, a := range x.dials {
		if a.Server != 1 {
			continue
		}
		x.after(x.delay, func() {
			c := &served{conn: a.Conn, open: true}
			x.conns = append(x.conns, c)
			for _, m := range x.owed {
				x.send(c, m)
			}
			x.owed = nil
		})
		x.after(2*x.delay, func() { x.d.Connected(x.now, 1, a.Conn) })
	}
	x.dials = nil
	for _, c := range x.conns {
		for ; c.read < len(x.wrote[c.conn]); c.read++ {
			m := x.wrote[c.conn][c.read]
			x.after(x.delay, func() { x.hears(c, m) })
		}
		if (x.closed[c.conn] || x.ending[c.conn]) && !c.ended {
			c.ended = true
			x.after(x.delay, func() {
				c.open = false
				x.after(x.way(c)+x.halves, func() { // behind all that it has said
					if !x.closed[c.conn] {
						x.d.Lost(x.now, 1, c.conn, x.bytes[c.conn])
					}
				})
			})
		}
	}
}

// hears is what the server makes of a message.
func (x *crossing) hears(c *served, m *wire.Message) {
	if m.Type == wire.SetUp {
		x.send(c, ready(m.Session))
	}
}

// send has the server write; what reaches a closed connection is lost.
func (x *crossing) send(c *served, m *wire.Message) {
	b, _ := m.Append(nil)
	way := x.way(c)
	arrive := func(b []byte) func() {
		return func() {
			if !x.closed[c.conn] {
				x.d.Received(x.now, 1, c.conn, b)
			}
		}
	}
	if x.halves > 0 {
		x.after(way, arrive(b[:len(b)/2]))
		x.after(way+x.halves, arrive(b[len(b)/2:]))
		return
	}
	x.after(way, arrive(b))
}

// way is how long what the server sends takes.
func (x *crossing) way(c *served) Time {
	if c == x.conns[0] {
		return x.delay + x.lag
	}
	return x.delay
}

// over ends a session at the server: told on the connection of its set-up, or else on another, or else on the next.
func (x *crossing) over(session uint64, of int) {
	m := release(session, wire.CauseGivenUp)
	if of < len(x.conns) && x.conns[of].open {
		x.send(x.conns[of], m)
		return
	}
	for _, c := range slices.Backward(x.conns) {
		if c.open {
			x.send(c, m)
			return
		}
	}
	x.owed = append(x.owed, m)
}

// run lets time pass, from one thing that comes due to the next; the desk's clock ticks as the shell's does.
func (x *crossing) run(d Time) {
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
			x.d.Tick(x.now)
			x.settle()
		}
		if x.now >= end {
			return
		}
	}
}

// A server ends a session at every moment around a connect that only asks whether it lives: before it, with its word half
// written or unread where the old connection is given up, and once the new one stands. With loss, bytes of the old connection
// come a retransmission later. The word reaches the core once, and as soon as the network brings it.
func TestEndsThatCrossAReplacement(t *testing.T) {
	for _, c := range []struct{ delay, halves, lag Time }{{delay: ms}, {delay: ms, halves: 30 * ms}, {delay: 10 * ms}, {delay: 60 * ms, halves: 30 * ms},
		{delay: 110 * ms}, {delay: ms, lag: 210 * ms}, {delay: 20 * ms, halves: 5 * ms, lag: 630 * ms}} {
		t.Run(fmt.Sprintf("delay %d ms, halves %d ms apart, loss %d ms", c.delay/ms, c.halves/ms, c.lag/ms), func(t *testing.T) {
			var lost []Time
			for at := quietFor - 300*ms; at < quietFor+600*ms; at += 5 * ms {
				x := newCrossing(t, c.delay, c.halves)
				x.setup(5)
				x.run(4*c.delay + c.halves + 5*ms)
				x.lag = c.lag
				x.run(at)
				said := x.now
				x.over(5, 0)
				x.run(2 * policy.Second)
				if x.ends[5] != 1 || x.told[5] > said+c.delay+c.halves+c.lag+ms {
					lost = append(lost, at)
				}
			}
			if len(lost) > 0 {
				t.Errorf("%d ends not told in time, the first %d ms, the last %d ms after the answer", len(lost), lost[0]/ms, lost[len(lost)-1]/ms)
			}
		})
	}
}

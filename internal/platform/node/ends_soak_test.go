package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

var (
	endsSeeds = flag.Int("ends.seeds", 8, "number of trials of TestEndsSoak")
	endsFirst = flag.Uint64("ends.first", 1, "seed of its first trial")
)

// Each trial has clients of one host whose connections are reset, closed in order, and replaced at once, later or twice,
// while their sessions end at the servers; bad clients hand over the sessions of others, and idle ones connect. Every end
// must reach its client.
func TestEndsSoak(t *testing.T) {
	for i := range *endsSeeds {
		seed := *endsFirst + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			trial := &endsTrial{x: newTestFront(t, 1024), random: rand.New(rand.NewPCG(seed, 58))}
			trial.run()
		})
	}
}

// Durations of a trial.
const (
	endsTrialTime  = 5 * time.Second
	endsQuietTime  = 1500 * time.Millisecond // at its end nothing more is disturbed
	minStep        = 5 * time.Millisecond
	maxStep        = 50 * time.Millisecond
	maxAbsence     = 1500 * time.Millisecond // of a client between two connections
	endsTrialUsers = 4
)

// endsTrial is one trial.
type endsTrial struct {
	x       *testFront
	random  *rand.Rand
	clients []*endsClient
	others  sync.WaitGroup // bad and idle clients
}

// endsClient is a client with one connection at a time.
type endsClient struct {
	mu          sync.Mutex
	conn        *platformsim.Viewer // nil while it is away
	connectedAt time.Time
	returnAt    time.Time // when it connects again
	open        map[uint64]bool
	sessions    map[uint64]*endsSession
	readers     sync.WaitGroup
}

// endsSession is a session that stood.
type endsSession struct {
	endedAt time.Time // at its server
	dueFrom time.Time // since when its client could be told: its end, or its client's return
	toldAt  time.Time
}

// run plays the trial.
func (e *endsTrial) run() {
	for range endsTrialUsers {
		c := &endsClient{open: map[uint64]bool{}, sessions: map[uint64]*endsSession{}}
		e.connect(c)
		e.clients = append(e.clients, c)
	}
	for end := time.Now().Add(endsTrialTime); time.Now().Before(end); {
		e.step()
		time.Sleep(minStep + time.Duration(e.random.Int64N(int64(maxStep-minStep))))
	}
	for _, c := range e.clients {
		if c.conn == nil {
			e.connect(c)
		}
	}
	time.Sleep(endsQuietTime)
	e.check()
	for _, c := range e.clients {
		c.conn.Close()
		c.readers.Wait()
	}
	e.others.Wait()
	e.x.stopAll()
}

// step lets a client, a server or a bad client do something.
func (e *endsTrial) step() {
	c := e.clients[e.random.IntN(len(e.clients))]
	switch n := e.random.IntN(20); {
	case c.conn == nil:
		if time.Now().After(c.returnAt) {
			e.connect(c)
		}
	case n < 9:
		sid := e.x.newID()
		c.mu.Lock()
		c.open[sid] = true
		c.mu.Unlock()
		c.conn.Open(sid, []string{"safe", "paid"}[e.random.IntN(2)], 1500*time.Millisecond)
	case n < 14:
		e.endSession(c)
	case n < 18:
		e.loseConnection(c)
	case n < 19:
		e.badClient(c)
	default:
		e.idleClient()
	}
}

// connect opens a client's connection.
func (e *endsTrial) connect(c *endsClient) {
	v := e.x.viewer()
	v.Probe(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.connectedAt = v, time.Now()
	for _, s := range c.sessions {
		if !s.endedAt.IsZero() && s.toldAt.IsZero() {
			s.dueFrom = c.connectedAt
		}
	}
	c.readers.Go(func() { c.read(v) })
}

// read handles lines until the connection has ended.
func (c *endsClient) read(v *platformsim.Viewer) {
	for {
		select {
		case l := <-v.Lines:
			c.handle(l)
		case <-v.Closed:
			for len(v.Lines) > 0 {
				c.handle(<-v.Lines)
			}
			return
		}
	}
}

// handle handles a line.
func (c *endsClient) handle(l wire.Line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	session := c.sessions[l.Sid]
	switch {
	case c.open[l.Sid]:
		delete(c.open, l.Sid)
		if l.Msg == wire.LineReady {
			c.sessions[l.Sid] = &endsSession{}
		}
	case session != nil && session.toldAt.IsZero() && (l.Msg == wire.LineClose || l.Msg == wire.LineRelocate):
		session.toldAt = time.Now()
	}
}

// endSession ends a session of a client at its server.
func (e *endsTrial) endSession(c *endsClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range e.x.servers {
		for _, sid := range server.Sessions() {
			session := c.sessions[sid]
			if session == nil || !session.endedAt.IsZero() {
				continue
			}
			session.endedAt = time.Now()
			session.dueFrom = session.endedAt
			server.EndSession(sid, []uint8{wire.CauseEnded, wire.CauseReset}[e.random.IntN(2)])
			return
		}
	}
}

// loseConnection ends a client's connection, if no request is open on it.
func (e *endsTrial) loseConnection(c *endsClient) {
	c.mu.Lock()
	busy := len(c.open) > 0
	c.mu.Unlock()
	if busy {
		return
	}
	for range 1 + e.random.IntN(2) {
		v := c.conn
		if e.random.IntN(2) == 0 {
			v.Reset()
		} else {
			v.Close()
		}
		c.readers.Wait()
		e.connect(c)
	}
	if e.random.IntN(2) == 0 {
		c.conn.Reset()
		c.readers.Wait()
		c.conn = nil
		c.returnAt = time.Now().Add(time.Duration(e.random.Int64N(int64(maxAbsence))))
	}
}

// badClient hands over sessions of another client.
func (e *endsTrial) badClient(victim *endsClient) {
	victim.mu.Lock()
	var text string
	for sid, s := range victim.sessions {
		if s.endedAt.IsZero() {
			text += platformsim.OpenLine(sid, "paid", time.Second, ";at:"+e.x.servers[0].Name())
		}
	}
	victim.mu.Unlock()
	v, stay := e.x.viewer(), time.Duration(e.random.Int64N(int64(time.Second)))
	v.Write(text)
	e.others.Go(func() {
		time.Sleep(stay)
		v.Close()
	})
}

// idleClient connects and says nothing.
func (e *endsTrial) idleClient() {
	v, stay := e.x.viewer(), time.Duration(e.random.Int64N(int64(time.Second)))
	e.others.Go(func() {
		time.Sleep(stay)
		v.Close()
	})
}

// check checks that every end was told in time.
func (e *endsTrial) check() {
	ended := 0
	for i, c := range e.clients {
		c.mu.Lock()
		for sid, s := range c.sessions {
			if s.endedAt.IsZero() {
				continue
			}
			ended++
			if s.toldAt.IsZero() {
				e.x.t.Errorf("client %d: the end of session %d was never told", i, sid)
			} else if late := s.toldAt.Sub(s.dueFrom) - endTimeout; late > 0 {
				e.x.t.Errorf("client %d: the end of session %d was told %v late", i, sid, late)
			}
		}
		c.mu.Unlock()
	}
	if ended == 0 {
		e.x.t.Error("no session ended")
	}
}

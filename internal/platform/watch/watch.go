// Package watch follows the server list at the operators' journal service, which sends numbered events that change the
// list. It is a pure state machine; the shell carries out its effects and passes on what is read.
//
// An incomplete line, a gap in the numbers, or silence (the service sends a number each second) ends the connection;
// the next one requests the events after the last complete one.
package watch

import (
	"fmt"

	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Timeouts and limits. The service sends its number each second. After a first failure the connect follows within
// minBackoff, after further ones with a growing delay.
const (
	silenceTimeout = 1700 * policy.Millisecond
	connectTimeout = 500 * policy.Millisecond
	minBackoff     = 40 * policy.Millisecond
	maxBackoff     = 800 * policy.Millisecond
	stableDuration = 5 * policy.Second // a connection that lasted this long resets the backoff
	maxGapRetries  = 3                 // requests for the same missing events before they are skipped
)

// Effect is an operation that the shell carries out: dial, write or close.
type Effect struct {
	Conn    uint64
	Dial    string
	Timeout Time
	Close   bool
	Bytes   []byte
}

// Follower holds the state of the one connection to the service.
type Follower struct {
	addr           string
	pos            uint64
	conn           uint64
	connected      bool
	dialing        bool
	nextDialAt     Time // no connect before this time
	backoff        Time
	lastReceivedAt Time
	connectedAt    Time
	gapPos         uint64
	gapRetries     int
	random         func() float64
	effects        []Effect
	events         []wire.Event
	Stats          Stats
}

// Stats counts events of the connection: Dials, Breaks (lost connections and failed connects), Silences past the
// timeout, Unreadable lines, events received Twice, and Gaps in the numbers.
type Stats struct{ Dials, Breaks, Silences, Unreadable, Twice, Gaps uint64 }

// New returns a Follower of the service at addr that has the events up to pos; random returns numbers from 0 to 1.
func New(addr string, pos uint64, random func() float64) *Follower {
	return &Follower{addr: addr, pos: pos, random: random}
}

// Take returns the effects and the events, in order, since the last call.
func (f *Follower) Take() ([]Effect, []wire.Event) {
	effects, events := f.effects, f.events
	f.effects, f.events = nil, nil
	return effects, events
}

// Pos returns the number of the last event.
func (f *Follower) Pos() uint64 { return f.pos }

// AddressChanged handles a new address of the service: the connection to the old one is closed.
func (f *Follower) AddressChanged(now Time, addr string) {
	if addr == f.addr || addr == "" {
		return
	}
	f.addr = addr
	f.closeConn()
	f.backoff, f.nextDialAt = 0, now
	f.Tick(now)
}

// closeConn closes the connection, if there is one, and ignores its further input.
func (f *Follower) closeConn() {
	if f.conn != 0 {
		f.effects = append(f.effects, Effect{Conn: f.conn, Close: true})
	}
	f.connected, f.dialing = false, false
	f.conn++ // later input of the old connection is ignored
}

// reconnect closes the connection and schedules a connect after a random delay, also for the first retry. Otherwise
// all fronts would reconnect at the same moment when the service ends all its connections. The cost: events arrive up
// to minBackoff later.
func (f *Follower) reconnect(now Time) {
	if f.connected && now-f.connectedAt >= stableDuration {
		f.backoff = 0
	}
	f.closeConn()
	f.backoff = max(f.backoff, minBackoff)
	f.nextDialAt = now + Time(float64(f.backoff)*(0.5+f.random()/2))
	f.backoff = min(2*f.backoff, maxBackoff)
}

// Connected handles the opening of the connection and requests the events after the last one.
func (f *Follower) Connected(now Time, conn uint64) {
	if conn != f.conn || !f.dialing {
		f.effects = append(f.effects, Effect{Conn: conn, Close: true})
		return
	}
	f.connected, f.dialing, f.lastReceivedAt, f.connectedAt = true, false, now, now
	f.effects = append(f.effects, Effect{Conn: conn, Bytes: fmt.Appendf(nil, "tail %d\n", f.pos)})
}

// Lost handles the end of a connection or a failed connect.
func (f *Follower) Lost(now Time, conn uint64) {
	if conn == f.conn && (f.connected || f.dialing) {
		f.Stats.Breaks++
		f.reconnect(now)
	}
}

// Received handles complete lines; readErr is the error after which the stream can't be read any further.
func (f *Follower) Received(now Time, conn uint64, lines [][]byte, readErr error) {
	for _, line := range lines {
		if conn != f.conn || !f.connected {
			return
		}
		f.lastReceivedAt = now
		f.handleLine(now, line)
	}
	if readErr != nil && conn == f.conn && f.connected {
		f.Stats.Unreadable++
		f.reconnect(now)
	}
}

// handleLine handles one line: an event, or only the number of the last one.
func (f *Follower) handleLine(now Time, line []byte) {
	if len(line) == 0 {
		return
	}
	e, err := wire.ParseEvent(line)
	switch {
	case err != nil:
		f.Stats.Unreadable++
		f.reconnect(now)
	case e.Hosts == nil:
		if e.Pos > f.pos { // an event is missing
			f.requestMissing(now, e.Pos)
		}
	case e.Pos <= f.pos:
		f.Stats.Twice++
	case e.Pos > f.pos+1 && !f.requestMissing(now, e.Pos):
	default:
		f.pos = e.Pos
		f.events = append(f.events, e)
	}
}

// requestMissing reconnects to request missing events again. It returns true after maxGapRetries for the same gap:
// then the service no longer has the events, and the gap is accepted.
func (f *Follower) requestMissing(now Time, pos uint64) bool {
	f.Stats.Gaps++
	if f.gapPos != f.pos {
		f.gapPos, f.gapRetries = f.pos, 0
	}
	if f.gapRetries++; f.gapRetries > maxGapRetries {
		return true
	}
	f.reconnect(now)
	return false
}

// Tick advances the clock; it is called several times a second.
func (f *Follower) Tick(now Time) {
	switch {
	case f.connected && now-f.lastReceivedAt >= silenceTimeout:
		f.Stats.Silences++
		f.reconnect(now)
	case !f.connected && !f.dialing && now >= f.nextDialAt && f.addr != "":
		f.conn++
		f.dialing = true
		f.Stats.Dials++
		f.effects = append(f.effects, Effect{Conn: f.conn, Dial: f.addr, Timeout: connectTimeout})
	}
}

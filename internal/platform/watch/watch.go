// Package watch holds the watch on the server list, at the operators' journal service: numbered events that change the list. It is a pure
// state machine; the shell dials, writes and reads as it is told.
//
// A line that breaks off, a number that skips one, or silence where each second brings a number, ends the connection;
// the next one asks for what follows the last whole event.
package watch

import (
	"fmt"

	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

// Spans: the service writes its number each second; a break is answered within pauseMin, further ones with a growing pause.
const (
	silenceTimeout = 1700 * policy.Millisecond
	connectTimeout = 500 * policy.Millisecond
	minBackoff     = 40 * policy.Millisecond
	maxBackoff     = 800 * policy.Millisecond
	stableDuration = 5 * policy.Second // a connection that held so long was a good one
	maxGapRetries  = 3                 // the same gap, asked for again in vain
)

// Act is what the shell is to do: dial, write or close.
type Effect struct {
	Conn   uint64
	Dial   string
	Within Time
	Close  bool
	Bytes  []byte
}

// Watch holds the one connection to the service.
type Watch struct {
	addr           string
	pos            uint64
	conn           uint64
	connected      bool
	dialing        bool
	nextDialAt     Time // a connect is tried then
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

// Stats counts what happened to the connection.
type Stats struct{ Dials, Breaks, Silences, Unreadable, Twice, Gaps uint64 }

// New makes a follower of the service at an address that has events up to pos; draw gives 0 to 1.
func New(addr string, pos uint64, random func() float64) *Watch {
	return &Watch{addr: addr, pos: pos, random: random}
}

// Take gives what has come up since the last call: acts, and events in their order.
func (f *Watch) Take() ([]Effect, []wire.Event) {
	effects, events := f.effects, f.events
	f.effects, f.events = nil, nil
	return effects, events
}

// Pos is the number of the last event.
func (f *Watch) Pos() uint64 { return f.pos }

// Moved tells that the service is at another address now: what is left at the old one is nothing new.
func (f *Watch) Moved(now Time, addr string) {
	if addr == f.addr || addr == "" {
		return
	}
	f.addr = addr
	f.closeConn()
	f.backoff, f.nextDialAt = 0, now
	f.Tick(now)
}

func (f *Watch) closeConn() {
	if f.conn != 0 {
		f.effects = append(f.effects, Effect{Conn: f.conn, Close: true})
	}
	f.connected, f.dialing = false, false
	f.conn++ // what the old one still brings is nobody's
}

// again has a connect tried after a pause, the first one too. Danger: when the service ends all its connections, all fronts would
// come back in one moment. Harm: the list is heard of up to pauseMin later.
func (f *Watch) reconnect(now Time) {
	if f.connected && now-f.connectedAt >= stableDuration {
		f.backoff = 0
	}
	f.closeConn()
	f.backoff = max(f.backoff, minBackoff)
	f.nextDialAt = now + Time(float64(f.backoff)*(0.5+f.random()/2))
	f.backoff = min(2*f.backoff, maxBackoff)
}

// Connected tells that the connection stands.
func (f *Watch) Connected(now Time, conn uint64) {
	if conn != f.conn || !f.dialing {
		f.effects = append(f.effects, Effect{Conn: conn, Close: true})
		return
	}
	f.connected, f.dialing, f.lastReceivedAt, f.connectedAt = true, false, now, now
	f.effects = append(f.effects, Effect{Conn: conn, Bytes: fmt.Appendf(nil, "tail %d\n", f.pos)})
}

// Lost tells that a connection ended or could not be had.
func (f *Watch) Lost(now Time, conn uint64) {
	if conn == f.conn && (f.connected || f.dialing) {
		f.Stats.Breaks++
		f.reconnect(now)
	}
}

// Received takes whole lines; broken tells why the stream can't be read any further.
func (f *Watch) Received(now Time, conn uint64, lines [][]byte, broken error) {
	for _, line := range lines {
		if conn != f.conn || !f.connected {
			return
		}
		f.lastReceivedAt = now
		f.handleLine(now, line)
	}
	if broken != nil && conn == f.conn && f.connected {
		f.Stats.Unreadable++
		f.reconnect(now)
	}
}

func (f *Watch) handleLine(now Time, line []byte) {
	if len(line) == 0 {
		return
	}
	e, err := wire.ParseEvent(line)
	switch {
	case err != nil:
		f.Stats.Unreadable++
		f.reconnect(now)
	case e.Hosts == nil:
		if e.Pos > f.pos { // an event was left out
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

// gap asks again for what was left out. It gives true if that was done in vain: then there is nothing to be had.
func (f *Watch) requestMissing(now Time, pos uint64) bool {
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

// Tick lets time pass; it is to be called several times a second.
func (f *Watch) Tick(now Time) {
	switch {
	case f.connected && now-f.lastReceivedAt >= silenceTimeout:
		f.Stats.Silences++
		f.reconnect(now)
	case !f.connected && !f.dialing && now >= f.nextDialAt && f.addr != "":
		f.conn++
		f.dialing = true
		f.Stats.Dials++
		f.effects = append(f.effects, Effect{Conn: f.conn, Dial: f.addr, Within: connectTimeout})
	}
}

// Package watch follows the server list at the operators' journal service, which sends numbered events that change the
// list. It is a pure state machine; the shell carries out its effects and passes on what is read.
//
// An incomplete line or a gap in the numbers ends a connection; the next one requests the events after the last complete
// one. After silence (the service sends a number each second) another connection is opened beside the silent one: a slow
// service may still answer on it.
package watch

import (
	"fmt"
	"slices"

	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Timeouts and limits. The service sends its number each second. After a first failure the connect follows within
// minBackoff, after further ones with a growing delay.
const (
	silenceTimeout = 1700 * policy.Millisecond // doubled for each older connection that is silent too
	connectTimeout = 500 * policy.Millisecond
	minBackoff     = 40 * policy.Millisecond
	maxBackoff     = 800 * policy.Millisecond
	stableDuration = 5 * policy.Second // a connection that lasted this long resets the backoff
	maxGapRetries  = 3                 // requests for the same missing events before they are skipped
	maxStreams     = 3                 // connections open at the same time
)

// Effect is an operation that the shell carries out: dial, write or close.
type Effect struct {
	Conn    uint64
	Dial    string
	Timeout Time
	Close   bool
	Bytes   []byte
}

// Follower holds the state of the connections to the service.
type Follower struct {
	addr       string
	pos        uint64
	streams    []*stream // oldest first
	lastConn   uint64
	nextDialAt Time // no connect before this time
	backoff    Time
	gapPos     uint64
	gapRetries int
	random     func() float64
	effects    []Effect
	events     []wire.Event
	Stats      Stats
}

// stream is a connection to the service.
type stream struct {
	conn           uint64
	connected      bool // false while it is being opened
	connectedAt    Time
	lastReceivedAt Time // of its last line, or its opening
	patience       Time // silence after which another one is opened
	silent         bool // it was silent for that long
	spoke          bool // a line was received
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

// AddressChanged handles a new address of the service: the connections to the old one are closed.
func (f *Follower) AddressChanged(now Time, addr string) {
	if addr == f.addr || addr == "" {
		return
	}
	f.addr = addr
	for len(f.streams) > 0 {
		f.closeStream(f.streams[0])
	}
	f.backoff, f.nextDialAt = 0, now
	f.Tick(now)
}

// find returns an open stream by its connection, or nil.
func (f *Follower) find(conn uint64) *stream {
	for _, s := range f.streams {
		if s.conn == conn {
			return s
		}
	}
	return nil
}

// newest returns the stream that was opened last, or nil.
func (f *Follower) newest() *stream {
	if len(f.streams) == 0 {
		return nil
	}
	return f.streams[len(f.streams)-1]
}

// closeStream closes a stream and ignores its further input.
func (f *Follower) closeStream(s *stream) {
	f.effects = append(f.effects, Effect{Conn: s.conn, Close: true})
	f.streams = slices.DeleteFunc(f.streams, func(other *stream) bool { return other == s })
}

// endStream closes a stream that has failed and schedules the next connect.
func (f *Follower) endStream(now Time, s *stream) {
	if s.connected && now-s.connectedAt >= stableDuration {
		f.backoff = 0
	}
	f.closeStream(s)
	f.scheduleDial(now)
}

// scheduleDial sets the time of the next connect after a random delay, also for the first retry. Otherwise all fronts would
// connect at the same moment when the service ends all its connections. The cost: events arrive up to minBackoff later.
func (f *Follower) scheduleDial(now Time) {
	f.backoff = max(f.backoff, minBackoff)
	f.nextDialAt = now + Time(float64(f.backoff)*(0.5+f.random()/2))
	f.backoff = min(2*f.backoff, maxBackoff)
}

// Connected handles the opening of a connection and requests the events after the last one.
func (f *Follower) Connected(now Time, conn uint64) {
	s := f.find(conn)
	if s == nil || s.connected {
		f.effects = append(f.effects, Effect{Conn: conn, Close: true})
		return
	}
	s.connected, s.lastReceivedAt, s.connectedAt = true, now, now
	f.effects = append(f.effects, Effect{Conn: conn, Bytes: fmt.Appendf(nil, "tail %d\n", f.pos)})
}

// Lost handles the end of a connection or a failed connect.
func (f *Follower) Lost(now Time, conn uint64) {
	if s := f.find(conn); s != nil {
		f.Stats.Breaks++
		f.endStream(now, s)
	}
}

// Received handles complete lines; readErr is the error after which the stream can't be read any further.
func (f *Follower) Received(now Time, conn uint64, lines [][]byte, readErr error) {
	for _, line := range lines {
		s := f.find(conn)
		if s == nil || !s.connected {
			return
		}
		s.lastReceivedAt, s.silent = now, false
		f.handleLine(now, s, line)
	}
	if s := f.find(conn); readErr != nil && s != nil && s.connected {
		f.Stats.Unreadable++
		f.endStream(now, s)
	}
}

// lineRead handles a valid line of a stream. Older ones are not needed any more: it was asked for all that they have not
// brought.
func (f *Follower) lineRead(s *stream) {
	s.spoke, s.patience = true, silenceTimeout
	for f.streams[0] != s {
		f.closeStream(f.streams[0])
	}
}

// handleLine handles one line: an event, or only the number of the last one.
func (f *Follower) handleLine(now Time, s *stream, line []byte) {
	if len(line) == 0 {
		return
	}
	e, err := wire.ParseEvent(line)
	if err != nil {
		f.Stats.Unreadable++
		f.endStream(now, s)
		return
	}
	f.lineRead(s)
	switch {
	case e.Hosts == nil:
		if e.Pos > f.pos { // an event is missing
			f.requestMissing(now, s, e.Pos)
		}
	case e.Pos <= f.pos:
		f.Stats.Twice++
	case e.Pos > f.pos+1 && !f.requestMissing(now, s, e.Pos):
	default:
		f.pos = e.Pos
		f.events = append(f.events, e)
	}
}

// requestMissing ends a stream to request missing events again on the next one. It returns true after maxGapRetries for the
// same gap: then the service no longer has the events, and the gap is accepted.
func (f *Follower) requestMissing(now Time, s *stream, pos uint64) bool {
	f.Stats.Gaps++
	if f.gapPos != f.pos {
		f.gapPos, f.gapRetries = f.pos, 0
	}
	if f.gapRetries++; f.gapRetries > maxGapRetries {
		return true
	}
	f.endStream(now, s)
	return false
}

// Tick advances the clock; it is called several times a second.
func (f *Follower) Tick(now Time) {
	f.checkSilence(now)
	newest := f.newest()
	if (newest == nil || newest.silent) && now >= f.nextDialAt && f.addr != "" {
		f.open(now)
	}
}

// checkSilence notices the silence of the newest stream. If an older one still brings lines, the newest is of no use: the
// service is slow. Otherwise another one is due.
func (f *Follower) checkSilence(now Time) {
	s := f.newest()
	if s == nil || !s.connected || s.silent || now-s.lastReceivedAt < s.patience {
		return
	}
	for _, older := range f.streams[:len(f.streams)-1] {
		if older.spoke && now-older.lastReceivedAt < silenceTimeout {
			f.closeStream(s)
			return
		}
	}
	f.Stats.Silences++
	s.silent = true
	f.scheduleDial(now)
}

// open opens another stream; the oldest one is closed at the limit.
func (f *Follower) open(now Time) {
	if len(f.streams) == maxStreams {
		f.closeStream(f.streams[0])
	}
	f.lastConn++
	f.streams = append(f.streams, &stream{conn: f.lastConn, lastReceivedAt: now, patience: silenceTimeout << len(f.streams)})
	f.Stats.Dials++
	f.effects = append(f.effects, Effect{Conn: f.lastConn, Dial: f.addr, Timeout: connectTimeout})
}

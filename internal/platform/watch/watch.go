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
	quietFor  = 1700 * policy.Millisecond
	connectIn = 500 * policy.Millisecond
	pauseMin  = 40 * policy.Millisecond
	pauseMax  = 800 * policy.Millisecond
	steady    = 5 * policy.Second // a connection that held so long was a good one
	gapsMost  = 3                 // the same gap, asked for again in vain
)

// Act is what the shell is to do: dial, write or close.
type Act struct {
	Conn   uint64
	Dial   string
	Within Time
	Close  bool
	Bytes  []byte
}

// Watch holds the one connection to the service.
type Watch struct {
	addr    string
	pos     uint64
	conn    uint64
	up      bool
	dialing bool
	nextAt  Time // a connect is tried then
	pause   Time
	heardAt Time
	stoodAt Time
	gapAt   uint64
	gaps    int
	draw    func() float64
	acts    []Act
	out     []wire.Event
	Stats   Stats
}

// Stats counts what happened to the connection.
type Stats struct{ Dials, Breaks, Silences, Unreadable, Twice, Gaps uint64 }

// New makes a follower of the service at an address that has events up to pos; draw gives 0 to 1.
func New(addr string, pos uint64, draw func() float64) *Watch {
	return &Watch{addr: addr, pos: pos, draw: draw}
}

// Take gives what has come up since the last call: acts, and events in their order.
func (f *Watch) Take() ([]Act, []wire.Event) {
	acts, out := f.acts, f.out
	f.acts, f.out = nil, nil
	return acts, out
}

// Pos is the number of the last event.
func (f *Watch) Pos() uint64 { return f.pos }

// Moved tells that the service is at another address now: what is left at the old one is nothing new.
func (f *Watch) Moved(now Time, addr string) {
	if addr == f.addr || addr == "" {
		return
	}
	f.addr = addr
	f.shut()
	f.pause, f.nextAt = 0, now
	f.Tick(now)
}

func (f *Watch) shut() {
	if f.conn != 0 {
		f.acts = append(f.acts, Act{Conn: f.conn, Close: true})
	}
	f.up, f.dialing = false, false
	f.conn++ // what the old one still brings is nobody's
}

// again has a connect tried after a pause, the first one too. Danger: when the service ends all its connections, all fronts would
// come back in one moment. Harm: the list is heard of up to pauseMin later.
func (f *Watch) again(now Time) {
	if f.up && now-f.stoodAt >= steady {
		f.pause = 0
	}
	f.shut()
	f.pause = max(f.pause, pauseMin)
	f.nextAt = now + Time(float64(f.pause)*(0.5+f.draw()/2))
	f.pause = min(2*f.pause, pauseMax)
}

// Connected tells that the connection stands.
func (f *Watch) Connected(now Time, conn uint64) {
	if conn != f.conn || !f.dialing {
		f.acts = append(f.acts, Act{Conn: conn, Close: true})
		return
	}
	f.up, f.dialing, f.heardAt, f.stoodAt = true, false, now, now
	f.acts = append(f.acts, Act{Conn: conn, Bytes: fmt.Appendf(nil, "tail %d\n", f.pos)})
}

// Lost tells that a connection ended or could not be had.
func (f *Watch) Lost(now Time, conn uint64) {
	if conn == f.conn && (f.up || f.dialing) {
		f.Stats.Breaks++
		f.again(now)
	}
}

// Received takes whole lines; broken tells why the stream can't be read any further.
func (f *Watch) Received(now Time, conn uint64, lines [][]byte, broken error) {
	for _, line := range lines {
		if conn != f.conn || !f.up {
			return
		}
		f.heardAt = now
		f.line(now, line)
	}
	if broken != nil && conn == f.conn && f.up {
		f.Stats.Unreadable++
		f.again(now)
	}
}

func (f *Watch) line(now Time, line []byte) {
	if len(line) == 0 {
		return
	}
	e, err := wire.ParseEvent(line)
	switch {
	case err != nil:
		f.Stats.Unreadable++
		f.again(now)
	case e.Hosts == nil:
		if e.Pos > f.pos { // an event was left out
			f.gap(now, e.Pos)
		}
	case e.Pos <= f.pos:
		f.Stats.Twice++
	case e.Pos > f.pos+1 && !f.gap(now, e.Pos):
	default:
		f.pos = e.Pos
		f.out = append(f.out, e)
	}
}

// gap asks again for what was left out. It gives true if that was done in vain: then there is nothing to be had.
func (f *Watch) gap(now Time, at uint64) bool {
	f.Stats.Gaps++
	if f.gapAt != f.pos {
		f.gapAt, f.gaps = f.pos, 0
	}
	if f.gaps++; f.gaps > gapsMost {
		return true
	}
	f.again(now)
	return false
}

// Tick lets time pass; it is to be called several times a second.
func (f *Watch) Tick(now Time) {
	switch {
	case f.up && now-f.heardAt >= quietFor:
		f.Stats.Silences++
		f.again(now)
	case !f.up && !f.dialing && now >= f.nextAt && f.addr != "":
		f.conn++
		f.dialing = true
		f.Stats.Dials++
		f.acts = append(f.acts, Act{Conn: f.conn, Dial: f.addr, Within: connectIn})
	}
}

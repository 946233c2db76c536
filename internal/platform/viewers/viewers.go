// Package viewers is the dialogue of one front with the operators' viewers: JSON lines over connections that each carry
// many sessions. It is a pure state machine: lines that were read go in, and effects of the core; lines to write and
// events for the core come out.
//
// Every line is checked here before anything of it reaches the core: whatever can't be used is answered with an error
// or a close, at once, and costs no server anything.
package viewers

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

// Config is what a desk is started with. Sizes bound what clients may cost.
type Config struct {
	Settings policy.Settings
	Classes  []string                    // names, by the module's numbers
	Host     func(string) (uint32, bool) // a server's number
	OpenMost int                         // requests without their answer on one connection
	Silent   Time                        // a connection that never said anything is closed after
	Half     Time                        // a line that stays half so long is an error
	Idle     Time                        // a connection without sessions is closed after so long without a word
}

// releaseBy is how long a session that is over waits for a connection on which that can be told.
const releaseBy = 8 * policy.Second

// recentFor is how long the ids of sessions that are over are known, so that words that cross are not taken for bad ones.
const (
	recentFor  = 5 * policy.Second
	recentMost = 8192
)

// Act is what the shell is to do with a connection: write, then close if Close is set.
type Act struct {
	Conn  uint64
	Bytes []byte
	Close bool
}

// Desk holds the dialogues with all viewers.
type Desk struct {
	cfg      Config
	now      Time
	classes  map[string]int
	conns    map[uint64]*client
	sessions map[uint64]*session
	owed     map[uint64]owed // releases that no connection could carry
	recent   map[uint64]Time
	order    []uint64 // of recent
	most     int      // connections held
	acts     []Act
	news     []front.Event
	Stats    Stats
}

// Limit sets how many connections are held; those past it are closed as others come.
func (d *Desk) Limit(conns int) { d.most = conns }

// Limits gives what Limit has set.
func (d *Desk) Limits() int { return d.most }

// Halves tells whether a line has begun on any connection and not ended.
func (d *Desk) Halves() bool {
	for _, c := range d.conns {
		if c.partialAt != 0 && !c.closed {
			return true
		}
	}
	return false
}

// Stats counts what viewers did.
type Stats struct {
	Accepted, Evicted, Silent, Idle, BadLines, BadAsks, Crowded, TakenBack uint64
	LastBad                                                                string // why the last one was bad
}

type client struct {
	id        uint64
	at        Time // when it connected
	heardAt   Time
	said      bool // a line that could be used
	open      map[uint64]bool
	standing  int
	partialAt Time
	closed    bool
}

type session struct {
	conn     uint64
	standing bool
}

type owed struct {
	bytes []byte
	until Time
}

// New makes a desk without connections.
func New(cfg Config) *Desk {
	d := &Desk{cfg: cfg, classes: map[string]int{}, conns: map[uint64]*client{}, sessions: map[uint64]*session{},
		owed: map[uint64]owed{}, recent: map[uint64]Time{}, most: math.MaxInt}
	for i, name := range cfg.Classes {
		d.classes[name] = i
	}
	return d
}

// Take gives what has come up since the last call.
func (d *Desk) Take() ([]Act, []front.Event) {
	acts, news := d.acts, d.news
	d.acts, d.news = nil, nil
	return acts, news
}

// Accepted tells of a new connection. If there are too many, one that is least missed makes room.
func (d *Desk) Accepted(now Time, conn uint64) {
	d.now = now
	d.Stats.Accepted++
	d.conns[conn] = &client{id: conn, at: now, heardAt: now, open: map[uint64]bool{}}
	if len(d.conns) > d.most {
		d.evict(conn)
	}
}

// evict closes the connection that is least missed: one that never said anything, then one without sessions, then one
// without an open request, each the longest quiet; in the end the newcomer. Danger: hundreds that connect and say
// nothing would take all descriptors. Harm: a viewer that is slow to speak is closed on.
func (d *Desk) evict(newcomer uint64) {
	var worst *client
	rank := func(c *client) int {
		switch {
		case len(c.open) > 0:
			return 0
		case c.id == newcomer:
			return 1
		case c.standing > 0:
			return 2
		case c.said:
			return 3
		}
		return 4
	}
	for _, c := range d.conns {
		if c.closed {
			continue
		}
		if worst == nil || rank(c) > rank(worst) || rank(c) == rank(worst) && (c.heardAt < worst.heardAt || c.heardAt == worst.heardAt && c.id < worst.id) {
			worst = c
		}
	}
	if worst == nil || rank(worst) == 0 {
		worst = d.conns[newcomer]
	}
	d.Stats.Evicted++
	d.shut(worst, nil)
}

// shut closes a connection after some last bytes. What it had open is given up once the shell tells that it ended.
func (d *Desk) shut(c *client, last []byte) {
	if !c.closed {
		c.closed = true
		d.acts = append(d.acts, Act{Conn: c.id, Bytes: last, Close: true})
	}
}

// Lost tells that a connection ended: its open requests are given up; sessions that stand don't belong to it.
func (d *Desk) Lost(now Time, conn uint64) {
	d.now = now
	c := d.conns[conn]
	if c == nil {
		return
	}
	delete(d.conns, conn)
	for _, sid := range slices.Sorted(maps.Keys(c.open)) {
		d.over(sid)
		d.news = append(d.news, front.Leave{Session: sid})
	}
}

// In is one line that was read, or why it could not be.
type In struct {
	Line wire.Line
	Err  error
}

// Received takes the lines that came together. broken tells why the stream can't be read any further, and partial
// whether a line has begun behind them. busy tells of a session's id whether the core still has a use for it.
func (d *Desk) Received(now, read Time, conn uint64, list []In, broken error, partial bool, busy func(uint64) bool) {
	d.now = now
	c := d.conns[conn]
	if c == nil || c.closed {
		return
	}
	c.heardAt = now
	if !partial {
		c.partialAt = 0
	} else if c.partialAt == 0 || len(list) > 0 {
		c.partialAt = now
	}
	back := takenBack(list)
	for _, in := range list {
		if c.closed {
			return
		}
		if in.Err != nil {
			d.bad(c, in.Line.Sid, in.Err)
			continue
		}
		d.line(c, read, in.Line, back, busy)
	}
	if broken != nil && !c.closed {
		d.bad(c, 0, broken)
	}
}

// takenBack finds the requests that were taken back in the same breath. Danger: hundreds of them would each be set up
// at a server and cut again.
func takenBack(list []In) map[uint64]bool {
	var asked, back map[uint64]bool
	for _, in := range list {
		switch {
		case in.Err != nil || in.Line.Sid == 0:
		case in.Line.Msg == wire.LineOpen:
			if asked == nil {
				asked = map[uint64]bool{}
			}
			asked[in.Line.Sid] = true
		case in.Line.Msg == wire.LineClose && asked[in.Line.Sid]:
			if back == nil {
				back = map[uint64]bool{}
			}
			back[in.Line.Sid] = true
		}
	}
	return back
}

// bad answers what can't be used. Without an id nobody could tell which request the answer is to: the connection goes.
func (d *Desk) bad(c *client, sid uint64, err error) {
	d.Stats.BadLines++
	d.Stats.LastBad = short(err)
	line := d.format(&wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseBadForm, Attrs: map[string]string{"error": short(err)}})
	if sid == 0 {
		d.shut(c, line)
		return
	}
	d.write(c, line)
}

func short(err error) string {
	text := err.Error()
	return text[:min(len(text), 100)]
}

func (d *Desk) format(l *wire.Line) []byte {
	b, err := l.Append(nil)
	if err != nil { // none of the front's own lines has no form, but for a description
		return nil
	}
	return b
}

func (d *Desk) write(c *client, b []byte) {
	if len(b) > 0 && !c.closed {
		d.acts = append(d.acts, Act{Conn: c.id, Bytes: b})
	}
}

func (d *Desk) line(c *client, read Time, l wire.Line, back map[uint64]bool, busy func(uint64) bool) {
	switch l.Msg {
	case wire.LineOpen:
		if back[l.Sid] {
			d.Stats.TakenBack++
			d.remember(l.Sid)
			return
		}
		d.open(c, read, l, busy)
	case wire.LineClose:
		s := d.sessions[l.Sid]
		_, recently := d.recent[l.Sid]
		// A session that stands is ended on any connection; a request is given up where it came. Danger: somebody else's
		// word would take a request from a viewer that still waits for its answer.
		if s == nil && !recently || s != nil && !s.standing && s.conn != c.id {
			d.bad(c, l.Sid, errors.New("no such session"))
			return
		}
		c.said = true
		if s != nil {
			d.over(l.Sid)
			d.news = append(d.news, front.Leave{Session: l.Sid})
		}
		d.write(c, d.format(&wire.Line{Msg: wire.LineClosed, Sid: l.Sid}))
	case wire.LineProbe:
		c.said = true
		d.write(c, d.format(&wire.Line{Msg: wire.LineProbed, Sid: l.Sid, Code: 1}))
	case wire.LineClosed:
		c.said = true
	default:
		d.bad(c, l.Sid, fmt.Errorf("no message of viewers: %.16q", l.Msg))
	}
}

// open takes a set-up.
func (d *Desk) open(c *client, read Time, l wire.Line, busy func(uint64) bool) {
	s := d.sessions[l.Sid]
	if _, used := d.recent[l.Sid]; s != nil || used || busy(l.Sid) {
		// Two requests under one id: neither can be told from the other on this connection. Elsewhere the first stays.
		// An id that was in use a moment ago may still be at a server.
		d.Stats.BadAsks++
		if s != nil && s.conn == c.id && c.open[l.Sid] {
			d.over(l.Sid)
			d.news = append(d.news, front.Leave{Session: l.Sid})
		}
		d.bad(c, l.Sid, errors.New("this id is in use"))
		return
	}
	ask, at, err := d.read(l)
	if err != nil {
		d.Stats.BadAsks++
		d.bad(c, l.Sid, err)
		return
	}
	c.said = true
	if at != "" {
		server, ok := d.cfg.Host(at)
		if !ok {
			d.bad(c, l.Sid, fmt.Errorf("no server %.32q", at))
			return
		}
		d.sessions[l.Sid] = &session{conn: c.id, standing: true}
		c.standing++
		d.news = append(d.news, front.Adopt{Ask: ask, ID: l.Sid, Server: server, Held: true})
		return
	}
	if len(c.open) >= d.cfg.OpenMost {
		// Danger: one connection takes all that the front can hold. It was never begun: trying again is harmless.
		d.Stats.Crowded++
		d.refuse(c, l.Sid, d.cfg.Settings.MaxRetry)
		d.remember(l.Sid)
		return
	}
	d.sessions[l.Sid] = &session{conn: c.id}
	c.open[l.Sid] = true
	ask.Player, ask.Read, ask.ID = c.id, read, l.Sid
	d.news = append(d.news, ask)
}

// limits on the figures of a set-up; past them they are no figures of this platform.
const (
	mostLeft   = 3_600_000 // ms
	mostHint   = 1e10      // ms
	mostFigure = 10_000
)

// read checks a set-up whole.
func (d *Desk) read(l wire.Line) (a front.Ask, at string, err error) {
	class, ok := d.classes[l.Attrs["class"]]
	if !ok {
		return a, "", fmt.Errorf("no class %.32q", l.Attrs["class"])
	}
	a.Class = class
	title, err := strconv.ParseUint(l.Attrs["key"], 16, 64)
	if err != nil || len(l.Attrs["key"]) != 16 {
		return a, "", fmt.Errorf("no title %.32q", l.Attrs["key"])
	}
	a.Title, a.Name = title, l.Attrs["key"]
	waits, waitOK := wire.Figure(l.Attrs["left"])
	if hint, given := l.Attrs["hint"]; given {
		f, ok := wire.Figure(hint)
		if !ok || f < 0 || f > mostHint {
			return a, "", fmt.Errorf("hint %.32q", hint)
		}
		a.Length, a.Hinted = Time(f*float64(policy.Millisecond)), true
	}
	if retry, given := l.Attrs["retry"]; given {
		f, ok := wire.Figure(retry)
		if !ok || f < 0 || f > mostFigure {
			return a, "", fmt.Errorf("retry %.32q", retry)
		}
		a.Again = f > 0
	}
	a.Home, a.Top = -1, -1
	for _, item := range strings.Split(l.Attrs["extras"], ";") {
		k, v, _ := strings.Cut(item, ":")
		n, bad := strconv.ParseUint(v, 10, 64)
		count := int(min(n, mostFigure))
		var wrong bool
		switch k {
		case "home":
			a.Home, wrong = count, bad != nil || count >= max(d.cfg.Settings.Cells, 1)
		case "copies":
			a.Copies, wrong = count, bad != nil || count < 1 || count >= mostFigure
		case "top":
			a.Top, wrong = count, bad != nil || count >= mostFigure
		case "again":
			a.Again, wrong = a.Again || n > 0, bad != nil
		case "viewer":
			a.Viewer, bad = strconv.ParseUint(v, 16, 64)
			wrong = bad != nil || len(v) != 16
		case "at":
			at, wrong = v, v == "" || len(v) > 256
		}
		if wrong {
			return a, "", fmt.Errorf("extras %.32q", item)
		}
	}
	if at == "" && (!waitOK || waits <= 0 || waits > mostLeft) { // what plays already waits for nothing
		return a, "", fmt.Errorf("left %.32q", l.Attrs["left"])
	}
	a.Wait = Time(max(waits, 0) * float64(policy.Millisecond))
	if a.Home < 0 || a.Copies < 1 || a.Top < 0 || l.Text == "" {
		return a, "", errors.New("a set-up without all of its figures, or without a description")
	}
	a.Text = l.Text
	return a, at, nil
}

// over forgets a session; its id is known a little longer.
func (d *Desk) over(sid uint64) {
	s := d.sessions[sid]
	if s == nil {
		return
	}
	delete(d.sessions, sid)
	if c := d.conns[s.conn]; c != nil {
		delete(c.open, sid)
		if s.standing {
			c.standing--
		}
	}
	d.remember(sid)
}

func (d *Desk) remember(sid uint64) {
	if _, known := d.recent[sid]; !known {
		d.order = append(d.order, sid)
	}
	d.recent[sid] = d.now + recentFor
	for len(d.order) > recentMost || len(d.order) > 0 && d.recent[d.order[0]] <= d.now {
		delete(d.recent, d.order[0])
		d.order = d.order[1:]
	}
}

// ---- What the core says ----

// Do carries out an effect of the core. Others than those about viewers are ignored. It gives false if the answer
// could not be passed on, for a description that no line can carry: the session is to be ended.
func (d *Desk) Do(now Time, effect front.Effect) bool {
	d.now = now
	switch e := effect.(type) {
	case front.Plays:
		s := d.sessions[e.Session]
		if s == nil {
			return false
		}
		c := d.conns[s.conn]
		b := d.format(&wire.Line{Msg: wire.LineReady, Sid: e.Session, Text: e.Text})
		if c == nil || b == nil {
			if c != nil {
				d.write(c, d.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
			}
			d.over(e.Session)
			return false
		}
		delete(c.open, e.Session)
		s.standing = true
		c.standing++
		d.write(c, b)
	case front.Refused:
		if c := d.closing(e.Session); c != nil {
			d.refuse(c, e.Session, e.After)
		}
	case front.Failed:
		if c := d.closing(e.Session); c != nil {
			d.write(c, d.format(&wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseError}))
		}
	case front.Moved:
		d.tell(e.Session, wire.Line{Msg: wire.LineRelocate, Sid: e.Session})
	case front.Over:
		switch e.Why {
		case front.WhyLeft: // at its server, by its viewer, who is owed no word
			d.over(e.Session)
		case front.WhyEnd:
			d.tell(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseGivenUp})
		default:
			d.tell(e.Session, wire.Line{Msg: wire.LineClose, Sid: e.Session, Code: wire.CauseReset})
		}
	}
	return true
}

// closing forgets a request that is answered with no, and gives its connection.
func (d *Desk) closing(sid uint64) *client {
	s := d.sessions[sid]
	if s == nil {
		return nil
	}
	d.over(sid)
	return d.conns[s.conn]
}

func (d *Desk) refuse(c *client, sid uint64, after Time) {
	l := wire.Line{Msg: wire.LineClose, Sid: sid, Code: wire.CauseRefused}
	if after > 0 && d.cfg.Settings.RetryAfter {
		l.Attrs = map[string]string{"wait": strconv.FormatInt((after+policy.Millisecond-1)/policy.Millisecond, 10)}
	}
	d.write(c, d.format(&l))
}

// tell ends a session that stood towards its viewer: on the connection of its set-up, or else on another on which
// sessions stand, or else on the next that shows itself a viewer's.
func (d *Desk) tell(sid uint64, l wire.Line) {
	s := d.sessions[sid]
	if s == nil {
		return
	}
	d.over(sid)
	b := d.format(&l)
	c := d.conns[s.conn]
	if c == nil || c.closed {
		c = nil
		for _, o := range d.conns {
			if !o.closed && o.standing > 0 && (c == nil || o.heardAt > c.heardAt || o.heardAt == c.heardAt && o.id < c.id) {
				c = o
			}
		}
	}
	if c == nil {
		if len(d.owed) < recentMost {
			d.owed[sid] = owed{b, d.now + releaseBy}
		}
		return
	}
	d.write(c, b)
}

// Tick lets time pass; it is to be called several times a second.
func (d *Desk) Tick(now Time) {
	d.now = now
	var carrier *client
	for _, id := range slices.Sorted(maps.Keys(d.conns)) {
		c := d.conns[id]
		switch {
		case c.closed:
		case !c.said && now-c.at >= d.cfg.Silent:
			d.Stats.Silent++
			d.shut(c, nil)
		case c.partialAt != 0 && now-c.partialAt >= d.cfg.Half:
			d.bad(c, 0, errors.New("a line that does not end"))
		case c.said && len(c.open) == 0 && c.standing == 0 && now-c.heardAt >= d.cfg.Idle:
			d.Stats.Idle++
			d.shut(c, nil)
		case c.standing > 0 && carrier == nil:
			carrier = c
		}
	}
	for _, sid := range slices.Sorted(maps.Keys(d.owed)) {
		if carrier != nil {
			d.write(carrier, d.owed[sid].bytes)
		}
		if carrier != nil || now >= d.owed[sid].until {
			delete(d.owed, sid)
		}
	}
	for len(d.order) > 0 && d.recent[d.order[0]] <= now {
		delete(d.recent, d.order[0])
		d.order = d.order[1:]
	}
}

// Counts tells how many connections, sessions, ids of ended sessions and releases owed the desk holds.
func (d *Desk) Counts() (conns, sessions, recent, owed int) {
	return len(d.conns), len(d.sessions), len(d.recent), len(d.owed)
}

// Package servers is the dialogue of one front with the operators' servers: binary messages over persistent, pipelined
// connections. It is a pure state machine, as internal/exchange is for RTSP: the core's effects and what the
// connections bring go in; bytes to write and events for the core come out. It reads no clock and owns no socket.
//
// A server has one connection that carries what is new. A connection that is of no more use (an answer on it never
// came, or is stuck half way) takes nothing new and is closed once nothing is open on it. Sessions that stand belong to
// no connection: when theirs is lost another is opened, to hear what became of them.
package servers

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

// Config is what a desk is started with.
type Config struct {
	Classes   []string // names, by the module's numbers
	Fields    []string // names of a report's values, in the module's order
	Connect   Time     // a connection must stand within
	ProbeWait Time     // a test unanswered for so long has failed
}

// Spans of the dialogue. What a server is trusted with is the module's matter; these only tell when a socket is of no
// more use, and when what it carried is over.
const (
	stuckFor   = 400 * policy.Millisecond // a message that stays half this long will never be whole
	quietFor   = 3 * policy.Second        // sessions stand and nothing is heard: does the machine answer a connect?
	checkFor   = 1 * policy.Second        // a process that refuses connects, or lost its address, and says nothing for so long is gone
	redialGap  = 250 * policy.Millisecond // between connects that fail, doubled with each
	redialMost = 4 * policy.Second
	refusals   = 2                  // connects refused in a row prove that the process is gone
	silences   = 4                  // connects unanswered in a row tell of a machine that is gone
	leaveBy    = 1 * policy.Second  // a session told to move is released at its server by then
	rememberIt = 10 * policy.Second // set-ups given up on: a late answer is released
	doomedFor  = 60 * policy.Second
	doomedMost = 4096
)

// Act is what the shell is to do with a connection: dial, write or close it.
type Act struct {
	Server uint32
	Conn   uint64
	Dial   string // address to connect to
	Within Time   // for a dial
	Close  bool
	Bytes  []byte
}

// Server is an entry of the list with its address.
type Server struct {
	ID      uint32
	Addr    string
	Started Time
	Drains  bool // takes nothing new
	Gone    bool
}

// Desk holds the dialogues with all servers.
type Desk struct {
	cfg      Config
	now      Time
	lines    map[uint32]*line
	order    []uint32            // ids of lines, sorted; nil: to be made anew
	attempts map[uint64]*attempt // by session: waiting, out or playing
	most     int                 // connections that stand or are being opened
	open     int
	acts     []Act
	news     []front.Event
	Stats    Stats
}

// Stats counts what happened to connections; connections and tests are named by their counts.
type Stats struct {
	Dialed, Crowded, Refused, Unanswered, Broke, Lost, Spoilt, Stuck, Late, Again uint64
	Tests, Reports, Shorts                                                        uint64 // tests sent, reports read, notes of short delivery
}

// line is the dialogue with one server.
type line struct {
	server  uint32
	addr    string
	started Time
	drains  bool
	gone    bool
	cur     *link // carries what is new; nil: none stands
	links   map[uint64]*link
	dialing uint64 // connection being opened; 0: none
	dialAt  Time   // not again before
	refused int    // connects refused in a row
	silent  int    // connects unanswered in a row

	waiting []*attempt // not sent: no connection stands
	probing bool       // a test waits with them
	probeAt Time
	live    map[uint64]*attempt // playing
	leaving map[uint64]Time     // moved away: released at the server by then
	given   map[uint64]Time     // given up on: remembered until then
	doomed  map[uint64]Time     // to be released when a connection stands
}

// link is one connection that stands.
type link struct {
	conn      uint64
	dec       wire.Decoder
	sent      uint64 // bytes handed to it
	out       map[uint64]*attempt
	tests     map[uint64]Time
	stoodAt   Time
	readAt    Time
	partialAt Time // a message has been half there since; 0: none is
	checkAt   Time // it was asked for a word because connects are refused; 0: it was not
	stale     bool // nothing new goes here
}

// attempt is one set-up and the session that it starts.
type attempt struct {
	setup   front.Setup
	at      Time
	link    *link  // that it was written to
	end     uint64 // of its bytes on that connection
	again   bool   // it was written to a connection that ended before it left
	playing bool
	over    bool
	rungDue bool // a rung could not be told yet
}

// New makes a desk that knows no servers.
func New(cfg Config) *Desk {
	return &Desk{cfg: cfg, lines: map[uint32]*line{}, attempts: map[uint64]*attempt{}, most: math.MaxInt}
}

// Take gives what has come up since the last call: what the shell is to do, in order and before the events are
// handed on, for a set-up given up on must have been told so before the next one leaves.
func (d *Desk) Take() ([]Act, []front.Event) {
	acts, news := d.acts, d.news
	d.acts, d.news = nil, nil
	return acts, news
}

// Limit sets how many connections may stand or be opened at a time.
func (d *Desk) Limit(links int) { d.most = links }

// Limits gives what Limit has set.
func (d *Desk) Limits() int { return d.most }

// Listed books entries of the list: what is new or has changed.
func (d *Desk) Listed(now Time, list []Server) {
	d.now = now
	for _, s := range list {
		l := d.lines[s.ID]
		if l == nil {
			if s.Gone {
				continue
			}
			l = &line{server: s.ID, addr: s.Addr, started: s.Started, links: map[uint64]*link{}, live: map[uint64]*attempt{},
				leaving: map[uint64]Time{}, given: map[uint64]Time{}, doomed: map[uint64]Time{}}
			d.lines[s.ID] = l
			d.order = nil
		}
		l.drains, l.gone = s.Drains, s.Gone
		if s.Started > l.started { // another process: what the old one played is over
			l.started = s.Started
			for _, id := range sorted(l.live) {
				if a := l.live[id]; a.at < s.Started {
					d.end(a, policy.ResetConn, nil)
				}
			}
			for _, id := range sorted(l.links) {
				if k := l.links[id]; k.stoodAt < s.Started {
					d.drop(l, k, k.sent)
				}
			}
			l.refused, l.silent = 0, 0
		}
		if s.Addr != "" && s.Addr != l.addr {
			l.addr = s.Addr
			for _, id := range sorted(l.links) {
				l.links[id].stale = true
			}
			l.cur = nil
		}
	}
}

// quiet tells that nothing was read from a server for a while.
func (d *Desk) quiet(l *line) bool {
	for _, k := range l.links {
		if d.now-k.readAt < checkFor {
			return false
		}
	}
	return true
}

// taken tells whether a server that left the list has lost its address to another.
func (d *Desk) taken(l *line) bool {
	if !l.gone {
		return false
	}
	for _, o := range d.lines {
		if o != l && !o.gone && o.addr == l.addr {
			return true
		}
	}
	return false
}

// Do carries out an effect of the core. Others than those about servers are ignored.
func (d *Desk) Do(now Time, effect front.Effect) {
	d.now = now
	switch e := effect.(type) {
	case front.Setup:
		d.setup(e)
	case front.Abandon:
		d.abandon(e)
	case front.Withdraw:
		if l := d.lines[e.Server]; l != nil {
			d.fail(l, fate.Withdrawn)
		}
	case front.Stop:
		d.stop(e)
	case front.SetRung:
		d.rung(e)
	case front.Probe:
		d.probe(e.Server)
	}
}

func (d *Desk) setup(e front.Setup) {
	a := &attempt{setup: e, at: d.now}
	l := d.lines[e.Server]
	if l == nil {
		d.end(a, policy.NoConnect, nil)
		return
	}
	d.attempts[e.Session] = a
	if l.cur != nil {
		d.write(l, a)
		return
	}
	l.waiting = append(l.waiting, a)
	d.dial(l, true)
}

func (d *Desk) write(l *line, a *attempt) {
	e := &a.setup
	m := &wire.Message{Type: wire.SetUp, Session: e.Session}
	if e.Class >= 0 && e.Class < len(d.cfg.Classes) {
		m.Add(wire.ParamClass, d.cfg.Classes[e.Class])
	}
	within := max((e.Within-(d.now-a.at))/policy.Millisecond, 1)
	m.Add(wire.ParamWithin, strconv.FormatInt(within, 10)).Add(wire.ParamTitle, e.Name).
		Add(wire.ParamRung, strconv.Itoa(e.Rung)).Add(wire.ParamText, e.Text)
	k := l.cur
	if !d.push(l, k, m) {
		d.end(a, policy.Moot, nil)
		return
	}
	a.link, a.end = k, k.sent
	k.out[e.Session] = a
}

// push writes a message. It gives false for one that has no form; none of the front's own has.
func (d *Desk) push(l *line, k *link, m *wire.Message) bool {
	b, err := m.Append(nil)
	if err != nil {
		return false
	}
	k.sent += uint64(len(b))
	d.acts = append(d.acts, Act{Server: l.server, Conn: k.conn, Bytes: b})
	return true
}

// end gives an attempt's Ended, once, and forgets it.
func (d *Desk) end(a *attempt, status policy.Status, report []float64) {
	if a.over {
		return
	}
	d.forget(a)
	d.news = append(d.news, front.Ended{Session: a.setup.Session, Attempt: a.setup.Attempt, Status: status,
		Took: d.now - a.at, Report: report})
}

func (d *Desk) forget(a *attempt) {
	a.over = true
	id := a.setup.Session
	if d.attempts[id] == a {
		delete(d.attempts, id)
	}
	if a.link != nil && a.link.out[id] == a {
		delete(a.link.out, id)
	}
	if l := d.lines[a.setup.Server]; l != nil {
		if l.live[id] == a {
			delete(l.live, id)
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(o *attempt) bool { return o == a })
	}
}

func (d *Desk) abandon(e front.Abandon) {
	a := d.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	l := d.lines[a.setup.Server]
	if a.link == nil {
		d.end(a, fate.Of(fate.Unsent, e.Cause, 0), nil)
		return
	}
	k := a.link
	if a.playing {
		d.release(l, e.Session)
	} else {
		d.push(l, k, (&wire.Message{Type: wire.Release, Session: e.Session}).AddCause(wire.CauseGivenUp))
		l.given[e.Session] = d.now + rememberIt
		// Danger: an answer that never comes may have taken its connection with it, and every set-up written there would
		// wait out its time too. Harm: a server that is only slow gets one connection more.
		if e.Cause == fate.Expired && k.readAt <= a.at {
			d.retire(l, k)
		}
	}
	d.end(a, fate.Of(fate.Written, e.Cause, 0), nil)
}

// retire has a connection take nothing new.
func (d *Desk) retire(l *line, k *link) {
	k.stale = true
	if l.cur == k {
		l.cur = nil
	}
	d.wanted(l)
}

// wanted opens a connection if there is anything to be heard or said.
func (d *Desk) wanted(l *line) {
	if l.cur == nil && (len(l.waiting) > 0 || len(l.live) > 0 || len(l.doomed) > 0 || l.probing) {
		d.dial(l, len(l.waiting) > 0 || l.probing)
	}
}

// release ends a session at its server, now or when a connection stands again.
func (d *Desk) release(l *line, session uint64) {
	if l == nil {
		return
	}
	if l.cur != nil {
		d.push(l, l.cur, (&wire.Message{Type: wire.Release, Session: session}).AddCause(wire.CauseGivenUp))
		return
	}
	if len(l.doomed) < doomedMost {
		l.doomed[session] = d.now + doomedFor
	}
	d.wanted(l)
}

func (d *Desk) stop(e front.Stop) {
	a := d.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt {
		return
	}
	l := d.lines[a.setup.Server]
	d.forget(a)
	if e.Moved { // the word to its viewer ends it there too: a release would cut it first
		l.leaving[e.Session] = d.now + leaveBy
		return
	}
	d.release(l, e.Session)
}

func (d *Desk) rung(e front.SetRung) {
	a := d.attempts[e.Session]
	if a == nil || !a.playing || a.setup.Attempt != e.Attempt {
		return
	}
	a.setup.Rung, a.rungDue = e.Rung, true
	if l := d.lines[a.setup.Server]; l.cur != nil {
		d.level(l, a)
	}
}

func (d *Desk) level(l *line, a *attempt) {
	a.rungDue = false
	d.push(l, l.cur, (&wire.Message{Type: wire.Level, Session: a.setup.Session}).Add(wire.ParamRung, strconv.Itoa(a.setup.Rung)))
}

func (d *Desk) probe(server uint32) {
	l := d.lines[server]
	if l == nil {
		d.news = append(d.news, front.Probed{Server: server, Status: policy.NoConnect})
		return
	}
	if l.cur == nil {
		l.probing, l.probeAt = true, d.now
		d.dial(l, true)
		return
	}
	d.test(l)
}

func (d *Desk) test(l *line) {
	d.Stats.Tests++
	l.cur.tests[d.Stats.Tests] = d.now
	d.push(l, l.cur, (&wire.Message{Type: wire.Test, Session: d.Stats.Tests}).AddCause(wire.CauseReport))
}

// Adopt takes over a session that plays at a server already.
func (d *Desk) Adopt(now Time, e front.Setup) bool {
	d.now = now
	l := d.lines[e.Server]
	if l == nil || d.attempts[e.Session] != nil {
		return false
	}
	a := &attempt{setup: e, at: now, playing: true}
	d.attempts[e.Session], l.live[e.Session] = a, a
	d.wanted(l)
	return true
}

// ---- Connections ----

// dial opens a connection, unless one is being opened. What waits does not wait for the pause after a failure.
func (d *Desk) dial(l *line, now bool) {
	if l.dialing != 0 || !now && d.now < l.dialAt {
		return
	}
	if d.open >= d.most && !d.makeRoom(l, now) {
		// Danger: a connect without a descriptor looks like a server that can't be reached. What waits never left.
		d.Stats.Crowded++
		l.dialAt = d.now + redialGap
		d.fail(l, fate.Withdrawn)
		if l.probing {
			l.probing = false
			d.news = append(d.news, front.Probed{Server: l.server, Status: policy.Moot})
		}
		return
	}
	d.open++
	d.Stats.Dialed++
	l.dialing = d.Stats.Dialed
	d.acts = append(d.acts, Act{Server: l.server, Conn: l.dialing, Dial: l.addr, Within: d.cfg.Connect})
}

// makeRoom closes the connection that is least missed: nothing is open on it, and it carries no sessions or, if there is no
// such and something waits to be sent, the fewest; of those the longest quiet. Harm: what a server has to say of its sessions
// there waits for the next one.
func (d *Desk) makeRoom(but *line, urgent bool) bool {
	var worst *link
	var at *line
	for _, l := range d.lines {
		if l == but || l.dialing != 0 || len(l.waiting) > 0 || len(l.live) > 0 && !urgent {
			continue
		}
		for _, k := range l.links {
			if len(k.out)+len(k.tests) > 0 {
				continue
			}
			if worst == nil || len(l.live) < len(at.live) || len(l.live) == len(at.live) && (k.readAt < worst.readAt ||
				k.readAt == worst.readAt && k.conn < worst.conn) {
				worst, at = k, l
			}
		}
	}
	if worst == nil {
		return false
	}
	at.dialAt = max(at.dialAt, d.now+redialGap)
	d.drop(at, worst, worst.sent)
	return true
}

// Connected tells that a connection stands.
func (d *Desk) Connected(now Time, server uint32, conn uint64) {
	d.now = now
	l := d.lines[server]
	if l == nil || l.dialing != conn {
		d.acts = append(d.acts, Act{Server: server, Conn: conn, Close: true})
		d.open-- // its line has left meanwhile
		return
	}
	l.dialing, l.refused, l.silent = 0, 0, 0
	old := l.cur
	k := &link{conn: conn, out: map[uint64]*attempt{}, tests: map[uint64]Time{}, stoodAt: now, readAt: now}
	l.links[conn], l.cur = k, k
	if old != nil {
		old.stale = true
	}
	for _, id := range sorted(l.doomed) {
		d.push(l, k, (&wire.Message{Type: wire.Release, Session: id}).AddCause(wire.CauseGivenUp))
	}
	clear(l.doomed)
	for _, id := range sorted(l.live) {
		if a := l.live[id]; a.rungDue {
			d.level(l, a)
		}
	}
	waiting := l.waiting
	l.waiting = nil
	for _, a := range waiting {
		d.write(l, a)
	}
	if l.probing {
		l.probing = false
		d.test(l)
	}
}

// Failure is why a connection could not be had.
type Failure uint8

// Why connects fail.
const (
	Unanswered Failure = iota
	Refused            // the machine answered: nobody listens there, or its process takes no more
	Broke              // anything else, as one that stood and ended at once: it proves nothing
)

// DialFailed tells that a connection could not be had.
func (d *Desk) DialFailed(now Time, server uint32, conn uint64, why Failure) {
	d.now = now
	l := d.lines[server]
	d.open--
	if l == nil || l.dialing != conn {
		return
	}
	l.dialing = 0
	switch why {
	case Refused:
		d.Stats.Refused++
		l.refused, l.silent = l.refused+1, 0
	case Unanswered:
		d.Stats.Unanswered++
		l.silent, l.refused = l.silent+1, 0
	case Broke:
		d.Stats.Broke++
	}
	l.dialAt = now + min(redialGap<<min(max(l.refused, l.silent, silences)-silences, 8), redialMost)
	d.fail(l, fate.DialRefused)
	if l.probing {
		l.probing = false
		d.news = append(d.news, front.Probed{Server: server, Status: policy.NoConnect, Took: now - l.probeAt})
	}
	// A server refuses connects at its limit too, and while it drains: one that is on the list and has a connection left is
	// asked there for a word. That the connection stands proves nothing.
	switch {
	case l.silent >= silences, l.refused >= refusals && (l.gone || len(l.links) == 0):
		d.dead(l)
	case l.refused >= refusals && l.cur != nil && l.cur.checkAt == 0:
		l.cur.checkAt = now
		d.test(l)
	}
}

// dead ends what a server played: its process is gone, or its machine. Should it play on after all, for nobody, it is
// told to end that as soon as a connection stands.
func (d *Desk) dead(l *line) {
	for _, id := range sorted(l.live) {
		d.end(l.live[id], policy.ResetConn, nil)
		if len(l.doomed) < doomedMost {
			l.doomed[id] = d.now + doomedFor
		}
	}
	for _, id := range sorted(l.links) {
		d.drop(l, l.links[id], l.links[id].sent)
	}
}

// fail ends the set-ups that were not sent.
func (d *Desk) fail(l *line, cause fate.Cause) {
	waiting := l.waiting
	l.waiting = nil
	for _, a := range waiting {
		d.end(a, fate.Of(fate.Unsent, cause, 0), nil)
	}
}

// Lost tells that a connection ended. begun is an upper bound of the bytes handed to the kernel.
func (d *Desk) Lost(now Time, server uint32, conn uint64, begun uint64) {
	d.now = now
	l := d.lines[server]
	if l == nil {
		return
	}
	if k := l.links[conn]; k != nil {
		d.Stats.Lost++
		d.drop(l, k, begun)
	}
}

// drop ends a connection and what was open on it.
func (d *Desk) drop(l *line, k *link, begun uint64) {
	delete(l.links, k.conn)
	d.open--
	if l.cur == k {
		l.cur = nil
	}
	d.acts = append(d.acts, Act{Server: l.server, Conn: k.conn, Close: true})
	for _, id := range sorted(k.out) {
		a := k.out[id]
		switch {
		case begun < a.end && !a.again && !l.drains && !l.gone:
			// A server runs whole set-ups only: this one never left, and waits for the next connection, once.
			d.Stats.Again++
			delete(k.out, id)
			a.again, a.link = true, nil
			l.waiting = append(l.waiting, a)
		case begun < a.end:
			d.end(a, fate.Of(fate.Partly, fate.Broke, 0), nil)
		default:
			d.end(a, fate.Of(fate.Written, fate.Broke, 0), nil)
		}
	}
	for _, id := range sorted(k.tests) {
		d.news = append(d.news, front.Probed{Server: l.server, Status: policy.ResetConn, Took: d.now - k.tests[id]})
	}
	clear(k.tests)
	if d.now-k.stoodAt < policy.Second { // connections that break at once are not opened in a loop
		l.dialAt = max(l.dialAt, d.now+redialGap)
	}
	if len(l.live) > 0 && d.taken(l) { // at its address is another server, which knows nothing of them
		for _, id := range sorted(l.live) {
			d.end(l.live[id], policy.ResetConn, nil)
		}
	}
	d.wanted(l)
}

// ---- What servers say ----

// Received takes bytes of a connection.
func (d *Desk) Received(now Time, server uint32, conn uint64, b []byte) {
	d.now = now
	l := d.lines[server]
	if l == nil {
		return
	}
	k := l.links[conn]
	if k == nil {
		return
	}
	k.readAt = now
	k.dec.Feed(b)
	for l.links[conn] == k {
		m, err := k.dec.Next()
		if err == nil && m != nil {
			err = d.heard(l, k, m)
		}
		if err != nil { // what follows can't be told apart: the connection is of no more use
			d.Stats.Spoilt++
			d.drop(l, k, k.sent)
			return
		}
		if m == nil {
			break
		}
	}
	switch {
	case !k.dec.Partial():
		k.partialAt = 0
	case k.partialAt == 0:
		k.partialAt = now
	}
}

type unreadable string

func (e unreadable) Error() string { return string(e) }

func (d *Desk) heard(l *line, k *link, m *wire.Message) error {
	switch m.Type {
	case wire.Ready:
		return d.answered(l, k, m)
	case wire.Release:
		d.released(l, k, m)
	case wire.Note:
		d.note(l, m)
	case wire.Tested:
		at, ok := k.tests[m.Session]
		if !ok {
			return nil
		}
		delete(k.tests, m.Session)
		status := policy.Errored
		if cause, _ := m.Cause(); cause == 1 {
			status = policy.OK
		}
		d.news = append(d.news, front.Probed{Server: l.server, Status: status, Took: d.now - at, Report: d.report(m)})
	case wire.Trying, wire.Released:
	default:
		return unreadable("a server sent what only fronts send")
	}
	return nil
}

func (d *Desk) report(m *wire.Message) []float64 {
	v, _ := m.Get(wire.ParamReport)
	report := wire.Report(string(v), d.cfg.Fields)
	if report != nil {
		d.Stats.Reports++
	}
	return report
}

func (d *Desk) answered(l *line, k *link, m *wire.Message) error {
	a := d.attempts[m.Session]
	if a == nil || a.link != k || a.playing {
		if _, late := l.given[m.Session]; late && a == nil { // it crossed the word that it was given up
			d.Stats.Late++
			d.release(l, m.Session)
		}
		return nil // nobody's, or a second copy
	}
	text, ok := m.Get(wire.ParamText)
	if !ok || !utf8.Valid(text) {
		return unreadable("an answer without a description")
	}
	delete(k.out, m.Session)
	a.playing = true
	l.live[m.Session] = a
	a.setup.Text = ""
	d.news = append(d.news, front.Began{Session: m.Session, Attempt: a.setup.Attempt, Took: d.now - a.at,
		Report: d.report(m), Text: string(text)})
	return nil
}

func (d *Desk) released(l *line, k *link, m *wire.Message) {
	delete(l.leaving, m.Session)
	delete(l.doomed, m.Session)
	cause, _ := m.Cause()
	a := d.attempts[m.Session]
	if a == nil || a.setup.Server != l.server || !a.playing && a.link != k {
		return
	}
	if a.playing {
		d.push(l, k, &wire.Message{Type: wire.Released, Session: m.Session})
	}
	status := policy.ResetConn
	switch {
	case a.playing && cause == wire.CauseGivenUp:
		status = policy.OK
	case a.playing && cause == wire.CauseCancelled:
		status = policy.CancelledSt
	case a.playing:
	case cause == wire.CauseFull:
		status = policy.Full
	case cause == wire.CauseError:
		status = policy.Errored
	case cause == wire.CauseMoot:
		status = policy.Moot
	}
	d.end(a, status, d.report(m))
}

var notes = map[string]policy.NoteKind{"quality": policy.NoteShare, "profile": policy.NoteRung, "nic": policy.NoteLink,
	"tor": policy.NoteUplink}

func (d *Desk) note(l *line, m *wire.Message) {
	a := d.attempts[m.Session]
	if a == nil || !a.playing || a.setup.Server != l.server {
		return
	}
	name, _ := m.Get(wire.ParamNote)
	figure, _ := m.Get(wire.ParamFigure)
	kind, ok := notes[string(name)]
	value, fine := wire.Figure(string(figure))
	if ok && fine {
		if kind == policy.NoteShare {
			d.Stats.Shorts++
		}
		d.news = append(d.news, front.Note{Session: m.Session, Attempt: a.setup.Attempt, Kind: kind, Value: value})
	}
}

// ---- Time ----

// Tick lets time pass; it is to be called several times a second.
func (d *Desk) Tick(now Time) {
	d.now = now
	if d.order == nil {
		d.order = sorted(d.lines)
	}
	for _, id := range d.order {
		// Most of hundreds of servers have nothing going on: they cost a look each.
		if l := d.lines[id]; l != nil && (l.gone || l.probing || len(l.links)+len(l.live)+len(l.leaving)+len(l.given)+len(l.doomed)+
			len(l.waiting) > 0) {
			d.tick(l)
		}
	}
}

func (d *Desk) tick(l *line) {
	// Danger: the end of a process is not always heard of on a connection that stood (its reset may be lost, or nobody is left to
	// send one), and its viewers would hold sessions that are over. Off the list and refusing, it has ended; so it has when
	// another is at its address, once what was under way is read.
	if l.gone && len(l.live) > 0 && (l.refused >= refusals || d.quiet(l) && d.taken(l)) {
		d.dead(l)
	}
	if l.probing && d.now-l.probeAt >= d.cfg.ProbeWait {
		l.probing = false
		d.news = append(d.news, front.Probed{Server: l.server, Status: policy.NoConnect, Took: d.now - l.probeAt})
	}
	for _, id := range sorted(l.links) {
		k := l.links[id]
		for _, t := range sorted(k.tests) {
			if at := k.tests[t]; d.now-at >= d.cfg.ProbeWait {
				delete(k.tests, t)
				d.news = append(d.news, front.Probed{Server: l.server, Status: policy.TimedOut, Took: d.now - at})
				if k.readAt <= at {
					d.retire(l, k)
				}
			}
		}
		switch {
		case k.checkAt != 0 && k.readAt > k.checkAt: // it is at its limit, or drains
			k.checkAt, l.refused = 0, 0
		case k.checkAt != 0 && d.now-k.checkAt >= checkFor && l.refused >= refusals:
			d.dead(l)
			return
		}
		switch {
		case k.partialAt != 0 && d.now-k.partialAt >= stuckFor:
			d.Stats.Stuck++
			d.drop(l, k, k.sent)
		case k.stale && len(k.out) == 0 && len(k.tests) == 0 && l.cur != nil:
			d.drop(l, k, k.sent)
		}
	}
	for _, id := range sorted(l.leaving) {
		if d.now >= l.leaving[id] {
			delete(l.leaving, id)
			d.release(l, id)
		}
	}
	maps.DeleteFunc(l.given, func(_ uint64, until Time) bool { return d.now >= until })
	maps.DeleteFunc(l.doomed, func(_ uint64, until Time) bool { return d.now >= until })
	d.wanted(l)
	// Danger: a machine that vanished leaves its connections open and silent, and its viewers with nothing. Harm: a
	// connect for each few seconds that a server has nothing to say.
	if len(l.live) > 0 && l.cur != nil && d.now-l.cur.readAt >= quietFor {
		d.dial(l, false)
	}
	if l.gone && len(l.live) == 0 { // nothing is to be released at a process that has left
		clear(l.doomed)
	}
	if l.gone && len(l.live) == 0 && len(l.waiting) == 0 && len(l.doomed) == 0 && len(l.leaving) == 0 && l.dialing == 0 && !l.probing {
		open := 0
		for _, k := range l.links {
			open += len(k.out)
		}
		if open == 0 {
			for _, id := range sorted(l.links) {
				d.drop(l, l.links[id], l.links[id].sent)
			}
			delete(d.lines, l.server)
			d.order = nil
		}
	}
}

// Counts tells how many attempts and sessions, servers and connections the desk holds.
func (d *Desk) Counts() (attempts, lines, links int) {
	for _, l := range d.lines {
		links += len(l.links)
	}
	return len(d.attempts), len(d.lines), links
}

func sorted[K uint32 | uint64, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

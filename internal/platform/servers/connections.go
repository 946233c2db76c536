package servers

import (
	"tealledge/decide/fate"
	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Connections: opened when something is to be said or heard, replaced, given back when descriptors run out.

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

// dial opens a connection, unless one is being opened. What waits does not wait for the pause after a failure.
func (d *Desk) dial(l *line, now bool) {
	if l.dialing != 0 || !now && d.now < l.dialAt {
		return
	}
	for d.open >= d.most {
		if d.makeRoom(l, now) {
			continue
		}
		// Danger: a connect without a descriptor looks like a server that can't be reached. What waits never left.
		d.Stats.Crowded++
		d.yield(l)
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
// such and something waits to be sent, the fewest; of those the longest quiet. It opens none: the room is for the one that
// asked. Harm: what a server has to say of its sessions there waits for the next one.
func (d *Desk) makeRoom(but *line, urgent bool) bool {
	var worst *link
	var at *line
	for _, l := range d.lines { // one whose writing side has ended is waited for no longer, or for a moment where nothing hurries
		for _, k := range l.links {
			if k.endingAt != 0 && (urgent || d.now-k.endingAt >= redialGap) &&
				(worst == nil || k.endingAt < worst.endingAt || k.endingAt == worst.endingAt && k.conn < worst.conn) {
				worst, at = k, l
			}
		}
	}
	if worst != nil {
		d.cut(at, worst, worst.sent)
		return true
	}
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
	d.cut(at, worst, worst.sent)
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
	if l.probing && l.cur != nil {
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

// finish ends the writing side of a connection on which nothing is open, and reads on until its server ends the other.
// Danger: closed at once, it would lose what the server says there in that moment of sessions that stand, and nowhere
// else; their viewers would never be told. Harm: it keeps its descriptor for finishBy at most.
func (d *Desk) finish(l *line, k *link) {
	k.endingAt = d.now
	d.acts = append(d.acts, Act{Server: l.server, Conn: k.conn, Finish: true})
}

// each gives a server's connections by their numbers. Danger: what is done for one may close the next of the same server.
func (l *line) each(yield func(*link) bool) {
	for _, conn := range sorted(l.links) {
		if k := l.links[conn]; k != nil && !yield(k) {
			return
		}
	}
}

// drop ends a connection and what was open on it, and opens another if there is anything to be said or heard.
func (d *Desk) drop(l *line, k *link, begun uint64) {
	d.cut(l, k, begun)
	d.wanted(l)
}

// cut ends a connection and what was open on it.
func (d *Desk) cut(l *line, k *link, begun uint64) {
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
}

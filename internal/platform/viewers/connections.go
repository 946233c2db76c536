package viewers

import (
	"errors"
	"maps"
	"slices"

	"tealledge/internal/front"
)

// Connections of viewers: taken, and closed when they are of no use or too many.

// Limit sets how many connections are held; those past it are closed, a few at each tick and as others come.
func (d *Desk) Limit(conns int) { d.most = conns }

// Limits gives what Limit has set.
func (d *Desk) Limits() int { return d.most }

// evictAtOnce bounds how many connections past a limit that has come down are closed in one tick: those closed still count until
// the shell tells that they ended.
const evictAtOnce = 4

// evictTries bounds how many connections are looked at for unheard words when one is to be closed.
const evictTries = 4

// Halves tells whether a line has begun on any connection and not ended.
func (d *Desk) Halves() bool {
	for _, c := range d.conns {
		if c.partialAt != 0 && !c.closed {
			return true
		}
	}
	return false
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
	busy := map[*client]bool{} // found with words that were not heard yet
	for range evictTries {
		worst = nil
		for _, c := range d.conns {
			if c.closed || busy[c] {
				continue
			}
			if worst == nil || rank(c) > rank(worst) || rank(c) == rank(worst) && (c.heardAt < worst.heardAt || c.heardAt == worst.heardAt && c.id < worst.id) {
				worst = c
			}
		}
		if worst == nil || rank(worst) <= 1 || d.quiet(worst) {
			break
		}
		busy[worst], worst = true, nil
	}
	if worst == nil || rank(worst) == 0 {
		worst = d.conns[newcomer]
	}
	if worst == nil {
		return
	}
	d.Stats.Evicted++
	d.shut(worst, nil)
}

// quiet tells whether a connection may be closed for want of use. Danger: a request that was read, or lies in the socket, while the
// owner was busy with others would be closed on, and its client never answered.
func (d *Desk) quiet(c *client) bool { return d.cfg.Quiet == nil || d.cfg.Quiet(c.id) }

// shut closes a connection after some last bytes. What it had open can't be answered any more and is given up.
func (d *Desk) shut(c *client, last []byte) {
	if !c.closed {
		c.closed = true
		d.acts = append(d.acts, Act{Conn: c.id, Bytes: last, Close: true})
		d.giveUp(c)
	}
}

func (d *Desk) giveUp(c *client) {
	for _, sid := range slices.Sorted(maps.Keys(c.open)) {
		d.over(sid)
		d.news = append(d.news, front.Leave{Session: sid})
	}
}

// Lost tells that a connection ended: its open requests are given up; sessions that stand don't belong to it.
func (d *Desk) Lost(now Time, conn uint64) {
	d.now = now
	c := d.conns[conn]
	if c == nil {
		return
	}
	d.giveUp(c)
	delete(d.conns, conn)
}

// Tick lets time pass; it is to be called several times a second.
func (d *Desk) Tick(now Time) {
	d.now = now
	var carrier *client
	held := 0
	for _, id := range slices.Sorted(maps.Keys(d.conns)) {
		c := d.conns[id]
		if !c.closed {
			held++
		}
		switch {
		case c.closed:
		case !c.said && now-c.at >= d.cfg.Silent && d.quiet(c):
			d.Stats.Silent++
			d.shut(c, nil)
		case c.partialAt != 0 && now-c.partialAt >= d.cfg.Half:
			d.bad(c, 0, errors.New("a line that does not end"))
		case c.said && len(c.open) == 0 && c.standing == 0 && now-c.heardAt >= d.cfg.Idle && d.quiet(c):
			d.Stats.Idle++
			d.shut(c, nil)
		case c.standing > 0 && carrier == nil:
			carrier = c
		}
	}
	for _, sid := range slices.Sorted(maps.Keys(d.early)) {
		d.adopt(sid)
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
	for n := 0; held-n > d.most && n < evictAtOnce; n++ {
		d.evict(0)
	}
}

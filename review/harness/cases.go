package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// brokenAnswer: for 6 s, every third answer of a server breaks off on its way and its connection is reset. No session
// may be set up at a second server while it stands at the first.
func brokenAnswer(w *world, trouble bool) (broken []string, err error) {
	if err := w.startAll(192); err != nil {
		return nil, err
	}
	c, err := w.dial("viewers")
	if err != nil {
		return nil, err
	}
	start := w.now()
	go w.mix(c, 350*time.Millisecond, start+14*time.Second)
	w.sleepUntil(start + 4*time.Second)
	if trouble {
		w.rec("trouble begins")
		var answers atomic.Int32
		w.breakAnswers(func() bool { return answers.Add(1)%3 == 0 })
	}
	w.sleepUntil(start + 10*time.Second)
	w.breakAnswers(nil)
	w.rec("trouble ends")
	w.sleepUntil(start + 30*time.Second)
	if !w.frontRuns() {
		return []string{"the front has ended"}, nil
	}
	return w.twice(), nil
}

// breakAnswers sets which answers break off.
func (w *world) breakAnswers(on func() bool) {
	for _, s := range w.servers {
		s.mu.Lock()
		s.breakOn = on
		s.mu.Unlock()
	}
}

// minOverlap is how long a session has to stand at two servers to count.
const minOverlap = 2 * time.Second

// twice finds the sessions that stood at two servers at once.
func (w *world) twice() (broken []string) {
	type at struct {
		server *server
		stand  stand
	}
	all := map[uint64][]at{}
	now := w.now()
	for _, s := range w.servers {
		s.mu.Lock()
		for _, st := range s.history {
			copied := *st
			if copied.until == 0 {
				copied.until = now
				copied.how = "still stands"
			}
			all[st.sid] = append(all[st.sid], at{s, copied})
		}
		s.mu.Unlock()
	}
	for sid, list := range all {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if overlap := min(a.stand.until, b.stand.until) - max(a.stand.from, b.stand.from); overlap > minOverlap {
					broken = append(broken, fmt.Sprintf(
						"%016x stood at %s from %.3f (%s) and at %s from %.3f (%s): %.1f s at both", sid, a.server.name,
						a.stand.from.Seconds(), a.stand.how, b.server.name, b.stand.from.Seconds(), b.stand.how, overlap.Seconds()))
				}
			}
		}
	}
	return broken
}

// slowJournal: the journal service is slow, every line comes late by journalLag; meanwhile five of fifteen servers are
// to leave. No set-up may reach them after the grace.
func slowJournal(w *world, trouble bool) (broken []string, err error) {
	const (
		journalLag = 2500 * time.Millisecond
		toldWithin = 4 * time.Second // counts as told at the latest
		grace      = 300 * time.Millisecond
	)
	if err := w.startAll(192); err != nil {
		return nil, err
	}
	c, err := w.dial("viewers")
	if err != nil {
		return nil, err
	}
	start := w.now()
	go w.mix(c, 500*time.Millisecond, start+30*time.Second)
	w.sleepUntil(start + 5*time.Second)
	if trouble {
		w.rec("trouble begins: the journal service is slow by %v", journalLag)
		w.journal.setLag(journalLag)
	}
	w.sleepUntil(start + 8*time.Second)
	var hosts []host
	var leaving []*server
	for i := 0; i < len(w.servers); i += 3 {
		leaving = append(leaving, w.servers[i])
		hosts = append(hosts, w.servers[i].host("leaving"))
	}
	told := w.now()
	w.journal.add(false, hosts)
	w.rec("leaving, by the journal: %v", hosts)
	w.sleepUntil(start + 25*time.Second)
	w.rec("trouble ends")
	w.journal.setLag(0)
	w.sleepUntil(start + 31*time.Second)
	if !w.frontRuns() {
		return []string{"the front has ended"}, nil
	}
	for _, s := range leaving {
		s.mu.Lock()
		for _, u := range s.setUps {
			if u.at > told+toldWithin+grace {
				broken = append(broken, fmt.Sprintf("%s got the set-up %016x %.1f s after the journal had that it leaves",
					s.name, u.sid, (u.at-told).Seconds()))
			}
		}
		s.mu.Unlock()
	}
	return broken, nil
}

// owedEnd: the connection on which sessions were set up is reset; the viewers open another one and test the front on it
// twice a second. The ends of the sessions must be told there.
func owedEnd(w *world, trouble bool) (broken []string, err error) {
	const toldWithin = 8050 * time.Millisecond
	if err := w.startAll(192); err != nil {
		return nil, err
	}
	c, err := w.dial("first")
	if err != nil {
		return nil, err
	}
	var list []*request
	for i := range 5 {
		r, err := c.open("live-prices", fmt.Sprintf("%016d", i), 5*time.Second, 3)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.rec("the first connection is reset")
		reset(c.conn)
	}
	time.Sleep(200 * time.Millisecond)
	other, err := w.dial("second")
	if err != nil {
		return nil, err
	}
	other.test()
	time.Sleep(time.Second)
	over := w.now()
	for _, r := range list {
		for _, s := range w.servers {
			s.finishNow(r.sid)
		}
	}
	for w.now() < over+9*time.Second {
		time.Sleep(500 * time.Millisecond)
		if err := other.test(); err != nil {
			w.rec("second: %v", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		if r.ready > 0 && (r.closed == 0 || r.closed-over > toldWithin) {
			broken = append(broken, fmt.Sprintf("%016x was over at %.3f, and its viewer was not told by %.3f", r.sid,
				over.Seconds(), w.now().Seconds()))
		}
	}
	return broken, nil
}

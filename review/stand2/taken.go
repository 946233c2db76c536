package main

import "time"

// How late the list has changes, by the site file.
const (
	noticeTime = 11 * time.Second        // until it drops a silent machine: 4.6 to 12 s
	addTime    = 1500 * time.Millisecond // until it has a new server: 0.58 to 2.2 s
)

// takenAddress: a machine vanishes with its sessions. A new server takes its address and is listed, before the list has
// noticed that the old one is gone.
func takenAddress(w *world) error {
	if err := startWorld(w, smallFleet); err != nil {
		return err
	}
	v, err := newViewer(w)
	if err != nil {
		return err
	}
	old := w.servers[4]
	sids, err := placeSessions(w, v, old, 3)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	over := w.since()
	limit := endTime
	if w.trouble {
		if sids, err = old.vanish(); err != nil {
			return err
		}
		w.sleepUntil(over + time.Second)
		old.freeAddress()
		successor, err := newServer(w, "s-0000beef", old.cell, old.addr)
		if err != nil {
			return err
		}
		successor.born = time.Now().UnixMilli()
		w.sleepUntil(over + time.Second + addTime)
		w.journal.list(false, "active", successor)
		w.sleepUntil(over + noticeTime)
		w.journal.list(false, "left", old)
	} else {
		limit = releaseTime
		for _, sid := range sids {
			old.end(sid)
		}
	}
	w.sleepUntil(over + noticeTime + 6*time.Second)
	checkEnds(w, v, sids, over, limit)
	return nil
}

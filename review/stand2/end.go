package main

import "time"

// endUnsent: the viewer's connection is reset. The viewer comes back at once, on a new connection, and its further
// requests are refused, as the servers are full. Then its session ends at the server.
func endUnsent(w *world) error {
	if err := startWorld(w, smallFleet); err != nil {
		return err
	}
	v, err := newViewer(w)
	if err != nil {
		return err
	}
	holder := w.servers[4]
	sids, err := placeSessions(w, v, holder, 1)
	if err != nil {
		return err
	}
	for _, s := range w.servers {
		s.setFull(true)
	}
	if w.trouble {
		v.reset()
		if err := v.connect(); err != nil {
			return err
		}
	}
	start := w.since()
	go askSteadily(w, v, firstSid+1000, 500*time.Millisecond, start+14*time.Second)
	time.Sleep(1500 * time.Millisecond)
	over := w.since()
	for _, sid := range sids {
		holder.end(sid)
	}
	w.sleepUntil(start + 14*time.Second)
	checkEnds(w, v, sids, over, releaseTime)
	return nil
}

package main

import "time"

// The limits of the operators' pages for slow discovery and for drains.
const (
	drainGrace = 250*time.Millisecond + slack
	toldAtLast = 4 * time.Second         // what a silent journal service would have told counts as told then
	slowTime   = 2400 * time.Millisecond // how much further behind the list runs: 2.4 to 7.7 s
	slowLength = 20 * time.Second        // for 11 to 29 s
)

// slowDiscovery: each line of the journal service comes 2.4 s late for 20 s. Three servers are listed as leaving
// meanwhile. What a silent service would have told counts as told after 4 s at the latest.
func slowDiscovery(w *world) error {
	if err := startWorld(w, smallFleet); err != nil {
		return err
	}
	v, err := newViewer(w)
	if err != nil {
		return err
	}
	const slowAt, leaveAt = 3 * time.Second, 4 * time.Second
	asked := make(chan error, 1)
	go func() {
		asked <- askSteadily(w, v, firstSid, 400*time.Millisecond, slowAt+slowLength)
	}()
	w.sleepUntil(slowAt)
	if w.trouble {
		w.journal.setDelay(slowTime)
	}
	w.sleepUntil(leaveAt)
	leaving := w.servers[3:6]
	told := w.journal.list(false, "leaving", leaving...)
	if w.trouble {
		told = max(told, slowAt+toldAtLast)
	}
	w.log("counts as told at %.3f", told.Seconds())
	if err := <-asked; err != nil {
		return err
	}
	for _, s := range leaving {
		s.mu.Lock()
		for _, u := range s.setups {
			if u.at > told+drainGrace {
				w.violation("%s is leaving, and gets set-up %016x %.3f s after that was told", s.name, u.sid,
					(u.at - told).Seconds())
			}
		}
		s.mu.Unlock()
	}
	return nil
}

package main

import (
	"strings"
	"time"
)

// The bursts of requests. On the busiest day a front gets up to 90 set-ups a second, and about 25 as a mean.
const (
	burstSize   = 30
	burstEvery  = 3 * time.Second
	bursts      = 10
	watchedTime = 1200 * time.Millisecond // how long the viewers of a burst watch
	textBytes   = 8 << 10                 // of a server's description: half of what a message may hold
)

// burstOfRequests: whole classes open their guides in the same moment, on one connection. Without the disruption the
// same requests come evenly.
func burstOfRequests(w *world) error {
	if err := startWorld(w, smallFleet); err != nil {
		return err
	}
	for _, s := range w.servers {
		s.setText(textBytes)
	}
	v, err := newViewer(w)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	sent := map[uint64]time.Duration{}
	next := firstSid
	for range bursts {
		if w.trouble {
			var lines strings.Builder
			first := next
			for range burstSize {
				lines.WriteString(openLine(next, int(next%smallFleet), ""))
				next++
			}
			w.log("viewer: asks for %d sessions at once, from %016x on", burstSize, first)
			if err := v.write(lines.String()); err != nil {
				return err
			}
			for sid := first; sid < next; sid++ {
				sent[sid] = w.since()
			}
			time.Sleep(watchedTime)
			if err := endAll(v, first, next); err != nil {
				return err
			}
			time.Sleep(burstEvery - watchedTime)
		} else {
			for range burstSize {
				sid := next
				next++
				if err := v.open(sid, int(sid%smallFleet)); err != nil {
					return err
				}
				sent[sid] = w.since()
				time.AfterFunc(watchedTime, func() { endAll(v, sid, sid+1) })
				time.Sleep(burstEvery / burstSize)
			}
		}
		if v.isClosed() {
			w.log("viewer: the front has closed the connection")
			break
		}
	}
	time.Sleep(waitTime + time.Second)
	lost := 0
	for sid := firstSid; sid < next; sid++ {
		if v.answer(sid) == "" {
			if lost++; lost <= 5 {
				w.violation("request %016x, sent at %.3f, got no answer", sid, sent[sid].Seconds())
			}
		}
	}
	w.log("%d requests, %d of them lost", len(sent), lost)
	return nil
}

// endAll ends the sessions from first to before last that play.
func endAll(v *viewer, first, last uint64) error {
	if v.isClosed() {
		return nil
	}
	var lines strings.Builder
	for sid := first; sid < last; sid++ {
		if v.answer(sid) == "ready" {
			lines.WriteString(closeLine(sid))
		}
	}
	return v.write(lines.String())
}

package main

import (
	"strings"
	"time"
)

// handedOver is how many sessions a front is handed at its start.
const handedOver = 40

// endInBatch: a front is handed sessions at its start, and one of their viewers leaves in the same moment. Without the
// disruption that viewer leaves a second later.
func endInBatch(w *world) error {
	if err := startWorld(w, smallFleet); err != nil {
		return err
	}
	v, err := newViewer(w)
	if err != nil {
		return err
	}
	var lines strings.Builder
	leaver := w.servers[4]
	var gone uint64
	for i := range handedOver {
		s, sid := w.servers[i%smallFleet], firstSid+uint64(i)
		s.mu.Lock()
		s.sessions[sid] = nil
		s.mu.Unlock()
		lines.WriteString(openLine(sid, s.cell, s.name))
		if s == leaver && gone == 0 {
			gone = sid
		}
	}
	if w.trouble {
		lines.WriteString(closeLine(gone))
	}
	w.log("viewer: hands over %d sessions, from %016x on", handedOver, firstSid)
	if err := v.write(lines.String()); err != nil {
		return err
	}
	if !w.trouble {
		time.Sleep(time.Second)
		if err := v.write(closeLine(gone)); err != nil {
			return err
		}
	}
	left := w.since()
	w.log("viewer: has ended %016x, at %s", gone, leaver.name)
	time.Sleep(10 * time.Second)
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	if at, ok := leaver.released[gone]; !ok {
		w.violation("session %016x was ended by its viewer at %.3f, and %s still plays it", gone, left.Seconds(),
			leaver.name)
	} else if at > left+releaseTime {
		w.violation("session %016x was released %.3f s late", gone, (at - left).Seconds())
	}
	return nil
}

package main

import (
	"fmt"
	"time"
)

// The limits that the pages set, each 50 ms longer, as the rules on sockets are.
const (
	slack       = 50 * time.Millisecond
	releaseTime = time.Second + slack   // from the server's release of a session to the front's
	endTime     = 8*time.Second + slack // from the end of a session, if no release could be sent
)

const (
	smallFleet = 14                              // media servers of a small deployment
	pollTime   = 20 * time.Millisecond           // for waits of the stand-ins
	firstSid   = uint64(0x5e00000000000000) + 10 // session ids count from here
)

// askSteadily asks for a session every interval until a time.
func askSteadily(w *world, v *viewer, first uint64, every, until time.Duration) error {
	for n := 0; w.since() < until; n++ {
		if err := v.open(first+uint64(n), n%smallFleet); err != nil {
			return err
		}
		time.Sleep(every)
	}
	return nil
}

// placeSessions asks for sessions until a server has some, and returns the ids of its own.
func placeSessions(w *world, v *viewer, at *server, wanted int) ([]uint64, error) {
	for i := range 40 {
		sid := firstSid + uint64(i)
		if err := v.open(sid, (at.cell+smallFleet-i%3)%smallFleet); err != nil {
			return nil, err
		}
		for range 100 {
			if v.answer(sid) != "" {
				break
			}
			time.Sleep(pollTime)
		}
		if list := at.standing(); len(list) >= wanted {
			return list, nil
		}
	}
	return nil, fmt.Errorf("%s got fewer than %d of 40 sessions", at.name, wanted)
}

// checkEnds checks that the ends of sessions were released towards their client in time.
func checkEnds(w *world, v *viewer, sids []uint64, over, limit time.Duration) {
	for _, sid := range sids {
		switch at, ok := v.heardEnd(sid); {
		case !ok:
			w.violation("session %016x was over at %.3f and is left standing", sid, over.Seconds())
		case at > over+limit:
			w.violation("session %016x was over at %.3f and was released %.3f s later", sid, over.Seconds(),
				(at - over).Seconds())
		}
	}
}

package servers

import (
	"strconv"
	"testing"

	"tealledge/internal/front"
	"tealledge/policy"
)

// More servers play sessions of this front than it may hold connections: each is heard in turn, so that no end is told later than
// its viewer may wait for it (8 s).
func TestSessionsAtMoreServersThanConnections(t *testing.T) {
	for _, servers := range []uint32{6, 12, 16} {
		r := newRig(t)
		var list []Server
		for id := range servers {
			list = append(list, Server{ID: id + 1, Addr: "a:" + strconv.Itoa(int(id)+1)})
		}
		r.d.Listed(r.now, list)
		const most = 4
		r.d.Limit(most)
		for id := range servers {
			r.d.Adopt(r.now, front.Setup{Session: 100 + uint64(id), Server: id + 1})
		}
		stands := map[uint64]uint32{} // connections, with their servers
		began, told, ended := r.now, map[uint64]Time{}, map[uint32]bool{}
		shell := func() {
			for again := true; again; {
				r.take()
				again = len(r.dials) > 0
				dials := r.dials
				r.dials = nil
				for _, a := range dials {
					stands[a.Conn] = a.Server
					r.d.Connected(r.now, a.Server, a.Conn)
					r.take()
					if ended[a.Server] { // says so on the next connection that it is given
						b, _ := release(99+uint64(a.Server), 16).Append(nil)
						r.d.Received(r.now, a.Server, a.Conn, b)
					}
				}
				for conn, server := range stands {
					if r.closed[conn] {
						delete(stands, conn)
					} else if r.ending[conn] { // the server ends its side too
						delete(stands, conn)
						r.d.Lost(r.now, server, conn, 0)
						again = true
					}
				}
			}
			if len(stands) > most {
				t.Fatalf("%d servers: %d connections, %d allowed", servers, len(stands), most)
			}
			for _, e := range r.news {
				if e, ok := e.(front.Ended); ok {
					told[e.Session] = r.now - began
				}
			}
			r.news = nil
		}
		said := false
		for r.now < began+9*policy.Second {
			shell()
			r.now += 25 * ms
			if !said && r.now >= began+policy.Second {
				said = true
				for id := range servers { // those without a connection can say it nowhere
					ended[id+1] = true
				}
				for _, server := range stands {
					delete(ended, server)
				}
			}
			r.d.Tick(r.now)
		}
		late, last := 0, Time(0)
		for server := range ended {
			at, ok := told[99+uint64(server)]
			last = max(last, at)
			if !ok {
				late++
			}
		}
		t.Logf("%d servers: the last end told %d ms after it", servers, (last-policy.Second)/ms)
		if late > 0 {
			t.Errorf("%d servers: %d ends not told in 8 s", servers, late)
		}
	}
}

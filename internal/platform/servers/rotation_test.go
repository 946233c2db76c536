package servers

import (
	"strconv"
	"testing"

	"tealledge/internal/front"
	"tealledge/policy"
)

// More servers hold sessions of this front than it may hold connections: the connections rotate, so that no end of a
// session is reported later than its viewer may wait for it (8 s).
func TestRotatesConnectionsAmongServers(t *testing.T) {
	for _, servers := range []uint32{6, 12, 16} {
		r := newRig(t)
		var list []Server
		for id := range servers {
			list = append(list, Server{ID: id + 1, Addr: "a:" + strconv.Itoa(int(id)+1)})
		}
		r.p.Listed(r.now, list)
		const maxConns = 4
		r.p.SetMaxConns(maxConns)
		for id := range servers {
			r.p.Restore(r.now, front.Setup{Session: 100 + uint64(id), Server: id + 1})
		}
		open := map[uint64]uint32{} // open connections, with their servers
		began, reportedAt, ended := r.now, map[uint64]Time{}, map[uint32]bool{}
		shell := func() {
			for again := true; again; {
				r.take()
				again = len(r.dials) > 0
				dials := r.dials
				r.dials = nil
				for _, a := range dials {
					open[a.Conn] = a.Server
					r.p.Connected(r.now, a.Server, a.Conn)
					r.take()
					if ended[a.Server] { // it sends the release on its next connection
						b, _ := release(99+uint64(a.Server), 16).Append(nil)
						r.p.Received(r.now, a.Server, a.Conn, b)
					}
				}
				for conn, server := range open {
					if r.closed[conn] {
						delete(open, conn)
					} else if r.halfClosed[conn] { // the server closes its side too
						delete(open, conn)
						r.p.Lost(r.now, server, conn, 0)
						again = true
					}
				}
			}
			if len(open) > maxConns {
				t.Fatalf("%d servers: %d connections, limit %d", servers, len(open), maxConns)
			}
			for _, e := range r.events {
				if e, ok := e.(front.AttemptEnded); ok {
					reportedAt[e.Session] = r.now - began
				}
			}
			r.events = nil
		}
		released := false
		for r.now < began+9*policy.Second {
			shell()
			r.now += 25 * ms
			if !released && r.now >= began+policy.Second {
				released = true
				for id := range servers { // servers without a connection can't send the release now
					ended[id+1] = true
				}
				for _, server := range open {
					delete(ended, server)
				}
			}
			r.p.Tick(r.now)
		}
		unreported, last := 0, Time(0)
		for server := range ended {
			at, ok := reportedAt[99+uint64(server)]
			last = max(last, at)
			if !ok {
				unreported++
			}
		}
		t.Logf("%d servers: the last end was reported after %d ms", servers, (last-policy.Second)/ms)
		if unreported > 0 {
			t.Errorf("%d servers: %d ends not reported in 8 s", servers, unreported)
		}
	}
}

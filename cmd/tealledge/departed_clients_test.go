package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/record"
	"tealledge/internal/standin/platformsim"
)

// setupTimes returns the times at which servers received set-ups, by session.
func setupTimes(world *platformsim.World) map[string][]time.Time {
	list := map[string][]time.Time{}
	for _, e := range world.Recorder.Events() {
		if e.Kind == record.SetupReceived {
			list[e.Session] = append(list[e.Session], time.Unix(0, e.At))
		}
	}
	return list
}

// Guards against an id that runs twice: it came again after its client had left, when the front had forgotten it.
func TestRequestOfDepartedClientRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		others int           // requests of other clients in between
		pause  time.Duration // until the id comes again
	}{
		"at once":            {0, 50 * time.Millisecond},
		"after some seconds": {0, 7 * time.Second},
		"after many others":  {20_000, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := platformsim.NewWorld("only")
			servers := newShutdownServers(t, world, 1)
			servers[0].SetFaults(platformsim.Faults{ReplyDelay: 300 * time.Millisecond})
			front := startFront(t, siteSettings(), serverListEvents(servers, 0), "", 1024)
			front.waitReady()
			bad := &badClients{addr: front.addr, stop: make(chan struct{})}
			request := strings.Replace(bad.request(""), "copies:3", "copies:1", 1)
			dial := func() net.Conn {
				conn, err := net.Dial("tcp", front.addr)
				if err != nil {
					t.Fatal(err)
				}
				discard(conn)
				return conn
			}
			first := dial()
			io.WriteString(first, request)
			front.waitUntil("a set-up", func() bool { return len(setupTimes(world)) == 1 })
			first.Close()
			other := dial()
			defer other.Close()
			for range c.others / 100 {
				io.WriteString(other, times(100, bad.requestTakenBack))
			}
			time.Sleep(c.pause)
			again, err := platformsim.Dial(world, front.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer again.Close()
			again.Write(request)
			select {
			case line := <-again.Lines:
				if line.Msg != wire.LineClose {
					t.Errorf("the id was answered with %q", line.Msg)
				}
			case <-time.After(3 * time.Second):
				t.Error("the id was not answered")
			}
			for sid, at := range setupTimes(world) {
				if len(at) > 1 {
					t.Errorf("session %s was set up %d times", sid, len(at))
				}
			}
		})
	}
}

// Guards against requests that are set up though their client has closed its connection, with much of them unread.
func TestUnreadRequestsOfDepartedClientAreNotSent(t *testing.T) {
	floods := badClientKind{"flooded front", 200, func(b *badClients) string { return times(100, b.unsoundRequest) },
		sendForever}
	for _, kind := range []badClientKind{{"idle front", 0, noText, nil}, floods} {
		t.Run(kind.name, func(t *testing.T) {
			world := platformsim.NewWorld("only")
			servers := newShutdownServers(t, world, 3)
			for _, s := range servers {
				s.SetFaults(platformsim.Faults{ReplyDelay: 300 * time.Millisecond})
			}
			front := startFront(t, siteSettings(), serverListEvents(servers, 0), "", 1024)
			front.waitReady()
			bad := &badClients{addr: front.addr, stop: make(chan struct{})}
			bad.start(kind)
			left := map[string]time.Time{}
			for _, requests := range []int{50, 200, 1000, 4000, 8000} {
				for _, sid := range bad.sendAndLeave(t, requests) {
					left[wire.Sid(sid)] = time.Now()
				}
				time.Sleep(700 * time.Millisecond)
			}
			bad.end()
			sent := 0
			for sid, at := range setupTimes(world) {
				if end, ok := left[sid]; ok {
					sent++
					if took := at[0].Sub(end); took > attemptAfterLeave {
						t.Errorf("session %s was set up %v after its client had left", sid, took)
						front.logLines(sid, end)
					}
				}
			}
			t.Logf("%d of the requests were set up", sent)
		})
	}
}

// attemptAfterLeave is how long after a client has left an attempt for it may still begin.
const attemptAfterLeave = 100 * time.Millisecond

// sendAndLeave sends requests on a new connection and closes it at once. It returns their ids.
func (b *badClients) sendAndLeave(t *testing.T, requests int) (sids []uint64) {
	t.Helper()
	conn, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	text := times(requests, func() string {
		sid := b.sid()
		sids = append(sids, sid)
		return strings.Replace(requestOf(sid, ""), "copies:3", "copies:1", 1)
	})
	io.WriteString(conn, text)
	conn.Close()
	return sids
}

// logLines logs the lines of the front's log that name a session, with the time since the end of its client.
func (p *process) logLines(sid string, end time.Time) {
	p.t.Logf("its client left at %d", end.UnixMicro())
	for line := range strings.Lines(p.log.String()) {
		if strings.Contains(line, sid) {
			p.t.Log(strings.TrimSpace(line))
		}
	}
}

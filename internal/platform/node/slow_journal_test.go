package node

import (
	"io"
	"net"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
)

// slowRelay passes what it receives on to an address at once, and the answers late by a lag, in order.
type slowRelay struct {
	listener net.Listener
	target   string
	lag      time.Duration
}

// lateBytes are bytes to be written at a time.
type lateBytes struct {
	bytes []byte
	at    time.Time
}

func newSlowRelay(t *testing.T, target string, lag time.Duration) *slowRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &slowRelay{listener: listener, target: target, lag: lag}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// serve relays one connection until either side ends it.
func (r *slowRelay) serve(conn net.Conn) {
	defer conn.Close()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	go func() {
		io.Copy(target, conn)
		target.Close()
	}()
	late := make(chan lateBytes, 1000)
	go func() {
		defer close(late)
		for {
			b := make([]byte, 4<<10)
			n, err := target.Read(b)
			if err != nil {
				return
			}
			late <- lateBytes{b[:n], time.Now().Add(r.lag)}
		}
	}()
	for next := range late {
		time.Sleep(time.Until(next.at))
		if _, err := conn.Write(next.bytes); err != nil {
			target.Close() // ends the reads, and so the loop
		}
	}
}

// Guards against set-ups for servers that leave while the journal service is slow: its connection was given up again and
// again before its first line came (the review's case 3).
func TestLearnsOfDrainsFromSlowJournal(t *testing.T) {
	const lag = 2500 * time.Millisecond
	x := newTestFront(t, 1024)
	relay := newSlowRelay(t, x.journal.Addr(), lag)
	x.writeConfig(relay.listener.Addr().String(), 1024, settingsJSON)
	x.node.Reload()
	x.waitFor("the relay is followed", func() bool { return x.snapshot().Watch.Dials >= 2 })
	x.journal.AddServers(false, wire.HostDraining, x.servers[0])
	added := time.Now()
	position, _ := x.journal.Events()
	x.waitFor("the drain is known", func() bool { return x.snapshot().Pos == uint64(position) })
	if took := time.Since(added); took > lag+500*time.Millisecond {
		t.Errorf("the drain was known after %v, %v late", took, took-lag)
	}
	x.stopAll()
}

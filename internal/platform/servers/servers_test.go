package servers

import (
	"reflect"
	"testing"

	"tealledge/internal/front"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

const (
	start = 1000 * policy.Second
	ms    = policy.Millisecond
)

// rig plays the shell and servers 1 and 2.
type rig struct {
	t          *testing.T
	p          *Protocol
	now        Time
	dials      []Effect
	written    map[uint64][]*wire.Message // by connection
	bytes      map[uint64]uint64
	closed     map[uint64]bool
	halfClosed map[uint64]bool // the writing side is closed
	events     []front.Event
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: start, written: map[uint64][]*wire.Message{}, bytes: map[uint64]uint64{},
		closed: map[uint64]bool{}, halfClosed: map[uint64]bool{},
		p: New(Config{Classes: []string{"safe", "paid"}, Fields: []string{"x0", "x1"}, ConnectTimeout: 250 * ms,
			ProbeTimeout: 250 * ms})}
	r.p.Listed(r.now, []Server{{ID: 1, Addr: "a:1"}, {ID: 2, Addr: "a:2"}})
	return r
}

func (r *rig) take() {
	effects, events := r.p.Take()
	for _, a := range effects {
		switch {
		case a.Dial != "":
			r.dials = append(r.dials, a)
		case a.CloseWrite:
			r.halfClosed[a.Conn] = true
		case a.Close:
			r.closed[a.Conn] = true
		default:
			if r.halfClosed[a.Conn] {
				r.t.Error("write after the writing side was closed")
			}
			var dec wire.Decoder
			dec.Feed(a.Bytes)
			m, err := dec.Next()
			if err != nil || m == nil {
				r.t.Fatal("unreadable message:", err)
			}
			r.written[a.Conn] = append(r.written[a.Conn], m)
			r.bytes[a.Conn] += uint64(len(a.Bytes))
		}
	}
	r.events = append(r.events, events...)
}

func (r *rig) do(e front.Effect) { r.p.Apply(r.now, e); r.take() }

func (r *rig) setup(session uint64) {
	r.do(front.Setup{Session: session, Server: 1, Class: 1, Rung: 2, Name: "7f3a9c21e0b4d655", Text: "who",
		Timeout: 900 * ms})
}

// connect lets the most recent connect succeed and returns its connection.
func (r *rig) connect() uint64 {
	r.t.Helper()
	if len(r.dials) == 0 {
		r.t.Fatal("no connect")
	}
	a := r.dials[len(r.dials)-1]
	r.dials = nil
	r.p.Connected(r.now, a.Server, a.Conn)
	r.take()
	return a.Conn
}

func (r *rig) failDial(failure Failure) {
	r.t.Helper()
	if len(r.dials) == 0 {
		r.t.Fatal("no connect")
	}
	a := r.dials[0]
	r.dials = nil
	r.p.DialFailed(r.now, a.Server, a.Conn, failure)
	r.take()
}

func (r *rig) serverSends(conn uint64, list ...*wire.Message) {
	var b []byte
	for _, m := range list {
		b, _ = m.Append(b)
	}
	r.p.Received(r.now, 1, conn, b)
	r.take()
}

// lastWritten returns the last message written on a connection.
func (r *rig) lastWritten(conn uint64) *wire.Message {
	r.t.Helper()
	if len(r.written[conn]) == 0 {
		r.t.Fatal("nothing was written")
	}
	return r.written[conn][len(r.written[conn])-1]
}

func (r *rig) loseConn(conn, submitted uint64) { r.p.Lost(r.now, 1, conn, submitted); r.take() }

func (r *rig) advance(d Time) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * ms
		r.p.Tick(r.now)
		r.take()
	}
}

// checkEnded checks that the session got exactly one AttemptEnded event since the last call, with the wanted status.
func (r *rig) checkEnded(session uint64, want policy.Status) {
	r.t.Helper()
	var got []policy.Status
	for _, n := range r.events {
		if e, ok := n.(front.AttemptEnded); ok && e.Session == session {
			got = append(got, e.Status)
		}
	}
	if len(got) != 1 || got[0] != want {
		r.t.Errorf("session %d ended with %v, want %v once", session, got, want)
	}
	r.events = nil
}

func (r *rig) types(conn uint64) (list []wire.Type) {
	for _, m := range r.written[conn] {
		list = append(list, m.Type)
	}
	return list
}

func (r *rig) checkWritten(conn uint64, want ...wire.Type) {
	r.t.Helper()
	if got := r.types(conn); !reflect.DeepEqual(got, want) {
		r.t.Errorf("wrote %v, want %v", got, want)
	}
}

func (r *rig) checkEmpty() {
	r.t.Helper()
	r.advance(70 * policy.Second)
	remote := r.p.peers[1]
	if n, _, _ := r.p.Counts(); n != 0 || remote != nil &&
		len(remote.sessions)+len(remote.unsent)+len(remote.abandoned)+len(remote.pendingReleases)+len(remote.moving) != 0 {
		r.t.Errorf("state left over: %d attempts, %+v", n, remote)
	}
}

func ready(session uint64) *wire.Message {
	return (&wire.Message{Type: wire.Ready, Session: session}).Add(wire.ParamText, "mine")
}

func release(session uint64, cause uint8) *wire.Message {
	return (&wire.Message{Type: wire.Release, Session: session}).AddCause(cause)
}

// startSession sets a session up on a new connection until it plays.
func (r *rig) startSession(session uint64) uint64 {
	r.setup(session)
	conn := r.connect()
	r.serverSends(conn, ready(session))
	r.now += 2 * policy.Second
	r.events = nil
	return conn
}

// addSession sets a session up on the current connection until it plays.
func (r *rig) addSession(session uint64) {
	r.setup(session)
	r.serverSends(r.p.peers[1].current.id, ready(session))
	r.events = nil
}

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

// rig plays the shell, and servers 1 and 2.
type rig struct {
	t      *testing.T
	d      *Desk
	now    Time
	dials  []Act
	wrote  map[uint64][]*wire.Message // by connection
	bytes  map[uint64]uint64
	closed map[uint64]bool
	ending map[uint64]bool // the writing side has ended
	news   []front.Event
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: start, wrote: map[uint64][]*wire.Message{}, bytes: map[uint64]uint64{}, closed: map[uint64]bool{}, ending: map[uint64]bool{},
		d: New(Config{Classes: []string{"safe", "paid"}, Fields: []string{"x0", "x1"}, Connect: 250 * ms, ProbeWait: 250 * ms})}
	r.d.Listed(r.now, []Server{{ID: 1, Addr: "a:1"}, {ID: 2, Addr: "a:2"}})
	return r
}

func (r *rig) take() {
	acts, news := r.d.Take()
	for _, a := range acts {
		switch {
		case a.Dial != "":
			r.dials = append(r.dials, a)
		case a.Finish:
			r.ending[a.Conn] = true
		case a.Close:
			r.closed[a.Conn] = true
		default:
			if r.ending[a.Conn] {
				r.t.Error("written behind the end")
			}
			var dec wire.Decoder
			dec.Feed(a.Bytes)
			m, err := dec.Next()
			if err != nil || m == nil {
				r.t.Fatal("unreadable:", err)
			}
			r.wrote[a.Conn] = append(r.wrote[a.Conn], m)
			r.bytes[a.Conn] += uint64(len(a.Bytes))
		}
	}
	r.news = append(r.news, news...)
}

func (r *rig) do(e front.Effect) { r.d.Do(r.now, e); r.take() }

func (r *rig) setup(session uint64) {
	r.do(front.Setup{Session: session, Server: 1, Class: 1, Rung: 2, Name: "7f3a9c21e0b4d655", Text: "who", Within: 900 * ms})
}

// up lets the newest connect succeed and gives its connection.
func (r *rig) up() uint64 {
	r.t.Helper()
	if len(r.dials) == 0 {
		r.t.Fatal("no connect")
	}
	a := r.dials[len(r.dials)-1]
	r.dials = nil
	r.d.Connected(r.now, a.Server, a.Conn)
	r.take()
	return a.Conn
}

func (r *rig) fails(why Failure) {
	r.t.Helper()
	if len(r.dials) == 0 {
		r.t.Fatal("no connect")
	}
	a := r.dials[0]
	r.dials = nil
	r.d.DialFailed(r.now, a.Server, a.Conn, why)
	r.take()
}

func (r *rig) says(conn uint64, list ...*wire.Message) {
	var b []byte
	for _, m := range list {
		b, _ = m.Append(b)
	}
	r.d.Received(r.now, 1, conn, b)
	r.take()
}

// last gives what was written last.
func (r *rig) last(conn uint64) *wire.Message {
	r.t.Helper()
	if len(r.wrote[conn]) == 0 {
		r.t.Fatal("nothing was written")
	}
	return r.wrote[conn][len(r.wrote[conn])-1]
}

func (r *rig) lost(conn, begun uint64) { r.d.Lost(r.now, 1, conn, begun); r.take() }

func (r *rig) pass(d Time) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * ms
		r.d.Tick(r.now)
		r.take()
	}
}

// ended gives the one Ended among what came up since the last call.
func (r *rig) ended(session uint64, want policy.Status) {
	r.t.Helper()
	var got []policy.Status
	for _, n := range r.news {
		if e, ok := n.(front.Ended); ok && e.Session == session {
			got = append(got, e.Status)
		}
	}
	if len(got) != 1 || got[0] != want {
		r.t.Errorf("session %d ended as %v, want %v once", session, got, want)
	}
	r.news = nil
}

func (r *rig) types(conn uint64) (list []wire.Type) {
	for _, m := range r.wrote[conn] {
		list = append(list, m.Type)
	}
	return list
}

func (r *rig) wroteTypes(conn uint64, want ...wire.Type) {
	r.t.Helper()
	if got := r.types(conn); !reflect.DeepEqual(got, want) {
		r.t.Errorf("wrote %v, want %v", got, want)
	}
}

func (r *rig) empty() {
	r.t.Helper()
	r.pass(70 * policy.Second)
	l := r.d.lines[1]
	if n, _, _ := r.d.Counts(); n != 0 || l != nil && len(l.live)+len(l.waiting)+len(l.given)+len(l.doomed)+len(l.leaving) != 0 {
		r.t.Errorf("left over: %d attempts, %+v", n, l)
	}
}

func ready(session uint64) *wire.Message {
	return (&wire.Message{Type: wire.Ready, Session: session}).Add(wire.ParamText, "mine")
}

func release(session uint64, cause uint8) *wire.Message {
	return (&wire.Message{Type: wire.Release, Session: session}).AddCause(cause)
}

// plays sets a session up and has it stand.
func (r *rig) plays(session uint64) uint64 {
	r.setup(session)
	conn := r.up()
	r.says(conn, ready(session))
	r.now += 2 * policy.Second
	r.news = nil
	return conn
}

// plays2 has a session stand on the connection there is.
func (r *rig) plays2(session uint64) {
	r.setup(session)
	r.says(r.d.lines[1].cur.conn, ready(session))
	r.news = nil
}

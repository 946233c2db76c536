package core

import (
	"testing"

	"go.etcd.io/raft/v3"

	"tealledge/internal/fleet/ledger"
)

type silentLogger struct{ raft.Logger }

func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warningf(string, ...any) {}
func (silentLogger) Errorf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Panicf(f string, a ...any) {
	panic(f)
}

func newTestCore(t testing.TB, me string) *Core {
	t.Helper()
	n := uint64(0)
	c, err := New(1, Config{Name: me, Cluster: "t", Voters: []string{"a", "b", "c"},
		Random: func() uint64 { n++; return n }, Log: silentLogger{}}, StoredState{})
	if err != nil {
		t.Fatal(err)
	}
	c.SetMembers(2, []Member{{Name: "b", Alive: true}, {Name: "c", Alive: true}, {Name: "x", Alive: true}})
	c.Tick(3)
	c.TakeEffects()
	return c
}

// No message of a member makes a front panic; invalid messages are counted and don't change the replicated state.
func FuzzMessage(f *testing.F) {
	for _, kind := range []byte{msgRaft, msgIncarnation, msgIncarnationReply, msgReport, msgCommand, msgFetch,
		msgUpdate, msgWaitRequest, msgWaitReply, 'z'} {
		f.Add("b", append([]byte{kind}, `{"i":{"id":1},"l":1,"n":1,"s":{"1":{"Sessions":-1}}}`...))
		f.Add("x", []byte{kind, 8, 3, 16, 1, 24, 2, 32, 9, 48, 200, 1})
	}
	f.Fuzz(func(t *testing.T, from string, b []byte) {
		for _, me := range []string{"a", "x"} {
			c := newTestCore(t, me)
			c.Receive(4, from, b)
			c.Tick(int64(second))
			c.TakeEffects()
			if len(c.State().Works) > 0 && (me == "a" || from != "b") {
				t.Fatal("a single message created work")
			}
		}
	})
}

// Followers may request and cancel work and report it done. Only the leader may grant, advance or refuse it.
func TestRejectsLeaderCommandsFromFollowers(t *testing.T) {
	c := newTestCore(t, "a")
	for _, kind := range []ledger.Kind{ledger.KindGrant, ledger.KindAdvance, ledger.KindRefuse} {
		b, _ := ledger.Entry{Kind: kind, ID: 3, Key: "k"}.Encode()
		c.Receive(5, "x", append([]byte{msgCommand}, b...))
	}
	if c.Stats.Strangers != 3 {
		t.Fatalf("%+v", c.Stats)
	}
}

func TestResolveRejectsUnknownNames(t *testing.T) {
	c := newTestCore(t, "a")
	c.SetServers(4, []Server{{ID: 1, Rack: 0}, {ID: 2, Rack: 1, Zone: 1}, {ID: 3, Rack: 1, Zone: 1}}, nil)
	a, err := c.Resolve([]string{"3", "rack:1", "front:x", "server:1"})
	if err != nil || len(a.Servers) != 3 || a.Servers[0] != (ledger.Place{Server: 1}) || len(a.Fronts) != 1 {
		t.Fatalf("%+v %v", a, err)
	}
	for _, name := range []string{"server:9", "rack:7", "front:nobody", "shelf:1", "server:x", "-1", ""} {
		if a, err := c.Resolve([]string{name}); err == nil {
			t.Errorf("Resolve(%q) = %+v, want an error", name, a)
		}
	}
	if _, err := c.Resolve(nil); err == nil {
		t.Error("Resolve accepted an empty list of names")
	}
}

// Messages that are empty or longer than MaxMessageBytes are counted and not parsed.
func TestRejectsOversizedAndEmptyMessages(t *testing.T) {
	c := newTestCore(t, "a")
	c.Receive(5, "x", make([]byte, MaxMessageBytes+1))
	c.Receive(5, "x", nil)
	if c.Stats.Unreadable != 2 || c.Stats.LastBad == "" {
		t.Fatalf("%+v", c.Stats)
	}
}

package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func mustApply(t testing.TB, s *State, index uint64, e Entry) []Change {
	t.Helper()
	b, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(index, b)
}

func requestEntry(server uint32) Entry {
	return Entry{Kind: KindRequest, Request: &Request{WorkDuration: 1, Servers: []Place{{Server: server}}}}
}

// A grant that was decided on an older state, or a change of phase that does not fit the work, is rejected: two leaders
// would otherwise take too many machines out.
func TestRejectsStaleGrantsAndInvalidAdvances(t *testing.T) {
	s := New()
	mustApply(t, s, 2, requestEntry(1))
	mustApply(t, s, 3, requestEntry(2))
	if len(mustApply(t, s, 4, Entry{Kind: KindGrant, ID: 2, Basis: 0})) != 1 {
		t.Fatal("the first grant was rejected")
	}
	if len(mustApply(t, s, 5, Entry{Kind: KindGrant, ID: 3, Basis: 0})) != 0 || s.Work(3).Phase != Requested {
		t.Fatal("a grant decided without the first one was applied")
	}
	for name, e := range map[string]Entry{
		"another grant's fence": {Kind: KindAdvance, ID: 2, Fence: 3, PrevPhase: Granted, NextPhase: Draining},
		"a phase left out":      {Kind: KindAdvance, ID: 2, Fence: 4, PrevPhase: Granted, NextPhase: Out},
		"not granted":           {Kind: KindAdvance, ID: 3, PrevPhase: Requested, NextPhase: Out},
		"not out":               {Kind: KindDone, ID: 3},
		"no such work":          {Kind: KindCancel, ID: 99},
	} {
		if len(mustApply(t, s, s.Index+1, e)) != 0 {
			t.Errorf("%s: the entry was applied", name)
		}
	}
}

// An entry of a newer format or one that can't be decoded changes no work but is recorded; a newer snapshot and an
// entry that is too long are rejected.
func TestSkipsNewerAndUnreadableEntries(t *testing.T) {
	s := New()
	s.Apply(2, []byte(`{"v":2,"kind":"ask","ask":{"for":"soon"}}`))
	s.Apply(3, []byte(`{"v":1,"kind":`))
	if s.NewerFormat != 2 || s.Unreadable != 1 || len(s.Works) != 0 || s.Index != 3 {
		t.Fatalf("%+v", s)
	}
	if _, err := Restore([]byte(`{"v":2}`)); err == nil || !strings.Contains(err.Error(), "format is 2") {
		t.Fatalf("Restore of a snapshot of a newer format: %v", err)
	}
	if _, err := (Entry{Kind: KindRequest, Reason: strings.Repeat("x", MaxEntryBytes)}).Encode(); err == nil {
		t.Fatal("Encode accepted an entry longer than MaxEntryBytes")
	}
}

// For random entries: a state that is restored from a snapshot after each entry stays equal to one that is not, no work
// leaves a final phase, and a duplicate entry changes nothing.
func TestRandomEntriesSurviveSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New()
		b := New()
		for i := range rapid.IntRange(1, 60).Draw(t, "entries") {
			id := uint64(rapid.IntRange(1, i+2).Draw(t, "id"))
			e := Entry{
				Kind: rapid.SampledFrom([]Kind{KindRequest, KindGrant, KindAdvance, KindRefuse, KindCancel, KindDone,
					"no"}).Draw(t, "kind"),
				At: Time(rapid.IntRange(0, 100).Draw(t, "at")), ID: id,
				Key:       rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "key"),
				Request:   requestEntry(uint32(id)).Request,
				PrevPhase: rapid.SampledFrom([]Phase{Granted, Draining, Out, Back}).Draw(t, "was")}
			e.NextPhase = map[Phase]Phase{Granted: Draining, Draining: Out, Out: Back, Back: Done}[e.PrevPhase]
			if e.Basis = a.LastGrant; rapid.IntRange(0, 4).Draw(t, "old") == 0 {
				e.Basis = 0
			}
			if w := a.Work(id); w != nil {
				e.Fence = w.Fence
			}
			data, _ := e.Encode()
			for _, c := range a.Apply(uint64(i+2), data) {
				if c.PrevPhase.Ended() {
					t.Fatalf("work in the final phase %s changed to %s", c.PrevPhase, c.Work.Phase)
				}
			}
			if len(a.Apply(uint64(i+2), data)) != 0 {
				t.Fatal("a duplicate entry changed the state")
			}
			b.Apply(uint64(i+2), data)
			snap, _ := b.Snapshot()
			var err error
			if b, err = Restore(snap); err != nil {
				t.Fatal(err)
			}
		}
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Fatalf("states differ:\n%s\n%s", x, y)
		}
	})
}

// Ended work, open work and stored results stay within their limits.
func TestLimitsStoredWorksAndKeys(t *testing.T) {
	s := New()
	index := uint64(1)
	for i := range MaxOpenWorks + MaxEndedWorks + 10 {
		index++
		e := requestEntry(uint32(i))
		e.Key = fmt.Sprint(i)
		mustApply(t, s, index, e)
		if id := s.Keys[e.Key].ID; i > MaxOpenWorks/2 && id != 0 {
			index++
			mustApply(t, s, index, Entry{Kind: KindCancel, ID: id, Key: fmt.Sprint("c", i)})
		}
	}
	ended := 0
	for _, w := range s.Works {
		if w.Phase.Ended() {
			ended++
		}
	}
	if ended > MaxEndedWorks || len(s.Works)-ended > MaxOpenWorks || len(s.Keys) > maxKeys {
		t.Fatalf("%d ended, %d open, %d keys", ended, len(s.Works)-ended, len(s.Keys))
	}
}

func FuzzApply(f *testing.F) {
	for _, e := range []Entry{requestEntry(1), {Kind: KindGrant, ID: 2},
		{Kind: KindAdvance, ID: 2, PrevPhase: Granted, NextPhase: Draining}} {
		b, _ := e.Encode()
		f.Add(b)
	}
	f.Add([]byte(`{"v":9}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New()
		mustApply(t, s, 2, requestEntry(1))
		s.Apply(3, b)
		snap, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if r, err := Restore(snap); err != nil || r.Index != 3 {
			t.Fatalf("%v, or a wrong index, after %s", err, b)
		}
	})
}

func FuzzRestore(f *testing.F) {
	s := New()
	mustApply(f, s, 2, requestEntry(1))
	b, _ := s.Snapshot()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Restore(b)
		if err != nil {
			return
		}
		s.Apply(s.Index+1, []byte(`{"v":1,"kind":"cancel","id":2}`))
		if _, err := json.Marshal(s); err != nil {
			t.Fatal(err)
		}
	})
}

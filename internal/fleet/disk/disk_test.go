package disk

import (
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	pb "go.etcd.io/raft/v3/raftpb"

	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/quorum"
	"tealledge/internal/store/crashfs"
)

func entries(term uint64, from, to uint64) (list []*pb.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, &pb.Entry{Term: &term, Index: &i, Data: []byte{byte(term)}})
	}
	return list
}

func hardState(term, vote uint64) *pb.HardState {
	return &pb.HardState{Term: &term, Vote: &vote, Commit: new(uint64)}
}

func snapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{Index: &index, Term: &index}}
}

// TestReopenReadsWhatWasWritten: a reopened disk gives what the last writes left: a rewritten end of the log, a
// compacted beginning, a snapshot in place of all entries, and only the incarnations of other voters after a
// wipe.
func TestReopenReadsWhatWasWritten(t *testing.T) {
	fs := vfs.NewMem()
	d, start, err := Open("d", fs)
	if err != nil || !start.Disk.Empty() || start.Identity.ID != 0 {
		t.Fatal(start, err)
	}
	for _, c := range []struct {
		w           core.Write
		first, last uint64
		term        uint64 // of the last entry
	}{
		{core.Write{Identity: &quorum.Identity{ID: 7, Incarnation: 1}, Hard: hardState(1, 7),
			Entries: entries(1, 1, 9)}, 1, 9, 1},
		{core.Write{Hard: hardState(2, 8), Entries: entries(2, 5, 6)}, 1, 6, 2},
		{core.Write{Snap: snapshot(4), FirstIndex: 3}, 3, 6, 2},
		{core.Write{Snap: snapshot(20)}, 0, 0, 0},
		{core.Write{Entries: entries(3, 21, 22)}, 21, 22, 3},
		{core.Write{Incarnations: quorum.Incarnations{9: {ID: 9, Incarnation: 2}}, State: []byte("x")}, 21, 22, 3},
	} {
		if err := d.Write(c.w); err != nil {
			t.Fatal(err)
		}
		d.Close()
		if d, start, err = Open("d", fs); err != nil {
			t.Fatal(err)
		}
		e := start.Disk.Entries
		if len(e) != int(c.last-c.first)+1 && c.last > 0 || c.last == 0 && len(e) > 0 {
			t.Fatalf("%+v: %d entries", c, len(e))
		}
		if c.last > 0 && (e[0].GetIndex() != c.first || e[len(e)-1].GetIndex() != c.last ||
			e[len(e)-1].GetTerm() != c.term) {
			t.Fatalf("%+v: %v", c, e)
		}
	}
	if start.Disk.Hard.GetVote() != 8 || start.Identity.ID != 7 || start.Incarnations[9].Incarnation != 2 ||
		string(start.State) != "x" {
		t.Fatalf("%+v", start)
	}
	if err := d.Write(core.Write{Wipe: true}); err != nil {
		t.Fatal(err)
	}
	d.Close()
	if d, start, err = Open("d", fs); err != nil || !start.Disk.Empty() || start.Identity.ID != 0 ||
		start.Incarnations[9].Incarnation != 2 {
		t.Fatal(start, err)
	}
	d.Close()
}

// TestVoteAndEntriesSurviveCrash cuts the power at every disk operation in turn: a vote that was written and an entry
// that was acknowledged must never be lost.
func TestVoteAndEntriesSurviveCrash(t *testing.T) {
	points := 0
	for n := 1; ; n++ {
		fs := crashfs.New()
		fs.FailFrom(n, 50, uint64(n))
		votedTerm, lastEntry := uint64(0), uint64(0)
		if d, _, err := Open("d", fs); err == nil {
			for term := uint64(1); term <= 4; term++ {
				if d.Write(core.Write{Hard: hardState(term, term), Entries: entries(term, term, term)}) != nil {
					break
				}
				votedTerm, lastEntry = term, term
			}
			d.Close()
		}
		after := fs.AfterCrash()
		if after == nil {
			break
		}
		points++
		d, start, err := Open("d", after)
		if err != nil {
			if votedTerm > 0 {
				t.Fatalf("operation %d: %v", n, err)
			}
			continue
		}
		if start.Disk.Hard.GetTerm() < votedTerm || uint64(len(start.Disk.Entries)) < lastEntry {
			t.Fatalf("operation %d: voted in term %d, the disk has term %d and %d entries", n, votedTerm,
				start.Disk.Hard.GetTerm(), len(start.Disk.Entries))
		}
		d.Close()
	}
	if points < 20 {
		t.Fatalf("only %d crash points", points)
	}
}

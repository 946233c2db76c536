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

func hard(term, vote uint64) *pb.HardState {
	return &pb.HardState{Term: &term, Vote: &vote, Commit: new(uint64)}
}

func snap(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{Index: &index, Term: &index}}
}

// What is read is what the last writes left: a rewritten end of the log, a compacted beginning, a snapshot in the place of
// all, and nothing but others' lives after a wipe.
func TestLog(t *testing.T) {
	fs := vfs.NewMem()
	d, start, err := Open("d", fs)
	if err != nil || !start.Disk.Empty() || start.Identity.ID != 0 {
		t.Fatal(start, err)
	}
	for _, c := range []struct {
		w           core.Write
		first, last uint64
		term        uint64 // of the last
	}{
		{core.Write{Identity: &quorum.Identity{ID: 7, Life: 1}, Hard: hard(1, 7), Entries: entries(1, 1, 9)}, 1, 9, 1},
		{core.Write{Hard: hard(2, 8), Entries: entries(2, 5, 6)}, 1, 6, 2},
		{core.Write{Snap: snap(4), First: 3}, 3, 6, 2},
		{core.Write{Snap: snap(20)}, 0, 0, 0},
		{core.Write{Entries: entries(3, 21, 22)}, 21, 22, 3},
		{core.Write{Lives: quorum.Lives{9: {ID: 9, Life: 2}}, State: []byte("x")}, 21, 22, 3},
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
		if c.last > 0 && (e[0].GetIndex() != c.first || e[len(e)-1].GetIndex() != c.last || e[len(e)-1].GetTerm() != c.term) {
			t.Fatalf("%+v: %v", c, e)
		}
	}
	if start.Disk.Hard.GetVote() != 8 || start.Identity.ID != 7 || start.Lives[9].Life != 2 || string(start.State) != "x" {
		t.Fatalf("%+v", start)
	}
	if err := d.Write(core.Write{Wipe: true}); err != nil {
		t.Fatal(err)
	}
	d.Close()
	if d, start, err = Open("d", fs); err != nil || !start.Disk.Empty() || start.Identity.ID != 0 || start.Lives[9].Life != 2 {
		t.Fatal(start, err)
	}
	d.Close()
}

// The power goes at every operation: a vote that was written is never forgotten, nor an entry that was acknowledged.
func TestAVoteSurvivesEveryCrash(t *testing.T) {
	points := 0
	for n := 1; ; n++ {
		fs := crashfs.New()
		fs.FailFrom(n, 50, uint64(n))
		voted, last := uint64(0), uint64(0)
		if d, _, err := Open("d", fs); err == nil {
			for term := uint64(1); term <= 4; term++ {
				if d.Write(core.Write{Hard: hard(term, term), Entries: entries(term, term, term)}) != nil {
					break
				}
				voted, last = term, term
			}
			d.Close()
		}
		after := fs.After()
		if after == nil {
			break
		}
		points++
		d, start, err := Open("d", after)
		if err != nil {
			if voted > 0 {
				t.Fatalf("operation %d: %v", n, err)
			}
			continue
		}
		if start.Disk.Hard.GetTerm() < voted || uint64(len(start.Disk.Entries)) < last {
			t.Fatalf("operation %d: voted in term %d, the disk knows %d and %d entries", n, voted, start.Disk.Hard.GetTerm(), len(start.Disk.Entries))
		}
		d.Close()
	}
	if points < 20 {
		t.Fatalf("%d points only", points)
	}
}

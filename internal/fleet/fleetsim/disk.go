package fleetsim

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"tealledge/internal/fleet/core"
)

// write carries out a core.Write effect on a simulated disk.
func (d *Disk) write(w core.Write) {
	if w.Wipe {
		*d = Disk{Incarnations: d.Incarnations}
	}
	if w.Identity != nil {
		d.Identity = *w.Identity
	}
	if w.Incarnations != nil {
		d.Incarnations = w.Incarnations
	}
	if w.Hard != nil {
		d.Disk.Hard = w.Hard
	}
	if w.State != nil {
		d.State = w.State
	}
	if w.Snap != nil {
		d.Disk.Snap = w.Snap
		if w.FirstIndex == 0 {
			d.Disk.Entries = nil
		}
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		d.Disk.Entries = slices.DeleteFunc(slices.Clone(d.Disk.Entries),
			func(e *pb.Entry) bool { return e.GetIndex() >= first })
		d.Disk.Entries = append(d.Disk.Entries, w.Entries...)
	}
	if w.FirstIndex > 0 {
		d.Disk.Entries = slices.DeleteFunc(slices.Clone(d.Disk.Entries),
			func(e *pb.Entry) bool { return e.GetIndex() < w.FirstIndex })
	}
}

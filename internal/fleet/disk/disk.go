// Package disk keeps what a front's part in the fleet must not forget: whose disk it is, the lives of other voters' disks,
// the agreed record's log and snapshot, or a follower's last state. Every Write is one synced batch: whole or not there at
// all. It may import the store library, the core's types and nothing of the front.
package disk

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/quorum"
)

// format of what is kept; a newer one is refused.
const format = 1

var (
	keyFormat   = []byte("format")
	keyIdentity = []byte("identity")
	keyLives    = []byte("lives")
	keyHard     = []byte("hard")
	keySnap     = []byte("snap")
	keyState    = []byte("state")
)

// entriesMost bounds the log that is read: more than compaction ever leaves.
const entriesMost = 1 << 20

func keyEntry(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte("e/"), index) }

// Disk is open.
type Disk struct{ db *pebble.DB }

// Open opens or makes a disk in a directory and reads what it holds.
func Open(dir string, fs vfs.FS) (d *Disk, start core.Start, err error) {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, start, fmt.Errorf("fleet's disk: %w", err)
	}
	d = &Disk{}
	err = guarded(func() (err error) {
		d.db, err = pebble.Open(dir, &pebble.Options{FS: fs, Logger: silent{}, MemTableSize: 1 << 20, CacheSize: 1 << 20})
		return err
	})
	if err != nil {
		return nil, start, fmt.Errorf("fleet's disk %s: %w", dir, err)
	}
	err = guarded(func() (err error) { start, err = d.load(); return err })
	if err != nil {
		return nil, start, errors.Join(fmt.Errorf("fleet's disk %s: %w", dir, err), guarded(d.db.Close))
	}
	return d, start, nil
}

func (d *Disk) load() (s core.Start, err error) {
	if v, ok, err := d.get(keyFormat); err != nil {
		return s, err
	} else if ok && (len(v) != 1 || v[0] > format) {
		return s, fmt.Errorf("its format is %v, this program knows %d", v, format)
	}
	if err := d.json(keyIdentity, &s.Identity); err != nil {
		return s, err
	}
	if err := d.json(keyLives, &s.Lives); err != nil {
		return s, err
	}
	if s.State, _, err = d.get(keyState); err != nil {
		return s, err
	}
	s.Disk = &quorum.Disk{Hard: &pb.HardState{}, Snap: &pb.Snapshot{}}
	for key, m := range map[string]proto.Message{string(keyHard): s.Disk.Hard, string(keySnap): s.Disk.Snap} {
		if v, ok, err := d.get([]byte(key)); err != nil {
			return s, err
		} else if ok {
			if err := proto.Unmarshal(v, m); err != nil {
				return s, fmt.Errorf("%s: %w", key, err)
			}
		}
	}
	it, err := d.db.NewIter(&pebble.IterOptions{LowerBound: keyEntry(0), UpperBound: []byte("e0")})
	if err != nil {
		return s, err
	}
	for it.First(); it.Valid(); it.Next() {
		e := &pb.Entry{}
		if err := proto.Unmarshal(it.Value(), e); err != nil || string(keyEntry(e.GetIndex())) != string(it.Key()) || len(s.Disk.Entries) >= entriesMost {
			return s, errors.Join(fmt.Errorf("a damaged entry at %x", it.Key()), err, it.Close())
		}
		s.Disk.Entries = append(s.Disk.Entries, e)
	}
	return s, it.Close()
}

func (d *Disk) get(key []byte) ([]byte, bool, error) {
	v, closer, err := d.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer closer.Close()
	return append([]byte(nil), v...), true, nil
}

func (d *Disk) json(key []byte, to any) error {
	v, ok, err := d.get(key)
	if err != nil || !ok {
		return err
	}
	if err := json.Unmarshal(v, to); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// Write writes a core's Write; it is on disk when this returns.
func (d *Disk) Write(w core.Write) error {
	return guarded(func() error {
		b := d.db.NewBatch()
		defer b.Close()
		var errs []error
		set := func(key []byte, v []byte, err error) { errs = append(errs, err, b.Set(key, v, nil)) }
		set(keyFormat, []byte{format}, nil)
		cut := func(from, to []byte) { errs = append(errs, b.DeleteRange(from, to, nil)) }
		if w.Wipe {
			cut(keyEntry(0), []byte("e0"))
			for _, key := range [][]byte{keyIdentity, keyHard, keySnap, keyState} {
				errs = append(errs, b.Delete(key, nil))
			}
		}
		if w.Identity != nil {
			v, err := json.Marshal(w.Identity)
			set(keyIdentity, v, err)
		}
		if w.Lives != nil {
			v, err := json.Marshal(w.Lives)
			set(keyLives, v, err)
		}
		if w.Hard != nil {
			v, err := proto.Marshal(w.Hard)
			set(keyHard, v, err)
		}
		if w.Snap != nil {
			v, err := proto.Marshal(w.Snap)
			set(keySnap, v, err)
			if w.First == 0 { // taken from the leader in place of all that was here
				cut(keyEntry(0), []byte("e0"))
			}
		}
		if w.First > 0 {
			cut(keyEntry(0), keyEntry(w.First))
		}
		if len(w.Entries) > 0 { // what is written replaces all from there on
			cut(keyEntry(w.Entries[0].GetIndex()), []byte("e0"))
			for _, e := range w.Entries {
				v, err := proto.Marshal(e)
				set(keyEntry(e.GetIndex()), v, err)
			}
		}
		if w.State != nil {
			set(keyState, w.State, nil)
		}
		if err := errors.Join(errs...); err != nil {
			return err
		}
		return b.Commit(pebble.Sync)
	})
}

// Close closes the disk.
func (d *Disk) Close() error { return guarded(d.db.Close) }

// guarded turns a panic of the library, on damaged files or a disk that fails, into an error.
func guarded(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if e, ok := r.(runtime.Error); ok {
				panic(e)
			}
			err = fmt.Errorf("%v", r)
		}
	}()
	return f()
}

type silent struct{}

func (silent) Infof(string, ...any)           {}
func (silent) Errorf(string, ...any)          {}
func (silent) Fatalf(format string, a ...any) { panic(fmt.Sprintf(format, a...)) }

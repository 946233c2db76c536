// Package disk stores what a front's part in the fleet must not lose: the identity of the disk, the incarnations of
// other voters' disks, the log and snapshot of the replicated record, or a follower's last state. Every Write is one
// synced batch: it is stored completely or not at all. It may import the store library, the core's types and nothing
// of the front.
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

// format is the version of the stored data; a newer one is refused.
const format = 1

var (
	keyFormat       = []byte("format")
	keyIdentity     = []byte("identity")
	keyIncarnations = []byte("lives")
	keyHard         = []byte("hard")
	keySnap         = []byte("snap")
	keyState        = []byte("state")
)

// maxEntries limits the log entries that are read: more than compaction ever leaves.
const maxEntries = 1 << 20

func keyEntry(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte("e/"), index) }

// Disk is an open disk.
type Disk struct{ db *pebble.DB }

// Open opens or creates a disk in a directory and reads what it holds.
func Open(dir string, fs vfs.FS) (d *Disk, start core.StoredState, err error) {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, start, fmt.Errorf("fleet's disk: %w", err)
	}
	d = &Disk{}
	err = recoverPanic(func() (err error) {
		d.db, err = pebble.Open(dir, &pebble.Options{FS: fs, Logger: silentLogger{}, MemTableSize: 1 << 20,
			CacheSize: 1 << 20})
		return err
	})
	if err != nil {
		return nil, start, fmt.Errorf("fleet's disk %s: %w", dir, err)
	}
	err = recoverPanic(func() (err error) { start, err = d.load(); return err })
	if err != nil {
		return nil, start, errors.Join(fmt.Errorf("fleet's disk %s: %w", dir, err), recoverPanic(d.db.Close))
	}
	return d, start, nil
}

// load reads all that is stored.
func (d *Disk) load() (s core.StoredState, err error) {
	if v, ok, err := d.get(keyFormat); err != nil {
		return s, err
	} else if ok && (len(v) != 1 || v[0] > format) {
		return s, fmt.Errorf("its format is %v, this program knows %d", v, format)
	}
	if err := d.getJSON(keyIdentity, &s.Identity); err != nil {
		return s, err
	}
	if err := d.getJSON(keyIncarnations, &s.Incarnations); err != nil {
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
		if err := proto.Unmarshal(it.Value(), e); err != nil || string(keyEntry(e.GetIndex())) != string(it.Key()) ||
			len(s.Disk.Entries) >= maxEntries {
			return s, errors.Join(fmt.Errorf("damaged log entry at key %x", it.Key()), err, it.Close())
		}
		s.Disk.Entries = append(s.Disk.Entries, e)
	}
	return s, it.Close()
}

// get returns a copy of the value of a key, and whether there is one.
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

// getJSON decodes the value of a key into dst, which stays as it is if there is none.
func (d *Disk) getJSON(key []byte, dst any) error {
	v, ok, err := d.get(key)
	if err != nil || !ok {
		return err
	}
	if err := json.Unmarshal(v, dst); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// Write carries out a core.Write effect; the data is on disk when it returns.
func (d *Disk) Write(w core.Write) error {
	return recoverPanic(func() error {
		b := d.db.NewBatch()
		defer b.Close()
		var errs []error
		set := func(key []byte, v []byte, err error) { errs = append(errs, err, b.Set(key, v, nil)) }
		set(keyFormat, []byte{format}, nil)
		deleteRange := func(from, to []byte) { errs = append(errs, b.DeleteRange(from, to, nil)) }
		if w.Wipe {
			deleteRange(keyEntry(0), []byte("e0"))
			for _, key := range [][]byte{keyIdentity, keyHard, keySnap, keyState} {
				errs = append(errs, b.Delete(key, nil))
			}
		}
		if w.Identity != nil {
			v, err := json.Marshal(w.Identity)
			set(keyIdentity, v, err)
		}
		if w.Incarnations != nil {
			v, err := json.Marshal(w.Incarnations)
			set(keyIncarnations, v, err)
		}
		if w.Hard != nil {
			v, err := proto.Marshal(w.Hard)
			set(keyHard, v, err)
		}
		if w.Snap != nil {
			v, err := proto.Marshal(w.Snap)
			set(keySnap, v, err)
			if w.FirstIndex == 0 { // the leader's snapshot replaces the whole log
				deleteRange(keyEntry(0), []byte("e0"))
			}
		}
		if w.FirstIndex > 0 {
			deleteRange(keyEntry(0), keyEntry(w.FirstIndex))
		}
		if len(w.Entries) > 0 { // new entries replace all from the first of them on
			deleteRange(keyEntry(w.Entries[0].GetIndex()), []byte("e0"))
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
func (d *Disk) Close() error { return recoverPanic(d.db.Close) }

// recoverPanic turns a panic of the library, on damaged files or a failing disk, into an error. Runtime errors still
// panic.
func recoverPanic(f func() error) (err error) {
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

// silentLogger drops the library's log lines; a fatal one panics.
type silentLogger struct{}

func (silentLogger) Infof(string, ...any)           {}
func (silentLogger) Errorf(string, ...any)          {}
func (silentLogger) Fatalf(format string, a ...any) { panic(fmt.Sprintf(format, a...)) }

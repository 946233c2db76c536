// Package crashfs is a file system for tests that fails on demand: from a chosen operation on, every write, sync,
// create, rename and remove fails. It also provides the state after a power loss at that operation: unsynced data is
// there only in part, and whole blocks may be missing before later ones that are present.
package crashfs

import (
	"errors"
	"math/rand/v2"
	"os"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// ErrFailed is returned by operations once the file system has failed.
var ErrFailed = errors.New("crashfs: the file system has failed")

// FS is a file system in memory that counts the modifying operations and fails from one of them on.
type FS struct {
	vfs.FS
	mem *vfs.MemFS

	mu       sync.Mutex
	ops      int
	failFrom int // the operation from which all fail; 0: never
	crashed  *vfs.MemFS
	crash    func() *vfs.MemFS
}

// New returns an empty file system.
func New() *FS { return NewFrom(vfs.NewCrashableMem()) }

// NewFrom returns a file system with the files that a crash left behind.
func NewFrom(mem *vfs.MemFS) *FS { return &FS{FS: mem, mem: mem} }

// FailFrom makes all operations from the n-th on fail. unsyncedPercent is the percentage of the data not synced by then
// that survives the crash, chosen randomly block by block from a seed.
func (f *FS) FailFrom(n, unsyncedPercent int, seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failFrom = n
	f.crash = func() *vfs.MemFS {
		return f.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: unsyncedPercent,
			RNG: rand.New(rand.NewPCG(seed, uint64(n)))})
	}
}

// Ops returns the number of operations so far.
func (f *FS) Ops() int { f.mu.Lock(); defer f.mu.Unlock(); return f.ops }

// AfterCrash returns the files that the crash left behind, nil if there was no crash.
func (f *FS) AfterCrash() *vfs.MemFS { f.mu.Lock(); defer f.mu.Unlock(); return f.crashed }

// countOp counts an operation and returns an error if it must not be executed.
func (f *FS) countOp() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops++
	if f.failFrom == 0 || f.ops < f.failFrom {
		return nil
	}
	if f.crashed == nil {
		f.crashed = f.crash()
	}
	return ErrFailed
}

// file is an open file whose modifying operations are counted.
type file struct {
	vfs.File
	fs *FS
}

func (f *FS) wrap(x vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{x, f}, nil
}

// Create creates a file.
func (f *FS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.countOp(); err != nil {
		return nil, err
	}
	return f.wrap(f.FS.Create(name, c))
}

// OpenReadWrite opens a file for reading and writing.
func (f *FS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return f.wrap(f.FS.OpenReadWrite(name, c, opts...))
}

// OpenDir opens a directory, which allows it to be synced.
func (f *FS) OpenDir(name string) (vfs.File, error) { return f.wrap(f.FS.OpenDir(name)) }

// ReuseForWrite renames a file and opens it for writing.
func (f *FS) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.countOp(); err != nil {
		return nil, err
	}
	return f.wrap(f.FS.ReuseForWrite(old, name, c))
}

// Rename renames a file.
func (f *FS) Rename(old, name string) error {
	if err := f.countOp(); err != nil {
		return err
	}
	return f.FS.Rename(old, name)
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	if err := f.countOp(); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

// MkdirAll creates a directory with its parents.
func (f *FS) MkdirAll(dir string, perm os.FileMode) error {
	if err := f.countOp(); err != nil {
		return err
	}
	return f.FS.MkdirAll(dir, perm)
}

func (x *file) Write(p []byte) (int, error) {
	if err := x.fs.countOp(); err != nil {
		return 0, err
	}
	return x.File.Write(p)
}

func (x *file) WriteAt(p []byte, at int64) (int, error) {
	if err := x.fs.countOp(); err != nil {
		return 0, err
	}
	return x.File.WriteAt(p, at)
}

func (x *file) Sync() error {
	if err := x.fs.countOp(); err != nil {
		return err
	}
	return x.File.Sync()
}

func (x *file) SyncData() error {
	if err := x.fs.countOp(); err != nil {
		return err
	}
	return x.File.SyncData()
}

func (x *file) SyncTo(length int64) (bool, error) {
	if err := x.fs.countOp(); err != nil {
		return false, err
	}
	return x.File.SyncTo(length)
}

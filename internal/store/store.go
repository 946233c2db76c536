// Package store persists the state that a front needs after a restart: open sessions, paid attempts that may have run,
// its own record of servers, and when it was last alive. decide/recovery decides what a restarted front restores of it.
//
// One goroutine writes; all writes that arrive while a batch is being synced form the next batch (group commit), so a
// set-up waits for one or two syncs under any load. The store carries a format number, each record a checksum; a
// damaged record is skipped and counted, the others are used. The number of sessions is bounded by MaxSessions.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"tealledge/decide/recovery"
)

// formatVersion is the format of the records. A store with an older format is migrated when it is opened, one with a
// newer format is rejected.
const formatVersion = 2

// MaxSessions bounds the number of sessions stored.
const MaxSessions = 200_000

// Keys consist of a letter for the kind and a number. Meta records have a name.
const (
	keySession = 's'
	keyServer  = 'v'
	keyFormat  = "m/format"
	keyAlive   = "m/alive"
)

// State is the content of a store when it was opened.
type State struct {
	AliveAt  int64 // when the front was last alive, nanoseconds; 0: unknown
	Sessions []recovery.Session
	Servers  []recovery.Server
	Damaged  int // damaged records, which were skipped
}

// Store is an open store. Its methods may be called from one goroutine; another one writes the records.
type Store struct {
	db          *pebble.DB
	lock        *pebble.Lock
	mu          sync.Mutex
	pendingCond sync.Cond
	pending     []op
	closed      bool
	done        chan struct{}
	sessionIDs  map[uint64]bool // stored sessions, to enforce MaxSessions
	writeErr    error           // set by the writing goroutine once nothing can be written any more
	Syncs       int             // commits so far, for tests and benchmarks; read it after Close
}

// op is a write or the deletion of a record.
type op struct {
	key        []byte
	value      []byte // encoded by the writing goroutine if record is set; if neither is set, the key is deleted
	record     any
	done       func(took time.Duration, err error)
	enqueuedAt time.Time
}

// maxQueued bounds the records that wait to be written; when it is reached, a write fails at once.
const maxQueued = 100_000

// ErrLocked is returned when another process has the store open. Its files must not be touched.
var ErrLocked = errors.New("another process has it open")

// ErrFull is returned when too many records wait to be written or MaxSessions is reached.
var ErrFull = errors.New("store: too many sessions or pending writes")

// Open opens or creates a store in a directory and reads its content. It returns an error if the store can't be read;
// the caller may move the directory away and start with an empty store.
func Open(dir string, fs vfs.FS) (*Store, *State, error) {
	opts := &pebble.Options{FS: fs, Logger: discardLogger{}, MemTableSize: 4 << 20}
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", dir, err)
	}
	lock, err := pebble.LockDirectory(dir, fs)
	if err != nil {
		return nil, nil, fmt.Errorf("store %s: %w: %w", dir, ErrLocked, err)
	}
	opts.Lock = lock
	fail := func(err error) (*Store, *State, error) {
		return nil, nil, errors.Join(fmt.Errorf("store %s: %w", dir, err), lock.Close())
	}
	var db *pebble.DB
	err = runIsolated(func() (err error) { db, err = pebble.Open(dir, opts); return err })
	if err != nil {
		return fail(err)
	}
	s := &Store{db: db, lock: lock, done: make(chan struct{}), sessionIDs: map[uint64]bool{}}
	s.pendingCond.L = &s.mu
	var state *State
	if err := runIsolated(func() (err error) { state, err = s.load(); return err }); err != nil {
		return fail(errors.Join(err, runIsolated(db.Close)))
	}
	go s.write()
	return s, state, nil
}

// load reads all records and migrates an older format.
func (s *Store) load() (*State, error) {
	state := &State{}
	storedFormat := uint64(0)
	if v, ok, err := s.get(keyFormat); err != nil {
		return nil, err
	} else if ok {
		storedFormat = binary.LittleEndian.Uint64(v)
	}
	if storedFormat > formatVersion {
		return nil, fmt.Errorf("its format is %d, this program supports up to %d", storedFormat, formatVersion)
	}
	if v, ok, err := s.get(keyAlive); err != nil {
		return nil, err
	} else if ok && len(v) == 8 {
		state.AliveAt = int64(binary.LittleEndian.Uint64(v))
	}
	it, err := s.db.NewIter(nil)
	if err != nil {
		return nil, err
	}
	for it.First(); it.Valid(); it.Next() {
		key := it.Key()
		if len(key) != 9 {
			continue
		}
		body, ok := verifyChecksum(it.Value())
		switch {
		case !ok:
			state.Damaged++
		case key[0] == keySession:
			var x recovery.Session
			if json.Unmarshal(body, &x) != nil || x.Ask.ID != binary.BigEndian.Uint64(key[1:]) {
				state.Damaged++
				continue
			}
			s.sessionIDs[x.Ask.ID] = true
			state.Sessions = append(state.Sessions, x)
		case key[0] == keyServer:
			var x recovery.Server
			if json.Unmarshal(body, &x) != nil {
				state.Damaged++
				continue
			}
			state.Servers = append(state.Servers, x)
		}
	}
	if err := errors.Join(it.Error(), it.Close()); err != nil {
		return nil, err
	}
	if storedFormat < formatVersion { // format 1 had no sessions; its other records are the same
		return state, s.db.Set([]byte(keyFormat),
			addChecksum(binary.LittleEndian.AppendUint64(nil, formatVersion)), pebble.Sync)
	}
	return state, nil
}

// get reads a meta record, whose body has 8 bytes. ok is false if it is absent or damaged.
func (s *Store) get(key string) (body []byte, ok bool, err error) {
	v, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer closer.Close()
	body, ok = verifyChecksum(append([]byte(nil), v...))
	return body, ok && len(body) == 8, nil
}

// addChecksum returns a record's body preceded by its checksum.
func addChecksum(body []byte) []byte {
	return append(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(body)), body...)
}

// verifyChecksum returns a record's body without its checksum; ok is false for a damaged record.
func verifyChecksum(v []byte) (body []byte, ok bool) {
	if len(v) < 8 {
		return nil, false
	}
	return v[8:], xxhash.Sum64(v[8:]) == binary.LittleEndian.Uint64(v)
}

// recordKey returns the key of a record of a kind.
func recordKey(kind byte, n uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, n) }

// PutSession writes a session's record. done, if not nil, is called from another goroutine once the record is durable
// or the write has failed.
func (s *Store) PutSession(x *recovery.Session, done func(took time.Duration, err error)) {
	s.mu.Lock()
	full := len(s.sessionIDs) >= MaxSessions && !s.sessionIDs[x.Ask.ID]
	if !full {
		s.sessionIDs[x.Ask.ID] = true
	}
	s.mu.Unlock()
	var err error
	if full {
		err = ErrFull
	}
	copied := *x
	s.enqueue(op{key: recordKey(keySession, x.Ask.ID), record: &copied, done: done}, err)
}

// DeleteSession deletes a session's record.
func (s *Store) DeleteSession(id uint64) {
	s.mu.Lock()
	stored := s.sessionIDs[id]
	delete(s.sessionIDs, id)
	s.mu.Unlock()
	if stored {
		s.enqueue(op{key: recordKey(keySession, id)}, nil)
	}
}

// PutServer writes the record of a server.
func (s *Store) PutServer(x recovery.Server) {
	s.enqueue(op{key: recordKey(keyServer, uint64(x.ID)), record: &x}, nil)
}

// PutAlive records that the front is alive at the given time.
func (s *Store) PutAlive(now int64) {
	s.enqueue(op{key: []byte(keyAlive), value: binary.LittleEndian.AppendUint64(nil, uint64(now))}, nil)
}

// enqueue queues an operation for the writing goroutine. If err is set or the queue rejects the operation, done is
// called with the error.
func (s *Store) enqueue(o op, err error) {
	o.enqueuedAt = time.Now()
	s.mu.Lock()
	switch {
	case err != nil:
	case s.closed:
		err = errors.New("store: closed")
	case len(s.pending) >= maxQueued:
		err = ErrFull
	default:
		s.pending = append(s.pending, o)
		s.pendingCond.Signal()
	}
	s.mu.Unlock()
	if err != nil && o.done != nil {
		go o.done(0, err)
	}
}

// runIsolated calls run in a goroutine of its own, as the engine may panic or end the goroutine on a fatal error, and
// returns that as an error.
func runIsolated(run func() error) error {
	result := make(chan error, 1)
	go func() {
		err := errors.New("the storage engine failed")
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("the storage engine failed: %v", p)
			}
			result <- err
		}()
		err = run()
	}()
	return <-result
}

// write commits the pending operations, batch after batch, until the store is closed.
func (s *Store) write() {
	defer close(s.done)
	for {
		s.mu.Lock()
		for len(s.pending) == 0 && !s.closed {
			s.pendingCond.Wait()
		}
		list := s.pending
		s.pending = nil
		ended := s.closed
		s.mu.Unlock()
		if len(list) == 0 && ended {
			return
		}
		err := s.commit(list)
		s.Syncs++
		for _, o := range list {
			if o.done != nil {
				o.done(time.Since(o.enqueuedAt), err)
			}
		}
	}
}

// commit makes a list of operations durable. The engine panics or ends its goroutine when it can't write, for example
// on a full disk; this becomes an error, and the front continues to serve without the store.
func (s *Store) commit(list []op) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	inEngine := false // an error from here on is the engine's own
	err := runIsolated(func() error {
		b := s.db.NewBatch()
		for _, o := range list {
			var err error
			if o.record != nil {
				if o.value, err = json.Marshal(o.record); err != nil {
					return errors.Join(err, b.Close())
				}
			}
			if o.value == nil {
				err = b.Delete(o.key, nil)
			} else {
				err = b.Set(o.key, addChecksum(o.value), nil)
			}
			if err != nil {
				return errors.Join(err, b.Close())
			}
		}
		inEngine = true
		if err := b.Commit(pebble.Sync); err != nil {
			return err
		}
		return b.Close()
	})
	if err != nil && inEngine {
		s.writeErr = fmt.Errorf("store: %w", err)
	}
	return err
}

// Close writes the pending operations and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	s.pendingCond.Signal()
	s.mu.Unlock()
	<-s.done
	if s.writeErr != nil {
		return s.writeErr // the engine's locks may never be released
	}
	return errors.Join(runIsolated(s.db.Close), s.lock.Close())
}

// discardLogger keeps the engine's log lines out of the front's log; a failure is returned to the caller as an error.
type discardLogger struct{}

func (discardLogger) Infof(string, ...interface{})  {}
func (discardLogger) Errorf(string, ...interface{}) {}

// Fatalf ends the engine's goroutine and not the front. Goroutines that wait for it wait forever;
// decide/recovery.StoreHealth then treats the store as hanging.
func (discardLogger) Fatalf(string, ...interface{}) { runtime.Goexit() }

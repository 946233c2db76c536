package explore

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"
)

// A saved search is one file: the name of the system, the visited states, the paths not searched yet, and a digest of
// all that precedes it.
const (
	checkpointMagic = "tealledge search 1\n"
	maxPathBytes    = 1 << 12
)

// saveCheckpoint saves an unfinished search. After a complete one it removes the file.
func (s *search) saveCheckpoint(complete bool) error {
	if complete {
		if err := os.Remove(s.limits.CheckpointFile); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("cannot remove the saved search: %w", err)
		}
		return nil
	}
	f, err := os.Create(s.limits.CheckpointFile + ".new")
	if err != nil {
		return fmt.Errorf("cannot save the search: %w", err)
	}
	defer f.Close()
	digest := xxhash.New()
	w := bufio.NewWriterSize(io.MultiWriter(f, digest), 1<<20)
	writeUint64 := func(x uint64) { _ = binary.Write(w, binary.LittleEndian, x) }
	writeBytes := func(b []byte) { writeUint64(uint64(len(b))); _, _ = w.Write(b) }
	_, _ = w.WriteString(checkpointMagic)
	writeBytes([]byte(s.limits.World))
	writeUint64(uint64(s.seen.total.Load()))
	var b [8]byte
	for i := range s.seen.shards {
		for _, x := range s.seen.shards[i].slots {
			if x != 0 {
				binary.LittleEndian.PutUint64(b[:], x)
				_, _ = w.Write(b[:])
			}
		}
	}
	writeUint64(uint64(len(s.stack)))
	for _, p := range s.stack {
		writeBytes(p)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("cannot save the search: %w", err)
	}
	if err := binary.Write(f, binary.LittleEndian, digest.Sum64()); err != nil {
		return fmt.Errorf("cannot save the search: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("cannot save the search: %w", err)
	}
	return os.Rename(f.Name(), s.limits.CheckpointFile)
}

// loadCheckpoint resumes a saved search, if there is one. A file that is damaged or belongs to another system is an
// error, and the search then starts from the beginning.
func (s *search) loadCheckpoint() error {
	f, err := os.Open(s.limits.CheckpointFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("cannot resume the search: %w", err)
	}
	defer f.Close()
	if s.limits.BreadthFirst {
		return errors.New("cannot resume the search: a breadth-first search cannot be resumed")
	}
	fail := func(err error) error {
		s.seen, s.stack = fingerprintSet{}, [][]uint8{nil}
		return fmt.Errorf("cannot resume the search from %s: %w", s.limits.CheckpointFile, err)
	}
	digest := xxhash.New()
	r := bufio.NewReaderSize(f, 1<<20)
	in := io.TeeReader(r, digest)
	var readErr error
	readUint64 := func() (x uint64) {
		if err := binary.Read(in, binary.LittleEndian, &x); err != nil && readErr == nil {
			readErr = err
		}
		return x
	}
	readBytes := func(maxBytes uint64) []byte {
		n := readUint64()
		if n > maxBytes && readErr == nil {
			readErr = fmt.Errorf("field of %d bytes exceeds its limit", n)
		}
		if readErr != nil {
			return nil
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(in, b); err != nil {
			readErr = err
		}
		return b
	}
	header := make([]byte, len(checkpointMagic))
	if _, err := io.ReadFull(in, header); err != nil || string(header) != checkpointMagic {
		return fail(errors.New("the file is not a saved search of this version"))
	}
	if world := readBytes(1 << 16); readErr == nil && string(world) != s.limits.World {
		return fail(fmt.Errorf("the file belongs to another system: %s", world))
	}
	n, b := readUint64(), make([]byte, 8)
	for range n {
		if readErr != nil {
			break
		}
		if _, err := io.ReadFull(in, b); err != nil {
			readErr = err
		}
		s.seen.add(binary.LittleEndian.Uint64(b))
	}
	s.stack = nil
	for n := readUint64(); n > 0 && readErr == nil; n-- {
		s.stack = append(s.stack, readBytes(maxPathBytes))
	}
	wantDigest := digest.Sum64()
	var gotDigest uint64
	if err := binary.Read(r, binary.LittleEndian, &gotDigest); readErr == nil &&
		(err != nil || gotDigest != wantDigest) {
		readErr = errors.New("the digest does not match")
	}
	if readErr != nil {
		return fail(readErr)
	}
	s.report.Resumed = true
	return nil
}

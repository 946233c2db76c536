package catalogue

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// The text format has one record per line, so that millions of records can be read as a stream:
//
//	catalogue 1 NUMBER DIGEST COUNT        or  delta 1 FROM DIGEST TO DIGEST COUNT
//	+ "NAME" SERVER:RUNGS SERVER:RUNGS ...      RUNGS in hexadecimal, bit r for rung r
//	- "NAME"                                    in a delta
//	end
//
// COUNT is the number of records. Digests are hexadecimal. A file without its end line was delivered incompletely.

// maxLineBytes bounds a line. A quoted name takes up to 4 bytes per byte; 24 bytes are enough for a holder.
const maxLineBytes = MaxNameBytes*4 + MaxHolders*24

// Write writes the whole version.
func (v *Version) Write(out io.Writer) error {
	w := bufio.NewWriterSize(out, 1<<16)
	fmt.Fprintf(w, "catalogue 1 %d %x %d\n", v.Number, v.Digest, v.Len())
	v.All(func(t *Title) bool { _, err := w.Write(t.appendLine(nil)); return err == nil })
	fmt.Fprintln(w, "end")
	return w.Flush()
}

// Write writes the delta.
func (d *Delta) Write(out io.Writer) error {
	w := bufio.NewWriterSize(out, 1<<16)
	fmt.Fprintf(w, "delta 1 %d %x %d %x %d\n", d.From.Number, d.From.Digest,
		d.To.Number, d.To.Digest, len(d.Put)+len(d.Remove))
	for _, t := range d.Put {
		w.Write(t.appendLine(nil))
	}
	for _, name := range d.Remove {
		fmt.Fprintf(w, "- %q\n", name)
	}
	fmt.Fprintln(w, "end")
	return w.Flush()
}

// appendLine appends the title's record to b.
func (t *Title) appendLine(b []byte) []byte {
	b = strconv.AppendQuote(append(b, "+ "...), t.Name)
	for _, h := range t.Holders {
		b = strconv.AppendUint(append(b, ' '), uint64(h.Server), 10)
		b = strconv.AppendUint(append(b, ':'), uint64(h.Rungs), 16)
	}
	return append(b, '\n')
}

// reader reads records and counts lines for its errors.
type reader struct {
	name    string
	line    int
	scanner *bufio.Scanner
}

func newReader(name string, in io.Reader) *reader {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	return &reader{name: name, scanner: s}
}

// nextLine returns the next line, and an error at the end of the input.
func (r *reader) nextLine() ([]byte, error) {
	r.line++
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return nil, r.errorf("%w", err)
		}
		return nil, r.errorf("file ends before the end line")
	}
	return r.scanner.Bytes(), nil
}

// errorf returns an error with the name and line of the input.
func (r *reader) errorf(format string, args ...any) error {
	return fmt.Errorf("%s:%d: "+format, append([]any{r.name, r.line}, args...)...)
}

// readHeader reads the first line: a word, the format version 1 and n numbers. The numbers at odd indexes are
// hexadecimal, but for the last.
func (r *reader) readHeader(word string, n int) (list []uint64, err error) {
	b, err := r.nextLine()
	if err != nil {
		return nil, err
	}
	parts := strings.Fields(string(b))
	if len(parts) != n+2 || parts[0] != word || parts[1] != "1" {
		return nil, r.errorf("want a line with %s 1 and %d numbers", word, n)
	}
	for i, p := range parts[2:] {
		base := 10
		if i%2 == 1 && i < n-1 {
			base = 16
		}
		x, err := strconv.ParseUint(p, base, 64)
		if err != nil {
			return nil, r.errorf("number %d: %w", i+1, err)
		}
		list = append(list, x)
	}
	return list, nil
}

// readRecords reads n records and the end line.
func (r *reader) readRecords(n uint64, put func(*Title) error, remove func(string) error) error {
	for range n {
		b, err := r.nextLine()
		if err != nil {
			return err
		}
		if err := r.parseRecord(b, put, remove); err != nil {
			return r.errorf("%w", err)
		}
	}
	if b, err := r.nextLine(); err != nil || string(b) != "end" {
		return errors.Join(err, r.errorf("want the end line after %d records", n))
	}
	return nil
}

// parseRecord parses a record and passes it to put or remove; remove is nil where removals are not allowed.
func (r *reader) parseRecord(b []byte, put func(*Title) error, remove func(string) error) error {
	if len(b) < 4 || b[1] != ' ' {
		return errors.New("want + or -, and a name")
	}
	quoted, err := strconv.QuotedPrefix(string(b[2:]))
	if err != nil {
		return errors.New("want a name in quotes")
	}
	name, err := strconv.Unquote(quoted)
	if err != nil {
		return err
	}
	rest := b[2+len(quoted):]
	switch b[0] {
	case '-':
		if len(rest) > 0 || remove == nil {
			return errors.New("removal is not allowed here or has text after the name")
		}
		return remove(name)
	case '+':
	default:
		return errors.New("want + or -, and a name")
	}
	t := &Title{Name: name}
	if n := bytes.Count(rest, []byte{':'}); n > 0 {
		t.Holders = make([]Holding, 0, min(n, MaxHolders))
	}
	for len(rest) > 0 {
		if rest[0] != ' ' {
			return errors.New("want SERVER:RUNGS after a space")
		}
		rest = rest[1:]
		part := rest
		if i := bytes.IndexByte(rest, ' '); i >= 0 {
			part = rest[:i]
		}
		rest = rest[len(part):]
		colon := bytes.IndexByte(part, ':')
		if colon < 0 || len(t.Holders) >= MaxHolders {
			return errors.New("want SERVER:RUNGS, or too many holders")
		}
		server, err := strconv.ParseUint(string(part[:colon]), 10, 32)
		if err != nil {
			return err
		}
		rungs, err := strconv.ParseUint(string(part[colon+1:]), 16, 32)
		if err != nil {
			return err
		}
		t.Holders = append(t.Holders, Holding{uint32(server), uint32(rungs)})
	}
	return put(t)
}

// Read reads a whole version and verifies its digest. name stands for the input in errors.
func Read(name string, in io.Reader) (*Version, error) {
	r := newReader(name, in)
	header, err := r.readHeader("catalogue", 3)
	if err != nil {
		return nil, err
	}
	if header[2] > MaxTitles {
		return nil, r.errorf("%d titles, the limit is %d", header[2], MaxTitles)
	}
	var recordErr error
	v, err := Build(header[0], func(yield func(*Title) bool) {
		recordErr = r.readRecords(header[2], func(t *Title) error {
			if !yield(t) {
				return errors.New("title rejected")
			}
			return nil
		}, nil)
	})
	switch {
	case err != nil:
		return nil, r.errorf("%w", err)
	case recordErr != nil:
		return nil, recordErr
	case v.Digest != header[1]:
		return nil, r.errorf("digest is %x, the header says %x", v.Digest, header[1])
	}
	return v, nil
}

// ReadDelta reads a delta. Its digest is verified only when it is applied.
func ReadDelta(name string, in io.Reader) (*Delta, error) {
	r := newReader(name, in)
	header, err := r.readHeader("delta", 5)
	if err != nil {
		return nil, err
	}
	if header[4] > MaxChanges {
		return nil, r.errorf("%d changes, the limit is %d", header[4], MaxChanges)
	}
	d := &Delta{From: VersionID{header[0], header[1]}, To: VersionID{header[2], header[3]}}
	err = r.readRecords(header[4], func(t *Title) error { d.Put = append(d.Put, t); return t.validate() },
		func(name string) error { d.Remove = append(d.Remove, name); return nil })
	if err != nil {
		return nil, err
	}
	return d, nil
}

// Dir is a directory that versions are delivered to: full.cat holds a whole version, N.delta the delta that applies to
// version N. Files must be renamed into place; a file that is not may be read while incomplete, and is then read again.
type Dir struct {
	Path      string
	lastError string // the most recent error, which is returned only once
}

// Load reads the whole version.
func (d *Dir) Load() (*Version, error) {
	f, err := os.Open(filepath.Join(d.Path, "full.cat"))
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	defer f.Close()
	return Read(f.Name(), f)
}

// maxDeltasPerPoll bounds the deltas applied by one call of Poll.
const maxDeltasPerPoll = 64

// Poll applies new files. changed reports whether the catalogue has changed. An error leaves the catalogue unchanged
// and is returned only once for as long as it stays the same.
func (d *Dir) Poll(c *Catalogue) (changed bool, err error) {
	defer func() {
		text := ""
		if err != nil {
			text = err.Error()
		}
		if text == d.lastError {
			err = nil
		}
		d.lastError = text
	}()
	for range maxDeltasPerPoll {
		v := c.Current()
		f, err := os.Open(filepath.Join(d.Path, strconv.FormatUint(v.Number, 10)+".delta"))
		if errors.Is(err, os.ErrNotExist) {
			return d.loadNewer(c, changed)
		}
		if err != nil {
			return changed, fmt.Errorf("catalogue: %w", err)
		}
		delta, err := ReadDelta(f.Name(), f)
		f.Close()
		if err == nil {
			_, err = c.ApplyDelta(delta)
		}
		if err == nil && c.Current() == v {
			err = fmt.Errorf("%s: delta does not apply to version %d with digest %x", f.Name(), v.Number, v.Digest)
		}
		if err != nil { // a newer whole version may supersede the delta
			replaced, fullErr := d.loadNewer(c, changed)
			if replaced && fullErr == nil {
				return true, err
			}
			return changed, err
		}
		changed = true
	}
	return changed, nil
}

// loadNewer loads the whole version if it is newer than the current one. It returns whether the catalogue has changed,
// in this call or, as changed says, before.
func (d *Dir) loadNewer(c *Catalogue, changed bool) (bool, error) {
	f, err := os.Open(filepath.Join(d.Path, "full.cat"))
	if errors.Is(err, os.ErrNotExist) {
		return changed, nil
	}
	if err != nil {
		return changed, fmt.Errorf("catalogue: %w", err)
	}
	defer f.Close()
	header, err := newReader(f.Name(), io.LimitReader(f, maxLineBytes)).readHeader("catalogue", 3)
	if err != nil || header[0] <= c.Current().Number {
		return changed, err
	}
	v, err := d.Load()
	if err != nil {
		return changed, err
	}
	if err := c.Replace(v); err != nil {
		return changed, err
	}
	return true, nil
}

// Deliver writes a file to the directory as a source must: to a temporary file that is then renamed into place.
func (d *Dir) Deliver(name string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(d.Path, ".new-*")
	if err != nil {
		return err
	}
	err = errors.Join(write(f), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(d.Path, name))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// Names returns the sorted names of all titles, for pages and tests.
func (v *Version) Names() (list []string) {
	v.All(func(t *Title) bool { list = append(list, t.Name); return true })
	slices.Sort(list)
	return list
}

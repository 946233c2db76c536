// Package catalogue holds which titles exist, in which renditions and on which servers, and applies updates to it. A
// version is immutable and shared by all its readers without a lock. A delta applies only to the version that it names,
// and only if the result is the version that it names, so that partly delivered, reordered, repeated or corrupt updates
// leave the old version unchanged.
package catalogue

import (
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"tealledge/policy"
)

// Limits of a catalogue and of a delta.
const (
	MaxTitles    = 8_000_000
	MaxHolders   = 1_000
	MaxChanges   = 1_000_000 // per delta
	MaxNameBytes = 256
	MaxRungs     = 32
)

// Title is a title with the servers that hold it. It is immutable once it is part of a version.
type Title struct {
	Name    string
	Holders []Holding // sorted by server
}

// Holding names the renditions that one server holds: bit r of Rungs stands for rung r.
type Holding struct {
	Server uint32
	Rungs  uint32
}

// TitleNumber returns the title's number for the decision module: the same in every version and process.
func TitleNumber(name string) uint64 { return xxhash.Sum64String(name) | 1 }

// EligibleHolders returns the holders in the form that the decision module takes: the servers that hold every rung from
// the floor up to some rung. A server that holds only higher rungs can't be lowered to the floor and is left out.
func (t *Title) EligibleHolders(floor int) []policy.Holder {
	out := make([]policy.Holder, 0, len(t.Holders))
	for _, h := range t.Holders {
		if top := floor + bits.TrailingZeros32(^(h.Rungs >> floor)) - 1; top >= floor {
			out = append(out, policy.Holder{Server: h.Server, Top: top})
		}
	}
	return out
}

// validate returns an error if the title is invalid.
func (t *Title) validate() error {
	switch {
	case t.Name == "" || len(t.Name) > MaxNameBytes:
		return fmt.Errorf("title name has %d bytes, want 1 to %d", len(t.Name), MaxNameBytes)
	case len(t.Holders) > MaxHolders:
		return fmt.Errorf("title %.60q has %d holders, the limit is %d", t.Name, len(t.Holders), MaxHolders)
	}
	for i, h := range t.Holders {
		if h.Rungs == 0 || i > 0 && t.Holders[i-1].Server >= h.Server {
			return fmt.Errorf("title %.60q: server %d has no rungs or is out of order", t.Name, h.Server)
		}
	}
	return nil
}

// digest returns the title's contribution to a version's digest. Contributions are added up, so that the cost of
// updating the digest is proportional to the change.
func (t *Title) digest() uint64 {
	var b [8]byte
	d := xxhash.New()
	num := func(x uint32) {
		b[0], b[1], b[2], b[3] = byte(x), byte(x>>8), byte(x>>16), byte(x>>24)
		d.Write(b[:4])
	}
	num(uint32(len(t.Name)))
	d.WriteString(t.Name)
	for _, h := range t.Holders {
		num(h.Server)
		num(h.Rungs)
	}
	return d.Sum64()
}

// VersionID identifies a version by its number and the digest of its content.
type VersionID struct{ Number, Digest uint64 }

// Version is an immutable state of the catalogue.
type Version struct {
	VersionID
	tree tree
}

// Len returns the number of titles.
func (v *Version) Len() int { return v.tree.size }

// Get returns the title of a name, and whether there is one.
func (v *Version) Get(name string) (*Title, bool) { t := v.tree.get(name); return t, t != nil }

// All calls fn for each title, in no particular order, until fn returns false.
func (v *Version) All(fn func(*Title) bool) { v.tree.root.all(fn) }

// Build returns a version with the given titles. It returns an error if one of them is invalid or occurs twice.
func Build(number uint64, titles func(yield func(*Title) bool)) (*Version, error) {
	v := &Version{VersionID: VersionID{Number: number}, tree: tree{root: &node{}}}
	var invalid error
	titles(func(t *Title) bool {
		if invalid = t.validate(); invalid == nil && v.tree.size >= MaxTitles {
			invalid = fmt.Errorf("more than %d titles", MaxTitles)
		}
		if invalid != nil {
			return false
		}
		if old := v.tree.root.add(t, xxhash.Sum64String(t.Name), 0); old != nil {
			invalid = fmt.Errorf("title %.60q occurs twice", t.Name)
			return false
		}
		v.tree.size++
		v.Digest += t.digest()
		return true
	})
	if invalid != nil {
		return nil, fmt.Errorf("catalogue version %d: %w", number, invalid)
	}
	return v, nil
}

// Delta is a change from one version to another.
type Delta struct {
	From, To VersionID
	Put      []*Title // new titles and replacements
	Remove   []string
}

// Errors that Apply wraps when a delta is not applied.
var (
	ErrBaseMismatch   = errors.New("delta is for another version")
	ErrResultMismatch = errors.New("result differs from the version that the delta names")
	ErrAlreadyApplied = errors.New("delta was already applied")
)

// Apply returns the version that results from a delta. v is never modified.
func (v *Version) Apply(d *Delta) (*Version, error) {
	fail := func(err error) (*Version, error) {
		return nil, fmt.Errorf("applying catalogue delta from version %d to %d to version %d: %w",
			d.From.Number, d.To.Number, v.Number, err)
	}
	switch {
	case d.To == v.VersionID || d.To.Number < v.Number:
		return fail(ErrAlreadyApplied)
	case d.From != v.VersionID:
		return fail(ErrBaseMismatch)
	case d.To.Number <= d.From.Number:
		return fail(ErrResultMismatch)
	case len(d.Put)+len(d.Remove) > MaxChanges:
		return fail(fmt.Errorf("%d changes, the limit is %d", len(d.Put)+len(d.Remove), MaxChanges))
	}
	next := &Version{VersionID: VersionID{d.To.Number, v.Digest}, tree: v.tree}
	var old *Title
	for _, name := range d.Remove {
		if next.tree, old = next.tree.without(name); old == nil {
			return fail(fmt.Errorf("%w: it removes %.60q, which does not exist", ErrResultMismatch, name))
		}
		next.Digest -= old.digest()
	}
	for _, t := range d.Put {
		if err := t.validate(); err != nil {
			return fail(err)
		}
		if next.tree, old = next.tree.with(t); old != nil {
			next.Digest -= old.digest()
		}
		next.Digest += t.digest()
	}
	if next.Digest != d.To.Digest || next.tree.size > MaxTitles {
		return fail(ErrResultMismatch)
	}
	return next, nil
}

// Diff returns the delta from one version to a later one, sorted by name.
func Diff(from, to *Version) *Delta {
	d := &Delta{From: from.VersionID, To: to.VersionID}
	to.All(func(t *Title) bool {
		if o, ok := from.Get(t.Name); !ok || o != t && o.digest() != t.digest() {
			d.Put = append(d.Put, t)
		}
		return true
	})
	from.All(func(t *Title) bool {
		if _, ok := to.Get(t.Name); !ok {
			d.Remove = append(d.Remove, t.Name)
		}
		return true
	})
	slices.SortFunc(d.Put, func(a, b *Title) int { return compare(a.Name, b.Name) })
	slices.Sort(d.Remove)
	return d
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Catalogue gives readers the most recent version and applies updates. Deltas that arrive before the one that they
// follow are kept until it arrives, at most maxPending of them.
type Catalogue struct {
	current atomic.Pointer[Version]
	mu      sync.Mutex           // serializes updates
	pending map[VersionID]*Delta // by the version that they apply to
}

const maxPending = 64

// New returns a catalogue that starts with the given version.
func New(v *Version) *Catalogue {
	c := &Catalogue{pending: map[VersionID]*Delta{}}
	c.current.Store(v)
	return c
}

// Current returns the most recent version, which stays valid for as long as it is referenced.
func (c *Catalogue) Current() *Version { return c.current.Load() }

// Replace replaces the whole catalogue. It returns an error if the current version is newer.
func (c *Catalogue) Replace(v *Version) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.Current(); v.Number < old.Number {
		return fmt.Errorf("catalogue version %d is older than the current version %d", v.Number, old.Number)
	}
	c.current.Store(v)
	return c.applyPending(nil)
}

// ApplyDelta applies a delta and the pending ones that follow it. A delta that arrives early is kept as pending. behind
// reports that the delta was not applied and the source should be asked for what is missing.
func (c *Catalogue) ApplyDelta(d *Delta) (behind bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, err := c.Current().Apply(d)
	switch {
	case errors.Is(err, ErrAlreadyApplied):
		return false, nil
	case errors.Is(err, ErrBaseMismatch) && d.From.Number >= c.Current().Number:
		if len(c.pending) >= maxPending {
			clear(c.pending) // the full catalogue is needed anyway
		}
		if d.From.Number > c.Current().Number {
			c.pending[d.From] = d
		}
		return true, nil
	case err != nil:
		return true, err
	}
	c.current.Store(next)
	return false, c.applyPending(nil)
}

// applyPending applies the pending deltas that follow the current version and removes those that are too old.
func (c *Catalogue) applyPending(err error) error {
	for {
		v := c.Current()
		for from := range c.pending {
			if from.Number < v.Number {
				delete(c.pending, from)
			}
		}
		d := c.pending[v.VersionID]
		if d == nil {
			return err
		}
		delete(c.pending, v.VersionID)
		next, applyErr := v.Apply(d)
		if applyErr != nil {
			return errors.Join(err, applyErr)
		}
		c.current.Store(next)
	}
}

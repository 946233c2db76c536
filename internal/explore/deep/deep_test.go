package deep

import (
	"math/rand"
	"testing"
)

// TestFingerprintIgnoresAddressesAndAbsoluteTime guards against equal states with different fingerprints: the same
// situation at a later time, or at other addresses, has the same fingerprint; a changed value has another.
func TestFingerprintIgnoresAddressesAndAbsoluteTime(t *testing.T) {
	type node struct {
		at   int64
		next *node
		m    map[string]int
	}
	ring := func(now int64) *node {
		a, b := &node{at: now + 5e9, m: map[string]int{"x": 1, "y": 2}}, &node{at: now}
		a.next, b.next = b, a
		return a
	}
	ps := NewPlans()
	fingerprint := func(now int64, v *node) uint64 { return Add(ps.NewFingerprinter().Reset(now), v).Sum() }
	const now, later = int64(1e12), int64(1e12 + 777)
	if fingerprint(now, ring(now)) != fingerprint(later, ring(later)) {
		t.Error("the same situation at a later time has another fingerprint")
	}
	other := ring(now)
	other.m["x"] = 3
	moved := ring(now)
	moved.next.at++
	for name, v := range map[string]*node{"a map's value": other, "a time": moved} {
		if fingerprint(now, ring(now)) == fingerprint(now, v) {
			t.Error(name, "does not change the fingerprint")
		}
	}
}

// TestCopySharesNoMutableState covers cycles, shared pointers, maps, interfaces and random sources.
func TestCopySharesNoMutableState(t *testing.T) {
	type inner struct{ n int }
	type outer struct {
		a, b  *inner // the same pointer
		list  []*inner
		by    map[uint32]*inner
		plain map[string][]int
		any   any
		rng   *rand.Rand
		self  *outer
		bytes []byte
		fixed [3]inner
	}
	x := &inner{1}
	o := &outer{a: x, b: x, list: []*inner{x, {2}}, by: map[uint32]*inner{7: x}, plain: map[string][]int{"k": {1, 2}},
		any: map[int]int{1: 1}, rng: rand.New(rand.NewSource(5)), bytes: []byte("abc")}
	o.self = o
	ps := NewPlans().ExcludeFromFingerprints((*rand.Rand)(nil))
	c := Copy(ps, o)
	if c.self != c || c.a != c.b || c.list[0] != c.a || c.by[7] != c.a || c.a == x {
		t.Fatal("pointers shared in the original are not shared in the copy")
	}
	fingerprint := func(o *outer) uint64 { return Add(ps.NewFingerprinter().Reset(0), o).Sum() }
	if fingerprint(c) != fingerprint(o) {
		t.Fatal("a copy has another fingerprint")
	}
	if a, b := o.rng.Int63(), c.rng.Int63(); a != b || o.rng.Int63() != c.rng.Int63() {
		t.Error("the random source is not copied in its current state")
	}
	before := fingerprint(c)
	x.n, o.plain["k"][0], o.any.(map[int]int)[1], o.bytes[0], o.fixed[1].n = 9, 9, 9, 'z', 9
	o.by[8] = x
	o.list = append(o.list, x)
	if fingerprint(c) != before || fingerprint(o) == before {
		t.Error("the copy changed with the original, or the change of the original was not seen")
	}
}

// TestImmutableTypesAreSharedAndExcluded checks that immutable types are shared and left out of fingerprints, and that
// excluded types are copied and left out.
func TestImmutableTypesAreSharedAndExcluded(t *testing.T) {
	type fixed struct{ m map[int]int }
	type excluded struct{ n int }
	type box struct {
		f fixed
		q *excluded
		n int
	}
	ps := NewPlans(fixed{}).ExcludeFromFingerprints(excluded{})
	b := &box{f: fixed{map[int]int{1: 1}}, q: &excluded{1}, n: 1}
	c := Copy(ps, b)
	fingerprint := func(b *box) uint64 { return Add(ps.NewFingerprinter().Reset(0), b).Sum() }
	c.q.n, c.f.m[1] = 5, 5
	if b.q.n != 1 || b.f.m[1] != 5 || fingerprint(b) != fingerprint(c) {
		t.Error(b, c)
	}
	if c.n = 2; fingerprint(b) == fingerprint(c) {
		t.Error("a change of a compared field does not change the fingerprint")
	}
}

// TestFingerprintIsStableAcrossProcesses guards saved searches, which store fingerprints.
func TestFingerprintIsStableAcrossProcesses(t *testing.T) {
	type s struct {
		a int
		b string
		m map[string]uint32
	}
	if got := Add(NewPlans().NewFingerprinter().Reset(0), &s{1, "tealledge", map[string]uint32{"x": 1, "y": 2}}).Sum(); got != 0xc4491b404d179a61 {
		t.Errorf("%#x", got)
	}
}

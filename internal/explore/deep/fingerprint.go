package deep

import (
	"math/bits"
	"reflect"
	"slices"
	"unsafe"
)

// minClockReading is the smallest integer that is treated as a clock reading.
const minClockReading = int64(1e11)

// Fingerprinter computes fingerprints, which are equal for values with equal content. Pointers are numbered in the
// order they are encountered, map entries are taken in the order of their keys' fingerprints, and clock readings are
// relative to now, so that the same situation at a later time has the same fingerprint. Fingerprints are the same in
// every process, so that searches can be saved and resumed.
type Fingerprinter struct {
	plans   *Plans
	now     int64
	hash    uint64
	visited map[location]uint64
}

// NewFingerprinter returns a Fingerprinter that uses these plans.
func (ps *Plans) NewFingerprinter() *Fingerprinter {
	return &Fingerprinter{plans: ps, visited: make(map[location]uint64, 64)}
}

// Reset starts the fingerprint of a state at the time now.
func (p *Fingerprinter) Reset(now int64) *Fingerprinter {
	p.now, p.hash = now, 0x9e3779b97f4a7c15
	clear(p.visited)
	return p
}

// Sum returns the fingerprint of all values added since Reset.
func (p *Fingerprinter) Sum() uint64 {
	hi, lo := bits.Mul64(p.hash^0xa0761d6478bd642f, 0xe7037ed1a0b428db)
	return hi ^ lo
}

// Add adds the value that a pointer points to.
func Add[T any](p *Fingerprinter, v *T) *Fingerprinter {
	p.addValue(p.plans.planFor(reflect.TypeFor[T]()), unsafe.Pointer(v))
	return p
}

// addUint64 mixes a number into the hash.
func (p *Fingerprinter) addUint64(x uint64) {
	hi, lo := bits.Mul64(p.hash^x, 0x9fb21c651e98df25)
	p.hash = bits.RotateLeft64(hi^lo, 23) + x
}

// addString adds the length and the bytes of a string.
func (p *Fingerprinter) addString(s string) {
	p.addUint64(uint64(len(s)))
	for len(s) >= 8 {
		p.addUint64(*(*uint64)(unsafe.Pointer(unsafe.StringData(s))))
		s = s[8:]
	}
	var x uint64
	for i := range len(s) {
		x = x<<8 | uint64(s[i])
	}
	p.addUint64(x)
}

// addValue adds the value at an address, with all that it reaches.
func (p *Fingerprinter) addValue(pl *plan, address unsafe.Pointer) {
	if pl.excluded {
		return
	}
	switch pl.kind {
	case reflect.Bool, reflect.Uint8, reflect.Int8:
		p.addUint64(uint64(*(*uint8)(address)))
	case reflect.Int, reflect.Int64:
		x := *(*int64)(address)
		if x >= minClockReading {
			x = x - p.now + 1<<40
		}
		p.addUint64(uint64(x))
	case reflect.Uint, reflect.Uint64, reflect.Uintptr, reflect.Float64:
		p.addUint64(*(*uint64)(address))
	case reflect.Int32, reflect.Uint32, reflect.Float32:
		p.addUint64(uint64(*(*uint32)(address)))
	case reflect.Int16, reflect.Uint16:
		p.addUint64(uint64(*(*uint16)(address)))
	case reflect.String:
		p.addString(*(*string)(address))
	case reflect.Struct:
		for _, f := range pl.fields {
			p.addValue(f.plan, unsafe.Add(address, f.offset))
		}
	case reflect.Array:
		for i := range pl.length {
			p.addValue(pl.elem, unsafe.Add(address, uintptr(i)*pl.elem.size))
		}
	case reflect.Slice:
		h := (*sliceHeader)(address)
		p.addUint64(uint64(h.len))
		if pl.elem.kind == reflect.Uint8 {
			p.addString(unsafe.String((*byte)(h.data), h.len))
			return
		}
		for i := range h.len {
			p.addValue(pl.elem, unsafe.Add(h.data, uintptr(i)*pl.elem.size))
		}
	case reflect.Pointer:
		to := *(*unsafe.Pointer)(address)
		if to == nil || pl.elem.excluded {
			p.addUint64(3)
			return
		}
		if n, ok := p.visited[location{to, pl.elem}]; ok && pl.elem.size > 0 {
			p.addUint64(n)
			return
		}
		p.visited[location{to, pl.elem}] = uint64(len(p.visited)) + 100
		p.addUint64(4)
		p.addValue(pl.elem, to)
	case reflect.Interface:
		words := (*[2]unsafe.Pointer)(address)
		if words[0] == nil {
			p.addUint64(5)
			return
		}
		v := reflect.NewAt(pl.typ, address).Elem()
		inner := p.plans.planFor(v.Elem().Type())
		p.addString(inner.name)
		if inner.kind == reflect.Pointer {
			p.addValue(inner, unsafe.Pointer(&words[1]))
			return
		}
		scratch := reflect.New(inner.typ)
		scratch.Elem().Set(v.Elem())
		p.addValue(inner, scratch.UnsafePointer())
	case reflect.Map:
		p.addMap(pl, reflect.NewAt(pl.typ, address).Elem())
	}
}

// addMap adds the entries of a map in the order of their keys' fingerprints. Keys contain no pointers.
func (p *Fingerprinter) addMap(pl *plan, m reflect.Value) {
	type entry struct {
		key uint64
		v   unsafe.Pointer
	}
	n := m.Len()
	p.addUint64(uint64(n))
	if n == 0 {
		return
	}
	var buffer [8]entry
	entries := buffer[:0]
	key := reflect.New(pl.key.typ)
	values := reflect.MakeSlice(pl.valueSlice, n, n)
	hashBefore := p.hash
	for it := m.MapRange(); it.Next(); {
		key.Elem().SetIterKey(it)
		p.hash = 0
		p.addValue(pl.key, key.UnsafePointer())
		v := values.Index(len(entries))
		v.SetIterValue(it)
		entries = append(entries, entry{p.hash, unsafe.Add(values.UnsafePointer(), uintptr(len(entries))*pl.elem.size)})
	}
	p.hash = hashBefore
	slices.SortFunc(entries, func(a, b entry) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	for _, e := range entries {
		p.addUint64(e.key)
		p.addValue(pl.elem, e.v)
	}
}

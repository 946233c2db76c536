// Package deep copies and fingerprints a whole object graph: everything reachable from a value, unexported fields and
// shared pointers included. This lets the exhaustive search work on production code, which was not written to be
// copied. A plan is built once per type and then followed without further reflection on the type, because a search
// makes hundreds of thousands of copies per second.
//
// Functions are shared between copies, so functions that a copied system calls must not keep state of their own.
package deep

import (
	"fmt"
	"reflect"
	"sync"
	"unsafe"
)

// plan describes how to copy and fingerprint values of one type.
type plan struct {
	typ         reflect.Type
	kind        reflect.Kind
	size        uintptr
	shareable   bool // reaches nothing mutable: copies may share it
	pointerFree bool // contains no pointers
	elem        *plan
	key         *plan
	length      int // length of an array
	fields      []field
	immutable   bool // declared immutable: copies share it
	excluded    bool // left out of fingerprints
	name        string
	valueSlice  reflect.Type // type of a slice of the values of a map
}

// field is the plan of a struct field.
type field struct {
	offset uintptr
	plan   *plan
}

// Plans holds the plans of all types encountered. It is safe for concurrent use.
type Plans struct {
	mu        sync.RWMutex
	byType    map[reflect.Type]*plan
	immutable map[reflect.Type]bool
	excluded  map[reflect.Type]bool
}

// NewPlans returns an empty set of plans. The types of the given values are immutable: copies share them, and they are
// excluded from fingerprints.
func NewPlans(immutable ...any) *Plans {
	p := &Plans{byType: map[reflect.Type]*plan{}, immutable: map[reflect.Type]bool{}, excluded: map[reflect.Type]bool{}}
	for _, v := range immutable {
		p.immutable[reflect.TypeOf(v)] = true
	}
	return p
}

// ExcludeFromFingerprints excludes the types of the given values from fingerprints. They are still copied.
func (ps *Plans) ExcludeFromFingerprints(values ...any) *Plans {
	for _, v := range values {
		ps.excluded[reflect.TypeOf(v)] = true
	}
	return ps
}

// planFor returns the plan of a type, which it builds at first use.
func (ps *Plans) planFor(t reflect.Type) *plan {
	ps.mu.RLock()
	p := ps.byType[t]
	ps.mu.RUnlock()
	if p != nil {
		return p
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.buildPlan(t)
}

// buildPlan builds the plan of a type. The lock must be held.
func (ps *Plans) buildPlan(t reflect.Type) *plan {
	if p := ps.byType[t]; p != nil {
		return p
	}
	p := &plan{typ: t, kind: t.Kind(), size: t.Size(), immutable: ps.immutable[t],
		excluded: ps.immutable[t] || ps.excluded[t], name: t.String()}
	ps.byType[t] = p
	switch t.Kind() {
	case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint,
		reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr, reflect.Float32,
		reflect.Float64:
		p.shareable, p.pointerFree = true, true
	case reflect.String, reflect.Func:
		p.shareable = true // shared: both are immutable
	case reflect.Array:
		p.elem, p.length = ps.buildPlan(t.Elem()), t.Len()
		p.shareable, p.pointerFree = p.elem.shareable, p.elem.pointerFree
	case reflect.Slice, reflect.Pointer:
		p.elem = ps.buildPlan(t.Elem())
	case reflect.Map:
		p.key, p.elem, p.valueSlice = ps.buildPlan(t.Key()), ps.buildPlan(t.Elem()), reflect.SliceOf(t.Elem())
	case reflect.Struct:
		p.shareable, p.pointerFree = true, true
		for i := range t.NumField() {
			f := field{t.Field(i).Offset, ps.buildPlan(t.Field(i).Type)}
			p.fields = append(p.fields, f)
			p.shareable, p.pointerFree = p.shareable && f.plan.shareable, p.pointerFree && f.plan.pointerFree
		}
	case reflect.Interface:
	default:
		panic(fmt.Sprintf("deep: %v can be neither copied nor fingerprinted", t))
	}
	p.shareable = p.shareable || p.immutable // immutable values are shared
	return p
}

// ---- Copies ----

// copier is a copy in progress.
type copier struct {
	plans  *Plans
	copies map[location]unsafe.Pointer
}

// location identifies a value by address and type, because a struct and its first field have the same address.
type location struct {
	address unsafe.Pointer
	plan    *plan
}

// Copy returns a deep copy of the value that a pointer points to. The copy shares nothing mutable with it.
func Copy[T any](ps *Plans, v *T) *T {
	c := copier{ps, make(map[location]unsafe.Pointer, 64)}
	return (*T)(c.copyPointer(ps.planFor(reflect.TypeFor[T]()), unsafe.Pointer(v)))
}

// copyPointer returns a pointer to the copy of a value. Each value is copied once, so that shared pointers stay shared.
func (c *copier) copyPointer(p *plan, from unsafe.Pointer) unsafe.Pointer {
	if from == nil {
		return nil
	}
	if to, ok := c.copies[location{from, p}]; ok {
		return to
	}
	to := reflect.New(p.typ).UnsafePointer()
	if p.size > 0 { // values of size 0 may share an address
		c.copies[location{from, p}] = to
	}
	c.copyInto(p, to, from)
	return to
}

// copyInto copies a value to zeroed memory.
func (c *copier) copyInto(p *plan, to, from unsafe.Pointer) {
	switch {
	case p.pointerFree: // without pointers: copied as bytes
		copy(unsafe.Slice((*byte)(to), p.size), unsafe.Slice((*byte)(from), p.size))
		return
	case p.immutable || p.shareable && p.kind != reflect.Struct && p.kind != reflect.Array:
		p.copyShared(to, from)
		return
	}
	switch p.kind {
	case reflect.Struct:
		for i := range p.fields {
			f := &p.fields[i]
			c.copyInto(f.plan, unsafe.Add(to, f.offset), unsafe.Add(from, f.offset))
		}
	case reflect.Array:
		if p.elem.kind == reflect.Slice { // long arrays of mostly nil slices, as in the timer wheel
			for i := range p.length {
				if (*sliceHeader)(unsafe.Add(from, uintptr(i)*p.elem.size)).data != nil {
					c.copyInto(p.elem, unsafe.Add(to, uintptr(i)*p.elem.size), unsafe.Add(from, uintptr(i)*p.elem.size))
				}
			}
			return
		}
		for i := range p.length {
			c.copyInto(p.elem, unsafe.Add(to, uintptr(i)*p.elem.size), unsafe.Add(from, uintptr(i)*p.elem.size))
		}
	case reflect.Pointer:
		*(*unsafe.Pointer)(to) = c.copyPointer(p.elem, *(*unsafe.Pointer)(from))
	case reflect.Slice:
		c.copySlice(p, (*sliceHeader)(to), (*sliceHeader)(from))
	case reflect.Map:
		c.copyMap(p, to, from)
	case reflect.Interface:
		c.copyInterface(p, to, from)
	}
}

// copyShared copies a value shallowly: both copies share what it points to.
func (p *plan) copyShared(to, from unsafe.Pointer) {
	switch p.kind {
	case reflect.String:
		*(*string)(to) = *(*string)(from)
	case reflect.Func:
		*(*unsafe.Pointer)(to) = *(*unsafe.Pointer)(from)
	default:
		reflect.NewAt(p.typ, to).Elem().Set(reflect.NewAt(p.typ, from).Elem())
	}
}

// copySlice copies a slice with its elements. The capacity of the copy is its length.
func (c *copier) copySlice(p *plan, to, from *sliceHeader) {
	switch {
	case from.data == nil:
	case from.len == 0: // empty, not nil
		*to = sliceHeader{unsafe.Pointer(&emptyBase), 0, 0}
	default:
		data := reflect.MakeSlice(p.typ, from.len, from.len).UnsafePointer()
		*to = sliceHeader{data, from.len, from.len}
		if p.elem.pointerFree {
			n := uintptr(from.len) * p.elem.size
			copy(unsafe.Slice((*byte)(data), n), unsafe.Slice((*byte)(from.data), n))
			return
		}
		for i := range from.len {
			c.copyInto(p.elem, unsafe.Add(data, uintptr(i)*p.elem.size), unsafe.Add(from.data, uintptr(i)*p.elem.size))
		}
	}
}

// emptyBase is the address of empty slices.
var emptyBase [0]byte

// copyMap copies a map with its values. Keys are copied shallowly.
func (c *copier) copyMap(p *plan, to, from unsafe.Pointer) {
	if *(*unsafe.Pointer)(from) == nil {
		return
	}
	source := reflect.NewAt(p.typ, from).Elem()
	target := reflect.MakeMapWithSize(p.typ, source.Len())
	*(*unsafe.Pointer)(to) = target.UnsafePointer()
	if source.Len() == 0 {
		return
	}
	key, sourceValue, targetValue := reflect.New(p.key.typ).Elem(), reflect.New(p.elem.typ), reflect.New(p.elem.typ)
	value, copied := sourceValue.Elem(), targetValue.Elem()
	for it := source.MapRange(); it.Next(); {
		key.SetIterKey(it)
		value.SetIterValue(it)
		if p.elem.shareable {
			target.SetMapIndex(key, value)
			continue
		}
		copied.SetZero()
		c.copyInto(p.elem, targetValue.UnsafePointer(), sourceValue.UnsafePointer())
		target.SetMapIndex(key, copied)
	}
}

// copyInterface copies an interface with the value it holds.
func (c *copier) copyInterface(p *plan, to, from unsafe.Pointer) {
	words := (*[2]unsafe.Pointer)(from) // the type word, and the value or a pointer to it
	if words[0] == nil {
		return
	}
	inner := c.plans.planFor(reflect.NewAt(p.typ, from).Elem().Elem().Type())
	switch {
	case inner.shareable:
		*(*[2]unsafe.Pointer)(to) = *words
	case inner.kind == reflect.Pointer:
		*(*[2]unsafe.Pointer)(to) = [2]unsafe.Pointer{words[0], c.copyPointer(inner.elem, words[1])}
	default:
		scratch, copied := reflect.New(inner.typ), reflect.New(inner.typ)
		scratch.Elem().Set(reflect.NewAt(p.typ, from).Elem().Elem())
		c.copyInto(inner, copied.UnsafePointer(), scratch.UnsafePointer())
		reflect.NewAt(p.typ, to).Elem().Set(copied.Elem())
	}
}

// sliceHeader is the memory layout of a slice.
type sliceHeader struct {
	data     unsafe.Pointer
	len, cap int
}

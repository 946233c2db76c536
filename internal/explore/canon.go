package explore

import (
	"hash/maphash"
	"math"
	"math/rand"
	"reflect"
	"sort"
)

var seed = maphash.MakeSeed()

// Canon hashes values by what they hold: pointers are numbered as they are met, maps are taken in the order of their
// keys' hashes, and readings of the clock count relative to now, so that the same situation later is the same state.
// Random sources and functions are left out.
type Canon struct {
	h    maphash.Hash
	now  int64
	seen map[uintptr]int
	skip reflect.Type
}

// NewCanon makes one for states at a time.
func NewCanon(now int64) *Canon {
	c := &Canon{now: now, seen: map[uintptr]int{}}
	c.h.SetSeed(seed)
	return c
}

// Skip leaves out all values of a type that never changes.
func (c *Canon) Skip(v any) *Canon {
	c.skip = reflect.TypeOf(v)
	return c
}

// Sum gives the hash of all that was added.
func (c *Canon) Sum() uint64 { return c.h.Sum64() }

// Add adds a value and all that it reaches.
func (c *Canon) Add(v any) *Canon {
	c.walk(reflect.ValueOf(v))
	return c
}

func (c *Canon) num(x uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	c.h.Write(b[:])
}

// clockFrom is the least value that is taken for a reading of the clock.
const clockFrom = int64(1e11)

var source = reflect.TypeOf((*rand.Rand)(nil))

func (c *Canon) walk(v reflect.Value) {
	if !v.IsValid() {
		c.num(0)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			c.num(1)
		} else {
			c.num(2)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		x := v.Int()
		if x >= clockFrom {
			x = x - c.now + 1<<40
		}
		c.num(uint64(x))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		c.num(v.Uint())
	case reflect.Float32, reflect.Float64:
		c.num(math.Float64bits(v.Float()))
	case reflect.String:
		c.h.WriteString(v.String())
		c.num(uint64(v.Len()))
	case reflect.Slice, reflect.Array:
		c.num(uint64(v.Len()))
		for i := range v.Len() {
			c.walk(v.Index(i))
		}
	case reflect.Struct:
		if v.Type() == c.skip {
			return
		}
		for i := range v.NumField() {
			c.walk(v.Field(i))
		}
	case reflect.Interface:
		if !v.IsNil() {
			c.h.WriteString(v.Elem().Type().String())
			c.walk(v.Elem())
		}
	case reflect.Pointer:
		if v.IsNil() || v.Type() == source {
			c.num(3)
			return
		}
		if n, ok := c.seen[v.Pointer()]; ok {
			c.num(uint64(n))
			return
		}
		c.seen[v.Pointer()] = len(c.seen) + 100
		c.walk(v.Elem())
	case reflect.Map:
		type pair struct {
			key uint64
			v   reflect.Value
		}
		var list []pair
		for it := v.MapRange(); it.Next(); {
			k := NewCanon(c.now) // keys hold no pointers here
			k.walk(it.Key())
			list = append(list, pair{k.Sum(), it.Value()})
		}
		sort.Slice(list, func(i, j int) bool { return list[i].key < list[j].key })
		c.num(uint64(len(list)))
		for _, p := range list {
			c.num(p.key)
			c.walk(p.v)
		}
	}
}

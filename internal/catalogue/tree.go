package catalogue

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tree is a persistent hash array mapped trie: a change copies the nodes on one path and shares the rest, so that
// versions are independent and readers need no lock. A version without references is garbage collected.
type tree struct {
	root *node
	size int
}

// node has up to 32 children; those present are packed in the order of their bits. At maxDepth a node holds all titles
// whose hashes are equal up to there.
type node struct {
	nodeSlots  uint32 // bits of the slots whose child is a node
	titleSlots uint32 // bits of the slots whose child is a title
	nodes      []*node
	titles     []*Title
}

const (
	bitsPerLevel = 5
	maxDepth     = 64 / bitsPerLevel
)

// slotBit returns the bit of a hash's slot in a node at the given depth.
func slotBit(hash uint64, depth int) uint32 {
	return 1 << (hash >> (depth * bitsPerLevel) & (1<<bitsPerLevel - 1))
}

// packedIndex returns the index of a slot's child among the children present.
func packedIndex(set, bit uint32) int { return bits.OnesCount32(set & (bit - 1)) }

// get returns the title of a name, nil if there is none.
func (t tree) get(name string) *Title {
	hash := xxhash.Sum64String(name)
	n := t.root
	for depth := 0; n != nil; depth++ {
		if depth == maxDepth {
			for _, x := range n.titles {
				if x.Name == name {
					return x
				}
			}
			return nil
		}
		bit := slotBit(hash, depth)
		if n.nodeSlots&bit != 0 {
			n = n.nodes[packedIndex(n.nodeSlots, bit)]
			continue
		}
		if n.titleSlots&bit != 0 {
			if x := n.titles[packedIndex(n.titleSlots, bit)]; x.Name == name {
				return x
			}
		}
		return nil
	}
	return nil
}

// with returns a tree that contains the title x, and the title that it replaces, if any.
func (t tree) with(x *Title) (out tree, old *Title) {
	root, old := t.root.with(x, xxhash.Sum64String(x.Name), 0)
	out = tree{root, t.size}
	if old == nil {
		out.size++
	}
	return out, old
}

func (n *node) with(x *Title, hash uint64, depth int) (*node, *Title) {
	if n == nil {
		n = &node{}
	}
	copied := &node{n.nodeSlots, n.titleSlots, n.nodes, n.titles}
	if depth == maxDepth {
		for i, existing := range n.titles {
			if existing.Name == x.Name {
				copied.titles = replaced(n.titles, i, x)
				return copied, existing
			}
		}
		copied.titles = inserted(n.titles, len(n.titles), x)
		return copied, nil
	}
	bit := slotBit(hash, depth)
	switch {
	case n.nodeSlots&bit != 0:
		i := packedIndex(n.nodeSlots, bit)
		child, old := n.nodes[i].with(x, hash, depth+1)
		copied.nodes = replaced(n.nodes, i, child)
		return copied, old
	case n.titleSlots&bit != 0:
		i := packedIndex(n.titleSlots, bit)
		existing := n.titles[i]
		if existing.Name == x.Name {
			copied.titles = replaced(n.titles, i, x)
			return copied, existing
		}
		var child *node // both titles move one level down
		child, _ = child.with(existing, xxhash.Sum64String(existing.Name), depth+1)
		child, _ = child.with(x, hash, depth+1)
		copied.titleSlots &^= bit
		copied.titles = removed(n.titles, i)
		copied.nodeSlots |= bit
		copied.nodes = inserted(n.nodes, packedIndex(copied.nodeSlots, bit), child)
		return copied, nil
	}
	copied.titleSlots |= bit
	copied.titles = inserted(n.titles, packedIndex(copied.titleSlots, bit), x)
	return copied, nil
}

// add puts a title into a tree that is not shared yet and modifies it in place, which makes building a version several
// times as fast.
func (n *node) add(x *Title, hash uint64, depth int) (old *Title) {
	if depth == maxDepth {
		for i, existing := range n.titles {
			if existing.Name == x.Name {
				n.titles[i] = x
				return existing
			}
		}
		n.titles = append(n.titles, x)
		return nil
	}
	bit := slotBit(hash, depth)
	switch {
	case n.nodeSlots&bit != 0:
		return n.nodes[packedIndex(n.nodeSlots, bit)].add(x, hash, depth+1)
	case n.titleSlots&bit != 0:
		i := packedIndex(n.titleSlots, bit)
		existing := n.titles[i]
		if existing.Name == x.Name {
			n.titles[i] = x
			return existing
		}
		child := &node{}
		child.add(existing, xxhash.Sum64String(existing.Name), depth+1)
		child.add(x, hash, depth+1)
		n.titleSlots &^= bit
		n.titles = slices.Delete(n.titles, i, i+1)
		n.nodeSlots |= bit
		n.nodes = slices.Insert(n.nodes, packedIndex(n.nodeSlots, bit), child)
		return nil
	}
	n.titleSlots |= bit
	n.titles = slices.Insert(n.titles, packedIndex(n.titleSlots, bit), x)
	return nil
}

// without returns a tree that does not contain the title of a name, and the removed title, if any.
func (t tree) without(name string) (out tree, old *Title) {
	if t.root == nil {
		return t, nil
	}
	root, old := t.root.without(name, xxhash.Sum64String(name), 0)
	if old == nil {
		return t, nil
	}
	return tree{root, t.size - 1}, old
}

func (n *node) without(name string, hash uint64, depth int) (*node, *Title) {
	copied := &node{n.nodeSlots, n.titleSlots, n.nodes, n.titles}
	if depth == maxDepth {
		for i, existing := range n.titles {
			if existing.Name == name {
				if copied.titles = removed(n.titles, i); len(copied.titles) == 0 {
					copied = nil
				}
				return copied, existing
			}
		}
		return n, nil
	}
	bit := slotBit(hash, depth)
	switch {
	case n.nodeSlots&bit != 0:
		i := packedIndex(n.nodeSlots, bit)
		child, old := n.nodes[i].without(name, hash, depth+1)
		switch {
		case old == nil:
			return n, nil
		case child == nil:
			copied.nodeSlots &^= bit
			copied.nodes = removed(n.nodes, i)
		case child.nodeSlots == 0 && len(child.titles) == 1: // a single title moves one level up
			copied.nodeSlots &^= bit
			copied.nodes = removed(n.nodes, i)
			copied.titleSlots |= bit
			copied.titles = inserted(n.titles, packedIndex(copied.titleSlots, bit), child.titles[0])
		default:
			copied.nodes = replaced(n.nodes, i, child)
		}
		if copied.nodeSlots|copied.titleSlots == 0 {
			copied = nil
		}
		return copied, old
	case n.titleSlots&bit != 0:
		i := packedIndex(n.titleSlots, bit)
		if existing := n.titles[i]; existing.Name == name {
			copied.titleSlots &^= bit
			copied.titles = removed(n.titles, i)
			if copied.nodeSlots|copied.titleSlots == 0 {
				copied = nil
			}
			return copied, existing
		}
	}
	return n, nil
}

// all calls fn for each title until it returns false, and reports whether it never did.
func (n *node) all(fn func(*Title) bool) bool {
	if n == nil {
		return true
	}
	for _, x := range n.titles {
		if !fn(x) {
			return false
		}
	}
	for _, c := range n.nodes {
		if !c.all(fn) {
			return false
		}
	}
	return true
}

// replaced returns a copy of the list with element i replaced by x.
func replaced[T any](list []T, i int, x T) []T {
	out := make([]T, len(list))
	copy(out, list)
	out[i] = x
	return out
}

// inserted returns a copy of the list with x inserted at index i.
func inserted[T any](list []T, i int, x T) []T {
	out := make([]T, len(list)+1)
	copy(out, list[:i])
	out[i] = x
	copy(out[i+1:], list[i:])
	return out
}

// removed returns a copy of the list without element i, nil if none is left.
func removed[T any](list []T, i int) []T {
	if len(list) == 1 {
		return nil
	}
	out := make([]T, len(list)-1)
	copy(out, list[:i])
	copy(out[i:], list[i+1:])
	return out
}

package explore

import (
	"sync"
	"sync/atomic"
)

// fingerprintSet is a sharded hash set with open addressing: 8 bytes per slot and no pointers. Two states with the
// same fingerprint count as one. The probability of any such collision among n states is about n*n/2^65: 0.003 % at
// 30 million.
type fingerprintSet struct {
	shards [64]shard
	total  atomic.Int64
}

// shard is one hash table of the set, which grows when 4/5 of its slots are taken. A slot of 0 is empty.
type shard struct {
	mu    sync.Mutex
	slots []uint64
	count int
}

// add adds a fingerprint and reports whether it is new.
func (s *fingerprintSet) add(fingerprint uint64) bool {
	if fingerprint == 0 {
		fingerprint = 1
	}
	sh := &s.shards[fingerprint>>58]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.slots == nil || sh.count*5 >= len(sh.slots)*4 {
		old := sh.slots
		sh.slots = make([]uint64, max(1024, 2*len(old)))
		for _, x := range old {
			if x != 0 {
				sh.insert(x)
			}
		}
	}
	if !sh.insert(fingerprint) {
		return false
	}
	sh.count++
	s.total.Add(1)
	return true
}

// insert puts a fingerprint in its slot and reports whether it is new.
func (sh *shard) insert(fingerprint uint64) bool {
	mask := uint64(len(sh.slots) - 1)
	for i := fingerprint & mask; ; i = (i + 1) & mask {
		switch sh.slots[i] {
		case 0:
			sh.slots[i] = fingerprint
			return true
		case fingerprint:
			return false
		}
	}
}

// bytes returns the memory that the set takes.
func (s *fingerprintSet) bytes() (n int64) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		n += int64(len(sh.slots)) * 8
		sh.mu.Unlock()
	}
	return n
}

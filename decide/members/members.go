// Package members decides what a front believes of the server list: which answers of the list service are taken,
// and how the servers' own word (a REDIRECT) joins it. It is pure; time is passed in.
//
// Dangers: a list service that lost its data answers with an empty list, and one that was restored from an old
// copy answers with an index that went backwards. Believing either at once would close the front. Harm: a fleet
// that is truly emptied at once is noticed emptyWait later; its connections fail meanwhile, so nothing runs there.
package members

import (
	"slices"

	"tealledge/policy"
)

const (
	emptyWait = 3 * policy.Second // an emptied list is believed when it has stayed empty so long
	mostNodes = 10_000            // entries of a list that are read
)

// Answer is one answer of the list service.
type Answer struct {
	Index   uint64 // its version (Consul: X-Consul-Index)
	Entries []policy.Entry
}

// View is what is believed. The zero value believes nothing.
type View struct {
	index      uint64
	have       map[uint32]policy.Entry
	emptySince policy.Time // 0: the last answer was not empty
	leaving    map[uint32]policy.Time
}

// Verdict tells what became of an answer.
type Verdict uint8

// What may become of an answer.
const (
	Believed Verdict = iota
	Same             // nothing in it is new
	Backward         // its index went backwards: the old list stands, the next answer is read from the start
	Emptied          // not believed yet
	TooLong          // over the bound on entries
)

// Take judges an answer. If Believed, list is what the module is to be told: the whole list.
func (v *View) Take(now policy.Time, a Answer) (list []policy.Entry, verdict Verdict) {
	switch {
	case len(a.Entries) > mostNodes:
		return nil, TooLong
	case a.Index < v.index:
		v.index = 0
		return nil, Backward
	case len(a.Entries) == 0 && len(v.have) > 0:
		if v.emptySince == 0 {
			v.emptySince = now
		}
		if now-v.emptySince < emptyWait {
			return nil, Emptied
		}
	case a.Index == v.index && a.Index != 0:
		return nil, Same
	}
	v.index = a.Index
	if len(a.Entries) > 0 {
		v.emptySince = 0
	}
	v.have = make(map[uint32]policy.Entry, len(a.Entries))
	for _, e := range a.Entries {
		if since, ok := v.leaving[e.Server]; ok {
			// The server itself said that it leaves; only a newer process of it takes that back.
			if e.Started <= since {
				e.Health = max(e.Health, policy.Draining)
			} else {
				delete(v.leaving, e.Server)
			}
		}
		v.have[e.Server] = e
	}
	for id := range v.leaving {
		if _, ok := v.have[id]; !ok {
			delete(v.leaving, id)
		}
	}
	return v.All(), Believed
}

// Index is the version to ask changes from; 0 asks for all.
func (v *View) Index() uint64 { return v.index }

// Doubted tells whether an emptied list waits to be believed: it is then asked for again soon.
func (v *View) Doubted() bool { return v.emptySince != 0 && len(v.have) > 0 }

// Redirected books a server's own word that it drains. It gives the change for the module, if it is one.
func (v *View) Redirected(server uint32, now policy.Time) (policy.Entry, bool) {
	e, ok := v.have[server]
	if !ok || e.Health != policy.Ready {
		return e, false
	}
	if v.leaving == nil {
		v.leaving = map[uint32]policy.Time{}
	}
	v.leaving[server] = max(now, e.Started)
	e.Health = policy.Draining
	v.have[server] = e
	return e, true
}

// All gives the list as believed, in the order of the servers' ids.
func (v *View) All() []policy.Entry {
	out := make([]policy.Entry, 0, len(v.have))
	for _, e := range v.have {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b policy.Entry) int { return int(int64(a.Server) - int64(b.Server)) })
	return out
}

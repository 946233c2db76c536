// Package serverview maintains a front's view of the server list: which responses of the list service are accepted,
// and how they combine with a server's own announcement (a REDIRECT). It is pure; time is passed in.
//
// A list service that lost its data responds with an empty list, and one that was restored from an old copy with an
// index that went backwards. Accepting either at once would close the front. The cost: the removal of a whole fleet
// at once is noticed emptyListDelay later; its connections fail meanwhile, so nothing runs there.
package serverview

import (
	"slices"

	"tealledge/policy"
)

const (
	emptyListDelay = 3 * policy.Second // an empty list is accepted once it has stayed empty this long
	maxEntries     = 10_000            // of one list
)

// Response is one response of the list service.
type Response struct {
	Index   uint64 // version of the list (Consul: X-Consul-Index)
	Entries []policy.Entry
}

// View is the accepted server list. The zero value is empty.
type View struct {
	index         uint64
	entries       map[uint32]policy.Entry
	emptySince    policy.Time // 0: the last response was not empty
	drainingSince map[uint32]policy.Time
}

// Verdict is the result of applying a response.
type Verdict uint8

// Verdicts.
const (
	Accepted         Verdict = iota
	Unchanged                // it contains nothing new
	IndexWentBack            // the index went backwards: the old list is kept, the next response is read whole
	EmptyUnconfirmed         // the list is empty and not accepted yet
	TooLong                  // it has more than maxEntries entries
)

// Apply evaluates a response. If the verdict is Accepted, list is the whole list, to be passed to the module.
func (v *View) Apply(now policy.Time, response Response) (list []policy.Entry, verdict Verdict) {
	switch {
	case len(response.Entries) > maxEntries:
		return nil, TooLong
	case response.Index < v.index:
		v.index = 0
		return nil, IndexWentBack
	case len(response.Entries) == 0 && len(v.entries) > 0:
		if v.emptySince == 0 {
			v.emptySince = now
		}
		if now-v.emptySince < emptyListDelay {
			return nil, EmptyUnconfirmed
		}
	case response.Index == v.index && response.Index != 0:
		return nil, Unchanged
	}
	v.index = response.Index
	if len(response.Entries) > 0 {
		v.emptySince = 0
	}
	v.entries = make(map[uint32]policy.Entry, len(response.Entries))
	for _, entry := range response.Entries {
		if since, ok := v.drainingSince[entry.Server]; ok {
			// The server itself announced that it drains; only a newer process of it clears that.
			if entry.Started <= since {
				entry.Health = max(entry.Health, policy.Draining)
			} else {
				delete(v.drainingSince, entry.Server)
			}
		}
		v.entries[entry.Server] = entry
	}
	for id := range v.drainingSince {
		if _, ok := v.entries[id]; !ok {
			delete(v.drainingSince, id)
		}
	}
	return v.List(), Accepted
}

// Index returns the version from which to request changes; 0 requests the whole list.
func (v *View) Index() uint64 { return v.index }

// EmptyPending reports whether an empty list awaits confirmation: the list is then requested again soon.
func (v *View) EmptyPending() bool { return v.emptySince != 0 && len(v.entries) > 0 }

// HandleRedirect records a server's own announcement that it drains. It returns the changed entry for the module and
// whether there was a change.
func (v *View) HandleRedirect(server uint32, now policy.Time) (policy.Entry, bool) {
	entry, ok := v.entries[server]
	if !ok || entry.Health != policy.Ready {
		return entry, false
	}
	if v.drainingSince == nil {
		v.drainingSince = map[uint32]policy.Time{}
	}
	v.drainingSince[server] = max(now, entry.Started)
	entry.Health = policy.Draining
	v.entries[server] = entry
	return entry, true
}

// List returns the accepted list, sorted by server ID.
func (v *View) List() []policy.Entry {
	list := make([]policy.Entry, 0, len(v.entries))
	for _, e := range v.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b policy.Entry) int { return int(int64(a.Server) - int64(b.Server)) })
	return list
}

package node

import (
	"fmt"
	"strconv"
	"strings"

	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// Names of the list: servers get the module's numbers.

// hosts gives servers the module's numbers, and forgets those that left the list. Numbers that are counted are not given
// twice.
type hosts struct {
	zones, kinds map[string]int
	byName       map[string]uint32
	used         map[uint32]bool
	next         uint32
}

func newHosts(zones, kinds []string) hosts {
	h := hosts{zones: map[string]int{}, kinds: map[string]int{}, byName: map[string]uint32{}, used: map[uint32]bool{}}
	for i, z := range zones {
		h.zones[z] = i
	}
	for i, k := range kinds {
		h.kinds[k] = i
	}
	return h
}

func (h *hosts) len() int { return len(h.byName) }

func (h *hosts) number(name string) (uint32, bool) {
	id, ok := h.byName[name]
	return id, ok
}

// give finds a number for a name: the one that it ends in, if it is free, so that logs are easy to compare.
func (h *hosts) give(name string) uint32 {
	if id, ok := h.byName[name]; ok {
		return id
	}
	var id uint32
	if _, digits, ok := strings.Cut(name, "-"); ok && len(digits) == 8 {
		if v, err := strconv.ParseUint(digits, 16, 32); err == nil {
			id = uint32(v)
		}
	}
	for id == 0 || h.used[id] {
		h.next++
		id = h.next
	}
	h.byName[name], h.used[id] = id, true
	return id
}

func (h *hosts) drop(name string) {
	delete(h.used, h.byName[name])
	delete(h.byName, name)
}

// take translates an event. What of it can't be used is told in bad.
func (h *hosts) take(e *wire.Hosts) (entries []policy.Entry, list []servers.Server, bad []string) {
	health := map[string]policy.Health{wire.HostReady: policy.Ready, wire.HostDraining: policy.Draining, wire.HostGone: policy.Removed}
	named := map[string]bool{}
	for _, x := range e.Hosts {
		named[x.Name] = true
		zone, ok := h.zones[x.Zone]
		if !ok && len(h.zones) > 0 {
			bad = append(bad, fmt.Sprintf("%s: no zone %.32q", x.Name, x.Zone))
		}
		kind, ok := h.kinds[x.Kind]
		if !ok && len(h.kinds) > 0 {
			bad = append(bad, fmt.Sprintf("%s: no kind %.32q", x.Name, x.Kind))
		}
		if _, known := h.byName[x.Name]; !known && x.Health == wire.HostGone {
			continue
		}
		id := h.give(x.Name)
		entry := policy.Entry{Server: id, Zone: zone, Kind: kind, Cell: x.Cell, Health: health[x.Health], Size: x.Share,
			Started: x.Started * policy.Millisecond}
		entries = append(entries, entry)
		list = append(list, servers.Server{ID: id, Addr: x.Dial, Started: entry.Started, Drains: entry.Health != policy.Ready,
			Gone: entry.Health == policy.Removed})
		if entry.Health == policy.Removed {
			h.drop(x.Name)
		}
	}
	if e.Whole {
		for _, name := range sortedNames(h.byName) {
			if !named[name] {
				list = append(list, servers.Server{ID: h.byName[name], Drains: true, Gone: true})
				h.drop(name)
			}
		}
	}
	return entries, list, bad
}

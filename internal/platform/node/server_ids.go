package node

import (
	"fmt"
	"strconv"
	"strings"

	"tealledge/internal/platform/servers"
	"tealledge/internal/platform/wire"
	"tealledge/policy"
)

// serverIDs maps the server names of the list to the module's server ids and removes servers that left the list. An
// id that was assigned by counting is not assigned again.
type serverIDs struct {
	zones, kinds map[string]int
	byName       map[string]uint32
	used         map[uint32]bool
	lastID       uint32
}

// newServerIDs returns an empty map for a platform with the given zones and kinds of servers.
func newServerIDs(zones, kinds []string) serverIDs {
	h := serverIDs{zones: map[string]int{}, kinds: map[string]int{}, byName: map[string]uint32{},
		used: map[uint32]bool{}}
	for i, z := range zones {
		h.zones[z] = i
	}
	for i, k := range kinds {
		h.kinds[k] = i
	}
	return h
}

// len returns the number of servers.
func (h *serverIDs) len() int { return len(h.byName) }

// lookup returns the id of a known server.
func (h *serverIDs) lookup(name string) (uint32, bool) {
	id, ok := h.byName[name]
	return id, ok
}

// assign returns the id of a name. A new name gets the hexadecimal number that it ends in, if that is free, so that
// logs are easy to compare.
func (h *serverIDs) assign(name string) uint32 {
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
		h.lastID++
		id = h.lastID
	}
	h.byName[name], h.used[id] = id, true
	return id
}

// remove forgets a name and frees its id.
func (h *serverIDs) remove(name string) {
	delete(h.used, h.byName[name])
	delete(h.byName, name)
}

// apply applies a list event and translates it for the module and for the servers' protocol. invalid describes values
// of the event that could not be used.
func (h *serverIDs) apply(e *wire.Hosts) (entries []policy.Entry, serverList []servers.Server, invalid []string) {
	health := map[string]policy.Health{wire.HostReady: policy.Ready, wire.HostDraining: policy.Draining,
		wire.HostRemoved: policy.Removed}
	listed := map[string]bool{}
	for _, host := range e.Hosts {
		listed[host.Name] = true
		zone, ok := h.zones[host.Zone]
		if !ok && len(h.zones) > 0 {
			invalid = append(invalid, fmt.Sprintf("%s: unknown zone %.32q", host.Name, host.Zone))
		}
		kind, ok := h.kinds[host.Kind]
		if !ok && len(h.kinds) > 0 {
			invalid = append(invalid, fmt.Sprintf("%s: unknown kind %.32q", host.Name, host.Kind))
		}
		if _, known := h.byName[host.Name]; !known && host.Health == wire.HostRemoved {
			continue
		}
		id := h.assign(host.Name)
		entry := policy.Entry{Server: id, Zone: zone, Kind: kind, Cell: host.Cell, Health: health[host.Health],
			Size: host.Share, Started: host.Started * policy.Millisecond}
		entries = append(entries, entry)
		serverList = append(serverList, servers.Server{ID: id, Addr: host.Address, Started: entry.Started,
			Draining: entry.Health != policy.Ready, Removed: entry.Health == policy.Removed})
		if entry.Health == policy.Removed {
			h.remove(host.Name)
		}
	}
	if e.Whole {
		for _, name := range sortedNames(h.byName) {
			if !listed[name] {
				serverList = append(serverList, servers.Server{ID: h.byName[name], Draining: true, Removed: true})
				h.remove(name)
			}
		}
	}
	return entries, serverList, invalid
}

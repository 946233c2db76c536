package config

import (
	"encoding/hex"
	"net"
	"slices"
	"strings"
	"time"

	"tealledge/decide/upkeep"
	"tealledge/internal/sexp"
)

// Fleet holds the fleet settings of a front: the other fronts, and the limits on machines that are out of service for
// maintenance work. If Cluster is "", the front has no fleet.
type Fleet struct {
	Cluster, Listen, Advertise, Control string
	Keys                                [][]byte
	Join                                []string          // NAME=ADDRESS of other fronts
	AddressOverrides                    map[string]string // addresses by front name that replace the advertised ones
	Voters                              []string
	Limits                              upkeep.Limits
	Timeouts                            upkeep.Timeouts
	StaleAfter                          time.Duration
	ClockSkew                           time.Duration         // offset of the fleet's clock; set by tests only
	nodes                               map[string]*sexp.Node // forms by name, for the positions of later errors
	voterZones                          []string              // zones of Voters, in the same order
}

// maxVoters limits the voters. More of them make a majority slower, and survive no more failures than operators can
// keep independent of each other.
const maxVoters = 5

// readFleet reads the form (fleet ...).
func (c *Config) readFleet(r *Reader, n *sexp.Node) {
	fleet := &c.Fleet
	fleet.nodes = map[string]*sexp.Node{"fleet": n}
	fleet.AddressOverrides = map[string]string{}
	fleet.Limits = upkeep.Limits{Rack: 1, Zone: 2, Whole: 2, Fronts: 1, Holders: 1, Margin: 0.2, Paid: 20,
		Patience: upkeep.Time(10 * time.Minute)}
	fleet.Timeouts = upkeep.Timeouts{AckTimeout: upkeep.Time(10 * time.Second),
		DrainTimeout: upkeep.Time(10 * time.Minute), ReturnTimeout: upkeep.Time(30 * time.Minute)}
	fleet.StaleAfter = 15 * time.Second
	recordNode := func(name string, read func(*sexp.Node)) func(*sexp.Node) {
		return func(n *sexp.Node) { fleet.nodes[name] = n; read(n) }
	}
	r.Fields(n, []string{"cluster", "listen", "keys", "voters"}, map[string]func(*sexp.Node){
		"cluster":   func(n *sexp.Node) { fleet.Cluster = r.Name(n) },
		"listen":    func(n *sexp.Node) { fleet.Listen = r.Address(n) },
		"advertise": func(n *sexp.Node) { fleet.Advertise = r.Address(n) },
		"control": recordNode("control", func(n *sexp.Node) {
			fleet.Control = r.Address(n)
			if host, _, err := net.SplitHostPort(fleet.Control); err == nil {
				if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
					r.Fail(n, "control: %q: commands are accepted from this host only, at 127.0.0.1 or [::1]",
						fleet.Control)
				}
			}
		}),
		"keys": func(n *sexp.Node) { // the first key encrypts, all keys decrypt
			for _, k := range n.Args() {
				b, err := hex.DecodeString(k.Text)
				if err != nil || len(b) != 16 && len(b) != 24 && len(b) != 32 {
					r.Fail(k, "keys: each key must have 32, 48 or 64 hex digits")
				}
				fleet.Keys = append(fleet.Keys, b)
			}
			if len(n.Args()) == 0 {
				r.Fail(n,
					"keys: at least one key is required: without it, anyone who can reach this port could take machines out of service")
			}
		},
		"join": func(n *sexp.Node) {
			fleet.readFronts(r, n, func(name, addr string) { fleet.Join = append(fleet.Join, name+"="+addr) })
		},
		"via": func(n *sexp.Node) {
			fleet.readFronts(r, n, func(name, addr string) { fleet.AddressOverrides[name] = addr })
		},
		"voters": recordNode("voters", func(n *sexp.Node) {
			r.readNamed(n, "voter", &fleet.Voters, func(fields *sexp.Node) {
				zone := ""
				r.Fields(fields, nil, map[string]func(*sexp.Node){"zone": func(n *sexp.Node) {
					if zone = r.Text(n); !slices.Contains(c.Zones, zone) {
						r.Fail(n, "zone %q is not among the service's zones", zone)
					}
				}})
				fleet.voterZones = append(fleet.voterZones, zone)
			})
		}),
		"upkeep": recordNode("upkeep", func(n *sexp.Node) { fleet.readUpkeep(r, n) }),
	})
}

// readFronts reads forms (front "NAME" "HOST:PORT") and passes each to add.
func (f *Fleet) readFronts(r *Reader, n *sexp.Node, add func(name, addr string)) {
	seen := map[string]bool{}
	for _, form := range n.Args() {
		if form.Head() != "front" || len(form.List) != 3 || form.List[1].IsList || form.List[2].IsList {
			r.Fail(form, `want (front "NAME" "HOST:PORT")`)
			continue
		}
		name, addr := form.List[1].Text, form.List[2].Text
		if _, _, err := net.SplitHostPort(addr); err != nil || name == "" {
			r.Fail(form.List[2], "%s: %v", n.Head(), err)
		}
		if seen[name] {
			r.Fail(form.List[1], "two fronts are named %q", name)
		}
		seen[name] = true
		add(name, addr)
	}
}

func (f *Fleet) readUpkeep(r *Reader, n *sexp.Node) {
	limits, timeouts := &f.Limits, &f.Timeouts
	integer := func(target *int, minValue, maxValue int) func(*sexp.Node) {
		return func(n *sexp.Node) { *target = r.Int(n, minValue, maxValue) }
	}
	duration := func(target *upkeep.Time, minValue, maxValue time.Duration) func(*sexp.Node) {
		return func(n *sexp.Node) { *target = upkeep.Time(r.Duration(n, minValue, maxValue)) }
	}
	r.Fields(n, nil, map[string]func(*sexp.Node){
		"rack":     integer(&limits.Rack, 0, 100_000),
		"racks":    integer(&limits.Racks, 0, 100_000),
		"zone":     integer(&limits.Zone, 0, 100_000),
		"whole":    integer(&limits.Whole, 0, 100_000),
		"fronts":   integer(&limits.Fronts, 0, 100_000),
		"holders":  integer(&limits.Holders, 0, 1000),
		"paid":     integer(&limits.Paid, 0, 1e6),
		"margin":   func(n *sexp.Node) { limits.Margin = r.Float(n, 0, 10) },
		"patience": duration(&limits.Patience, 0, 30*24*time.Hour),
		"hear":     duration(&timeouts.AckTimeout, time.Second, 10*time.Minute),
		"drain":    duration(&timeouts.DrainTimeout, 0, 24*time.Hour),
		"late":     duration(&timeouts.ReturnTimeout, time.Second, 30*24*time.Hour),
		"back":     duration(&timeouts.WarmUpTime, 0, time.Hour),
		"stale":    func(n *sexp.Node) { f.StaleAfter = r.Duration(n, 6*time.Second, 10*time.Minute) },
	})
}

// checkConsistency checks conditions between fleet settings and others after the whole file has been read.
func (f *Fleet) checkConsistency(c *Config, r *Reader) {
	if f.Cluster == "" {
		return
	}
	nodeOf := func(name string) *sexp.Node {
		if n := f.nodes[name]; n != nil {
			return n
		}
		return f.nodes["fleet"]
	}
	node := nodeOf("voters")
	if n := len(f.Voters); n%2 == 0 || n > maxVoters {
		r.Fail(node,
			"%d voters: must be 1, 3 or %d; an even number survives no more failures than one voter less", n, maxVoters)
	}
	zones := map[string]string{}
	for i, z := range f.voterZones {
		if other, taken := zones[z]; z != "" && taken && len(c.Zones) >= len(f.Voters) {
			r.Fail(node,
				"voters %q and %q are both in zone %q: the loss of that zone would take two votes",
				other, f.Voters[i], z)
		}
		zones[z] = f.Voters[i]
	}
	known := map[string]bool{c.Front.Name: true}
	for _, j := range f.Join {
		name, _, _ := strings.Cut(j, "=")
		known[name] = true
	}
	for _, v := range f.Voters {
		if !known[v] {
			r.Fail(node, "voter %q is neither this front nor named in (join ...): its address is unknown", v)
		}
	}
	if slices.Contains(f.Voters, c.Front.Name) && c.Front.StateDir == "" {
		r.Fail(node, "this front is a voter but stores no state: front needs (state DIR)")
	}
	node = nodeOf("upkeep")
	limits := &f.Limits
	switch {
	case limits.Whole < 1 || limits.Zone < 1 || limits.Rack < 1 && limits.Racks < 1:
		r.Fail(node, "upkeep: rack %d, racks %d, zone %d, whole %d allow no machine to be out of service",
			limits.Rack, limits.Racks, limits.Zone, limits.Whole)
	case limits.Rack > limits.Zone || limits.Zone > limits.Whole:
		r.Fail(node, "upkeep: rack %d, zone %d, whole %d: none may exceed the next",
			limits.Rack, limits.Zone, limits.Whole)
	}
	if warmup := c.Service.WarmupTime; f.Timeouts.WarmUpTime == 0 {
		f.Timeouts.WarmUpTime = max(warmup, upkeep.Time(time.Second))
	} else if f.Timeouts.WarmUpTime < warmup {
		r.Fail(node, "upkeep: back %v is less than the warm-up time of a cold server, %v",
			time.Duration(f.Timeouts.WarmUpTime), time.Duration(warmup))
	}
}

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

// Fleet is a front's part in its fleet: who the others are, what may be out for work. Cluster "": it has none.
type Fleet struct {
	Cluster, Listen, Advertise, Control string
	Keys                                [][]byte
	Join                                []string // NAME=ADDRESS
	Via                                 map[string]string
	Voters                              []string
	Limits                              upkeep.Limits
	Times                               upkeep.Timeouts
	Stale                               time.Duration
	Skew                                time.Duration         // of the fleet's clock; not in a file: trials set it
	at                                  map[string]*sexp.Node // where forms stand, for mistakes that show at the end
	zones                               []string              // of Voters
}

// votersMost: a majority of more takes longer and survives no more than operators can keep apart.
const votersMost = 5

// fleet reads (fleet ...).
func (c *Config) fleet(r *Reader, n *sexp.Node) {
	f := &c.Fleet
	f.at = map[string]*sexp.Node{"fleet": n}
	f.Via = map[string]string{}
	f.Limits = upkeep.Limits{Rack: 1, Zone: 2, Whole: 2, Fronts: 1, Holders: 1, Margin: 0.2, Paid: 20, Patience: upkeep.Time(10 * time.Minute)}
	f.Times = upkeep.Timeouts{AckTimeout: upkeep.Time(10 * time.Second), DrainTimeout: upkeep.Time(10 * time.Minute), ReturnTimeout: upkeep.Time(30 * time.Minute)}
	f.Stale = 15 * time.Second
	keep := func(name string, read func(*sexp.Node)) func(*sexp.Node) {
		return func(n *sexp.Node) { f.at[name] = n; read(n) }
	}
	r.Fields(n, []string{"cluster", "listen", "keys", "voters"}, map[string]func(*sexp.Node){
		"cluster":   func(n *sexp.Node) { f.Cluster = r.Name(n) },
		"listen":    func(n *sexp.Node) { f.Listen = r.Address(n) },
		"advertise": func(n *sexp.Node) { f.Advertise = r.Address(n) },
		"control": keep("control", func(n *sexp.Node) {
			f.Control = r.Address(n)
			if host, _, err := net.SplitHostPort(f.Control); err == nil {
				if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
					r.Fail(n, "control: %q: commands are taken from this host alone, at 127.0.0.1 or [::1]", f.Control)
				}
			}
		}),
		"keys": func(n *sexp.Node) { // the first seals, all open
			for _, k := range n.Args() {
				b, err := hex.DecodeString(k.Text)
				if err != nil || len(b) != 16 && len(b) != 24 && len(b) != 32 {
					r.Fail(k, "keys: 32, 48 or 64 hex digits each")
				}
				f.Keys = append(f.Keys, b)
			}
			if len(n.Args()) == 0 {
				r.Fail(n, "keys: at least one is needed: whoever can reach this port could order machines out")
			}
		},
		"join": func(n *sexp.Node) { f.named(r, n, func(name, addr string) { f.Join = append(f.Join, name+"="+addr) }) },
		"via":  func(n *sexp.Node) { f.named(r, n, func(name, addr string) { f.Via[name] = addr }) },
		"voters": keep("voters", func(n *sexp.Node) {
			r.named(n, "voter", &f.Voters, func(rest *sexp.Node) {
				zone := ""
				r.Fields(rest, nil, map[string]func(*sexp.Node){"zone": func(n *sexp.Node) {
					if zone = r.Text(n); !slices.Contains(c.Zones, zone) {
						r.Fail(n, "zone %q is not among the service's zones", zone)
					}
				}})
				f.zones = append(f.zones, zone)
			})
		}),
		"upkeep": keep("upkeep", func(n *sexp.Node) { f.upkeep(r, n) }),
	})
}

// named reads (front "NAME" "ADDRESS") forms.
func (f *Fleet) named(r *Reader, n *sexp.Node, take func(name, addr string)) {
	seen := map[string]bool{}
	for _, x := range n.Args() {
		if x.Head() != "front" || len(x.List) != 3 || x.List[1].IsList || x.List[2].IsList {
			r.Fail(x, `want (front "NAME" "HOST:PORT")`)
			continue
		}
		name, addr := x.List[1].Text, x.List[2].Text
		if _, _, err := net.SplitHostPort(addr); err != nil || name == "" {
			r.Fail(x.List[2], "%s: %v", n.Head(), err)
		}
		if seen[name] {
			r.Fail(x.List[1], "two fronts of the name %q", name)
		}
		seen[name] = true
		take(name, addr)
	}
}

func (f *Fleet) upkeep(r *Reader, n *sexp.Node) {
	l, t := &f.Limits, &f.Times
	whole := func(to *int, least, most int) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Int(n, least, most) }
	}
	span := func(to *upkeep.Time, least, most time.Duration) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = upkeep.Time(r.Span(n, least, most)) }
	}
	r.Fields(n, nil, map[string]func(*sexp.Node){
		"rack":     whole(&l.Rack, 0, 100_000),
		"racks":    whole(&l.Racks, 0, 100_000),
		"zone":     whole(&l.Zone, 0, 100_000),
		"whole":    whole(&l.Whole, 0, 100_000),
		"fronts":   whole(&l.Fronts, 0, 100_000),
		"holders":  whole(&l.Holders, 0, 1000),
		"paid":     whole(&l.Paid, 0, 1e6),
		"margin":   func(n *sexp.Node) { l.Margin = r.Num(n, 0, 10) },
		"patience": span(&l.Patience, 0, 30*24*time.Hour),
		"hear":     span(&t.AckTimeout, time.Second, 10*time.Minute),
		"drain":    span(&t.DrainTimeout, 0, 24*time.Hour),
		"late":     span(&t.ReturnTimeout, time.Second, 30*24*time.Hour),
		"back":     span(&t.WarmUpTime, 0, time.Hour),
		"stale":    func(n *sexp.Node) { f.Stale = r.Span(n, 6*time.Second, 10*time.Minute) },
	})
}

// fits checks what only shows when all is read.
func (f *Fleet) fits(c *Config, r *Reader) {
	if f.Cluster == "" {
		return
	}
	place := func(name string) *sexp.Node {
		if n := f.at[name]; n != nil {
			return n
		}
		return f.at["fleet"]
	}
	at := place("voters")
	if n := len(f.Voters); n%2 == 0 || n > votersMost {
		r.Fail(at, "%d voters: 1, 3 or %d are wanted; an even number survives no more failures than one less", n, votersMost)
	}
	zones := map[string]string{}
	for i, z := range f.zones {
		if other, taken := zones[z]; z != "" && taken && len(c.Zones) >= len(f.Voters) {
			r.Fail(at, "voters %q and %q are both in zone %q: one lost zone takes two votes", other, f.Voters[i], z)
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
			r.Fail(at, "voter %q is neither this front nor named in (join ...): nobody would find it", v)
		}
	}
	if slices.Contains(f.Voters, c.Front.Name) && c.Front.StateDir == "" {
		r.Fail(at, "this front votes and keeps nothing: front needs (state DIR)")
	}
	at = place("upkeep")
	l := &f.Limits
	switch {
	case l.Whole < 1 || l.Zone < 1 || l.Rack < 1 && l.Racks < 1:
		r.Fail(at, "upkeep: rack %d, racks %d, zone %d, whole %d let nothing out", l.Rack, l.Racks, l.Zone, l.Whole)
	case l.Rack > l.Zone || l.Zone > l.Whole:
		r.Fail(at, "upkeep: rack %d, zone %d, whole %d: none may be over the next", l.Rack, l.Zone, l.Whole)
	}
	if cold := c.Service.WarmupTime; f.Times.WarmUpTime == 0 {
		f.Times.WarmUpTime = max(cold, upkeep.Time(time.Second))
	} else if f.Times.WarmUpTime < cold {
		r.Fail(at, "upkeep: back %v is under the time that a cold server takes, %v", time.Duration(f.Times.WarmUpTime), time.Duration(cold))
	}
}

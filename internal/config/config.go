// Package config reads a front's settings file: S-expressions, checked whole, every mistake told with file, line
// and column. The reference of all forms is docs/run/front.md; examples are in deploy/examples.
package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"tealledge/internal/catalogue"
	"tealledge/internal/sexp"
	"tealledge/policy"
)

// Config is a whole settings file.
type Config struct {
	Front   Front
	Service policy.Settings
	Classes []string // names, in the order of Service.Classes
	Tenants []string // names, in the order of Service.Tenants
	Kinds   []string
	Zones   []string
	Titles  []Title
	Fleet   Fleet
	// Catalogue holds the titles in place of Titles, if Front.CatalogueDir is set: who runs the front loads it.
	Catalogue *catalogue.Catalogue
	byTitle   map[string]int
}

// Front is what one front process needs.
type Front struct {
	Name         string
	Listen       string
	Consul       string // address of the list service, or
	Service      string // name of the service there
	ListFile     string // a file with the list
	CatalogueDir string // where the catalogue is delivered; "": the settings' own titles
	StateDir     string // where the last list is kept; "": nowhere
	NoRecover    bool   // sessions do not outlive the process, to compare
	LogLevel     string
	Baseline     string // "", or a baseline that takes the module's place
	Fleet, Me    int

	AnswerMargin, LastLine, MovedFor, DrainLimit, Idle, Ping, WriteWait time.Duration
	KeepAlive, Stall, ProbeWait                                         time.Duration
	Queue, Message, OpenPerConnection, Connections, WriteBuffer         int
	ResumeFor, HandshakeLine                                            time.Duration
	Open, OpenPerTenant                                                 int
	Handshakes                                                          int    // a second
	NoGate                                                              bool   // overload decisions off, to compare
	HLSListen                                                           string // "": no HLS
	HLSKeys                                                             []string
	OriginWait, TokenFor                                                time.Duration
}

// Title is a title and where it lies: Copies cells in a row from Home.
type Title struct {
	Name         string
	Home, Copies int
}

// Place is where a title lies, as an ask says it.
type Place struct {
	Number       uint64
	Home, Copies int
	Holders      []policy.Holder
	Name         string // if the number does not tell it
}

// Place finds a title for a class: in the catalogue if there is one, else among the settings' own.
func (c *Config) Place(name string, class int) (p Place, ok bool) {
	if c.Catalogue != nil {
		t, ok := c.Catalogue.Now().Get(name)
		if !ok {
			return p, false
		}
		floor := 0
		if class >= 0 && class < len(c.Service.Classes) {
			floor = c.Service.Classes[class].Floor
		}
		return Place{Number: catalogue.Number(name), Holders: t.Ask(floor), Name: name}, true
	}
	n, ok := c.byTitle[name]
	if !ok {
		return p, false
	}
	return Place{Number: uint64(n) + 1, Home: c.Titles[n].Home, Copies: c.Titles[n].Copies}, true
}

// Title finds a title by its name; its number is its place in Titles.
func (c *Config) Title(name string) (int, bool) {
	i, ok := c.byTitle[name]
	return i, ok
}

// Defaults of what a file may leave out.
func defaults() Front {
	return Front{Listen: "127.0.0.1:0", Service: "media", LogLevel: "info", Fleet: 1, AnswerMargin: 60 * time.Millisecond,
		LastLine: 30 * time.Millisecond, MovedFor: 30 * time.Second, DrainLimit: 8 * time.Second, Idle: 90 * time.Second,
		Ping: 30 * time.Second, WriteWait: 2 * time.Second, KeepAlive: 15 * time.Second, Stall: 6 * time.Second,
		ProbeWait: 250 * time.Millisecond, Queue: 8192, Message: 64 << 10, OpenPerConnection: 64,
		Connections: 20_000, WriteBuffer: 256 << 10, ResumeFor: 5 * time.Second, HandshakeLine: 2 * time.Second, Open: 20_000,
		OriginWait: 600 * time.Millisecond, TokenFor: 6 * time.Hour, OpenPerTenant: 10_000, Handshakes: 1000}
}

// Load reads a file. The error joins all mistakes found, each with its place.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse reads the text of a file.
func Parse(path, text string) (*Config, error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	c := &Config{Front: defaults(), byTitle: map[string]int{}}
	r := &Reader{}
	root := &sexp.Node{Pos: sexp.Pos{File: path, Line: 1, Col: 1}, IsList: true, List: append([]*sexp.Node{{Text: "file"}}, nodes...)}
	r.Fields(root, []string{"front", "service"}, map[string]func(*sexp.Node){
		"front":   func(n *sexp.Node) { c.front(r, n) },
		"service": func(n *sexp.Node) { c.service(r, n) },
		"titles":  func(n *sexp.Node) { c.titles(r, n) },
		"fleet":   func(n *sexp.Node) { c.fleet(r, n) },
	})
	if len(c.Titles) == 0 && c.Front.CatalogueDir == "" {
		r.Fail(root, "file needs (titles ...), or (catalogue DIR) in front")
	}
	if len(r.errs) == 0 {
		c.consistent(r, root)
		c.Fleet.fits(c, r)
	}
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return c, nil
}

func (c *Config) front(r *Reader, n *sexp.Node) {
	f := &c.Front
	sources := 0
	r.Fields(n, []string{"name", "list"}, map[string]func(*sexp.Node){
		"name":      func(n *sexp.Node) { f.Name = r.Name(n) },
		"listen":    func(n *sexp.Node) { f.Listen = r.Address(n) },
		"state":     func(n *sexp.Node) { f.StateDir = r.Text(n) },
		"catalogue": func(n *sexp.Node) { f.CatalogueDir = r.Text(n) },
		"recover":   func(n *sexp.Node) { f.NoRecover = r.Choice(n, "yes", "no") == "no" },
		"log":       func(n *sexp.Node) { f.LogLevel = r.Choice(n, "debug", "info", "warn", "error") },
		"fleet":     func(n *sexp.Node) { f.Fleet = r.Int(n, 1, 100_000) },
		"me":        func(n *sexp.Node) { f.Me = r.Int(n, 0, 100_000) },
		"baseline":  func(n *sexp.Node) { f.Baseline = r.Choice(n, "random", "fewest") },
		"list": func(n *sexp.Node) {
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"consul":  func(n *sexp.Node) { f.Consul = r.Text(n); sources++ },
				"service": func(n *sexp.Node) { f.Service = r.Text(n) },
				"file":    func(n *sexp.Node) { f.ListFile = r.Text(n); sources++ },
			})
			if sources != 1 {
				r.Fail(n, "list: one of (consul ADDRESS) and (file PATH) is needed")
			}
		},
		"hls": func(n *sexp.Node) {
			r.Fields(n, []string{"listen", "keys"}, map[string]func(*sexp.Node){
				"listen":      func(n *sexp.Node) { f.HLSListen = r.Address(n) },
				"origin-wait": func(n *sexp.Node) { f.OriginWait = r.Span(n, 10*time.Millisecond, 10*time.Second) },
				"token-for":   func(n *sexp.Node) { f.TokenFor = r.Span(n, time.Second, 7*24*time.Hour) },
				"keys": func(n *sexp.Node) { // the first signs, all check
					for _, k := range n.Args() {
						if b, err := hex.DecodeString(k.Text); err != nil || len(b) < 16 {
							r.Fail(k, "keys: at least 32 hex digits each")
						}
						f.HLSKeys = append(f.HLSKeys, k.Text)
					}
					if len(n.Args()) == 0 {
						r.Fail(n, "keys: at least one is needed")
					}
				},
			})
		},
		"timing": func(n *sexp.Node) {
			span := func(to *time.Duration, least, most time.Duration) func(*sexp.Node) {
				return func(n *sexp.Node) { *to = r.Span(n, least, most) }
			}
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"answer-margin":  span(&f.AnswerMargin, time.Millisecond, time.Second),
				"last-line":      span(&f.LastLine, time.Millisecond, time.Second),
				"moved-for":      span(&f.MovedFor, time.Second, time.Hour),
				"drain-limit":    span(&f.DrainLimit, 0, 10*time.Minute),
				"idle":           span(&f.Idle, time.Second, 24*time.Hour),
				"ping":           span(&f.Ping, 100*time.Millisecond, 24*time.Hour),
				"write-wait":     span(&f.WriteWait, 10*time.Millisecond, time.Minute),
				"keep-alive":     span(&f.KeepAlive, 100*time.Millisecond, time.Hour),
				"stall":          span(&f.Stall, 100*time.Millisecond, time.Minute),
				"probe-wait":     span(&f.ProbeWait, 10*time.Millisecond, 10*time.Second),
				"resume-for":     span(&f.ResumeFor, 0, 10*time.Minute),
				"handshake-line": span(&f.HandshakeLine, 0, time.Minute),
			})
		},
		"limits": func(n *sexp.Node) {
			whole := func(to *int, least, most int) func(*sexp.Node) {
				return func(n *sexp.Node) { *to = r.Int(n, least, most) }
			}
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"queue":               whole(&f.Queue, 16, 1<<20),
				"message-bytes":       whole(&f.Message, 256, 16<<20),
				"open-per-connection": whole(&f.OpenPerConnection, 1, 100_000),
				"connections":         whole(&f.Connections, 1, 1<<20),
				"write-buffer":        whole(&f.WriteBuffer, 4096, 64<<20),
				"open":                whole(&f.Open, 1, 1<<20),
				"open-per-tenant":     whole(&f.OpenPerTenant, 1, 1<<20),
				"handshakes":          whole(&f.Handshakes, 1, 1<<20),
				"gate":                func(n *sexp.Node) { f.NoGate = !r.Flag(n) },
			})
		},
	})
	if f.LastLine >= f.AnswerMargin {
		r.Fail(n, "timing: last-line (%v) must be under answer-margin (%v)", f.LastLine, f.AnswerMargin)
	}
}

func (c *Config) titles(r *Reader, n *sexp.Node) {
	for _, t := range n.Args() {
		if t.Head() != "title" || len(t.List) < 2 || t.List[1].IsList || t.List[1].Text == "" {
			r.Fail(t, `want (title "NAME" (home CELL) (copies CELLS))`)
			continue
		}
		one := Title{Name: t.List[1].Text}
		if _, twice := c.byTitle[one.Name]; twice {
			r.Fail(t.List[1], "title %q stands twice", one.Name)
		}
		rest := &sexp.Node{Pos: t.Pos, IsList: true, List: t.List[1:]}
		r.Fields(rest, []string{"home", "copies"}, map[string]func(*sexp.Node){
			"home":   func(n *sexp.Node) { one.Home = r.Int(n, 0, 1<<20) },
			"copies": func(n *sexp.Node) { one.Copies = r.Int(n, 1, 1<<20) },
		})
		c.byTitle[one.Name] = len(c.Titles)
		c.Titles = append(c.Titles, one)
	}
}

// consistent checks what only shows when all is read.
func (c *Config) consistent(r *Reader, root *sexp.Node) {
	s := &c.Service
	s.Fronts, s.FrontIndex = c.Front.Fleet, c.Front.Me
	if s.FrontIndex >= s.Fronts {
		r.Fail(root, "front: me (%d) must be under fleet (%d)", s.FrontIndex, s.Fronts)
	}
	for i := range s.Classes {
		k := &s.Classes[i]
		if k.Top < 0 { // not said: the whole ladder
			k.Top = len(s.RungKB) - 1
		}
		if k.Floor >= len(s.RungKB) || k.Top >= len(s.RungKB) || k.Floor > k.Top {
			r.Fail(root, "class %q: floor %d and top %d do not fit a ladder of %d rungs", c.Classes[i], k.Floor, k.Top, len(s.RungKB))
		}
		if k.SetupTarget > k.Deadline || k.Deadline <= policy.Time(2*c.Front.AnswerMargin) {
			r.Fail(root, "class %q: aim %v and deadline %v must grow, and the deadline be over twice the answer-margin",
				c.Classes[i], time.Duration(k.SetupTarget), time.Duration(k.Deadline))
		}
	}
	for _, t := range c.Titles {
		if t.Home >= s.Cells || t.Copies > s.Cells {
			r.Fail(root, "title %q: home %d and copies %d do not fit %d cells", t.Name, t.Home, t.Copies, s.Cells)
		}
	}
	if _, _, err := net.SplitHostPort(c.Front.Listen); err != nil {
		r.Fail(root, "front: listen: %v", err)
	}
}

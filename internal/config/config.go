// Package config reads a front's settings file. The file consists of S-expressions and is checked completely: each
// mistake is reported with file, line and column. docs/run/front.md documents all forms; deploy/examples has examples.
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

// Config holds the contents of a settings file.
type Config struct {
	Front   Front
	Service policy.Settings
	Classes []string // names, in the order of Service.Classes
	Tenants []string // names, in the order of Service.Tenants
	Kinds   []string
	Zones   []string
	Titles  []Title
	Fleet   Fleet
	// Catalogue holds the titles in place of Titles if Front.CatalogueDir is set. The front loads it at its start.
	Catalogue  *catalogue.Catalogue
	titleIndex map[string]int
}

// Front holds the settings of one front process.
type Front struct {
	Name               string
	Listen             string
	ConsulAddress      string // address of the list service; "": ListFile is used
	ConsulService      string // name of the service at the list service
	ListFile           string // file with the server list; "": ConsulAddress is used
	CatalogueDir       string // directory that the catalogue is delivered to; "": the titles of the settings are used
	StateDir           string // directory for stored state, such as the most recent server list; "": nothing is stored
	NoRecover          bool   // sessions are not restored after a restart; for comparison
	LogLevel           string
	Baseline           string // baseline policy that replaces the decision module; "": none
	Fronts, FrontIndex int

	// Settings of the forms timing, limits and hls.
	AnswerMargin, FailsafeMargin, MoveTokenTTL, DrainTimeout, IdleTimeout, PingInterval, WriteTimeout time.Duration
	KeepAliveInterval, StallTimeout, ProbeTimeout                                                     time.Duration
	MaxQueuedEvents, MaxMessageBytes, MaxOpenPerConnection, MaxConnections, MaxWriteBufferBytes       int
	ResumeWindow, MaxHandshakeDelay                                                                   time.Duration
	MaxOpen, MaxOpenPerTenant                                                                         int
	HandshakesPerSecond                                                                               int

	NoRateLimiter           bool   // the rate limiter is off; for comparison
	HLSListen               string // "": HLS is off
	HLSKeys                 []string
	OriginTimeout, TokenTTL time.Duration
}

// Title is a title and the cells that hold it: Copies consecutive cells from Home.
type Title struct {
	Name         string
	Home, Copies int
}

// Placement is the location of a title, in the form that a session request carries.
type Placement struct {
	Number       uint64
	Home, Copies int
	Holders      []policy.Holder
	Name         string // set if the number does not identify the title
}

// Locate returns the placement of a title for a class, from the catalogue if there is one, else from Titles. It
// returns false for an unknown title.
func (c *Config) Locate(name string, class int) (placement Placement, ok bool) {
	if c.Catalogue != nil {
		title, ok := c.Catalogue.Current().Get(name)
		if !ok {
			return placement, false
		}
		floor := 0
		if class >= 0 && class < len(c.Service.Classes) {
			floor = c.Service.Classes[class].Floor
		}
		return Placement{Number: catalogue.TitleNumber(name), Holders: title.EligibleHolders(floor), Name: name}, true
	}
	index, ok := c.titleIndex[name]
	if !ok {
		return placement, false
	}
	return Placement{Number: uint64(index) + 1, Home: c.Titles[index].Home, Copies: c.Titles[index].Copies}, true
}

// TitleIndex returns the index in Titles of the title with the given name.
func (c *Config) TitleIndex(name string) (int, bool) {
	i, ok := c.titleIndex[name]
	return i, ok
}

// defaults returns the values of settings that a file may omit.
func defaults() Front {
	return Front{Listen: "127.0.0.1:0", ConsulService: "media", LogLevel: "info", Fronts: 1,
		AnswerMargin: 60 * time.Millisecond, FailsafeMargin: 30 * time.Millisecond, MoveTokenTTL: 30 * time.Second,
		DrainTimeout: 8 * time.Second, IdleTimeout: 90 * time.Second, PingInterval: 30 * time.Second,
		WriteTimeout: 2 * time.Second, KeepAliveInterval: 15 * time.Second, StallTimeout: 6 * time.Second,
		ProbeTimeout: 250 * time.Millisecond, MaxQueuedEvents: 8192, MaxMessageBytes: 64 << 10,
		MaxOpenPerConnection: 64, MaxConnections: 20_000, MaxWriteBufferBytes: 256 << 10,
		ResumeWindow: 5 * time.Second, MaxHandshakeDelay: 2 * time.Second, MaxOpen: 20_000,
		OriginTimeout: 600 * time.Millisecond, TokenTTL: 6 * time.Hour, MaxOpenPerTenant: 10_000,
		HandshakesPerSecond: 1000}
}

// Load reads a settings file. The error joins all mistakes found, each with its position.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse reads the text of a settings file; path is used in error positions only.
func Parse(path, text string) (*Config, error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	c := &Config{Front: defaults(), titleIndex: map[string]int{}}
	r := &Reader{}
	root := &sexp.Node{Pos: sexp.Pos{File: path, Line: 1, Col: 1}, IsList: true,
		List: append([]*sexp.Node{{Text: "file"}}, nodes...)}
	r.Fields(root, []string{"front", "service"}, map[string]func(*sexp.Node){
		"front":   func(n *sexp.Node) { c.readFront(r, n) },
		"service": func(n *sexp.Node) { c.readService(r, n) },
		"titles":  func(n *sexp.Node) { c.readTitles(r, n) },
		"fleet":   func(n *sexp.Node) { c.readFleet(r, n) },
	})
	if len(c.Titles) == 0 && c.Front.CatalogueDir == "" {
		r.Fail(root, "file needs (titles ...), or (catalogue DIR) in front")
	}
	if len(r.errs) == 0 {
		c.checkConsistency(r, root)
		c.Fleet.checkConsistency(c, r)
	}
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return c, nil
}

func (c *Config) readFront(r *Reader, n *sexp.Node) {
	front := &c.Front
	sources := 0
	r.Fields(n, []string{"name", "list"}, map[string]func(*sexp.Node){
		"name":      func(n *sexp.Node) { front.Name = r.Name(n) },
		"listen":    func(n *sexp.Node) { front.Listen = r.Address(n) },
		"state":     func(n *sexp.Node) { front.StateDir = r.Text(n) },
		"catalogue": func(n *sexp.Node) { front.CatalogueDir = r.Text(n) },
		"recover":   func(n *sexp.Node) { front.NoRecover = r.Choice(n, "yes", "no") == "no" },
		"log":       func(n *sexp.Node) { front.LogLevel = r.Choice(n, "debug", "info", "warn", "error") },
		"fleet":     func(n *sexp.Node) { front.Fronts = r.Int(n, 1, 100_000) },
		"me":        func(n *sexp.Node) { front.FrontIndex = r.Int(n, 0, 100_000) },
		"baseline":  func(n *sexp.Node) { front.Baseline = r.Choice(n, "random", "fewest") },
		"list": func(n *sexp.Node) {
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"consul":  func(n *sexp.Node) { front.ConsulAddress = r.Text(n); sources++ },
				"service": func(n *sexp.Node) { front.ConsulService = r.Text(n) },
				"file":    func(n *sexp.Node) { front.ListFile = r.Text(n); sources++ },
			})
			if sources != 1 {
				r.Fail(n, "list: exactly one of (consul ADDRESS) and (file PATH) is required")
			}
		},
		"hls": func(n *sexp.Node) {
			r.Fields(n, []string{"listen", "keys"}, map[string]func(*sexp.Node){
				"listen": func(n *sexp.Node) { front.HLSListen = r.Address(n) },
				"origin-wait": func(n *sexp.Node) {
					front.OriginTimeout = r.Duration(n, 10*time.Millisecond, 10*time.Second)
				},
				"token-for": func(n *sexp.Node) { front.TokenTTL = r.Duration(n, time.Second, 7*24*time.Hour) },
				"keys": func(n *sexp.Node) { // the first key signs, all keys verify
					for _, k := range n.Args() {
						if b, err := hex.DecodeString(k.Text); err != nil || len(b) < 16 {
							r.Fail(k, "keys: each key must have at least 32 hex digits")
						}
						front.HLSKeys = append(front.HLSKeys, k.Text)
					}
					if len(n.Args()) == 0 {
						r.Fail(n, "keys: at least one key is required")
					}
				},
			})
		},
		"timing": func(n *sexp.Node) {
			duration := func(target *time.Duration, minValue, maxValue time.Duration) func(*sexp.Node) {
				return func(n *sexp.Node) { *target = r.Duration(n, minValue, maxValue) }
			}
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"answer-margin":  duration(&front.AnswerMargin, time.Millisecond, time.Second),
				"last-line":      duration(&front.FailsafeMargin, time.Millisecond, time.Second),
				"moved-for":      duration(&front.MoveTokenTTL, time.Second, time.Hour),
				"drain-limit":    duration(&front.DrainTimeout, 0, 10*time.Minute),
				"idle":           duration(&front.IdleTimeout, time.Second, 24*time.Hour),
				"ping":           duration(&front.PingInterval, 100*time.Millisecond, 24*time.Hour),
				"write-wait":     duration(&front.WriteTimeout, 10*time.Millisecond, time.Minute),
				"keep-alive":     duration(&front.KeepAliveInterval, 100*time.Millisecond, time.Hour),
				"stall":          duration(&front.StallTimeout, 100*time.Millisecond, time.Minute),
				"probe-wait":     duration(&front.ProbeTimeout, 10*time.Millisecond, 10*time.Second),
				"resume-for":     duration(&front.ResumeWindow, 0, 10*time.Minute),
				"handshake-line": duration(&front.MaxHandshakeDelay, 0, time.Minute),
			})
		},
		"limits": func(n *sexp.Node) {
			integer := func(target *int, minValue, maxValue int) func(*sexp.Node) {
				return func(n *sexp.Node) { *target = r.Int(n, minValue, maxValue) }
			}
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"queue":               integer(&front.MaxQueuedEvents, 16, 1<<20),
				"message-bytes":       integer(&front.MaxMessageBytes, 256, 16<<20),
				"open-per-connection": integer(&front.MaxOpenPerConnection, 1, 100_000),
				"connections":         integer(&front.MaxConnections, 1, 1<<20),
				"write-buffer":        integer(&front.MaxWriteBufferBytes, 4096, 64<<20),
				"open":                integer(&front.MaxOpen, 1, 1<<20),
				"open-per-tenant":     integer(&front.MaxOpenPerTenant, 1, 1<<20),
				"handshakes":          integer(&front.HandshakesPerSecond, 1, 1<<20),
				"gate":                func(n *sexp.Node) { front.NoRateLimiter = !r.Flag(n) },
			})
		},
	})
	if front.FailsafeMargin >= front.AnswerMargin {
		r.Fail(n, "timing: last-line (%v) must be less than answer-margin (%v)", front.FailsafeMargin,
			front.AnswerMargin)
	}
}

func (c *Config) readTitles(r *Reader, n *sexp.Node) {
	for _, form := range n.Args() {
		if form.Head() != "title" || len(form.List) < 2 || form.List[1].IsList || form.List[1].Text == "" {
			r.Fail(form, `want (title "NAME" (home CELL) (copies CELLS))`)
			continue
		}
		title := Title{Name: form.List[1].Text}
		if _, duplicate := c.titleIndex[title.Name]; duplicate {
			r.Fail(form.List[1], "title %q is defined twice", title.Name)
		}
		fields := &sexp.Node{Pos: form.Pos, IsList: true, List: form.List[1:]}
		r.Fields(fields, []string{"home", "copies"}, map[string]func(*sexp.Node){
			"home":   func(n *sexp.Node) { title.Home = r.Int(n, 0, 1<<20) },
			"copies": func(n *sexp.Node) { title.Copies = r.Int(n, 1, 1<<20) },
		})
		c.titleIndex[title.Name] = len(c.Titles)
		c.Titles = append(c.Titles, title)
	}
}

// checkConsistency checks conditions between settings after the whole file has been read.
func (c *Config) checkConsistency(r *Reader, root *sexp.Node) {
	settings := &c.Service
	settings.Fronts, settings.FrontIndex = c.Front.Fronts, c.Front.FrontIndex
	if settings.FrontIndex >= settings.Fronts {
		r.Fail(root, "front: me (%d) must be less than fleet (%d)", settings.FrontIndex, settings.Fronts)
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.Top < 0 { // omitted: the whole ladder
			class.Top = len(settings.RungKB) - 1
		}
		if class.Floor >= len(settings.RungKB) || class.Top >= len(settings.RungKB) || class.Floor > class.Top {
			r.Fail(root, "class %q: floor %d and top %d do not fit a ladder of %d rungs", c.Classes[i],
				class.Floor, class.Top, len(settings.RungKB))
		}
		if class.SetupTarget > class.Deadline || class.Deadline <= policy.Time(2*c.Front.AnswerMargin) {
			r.Fail(root,
				"class %q: aim %v must not exceed deadline %v, and the deadline must be more than twice the answer-margin",
				c.Classes[i], time.Duration(class.SetupTarget), time.Duration(class.Deadline))
		}
	}
	for _, t := range c.Titles {
		if t.Home >= settings.Cells || t.Copies > settings.Cells {
			r.Fail(root, "title %q: home %d and copies %d do not fit %d cells", t.Name, t.Home, t.Copies,
				settings.Cells)
		}
	}
	if _, _, err := net.SplitHostPort(c.Front.Listen); err != nil {
		r.Fail(root, "front: listen: %v", err)
	}
}

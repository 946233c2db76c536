// Package day runs a scripted day: fronts as processes, stand-ins for media servers, the server list and players, and
// faults at given times. Package internal/audit checks the run from the records alone.
package day

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"tealledge/internal/config"
	"tealledge/internal/sexp"
	"tealledge/policy"
)

//go:embed bad.sexp
var badDay string

//go:embed quiet.sexp
var quietDay string

// Script describes a day.
type Script struct {
	Seed             int64
	Length           time.Duration
	Fronts, Servers  int
	Titles, Copies   int
	Rate, RateSwing  float64 // viewers per second, and by which share that varies over the day
	MinWatch         time.Duration
	MaxWatch         time.Duration
	MisbehavingShare float64   // share of the viewers that misbehave
	HLS              float64   // share of the viewers that use HLS
	ClassMix         []float64 // share of the viewers of each class; empty: equal shares
	Slots            float64
	LinkKB           float64
	UplinkKB         float64
	RateVariation    float64 // links and uplinks differ from their mean by up to this share
	SetupTime        time.Duration
	ReportInterval   time.Duration // interval at which servers refresh their load values
	SessionTimeout   time.Duration // how long servers keep a stream whose connection was lost
	Families         []string      // additional addresses of each server: ipv6, unix
	Faults           []Fault
	ServiceText      string // the (service ...) form as written
	Service          *config.Config
}

// Fault is a fault at a time of the day.
type Fault struct {
	At         time.Duration // since the start of the day
	Kind       string
	Servers    int // how many servers it affects
	Front      int
	Rack       int
	Duration   time.Duration
	Lag        time.Duration // delay of changes to the server list
	Notice     time.Duration // from the announcement of a drain to the server's end
	Share      float64       // share of the requests, viewers or link affected; sag: share of the uplink left
	RateFactor float64       // multiplies the rate of arrivals
	Network    string        // tcp, tcp6 or unix
}

// FaultKinds lists the kinds of faults with their meanings.
var FaultKinds = map[string]string{
	"hang":        "servers accept requests but do not answer; their streams get no data",
	"vanish":      "servers go silent and restart cold",
	"crash":       "servers die with connection resets and restart cold",
	"errors":      "servers fail a share of the set-ups at once",
	"lose":        "a share of the replies to set-ups is lost; their streams play",
	"garbage":     "a share of the replies is not RTSP",
	"half":        "a share of the replies is truncated",
	"slow-reader": "servers read slowly",
	"take-link":   "another program uses a share of the link",
	"sag":         "a rack's uplink has only a share of its usual rate",
	"drain":       "servers are listed as draining, die after the notice and restart cold",
	"redirect":    "servers announce by REDIRECT that they drain, die after the notice and restart cold",
	"path-silent": "one address of servers accepts connections and never answers",
	"path-resets": "one address of servers accepts connections and resets them",
	"path-stalls": "one address of servers answers OPTIONS but no SETUP",
	"list-lag":    "changes to the server list are delayed",
	"list-fail":   "requests to the server list fail",
	"list-empty":  "the server list is reported as empty",
	"list-rewind": "the index of the server list goes backwards",
	"kill-front":  "a front is killed and restarted after a while",
	"stop-front":  "a front is paused",
	"hot-title":   "a share of the viewers request the same title",
	"burst":       "more viewers arrive",
}

// BadDay returns the built-in day with many faults.
func BadDay() (*Script, error) { return Parse("bad.sexp", badDay) }

// QuietDay returns the built-in day without faults.
func QuietDay() (*Script, error) { return Parse("quiet.sexp", quietDay) }

// TitleNames returns the names of the titles.
func (s *Script) TitleNames() (list []string) {
	for i := range s.Titles {
		list = append(list, s.titleName(i))
	}
	return list
}

// SyncCapacities sets the capacities in the service's settings to those of the stand-ins, after these were changed.
func (s *Script) SyncCapacities() {
	for _, f := range [][2]string{{"weight-kb", fmt.Sprint(int64(s.LinkKB))},
		{"rack-kb", fmt.Sprint(int64(s.UplinkKB))}, {"fleet-kb", fmt.Sprint(int64(s.LinkKB) * int64(s.Servers))},
		{"slots", fmt.Sprint(int64(s.Slots))}} {
		s.ServiceText = regexp.MustCompile(`\(`+f[0]+` [^)]*\)`).ReplaceAllString(s.ServiceText, "("+f[0]+" "+f[1]+")")
	}
}

// Load reads a script from a file.
func Load(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return Parse(path, string(text))
}

// Parse reads a script: a (day ...) form, and a (service ...) form as in settings files.
func Parse(path, text string) (*Script, error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	s := &Script{Seed: 1, Length: 20 * time.Second, Fronts: 2, Servers: 12, Titles: 20, Copies: 4, Rate: 5,
		MinWatch: 2 * time.Second,
		MaxWatch: 6 * time.Second, Slots: 24, LinkKB: 5000, UplinkKB: 20000, SetupTime: 4 * time.Millisecond,
		ReportInterval: 300 * time.Millisecond, SessionTimeout: 2 * time.Second}
	r := &config.Reader{}
	root := &sexp.Node{Pos: sexp.Pos{File: path, Line: 1, Col: 1}, IsList: true,
		List: append([]*sexp.Node{{Text: "file"}}, nodes...)}
	r.Fields(root, []string{"day", "service"}, map[string]func(*sexp.Node){
		"day":     func(n *sexp.Node) { s.readDay(r, n) },
		"service": func(n *sexp.Node) { s.ServiceText = formatNode(n) },
	})
	if errs := r.Errors(); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	// The service is parsed as by a front, to report its mistakes now.
	s.Service, err = config.Parse(path+" (service)", s.Settings(FrontParams{Name: "front-0", Listen: "127.0.0.1:0",
		ListAddr: "127.0.0.1:1"}, ""))
	if err != nil {
		return nil, err
	}
	if len(s.ClassMix) > 0 && len(s.ClassMix) != len(s.Service.Classes) {
		return nil, fmt.Errorf("%s: mix has %d parts for %d classes", path, len(s.ClassMix), len(s.Service.Classes))
	}
	for _, t := range s.Faults {
		if t.Front >= s.Fronts || t.Rack >= s.Service.Service.Racks || t.Servers > s.Servers {
			return nil, fmt.Errorf("%s: %s at %v names a front, rack or servers that the day does not have", path,
				t.Kind, t.At)
		}
	}
	return s, nil
}

// readDay reads the (day ...) form.
func (s *Script) readDay(r *config.Reader, n *sexp.Node) {
	floatField := func(to *float64, minValue, maxValue float64) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Float(n, minValue, maxValue) }
	}
	intField := func(to *int, minValue, maxValue int) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Int(n, minValue, maxValue) }
	}
	durationField := func(to *time.Duration, maxValue time.Duration) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Duration(n, 0, maxValue) }
	}
	withoutFaults := &sexp.Node{Pos: n.Pos, IsList: true, List: n.List[:1:1]}
	for _, f := range n.Args() {
		if f.Head() == "at" { // may occur many times
			s.readFault(r, f)
			continue
		}
		withoutFaults.List = append(withoutFaults.List, f)
	}
	r.Fields(withoutFaults, nil, map[string]func(*sexp.Node){
		"seed":    func(n *sexp.Node) { s.Seed = int64(r.Int(n, 0, math.MaxInt32)) },
		"length":  durationField(&s.Length, time.Hour),
		"fronts":  intField(&s.Fronts, 1, 16),
		"servers": intField(&s.Servers, 1, 200),
		"titles":  intField(&s.Titles, 1, 100_000),
		"copies":  intField(&s.Copies, 1, 200),
		"rate":    floatField(&s.Rate, 0.1, 1000),
		"swing":   floatField(&s.RateSwing, 0, 1),
		"bad":     floatField(&s.MisbehavingShare, 0, 1),
		"hls":     floatField(&s.HLS, 0, 1),
		"watch": func(n *sexp.Node) {
			if len(n.List) != 3 {
				r.Fail(n, "want (watch SHORTEST LONGEST)")
				return
			}
			readOne := func(i int) time.Duration {
				return r.Duration(&sexp.Node{Pos: n.Pos, IsList: true, List: []*sexp.Node{n.List[0], n.List[i]}}, 0,
					time.Hour)
			}
			s.MinWatch, s.MaxWatch = readOne(1), readOne(2)
		},
		"mix": func(n *sexp.Node) {
			for _, a := range n.Args() {
				v, err := strconv.ParseFloat(a.Text, 64)
				if err != nil || v < 0 {
					r.Fail(a, "mix: %q is not a share", a.Text)
				}
				s.ClassMix = append(s.ClassMix, v)
			}
		},
		"media": func(n *sexp.Node) {
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"slots":     floatField(&s.Slots, 1, 1e6),
				"link-kb":   floatField(&s.LinkKB, 1, 1e12),
				"uplink-kb": floatField(&s.UplinkKB, 1, 1e12),
				"uneven":    floatField(&s.RateVariation, 0, 0.9),
				"setup":     durationField(&s.SetupTime, time.Minute),
				"report":    durationField(&s.ReportInterval, time.Minute),
				"keep":      durationField(&s.SessionTimeout, time.Minute),
				"families": func(n *sexp.Node) {
					for _, a := range n.Args() {
						if a.Text != "ipv6" && a.Text != "unix" {
							r.Fail(a, "families: %q is neither ipv6 nor unix", a.Text)
						}
						s.Families = append(s.Families, a.Text)
					}
				},
			})
		},
	})
}

// readFault reads an (at TIME (KIND ...)) form.
func (s *Script) readFault(r *config.Reader, n *sexp.Node) {
	if len(n.List) != 3 || !n.List[2].IsList {
		r.Fail(n, "want (at TIME (KIND ...))")
		return
	}
	form := n.List[2]
	fault := Fault{Kind: form.Head(), Servers: 1, Share: 0.5, RateFactor: 2, Duration: 5 * time.Second,
		Lag: 2 * time.Second, Notice: time.Second, Network: "tcp6"}
	fault.At = r.Duration(&sexp.Node{Pos: n.Pos, IsList: true, List: n.List[:2]}, 0, time.Hour)
	if FaultKinds[fault.Kind] == "" {
		r.Fail(form, "unknown kind of fault %q", fault.Kind)
		return
	}
	r.Fields(form, nil, map[string]func(*sexp.Node){
		"servers": func(n *sexp.Node) { fault.Servers = r.Int(n, 1, 200) },
		"front":   func(n *sexp.Node) { fault.Front = r.Int(n, 0, 15) },
		"rack":    func(n *sexp.Node) { fault.Rack = r.Int(n, 0, 100) },
		"for":     func(n *sexp.Node) { fault.Duration = r.Duration(n, 0, time.Hour) },
		"lag":     func(n *sexp.Node) { fault.Lag = r.Duration(n, 0, time.Minute) },
		"notice":  func(n *sexp.Node) { fault.Notice = r.Duration(n, 0, time.Minute) },
		"network": func(n *sexp.Node) { fault.Network = r.Choice(n, "tcp", "tcp6", "unix") },
		"part":    func(n *sexp.Node) { fault.Share = r.Float(n, 0, 1) },
		"times":   func(n *sexp.Node) { fault.RateFactor = r.Float(n, 1, 100) },
	})
	s.Faults = append(s.Faults, fault)
}

// formatNode formats an expression as text.
func formatNode(n *sexp.Node) string {
	if !n.IsList {
		if n.Quoted {
			return strconv.Quote(n.Text)
		}
		return n.Text
	}
	out := "("
	for i, x := range n.List {
		if i > 0 {
			out += " "
		}
		out += formatNode(x)
	}
	return out + ")"
}

// FrontParams are the settings in which the fronts of a day differ.
type FrontParams struct {
	Name, Listen, HLSListen, ListAddr, StateDir string
	FrontIndex                                  int
}

// hlsKeyHex is the key, in hex, that signs the URLs of HLS players. It protects only stand-ins.
const hlsKeyHex = "00112233445566778899aabbccddeeff"

// Settings returns the text of the settings file of one front.
func (s *Script) Settings(p FrontParams, baseline string) string {
	out := fmt.Sprintf("(front (name %q) (listen %q) (fleet %d) (me %d) (list (consul %q) (service \"media\"))",
		p.Name, p.Listen, s.Fronts, p.FrontIndex, p.ListAddr)
	if p.StateDir != "" {
		out += fmt.Sprintf(" (state %q)", p.StateDir)
	}
	if p.HLSListen != "" {
		out += fmt.Sprintf(" (hls (listen %q) (keys %q))", p.HLSListen, hlsKeyHex)
	}
	if baseline != "" {
		out += fmt.Sprintf(" (baseline %s)", baseline)
	}
	out += ")\n" + s.ServiceText + "\n(titles"
	for i := range s.Titles {
		out += fmt.Sprintf(" (title %q (home %d) (copies %d))", s.titleName(i), s.homeCell(i), s.Copies)
	}
	return out + ")\n"
}

// titleName returns the name of title i; on days with HLS every other title is live.
func (s *Script) titleName(i int) string {
	if s.HLS > 0 && i%2 == 1 {
		return fmt.Sprintf("live-guide-%d", i)
	}
	return fmt.Sprintf("guide-%d", i)
}

// homeCell returns the home cell of a title. Titles are spread over the cells.
func (s *Script) homeCell(title int) int { return (title * 5) % max(s.Servers, 1) }

// holdsTitle reports whether a cell holds a title.
func (s *Script) holdsTitle(title string, cell int) bool {
	var n int
	if _, err := fmt.Sscanf(strings.TrimPrefix(title, "live-"), "guide-%d", &n); err != nil || n >= s.Titles {
		return false
	}
	cells := s.Service.Service.Cells
	return ((cell-s.homeCell(n))%cells+cells)%cells < s.Copies
}

// arrival is the arrival of a viewer.
type arrival struct {
	at               time.Duration
	title            int
	class            int
	topRung          int
	watch            time.Duration
	hls              bool
	misbehaviourDraw float64 // random from 0 to 1; below Script.MisbehavingShare the viewer misbehaves
	index            int
}

// arrivals generates all viewers of the day in advance, from the seed: arrivals do not depend on answers.
func (s *Script) arrivals() (list []arrival) {
	rng := rand.New(rand.NewSource(s.Seed))
	zipf := rand.NewZipf(rng, 1.3, 4, uint64(s.Titles-1))
	at := 0.0
	for n := 0; ; n++ {
		rate := s.Rate * (1 + s.RateSwing*math.Sin(at/s.Length.Seconds()*2*math.Pi*2))
		hotShare := 0.0
		for _, t := range s.Faults {
			if at >= t.At.Seconds() && at < (t.At+t.Duration).Seconds() {
				if t.Kind == "burst" {
					rate *= t.RateFactor
				}
				if t.Kind == "hot-title" {
					hotShare = t.Share
				}
			}
		}
		at += rng.ExpFloat64() / rate
		if at >= s.Length.Seconds() {
			return list
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), title: int(zipf.Uint64()), index: n,
			misbehaviourDraw: rng.Float64()}
		a.hls = s.HLS > 0 && float64(n*7919%1000)/1000 < s.HLS
		if rng.Float64() < hotShare {
			a.title = s.Titles / 2
		}
		classDraw, cumulative := rng.Float64(), 0.0
		for i := range s.Service.Classes {
			share := 1 / float64(len(s.Service.Classes))
			if len(s.ClassMix) > 0 {
				share = s.ClassMix[i]
			}
			if a.class = i; classDraw < cumulative+share {
				break
			}
			cumulative += share
		}
		class := s.Service.Service.Classes[a.class]
		a.topRung = class.Top
		if rng.Float64() < 0.25 { // the viewer can't use the upper rungs
			a.topRung = max(class.Floor, class.Top-1-rng.Intn(2))
		}
		a.watch = s.MinWatch + time.Duration(rng.Float64()*float64(s.MaxWatch-s.MinWatch))
		list = append(list, a)
	}
}

// toDuration converts a time span of the decision module to a duration.
func toDuration(t policy.Time) time.Duration { return time.Duration(t) }

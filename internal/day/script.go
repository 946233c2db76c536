// Package day runs a scripted day: fronts as processes, media servers, a server list and players as stand-ins, and
// troubles at their times. What it was like is judged by internal/audit from the records alone.
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

// Script is a whole day.
type Script struct {
	Seed            int64
	Length          time.Duration
	Fronts, Servers int
	Titles, Copies  int
	Rate, Swing     float64
	Shortest        time.Duration
	Longest         time.Duration
	Bad             float64
	HLS             float64 // share of the viewers that come by HLS
	Mix             []float64
	Slots           float64
	LinkKB          float64
	UplinkKB        float64
	Uneven          float64
	SetupTime       time.Duration
	ReportEvery     time.Duration
	Keep            time.Duration
	Families        []string // further addresses of each server: ipv6, unix
	Troubles        []Trouble
	ServiceText     string // the (service ...) form as written
	Service         *config.Config
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	At      time.Duration
	Kind    string
	Servers int
	Front   int
	Rack    int
	For     time.Duration
	Lag     time.Duration
	Notice  time.Duration
	Part    float64
	Times   float64
	Network string // tcp, tcp6 or unix
}

// Kinds of trouble, and what each means.
var Kinds = map[string]string{
	"hang":        "servers take work and answer nothing; their streams get nothing",
	"vanish":      "servers go silent and come back cold",
	"crash":       "servers die with resets and come back cold",
	"errors":      "servers fail part of the set-ups fast",
	"lose":        "part of the answers to set-ups is lost; their streams play",
	"garbage":     "part of the answers is no RTSP",
	"half":        "part of the answers breaks off in the middle",
	"slow-reader": "servers read slowly",
	"take-link":   "another program takes part of the link",
	"sag":         "a rack's uplink gives only part of the usual",
	"drain":       "servers are listed as draining, die after the notice and come back cold",
	"redirect":    "servers say themselves that they leave, then come back cold",
	"path-silent": "one address of servers accepts and never answers",
	"path-resets": "one address of servers accepts and resets",
	"path-stalls": "one address of servers answers OPTIONS but no set-up",
	"list-lag":    "changes of the list come later",
	"list-fail":   "calls to the list fail",
	"list-empty":  "the list looks empty",
	"list-rewind": "the list's index goes backwards",
	"kill-front":  "a front is killed and comes back after a while",
	"stop-front":  "a front stands still",
	"hot-title":   "part of the viewers want one title",
	"burst":       "more viewers come",
}

// Bad gives the built-in bad day.
func Bad() (*Script, error) { return Parse("bad.sexp", badDay) }

// Quiet gives the built-in quiet day.
func Quiet() (*Script, error) { return Parse("quiet.sexp", quietDay) }

// TitleNames gives the titles that the day knows.
func (s *Script) TitleNames() (list []string) {
	for i := range s.Titles {
		list = append(list, s.titleName(i))
	}
	return list
}

// Scale has the fronts told of links as large as the stand-ins' are, after those were changed.
func (s *Script) Scale() {
	for _, f := range [][2]string{{"weight-kb", fmt.Sprint(int64(s.LinkKB))}, {"rack-kb", fmt.Sprint(int64(s.UplinkKB))},
		{"fleet-kb", fmt.Sprint(int64(s.LinkKB) * int64(s.Servers))}, {"slots", fmt.Sprint(int64(s.Slots))}} {
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

// Parse reads a script: a (day ...) form and a (service ...) form as in settings files.
func Parse(path, text string) (*Script, error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	s := &Script{Seed: 1, Length: 20 * time.Second, Fronts: 2, Servers: 12, Titles: 20, Copies: 4, Rate: 5, Shortest: 2 * time.Second,
		Longest: 6 * time.Second, Slots: 24, LinkKB: 5000, UplinkKB: 20000, SetupTime: 4 * time.Millisecond,
		ReportEvery: 300 * time.Millisecond, Keep: 2 * time.Second}
	r := &config.Reader{}
	root := &sexp.Node{Pos: sexp.Pos{File: path, Line: 1, Col: 1}, IsList: true, List: append([]*sexp.Node{{Text: "file"}}, nodes...)}
	r.Fields(root, []string{"day", "service"}, map[string]func(*sexp.Node){
		"day":     func(n *sexp.Node) { s.day(r, n) },
		"service": func(n *sexp.Node) { s.ServiceText = write(n) },
	})
	if errs := r.Errors(); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	// The service is read as a front would read it, so that its mistakes are told now.
	s.Service, err = config.Parse(path+" (service)", s.Settings(Place{Name: "front-0", Listen: "127.0.0.1:0", List: "127.0.0.1:1"}, ""))
	if err != nil {
		return nil, err
	}
	if len(s.Mix) > 0 && len(s.Mix) != len(s.Service.Classes) {
		return nil, fmt.Errorf("%s: mix has %d parts for %d classes", path, len(s.Mix), len(s.Service.Classes))
	}
	for _, t := range s.Troubles {
		if t.Front >= s.Fronts || t.Rack >= s.Service.Service.Racks || t.Servers > s.Servers {
			return nil, fmt.Errorf("%s: %s at %v names a front, rack or servers that the day does not have", path, t.Kind, t.At)
		}
	}
	return s, nil
}

func (s *Script) day(r *config.Reader, n *sexp.Node) {
	num := func(to *float64, least, most float64) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Float(n, least, most) }
	}
	whole := func(to *int, least, most int) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Int(n, least, most) }
	}
	span := func(to *time.Duration, most time.Duration) func(*sexp.Node) {
		return func(n *sexp.Node) { *to = r.Duration(n, 0, most) }
	}
	plain := &sexp.Node{Pos: n.Pos, IsList: true, List: n.List[:1:1]}
	for _, f := range n.Args() {
		if f.Head() == "at" { // may stand many times
			s.trouble(r, f)
			continue
		}
		plain.List = append(plain.List, f)
	}
	r.Fields(plain, nil, map[string]func(*sexp.Node){
		"seed":    func(n *sexp.Node) { s.Seed = int64(r.Int(n, 0, math.MaxInt32)) },
		"length":  span(&s.Length, time.Hour),
		"fronts":  whole(&s.Fronts, 1, 16),
		"servers": whole(&s.Servers, 1, 200),
		"titles":  whole(&s.Titles, 1, 100_000),
		"copies":  whole(&s.Copies, 1, 200),
		"rate":    num(&s.Rate, 0.1, 1000),
		"swing":   num(&s.Swing, 0, 1),
		"bad":     num(&s.Bad, 0, 1),
		"hls":     num(&s.HLS, 0, 1),
		"watch": func(n *sexp.Node) {
			if len(n.List) != 3 {
				r.Fail(n, "want (watch SHORTEST LONGEST)")
				return
			}
			one := func(i int) time.Duration {
				return r.Duration(&sexp.Node{Pos: n.Pos, IsList: true, List: []*sexp.Node{n.List[0], n.List[i]}}, 0, time.Hour)
			}
			s.Shortest, s.Longest = one(1), one(2)
		},
		"mix": func(n *sexp.Node) {
			for _, a := range n.Args() {
				v, err := strconv.ParseFloat(a.Text, 64)
				if err != nil || v < 0 {
					r.Fail(a, "mix: %q is no share", a.Text)
				}
				s.Mix = append(s.Mix, v)
			}
		},
		"media": func(n *sexp.Node) {
			r.Fields(n, nil, map[string]func(*sexp.Node){
				"slots":     num(&s.Slots, 1, 1e6),
				"link-kb":   num(&s.LinkKB, 1, 1e12),
				"uplink-kb": num(&s.UplinkKB, 1, 1e12),
				"uneven":    num(&s.Uneven, 0, 0.9),
				"setup":     span(&s.SetupTime, time.Minute),
				"report":    span(&s.ReportEvery, time.Minute),
				"keep":      span(&s.Keep, time.Minute),
				"families": func(n *sexp.Node) {
					for _, a := range n.Args() {
						if a.Text != "ipv6" && a.Text != "unix" {
							r.Fail(a, "families: %q is none of ipv6, unix", a.Text)
						}
						s.Families = append(s.Families, a.Text)
					}
				},
			})
		},
	})
}

// trouble reads (at TIME (KIND ...)).
func (s *Script) trouble(r *config.Reader, n *sexp.Node) {
	if len(n.List) != 3 || !n.List[2].IsList {
		r.Fail(n, "want (at TIME (TROUBLE ...))")
		return
	}
	f := n.List[2]
	t := Trouble{Kind: f.Head(), Servers: 1, Part: 0.5, Times: 2, For: 5 * time.Second, Lag: 2 * time.Second, Notice: time.Second, Network: "tcp6"}
	t.At = r.Duration(&sexp.Node{Pos: n.Pos, IsList: true, List: n.List[:2]}, 0, time.Hour)
	if Kinds[t.Kind] == "" {
		r.Fail(f, "no trouble %q", t.Kind)
		return
	}
	r.Fields(f, nil, map[string]func(*sexp.Node){
		"servers": func(n *sexp.Node) { t.Servers = r.Int(n, 1, 200) },
		"front":   func(n *sexp.Node) { t.Front = r.Int(n, 0, 15) },
		"rack":    func(n *sexp.Node) { t.Rack = r.Int(n, 0, 100) },
		"for":     func(n *sexp.Node) { t.For = r.Duration(n, 0, time.Hour) },
		"lag":     func(n *sexp.Node) { t.Lag = r.Duration(n, 0, time.Minute) },
		"notice":  func(n *sexp.Node) { t.Notice = r.Duration(n, 0, time.Minute) },
		"network": func(n *sexp.Node) { t.Network = r.Choice(n, "tcp", "tcp6", "unix") },
		"part":    func(n *sexp.Node) { t.Part = r.Float(n, 0, 1) },
		"times":   func(n *sexp.Node) { t.Times = r.Float(n, 1, 100) },
	})
	s.Troubles = append(s.Troubles, t)
}

// write gives an expression as text again.
func write(n *sexp.Node) string {
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
		out += write(x)
	}
	return out + ")"
}

// Place is where one front is and what it talks to.
type Place struct {
	Name, Listen, HLS, List, State string
	Me                             int
}

// hlsKey signs the addresses of a day's HLS players, in hex: it protects nothing but the stand-ins.
const hlsKey = "00112233445566778899aabbccddeeff"

// Settings gives the settings file of one front.
func (s *Script) Settings(p Place, baseline string) string {
	out := fmt.Sprintf("(front (name %q) (listen %q) (fleet %d) (me %d) (list (consul %q) (service \"media\"))", p.Name, p.Listen, s.Fronts, p.Me, p.List)
	if p.State != "" {
		out += fmt.Sprintf(" (state %q)", p.State)
	}
	if p.HLS != "" {
		out += fmt.Sprintf(" (hls (listen %q) (keys %q))", p.HLS, hlsKey)
	}
	if baseline != "" {
		out += fmt.Sprintf(" (baseline %s)", baseline)
	}
	out += ")\n" + s.ServiceText + "\n(titles"
	for i := range s.Titles {
		out += fmt.Sprintf(" (title %q (home %d) (copies %d))", s.titleName(i), s.home(i), s.Copies)
	}
	return out + ")\n"
}

// titleName names a title; on days with HLS every other one is live.
func (s *Script) titleName(i int) string {
	if s.HLS > 0 && i%2 == 1 {
		return fmt.Sprintf("live-guide-%d", i)
	}
	return fmt.Sprintf("guide-%d", i)
}

// home spreads titles over the cells.
func (s *Script) home(title int) int { return (title * 5) % max(s.Servers, 1) }

// holds tells whether a cell holds a title.
func (s *Script) holds(title string, cell int) bool {
	var n int
	if _, err := fmt.Sscanf(strings.TrimPrefix(title, "live-"), "guide-%d", &n); err != nil || n >= s.Titles {
		return false
	}
	cells := s.Service.Service.Cells
	return ((cell-s.home(n))%cells+cells)%cells < s.Copies
}

// arrival is a viewer at its time.
type arrival struct {
	at    time.Duration
	title int
	class int
	top   int
	watch time.Duration
	hls   bool
	bad   float64 // drawn; under Script.Bad it misbehaves
	n     int
}

// arrivals draws the whole day's viewers ahead: they do not wait for answers.
func (s *Script) arrivals() (list []arrival) {
	rng := rand.New(rand.NewSource(s.Seed))
	zipf := rand.NewZipf(rng, 1.3, 4, uint64(s.Titles-1))
	at := 0.0
	for n := 0; ; n++ {
		rate := s.Rate * (1 + s.Swing*math.Sin(at/s.Length.Seconds()*2*math.Pi*2))
		hot := 0.0
		for _, t := range s.Troubles {
			if at >= t.At.Seconds() && at < (t.At+t.For).Seconds() {
				if t.Kind == "burst" {
					rate *= t.Times
				}
				if t.Kind == "hot-title" {
					hot = t.Part
				}
			}
		}
		at += rng.ExpFloat64() / rate
		if at >= s.Length.Seconds() {
			return list
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), title: int(zipf.Uint64()), n: n, bad: rng.Float64()}
		a.hls = s.HLS > 0 && float64(n*7919%1000)/1000 < s.HLS
		if rng.Float64() < hot {
			a.title = s.Titles / 2
		}
		draw, sum := rng.Float64(), 0.0
		for i := range s.Service.Classes {
			part := 1 / float64(len(s.Service.Classes))
			if len(s.Mix) > 0 {
				part = s.Mix[i]
			}
			if a.class = i; draw < sum+part {
				break
			}
			sum += part
		}
		class := s.Service.Service.Classes[a.class]
		a.top = class.Top
		if rng.Float64() < 0.25 { // can't use the upper rungs
			a.top = max(class.Floor, class.Top-1-rng.Intn(2))
		}
		a.watch = s.Shortest + time.Duration(rng.Float64()*float64(s.Longest-s.Shortest))
		list = append(list, a)
	}
}

// second is a module time as a duration.
func second(t policy.Time) time.Duration { return time.Duration(t) }

package day

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"tealledge/internal/audit"
	"tealledge/internal/hlstoken"
	"tealledge/internal/record"
	"tealledge/internal/standin/listsim"
	"tealledge/internal/standin/mediasim"
	"tealledge/internal/standin/playersim"
	"tealledge/internal/standin/ports"
)

// Options of a run.
type Options struct {
	Command   []string // starts a front; the path of its settings file is added
	NoRecover bool     // fronts that restart know nothing: as it was before recovery
	Dir       string   // keeps settings, states and records
	Baseline  string   // "": the decision module
	Out       io.Writer
	Env       []string               // more for the fronts' environment
	Limits    string                 // a (limits ...) form for the fronts
	Extra     func(front int) string // more forms for a front's settings
	NoRecord  bool                   // for measuring only: nothing is written down, nothing can be judged
}

// world is a day under way.
type world struct {
	s      *Script
	o      Options
	rng    *rand.Rand
	rec    *record.Log
	farm   *mediasim.Farm
	list   *listsim.List
	crowd  *playersim.Crowd
	fronts []*process
	ports  *ports.Kept // addresses of fronts
	mu     sync.Mutex
	busy   map[uint32]bool // servers that a trouble holds
	ends   sync.WaitGroup
}

// process is one front.
type process struct {
	w       *world
	name    string
	me      int
	addr    string
	hls     string
	control string // where it takes commands for its fleet
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// Run plays a day and judges it.
func Run(ctx context.Context, s *Script, o Options) (*audit.Report, error) {
	w, err := Open(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	if err := w.play(ctx); err != nil {
		return nil, err
	}
	return w.Judge(ctx)
}

// World is a day's stand-ins and fronts, running.
type World = world

// Open starts stand-ins and fronts. Close is to be called in any case.
func Open(ctx context.Context, s *Script, o Options) (*World, error) {
	var rec *record.Log
	if !o.NoRecord {
		var err error
		if rec, err = record.Create(filepath.Join(o.Dir, "record.jsonl")); err != nil {
			return nil, err
		}
	}
	w := &world{s: s, o: o, rng: rand.New(rand.NewSource(s.Seed)), rec: rec, busy: map[uint32]bool{}}
	w.rec.Add(w.rules().Event())
	if err := w.open(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *world) open(ctx context.Context) (err error) {
	s, set := w.s, w.s.Service.Service
	if w.list, err = listsim.New("127.0.0.1:0", w.rec); err != nil {
		return err
	}
	key, err := hex.DecodeString(hlsKey)
	if err != nil {
		return err
	}
	keys, err := hlstoken.NewKeys(key)
	if err != nil {
		return err
	}
	w.farm, err = mediasim.New(mediasim.Params{Ladder: set.RungKB, Slots: s.Slots, LinkKB: s.LinkKB, UplinkKB: s.UplinkKB, Uneven: s.Uneven,
		Racks: set.Racks, Cells: set.Cells, SetupTime: s.SetupTime, ReportEvery: s.ReportEvery, NotesLate: second(set.NoteDelay),
		TellEvery: second(set.NoteInterval), FullFrom: set.FullThreshold, Inline: set.InlineReports, ColdSpan: second(set.WarmupTime), ColdFrom: set.ColdCapacity,
		FallTimes: set.OverloadFactor, FallOver: second(set.OverloadWindow), Keep: s.Keep, Holds: s.holds, Seed: s.Seed,
		Families: s.Families, Dir: w.o.Dir, HTTP: s.HLS > 0, Keys: keys}, s.Servers, w.rec)
	if err != nil {
		return err
	}
	for _, m := range w.farm.Servers() {
		w.list.Set(w.entry(m, "ready"))
	}
	if w.ports, err = ports.Keep(2 * s.Fronts); err != nil {
		return err
	}
	for i := range s.Fronts {
		p := &process{w: w, name: fmt.Sprintf("front-%d", i), me: i, addr: w.ports.Addrs[2*i]}
		if s.HLS > 0 {
			p.hls = w.ports.Addrs[2*i+1]
		}
		w.fronts = append(w.fronts, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return sleep(ctx, 300*time.Millisecond) // the first list is in
}

// Close ends whatever still runs.
func (w *world) Close() {
	w.stopAll()
	if w.farm != nil {
		w.farm.Close()
	}
	if w.list != nil {
		w.list.Close()
	}
	if w.ports != nil {
		w.ports.Close()
	}
	w.rec.Close()
}

// Record is where players write down what crossed their sockets.
func (w *world) Record() *record.Log { return w.rec }

// Front gives a front's name and address; n wraps round.
func (w *world) Front(n int) (name, addr string) {
	p := w.fronts[n%len(w.fronts)]
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.name, p.addr
}

// FrontHLS gives a front's name and the address of its manifests.
func (w *world) FrontHLS(n int) (name, addr string) {
	p := w.fronts[n%len(w.fronts)]
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.name, p.hls
}

// Pid gives a front's process.
func (w *world) Pid(n int) int { return w.fronts[n].cmd.Process.Pid }

// Troubles plays the script's troubles from now on; what it gives waits for their end.
func (w *world) Troubles(ctx context.Context) (wait func()) {
	began := time.Now()
	for _, t := range w.s.Troubles {
		w.ends.Add(1)
		go func() {
			defer w.ends.Done()
			if sleep(ctx, time.Until(began.Add(t.At))) == nil {
				w.trouble(ctx, t)
			}
		}()
	}
	return w.ends.Wait
}

// Judge has the fronts leave, lets what is left over end, and judges the record.
func (w *world) Judge(ctx context.Context) (*audit.Report, error) {
	w.leave()
	if err := sleep(ctx, w.s.Keep+500*time.Millisecond); err != nil {
		return nil, err
	}
	w.rec.Add(record.Event{Source: "day", Kind: record.DayFinished})
	w.Close()
	events, err := record.ReadDir(w.o.Dir)
	if err != nil {
		return nil, err
	}
	return audit.Judge(events)
}

func (w *world) play(ctx context.Context) error {
	w.crowd = playersim.New(w.rec, w.s.Seed, 0.88, func(n int) (string, string) { return w.Front(n + n/7) }) // unevenly
	w.crowd.ResumeFor = 3 * time.Second
	viewers, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := w.Troubles(viewers)
	var watching sync.WaitGroup
	began := time.Now()
	for _, a := range w.s.arrivals() {
		if err := sleep(ctx, time.Until(began.Add(a.at))); err != nil {
			return err
		}
		watching.Add(1)
		go func() {
			defer watching.Done()
			if a.hls {
				w.crowd.WatchHLS(viewers, w.viewer(a), w.FrontHLS)
				return
			}
			w.crowd.Watch(viewers, w.viewer(a))
		}()
	}
	wait()
	done := make(chan struct{})
	go func() { watching.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(w.s.Longest + 3*time.Second):
	}
	cancel()
	<-done
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// skew is an order of messages on different sockets that is too close to be judged, on a loaded machine.
const skew = 60 * time.Millisecond

func (w *world) rules() audit.Rules {
	set := w.s.Service.Service
	r := audit.Rules{AnswerGrace: 40 * time.Millisecond, DrainGrace: second(set.DrainGrace), Skew: skew, ColdSpan: second(set.WarmupTime),
		ColdFrom: set.ColdCapacity, FallTimes: set.OverloadFactor, FallSpan: second(set.OverloadWindow), Budgeted: set.RetriesLimited, Spare: set.SpareRetries,
		Ratio: set.RetryRatio, BudgetSpan: second(set.RetryWindow), RungWorth: set.RungWorth, StallCost: set.StallCost, ChangeCost: set.ChangeCost}
	for i, k := range set.Classes {
		r.Classes = append(r.Classes, audit.Class{Name: w.s.Service.Classes[i], Paid: k.Paid, Floor: k.Floor, Seats: k.Seats,
			Aim: second(k.SetupTarget), Deadline: second(k.Deadline)})
	}
	return r
}

func (w *world) entry(m *mediasim.Server, health string) listsim.Server {
	kind, zone := "", ""
	if len(w.s.Service.Kinds) > 0 {
		kind = w.s.Service.Kinds[0]
	}
	if n := len(w.s.Service.Zones); n > 0 { // racks take turns
		zone = w.s.Service.Zones[m.Cell%max(w.s.Service.Service.Racks, 1)%n]
	}
	return listsim.Server{ID: m.ID, Addr: m.Addr(), Cell: m.Cell, Zone: zone, Kind: kind, Size: 1, Started: m.Started(), Health: health, More: m.Addrs()[1:],
		HTTP: m.HTTPAddr()}
}

func (w *world) viewer(a arrival) playersim.Viewer {
	class := w.s.Service.Service.Classes[a.class]
	v := playersim.Viewer{Name: fmt.Sprintf("viewer-%d", a.n), Title: w.s.titleName(a.title), Class: w.s.Service.Classes[a.class], ClassN: a.class,
		Top: a.top, Length: a.watch, Worth: class.Worth}
	if len(w.s.Service.Tenants) > 0 {
		v.Tenant = w.s.Service.Tenants[0]
	}
	ways := []playersim.Bad{playersim.LeaveAtOnce, playersim.LeaveLater, playersim.HalfFrame, playersim.Garbage, playersim.Unmasked}
	if a.bad < w.s.Bad {
		v.Bad = ways[int(a.bad/w.s.Bad*float64(len(ways)))]
	}
	return v
}

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

// Options are the options of a run.
type Options struct {
	Command       []string // starts a front; the path of its settings file is appended
	NoRecovery    bool     // fronts restore no state when they restart, for comparison with recovery
	Dir           string   // for settings, states, logs and records
	Baseline      string   // the baseline that decides; "": the decision module
	Out           io.Writer
	Env           []string               // additional environment variables of the fronts
	LimitsForm    string                 // a (limits ...) form for the settings of the fronts
	ExtraSettings func(front int) string // additional forms for a front's settings
	NoRecord      bool                   // for measurements: no events are recorded, so the run cannot be audited
}

// world is a running day.
type world struct {
	script     *Script
	options    Options
	rng        *rand.Rand
	records    *record.Log
	farm       *mediasim.Farm
	serverList *listsim.List
	players    *playersim.Crowd
	fronts     []*process
	ports      *ports.Reservation // addresses of fronts
	mu         sync.Mutex
	inFault    map[uint32]bool // servers that a fault uses
	faultsDone sync.WaitGroup
}

// process is a front that runs as a process.
type process struct {
	world       *world
	name        string
	index       int
	addr        string
	hlsAddr     string
	controlAddr string // where it accepts commands for its fleet
	cmd         *exec.Cmd
	exited      chan struct{}
	logFile     *os.File
}

// Run plays a day and audits its records.
func Run(ctx context.Context, s *Script, o Options) (*audit.Report, error) {
	w, err := Open(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	if err := w.playDay(ctx); err != nil {
		return nil, err
	}
	return w.Judge(ctx)
}

// World is a running day: its stand-ins and fronts.
type World = world

// Open starts the stand-ins and fronts of a day. The caller has to call Close if it succeeds.
func Open(ctx context.Context, s *Script, o Options) (*World, error) {
	var rec *record.Log
	if !o.NoRecord {
		var err error
		if rec, err = record.Create(filepath.Join(o.Dir, "record.jsonl")); err != nil {
			return nil, err
		}
	}
	w := &world{script: s, options: o, rng: rand.New(rand.NewSource(s.Seed)), records: rec, inFault: map[uint32]bool{}}
	w.records.Add(w.auditRules().Event())
	if err := w.open(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// open starts the server list, the media servers and the fronts.
func (w *world) open(ctx context.Context) (err error) {
	s, service := w.script, w.script.Service.Service
	if w.serverList, err = listsim.New("127.0.0.1:0", w.records); err != nil {
		return err
	}
	key, err := hex.DecodeString(hlsKeyHex)
	if err != nil {
		return err
	}
	keys, err := hlstoken.NewKeys(key)
	if err != nil {
		return err
	}
	w.farm, err = mediasim.New(mediasim.Params{Ladder: service.RungKB, Slots: s.Slots, LinkKB: s.LinkKB,
		UplinkKB: s.UplinkKB, RateVariation: s.RateVariation,
		Racks: service.Racks, Cells: service.Cells, SetupTime: s.SetupTime, ReportInterval: s.ReportInterval,
		NoteDelay:    toDuration(service.NoteDelay),
		NoteInterval: toDuration(service.NoteInterval), FullThreshold: service.FullThreshold,
		InlineReports: service.InlineReports, WarmupTime: toDuration(service.WarmupTime),
		ColdCapacity: service.ColdCapacity, OverloadFactor: service.OverloadFactor,
		OverloadWindow: toDuration(service.OverloadWindow), SessionTimeout: s.SessionTimeout,
		HoldsTitle: s.holdsTitle, Seed: s.Seed,
		ExtraFamilies: s.Families, SocketDir: w.options.Dir, ServeHLS: s.HLS > 0, TokenKeys: keys}, s.Servers,
		w.records)
	if err != nil {
		return err
	}
	for _, m := range w.farm.Servers() {
		w.serverList.Set(w.listEntry(m, "ready"))
	}
	if w.ports, err = ports.Reserve(2 * s.Fronts); err != nil {
		return err
	}
	for i := range s.Fronts {
		p := &process{world: w, name: fmt.Sprintf("front-%d", i), index: i, addr: w.ports.Addrs[2*i]}
		if s.HLS > 0 {
			p.hlsAddr = w.ports.Addrs[2*i+1]
		}
		w.fronts = append(w.fronts, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return sleep(ctx, 300*time.Millisecond) // the fronts have read the server list by then
}

// Close stops everything that still runs and closes the record.
func (w *world) Close() {
	w.killRemaining()
	if w.farm != nil {
		w.farm.Close()
	}
	if w.serverList != nil {
		w.serverList.Close()
	}
	if w.ports != nil {
		w.ports.Close()
	}
	w.records.Close()
}

// Record returns the log in which players record the messages on their sockets.
func (w *world) Record() *record.Log { return w.records }

// Front returns the name and address of front n modulo the number of fronts.
func (w *world) Front(n int) (name, addr string) {
	p := w.fronts[n%len(w.fronts)]
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.name, p.addr
}

// FrontHLS returns the name of front n modulo the number of fronts and the address at which it serves manifests.
func (w *world) FrontHLS(n int) (name, addr string) {
	p := w.fronts[n%len(w.fronts)]
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.name, p.hlsAddr
}

// FrontPID returns the process id of a front.
func (w *world) FrontPID(n int) int { return w.fronts[n].cmd.Process.Pid }

// StartFaults starts the faults of the script, whose times count from now. The function it returns waits for their end.
func (w *world) StartFaults(ctx context.Context) (wait func()) {
	startedAt := time.Now()
	for _, t := range w.script.Faults {
		w.faultsDone.Add(1)
		go func() {
			defer w.faultsDone.Done()
			if sleep(ctx, time.Until(startedAt.Add(t.At))) == nil {
				w.playFault(ctx, t)
			}
		}()
	}
	return w.faultsDone.Wait
}

// Judge shuts down the fronts, waits until the servers have ended orphaned streams, and audits the records.
func (w *world) Judge(ctx context.Context) (*audit.Report, error) {
	w.shutdownFronts()
	if err := sleep(ctx, w.script.SessionTimeout+500*time.Millisecond); err != nil {
		return nil, err
	}
	w.records.Add(record.Event{Source: "day", Kind: record.DayFinished})
	w.Close()
	events, err := record.ReadDir(w.options.Dir)
	if err != nil {
		return nil, err
	}
	return audit.Judge(events)
}

// playDay plays the viewers and faults of the script.
func (w *world) playDay(ctx context.Context) error {
	// n + n/7 loads the fronts unevenly.
	w.players = playersim.New(w.records, w.script.Seed, 0.88, func(n int) (string, string) { return w.Front(n + n/7) })
	w.players.ResumeWindow = 3 * time.Second
	viewersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	waitForFaults := w.StartFaults(viewersCtx)
	var activeViewers sync.WaitGroup
	startedAt := time.Now()
	for _, a := range w.script.arrivals() {
		if err := sleep(ctx, time.Until(startedAt.Add(a.at))); err != nil {
			return err
		}
		activeViewers.Add(1)
		go func() {
			defer activeViewers.Done()
			if a.hls {
				w.players.WatchHLS(viewersCtx, w.viewerFor(a), w.FrontHLS)
				return
			}
			w.players.Watch(viewersCtx, w.viewerFor(a))
		}()
	}
	waitForFaults()
	done := make(chan struct{})
	go func() { activeViewers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(w.script.MaxWatch + 3*time.Second):
	}
	cancel()
	<-done
	return nil
}

// sleep waits for d or until ctx ends.
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

// auditSkew is the audit's tolerance for the order of messages on different sockets, on a loaded machine.
const auditSkew = 60 * time.Millisecond

// auditRules returns the rules that fit the settings of the service.
func (w *world) auditRules() audit.Rules {
	service := w.script.Service.Service
	r := audit.Rules{AnswerGrace: 40 * time.Millisecond, DrainGrace: toDuration(service.DrainGrace), Skew: auditSkew,
		ColdSpan: toDuration(service.WarmupTime),
		ColdFrom: service.ColdCapacity, FallTimes: service.OverloadFactor,
		FallSpan: toDuration(service.OverloadWindow), Budgeted: service.RetriesLimited, Spare: service.SpareRetries,
		Ratio: service.RetryRatio, BudgetSpan: toDuration(service.RetryWindow), RungWorth: service.RungWorth,
		StallCost: service.StallCost, ChangeCost: service.ChangeCost}
	for i, class := range service.Classes {
		r.Classes = append(r.Classes, audit.Class{Name: w.script.Service.Classes[i], Paid: class.Paid,
			Floor: class.Floor, Seats: class.Seats,
			Aim: toDuration(class.SetupTarget), Deadline: toDuration(class.Deadline)})
	}
	return r
}

// listEntry returns the entry of a server in the server list.
func (w *world) listEntry(m *mediasim.Server, health string) listsim.Server {
	kind, zone := "", ""
	if len(w.script.Service.Kinds) > 0 {
		kind = w.script.Service.Kinds[0]
	}
	if n := len(w.script.Service.Zones); n > 0 { // racks take zones in turn
		zone = w.script.Service.Zones[m.Cell%max(w.script.Service.Service.Racks, 1)%n]
	}
	return listsim.Server{ID: m.ID, Addr: m.Addr(), Cell: m.Cell, Zone: zone, Kind: kind, Size: 1,
		StartedAt: m.StartedAt(), Health: health, ExtraAddrs: m.Addrs()[1:],
		HTTPAddr: m.HTTPAddr()}
}

// viewerFor returns the viewer that an arrival stands for.
func (w *world) viewerFor(a arrival) playersim.Viewer {
	class := w.script.Service.Service.Classes[a.class]
	v := playersim.Viewer{Name: fmt.Sprintf("viewer-%d", a.index), Title: w.script.titleName(a.title),
		Class: w.script.Service.Classes[a.class], ClassIndex: a.class,
		Top: a.topRung, WatchTime: a.watch, Worth: class.Worth}
	if len(w.script.Service.Tenants) > 0 {
		v.Tenant = w.script.Service.Tenants[0]
	}
	misbehaviours := []playersim.Misbehaviour{playersim.LeaveAtOnce, playersim.LeaveLater, playersim.HalfFrame,
		playersim.Garbage, playersim.Unmasked}
	if a.misbehaviourDraw < w.script.MisbehavingShare {
		v.Misbehaviour = misbehaviours[int(a.misbehaviourDraw/w.script.MisbehavingShare*float64(len(misbehaviours)))]
	}
	return v
}

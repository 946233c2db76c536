package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/load"
	"tealledge/internal/standin/playersim"
)

type loadCmd struct {
	URL     string        `arg:"" optional:"" help:"ws://HOST:PORT/v1/sessions; without it, stand-ins and fronts are started."`
	Script  string        `help:"Day script for the stand-ins and their troubles." type:"existingfile"`
	Clients int           `help:"Player connections." default:"100"`
	Rate    float64       `help:"Requests a second." default:"50"`
	Length  time.Duration `default:"20s"`
	Shape   string        `help:"poisson, classes (thirty at once), ramp or closed." enum:"poisson,classes,ramp,closed" default:"poisson"`
	HoldMin time.Duration `default:"1s"`
	HoldMax time.Duration `default:"3s"`
	Wait    time.Duration `help:"Each player gives up after this; 0: as its class says." default:"0"`
	Bad     float64       `help:"Misbehaving players beside the good ones, as a share of them." default:"0"`
	Titles  []string      `help:"Titles to ask for at a front of your own."`
	Classes []string      `help:"Classes to ask for there."`
	Tenant  string        `help:"Tenant to ask as there."`
	Seed    int64         `default:"1"`
	Record  string        `help:"Keep records in this directory." type:"path"`
	JSON    bool          `help:"Print the result as JSON."`
	Plot    string        `help:"Write a latency plot (PNG) to this file." type:"path"`
}

func (c *loadCmd) Run(ctx context.Context) error {
	p := load.Plan{Clients: c.Clients, Rate: c.Rate, Length: c.Length, Shape: load.Shape(c.Shape), Hold: [2]time.Duration{c.HoldMin, c.HoldMax},
		Bad: c.Bad, Wait: c.Wait, Titles: c.Titles, Classes: c.Classes, Tenant: c.Tenant, Seed: c.Seed}
	if c.URL != "" {
		addr, _, _ := strings.Cut(strings.TrimPrefix(c.URL, "ws://"), "/")
		p.Front = func(int) (string, string) { return "front", addr }
		res, err := load.Run(ctx, p, nil)
		if err != nil {
			return err
		}
		return c.print(res)
	}
	s, err := day.Load(c.Script)
	if c.Script == "" {
		s, err = day.Quiet()
	}
	if err != nil {
		return err
	}
	dir := c.Record
	if dir == "" {
		if dir, err = os.MkdirTemp("", "tealledge-load-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	w, err := day.Open(ctx, s, day.Options{Command: frontCommand(), Dir: dir, Out: os.Stderr})
	if err != nil {
		return err
	}
	defer w.Close()
	p.Front, p.Titles, p.Classes, p.Mix = w.Front, s.TitleNames(), s.Service.Classes, s.Mix
	wait := w.Troubles(ctx)
	res, err := load.Run(ctx, p, w.Record())
	if err != nil {
		return err
	}
	wait()
	if err := c.print(res); err != nil {
		return err
	}
	report, err := w.Judge(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		if len(report.Violations) > 0 {
			return errRules
		}
		return nil
	}
	fmt.Println()
	return judged(report, false)
}

func (c *loadCmd) print(res *load.Result) error {
	if c.Plot != "" {
		if err := load.Plot(c.Plot, "open to answer (loopback)", "share of requests, in nines", "ms", []load.Line{res.Curve("answers")}); err != nil {
			return err
		}
	}
	if !c.JSON {
		fmt.Print(res.Table())
		return nil
	}
	b, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

// frontCommand starts this program as a front.
func frontCommand() []string {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	return []string{self, "serve", "-c"}
}

type standinEchoCmd struct{}

func (standinEchoCmd) Run(ctx context.Context) error {
	e, err := load.NewEcho("127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Printf("ready ws://%s/\n", e.Addr())
	go e.Serve()
	<-ctx.Done()
	return nil
}

type measureCmd struct {
	Clients int           `help:"Connections in the closed loops." default:"64"`
	Length  time.Duration `help:"Of each loop." default:"4s"`
	Rounds  int           `help:"Rounds, front and echo in turn." default:"3"`
	Held    int           `help:"Sessions held for the memory figure." default:"10000"`
	Idle    int           `help:"Idle connections for their figure." default:"10000"`
	CPU     string        `name:"cpuprofile" help:"Write a CPU profile of the front to this file." type:"path"`
}

// Run measures a front and a bare echo in turn: sessions a second in closed loops, CPU of the process a session,
// what the front adds to an answer, bytes a held session.
func (c *measureCmd) Run(ctx context.Context) error {
	s, err := wide()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tealledge-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	command := frontCommand()
	if c.CPU != "" {
		command = []string{command[0], "serve", "--cpuprofile", c.CPU, "-c"}
	}
	w, err := day.Open(ctx, s, day.Options{Command: command, Dir: dir, Out: os.Stderr, NoRecord: true,
		Limits: "(limits (handshakes 100000))"})
	if err != nil {
		return err
	}
	defer w.Close()
	echo, err := spawn("standin", "echo")
	if err != nil {
		return err
	}
	defer echo.end()
	at, err := echo.until("ready ws://", nil)
	if err != nil {
		return err
	}
	base := load.Plan{Clients: c.Clients, Length: c.Length, Shape: load.Closed, Titles: s.TitleNames(), Classes: s.Service.Classes[:1], Seed: 1}
	front, bare := base, base
	front.Front = w.Front
	bare.Front = func(int) (string, string) { return "echo", strings.TrimSuffix(at, "/") }
	bare.Echo = true
	front.Shape = load.Poisson
	if err := c.memory(ctx, front, w.Pid(0)); err != nil { // first, while the process is fresh
		return err
	}
	if err := c.idle(ctx, w); err != nil {
		return err
	}
	front.Shape = load.Closed
	run := func(name string, p load.Plan, pid int) (*load.Result, float64, error) {
		before := cpuOf(pid)
		r, err := load.Run(ctx, p, nil)
		if err != nil {
			return nil, 0, err
		}
		cpu := (cpuOf(pid) - before).Seconds() * 1e6 / float64(max(r.Sent, 1))
		fmt.Printf("%-22s %8.0f sessions/s  %6.1f us CPU a session  p50 %.2f ms  p99 %.2f ms  p99.9 %.2f ms  max %.1f ms  %v\n", name, r.Opened, cpu,
			r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max, r.Kinds)
		return r, cpu, nil
	}
	for i := range c.Rounds {
		f, fc, err := run(fmt.Sprintf("front, closed %d", i+1), front, w.Pid(0))
		if err != nil {
			return err
		}
		e, ec, err := run(fmt.Sprintf("echo, closed %d", i+1), bare, echo.cmd.Process.Pid)
		if err != nil {
			return err
		}
		fmt.Printf("  front over echo: %.2f of its sessions a second, %.1f times its CPU\n", f.Opened/e.Opened, fc/ec)
	}
	front.Shape, bare.Shape, front.Rate, bare.Rate = load.Poisson, load.Poisson, 200, 200
	f, _, err := run("front, 200 a second", front, w.Pid(0))
	if err != nil {
		return err
	}
	e, _, err := run("echo, 200 a second", bare, echo.cmd.Process.Pid)
	if err != nil {
		return err
	}
	fmt.Printf("  front adds: p50 %.2f ms, p99 %.2f ms (two round trips and the server's own time against one)\n", f.Latency.P50-e.Latency.P50, f.Latency.P99-e.Latency.P99)
	w.Leave()
	return nil
}

// idle opens connections that say nothing and looks at the process.
func (c *measureCmd) idle(ctx context.Context, w *day.World) error {
	if c.Idle == 0 {
		return nil
	}
	pid := w.Pid(0)
	before := rssOf(pid)
	var conns []net.Conn
	defer func() {
		for _, nc := range conns {
			nc.Close()
		}
	}()
	_, addr := w.Front(0)
	for range c.Idle {
		nc, err := playersim.Dial(ctx, addr)
		if err != nil {
			return fmt.Errorf("after %d connections: %w", len(conns), err)
		}
		conns = append(conns, nc)
	}
	time.Sleep(time.Second)
	cpu := cpuOf(pid)
	time.Sleep(5 * time.Second)
	fmt.Printf("%d idle connections: %.1f kB each, %.1f%% of a core\n", len(conns), float64(rssOf(pid)-before)/1024/float64(len(conns)),
		(cpuOf(pid)-cpu).Seconds()/5*100)
	return nil
}

// memory holds sessions over a few connections and looks at the process meanwhile.
func (c *measureCmd) memory(ctx context.Context, p load.Plan, pid int) error {
	before, files := rssOf(pid), filesOf(pid)
	p.Clients, p.Rate, p.Length = 50, 1000, time.Duration(float64(c.Held)/1000*float64(time.Second))
	p.Hold = [2]time.Duration{time.Hour, time.Hour}
	type look struct{ rss, files int }
	seen := make(chan look, 1)
	time.AfterFunc(p.Length-50*time.Millisecond, func() { seen <- look{rssOf(pid), filesOf(pid)} })
	r, err := load.Run(ctx, p, nil)
	if err != nil {
		return err
	}
	s := <-seen
	fmt.Printf("held about %d sessions: resident memory %d to %d kB, %.1f kB a session; p99 meanwhile %.2f ms\n", r.Kinds["plays"], before/1024, s.rss/1024,
		float64(s.rss-before)/1024/float64(max(r.Kinds["plays"], 1)), r.Latency.P99)
	time.Sleep(time.Second)
	fmt.Printf("descriptors %d before, %d while held, %d after\n", files, s.files, filesOf(pid))
	return nil
}

// cpuOf gives the CPU time that a process has used (user and system).
func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	sys, _ := strconv.Atoi(f[12])
	return time.Duration(user+sys) * 10 * time.Millisecond // clock ticks of 100 a second
}

// rssOf gives a process's resident memory in bytes.
func rssOf(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize()
}

func filesOf(pid int) int {
	list, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	return len(list)
}

// wide gives a quiet day with one front, whose servers take whatever is asked at once: what is measured is the front.
func wide() (*day.Script, error) {
	s, err := day.Quiet()
	if err != nil {
		return nil, err
	}
	s.Fronts, s.SetupTime = 1, 0
	s.Slots, s.LinkKB, s.UplinkKB = 1e6, 1e9, 1e10
	s.Scale()
	return s, nil
}

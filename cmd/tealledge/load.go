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
	plan := load.Plan{Clients: c.Clients, Rate: c.Rate, Duration: c.Length, Shape: load.Shape(c.Shape),
		HoldTime:         [2]time.Duration{c.HoldMin, c.HoldMax},
		MisbehavingShare: c.Bad, Timeout: c.Wait, Titles: c.Titles, Classes: c.Classes, Tenant: c.Tenant, Seed: c.Seed}
	if c.URL != "" {
		addr, _, _ := strings.Cut(strings.TrimPrefix(c.URL, "ws://"), "/")
		plan.Front = func(int) (string, string) { return "front", addr }
		result, err := load.Run(ctx, plan, nil)
		if err != nil {
			return err
		}
		return c.print(result)
	}
	script, err := day.Load(c.Script)
	if c.Script == "" {
		script, err = day.QuietDay()
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
	world, err := day.Open(ctx, script, day.Options{Command: frontCommand(), Dir: dir, Out: os.Stderr})
	if err != nil {
		return err
	}
	defer world.Close()
	plan.Front, plan.Titles, plan.Classes, plan.ClassShares =
		world.Front, script.TitleNames(), script.Service.Classes, script.ClassMix
	waitFaults := world.StartFaults(ctx)
	result, err := load.Run(ctx, plan, world.Record())
	if err != nil {
		return err
	}
	waitFaults()
	if err := c.print(result); err != nil {
		return err
	}
	report, err := world.Judge(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		if len(report.Violations) > 0 {
			return errRuleViolated
		}
		return nil
	}
	fmt.Println()
	return printReport(report, false)
}

func (c *loadCmd) print(result *load.Result) error {
	if c.Plot != "" {
		if err := load.Plot(c.Plot, "open to answer (loopback)", "share of requests, in nines", "ms",
			[]load.Series{result.LatencyCurve("answers")}); err != nil {
			return err
		}
	}
	if !c.JSON {
		fmt.Print(result.Table())
		return nil
	}
	b, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

// frontCommand returns the command that starts this program as a front, without the settings file.
func frontCommand() []string {
	executable, err := os.Executable()
	if err != nil {
		executable = os.Args[0]
	}
	return []string{executable, "serve", "-c"}
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

// Run measures a front and a bare WebSocket echo in turn: sessions per second in closed loops, CPU time per session,
// the latency that the front adds to an answer, and memory per held session.
func (c *measureCmd) Run(ctx context.Context) error {
	script, err := unlimitedScript()
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
	world, err := day.Open(ctx, script, day.Options{Command: command, Dir: dir, Out: os.Stderr, NoRecord: true,
		LimitsForm: "(limits (handshakes 100000))"})
	if err != nil {
		return err
	}
	defer world.Close()
	echo, err := startChild("standin", "echo")
	if err != nil {
		return err
	}
	defer echo.stop()
	echoAddr, err := echo.readUntil("ready ws://", nil)
	if err != nil {
		return err
	}
	base := load.Plan{Clients: c.Clients, Duration: c.Length, Shape: load.Closed, Titles: script.TitleNames(),
		Classes: script.Service.Classes[:1], Seed: 1}
	frontPlan, echoPlan := base, base
	frontPlan.Front = world.Front
	echoPlan.Front = func(int) (string, string) { return "echo", strings.TrimSuffix(echoAddr, "/") }
	echoPlan.PeerEchoes = true
	frontPlan.Shape = load.Poisson
	// Memory is measured first, before other loads change that of the process.
	if err := c.measureMemory(ctx, frontPlan, world.FrontPID(0)); err != nil {
		return err
	}
	if err := c.measureIdle(ctx, world); err != nil {
		return err
	}
	frontPlan.Shape = load.Closed
	run := func(name string, plan load.Plan, pid int) (*load.Result, float64, error) {
		cpuBefore := cpuTime(pid)
		result, err := load.Run(ctx, plan, nil)
		if err != nil {
			return nil, 0, err
		}
		cpu := (cpuTime(pid) - cpuBefore).Seconds() * 1e6 / float64(max(result.Sent, 1))
		fmt.Printf("%-22s %8.0f sessions/s  %6.1f us CPU a session  p50 %.2f ms  p99 %.2f ms  p99.9 %.2f ms  max %.1f ms  %v\n",
			name, result.Opened, cpu,
			result.Latency.P50, result.Latency.P99, result.Latency.P999, result.Latency.Max, result.Kinds)
		return result, cpu, nil
	}
	for i := range c.Rounds {
		frontResult, frontCPU, err := run(fmt.Sprintf("front, closed %d", i+1), frontPlan, world.FrontPID(0))
		if err != nil {
			return err
		}
		echoResult, echoCPU, err := run(fmt.Sprintf("echo, closed %d", i+1), echoPlan, echo.cmd.Process.Pid)
		if err != nil {
			return err
		}
		fmt.Printf("  front over echo: %.2f of its sessions a second, %.1f times its CPU\n",
			frontResult.Opened/echoResult.Opened, frontCPU/echoCPU)
	}
	frontPlan.Shape, echoPlan.Shape, frontPlan.Rate, echoPlan.Rate = load.Poisson, load.Poisson, 200, 200
	frontResult, _, err := run("front, 200 a second", frontPlan, world.FrontPID(0))
	if err != nil {
		return err
	}
	echoResult, _, err := run("echo, 200 a second", echoPlan, echo.cmd.Process.Pid)
	if err != nil {
		return err
	}
	fmt.Printf("  front adds: p50 %.2f ms, p99 %.2f ms (two round trips and the server's own time against one)\n",
		frontResult.Latency.P50-echoResult.Latency.P50, frontResult.Latency.P99-echoResult.Latency.P99)
	world.ShutdownFronts()
	return nil
}

// measureIdle measures the memory and CPU of idle connections.
func (c *measureCmd) measureIdle(ctx context.Context, world *day.World) error {
	if c.Idle == 0 {
		return nil
	}
	pid := world.FrontPID(0)
	rssBefore := residentBytes(pid)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	_, addr := world.Front(0)
	for range c.Idle {
		conn, err := playersim.Dial(ctx, addr)
		if err != nil {
			return fmt.Errorf("after %d connections: %w", len(conns), err)
		}
		conns = append(conns, conn)
	}
	time.Sleep(time.Second)
	cpuBefore := cpuTime(pid)
	time.Sleep(5 * time.Second)
	fmt.Printf("%d idle connections: %.1f kB each, %.1f%% of a core\n", len(conns),
		float64(residentBytes(pid)-rssBefore)/1024/float64(len(conns)),
		(cpuTime(pid)-cpuBefore).Seconds()/5*100)
	return nil
}

// measureMemory holds sessions over a few connections and measures memory and descriptors of the process meanwhile.
func (c *measureCmd) measureMemory(ctx context.Context, plan load.Plan, pid int) error {
	rssBefore, filesBefore := residentBytes(pid), openFiles(pid)
	plan.Clients, plan.Rate, plan.Duration = 50, 1000, time.Duration(float64(c.Held)/1000*float64(time.Second))
	plan.HoldTime = [2]time.Duration{time.Hour, time.Hour}
	type sample struct{ rss, files int }
	samples := make(chan sample, 1)
	time.AfterFunc(plan.Duration-50*time.Millisecond, func() { samples <- sample{residentBytes(pid), openFiles(pid)} })
	result, err := load.Run(ctx, plan, nil)
	if err != nil {
		return err
	}
	held := <-samples
	fmt.Printf("held about %d sessions: resident memory %d to %d kB, %.1f kB a session; p99 meanwhile %.2f ms\n",
		result.Kinds["plays"], rssBefore/1024, held.rss/1024,
		float64(held.rss-rssBefore)/1024/float64(max(result.Kinds["plays"], 1)), result.Latency.P99)
	time.Sleep(time.Second)
	fmt.Printf("descriptors %d before, %d while held, %d after\n", filesBefore, held.files, openFiles(pid))
	return nil
}

// cpuTime returns the CPU time that a process has used (user and system).
func cpuTime(pid int) time.Duration {
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
	return time.Duration(user+sys) * 10 * time.Millisecond // 100 clock ticks per second
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int {
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

// openFiles returns the number of open descriptors of a process.
func openFiles(pid int) int {
	list, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	return len(list)
}

// unlimitedScript returns a day without faults, with one front and with servers that accept all set-ups at once, so
// that only the front limits the results.
func unlimitedScript() (*day.Script, error) {
	script, err := day.QuietDay()
	if err != nil {
		return nil, err
	}
	script.Fronts, script.SetupTime = 1, 0
	script.Slots, script.LinkKB, script.UplinkKB = 1e6, 1e9, 1e10
	script.SyncCapacities()
	return script, nil
}

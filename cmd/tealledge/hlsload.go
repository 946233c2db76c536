package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/load"
)

type hlsLoadCmd struct {
	Sessions int           `help:"Live sessions held at one time." default:"50000"`
	Rate     float64       `help:"Sessions opened a second until then." default:"2500"`
	Every    time.Duration `help:"Each session's reloads." default:"4s"`
	Length   time.Duration `help:"With all held." default:"12s"`
	CPU      string        `name:"cpuprofile" help:"Write a CPU profile of the front to this file." type:"path"`
}

// Run holds live HLS sessions at one front, reloads their playlists, and measures CPU, latency and memory of the front.
func (c *hlsLoadCmd) Run(ctx context.Context) error {
	script, err := unlimitedScript()
	if err != nil {
		return err
	}
	script.HLS = 1
	dir, err := os.MkdirTemp("", "tealledge-hls-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	command := frontCommand()
	if c.CPU != "" {
		command = []string{command[0], "serve", "--cpuprofile", c.CPU, "-c"}
	}
	world, err := day.Open(ctx, script, day.Options{Command: command, Dir: dir, Out: os.Stderr, NoRecord: true})
	if err != nil {
		return err
	}
	defer world.Close()
	var liveTitles []string
	for _, t := range script.TitleNames() {
		if strings.HasPrefix(t, "live-") {
			liveTitles = append(liveTitles, t)
		}
	}
	pid := world.FrontPID(0)
	rssBefore := residentBytes(pid)
	var cpuBefore time.Duration
	var startedAt time.Time
	_, addr := world.FrontHLS(0)
	result, err := load.HLS(ctx, load.HLSPlan{Addr: addr, Titles: liveTitles, Class: script.Service.Classes[0],
		Sessions: c.Sessions, Rate: c.Rate, ReloadInterval: c.Every,
		Duration: c.Length, Workers: 256}, func() { cpuBefore, startedAt = cpuTime(pid), time.Now() })
	if err != nil {
		return err
	}
	cpuSeconds := (cpuTime(pid) - cpuBefore).Seconds()
	fmt.Printf("%d sessions held, %d refused; %d reloads, %.0f a second, %d errors\n", result.Held, result.Refused,
		result.Reloads, result.PerSecond, result.Errors)
	fmt.Printf("reloads, ms: p50 %.2f p99 %.2f p99.9 %.2f max %.1f\n", result.Latency.P50, result.Latency.P99,
		result.Latency.P999, result.Latency.Max)
	fmt.Printf("front: %.2f of a core, %.0f us CPU a reload, resident %d to %d kB, %.1f kB a session\n",
		cpuSeconds/time.Since(startedAt).Seconds(),
		cpuSeconds*1e6/float64(max(result.Reloads, 1)), rssBefore/1024, residentBytes(pid)/1024,
		float64(residentBytes(pid)-rssBefore)/1024/float64(max(result.Held, 1)))
	world.ShutdownFronts()
	return nil
}

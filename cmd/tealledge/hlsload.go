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

// Run holds live HLS sessions at one front and reloads them: CPU, latency and memory of the front.
func (c *hlsLoadCmd) Run(ctx context.Context) error {
	s, err := wide()
	if err != nil {
		return err
	}
	s.HLS = 1
	dir, err := os.MkdirTemp("", "tealledge-hls-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	command := frontCommand()
	if c.CPU != "" {
		command = []string{command[0], "serve", "--cpuprofile", c.CPU, "-c"}
	}
	w, err := day.Open(ctx, s, day.Options{Command: command, Dir: dir, Out: os.Stderr, NoRecord: true})
	if err != nil {
		return err
	}
	defer w.Close()
	var live []string
	for _, t := range s.TitleNames() {
		if strings.HasPrefix(t, "live-") {
			live = append(live, t)
		}
	}
	pid := w.Pid(0)
	before := rssOf(pid)
	var cpu time.Duration
	var at time.Time
	_, addr := w.FrontHLS(0)
	r, err := load.HLS(ctx, load.HLSPlan{Addr: addr, Titles: live, Class: s.Service.Classes[0], Sessions: c.Sessions, Rate: c.Rate, Every: c.Every,
		Length: c.Length, Workers: 256}, func() { cpu, at = cpuOf(pid), time.Now() })
	if err != nil {
		return err
	}
	used := (cpuOf(pid) - cpu).Seconds()
	fmt.Printf("%d sessions held, %d refused; %d reloads, %.0f a second, %d errors\n", r.Held, r.Refused, r.Reloads, r.PerSecond, r.Errors)
	fmt.Printf("reloads, ms: p50 %.2f p99 %.2f p99.9 %.2f max %.1f\n", r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max)
	fmt.Printf("front: %.2f of a core, %.0f us CPU a reload, resident %d to %d kB, %.1f kB a session\n", used/time.Since(at).Seconds(),
		used*1e6/float64(max(r.Reloads, 1)), before/1024, rssOf(pid)/1024, float64(rssOf(pid)-before)/1024/float64(max(r.Held, 1)))
	w.Leave()
	return nil
}

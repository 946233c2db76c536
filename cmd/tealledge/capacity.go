package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/load"
)

type capacityCmd struct {
	Clients int           `help:"Player connections." default:"500"`
	Length  time.Duration `help:"Of each step." default:"5s"`
	Cores   int           `help:"Cores that the front may use (GOMAXPROCS); the others are the generator's." default:"1"`
	From    float64       `help:"First rate tried." default:"1000"`
	Only    float64       `help:"Offer this rate alone, once." default:"0"`
	CPU     string        `name:"cpuprofile" help:"Write a CPU profile of the front to this file." type:"path"`
	Plot    string        `help:"Write goodput over offered load (PNG) to this file." type:"path"`
}

// limit is the p99 up to which a rate counts as carried.
const limit = 100 // ms

// Run finds the highest rate whose p99 stays under the limit with all requests playing, then offers multiples of it.
func (c *capacityCmd) Run(ctx context.Context) error {
	if c.Only > 0 {
		r, err := c.step(ctx, c.Only, true)
		if err == nil {
			fmt.Print(r.Table())
		}
		return err
	}
	carried, err := c.find(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("carried with p99 under %d ms: %.0f requests a second (front on %d core(s), loopback)\n\n", limit, carried, c.Cores)
	var lines []load.Line
	for _, gate := range []bool{true, false} {
		name := map[bool]string{true: "with overload decisions", false: "without"}[gate]
		fmt.Println(name)
		line := load.Line{Name: name}
		for _, times := range []float64{0.5, 1, 1.5, 2, 3, 4} {
			r, err := c.step(ctx, carried*times, gate)
			if err != nil {
				return err
			}
			fmt.Printf("  offered %.1fx: goodput %.2f of what is carried; plays %d refused %d failed %d broken %d, after 1 s %d; p50 %.1f p99 %.1f max %.1f ms\n",
				times, r.Goodput/carried, r.Kinds["plays"], r.Kinds["refused"], r.Kinds["failed"], r.Kinds["broken"], r.Late, r.Latency.P50, r.Latency.P99, r.Latency.Max)
			line.X, line.Y = append(line.X, times), append(line.Y, r.Goodput/carried)
		}
		lines = append(lines, line)
	}
	if c.Plot == "" {
		return nil
	}
	return load.Plot(c.Plot, "goodput over offered load (loopback, simulated players)", "offered, times what is carried", "goodput, times what is carried", lines)
}

func (c *capacityCmd) find(ctx context.Context) (carried float64, err error) {
	for rate := c.From; ; rate *= 1.2 {
		r, err := c.step(ctx, rate, true)
		if err != nil {
			return 0, err
		}
		answered := r.Kinds["plays"]
		fmt.Printf("  %.0f a second: plays %d of %d, p50 %.2f p99 %.2f max %.1f ms\n", rate, answered, r.Sent, r.Latency.P50, r.Latency.P99, r.Latency.Max)
		if r.Latency.P99 > limit || float64(answered) < 0.99*float64(r.Sent) {
			if carried == 0 {
				return 0, fmt.Errorf("not even %.0f a second are carried", rate)
			}
			return carried, nil
		}
		carried = rate
	}
}

// step runs one rate against a fresh front.
func (c *capacityCmd) step(ctx context.Context, rate float64, gate bool) (*load.Result, error) {
	s, err := wide()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "tealledge-capacity-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	limits := "(limits (handshakes 100000) (open 1000000) (queue 1000000))"
	if !gate {
		limits = "(limits (handshakes 100000) (open 1000000) (queue 1000000) (gate no))"
	}
	command := frontCommand()
	if c.CPU != "" {
		command = []string{command[0], "serve", "--cpuprofile", c.CPU, "-c"}
	}
	w, err := day.Open(ctx, s, day.Options{Command: command, Dir: dir, Out: os.Stderr, NoRecord: true, Limits: limits,
		Env: []string{fmt.Sprintf("GOMAXPROCS=%d", c.Cores)}})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	defer w.Leave()
	return load.Run(ctx, load.Plan{Front: w.Front, Clients: c.Clients, Length: c.Length, Rate: rate, Shape: load.Poisson,
		Hold: [2]time.Duration{200 * time.Millisecond, 500 * time.Millisecond}, Titles: s.TitleNames(), Classes: s.Service.Classes,
		Mix: []float64{0.35, 0.65}, Wait: time.Second, Seed: 1}, nil)
}

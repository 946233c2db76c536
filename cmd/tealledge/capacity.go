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

// maxP99Ms is the highest p99 latency, in milliseconds, at which a front carries a rate.
const maxP99Ms = 100

// Run finds the highest rate at which the p99 latency is at most maxP99Ms and at least 99% of the requests play. It
// then offers multiples of that rate.
func (c *capacityCmd) Run(ctx context.Context) error {
	if c.Only > 0 {
		result, err := c.runStep(ctx, c.Only, true)
		if err == nil {
			fmt.Print(result.Table())
		}
		return err
	}
	capacity, err := c.findCapacity(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("carried with p99 under %d ms: %.0f requests a second (front on %d core(s), loopback)\n\n",
		maxP99Ms, capacity, c.Cores)
	var curves []load.Series
	for _, overloadControl := range []bool{true, false} {
		name := map[bool]string{true: "with overload decisions", false: "without"}[overloadControl]
		fmt.Println(name)
		curve := load.Series{Name: name}
		for _, factor := range []float64{0.5, 1, 1.5, 2, 3, 4} {
			result, err := c.runStep(ctx, capacity*factor, overloadControl)
			if err != nil {
				return err
			}
			fmt.Printf("  offered %.1fx: goodput %.2f of what is carried; plays %d refused %d failed %d broken %d, after 1 s %d; p50 %.1f p99 %.1f max %.1f ms\n",
				factor, result.Goodput/capacity, result.Kinds["plays"], result.Kinds["refused"],
				result.Kinds["failed"], result.Kinds["broken"], result.Late, result.Latency.P50,
				result.Latency.P99, result.Latency.Max)
			curve.X, curve.Y = append(curve.X, factor), append(curve.Y, result.Goodput/capacity)
		}
		curves = append(curves, curve)
	}
	if c.Plot == "" {
		return nil
	}
	return load.Plot(c.Plot, "goodput over offered load (loopback, simulated players)",
		"offered, times what is carried", "goodput, times what is carried", curves)
}

// findCapacity raises the rate by steps of 20% and returns the last one that the front carried.
func (c *capacityCmd) findCapacity(ctx context.Context) (capacity float64, err error) {
	for rate := c.From; ; rate *= 1.2 {
		result, err := c.runStep(ctx, rate, true)
		if err != nil {
			return 0, err
		}
		playing := result.Kinds["plays"]
		fmt.Printf("  %.0f a second: plays %d of %d, p50 %.2f p99 %.2f max %.1f ms\n", rate, playing, result.Sent,
			result.Latency.P50, result.Latency.P99, result.Latency.Max)
		if result.Latency.P99 > maxP99Ms || float64(playing) < 0.99*float64(result.Sent) {
			if capacity == 0 {
				return 0, fmt.Errorf("not even %.0f a second are carried", rate)
			}
			return capacity, nil
		}
		capacity = rate
	}
}

// runStep offers one rate to a new front.
func (c *capacityCmd) runStep(ctx context.Context, rate float64, overloadControl bool) (*load.Result, error) {
	script, err := unlimitedScript()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "tealledge-capacity-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	limits := "(limits (handshakes 100000) (open 1000000) (queue 1000000))"
	if !overloadControl {
		limits = "(limits (handshakes 100000) (open 1000000) (queue 1000000) (gate no))"
	}
	command := frontCommand()
	if c.CPU != "" {
		command = []string{command[0], "serve", "--cpuprofile", c.CPU, "-c"}
	}
	world, err := day.Open(ctx, script, day.Options{Command: command, Dir: dir, Out: os.Stderr, NoRecord: true,
		LimitsForm: limits,
		Env:        []string{fmt.Sprintf("GOMAXPROCS=%d", c.Cores)}})
	if err != nil {
		return nil, err
	}
	defer world.Close()
	defer world.ShutdownFronts()
	return load.Run(ctx, load.Plan{Front: world.Front, Clients: c.Clients, Duration: c.Length, Rate: rate,
		Shape:    load.Poisson,
		HoldTime: [2]time.Duration{200 * time.Millisecond, 500 * time.Millisecond}, Titles: script.TitleNames(),
		Classes:     script.Service.Classes,
		ClassShares: []float64{0.35, 0.65}, Timeout: time.Second, Seed: 1}, nil)
}

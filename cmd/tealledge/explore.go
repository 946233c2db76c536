package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tealledge/internal/explore"
	"tealledge/internal/explore/attempts"
	"tealledge/internal/record"
)

type exploreCmd struct {
	World    string        `help:"A world by name: small (three sessions, two servers of two addresses, all kinds of fault), or own, from the counts below." enum:"small,own" default:"own"`
	Sessions int           `help:"Players: the first is paid, the second has a floor, the third is safe, and so on around." default:"1"`
	Servers  int           `default:"2"`
	Ways     int           `help:"Addresses of each server." default:"1"`
	Faults   int           `help:"Of all that follows, so much may happen in one run; 0: no bound but each one's own." default:"0"`
	Losses   int           `help:"Connections that may break." default:"1"`
	Refusals int           `help:"Dials that may be refused." default:"1"`
	Denials  int           `help:"Set-ups that may be turned away as full." default:"1"`
	Errors   int           `help:"Set-ups that may fail at the server." default:"0"`
	Leaves   int           `help:"Players that may leave." default:"1"`
	Breaks   int           `help:"Players whose connection may break; they may resume." default:"0"`
	Drains   int           `help:"Servers that may drain." default:"0"`
	Lists    int           `help:"Odd answers of the list service: partial, empty, older." default:"0"`
	Restarts int           `help:"Times that the front may die." default:"0"`
	Notes    int           `help:"Notes of short delivery." default:"0"`
	Waits    int           `help:"Times that the clock may go to the next instant that matters." default:"2"`
	Probes   bool          `help:"The module may probe."`
	Cold     bool          `help:"Servers have just started."`
	Budget   bool          `help:"Further attempts are rationed."`
	Depth    int           `help:"Choices in a run." default:"200"`
	States   int           `help:"Ends the search incomplete at so many; 8 to 20 bytes each." default:"400000000"`
	Time     time.Duration `help:"Ends the search incomplete, or the random walk." default:"15m"`
	Breadth  bool          `help:"Level by level: slower, tells the diameter."`
	Replay   bool          `help:"Replay in place of copying: the plain way, to compare."`
	Workers  int           `help:"0: one a core." default:"0"`
	Keep     string        `help:"File that an unfinished search is put aside in, also on SIGINT, and taken up from." type:"path"`
	Random   bool          `help:"Walk at random in place of a complete search, until the time is over."`
	Seed     int64         `default:"1"`
	Fault    string        `help:"Put a fault in, by its sentence, to see it found."`
	Script   string        `help:"Write the story of a violation as a script for tealledge day." type:"path"`
	From     string        `help:"Start from what a recorded day did last before the time given by --at." type:"existingfile"`
	At       time.Duration `help:"Time into the record."`
}

// Run explores the attempts of a small world. The exit code is 1 if a property is violated.
func (c *exploreCmd) Run(ctx context.Context) error {
	cfg := c.config()
	if c.World == "small" {
		cfg = attempts.SmallConfig(max(c.Faults, 1))
	}
	if cfg.Sessions < 1 || cfg.Sessions > 100 || cfg.Servers < 1 || cfg.Servers > 8 {
		return fmt.Errorf("1 to 100 sessions and 1 to 8 servers")
	}
	if c.Fault != "" {
		if err := cfg.InjectFault(c.Fault); err != nil {
			return err
		}
	}
	newWorld, err := c.worldFactory(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	workers := c.Workers
	var report explore.Report
	if c.Random {
		report = explore.RandomWalk(ctx, newWorld, c.Depth, max(workers, 1), c.Time, c.Seed)
	} else {
		report = explore.Run(newWorld, explore.Limits{Context: ctx, MaxDepth: c.Depth, MaxDuration: c.Time,
			MaxStates: c.States, BreadthFirst: c.Breadth, ReplayOnly: c.Replay, Workers: workers,
			CheckpointFile: c.Keep, World: fmt.Sprintf("%+v", cfg),
			Progress: func(report explore.Report) { fmt.Fprintln(os.Stderr, report) }})
	}
	fmt.Println(report)
	if report.CheckpointErr != nil {
		fmt.Fprintln(os.Stderr, report.CheckpointErr)
	}
	if report.Violation == "" {
		return nil
	}
	if c.Script != "" {
		if err := os.WriteFile(c.Script, []byte(attempts.Script(cfg, report)), 0o644); err != nil {
			return err
		}
	}
	return errRuleViolated
}

func (c *exploreCmd) config() attempts.Config {
	return attempts.Config{Sessions: c.Sessions, Servers: c.Servers, Ways: c.Ways, Faults: c.Faults, Losses: c.Losses,
		Refusals: c.Refusals, Denials: c.Denials, Errors: c.Errors, Leaves: c.Leaves, Breaks: c.Breaks,
		Drains: c.Drains, Lists: c.Lists, Restarts: c.Restarts, Notes: c.Notes, Waits: c.Waits, Probes: c.Probes,
		Cold: c.Cold, Budget: c.Budget}
}

// worldFactory returns a function that creates worlds: empty ones, or worlds in the state that a record shows.
func (c *exploreCmd) worldFactory(cfg attempts.Config) (func() explore.System, error) {
	if c.From == "" {
		return attempts.NewWithChoices(cfg, nil), nil
	}
	f, err := os.Open(c.From)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	events, err := record.Read(c.From, f)
	if err != nil {
		return nil, err
	}
	cfg, labels, err := attempts.FromRecord(events, c.At, cfg)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.From, err)
	}
	fmt.Fprintf(os.Stderr, "start, from %s:\n", c.From)
	for _, l := range labels {
		fmt.Fprintln(os.Stderr, " ", l)
	}
	return attempts.NewWithChoices(cfg, labels), nil
}

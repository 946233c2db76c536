// Command tealledge is the session front and its tools: it serves players, checks settings, plays scripted days against
// stand-ins and checks their records. See docs/run/front.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"tealledge/internal/config"
	"tealledge/internal/logging"
	"tealledge/internal/platform/program"
	"tealledge/internal/serve"
)

// cli holds the commands. Kong derives their names, flags and help from the fields.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Serve players by a settings file. SIGTERM leaves service."`
	Platform platformCmd `cmd:"" help:"Run as a front of the operators' platform, by the configuration in NODE_CONFIG."`
	Check    checkCmd    `cmd:"" help:"Check a settings file; every mistake is told with its line and column."`
	Demo     demoCmd     `cmd:"" help:"Run a list, media stand-ins and one front, and stay up."`
	Play     playCmd     `cmd:"" help:"Open one session at a front and watch it for a while."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in alone."`
	Day      dayCmd      `cmd:"" help:"Play a scripted day against stand-ins and judge what crossed the sockets."`
	Load     loadCmd     `cmd:"" help:"Load a front with players, open loop; without an address, against stand-ins of its own."`
	Measure  measureCmd  `cmd:"" help:"Measure a front beside a bare WebSocket echo, in one run."`
	Explore  exploreCmd  `cmd:"" help:"Search the orders of events of a small world for a broken rule, on the code that runs."`
	HLSLoad  hlsLoadCmd  `cmd:"" name:"hls-load" help:"Hold live HLS sessions at a front of its own and reload them."`
	Capacity capacityCmd `cmd:"" help:"Find the rate that a front carries, then load it past that, with and without its overload decisions."`
	Upkeep   upkeepCmd   `cmd:"" help:"Ask for machines to be out for work, see why they wait, and report them back."`
	FleetDay fleetDayCmd `cmd:"" name:"fleet-day" help:"Play random faults between fronts of a fleet that runs as processes, and judge what crossed the sockets."`
	Fleet    fleetCmd    `cmd:"" help:"Who is here, who leads, and what is stale."`
	Audit    auditCmd    `cmd:"" help:"Judge the records of a day."`
}

func main() {
	var c cli
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(&c, kong.Name("tealledge"), kong.UsageOnError(),
		kong.Description("A session front: it places video sessions on media servers and shapes them there."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	err := k.Run()
	if errors.Is(err, errRuleViolated) {
		os.Exit(1) // the violations have been printed already
	}
	k.FatalIfErrorf(err)
}

// platformCmd runs a front of the operators' platform, as the program tealledge-platform does with less memory.
type platformCmd struct {
	Config   string `env:"NODE_CONFIG" required:"" help:"The platform's configuration, as JSON."`
	LogLevel string `env:"TEALLEDGE_LOG" default:"info" help:"debug, info, warn or error."`
}

func (c *platformCmd) Run() error { return program.Run(c.Config, c.LogLevel) }

type serveCmd struct {
	Config string `short:"c" required:"" type:"existingfile" help:"Settings file."`
	Pretty bool   `help:"Log for eyes in place of JSON."`
	CPU    string `name:"cpuprofile" help:"Write a CPU profile to this file." type:"path"`
}

// newLogger returns a logger to standard error. An unknown level means info.
func newLogger(level string, pretty bool) zerolog.Logger {
	if pretty {
		return logging.New(zerolog.ConsoleWriter{Out: os.Stderr}, level)
	}
	return logging.New(os.Stderr, level)
}

func (c *serveCmd) Run(ctx context.Context) error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	s, err := serve.New(cfg, newLogger(cfg.Front.LogLevel, c.Pretty).With().Str("front", cfg.Front.Name).Logger())
	if err != nil {
		return err
	}
	if c.CPU != "" {
		f, err := os.Create(c.CPU)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	if s.HLS() != "" {
		fmt.Printf("hls http://%s/hls/\n", s.HLS())
	}
	if s.Control() != "" {
		fmt.Printf("control %s\n", s.Control())
	}
	fmt.Printf("ready ws://%s/v1/sessions\n", s.Addr())
	return s.Run(ctx)
}

type checkCmd struct {
	File string `arg:"" type:"existingfile"`
}

func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: front %s, %d classes, %d tenants, %d rungs, %d titles\n", c.File, cfg.Front.Name,
		len(cfg.Classes), len(cfg.Tenants), len(cfg.Service.RungKB), len(cfg.Titles))
	return nil
}

package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/rig"
)

type fleetDayCmd struct {
	Seed   int64  `default:"1" help:"Draws the faults."`
	Faults int    `default:"60" help:"How many."`
	Script string `type:"existingfile" help:"Faults to play in place of random ones, as a run has written them."`
	Dir    string `help:"Keeps settings, logs, records and the script. A temporary one if not given." type:"path"`
}

func (c *fleetDayCmd) Run(ctx context.Context) error {
	s, err := day.Parse("fleet-day", rig.Site)
	if err != nil {
		return err
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "fleet-day-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	list := rig.Random(c.Seed, c.Faults, s.Fronts, s.Servers)
	if c.Script != "" {
		text, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		if list, err = rig.Read(c.Script, string(text), s.Fronts, s.Servers); err != nil {
			return err
		}
	}
	f, err := os.Create(c.Dir + "/faults.sexp")
	if err != nil {
		return err
	}
	rig.Write(f, list)
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Printf("seed %d, %d steps, script and records in %s\n", c.Seed, len(list), c.Dir)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r, err := rig.Open(ctx, s, day.Options{Command: []string{self, "serve", "--config"}, Dir: c.Dir, Out: os.Stderr}, 3)
	if err != nil {
		return err
	}
	defer r.Close()
	if !r.Whole(ctx, time.Minute) {
		return fmt.Errorf("no fleet within a minute: see the logs in %s", c.Dir)
	}
	crowd, enough := context.WithCancel(ctx)
	defer enough()
	wait := r.Viewers(crowd, time.Hour)
	faults, err := r.Play(ctx, list)
	if err != nil {
		return err
	}
	enough()
	if err := wait(); err != nil {
		return err
	}
	r.AllSeen(ctx)
	report, err := r.Judge(ctx, r.Rules())
	if err != nil {
		return err
	}
	fmt.Printf("%d faults brought about, %d commands, checked %v, replies %v\n", faults, len(r.Calls()), report.Checked, report.Replies)
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	if !rig.Linearizable(r.Calls(), time.Minute) {
		fmt.Println("no order of the commands explains their answers")
		return errRules
	}
	if len(report.Violations) > 0 {
		return errRules
	}
	fmt.Println("every rule kept")
	return nil
}

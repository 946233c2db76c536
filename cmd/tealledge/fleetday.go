package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"tealledge/internal/day"
	"tealledge/internal/rig"
)

// fleetDayCmd plays faults between the fronts of a fleet.
type fleetDayCmd struct {
	Seed   int64  `default:"1" help:"Draws the faults."`
	Faults int    `default:"60" help:"How many."`
	Script string `type:"existingfile" help:"Faults to play in place of random ones, as a run has written them."`
	Dir    string `help:"Keeps settings, logs, records and the script. A temporary one if not given." type:"path"`
}

func (c *fleetDayCmd) Run(ctx context.Context) error {
	script, err := day.Parse("fleet-day", rig.DayScript)
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
	faultList := rig.RandomScript(c.Seed, c.Faults, script.Fronts, script.Servers)
	if c.Script != "" {
		text, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		if faultList, err = rig.ReadScript(c.Script, string(text), script.Fronts, script.Servers); err != nil {
			return err
		}
	}
	f, err := os.Create(c.Dir + "/faults.sexp")
	if err != nil {
		return err
	}
	rig.WriteScript(f, faultList)
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Printf("seed %d, %d steps, script and records in %s\n", c.Seed, len(faultList), c.Dir)
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	testRig, err := rig.Open(ctx, script, day.Options{Command: []string{executable, "serve", "--config"}, Dir: c.Dir,
		Out: os.Stderr}, 3)
	if err != nil {
		return err
	}
	defer testRig.Close()
	if !testRig.WaitUntilHealthy(ctx, time.Minute) {
		return fmt.Errorf("no fleet within a minute: see the logs in %s", c.Dir)
	}
	viewerCtx, stopViewers := context.WithCancel(ctx)
	defer stopViewers()
	waitViewers := testRig.StartViewers(viewerCtx, time.Hour)
	faults, err := testRig.Play(ctx, faultList)
	if err != nil {
		return err
	}
	stopViewers()
	if err := waitViewers(); err != nil {
		return err
	}
	testRig.WaitForWorks(ctx)
	report, err := testRig.Judge(ctx, testRig.Rules())
	if err != nil {
		return err
	}
	fmt.Printf("%d faults brought about, %d commands, checked %v, replies %v\n", faults, len(testRig.Calls()),
		report.Checked, report.Replies)
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	if !rig.Linearizable(testRig.Calls(), time.Minute) {
		fmt.Println("no order of the commands explains their answers")
		return errRuleViolated
	}
	if len(report.Violations) > 0 {
		return errRuleViolated
	}
	fmt.Println("every rule kept")
	return nil
}

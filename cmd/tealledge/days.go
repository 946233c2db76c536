package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"tealledge/internal/audit"
	"tealledge/internal/day"
	"tealledge/internal/record"
)

// errRuleViolated reports a violation of a rule. The details have been printed already.
var errRuleViolated = errors.New("a rule was broken")

// dayCmd plays a scripted day against stand-ins.
type dayCmd struct {
	File      string  `arg:"" optional:"" type:"existingfile" help:"Script of the day; the built-in bad day if left out."`
	Record    string  `help:"Keep settings, logs and records in this directory." type:"path"`
	Baseline  string  `help:"A plain policy decides in the module's place: random or fewest." enum:",random,fewest" default:""`
	HLS       float64 `help:"Share of the viewers that come by HLS." default:"-1"`
	NoRecover bool    `help:"Fronts that restart know nothing and players come again, to compare with recovery."`
	Calm      bool    `help:"Nothing goes wrong: the script without its troubles."`
	Seed      int64   `help:"Another seed than the script's." default:"0"`
	Times     int     `help:"Play the day so many times, each with the next seed; the first broken rule ends it." default:"1"`
}

func (c *dayCmd) Run(ctx context.Context) error {
	script, err := day.BadDay()
	if c.File != "" {
		script, err = day.Load(c.File)
	}
	if err != nil {
		return err
	}
	if c.HLS >= 0 {
		script.HLS = c.HLS
	}
	if c.Calm {
		script.Faults = nil
	}
	if c.Seed != 0 {
		script.Seed = c.Seed
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	for i := range c.Times {
		dir := c.Record
		if dir == "" || c.Times > 1 {
			if dir, err = os.MkdirTemp(c.Record, "tealledge-day-"); err != nil {
				return err
			}
		} else if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		report, err := day.Run(ctx, script, day.Options{Command: []string{executable, "serve", "-c"}, Dir: dir,
			Baseline: c.Baseline, NoRecovery: c.NoRecover, Out: os.Stderr})
		if err != nil {
			return err
		}
		if c.Times > 1 {
			fmt.Printf("day %d, seed %d: ", i+1, script.Seed)
		}
		if err := printReport(report, c.Times > 1); err != nil {
			fmt.Printf("records: %s\n", dir)
			return err
		}
		if c.Record == "" {
			os.RemoveAll(dir)
		}
		script.Seed++
	}
	return nil
}

// printReport prints a report and returns errRuleViolated if it has violations.
func printReport(report *audit.Report, brief bool) error {
	if brief && len(report.Violations) == 0 {
		fmt.Printf("every rule kept, %d asks, %d plays, p99 %v, worth %.3f\n", report.Asks, report.Replies["plays"],
			audit.Quantile(report.Open, 0.99), report.Worth)
		return nil
	}
	fmt.Print(report.Table())
	if len(report.Violations) == 0 {
		fmt.Println("every rule kept")
		return nil
	}
	seen := map[string]bool{}
	for _, violation := range report.Violations { // the first violation of each rule
		if !seen[violation.Rule] {
			seen[violation.Rule] = true
			fmt.Println(violation)
		}
	}
	return errRuleViolated
}

// auditCmd judges the records of a day.
type auditCmd struct {
	Dir  string `arg:"" type:"existingdir" help:"Directory with the records (*.jsonl)."`
	JSON bool   `help:"Print the report as JSON."`
}

func (c *auditCmd) Run() error {
	events, err := record.ReadDir(c.Dir)
	if err != nil {
		return err
	}
	report, err := audit.Judge(events)
	if err != nil {
		return err
	}
	if c.JSON {
		report.Open = nil
		b, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(b))
		if len(report.Violations) > 0 {
			return errRuleViolated
		}
		return nil
	}
	return printReport(report, false)
}

package main

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"tealledge/internal/explore"
	"tealledge/internal/explore/attempts"
)

type exploreCmd struct {
	Sessions int           `help:"Sessions: the first is paid, the second has a floor, the third is safe." default:"1"`
	Servers  int           `default:"2"`
	Ways     int           `help:"Addresses of each server." default:"1"`
	Losses   int           `help:"Connections that may break." default:"1"`
	Refusals int           `help:"Dials that may be refused." default:"1"`
	Denials  int           `help:"Set-ups that may be turned away as full." default:"1"`
	Errors   int           `help:"Set-ups that may fail at the server." default:"0"`
	Leaves   int           `help:"Players that may leave." default:"1"`
	Drains   int           `help:"Servers that may drain." default:"0"`
	Restarts int           `help:"Times that the front may die." default:"0"`
	Waits    int           `help:"Times that 450 ms may pass." default:"2"`
	Moments  int           `help:"Times that 150 ms may pass." default:"0"`
	Depth    int           `help:"Choices in a run." default:"80"`
	Time     time.Duration `help:"Ends the search incomplete." default:"15m"`
	Random   bool          `help:"Walk at random in place of a complete search, until the time is over."`
	Seed     int64         `default:"1"`
}

// Run explores the attempts of a small world and exits 1 if a property is violated.
func (c *exploreCmd) Run(ctx context.Context) error {
	cfg := attempts.Config{Sessions: c.Sessions, Servers: c.Servers, Ways: c.Ways, Losses: c.Losses, Refusals: c.Refusals, Denials: c.Denials,
		Errors: c.Errors, Leaves: c.Leaves, Drains: c.Drains, Restarts: c.Restarts, Waits: c.Waits, Moments: c.Moments}
	fresh := func() explore.System { return attempts.New(cfg) }
	if c.Sessions < 1 || c.Sessions > 3 || c.Servers < 1 || c.Servers > 8 {
		return fmt.Errorf("1 to 3 sessions and 1 to 8 servers")
	}
	var r explore.Report
	if c.Random {
		r = explore.Walk(ctx, fresh, c.Depth, c.Time, rand.New(rand.NewSource(c.Seed)))
	} else {
		r = explore.Run(fresh, explore.Limits{Depth: c.Depth, Time: c.Time})
	}
	fmt.Println(r)
	if r.Broken != "" {
		return errRules
	}
	return nil
}

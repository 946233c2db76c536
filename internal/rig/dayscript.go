package rig

import (
	"context"
	"time"

	"tealledge/internal/audit"
	"tealledge/internal/load"
)

// DayScript is the script of the day that fleets are tested on: 5 fronts, 12 servers in 6 racks and 3 zones, every
// title on 6 of the servers.
const DayScript = `(day (seed 5) (fronts 5) (servers 12) (titles 24) (copies 6) (media (slots 400) (link-kb 90000) (uplink-kb 400000)
  (setup 1ms) (keep 500ms)))
(service
  (ladder (rung 200 0.25) (rung 400 0.6) (rung 800 1))
  (classes (class "safe" (aim 1s) (deadline 3s) (worth 2)) (class "paid" (aim 1s) (deadline 2s) (effect paid) (seats 60)))
  (kinds (kind "std" (slots 400))) (zones "z1" "z2" "z3") (zone "z1")
  (cells 12) (racks 6) (weight-kb 90000) (rack-kb 400000) (fleet-kb 1080000)
  (reports link uplink) (reports-inline yes) (may-probe yes) (notes-late 200ms) (tell-every 1s)
  (stall-cost 8) (change-cost 0.5) (max-attempts 4) (retry-after-most 500ms) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.02) (cold (span 2s) (from 0.4) (times 3) (over 1s)) (budget (spare 50) (ratio 1) (span 10s)))`

// StartViewers starts a load of viewers until ctx ends or the timeout is over. The returned function waits for
// the last of them.
func (r *Rig) StartViewers(ctx context.Context, timeout time.Duration) (wait func() error) {
	done := make(chan error, 1)
	go func() {
		_, err := load.Run(ctx, load.Plan{Front: r.Front, Clients: 30, Rate: 25, Duration: timeout,
			Shape: load.Poisson, Titles: r.TitleNames(),
			HoldTime: [2]time.Duration{500 * time.Millisecond, 4 * time.Second}, Classes: []string{"safe", "paid"},
			Seed: 1, ReconnectDelay: 200 * time.Millisecond}, r.Record())
		if ctx.Err() != nil {
			err = nil
		}
		done <- err
	}()
	return func() error { return <-done }
}

// Rules returns the upkeep limits that the rig's records are judged by.
func (r *Rig) Rules() audit.UpkeepLimits {
	u := Limits
	u.Cells, u.Racks, u.Zones = r.Topology()
	return u
}

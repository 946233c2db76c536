package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tealledge/internal/record"
)

// The rules on machines that are out for work are checked against what the servers received and what the operator did,
// never against what fronts report.

// UpkeepLimits holds the parameters of the rules on machines that are out for work. A server is in the rack of its
// cell, and racks take zones in turn: cell i is in rack i modulo Racks, rack i in zone i modulo Zones.
type UpkeepLimits struct {
	MaxPerRack, MaxPerZone, MaxTotal int           // servers that may be out at one time: in a rack, in a zone, in all
	Racks, Zones                     int           // their number
	Cells                            int           // their number
	Grace                            time.Duration // events closer than this have no known order
}

// The names of the rules on machines that are out for work. They are printed in reports.
const (
	RuleMaxOut        = "9 never more out than agreed"
	RuleNoNewSetup    = "10 nothing new at a machine out for work"
	RuleNoLostSession = "11 no session lost that could have moved"
	RuleRequestEnds   = "12 every ask ends, with a reason"
)

// failureNoticeWindow is how long after a server's failure nobody is expected to know of it: the list has to report it,
// and the leader and the operator have to read the list.
const failureNoticeWindow = 1500 * time.Millisecond

// outageForWork is the time that a server is out for upkeep work.
type outageForWork struct {
	takenOutAt, returnedAt int64
	work                   string
}

// JudgeUpkeep checks events, which are ordered by time, against the rules on machines that are out for work.
func JudgeUpkeep(events []record.Event, limits UpkeepLimits) (violations []Violation, checked map[string]int) {
	checked = map[string]int{}
	report := func(rule string, e record.Event, text string) {
		violations = append(violations, Violation{Rule: rule, Event: e, Text: text})
	}
	out := map[uint32]*outageForWork{} // by server: out now or returned
	failedAt := map[uint32]int64{}     // by server: when it failed on its own
	isolated := map[string]int64{}     // by front: since when it has been isolated
	rejoinedAt := map[string]int64{}
	requested, ended := map[string]bool{}, map[string]bool{} // by key; by number
	// Stand-ins fill the cells in the order of their ids.
	rack := func(s uint32) int { return int(s-1) % max(limits.Cells, 1) % max(limits.Racks, 1) }
	zone := func(s uint32) int { return rack(s) % max(limits.Zones, 1) }
	for _, e := range events {
		switch e.Kind {
		case record.WorkRequested:
			requested[e.Ref] = true
		case record.WorkEnded:
			ended[e.Ref] = true
			checked[RuleRequestEnds]++
			outcome, reason, _ := strings.Cut(e.Text, ":")
			if outcome != "done" && outcome != "cancelled" &&
				(outcome != "refused" || strings.TrimSpace(reason) == "") {
				report(RuleRequestEnds, e, "the work ended neither done, cancelled nor refused with a reason")
			}
		case record.FrontIsolated:
			isolated[e.Front] = e.At
		case record.FrontRejoined:
			delete(isolated, e.Front)
			rejoinedAt[e.Front] = e.At
		case record.ServerTakenOut:
			checked[RuleMaxOut]++
			outNow := map[uint32]bool{e.Server: true}
			for s, o := range out {
				if o.returnedAt == 0 {
					outNow[s] = true
				}
			}
			for s, at := range failedAt {
				if e.At-at > int64(failureNoticeWindow) {
					outNow[s] = true
				}
			}
			inRack, inZone := 0, 0
			for s := range outNow {
				if rack(s) == rack(e.Server) {
					inRack++
				}
				if zone(s) == zone(e.Server) {
					inZone++
				}
			}
			if inRack > limits.MaxPerRack || inZone > limits.MaxPerZone || len(outNow) > limits.MaxTotal {
				report(RuleMaxOut, e, formatOutCounts(inRack, inZone, len(outNow), limits))
			}
			if o := out[e.Server]; o != nil && o.returnedAt == 0 {
				report(RuleMaxOut, e, "the server is already out for work "+o.work)
			}
			out[e.Server] = &outageForWork{takenOutAt: e.At, work: e.Ref}
		case record.ServerReturned:
			if o := out[e.Server]; o != nil {
				o.returnedAt = e.At
			}
		case record.ServerDied:
			if o := out[e.Server]; o == nil || o.returnedAt != 0 {
				failedAt[e.Server] = e.At
			}
		case record.ServerStarted:
			delete(failedAt, e.Server)
		case record.SetupReceived:
			o := out[e.Server]
			if o == nil || o.returnedAt != 0 || e.At < o.takenOutAt+int64(limits.Grace) {
				continue
			}
			checked[RuleNoNewSetup]++
			// A front that rejoined less than 10 s ago may not know yet.
			if _, isIsolated := isolated[e.Front]; !isIsolated && e.At > rejoinedAt[e.Front]+int64(10*time.Second) {
				report(RuleNoNewSetup, e, "a set-up from a front that was not isolated and should have known")
			}
		case record.StreamEnded:
			o := out[e.Server]
			if o == nil || o.returnedAt != 0 || e.Text != "killed" {
				continue
			}
			checked[RuleNoLostSession]++
			if _, isIsolated := isolated[e.Front]; !isIsolated && e.At > rejoinedAt[e.Front]+int64(10*time.Second) {
				report(RuleNoLostSession, e, "a stream was ended by the work although other servers had room")
			}
		case record.FleetSettled:
			if len(ended) < len(requested) {
				report(RuleRequestEnds, e, "some works have not ended")
			}
		}
	}
	checked[RuleRequestEnds] += len(requested)
	slices.SortStableFunc(violations, func(a, b Violation) int { return int(a.Event.At - b.Event.At) })
	return violations, checked
}

// formatOutCounts describes how many servers are out and how many may be.
func formatOutCounts(inRack, inZone, total int, limits UpkeepLimits) string {
	return fmt.Sprintf(
		"servers out, this one included: %d in its rack, %d in its zone, %d in all; limits: %d, %d and %d",
		inRack, inZone, total, limits.MaxPerRack, limits.MaxPerZone, limits.MaxTotal)
}

// Package schedule decides which background work runs next and how much of it: compaction, snapshots, checks of the
// catalogue, re-verification of streams, connections kept warm. It is pure; time and the load of the request path are
// passed in.
//
// Background work must not take the disk and the processor from set-ups that players wait for. So nothing runs while
// requests are late, each task has a budget in time and bytes, and a step is short. The cost: under permanent load
// work is postponed. Tasks with a deadline run then all the same, at a tenth of the pace.
package schedule

import (
	"cmp"
	"slices"

	"tealledge/policy"
)

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

// Task is recurring or one-time work.
type Task struct {
	Name           string
	Interval       Time    // from the end of one run to the start of the next; 0: once
	Deadline       Time    // time after which a due run is late; 0: it can wait for ever
	Priority       int     // the higher runs first; among equals the one that has used the least time
	Share          float64 // of the time for background work; 0: all of it
	BytesPerSecond float64 // that it may read and write; 0: no limit

	dueAt      Time
	recentTime Time // time used recently; halved every usageHalfLife
	notBefore  Time // by its share and bytes it may not run before
	running    bool // a run is under way
}

// Pressure is the load of the request path.
type Pressure struct {
	Backlog int  // events that wait for the owner
	Wait    Time // of the last event
}

// Limits of all background work.
const (
	MaxTasks        = 64
	maxStepTime     = 2 * policy.Millisecond // longest planned step
	pressureWait    = 3 * policy.Millisecond // a longer wait of an event postpones background work
	pressureBacklog = 32                     // and so do more waiting events
	calmDelay       = 20 * policy.Millisecond
	backgroundShare = 0.2 // of one processor for all background work
	lateSlowdown    = 10  // a late task under pressure runs slower by this factor
	usageHalfLife   = 10 * policy.Second
)

// Plan schedules tasks. The zero value has none.
type Plan struct {
	tasks          []*Task
	nextStepAt     Time // no task runs before
	halvedAt       Time
	lastPressureAt Time // when the request path was last under pressure
}

// Add adds a task; its first run is due at once. It returns false if there are too many tasks, or one of that name.
func (p *Plan) Add(now Time, t Task) bool {
	if len(p.tasks) >= MaxTasks || slices.ContainsFunc(p.tasks, func(o *Task) bool { return o.Name == t.Name }) {
		return false
	}
	t.dueAt = now
	p.tasks = append(p.tasks, &t)
	return true
}

// Wake makes a task due now.
func (p *Plan) Wake(now Time, name string) {
	for _, t := range p.tasks {
		if t.Name == name && !t.running {
			t.dueAt = min(t.dueAt, now)
		}
	}
}

// Next decides what runs now: a step of a task, of at most budget. Without a task it returns when to call again.
func (p *Plan) Next(now Time, pressure Pressure) (task string, budget Time, retryAt Time) {
	if now-p.halvedAt >= usageHalfLife {
		p.halvedAt = now
		for _, t := range p.tasks {
			t.recentTime /= 2
		}
	}
	underPressure := pressure.Wait > pressureWait || pressure.Backlog > pressureBacklog
	if underPressure {
		p.lastPressureAt = now
	}
	underPressure = underPressure || p.lastPressureAt != 0 && now-p.lastPressureAt < calmDelay
	retryAt = now + policy.Second
	if now < p.nextStepAt {
		return "", 0, p.nextStepAt
	}
	var best *Task
	for _, t := range p.tasks {
		if at := max(t.dueAt, t.notBefore); at > now {
			retryAt = min(retryAt, at)
			continue
		}
		if underPressure && !t.late(now) {
			retryAt = min(retryAt, now+calmDelay)
			continue
		}
		if best == nil || t.before(best, now) {
			best = t
		}
	}
	if best == nil {
		return "", 0, retryAt
	}
	best.running = true
	return best.Name, maxStepTime, now
}

func (t *Task) late(now Time) bool { return t.Deadline > 0 && now-t.dueAt > t.Deadline }

// before orders runnable tasks: late ones first, then by priority, then those that have used the least time.
func (t *Task) before(o *Task, now Time) bool {
	if a, b := t.late(now), o.late(now); a != b {
		return a
	}
	if c := cmp.Compare(o.Priority, t.Priority); c != 0 {
		return c < 0
	}
	return t.recentTime < o.recentTime
}

// RecordStep records a step: the time it took, the bytes it moved, and whether its run is done.
func (p *Plan) RecordStep(now Time, name string, took Time, bytes int, done bool, pressure Pressure) {
	for _, t := range p.tasks {
		if t.Name != name {
			continue
		}
		pause := Time(float64(took) * (1 - backgroundShare) / backgroundShare)
		if pressure.Wait > pressureWait || pressure.Backlog > pressureBacklog {
			pause *= lateSlowdown
		}
		p.nextStepAt = now + pause
		t.recentTime += took
		if t.Share > 0 {
			t.notBefore = now + Time(float64(took)/(backgroundShare*t.Share))
		}
		if t.BytesPerSecond > 0 {
			t.notBefore = max(t.notBefore, now+Time(float64(bytes)/t.BytesPerSecond*float64(policy.Second)))
		}
		if !done {
			return
		}
		t.running = false
		if t.dueAt = now + t.Interval; t.Interval <= 0 {
			p.tasks = slices.DeleteFunc(p.tasks, func(o *Task) bool { return o == t })
		}
		return
	}
}

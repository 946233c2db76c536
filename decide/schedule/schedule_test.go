package schedule

import (
	"testing"

	"tealledge/policy"
)

const ms = policy.Millisecond

// simulate runs a plan for the given length with steps made by step, and returns the time that each task used.
func simulate(p *Plan, from, length Time, pressure func(Time) Pressure,
	step func(name string, budget Time) (took Time, bytes int, done bool)) map[string]Time {
	timeByTask := map[string]Time{}
	for now := from; now < from+length; {
		name, budget, retryAt := p.Next(now, pressure(now))
		if name == "" {
			now = max(retryAt, now+1)
			continue
		}
		took, bytes, done := step(name, budget)
		now += took
		timeByTask[name] += took
		p.RecordStep(now, name, took, bytes, done, pressure(now))
	}
	return timeByTask
}

func calm(Time) Pressure          { return Pressure{} }
func underPressure(Time) Pressure { return Pressure{Wait: 50 * ms} }

func endless(_ string, budget Time) (Time, int, bool) { return budget, 0, false }

func TestBackgroundWorkKeepsToItsShare(t *testing.T) {
	p := &Plan{}
	p.Add(policy.Second, Task{Name: "a"})
	if used := simulate(p, policy.Second, 10*policy.Second, calm, endless)["a"]; used < policy.Second ||
		used > 2100*ms {
		t.Errorf("task a used %v of 10 s", used)
	}
}

func TestYieldsToRequests(t *testing.T) {
	p := &Plan{}
	p.Add(policy.Second, Task{Name: "a"})
	if used := simulate(p, policy.Second, 10*policy.Second, underPressure, endless)["a"]; used > 0 {
		t.Errorf("task a used %v under pressure", used)
	}
	if used := simulate(p, 11*policy.Second, policy.Second, calm, endless)["a"]; used < 100*ms {
		t.Error("task a does not resume after the pressure: used", used)
	}
}

// TestLateTaskRunsUnderPressure: a task past its deadline runs at a slower pace, others do not run.
func TestLateTaskRunsUnderPressure(t *testing.T) {
	p := &Plan{}
	p.Add(policy.Second, Task{Name: "a", Deadline: 2 * policy.Second})
	p.Add(policy.Second, Task{Name: "b", Priority: 9})
	used := simulate(p, policy.Second, 10*policy.Second, underPressure, endless)
	if used["a"] == 0 || used["a"] > 400*ms || used["b"] > 0 {
		t.Error(used)
	}
}

func TestHigherPriorityFirstAndEqualsShareEvenly(t *testing.T) {
	p := &Plan{}
	for _, n := range []string{"a", "b", "c"} {
		p.Add(policy.Second, Task{Name: n})
	}
	used := simulate(p, policy.Second, 10*policy.Second, calm, endless)
	for _, n := range []string{"a", "b", "c"} {
		if used[n] < 500*ms || used[n] > 800*ms {
			t.Error("equal tasks do not share evenly", used)
		}
	}
	p.Add(11*policy.Second, Task{Name: "first", Priority: 1})
	if used := simulate(p, 11*policy.Second, 5*policy.Second, calm, endless); used["first"] < 900*ms ||
		used["a"] > 50*ms {
		t.Error("the task of higher priority is not first", used)
	}
}

// TestShareLeavesTimeForLowerPriority: a task that always wants to run can't starve the others.
func TestShareLeavesTimeForLowerPriority(t *testing.T) {
	p := &Plan{}
	p.Add(policy.Second, Task{Name: "greedy", Priority: 5, Share: 0.5})
	p.Add(policy.Second, Task{Name: "low"})
	used := simulate(p, policy.Second, 10*policy.Second, calm, endless)
	if used["greedy"] > 1100*ms || used["low"] < 700*ms {
		t.Error(used)
	}
}

func TestBytesPerSecondIsBounded(t *testing.T) {
	p := &Plan{}
	p.Add(policy.Second, Task{Name: "a", BytesPerSecond: 1000})
	total := 0
	simulate(p, policy.Second, 10*policy.Second, calm,
		func(string, Time) (Time, int, bool) { total += 100; return ms / 10, 100, false })
	if total < 9_000 || total > 10_200 {
		t.Error(total, "bytes in 10 s")
	}
}

func TestRecurringAndOneTimeTasks(t *testing.T) {
	p := &Plan{}
	p.Add(policy.Second, Task{Name: "again", Interval: policy.Second})
	p.Add(policy.Second, Task{Name: "once"})
	if p.Add(policy.Second, Task{Name: "once"}) {
		t.Error("two tasks with the same name")
	}
	runs := map[string]int{}
	simulate(p, policy.Second, 5500*ms, calm,
		func(name string, _ Time) (Time, int, bool) { runs[name]++; return ms, 0, true })
	if runs["again"] < 5 || runs["again"] > 6 || runs["once"] != 1 {
		t.Error(runs)
	}
	p.Wake(6600*ms, "again")
	if name, _, _ := p.Next(6600*ms, Pressure{}); name != "again" {
		t.Error("a woken task does not run")
	}
	for i := 0; len(p.tasks) < MaxTasks; i++ {
		p.Add(0, Task{Name: string(rune('A' + i))})
	}
	if p.Add(0, Task{Name: "one too many"}) {
		t.Error("the number of tasks is not limited")
	}
}

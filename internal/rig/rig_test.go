package rig

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tealledge/internal/config"
	"tealledge/internal/day"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/serve"
)

// TestMain runs as a front if AS_FRONT is set: the rig starts its fronts as processes of this test binary.
func TestMain(m *testing.M) {
	if os.Getenv("AS_FRONT") == "" {
		os.Exit(m.Run())
	}
	cfg, err := config.Load(os.Args[len(os.Args)-1])
	var s *serve.Server
	if err == nil {
		if os.Getenv("APART") != "" { // the fleet's clocks differ by up to 5 s
			cfg.Fleet.ClockSkew = time.Duration(cfg.Front.FrontIndex%3-1) * 5 * time.Second / 2
		}
		s, err = serve.New(cfg, zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Logger())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	fmt.Printf("control %s\nready ws://%s/v1/sessions\n", s.Control(), s.Addr())
	if err := s.Run(ctx); err != nil {
		os.Exit(1)
	}
}

// openRig starts a rig with three voters.
func openRig(t *testing.T, env ...string) (*Rig, context.Context) {
	t.Helper()
	s, err := day.Parse("rig", DayScript)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	t.Cleanup(cancel)
	r, err := Open(ctx, s, day.Options{Command: []string{os.Args[0], "-test.run=^$"}, Dir: t.TempDir(),
		Out: os.Stderr, Env: append(env, "AS_FRONT=1")}, 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, ctx
}

// waitFor waits for a condition and shows the fronts' last log lines if it does not hold in time.
func waitFor(t *testing.T, r *Rig, what string, timeout time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for i := range 5 {
		lines := strings.Split(r.FrontLog(i), "\n")
		t.Logf("front-%d: %s", i, strings.Join(lines[max(0, len(lines)-12):], "\n"))
	}
	t.Fatalf("not within %v: %s", timeout, what)
}

// waitUntilHealthy waits until the fleet is healthy and returns the leader.
func waitUntilHealthy(t *testing.T, r *Rig, ctx context.Context) int {
	t.Helper()
	waitFor(t, r, "a healthy fleet of five", 45*time.Second, func() bool { return r.healthy(ctx) })
	return r.Leader(ctx)
}

func phase(r *Rig, ctx context.Context, front int, id uint64) (p ledger.Phase) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	l, err := r.Works(ctx, front)
	for _, w := range l.Works {
		if err == nil && w.ID == id {
			p = w.Phase
		}
	}
	return p
}

func requestWork(t *testing.T, r *Rig, ctx context.Context, front int, key string, servers ...uint32) uint64 {
	t.Helper()
	for range 6 { // with the same key it makes at most one work, however often it is sent
		a, err := r.RequestWork(ctx, front, key, servers...)
		if err == nil && a.Err == "" {
			return a.ID
		}
	}
	t.Fatalf("request %s was not answered", key)
	return 0
}

func waitForPhase(t *testing.T, r *Rig, ctx context.Context, front int, id uint64, want ...ledger.Phase) {
	t.Helper()
	waitFor(t, r, fmt.Sprintf("work %d %v", id, want), 60*time.Second, func() bool {
		p := phase(r, ctx, front, id)
		for _, w := range want {
			if p == w {
				return true
			}
		}
		return false
	})
}

// trial is a test with five fronts as processes, three of them voters, under load.
type trial struct {
	*Rig
	t              *testing.T
	ctx            context.Context
	leader         int
	startedAt      time.Time
	stopViewers    func()
	waitForViewers func() error
}

func startTrial(t *testing.T, env ...string) *trial {
	r, ctx := openRig(t, env...)
	x := &trial{Rig: r, t: t, ctx: ctx, startedAt: time.Now()}
	x.leader = waitUntilHealthy(t, r, ctx)
	viewersCtx, stopViewers := context.WithCancel(ctx)
	x.stopViewers, x.waitForViewers = stopViewers, r.StartViewers(viewersCtx, 3*time.Minute)
	return x
}

// step runs a case and then waits for a healthy fleet.
func (x *trial) step(name string, f func()) {
	f()
	x.leader = waitUntilHealthy(x.t, x.Rig, x.ctx)
	x.t.Logf("%s: %.1f s", name, time.Since(x.startedAt).Seconds())
}

// otherVoter returns a voter that does not lead.
func (x *trial) otherVoter() int { return (x.leader + 1) % 3 }

// judge ends the trial and checks the record of what crossed the stand-ins' sockets.
func (x *trial) judge(minChecks int) {
	t, r := x.t, x.Rig
	x.stopViewers()
	if err := x.waitForViewers(); err != nil {
		t.Error(err)
	}
	r.WaitForWorks(x.ctx)
	report, err := r.Judge(x.ctx, r.Rules())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.Checked["9 never more out than agreed"] < minChecks || report.Replies["plays"] < 200 {
		t.Errorf("too few checks: %v, replies %v", report.Checked, report.Replies)
	}
	if !Linearizable(r.Calls(), 20*time.Second) {
		t.Errorf("no order of these commands explains their answers: %+v", r.Calls())
	}
	t.Logf("%.0f s, checked %v, replies %v, %d commands", time.Since(x.startedAt).Seconds(),
		report.Checked, report.Replies, len(r.Calls()))
}

// TestProcessAndDiskFaults: fronts that are killed, paused or restarted, and disks that are lost or replaced by an
// older copy, must not let more machines out than the limits allow, nor lose a command.
func TestProcessAndDiskFaults(t *testing.T) {
	t.Parallel()
	x := startTrial(t)
	r, ctx := x.Rig, x.ctx
	x.step("no fault", func() {
		a := requestWork(t, r, ctx, 4, "plain", 1)
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
	})
	x.step("leader killed between a grant and its announcement", func() {
		a := requestWork(t, r, ctx, 4, "killed", 2)
		waitForPhase(t, r, ctx, x.leader, a, ledger.Granted, ledger.Draining, ledger.Out)
		r.KillFront(x.leader)
		b := requestWork(t, r, ctx, 3, "killed-2", 8) // in the rack of 2
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
		waitForPhase(t, r, ctx, 3, b, ledger.Done)
		if err := r.RestartFront(x.leader); err != nil {
			t.Fatal(err)
		}
	})
	x.step("leader paused and resumed as if it still led", func() {
		a := requestWork(t, r, ctx, 4, "stopped", 3)
		r.PauseFront(x.leader)
		b := requestWork(t, r, ctx, 4, "stopped-2", 9)
		time.Sleep(6 * time.Second)
		r.ResumeFront(x.leader)
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
		waitForPhase(t, r, ctx, 3, b, ledger.Done)
	})
	x.step("a disk lost, then replaced by an older copy", func() {
		v := x.otherVoter()
		r.KillFront(v)
		old := t.TempDir()
		if err := r.CopyDisk(v, old); err != nil {
			t.Fatal(err)
		}
		if err := r.WipeDisk(v); err != nil {
			t.Fatal(err)
		}
		if err := r.RestartFront(v); err != nil {
			t.Fatal(err)
		}
		waitUntilHealthy(t, r, ctx)
		r.SetWorkTime(5 * time.Second)
		a := requestWork(t, r, ctx, 4, "wiped", 10)
		waitForPhase(t, r, ctx, 4, a, ledger.Out)
		r.KillFront(3) // a follower that starts without a disk while a machine is out
		if err := r.WipeDisk(3); err != nil {
			t.Fatal(err)
		}
		if err := r.RestartFront(3); err != nil {
			t.Fatal(err)
		}
		r.SetWorkTime(1500 * time.Millisecond)
		waitForPhase(t, r, ctx, v, a, ledger.Done)
		r.KillFront(v)
		if err := r.RestoreDisk(v, old); err != nil {
			t.Fatal(err)
		}
		if err := r.RestartFront(v); err != nil {
			t.Fatal(err)
		}
		x.leader = waitUntilHealthy(t, r, ctx)
		b := requestWork(t, r, ctx, 4, "put back", 12)
		waitForPhase(t, r, ctx, v, b, ledger.Done)
	})
	x.judge(7)
}

// TestNetworkAndMachineFaults: network faults, a failed machine and a restart of all fronts, with the fleet's clocks
// up to 5 s apart, must not let more machines out than the limits allow, nor lose a command.
func TestNetworkAndMachineFaults(t *testing.T) {
	t.Parallel()
	x := startTrial(t, "APART=1")
	r, ctx := x.Rig, x.ctx
	x.step("a voter that receives but whose messages are dropped", func() {
		r.Mute(x.otherVoter())
		a := requestWork(t, r, ctx, 4, "mute", 4)
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
		r.Heal()
	})
	x.step("partition of two and three, requests on both sides, healed while a machine is out", func() {
		r.SetWorkTime(8 * time.Second)
		a := requestWork(t, r, ctx, 4, "split", 5)
		waitForPhase(t, r, ctx, 4, a, ledger.Out)
		r.Split(x.leader, 4)
		if y, err := r.RequestWork(ctx, 4, "minority", 11); err == nil && y.Err == "" &&
			phase(r, ctx, 4, y.ID) != ledger.Requested {
			t.Errorf("the minority committed a request: %+v", y)
		}
		b := requestWork(t, r, ctx, 3, "majority", 6)
		r.Heal()
		r.SetWorkTime(1500 * time.Millisecond)
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
		waitForPhase(t, r, ctx, 3, b, ledger.Done)
		waitForPhase(t, r, ctx, 3, requestWork(t, r, ctx, 4, "minority", 11), ledger.Done)
	})
	x.step("a machine fails while another is out", func() {
		m := r.Servers()[6] // server 7, in the rack of 1
		m.Kill()
		r.World.SetListHealth(m, "removed")
		time.Sleep(time.Second)
		a := requestWork(t, r, ctx, 4, "beside a failed one", 1)
		time.Sleep(3 * time.Second)
		if p := phase(r, ctx, x.leader, a); p != ledger.Requested {
			t.Errorf("phase %s while another machine of its rack has failed", p)
		}
		if err := m.Restart(); err != nil {
			t.Fatal(err)
		}
		r.World.SetListHealth(m, "ready")
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
	})
	x.step("all fronts restarted while a machine is out, with a stalled connection", func() {
		r.SetWorkTime(6 * time.Second)
		a := requestWork(t, r, ctx, 4, "restart", 2)
		waitForPhase(t, r, ctx, 4, a, ledger.Out)
		r.Net.Between([]int{0}, []int{1}, Fault{Stall: true})
		for i := range 5 {
			r.KillFront(i)
		}
		for i := range 5 {
			if err := r.RestartFront(i); err != nil {
				t.Fatal(err)
			}
		}
		r.Heal()
		r.SetWorkTime(1500 * time.Millisecond)
		waitForPhase(t, r, ctx, 3, a, ledger.Done)
	})
	x.judge(6)
}

// TestScriptRoundTrip: a random script is the same for the same seed and is read as it was written; an error in a
// script has its position.
func TestScriptRoundTrip(t *testing.T) {
	list := RandomScript(7, 50, 5, 12)
	b := &strings.Builder{}
	WriteScript(b, list)
	again, err := ReadScript("s", b.String(), 5, 12)
	if err != nil || !slices.Equal(list, again) || !slices.Equal(list, RandomScript(7, 50, 5, 12)) {
		t.Fatal(err, len(list), len(again))
	}
	for text, want := range map[string]string{"(faults (fault 1s kill 9 0 1s))": "s:1:",
		"(faults (fault 1s burn 1 0 1s))": "burn", "(fault)": "faults",
		"(faults (fault 1s mute 1 7 1s))": "no front 7"} {
		if _, err := ReadScript("s", text, 5, 12); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

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

// TestMain serves as a front when asked to: the rig starts its fronts as processes.
func TestMain(m *testing.M) {
	if os.Getenv("AS_FRONT") == "" {
		os.Exit(m.Run())
	}
	cfg, err := config.Load(os.Args[len(os.Args)-1])
	var s *serve.Server
	if err == nil {
		if os.Getenv("APART") != "" { // clocks of the fleet 5 s apart
			cfg.Fleet.Skew = time.Duration(cfg.Front.Me%3-1) * 5 * time.Second / 2
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

func open(t *testing.T, env ...string) (*Rig, context.Context) {
	t.Helper()
	s, err := day.Parse("rig", Site)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	t.Cleanup(cancel)
	r, err := Open(ctx, s, day.Options{Command: []string{os.Args[0], "-test.run=^$"}, Dir: t.TempDir(), Out: os.Stderr, Env: append(env, "AS_FRONT=1")}, 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, ctx
}

// holds waits for something.
func holds(t *testing.T, r *Rig, what string, most time.Duration, is func() bool) {
	t.Helper()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if is() {
			return
		}
	}
	for i := range 5 {
		lines := strings.Split(r.LogOf(i), "\n")
		t.Logf("front-%d: %s", i, strings.Join(lines[max(0, len(lines)-12):], "\n"))
	}
	t.Fatalf("not within %v: %s", most, what)
}

// whole waits until one leads and all are here and know what is new; it gives the leader.
func whole(t *testing.T, r *Rig, ctx context.Context) int {
	t.Helper()
	holds(t, r, "a fleet of five that all see", 45*time.Second, func() bool { return r.whole(ctx) })
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

func ask(t *testing.T, r *Rig, ctx context.Context, front int, key string, servers ...uint32) uint64 {
	t.Helper()
	for range 6 { // the same key: at most one work, however often it is asked
		a, err := r.Ask(ctx, front, key, servers...)
		if err == nil && a.Err == "" {
			return a.ID
		}
	}
	t.Fatalf("ask %s is not answered", key)
	return 0
}

func reaches(t *testing.T, r *Rig, ctx context.Context, front int, id uint64, want ...ledger.Phase) {
	t.Helper()
	holds(t, r, fmt.Sprintf("work %d %v", id, want), 60*time.Second, func() bool {
		p := phase(r, ctx, front, id)
		for _, w := range want {
			if p == w {
				return true
			}
		}
		return false
	})
}

// trial is five fronts as processes, three of them voters, under load.
type trial struct {
	*Rig
	t      *testing.T
	ctx    context.Context
	lead   int
	began  time.Time
	enough func()
	loaded func() error
}

func begin(t *testing.T, env ...string) *trial {
	r, ctx := open(t, env...)
	x := &trial{Rig: r, t: t, ctx: ctx, began: time.Now()}
	x.lead = whole(t, r, ctx)
	crowd, enough := context.WithCancel(ctx)
	x.enough, x.loaded = enough, r.Viewers(crowd, 3*time.Minute)
	return x
}

// step plays a case, which leaves a whole fleet behind.
func (x *trial) step(name string, f func()) {
	f()
	x.lead = whole(x.t, x.Rig, x.ctx)
	x.t.Logf("%s: %.1f s", name, time.Since(x.began).Seconds())
}

// second is a voter that does not lead.
func (x *trial) second() int { return (x.lead + 1) % 3 }

// judge ends the trial; what crossed the stand-ins' sockets is judged.
func (x *trial) judge(outs int) {
	t, r := x.t, x.Rig
	x.enough()
	if err := x.loaded(); err != nil {
		t.Error(err)
	}
	r.AllSeen(x.ctx)
	report, err := r.Judge(x.ctx, r.Rules())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.Checked["9 never more out than agreed"] < outs || report.Replies["plays"] < 200 {
		t.Errorf("too little was judged: %v, replies %v", report.Checked, report.Replies)
	}
	if !Linearizable(r.Calls(), 20*time.Second) {
		t.Errorf("no order of these commands explains their answers: %+v", r.Calls())
	}
	t.Logf("%.0f s, checked %v, replies %v, %d commands", time.Since(x.began).Seconds(), report.Checked, report.Replies, len(r.Calls()))
}

// Faults of processes, and of disks.
func TestFrontsThatDieAndComeBack(t *testing.T) {
	t.Parallel()
	x := begin(t)
	r, ctx := x.Rig, x.ctx
	x.step("nothing wrong", func() {
		a := ask(t, r, ctx, 4, "plain", 1)
		reaches(t, r, ctx, 3, a, ledger.Done)
	})
	x.step("leader killed between a grant and its telling", func() {
		a := ask(t, r, ctx, 4, "killed", 2)
		reaches(t, r, ctx, x.lead, a, ledger.Granted, ledger.Draining, ledger.Out)
		r.Down(x.lead)
		b := ask(t, r, ctx, 3, "killed-2", 8) // the rack of 2
		reaches(t, r, ctx, 3, a, ledger.Done)
		reaches(t, r, ctx, 3, b, ledger.Done)
		if err := r.Up(x.lead); err != nil {
			t.Fatal(err)
		}
	})
	x.step("leader stopped and continued in the belief that it leads", func() {
		a := ask(t, r, ctx, 4, "stopped", 3)
		r.Freeze(x.lead)
		b := ask(t, r, ctx, 4, "stopped-2", 9)
		time.Sleep(6 * time.Second)
		r.Thaw(x.lead)
		reaches(t, r, ctx, 3, a, ledger.Done)
		reaches(t, r, ctx, 3, b, ledger.Done)
	})
	x.step("a disk lost, then one put back", func() {
		v := x.second()
		r.Down(v)
		old := t.TempDir()
		if err := r.Copy(v, old); err != nil {
			t.Fatal(err)
		}
		if err := r.Wipe(v); err != nil {
			t.Fatal(err)
		}
		if err := r.Up(v); err != nil {
			t.Fatal(err)
		}
		whole(t, r, ctx)
		r.Hold(5 * time.Second)
		a := ask(t, r, ctx, 4, "wiped", 10)
		reaches(t, r, ctx, 4, a, ledger.Out)
		r.Down(3) // a follower that starts without a disk while a machine is out
		if err := r.Wipe(3); err != nil {
			t.Fatal(err)
		}
		if err := r.Up(3); err != nil {
			t.Fatal(err)
		}
		r.Hold(1500 * time.Millisecond)
		reaches(t, r, ctx, v, a, ledger.Done)
		r.Down(v)
		if err := r.PutBack(v, old); err != nil {
			t.Fatal(err)
		}
		if err := r.Up(v); err != nil {
			t.Fatal(err)
		}
		x.lead = whole(t, r, ctx)
		b := ask(t, r, ctx, 4, "put back", 12)
		reaches(t, r, ctx, v, b, ledger.Done)
	})
	x.judge(7)
}

// Faults of links and machines, and a restart of all, with the fleet's clocks apart by 5 s all the time.
func TestLinksAndMachinesThatFail(t *testing.T) {
	t.Parallel()
	x := begin(t, "APART=1")
	r, ctx := x.Rig, x.ctx
	x.step("a voter that hears and is not heard", func() {
		r.Mute(x.second())
		a := ask(t, r, ctx, 4, "mute", 4)
		reaches(t, r, ctx, 3, a, ledger.Done)
		r.Heal()
	})
	x.step("split two to three, asked at both sides, healed while a machine is out", func() {
		r.Hold(8 * time.Second)
		a := ask(t, r, ctx, 4, "split", 5)
		reaches(t, r, ctx, 4, a, ledger.Out)
		r.Split(x.lead, 4)
		if y, err := r.Ask(ctx, 4, "minority", 11); err == nil && y.Err == "" && phase(r, ctx, 4, y.ID) != ledger.Asked {
			t.Errorf("the smaller side agreed: %+v", y)
		}
		b := ask(t, r, ctx, 3, "majority", 6)
		r.Heal()
		r.Hold(1500 * time.Millisecond)
		reaches(t, r, ctx, 3, a, ledger.Done)
		reaches(t, r, ctx, 3, b, ledger.Done)
		reaches(t, r, ctx, 3, ask(t, r, ctx, 4, "minority", 11), ledger.Done)
	})
	x.step("a machine fails while another is out", func() {
		m := r.Servers()[6] // 7, the rack of 1
		m.Kill()
		r.World.List(m, "removed")
		time.Sleep(time.Second)
		a := ask(t, r, ctx, 4, "beside a failed one", 1)
		time.Sleep(3 * time.Second)
		if p := phase(r, ctx, x.lead, a); p != ledger.Asked {
			t.Errorf("%s beside a failed one of its rack", p)
		}
		if err := m.Restart(); err != nil {
			t.Fatal(err)
		}
		r.World.List(m, "ready")
		reaches(t, r, ctx, 3, a, ledger.Done)
	})
	x.step("all fronts restarted while a machine is out, a stalled link meanwhile", func() {
		r.Hold(6 * time.Second)
		a := ask(t, r, ctx, 4, "restart", 2)
		reaches(t, r, ctx, 4, a, ledger.Out)
		r.Net.Between([]int{0}, []int{1}, Fault{Stall: true})
		for i := range 5 {
			r.Down(i)
		}
		for i := range 5 {
			if err := r.Up(i); err != nil {
				t.Fatal(err)
			}
		}
		r.Heal()
		r.Hold(1500 * time.Millisecond)
		reaches(t, r, ctx, 3, a, ledger.Done)
	})
	x.judge(6)
}

// A script of random faults is the same for a seed, and is read as it was written; what is no script is told with its place.
func TestScripts(t *testing.T) {
	list := Random(7, 50, 5, 12)
	b := &strings.Builder{}
	Write(b, list)
	again, err := Read("s", b.String(), 5, 12)
	if err != nil || !slices.Equal(list, again) || !slices.Equal(list, Random(7, 50, 5, 12)) {
		t.Fatal(err, len(list), len(again))
	}
	for text, want := range map[string]string{"(faults (fault 1s kill 9 0 1s))": "s:1:", "(faults (fault 1s burn 1 0 1s))": "burn", "(fault)": "faults",
		"(faults (fault 1s mute 1 7 1s))": "no front 7"} {
		if _, err := Read("s", text, 5, 12); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

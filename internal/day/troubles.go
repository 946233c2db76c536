package day

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

// trouble plays one trouble from its begin to its end. It mends what it did also if the day is cut short.
func (w *world) trouble(ctx context.Context, t Trouble) {
	w.rec.Add(record.Event{Source: "day", Kind: record.FaultStarted, Text: fmt.Sprintf("%v %s", t.At, t.Kind), Length: t.For.Seconds()})
	wait := func(d time.Duration) { sleep(ctx, d) }
	fault := func(set func(f *mediasim.Faults)) {
		for _, m := range w.take(t.Servers) {
			m.Fault(set)
			defer w.give(m)
			defer m.Fault(func(f *mediasim.Faults) { *f = mediasim.Faults{} })
		}
		wait(t.For)
	}
	switch t.Kind {
	case "hang":
		fault(func(f *mediasim.Faults) { f.Stalled = true })
	case "errors":
		fault(func(f *mediasim.Faults) { f.Errors = t.Part })
	case "lose":
		fault(func(f *mediasim.Faults) { f.Lose = t.Part })
	case "garbage":
		fault(func(f *mediasim.Faults) { f.Garbage = t.Part })
	case "half":
		fault(func(f *mediasim.Faults) { f.Half = t.Part })
	case "slow-reader":
		fault(func(f *mediasim.Faults) { f.Slow = true })
	case "take-link":
		fault(func(f *mediasim.Faults) { f.Taken = t.Part })
	case "vanish":
		w.down(t, wait, func(m *mediasim.Server) { m.Fault(func(f *mediasim.Faults) { f.Silent = true }) })
	case "crash":
		w.down(t, wait, (*mediasim.Server).Kill)
	case "drain":
		w.drain(t, wait, func(m *mediasim.Server) { w.list.Set(w.entry(m, "draining")) })
	case "redirect":
		w.drain(t, wait, (*mediasim.Server).Redirect)
	case "path-silent", "path-resets", "path-stalls":
		servers := w.take(t.Servers)
		for _, m := range servers {
			m.Path(t.Network, strings.TrimPrefix(t.Kind, "path-"))
		}
		wait(t.For)
		for _, m := range servers {
			m.Path(t.Network, mediasim.PathGood)
			w.give(m)
		}
	case "sag":
		w.farm.Sag(t.Rack, t.Part)
		wait(t.For)
		w.farm.Sag(t.Rack, 1)
	case "list-lag":
		w.list.Lag(t.Lag)
		wait(t.For)
		w.list.Lag(0)
	case "list-fail":
		w.list.Fail(true)
		wait(t.For)
		w.list.Fail(false)
	case "list-empty":
		w.list.Empty(true)
		wait(t.For)
		w.list.Empty(false)
	case "list-rewind":
		w.list.Rewind()
	case "kill-front":
		p := w.fronts[t.Front]
		p.kill()
		wait(t.For)
		if err := p.start(); err != nil {
			fmt.Fprintln(w.o.Out, err)
		}
	case "stop-front":
		p := w.fronts[t.Front]
		p.signal(syscall.SIGSTOP, record.FrontPaused)
		wait(t.For)
		p.signal(syscall.SIGCONT, record.FrontResumed)
	default: // burst and hot-title are in the arrivals
		wait(t.For)
	}
}

// down takes servers out of service; they come back cold.
func (w *world) down(t Trouble, wait func(time.Duration), how func(*mediasim.Server)) {
	servers := w.take(t.Servers)
	for _, m := range servers {
		how(m)
	}
	wait(t.For)
	w.back(servers)
}

// drain has servers leave after a notice; others take their places, cold.
func (w *world) drain(t Trouble, wait func(time.Duration), how func(*mediasim.Server)) {
	servers := w.take(t.Servers)
	for _, m := range servers {
		how(m)
	}
	wait(t.Notice)
	for _, m := range servers {
		m.Kill()
		w.list.Set(w.entry(m, "removed"))
	}
	wait(t.For)
	w.back(servers)
}

func (w *world) back(servers []*mediasim.Server) {
	for _, m := range servers {
		if err := m.Restart(); err != nil {
			fmt.Fprintln(w.o.Out, err)
		}
		if m.Up() {
			w.list.Set(w.entry(m, "ready"))
		}
		w.give(m)
	}
}

// take picks servers that no other trouble holds.
func (w *world) take(n int) (list []*mediasim.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.rng.Perm(len(w.farm.Servers())) {
		m := w.farm.Servers()[i]
		if len(list) < n && !w.busy[m.ID] && m.Up() {
			w.busy[m.ID] = true
			list = append(list, m)
		}
	}
	return list
}

func (w *world) give(m *mediasim.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, m.ID)
}

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

// playFault causes one fault, waits for its duration and reverts it, also if the day is cancelled.
func (w *world) playFault(ctx context.Context, fault Fault) {
	w.records.Add(record.Event{Source: "day", Kind: record.FaultStarted, Text: fmt.Sprintf("%v %s", fault.At,
		fault.Kind), Length: fault.Duration.Seconds()})
	wait := func(d time.Duration) { sleep(ctx, d) }
	setFault := func(set func(f *mediasim.Faults)) {
		for _, m := range w.reserveServers(fault.Servers) {
			m.UpdateFaults(set)
			defer w.releaseServer(m)
			defer m.UpdateFaults(func(f *mediasim.Faults) { *f = mediasim.Faults{} })
		}
		wait(fault.Duration)
	}
	switch fault.Kind {
	case "hang":
		setFault(func(f *mediasim.Faults) { f.Stalled = true })
	case "errors":
		setFault(func(f *mediasim.Faults) { f.SetupErrors = fault.Share })
	case "lose":
		setFault(func(f *mediasim.Faults) { f.LostReplies = fault.Share })
	case "garbage":
		setFault(func(f *mediasim.Faults) { f.GarbageReplies = fault.Share })
	case "half":
		setFault(func(f *mediasim.Faults) { f.TruncatedReplies = fault.Share })
	case "slow-reader":
		setFault(func(f *mediasim.Faults) { f.Slow = true })
	case "take-link":
		setFault(func(f *mediasim.Faults) { f.LinkTaken = fault.Share })
	case "vanish":
		w.takeDown(fault, wait, func(m *mediasim.Server) {
			m.UpdateFaults(func(f *mediasim.Faults) { f.Silent = true })
		})
	case "crash":
		w.takeDown(fault, wait, (*mediasim.Server).Kill)
	case "drain":
		w.drain(fault, wait, func(m *mediasim.Server) { w.serverList.Set(w.listEntry(m, "draining")) })
	case "redirect":
		w.drain(fault, wait, (*mediasim.Server).Redirect)
	case "path-silent", "path-resets", "path-stalls":
		servers := w.reserveServers(fault.Servers)
		for _, m := range servers {
			m.SetAddressMode(fault.Network, strings.TrimPrefix(fault.Kind, "path-"))
		}
		wait(fault.Duration)
		for _, m := range servers {
			m.SetAddressMode(fault.Network, mediasim.AddressGood)
			w.releaseServer(m)
		}
	case "sag":
		w.farm.LimitUplink(fault.Rack, fault.Share)
		wait(fault.Duration)
		w.farm.LimitUplink(fault.Rack, 1)
	case "list-lag":
		w.serverList.SetDelay(fault.Lag)
		wait(fault.Duration)
		w.serverList.SetDelay(0)
	case "list-fail":
		w.serverList.SetFailing(true)
		wait(fault.Duration)
		w.serverList.SetFailing(false)
	case "list-empty":
		w.serverList.SetEmpty(true)
		wait(fault.Duration)
		w.serverList.SetEmpty(false)
	case "list-rewind":
		w.serverList.ResetIndex()
	case "kill-front":
		p := w.fronts[fault.Front]
		p.kill()
		wait(fault.Duration)
		if err := p.start(); err != nil {
			fmt.Fprintln(w.options.Out, err)
		}
	case "stop-front":
		p := w.fronts[fault.Front]
		p.signal(syscall.SIGSTOP, record.FrontPaused)
		wait(fault.Duration)
		p.signal(syscall.SIGCONT, record.FrontResumed)
	default: // burst and hot-title only change the arrivals
		wait(fault.Duration)
	}
}

// takeDown makes servers fail by action and restarts them, cold, after the duration of the fault.
func (w *world) takeDown(fault Fault, wait func(time.Duration), action func(*mediasim.Server)) {
	servers := w.reserveServers(fault.Servers)
	for _, m := range servers {
		action(m)
	}
	wait(fault.Duration)
	w.bringBack(servers)
}

// drain announces that servers drain, kills and unlists them after the notice, and restarts them, cold, after the
// duration of the fault.
func (w *world) drain(fault Fault, wait func(time.Duration), announce func(*mediasim.Server)) {
	servers := w.reserveServers(fault.Servers)
	for _, m := range servers {
		announce(m)
	}
	wait(fault.Notice)
	for _, m := range servers {
		m.Kill()
		w.serverList.Set(w.listEntry(m, "removed"))
	}
	wait(fault.Duration)
	w.bringBack(servers)
}

// bringBack restarts servers, lists them as ready and releases them.
func (w *world) bringBack(servers []*mediasim.Server) {
	for _, m := range servers {
		if err := m.Restart(); err != nil {
			fmt.Fprintln(w.options.Out, err)
		}
		if m.Up() {
			w.serverList.Set(w.listEntry(m, "ready"))
		}
		w.releaseServer(m)
	}
}

// reserveServers picks up to n running servers at random that no other fault uses.
func (w *world) reserveServers(n int) (list []*mediasim.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.rng.Perm(len(w.farm.Servers())) {
		m := w.farm.Servers()[i]
		if len(list) < n && !w.inFault[m.ID] && m.Up() {
			w.inFault[m.ID] = true
			list = append(list, m)
		}
	}
	return list
}

// releaseServer makes a server available to other faults again.
func (w *world) releaseServer(m *mediasim.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inFault, m.ID)
}

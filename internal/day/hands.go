package day

import (
	"os"
	"path/filepath"
	"syscall"

	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

// Hands on a day that is under way, for tests that hurt its parts one by one.

// Kill ends a front's process at once.
func (w *world) Kill(n int) { w.fronts[n].kill() }

// Start starts a front that was killed, on its settings and whatever its state directory holds.
func (w *world) Start(n int) error { return w.fronts[n].start() }

// Stop has a front stand still, and Continue go on.
func (w *world) Stop(n int) { w.fronts[n].signal(syscall.SIGSTOP, record.FrontPaused) }

// Continue see Stop.
func (w *world) Continue(n int) { w.fronts[n].signal(syscall.SIGCONT, record.FrontResumed) }

// Control is where a front takes commands for its fleet.
func (w *world) Control(n int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fronts[n].control
}

// State is the directory that a front keeps its state in, and LogOf its log.
func (w *world) State(n int) string { return filepath.Join(w.o.Dir, w.fronts[n].name, "state") }

// LogOf gives what a front has logged.
func (w *world) LogOf(n int) string {
	b, _ := os.ReadFile(filepath.Join(w.o.Dir, w.fronts[n].name, "log"))
	return string(b)
}

// Servers are the media stand-ins.
func (w *world) Servers() []*mediasim.Server { return w.farm.Servers() }

// List tells the list of a server: ready, draining or failing.
func (w *world) List(m *mediasim.Server, health string) { w.list.Set(w.entry(m, health)) }

// Titles names all titles.
func (w *world) Titles() []string { return w.s.TitleNames() }

// Dir is where the day's records are.
func (w *world) Dir() string { return w.o.Dir }

// Cells tells how many cells, racks and zones there are.
func (w *world) Cells() (cells, racks, zones int) {
	s := w.s.Service
	return s.Service.Cells, s.Service.Racks, len(s.Zones)
}

package day

import (
	"os"
	"path/filepath"
	"syscall"

	"tealledge/internal/record"
	"tealledge/internal/standin/mediasim"
)

// These methods let tests and the fleet rig control the parts of a running day one by one.

// KillFront kills a front's process.
func (w *world) KillFront(n int) { w.fronts[n].kill() }

// StartFront starts a front that was killed, with its settings and the contents of its state directory.
func (w *world) StartFront(n int) error { return w.fronts[n].start() }

// PauseFront stops a front's process with SIGSTOP until ResumeFront.
func (w *world) PauseFront(n int) { w.fronts[n].signal(syscall.SIGSTOP, record.FrontPaused) }

// ResumeFront lets a paused front continue.
func (w *world) ResumeFront(n int) { w.fronts[n].signal(syscall.SIGCONT, record.FrontResumed) }

// ControlAddr returns the address at which a front accepts commands for its fleet.
func (w *world) ControlAddr(n int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fronts[n].controlAddr
}

// StateDir returns the directory in which a front stores its state.
func (w *world) StateDir(n int) string {
	return filepath.Join(w.options.Dir, w.fronts[n].name, "state")
}

// FrontLog returns the contents of a front's log.
func (w *world) FrontLog(n int) string {
	b, _ := os.ReadFile(filepath.Join(w.options.Dir, w.fronts[n].name, "log"))
	return string(b)
}

// Servers returns the media stand-ins.
func (w *world) Servers() []*mediasim.Server { return w.farm.Servers() }

// SetListHealth sets the health of a server in the server list: ready, draining or removed.
func (w *world) SetListHealth(m *mediasim.Server, health string) {
	w.serverList.Set(w.listEntry(m, health))
}

// TitleNames returns the names of all titles.
func (w *world) TitleNames() []string { return w.script.TitleNames() }

// Dir returns the directory of the day's records.
func (w *world) Dir() string { return w.options.Dir }

// Topology returns the numbers of cells, racks and zones.
func (w *world) Topology() (cells, racks, zones int) {
	s := w.script.Service
	return s.Service.Cells, s.Service.Racks, len(s.Zones)
}
